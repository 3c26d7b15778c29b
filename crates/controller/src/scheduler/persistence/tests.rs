use super::transaction::MAX_IDLE_UNREFERENCED_PAGES;
use super::*;
use crate::calls::{SchedulerCall, Tag};
use crate::event_log::EventLog;
use crate::faults::Faults;
use crate::job_store::{JobSpec, JobStore};
use crate::leader_election::BLOCK_KEY;
use crate::progress;
use crate::scheduler::allocation::Allocation;
use crate::scheduler::job::Job;
use crate::scheduler::machine::Machine;
use crate::scheduler::Scheduler;
use crate::split::Resources;
use crate::store::StoreClient;
use beamhinge_core::messages::Effect;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{Attempt, FencingToken, MachineId, Revision, TaskId};
use beamhinge_core::wire;
use beamhinge_priority_aging::AgingPolicy;
use beamhinge_rate_limit::TransactionLimits;
use proptest::prelude::*;
use serde_json::json;
use std::rc::Rc;

/// Pending changes that a controller has to write.
#[derive(Clone, Debug)]
struct Backlog {
    /// Number of planned tasks of each job; no placement page lists them yet.
    planned_tasks: Vec<u32>,
    /// Number of tasks of each finished job.
    done_tasks: Vec<u32>,
    /// Number of unreferenced placement pages.
    unreferenced_pages: usize,
    /// Digits in the names of jobs and machines.
    name_digits: usize,
    /// Number of transactions that the key-value store rejects as malformed before it accepts one.
    malformed_replies: u32,
}

fn any_backlog() -> impl Strategy<Value = Backlog> {
    let jobs = |max_tasks| prop::collection::vec(1..max_tasks, 0..40usize);
    (
        jobs(60u32),
        jobs(9_000u32),
        0..600usize,
        6..18usize,
        0..8u32,
    )
        .prop_map(
            |(planned_tasks, done_tasks, unreferenced_pages, name_digits, malformed_replies)| {
                Backlog {
                    planned_tasks,
                    done_tasks,
                    unreferenced_pages,
                    name_digits,
                    malformed_replies,
                }
            },
        )
}

fn spec(tasks: u32) -> Rc<JobSpec> {
    let body = json!({"c": "class", "o": "one", "k": "batch", "u": "standard", "n": tasks,
        "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "oz": false, "ap": false,
        "sp": true, "ex": 5.0, "ce": 0.0, "cs": 0.0, "at": 0});
    Rc::new(serde_json::from_value(body).expect("a description"))
}

fn add_backlog(scheduler: &mut Scheduler, backlog: &Backlog, now: Time) {
    let width = backlog.name_digits;
    let chunk = progress::chunk_size(scheduler.max_value_bytes);
    let mut number = 0;
    let mut id = || {
        number += 1;
        JobId::parse(&format!("job-{number:0width$}")).expect("a job")
    };
    for tasks in &backlog.planned_tasks {
        let job = id();
        scheduler
            .jobs
            .insert(job, Job::new(spec(*tasks), Revision(7), chunk, now));
        for index in 0..*tasks {
            let name = format!("n-{:0width$}", index * 7 % 50);
            let machine = MachineId::parse(&name).expect("a machine");
            let task = TaskId { job, index };
            scheduler.next_attempt += 1;
            let attempt = Attempt(scheduler.next_attempt);
            let resources = Resources {
                cpus: 1.0,
                gpus: 0.0,
                memory_gb: 1.0,
            };
            let entry = Allocation::planned(attempt, resources, None, now, None);
            let m = scheduler
                .machines
                .entry(machine)
                .or_insert_with(|| Machine::new(now));
            m.resident.allocations.insert(task, entry);
            scheduler.commit_queue.push_back((machine, task));
        }
    }
    for tasks in &backlog.done_tasks {
        let job = id();
        scheduler
            .jobs
            .insert(job, Job::new(spec(*tasks), Revision(7), chunk, now));
        for index in 0..*tasks {
            scheduler.mark_done(TaskId { job, index });
        }
    }
    for n in 0..backlog.unreferenced_pages {
        scheduler.pages.insert(format!("p/1-{n}"), Revision(3));
    }
}

/// Checks the size of a transaction against the limits, independently of the code that built it.
fn check_limits(body: &[u8], limits: TransactionLimits) -> Result<(), String> {
    let transaction: serde_json::Value = wire::decode::<ciborium::Value>(body)
        .ok()
        .and_then(|v| v.deserialized().ok())
        .ok_or("not CBOR")?;
    let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let (when, then) = (list("when"), list("then"));
    let max_value_bytes = then
        .iter()
        .map(|t| t["value"].to_string().len())
        .max()
        .unwrap_or(0);
    let sizes = (
        then.len(),
        when.len(),
        transaction.to_string().len(),
        max_value_bytes,
    );
    let max_sizes = (
        limits.writes,
        limits.conditions,
        limits.bytes,
        limits.value_bytes,
    );
    if sizes.0 > max_sizes.0
        || sizes.1 > max_sizes.1
        || sizes.2 > max_sizes.2
        || sizes.3 > max_sizes.3
    {
        return Err(format!("sizes {sizes:?} exceed the limits {max_sizes:?}"));
    }
    Ok(())
}

/// Checks the conditions that every transaction needs: on the block key with the revision of the
/// leadership acquisition (Guard 1), and on each key that it changes.
fn check_conditions(body: &[u8]) -> Result<(), String> {
    let transaction: serde_json::Value = wire::decode::<ciborium::Value>(body)
        .ok()
        .and_then(|v| v.deserialized().ok())
        .ok_or("not CBOR")?;
    let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let when = list("when");
    let condition_on = |key: &serde_json::Value| when.iter().find(|w| w["path"] == *key);
    if condition_on(&json!(BLOCK_KEY)).is_none_or(|w| w["stamp"] != 9) {
        return Err("no condition on the block key".into());
    }
    let keys = list("then")
        .into_iter()
        .map(|t| match t["write"].is_null() {
            true => t["delete"].clone(),
            false => t["write"].clone(),
        });
    match keys.into_iter().find(|key| condition_on(key).is_none()) {
        Some(key) => Err(format!("{key} is changed without a condition on it")),
        None => Ok(()),
    }
}

/// Guards against a transaction of a former leader that is executed late and places tasks.
#[test]
fn transaction_always_requires_the_block_key() {
    let backlog = Backlog {
        planned_tasks: vec![3; 9],
        done_tasks: vec![2; 5],
        unreferenced_pages: 9,
        name_digits: 6,
        malformed_replies: 0,
    };
    assert!(commit_backlog(&backlog, 8, 8.0).is_ok());
    let faults = Faults {
        placements_without_block: true,
        ..Faults::default()
    };
    let result = commit_backlog_with_faults(&backlog, 8, 8.0, faults);
    assert_eq!(result, Err("no condition on the block key".into()));
}

/// Acts as the key-value store until nothing is left to write; returns the number of rounds.
fn commit_backlog(backlog: &Backlog, txn_ops: usize, value_kb: f64) -> Result<u32, String> {
    commit_backlog_with_faults(backlog, txn_ops, value_kb, Faults::default())
}

fn commit_backlog_with_faults(
    backlog: &Backlog,
    txn_ops: usize,
    value_kb: f64,
    faults: Faults,
) -> Result<u32, String> {
    let mut settings =
        Settings::parse("t", beamhinge_core::settings::SAMPLE).expect("valid sample");
    settings.params.state.txn_ops = txn_ops;
    settings.params.state.value_kb = value_kb;
    let limits = TransactionLimits::from(&settings.params.state);
    let mut now = Time::from_micros(1_000_000);
    let mut store: StoreClient<Tag> = StoreClient::new(&settings);
    let active_directives = Rc::default();
    let mut scheduler = Scheduler::new(
        &settings,
        FencingToken(9),
        active_directives,
        EventLog::new(false),
        AgingPolicy::new(Default::default()),
        now,
    );
    scheduler.loaded = true;
    scheduler.faults = faults;
    add_backlog(&mut scheduler, backlog, now);
    let (mut job_store, mut calls, mut revision) = (JobStore::default(), 0, 100);
    let mut refuse = backlog.malformed_replies;
    for round in 0..20_000 {
        now = now.plus(0.3);
        scheduler.commit(now, &mut store);
        let mut out = Vec::new();
        store.flush(now, &mut calls, &mut out);
        for effect in out {
            let Effect::Call { id, body, .. } = effect else {
                continue;
            };
            check_limits(&body, limits)?;
            check_conditions(&body)?;
            revision += 1;
            let reply = if refuse > 0 {
                refuse -= 1;
                (400, wire::encode(&json!({"error": "too many operations"})))
            } else {
                (200, wire::encode(&json!({ "ledgerRev": revision })))
            };
            let reply = store
                .on_reply(id, Some(reply))
                .ok_or("reply to an unknown call")?;
            scheduler.on_reply(now, SchedulerCall::Commit, reply, &mut job_store);
        }
        let remaining = scheduler.commit_queue.len()
            + scheduler.completed_jobs.len()
            + scheduler.progress_pages.dirty_pages().count()
            + scheduler
                .pages
                .unreferenced_count()
                .saturating_sub(MAX_IDLE_UNREFERENCED_PAGES);
        if remaining == 0 && scheduler.in_flight.is_none() {
            return Ok(round);
        }
    }
    Err(format!(
        "{} planned tasks and {} finished jobs left",
        scheduler.commit_queue.len(),
        scheduler.completed_jobs.len()
    ))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Guards against a transaction that is rejected as too large and rebuilt with the same
    /// content on every retry: no task started or ended for the rest of a simulated day.
    #[test]
    fn transactions_stay_within_limits_until_every_backlog_is_committed(
        backlog in any_backlog(),
        txn_ops in 2..40usize,
        value_kb in prop_oneof![Just(0.5), 0.5..4.0f64, Just(8.0), Just(32.0)],
    ) {
        let result = commit_backlog(&backlog, txn_ops, value_kb);
        prop_assert!(result.is_ok(), "{result:?}");
    }
}

/// Guards against a transaction that exceeds the limit of conditions: a hundred jobs that
/// each need a condition, together with as many page removals as one transaction may have, stopped
/// all scheduling for the rest of a simulated day.
#[test]
fn page_leaves_conditions_for_removals() {
    let backlog = Backlog {
        planned_tasks: vec![1; 400],
        done_tasks: vec![3; 30],
        unreferenced_pages: 400,
        name_digits: 6,
        malformed_replies: 0,
    };
    commit_backlog(&backlog, 24, 8.0).expect("backlog is committed");
}

#[test]
fn placement_is_not_delayed_by_ten_thousand_unreferenced_pages() {
    let backlog = Backlog {
        planned_tasks: vec![20; 10],
        done_tasks: Vec::new(),
        unreferenced_pages: 10_000,
        name_digits: 6,
        malformed_replies: 0,
    };
    assert!(commit_backlog(&backlog, 2, 8.0).expect("backlog is committed") > 100);
    let without_unreferenced_pages = Backlog {
        unreferenced_pages: 0,
        ..backlog
    };
    assert!(
        commit_backlog(&without_unreferenced_pages, 2, 8.0).expect("backlog is committed") < 40
    );
}
