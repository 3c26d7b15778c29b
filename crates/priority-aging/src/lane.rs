//! Limits how much of the cluster boosted jobs use at once.

use beamhinge_core::resources::EPSILON;

/// The CPUs that boosted jobs may use while other jobs wait for CPUs.
///
/// An empty lane admits one task, however many CPUs it uses; otherwise a task larger than the lane
/// would wait indefinitely.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PriorityLane {
    width_cpus: f64,
    used_cpus: f64,
    tasks: u32,
}

impl PriorityLane {
    /// Creates an empty lane of `width_cpus` CPUs.
    #[must_use]
    pub fn new(width_cpus: f64) -> PriorityLane {
        PriorityLane {
            width_cpus,
            used_cpus: 0.0,
            tasks: 0,
        }
    }

    /// Whether a task of this many CPUs may be admitted now.
    #[must_use]
    pub fn admits(&self, cpus: f64) -> bool {
        self.tasks == 0 || self.used_cpus + cpus <= self.width_cpus + EPSILON
    }

    /// Adds a task that runs in the lane or has been admitted to it.
    ///
    /// A task for which a machine is reserved counts like a running one. Otherwise the lane would
    /// have admitted tasks beyond its width by the time the reserved machine is available.
    pub fn add(&mut self, cpus: f64) {
        self.used_cpus += cpus;
        self.tasks += 1;
    }

    /// CPUs used by the tasks in the lane.
    #[must_use]
    pub fn used_cpus(&self) -> f64 {
        self.used_cpus
    }

    /// The width of the lane in CPUs.
    #[must_use]
    pub fn width_cpus(&self) -> f64 {
        self.width_cpus
    }
}

#[cfg(test)]
mod tests;
