//! What is wrong with a day, beyond expectations of its own.

use crate::scenario::Outcome;

/// One of its class's largest jobs has to start within this time, seconds.
const MAX_LARGEST_WAIT_S: f64 = 240.0;
/// Of the preempted tasks, and of the machines cut off, one in so many may be in vain.
const ONE_IN: u64 = 50;
/// So many preemptions in vain, and healthy machines returned, are allowed anyway.
const FEW_PREEMPTIONS: u64 = 8;
const FEW_MACHINES: u64 = 2;
/// Everybody has to get this part of the work done.
const MIN_SERVED: f64 = 0.5;

/// Whether a day failed.
#[must_use]
pub fn faulty(outcome: &Outcome) -> bool {
    faulty_under_combined_faults(outcome) || preempts_in_vain(outcome) || starts_late(outcome)
}

/// Whether a day of combined faults failed: its faults may last longer than a largest job has
/// time to start.
#[must_use]
pub fn faulty_under_combined_faults(outcome: &Outcome) -> bool {
    !outcome.violations.is_empty()
        || !outcome.unfinished.is_empty()
        || outcome.idle_machines > 0
        || !outcome.failures.is_empty()
        || returns_healthy_machines(outcome)
        || starves(outcome)
}

/// One of its class's largest jobs did not start within four minutes.
fn starts_late(outcome: &Outcome) -> bool {
    let wait = outcome.largest_wait.as_ref();
    wait.is_some_and(|(_, waited_s)| *waited_s > MAX_LARGEST_WAIT_S)
}

/// More than a fiftieth of the preemptions were in vain, beyond a few: a place whose task or
/// machine meets a fault brings no start.
fn preempts_in_vain(outcome: &Outcome) -> bool {
    outcome.wasted_preemptions > (outcome.preempted / ONE_IN).max(FEW_PREEMPTIONS)
}

/// A class, its largest jobs or a team got less than half of the work done in the time in
/// which all that fits should be.
fn starves(outcome: &Outcome) -> bool {
    let least = outcome.least_served.as_ref();
    least.is_some_and(|(_, part)| *part < MIN_SERVED)
}

/// More healthy machines were returned than a fiftieth of those cut off.
fn returns_healthy_machines(outcome: &Outcome) -> bool {
    let losses = &outcome.losses;
    losses.healthy_returned > (losses.cut_off / ONE_IN).max(FEW_MACHINES)
}
