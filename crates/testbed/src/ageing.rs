//! A night in simulated time: urgent jobs exceed the capacity of the cluster for hours.
//!
//! Compares the waiting times of lower-priority jobs with and without priority aging.

use crate::TestbedError;
use beamhinge_controller::faults::Faults;
use beamhinge_core::job::Urgency;
use beamhinge_core::settings::PriorityAging;
use beamhinge_priority_aging::{
    lane_throughput_per_s, max_wait_s, AgingPolicy, ArrivalCurve, BoostedLoad, ClusterCapacity,
};
use beamhinge_sim::scenario::{self, Outcome, ScenarioError, Wait};
use clap::Args;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::thread::ScopedJoinHandle;
use std::time::Instant;

#[derive(Args)]
pub(crate) struct Options {
    /// Number of nights, each with a different seed
    #[arg(long, default_value_t = 3)]
    nights: u64,
    /// Write the first night to this file as a scenario
    #[arg(long, value_name = "FILE")]
    write: Option<std::path::PathBuf>,
}

/// Number of machines, each with eight CPUs; all exist from the start.
const MACHINES: u64 = 20;
/// Longest time that a task occupies a machine, in seconds: the longest run of an urgent task, its
/// image fetch, and the worker reports that start it and report its end.
const MAX_OCCUPANCY_S: f64 = 64.0 * 1.4 + 1.0 + 2.0 * REPORT_INTERVAL_S;
/// Interval between two reports of a worker, in seconds.
const REPORT_INTERVAL_S: f64 = 5.0;
/// Limit for the longest wait of a lower-priority job, in seconds.
const MAX_LOW_PRIORITY_WAIT_S: f64 = 7_200.0;
/// Largest permitted increase of the median wait of urgent jobs, as a fraction.
const MAX_URGENT_MEDIAN_LOSS: f64 = 0.10;

/// Generates the scenario of a night.
///
/// For an hour one urgent job a second arrives, which is 1.6 times the capacity of the machines,
/// then for hours as much urgent work as they can do. In addition a few lower-priority jobs arrive,
/// some of which need a whole machine. The leader's process crashes after two hours.
fn night_scenario(seed: u64, hours: f64, ageing: PriorityAging) -> String {
    // One job a second; for a quick run a quarter as many jobs with four times as many tasks.
    let interval_s = if hours < 10.0 { 4 } else { 1 };
    let first_hour_jobs = 3_600 / interval_s;
    let sustained_s = ((hours - 3.5) * 3_600.0).max(0.0);
    let mut text = String::new();
    let on = if ageing.on { "yes" } else { "no" };
    let (low_s, standard_s) = (ageing.best_effort_s, ageing.standard_s);
    let _ = writeln!(text, "seed {seed}\nageing on={on} best_effort_s={low_s} standard_s={standard_s}\npolls 300\nteam-max 0\nowned 0");
    let _ = writeln!(
        text,
        "spot 0\nordinary {}\nlarge 0\nworkers report={REPORT_INTERVAL_S} lease=27.5 cancel=57.5",
        MACHINES / 2
    );
    let _ = writeln!(text, "state rps=200 writes=40 value=32 txn=16");
    let sustained_jobs = sustained_s / 25.0;
    let _ = writeln!(
        text,
        "at 600 stream 1 count={first_hour_jobs} every={interval_s} tasks={interval_s} cpus=4 run=64 urgency=high class=u"
    );
    let _ = writeln!(
        text,
        "at 4200 stream 10001 count={sustained_jobs:.0} every=25 tasks=25 cpus=4 run=40 urgency=high class=u"
    );
    let lower_priority_jobs = |n: u64, at: f64, interval_s: f64, cpus: u32, urgency: &str| {
        let count = (hours - 1.0) * 3_600.0 / interval_s;
        format!("at {at} stream {n} count={count:.0} every={interval_s} tasks=1 cpus={cpus} run=40 urgency={urgency} class=l\n")
    };
    // The arrival times depend on the seed of the night.
    let arrival_offset_s = (seed % 97) as f64;
    text += &lower_priority_jobs(50_001, 700.0 + arrival_offset_s, 900.0, 2, "best_effort");
    text += &lower_priority_jobs(
        60_001,
        900.0 + arrival_offset_s * 2.0,
        1_200.0,
        2,
        "standard",
    );
    text += &lower_priority_jobs(
        70_001,
        1_100.0 + arrival_offset_s * 3.0,
        2_400.0,
        8,
        "best_effort",
    );
    let _ = writeln!(
        text,
        "at 7300 crash leader\nat 7330 start-all\nsettle 20000\nend {:.0}",
        hours * 3_600.0
    );
    text
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let at = (sorted.len().saturating_sub(1) as f64 * q).round() as usize;
    sorted.get(at).copied().unwrap_or(f64::NAN)
}

/// Sorted waits of the selected jobs, in seconds.
fn waits(outcome: &Outcome, which: impl Fn(&Wait) -> bool) -> Vec<f64> {
    let mut all: Vec<f64> = outcome
        .waits
        .iter()
        .filter(|w| which(w))
        .map(|w| w.wait_s)
        .collect();
    all.sort_by(f64::total_cmp);
    all
}

fn wait_statistics_by_urgency(outcome: &Outcome) -> Value {
    let of = |urgency: &str| {
        let w = waits(outcome, |w| w.urgency == urgency);
        json!({"jobs": w.len(), "median_s": quantile(&w, 0.5).round(), "p95_s": quantile(&w, 0.95).round(), "longest_s": quantile(&w, 1.0).round()})
    };
    json!({"high": of("high"), "standard": of("standard"), "best_effort": of("best_effort")})
}

/// Upper bound for the wait of the jobs whose priority was boosted in this night, in seconds. Their
/// arrivals are bounded by the tightest arrival curve with the throughput that the priority lane
/// guarantees.
fn wait_bound_s(
    policy: &AgingPolicy,
    outcome: &Outcome,
    failovers: f64,
) -> Result<f64, TestbedError> {
    let is_lower_priority = |w: &&Wait| w.urgency == "best_effort" || w.urgency == "standard";
    let mut boosts: Vec<(f64, f64)> = Vec::new();
    let mut largest_task_cpus: f64 = 0.0;
    for w in outcome.waits.iter().filter(is_lower_priority) {
        let urgency = if w.urgency == "standard" {
            Urgency::Standard
        } else {
            Urgency::BestEffort
        };
        boosts.push((
            w.submitted_s + policy.boost_after_s(urgency).unwrap_or(0.0),
            w.tasks as f64,
        ));
        largest_task_cpus = largest_task_cpus.max(w.cpus);
    }
    boosts.sort_by(|a, b| a.0.total_cmp(&b.0));
    let cpus = MACHINES as f64 * 8.0;
    let rate_per_s = lane_throughput_per_s(policy, largest_task_cpus, MAX_OCCUPANCY_S, cpus);
    let load = BoostedLoad {
        arrivals: ArrivalCurve::tightest(rate_per_s, &boosts),
        max_task_cpus: largest_task_cpus,
        max_task_s: MAX_OCCUPANCY_S,
    };
    let capacity = ClusterCapacity {
        cpus,
        downtime_s: failovers * (outcome.leaderless_s + 2.0 * MAX_OCCUPANCY_S),
    };
    max_wait_s(policy, Urgency::BestEffort, &load, &capacity)
        .map_err(|e| TestbedError::Other(e.to_string()))
}

/// Outcomes of a night with and without priority aging.
struct Comparison {
    seed: u64,
    without_aging: Outcome,
    with_aging: Outcome,
}

/// Results of a comparison, in seconds except for the loss.
struct Figures {
    longest_wait_s: f64,
    baseline_s: f64,
    bound_s: f64,
    urgent_median_s: f64,
    /// Increase of the median wait of urgent jobs due to aging, as a fraction.
    urgent_loss: f64,
}

impl Figures {
    fn new(night: &Comparison, policy: &AgingPolicy) -> Result<Figures, TestbedError> {
        let longest_wait = |o: &Outcome| quantile(&waits(o, |w| w.urgency != "high"), 1.0);
        let median = |o: &Outcome| quantile(&waits(o, |w| w.urgency == "high"), 0.5);
        Ok(Figures {
            bound_s: wait_bound_s(policy, &night.with_aging, 1.0)?,
            longest_wait_s: longest_wait(&night.with_aging),
            baseline_s: longest_wait(&night.without_aging),
            urgent_median_s: median(&night.with_aging),
            urgent_loss: median(&night.with_aging) / median(&night.without_aging) - 1.0,
        })
    }
}

/// Simulates all nights in parallel, each with and without aging.
fn simulate_nights(
    seeds: std::ops::Range<u64>,
    hours: f64,
    ageing: PriorityAging,
) -> Result<Vec<Comparison>, TestbedError> {
    let outcome = |seed: u64, on: bool| {
        let text = night_scenario(seed, hours, PriorityAging { on, ..ageing });
        scenario::play(&text, Faults::default())
    };
    std::thread::scope(|scope| {
        let spawn = |seed, on| scope.spawn(move || outcome(seed, on));
        let runs: Vec<_> = seeds
            .map(|seed| (seed, spawn(seed, false), spawn(seed, true)))
            .collect();
        let join = |run: ScopedJoinHandle<'_, Result<Outcome, ScenarioError>>| match run.join() {
            Ok(outcome) => outcome.map_err(TestbedError::from),
            Err(_) => Err(TestbedError::Other(
                "the simulation of the night panicked".into(),
            )),
        };
        runs.into_iter()
            .map(|(seed, without_aging, with_aging)| {
                Ok(Comparison {
                    seed,
                    without_aging: join(without_aging)?,
                    with_aging: join(with_aging)?,
                })
            })
            .collect()
    })
}

/// Lists the checks that a night failed.
fn failures(night: &Comparison, figures: &Figures) -> Vec<String> {
    let Comparison {
        seed,
        without_aging,
        with_aging,
    } = night;
    let Figures {
        longest_wait_s,
        baseline_s,
        bound_s,
        urgent_loss: loss,
        ..
    } = figures;
    let checks = [
        (
            with_aging.failures.is_empty(),
            format!("{:?}", with_aging.failures),
        ),
        (
            with_aging.unfinished.is_empty() && without_aging.unfinished.is_empty(),
            "jobs are unfinished".into(),
        ),
        (
            *longest_wait_s < MAX_LOW_PRIORITY_WAIT_S,
            format!("a lower-priority job waited {longest_wait_s:.0} s"),
        ),
        (
            longest_wait_s <= bound_s,
            format!("the longest wait, {longest_wait_s:.0} s, exceeds the bound, {bound_s:.0} s"),
        ),
        (
            baseline_s > bound_s,
            format!("without aging the longest wait, {baseline_s:.0} s, is within the bound"),
        ),
        (
            *loss <= MAX_URGENT_MEDIAN_LOSS,
            format!("aging increases the median wait of urgent jobs by the fraction {loss:.3}"),
        ),
    ];
    let failed = checks.into_iter().filter(|(ok, _)| !ok);
    failed
        .map(|(_, what)| format!("night {seed}: {what}"))
        .collect()
}

/// Runs the experiment and returns the results to print.
pub(crate) fn run(seed: u64, quick: bool, options: &Options) -> Result<Value, TestbedError> {
    let hours = if quick { 2.0 } else { 10.0 };
    let mut ageing = PriorityAging {
        on: true,
        ..PriorityAging::default()
    };
    if quick {
        (ageing.best_effort_s, ageing.standard_s) = (900.0, 300.0);
    }
    let started_at = Instant::now();
    if let Some(path) = &options.write {
        std::fs::write(path, night_scenario(seed, hours, ageing))?;
    }
    let policy = AgingPolicy::new(ageing);
    let (mut nights, mut failed) = (Vec::new(), Vec::new());
    for night in simulate_nights(seed..seed + options.nights, hours, ageing)? {
        let figures = Figures::new(&night, &policy)?;
        failed.extend(failures(&night, &figures));
        let Comparison {
            seed,
            without_aging,
            with_aging,
        } = &night;
        let Figures {
            longest_wait_s,
            baseline_s,
            bound_s,
            urgent_median_s,
            urgent_loss,
        } = figures;
        nights.push(
            json!({"seed": seed, "oldest_low_s": longest_wait_s.round(), "bound_s": bound_s.round(),
            "without_ageing_s": baseline_s.round(), "high_median_loss": (urgent_loss * 1e3).round() / 1e3,
            "violations": with_aging.violations.len() + without_aging.violations.len(),
            "with": wait_statistics_by_urgency(with_aging),
            "without": wait_statistics_by_urgency(without_aging)}),
        );
        eprintln!(
            "night {seed}: longest wait of a lower-priority job {longest_wait_s:.0} s (bound {bound_s:.0}, without aging {baseline_s:.0}), median wait of urgent jobs {urgent_median_s:.0} s, {:+.1}%",
            urgent_loss * 100.0
        );
    }
    Ok(
        json!({"ok": failed.is_empty(), "experiment": "ageing", "seed": seed, "hours": hours,
        "nights": nights, "failed": failed, "real_s": started_at.elapsed().as_secs_f64().round()}),
    )
}
