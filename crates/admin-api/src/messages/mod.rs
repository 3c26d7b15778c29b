//! Requests and responses of the admin API.

mod configuration;
mod decisions;
mod fleet;
mod jobs;
mod query;

pub use configuration::{BehindRow, ConfigurationResponse, ConfigurationView, QuotaRow};
pub use decisions::{Decision, DecisionKind, Decisions};
pub use fleet::{MachinePage, MachineRow, NodeRow, PairRow, Splits, Summary, TeamRow};
pub use jobs::{
    Explanation, JobDetail, JobFilter, JobPage, JobPlacement, JobRequest, JobResponse, JobRow,
    SpecView, State, TaskRow,
};
pub use query::Query;

use crate::directives::Directive;
use serde::{Deserialize, Serialize};

/// Number of rows on a page if the request does not set a limit.
pub const DEFAULT_PAGE_ROWS: usize = 100;
/// Maximum number of rows on a page, so that every response fits into a frame between controllers.
pub const MAX_ROWS: usize = 200;
/// Maximum size of a request body, bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Error code of a response; stable, for use by programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The `Authorization` header is missing, the key is unknown, or the MAC does not match.
    Unauthenticated,
    /// The time of the request deviates too much from the controller's clock.
    Clock,
    /// The same request was accepted before.
    Replayed,
    /// The request was signed for another controller process.
    OtherInstance,
    /// The role of the key does not permit the request.
    Forbidden,
    /// The path or job does not exist.
    NotFound,
    /// The request cannot be parsed, or a value is out of range.
    Malformed,
    /// The request body is too large.
    TooLarge,
    /// The request can never be fulfilled, or conflicts with stored data.
    Refused,
    /// Temporarily unavailable (election, restart or overload): the client should retry.
    Busy,
}

/// Body of every response whose status is not 2xx.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Error code, for programs.
    pub code: Code,
    /// Error message, for people.
    pub error: String,
    /// Only with code `clock`: time by which the client's clock is ahead, milliseconds; negative if
    /// it is behind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ahead_ms: Option<i64>,
}

/// Response to `GET /v1/hello`, the only request that needs no key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Label of the controller.
    pub label: String,
    /// Instance ID of the process, which requests must be signed for.
    pub instance: String,
    /// Program version.
    pub version: String,
    /// Wall-clock time of the controller, milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Response to `GET /v1/directives`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directives {
    /// All directives in force.
    pub directives: Vec<Directive>,
}
