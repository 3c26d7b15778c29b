use super::*;
use crate::scale::size::OPERATORS_TABLE;

#[test]
fn the_load_has_the_rate_and_the_length_that_the_table_asks_for() {
    let size = Size::parse("t", OPERATORS_TABLE).expect("sound");
    let load = Workload::new(&size, 3);
    let jobs: Vec<ScaleJob> = (0..6_000).map(|n| load.job(n)).collect();
    let tasks = |urgent: Option<bool>| -> f64 {
        let of = |j: &&ScaleJob| urgent.is_none_or(|u| j.urgent == u);
        jobs.iter().filter(of).map(|j| f64::from(j.tasks)).sum()
    };
    let seconds = jobs.last().expect("some").due_s;
    assert!(
        (tasks(None) / seconds / 290.0 - 1.0).abs() < 0.03,
        "{}",
        tasks(None) / seconds
    );
    assert!((tasks(Some(true)) / tasks(None) - 0.05).abs() < 0.005);
    let run: f64 = jobs.iter().map(|j| f64::from(j.tasks) * j.run_s).sum();
    assert!((run / tasks(None) / size.run_s() - 1.0).abs() < 0.03);
    let offered = load.offered(100.0, 300.0);
    assert!(
        (offered.tasks as f64 / 200.0 / 290.0 - 1.0).abs() < 0.1,
        "{offered:?}"
    );
    assert!(
        (offered.running / 14_000.0 - 1.0).abs() < 0.1,
        "{offered:?}"
    );
    let halves = load.offered(100.0, 200.0).tasks + load.offered(200.0, 300.0).tasks;
    assert_eq!(halves, offered.tasks);
    let teams: std::collections::BTreeSet<&str> = jobs.iter().map(|j| j.team.as_str()).collect();
    assert_eq!(teams.len(), 240);
}

#[test]
fn a_job_is_the_same_for_users_and_workers() {
    let size = Size::parse("t", OPERATORS_TABLE).expect("sound");
    let load = Workload::new(&size, 3);
    let job = load.job(17);
    assert_eq!(job, load.job(17));
    let plan = load.plan(&job.id, true).expect("known");
    assert_eq!((plan.body, plan.run_s), (job.body(), job.run_s));
    assert!(plan.command.is_some_and(|c| c.starts_with("exec sleep ")));
    assert!(load.plan("task-17", false).is_none() && load.plan("job-x", false).is_none());
}
