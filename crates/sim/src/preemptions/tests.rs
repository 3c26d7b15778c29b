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

fn event(task_id: &str, what: TaskTransition) -> TaskEvent {
    TaskEvent {
        task_id: task_id.into(),
        attempt: 1,
        transition: what,
    }
}

#[test]
fn a_stop_counts_by_who_starts_in_its_place() {
    let (plans, mut s) = (plans(), PreemptionTracker::default());
    let six: Vec<TaskEvent> = (0..6)
        .map(|i| event(&format!("job-1/{i}"), TaskTransition::Stopped))
        .collect();
    s.saw(0, 1, false, &six, &plans, |_| false);
    s.saw(0, 2, false, &six, &plans, |_| false);
    // One of twelve CPUs settles six of two; the same work again settles none.
    s.saw(
        SECOND,
        1,
        false,
        &[event("job-2/0", TaskTransition::Started)],
        &plans,
        |_| false,
    );
    s.saw(
        SECOND,
        2,
        false,
        &[event("job-1/7", TaskTransition::Started)],
        &plans,
        |_| false,
    );
    s.saw(
        SECOND,
        2,
        false,
        &[event("job-3/0", TaskTransition::Started)],
        &plans,
        |_| false,
    );
    s.look(40 * SECOND);
    assert_eq!(
        (s.stopped, s.in_vain),
        (12, 5),
        "another team's start settled one"
    );
    // Cancelled, or on a machine that goes: for nobody's sake.
    s.saw(0, 3, true, &six, &plans, |_| false);
    s.saw(0, 4, false, &six, &plans, |_| true);
    assert_eq!(s.stopped, 12);
}

#[test]
fn the_least_served_comes_first() {
    // The wide job alone is its class's largest: it counts beside its class.
    let half = |id: &str| if id == "job-2" { 1 } else { 4 };
    let parts = served(&plans(), |_, _| true, half);
    assert!(
        parts.contains(&("largest of high".to_string(), 0.25)),
        "{parts:?}"
    );
    let done = |id: &str| if id == "job-3" { 1 } else { 4 };
    let parts = served(&plans(), |_, _| true, done);
    assert_eq!(
        parts.first().map(|(n, p)| (n.as_str(), *p)),
        Some(("team two", 0.25))
    );
    assert_eq!(parts.last().map(|(_, p)| *p), Some(1.0));
}
