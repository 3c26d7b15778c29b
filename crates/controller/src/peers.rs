//! What this controller learned from its peers' frames: liveness, readiness, leader and the
//! progress of jobs.
//!
//! Nothing here is a guard: frames may be lost, late or invented. They decide where requests
//! are redirected to and when a controller hands over, not who may place tasks.

use beamhinge_core::messages::TaskCounts;
use beamhinge_core::peers::Frame;
use beamhinge_core::types::{FencingToken, JobId, Time};
use std::collections::BTreeMap;

/// After so long without a repetition an announced token counts no more, seconds: longer than
/// a former leader goes on answering.
const ANNOUNCEMENT_EXPIRY_S: f64 = 90.0;
/// A frame that is older says nothing about its sender's present state, seconds.
const MAX_FRAME_AGE_S: f64 = 3.0;
/// A peer whose store answered it within this time reaches the store, seconds.
const MAX_STORE_AGE_S: f64 = 3.0;
/// A heartbeat that is older does not show that its sender reaches the store, seconds.
const MAX_HEARTBEAT_AGE_S: f64 = 4.0;

/// The last heartbeat of a peer.
struct Heartbeat {
    received_at: Time,
    /// Seconds since the key-value store last answered the peer, when it sent the heartbeat.
    store_age_s: f64,
}

/// What a peer last announced about its ability to take over.
struct Readiness {
    received_at: Time,
    ready: bool,
    drained: bool,
}

/// Which peer last announced itself as the leader.
struct LeaderAnnouncement {
    label: String,
    token: FencingToken,
    received_at: Time,
}

/// What is known of a peer, for display.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerStatus {
    /// Seconds since its last heartbeat.
    pub heartbeat_age_s: f64,
    /// Seconds since the key-value store last answered it, as far as known.
    pub store_age_s: f64,
    /// It could take over at once.
    pub ready: bool,
    /// Operators have drained it.
    pub drained: bool,
}

/// What was last received from each peer, by its label.
#[derive(Default)]
pub struct PeerTable {
    heartbeats: BTreeMap<String, Heartbeat>,
    readiness: BTreeMap<String, Readiness>,
    /// When this controller last sent a heartbeat of its own.
    pub last_sent: Time,
    /// The progress of jobs, as far as its frames have arrived.
    pub progress: ProgressAssembler,
    leader: Option<LeaderAnnouncement>,
}

impl PeerTable {
    /// Handles a heartbeat; `store_age_s`: seconds since the store last answered the peer.
    pub fn on_heartbeat(&mut self, now: Time, label: &str, store_age_s: f64) {
        let heartbeat = Heartbeat {
            received_at: now,
            store_age_s,
        };
        self.heartbeats.insert(label.to_string(), heartbeat);
    }

    /// Handles the announcement whether a peer could take over and whether it is drained.
    pub fn on_readiness(&mut self, now: Time, label: &str, ready: bool, drained: bool) {
        let readiness = Readiness {
            received_at: now,
            ready,
            drained,
        };
        self.readiness.insert(label.to_string(), readiness);
    }

    /// Whether some peer could take over at once, and operators have not drained it.
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

    /// What is known of a peer; none if it never sent a heartbeat.
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

    /// Handles a peer's announcement that it owns the block key with this token.
    ///
    /// An announcement with a lower token than one received before comes from a former leader,
    /// unless nobody has repeated the higher one for a long time: then it was invented, and
    /// would keep every real leader from being named.
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

    /// The leader by its own recent announcement, for a controller that cannot read it in the
    /// key-value store.
    pub fn leader(&self, now: Time) -> Option<&str> {
        self.leader
            .as_ref()
            .filter(|known| now.since(known.received_at) < MAX_FRAME_AGE_S)
            .map(|known| known.label.as_str())
    }

    /// The token that this peer announced, if it is the last that announced itself as leader.
    pub fn token_of(&self, label: &str) -> Option<u64> {
        self.leader
            .as_ref()
            .filter(|known| known.label == label)
            .map(|known| known.token.0)
    }

    /// Seconds since the last heartbeat of any peer; none if there never was one.
    pub fn silence_s(&self, now: Time) -> Option<f64> {
        self.heartbeats
            .values()
            .map(|heartbeat| now.since(heartbeat.received_at))
            .min_by(f64::total_cmp)
    }

    /// Whether some peer reaches the key-value store, though this controller may not.
    pub fn peers_reach_store(&self, now: Time) -> bool {
        self.heartbeats.values().any(|heartbeat| {
            now.since(heartbeat.received_at) < MAX_HEARTBEAT_AGE_S
                && heartbeat.store_age_s < MAX_STORE_AGE_S
        })
    }
}

/// The frames that carry the progress of all jobs with tasks done or running.
pub fn progress_frames(counts: impl Iterator<Item = (JobId, TaskCounts)>) -> Vec<Frame> {
    let active = counts.filter(|(_, counts)| counts.done > 0 || counts.running > 0);
    Frame::progress(
        active
            .map(|(job, counts)| (job.to_string(), counts.done, counts.running))
            .collect(),
    )
}

/// Assembles the leader's list of progress from the frames that carry it.
///
/// Job ids rise through a list and its last frame is not full; frames of one list arrive in
/// order or not at all.
#[derive(Default)]
pub struct ProgressAssembler {
    /// The part of a list whose last frame has not arrived yet.
    partial: BTreeMap<JobId, TaskCounts>,
}

impl ProgressAssembler {
    /// Jobs of one list that are kept: four for each of 8,192 machines. Further ones are not
    /// displayed, and a warning says so.
    const MAX_JOBS: usize = 32_768;

    /// Adds a frame's rows: job, tasks done, tasks running. Returns the whole list with its
    /// last frame.
    pub fn add_frame(
        &mut self,
        rows: Vec<(String, u32, u32)>,
    ) -> Option<BTreeMap<JobId, TaskCounts>> {
        let last = rows.len() < Frame::MAX_ROWS;
        let part: BTreeMap<JobId, TaskCounts> = rows
            .into_iter()
            .filter_map(|(job, done, running)| {
                Some((JobId::parse(&job)?, TaskCounts { done, running }))
            })
            .collect();
        // An id that is not higher begins another list: the end of the last one was lost.
        let continues = self.partial.keys().next_back() < part.keys().next();
        if !part.is_empty() && !continues {
            self.partial.clear();
        }
        self.partial.extend(part);
        self.enforce_limit();
        last.then(|| std::mem::take(&mut self.partial))
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
