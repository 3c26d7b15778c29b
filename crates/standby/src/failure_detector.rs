//! Watching over the holder.

use beamhinge_vocab::types::{MachineId, Time};
use std::collections::BTreeSet;

/// Words come each second: this much later two have stayed away, seconds.
const SILENT_S: f64 = 2.2;
/// A holder must have been heard for so long, seconds: one that began just now, or
/// that we hear for the first time, is not judged by us.
const KNOWN_S: f64 = 8.0;
/// Words that are further apart begin a new acquaintance, seconds.
const APART_S: f64 = 4.0;
/// Workers that have to come here instead. One may have a broken link of its own.
const WITNESSES: usize = 3;
/// The first of them comes so soon after the last word, seconds: from a process that
/// ended, connections are reset and workers try the next a second later. From one
/// that is merely slow they come after their time-out of four seconds; taking the
/// lead from it would hand its load, and its slowness, on and on.
const SEEN_S: f64 = 3.2;
/// Further apart than this they do not tell of one end, seconds.
const TOGETHER_S: f64 = 3.0;
/// Those whose turn is later wait so much longer each, seconds.
const TURN_S: f64 = 0.8;
/// Between two takes by this finding, seconds: a holder that is only slow, or that
/// peers do not hear, must not lose the lead again and again.
const RARE_S: f64 = 15.0;
/// Longest since the state service answered us, seconds: a watch waits for three.
const LEDGER_S: f64 = 3.5;
/// Machines that are remembered; guards memory.
const MOST_WITNESSES: usize = 256;

/// What the watcher knows of itself.
#[derive(Clone, Copy, Debug)]
pub struct Observer {
    /// Seconds since the state service last answered us.
    pub ledger_age_s: f64,
    /// Our jobs are read.
    pub warm: bool,
    /// Seconds since we ourselves stood still, if we did.
    pub back_for_s: Option<f64>,
    /// How many others go before us.
    pub turn: u32,
}

/// What is known of the holder without the state service.
///
/// Two witnesses are needed: its words to its peers stay away, and workers come
/// here whom it answered until then. Words alone stop where a filter stands
/// between controllers; workers alone come where their links to it are broken.
#[derive(Debug, Default)]
pub struct FailureDetector {
    holder: Option<String>,
    known_since: Time,
    last_heartbeat: Time,
    /// Who came since the last word, and when the first of them did.
    witnesses: BTreeSet<MachineId>,
    first_witness: Time,
    /// When a take was last advised.
    last_suspicion: Option<Time>,
}

impl FailureDetector {
    /// The holder said that it holds the block.
    pub fn heartbeat(&mut self, now: Time, holder: &str) {
        let new = self.holder.as_deref() != Some(holder);
        if new || now.since(self.last_heartbeat) > APART_S {
            self.known_since = now;
        }
        if new {
            self.holder = Some(holder.to_string());
        }
        self.last_heartbeat = now;
        self.witnesses.clear();
    }

    /// A worker reported here, not there.
    pub fn reported_here(&mut self, now: Time, machine: MachineId) {
        if self.witnesses.is_empty() || now.since(self.first_witness) > TOGETHER_S {
            self.witnesses.clear();
            self.first_witness = now;
        }
        if self.witnesses.len() < MOST_WITNESSES {
            self.witnesses.insert(machine);
        }
    }

    /// Whether nothing is heard of the holder: it is not named to workers then.
    pub fn is_silent(&self, now: Time) -> bool {
        self.holder.is_some() && now.since(self.last_heartbeat) > SILENT_S
    }

    /// The holder that is gone, if it is our turn to take the lead.
    pub fn suspected(&mut self, now: Time, own: Observer) -> Option<&str> {
        let holder = self.holder.as_deref()?;
        let silent_s = now.since(self.last_heartbeat);
        let known = self.last_heartbeat.since(self.known_since) >= KNOWN_S;
        // Words and workers that came while we stood still tell nothing.
        let present = own.back_for_s.is_none_or(|s| s > silent_s + SILENT_S);
        let together = now.since(self.first_witness) <= TOGETHER_S;
        let seen = self.first_witness.since(self.last_heartbeat) <= SEEN_S;
        let witnessed = self.witnesses.len() >= WITNESSES && together && seen;
        let rare = self.last_suspicion.is_none_or(|at| now.since(at) > RARE_S);
        let fit = own.warm && own.ledger_age_s < LEDGER_S && present;
        let due = silent_s > SILENT_S + TURN_S * f64::from(own.turn);
        if !(known && due && witnessed && fit && rare) {
            return None;
        }
        self.last_suspicion = Some(now);
        Some(holder)
    }
}

#[cfg(test)]
mod tests;
