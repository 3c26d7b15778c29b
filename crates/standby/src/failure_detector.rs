//! The failure detector of a standby controller. Its evidence is missing heartbeats of the leader
//! and workers that report to this controller instead of the leader.

use beamhinge_core::types::{FencingToken, MachineId, Time};
use std::collections::{BTreeSet, VecDeque};

/// How often a leader sends heartbeats to its peers, seconds.
pub const HEARTBEAT_INTERVAL_S: f64 = 0.5;
/// Minimum time without a heartbeat after which a leader is suspected, seconds. Three heartbeats
/// must be missing, because TCP retransmits a lost one only after a few tenths of a second.
const MIN_HEARTBEAT_TIMEOUT_S: f64 = 1.5;
/// Time without a heartbeat after which a leader is suspected, in observed heartbeat intervals: a
/// leader of an earlier version sends one each second, and a slow link lengthens the intervals.
const TIMEOUT_INTERVALS: f64 = 2.2;
/// Weight of the newest interval in the moving average.
const INTERVAL_WEIGHT: f64 = 0.25;
/// Minimum time for which a leader must have sent heartbeats before it can be suspected, seconds.
/// At the start of its term a leader loads its state and processes the reports of all workers.
const MIN_HEARTBEAT_HISTORY_S: f64 = 3.0;
/// Longest gap between heartbeats, seconds; a longer one restarts the observation of the leader.
const MAX_GAP_S: f64 = 4.0;
/// Minimum number of misrouted workers for a suspicion. The link of a single worker may be broken.
const MIN_MISROUTED_WORKERS: usize = 3;
/// Longest time from the last heartbeat to the first misrouted worker, seconds. Connections to
/// a terminated process are reset, and workers contact the next controller a second later; workers
/// of a slow leader do so only after their timeout of four seconds. A takeover from a slow leader
/// would only move its load to the next leader, which would become slow in turn.
const MAX_FIRST_MISROUTED_DELAY_S: f64 = 3.2;
/// Longest time between misrouted reports that count as evidence of the same failure, seconds.
const MISROUTED_WINDOW_S: f64 = 3.0;
/// Additional wait for each controller of a better rank, seconds: longer than a transaction and
/// the watch event about it take. If two controllers try at once, one transaction is refused.
const RANK_DELAY_S: f64 = 0.1;
/// Minimum time between two suspicions of this process, seconds: a leader that is only slow, or
/// whose heartbeats do not arrive, must not lose leadership repeatedly.
const MIN_SUSPICION_INTERVAL_S: f64 = 15.0;
/// Maximum number of recorded changes of the leader; bounds memory.
const MAX_LEADER_CHANGES: usize = 4;
/// How long a change of the leader lengthens the heartbeat timeout, seconds.
const CHANGE_WINDOW_S: f64 = 30.0;
/// Addition to the heartbeat timeout for each change of the leader beyond the first in that window,
/// seconds: a backoff across all controllers, not only this one.
const CHANGE_BACKOFF_S: f64 = 0.7;
/// Longest time since the key-value store answered this controller, seconds: a watch request takes
/// up to three seconds.
const MAX_STORE_AGE_S: f64 = 3.5;
/// Maximum number of recorded misrouted workers; bounds memory.
const MAX_MISROUTED_WORKERS: usize = 256;

/// State of the observing controller.
#[derive(Clone, Copy, Debug)]
pub struct Observer {
    /// Seconds since the key-value store last answered this controller.
    pub store_age_s: f64,
    /// Whether this controller has read all jobs, so that it could schedule immediately.
    pub jobs_loaded: bool,
    /// Seconds since this process resumed from a pause; `None` if it was never paused.
    pub resumed_for_s: Option<f64>,
    /// Number of other controllers that take over before this one ([`takeover_rank`]).
    pub rank: u32,
}

/// Detects the failure of the leader without the key-value store.
///
/// A suspicion needs two kinds of evidence: the leader's heartbeats are missing, and workers report
/// to this controller that carry the leader's fencing token, which shows that the leader answered
/// them before. Neither is enough alone: heartbeats are also missing during a network partition
/// between controllers, and workers also report here if their links to the leader are broken. New
/// machines contact any controller first.
#[derive(Debug)]
pub struct FailureDetector {
    leader: Option<String>,
    token: FencingToken,
    /// Time since which the leader's heartbeats have arrived without a gap.
    heartbeats_since: Time,
    last_heartbeat: Time,
    /// Seconds between heartbeats, as a moving average.
    interval_s: f64,
    /// Machines that reported to this controller since the last heartbeat.
    misrouted_machines: BTreeSet<MachineId>,
    /// Time of the first of these reports.
    first_misrouted_at: Time,
    last_suspicion: Option<Time>,
    /// Times at which the latest changes of the leader were detected.
    leader_changes: VecDeque<Time>,
}

impl Default for FailureDetector {
    fn default() -> FailureDetector {
        FailureDetector {
            leader: None,
            token: FencingToken(0),
            heartbeats_since: Time::default(),
            last_heartbeat: Time::default(),
            interval_s: HEARTBEAT_INTERVAL_S,
            misrouted_machines: BTreeSet::new(),
            first_misrouted_at: Time::default(),
            last_suspicion: None,
            leader_changes: VecDeque::new(),
        }
    }
}

impl FailureDetector {
    /// Handles a heartbeat, in which `leader` states that it owns the block key, and thus leads,
    /// with this fencing token.
    pub fn on_heartbeat(&mut self, now: Time, leader: &str, token: FencingToken) {
        let first_leader = self.leader.is_none();
        let changed = self.leader.as_deref() != Some(leader);
        let gap_s = now.since(self.last_heartbeat);
        // A leader whose term has ended may continue to send heartbeats for a short time.
        if changed && token < self.token && gap_s <= MAX_GAP_S {
            return;
        }
        if changed || gap_s > MAX_GAP_S {
            self.heartbeats_since = now;
            self.interval_s = HEARTBEAT_INTERVAL_S;
        } else {
            self.interval_s += INTERVAL_WEIGHT * (gap_s - self.interval_s);
        }
        if changed {
            self.leader = Some(leader.to_string());
            if !first_leader {
                self.record_leader_change(now);
            }
        }
        self.token = token;
        self.last_heartbeat = now;
        self.misrouted_machines.clear();
    }

    fn record_leader_change(&mut self, now: Time) {
        if self.leader_changes.len() == MAX_LEADER_CHANGES {
            self.leader_changes.pop_front();
        }
        self.leader_changes.push_back(now);
    }

    /// Handles the report of a worker to this controller instead of the leader.
    ///
    /// `highest_seen_token` is the highest fencing token the worker has seen. A worker that the
    /// leader has not answered yet is no evidence, since a new machine contacts any controller
    /// first.
    pub fn on_misrouted_report(
        &mut self,
        now: Time,
        machine: MachineId,
        highest_seen_token: FencingToken,
    ) {
        if highest_seen_token != self.token {
            return;
        }
        if self.misrouted_machines.is_empty()
            || now.since(self.first_misrouted_at) > MISROUTED_WINDOW_S
        {
            self.misrouted_machines.clear();
            self.first_misrouted_at = now;
        }
        if self.misrouted_machines.len() < MAX_MISROUTED_WORKERS {
            self.misrouted_machines.insert(machine);
        }
    }

    /// Whether the leader's heartbeats are missing; workers are not redirected to it then.
    pub fn is_silent(&self, now: Time) -> bool {
        self.leader.is_some() && now.since(self.last_heartbeat) > self.heartbeat_timeout_s(now)
    }

    /// Time without a heartbeat after which the leader is suspected, seconds.
    fn heartbeat_timeout_s(&self, now: Time) -> f64 {
        let recent_changes = self
            .leader_changes
            .iter()
            .filter(|at| now.since(**at) <= CHANGE_WINDOW_S)
            .count();
        let backoff_s = CHANGE_BACKOFF_S * recent_changes.saturating_sub(1) as f64;
        MIN_HEARTBEAT_TIMEOUT_S.max(TIMEOUT_INTERVALS * self.interval_s) + backoff_s
    }

    /// Returns the leader if it is presumed dead and it is this controller's turn to take over;
    /// otherwise `None`.
    ///
    /// The caller is expected to act on a returned suspicion: the next one follows fifteen seconds
    /// later at the earliest.
    pub fn suspect(&mut self, now: Time, observer: Observer) -> Option<&str> {
        let leader = self.leader.as_deref()?;
        let has_history =
            self.last_heartbeat.since(self.heartbeats_since) >= MIN_HEARTBEAT_HISTORY_S;
        let rate_limited = self
            .last_suspicion
            .is_some_and(|at| now.since(at) <= MIN_SUSPICION_INTERVAL_S);
        if !has_history
            || rate_limited
            || !self.is_overdue(now, observer.rank)
            || !self.has_misrouted_workers(now)
            || !self.can_take_over(now, observer)
        {
            return None;
        }
        self.last_suspicion = Some(now);
        Some(leader)
    }

    /// Whether heartbeats have been missing for long enough that a controller of this rank may
    /// act.
    fn is_overdue(&self, now: Time, rank: u32) -> bool {
        let since_heartbeat_s = now.since(self.last_heartbeat);
        since_heartbeat_s > self.heartbeat_timeout_s(now) + RANK_DELAY_S * f64::from(rank)
    }

    /// Whether enough workers of the leader reported to this controller, soon after its last
    /// heartbeat and close together.
    fn has_misrouted_workers(&self, now: Time) -> bool {
        self.misrouted_machines.len() >= MIN_MISROUTED_WORKERS
            && now.since(self.first_misrouted_at) <= MISROUTED_WINDOW_S
            && self.first_misrouted_at.since(self.last_heartbeat) <= MAX_FIRST_MISROUTED_DELAY_S
    }

    /// Whether this controller could schedule immediately and was not paused in that time: messages
    /// that arrived or were missing during its pause are no evidence.
    fn can_take_over(&self, now: Time, observer: Observer) -> bool {
        let since_heartbeat_s = now.since(self.last_heartbeat);
        let not_recently_paused = observer
            .resumed_for_s
            .is_none_or(|resumed_s| resumed_s > since_heartbeat_s + self.heartbeat_timeout_s(now));
        observer.jobs_loaded && observer.store_age_s < MAX_STORE_AGE_S && not_recently_paused
    }
}

/// Number of controllers that take over before `local_label` when `leader` is dead: those between
/// the two in the ring of labels. The workers of a dead leader contact controllers in the same
/// order.
pub fn takeover_rank<'a>(
    leader: &str,
    local_label: &str,
    members: impl Iterator<Item = &'a str>,
) -> u32 {
    let position = |label: &str| (label <= leader, label.to_string());
    let local_position = position(local_label);
    members
        .filter(|label| *label != leader && position(label) < local_position)
        .count() as u32
}

#[cfg(test)]
mod tests;
