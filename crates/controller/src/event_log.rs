//! The leader's recent decisions, for the admin API.
//!
//! The log is bounded. Without a configured admin address nothing is recorded.

use beamhinge_admin_api::messages::{Decision, DecisionKind};
use beamhinge_core::types::WallMs;
use std::collections::VecDeque;

/// Maximum number of retained decisions. A query for older ones is told how many were discarded.
const MAX_DECISIONS: usize = 1_024;
/// Maximum number of placement ages kept between two metric samples, which are taken once a
/// second; further ones are not counted. A leader's first scheduling cycle may start a task on
/// each of 8,192 machines at once, and more than one on some; 16,384 ages take 128 KB.
const MAX_PLACEMENT_AGES: usize = 16_384;
/// Number of decision kinds that are counted.
const KIND_COUNT: usize = 9;

/// Names of the decision kinds on the metrics page, indexed by [`kind_index`].
pub const KIND_NAMES: [&str; KIND_COUNT] = [
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

/// A page of decisions after a serial number.
#[derive(Debug, PartialEq)]
pub struct DecisionPage {
    /// Oldest first.
    pub decisions: Vec<Decision>,
    /// Number of decisions after the requested serial number that were already discarded.
    pub missed: u64,
}

/// Records the leader's decisions.
#[derive(Default)]
pub struct EventLog {
    enabled: bool,
    /// Wall-clock time of the decisions that are recorded next.
    wall: WallMs,
    last_serial: u64,
    decisions: VecDeque<Decision>,
    counts: [u64; KIND_COUNT],
    /// Ages of the jobs whose tasks were placed since the last sample, one per task, seconds.
    placement_ages_s: Vec<f64>,
}

impl EventLog {
    /// Creates an empty log, which records only if `enabled`.
    pub fn new(enabled: bool) -> EventLog {
        EventLog {
            enabled,
            ..EventLog::default()
        }
    }

    /// Sets the wall-clock time of the decisions that are recorded next.
    pub fn set_time(&mut self, wall: WallMs) {
        self.wall = wall;
    }

    /// Records a decision. `decision` is called only if the log is enabled, since formatting names
    /// costs time.
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

    /// Records the placement of a task whose job was submitted at `submitted_ms`, wall-clock time.
    pub fn record_placement(&mut self, submitted_ms: u64) {
        if self.enabled && self.placement_ages_s.len() < MAX_PLACEMENT_AGES {
            let age_s = (self.wall.0 as f64 - submitted_ms as f64).max(0.0) / 1e3;
            self.placement_ages_s.push(age_s);
        }
    }

    /// Takes the ages of the jobs whose tasks were placed since the last call, seconds.
    pub fn take_placement_ages(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.placement_ages_s)
    }

    /// Returns the number of decisions of each kind.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        KIND_NAMES.iter().copied().zip(self.counts)
    }

    /// Returns at most `limit` decisions after a serial number.
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
