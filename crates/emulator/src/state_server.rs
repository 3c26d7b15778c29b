//! HTTP server of the emulated state service, with an optional log of changes that preserves
//! its state across restarts of the process.
//!
//! Invariant: a change is written to the log before any client is told of it. The log has one
//! JSON object per line: `{"rev", "key", "value"}` for a change, `{"machine"}` for the number
//! of the next machine that the cloud creates.

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

/// A key that never exists: an entry that deletes it stores the current revision in the log.
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
    /// Creates a server without a log: its state is lost when the process exits.
    #[must_use]
    pub fn new(limits: &settings::StateLimits) -> StateServer {
        StateServer {
            state: StateService::new(limits.into()),
            log: None,
            logged_machine: 0,
        }
    }

    /// Creates a server that restores its state from a log and appends to it. Also returns the
    /// number of the next machine.
    ///
    /// # Errors
    /// If the log cannot be read or written.
    pub fn from_log(limits: &settings::StateLimits, path: &Path) -> io::Result<(StateServer, u64)> {
        let mut server = StateServer::new(limits);
        let next_machine = restore(path, &mut server.state)?;
        server.log = Some(start_log(path, &server.state, next_machine)?);
        server.state.enable_journal();
        Ok((server, next_machine))
    }

    /// Writes new changes to the log, before any client is told of them.
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
            // A change that is not durable must not be acknowledged, so the service stays down.
            self.state.down_until = Micros::MAX;
        }
    }

    /// Answers a request now, or registers it as a pending watch.
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

    /// Answers the watches that have events or whose wait has expired.
    pub fn answer_watches(&mut self, now: Time, out: &mut Vec<Effect>) {
        let ReadyWatches { answers, .. } = self.state.ready_watches(micros(now), |_, _| false);
        for (caller, body) in answers {
            respond(out, request_id(caller), (200, body));
        }
        self.write_log(0);
    }
}

fn push_line(text: &mut String, line: &Value) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{line}");
}

fn push_change(text: &mut String, revision: u64, key: &str, value: Option<&Value>) {
    push_line(text, &json!({"rev": revision, "key": key, "value": value}));
}

/// Replays a log into the store; returns the number of the next machine, 0 without a log.
fn restore(path: &Path, state: &mut StateService) -> io::Result<u64> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(0),
        Err(error) => return Err(error),
    };
    let mut next_machine = 0;
    for line in BufReader::new(file).lines() {
        // A truncated line is the last one, and its change was never acknowledged.
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

/// Writes a new log with the current state and opens it for appending. The new file replaces
/// the old one by an atomic rename, so that a crash in between loses nothing.
fn start_log(path: &Path, state: &StateService, next_machine: u64) -> io::Result<File> {
    let new_path = path.with_extension("new");
    let mut text = String::new();
    push_line(&mut text, &json!({ "machine": next_machine }));
    for (revision, key, value) in state.durable() {
        push_change(&mut text, revision, key, Some(value));
    }
    // The revision must not decrease after a restart, even if the last change was a deletion.
    push_change(&mut text, state.revision(), REVISION_KEY, None);
    std::fs::write(&new_path, text)?;
    std::fs::rename(&new_path, path)?;
    OpenOptions::new().append(true).open(path)
}
