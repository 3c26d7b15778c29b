//! Tracks whether a machine acknowledges the commands sent to it.
//!
//! A network link may be broken in one direction: the machine's reports arrive, but replies and
//! commands do not reach it. Such a machine looks idle and healthy, so the scheduler would place
//! one task after another on it, none of which would ever start.

use beamhinge_core::types::Time;

/// The first backoff, seconds; each further one is twice as long.
const MIN_BACKOFF_S: f64 = 8.0;
/// The longest backoff, seconds.
const MAX_BACKOFF_S: f64 = 64.0;
/// Consecutive unacknowledged replies from which the machine counts as unreachable. A single one
/// may be a reply that arrived too late.
const UNACKNOWLEDGED_THRESHOLD: u32 = 2;

/// Acknowledgement state of the commands sent to one machine.
#[derive(Clone, Debug, Default)]
pub struct AckTracker {
    /// Consecutive replies whose commands the next report did not show.
    unacknowledged: u32,
    /// When the first of them was noticed.
    unacknowledged_since: Time,
    /// Time before which no command is sent.
    backoff_until: Time,
}

impl AckTracker {
    /// Records that a report shows a command, so replies reach the machine.
    pub fn record_acknowledged(&mut self) {
        self.unacknowledged = 0;
    }

    /// Records that a newer report does not show the commands of the last reply. `timed_out`: the
    /// worker waited so long for that reply that it contacted the next controller in the meantime.
    /// Returns whether the machine's tasks should be placed on other machines.
    pub fn record_unacknowledged(&mut self, now: Time, timed_out: bool) -> bool {
        if self.unacknowledged == 0 {
            self.unacknowledged_since = now;
        }
        let minimum = if timed_out {
            UNACKNOWLEDGED_THRESHOLD
        } else {
            1
        };
        self.unacknowledged = (self.unacknowledged + 1).max(minimum);
        let unreachable = self.is_unreachable();
        if unreachable {
            let doublings = (self.unacknowledged - UNACKNOWLEDGED_THRESHOLD).min(10);
            let factor = 2f64.powi(doublings as i32);
            self.backoff_until = now.plus((MIN_BACKOFF_S * factor).min(MAX_BACKOFF_S));
        }
        unreachable
    }

    /// Whether commands to the machine are withheld at time `now`.
    pub fn in_backoff(&self, now: Time) -> bool {
        self.is_unreachable() && now < self.backoff_until
    }

    /// How long the machine has acknowledged nothing, seconds; `None` if it is reachable.
    pub fn unacknowledged_for_s(&self, now: Time) -> Option<f64> {
        self.is_unreachable()
            .then(|| now.since(self.unacknowledged_since))
    }

    fn is_unreachable(&self) -> bool {
        self.unacknowledged >= UNACKNOWLEDGED_THRESHOLD
    }
}

#[cfg(test)]
mod tests;
