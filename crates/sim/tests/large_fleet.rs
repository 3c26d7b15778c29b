//! A fleet of the operators' next planned size, in simulated time.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::{days, scenario};

/// The leader of 4,000 machines ends while each of them runs a task: no task is lost, and all
/// of them are done in the end.
#[test]
fn leader_of_4000_machines_crashes_no_task_is_lost() {
    let text = include_str!("large_fleet/leader_ends.txt");
    let outcome = scenario::play(text, Faults::default()).expect("a scenario");
    assert!(
        !days::day_failed(&outcome) && outcome.failures.is_empty(),
        "{outcome:?}"
    );
    assert!(
        outcome.started >= 4_000,
        "{} tasks started",
        outcome.started
    );
}
