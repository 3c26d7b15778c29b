//! Jobs and their users.

use super::controllers;
use crate::cluster::Sim;
use crate::event::Event;
use crate::fault_injection::Temporary;
use crate::scenario::words::Words;
use crate::scenario::ScenarioError;
use beamhinge_emulator::user::UserRequest;
use beamhinge_emulator::{JobPlan, Micros, SECOND};
use rand::Rng;
use serde_json::{json, Value};

/// A user notices a faulty job, and cancels it, after a time drawn from this range, seconds.
const FAULT_NOTICED_S: std::ops::Range<Micros> = 40..100;

/// A submission as its user sends it.
fn submission(id: &str, words: Words, tasks: u64, expect_s: f64) -> Result<Value, ScenarioError> {
    let kind = if words.flag("standing") {
        "standing"
    } else {
        "batch"
    };
    let (checkpoint_every_s, checkpoint_s) = if words.flag("saves") {
        (5.0, 1.0)
    } else {
        (0.0, 0.0)
    };
    let machine_types = words.option("shapes");
    let due_s = words.option("due").and_then(|d| d.parse::<f64>().ok());
    Ok(json!({
        "nameId": id,
        "jobClass": words.option("class").unwrap_or("c"),
        "owner": words.option("team").unwrap_or("one"),
        "jobKind": kind,
        "urgency": words.option("urgency").unwrap_or("standard"),
        "pieces": tasks,
        "vcpus": words.number("cpus", 2.0)?,
        "cards": 0,
        "memoryGb": words.number("mem", 1.0)?,
        "bundle": words.option("image").unwrap_or("img"),
        "imageGb": 1.0,
        "yard": words.option("zone"),
        "shapes": machine_types.map(|s| s.split(',').collect::<Vec<_>>()),
        "oneZone": words.flag("oneZone"),
        "apart": words.flag("apart"),
        "loaners": !words.flag("noSpot"),
        "expectS": expect_s,
        "snapshotEveryS": checkpoint_every_s,
        "snapshotS": checkpoint_s,
        "dueS": due_s,
    }))
}

fn add_job(sim: &mut Sim, plan: JobPlan) {
    let id = plan.body["nameId"].as_str().unwrap_or_default().to_string();
    let submitted_at = plan.submitted_at;
    sim.users.unstarted.insert(id.clone());
    sim.jobs.insert(id.clone(), plan);
    send(sim, id, UserRequest::Submit, submitted_at);
}

fn send(sim: &mut Sim, job: String, request: UserRequest, at: Micros) {
    let event = Event::UserSends {
        job,
        request,
        since: at,
    };
    sim.push(at, event);
}

/// `submit JOB tasks= cpus= run= ...`
pub(super) fn submit(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let id = words
        .get(0)
        .ok_or(ScenarioError::Missing("submit: the job is missing"))?;
    let run_s = words.number("run", 5.0)?;
    let tasks = words.number("tasks", 1.0)? as u64;
    let mut body = submission(id, words, tasks, words.number("expect", run_s)?)?;
    // `lack` removes a field; `invalid` marks a job that must not be accepted.
    if let (Some(field), Some(map)) = (words.option("lack"), body.as_object_mut()) {
        map.remove(field);
    }
    if words.flag("invalid") {
        sim.users.invalid_jobs.insert(id.to_string());
    }
    let plan = JobPlan {
        body,
        run_s,
        fails: words.flag("fails"),
        command: None,
        submitted_at: sim.now,
    };
    add_job(sim, plan);
    Ok(())
}

/// `stream FIRST count= every= tasks= cpus= run= ...`: jobs at equal intervals, numbered from
/// FIRST, with a random number of tasks and run time.
pub(super) fn stream(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let first: u64 = words
        .get(0)
        .and_then(|w| w.parse().ok())
        .ok_or(ScenarioError::Missing(
            "stream: the first job number is missing",
        ))?;
    let count = words.number("count", 10.0)? as u64;
    let every_s = words.number("every", 1.0)?;
    let (mean_tasks, mean_run_s) = (words.number("tasks", 4.0)?, words.number("run", 10.0)?);
    let failing = words.number("broken", 0.0)?;
    let cancelled = words.number("cancelled", 0.0)?;
    let hits = |sim: &mut Sim, part: f64| part > 0.0 && sim.rng.gen_bool(part.min(1.0));
    for i in 0..count {
        let tasks = (mean_tasks * sim.rng.gen_range(0.5..1.5)).round().max(1.0);
        let run_s = mean_run_s * sim.rng.gen_range(0.6..1.4);
        let id = format!("job-{}", first + i);
        let body = submission(&id, words, tasks as u64, run_s)?;
        let submitted_at = sim.now + (every_s * i as f64 * 1e6) as Micros;
        // The tasks of a faulty job fail; its user notices that later and cancels the job.
        let fails = hits(sim, failing);
        let plan = JobPlan {
            body,
            run_s,
            fails,
            command: None,
            submitted_at,
        };
        add_job(sim, plan);
        if hits(sim, cancelled) {
            let after_s = sim.rng.gen_range(0.2..mean_run_s * 1.2 + 0.3);
            let at = submitted_at + (after_s * 1e6) as Micros;
            send(sim, id.clone(), UserRequest::Cancel, at);
        }
        if fails {
            let at = submitted_at + sim.rng.gen_range(FAULT_NOTICED_S) * SECOND;
            send(sim, id, UserRequest::Cancel, at);
        }
    }
    Ok(())
}

/// `poll JOB [on=NODE]` queries a job, `cancel` cancels it, `again` repeats its submission.
pub(super) fn user_request(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let job = words.arg(1)?.to_string();
    if let Some(label) = words.option("on") {
        sim.users.next_controller = Some(controllers::number(sim, label)?);
    }
    let request = match words.arg(0)? {
        "poll" => UserRequest::Poll,
        "again" => UserRequest::Submit,
        _ => UserRequest::Cancel,
    };
    send(sim, job, request, sim.now);
    Ok(())
}

/// `cancel-now count= hang=`: cancels running jobs.
pub(super) fn cancel_running(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let hang = words.duration("hang", 0.0)?;
    sim.cancel_running(words.number("count", 5.0)? as usize, hang);
    Ok(())
}

/// Users who query or cancel at the least favourable moments.
pub(super) fn adverse_users(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    match words.arg(0)? {
        // cancel-at-end PART for=SECONDS: this part of the jobs is cancelled as they end.
        "cancel-at-end" => sim.faults.cancel_at_end = words.probability(sim.now)?,
        // close-looks SECONDS: users query right after each answer.
        "close-looks" => sim.faults.probes_until = sim.now + words.seconds(1)?,
        // poll-storm factor= for=SECONDS: users query this many times as often.
        _ => {
            let until = sim.now + words.duration("for", 30.0)?;
            sim.users.poll_storm = Temporary {
                value: words.number("factor", 8.0)?,
                until,
            };
        }
    }
    Ok(())
}
