//! Periodic work of a controller, including its periodic announcements to peers.

use super::Node;
use crate::fleet::MAX_PEER_OBSERVATION_AGE_S;
use crate::peers;
use beamhinge_core::messages::Effect;
use beamhinge_core::peers::{encode, Frame};
use beamhinge_core::types::{Time, WallMs};
use beamhinge_standby::HEARTBEAT_INTERVAL_S;

/// Time between two heartbeats to the peers, seconds.
const PEER_HEARTBEAT_INTERVAL_S: f64 = 1.0;
/// Time between two announcements of misrouted workers, seconds.
const MISROUTED_INTERVAL_S: f64 = 0.5;
/// Time between two supervision checks, seconds.
const SUPERVISION_INTERVAL_S: f64 = 0.5;
/// Time between two metric samples, seconds.
const METRICS_INTERVAL_S: f64 = 1.0;
/// Maximum age of the last exchange with the key-value store for a controller to be ready to
/// take over the leadership at once, seconds.
const MAX_READY_STORE_AGE_S: f64 = 3.0;

/// Sends a frame to all peers.
pub(super) fn broadcast(frame: &Frame, out: &mut Vec<Effect>) {
    out.push(Effect::SendFrame {
        to: None,
        frame: encode(frame),
    });
}

impl Node {
    /// Runs the periodic work that is due at `now`.
    pub(super) fn advance_timers(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        if now.since(self.leader_heartbeat_sent_at) >= HEARTBEAT_INTERVAL_S {
            self.leader_heartbeat_sent_at = now;
            self.broadcast_leader_heartbeat(out);
        }
        // Checked on every tick: another half second would noticeably delay urgent task starts.
        self.fail_over_early(now);
        if now.since(self.peers.heartbeat_sent_at) >= PEER_HEARTBEAT_INTERVAL_S {
            self.peers.heartbeat_sent_at = now;
            self.broadcast_heartbeat(now, out);
        }
        if now.since(self.misrouted_announced_at) >= MISROUTED_INTERVAL_S {
            self.misrouted_announced_at = now;
            self.announce_misrouted_workers(now, out);
        }
        if now.since(self.supervised_at) >= SUPERVISION_INTERVAL_S {
            self.supervised_at = now;
            self.supervise(now, wall, out);
        }
        self.announce_token_to_workers(now, out);
        self.run(now, wall, out);
    }

    fn supervise(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        self.peer_observations
            .expire(now, MAX_PEER_OBSERVATION_AGE_S);
        self.step_down_if_stalled(now, out);
        self.step_down_if_disconnected(now);
        self.probe_unreachable_machines(now, out);
        self.yield_if_drained(now);
        if now.since(self.metrics_sampled_at) >= METRICS_INTERVAL_S {
            self.metrics_sampled_at = now;
            self.sample_metrics(now, wall);
        }
    }

    /// Announces the leader's fencing token to the peers, which monitor the leader by this
    /// heartbeat. It also ends the term of a former leader that is cut off from the key-value
    /// store but not from its peers, which would otherwise answer its workers for seconds more.
    fn broadcast_leader_heartbeat(&self, out: &mut Vec<Effect>) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let heartbeat = Frame::LeaderHeartbeat {
            label: self.settings.label.clone(),
            fencing_token: scheduler.fencing_token().0,
        };
        broadcast(&heartbeat, out);
    }

    /// Announces this controller's status to the peers and, as the leader, the progress of jobs.
    fn broadcast_heartbeat(&self, now: Time, out: &mut Vec<Effect>) {
        let store_age_s = self.store_age_s(now);
        let heartbeat = Frame::Heartbeat {
            label: self.settings.label.clone(),
            store_age_ms: (store_age_s * 1e3) as u64,
            leader: self.scheduler.is_some(),
        };
        broadcast(&heartbeat, out);
        // Sent only while some controller is drained: the previous version does not know this
        // frame and closes the connection when it receives one.
        if self.directives.active_directives().any_controller_drained() {
            let readiness = Frame::Readiness {
                label: self.settings.label.clone(),
                ready: self.job_store.loaded() && store_age_s < MAX_READY_STORE_AGE_S,
                drained: self.drained(),
            };
            broadcast(&readiness, out);
        }
        if let Some(scheduler) = self.scheduler.as_ref().filter(|s| s.loaded()) {
            for frame in peers::progress_frames(scheduler.all_counts()) {
                broadcast(&frame, out);
            }
        }
    }

    /// Announces to the leader the machines whose workers report here instead. They are alive,
    /// although the leader does not receive their reports.
    fn announce_misrouted_workers(&mut self, now: Time, out: &mut Vec<Effect>) {
        let machines = self
            .misrouted_workers
            .recent(now, MAX_PEER_OBSERVATION_AGE_S);
        if machines.is_empty() || self.scheduler.is_some() {
            return;
        }
        let Some(leader) = self.peers.leader(now).or(self.election.other_leader()) else {
            return;
        };
        for frame in Frame::misrouted_workers(&self.settings.label, &machines) {
            out.push(Effect::SendFrame {
                to: Some(leader.to_string()),
                frame: encode(&frame),
            });
        }
    }

    /// Samples the metrics that describe a point in time.
    fn sample_metrics(&mut self, now: Time, wall: WallMs) {
        if self.admin_api.is_none() {
            return;
        }
        if let Some(scheduler) = self.scheduler.as_mut().filter(|s| s.loaded()) {
            self.metrics
                .record_placements(&scheduler.event_log.take_placement_ages());
            let totals = scheduler.totals(now, wall, self.fleet.machine_types());
            self.metrics.record_oldest_wait(totals.oldest_wait_s);
        }
    }
}
