//! A night in simulated time: urgent work beyond all room for hours, and what
//! waits behind it, with ageing and without.

use crate::LabError;
use beamhinge_controller::faults::Faults;
use beamhinge_core::job::Urgency;
use beamhinge_core::settings::PriorityAging;
use beamhinge_priority_aging::{
    lane_throughput_per_s, max_wait_s, AgingPolicy, ArrivalCurve, BoostedLoad, ClusterCapacity,
};
use beamhinge_sim::scenario::{self, Outcome, Wait};
use clap::Args;
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::time::Instant;

#[derive(Args)]
pub struct Options {
    /// How many nights, each of its own seed
    #[arg(long, default_value_t = 3)]
    nights: u64,
    /// Write the first night to this file, to be kept as a scenario
    #[arg(long, value_name = "FILE")]
    write: Option<std::path::PathBuf>,
}

/// Machines of eight CPUs, all there from the start.
const MACHINES: u64 = 20;
/// Longest that a task occupies a machine: an urgent one at its longest, its
/// fetch, and the reports that start it and tell its end.
const LONGEST_S: f64 = 64.0 * 1.4 + 1.0 + 2.0 * REPORT_S;
const REPORT_S: f64 = 5.0;
/// The oldest low job is to start within this, seconds.
const AIM_S: f64 = 7_200.0;
/// The part of their median that the urgent may lose.
const LOSS: f64 = 0.10;

/// A night: for an hour one urgent job a second, 1.6 times what the machines can
/// do, then for hours as much as they can; beside it, few jobs that can wait, and
/// some that need a whole machine. The holder's process ends in the middle.
fn night(seed: u64, hours: f64, ageing: PriorityAging) -> String {
    // One a second; for a first look a quarter as many, four times as wide.
    let every = if hours < 10.0 { 4 } else { 1 };
    let first = 3_600 / every;
    let long_s = ((hours - 3.5) * 3_600.0).max(0.0);
    let mut text = String::new();
    let on = if ageing.on { "yes" } else { "no" };
    let (low_s, standard_s) = (ageing.best_effort_s, ageing.standard_s);
    let _ = writeln!(text, "seed {seed}\nageing on={on} best_effort_s={low_s} standard_s={standard_s}\npolls 300\nteam-max 0\nowned 0");
    let _ = writeln!(
        text,
        "spot 0\nordinary {}\nlarge 0\nworkers report={REPORT_S} lease=27.5 cancel=57.5",
        MACHINES / 2
    );
    let _ = writeln!(text, "state rps=200 writes=40 value=32 txn=16");
    let flood = long_s / 25.0;
    let _ = writeln!(
        text,
        "at 600 stream 1 count={first} every={every} tasks={every} cpus=4 run=64 urgency=high class=u"
    );
    let _ = writeln!(
        text,
        "at 4200 stream 10001 count={flood:.0} every=25 tasks=25 cpus=4 run=40 urgency=high class=u"
    );
    let low = |n: u64, at: f64, every: f64, cpus: u32, urgency: &str| {
        let count = (hours - 1.0) * 3_600.0 / every;
        format!("at {at} stream {n} count={count:.0} every={every} tasks=1 cpus={cpus} run=40 urgency={urgency} class=l\n")
    };
    // Apart in time by the night's seed.
    let shift = (seed % 97) as f64;
    text += &low(50_001, 700.0 + shift, 900.0, 2, "best_effort");
    text += &low(60_001, 900.0 + shift * 2.0, 1_200.0, 2, "standard");
    text += &low(70_001, 1_100.0 + shift * 3.0, 2_400.0, 8, "best_effort");
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

fn by_urgency(outcome: &Outcome) -> Value {
    let of = |urgency: &str| {
        let w = waits(outcome, |w| w.urgency == urgency);
        json!({"jobs": w.len(), "median_s": quantile(&w, 0.5).round(), "p95_s": quantile(&w, 0.95).round(), "longest_s": quantile(&w, 1.0).round()})
    };
    json!({"high": of("high"), "standard": of("standard"), "best_effort": of("best_effort")})
}

/// The bound for what rose in this night: the tightest flow of the rate that the
/// lane is sure to carry.
fn bound(policy: &AgingPolicy, outcome: &Outcome, takeovers: f64) -> Result<f64, LabError> {
    let low = |w: &&Wait| w.urgency == "best_effort" || w.urgency == "standard";
    let mut rises: Vec<(f64, f64)> = Vec::new();
    let mut widest: f64 = 0.0;
    for w in outcome.waits.iter().filter(low) {
        let urgency = if w.urgency == "standard" {
            Urgency::Standard
        } else {
            Urgency::BestEffort
        };
        rises.push((
            w.sent_s + policy.boost_after_s(urgency).unwrap_or(0.0),
            w.tasks as f64,
        ));
        widest = widest.max(w.cpus);
    }
    rises.sort_by(|a, b| a.0.total_cmp(&b.0));
    let cpus = MACHINES as f64 * 8.0;
    let rate_per_s = lane_throughput_per_s(policy, widest, LONGEST_S, cpus);
    let load = BoostedLoad {
        arrivals: ArrivalCurve::tightest(rate_per_s, &rises),
        max_task_cpus: widest,
        max_task_s: LONGEST_S,
    };
    let capacity = ClusterCapacity {
        cpus,
        downtime_s: takeovers * (outcome.leaderless_s + 2.0 * LONGEST_S),
    };
    max_wait_s(policy, Urgency::BestEffort, &load, &capacity)
        .map_err(|e| LabError::Other(e.to_string()))
}

pub fn run(seed: u64, quick: bool, o: &Options) -> Result<Value, LabError> {
    let hours = if quick { 2.0 } else { 10.0 };
    let mut ageing = PriorityAging {
        on: true,
        ..PriorityAging::default()
    };
    if quick {
        (ageing.best_effort_s, ageing.standard_s) = (900.0, 300.0);
    }
    let began = Instant::now();
    if let Some(path) = &o.write {
        std::fs::write(path, night(seed, hours, ageing))?;
    }
    let plan: Vec<(u64, bool)> = (0..o.nights)
        .flat_map(|n| [(seed + n, false), (seed + n, true)])
        .collect();
    let played: Vec<Result<Outcome, scenario::ScenarioError>> = std::thread::scope(|scope| {
        let runs: Vec<_> = plan
            .iter()
            .map(|(s, on)| {
                scope.spawn(move || {
                    scenario::play(
                        &night(*s, hours, PriorityAging { on: *on, ..ageing }),
                        Faults::default(),
                    )
                })
            })
            .collect();
        let ended =
            |r: std::thread::ScopedJoinHandle<'_, Result<Outcome, scenario::ScenarioError>>| {
                r.join()
                    .unwrap_or_else(|_| Err("the night ended by itself".to_string().into()))
            };
        runs.into_iter().map(ended).collect()
    });
    let policy = AgingPolicy::new(ageing);
    let (mut nights, mut failed) = (Vec::new(), Vec::new());
    for (pair, seeds) in played.chunks(2).zip(plan.chunks(2)) {
        let told = |r: &Result<Outcome, scenario::ScenarioError>| match r {
            Ok(o) => Ok(o.clone()),
            Err(e) => Err(LabError::Other(e.to_string())),
        };
        let (strict, aged) = (told(&pair[0])?, told(&pair[1])?);
        let n = seeds[0].0;
        let bound_s = bound(&policy, &aged, 1.0)?;
        let low = |o: &Outcome| quantile(&waits(o, |w| w.urgency != "high"), 1.0);
        let median = |o: &Outcome| quantile(&waits(o, |w| w.urgency == "high"), 0.5);
        let (oldest_s, baseline_s) = (low(&aged), low(&strict));
        let loss = median(&aged) / median(&strict) - 1.0;
        let mut check = |ok: bool, what: String| {
            if !ok {
                failed.push(format!("night {n}: {what}"));
            }
        };
        check(aged.wrong.is_empty(), format!("{:?}", aged.wrong));
        check(
            aged.stuck.is_empty() && strict.stuck.is_empty(),
            "jobs are left".into(),
        );
        check(
            oldest_s < AIM_S,
            format!("a low job waited {oldest_s:.0} s"),
        );
        check(
            oldest_s <= bound_s,
            format!("{oldest_s:.0} s is beyond the bound, {bound_s:.0} s"),
        );
        check(
            baseline_s > bound_s,
            format!("without ageing {baseline_s:.0} s is within the bound"),
        );
        check(
            loss <= LOSS,
            format!("the urgent lose {loss:.3} of their median"),
        );
        nights.push(
            json!({"seed": n, "oldest_low_s": oldest_s.round(), "bound_s": bound_s.round(),
            "without_ageing_s": baseline_s.round(), "high_median_loss": (loss * 1e3).round() / 1e3,
            "violations": aged.violations.len() + strict.violations.len(),
            "with": by_urgency(&aged), "without": by_urgency(&strict)}),
        );
        eprintln!(
            "night {n}: oldest low job {oldest_s:.0} s (bound {bound_s:.0}, without ageing {baseline_s:.0}), urgent median {:.0} s, {:+.1}%",
            median(&aged),
            loss * 100.0
        );
    }
    Ok(
        json!({"ok": failed.is_empty(), "experiment": "ageing", "seed": seed, "hours": hours,
        "nights": nights, "failed": failed, "real_s": began.elapsed().as_secs_f64().round()}),
    )
}
