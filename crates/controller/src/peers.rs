//! What this controller heard from its peers.

use beamhinge_core::messages::TaskCounts;
use beamhinge_core::peers::Frame;
use beamhinge_core::types::{FencingToken, JobId, Time};
use std::collections::BTreeMap;

/// After so long without a word a token counts no more, seconds: longer than a former
/// holder goes on answering.
const LAPSED_S: f64 = 90.0;

/// What we last heard from each peer.
#[derive(Default)]
pub struct PeerTable {
    heard: Vec<(String, Time, f64)>,
    /// Label, when it said so, whether it could take over, whether drained.
    ready: Vec<(String, Time, bool, bool)>,
    pub last_sent: Time,
    /// The progress of jobs, as far as its frames are here.
    pub progress: ProgressAssembler,
    /// Who last said that it holds the block, with which token, and when.
    leader: Option<(String, FencingToken, Time)>,
}

impl PeerTable {
    pub fn on_heartbeat(&mut self, now: Time, label: &str, store_age_s: f64) {
        self.heard.retain(|(l, _, _)| l != label);
        self.heard.push((label.to_string(), now, store_age_s));
    }

    pub fn on_readiness(&mut self, now: Time, label: &str, ready: bool, drained: bool) {
        self.ready.retain(|(l, ..)| l != label);
        self.ready.push((label.to_string(), now, ready, drained));
    }

    /// Some peer could take over at once, and operators have not drained it.
    pub fn has_successor(&self, now: Time) -> bool {
        let reaches = |label: &str| {
            self.heard
                .iter()
                .any(|(l, at, age)| l == label && now.since(*at) < 3.0 && *age < 3.0)
        };
        self.ready.iter().any(|(l, at, ready, drained)| {
            *ready && !*drained && now.since(*at) < 3.0 && reaches(l)
        })
    }

    /// What was last heard of a peer: seconds since, its age of the ledger,
    /// whether it could take over, whether it is drained.
    pub fn status(&self, now: Time, label: &str) -> Option<(f64, f64, bool, bool)> {
        let (_, at, age) = self.heard.iter().find(|(l, ..)| l == label)?;
        let ready = self.ready.iter().find(|(l, ..)| l == label);
        let (ready, drained) = ready.map_or((false, false), |(_, _, r, d)| (*r, *d));
        Some((now.since(*at), age + now.since(*at), ready, drained))
    }

    /// A word of a lower token than one heard before is a former holder's; but one that
    /// nobody has repeated for so long was none. A token that was made up kept all real
    /// holders from being named.
    pub fn on_leader_announcement(&mut self, now: Time, label: &str, token: FencingToken) {
        let lapsed = |at: &Time| now.since(*at) > LAPSED_S;
        if self
            .leader
            .as_ref()
            .is_none_or(|(_, t, at)| *t <= token || lapsed(at))
        {
            self.leader = Some((label.to_string(), token, now));
        }
    }

    /// The holder by its own word, for a node that cannot read it in the state
    /// service; a word that was not repeated has lapsed.
    pub fn leader(&self, now: Time) -> Option<&str> {
        let lately = self
            .leader
            .as_ref()
            .filter(|(_, _, at)| now.since(*at) < 3.0);
        lately.map(|(label, _, _)| label.as_str())
    }

    /// The token that the holder last told.
    pub fn token_of(&self, label: &str) -> Option<u64> {
        self.leader
            .as_ref()
            .filter(|(l, ..)| l == label)
            .map(|(_, t, _)| t.0)
    }

    /// Seconds since any peer was last heard; none if none ever was.
    pub fn silence_s(&self, now: Time) -> Option<f64> {
        self.heard
            .iter()
            .map(|(_, at, _)| now.since(*at))
            .min_by(f64::total_cmp)
    }

    /// Some peer reaches the state service though we may not.
    pub fn peers_reach_store(&self, now: Time) -> bool {
        self.heard
            .iter()
            .any(|(_, at, age)| now.since(*at) < 4.0 && *age < 3.0)
    }
}

/// Frames that tell the progress of jobs with tasks done or running.
pub fn progress_frames(counts: impl Iterator<Item = (JobId, TaskCounts)>) -> Vec<Frame> {
    let moving = counts.filter(|(_, c)| c.done > 0 || c.running > 0);
    Frame::progress(
        moving
            .map(|(id, c)| (id.to_string(), c.done, c.running))
            .collect(),
    )
}

/// The holder's list of progress, put together from the frames that carry it.
#[derive(Default)]
pub struct ProgressAssembler {
    /// What came of a list whose last frame is still on its way.
    begun: BTreeMap<JobId, TaskCounts>,
}

impl ProgressAssembler {
    /// Jobs of one list that are kept: four for each of 8,192 machines. What is beyond it is
    /// not displayed, and a warning says so.
    const MAX_JOBS: usize = 32_768;

    /// Takes a frame's rows. Returns the whole list once its last frame is here.
    pub fn add_frame(
        &mut self,
        rows: Vec<(String, u32, u32)>,
    ) -> Option<BTreeMap<JobId, TaskCounts>> {
        let last = rows.len() < Frame::MAX_ROWS;
        let parsed = rows.into_iter().filter_map(|(id, done, running)| {
            Some((JobId::parse(&id)?, TaskCounts { done, running }))
        });
        let part: BTreeMap<JobId, TaskCounts> = parsed.collect();
        // Ids rise through a list: one that falls begins another, the last one's end is lost.
        let follows = self.begun.keys().next_back() < part.keys().next();
        if !part.is_empty() && !follows {
            self.begun.clear();
        }
        self.begun.extend(part);
        if self.begun.len() > Self::MAX_JOBS {
            let count = self.begun.len();
            tracing::warn!(
                "progress of {count} jobs: {} of them are kept",
                Self::MAX_JOBS
            );
            while self.begun.len() > Self::MAX_JOBS {
                self.begun.pop_last();
            }
        }
        last.then(|| std::mem::take(&mut self.begun))
    }
}

#[cfg(test)]
mod tests;
