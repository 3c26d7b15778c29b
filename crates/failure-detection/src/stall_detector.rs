//! Stalls of the leader: work is pending, the key-value store answers, and nothing is committed.

use beamhinge_core::types::Time;

/// Longest time without progress that is tolerated, after handovers, seconds.
const MAX_TIMEOUT_S: f64 = 300.0;

/// What the leader finds at some moment.
#[derive(Clone, Copy, Debug)]
pub struct ProgressSnapshot {
    /// There is something to write.
    pub work_pending: bool,
    /// When the leader last made progress: a commit, or a reply to a load.
    pub last_progress: Time,
    /// The key-value store answered recently.
    pub store_reachable: bool,
}

/// Tells a leader that is stuck from one that is idle, cut off or merely slow.
///
/// A leader that answers its workers and renews its lease looks healthy to all; if it commits
/// nothing, nothing starts and nothing ends until somebody looks.
#[derive(Debug)]
pub struct StallDetector {
    timeout_s: f64,
    /// Since when work has been pending without progress.
    stalled_since: Option<Time>,
    /// Whether the current stall was reported.
    reported: bool,
}

impl StallDetector {
    /// The leader is stuck after `timeout_s` seconds without progress.
    pub fn new(timeout_s: f64) -> StallDetector {
        StallDetector {
            timeout_s,
            stalled_since: None,
            reported: false,
        }
    }

    /// Takes in the state of the leader. Returns true once for each stall, when it is detected.
    #[must_use]
    pub fn observe(&mut self, now: Time, snapshot: ProgressSnapshot) -> bool {
        if !snapshot.work_pending || !snapshot.store_reachable {
            self.clear();
            return false;
        }
        let since = match self.stalled_since {
            Some(since) => {
                if since < snapshot.last_progress {
                    self.reported = false;
                }
                since.max(snapshot.last_progress)
            }
            None => now,
        };
        self.stalled_since = Some(since);
        let stuck = now.since(since) > self.timeout_s;
        let detected = stuck && !self.reported;
        self.reported = stuck;
        detected
    }

    /// Leadership was handed over. The timeout doubles, or a fault that all controllers share
    /// would send leadership round for ever.
    pub fn on_handover(&mut self) {
        self.timeout_s = (self.timeout_s * 2.0).min(MAX_TIMEOUT_S);
        self.clear();
    }

    /// Seconds for which the leader has been stuck; none if it is not.
    pub fn stalled_for_s(&self, now: Time) -> Option<f64> {
        let elapsed_s = now.since(self.stalled_since?);
        (elapsed_s > self.timeout_s).then_some(elapsed_s)
    }

    fn clear(&mut self) {
        self.stalled_since = None;
        self.reported = false;
    }
}

#[cfg(test)]
mod tests;
