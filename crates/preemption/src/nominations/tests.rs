use super::*;
use crate::PreemptibleTask;
use beamhinge_core::resources::Resources;
use beamhinge_core::types::JobId;

fn at(seconds: f64) -> Time {
    Time::default().plus(100.0 + seconds)
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId::parse("job-1").expect("an id"),
        index,
    }
}

fn victims(count: u32) -> VictimSet {
    let victim = |index| PreemptibleTask {
        task: task(100 + index),
        resources: Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        lost_cpu_s: 1.0,
        profile: 0,
    };
    VictimSet {
        lost_cpu_s: 3.0,
        tasks: (0..count).map(victim).collect(),
    }
}

#[test]
fn nomination_is_closed_once_by_a_start_or_abandonment() {
    let machine = MachineId::parse("n-000001").expect("a name");
    let mut nominations = Nominations::default();
    let budget = nominations.remaining_budget();
    nominations.open(at(0.0), task(0), Attempt(5), machine, &victims(2));
    nominations.open(at(0.0), task(1), Attempt(6), machine, &victims(1));
    assert_eq!(
        (nominations.remaining_budget(), nominations.open_count()),
        (budget - 2, 2)
    );
    nominations.open(at(0.0), task(2), Attempt(7), machine, &victims(0));
    assert_eq!(
        (nominations.remaining_budget(), nominations.open_count()),
        (budget - 2, 3),
        "a nomination without victims does not use the budget"
    );
    assert!(!nominations.on_abandoned(at(0.1), task(2), Attempt(7)));
    assert_eq!(
        nominations.window(),
        budget,
        "an abandoned nomination without victims leaves the window as it is"
    );
    assert!(
        nominations.awaits_victims(task(0), Attempt(5))
            && !nominations.awaits_victims(task(0), Attempt(4))
    );
    nominations.on_task_ended(machine, task(100));
    assert!(
        nominations.awaits_victims(task(0), Attempt(5)),
        "a second victim still runs"
    );
    nominations.on_task_ended(machine, task(101));
    assert!(!nominations.awaits_victims(task(0), Attempt(5)));
    // Events of another attempt, and events after the nomination was closed, change nothing.
    nominations.on_started(at(1.0), task(0), Attempt(4));
    nominations.on_started(at(1.0), task(0), Attempt(5));
    nominations.on_started(at(2.0), task(0), Attempt(5));
    nominations.on_abandoned(at(2.0), task(0), Attempt(5));
    nominations.on_abandoned(at(2.0), task(1), Attempt(6));
    let stats = nominations.stats();
    assert_eq!(
        (
            stats.opened,
            stats.started,
            stats.abandoned,
            stats.victims,
            stats.wasted_victims
        ),
        (3, 1, 2, 3, 1)
    );
    assert!((stats.start_latency_s(0.5) - 1.0).abs() < 0.05);
    assert_eq!(nominations.open_count(), 0);
    assert!(
        nominations.remaining_budget() < budget,
        "an abandoned nomination narrows the window"
    );
}
