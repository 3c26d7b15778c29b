//! The failure detector of a controller that does not lead: by missing heartbeats and
//! by workers that abandon the holder.

use beamhinge_core::types::{FencingToken, MachineId, Time};
use std::collections::{BTreeSet, VecDeque};

/// How often a holder tells its peers that it holds the block, seconds.
pub const HEARTBEAT_S: f64 = 0.5;
/// Silence that counts, seconds: three heartbeats are missing, since one that is lost
/// is sent again by TCP only after a few tenths of a second.
const SILENT_S: f64 = 1.5;
/// Silence that counts, in heartbeat intervals as observed: a holder of an earlier
/// version sends them each second, and a slow link spreads them.
const SILENT_INTERVALS: f64 = 2.2;
/// Weight of the newest interval in the observed one.
const INTERVAL_WEIGHT: f64 = 0.25;
/// A holder must have been heard for so long, seconds: one that began just now reads
/// its books and takes in all reports at once.
const KNOWN_S: f64 = 3.0;
/// Heartbeats that are further apart begin a new acquaintance, seconds.
const APART_S: f64 = 4.0;
/// Workers that have to come here instead. One may have a broken link of its own.
const WITNESSES: usize = 3;
/// The first of them comes so soon after the last heartbeat, seconds: from a process that
/// ended, connections are reset and workers try the next a second later. From one
/// that is merely slow they come after their time-out of four seconds; taking the
/// lead from it would hand its load, and its slowness, on and on.
const SEEN_S: f64 = 3.2;
/// Further apart than this they do not tell of one end, seconds.
const TOGETHER_S: f64 = 3.0;
/// Those whose turn is later wait so much longer each, seconds: longer than a
/// transaction and its news take. Two that try at once cost a refused transaction.
const TURN_S: f64 = 0.1;
/// Between two suspicions of this process, seconds: a holder that is only slow, or that
/// peers do not hear, must not lose the lead again and again.
const RARE_S: f64 = 15.0;
/// Changes of the holder that are remembered, and for how long, seconds.
const MAX_CHANGES: usize = 4;
const CHANGES_S: f64 = 30.0;
/// Each change beyond the first of that time adds so much to the silence that counts,
/// seconds: a back-off over all controllers, not only this one.
const BACKOFF_S: f64 = 0.7;
/// Longest since the state service answered us, seconds: a watch waits for three.
const LEDGER_S: f64 = 3.5;
/// Machines that are remembered; guards memory.
const MAX_WITNESSES: usize = 256;

/// What the observing controller knows of itself.
#[derive(Clone, Copy, Debug)]
pub struct Observer {
    /// Seconds since the state service last answered us.
    pub store_age_s: f64,
    /// Our jobs are read.
    pub jobs_loaded: bool,
    /// Seconds since we ourselves stood still, if we did.
    pub resumed_for_s: Option<f64>,
    /// How many others go before us.
    pub rank: u32,
}

/// What is known of the holder without the state service.
///
/// Two witnesses are needed: its heartbeats stay away, and workers come here that
/// carry its token, so that it answered them until then. Heartbeats alone stop where a
/// filter stands between controllers; workers alone come where their links to it are
/// broken, and new machines come anywhere.
#[derive(Debug)]
pub struct FailureDetector {
    leader: Option<String>,
    token: FencingToken,
    known_since: Time,
    last_heartbeat: Time,
    /// Seconds between heartbeats, as a moving average.
    interval_s: f64,
    /// Who came since the last heartbeat, and when the first of them did.
    witnesses: BTreeSet<MachineId>,
    first_witness: Time,
    /// When a take was last advised.
    last_suspicion: Option<Time>,
    /// When another holder was heard of, lately.
    changes: VecDeque<Time>,
}

impl Default for FailureDetector {
    fn default() -> FailureDetector {
        FailureDetector {
            leader: None,
            token: FencingToken(0),
            known_since: Time::default(),
            last_heartbeat: Time::default(),
            interval_s: HEARTBEAT_S,
            witnesses: BTreeSet::new(),
            first_witness: Time::default(),
            last_suspicion: None,
            changes: VecDeque::new(),
        }
    }
}

impl FailureDetector {
    /// The holder said that it holds the block with this token.
    pub fn on_heartbeat(&mut self, now: Time, leader: &str, token: FencingToken) {
        let first = self.leader.is_none();
        let new = self.leader.as_deref() != Some(leader);
        let gap_s = now.since(self.last_heartbeat);
        // A holder that was deposed may say so for a while longer.
        if new && token < self.token && gap_s <= APART_S {
            return;
        }
        if new || gap_s > APART_S {
            self.known_since = now;
            self.interval_s = HEARTBEAT_S;
        } else {
            self.interval_s += INTERVAL_WEIGHT * (gap_s - self.interval_s);
        }
        if new {
            self.leader = Some(leader.to_string());
            if !first {
                self.note_change(now);
            }
        }
        self.token = token;
        self.last_heartbeat = now;
        self.witnesses.clear();
    }

    fn note_change(&mut self, now: Time) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(now);
    }

    /// A worker reported here, not there; `seen` is the highest token it has seen. One
    /// that the holder has not answered yet witnesses nothing: a new machine begins
    /// with any controller.
    pub fn on_misrouted_report(&mut self, now: Time, machine: MachineId, seen: FencingToken) {
        if seen != self.token {
            return;
        }
        if self.witnesses.is_empty() || now.since(self.first_witness) > TOGETHER_S {
            self.witnesses.clear();
            self.first_witness = now;
        }
        if self.witnesses.len() < MAX_WITNESSES {
            self.witnesses.insert(machine);
        }
    }

    /// Whether nothing is heard of the holder: it is not named to workers then.
    pub fn is_silent(&self, now: Time) -> bool {
        self.leader.is_some() && now.since(self.last_heartbeat) > self.silence_limit_s(now)
    }

    /// Silence that counts, seconds.
    fn silence_limit_s(&self, now: Time) -> f64 {
        let lately = self
            .changes
            .iter()
            .filter(|at| now.since(**at) <= CHANGES_S)
            .count();
        let backoff_s = BACKOFF_S * lately.saturating_sub(1) as f64;
        SILENT_S.max(SILENT_INTERVALS * self.interval_s) + backoff_s
    }

    /// The holder that is gone, if it is our turn to take the lead.
    pub fn suspect(&mut self, now: Time, own: Observer) -> Option<&str> {
        let leader = self.leader.as_deref()?;
        let silent_s = now.since(self.last_heartbeat);
        let limit_s = self.silence_limit_s(now);
        let known = self.last_heartbeat.since(self.known_since) >= KNOWN_S;
        // Heartbeats and workers that came while we stood still tell nothing.
        let present = own.resumed_for_s.is_none_or(|s| s > silent_s + limit_s);
        let together = now.since(self.first_witness) <= TOGETHER_S;
        let seen = self.first_witness.since(self.last_heartbeat) <= SEEN_S;
        let witnessed = self.witnesses.len() >= WITNESSES && together && seen;
        let rare = self.last_suspicion.is_none_or(|at| now.since(at) > RARE_S);
        let fit = own.jobs_loaded && own.store_age_s < LEDGER_S && present;
        let due = silent_s > limit_s + TURN_S * f64::from(own.rank);
        if !(known && due && witnessed && fit && rare) {
            return None;
        }
        self.last_suspicion = Some(now);
        Some(leader)
    }
}

/// How many controllers take the lead before `own` when `holder` is gone: those that
/// follow it in the ring of labels, where its workers go as well.
pub fn takeover_rank<'a>(leader: &str, own: &str, members: impl Iterator<Item = &'a str>) -> u32 {
    let after = |label: &str| (label <= leader, label.to_string());
    let ours = after(own);
    members
        .filter(|label| *label != leader && after(label) < ours)
        .count() as u32
}

#[cfg(test)]
mod tests;
