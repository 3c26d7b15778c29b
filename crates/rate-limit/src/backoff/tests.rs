use super::*;

#[test]
fn malformed_requests_shrink_are_delayed_and_finally_set_aside() {
    let mut backoff = AdaptiveBackoff::new(0.1, 2.0);
    let mut now = Time::from_micros(1);
    let mut divisors = Vec::new();
    for _ in 0..MAX_MALFORMED {
        assert_eq!(backoff.on_malformed(now), RetryAction::Reduce);
        assert!(
            !backoff.is_due(now) && backoff.is_due(now.plus(2.0)),
            "the retry is delayed by at most the longest backoff"
        );
        now = now.plus(2.0);
        divisors.push(backoff.divisor());
    }
    assert_eq!(divisors, [2, 4, 8, 16, 32, 64]);
    assert_eq!(backoff.on_malformed(now), RetryAction::SetAside);
    backoff.on_success();
    assert_eq!((backoff.divisor(), backoff.refusals()), (1, 0));
}

#[test]
fn refused_requests_are_delayed_and_keep_their_size() {
    let mut backoff = AdaptiveBackoff::new(0.1, 1.0);
    let now = Time::from_micros(1);
    for _ in 0..40 {
        backoff.on_refused(now);
    }
    assert_eq!((backoff.divisor(), backoff.refusals()), (1, 40));
    assert!(!backoff.is_due(now.plus(0.9)) && backoff.is_due(now.plus(1.1)));
}
