use super::*;
use crate::PriorityLane;
use beamhinge_core::settings::PriorityAging;
use proptest::prelude::*;

fn policy() -> AgingPolicy {
    AgingPolicy::new(PriorityAging {
        on: true,
        ..PriorityAging::default()
    })
}

#[test]
fn overloaded_lane_has_no_bound() {
    let load = |rate_per_s| BoostedLoad {
        arrivals: ArrivalCurve {
            burst: 4.0,
            rate_per_s,
        },
        max_task_cpus: 2.0,
        max_task_s: 60.0,
    };
    let capacity = ClusterCapacity {
        cpus: 160.0,
        downtime_s: 30.0,
    };
    let policy = policy();
    let wait = max_wait_s(&policy, Urgency::BestEffort, &load(0.02), &capacity);
    let boost_after_s = PriorityAging::default().best_effort_s;
    assert_eq!(wait, Ok(boost_after_s + 180.0 * 2.0 + 120.0 + 30.0));
    let overload = max_wait_s(&policy, Urgency::BestEffort, &load(1.0), &capacity);
    let message = overload.expect_err("overload").to_string();
    assert!(message.contains("0.050 of the capacity"), "{message}");
    let exempt = max_wait_s(&policy, Urgency::Critical, &load(0.0), &capacity);
    assert_eq!(exempt, Err(UnboundedWait::Exempt));
}

/// A boosted task.
#[derive(Clone, Copy)]
struct BoostedTask {
    boosted_s: f64,
    cpus: f64,
    /// Wait for free capacity after its admission, as a fraction of the longest wait.
    wait: f64,
    /// Run time, as a fraction of the longest run time.
    run: f64,
}

/// Simulates a first-in, first-out lane and returns the longest time from boost to start, seconds.
fn longest_wait_in_lane(width_cpus: f64, max_task_s: f64, boosted: &[BoostedTask]) -> f64 {
    let (mut in_lane, mut now, mut longest): (Vec<(f64, f64)>, f64, f64) = (Vec::new(), 0.0, 0.0);
    for task in boosted {
        now = now.max(task.boosted_s);
        loop {
            in_lane.retain(|(end, _)| *end > now);
            let mut lane = PriorityLane::new(width_cpus);
            in_lane.iter().for_each(|(_, cpus)| lane.add(*cpus));
            if lane.admits(task.cpus) {
                break;
            }
            now = in_lane
                .iter()
                .map(|(end, _)| *end)
                .fold(f64::INFINITY, f64::min);
        }
        let started = now + task.wait * 2.0 * max_task_s;
        longest = longest.max(started - task.boosted_s);
        in_lane.push((started + task.run * max_task_s, task.cpus));
    }
    longest
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        cases: 400,
        ..ProptestConfig::default()
    })]
    /// For any task sizes, waits and run times, no wait exceeds the bound for the tightest curve
    /// that covers the arrivals.
    #[test]
    fn no_wait_exceeds_the_bound(
        cpus in 20.0f64..400.0,
        samples in prop::collection::vec(
            (0.0f64..400.0, 0.2f64..16.0, 0.0f64..=1.0, 0.01f64..=1.0),
            1..80,
        ),
        max_task_s in 1.0f64..90.0,
    ) {
        let policy = policy();
        let width_cpus = policy.lane_width_cpus(cpus);
        let mut boosted_s = 0.0;
        let boosted: Vec<BoostedTask> = samples
            .iter()
            .map(|(after_s, cpus, wait, run)| {
                boosted_s += after_s;
                BoostedTask { boosted_s, cpus: *cpus, wait: *wait, run: *run }
            })
            .collect();
        let max_task_cpus = boosted.iter().map(|task| task.cpus).fold(0.0, f64::max);
        let rate_per_s = lane_throughput_per_s(&policy, max_task_cpus, max_task_s, cpus);
        let arrivals: Vec<(f64, f64)> =
            boosted.iter().map(|task| (task.boosted_s, 1.0)).collect();
        let load = BoostedLoad {
            arrivals: ArrivalCurve::tightest(rate_per_s, &arrivals),
            max_task_cpus,
            max_task_s,
        };
        let capacity = ClusterCapacity { cpus, downtime_s: 0.0 };
        let bound = max_wait_s(&policy, Urgency::Standard, &load, &capacity).expect("a bound");
        let waited = longest_wait_in_lane(width_cpus, max_task_s, &boosted)
            + PriorityAging::default().standard_s;
        prop_assert!(waited <= bound + 1e-6, "wait of {waited} s exceeds {bound} s");
    }
}
