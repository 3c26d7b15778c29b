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

/// What a controller finds to write at some moment.
#[derive(Clone, Debug)]
struct Backlog {
    /// Tasks of jobs that wait for their page, by job.
    placed: Vec<u32>,
    /// Tasks of jobs that are complete.
    ended: Vec<u32>,
    dead: usize,
    /// Digits in the names of jobs and machines.
    digits: usize,
    /// Transactions that the service calls malformed before it takes any.
    malformed: u32,
}

fn backlog() -> impl Strategy<Value = Backlog> {
    let jobs = |most| prop::collection::vec(1..most, 0..40usize);
    (
        jobs(60u32),
        jobs(9_000u32),
        0..600usize,
        6..18usize,
        0..8u32,
    )
        .prop_map(|(placed, ended, dead, digits, malformed)| Backlog {
            placed,
            ended,
            dead,
            digits,
            malformed,
        })
}

fn spec(tasks: u32) -> Rc<JobSpec> {
    let body = json!({"c": "class", "o": "one", "k": "batch", "u": "standard", "n": tasks,
        "cpu": 1.0, "gpu": 0.0, "mem": 1.0, "img": "i", "igb": 1.0, "oz": false, "ap": false,
        "sp": true, "ex": 5.0, "ce": 0.0, "cs": 0.0, "at": 0});
    Rc::new(serde_json::from_value(body).expect("a description"))
}

fn fill(scheduler: &mut Scheduler, b: &Backlog, now: Time) {
    let w = b.digits;
    let chunk = progress::chunk_size(scheduler.max_value_bytes);
    let mut number = 0;
    let mut id = || {
        number += 1;
        JobId::parse(&format!("job-{number:0w$}")).expect("a job")
    };
    for tasks in &b.placed {
        let job = id();
        scheduler
            .jobs
            .insert(job, Job::new(spec(*tasks), Revision(7), chunk, now));
        for index in 0..*tasks {
            let name = format!("n-{:0w$}", index * 7 % 50);
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
    for tasks in &b.ended {
        let job = id();
        scheduler
            .jobs
            .insert(job, Job::new(spec(*tasks), Revision(7), chunk, now));
        for index in 0..*tasks {
            scheduler.mark_done(TaskId { job, index });
        }
    }
    for n in 0..b.dead {
        scheduler.pages.insert(format!("p/1-{n}"), Revision(3));
    }
}

/// Counts a body anew, without the code that built it.
fn within(body: &[u8], limits: TransactionLimits) -> Result<(), String> {
    let transaction: serde_json::Value = wire::decode::<ciborium::Value>(body)
        .ok()
        .and_then(|v| v.deserialized().ok())
        .ok_or("not CBOR")?;
    let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let (when, then) = (list("when"), list("then"));
    let longest = then
        .iter()
        .map(|t| t["value"].to_string().len())
        .max()
        .unwrap_or(0);
    let sizes = (
        then.len(),
        when.len(),
        transaction.to_string().len(),
        longest,
    );
    let most = (
        limits.writes,
        limits.conditions,
        limits.bytes,
        limits.value_bytes,
    );
    if sizes.0 > most.0 || sizes.1 > most.1 || sizes.2 > most.2 || sizes.3 > most.3 {
        return Err(format!("{sizes:?} where {most:?} are allowed"));
    }
    Ok(())
}

/// Guard 1, and the one condition that every write has: on the leadership key as it was acquired,
/// and on each key that it changes.
fn rests(body: &[u8]) -> Result<(), String> {
    let transaction: serde_json::Value = wire::decode::<ciborium::Value>(body)
        .ok()
        .and_then(|v| v.deserialized().ok())
        .ok_or("not CBOR")?;
    let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let when = list("when");
    let on = |key: &serde_json::Value| when.iter().find(|w| w["path"] == *key);
    if on(&json!(BLOCK_KEY)).is_none_or(|w| w["stamp"] != 9) {
        return Err("does not rest on the block".into());
    }
    let keys = list("then")
        .into_iter()
        .map(|t| match t["write"].is_null() {
            true => t["delete"].clone(),
            false => t["write"].clone(),
        });
    match keys.into_iter().find(|key| on(key).is_none()) {
        Some(key) => Err(format!("{key} is changed without a condition on it")),
        None => Ok(()),
    }
}

/// A transaction of a former leader that is carried out late places nothing.
#[test]
fn transaction_always_requires_the_leadership_key() {
    let b = Backlog {
        placed: vec![3; 9],
        ended: vec![2; 5],
        dead: 9,
        digits: 6,
        malformed: 0,
    };
    assert!(work_off(&b, 8, 8.0).is_ok());
    let without = Faults {
        placements_without_block: true,
        ..Faults::default()
    };
    let found = work_off_with(&b, 8, 8.0, without);
    assert_eq!(found, Err("does not rest on the block".into()));
}

/// Plays the state service until nothing is left to write.
fn work_off(b: &Backlog, txn_ops: usize, value_kb: f64) -> Result<u32, String> {
    work_off_with(b, txn_ops, value_kb, Faults::default())
}

fn work_off_with(
    b: &Backlog,
    txn_ops: usize,
    value_kb: f64,
    faults: Faults,
) -> Result<u32, String> {
    let mut settings =
        Settings::parse("t", beamhinge_core::settings::SAMPLE).expect("the sample is sound");
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
    fill(&mut scheduler, b, now);
    let (mut job_store, mut calls, mut rev) = (JobStore::default(), 0, 100);
    let mut refuse = b.malformed;
    for round in 0..20_000 {
        now = now.plus(0.3);
        scheduler.commit(now, &mut store);
        let mut out = Vec::new();
        store.flush(now, &mut calls, &mut out);
        for o in out {
            let Effect::Call { id, body, .. } = o else {
                continue;
            };
            within(&body, limits)?;
            rests(&body)?;
            rev += 1;
            let reply = if refuse > 0 {
                refuse -= 1;
                (400, wire::encode(&json!({"error": "too many operations"})))
            } else {
                (200, wire::encode(&json!({ "ledgerRev": rev })))
            };
            let reply = store.on_reply(id, Some(reply)).ok_or("no such call")?;
            scheduler.on_reply(now, SchedulerCall::Commit, reply, &mut job_store);
        }
        let left = scheduler.commit_queue.len()
            + scheduler.completed_jobs.len()
            + scheduler.progress_pages.dirty_pages().count()
            + scheduler
                .pages
                .unreferenced_count()
                .saturating_sub(MAX_IDLE_UNREFERENCED_PAGES);
        if left == 0 && scheduler.in_flight.is_none() {
            return Ok(round);
        }
    }
    Err(format!(
        "{} plans, {} ends left",
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
    /// Guards against a transaction that is refused as too large and built
    /// again alike, for ever: nothing started or ended for the rest of a day.
    #[test]
    fn no_transaction_is_too_large_and_every_backlog_is_worked_off(
        b in backlog(),
        txn_ops in 2..40usize,
        value_kb in prop_oneof![Just(0.5), 0.5..4.0f64, Just(8.0), Just(32.0)],
    ) {
        let done = work_off(&b, txn_ops, value_kb);
        prop_assert!(done.is_ok(), "{done:?}");
    }
}

/// A hundred jobs, each with a condition of its own, beside as many pages to
/// remove as a transaction may: what stopped a simulated day for ever.
#[test]
fn page_leaves_conditions_for_removals() {
    let b = Backlog {
        placed: vec![1; 400],
        ended: vec![3; 30],
        dead: 400,
        digits: 6,
        malformed: 0,
    };
    work_off(&b, 24, 8.0).expect("worked off");
}

#[test]
fn placement_is_not_delayed_by_ten_thousand_unreferenced_pages() {
    let b = Backlog {
        placed: vec![20; 10],
        ended: Vec::new(),
        dead: 10_000,
        digits: 6,
        malformed: 0,
    };
    assert!(work_off(&b, 2, 8.0).expect("worked off") > 100);
    let only = Backlog { dead: 0, ..b };
    assert!(work_off(&only, 2, 8.0).expect("worked off") < 40);
}
