use super::*;
use beamhinge_core::types::JobId;

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId::parse("job-1").expect("an id"),
        index,
    }
}

fn resources(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory_gb: cpus,
    }
}

fn preemptible(index: u32, cpus: f64, lost_cpu_s: f64) -> PreemptibleTask {
    PreemptibleTask {
        task: task(index),
        resources: resources(cpus),
        lost_cpu_s,
        profile: 0,
    }
}

fn machine(number: u32) -> MachineId {
    MachineId::parse(&format!("n-{number:06}")).expect("a name")
}

fn candidate(number: u32, free: f64, preemptible: Vec<PreemptibleTask>) -> CandidateMachine {
    CandidateMachine {
        machine: machine(number),
        free: resources(free),
        preemptible,
        exits: Vec::new(),
    }
}

fn take_best_offer(candidates: &mut CandidateMachines, cpus: f64) -> Option<PreemptionOffer> {
    candidates.accept_best_offer(resources(cpus), |_| true, |_| true, |_| 0.0)
}

/// Guards against a former fault: freed CPUs were summed over the whole fleet, so a dozen
/// preemptions on a dozen machines freed enough capacity for the task on none of them.
#[test]
fn victims_of_one_task_are_on_one_machine() {
    let six_tasks = |from: u32, lost_cpu_s: f64| -> Vec<PreemptibleTask> {
        (from..from + 6)
            .map(|i| preemptible(i, 2.0, lost_cpu_s))
            .collect()
    };
    let mut candidates = CandidateMachines::new(vec![
        candidate(1, 0.0, six_tasks(0, 9.0)),
        candidate(2, 0.0, six_tasks(10, 8.0)),
        candidate(3, 4.0, six_tasks(20, 8.5)),
    ]);
    let offer = take_best_offer(&mut candidates, 12.0).expect("an offer");
    assert_eq!(
        (offer.machine, offer.victims.tasks.len()),
        (machine(3), 4),
        "four CPUs were already free on this machine"
    );
    let offer = take_best_offer(&mut candidates, 12.0).expect("an offer");
    assert_eq!((offer.machine, offer.victims.tasks.len()), (machine(2), 6));
    assert!(take_best_offer(&mut candidates, 13.0).is_none());
}

#[test]
fn one_large_victim_frees_capacity_for_several_tasks() {
    let mut candidates =
        CandidateMachines::new(vec![candidate(1, 0.0, vec![preemptible(0, 16.0, 50.0)])]);
    let mut victims = || take_best_offer(&mut candidates, 4.0).map(|offer| offer.victims.tasks);
    assert_eq!(victims().expect("an offer").len(), 1);
    for _ in 0..3 {
        assert!(victims().expect("an offer").is_empty());
    }
    assert!(victims().is_none());
}

#[test]
fn capacity_of_expected_exits_is_claimed_once() {
    let mut with_exits = candidate(1, 0.0, vec![preemptible(0, 4.0, 1.0)]);
    let exit = |index, remaining_s| ExpectedExit {
        task: task(index),
        remaining_s,
        resources: resources(2.0),
    };
    with_exits.exits = vec![exit(1, 1.0), exit(2, 4.0)];
    let mut candidates = CandidateMachines::new(vec![with_exits]);
    let mut reserve =
        |cpus, within_s| candidates.reserve_expected_exits(resources(cpus), 5, within_s, |_| true);
    assert_eq!(reserve(4.0, 3.0), 0);
    assert_eq!(reserve(4.0, 5.0), 1);
    assert_eq!(reserve(2.0, 5.0), 0);
}
