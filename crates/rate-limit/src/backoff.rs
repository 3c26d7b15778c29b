//! Retries after a refusal, with a growing pause and a shrinking size.

use beamhinge_core::types::Time;

/// Rejections as malformed after which the rejected part is set aside.
const MAX_MALFORMED: u32 = 6;
/// Halvings of the size; after these many it stays at its smallest.
const MAX_HALVINGS: u32 = 6;
/// Doublings of the pause, which guard the shift against overflow.
const MAX_DOUBLINGS: u32 = 16;

/// What to do after a request was rejected as malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "work that is not set aside is retried for ever"]
pub enum RetryAction {
    /// Retry with a smaller size, divided by [`AdaptiveBackoff::divisor`].
    Reduce,
    /// The smallest size was rejected repeatedly: set its content aside and log it, so that
    /// the rest goes on.
    SetAside,
}

/// Retry state of one kind of work.
///
/// A rejection as malformed halves the size of the next try and doubles the pause; at the
/// smallest size the work itself is at fault and is set aside. Refusals for lack of rate or
/// because the service is unavailable lengthen the pause only. A success resets both.
#[derive(Clone, Debug)]
pub struct AdaptiveBackoff {
    /// Shortest pause, seconds.
    min_pause_s: f64,
    /// Longest pause, seconds.
    max_pause_s: f64,
    /// Rejections as malformed since the last success.
    malformed: u32,
    /// Other refusals since the last success.
    refused: u32,
    /// The end of the current pause.
    until: Time,
}

impl AdaptiveBackoff {
    /// Retries with pauses between `min_pause_s` and `max_pause_s` seconds.
    pub fn new(min_pause_s: f64, max_pause_s: f64) -> AdaptiveBackoff {
        AdaptiveBackoff {
            min_pause_s,
            max_pause_s: max_pause_s.max(min_pause_s),
            malformed: 0,
            refused: 0,
            until: Time::default(),
        }
    }

    /// Whether the pause after the last refusal is over.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.until
    }

    /// The factor by which the next try has to be smaller than the full size.
    pub fn divisor(&self) -> usize {
        1 << self.malformed.min(MAX_HALVINGS)
    }

    /// Refusals of either kind since the last success.
    pub fn refusals(&self) -> u32 {
        self.malformed + self.refused
    }

    /// Starts at the smallest size, because larger ones have failed before (for instance
    /// under the previous leader).
    pub fn slow_start(&mut self) {
        self.malformed = MAX_MALFORMED;
    }

    /// The request was executed: resets size and pause.
    pub fn on_success(&mut self) {
        (self.malformed, self.refused) = (0, 0);
    }

    /// The request was not executed, for lack of rate or because the service is unavailable.
    pub fn on_refused(&mut self, now: Time) {
        self.refused = self.refused.saturating_add(1);
        self.pause(now, self.refused);
    }

    /// The service rejected the request as malformed, and would do so again.
    pub fn on_malformed(&mut self, now: Time) -> RetryAction {
        self.malformed = self.malformed.saturating_add(1);
        self.pause(now, self.malformed);
        if self.malformed > MAX_MALFORMED {
            RetryAction::SetAside
        } else {
            RetryAction::Reduce
        }
    }

    fn pause(&mut self, now: Time, refusals: u32) {
        let doublings = refusals.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause_s = self.min_pause_s * f64::from(1u32 << doublings);
        self.until = now.plus(pause_s.min(self.max_pause_s));
    }
}

#[cfg(test)]
mod tests;
