//! Stand-ins for what beamhinge meets outside: the state service, the cloud and
//! the workers, written from the published protocol. Sans-IO, so that the same
//! models serve simulated time and real processes.

use beamhinge_vocab::wire;
use serde_json::Value;

pub mod cloud;
pub mod platform;
pub mod processes;
pub mod state;
pub mod user;
pub mod worker;

/// Microseconds of simulated time.
pub type Us = u64;
pub const SECOND: Us = 1_000_000;

/// A body as JSON; null for what is no CBOR, which no model takes for a request.
pub fn decode(body: &[u8]) -> Value {
    let value = wire::decode::<ciborium::Value>(body).ok();
    value.and_then(|v| v.deserialized().ok()).unwrap_or(Value::Null)
}

#[derive(Clone, Debug)]
pub struct JobPlan {
    pub body: Value,
    pub run_s: f64,
    pub fails: bool,
    /// What a task runs where workers run commands; else it sleeps.
    pub command: Option<String>,
    /// When its user sends it first.
    pub sent: Us,
}

#[derive(Default, Clone, Copy)]
pub struct Doubles {
    /// Workers leave running tasks out of their reports.
    pub hide_tasks: bool,
    /// Workers do not kill what they are told to.
    pub deaf_to_kill: bool,
    /// The state service forgets jobs after a while.
    pub forgets_jobs: bool,
    /// Workers report tasks done that still run.
    pub early_done: bool,
}
