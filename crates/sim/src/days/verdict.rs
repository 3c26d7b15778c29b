//! Whether a day failed, apart from the expectations in its own text.

use crate::scenario::Outcome;

/// The largest jobs of each class must start within this time, seconds.
const MAX_LARGEST_WAIT_S: f64 = 240.0;
/// One in this many preemptions may be wasted, and one healthy machine may be returned for
/// this many machines that were cut off.
const ONE_IN: u64 = 50;
/// This many wasted preemptions are always allowed.
const ALLOWED_PREEMPTIONS: u64 = 8;
/// This many returned healthy machines are always allowed.
const ALLOWED_MACHINES: u64 = 2;
/// Every class and team must get this fraction of its work done.
const MIN_SERVED: f64 = 0.5;

/// Whether a day failed.
#[must_use]
pub fn day_failed(outcome: &Outcome) -> bool {
    combined_faults_day_failed(outcome) || wastes_preemptions(outcome) || starts_late(outcome)
}

/// Whether a day of combined faults failed. Late starts do not count, since the faults may last
/// longer than the time in which the largest jobs must start.
#[must_use]
pub fn combined_faults_day_failed(outcome: &Outcome) -> bool {
    !outcome.violations.is_empty()
        || !outcome.unfinished.is_empty()
        || outcome.idle_machines > 0
        || !outcome.failures.is_empty()
        || returns_healthy_machines(outcome)
        || starves(outcome)
}

/// Whether one of the largest jobs of a class did not start within four minutes.
fn starts_late(outcome: &Outcome) -> bool {
    let wait = outcome.largest_wait.as_ref();
    wait.is_some_and(|(_, waited_s)| *waited_s > MAX_LARGEST_WAIT_S)
}

/// Whether more than a fiftieth of the preemptions, and more than a few, were wasted. A few are
/// allowed because no task starts in a victim's place if that task or the machine has a fault.
fn wastes_preemptions(outcome: &Outcome) -> bool {
    outcome.wasted_preemptions > (outcome.preempted / ONE_IN).max(ALLOWED_PREEMPTIONS)
}

/// Whether a class, its largest jobs or a team got less than half of its work done, in a time in
/// which all work that fits should be done.
fn starves(outcome: &Outcome) -> bool {
    let least = outcome.least_served.as_ref();
    least.is_some_and(|(_, part)| *part < MIN_SERVED)
}

/// Whether more healthy machines were returned than a few, and than a fiftieth of those that
/// were cut off.
fn returns_healthy_machines(outcome: &Outcome) -> bool {
    let losses = &outcome.losses;
    losses.healthy_returned > (losses.cut_off / ONE_IN).max(ALLOWED_MACHINES)
}
