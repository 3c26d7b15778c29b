use super::*;

#[test]
fn unacknowledging_machine_backs_off_and_one_late_reply_does_not() {
    let at = |s: f64| Time::default().plus(50.0 + s);
    let mut tracker = AckTracker::default();
    assert!(
        !tracker.record_unacknowledged(at(0.0), false) && !tracker.in_backoff(at(0.1)),
        "a single late reply causes no backoff"
    );
    tracker.record_acknowledged();
    assert!(
        !tracker.record_unacknowledged(at(5.0), false)
            && tracker.record_unacknowledged(at(6.0), false)
    );
    assert!(tracker.in_backoff(at(13.9)) && !tracker.in_backoff(at(14.1)));
    assert_eq!(tracker.unacknowledged_for_s(at(15.0)), Some(10.0));
    let mut now_s = 20.0;
    for backoff_s in [16.0, 32.0, 64.0, 64.0] {
        assert!(tracker.record_unacknowledged(at(now_s), false));
        assert!(
            tracker.in_backoff(at(now_s + backoff_s - 0.1))
                && !tracker.in_backoff(at(now_s + backoff_s + 0.1))
        );
        now_s += backoff_s + 5.0;
    }
    tracker.record_acknowledged();
    assert!(!tracker.in_backoff(at(now_s)) && tracker.unacknowledged_for_s(at(now_s)).is_none());
    assert!(
        tracker.record_unacknowledged(at(now_s), true),
        "the worker has contacted another controller in the meantime"
    );
}
