//! The start and end of this controller's terms as the leader.

use super::{follower_share, leader_share, stalled_after_s, Node, LEADER_ADMISSION_SHARE};
use crate::event_log::EventLog;
use crate::leader_election::LeadershipChange;
use crate::scheduler::Scheduler;
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::types::{FencingToken, Time};
use beamhinge_failure_detection::PeerObservations;
use beamhinge_priority_aging::AgingPolicy;

impl Node {
    /// Handles a possible change of this controller's leadership.
    pub(super) fn on_leadership_change(&mut self, now: Time, change: LeadershipChange) {
        match change {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Lost => {
                self.scheduler = None;
                self.fleet.end_term();
                self.store
                    .set_rate_share(follower_share(&self.settings), 1.0);
            }
            LeadershipChange::Acquired { token } => self.begin_term(now, token),
        }
    }

    fn begin_term(&mut self, now: Time, token: FencingToken) {
        // The directives in force must be read again before any task is placed: a drained machine
        // gets no new tasks.
        self.directives.request_refresh();
        self.metrics.on_leadership_acquired(now);
        self.scheduler = Some(self.new_scheduler(now, token));
        if self.configuration.is_enabled() {
            self.configuration.request_refresh();
        }
        self.fleet
            .begin_term(now, token, &self.operator, &self.settings);
        self.peer_observations = PeerObservations::default();
        self.store
            .set_rate_share(leader_share(&self.settings), LEADER_ADMISSION_SHARE);
        self.token_announced_at.clear();
        self.peers.heartbeat_sent_at = Time::default();
        self.leader_heartbeat_sent_at = Time::default();
        self.job_store.request_refresh();
    }

    /// Creates the scheduler of a new term from the replicas of directives and teams.
    fn new_scheduler(&self, now: Time, token: FencingToken) -> Scheduler {
        let mut event_log = EventLog::new(self.admin_api.is_some());
        event_log.set_time(self.wall);
        event_log.record(|| DecisionKind::LeadershipAcquired { token: token.0 });
        let mut scheduler = Scheduler::new(
            &self.settings,
            token,
            self.directives.active_directives().clone(),
            event_log,
            AgingPolicy::new(self.operator.aging),
            now,
        );
        scheduler.faults = self.faults;
        if self.configuration.is_enabled() {
            scheduler.set_teams(now, self.configuration.effective());
        }
        // If a leader stalled recently, this one may stall on the same work.
        let memory_s = stalled_after_s(&self.settings) * 6.0;
        let mut stalled_at = self.stalled_leaders.values();
        if stalled_at.any(|at| now.since(*at) < memory_s) {
            scheduler.slow_start();
        }
        scheduler
    }

    /// Returns whether operators have drained this controller.
    pub(super) fn drained(&self) -> bool {
        self.directives
            .active_directives()
            .controller_drained(&self.settings.label)
    }

    /// Seconds since the last successful exchange with the key-value store; one million if there
    /// was none.
    pub(super) fn store_age_s(&self, now: Time) -> f64 {
        self.store.last_success().map_or(1e6, |t| now.since(t))
    }
}
