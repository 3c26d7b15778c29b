//! Runs controllers as local processes: starts, pauses and kills them by process id.

use crate::ClusterError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How controllers are started.
pub struct ControllerProgram {
    /// Path of the program and its first arguments.
    pub program: (PathBuf, Vec<String>),
    /// Directory of their settings files, operators' files and logs.
    pub dir: PathBuf,
    /// Log level or filter of the controllers.
    pub log_level: String,
}

/// Contents of the files of one controller.
pub struct ControllerFiles<'a> {
    /// Its label.
    pub label: &'a str,
    /// The platform's settings (TOML).
    pub settings: &'a str,
    /// Address on which it serves operators.
    pub operators: SocketAddrV4,
    /// Lines of the operators' INI file after the `listen` line.
    pub operator_lines: &'a str,
}

/// The controllers of one cluster, by index. Dropping it kills their processes.
pub struct Controllers {
    program: ControllerProgram,
    labels: Vec<String>,
    children: Vec<Option<Child>>,
}

fn write_file(path: PathBuf, text: &str) -> Result<(), ClusterError> {
    std::fs::write(&path, text).map_err(|e| ClusterError::File(path, e))
}

fn open_log(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

impl Controllers {
    /// Creates an empty set of controllers.
    #[must_use]
    pub fn new(program: ControllerProgram) -> Controllers {
        Controllers {
            program,
            labels: Vec::new(),
            children: Vec::new(),
        }
    }

    /// Adds a controller and writes its files; returns its index.
    ///
    /// # Errors
    /// If a file cannot be written.
    pub fn add(&mut self, files: &ControllerFiles) -> Result<usize, ClusterError> {
        let (dir, label) = (&self.program.dir, files.label);
        write_file(dir.join(format!("{label}.toml")), files.settings)?;
        let ini = format!(
            "[operators]\nlisten = {}\n{}",
            files.operators, files.operator_lines
        );
        write_file(dir.join(format!("{label}.ini")), &ini)?;
        self.labels.push(label.to_string());
        self.children.push(None);
        Ok(self.labels.len() - 1)
    }

    /// Starts a controller, if it does not run.
    ///
    /// # Errors
    /// If its log cannot be opened or its program cannot be started.
    pub fn start(&mut self, controller: usize) -> Result<(), ClusterError> {
        if self.children[controller].is_some() {
            return Ok(());
        }
        let (dir, label) = (&self.program.dir, &self.labels[controller]);
        let log = self.log_path(controller);
        let file = open_log(&log).map_err(|e| ClusterError::File(log.clone(), e))?;
        let (program, arguments) = &self.program.program;
        let child = Command::new(program)
            .args(arguments)
            .arg("--operator")
            .arg(dir.join(format!("{label}.ini")))
            .arg("--config")
            .arg(dir.join(format!("{label}.toml")))
            .env("LOG_LEVEL", &self.program.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|e| ClusterError::Start(program.clone(), e))?;
        self.children[controller] = Some(child);
        Ok(())
    }

    /// Kills a controller without a shutdown, as a power failure would.
    pub fn kill(&mut self, controller: usize) {
        if let Some(mut child) = self.children[controller].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Pauses a controller, or resumes it if `paused` is false.
    pub fn pause(&self, controller: usize, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        let pid = self
            .pid(controller)
            .and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // The signal fails if the process has just exited, which is harmless.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the controllers that have exited without being killed, which is always a fault.
    pub fn reap_exited(&mut self) -> Vec<usize> {
        let mut exited = Vec::new();
        for (controller, child) in self.children.iter_mut().enumerate() {
            let has_exited = child
                .as_mut()
                .is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
            if has_exited {
                *child = None;
                exited.push(controller);
            }
        }
        exited
    }

    /// Path of a controller's log file.
    #[must_use]
    pub fn log_path(&self, controller: usize) -> PathBuf {
        self.program
            .dir
            .join(format!("{}.log", self.labels[controller]))
    }

    /// Process id of a controller; `None` if it does not run.
    #[must_use]
    pub fn pid(&self, controller: usize) -> Option<u32> {
        self.children[controller].as_ref().map(Child::id)
    }

    /// Process ids of the running controllers.
    #[must_use]
    pub fn pids(&self) -> Vec<u32> {
        self.children.iter().flatten().map(Child::id).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|controller| self.kill(controller));
    }
}
