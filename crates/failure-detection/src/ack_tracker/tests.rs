use super::*;

#[test]
fn unacknowledging_machine_backs_off_and_one_late_reply_does_not() {
    let at = |s: f64| Time::default().plus(50.0 + s);
    let mut h = AckTracker::default();
    assert!(
        !h.record_unacknowledged(at(0.0), false) && !h.in_backoff(at(0.1)),
        "a single late reply causes no backoff"
    );
    h.record_acknowledged();
    assert!(!h.record_unacknowledged(at(5.0), false) && h.record_unacknowledged(at(6.0), false));
    assert!(h.in_backoff(at(13.9)) && !h.in_backoff(at(14.1)));
    assert_eq!(h.unacknowledged_for_s(at(15.0)), Some(10.0));
    let mut now = 20.0;
    for pause in [16.0, 32.0, 64.0, 64.0] {
        assert!(h.record_unacknowledged(at(now), false));
        assert!(h.in_backoff(at(now + pause - 0.1)) && !h.in_backoff(at(now + pause + 0.1)));
        now += pause + 5.0;
    }
    h.record_acknowledged();
    assert!(!h.in_backoff(at(now)) && h.unacknowledged_for_s(at(now)).is_none());
    assert!(
        h.record_unacknowledged(at(now), true),
        "the worker has contacted another controller in the meantime"
    );
}
