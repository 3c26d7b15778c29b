//! Minimised days that once found a fault: with the fault reintroduced they fail, which shows
//! that the check can fail, and with the present program they pass.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::{combined_faults, days, scenario};

/// Whether the day fails with the faults, and its outcome without them.
fn play_with_and_without(text: &str, faults: Faults) -> (bool, scenario::Outcome) {
    let with = scenario::play(text, faults).expect("a scenario");
    let without = scenario::play(text, Faults::default()).expect("a scenario");
    (days::day_failed(&with), without)
}

/// Asserts that the day fails with the fault and passes without it.
fn assert_fails_only_with(faults: Faults, text: &str) {
    let (found, sound) = play_with_and_without(text, faults);
    assert!(found);
    assert!(!days::day_failed(&sound), "{sound:?}");
}

/// Half of a fleet was returned while a zone was cut off (docs/incidents/silent-fleet.md).
#[test]
fn machines_of_a_zone_cut_off_are_not_returned() {
    let faults = Faults {
        silence_proves_death: true,
        ..Faults::default()
    };
    assert_fails_only_with(
        faults,
        include_str!("found/zone_cut_off_machines_returned.txt"),
    );
}

/// A transaction above the size limit was refused and built again without end
/// (docs/incidents/transactions-refused-for-ever.md).
#[test]
fn refused_oversized_transaction_is_not_repeated() {
    let faults = Faults {
        unbounded_transactions: true,
        ..Faults::default()
    };
    assert_fails_only_with(
        faults,
        include_str!("found/oversized_transaction_repeated.txt"),
    );
}

/// Machines that hung for longer than an unreachable machine is kept, and resumed while the
/// call that returned them was in flight, were counted as healthy machines returned. A machine
/// that is returned long after it resumed still counts.
#[test]
fn machine_that_resumes_while_being_returned_is_not_counted_as_healthy() {
    let day = include_str!("found/hung_machines_resume_while_returned.txt");
    let sound = scenario::play(day, Faults::default()).expect("a scenario");
    assert!(!days::day_failed(&sound), "{sound:?}");
    assert!(
        sound.losses.faulty_returned > 0,
        "the day no longer returns faulty machines: {sound:?}"
    );
}

/// Victims were chosen all over the fleet by their CPUs alone, so that no task started in their
/// place: 198,469 tasks were preempted on one day (docs/incidents/guests-at-fleet-size.md).
#[test]
fn scattered_preemptions_without_a_start_do_not_occur() {
    let faults = Faults {
        scattered_preemption: true,
        ..Faults::default()
    };
    assert_fails_only_with(faults, include_str!("found/scattered_preemption.txt"));
}

/// The answer to a leadership acquisition was lost after the leadership block had been read:
/// the controller found itself named as the leader, did not recognise its own acquisition,
/// renewed the lease, and no controller led any more.
#[test]
fn leadership_acquisition_with_lost_answer_is_recognised() {
    let faults = Faults {
        lost_acquisition_ignored: true,
        ..Faults::default()
    };
    assert_fails_only_with(
        faults,
        include_str!("found/leadership_acquisition_answer_lost.txt"),
    );
}

/// A leader that the state service had refused for a long time found its machines idle while
/// its own link to them was down, and returned these healthy machines.
#[test]
fn idle_machines_are_not_returned_while_the_leaders_link_is_down() {
    let faults = Faults {
        machines_returned_while_link_down: true,
        ..Faults::default()
    };
    assert_fails_only_with(
        faults,
        include_str!("found/idle_machines_returned_while_link_down.txt"),
    );
}

/// A few fixed days of combined faults; `beamhinge-testbed days --meetings` generates more.
#[test]
fn days_of_combined_faults_violate_no_rule() {
    let days: Vec<_> = (0..24)
        .chain(150..180)
        .map(|n| combined_faults::generate(4, n, (6.0, 30.0)))
        .collect();
    std::thread::scope(|scope| {
        for part in days.chunks(6) {
            scope.spawn(move || {
                for day in part {
                    let outcome = scenario::play(&day.text, Faults::default()).expect("a day");
                    assert!(outcome.violations.is_empty(), "{}: {outcome:?}", day.name);
                    assert!(outcome.unfinished.is_empty(), "{}: {outcome:?}", day.name);
                }
            });
        }
    });
    // These days can find a fault: without the serving deadline at least two of them let a
    // cancelled task run too long.
    let without = Faults {
        no_serving_deadline: true,
        ..Faults::default()
    };
    let found = days
        .iter()
        .filter(|d| {
            scenario::play(&d.text, without).expect("a day").violations == ["ran_cancelled"]
        })
        .count();
    assert!(found >= 2, "found on {found} days");
}
