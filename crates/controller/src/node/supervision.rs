//! When a controller gives the leadership up, and when it takes it before the lease of the
//! leader has expired.

use super::timers::broadcast;
use super::Node;
use beamhinge_core::messages::Effect;
use beamhinge_core::peers::Frame;
use beamhinge_core::types::Time;
use beamhinge_failure_detection::ProgressSnapshot;
use beamhinge_standby::{takeover_rank, Observer};

/// A leader whose last exchange with the key-value store is older does not count as stalled:
/// the store may be away, seconds.
const MAX_STALL_STORE_AGE_S: f64 = 2.5;

impl Node {
    /// A drained controller hands the leadership to one that is ready, and acquires none while
    /// there is such a one. Without one it goes on: that some controller leads matters more.
    pub(super) fn yield_if_drained(&mut self, now: Time) {
        if !self.drained() || !self.peers.has_successor(now) {
            return;
        }
        if self.scheduler.is_some() {
            self.election.transfer(now, &mut self.store);
        } else {
            self.election.defer(now);
        }
    }

    /// A leader that reaches the key-value store and yet commits nothing while there is work is
    /// stalled, however healthy it looks: another controller takes over, with a slow start.
    pub(super) fn step_down_if_stalled(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let progress = ProgressSnapshot {
            work_pending: scheduler.has_work(),
            last_progress: scheduler.last_store_progress(),
            store_reachable: self.store_age_s(now) < MAX_STALL_STORE_AGE_S,
        };
        if !self.stall_detector.observe(now, progress) {
            return;
        }
        let stalled_s = self.stall_detector.stalled_for_s(now).unwrap_or_default();
        tracing::error!(
            stalled_s,
            "stalled: the key-value store answers, there is work, and nothing was committed"
        );
        let label = self.settings.label.clone();
        self.stalled_leaders.insert(label.clone(), now);
        if self.settings.members.is_empty() || !self.peers.peers_reach_store(now) {
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.slow_start();
            }
            return;
        }
        self.stall_detector.on_handover();
        broadcast(&Frame::LeaderStalled { label }, out);
        let change = self.election.step_down(now, &mut self.store);
        self.on_leadership_change(now, change);
    }

    /// A leader that cannot hear most of its workers would watch their leases expire. If it is
    /// the one cut off, another controller hears them.
    pub(super) fn step_down_if_disconnected(&mut self, now: Time) {
        let Some(scheduler) = self.scheduler.as_ref().filter(|s| s.loaded()) else {
            return;
        };
        let workers = &self.settings.params.workers;
        let since_acquired_s = now.since(scheduler.acquired_at());
        if self.settings.members.is_empty() || since_acquired_s < workers.report_s * 3.0 + 3.0 {
            return;
        }
        // Nothing is concluded from this controller's own absence.
        let resumed_for_s = self.pause_detector.resumed_for_s(now);
        if resumed_for_s.is_some_and(|s| s < workers.report_s * 2.5 + 2.0) {
            return;
        }
        let since_stepped_down_s = self.stepped_down_at.map(|at| now.since(at));
        // Peers hear more workers: the leadership is of more use there, at once.
        let connectivity = self.fleet.connectivity();
        let recently = since_stepped_down_s.is_some_and(|s| s < workers.lease_s);
        let peers_hear_more = connectivity.reaches_fewer_than_peers();
        if peers_hear_more && !recently && self.peers.peers_reach_store(now) {
            self.stepped_down_at = Some(now);
            tracing::warn!(
                reporting = connectivity.reporting,
                heard_by_peers = connectivity.heard_by_peers,
                "stepped down: peers hear more workers"
            );
            let change = self.election.step_down(now, &mut self.store);
            return self.on_leadership_change(now, change);
        }
        // Machines that are gone are silent to every controller. One that has stepped down
        // already, and leads again, stays until silence is proof; otherwise the leadership
        // would go round for ever and nothing would be proven.
        let proof_s = self.settings.serving_deadline_s() + workers.lease_s;
        if since_stepped_down_s.is_some_and(|s| s < proof_s * 3.0 + 30.0) {
            return;
        }
        let (heard, silent) = scheduler.liveness_counts(now);
        if silent >= 2 && silent > heard * 2 {
            self.stepped_down_at = Some(now);
            // No controller is known to hear more. One that does takes the leadership at once;
            // until then this one goes on: a leader that stepped down for nobody would leave a
            // whole fleet to its leases.
            tracing::info!(heard, silent, "offered leadership: most workers are silent");
            self.election.transfer(now, &mut self.store);
        }
    }

    /// The leader's heartbeats stay away and its workers report here: it is gone, and the next
    /// controller in order acquires the leadership before the lease has expired.
    pub(super) fn fail_over_early(&mut self, now: Time) {
        if self.scheduler.is_some() || !self.leader_detector.is_silent(now) || self.drained() {
            return;
        }
        let members = self.settings.members.iter().map(|m| m.label.as_str());
        let leader = self.election.other_leader().unwrap_or("").to_string();
        let own = Observer {
            store_age_s: self.store_age_s(now),
            // What changed since is read after the takeover, before anything is placed.
            jobs_loaded: self.job_store.loaded(),
            resumed_for_s: self.pause_detector.resumed_for_s(now),
            rank: takeover_rank(&leader, &self.settings.label, members),
        };
        let suspect = self.leader_detector.suspect(now, own);
        if let Some(gone) = suspect.filter(|gone| *gone == leader) {
            tracing::info!(leader = %gone, "acquiring leadership: the leader is gone");
            self.election.presume_dead(gone);
            self.election.tick(now, &mut self.store);
        }
    }
}
