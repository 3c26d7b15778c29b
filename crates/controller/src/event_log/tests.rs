use super::*;

#[test]
fn what_was_forgotten_is_counted_and_told() {
    let mut c = EventLog::new(true);
    for i in 0..MOST as u64 + 10 {
        c.note(|| What::Took { token: i });
    }
    let (rows, missed) = c.after(5, 3);
    assert_eq!((rows[0].serial, rows.len(), missed), (11, 3, 5));
    assert_eq!(c.after(MOST as u64 + 10, 3), (vec![], 0));
}
