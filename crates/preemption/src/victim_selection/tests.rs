use super::*;
use beamhinge_core::types::JobId;
use proptest::prelude::*;

fn resources(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory_gb: cpus,
    }
}

fn preemptible(index: usize, cpus: f64, lost_cpu_s: f64) -> PreemptibleTask {
    PreemptibleTask {
        task: TaskId {
            job: JobId::parse("job-1").expect("an id"),
            index: index as u32,
        },
        resources: resources(cpus),
        lost_cpu_s,
        profile: 0,
    }
}

/// Resources that are free once all of these tasks have ended.
fn free_after(free: Resources, ended: &[PreemptibleTask]) -> Resources {
    ended.iter().fold(free, |mut free_after, task| {
        free_after.add(&task.resources);
        free_after
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// The selected victims free enough capacity and none of them is redundant; if none are
    /// selected, preempting all running tasks would not suffice.
    #[test]
    fn victims_free_enough_capacity_and_none_is_redundant(
        free in -8.0..8.0f64,
        sizes in prop::collection::vec((0.25..16.0f64, 0.0..100.0f64), 0..9),
        requested in 0.25..24.0f64,
    ) {
        let running: Vec<PreemptibleTask> = sizes
            .iter()
            .enumerate()
            .map(|(index, (cpus, lost_cpu_s))| preemptible(index, *cpus, *lost_cpu_s))
            .collect();
        let (free, requested) = (resources(free), resources(requested));
        match cheapest_victims(free, &running, requested) {
            None => prop_assert!(!requested.fits(&free_after(free, &running))),
            Some(victims) => {
                prop_assert!(requested.fits(&free_after(free, &victims.tasks)));
                for index in 0..victims.tasks.len() {
                    let mut fewer = victims.tasks.clone();
                    fewer.remove(index);
                    prop_assert!(
                        !requested.fits(&free_after(free, &fewer)),
                        "{} is redundant",
                        index
                    );
                }
            }
        }
    }
}
