use super::*;
use serde_json::json;

fn plans() -> BTreeMap<String, JobPlan> {
    let plan = |cpus: f64, urgency: &str, team: &str| JobPlan {
        body: json!({"owner": team, "vcpus": cpus, "pieces": 4, "urgency": urgency, "jobClass": urgency}),
        run_s: 1.0,
        fails: false,
        command: None,
        submitted_at: 0,
    };
    [
        ("job-1", plan(2.0, "best_effort", "one")),
        ("job-2", plan(12.0, "high", "one")),
        ("job-3", plan(2.0, "best_effort", "two")),
    ]
    .map(|(id, p)| (id.to_string(), p))
    .into()
}

fn event(task_id: &str, kind: TaskTransition) -> TaskEvent {
    TaskEvent {
        task_id: task_id.into(),
        attempt: 1,
        transition: kind,
    }
}

/// A tracker and the jobs of which it receives events.
struct Machines {
    jobs: BTreeMap<String, JobPlan>,
    tracker: PreemptionTracker,
}

impl Machines {
    fn on_events(&mut self, now: Micros, machine: u64, events: &[TaskEvent]) {
        let state = MachineState {
            machine,
            reclaimed: false,
        };
        self.tracker
            .on_events(now, state, events, &self.jobs, |_| false);
    }
}

#[test]
fn preemption_without_start_of_an_entitled_task_is_wasted() {
    let mut machines = Machines {
        jobs: plans(),
        tracker: PreemptionTracker::default(),
    };
    let six: Vec<TaskEvent> = (0..6)
        .map(|i| event(&format!("job-1/{i}"), TaskTransition::Stopped))
        .collect();
    let start = |task_id| [event(task_id, TaskTransition::Started)];
    machines.on_events(0, 1, &six);
    machines.on_events(0, 2, &six);
    // One start with twelve CPUs settles six victims with two CPUs each; a start of the same
    // job settles none.
    machines.on_events(SECOND, 1, &start("job-2/0"));
    machines.on_events(SECOND, 2, &start("job-1/7"));
    machines.on_events(SECOND, 2, &start("job-3/0"));
    machines.tracker.expire(40 * SECOND);
    let Machines { jobs, mut tracker } = machines;
    assert_eq!(
        (tracker.preempted, tracker.wasted),
        (12, 5),
        "another team's start settled one"
    );
    // Stops of cancelled tasks, and stops on a reclaimed machine, are not preemptions.
    let state = |machine, reclaimed| MachineState { machine, reclaimed };
    tracker.on_events(0, state(3, true), &six, &jobs, |_| false);
    tracker.on_events(0, state(4, false), &six, &jobs, |_| true);
    assert_eq!(tracker.preempted, 12);
}

#[test]
fn served_fractions_are_sorted_lowest_first() {
    // The job with the most CPUs is the largest of its class: it counts in addition to the
    // class.
    let half = |id: &str| if id == "job-2" { 1 } else { 4 };
    let parts = served_fractions(&plans(), |_, _| true, half);
    assert!(
        parts.contains(&("largest of high".to_string(), 0.25)),
        "{parts:?}"
    );
    let done = |id: &str| if id == "job-3" { 1 } else { 4 };
    let parts = served_fractions(&plans(), |_, _| true, done);
    assert_eq!(
        parts.first().map(|(n, p)| (n.as_str(), *p)),
        Some(("team two", 0.25))
    );
    assert_eq!(parts.last().map(|(_, p)| *p), Some(1.0));
}
