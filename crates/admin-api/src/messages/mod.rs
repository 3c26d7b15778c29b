//! Requests and answers of the operators' interface.

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

/// Rows of one page unless the request asks for another number.
pub const DEFAULT_PAGE_ROWS: usize = 100;
/// Rows that one page may hold, so that no answer outgrows a frame between controllers.
pub const MAX_ROWS: usize = 200;
/// Largest body of a request, bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What kind of refusal an answer is; stable, for programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// No `Authorization`, an unknown key, or a MAC that does not match.
    Unauthenticated,
    /// The request's time is too far from the controller's.
    Clock,
    /// This very request came before.
    Replayed,
    /// Signed for another process than the one that answers.
    OtherInstance,
    /// The key's role does not allow it.
    Forbidden,
    /// There is no such path or job.
    NotFound,
    /// The request cannot be parsed, or a value is out of range.
    Malformed,
    /// The body is too large.
    TooLarge,
    /// It can never be done, or contradicts what is stored.
    Refused,
    /// To be retried: an election, a restart, or too much at once.
    Busy,
}

/// The body of every answer that is not a 2xx.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// What kind of refusal it is, for programs.
    pub code: Code,
    /// What is wrong, for people.
    pub error: String,
    /// With code `clock`: how far the client is ahead, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ahead_ms: Option<i64>,
}

/// The answer to `GET /v1/hello`, the one request that needs no key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    /// Label of the controller.
    pub label: String,
    /// Identifies the process; requests are signed for it.
    pub instance: String,
    /// Version of the program.
    pub version: String,
    /// Time of day of the controller, milliseconds.
    pub time_ms: u64,
}

/// The answer to `GET /v1/directives`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directives {
    /// All directives in force.
    pub directives: Vec<Directive>,
}
