//! The decisions of the controllers on the fixed days must match the fingerprints recorded in
//! `fingerprint.txt`. After an intended change of a decision, update the record with
//! `beamhinge-testbed days --fingerprint --record`.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::fingerprint::days;

/// Number of days that are played in parallel.
const THREADS: usize = 4;

#[test]
fn decisions_on_fixed_days_match_the_record() {
    let recorded = days::read(include_str!("fingerprint.txt")).expect("a record");
    let played = days::play(&days::fixed(), Faults::default(), THREADS).expect("sound days");
    let differ = days::differences(&recorded, &played);
    assert!(
        differ.is_empty(),
        "differ: {differ:?}, now:\n{}",
        days::write(&played)
    );
}

#[test]
fn changed_decision_changes_the_fingerprint() {
    let preemption_day: Vec<_> = days::fixed()
        .into_iter()
        .filter(|d| d.name == "room_two_claims")
        .collect();
    let recorded = days::play(&preemption_day, Faults::default(), 1).expect("a sound day");
    let faults = Faults {
        scattered_preemption: true,
        ..Faults::default()
    };
    let changed = days::play(&preemption_day, faults, 1).expect("a sound day");
    assert_eq!(days::differences(&recorded, &changed), ["room_two_claims"]);
}

#[test]
fn day_missing_from_one_record_is_a_difference() {
    let digits = "0".repeat(32);
    let both = days::read(&format!("one {digits}\ntwo {digits}\n")).expect("a record");
    let one = days::read(&format!("one {digits}\n")).expect("a record");
    assert_eq!(days::differences(&both, &one), ["two"]);
    assert_eq!(days::differences(&one, &both), ["two"]);
    assert_eq!(
        days::read("one 0\nno-fingerprint\n").map_err(|e| e.line),
        Err(2)
    );
}
