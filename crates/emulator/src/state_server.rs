//! The stand-in for the state service behind an HTTP address, with a log of changes for
//! whoever wants its state to outlive the process.

use crate::state::State;
use crate::{micros, refuse, Us};
use beamhinge_core::http::Request;
use beamhinge_core::messages::Effect;
use beamhinge_core::settings;
use beamhinge_core::types::{CallId, RequestId, Time};
use beamhinge_core::wire;
use serde_json::{json, Value};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

type StateCaller = (usize, u64, CallId);

fn caller(id: RequestId) -> StateCaller {
    (id.slot, id.generation, CallId(0))
}

fn called(c: StateCaller) -> RequestId {
    RequestId {
        slot: c.0,
        generation: c.1,
    }
}

/// Serves [`State`]; every change is in the log before anybody is told of it.
pub struct StateServer {
    pub state: State,
    log: Option<File>,
    logged_machine: u64,
}

impl StateServer {
    /// One that forgets everything with its process.
    pub fn new(limits: &settings::State) -> StateServer {
        let state = State::new(
            limits.rps,
            limits.write_rps,
            limits.value_kb,
            limits.txn_ops,
        );
        StateServer {
            state,
            log: None,
            logged_machine: 0,
        }
    }

    /// One that goes on from what a log holds; also the number of the next machine.
    pub fn from_log(limits: &settings::State, path: &Path) -> io::Result<(StateServer, u64)> {
        let mut server = StateServer::new(limits);
        let next_machine = restore(path, &mut server.state)?;
        server.log = Some(begin_log(path, &server.state, next_machine)?);
        server.state.keeps = true;
        Ok((server, next_machine))
    }

    /// Writes what changed before anybody is told of it.
    pub fn write_log(&mut self, next_machine: u64) {
        let applied = std::mem::take(&mut self.state.applied);
        let Some(file) = &mut self.log else { return };
        let mut lines = String::new();
        for (rev, key, value) in applied {
            lines.push_str(&json!({"rev": rev, "key": key, "value": value}).to_string());
            lines.push('\n');
        }
        if next_machine > self.logged_machine {
            self.logged_machine = next_machine;
            lines.push_str(&json!({ "machine": next_machine }).to_string());
            lines.push('\n');
        }
        if !lines.is_empty() && file.write_all(lines.as_bytes()).is_err() {
            // What cannot be kept must not be answered: the outage is plain.
            self.state.down_until = Us::MAX;
        }
    }

    /// Answers a request now, or keeps it as an open watch.
    pub fn answer(&mut self, now: Time, id: RequestId, request: &Request, out: &mut Vec<Effect>) {
        if request.path == "/commit" && wire::decode::<ciborium::Value>(&request.body).is_err() {
            return refuse(out, id, 400);
        }
        let us = micros(now);
        let reply = self
            .state
            .handle(us, caller(id), request.method, &request.path, &request.body);
        self.write_log(0);
        if us < self.state.down_until && self.log.is_some() {
            return refuse(out, id, 503);
        }
        if let Some((status, body)) = reply {
            out.push(Effect::Answer {
                to: id,
                status,
                retry_after: None,
                body,
            });
        }
        self.answer_watches(now, out);
    }

    /// Answers the watches that have news or whose time is up.
    pub fn answer_watches(&mut self, now: Time, out: &mut Vec<Effect>) {
        let (ready, _) = self.state.watches(micros(now), |_, _| false);
        for (to, body) in ready {
            out.push(Effect::Answer {
                to: called(to),
                status: 200,
                retry_after: None,
                body,
            });
        }
        self.write_log(0);
    }
}

/// Reads what was kept; the number of the next machine.
fn restore(path: &Path, state: &mut State) -> io::Result<u64> {
    let file = match File::open(path) {
        Ok(f) => f,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(0),
        Err(e) => return Err(e),
    };
    let mut next = 0;
    for line in BufReader::new(file).lines() {
        // A line that was cut short is the last, and was never answered.
        let Ok(v) = serde_json::from_str::<Value>(&line?) else {
            break;
        };
        if let Some(m) = v["machine"].as_u64() {
            next = next.max(m);
        } else if let (Some(rev), Some(key)) = (v["rev"].as_u64(), v["key"].as_str()) {
            let value = v.get("value").filter(|v| !v.is_null()).cloned();
            state.restore(rev, key.to_string(), value);
        }
    }
    Ok(next)
}

/// A log that holds what is there now and is then appended to; put in place in
/// one step, so that an end in between loses nothing.
fn begin_log(path: &Path, state: &State, next: u64) -> io::Result<File> {
    let fresh = path.with_extension("new");
    let mut text = format!("{}\n", json!({ "machine": next }));
    for (rev, key, value) in state.all() {
        text.push_str(&json!({"rev": rev, "key": key, "value": value}).to_string());
        text.push('\n');
    }
    // The revision itself must not go back, whatever was deleted last.
    let rev = json!({"rev": state.rev(), "key": "kept/rev", "value": null});
    text.push_str(&format!("{rev}\n"));
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, path)?;
    OpenOptions::new().append(true).open(path)
}
