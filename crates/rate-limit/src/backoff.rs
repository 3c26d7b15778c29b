//! Retries after a refusal, with increasing backoff and decreasing request size.

use beamhinge_core::types::Time;

/// Rejections as malformed after which the rejected content is set aside.
const MAX_MALFORMED: u32 = 6;
/// Maximum number of halvings of the request size, which then stays at its smallest.
const MAX_HALVINGS: u32 = 6;
/// Maximum number of doublings of the backoff; prevents overflow of the shift.
const MAX_DOUBLINGS: u32 = 16;

/// What to do after a request was rejected as malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "work that is not set aside is retried endlessly"]
pub enum RetryAction {
    /// Retry with the full size divided by [`AdaptiveBackoff::divisor`].
    Reduce,
    /// The store rejected a request of the smallest size: set its content aside and log it, so that
    /// the remaining work continues.
    SetAside,
}

/// Retry state of one kind of work.
///
/// A rejection as malformed halves the size of the next request and doubles the backoff. If a
/// request of the smallest size is rejected, its content is the cause and is set aside. Refusals
/// because of a rate limit or an unavailable service only lengthen the backoff. A success resets
/// both.
#[derive(Clone, Debug)]
pub struct AdaptiveBackoff {
    /// Shortest backoff, seconds.
    min_backoff_s: f64,
    /// Longest backoff, seconds.
    max_backoff_s: f64,
    /// Rejections as malformed since the last success.
    malformed: u32,
    /// Other refusals since the last success.
    refused: u32,
    /// End of the current backoff.
    backoff_until: Time,
}

impl AdaptiveBackoff {
    /// Creates a retry state with backoffs between `min_backoff_s` and `max_backoff_s` seconds.
    pub fn new(min_backoff_s: f64, max_backoff_s: f64) -> AdaptiveBackoff {
        AdaptiveBackoff {
            min_backoff_s,
            max_backoff_s: max_backoff_s.max(min_backoff_s),
            malformed: 0,
            refused: 0,
            backoff_until: Time::default(),
        }
    }

    /// Whether the backoff after the last refusal has ended.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.backoff_until
    }

    /// Divisor of the full size for the next request.
    pub fn divisor(&self) -> usize {
        1 << self.malformed.min(MAX_HALVINGS)
    }

    /// Number of refusals of both kinds since the last success.
    pub fn refusals(&self) -> u32 {
        self.malformed + self.refused
    }

    /// Starts with the smallest size, because larger requests have failed before (for instance
    /// under the previous leader).
    pub fn slow_start(&mut self) {
        self.malformed = MAX_MALFORMED;
    }

    /// Handles an executed request: resets size and backoff.
    pub fn on_success(&mut self) {
        (self.malformed, self.refused) = (0, 0);
    }

    /// Handles a request that was not executed because of a rate limit or an unavailable service.
    pub fn on_refused(&mut self, now: Time) {
        self.refused = self.refused.saturating_add(1);
        self.start_backoff(now, self.refused);
    }

    /// Handles a request that the service rejected as malformed and would reject again.
    pub fn on_malformed(&mut self, now: Time) -> RetryAction {
        self.malformed = self.malformed.saturating_add(1);
        self.start_backoff(now, self.malformed);
        if self.malformed > MAX_MALFORMED {
            RetryAction::SetAside
        } else {
            RetryAction::Reduce
        }
    }

    fn start_backoff(&mut self, now: Time, refusals: u32) {
        let doublings = refusals.saturating_sub(1).min(MAX_DOUBLINGS);
        let backoff_s = self.min_backoff_s * f64::from(1u32 << doublings);
        self.backoff_until = now.plus(backoff_s.min(self.max_backoff_s));
    }
}

#[cfg(test)]
mod tests;
