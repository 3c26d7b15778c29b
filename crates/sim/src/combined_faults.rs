//! Days on which several faults occur together. They are generated like other
//! [`days`](crate::days), but faults are timed by events (a leadership acquisition, the answer
//! to a cancellation, a first answer with a new fencing token) as well as by the clock. Jobs
//! have few tasks that end at very different times, and users cancel many of them.

mod faults;
mod gap;
mod generator;

use crate::days::{day_seed, scenario_seed, Day};
use generator::{DayGenerator, FIRST_LONG_JOB};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Makes the draws of these days differ from those of other days with the same seed.
const FAMILY: u64 = 0x6d65_6574;
/// Every day lasts at least this long, seconds.
const MIN_END_S: f64 = 100.0;

/// The settings of a day that are drawn first.
struct Settings {
    report_s: f64,
    /// Approximate CPUs of the available machines.
    cpus: f64,
    tasks_of_long_job: f64,
}

fn choose(rng: &mut StdRng, values: &[f64], default: f64) -> f64 {
    values.choose(rng).copied().unwrap_or(default)
}

fn draw_settings(mut rng: StdRng, machines: (f64, f64)) -> (DayGenerator, Settings) {
    let machines = rng
        .gen_range(machines.0.ln()..=machines.1.ln())
        .exp()
        .round();
    let report_s = choose(&mut rng, &[1.0, 2.5, 4.0, 5.0], 1.0);
    let lease_s: f64 = (report_s * 5.5_f64).max(10.0);
    let cancel_s = lease_s + rng.gen_range(18.0..31.0);
    let cpus = machines * 0.7 * 8.0;
    let tasks_of_long_job = choose(&mut rng, &[1.0, 2.0, 3.0, 6.0], 2.0);
    // Long tasks use at most half of the CPUs, short ones a third.
    let long_jobs = (cpus * 0.5 / (2.0 * tasks_of_long_job)).clamp(2.0, 400.0) as u64;
    let day = DayGenerator {
        rng,
        machines,
        lease_s,
        cancel_s,
        long_jobs,
        lines: String::new(),
        fault_counts: BTreeMap::new(),
    };
    let settings = Settings {
        report_s,
        cpus,
        tasks_of_long_job,
    };
    (day, settings)
}

/// Draws the work: a stream of long jobs of one to six tasks, and a stream of short jobs of one
/// to three tasks.
fn draw_work(day: &mut DayGenerator, settings: &Settings) {
    let long_jobs = day.long_jobs;
    let run_s = day.between(0.8, 1.7) * day.cancel_s;
    let line = format!(
        "stream {FIRST_LONG_JOB} count={long_jobs} every={:.2} tasks={} cpus=2 run={run_s:.0} \
         class=long",
        12.0 / long_jobs as f64,
        settings.tasks_of_long_job
    );
    day.line(1.0, &line);
    let tasks = day.one_of(&[1.0, 2.0, 3.0]);
    let run_s = day.between(4.0, day.lease_s * 1.5);
    let every_s = day.between(0.3, 1.5);
    let every_s = every_s.max(tasks * run_s / (settings.cpus * 0.33));
    let constraint = day.one_of(&[
        "",
        "",
        "",
        " oneZone",
        " zone=north",
        " apart",
        " shapes=c8",
    ]);
    let line = format!(
        "stream 1 count={:.0} every={every_s:.2} tasks={tasks} cpus=1 run={run_s:.0} class=short \
         urgency=high{constraint}",
        90.0 / every_s
    );
    day.line(1.5, &line);
}

/// Draws up to two cancellation gaps (see [`DayGenerator::gap`]), then pairs and triples of
/// faults that are close together; returns when they are over.
fn draw_faults(day: &mut DayGenerator) -> f64 {
    let mut at = day.between(18.0, 30.0);
    if day.rng.gen_bool(0.5) {
        at = day.gap(at);
        if day.rng.gen_bool(0.4) {
            let again = at + day.between(1.0, 20.0);
            at = day.gap(again);
        }
    }
    for _ in 0..day.rng.gen_range(1..4) {
        for _ in 0..day.rng.gen_range(2..4) {
            let then = at + day.between(0.0, 5.0);
            day.fault(then);
        }
        day.cancellations(at, 4);
        at += day.between(15.0, 40.0);
    }
    at
}

/// Generates the day of this seed and number, which is always the same. `machines` is the
/// fewest and the most machines.
#[must_use]
pub fn generate(seed: u64, number: u64, machines: (f64, f64)) -> Day {
    let day_seed = day_seed(seed, number) ^ FAMILY;
    let (mut day, settings) = draw_settings(StdRng::seed_from_u64(day_seed), machines);
    let controllers = day.one_of(&[3, 3, 3, 2]);
    draw_work(&mut day, &settings);
    let end_s = draw_faults(&mut day);
    let team_max = day.one_of(&[0.0, 0.0, 0.0, settings.cpus * 0.45]);
    let boot_s = day.one_of(&[0.3, 1.5, 5.0, 5.0]);
    let text = format!(
        "seed {}\nnodes {controllers}\nteam-max {team_max:.0}\nboot {boot_s}\nowned {:.0}\nspot {:.0}\nordinary {:.0}\nlarge 0\n\
         workers report={} lease={} cancel={:.1}\nstate rps=200 writes=60\n{}end {:.0}\n",
        scenario_seed(day_seed),
        (day.machines * 0.4).ceil(),
        (day.machines * 0.2).ceil(),
        (day.machines * 0.1).ceil(),
        settings.report_s,
        day.lease_s,
        day.cancel_s,
        day.lines,
        end_s.max(MIN_END_S),
    );
    Day {
        name: format!("meet-{seed}-{number}"),
        text,
        machines: day.machines as u64,
        fault_counts: day.fault_counts,
    }
}

#[cfg(test)]
mod tests;
