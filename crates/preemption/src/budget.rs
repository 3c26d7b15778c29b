//! How many places may be open at once.

use beamhinge_core::types::Time;

/// Fewest: one that brings nothing still shows when starts come again.
const LEAST: f64 = 4.0;
/// At first, before anything is known.
const FIRST: f64 = 32.0;
/// Upper bound of the window: two reservations for each of some 4,000 machines; a new leader must
/// be able to forget them all.
const MAX_WINDOW: f64 = 8_192.0;

/// A window that follows the starts it brings, as senders follow what arrives:
/// each place that ends in a start admits one more, and one that lapses halves
/// them, once for all that were asked before (V. Jacobson, "Congestion avoidance
/// and control", 1988).
#[derive(Debug)]
pub struct Budget {
    window: f64,
    halved: Time,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            window: FIRST,
            halved: Time::default(),
        }
    }
}

impl Budget {
    /// Places that may be open.
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// A place ended in a start.
    pub fn started(&mut self) {
        self.window = (self.window + 1.0).min(MAX_WINDOW);
    }

    /// A place that was asked for at `asked` ended in none.
    pub fn lapsed(&mut self, now: Time, asked: Time) {
        // Those that were asked before the last halving tell nothing new.
        if asked < self.halved {
            return;
        }
        self.window = (self.window / 2.0).max(LEAST);
        self.halved = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_follows_the_starts_it_brings() {
        let at = |s: f64| Time::default().plus(100.0 + s);
        let mut b = Budget::default();
        let first = b.window();
        for _ in 0..first {
            b.started();
        }
        assert_eq!(b.window(), first * 2);
        // A hundred that were asked together and came to nothing count once.
        (0..100).for_each(|_| b.lapsed(at(5.0), at(0.0)));
        assert_eq!(b.window(), first);
        for round in 1..20 {
            b.lapsed(
                at(10.0 * f64::from(round)),
                at(10.0 * f64::from(round) - 1.0),
            );
        }
        assert_eq!(b.window(), LEAST as usize, "never none at all");
        (0..10_000).for_each(|_| b.started());
        assert_eq!(b.window(), MAX_WINDOW as usize);
    }
}
