//! The failure detector of a standby: missing heartbeats of the leader, and workers that
//! report here instead of to the leader.

use beamhinge_core::types::{FencingToken, MachineId, Time};
use std::collections::{BTreeSet, VecDeque};

/// How often a leader sends heartbeats to its peers, seconds.
pub const HEARTBEAT_S: f64 = 0.5;
/// Shortest silence that makes a leader suspect, seconds: three heartbeats are missing, since
/// one that is lost is sent again by TCP only after a few tenths of a second.
const MIN_SILENCE_S: f64 = 1.5;
/// Silence that makes a leader suspect, in observed heartbeat intervals: a leader of an
/// earlier version sends them each second, and a slow link spreads them.
const SILENT_INTERVALS: f64 = 2.2;
/// Weight of the newest interval in the moving average.
const INTERVAL_WEIGHT: f64 = 0.25;
/// A leader must have sent heartbeats for so long, seconds: one that began just now loads its
/// state and ingests all reports at once.
const MIN_KNOWN_S: f64 = 3.0;
/// Heartbeats that are further apart start the observation of the leader anew, seconds.
const MAX_GAP_S: f64 = 4.0;
/// Misrouted workers that are needed. A single one may have a broken link of its own.
const MIN_WITNESSES: usize = 3;
/// Longest time from the last heartbeat to the first misrouted worker, seconds. Connections to
/// a process that ended are reset, and workers try the next controller a second later; those
/// of a leader that is merely slow come after their time-out of four seconds. Taking over from
/// a slow leader would hand its load, and its slowness, on and on.
const MAX_FIRST_WITNESS_S: f64 = 3.2;
/// Misrouted workers further apart than this do not point to the same failure, seconds.
const WITNESS_WINDOW_S: f64 = 3.0;
/// Additional wait for each controller of a better rank, seconds: longer than a transaction
/// and the watch event about it take. Two that try at once cost a refused transaction.
const RANK_DELAY_S: f64 = 0.1;
/// Least time between two suspicions of this process, seconds: a leader that is only slow, or
/// whose heartbeats do not arrive, must not lose leadership again and again.
const MIN_SUSPICION_INTERVAL_S: f64 = 15.0;
/// Changes of the leader that are remembered; guards memory.
const MAX_CHANGES: usize = 4;
/// How long a change of the leader counts, seconds.
const CHANGE_WINDOW_S: f64 = 30.0;
/// Added silence for each change of the leader beyond the first in that window, seconds: a
/// back-off over all controllers, not only this one.
const CHANGE_BACKOFF_S: f64 = 0.7;
/// Longest since the key-value store answered this controller, seconds: a watch waits for
/// three.
const MAX_STORE_AGE_S: f64 = 3.5;
/// Misrouted workers that are remembered; guards memory.
const MAX_WITNESSES: usize = 256;

/// What the observing controller knows about itself.
#[derive(Clone, Copy, Debug)]
pub struct Observer {
    /// Seconds since the key-value store last answered this controller.
    pub store_age_s: f64,
    /// This controller has read all jobs, so it could schedule at once.
    pub jobs_loaded: bool,
    /// Seconds since this process resumed from a pause, if it was paused.
    pub resumed_for_s: Option<f64>,
    /// How many other controllers take over before this one ([`takeover_rank`]).
    pub rank: u32,
}

/// What is known about the leader without the key-value store.
///
/// A suspicion needs two kinds of evidence: the leader's heartbeats stay away, and workers
/// report here that carry its fencing token, so it answered them until then. Heartbeats alone
/// stop where the network between controllers is partitioned; workers alone come where their
/// links to the leader are broken, and new machines start with any controller.
#[derive(Debug)]
pub struct FailureDetector {
    leader: Option<String>,
    token: FencingToken,
    /// Since when the leader's heartbeats come without a gap.
    known_since: Time,
    last_heartbeat: Time,
    /// Seconds between heartbeats, as a moving average.
    interval_s: f64,
    /// Machines that reported here since the last heartbeat.
    witnesses: BTreeSet<MachineId>,
    /// When the first of the witnesses reported.
    first_witness: Time,
    last_suspicion: Option<Time>,
    /// When the latest changes of the leader were noticed.
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
    /// Handles a heartbeat: `leader` says that it owns the block key with this token.
    pub fn on_heartbeat(&mut self, now: Time, leader: &str, token: FencingToken) {
        let first_leader = self.leader.is_none();
        let changed = self.leader.as_deref() != Some(leader);
        let gap_s = now.since(self.last_heartbeat);
        // A deposed leader may send heartbeats for a while longer.
        if changed && token < self.token && gap_s <= MAX_GAP_S {
            return;
        }
        if changed || gap_s > MAX_GAP_S {
            self.known_since = now;
            self.interval_s = HEARTBEAT_S;
        } else {
            self.interval_s += INTERVAL_WEIGHT * (gap_s - self.interval_s);
        }
        if changed {
            self.leader = Some(leader.to_string());
            if !first_leader {
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

    /// Handles the report of a worker that came here instead of to the leader;
    /// `highest_seen_token` is the highest fencing token the worker has seen. A worker that
    /// the leader has not answered yet is no evidence: a new machine starts with any
    /// controller.
    pub fn on_misrouted_report(
        &mut self,
        now: Time,
        machine: MachineId,
        highest_seen_token: FencingToken,
    ) {
        if highest_seen_token != self.token {
            return;
        }
        if self.witnesses.is_empty() || now.since(self.first_witness) > WITNESS_WINDOW_S {
            self.witnesses.clear();
            self.first_witness = now;
        }
        if self.witnesses.len() < MAX_WITNESSES {
            self.witnesses.insert(machine);
        }
    }

    /// Whether the leader's heartbeats stay away; workers are not redirected to it then.
    pub fn is_silent(&self, now: Time) -> bool {
        self.leader.is_some() && now.since(self.last_heartbeat) > self.silence_limit_s(now)
    }

    /// Silence that makes the leader suspect, seconds.
    fn silence_limit_s(&self, now: Time) -> f64 {
        let recent_changes = self
            .changes
            .iter()
            .filter(|at| now.since(**at) <= CHANGE_WINDOW_S)
            .count();
        let backoff_s = CHANGE_BACKOFF_S * recent_changes.saturating_sub(1) as f64;
        MIN_SILENCE_S.max(SILENT_INTERVALS * self.interval_s) + backoff_s
    }

    /// The leader that is presumed dead, if it is this controller's turn to take over.
    ///
    /// A returned suspicion counts as acted on: the next one follows fifteen seconds later at the
    /// earliest.
    pub fn suspect(&mut self, now: Time, observer: Observer) -> Option<&str> {
        let leader = self.leader.as_deref()?;
        let known = self.last_heartbeat.since(self.known_since) >= MIN_KNOWN_S;
        let rate_limited = self
            .last_suspicion
            .is_some_and(|at| now.since(at) <= MIN_SUSPICION_INTERVAL_S);
        if !known
            || rate_limited
            || !self.is_overdue(now, observer.rank)
            || !self.has_witnesses(now)
            || !self.can_take_over(now, observer)
        {
            return None;
        }
        self.last_suspicion = Some(now);
        Some(leader)
    }

    /// Whether the leader is silent for so long that a controller of this rank may act.
    fn is_overdue(&self, now: Time, rank: u32) -> bool {
        let silent_s = now.since(self.last_heartbeat);
        silent_s > self.silence_limit_s(now) + RANK_DELAY_S * f64::from(rank)
    }

    /// Whether enough workers of the leader reported here, soon after its last heartbeat and
    /// close together.
    fn has_witnesses(&self, now: Time) -> bool {
        self.witnesses.len() >= MIN_WITNESSES
            && now.since(self.first_witness) <= WITNESS_WINDOW_S
            && self.first_witness.since(self.last_heartbeat) <= MAX_FIRST_WITNESS_S
    }

    /// Whether this controller could schedule at once and was not paused itself: what arrived,
    /// or did not arrive, during its own pause is no evidence.
    fn can_take_over(&self, now: Time, observer: Observer) -> bool {
        let silent_s = now.since(self.last_heartbeat);
        let running = observer
            .resumed_for_s
            .is_none_or(|since_s| since_s > silent_s + self.silence_limit_s(now));
        observer.jobs_loaded && observer.store_age_s < MAX_STORE_AGE_S && running
    }
}

/// How many controllers take over before `own` when `leader` is dead: those that follow the
/// leader in the ring of labels, to which its workers turn as well.
pub fn takeover_rank<'a>(leader: &str, own: &str, members: impl Iterator<Item = &'a str>) -> u32 {
    let position = |label: &str| (label <= leader, label.to_string());
    let own_position = position(own);
    members
        .filter(|label| *label != leader && position(label) < own_position)
        .count() as u32
}

#[cfg(test)]
mod tests;
