//! The fixed days whose fingerprints are recorded, and the record that they are compared with.
//!
//! The record is a text file with a line `NAME FINGERPRINT` for each day. A change that
//! must not affect decisions must leave the record unchanged. A change of a decision, a stored
//! record, a message or the package version (which is sent to operators) updates it with
//! `beamhinge-testbed days --fingerprint --record`.

use super::Fingerprint;
use crate::combined_faults;
use crate::days::{self, Day};
use crate::scenario::{self, ScenarioError};
use beamhinge_controller::faults::Faults;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Seeds and numbers of the generated days.
const DRAWN: [(u64, u64); 4] = [(1, 0), (1, 1), (31, 2), (77, 3)];
/// Seeds and numbers of the days of combined faults.
const COMBINED: [(u64, u64); 3] = [(1, 0), (4, 57), (31, 14)];
/// Fewest and most machines of the days of combined faults.
const COMBINED_MACHINES: (f64, f64) = (6.0, 40.0);

/// A scenario of the controller, by the name of its file.
macro_rules! scenario {
    ($name:literal) => {
        (
            $name,
            include_str!(concat!(
                "../../../controller/tests/scenarios/",
                $name,
                ".txt"
            )),
        )
    };
}

/// Scenarios with the end of a leader, outages of the key-value store, configuration changes,
/// and decisions that are rare on the generated days.
const SCENARIOS: [(&str, &str); 11] = [
    scenario!("ageing_service"),
    scenario!("cancel_in_pairs"),
    scenario!("config_leader_ends"),
    scenario!("config_many_at_once"),
    scenario!("drain_leader"),
    scenario!("explain_split"),
    scenario!("long_state_outage"),
    scenario!("quiet_day"),
    scenario!("room_two_claims"),
    scenario!("six_teams"),
    scenario!("spot_notice_saves"),
];

/// A line of a record that isn't a name and a fingerprint.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the fingerprint record is not of the form NAME FINGERPRINT")]
pub struct InvalidRecord {
    /// Line number, counted from one.
    pub line: usize,
}

/// A day that could not be played.
#[derive(Debug, thiserror::Error)]
#[error("{day}: {source}")]
pub struct PlayError {
    /// The day's name.
    pub day: String,
    /// The error in its text.
    pub source: ScenarioError,
}

/// Fingerprints, by the names of their days.
pub type Record = BTreeMap<String, Fingerprint>;

/// The fixed days.
pub fn fixed() -> Vec<Day> {
    let drawn = DRAWN.map(|(seed, number)| days::generate(seed, number, days::SMALL));
    let combined =
        COMBINED.map(|(seed, number)| combined_faults::generate(seed, number, COMBINED_MACHINES));
    let scenarios = SCENARIOS.map(|(name, text)| Day {
        name: name.to_string(),
        text: text.to_string(),
        machines: 0,
        fault_counts: BTreeMap::new(),
    });
    drawn.into_iter().chain(combined).chain(scenarios).collect()
}

/// Plays all days, up to `threads` of them in parallel, and returns their fingerprints.
/// `faults` are past faults that are put back into the controllers.
///
/// # Errors
/// If the text of a day cannot be parsed.
pub fn play(days: &[Day], faults: Faults, threads: usize) -> Result<Record, PlayError> {
    let (next, played) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, days.len().max(1)) {
            scope.spawn(|| {
                while let Some(day) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = play_day(day, faults);
                    if let Ok(mut played) = played.lock() {
                        played.push(result);
                    }
                }
            });
        }
    });
    played
        .into_inner()
        .unwrap_or_default()
        .into_iter()
        .collect()
}

fn play_day(day: &Day, faults: Faults) -> Result<(String, Fingerprint), PlayError> {
    match scenario::play(&day.text, faults) {
        Ok(outcome) => Ok((day.name.clone(), outcome.fingerprint)),
        Err(source) => Err(PlayError {
            day: day.name.clone(),
            source,
        }),
    }
}

/// The record as text, one line for each day.
pub fn write(record: &Record) -> String {
    let mut text = String::new();
    for (name, fingerprint) in record {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{name} {fingerprint}");
    }
    text
}

/// Parses a record.
///
/// # Errors
/// If a line isn't a name and a fingerprint.
pub fn read(text: &str) -> Result<Record, InvalidRecord> {
    let entry = |line: &str| {
        let (name, fingerprint) = line.split_once(' ')?;
        Some((name.to_string(), fingerprint.parse().ok()?))
    };
    let lines = text.lines().enumerate();
    lines
        .map(|(n, line)| entry(line).ok_or(InvalidRecord { line: n + 1 }))
        .collect()
}

/// The names of days that are in only one of the two records, or whose fingerprints differ.
pub fn differences(recorded: &Record, played: &Record) -> Vec<String> {
    let names: BTreeSet<&String> = recorded.keys().chain(played.keys()).collect();
    let differs = |name: &&String| recorded.get(*name) != played.get(*name);
    names.into_iter().filter(differs).cloned().collect()
}
