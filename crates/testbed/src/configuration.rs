//! Measures how soon quota changes are in force on all controllers.
//!
//! Simulates random days with and without faults, and checks that no task starts beyond a limit
//! that is in force.

use crate::TestbedError;
use beamhinge_controller::faults::Faults;
use beamhinge_sim::scenario;
use clap::Args;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Time within which operators require a change to be in force, in seconds.
const MAX_IN_FORCE_S: f64 = 11.0;
/// Number of configuration changes in a day.
const CHANGES_PER_DAY: u32 = 12;
/// Time between two changes, in seconds, before a random delay is added.
const CHANGE_INTERVAL_S: f64 = 5.0;
const THREADS: usize = 6;
/// Upper bound of the histogram of times until a change is in force, in milliseconds.
const HISTOGRAM_MAX_MS: u64 = 600_000;

#[derive(Args)]
pub(crate) struct Options {
    /// Number of days to simulate
    #[arg(long, default_value_t = 100)]
    days: u64,
    /// Number of controllers
    #[arg(long, default_value_t = 3)]
    nodes: u8,
    /// Inject controller restarts, network partitions, lost replies and key-value store outages
    #[arg(long)]
    faults: bool,
}

/// Generates the scenario of a day on which a limit is raised and lowered.
fn day_scenario(seed: u64, options: &Options) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut text = format!(
        "seed {seed}\nnodes {}\nowned 20\nspot 0\nordinary 0\nlarge 0\nteam-max 32\n\
         configuration on\nworkers report=1 lease=26 cancel=56\n\
         at 1 stream 10 count=60 every=1 tasks=6 cpus=1 run=6\n",
        options.nodes
    );
    for n in 0..CHANGES_PER_DAY {
        let at = 8.0 + CHANGE_INTERVAL_S * f64::from(n) + rng.gen_range(0.0..3.0);
        let limit = rng.gen_range(2..30);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "at {at:.2} op c{n} POST /v1/configuration \
             {{\"seen\":{n},\"teams\":{{\"one\":{{\"set\":{{\"cpus_max\":{limit}}}}}}}}}"
        );
    }
    if options.faults {
        let at = |rng: &mut StdRng| rng.gen_range(8.0..60.0);
        let lines = [
            format!("at {:.1} fast-restart leader 3", at(&mut rng)),
            format!("at {:.1} fast-restart follower 3", at(&mut rng)),
            format!("at {:.1} cut follower state 8", at(&mut rng)),
            format!("at {:.1} lose-replies part=0.3", at(&mut rng)),
            format!("at {:.1} state-slow factor=60 for=8", at(&mut rng)),
            format!("at {:.1} state-down 4", at(&mut rng)),
        ];
        lines.iter().for_each(|line| {
            let _ = writeln!(text, "{line}");
        });
        text.push_str("at 62 calm\n");
    }
    text.push_str("at 75 op last POST /v1/configuration ");
    // Tries to restore the limit of the settings, so that all jobs can finish whichever changes
    // were made. The request is based on version 999, which is never in force, so it is refused and
    // the limit may stay low: the day need not settle.
    text.push_str(
        "{\"seen\":999,\"teams\":{\"one\":\"restore\"}}\nend 90\nunsettled limits stay low\n",
    );
    text
}

pub(crate) fn run(seed: u64, options: &Options) -> Result<Value, TestbedError> {
    let next = AtomicU64::new(0);
    let results: Mutex<(Vec<f64>, Vec<String>)> = Mutex::default();
    let simulate_days = || loop {
        let n = next.fetch_add(1, Ordering::Relaxed);
        if n >= options.days {
            return;
        }
        let result = scenario::play(&day_scenario(seed * 10_000 + n, options), Faults::default());
        let mut results = results
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        match result {
            Ok(outcome) => {
                results.0.extend(outcome.in_force_s);
                results.1.extend(
                    outcome
                        .failures
                        .iter()
                        .map(|failure| format!("day {n}: {failure}")),
                );
            }
            Err(e) => results.1.push(format!("day {n}: {e}")),
        }
    };
    std::thread::scope(|scope| (0..THREADS).for_each(|_| drop(scope.spawn(simulate_days))));
    let (durations_s, failed_checks) = results
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut times = Histogram::<u64>::new_with_max(HISTOGRAM_MAX_MS, 3)
        .map_err(|e| TestbedError::Other(e.to_string()))?;
    durations_s
        .iter()
        .for_each(|seconds| times.saturating_record((seconds * 1e3) as u64));
    let quantile_s = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
    for line in failed_checks.iter().take(5) {
        eprintln!("failed: {line}");
    }
    let longest_s = times.max() as f64 / 1e3;
    // With faults a controller may be unreachable for longer than the limit: the change then
    // reports it by name and does not wait for it.
    let within_limit = options.faults || longest_s <= MAX_IN_FORCE_S;
    Ok(json!({
        "ok": failed_checks.is_empty() && within_limit && times.len() >= options.days,
        "experiment": "configuration", "seed": seed, "days": options.days,
        "nodes": options.nodes, "faults": options.faults, "changes": times.len(),
        "in_force_s": {"p50": quantile_s(0.5), "p99": quantile_s(0.99), "most": longest_s},
        "within_11_s": times.count_between(0, (MAX_IN_FORCE_S * 1e3) as u64) as f64
            / times.len().max(1) as f64,
        "wrong": failed_checks.len(),
    }))
}
