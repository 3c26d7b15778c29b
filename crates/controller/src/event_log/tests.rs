use super::*;

#[test]
fn discarded_decisions_are_counted_as_missed() {
    let mut log = EventLog::new(true);
    for i in 0..MAX_DECISIONS as u64 + 10 {
        log.record(|| DecisionKind::LeadershipAcquired { token: i });
    }
    let DecisionPage {
        decisions: rows,
        missed,
    } = log.decisions_after(5, 3);
    assert_eq!((rows[0].serial, rows.len(), missed), (11, 3, 5));
    let empty_page = DecisionPage {
        decisions: vec![],
        missed: 0,
    };
    assert_eq!(
        log.decisions_after(MAX_DECISIONS as u64 + 10, 3),
        empty_page
    );
}

/// Guards against a bound that is too small: the ages of all tasks beyond the first 1,024 placed
/// in a second were not counted.
#[test]
fn placement_ages_of_a_large_fleet_are_counted() {
    let mut log = EventLog::new(true);
    log.set_time(WallMs(5_000));
    (0..8_192).for_each(|_| log.record_placement(4_000));
    assert_eq!(log.take_placement_ages(), vec![1.0; 8_192]);
    (0..MAX_PLACEMENT_AGES + 100).for_each(|_| log.record_placement(4_000));
    assert_eq!(log.take_placement_ages().len(), MAX_PLACEMENT_AGES);
}
