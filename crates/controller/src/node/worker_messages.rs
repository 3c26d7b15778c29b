//! Bodies of the messages that a controller sends to workers. Serialized field names are those of
//! the worker protocol.

use crate::worker_protocol::WorkerCommand;
use serde::Serialize;

/// The leader's answer to a worker's report.
#[derive(Serialize)]
pub(super) struct ReportResponse {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub(super) fencing_token: u64,
    /// Commands for the worker, in execution order.
    #[serde(rename = "orders")]
    pub(super) commands: Vec<WorkerCommand>,
}

/// A follower's answer to a worker's report: the controller to report to instead.
#[derive(Serialize)]
pub(super) struct LeaderRedirect<'a> {
    /// Label of the leader; `None` if it is not known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub(super) leader: Option<&'a str>,
}

/// Body of a direct call from the leader to a worker, independent of the worker's reports.
#[derive(Serialize)]
pub(super) struct DirectCommands {
    /// The leader's fencing token: a worker that has seen a higher one refuses the call.
    #[serde(rename = "baton")]
    pub(super) fencing_token: u64,
    /// The worker incarnation that the commands are addressed to.
    #[serde(rename = "tenure")]
    pub(super) incarnation: u64,
    /// Commands for the worker, in execution order.
    #[serde(rename = "orders")]
    pub(super) commands: Vec<WorkerCommand>,
}

#[cfg(test)]
mod tests;
