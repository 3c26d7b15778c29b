use super::*;
use crate::scale::size::OPERATORS_TABLE;

#[test]
fn workload_matches_start_rate_and_run_time_of_the_table() {
    let size = Size::parse("t", OPERATORS_TABLE).expect("valid");
    let workload = Workload::new(&size, 3);
    let jobs: Vec<ScaleJob> = (0..6_000).map(|n| workload.job(n)).collect();
    let tasks = |urgent: Option<bool>| -> f64 {
        let of = |j: &&ScaleJob| urgent.is_none_or(|u| j.urgent == u);
        jobs.iter().filter(of).map(|j| f64::from(j.tasks)).sum()
    };
    let seconds = jobs.last().expect("at least one job").due_s;
    assert!(
        (tasks(None) / seconds / 290.0 - 1.0).abs() < 0.03,
        "{}",
        tasks(None) / seconds
    );
    assert!((tasks(Some(true)) / tasks(None) - 0.05).abs() < 0.005);
    let run: f64 = jobs.iter().map(|j| f64::from(j.tasks) * j.run_s).sum();
    assert!((run / tasks(None) / size.run_s() - 1.0).abs() < 0.03);
    let offered = workload.offered(100.0, 300.0);
    assert!(
        (offered.tasks as f64 / 200.0 / 290.0 - 1.0).abs() < 0.1,
        "{offered:?}"
    );
    assert!(
        (offered.running / 14_000.0 - 1.0).abs() < 0.1,
        "{offered:?}"
    );
    let halves = workload.offered(100.0, 200.0).tasks + workload.offered(200.0, 300.0).tasks;
    assert_eq!(halves, offered.tasks);
    let teams: std::collections::BTreeSet<&str> = jobs.iter().map(|j| j.team.as_str()).collect();
    assert_eq!(teams.len(), 240);
}

#[test]
fn job_is_identical_for_users_and_workers() {
    let size = Size::parse("t", OPERATORS_TABLE).expect("valid");
    let workload = Workload::new(&size, 3);
    let job = workload.job(17);
    assert_eq!(job, workload.job(17));
    let plan = workload.job_plan(&job.id, true).expect("known");
    assert_eq!((plan.body, plan.run_s), (job.body(), job.run_s));
    assert!(plan.command.is_some_and(|c| c.starts_with("exec sleep ")));
    assert!(
        workload.job_plan("task-17", false).is_none()
            && workload.job_plan("job-x", false).is_none()
    );
}
