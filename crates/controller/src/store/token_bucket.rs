//! A token bucket that holds one second's worth of its rate.

use beamhinge_core::types::Time;

/// Limits a rate. The level may fall below zero: a caller may borrow, and pays back later.
pub(super) struct TokenBucket {
    /// Tokens per second, and the capacity.
    pub(super) rate: f64,
    /// Tokens that are available.
    pub(super) level: f64,
    /// When the level was last brought up to date.
    refilled_at: Time,
}

impl TokenBucket {
    /// An empty bucket.
    pub(super) fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: 0.0,
            refilled_at: Time::default(),
        }
    }

    /// Adds what has accrued since the last refill.
    pub(super) fn refill(&mut self, now: Time) {
        self.level = (self.level + now.since(self.refilled_at) * self.rate).min(self.rate);
        self.refilled_at = now;
    }

    /// Removes what is available, so that nothing is sent until the bucket refills.
    pub(super) fn empty(&mut self) {
        self.level = self.level.min(0.0);
    }
}
