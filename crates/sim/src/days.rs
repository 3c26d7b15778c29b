//! Randomly generated days: deployments of any size with faults of all kinds, alone and
//! combined. They are written as scenarios, so that a day that fails can be reduced and kept
//! as a test.
//!
//! The same seed and number always give the same day. A change in the order of the draws here
//! changes every day.

mod bench_file;
mod faults;
mod generator;
mod verdict;

pub use bench_file::from_toml;
pub use verdict::{combined_faults_day_failed, day_failed};

use crate::scenario::{self, ScenarioError};
use beamhinge_controller::faults::Faults;
use generator::DayGenerator;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Bounds of the size of generated days.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Fewest and most machines.
    pub machines: (f64, f64),
    /// Shortest and longest duration of a day, seconds. Jobs arrive until half a minute before
    /// its end.
    pub seconds: (f64, f64),
}

/// Size of days for quick checks and for CI.
pub const SMALL: Size = Size {
    machines: (40.0, 160.0),
    seconds: (90.0, 140.0),
};
/// Size of days for a long search.
pub const FULL: Size = Size {
    machines: (100.0, 3_000.0),
    seconds: (200.0, 360.0),
};

/// A generated day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its name, unique for each family of days, seed and number.
    pub name: String,
    /// The scenario.
    pub text: String,
    /// Approximate number of machines.
    pub machines: u64,
    /// How often each kind of fault occurs.
    pub fault_counts: BTreeMap<&'static str, u32>,
}

/// The seed of the draws that generate a day.
pub(crate) fn day_seed(seed: u64, number: u64) -> u64 {
    seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .wrapping_add(number)
}

/// The seed of the draws that are made while the scenario is played.
pub(crate) fn scenario_seed(day_seed: u64) -> u64 {
    day_seed % 1_000_000
}

/// Number of machines of a day: owned, large, on-demand (`ordinary`) and spot.
struct Fleet {
    owned: f64,
    large: f64,
    ordinary: f64,
    spot: f64,
}

impl Fleet {
    fn draw(day: &mut DayGenerator) -> Fleet {
        let machines = day.machines;
        let owned = (machines * day.between(0.02, 0.1)).ceil().max(2.0);
        let large = (machines * day.between(0.0, 0.08)).round();
        let ordinary = (machines * day.between(0.05, 0.25)).round();
        Fleet {
            owned,
            large,
            ordinary,
            spot: (machines - owned - large - ordinary).max(4.0),
        }
    }

    fn cpus(&self) -> f64 {
        (self.spot + self.ordinary + self.owned) * 8.0 + self.large * 32.0
    }
}

/// Draws the settings of a day; returns their text and the fleet.
fn draw_settings(day: &mut DayGenerator, seed: u64) -> (String, Fleet) {
    let report = day.one_of(&[1.0, 2.0, 2.5, 4.0, 5.0]);
    day.lease_s = (report * 5.5).max(10.0);
    let rps = day.one_of(&[100.0, 200.0, 400.0]);
    let writes = day.one_of(&[30.0, 40.0, 100.0]);
    let value = day.one_of(&[1.0, 8.0, 32.0]);
    let transaction = day.one_of(&[2.0, 4.0, 8.0, 20.0, 24.0]);
    let (boot, lag) = (day.between(6.0, 30.0), day.between(1.0, 4.0));
    let fleet = Fleet::draw(day);
    let lease = day.lease_s;
    // Capacities are per zone, and there are two zones.
    let text = format!(
        "seed {}\nteam-max 0\nowned {:.0}\nspot {:.0}\nordinary {:.0}\nlarge {:.0}\nboot {boot:.0}\n\
         workers report={report} lease={lease} cancel={}\n\
         state rps={rps} writes={writes} value={value} txn={transaction}\n\
         cloud rps={:.0} lag={lag:.1}\n",
        scenario_seed(seed),
        fleet.owned,
        (fleet.spot / 2.0).ceil(),
        (fleet.ordinary / 2.0).ceil(),
        (fleet.large / 2.0).ceil(),
        lease + 30.0,
        day.between(5.0, 11.0),
    );
    (text, fleet)
}

/// Jobs of one class.
struct Stream {
    cpus: f64,
    run_s: f64,
    tasks: f64,
    /// Fraction of the day's load.
    load_fraction: f64,
    words: &'static str,
}

/// Two ordinary classes and one with high urgency and an early deadline; together they use a
/// randomly drawn fraction of all CPUs.
const STREAMS: [Stream; 3] = [
    Stream {
        cpus: 4.0,
        run_s: 20.0,
        tasks: 30.0,
        load_fraction: 0.6,
        words: "class=a due=150",
    },
    Stream {
        cpus: 2.0,
        run_s: 12.0,
        tasks: 12.0,
        load_fraction: 0.3,
        words: "class=prompt urgency=high due=40",
    },
    Stream {
        cpus: 8.0,
        run_s: 30.0,
        tasks: 4.0,
        load_fraction: 0.1,
        words: "class=b",
    },
];

fn draw_work(day: &mut DayGenerator, fleet_cpus: f64) {
    let load = day.between(0.3, 0.6);
    let arrive_s = day.end_s - 30.0;
    for stream in STREAMS {
        let Stream {
            cpus, run_s, words, ..
        } = stream;
        let tasks = (stream.tasks * day.between(0.5, 1.5)).round();
        let jobs = (fleet_cpus * load * stream.load_fraction * arrive_s / (cpus * run_s * tasks))
            .ceil()
            .clamp(2.0, 900.0);
        let every = arrive_s / jobs;
        let first = day.reserve_jobs(1_000);
        let line = format!(
            "stream {first} count={jobs:.0} every={every:.2} tasks={tasks:.0} cpus={cpus} \
             run={run_s} {words}"
        );
        day.line(2.0, &line);
    }
}

/// Generates the day of this seed and number, which is always the same.
#[must_use]
pub fn generate(seed: u64, number: u64, size: Size) -> Day {
    let day_seed = day_seed(seed, number);
    let mut rng = StdRng::seed_from_u64(day_seed);
    let (fewest, most) = (size.machines.0.ln(), size.machines.1.ln());
    let machines = rng.gen_range(fewest..=most).exp().round();
    let mut day = DayGenerator::new(rng, machines);
    day.end_s = day.between(size.seconds.0, size.seconds.1).round();
    let (settings, fleet) = draw_settings(&mut day, day_seed);
    draw_work(&mut day, fleet.cpus());
    let together = day.rng.gen_bool(0.3);
    let faults = day.rng.gen_range(1..=6);
    let (from, to) = (day.end_s * 0.25, day.end_s * 0.85);
    let center = day.between(from, to);
    for _ in 0..faults {
        let at = if together {
            center + day.between(0.0, 8.0)
        } else {
            day.between(from, to)
        };
        day.fault(at);
    }
    if day.rng.gen_bool(0.6) {
        day.unguaranteed_work(fleet.cpus(), fleet.large);
    }
    if day.rng.gen_bool(0.3) {
        let at = day.between(from, to);
        day.one_controller_left(at);
    }
    Day {
        name: format!("day-{seed}-{number}"),
        text: format!("{settings}{}end {:.0}\n", day.lines, day.end_s),
        machines: machines as u64,
        fault_counts: day.fault_counts,
    }
}

/// Reduces a failing day: removes, one by one, the lines without which it still fails, in at
/// most `tries` plays.
///
/// # Errors
/// If a line cannot be parsed.
pub fn reduce(text: &str, regressions: Faults, mut tries: u32) -> Result<String, ScenarioError> {
    let mut lines: Vec<String> = text.lines().map(String::from).collect();
    let fails = |lines: &[String]| -> Result<bool, ScenarioError> {
        let outcome = scenario::play(&(lines.join("\n") + "\n"), regressions)?;
        Ok(day_failed(&outcome))
    };
    let mut index = 0;
    while index < lines.len() && tries > 0 {
        if !lines[index].starts_with("at ") {
            index += 1;
            continue;
        }
        tries -= 1;
        let mut reduced = lines.clone();
        reduced.remove(index);
        if fails(&reduced)? {
            lines = reduced;
        } else {
            index += 1;
        }
    }
    Ok(lines.join("\n") + "\n")
}

#[cfg(test)]
mod tests;
