//! The leader's recent decisions, for the admin API.
//!
//! Bounded, and kept only where an admin address is set: without one nothing is recorded.

use beamhinge_admin_api::messages::{Decision, DecisionKind};
use beamhinge_core::types::WallMs;
use std::collections::VecDeque;

/// Decisions that are remembered; who asks for older ones is told how many are forgotten.
const MAX_DECISIONS: usize = 1_024;
/// Ages of placed tasks that are kept until they are counted, once a second; further ones are
/// not counted. A leader's first placement may start a task on each of 8,192 machines at once,
/// and more than one on some; 16,384 ages are 128 KB.
const MAX_PLACEMENT_AGES: usize = 16_384;
/// Kinds of decisions that are counted.
const KINDS: usize = 9;

/// Names of the kinds of decisions on the metrics page, in the order of [`kind_index`].
pub const KIND_NAMES: [&str; KINDS] = [
    "placed",
    "stopped",
    "ended",
    "rented",
    "refused",
    "returned",
    "set_aside",
    "done",
    "took",
];

fn kind_index(decision: &DecisionKind) -> usize {
    match decision {
        DecisionKind::Placed { .. } => 0,
        DecisionKind::Stopped { .. } => 1,
        DecisionKind::Ended { .. } => 2,
        DecisionKind::Rented { .. } => 3,
        DecisionKind::Refused { .. } => 4,
        DecisionKind::Returned { .. } => 5,
        DecisionKind::Quarantined { .. } => 6,
        DecisionKind::Done { .. } => 7,
        DecisionKind::LeadershipAcquired { .. } => 8,
    }
}

/// Decisions after a serial number.
#[derive(Debug, PartialEq)]
pub struct DecisionPage {
    /// Oldest first.
    pub decisions: Vec<Decision>,
    /// Decisions between the serial number and the first of these that are forgotten.
    pub missed: u64,
}

/// Records the leader's decisions.
#[derive(Default)]
pub struct EventLog {
    enabled: bool,
    /// Time of day of what is recorded next.
    wall: WallMs,
    last_serial: u64,
    decisions: VecDeque<Decision>,
    counts: [u64; KINDS],
    /// Ages of jobs whose tasks were placed since these were last taken, seconds.
    placement_ages_s: Vec<f64>,
}

impl EventLog {
    /// An empty log, which records only if it is enabled.
    pub fn new(enabled: bool) -> EventLog {
        EventLog {
            enabled,
            ..EventLog::default()
        }
    }

    /// Sets the time of day of what is recorded next.
    pub fn set_time(&mut self, wall: WallMs) {
        self.wall = wall;
    }

    /// Records a decision. It is built only if the log is enabled, since formatting names costs
    /// time.
    pub fn record(&mut self, decision: impl FnOnce() -> DecisionKind) {
        if !self.enabled {
            return;
        }
        let decision = decision();
        self.counts[kind_index(&decision)] += 1;
        self.last_serial += 1;
        if self.decisions.len() >= MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(Decision {
            serial: self.last_serial,
            at_ms: self.wall.0,
            what: decision,
        });
    }

    /// A task was placed, of a job that was submitted at this time of day.
    pub fn record_placement(&mut self, submitted_ms: u64) {
        if self.enabled && self.placement_ages_s.len() < MAX_PLACEMENT_AGES {
            let age_s = (self.wall.0 as f64 - submitted_ms as f64).max(0.0) / 1e3;
            self.placement_ages_s.push(age_s);
        }
    }

    /// Ages of the jobs whose tasks were placed since the last call, seconds.
    pub fn take_placement_ages(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.placement_ages_s)
    }

    /// Number of decisions of each kind.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        KIND_NAMES.iter().copied().zip(self.counts)
    }

    /// At most `limit` decisions after a serial number.
    pub fn decisions_after(&self, serial: u64, limit: usize) -> DecisionPage {
        let first = self
            .decisions
            .front()
            .map_or(self.last_serial + 1, |d| d.serial);
        DecisionPage {
            decisions: self
                .decisions
                .iter()
                .filter(|d| d.serial > serial)
                .take(limit)
                .cloned()
                .collect(),
            missed: first.saturating_sub(serial + 1),
        }
    }
}

#[cfg(test)]
mod tests;
