//! Days that found a fault, made smaller: with the fault put back they fail, and
//! as the program is they end well. A check that cannot fail is none.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::{combined_faults, days, scenario};

fn both(text: &str, faults: Faults) -> (bool, scenario::Outcome) {
    let with = scenario::play(text, faults).expect("a scenario");
    let without = scenario::play(text, Faults::default()).expect("a scenario");
    (days::faulty(&with), without)
}

/// With the fault the day fails, and without it ends well.
fn fails_only_with(faults: Faults, text: &str) {
    let (found, sound) = both(text, faults);
    assert!(found);
    assert!(!days::faulty(&sound), "{sound:?}");
}

/// Half of a fleet given back while a zone was cut off (docs/incidents/silent-fleet.md).
#[test]
fn a_healthy_zone_is_not_given_away() {
    let faults = Faults {
        silence_proves_death: true,
        ..Faults::default()
    };
    fails_only_with(faults, include_str!("found/hasty.txt"));
}

/// A transaction that is too large, refused and built again
/// (docs/incidents/transactions-refused-for-ever.md).
#[test]
fn a_refused_transaction_is_not_repeated() {
    let faults = Faults {
        unbounded_transactions: true,
        ..Faults::default()
    };
    fails_only_with(faults, include_str!("found/unbounded.txt"));
}

/// Machines that hung longer than the limit of silence and woke while the call
/// that gave them back was on its way were counted as given away (day 79-44). One
/// that is given back long after it woke still is.
#[test]
fn who_wakes_while_being_given_back_was_not_healthy() {
    let day = include_str!("found/woken.txt");
    let sound = scenario::play(day, Faults::default()).expect("a scenario");
    assert!(!days::faulty(&sound), "{sound:?}");
    assert!(
        sound.losses.faulty_returned > 0,
        "the day no longer shows it: {sound:?}"
    );
}

/// Tasks were stopped all over the fleet by their CPUs, for nobody: 198,469 of them
/// on one day (docs/incidents/guests-at-fleet-size.md).
#[test]
fn nobody_is_stopped_for_nobody() {
    let faults = Faults {
        scattered_preemption: true,
        ..Faults::default()
    };
    fails_only_with(faults, include_str!("found/scattered.txt"));
}

/// A take whose answer was lost, when the block had been read before: its controller
/// found itself named as the leader, took that for somebody's, renewed it, and nobody
/// led any more (day meet-4-57; chosen anew as meet-31-14 when more kinds of trouble and
/// one more frame between controllers changed every draw).
#[test]
fn a_take_of_ours_that_comes_late_is_found() {
    let faults = Faults {
        lost_acquisition_ignored: true,
        ..Faults::default()
    };
    fails_only_with(faults, include_str!("found/own_take.txt"));
}

/// A leader that had been refused for long found its machines idle and its own link
/// silent, and gave them back, healthy as they were (days meet-302-6 and meet-302-750).
#[test]
fn nothing_idle_is_given_back_while_our_own_link_is_silent() {
    let faults = Faults {
        machines_returned_while_link_down: true,
        ..Faults::default()
    };
    fails_only_with(faults, include_str!("found/blind_return.txt"));
}

/// A fixed few of the drawn meetings; `beamhinge-testbed days --meetings` draws more.
#[test]
fn drawn_meetings_keep_the_rules() {
    let days: Vec<_> = (0..24)
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
    // The draw can find what it looks for.
    let without = Faults {
        no_serving_deadline: true,
        ..Faults::default()
    };
    let found = days
        .iter()
        .any(|d| scenario::play(&d.text, without).expect("a day").violations == ["ran_cancelled"]);
    assert!(found);
}
