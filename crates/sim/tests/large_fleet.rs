//! A fleet of the operators' next size, in simulated time.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::{days, scenario};

/// The leader of 4,000 machines ends while each of them runs a task: nothing is lost, and
/// all is done in the end.
#[test]
fn the_leader_of_4000_machines_ends() {
    let text = include_str!("large_fleet/leader_ends.txt");
    let outcome = scenario::play(text, Faults::default()).expect("a scenario");
    assert!(
        !days::faulty(&outcome) && outcome.failures.is_empty(),
        "{outcome:?}"
    );
    assert!(
        outcome.started >= 4_000,
        "{} tasks started",
        outcome.started
    );
}
