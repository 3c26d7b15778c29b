//! Whether a machine acknowledges what it is sent.
//!
//! A link may be broken in one direction: reports arrive, replies and commands do not. Such a
//! machine looks empty and healthy, and would be given one task after the other, none of which
//! ever starts.

use beamhinge_core::types::Time;

/// The first pause, seconds; each further one is twice as long.
const MIN_PAUSE_S: f64 = 8.0;
/// The longest pause, seconds.
const MAX_PAUSE_S: f64 = 64.0;
/// Unacknowledged replies in a row from which the machine counts as unreachable. One alone may be
/// a reply that came too late.
const UNACKNOWLEDGED_THRESHOLD: u32 = 2;

/// What became of the commands that went to one machine.
#[derive(Clone, Debug, Default)]
pub struct AckTracker {
    /// Replies in a row whose commands the next report did not show.
    unacknowledged: u32,
    /// When the first of them was noticed.
    since: Time,
    /// No command is sent before.
    paused_until: Time,
}

impl AckTracker {
    /// A report shows a command: replies arrive.
    pub fn record_acknowledged(&mut self) {
        self.unacknowledged = 0;
    }

    /// A newer report does not show what the last reply commanded. `timed_out`: the worker was
    /// without that reply for so long that it went to the next controller meanwhile. Returns
    /// whether the machine's tasks should be tried elsewhere.
    pub fn record_unacknowledged(&mut self, now: Time, timed_out: bool) -> bool {
        if self.unacknowledged == 0 {
            self.since = now;
        }
        let least = if timed_out {
            UNACKNOWLEDGED_THRESHOLD
        } else {
            1
        };
        self.unacknowledged = (self.unacknowledged + 1).max(least);
        let unreachable = self.is_unreachable();
        if unreachable {
            let doublings = (self.unacknowledged - UNACKNOWLEDGED_THRESHOLD).min(10);
            let factor = 2f64.powi(doublings as i32);
            self.paused_until = now.plus((MIN_PAUSE_S * factor).min(MAX_PAUSE_S));
        }
        unreachable
    }

    /// Whether no command is sent to the machine at the moment.
    pub fn in_backoff(&self, now: Time) -> bool {
        self.is_unreachable() && now < self.paused_until
    }

    /// For how long the machine has acknowledged nothing, seconds; none if it does.
    pub fn unacknowledged_for_s(&self, now: Time) -> Option<f64> {
        self.is_unreachable().then(|| now.since(self.since))
    }

    fn is_unreachable(&self) -> bool {
        self.unacknowledged >= UNACKNOWLEDGED_THRESHOLD
    }
}

#[cfg(test)]
mod tests;
