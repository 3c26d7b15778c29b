use super::*;
use crate::scale::size::{Size, OPERATORS_TABLE};

const SECOND: WallUs = 1_000_000;
const CANCEL_S: f64 = 10.0;

fn checker() -> Checker {
    let size = Size::parse("t", OPERATORS_TABLE).expect("sound");
    let workload = Workload::new(&size, 1);
    let limit = workload.task_cpus * 2.0;
    Checker::new(workload, limit, CANCEL_S)
}

fn task(
    checker: &mut Checker,
    s: u64,
    machine: u64,
    task_id: &str,
    attempt: u64,
    event: TaskTransition,
) {
    let (at, task_id) = (s * SECOND, task_id.to_string());
    checker.take(Record::Task {
        at,
        machine,
        task_id,
        attempt,
        event,
    });
}

fn user(checker: &mut Checker, s: u64, job: u64, event: UserEvent) {
    checker.take(Record::User {
        at: s * SECOND,
        job,
        event,
    });
}

fn broken(mut checker: Checker) -> Vec<String> {
    checker.check_until(1_000 * SECOND);
    checker.broken.keys().cloned().collect()
}

/// Number of the first job that matches the predicate.
fn job_where(want: impl Fn(&ScaleJob) -> bool) -> u64 {
    let checker = checker();
    (0..10_000)
        .find(|n| want(&checker.workload.job(*n)))
        .expect("there is one")
}

#[test]
fn an_attempt_after_the_end_of_the_last_is_sound_and_one_beside_it_is_not() {
    let mut c = checker();
    task(&mut c, 1, 1, "job-000001/0", 1, TaskTransition::Started);
    task(&mut c, 2, 1, "job-000001/0", 1, TaskTransition::Stopped);
    task(&mut c, 3, 2, "job-000001/0", 2, TaskTransition::Started);
    assert!(broken(c).is_empty());
    let mut c = checker();
    // Records arrive in a different order than the events happened.
    task(&mut c, 3, 2, "job-000001/0", 2, TaskTransition::Started);
    task(&mut c, 1, 1, "job-000001/0", 1, TaskTransition::Started);
    task(&mut c, 4, 1, "job-000001/0", 1, TaskTransition::Stopped);
    assert_eq!(broken(c), ["ran_twice"]);
}

#[test]
fn a_team_beyond_its_limit_is_found() {
    let mut c = checker();
    (0..2).for_each(|n| {
        task(
            &mut c,
            1,
            n,
            &format!("job-000001/{n}"),
            1,
            TaskTransition::Started,
        )
    });
    task(&mut c, 2, 0, "job-000001/0", 1, TaskTransition::Finished);
    task(&mut c, 3, 3, "job-000001/2", 1, TaskTransition::Started);
    c.check_until(100 * SECOND);
    assert!(c.broken.is_empty());
    task(&mut c, 101, 4, "job-000001/3", 1, TaskTransition::Started);
    assert_eq!(broken(c), ["quota"]);
}

#[test]
fn a_cancelled_task_must_be_gone_in_time_and_not_begin_after_it() {
    for (left, want) in [(Some(11), false), (Some(13), true), (None, true)] {
        let mut c = checker();
        task(&mut c, 1, 1, "job-000001/0", 1, TaskTransition::Started);
        user(&mut c, 2, 1, UserEvent::Cancelled);
        if let Some(s) = left {
            task(&mut c, s, 1, "job-000001/0", 1, TaskTransition::Stopped);
        }
        for s in 3..30 {
            c.check_until(s * SECOND);
        }
        assert_eq!(c.broken.contains_key("ran_cancelled"), want, "{left:?}");
    }
    let mut c = checker();
    user(&mut c, 2, 1, UserEvent::Cancelled);
    task(&mut c, 3, 1, "job-000001/0", 1, TaskTransition::Started);
    task(&mut c, 4, 1, "job-000001/0", 1, TaskTransition::Stopped);
    c.check_until(30 * SECOND);
    assert!(c.late_starts == 1 && c.broken.is_empty());
    task(&mut c, 31, 1, "job-000001/1", 1, TaskTransition::Started);
    assert_eq!(broken(c), ["ran_cancelled"]);
}

#[test]
fn a_job_is_done_when_all_its_tasks_have_ended() {
    let number = job_where(|j| j.tasks == 2);
    let mut c = checker();
    let task_id = |n: u32| format!("job-{number:06}/{n}");
    task(&mut c, 1, 1, &task_id(0), 1, TaskTransition::Started);
    task(&mut c, 2, 1, &task_id(0), 1, TaskTransition::Finished);
    user(&mut c, 3, number, UserEvent::Done);
    assert_eq!(broken(c), ["not_done"]);
    let mut c = checker();
    (0..2).for_each(|n| task(&mut c, 1, 1, &task_id(n), 1, TaskTransition::Started));
    (0..2).for_each(|n| task(&mut c, 2, 1, &task_id(n), 1, TaskTransition::Finished));
    user(&mut c, 3, number, UserEvent::Done);
    assert!(broken(c).is_empty());
}

#[test]
fn urgent_waits_count_from_the_acceptance_to_the_first_start() {
    let number = job_where(|j| j.urgent && j.tasks > 1);
    let mut c = checker();
    user(&mut c, 5, number, UserEvent::Accepted);
    task(
        &mut c,
        7,
        1,
        &format!("job-{number:06}/1"),
        1,
        TaskTransition::Started,
    );
    task(
        &mut c,
        9,
        1,
        &format!("job-{number:06}/0"),
        1,
        TaskTransition::Started,
    );
    c.check_until(100 * SECOND);
    assert_eq!(c.urgent_waits, [(5 * SECOND, 2_000.0)]);
    assert_eq!(c.urgent_histogram(0).expect("made").len(), 1);
    assert_eq!(c.urgent_histogram(6 * SECOND).expect("made").len(), 0);
}

#[test]
fn what_users_found_broken_is_kept_with_its_job() {
    let mut c = checker();
    user(&mut c, 1, 7, UserEvent::RuleViolation("forgotten".into()));
    user(&mut c, 2, 8, UserEvent::RuleViolation("forgotten".into()));
    c.check_until(100 * SECOND);
    assert_eq!(
        c.broken["forgotten"],
        RuleViolation {
            times: 2,
            first: "job-000007".into()
        }
    );
}
