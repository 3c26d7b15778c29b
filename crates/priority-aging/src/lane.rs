//! How much of the cluster boosted jobs use at once.

use beamhinge_core::resources::EPSILON;

/// The CPUs that boosted jobs may use while others wait for them.
///
/// One task is admitted when the lane is empty, however many CPUs it takes: else a task wider than
/// the lane would wait for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PriorityLane {
    width_cpus: f64,
    used_cpus: f64,
    tasks: u32,
}

impl PriorityLane {
    /// An empty lane of so many CPUs.
    #[must_use]
    pub fn new(width_cpus: f64) -> PriorityLane {
        PriorityLane {
            width_cpus,
            used_cpus: 0.0,
            tasks: 0,
        }
    }

    /// Whether a task of so many CPUs may be admitted now.
    #[must_use]
    pub fn admits(&self, cpus: f64) -> bool {
        self.tasks == 0 || self.used_cpus + cpus <= self.width_cpus + EPSILON
    }

    /// A task runs in the lane, or has been admitted: one for which a machine is reserved counts
    /// like one that runs, or the lane would admit others beyond its width by the time that there
    /// is room.
    pub fn add(&mut self, cpus: f64) {
        self.used_cpus += cpus;
        self.tasks += 1;
    }

    /// CPUs of the tasks in the lane.
    #[must_use]
    pub fn used_cpus(&self) -> f64 {
        self.used_cpus
    }

    /// CPUs that the lane is wide.
    #[must_use]
    pub fn width_cpus(&self) -> f64 {
        self.width_cpus
    }
}

#[cfg(test)]
mod tests;
