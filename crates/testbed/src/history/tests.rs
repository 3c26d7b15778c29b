use super::*;
use beamhinge_emulator::worker::TaskEvent;

fn answer(asked: f64, got: f64, what: JobReply) -> Answer {
    Answer {
        asked,
        got,
        what,
        by: "a".into(),
    }
}

fn judged(answers: Vec<Answer>, cancel_sent: bool) -> Vec<String> {
    let h = JobHistory {
        tasks: 0,
        answers,
        cancel_sent,
        submitted: true,
    };
    let jobs = BTreeMap::from([("job-1".to_string(), h)]);
    wrong(&jobs, &Machines::default())
}

#[test]
fn answers_that_cross_may_differ_and_later_ones_may_not() {
    let (done, open) = (
        JobReply::State(State::Done),
        JobReply::State(State::Running),
    );
    assert!(judged(vec![answer(0.0, 5.0, open), answer(1.0, 2.0, done)], false).is_empty());
    assert_eq!(
        judged(vec![answer(0.0, 1.0, done), answer(2.0, 3.0, open)], false).len(),
        1
    );
    let unknown = answer(2.0, 3.0, JobReply::Unknown);
    assert_eq!(
        judged(vec![answer(0.0, 1.0, JobReply::Accepted), unknown], false).len(),
        1
    );
}

#[test]
fn two_final_answers_and_a_cancel_by_nobody_are_found() {
    let (done, gone) = (
        JobReply::State(State::Done),
        JobReply::State(State::Cancelled),
    );
    // The requests overlap in time, so neither reply came after the other.
    let both = vec![answer(0.0, 5.0, done), answer(1.0, 4.0, gone)];
    assert_eq!(judged(both, true).len(), 1);
    assert_eq!(judged(vec![answer(0.0, 1.0, gone)], false).len(), 1);
}

#[test]
fn a_task_on_two_machines_and_an_early_done_are_found() {
    let mut m = Machines::default();
    let seen = |machine, what| MachineEvent {
        at: 0,
        machine,
        event: TaskEvent {
            task_id: "job-1/0".into(),
            attempt: 1,
            transition: what,
        },
    };
    m.on_event(1.0, &seen(1, TaskTransition::Started));
    m.on_event(2.0, &seen(2, TaskTransition::Started));
    assert_eq!(m.twice.len(), 1);
    let answers = vec![answer(2.0, 2.5, JobReply::State(State::Done))];
    let h = JobHistory {
        tasks: 1,
        answers,
        cancel_sent: false,
        submitted: true,
    };
    let jobs = BTreeMap::from([("job-1".to_string(), h)]);
    assert_eq!(
        wrong(&jobs, &m).len(),
        2,
        "a duplicate start, and done with one unfinished task"
    );
    m.twice.clear();
    m.on_event(2.2, &seen(2, TaskTransition::Finished));
    assert!(wrong(&jobs, &m).is_empty());
}
