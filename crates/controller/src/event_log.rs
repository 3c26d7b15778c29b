//! The holder's recent decisions, for operators: bounded, and kept only where
//! an operators' address is set.

use beamhinge_admin_api::messages::{Decision, What};
use beamhinge_core::types::WallMs;
use std::collections::VecDeque;

/// Decisions that are remembered; who asks for older ones is told how many are forgotten.
const MAX_DECISIONS: usize = 1_024;
/// Ages of placed tasks that are kept until they are counted, once a second; further ones are
/// not counted. The lead's first placement may start a task on each of 8,192 machines at once,
/// and more than one on some; 16,384 ages are 128 KB.
const MAX_WAITS: usize = 16_384;

#[derive(Default)]
pub struct EventLog {
    on: bool,
    wall: WallMs,
    next: u64,
    ring: VecDeque<Decision>,
    counts: [u64; KINDS],
    /// Ages of jobs whose tasks were placed since last asked, seconds.
    waits: Vec<f64>,
}

/// Kinds of decisions that are counted.
const KINDS: usize = 9;

fn kind(what: &What) -> usize {
    match what {
        What::Placed { .. } => 0,
        What::Stopped { .. } => 1,
        What::Ended { .. } => 2,
        What::Rented { .. } => 3,
        What::Refused { .. } => 4,
        What::Returned { .. } => 5,
        What::SetAside { .. } => 6,
        What::Done { .. } => 7,
        What::Took { .. } => 8,
    }
}

/// Their names, in the order of [`kind`].
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

impl EventLog {
    pub fn new(on: bool) -> EventLog {
        EventLog {
            on,
            ..EventLog::default()
        }
    }

    pub fn at(&mut self, wall: WallMs) {
        self.wall = wall;
    }

    /// Written down only where somebody may read it: names cost time.
    pub fn note(&mut self, what: impl FnOnce() -> What) {
        if !self.on {
            return;
        }
        let what = what();
        self.counts[kind(&what)] += 1;
        self.next += 1;
        if self.ring.len() >= MAX_DECISIONS {
            self.ring.pop_front();
        }
        self.ring.push_back(Decision {
            serial: self.next,
            at_ms: self.wall.0,
            what,
        });
    }

    /// A task of a job submitted at this time of day was placed.
    pub fn placed(&mut self, submitted_ms: u64) {
        if self.on && self.waits.len() < MAX_WAITS {
            self.waits
                .push((self.wall.0 as f64 - submitted_ms as f64).max(0.0) / 1e3);
        }
    }

    pub fn take_waits(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.waits)
    }

    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        KIND_NAMES.iter().copied().zip(self.counts)
    }

    /// Those after a serial, oldest first, and how many between were forgotten.
    pub fn after(&self, serial: u64, limit: usize) -> (Vec<Decision>, u64) {
        let first = self.ring.front().map_or(self.next + 1, |d| d.serial);
        let missed = first.saturating_sub(serial + 1);
        let rows = self
            .ring
            .iter()
            .filter(|d| d.serial > serial)
            .take(limit)
            .cloned();
        (rows.collect(), missed)
    }
}

#[cfg(test)]
mod tests;
