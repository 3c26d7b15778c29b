use super::*;
use proptest::prelude::*;

#[test]
fn task_wider_than_the_lane_is_admitted_alone() {
    let mut lane = PriorityLane::new(8.0);
    assert!(lane.admits(64.0));
    lane.add(64.0);
    assert!(!lane.admits(0.5));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Urgent work loses at most the lane's width, or the CPUs of one task.
    #[test]
    fn admitted_tasks_never_exceed_the_width(
        width in 0.0f64..100.0,
        tasks in prop::collection::vec(0.1f64..64.0, 1..60),
    ) {
        let mut lane = PriorityLane::new(width);
        let mut admitted = Vec::new();
        for cpus in tasks {
            if lane.admits(cpus) {
                lane.add(cpus);
                admitted.push(cpus);
            }
        }
        prop_assert!(lane.used_cpus() <= width + 1e-3 || admitted.len() == 1);
    }
}
