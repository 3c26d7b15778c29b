//! How many nominations with victims may be open at once.

use beamhinge_core::types::Time;

/// Fewest: a nomination that brings no start still shows when starts come again.
const MIN_WINDOW: f64 = 4.0;
/// At first, before anything is known.
const INITIAL_WINDOW: f64 = 32.0;
/// Upper bound of the window: two nominations for each of some 4,000 machines; a new leader must
/// be able to forget them all.
const MAX_WINDOW: f64 = 8_192.0;

/// A congestion window over nominations: each that ends in a start admits one more, and one that
/// is abandoned halves the window, once for all that were opened before (V. Jacobson, "Congestion
/// avoidance and control", 1988).
#[derive(Debug)]
pub struct PreemptionBudget {
    window: f64,
    last_halved: Time,
}

impl Default for PreemptionBudget {
    fn default() -> Self {
        PreemptionBudget {
            window: INITIAL_WINDOW,
            last_halved: Time::default(),
        }
    }
}

impl PreemptionBudget {
    /// Nominations with victims that may be open.
    #[must_use]
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// A nomination ended in a start.
    pub fn on_started(&mut self) {
        self.window = (self.window + 1.0).min(MAX_WINDOW);
    }

    /// A nomination that was opened at `opened` ended in none.
    pub fn on_abandoned(&mut self, now: Time, opened: Time) {
        // Those that were opened before the last halving tell nothing new.
        if opened < self.last_halved {
            return;
        }
        self.window = (self.window / 2.0).max(MIN_WINDOW);
        self.last_halved = now;
    }
}

#[cfg(test)]
mod tests;
