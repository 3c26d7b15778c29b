//! False failovers: no controller may acquire leadership from a leader that is alive, on
//! generated days with slow and lossy links, frozen leaders and booting machines.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::scenario;
use std::thread;

const DAYS: u64 = 32;
/// Number of threads that play days in parallel.
const THREADS: u64 = 4;

/// A day with five or seven controllers, a leader that is frozen for less than a worker's
/// timeout, links that lose one frame in twenty, and machines that boot.
fn day(seed: u64) -> String {
    let nodes = if seed.is_multiple_of(2) { 5 } else { 7 };
    format!(
        "seed {seed}\nnodes {nodes}\nowned 40\nspot 20\nordinary 0\nlarge 0\nteam-max 0\nboot 4\n\
         workers report=1.5 lease=26 cancel=56\n\
         at 1 submit job-1 tasks=1500 cpus=2 run=10\n\
         at 10 links-lossy 0.05 most=1.2 for=100\n\
         at 20 freeze leader 1.{freeze}\n\
         at 30 links-slow 0.1 for=20\n\
         at 31 stream 10 count=40 every=0.3 tasks=6 cpus=2 run=10\n\
         at 60 freeze leader 2.{freeze}\n\
         end 90\n\
         expect leader-changes-at-most 0\n",
        freeze = seed % 10
    )
}

/// The seeds of the days on which an expectation failed, such as leadership having moved.
fn failed_days(seeds: impl Iterator<Item = u64>) -> Vec<(u64, Vec<String>)> {
    seeds
        .filter_map(|seed| {
            let outcome = scenario::play(&day(seed), Faults::default()).expect("a valid scenario");
            (!outcome.failures.is_empty()).then_some((seed, outcome.failures))
        })
        .collect()
}

#[test]
fn live_leader_keeps_leadership_despite_slow_links_and_freezes() {
    let threads: Vec<_> = (0..THREADS)
        .map(|t| thread::spawn(move || failed_days((0..DAYS).filter(|s| s % THREADS == t))))
        .collect();
    let failed: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("the thread does not panic"))
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {DAYS} days: {failed:?}",
        failed.len()
    );
}
