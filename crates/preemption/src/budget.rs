//! Limits the number of open nominations with victims.

use beamhinge_core::types::Time;

/// Lower bound of the window, in nominations. It is above 0, since only further nominations can
/// show that preemption leads to starts again.
const MIN_WINDOW: f64 = 4.0;
/// Window before any nomination has ended, in nominations.
const INITIAL_WINDOW: f64 = 32.0;
/// Upper bound of the window: two nominations for each of about 4,000 machines. A new leader must
/// be able to drop them all.
const MAX_WINDOW: f64 = 8_192.0;

/// A congestion window over nominations with victims (V. Jacobson, "Congestion avoidance and
/// control", 1988).
///
/// Each nomination that ends in a start widens the window by one. An abandoned nomination with
/// victims halves it, once for all nominations that were opened before the halving.
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
    /// The maximum number of open nominations with victims.
    #[must_use]
    pub fn window(&self) -> usize {
        self.window as usize
    }

    /// Widens the window after a nomination ended in a start.
    pub fn on_started(&mut self) {
        self.window = (self.window + 1.0).min(MAX_WINDOW);
    }

    /// Halves the window after a nomination that was opened at `opened` ended without a start.
    pub fn on_abandoned(&mut self, now: Time, opened: Time) {
        // The last halving already accounts for nominations that were opened before it.
        if opened < self.last_halved {
            return;
        }
        self.window = (self.window / 2.0).max(MIN_WINDOW);
        self.last_halved = now;
    }
}

#[cfg(test)]
mod tests;
