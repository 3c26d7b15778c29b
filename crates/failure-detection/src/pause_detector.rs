//! Detects pauses of the controller process.

use beamhinge_core::types::Time;

/// Detects pauses of this process by the gaps between its events.
///
/// When a suspended process resumes, no machine has reported for a long time by its clock, even
/// though all machines may have sent reports: the process could not receive them.
#[derive(Debug)]
pub struct PauseDetector {
    last_event: Option<Time>,
    /// When the last pause ended.
    resumed_at: Option<Time>,
    max_gap_s: f64,
}

impl PauseDetector {
    /// A gap between two events of more than `max_gap_s` seconds is a pause.
    pub fn new(max_gap_s: f64) -> PauseDetector {
        PauseDetector {
            last_event: None,
            resumed_at: None,
            max_gap_s,
        }
    }

    /// Records an event. Returns the length, in seconds, of the pause that the event ends; `None`
    /// if there was no pause.
    pub fn observe(&mut self, now: Time) -> Option<f64> {
        let gap_s = self.last_event.map_or(0.0, |last| now.since(last));
        self.last_event = Some(now);
        if gap_s <= self.max_gap_s {
            return None;
        }
        self.resumed_at = Some(now);
        Some(gap_s)
    }

    /// The time from which missing reports since `last_heartbeat` are counted: not before the end
    /// of the last pause.
    pub fn missing_reports_count_from(&self, last_heartbeat: Time) -> Time {
        self.resumed_at
            .map_or(last_heartbeat, |at| last_heartbeat.max(at))
    }

    /// Seconds since the last pause ended; `None` if there was no pause.
    pub fn resumed_for_s(&self, now: Time) -> Option<f64> {
        self.resumed_at.map(|at| now.since(at))
    }
}

#[cfg(test)]
mod tests;
