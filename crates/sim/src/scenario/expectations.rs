//! Checks of a scenario's `expect` lines.

use super::outcome::{Outcome, Wait};
use crate::cluster::Sim;
use beamhinge_emulator::Micros;
use serde_json::Value;
use std::str::FromStr;

/// The words of an `expect` line.
pub(super) type Expectation<'a> = &'a [&'a str];

fn word<'a>(words: Expectation<'a>, index: usize) -> &'a str {
    words.get(index).copied().unwrap_or("")
}

fn parse<T: FromStr>(text: &str, default: T) -> T {
    text.parse().unwrap_or(default)
}

/// Checks the expectations at the end of the script; returns those that were not met, with
/// details for the search of the cause.
pub(super) fn check(sim: &mut Sim, expectations: &[Expectation]) -> Vec<String> {
    let mut failures: Vec<String> = Vec::new();
    for words in expectations {
        let view = sim.users.views.get(word(words, 1)).cloned();
        let met = job_expectation(sim, words)
            .or_else(|| operator_expectation(sim, words))
            .or_else(|| machine_expectation(sim, words))
            .or_else(|| count_expectation(sim, words))
            .or_else(|| Figure::named(word(words, 0)).map(|_| true));
        match met {
            Some(true) => {}
            Some(false) => failures.push(format!(
                "expected {}; the user's view is {view:?}",
                words.join(" ")
            )),
            None => failures.push(format!("unknown expectation '{}'", word(words, 0))),
        }
    }
    failures.extend(unanswered_requests(sim));
    if !failures.is_empty() {
        explain(sim, &mut failures);
    }
    failures
}

/// Requests that were never answered although no fault explains it.
fn unanswered_requests(sim: &Sim) -> Option<String> {
    let faults = &sim.faults;
    // A user whose controller was then frozen, or cut off with its zone, gave up before it
    // could answer.
    let unavailable =
        faults.frozen_until.iter().any(|until| *until > 0) || !faults.zone_cuts.is_empty();
    let cut = !faults.link_cuts.is_empty() || faults.lost_commit_answers != 0.0;
    let count = sim.users.unanswered;
    (count > 0 && !cut && !unavailable)
        .then(|| format!("{count} requests of users were never answered"))
}

fn explain(sim: &Sim, failures: &mut Vec<String>) {
    for (name, (status, body)) in &sim.operator_answers {
        failures.push(format!(
            "operator request {name} was answered {status}: {body}"
        ));
    }
    failures.push(format!(
        "{} tasks started; {} machines left, at most {}; {} writes",
        sim.checks.started,
        sim.cloud.instances.len(),
        sim.cloud.peak_instances,
        sim.state.writes
    ));
}

/// Expectations about a job, from the answers that its user got.
fn job_expectation(sim: &mut Sim, words: Expectation) -> Option<bool> {
    let view = sim.users.views.get(word(words, 1));
    Some(match word(words, 0) {
        "violated" => sim.checks.violated.remove(word(words, 1)),
        "done" => view.is_some_and(|v| v.done),
        "cancelled" => view.is_some_and(|v| v.cancelled.is_some()),
        "not-done" => view.is_some_and(|v| v.accepted && !v.done),
        "status" => {
            let status = view.and_then(|v| v.submit_status);
            status.is_some_and(|s| s.to_string() == word(words, 2))
        }
        // waits-at-most JOB SECONDS: time from submission until its first task starts.
        "waits-at-most" => {
            let mut starts = sim.users.first_starts.iter();
            let start = starts.find(|(job, _)| job == word(words, 1));
            let wait = start.and_then(|(job, at)| Wait::new(sim, job, *at));
            wait.is_some_and(|w| w.wait_s <= parse(word(words, 2), 0.0))
        }
        _ => return None,
    })
}

/// Expectations about answers to operators.
fn operator_expectation(sim: &Sim, words: Expectation) -> Option<bool> {
    let answer = sim.operator_answers.get(word(words, 1));
    let wanted = word(words, 2);
    Some(match word(words, 0) {
        "answered" => answer.is_some_and(|(status, _)| status.to_string() == wanted),
        kind @ ("reason" | "no-reason") => {
            let reasons = answer.and_then(|(_, body)| body["reasons"].as_array());
            let named = |list: &Vec<Value>| list.iter().any(|r| r["reason"] == wanted);
            reasons.is_some_and(|list| named(list) == (kind == "reason"))
        }
        "answer-contains" => answer.is_some_and(|(_, body)| body.to_string().contains(wanted)),
        _ => return None,
    })
}

/// Expectations about running tasks and the number of machines.
fn machine_expectation(sim: &Sim, words: Expectation) -> Option<bool> {
    let running = || sim.workers.values().map(|w| w.running().count());
    let wanted = word(words, 1);
    Some(match word(words, 0) {
        "no-tasks-running" => running().all(|count| count == 0),
        "running" => running().sum::<usize>() == parse(wanted, 0),
        "machines-at-most" => sim.cloud.peak_instances <= parse(wanted, 0),
        "machines-left-at-most" => sim.cloud.instances.len() <= parse(wanted, 0),
        _ => return None,
    })
}

/// Expectations about counts, and about the time without a leader.
fn count_expectation(sim: &Sim, words: Expectation) -> Option<bool> {
    let checks = &sim.checks;
    let wanted = word(words, 1);
    Some(match word(words, 0) {
        "leaderless-at-most" => checks.longest_leaderless() <= (parse(wanted, 0.0) * 1e6) as Micros,
        "leader-changes-at-most" => checks.leader_changes() <= parse(wanted, 0),
        "starts-at-most" => checks.started <= parse(wanted, 0),
        "starts-at-least" => checks.started >= parse(wanted, u64::MAX),
        // Writes to the state service; their number does not depend on the machine's speed.
        "writes-at-most" => sim.state.writes <= parse(wanted, 0),
        "progress-keys" => sim.state.keys_under("d/") == parse(wanted, 0),
        // Configuration changes that were committed.
        "configuration-changes" => checks.quotas.changes() == parse(wanted, usize::MAX),
        "configuration-changes-at-least" => checks.quotas.changes() >= parse(wanted, usize::MAX),
        "preemptions-at-least" => checks.preemptions.preempted >= parse(wanted, u64::MAX),
        _ => return None,
    })
}

/// Figures of the outcome that a scenario can bound.
#[derive(Clone, Copy)]
enum Figure {
    AtMost(fn(&Outcome) -> f64),
    AtLeast(fn(&Outcome) -> f64),
}

impl Figure {
    fn named(name: &str) -> Option<Figure> {
        Some(match name {
            "healthy-returned-at-most" => Figure::AtMost(|o| o.losses.healthy_returned as f64),
            "unexplained-at-most" => Figure::AtMost(|o| o.losses.unexplained as f64),
            "settled-within" => Figure::AtMost(|o| o.settled_s),
            "late-starts-at-most" => Figure::AtMost(|o| o.late_starts as f64),
            "outdated-answers-within" => Figure::AtMost(|o| o.max_outdated_answer_s),
            "starvation-at-most" => Figure::AtMost(|o| o.longest_starvation_s),
            "answered-within" => Figure::AtMost(|o| o.unanswered_s),
            "largest-start-within" => {
                Figure::AtMost(|o| o.largest_wait.as_ref().map_or(0.0, |(_, s)| *s))
            }
            "expired-at-most" => Figure::AtMost(|o| o.losses.expired as f64),
            "preemptions-at-most" => Figure::AtMost(|o| o.preempted as f64),
            "wasted-preemptions-at-most" => Figure::AtMost(|o| o.wasted_preemptions as f64),
            // The part of its work that each class and team got done.
            "served-at-least" => {
                Figure::AtLeast(|o| o.least_served.as_ref().map_or(0.0, |(_, part)| *part))
            }
            _ => return None,
        })
    }
}

/// Checks the expectations about the outcome's figures, after the scenario has settled.
pub(super) fn check_figures(outcome: &Outcome, expectations: &[Expectation]) -> Vec<String> {
    let mut failures = Vec::new();
    for words in expectations {
        let bound: f64 = parse(word(words, 1), 0.0);
        let failed = match Figure::named(word(words, 0)) {
            Some(Figure::AtMost(figure)) => Some(figure(outcome)).filter(|f| *f > bound),
            Some(Figure::AtLeast(figure)) => Some(figure(outcome)).filter(|f| *f < bound),
            None => None,
        };
        if let Some(figure) = failed {
            failures.push(format!(
                "expected {}; the value is {figure}",
                words.join(" ")
            ));
        }
    }
    failures
}
