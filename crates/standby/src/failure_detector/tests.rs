use super::*;

fn machine(n: u32) -> MachineId {
    MachineId::parse(&format!("n-{n:06}")).expect("a name")
}

fn at(s: f64) -> Time {
    Time::default().plus(100.0 + s)
}

const OBSERVER: Observer = Observer { ledger_age_s: 0.2, warm: true, back_for_s: None, turn: 0 };

/// Heard each second until it ends at 10 s; workers come a second later.
fn ended() -> FailureDetector {
    let mut detector = FailureDetector::default();
    (0..=10).for_each(|s| detector.heartbeat(at(f64::from(s)), "a"));
    (0..4).for_each(|n| detector.reported_here(at(11.1), machine(n)));
    detector
}

#[test]
fn an_end_is_known_by_two_witnesses_before_the_lease() {
    let mut detector = ended();
    assert_eq!(detector.suspected(at(12.0), OBSERVER), None, "two words have to stay away");
    assert_eq!(detector.suspected(at(12.3), OBSERVER), Some("a"));
    assert_eq!(detector.suspected(at(12.4), OBSERVER), None, "advised once");
    // The next in turn waits longer.
    let mut detector = ended();
    assert_eq!(detector.suspected(at(12.3), Observer { turn: 1, ..OBSERVER }), None);
    assert!(detector.is_silent(at(12.3)) && !detector.is_silent(at(11.0)));
    assert_eq!(detector.suspected(at(13.1), Observer { turn: 1, ..OBSERVER }), Some("a"));
}

#[test]
fn one_witness_is_not_enough() {
    // A filter between controllers: no words, and no worker comes.
    let mut detector = FailureDetector::default();
    (0..=10).for_each(|s| detector.heartbeat(at(f64::from(s)), "a"));
    assert_eq!(detector.suspected(at(20.0), OBSERVER), None);
    // One worker with a broken link of its own, again and again.
    (11..20).for_each(|s| detector.reported_here(at(f64::from(s)), machine(1)));
    assert_eq!(detector.suspected(at(20.0), OBSERVER), None);
    // Workers come, and the holder is heard.
    let mut detector = ended();
    detector.heartbeat(at(12.2), "a");
    assert_eq!(detector.suspected(at(12.3), OBSERVER), None);
    // A holder that is slow: its words are late, and workers come after their
    // time-out.
    let mut detector = FailureDetector::default();
    (0..=10).for_each(|s| detector.heartbeat(at(f64::from(s)), "a"));
    (0..200).for_each(|n| detector.reported_here(at(14.5), machine(n)));
    assert_eq!(detector.suspected(at(15.0), OBSERVER), None);
    // Those who came long ago tell of something else.
    let mut detector = ended();
    assert_eq!(detector.suspected(at(18.0), OBSERVER), None);
}

#[test]
fn who_is_not_fit_does_not_take() {
    for own in [
        Observer { ledger_age_s: 4.0, ..OBSERVER },
        Observer { warm: false, ..OBSERVER },
        Observer { back_for_s: Some(1.0), ..OBSERVER },
    ] {
        assert_eq!(ended().suspected(at(12.5), own), None, "{own:?}");
    }
    // A holder that has been heard for a moment only.
    let mut detector = FailureDetector::default();
    (0..3).for_each(|s| detector.heartbeat(at(f64::from(s)), "b"));
    (0..4).for_each(|n| detector.reported_here(at(3.1), machine(n)));
    assert_eq!(detector.suspected(at(4.5), OBSERVER), None);
}

#[test]
fn takes_are_rare() {
    let mut detector = ended();
    assert!(detector.suspected(at(12.3), OBSERVER).is_some());
    (13..=22).for_each(|s| detector.heartbeat(at(f64::from(s)), "b"));
    (0..4).for_each(|n| detector.reported_here(at(23.5), machine(n)));
    assert_eq!(detector.suspected(at(24.5), OBSERVER), None, "twelve seconds after the last");
    (25..=28).for_each(|s| detector.heartbeat(at(f64::from(s)), "b"));
    (0..4).for_each(|n| detector.reported_here(at(29.5), machine(n)));
    assert_eq!(detector.suspected(at(30.5), OBSERVER), Some("b"));
}
