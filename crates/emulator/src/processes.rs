//! Runs tasks as local processes: starts them, detects their exit, and kills them together with
//! their child processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Maximum number of processes; a task started beyond it fails, as on a full machine.
const MAX_PROCESSES: usize = 512;

/// The exit of a process that was not stopped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessExit {
    /// Id of its task.
    pub task_id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Whether its exit status was 0.
    pub success: bool,
}

/// The processes of tasks, by task id and attempt. Dropping it kills all of them.
pub struct Processes {
    running: BTreeMap<(String, u64), Child>,
    /// Directory of the output files of tasks; if `None`, output is discarded.
    output: Option<PathBuf>,
    /// Program and first arguments that run the command line given as the last argument and exit
    /// when this process exits; if empty, a shell runs the command line.
    supervisor: Vec<String>,
}

impl Processes {
    /// Creates an empty set of processes.
    #[must_use]
    pub fn new(output: Option<PathBuf>, supervisor: Vec<String>) -> Processes {
        Processes {
            running: BTreeMap::new(),
            output,
            supervisor,
        }
    }

    /// Starts a task's command line; returns whether it could be started.
    #[must_use]
    pub fn start(&mut self, task_id: &str, attempt: u64, line: &str) -> bool {
        if self.running.len() >= MAX_PROCESSES {
            return false;
        }
        let (job, index) = task_id.split_once('/').unwrap_or((task_id, "0"));
        let mut command = self.shell();
        command
            .arg(line)
            .env("BEAMHINGE_JOB", job)
            .env("BEAMHINGE_TASK", index)
            .env("BEAMHINGE_ATTEMPT", attempt.to_string())
            .stdin(Stdio::null())
            // A new process group, so that its child processes are killed with it.
            .process_group(0);
        match self.output_files(job, index) {
            Some((out, err)) => command.stdout(out).stderr(err),
            None => command.stdout(Stdio::null()).stderr(Stdio::null()),
        };
        match command.spawn() {
            Ok(child) => {
                self.running.insert((task_id.to_string(), attempt), child);
                true
            }
            Err(_) => false,
        }
    }

    /// Creates the command that runs a command line given as its last argument.
    fn shell(&self) -> Command {
        match self.supervisor.split_first() {
            Some((program, arguments)) => {
                let mut command = Command::new(program);
                command.args(arguments);
                command
            }
            None => {
                let mut command = Command::new("/bin/sh");
                command.arg("-c");
                command
            }
        }
    }

    /// Creates one file for both output streams of a task; `None` if there is no output directory
    /// or the file cannot be created.
    fn output_files(&self, job: &str, index: &str) -> Option<(File, File)> {
        let directory = self.output.as_ref()?.join(job);
        std::fs::create_dir_all(&directory).ok()?;
        let file = File::create(directory.join(format!("{index}.out"))).ok()?;
        Some((file.try_clone().ok()?, file))
    }

    /// Kills the process of a task, if it runs.
    pub fn stop(&mut self, task_id: &str, attempt: u64) {
        if let Some(child) = self.running.remove(&(task_id.to_string(), attempt)) {
            kill_group(child);
        }
    }

    /// Returns the processes that have exited without being stopped since the last call.
    pub fn take_exited(&mut self) -> Vec<ProcessExit> {
        let mut exited = Vec::new();
        for ((task_id, attempt), child) in &mut self.running {
            let success = match child.try_wait() {
                Ok(None) => continue,
                Ok(Some(status)) => status.success(),
                Err(_) => false,
            };
            exited.push(ProcessExit {
                task_id: task_id.clone(),
                attempt: *attempt,
                success,
            });
        }
        for exit in &exited {
            self.running.remove(&(exit.task_id.clone(), exit.attempt));
        }
        exited
    }
}

fn kill_group(mut child: Child) {
    use rustix::process::{kill_process_group, Pid, Signal};
    if let Some(group) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        let _ = kill_process_group(group, Signal::KILL);
    }
    let _ = child.kill();
    let _ = child.wait();
}

impl Drop for Processes {
    fn drop(&mut self) {
        for (_, child) in std::mem::take(&mut self.running) {
            kill_group(child);
        }
    }
}

#[cfg(test)]
mod tests;
