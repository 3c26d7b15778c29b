//! Bodies of what a controller sends to workers. Field names are those of the workers'
//! protocol.

use crate::worker_protocol::WorkerCommand;
use serde::Serialize;

/// The answer of the leader to a worker's report.
#[derive(Serialize)]
pub(super) struct ReportResponse {
    /// The leader's fencing token.
    #[serde(rename = "baton")]
    pub(super) fencing_token: u64,
    /// What the worker is to do, in this order.
    #[serde(rename = "orders")]
    pub(super) commands: Vec<WorkerCommand>,
}

/// The answer of a controller that does not lead: whom to report to.
#[derive(Serialize)]
pub(super) struct LeaderRedirect<'a> {
    /// Label of the leader; `None`: not known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub(super) leader: Option<&'a str>,
}

/// The body of a call from the leader to a worker, outside of its reports.
#[derive(Serialize)]
pub(super) struct DirectCommands {
    /// The leader's fencing token: a worker that has seen a higher one refuses the call.
    #[serde(rename = "baton")]
    pub(super) fencing_token: u64,
    /// The incarnation of the worker that the commands are meant for.
    #[serde(rename = "tenure")]
    pub(super) incarnation: u64,
    /// What the worker is to do, in this order.
    #[serde(rename = "orders")]
    pub(super) commands: Vec<WorkerCommand>,
}

#[cfg(test)]
mod tests;
