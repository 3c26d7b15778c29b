//! Decides when a controller steps down from the leadership, and when it acquires the leadership
//! before the leader's session lease has expired.

use super::timers::broadcast;
use super::Node;
use beamhinge_core::messages::Effect;
use beamhinge_core::peers::Frame;
use beamhinge_core::types::Time;
use beamhinge_failure_detection::ProgressSnapshot;
use beamhinge_standby::{takeover_rank, Observer};

/// Maximum age of the last exchange with the key-value store for a leader to count as stalled,
/// seconds. Beyond it, the store itself may be unreachable.
const MAX_STALL_STORE_AGE_S: f64 = 2.5;

impl Node {
    /// If this controller is drained and a successor is ready, transfers the leadership to it, or
    /// as a follower defers its own candidacy. Without a successor it continues: having a leader
    /// matters more than the drain.
    pub(super) fn yield_if_drained(&mut self, now: Time) {
        if !self.drained() || !self.peers.has_successor(now) {
            return;
        }
        if self.scheduler.is_some() {
            self.election.transfer_leadership(now, &mut self.store);
        } else {
            self.election.defer_acquisition(now);
        }
    }

    /// Steps down if this leader is stalled: it reaches the key-value store and work is pending,
    /// but it commits nothing, however healthy it looks otherwise. The next leader begins with a
    /// slow start. If no peer reaches the store, this leader stays and slow-starts its scheduler.
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
            "leader stalled: the key-value store is reachable but pending work is not committed"
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

    /// Hands the leadership over if most workers cannot reach this leader: their leases would
    /// expire. If this controller is the partitioned one, another controller can reach them.
    pub(super) fn step_down_if_disconnected(&mut self, now: Time) {
        let Some(scheduler) = self.scheduler.as_ref().filter(|s| s.loaded()) else {
            return;
        };
        let workers = &self.settings.params.workers;
        let since_acquired_s = now.since(scheduler.acquired_at());
        if self.settings.members.is_empty() || since_acquired_s < workers.report_s * 3.0 + 3.0 {
            return;
        }
        // Missing reports prove nothing right after this process itself was paused.
        let resumed_for_s = self.pause_detector.resumed_for_s(now);
        if resumed_for_s.is_some_and(|s| s < workers.report_s * 2.5 + 2.0) {
            return;
        }
        let since_stepped_down_s = self.stepped_down_at.map(|at| now.since(at));
        // If peers receive reports from more workers, one of them should lead, without delay.
        let connectivity = self.fleet.connectivity();
        let stepped_down_recently = since_stepped_down_s.is_some_and(|s| s < workers.lease_s);
        let peers_reach_more_workers = connectivity.reaches_fewer_than_peers();
        if peers_reach_more_workers && !stepped_down_recently && self.peers.peers_reach_store(now) {
            self.stepped_down_at = Some(now);
            tracing::warn!(
                reporting = connectivity.reporting,
                heard_by_peers = connectivity.heard_by_peers,
                "stepped down: more workers report to peers"
            );
            let change = self.election.step_down(now, &mut self.store);
            return self.on_leadership_change(now, change);
        }
        // Lost machines are unreachable from every controller. A controller that has stepped down
        // once and leads again keeps the leadership until the missing reports prove that the
        // machines are lost; otherwise the leadership would rotate endlessly and no loss would
        // ever be proven.
        let loss_proof_s = self.settings.serving_deadline_s() + workers.lease_s;
        if since_stepped_down_s.is_some_and(|s| s < loss_proof_s * 3.0 + 30.0) {
            return;
        }
        let (reachable, unreachable) = scheduler.reachability_counts(now);
        if unreachable >= 2 && unreachable > reachable * 2 {
            self.stepped_down_at = Some(now);
            // No peer is known to receive more reports. A peer that does acquires the leadership
            // at once; until then this controller continues to lead. Stepping down without a
            // successor would let the leases of the whole fleet expire.
            tracing::info!(
                heard = reachable,
                silent = unreachable,
                "offered leadership: most workers are unreachable"
            );
            self.election.transfer_leadership(now, &mut self.store);
        }
    }

    /// Acquires the leadership before the leader's lease has expired, if the leader is presumed
    /// dead (its heartbeats have stopped and its workers report here) and this controller is the
    /// next in the takeover order.
    pub(super) fn fail_over_early(&mut self, now: Time) {
        if self.scheduler.is_some() || !self.leader_detector.is_silent(now) || self.drained() {
            return;
        }
        let members = self.settings.members.iter().map(|m| m.label.as_str());
        let leader = self.election.other_leader().unwrap_or("").to_string();
        let observer = Observer {
            store_age_s: self.store_age_s(now),
            // Later changes are read after the leadership acquisition, before tasks are placed.
            jobs_loaded: self.job_store.loaded(),
            resumed_for_s: self.pause_detector.resumed_for_s(now),
            rank: takeover_rank(&leader, &self.settings.label, members),
        };
        let suspect = self.leader_detector.suspect(now, observer);
        if let Some(suspect) = suspect.filter(|suspect| *suspect == leader) {
            tracing::info!(leader = %suspect, "acquiring leadership early: leader presumed dead");
            self.election.presume_dead(suspect);
            self.election.tick(now, &mut self.store);
        }
    }
}
