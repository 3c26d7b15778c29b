//! Reports of workers and commands to them, as they stand on the wire.
//!
//! This module maps the wire's words for them to the terms that the rest of the controller
//! uses; `node::worker_messages` does so for the bodies that commands are sent in. Nothing
//! else knows these words. Status, cause and verb are decoded to enums here, and
//! words that this version does not know keep a meaning (guard 5 of `docs/safety.md`).

use beamhinge_core::types::{Attempt, TaskId};
use beamhinge_core::wire;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A worker's periodic report: who it is, and every task that it lists.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkerReport {
    /// Name of the machine, as the cloud gave it.
    pub host: String,
    /// Address on which the worker takes direct commands.
    pub endpoint: String,
    /// Label of the machine's type.
    #[serde(rename = "shape")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of the worker's process life on this machine; grows with each restart.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine, once it has announced that.
    #[serde(default, deserialize_with = "wire::amount_or_null")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, and those that exited and were not cleared.
    #[serde(rename = "pieces")]
    pub reported_tasks: Vec<ReportedTask>,
}

impl WorkerReport {
    /// The report's place in the order of all reports of its machine.
    pub(crate) fn version(&self) -> ReportVersion {
        ReportVersion {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}

/// Order of a machine's reports: a newer incarnation comes after all of an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportVersion {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

/// One task as a worker lists it.
#[derive(Debug, Deserialize)]
pub struct ReportedTask {
    /// Id of the task.
    #[serde(rename = "piece")]
    pub task: String,
    /// Which attempt at the task it is.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// What the task does.
    pub status: ReportedStatus,
    /// Why it exited, if it did.
    #[serde(default)]
    pub cause: Option<ExitCause>,
}

impl ReportedTask {
    /// Whether the task occupied its machine at any time: a refused one did not.
    pub(crate) fn occupied_machine(&self) -> bool {
        self.status != ReportedStatus::Exited
            || matches!(
                self.cause,
                Some(ExitCause::Done | ExitCause::Error | ExitCause::Stopped)
            )
    }

    /// The id of the task; `None` if it is not one of this cluster's form.
    pub(crate) fn task_id(&self) -> Option<TaskId> {
        TaskId::parse(&self.task)
    }
}

/// What a listed task does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ReportedStatus {
    /// Its image is being fetched. Guard 5: a status that this version does not know
    /// counts as this one too, since the task is still on the machine.
    FetchingImage,
    /// It runs.
    Running,
    /// It saves its progress.
    Checkpointing,
    /// It has ended.
    Exited,
}

impl From<String> for ReportedStatus {
    fn from(word: String) -> ReportedStatus {
        match word.as_str() {
            "running" => ReportedStatus::Running,
            "saving" => ReportedStatus::Checkpointing,
            "exited" => ReportedStatus::Exited,
            _ => ReportedStatus::FetchingImage,
        }
    }
}

/// Why a task exited.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ExitCause {
    /// It completed.
    Done,
    /// It failed.
    Error,
    /// It was killed on command.
    Stopped,
    /// The worker refused it: it has too little capacity left.
    Full,
    /// The worker refused it: another attempt at the same task is there.
    InUse,
    /// The worker does not know the task.
    Unknown,
    /// A cause of a later version. Guard 5: exited is exited, but only `Done` counts as done.
    Other(String),
}

impl ExitCause {
    /// The wire's word.
    pub fn as_str(&self) -> &str {
        match self {
            ExitCause::Done => "done",
            ExitCause::Error => "error",
            ExitCause::Stopped => "stopped",
            ExitCause::Full => "full",
            ExitCause::InUse => "in_use",
            ExitCause::Unknown => "unknown",
            ExitCause::Other(word) => word,
        }
    }
}

impl From<String> for ExitCause {
    fn from(word: String) -> ExitCause {
        match word.as_str() {
            "done" => ExitCause::Done,
            "error" => ExitCause::Error,
            "stopped" => ExitCause::Stopped,
            "full" => ExitCause::Full,
            "in_use" => ExitCause::InUse,
            "unknown" => ExitCause::Unknown,
            _ => ExitCause::Other(word),
        }
    }
}

/// A command to a worker about one attempt at a task.
#[derive(Debug, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct WorkerCommand {
    /// What to do.
    pub verb: CommandVerb,
    /// Id of the task.
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt that is meant; no other is touched.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// For a kill, seconds that the task gets to save its progress.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "windDownS")]
    pub grace_period_s: Option<f64>,
}

impl WorkerCommand {
    /// Starts the attempt.
    pub(crate) fn run(task: TaskId, attempt: Attempt) -> WorkerCommand {
        WorkerCommand::new(CommandVerb::Run, task, attempt, None)
    }

    /// Stops the attempt after a grace period in seconds.
    pub(crate) fn kill(task: TaskId, attempt: Attempt, grace_period_s: f64) -> WorkerCommand {
        WorkerCommand::new(CommandVerb::Kill, task, attempt, Some(grace_period_s))
    }

    /// Drops an exited attempt from the worker's list.
    pub(crate) fn clear(task: TaskId, attempt: Attempt) -> WorkerCommand {
        WorkerCommand::new(CommandVerb::Clear, task, attempt, None)
    }

    fn new(
        verb: CommandVerb,
        task: TaskId,
        attempt: Attempt,
        grace_period_s: Option<f64>,
    ) -> WorkerCommand {
        WorkerCommand {
            verb,
            task: task.to_string(),
            attempt: attempt.0,
            grace_period_s,
        }
    }
}

/// What a worker is to do. Displayed as the wire's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandVerb {
    /// Start the task.
    Run,
    /// Stop the task.
    Kill,
    /// Forget the exited task.
    Clear,
}

impl fmt::Display for CommandVerb {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandVerb::Run => "run",
            CommandVerb::Kill => "kill",
            CommandVerb::Clear => "clear",
        })
    }
}

#[cfg(test)]
mod tests;
