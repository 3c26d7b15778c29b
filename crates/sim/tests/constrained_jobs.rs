//! Drawn days on small clusters whose jobs are limited to zones and markets, or need whole
//! machines, while machines stop, a leader ends, the cloud's answers are lost and markets have no
//! capacity: every accepted job is run.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::scenario;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::fmt::Write;

/// Number of days.
const DAYS: u64 = 60;
/// Number of days that are played in parallel.
const THREADS: u64 = 4;
const ZONES: [&str; 2] = ["north", "south"];

/// One submission. Each job has room in every cluster of [`draw_day`]: a task fits the smallest
/// type, and both zones offer more on-demand machines than the owned ones and the service's use.
fn draw_job(rng: &mut StdRng, number: u32) -> String {
    let at = rng.gen_range(2.0..60.0);
    let cpus = [1, 2, 4, 8].choose(rng).copied().unwrap_or(1);
    let tasks = rng.gen_range(1..5);
    let run = [3, 10, 120].choose(rng).copied().unwrap_or(3);
    let mut job = format!("at {at:.1} submit job-{number} tasks={tasks} cpus={cpus} run={run}");
    let rule = ["", " zone=north", " zone=south", " oneZone", " apart"].choose(rng);
    job.push_str(rule.copied().unwrap_or(""));
    for (option, probability) in [(" noSpot", 0.3), (" due=40", 0.3), (" urgency=high", 0.2)] {
        if rng.gen_bool(probability) {
            job.push_str(option);
        }
    }
    job
}

/// A day of twelve jobs beside a service.
fn draw_day(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut day = format!(
        "seed {seed}\nteam-max 1000\nowned {}\n",
        rng.gen_range(0..4)
    );
    for zone in ZONES {
        let small = [0, 4, 5, 6].choose(&mut rng).copied().unwrap_or(4);
        let large = if small == 0 { 2 } else { rng.gen_range(0..2) };
        for (machine_type, count) in [("c8", small), ("c32", large)] {
            let spot = rng.gen_range(0..3);
            let _ = writeln!(day, "offer {machine_type} {zone} ordinary {count}");
            let _ = writeln!(day, "offer {machine_type} {zone} spot {spot}");
        }
    }
    let replicas = rng.gen_range(1..3);
    let _ = writeln!(
        day,
        "at 2 submit job-1 tasks={replicas} cpus=1 standing apart"
    );
    for number in 2..14 {
        let _ = writeln!(day, "{}", draw_job(&mut rng, number));
    }
    for _ in 0..rng.gen_range(1..4) {
        let at = rng.gen_range(10.0..80.0);
        let zone = ZONES.choose(&mut rng).copied().unwrap_or("north");
        let _ = writeln!(
            day,
            "at {at:.1} die count={} zone={zone}",
            rng.gen_range(1..4)
        );
    }
    if rng.gen_bool(0.3) {
        let at = rng.gen_range(5.0..70.0);
        let _ = writeln!(day, "at {at:.1} crash leader\nat {:.1} start-all", at + 3.0);
    }
    if rng.gen_bool(0.3) {
        let at = rng.gen_range(5.0..70.0);
        let _ = writeln!(
            day,
            "at {at:.1} lose-cloud-replies part=0.5\nat {:.1} calm",
            at + 15.0
        );
    }
    day.push_str("end 90\nsettle 900\n");
    day
}

/// Guards against a job that is never run, because a machine that it may not use counts as room for
/// it: within the settling time all jobs are done, and none waits for 90 s beside enough room.
#[test]
fn jobs_limited_to_zones_markets_or_whole_machines_are_run() {
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for seed in (0..DAYS).filter(|seed| seed % THREADS == thread) {
                    let day = draw_day(seed);
                    let outcome = scenario::play(&day, Faults::default()).expect("a day");
                    assert!(
                        outcome.failures.is_empty(),
                        "seed {seed}: {:?}\n{day}",
                        outcome.failures
                    );
                }
            });
        }
    });
}
