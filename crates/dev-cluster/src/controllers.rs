//! Controllers as processes of this machine: started, stopped, ended by their ids.

use crate::ClusterError;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{File, OpenOptions};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How controllers are started.
pub struct ControllerProgram {
    /// The program, and its first arguments.
    pub program: (PathBuf, Vec<String>),
    /// Where their files are: settings, operators' files and logs.
    pub dir: PathBuf,
    pub log_level: String,
}

/// The controllers of one cluster, by their place.
pub struct Controllers {
    how: ControllerProgram,
    labels: Vec<String>,
    children: Vec<Option<Child>>,
}

pub(crate) fn write(path: PathBuf, text: &str) -> Result<PathBuf, ClusterError> {
    std::fs::write(&path, text).map_err(|e| ClusterError::File(path.clone(), e))?;
    Ok(path)
}

fn open_log(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

impl Controllers {
    pub fn new(how: ControllerProgram) -> Controllers {
        Controllers {
            how,
            labels: Vec::new(),
            children: Vec::new(),
        }
    }

    /// Writes the files of one more controller; its place.
    pub fn add(
        &mut self,
        label: &str,
        settings: &str,
        (operators, more): (SocketAddrV4, &str),
    ) -> Result<usize, ClusterError> {
        write(self.how.dir.join(format!("{label}.toml")), settings)?;
        let ini = format!("[operators]\nlisten = {operators}\n{more}");
        write(self.how.dir.join(format!("{label}.ini")), &ini)?;
        self.labels.push(label.to_string());
        self.children.push(None);
        Ok(self.labels.len() - 1)
    }

    /// Starts one, if it does not run.
    pub fn start(&mut self, node: usize) -> Result<(), ClusterError> {
        if self.children[node].is_some() {
            return Ok(());
        }
        let (dir, label) = (&self.how.dir, &self.labels[node]);
        let log = self.log_of(node);
        let file = open_log(&log).map_err(|e| ClusterError::File(log.clone(), e))?;
        let (program, first) = &self.how.program;
        let child = Command::new(program)
            .args(first)
            .arg("--operator")
            .arg(dir.join(format!("{label}.ini")))
            .arg("--config")
            .arg(dir.join(format!("{label}.toml")))
            .env("LOG_LEVEL", &self.how.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|e| ClusterError::Start(program.clone(), e))?;
        self.children[node] = Some(child);
        Ok(())
    }

    /// Ends a controller as a power cut would.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Lets a controller stand still, or go on.
    pub fn pause(&self, node: usize, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        let pid = self
            .pid(node)
            .and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // One that has just ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Controllers that ended by themselves, which they never should.
    pub fn fallen(&mut self) -> Vec<usize> {
        let mut fallen = Vec::new();
        for (node, child) in self.children.iter_mut().enumerate() {
            let over = child
                .as_mut()
                .is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
            if over {
                *child = None;
                fallen.push(node);
            }
        }
        fallen
    }

    pub fn log_of(&self, node: usize) -> PathBuf {
        self.how.dir.join(format!("{}.log", self.labels[node]))
    }

    pub fn pid(&self, node: usize) -> Option<u32> {
        self.children[node].as_ref().map(Child::id)
    }

    /// Process ids of the controllers that run.
    pub fn pids(&self) -> Vec<u32> {
        self.children.iter().flatten().map(Child::id).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|node| self.kill(node));
    }
}
