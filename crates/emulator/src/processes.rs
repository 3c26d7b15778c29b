//! Tasks as processes of this machine: started, watched, and ended with all
//! that they started.

use std::collections::BTreeMap;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Most processes at once; beyond it a task fails, as on a full machine.
const MOST: usize = 512;

pub struct Processes {
    running: BTreeMap<(String, u64), Child>,
    /// Where each task's output goes; nowhere when there is none.
    output: Option<PathBuf>,
    /// Program and first arguments that end with us and run the line behind
    /// them; a plain shell when there is none.
    keeper: Vec<String>,
}

impl Processes {
    pub fn new(output: Option<PathBuf>, keeper: Vec<String>) -> Processes {
        Processes {
            running: BTreeMap::new(),
            output,
            keeper,
        }
    }

    /// Starts a task's command line; false when it could not be started.
    pub fn start(&mut self, piece: &str, attempt: u64, line: &str) -> bool {
        if self.running.len() >= MOST {
            return false;
        }
        let (job, index) = piece.split_once('/').unwrap_or((piece, "0"));
        let mut command = match self.keeper.split_first() {
            Some((program, rest)) => {
                let mut c = Command::new(program);
                c.args(rest);
                c
            }
            None => {
                let mut c = Command::new("/bin/sh");
                c.arg("-c");
                c
            }
        };
        command.arg(line);
        command
            .env("BEAMHINGE_JOB", job)
            .env("BEAMHINGE_TASK", index)
            .env("BEAMHINGE_ATTEMPT", attempt.to_string())
            .stdin(Stdio::null())
            // A group of its own, so that what it starts ends with it.
            .process_group(0);
        let file = self.output.as_ref().and_then(|dir| {
            let dir = dir.join(job);
            std::fs::create_dir_all(&dir).ok()?;
            File::create(dir.join(format!("{index}.out"))).ok()
        });
        match file.and_then(|f| Some((f.try_clone().ok()?, f))) {
            Some((out, err)) => command.stdout(out).stderr(err),
            None => command.stdout(Stdio::null()).stderr(Stdio::null()),
        };
        match command.spawn() {
            Ok(child) => {
                self.running.insert((piece.to_string(), attempt), child);
                true
            }
            Err(_) => false,
        }
    }

    pub fn stop(&mut self, piece: &str, attempt: u64) {
        if let Some(child) = self.running.remove(&(piece.to_string(), attempt)) {
            end(child);
        }
    }

    /// Those that have ended by themselves, and whether well.
    pub fn ended(&mut self) -> Vec<(String, u64, bool)> {
        let mut over = Vec::new();
        for ((piece, attempt), child) in &mut self.running {
            match child.try_wait() {
                Ok(None) => {}
                Ok(Some(status)) => over.push((piece.clone(), *attempt, status.success())),
                Err(_) => over.push((piece.clone(), *attempt, false)),
            }
        }
        for (piece, attempt, _) in &over {
            self.running.remove(&(piece.clone(), *attempt));
        }
        over
    }
}

fn end(mut child: Child) {
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
            end(child);
        }
    }
}

#[cfg(test)]
mod tests;
