//! Stand-ins for what beamhinge meets outside: the state service, the cloud and
//! the workers, written from the published protocol. Sans-IO, so that the same
//! models serve simulated time and real processes.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

use beamhinge_core::messages::Effect;
use beamhinge_core::types::{RequestId, Time};
use beamhinge_core::wire;
use serde_json::{json, Value};

pub mod cloud;
pub mod platform;
pub mod processes;
pub mod state;
pub mod state_server;
pub mod user;
pub mod worker;
pub mod worker_pool;

/// Microseconds of simulated time.
pub type Us = u64;
pub const SECOND: Us = 1_000_000;

/// A time of the loop in the models' microseconds.
pub fn micros(now: Time) -> Us {
    (now.since(Time::default()) * 1e6) as Us
}

/// Answers a request with a status and nothing else.
pub fn refuse(out: &mut Vec<Effect>, to: RequestId, status: u16) {
    out.push(Effect::Answer {
        to,
        status,
        retry_after: None,
        body: wire::encode(&json!({})),
    });
}

/// A body as JSON; null for what is no CBOR, which no model takes for a request.
pub fn decode(body: &[u8]) -> Value {
    let value = wire::decode::<ciborium::Value>(body).ok();
    value
        .and_then(|v| v.deserialized().ok())
        .unwrap_or(Value::Null)
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
