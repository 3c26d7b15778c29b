//! When a waiting job is boosted.

use beamhinge_core::job::Urgency;
use beamhinge_core::settings::PriorityAging;
use beamhinge_core::types::WallMs;

/// How waiting jobs are boosted, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgingPolicy {
    settings: PriorityAging,
}

/// How far a job's wait has raised its priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityBoost {
    /// Its urgency as a number, best effort being 0, plus what its wait has added.
    pub priority: f64,
    /// Seconds until it is boosted; not positive: it is. None: it never will be.
    pub boosted_in_s: Option<f64>,
}

impl AgingPolicy {
    /// The policy of these settings.
    #[must_use]
    pub fn new(settings: PriorityAging) -> AgingPolicy {
        AgingPolicy { settings }
    }

    /// Whether anything is boosted at all.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.settings.on
    }

    /// The highest urgency that boosted jobs go ahead of.
    #[must_use]
    pub fn ceiling(&self) -> Urgency {
        self.settings.ceiling
    }

    /// How long a job of this urgency waits before it is boosted, seconds; none for those that
    /// are exempt and those that are at the ceiling anyway.
    #[must_use]
    pub fn boost_after_s(&self, urgency: Urgency) -> Option<f64> {
        let after_s = match urgency {
            Urgency::BestEffort => self.settings.best_effort_s,
            Urgency::Standard => self.settings.standard_s,
            Urgency::High | Urgency::Critical => 0.0,
        };
        (self.settings.on && after_s > 0.0 && urgency < self.settings.ceiling).then_some(after_s)
    }

    /// The moment at which a job is boosted, milliseconds of the time of day.
    ///
    /// It is made of what is stored with the job alone. So the order among boosted jobs is the
    /// same at each controller, after restarts and failovers, and whatever the reader's clock
    /// says; and a submission that was stamped by a clock which is off by the whole allowed skew
    /// moves by that and no more.
    #[must_use]
    pub fn boosted_at_ms(&self, urgency: Urgency, submitted: WallMs) -> Option<u64> {
        let after_ms = (self.boost_after_s(urgency)? * 1e3) as u64;
        Some(submitted.0.saturating_add(after_ms))
    }

    /// How far a job's wait has raised it, for operators: its priority grows evenly from its
    /// urgency to the ceiling, and stays there.
    #[must_use]
    pub fn boost(&self, urgency: Urgency, submitted: WallMs, wall: WallMs) -> PriorityBoost {
        let own = f64::from(urgency as u8);
        let Some(after_s) = self.boost_after_s(urgency) else {
            return PriorityBoost {
                priority: own,
                boosted_in_s: None,
            };
        };
        // A submission of the future is one whose clock was ahead.
        let age_s = wall.0.saturating_sub(submitted.0) as f64 / 1e3;
        let to_ceiling = f64::from(self.settings.ceiling as u8) - own;
        PriorityBoost {
            priority: own + to_ceiling * (age_s / after_s).min(1.0),
            boosted_in_s: Some(after_s - age_s),
        }
    }

    /// CPUs that the lane is wide in a cluster of so many.
    #[must_use]
    pub fn lane_width_cpus(&self, cluster_cpus: f64) -> f64 {
        cluster_cpus.max(0.0) * self.settings.share
    }

    /// Preemptions after which a task is protected.
    #[must_use]
    pub fn max_preemptions(&self) -> u32 {
        self.settings.stops
    }

    /// How long a task that was preempted so often runs undisturbed, seconds.
    #[must_use]
    pub fn protected_run_s(&self) -> f64 {
        self.settings.spared_s
    }
}

#[cfg(test)]
mod tests;
