use super::*;

#[test]
fn silence_during_own_pause_does_not_count() {
    let mut p = PauseDetector::new(1.0);
    let observe = |s: f64| Time::default().plus(100.0 + s);
    let heard = observe(0.0);
    for i in 0..20 {
        assert_eq!(p.observe(observe(f64::from(i) * 0.1)), None);
    }
    assert_eq!(p.silence_counts_from(heard), heard);
    let away = p.observe(observe(34.0)).expect("a pause");
    assert!((away - 32.1).abs() < 0.01);
    assert_eq!(p.silence_counts_from(heard), observe(34.0));
    assert_eq!(p.observe(observe(34.1)), None);
    assert_eq!(p.silence_counts_from(observe(34.05)), observe(34.05));
    assert!(p
        .resumed_for_s(observe(35.0))
        .is_some_and(|s| (s - 1.0).abs() < 1e-6));
}
