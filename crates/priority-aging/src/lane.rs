//! How much of the room risen jobs hold at once.

/// The room that risen jobs may hold while others wait for it.
///
/// One task is admitted when the lane is empty, however wide: else a task wider
/// than the lane would wait for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Lane {
    width: f64,
    held: f64,
    tasks: u32,
}

/// Sums of decimal amounts may miss a bound by a rounding error.
const EPSILON: f64 = 1e-6;

impl Lane {
    /// An empty lane of so many CPUs.
    pub fn new(width: f64) -> Lane {
        Lane {
            width,
            held: 0.0,
            tasks: 0,
        }
    }

    /// Whether a task of so many CPUs may be admitted now.
    pub fn admits(&self, cpus: f64) -> bool {
        self.tasks == 0 || self.held + cpus <= self.width + EPSILON
    }

    /// A task runs in the lane, or has been admitted: one for which room is
    /// reserved counts like one that runs, or the lane would admit others beyond
    /// its width by the time that the room is there.
    pub fn take(&mut self, cpus: f64) {
        self.held += cpus;
        self.tasks += 1;
    }

    /// CPUs that are held.
    pub fn held(&self) -> f64 {
        self.held
    }

    pub fn width(&self) -> f64 {
        self.width
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_task_wider_than_the_lane_goes_alone() {
        let mut lane = Lane::new(8.0);
        assert!(lane.admits(64.0));
        lane.take(64.0);
        assert!(!lane.admits(0.5));
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]
        /// What the urgent lose is the lane's width, or one task.
        #[test]
        fn the_lane_is_never_wider(width in 0.0f64..100.0, tasks in prop::collection::vec(0.1f64..64.0, 1..60)) {
            let mut lane = Lane::new(width);
            let mut taken = Vec::new();
            for cpus in tasks {
                if lane.admits(cpus) {
                    lane.take(cpus);
                    taken.push(cpus);
                }
            }
            prop_assert!(lane.held() <= width + 1e-3 || taken.len() == 1);
        }
    }
}
