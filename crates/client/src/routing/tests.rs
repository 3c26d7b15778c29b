use super::{Outcome, Routing, RoutingDecision, MAX_BACKOFF_S, MAX_RETRY_AFTER_S};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::net::SocketAddrV4;

fn routing(n: u16) -> Routing {
    let addrs: Vec<SocketAddrV4> = (0..n)
        .map(|i| SocketAddrV4::new([127, 0, 0, 1].into(), 9_000 + i))
        .collect();
    Routing::new(&addrs, 1)
}

#[test]
fn failure_moves_on_and_the_answering_controller_is_preferred() {
    let mut router = routing(3);
    assert_eq!(router.next(0.0), RoutingDecision::Try(0));
    router.record(0.0, 0, Outcome::Failed);
    assert_eq!(router.next(0.0), RoutingDecision::Try(1));
    router.record(0.0, 1, Outcome::Answered);
    assert_eq!(
        router.next(100.0),
        RoutingDecision::Try(1),
        "the preferred controller is kept"
    );
}

#[test]
fn retry_after_is_obeyed_up_to_the_maximum() {
    let mut router = routing(1);
    router.record(0.0, 0, Outcome::Busy(Some(3)));
    let RoutingDecision::Wait(s) = router.next(0.0) else {
        panic!("the controller sent Retry-After")
    };
    assert!((3.0..4.6).contains(&s), "{s}");
    router.record(0.0, 0, Outcome::Busy(Some(86_400)));
    assert!(matches!(
        router.next(MAX_RETRY_AFTER_S + 0.1),
        RoutingDecision::Try(0)
    ));
}

#[test]
fn backoff_grows_to_the_maximum_with_jitter() {
    let mut router = routing(1);
    let mut waits = Vec::new();
    let mut now = 0.0;
    for _ in 0..12 {
        router.record(now, 0, Outcome::Failed);
        let RoutingDecision::Wait(s) = router.next(now) else {
            panic!("the controller has just failed")
        };
        waits.push(s);
        now += s;
    }
    assert!(waits[0] < 0.35 && waits[11] > 1.0, "{waits:?}");
    assert!(waits.iter().all(|s| *s <= MAX_BACKOFF_S * 1.5), "{waits:?}");
    let first_retries: Vec<f64> = (0..20)
        .map(|seed| {
            let mut router = routing(1);
            router.rng = SmallRng::seed_from_u64(seed);
            router.record(0.0, 0, Outcome::Failed);
            router.endpoints[0].retry_at
        })
        .collect();
    let spread = first_retries.iter().fold(0.0f64, |a, b| a.max(*b))
        - first_retries.iter().fold(9.0f64, |a, b| a.min(*b));
    assert!(
        spread > 0.05,
        "clients retry at the same moment: {first_retries:?}"
    );
}

/// A controller that restarts repeatedly must not keep a client in a tight loop of `/v1/hello`
/// requests.
#[test]
fn repeated_restarts_lead_to_backoff() {
    let mut router = routing(1);
    for _ in 0..3 {
        assert_eq!(router.next(0.0), RoutingDecision::Try(0));
        router.record(0.0, 0, Outcome::Restarted);
    }
    assert!(matches!(router.next(0.0), RoutingDecision::Wait(_)));
}
