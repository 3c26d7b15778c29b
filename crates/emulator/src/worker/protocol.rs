//! The worker protocol. Its wire words and the terms used elsewhere:
//!
//! | wire | term |
//! | --- | --- |
//! | `host` | machine name |
//! | `shape`, `yard`, `loaners` | machine type, zone, spot |
//! | `tenure` | incarnation of the worker |
//! | `tick` | sequence number of the report within its incarnation |
//! | `baton` | fencing token |
//! | `pieces`, `piece`, `try` | tasks, task id, attempt |
//! | `pulling`, `running`, `exited` | fetching the image, running, exited |
//! | `orders`, `verb` | commands: `run`, `kill`, `clear` |
//! | `foreman` | label of the leader to report to |

use super::{ExitReason, Session, TaskStatus, Worker};
use crate::{Micros, ProtocolFaults};
use serde_json::{json, Value};

/// Path to which workers send their reports.
pub(crate) const REPORT_PATH: &str = "/hello";
/// Path on which workers accept direct commands.
pub(crate) const COMMAND_PATH: &str = "/do";

/// The operation that a command requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verb {
    Run,
    Kill,
    /// Remove a task that has exited from the worker's reports.
    Clear,
}

/// A command that concerns one attempt of a task.
pub(super) struct Command<'a> {
    pub(super) verb: Verb,
    pub(super) task_id: &'a str,
    pub(super) attempt: u64,
}

impl<'a> Command<'a> {
    /// Decodes a command; `None` if it is incomplete or unknown.
    pub(super) fn decode(encoded: &'a Value) -> Option<Command<'a>> {
        let verb = match encoded["verb"].as_str()? {
            "run" => Verb::Run,
            "kill" => Verb::Kill,
            "clear" => Verb::Clear,
            _ => return None,
        };
        Some(Command {
            verb,
            task_id: encoded["piece"].as_str()?,
            attempt: encoded["try"].as_u64()?,
        })
    }
}

/// The encoded commands of an answer or a direct message.
pub(super) fn commands(message: &Value) -> impl Iterator<Item = &Value> {
    message["orders"].as_array().into_iter().flatten()
}

/// The id of the task that a command asks to run, as sent; `None` for other commands.
pub(super) fn task_to_run(encoded: &Value) -> Option<&Value> {
    (encoded["verb"] == "run").then(|| &encoded["piece"])
}

/// Ids of the tasks that an answer asks the worker to run.
pub(crate) fn tasks_to_run(answer: &Value) -> impl Iterator<Item = &str> {
    commands(answer).filter_map(|encoded| Some(task_to_run(encoded)?.as_str().unwrap_or("")))
}

pub(super) fn fencing_token(message: &Value) -> Option<u64> {
    message["baton"].as_u64()
}

pub(super) fn incarnation(message: &Value) -> Option<u64> {
    message["tenure"].as_u64()
}

/// The label of the leader in an answer that redirects the worker; `None` if it has none.
pub(super) fn leader_label(answer: &Value) -> Option<&str> {
    answer["foreman"].as_str()
}

/// Encodes a report of the machine and all its tasks.
pub(super) fn encode_report(worker: &Worker, now: Micros, faults: ProtocolFaults) -> Value {
    let tasks: Vec<Value> = worker
        .tasks
        .iter()
        .filter(|t| !(faults.hide_tasks && t.status == TaskStatus::Running))
        .map(|t| {
            let status = match t.status {
                TaskStatus::Running if faults.early_done => TaskStatus::Exited(ExitReason::Done),
                status => status,
            };
            match status {
                TaskStatus::Exited(reason) => {
                    json!({"piece": t.task_id, "try": t.attempt, "status": "exited",
                        "cause": exit_cause(reason)})
                }
                TaskStatus::FetchingImage => {
                    json!({"piece": t.task_id, "try": t.attempt, "status": "pulling"})
                }
                TaskStatus::Running => {
                    json!({"piece": t.task_id, "try": t.attempt, "status": "running"})
                }
            }
        })
        .collect();
    let reclaim_in_s = worker
        .faults
        .reclaim_at
        .map(|at| at.saturating_sub(now) as f64 / 1e6);
    let Session {
        incarnation,
        sequence,
        fencing_token,
        ..
    } = worker.session;
    // `surprise` tests that receivers ignore unknown fields.
    json!({"host": worker.name, "endpoint": worker.endpoint, "shape": worker.machine_type,
        "yard": worker.zone, "loaners": worker.spot, "tenure": incarnation, "tick": sequence,
        "baton": fencing_token, "reclaimInS": reclaim_in_s, "pieces": tasks,
        "surprise": {"a": [1, null]}})
}

fn exit_cause(reason: ExitReason) -> &'static str {
    match reason {
        ExitReason::Done => "done",
        ExitReason::Error => "error",
        ExitReason::Stopped => "stopped",
        ExitReason::AlreadyOnMachine => "in_use",
        ExitReason::UnknownJob => "unknown",
        ExitReason::NoCapacity => "full",
    }
}
