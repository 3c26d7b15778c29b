use super::*;

#[test]
fn forgotten_decisions_are_counted() {
    let mut c = EventLog::new(true);
    for i in 0..MAX_DECISIONS as u64 + 10 {
        c.record(|| DecisionKind::LeadershipAcquired { token: i });
    }
    let DecisionPage {
        decisions: rows,
        missed,
    } = c.decisions_after(5, 3);
    assert_eq!((rows[0].serial, rows.len(), missed), (11, 3, 5));
    let none = DecisionPage {
        decisions: vec![],
        missed: 0,
    };
    assert_eq!(c.decisions_after(MAX_DECISIONS as u64 + 10, 3), none);
}

/// Guards against a bound that is too small: the ages of all tasks beyond the first 1,024 placed
/// in a second were not counted.
#[test]
fn placement_ages_of_a_large_fleet_are_counted() {
    let mut c = EventLog::new(true);
    c.set_time(WallMs(5_000));
    (0..8_192).for_each(|_| c.record_placement(4_000));
    assert_eq!(c.take_placement_ages(), vec![1.0; 8_192]);
    (0..MAX_PLACEMENT_AGES + 100).for_each(|_| c.record_placement(4_000));
    assert_eq!(c.take_placement_ages().len(), MAX_PLACEMENT_AGES);
}
