use super::*;

#[test]
fn usual_gaps_are_learned_and_interruptions_are_left_out() {
    let mut interval = ReportInterval::new(5.0);
    let initial = interval.overdue_s();
    for i in 0..50_000u32 {
        interval.record_gap(3.75 + f64::from(i % 250) / 100.0);
    }
    let learned = interval.overdue_s();
    assert!(
        learned > 6.2 && learned < 7.5 && learned <= initial,
        "{learned}"
    );
    for _ in 0..5_000 {
        interval.record_gap(46.0);
    }
    assert!((interval.overdue_s() - learned).abs() < 1e-9);
    // Longer gaps on slow links are learned too, up to a bound.
    for _ in 0..40_000 {
        interval.record_gap(12.0);
    }
    assert!(interval.overdue_s() > 12.0 && interval.overdue_s() <= 14.5);
}
