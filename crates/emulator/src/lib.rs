//! Emulators of the systems that beamhinge interacts with: the state service, the cloud, the
//! workers and the users, implemented from the published protocol.
//!
//! The models ([`state`], [`cloud`], [`worker`], [`user`]) perform no I/O and take the time as
//! an argument, so that the same models serve simulated time (`beamhinge-sim`) and real
//! processes ([`platform`], [`state_server`], [`worker_pool`]). They do not depend on the
//! controller, so that their checks are an independent interpretation of the protocol.
//!
//! The wire words are confined to one module per protocol: `worker::protocol`,
//! `state::protocol`, `cloud::protocol` and [`job`].

use beamhinge_core::messages::Effect;
use beamhinge_core::types::{RequestId, Time};
use beamhinge_core::wire;
use serde_json::{json, Value};

pub mod cloud;
pub mod job;
pub mod platform;
pub mod processes;
pub mod state;
pub mod state_server;
pub mod user;
pub mod worker;
pub mod worker_pool;

pub use job::{job_id, JobPlan};

/// Microseconds on the emulated clock.
pub type Micros = u64;

/// One second on the emulated clock.
pub const SECOND: Micros = 1_000_000;

/// The response of an emulated service: HTTP status and encoded body.
pub type Response = (u16, Vec<u8>);

/// Converts a time of the event loop to the emulated clock.
#[must_use]
pub fn micros(now: Time) -> Micros {
    (now.since(Time::default()) * 1e6) as Micros
}

/// Adds the answer to a request to the effects.
pub fn respond(out: &mut Vec<Effect>, to: RequestId, (status, body): Response) {
    out.push(Effect::Answer {
        to,
        status,
        retry_after: None,
        body,
    });
}

/// Answers a request with a status and an empty map.
pub fn refuse(out: &mut Vec<Effect>, to: RequestId, status: u16) {
    respond(out, to, response(status, &json!({})));
}

/// Decodes a CBOR body into a JSON value. Returns null for a body that cannot be decoded; the
/// models do not accept null as a request.
#[must_use]
pub fn decode(body: &[u8]) -> Value {
    let value = wire::decode::<ciborium::Value>(body).ok();
    value
        .and_then(|v| v.deserialized().ok())
        .unwrap_or(Value::Null)
}

/// Creates a response and encodes its body.
fn response(status: u16, body: &Value) -> Response {
    (status, wire::encode(body))
}

/// Deliberate protocol violations by the emulators, which prove that the checks of the
/// experiments can fail.
#[derive(Default, Clone, Copy, Debug)]
pub struct ProtocolFaults {
    /// Workers leave running tasks out of their reports.
    pub hide_tasks: bool,
    /// Workers ignore commands to kill a task.
    pub ignore_kill: bool,
    /// The state service drops job records some seconds after they were written.
    pub forgets_jobs: bool,
    /// Workers report running tasks as done.
    pub early_done: bool,
}
