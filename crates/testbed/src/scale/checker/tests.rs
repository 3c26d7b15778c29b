use super::*;
use crate::scale::size::{Size, OPERATORS_TABLE};

const SECOND: WallUs = 1_000_000;
const CANCEL_S: f64 = 10.0;

fn checker() -> Checker {
    let size = Size::parse("t", OPERATORS_TABLE).expect("valid");
    let workload = Workload::new(&size, 1);
    let limit = workload.task_cpus * 2.0;
    Checker::new(workload, limit, CANCEL_S)
}

fn record_task(
    checker: &mut Checker,
    s: u64,
    machine: u64,
    task_id: &str,
    attempt: u64,
    event: TaskTransition,
) {
    let (at, task_id) = (s * SECOND, task_id.to_string());
    checker.add_record(Record::Task {
        at,
        machine,
        task_id,
        attempt,
        event,
    });
}

fn record_user(checker: &mut Checker, s: u64, job: u64, event: UserEvent) {
    checker.add_record(Record::User {
        at: s * SECOND,
        job,
        event,
    });
}

fn violated_rules(mut checker: Checker) -> Vec<String> {
    checker.check_until(1_000 * SECOND);
    checker.violations.keys().cloned().collect()
}

/// Number of the first job that matches the predicate.
fn job_where(matches: impl Fn(&ScaleJob) -> bool) -> u64 {
    let checker = checker();
    (0..10_000)
        .find(|n| matches(&checker.workload.job(*n)))
        .expect("a matching job")
}

#[test]
fn attempt_is_valid_after_the_previous_ended_and_a_violation_while_it_runs() {
    let mut c = checker();
    record_task(&mut c, 1, 1, "job-000001/0", 1, TaskTransition::Started);
    record_task(&mut c, 2, 1, "job-000001/0", 1, TaskTransition::Stopped);
    record_task(&mut c, 3, 2, "job-000001/0", 2, TaskTransition::Started);
    assert!(violated_rules(c).is_empty());
    let mut c = checker();
    // Records arrive in a different order than the events happened.
    record_task(&mut c, 3, 2, "job-000001/0", 2, TaskTransition::Started);
    record_task(&mut c, 1, 1, "job-000001/0", 1, TaskTransition::Started);
    record_task(&mut c, 4, 1, "job-000001/0", 1, TaskTransition::Stopped);
    assert_eq!(violated_rules(c), ["ran_twice"]);
}

#[test]
fn team_above_its_limit_is_a_quota_violation() {
    let mut c = checker();
    (0..2).for_each(|n| {
        record_task(
            &mut c,
            1,
            n,
            &format!("job-000001/{n}"),
            1,
            TaskTransition::Started,
        )
    });
    record_task(&mut c, 2, 0, "job-000001/0", 1, TaskTransition::Finished);
    record_task(&mut c, 3, 3, "job-000001/2", 1, TaskTransition::Started);
    c.check_until(100 * SECOND);
    assert!(c.violations.is_empty());
    record_task(&mut c, 101, 4, "job-000001/3", 1, TaskTransition::Started);
    assert_eq!(violated_rules(c), ["quota"]);
}

#[test]
fn cancelled_task_that_runs_after_the_deadline_is_a_violation() {
    for (left, is_violation) in [(Some(11), false), (Some(13), true), (None, true)] {
        let mut c = checker();
        record_task(&mut c, 1, 1, "job-000001/0", 1, TaskTransition::Started);
        record_user(&mut c, 2, 1, UserEvent::Cancelled);
        if let Some(s) = left {
            record_task(&mut c, s, 1, "job-000001/0", 1, TaskTransition::Stopped);
        }
        for s in 3..30 {
            c.check_until(s * SECOND);
        }
        assert_eq!(
            c.violations.contains_key("ran_cancelled"),
            is_violation,
            "{left:?}"
        );
    }
    let mut c = checker();
    record_user(&mut c, 2, 1, UserEvent::Cancelled);
    record_task(&mut c, 3, 1, "job-000001/0", 1, TaskTransition::Started);
    record_task(&mut c, 4, 1, "job-000001/0", 1, TaskTransition::Stopped);
    c.check_until(30 * SECOND);
    assert!(c.late_starts == 1 && c.violations.is_empty());
    record_task(&mut c, 31, 1, "job-000001/1", 1, TaskTransition::Started);
    assert_eq!(violated_rules(c), ["ran_cancelled"]);
}

#[test]
fn job_reported_done_before_all_tasks_ended_is_a_violation() {
    let number = job_where(|j| j.tasks == 2);
    let mut c = checker();
    let task_id = |n: u32| format!("job-{number:06}/{n}");
    record_task(&mut c, 1, 1, &task_id(0), 1, TaskTransition::Started);
    record_task(&mut c, 2, 1, &task_id(0), 1, TaskTransition::Finished);
    record_user(&mut c, 3, number, UserEvent::Done);
    assert_eq!(violated_rules(c), ["not_done"]);
    let mut c = checker();
    (0..2).for_each(|n| record_task(&mut c, 1, 1, &task_id(n), 1, TaskTransition::Started));
    (0..2).for_each(|n| record_task(&mut c, 2, 1, &task_id(n), 1, TaskTransition::Finished));
    record_user(&mut c, 3, number, UserEvent::Done);
    assert!(violated_rules(c).is_empty());
}

#[test]
fn urgent_wait_lasts_from_acceptance_to_first_start() {
    let number = job_where(|j| j.urgent && j.tasks > 1);
    let mut c = checker();
    record_user(&mut c, 5, number, UserEvent::Accepted);
    record_task(
        &mut c,
        7,
        1,
        &format!("job-{number:06}/1"),
        1,
        TaskTransition::Started,
    );
    record_task(
        &mut c,
        9,
        1,
        &format!("job-{number:06}/0"),
        1,
        TaskTransition::Started,
    );
    c.check_until(100 * SECOND);
    assert_eq!(c.urgent_waits, [(5 * SECOND, 2_000.0)]);
    assert_eq!(c.urgent_histogram(0).expect("valid histogram").len(), 1);
    assert_eq!(
        c.urgent_histogram(6 * SECOND)
            .expect("valid histogram")
            .len(),
        0
    );
}

#[test]
fn violation_found_by_a_user_is_recorded_with_its_job() {
    let mut c = checker();
    record_user(&mut c, 1, 7, UserEvent::RuleViolation("forgotten".into()));
    record_user(&mut c, 2, 8, UserEvent::RuleViolation("forgotten".into()));
    c.check_until(100 * SECOND);
    assert_eq!(
        c.violations["forgotten"],
        RuleViolation {
            times: 2,
            first: "job-000007".into()
        }
    );
}
