//! Handles frames from peers.

use super::Node;
use beamhinge_core::messages::Effect;
use beamhinge_core::peers::Frame;
use beamhinge_core::types::{FencingToken, JobId, MachineId, Time};

impl Node {
    /// Handles a frame from a peer.
    pub(super) fn on_peer_frame(&mut self, now: Time, frame: Frame, out: &mut Vec<Effect>) {
        match frame {
            Frame::Heartbeat {
                label,
                store_age_ms,
                ..
            } => {
                let store_age_s = store_age_ms as f64 / 1e3;
                self.peers.on_heartbeat(now, &label, store_age_s);
            }
            Frame::Readiness {
                label,
                ready,
                drained,
            } => self.peers.on_readiness(now, &label, ready, drained),
            Frame::Query {
                from,
                serial,
                query,
            } => self.on_peer_query(now, from, serial, &query, out),
            Frame::QueryResponse {
                serial,
                status,
                body,
            } => self.on_leader_response(serial, status, body, out),
            Frame::Progress(rows) => {
                if let Some(counts) = self.peers.progress.add_frame(rows) {
                    self.user_api.reported_counts = counts;
                }
            }
            Frame::MisroutedWorkers { machines, .. } => {
                let machines = machines.iter().filter_map(|m| MachineId::parse(m));
                self.peer_observations.record(now, machines);
            }
            Frame::LeaderStalled { label } => {
                tracing::warn!(controller = %label, "leader stalled and stepped down");
                if self.settings.members.iter().any(|m| m.label == label) {
                    self.stalled_leaders.insert(label, now);
                }
            }
            Frame::JobsEnded { jobs } => {
                let jobs = jobs.iter().filter_map(|j| JobId::parse(j));
                self.user_api.on_end_announced(now, jobs);
            }
            Frame::LeaderHeartbeat {
                label,
                fencing_token,
            } => self.on_leader_heartbeat(now, &label, fencing_token),
        }
    }

    fn on_leader_heartbeat(&mut self, now: Time, label: &str, token: u64) {
        if self.peers.token_of(label) != Some(token) {
            self.misrouted_workers.on_leader_changed();
        }
        let fencing_token = FencingToken(token);
        self.leader_detector.on_heartbeat(now, label, fencing_token);
        self.peers.on_leader_announcement(now, label, fencing_token);
        // Guard 1: if a higher fencing token was issued, this controller's term has ended.
        let change = self.election.on_token_claim(now, token);
        self.on_leadership_change(now, change);
    }
}
