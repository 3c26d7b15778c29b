//! What a scenario came to: whether it ends well, and what it expects.

use super::{Outcome, Wait, IDLE_S, SERVED_S, START};
use crate::cluster::Sim;
use crate::starvation::WAITS_S;
use beamhinge_emulator::{Micros, SECOND};

/// Liveness: once all troubles have ended, everything that fits is done within a
/// stated time, and no money goes on being spent on nothing.
///
/// A service that stops for ever keeps every rule; only this finds it.
pub(super) fn settle(sim: &mut Sim, within_s: u64, outcome: &mut Outcome) {
    sim.heal();
    let began = sim.now;
    while sim.now < began + within_s * SECOND && !sim.unfinished().is_empty() {
        sim.run_until(sim.now + 2 * SECOND);
        while sim.due_script().is_some() {}
        if outcome.least.is_none() && sim.now >= began + SERVED_S * SECOND {
            outcome.least = sim.served().into_iter().next();
        }
    }
    if outcome.least.is_none() {
        outcome.least = sim.served().into_iter().next();
    }
    outcome.settled_s = (sim.now - began) as f64 / 1e6;
    outcome.stuck = sim.unfinished().into_iter().map(String::from).collect();
    // Every question about an accepted job has its answer by now, or its rule broken.
    while sim.questions_open() {
        sim.run_until(sim.now + 2 * SECOND);
        while sim.due_script().is_some() {}
    }
    outcome.beside_room_s = sim.starvation.longest as f64 / 1e6;
    outcome.left_waiting = sim.starvation.left.iter().cloned().collect();
    if !outcome.left_waiting.is_empty() {
        let jobs = &outcome.left_waiting;
        outcome.wrong.push(format!(
            "left waiting {WAITS_S} s beside room that fits: {jobs:?}"
        ));
    }
    if !outcome.stuck.is_empty() {
        outcome.wrong.push(format!(
            "not done after {within_s} s without trouble: {:?}",
            outcome.stuck
        ));
        return;
    }
    let until = sim.now + IDLE_S * SECOND;
    while sim.now < until && sim.rented_machines() > 0 && !sim.services_run() {
        sim.run_until(sim.now + 2 * SECOND);
        // A line that is due only now stopped the clock for ever.
        while sim.due_script().is_some() {}
    }
    if !sim.services_run() {
        outcome.idle_machines = sim.rented_machines();
    }
    if outcome.idle_machines > 0 {
        let n = outcome.idle_machines;
        outcome.wrong.push(format!(
            "{n} machines are rented for nothing, {IDLE_S} s after all was done"
        ));
    }
}

pub(super) fn waited(sim: &Sim, job: &str, started: Micros) -> Option<Wait> {
    let plan = sim.jobs.get(job)?;
    let number = |name: &str| plan.body[name].as_f64().unwrap_or(0.0);
    Some(Wait {
        job: job.to_string(),
        urgency: plan.body["urgency"].as_str().unwrap_or("").to_string(),
        sent_s: plan.submitted_at.saturating_sub(START) as f64 / 1e6,
        wait_s: started.saturating_sub(plan.submitted_at) as f64 / 1e6,
        tasks: number("pieces") as u64,
        cpus: number("vcpus"),
    })
}

pub(super) fn judge(sim: &mut Sim, expect: &[&[&str]]) -> Vec<String> {
    let mut wrong: Vec<String> = Vec::new();
    for words in expect {
        let arg = |i: usize| words.get(i).copied().unwrap_or("");
        let told = sim.told.get(arg(1)).cloned();
        let ok = match arg(0) {
            "broken" => sim.broken.remove(arg(1)),
            "done" => told.as_ref().is_some_and(|t| t.done),
            "cancelled" => told.as_ref().is_some_and(|t| t.cancelled.is_some()),
            "not-done" => told.as_ref().is_some_and(|t| t.accepted && !t.done),
            "status" => {
                told.as_ref()
                    .and_then(|t| t.submit_status)
                    .map(|s| s.to_string())
                    == Some(arg(2).to_string())
            }
            "empty" => sim.workers.values().all(|w| w.running().count() == 0),
            // What operators were told.
            "told" => sim.answers.get(arg(1)).map(|a| a.0.to_string()).as_deref() == Some(arg(2)),
            "reason" | "no-reason" => {
                let reasons = sim.answers.get(arg(1)).map(|a| a.1["reasons"].clone());
                let list = reasons.and_then(|r| r.as_array().cloned());
                let named = |l: &Vec<serde_json::Value>| l.iter().any(|r| r["reason"] == arg(2));
                list.is_some_and(|l| named(&l) == (arg(0) == "reason"))
            }
            "has" => sim
                .answers
                .get(arg(1))
                .is_some_and(|a| a.1.to_string().contains(arg(2))),
            "leaderless-at-most" => {
                sim.leaderless <= (arg(1).parse::<f64>().unwrap_or(0.0) * 1e6) as u64
            }
            "running" => {
                sim.workers
                    .values()
                    .map(|w| w.running().count())
                    .sum::<usize>()
                    == arg(1).parse().unwrap_or(0)
            }
            "machines-at-most" => sim.cloud.peak_instances <= arg(1).parse().unwrap_or(0),
            "machines-left-at-most" => sim.cloud.instances.len() <= arg(1).parse().unwrap_or(0),
            "starts-at-most" => sim.started <= arg(1).parse().unwrap_or(0),
            "starts-at-least" => sim.started >= arg(1).parse().unwrap_or(u64::MAX),
            // Changes of the state service: work counted, not time.
            "writes-at-most" => sim.state.writes <= arg(1).parse().unwrap_or(0),
            "progress-keys" => sim.state.keys_under("d/") == arg(1).parse::<usize>().unwrap_or(0),
            // Changes of configuration that were made.
            "configured" => sim.limits.changes() == arg(1).parse().unwrap_or(usize::MAX),
            "configured-at-least" => sim.limits.changes() >= arg(1).parse().unwrap_or(usize::MAX),
            "moves-at-most" => sim.moves <= arg(1).parse().unwrap_or(0),
            "stopped-at-least" => sim.stops.stopped >= arg(1).parse().unwrap_or(u64::MAX),
            "waits-at-most" => {
                // waits-at-most JOB SECONDS: until its first task started
                let started = sim.first_starts.iter().find(|(job, _)| job == arg(1));
                let waited = started.and_then(|(job, at)| waited(sim, job, *at));
                waited.is_some_and(|w| w.wait_s <= arg(2).parse().unwrap_or(0.0))
            }
            "healthy-returned-at-most"
            | "unexplained-at-most"
            | "settled-within"
            | "late-starts-at-most"
            | "older-within"
            | "waits-beside-room-at-most"
            | "answered-within"
            | "largest-begin-within"
            | "expired-at-most"
            | "stopped-at-most"
            | "in-vain-at-most"
            | "served-at-least" => true,
            other => {
                wrong.push(format!("unknown expectation '{other}'"));
                true
            }
        };
        if !ok {
            wrong.push(format!("expected {}; told {told:?}", words.join(" ")));
        }
    }
    // Who asked a controller that then stood still, or was cut off with its zone,
    // gave up before it could answer.
    let away = sim.frozen.iter().any(|until| *until > 0) || !sim.zone_cuts.is_empty();
    if sim.unanswered > 0 && sim.lose_replies == 0.0 && sim.cuts.is_empty() && !away {
        wrong.push(format!(
            "{} requests of users were never answered",
            sim.unanswered
        ));
    }
    if wrong.is_empty() {
        return wrong;
    }
    let hosts = sim.cloud.instances.len();
    for (name, (status, body)) in &sim.answers {
        wrong.push(format!("{name} was told {status}: {body}"));
    }
    wrong.push(format!(
        "{} tasks started; {hosts} machines left, at most {}; {} writes",
        sim.started, sim.cloud.peak_instances, sim.state.writes
    ));
    wrong
}
