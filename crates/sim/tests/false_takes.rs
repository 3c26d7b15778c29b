//! How often leadership is taken from a leader that lives: never on so many drawn days
//! with slow and lossy links, standstills and machines that boot.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::scenario;
use std::thread;

const DAYS: u64 = 32;
/// Days that are played at the same time.
const THREADS: u64 = 4;

/// Five and seven controllers in turn; a leader that stands still for less than a
/// worker's time-out, links that lose one frame in twenty, and machines that come.
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
         expect moves-at-most 0\n",
        freeze = seed % 10
    )
}

/// The days on which leadership moved.
fn moved(seeds: impl Iterator<Item = u64>) -> Vec<(u64, Vec<String>)> {
    seeds
        .filter_map(|seed| {
            let outcome = scenario::play(&day(seed), Faults::default()).expect("a sound script");
            (!outcome.failures.is_empty()).then_some((seed, outcome.failures))
        })
        .collect()
}

#[test]
fn nobody_takes_the_lead_from_a_holder_that_lives() {
    let threads: Vec<_> = (0..THREADS)
        .map(|t| thread::spawn(move || moved((0..DAYS).filter(|s| s % THREADS == t))))
        .collect();
    let wrong: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("played"))
        .collect();
    assert!(
        wrong.is_empty(),
        "{} of {DAYS} days: {wrong:?}",
        wrong.len()
    );
}
