//! Determines when a waiting job is boosted.

use beamhinge_core::job::Urgency;
use beamhinge_core::settings::PriorityAging;
use beamhinge_core::types::WallMs;

/// The rules for boosting waiting jobs, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgingPolicy {
    settings: PriorityAging,
}

/// The current priority of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityBoost {
    /// Its urgency as a number, with best effort as 0, plus the increase from its wait.
    pub priority: f64,
    /// Seconds until the job is boosted; 0 or negative if it is boosted already, `None` if it never
    /// will be.
    pub boosted_in_s: Option<f64>,
}

impl AgingPolicy {
    /// Creates the policy from these settings.
    #[must_use]
    pub fn new(settings: PriorityAging) -> AgingPolicy {
        AgingPolicy { settings }
    }

    /// Whether priority aging is switched on.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.settings.on
    }

    /// Boosted jobs go ahead of all jobs up to and including this urgency.
    #[must_use]
    pub fn ceiling(&self) -> Urgency {
        self.settings.ceiling
    }

    /// How long a job of this urgency waits before it is boosted, seconds; `None` for urgencies
    /// that are exempt or already at the ceiling.
    #[must_use]
    pub fn boost_after_s(&self, urgency: Urgency) -> Option<f64> {
        let after_s = match urgency {
            Urgency::BestEffort => self.settings.best_effort_s,
            Urgency::Standard => self.settings.standard_s,
            Urgency::High | Urgency::Critical => 0.0,
        };
        (self.settings.on && after_s > 0.0 && urgency < self.settings.ceiling).then_some(after_s)
    }

    /// The wall-clock time at which a job is boosted, milliseconds; `None` if it never is.
    ///
    /// It depends only on data stored with the job. The order of boosted jobs is therefore the same
    /// on each controller and after restarts and failovers, whatever the clock of the controller
    /// that computes it. A submission time from a clock that is off by the whole allowed skew
    /// shifts the boost by that skew and no more.
    #[must_use]
    pub fn boosted_at_ms(&self, urgency: Urgency, submitted: WallMs) -> Option<u64> {
        let after_ms = (self.boost_after_s(urgency)? * 1e3) as u64;
        Some(submitted.0.saturating_add(after_ms))
    }

    /// The current priority of a job, as shown to operators: it grows linearly with the wait from
    /// the job's urgency to the ceiling, and stays there.
    #[must_use]
    pub fn boost(&self, urgency: Urgency, submitted: WallMs, wall: WallMs) -> PriorityBoost {
        let base_priority = f64::from(urgency as u8);
        let Some(after_s) = self.boost_after_s(urgency) else {
            return PriorityBoost {
                priority: base_priority,
                boosted_in_s: None,
            };
        };
        // A submission time in the future comes from a clock that was ahead.
        let age_s = wall.0.saturating_sub(submitted.0) as f64 / 1e3;
        let increase_to_ceiling = f64::from(self.settings.ceiling as u8) - base_priority;
        PriorityBoost {
            priority: base_priority + increase_to_ceiling * (age_s / after_s).min(1.0),
            boosted_in_s: Some(after_s - age_s),
        }
    }

    /// The width of the priority lane in a cluster of `cluster_cpus` CPUs, in CPUs.
    #[must_use]
    pub fn lane_width_cpus(&self, cluster_cpus: f64) -> f64 {
        cluster_cpus.max(0.0) * self.settings.share
    }

    /// The number of preemptions after which a task is protected.
    #[must_use]
    pub fn max_preemptions(&self) -> u32 {
        self.settings.stops
    }

    /// How long a task that was preempted [`Self::max_preemptions`] times runs before it may be
    /// preempted again, seconds.
    #[must_use]
    pub fn protected_run_s(&self) -> f64 {
        self.settings.spared_s
    }
}

#[cfg(test)]
mod tests;
