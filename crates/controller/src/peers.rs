//! State received in the frames of peers: liveness, readiness, leader and the progress of jobs.
//!
//! No safety property depends on this state, because frames may be lost, delayed or forged. It
//! determines where requests are redirected and when a controller transfers leadership, not
//! which controller may place tasks.

use beamhinge_core::messages::TaskCounts;
use beamhinge_core::peers::Frame;
use beamhinge_core::types::{FencingToken, JobId, Time};
use std::collections::BTreeMap;

/// Time after which an announced fencing token expires unless it is announced again, in seconds.
/// It is longer than the time for which a former leader still answers requests.
const ANNOUNCEMENT_EXPIRY_S: f64 = 90.0;
/// Maximum age of a frame that still shows the state of its sender, in seconds.
const MAX_FRAME_AGE_S: f64 = 3.0;
/// Maximum time since the store last answered a peer that counts as able to reach the store, in
/// seconds.
const MAX_STORE_AGE_S: f64 = 3.0;
/// Maximum age of a heartbeat that shows whether its sender can reach the store, in seconds.
const MAX_HEARTBEAT_AGE_S: f64 = 4.0;

/// The last heartbeat of a peer.
struct Heartbeat {
    received_at: Time,
    /// Time since the key-value store last answered the peer, as of the heartbeat, in seconds.
    store_age_s: f64,
}

/// The last announcement of a peer on whether it can take over leadership.
struct Readiness {
    received_at: Time,
    ready: bool,
    drained: bool,
}

/// The last accepted announcement of a peer that it is the leader.
struct LeaderAnnouncement {
    label: String,
    token: FencingToken,
    received_at: Time,
}

/// The status of a peer, for display.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerStatus {
    /// Time since its last heartbeat arrived, in seconds.
    pub heartbeat_age_s: f64,
    /// Time since the key-value store last answered it, according to its last heartbeat, in
    /// seconds.
    pub store_age_s: f64,
    /// Whether it can take over leadership at once.
    pub ready: bool,
    /// Whether operators have drained it.
    pub drained: bool,
}

/// The state last received from each peer, by the label of the peer.
#[derive(Default)]
pub struct PeerTable {
    heartbeats: BTreeMap<String, Heartbeat>,
    readiness: BTreeMap<String, Readiness>,
    /// When this controller last sent a heartbeat.
    pub heartbeat_sent_at: Time,
    /// Assembles the progress of jobs from the frames of the leader.
    pub progress: ProgressAssembler,
    leader: Option<LeaderAnnouncement>,
}

impl PeerTable {
    /// Handles a heartbeat; `store_age_s` is the time since the store last answered the peer, in
    /// seconds.
    pub fn on_heartbeat(&mut self, now: Time, label: &str, store_age_s: f64) {
        let heartbeat = Heartbeat {
            received_at: now,
            store_age_s,
        };
        self.heartbeats.insert(label.to_string(), heartbeat);
    }

    /// Handles a peer's announcement of whether it can take over leadership and whether it is
    /// drained.
    pub fn on_readiness(&mut self, now: Time, label: &str, ready: bool, drained: bool) {
        let readiness = Readiness {
            received_at: now,
            ready,
            drained,
        };
        self.readiness.insert(label.to_string(), readiness);
    }

    /// Whether at least one peer can take over leadership at once, reaches the store and is not
    /// drained.
    pub fn has_successor(&self, now: Time) -> bool {
        let reaches_store = |label: &String| {
            self.heartbeats.get(label).is_some_and(|heartbeat| {
                now.since(heartbeat.received_at) < MAX_FRAME_AGE_S
                    && heartbeat.store_age_s < MAX_STORE_AGE_S
            })
        };
        self.readiness.iter().any(|(label, readiness)| {
            readiness.ready
                && !readiness.drained
                && now.since(readiness.received_at) < MAX_FRAME_AGE_S
                && reaches_store(label)
        })
    }

    /// The status of a peer; `None` if no heartbeat of it has arrived.
    pub fn status(&self, now: Time, label: &str) -> Option<PeerStatus> {
        let heartbeat = self.heartbeats.get(label)?;
        let heartbeat_age_s = now.since(heartbeat.received_at);
        let readiness = self.readiness.get(label);
        Some(PeerStatus {
            heartbeat_age_s,
            store_age_s: heartbeat.store_age_s + heartbeat_age_s,
            ready: readiness.is_some_and(|readiness| readiness.ready),
            drained: readiness.is_some_and(|readiness| readiness.drained),
        })
    }

    /// Handles a peer's announcement that it owns the block key with this fencing token.
    ///
    /// An announcement with a lower token than the known one comes from a former leader and is
    /// ignored. If the higher token has not been announced again for [`ANNOUNCEMENT_EXPIRY_S`],
    /// the lower one replaces it: the higher token is then assumed never to have been issued,
    /// and would prevent every actual leader from being recognized.
    pub fn on_leader_announcement(&mut self, now: Time, label: &str, token: FencingToken) {
        let superseded = self.leader.as_ref().is_some_and(|known| {
            known.token > token && now.since(known.received_at) <= ANNOUNCEMENT_EXPIRY_S
        });
        if !superseded {
            self.leader = Some(LeaderAnnouncement {
                label: label.to_string(),
                token,
                received_at: now,
            });
        }
    }

    /// The label of the peer that recently announced itself as leader, for a controller that
    /// cannot read the leader from the key-value store; `None` without a recent announcement.
    pub fn leader(&self, now: Time) -> Option<&str> {
        self.leader
            .as_ref()
            .filter(|known| now.since(known.received_at) < MAX_FRAME_AGE_S)
            .map(|known| known.label.as_str())
    }

    /// The fencing token that this peer announced; `None` if it is not the last known leader.
    pub fn token_of(&self, label: &str) -> Option<u64> {
        self.leader
            .as_ref()
            .filter(|known| known.label == label)
            .map(|known| known.token.0)
    }

    /// Time since the latest heartbeat of any peer, in seconds; `None` if none has arrived.
    pub fn newest_heartbeat_age_s(&self, now: Time) -> Option<f64> {
        self.heartbeats
            .values()
            .map(|heartbeat| now.since(heartbeat.received_at))
            .min_by(f64::total_cmp)
    }

    /// Whether at least one peer reaches the key-value store, which this controller may be
    /// unable to reach.
    pub fn peers_reach_store(&self, now: Time) -> bool {
        self.heartbeats.values().any(|heartbeat| {
            now.since(heartbeat.received_at) < MAX_HEARTBEAT_AGE_S
                && heartbeat.store_age_s < MAX_STORE_AGE_S
        })
    }
}

/// Builds the frames with the progress of all jobs that have completed or running tasks.
pub fn progress_frames(counts: impl Iterator<Item = (JobId, TaskCounts)>) -> Vec<Frame> {
    let active = counts.filter(|(_, counts)| counts.done > 0 || counts.running > 0);
    Frame::progress(
        active
            .map(|(job, counts)| (job.to_string(), counts.done, counts.running))
            .collect(),
    )
}

/// Assembles the leader's list of job progress from its frames.
///
/// Job ids increase within a list, and its last frame is not full. The frames of one list arrive
/// in order, but some may be lost.
#[derive(Default)]
pub struct ProgressAssembler {
    /// The rows received of a list whose last frame has not arrived.
    partial: BTreeMap<JobId, TaskCounts>,
}

impl ProgressAssembler {
    /// Maximum number of jobs of one list: four for each of 8,192 machines. Further jobs are
    /// dropped with a warning and not displayed.
    const MAX_JOBS: usize = 32_768;

    /// Adds a frame's rows, each of which contains a job id, the number of completed tasks and
    /// the number of running tasks. Returns the whole list if this is its last frame, else
    /// `None`.
    pub fn add_frame(
        &mut self,
        rows: Vec<(String, u32, u32)>,
    ) -> Option<BTreeMap<JobId, TaskCounts>> {
        let is_last_frame = rows.len() < Frame::MAX_ROWS;
        let part: BTreeMap<JobId, TaskCounts> = rows
            .into_iter()
            .filter_map(|(job, done, running)| {
                Some((JobId::parse(&job)?, TaskCounts { done, running }))
            })
            .collect();
        // An id that is not higher begins another list: the end of the previous one was lost.
        let continues = self.partial.keys().next_back() < part.keys().next();
        if !part.is_empty() && !continues {
            self.partial.clear();
        }
        self.partial.extend(part);
        self.enforce_limit();
        is_last_frame.then(|| std::mem::take(&mut self.partial))
    }

    fn enforce_limit(&mut self) {
        let count = self.partial.len();
        if count <= Self::MAX_JOBS {
            return;
        }
        tracing::warn!(
            count,
            limit = Self::MAX_JOBS,
            "dropped progress of jobs beyond the limit"
        );
        while self.partial.len() > Self::MAX_JOBS {
            self.partial.pop_last();
        }
    }
}

#[cfg(test)]
mod tests;
