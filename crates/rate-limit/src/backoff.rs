//! What to do after a refusal: never the same again, for ever.

use beamhinge_core::types::Time;

/// Refusals after which the part that was refused is set aside.
const ASIDE: u32 = 6;
/// Halvings that make a transaction smaller; beyond it stays at its smallest.
const MAX_HALVINGS: u32 = 6;

/// What follows a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAction {
    /// Again, smaller by the part that [`Course::part`] tells.
    Reduce,
    /// At its smallest it was refused again and again: what it holds is to be
    /// set aside and named, so that the rest goes on.
    SetAside,
}

/// How one kind of work is tried again.
///
/// A refusal for being malformed halves the next try and doubles the pause; at
/// the smallest size the work itself is to blame and is set aside. Refusals for
/// lack of rate lengthen the pause only. Any success begins anew.
#[derive(Clone, Debug)]
pub struct AdaptiveBackoff {
    /// Shortest and longest pause, seconds.
    pauses: (f64, f64),
    on_malformed: u32,
    refused: u32,
    until: Time,
}

impl AdaptiveBackoff {
    /// A course that pauses between `shortest_s` and `longest_s` seconds.
    pub fn new(shortest_s: f64, longest_s: f64) -> AdaptiveBackoff {
        let pauses = (shortest_s, longest_s.max(shortest_s));
        AdaptiveBackoff {
            pauses,
            on_malformed: 0,
            refused: 0,
            until: Time::default(),
        }
    }

    /// Whether the pause after the last refusal is over.
    pub fn is_due(&self, now: Time) -> bool {
        now >= self.until
    }

    /// By how much the next try is to be smaller than the first.
    pub fn divisor(&self) -> usize {
        1 << self.on_malformed.min(MAX_HALVINGS)
    }

    /// Refusals in a row, of either kind.
    pub fn refusals(&self) -> u32 {
        self.on_malformed + self.refused
    }

    /// Begins at the smallest size: elsewhere larger ones got nowhere.
    pub fn slow_start(&mut self) {
        self.on_malformed = ASIDE;
    }

    /// It was taken.
    pub fn on_success(&mut self) {
        (self.on_malformed, self.refused) = (0, 0);
    }

    /// It was not executed for lack of rate, or since the service is away.
    pub fn on_refused(&mut self, now: Time) {
        self.refused = self.refused.saturating_add(1);
        self.pause(now, self.refused);
    }

    /// The service calls it malformed, and would do so again.
    pub fn malformed(&mut self, now: Time) -> RetryAction {
        self.on_malformed = self.on_malformed.saturating_add(1);
        self.pause(now, self.on_malformed);
        if self.on_malformed > ASIDE {
            RetryAction::SetAside
        } else {
            RetryAction::Reduce
        }
    }

    fn pause(&mut self, now: Time, times: u32) {
        let (shortest, longest) = self.pauses;
        let pause = shortest * f64::from(1u32 << times.saturating_sub(1).min(16));
        self.until = now.plus(pause.min(longest));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_malformed_gets_smaller_later_and_is_set_aside_in_the_end() {
        let mut backoff = AdaptiveBackoff::new(0.1, 2.0);
        let mut now = Time::from_micros(1);
        let mut parts = Vec::new();
        for _ in 0..ASIDE {
            assert_eq!(backoff.malformed(now), RetryAction::Reduce);
            assert!(
                !backoff.is_due(now) && backoff.is_due(now.plus(2.0)),
                "never at once, never for ever"
            );
            now = now.plus(2.0);
            parts.push(backoff.divisor());
        }
        assert_eq!(parts, [2, 4, 8, 16, 32, 64]);
        assert_eq!(backoff.malformed(now), RetryAction::SetAside);
        backoff.on_success();
        assert_eq!((backoff.divisor(), backoff.refusals()), (1, 0));
    }

    #[test]
    fn a_busy_service_is_asked_less_often_and_for_as_much() {
        let mut backoff = AdaptiveBackoff::new(0.1, 1.0);
        let now = Time::from_micros(1);
        for _ in 0..40 {
            backoff.on_refused(now);
        }
        assert_eq!((backoff.divisor(), backoff.refusals()), (1, 40));
        assert!(!backoff.is_due(now.plus(0.9)) && backoff.is_due(now.plus(1.1)));
    }
}
