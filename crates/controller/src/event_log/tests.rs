use super::*;

#[test]
fn what_was_forgotten_is_counted_and_told() {
    let mut c = EventLog::new(true);
    for i in 0..MAX_DECISIONS as u64 + 10 {
        c.note(|| What::Took { token: i });
    }
    let (rows, missed) = c.after(5, 3);
    assert_eq!((rows[0].serial, rows.len(), missed), (11, 3, 5));
    assert_eq!(c.after(MAX_DECISIONS as u64 + 10, 3), (vec![], 0));
}

/// Beyond 1,024 tasks placed in a second the others' ages were not counted.
#[test]
fn the_ages_of_all_tasks_that_a_large_fleet_starts_at_once_are_counted() {
    let mut c = EventLog::new(true);
    c.at(WallMs(5_000));
    (0..8_192).for_each(|_| c.placed(4_000));
    assert_eq!(c.take_waits(), vec![1.0; 8_192]);
    (0..MAX_WAITS + 100).for_each(|_| c.placed(4_000));
    assert_eq!(c.take_waits().len(), MAX_WAITS);
}
