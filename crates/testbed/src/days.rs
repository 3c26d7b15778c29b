//! Randomly generated days in simulated time: checks of invariants and liveness, and statistics of
//! lost machines and preempted tasks.

use crate::TestbedError;
use beamhinge_controller::faults::Faults;
use beamhinge_sim::cluster::LossCounts;
use beamhinge_sim::combined_faults;
use beamhinge_sim::days::{self, Day, Size};
use beamhinge_sim::fingerprint::days as fingerprints;
use beamhinge_sim::scenario::{self, Outcome, ScenarioError};
use clap::Args;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Args)]
pub(crate) struct Options {
    /// Number of days to simulate
    #[arg(long, default_value_t = 20)]
    days: u64,
    /// Simulate only the day with this number
    #[arg(long, value_name = "NUMBER")]
    day: Option<u64>,
    /// Inject the faults of this file, in the bench's format, instead of random ones
    #[arg(long, value_name = "TOML")]
    file: Option<PathBuf>,
    /// Reduce the first failing day to a smaller one and write it to this file
    #[arg(long, value_name = "FILE")]
    reduce: Option<PathBuf>,
    /// Write the day given by --day to this file as a scenario
    #[arg(long, value_name = "FILE", requires = "day")]
    write: Option<PathBuf>,
    /// Log level of the controllers: error, info or debug; for a single day only
    #[arg(long, value_name = "LEVEL", requires = "day")]
    log: Option<String>,
    /// Simulate days with combined faults: the cancellation gap (the key-value store refuses the
    /// leader's requests, then is down), and pairs and triples of faults triggered by events
    #[arg(long, conflicts_with = "file")]
    meetings: bool,
    /// Disable a guard, or reintroduce an earlier bug, by its name; the days must detect it
    #[arg(long, alias = "break", value_name = "GUARD", value_parser = parse_faults)]
    without: Option<Faults>,
    /// Boost the priority of waiting jobs after 30 seconds (best effort) and 15 seconds (standard)
    #[arg(long)]
    ageing: bool,
    /// Number of days to simulate in parallel
    #[arg(long, default_value_t = 6)]
    jobs: usize,
    /// Simulate the fixed days instead and compare what their controllers sent with this record
    #[arg(
        long,
        value_name = "FILE",
        num_args = 0..=1,
        default_missing_value = "crates/sim/tests/fingerprint.txt",
        conflicts_with_all = ["days", "day", "file", "meetings", "ageing"]
    )]
    fingerprint: Option<PathBuf>,
    /// Write the fingerprints to the record
    #[arg(long, requires = "fingerprint")]
    record: bool,
}

/// Maximum number of attempts to reduce a failing day.
const MAX_REDUCTION_ATTEMPTS: u32 = 40;

fn parse_faults(name: &str) -> Result<Faults, String> {
    Faults::named(name).ok_or_else(|| "no guard or fault has this name".into())
}

/// A day that has been simulated.
struct SimulatedDay {
    /// Its index in the plan.
    index: usize,
    outcome: Result<Outcome, ScenarioError>,
    /// Wall-clock duration in seconds.
    wall_time_s: f64,
}

/// The job class or team that got the smallest part of its work done.
struct LeastServed {
    name: String,
    fraction: f64,
}

/// Results of all days: sums, and the worst value of each measure.
struct Totals {
    violations: usize,
    days_stuck: usize,
    days_with_idle_machines: usize,
    losses: LossCounts,
    started: u64,
    late_starts: u64,
    preempted: u64,
    wasted_preemptions: u64,
    least_served: LeastServed,
    largest_wait_s: f64,
    /// Longest time that a task of a cancelled job stayed on a machine, as a fraction of
    /// `cancel_s`.
    max_cancelled_run_fraction: f64,
    unanswered_s: f64,
    max_outdated_answer_s: f64,
    starvation_s: f64,
    settled_s: f64,
    /// Names of the days that failed.
    failed: Vec<String>,
}

impl Totals {
    fn new() -> Totals {
        Totals {
            violations: 0,
            days_stuck: 0,
            days_with_idle_machines: 0,
            losses: LossCounts::default(),
            started: 0,
            late_starts: 0,
            preempted: 0,
            wasted_preemptions: 0,
            least_served: LeastServed {
                name: String::new(),
                fraction: 1.0,
            },
            largest_wait_s: 0.0,
            max_cancelled_run_fraction: 0.0,
            unanswered_s: 0.0,
            max_outdated_answer_s: 0.0,
            starvation_s: 0.0,
            settled_s: 0.0,
            failed: Vec::new(),
        }
    }

    fn add(&mut self, day: &Day, outcome: &Outcome, failed: bool) {
        self.violations += outcome.violations.len();
        self.days_stuck += usize::from(!outcome.unfinished.is_empty());
        self.days_with_idle_machines += usize::from(outcome.idle_machines > 0);
        self.losses.healthy_returned += outcome.losses.healthy_returned;
        self.losses.cut_off += outcome.losses.cut_off;
        self.losses.unexplained += outcome.losses.unexplained;
        self.started += outcome.started;
        self.late_starts += outcome.late_starts;
        self.preempted += outcome.preempted;
        self.wasted_preemptions += outcome.wasted_preemptions;
        self.settled_s = self.settled_s.max(outcome.settled_s);
        self.max_cancelled_run_fraction = self
            .max_cancelled_run_fraction
            .max(outcome.max_cancelled_run_fraction);
        self.unanswered_s = self.unanswered_s.max(outcome.unanswered_s);
        self.max_outdated_answer_s = self
            .max_outdated_answer_s
            .max(outcome.max_outdated_answer_s);
        self.starvation_s = self.starvation_s.max(outcome.longest_starvation_s);
        self.largest_wait_s = self.largest_wait_s.max(largest_wait_s(outcome));
        let least = least_served(outcome);
        if least.fraction < self.least_served.fraction {
            let name = format!("{}: {}", day.name, least.name);
            self.least_served = LeastServed { name, ..least };
        }
        if failed {
            self.failed.push(day.name.clone());
        }
    }
}

fn largest_wait_s(outcome: &Outcome) -> f64 {
    outcome.largest_wait.as_ref().map_or(0.0, |(_, s)| *s)
}

fn least_served(outcome: &Outcome) -> LeastServed {
    let (name, fraction) = outcome
        .least_served
        .clone()
        .unwrap_or_else(|| (String::new(), 1.0));
    LeastServed { name, fraction }
}

/// Runs the experiment and returns the results to print.
pub(crate) fn run(seed: u64, quick: bool, options: &Options) -> Result<Value, TestbedError> {
    let size = if quick { days::SMALL } else { days::FULL };
    let injected_faults = options.without.unwrap_or_default();
    if let Some(record) = &options.fingerprint {
        return fingerprint(record, injected_faults, options);
    }
    let mut plan = plan(seed, size, options)?;
    if options.ageing {
        let line = "ageing on=yes best_effort_s=30 standard_s=15\n";
        plan.iter_mut().for_each(|d| d.text.insert_str(0, line));
    }
    if let (Some(path), Some(day)) = (&options.write, plan.first()) {
        std::fs::write(path, &day.text)?;
    }
    if let Some(level) = &options.log {
        log_controllers(level);
    }
    let started_at = Instant::now();
    let mut totals = Totals::new();
    for simulated_day in simulate_all(&plan, injected_faults, options.jobs) {
        let day = &plan[simulated_day.index];
        let outcome = simulated_day
            .outcome
            .map_err(|e| TestbedError::Other(format!("{}: {e}", day.name)))?;
        let failed = if options.meetings {
            days::combined_faults_day_failed(&outcome)
        } else {
            days::day_failed(&outcome)
        };
        totals.add(day, &outcome, failed);
        print_day(day, &outcome, failed, simulated_day.wall_time_s);
    }
    if let (Some(path), Some(name)) = (&options.reduce, totals.failed.first()) {
        if let Some(day) = plan.iter().find(|d| d.name == *name) {
            std::fs::write(
                path,
                days::reduce(&day.text, injected_faults, MAX_REDUCTION_ATTEMPTS)?,
            )?;
        }
    }
    Ok(report(seed, &plan, &totals, started_at.elapsed()))
}

/// Sends the log of the controllers to standard error.
fn log_controllers(level: &str) {
    let filter = tracing_subscriber::EnvFilter::new(level);
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .without_time()
        .init();
}

/// Prints the results of a day as one line on standard error.
fn print_day(day: &Day, outcome: &Outcome, failed: bool, wall_time_s: f64) {
    let least = least_served(outcome);
    eprintln!(
        "{:14} {:5} machines {:7} tasks  settled {:4.0} s  cut off {:5}  healthy returned {:4}  unexplained {:4}  preempted {:6} wasted {:4}  least served {:.2} {:12}  largest job waited {:4.0} s  {:5.1} s  {}",
        day.name,
        outcome.peak_machines,
        outcome.started,
        outcome.settled_s,
        outcome.losses.cut_off,
        outcome.losses.healthy_returned,
        outcome.losses.unexplained,
        outcome.preempted,
        outcome.wasted_preemptions,
        least.fraction,
        least.name,
        largest_wait_s(outcome),
        wall_time_s,
        if failed {
            outcome.failures.join("; ")
        } else {
            "ok".into()
        },
    );
}

/// Formats the results for output.
fn report(seed: u64, plan: &[Day], totals: &Totals, wall_time: Duration) -> Value {
    let mut fault_counts_by_kind: BTreeMap<&str, u32> = BTreeMap::new();
    for (kind, count) in plan.iter().flat_map(|d| &d.fault_counts) {
        *fault_counts_by_kind.entry(kind).or_default() += count;
    }
    let sizes = plan.iter().map(|d| d.machines);
    json!({
        "ok": totals.failed.is_empty(),
        "experiment": "days",
        "seed": seed,
        "days": plan.len(),
        "machines": [sizes.clone().min(), sizes.max()],
        "troubles": fault_counts_by_kind,
        "tasks": totals.started,
        "violations": totals.violations,
        "days_stuck": totals.days_stuck,
        "days_with_idle_machines": totals.days_with_idle_machines,
        "cut_off": totals.losses.cut_off,
        "healthy_returned": totals.losses.healthy_returned,
        "unexplained_losses": totals.losses.unexplained,
        "stopped_for_others": totals.preempted,
        "stopped_for_nobody": totals.wasted_preemptions,
        "least_served": [totals.least_served.name, totals.least_served.fraction],
        "largest_began_within_s": totals.largest_wait_s,
        "cancelled_gone_by_part_of_cancel_s": totals.max_cancelled_run_fraction,
        "longest_unanswered_s": totals.unanswered_s,
        "older_answer_after_s": totals.max_outdated_answer_s,
        "waited_beside_room_s": totals.starvation_s,
        "starts_after_cancelled": totals.late_starts,
        "longest_settle_s": totals.settled_s,
        "failed": totals.failed,
        "real_s": wall_time.as_secs_f64().round(),
    })
}

/// Simulates the fixed days, and writes their fingerprints to the record if requested. Then
/// compares them with the record.
fn fingerprint(
    record: &Path,
    injected_faults: Faults,
    options: &Options,
) -> Result<Value, TestbedError> {
    let started_at = Instant::now();
    let day_fingerprints =
        fingerprints::play(&fingerprints::fixed(), injected_faults, options.jobs)
            .map_err(|e| TestbedError::Other(e.to_string()))?;
    print!("{}", fingerprints::write(&day_fingerprints));
    if options.record {
        std::fs::write(record, fingerprints::write(&day_fingerprints))?;
    }
    let recorded = fingerprints::read(&std::fs::read_to_string(record)?)
        .map_err(|e| TestbedError::Other(e.to_string()))?;
    let differences_found = fingerprints::differences(&recorded, &day_fingerprints);
    Ok(json!({
        "ok": differences_found.is_empty(),
        "experiment": "fingerprint",
        "days": day_fingerprints.len(),
        "differ": differences_found,
        "recorded": options.record,
        "real_s": started_at.elapsed().as_secs_f64().round(),
    }))
}

fn plan(seed: u64, size: Size, options: &Options) -> Result<Vec<Day>, TestbedError> {
    let numbers: Vec<u64> = options
        .day
        .map_or_else(|| (0..options.days).collect(), |d| vec![d]);
    if options.meetings {
        let small = size.machines.0 < days::FULL.machines.0;
        let machines = if small { (6.0, 60.0) } else { (40.0, 1_500.0) };
        return Ok(numbers
            .into_iter()
            .map(|n| combined_faults::generate(seed, n, machines))
            .collect());
    }
    let Some(path) = &options.file else {
        return Ok(numbers
            .into_iter()
            .map(|n| days::generate(seed, n, size))
            .collect());
    };
    let text = std::fs::read_to_string(path)?;
    let days = numbers
        .into_iter()
        .map(|n| days::from_toml(&text, seed, n, size));
    Ok(days.collect::<Result<_, _>>()?)
}

/// Simulates all days, several in parallel; they share no state. Returns them in the order of the
/// plan.
fn simulate_all(plan: &[Day], injected_faults: Faults, jobs: usize) -> Vec<SimulatedDay> {
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, 64).min(plan.len().max(1)) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some(day) = plan.get(n) else { return };
                let started_at = Instant::now();
                let simulated_day = SimulatedDay {
                    index: n,
                    outcome: scenario::play(&day.text, injected_faults),
                    wall_time_s: started_at.elapsed().as_secs_f64(),
                };
                if let Ok(mut done) = done.lock() {
                    done.push(simulated_day);
                }
            });
        }
    });
    let mut simulated_days: Vec<SimulatedDay> = done.into_inner().unwrap_or_default();
    simulated_days.sort_by_key(|day| day.index);
    simulated_days
}
