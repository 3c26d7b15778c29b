use super::*;
use beamhinge_emulator::worker::TaskEvent;

fn reply_between(start_s: f64, end_s: f64, content: JobReply) -> Reply {
    Reply {
        start_s,
        end_s,
        content,
        source: "a".into(),
    }
}

fn check_replies(replies: Vec<Reply>, cancel_sent: bool) -> Vec<String> {
    let history = JobHistory {
        tasks: 0,
        replies,
        cancel_sent,
        submitted: true,
    };
    let jobs = BTreeMap::from([("job-1".to_string(), history)]);
    inconsistencies(&jobs, &TaskTransitions::default())
}

#[test]
fn overlapping_replies_may_differ_but_later_replies_may_not() {
    let (done, open) = (
        JobReply::State(State::Done),
        JobReply::State(State::Running),
    );
    assert!(check_replies(
        vec![reply_between(0.0, 5.0, open), reply_between(1.0, 2.0, done)],
        false
    )
    .is_empty());
    assert_eq!(
        check_replies(
            vec![reply_between(0.0, 1.0, done), reply_between(2.0, 3.0, open)],
            false
        )
        .len(),
        1
    );
    let unknown = reply_between(2.0, 3.0, JobReply::Unknown);
    assert_eq!(
        check_replies(
            vec![reply_between(0.0, 1.0, JobReply::Accepted), unknown],
            false
        )
        .len(),
        1
    );
}

#[test]
fn two_final_states_and_a_cancellation_without_request_are_reported() {
    let (done, cancelled) = (
        JobReply::State(State::Done),
        JobReply::State(State::Cancelled),
    );
    // The requests overlap in time, so neither reply came after the other.
    let overlapping = vec![
        reply_between(0.0, 5.0, done),
        reply_between(1.0, 4.0, cancelled),
    ];
    assert_eq!(check_replies(overlapping, true).len(), 1);
    assert_eq!(
        check_replies(vec![reply_between(0.0, 1.0, cancelled)], false).len(),
        1
    );
}

#[test]
fn task_on_two_machines_and_premature_done_are_reported() {
    let mut transitions = TaskTransitions::default();
    let event_on = |machine, task_transition| MachineEvent {
        at: 0,
        machine,
        event: TaskEvent {
            task_id: "job-1/0".into(),
            attempt: 1,
            transition: task_transition,
        },
    };
    transitions.on_event(1.0, &event_on(1, TaskTransition::Started));
    transitions.on_event(2.0, &event_on(2, TaskTransition::Started));
    assert_eq!(transitions.duplicate_starts.len(), 1);
    let replies = vec![reply_between(2.0, 2.5, JobReply::State(State::Done))];
    let history = JobHistory {
        tasks: 1,
        replies,
        cancel_sent: false,
        submitted: true,
    };
    let jobs = BTreeMap::from([("job-1".to_string(), history)]);
    assert_eq!(
        inconsistencies(&jobs, &transitions).len(),
        2,
        "a duplicate start, and done with one unfinished task"
    );
    transitions.duplicate_starts.clear();
    transitions.on_event(2.2, &event_on(2, TaskTransition::Finished));
    assert!(inconsistencies(&jobs, &transitions).is_empty());
}
