//! Wire format of worker reports and of commands to workers.
//!
//! This module maps the wire names to the terms of the rest of the controller;
//! `node::worker_messages` does the same for the bodies that contain the commands. No other
//! module knows the wire names. Status, cause and verb are enums here, and a status or cause
//! that this version does not know still has a defined meaning (guard 5 of `docs/safety.md`).

use beamhinge_core::types::{Attempt, TaskId};
use beamhinge_core::wire;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A worker's periodic report: the identity of the worker, and all tasks on its machine.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkerReport {
    /// Name of the machine, assigned by the cloud.
    pub host: String,
    /// Address on which the worker receives direct commands.
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
    /// Incarnation of the worker process on this machine; increases with each restart.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud reclaims the machine, seconds; `None` if no reclaim is announced.
    #[serde(default, deserialize_with = "wire::amount_or_null")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, including exited tasks that are not cleared yet.
    #[serde(rename = "pieces")]
    pub reported_tasks: Vec<ReportedTask>,
}

impl WorkerReport {
    /// Version that orders all reports of the machine.
    pub(crate) fn version(&self) -> ReportVersion {
        ReportVersion {
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }
}

/// Version of a report of a machine. Ordered by incarnation first: all reports of a newer
/// incarnation come after those of an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportVersion {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

/// A task in a worker's report.
#[derive(Debug, Deserialize)]
pub struct ReportedTask {
    /// Id of the task.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Status of the task.
    pub status: ReportedStatus,
    /// Why the task exited; `None` if it has not exited or the report gives no cause.
    #[serde(default)]
    pub cause: Option<ExitCause>,
}

impl ReportedTask {
    /// Whether the task is known to have occupied the machine at some time. A refused task did not;
    /// an exited task with an unknown cause, or none, may not have.
    pub(crate) fn occupied_machine(&self) -> bool {
        self.status != ReportedStatus::Exited
            || matches!(
                self.cause,
                Some(ExitCause::Done | ExitCause::Error | ExitCause::Stopped)
            )
    }

    /// The id of the task; `None` if it does not have the form of a task id.
    pub(crate) fn task_id(&self) -> Option<TaskId> {
        TaskId::parse(&self.task)
    }
}

/// Status of a reported task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub enum ReportedStatus {
    /// The task's image is being fetched. Guard 5: a status that this version does not know is
    /// decoded as this one, since the task is still on the machine.
    FetchingImage,
    /// The task runs.
    Running,
    /// The task writes a checkpoint.
    Checkpointing,
    /// The task has exited.
    Exited,
}

impl From<String> for ReportedStatus {
    fn from(name: String) -> ReportedStatus {
        match name.as_str() {
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
    /// The task completed.
    Done,
    /// The task failed.
    Error,
    /// The task was stopped by a kill command.
    Stopped,
    /// The worker refused the task, since the machine has too little free capacity.
    Full,
    /// The worker refused the task, since another attempt at it is on the machine.
    InUse,
    /// The worker does not know the task.
    Unknown,
    /// A cause that this version does not know. Guard 5: the task has exited, but only `Done`
    /// means that it is done.
    Other(String),
}

impl ExitCause {
    /// The name of the cause on the wire.
    pub fn as_str(&self) -> &str {
        match self {
            ExitCause::Done => "done",
            ExitCause::Error => "error",
            ExitCause::Stopped => "stopped",
            ExitCause::Full => "full",
            ExitCause::InUse => "in_use",
            ExitCause::Unknown => "unknown",
            ExitCause::Other(name) => name,
        }
    }
}

impl From<String> for ExitCause {
    fn from(name: String) -> ExitCause {
        match name.as_str() {
            "done" => ExitCause::Done,
            "error" => ExitCause::Error,
            "stopped" => ExitCause::Stopped,
            "full" => ExitCause::Full,
            "in_use" => ExitCause::InUse,
            "unknown" => ExitCause::Unknown,
            _ => ExitCause::Other(name),
        }
    }
}

/// A command to a worker about one attempt at a task.
#[derive(Debug, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct WorkerCommand {
    /// Action to perform.
    pub verb: CommandVerb,
    /// Id of the task.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt; the command affects no other attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Grace period of a kill, in which the task may write a checkpoint, seconds; `None` for
    /// other commands.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "windDownS")]
    pub grace_period_s: Option<f64>,
}

impl WorkerCommand {
    /// Starts the attempt.
    pub(crate) fn run(task: TaskId, attempt: Attempt) -> WorkerCommand {
        WorkerCommand::new(CommandVerb::Run, task, attempt, None)
    }

    /// Stops the attempt after a grace period, seconds.
    pub(crate) fn kill(task: TaskId, attempt: Attempt, grace_period_s: f64) -> WorkerCommand {
        WorkerCommand::new(CommandVerb::Kill, task, attempt, Some(grace_period_s))
    }

    /// Removes an exited attempt from the worker's reports.
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

/// Action of a command. Displayed as its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandVerb {
    /// Start the task.
    Run,
    /// Stop the task.
    Kill,
    /// Remove the exited task from the worker's reports.
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
