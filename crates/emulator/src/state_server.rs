//! The emulated state service behind an HTTP address, with an optional log of changes so
//! that its state outlives the process.
//!
//! Invariant: a change is in the log before anybody is told of it. The log has a JSON object
//! a line: `{"rev", "key", "value"}` for a change, `{"machine"}` for the number of the
//! cloud's next machine.

use crate::state::{Caller, Change, ReadyWatches, StateService, COMMIT_PATH};
use crate::{micros, refuse, respond, Micros};
use beamhinge_core::http::Request;
use beamhinge_core::messages::Effect;
use beamhinge_core::settings;
use beamhinge_core::types::{CallId, RequestId, Time};
use beamhinge_core::wire;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

/// A key that never exists: its deletion keeps the revision of the store in the log.
const REVISION_KEY: &str = "kept/rev";

fn caller(id: RequestId) -> Caller {
    Caller {
        connection: id.slot,
        generation: id.generation,
        call: CallId(0),
    }
}

fn request_id(caller: Caller) -> RequestId {
    RequestId {
        slot: caller.connection,
        generation: caller.generation,
    }
}

/// Serves a [`StateService`].
pub struct StateServer {
    /// The store.
    pub state: StateService,
    log: Option<File>,
    logged_machine: u64,
}

impl StateServer {
    /// A server that forgets everything with its process.
    #[must_use]
    pub fn new(limits: &settings::StateLimits) -> StateServer {
        StateServer {
            state: StateService::new(limits.into()),
            log: None,
            logged_machine: 0,
        }
    }

    /// A server that goes on from what a log holds; also the number of the next machine.
    ///
    /// # Errors
    /// When the log cannot be read or written.
    pub fn from_log(limits: &settings::StateLimits, path: &Path) -> io::Result<(StateServer, u64)> {
        let mut server = StateServer::new(limits);
        let next_machine = restore(path, &mut server.state)?;
        server.log = Some(begin_log(path, &server.state, next_machine)?);
        server.state.enable_journal();
        Ok((server, next_machine))
    }

    /// Writes what changed before anybody is told of it.
    pub fn write_log(&mut self, next_machine: u64) {
        let changes = self.state.take_journal();
        let Some(file) = &mut self.log else { return };
        let mut lines = String::new();
        for Change {
            revision,
            key,
            value,
        } in &changes
        {
            push_change(&mut lines, *revision, key, value.as_ref());
        }
        if next_machine > self.logged_machine {
            self.logged_machine = next_machine;
            push_line(&mut lines, &json!({ "machine": next_machine }));
        }
        if !lines.is_empty() && file.write_all(lines.as_bytes()).is_err() {
            // What cannot be made durable must not be answered: an outage for good.
            self.state.down_until = Micros::MAX;
        }
    }

    /// Answers a request now, or keeps it as an open watch.
    pub fn on_request(
        &mut self,
        now: Time,
        id: RequestId,
        request: &Request,
        out: &mut Vec<Effect>,
    ) {
        let is_commit = request.path == COMMIT_PATH;
        if is_commit && wire::decode::<ciborium::Value>(&request.body).is_err() {
            return refuse(out, id, 400);
        }
        let now_us = micros(now);
        let answer = self.state.handle(
            now_us,
            caller(id),
            request.method,
            &request.path,
            &request.body,
        );
        self.write_log(0);
        if now_us < self.state.down_until && self.log.is_some() {
            return refuse(out, id, 503);
        }
        if let Some(answer) = answer {
            respond(out, id, answer);
        }
        self.answer_watches(now, out);
    }

    /// Answers the watches that have events or whose time is up.
    pub fn answer_watches(&mut self, now: Time, out: &mut Vec<Effect>) {
        let ReadyWatches { answers, .. } = self.state.ready_watches(micros(now), |_, _| false);
        for (caller, body) in answers {
            respond(out, request_id(caller), (200, body));
        }
        self.write_log(0);
    }
}

fn push_line(text: &mut String, line: &Value) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{line}");
}

fn push_change(text: &mut String, revision: u64, key: &str, value: Option<&Value>) {
    push_line(text, &json!({"rev": revision, "key": key, "value": value}));
}

/// Reads a log into the store; returns the number of the next machine.
fn restore(path: &Path, state: &mut StateService) -> io::Result<u64> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(0),
        Err(error) => return Err(error),
    };
    let mut next_machine = 0;
    for line in BufReader::new(file).lines() {
        // A line that was cut short is the last, and was never answered.
        let Ok(entry) = serde_json::from_str::<Value>(&line?) else {
            break;
        };
        if let Some(machine) = entry["machine"].as_u64() {
            next_machine = next_machine.max(machine);
        } else if let (Some(revision), Some(key)) = (entry["rev"].as_u64(), entry["key"].as_str()) {
            state.restore(Change {
                revision,
                key: key.to_string(),
                value: entry.get("value").filter(|v| !v.is_null()).cloned(),
            });
        }
    }
    Ok(next_machine)
}

/// A log that holds what is there now and is then appended to; put in place in one step, so
/// that an end in between loses nothing.
fn begin_log(path: &Path, state: &StateService, next_machine: u64) -> io::Result<File> {
    let new = path.with_extension("new");
    let mut text = String::new();
    push_line(&mut text, &json!({ "machine": next_machine }));
    for (revision, key, value) in state.durable() {
        push_change(&mut text, revision, key, Some(value));
    }
    // The revision itself must not go back, whatever was deleted last.
    push_change(&mut text, state.revision(), REVISION_KEY, None);
    std::fs::write(&new, text)?;
    std::fs::rename(&new, path)?;
    OpenOptions::new().append(true).open(path)
}
