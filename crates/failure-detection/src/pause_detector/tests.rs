use super::*;

#[test]
fn missing_reports_during_a_local_pause_do_not_count() {
    let mut detector = PauseDetector::new(1.0);
    let at = |s: f64| Time::default().plus(100.0 + s);
    let last_report = at(0.0);
    for i in 0..20 {
        assert_eq!(detector.observe(at(f64::from(i) * 0.1)), None);
    }
    assert_eq!(
        detector.missing_reports_count_from(last_report),
        last_report
    );
    let pause_s = detector.observe(at(34.0)).expect("a pause");
    assert!((pause_s - 32.1).abs() < 0.01);
    assert_eq!(detector.missing_reports_count_from(last_report), at(34.0));
    assert_eq!(detector.observe(at(34.1)), None);
    assert_eq!(detector.missing_reports_count_from(at(34.05)), at(34.05));
    assert!(detector
        .resumed_for_s(at(35.0))
        .is_some_and(|s| (s - 1.0).abs() < 1e-6));
}
