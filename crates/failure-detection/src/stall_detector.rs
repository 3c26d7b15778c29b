//! Detects stalls of the leader: work is pending and the key-value store answers, but nothing is
//! committed.

use beamhinge_core::types::Time;

/// Longest timeout after repeated handovers of leadership, seconds.
const MAX_TIMEOUT_S: f64 = 300.0;

/// The state of the leader at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct ProgressSnapshot {
    /// Whether writes are pending.
    pub work_pending: bool,
    /// When the leader last made progress: a commit, or a reply to a load.
    pub last_progress: Time,
    /// Whether the key-value store answered recently.
    pub store_reachable: bool,
}

/// Distinguishes a stalled leader from an idle, partitioned or slow one.
///
/// A leader that answers its workers and renews its lease appears healthy to all other processes.
/// If it commits nothing, no task starts or ends until an operator intervenes.
#[derive(Debug)]
pub struct StallDetector {
    timeout_s: f64,
    /// Since when work has been pending without progress.
    stalled_since: Option<Time>,
    /// Whether the current stall was reported.
    reported: bool,
}

impl StallDetector {
    /// Creates a detector that reports a stall after `timeout_s` seconds without progress.
    pub fn new(timeout_s: f64) -> StallDetector {
        StallDetector {
            timeout_s,
            stalled_since: None,
            reported: false,
        }
    }

    /// Records the state of the leader. Returns `true` once for each stall, when it is detected.
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
        let is_stalled = now.since(since) > self.timeout_s;
        let detected = is_stalled && !self.reported;
        self.reported = is_stalled;
        detected
    }

    /// Handles a handover of leadership. The timeout doubles; otherwise a fault that affects all
    /// controllers would move leadership between them endlessly.
    pub fn on_handover(&mut self) {
        self.timeout_s = (self.timeout_s * 2.0).min(MAX_TIMEOUT_S);
        self.clear();
    }

    /// How long the leader has been stalled, seconds; `None` if it is not stalled.
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
