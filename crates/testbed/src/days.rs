//! Drawn days in simulated time: the rules, liveness, and what was given away.

use crate::LabError;
use beamhinge_controller::faults::Faults;
use beamhinge_sim::combined_faults;
use beamhinge_sim::days::{self, Day, Size};
use beamhinge_sim::fingerprint::days as fingerprints;
use beamhinge_sim::scenario::{self, Outcome};
use clap::Args;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

#[derive(Args)]
pub struct Options {
    /// How many days are played
    #[arg(long, default_value_t = 20)]
    days: u64,
    /// Only this one of them
    #[arg(long, value_name = "NUMBER")]
    day: Option<u64>,
    /// Play the faults of this file, in the bench's form, instead of drawn ones
    #[arg(long, value_name = "TOML")]
    file: Option<PathBuf>,
    /// Make the first failing day smaller and write it to this file
    #[arg(long, value_name = "FILE")]
    reduce: Option<PathBuf>,
    /// Write the day of --day to this file, to be kept as a scenario
    #[arg(long, value_name = "FILE", requires = "day")]
    write: Option<PathBuf>,
    /// What the controllers of a day log: error, info or debug; one day only
    #[arg(long, value_name = "LEVEL", requires = "day")]
    log: Option<String>,
    /// Days on which troubles meet: the gap, and pairs and triples timed by what happens
    #[arg(long, conflicts_with = "file")]
    meetings: bool,
    /// Leave a guard out, or put a fault of old back, by its name: the days must find it
    #[arg(long, alias = "break", value_name = "GUARD", value_parser = faults)]
    without: Option<Faults>,
    /// Waiting jobs rise, after 30 and 15 seconds
    #[arg(long)]
    ageing: bool,
    /// Days that are played at the same time
    #[arg(long, default_value_t = 6)]
    jobs: usize,
    /// Play the fixed days instead and compare what their controllers sent with this record
    #[arg(
        long,
        value_name = "FILE",
        num_args = 0..=1,
        default_missing_value = "crates/sim/tests/fingerprint.txt",
        conflicts_with_all = ["days", "day", "file", "meetings", "ageing"]
    )]
    fingerprint: Option<PathBuf>,
    /// Write the fingerprints to the record instead
    #[arg(long, requires = "fingerprint")]
    record: bool,
}

fn faults(name: &str) -> Result<Faults, String> {
    Faults::named(name).ok_or_else(|| "no guard or fault is called so".into())
}

type Played = Result<Outcome, scenario::ScenarioError>;

pub fn run(seed: u64, quick: bool, o: &Options) -> Result<Value, LabError> {
    let size = if quick { days::SMALL } else { days::FULL };
    let faults = o.without.unwrap_or_default();
    if let Some(record) = &o.fingerprint {
        return fingerprint(record, faults, o);
    }
    let mut plan = plan(seed, size, o)?;
    if o.ageing {
        let line = "ageing on=yes best_effort_s=30 standard_s=15\n";
        plan.iter_mut().for_each(|d| d.text.insert_str(0, line));
    }
    if let (Some(path), Some(day)) = (&o.write, plan.first()) {
        std::fs::write(path, &day.text)?;
    }
    if let Some(level) = &o.log {
        let filter = tracing_subscriber::EnvFilter::new(level);
        tracing_subscriber::fmt()
            .with_env_filter(filter)
            .with_writer(std::io::stderr)
            .without_time()
            .init();
    }
    let began = Instant::now();
    let mut played = play_all(&plan, faults, o.jobs);
    played.sort_by_key(|(n, ..)| *n);
    let mut troubles: BTreeMap<&str, u32> = BTreeMap::new();
    plan.iter()
        .flat_map(|d| &d.fault_counts)
        .for_each(|(k, n)| *troubles.entry(k).or_default() += n);
    let (mut violations, mut stuck, mut idle, mut failed) = (0, 0, 0, Vec::new());
    let (mut slowest_largest, mut latest, mut unanswered) = (0.0, 0.0, 0.0);
    let (mut older, mut beside, mut late_starts) = (0.0, 0.0, 0);
    let (mut stopped, mut in_vain, mut least) = (0, 0, (String::new(), 1.0));
    let (mut healthy, mut cut_off, mut unexplained, mut started, mut slowest) = (0, 0, 0, 0, 0.0);
    for (n, outcome, real_s) in &played {
        let day = &plan[*n];
        let outcome = outcome
            .as_ref()
            .map_err(|e| LabError::Other(format!("{}: {e}", day.name)))?;
        violations += outcome.violations.len();
        stuck += usize::from(!outcome.stuck.is_empty());
        idle += usize::from(outcome.idle_machines > 0);
        healthy += outcome.losses.healthy_returned;
        cut_off += outcome.losses.cut_off;
        unexplained += outcome.losses.unexplained;
        started += outcome.started;
        slowest = f64::max(slowest, outcome.settled_s);
        latest = f64::max(latest, outcome.cancelled_left);
        unanswered = f64::max(unanswered, outcome.unanswered_s);
        older = f64::max(older, outcome.late_older_s);
        beside = f64::max(beside, outcome.beside_room_s);
        late_starts += outcome.late_starts;
        (stopped, in_vain) = (stopped + outcome.stopped, in_vain + outcome.in_vain);
        let served = outcome
            .least
            .clone()
            .unwrap_or_else(|| (String::new(), 1.0));
        if served.1 < least.1 {
            least = (format!("{}: {}", day.name, served.0), served.1);
        }
        let largest = outcome.largest.as_ref().map_or(0.0, |(_, s)| *s);
        slowest_largest = f64::max(slowest_largest, largest);
        let bad = if o.meetings {
            days::unsound(outcome)
        } else {
            days::faulty(outcome)
        };
        if bad {
            failed.push(day.name.clone());
        }
        eprintln!(
            "{:14} {:5} machines {:7} tasks  settled {:4.0} s  cut off {:5}  healthy returned {:4}  unexplained {:4}  stopped {:6} in vain {:4}  least {:.2} {:12}  largest began after {:4.0} s  {:5.1} s  {}",
            day.name,
            outcome.most_machines,
            outcome.started,
            outcome.settled_s,
            outcome.losses.cut_off,
            outcome.losses.healthy_returned,
            outcome.losses.unexplained,
            outcome.stopped,
            outcome.in_vain,
            served.1,
            served.0,
            largest,
            real_s,
            if bad { outcome.wrong.join("; ") } else { "ok".into() },
        );
    }
    if let (Some(path), Some(name)) = (&o.reduce, failed.first()) {
        if let Some(day) = plan.iter().find(|d| d.name == *name) {
            let small =
                days::reduce(&day.text, faults, 40).map_err(|e| LabError::Other(e.to_string()))?;
            std::fs::write(path, small)?;
        }
    }
    let sizes = plan.iter().map(|d| d.machines);
    Ok(json!({
        "ok": failed.is_empty(),
        "experiment": "days",
        "seed": seed,
        "days": plan.len(),
        "machines": [sizes.clone().min(), sizes.max()],
        "troubles": troubles,
        "tasks": started,
        "violations": violations,
        "days_stuck": stuck,
        "days_with_idle_machines": idle,
        "cut_off": cut_off,
        "healthy_returned": healthy,
        "unexplained_losses": unexplained,
        "stopped_for_others": stopped,
        "stopped_for_nobody": in_vain,
        "least_served": [least.0, least.1],
        "largest_began_within_s": slowest_largest,
        "cancelled_gone_by_part_of_cancel_s": latest,
        "longest_unanswered_s": unanswered,
        "older_answer_after_s": older,
        "waited_beside_room_s": beside,
        "starts_after_cancelled": late_starts,
        "longest_settle_s": slowest,
        "failed": failed,
        "real_s": began.elapsed().as_secs_f64().round(),
    }))
}

/// Plays the fixed days, and compares their fingerprints with the record or writes it.
fn fingerprint(record: &Path, faults: Faults, o: &Options) -> Result<Value, LabError> {
    let began = Instant::now();
    let played = fingerprints::play(&fingerprints::fixed(), faults, o.jobs)
        .map_err(|e| LabError::Other(e.to_string()))?;
    print!("{}", fingerprints::write(&played));
    if o.record {
        std::fs::write(record, fingerprints::write(&played))?;
    }
    let recorded = fingerprints::read(&std::fs::read_to_string(record)?)
        .map_err(|e| LabError::Other(e.to_string()))?;
    let differ = fingerprints::differences(&recorded, &played);
    Ok(json!({
        "ok": differ.is_empty(),
        "experiment": "fingerprint",
        "days": played.len(),
        "differ": differ,
        "recorded": o.record,
        "real_s": began.elapsed().as_secs_f64().round(),
    }))
}

fn plan(seed: u64, size: Size, o: &Options) -> Result<Vec<Day>, LabError> {
    let numbers: Vec<u64> = o.day.map_or_else(|| (0..o.days).collect(), |d| vec![d]);
    if o.meetings {
        let few = size.machines.0 < days::FULL.machines.0;
        let machines = if few { (6.0, 60.0) } else { (40.0, 1_500.0) };
        return Ok(numbers
            .into_iter()
            .map(|n| combined_faults::generate(seed, n, machines))
            .collect());
    }
    let Some(path) = &o.file else {
        return Ok(numbers
            .into_iter()
            .map(|n| days::generate(seed, n, size))
            .collect());
    };
    let text = std::fs::read_to_string(path)?;
    let days = numbers
        .into_iter()
        .map(|n| days::from_toml(&text, seed, n, size));
    days.collect::<Result<_, _>>()
        .map_err(|e| LabError::Other(e.to_string()))
}

/// Each day is a world of its own; they share nothing but the processors.
fn play_all(plan: &[Day], faults: Faults, jobs: usize) -> Vec<(usize, Played, f64)> {
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, 64).min(plan.len().max(1)) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some(day) = plan.get(n) else { return };
                let began = Instant::now();
                let outcome = scenario::play(&day.text, faults);
                let row = (n, outcome, began.elapsed().as_secs_f64());
                if let Ok(mut done) = done.lock() {
                    done.push(row);
                }
            });
        }
    });
    done.into_inner().unwrap_or_default()
}
