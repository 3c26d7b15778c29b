//! Child processes of a scale run: started with a plan, controlled by one command per line, and
//! stopped by process ID.

use super::messages::{Command, Record, RolePlan};
use crate::TestbedError;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Stdio};
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

/// Identifies a child of a run by its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum RoleId {
    State,
    Cloud,
    Workers(usize),
    Users,
}

impl RoleId {
    pub(super) fn name(self) -> String {
        match self {
            RoleId::State => "state service".into(),
            RoleId::Cloud => "cloud".into(),
            RoleId::Workers(n) => format!("workers {n}"),
            RoleId::Users => "users".into(),
        }
    }
}

pub(super) struct RoleChild {
    pub id: RoleId,
    child: Child,
    input: Option<ChildStdin>,
    reader: Option<JoinHandle<()>>,
}

impl RoleChild {
    /// Starts this program again with a role; its records go to `records`.
    pub(super) fn start(
        id: RoleId,
        plan: &RolePlan,
        records: Sender<(RoleId, Record)>,
    ) -> Result<RoleChild, TestbedError> {
        let program =
            std::env::current_exe().unwrap_or_else(|_| PathBuf::from("beamhinge-testbed"));
        let mut child = std::process::Command::new(program)
            .arg("role")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let reader = child.stdout.take().map(|output| {
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    let Ok(record) = serde_json::from_str::<Record>(&line) else {
                        continue;
                    };
                    if records.send((id, record)).is_err() {
                        return;
                    }
                }
            })
        });
        let input = child.stdin.take();
        let mut child = RoleChild {
            id,
            child,
            input,
            reader,
        };
        child.write_line(
            &serde_json::to_string(plan).map_err(|e| TestbedError::Other(e.to_string()))?,
        );
        Ok(child)
    }

    fn write_line(&mut self, line: &str) {
        let Some(input) = &mut self.input else { return };
        // `has_exited` finds a child that has exited.
        if writeln!(input, "{line}")
            .and_then(|()| input.flush())
            .is_err()
        {
            self.input = None;
        }
    }

    pub(super) fn send(&mut self, command: &Command) {
        if let Ok(line) = serde_json::to_string(command) {
            self.write_line(&line);
        }
    }

    pub(super) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(super) fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for RoleChild {
    fn drop(&mut self) {
        // The end of its input stops the child; it is killed if it is still running after 1 s.
        self.input = None;
        for _ in 0..40 {
            if self.has_exited() {
                break;
            }
            std::thread::sleep(std::time::Duration::from_millis(25));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}
