//! A token bucket whose capacity is the number of tokens that accrue in one second.

use beamhinge_core::types::Time;

/// Limits a rate. The level may be negative: a caller may spend tokens in advance, and later
/// refills make up for them.
pub(super) struct TokenBucket {
    /// Refill rate in tokens per second; also the capacity in tokens.
    pub(super) rate: f64,
    /// Tokens available; negative while the bucket is in debt.
    pub(super) level: f64,
    /// When the level was last updated.
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(super) fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: 0.0,
            refilled_at: Time::default(),
        }
    }

    /// Adds the tokens that have accrued since the last refill.
    pub(super) fn refill(&mut self, now: Time) {
        self.level = (self.level + now.since(self.refilled_at) * self.rate).min(self.rate);
        self.refilled_at = now;
    }

    /// Removes all available tokens, so that nothing is sent until the bucket refills.
    pub(super) fn empty(&mut self) {
        self.level = self.level.min(0.0);
    }
}
