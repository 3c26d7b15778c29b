use super::*;

fn machine(n: u32) -> MachineId {
    MachineId::parse(&format!("n-{n:06}")).expect("a name")
}

fn at(s: f64) -> Time {
    Time::default().plus(100.0 + s)
}

const OBSERVER: Observer = Observer {
    store_age_s: 0.2,
    jobs_loaded: true,
    resumed_for_s: None,
    rank: 0,
};
const TOKEN: FencingToken = FencingToken(7);

/// Delivers a heartbeat of one leader every `interval_s` seconds.
fn send_heartbeats(
    detector: &mut FailureDetector,
    leader: &str,
    token: FencingToken,
    from: f64,
    to: f64,
    interval_s: f64,
) {
    let count = ((to - from) / interval_s).round() as u32;
    (0..=count)
        .for_each(|n| detector.on_heartbeat(at(from + f64::from(n) * interval_s), leader, token));
}

fn report_misrouted(
    detector: &mut FailureDetector,
    s: f64,
    machines: std::ops::Range<u32>,
    highest_seen_token: FencingToken,
) {
    machines.for_each(|n| detector.on_misrouted_report(at(s), machine(n), highest_seen_token));
}

/// A detector whose leader fails just after its heartbeat at 10 s; workers report to this
/// controller a second later.
fn detector_with_failed_leader() -> FailureDetector {
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "a", TOKEN, 0.0, 10.0, HEARTBEAT_INTERVAL_S);
    report_misrouted(&mut detector, 11.1, 0..4, TOKEN);
    detector
}

#[test]
fn missing_heartbeats_and_misrouted_workers_make_leader_suspect() {
    let mut detector = detector_with_failed_leader();
    assert_eq!(
        detector.suspect(at(11.4), OBSERVER),
        None,
        "three heartbeats must be missing"
    );
    assert_eq!(detector.suspect(at(11.6), OBSERVER), Some("a"));
    assert_eq!(detector.suspect(at(11.7), OBSERVER), None, "reported once");
    // The next rank waits longer.
    let mut detector = detector_with_failed_leader();
    assert_eq!(
        detector.suspect(
            at(11.55),
            Observer {
                rank: 1,
                ..OBSERVER
            }
        ),
        None
    );
    assert!(detector.is_silent(at(11.6)) && !detector.is_silent(at(11.0)));
    assert_eq!(
        detector.suspect(
            at(11.65),
            Observer {
                rank: 1,
                ..OBSERVER
            }
        ),
        Some("a")
    );
    // With seven controllers the last rank suspects within little more than two seconds.
    let mut detector = detector_with_failed_leader();
    assert_eq!(
        detector.suspect(
            at(12.05),
            Observer {
                rank: 5,
                ..OBSERVER
            }
        ),
        Some("a")
    );
}

#[test]
fn one_kind_of_evidence_is_not_enough() {
    // A network partition between controllers: no heartbeats, and no misrouted workers.
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "a", TOKEN, 0.0, 10.0, HEARTBEAT_INTERVAL_S);
    assert_eq!(detector.suspect(at(20.0), OBSERVER), None);
    // Repeated reports of one worker whose link to the leader is broken.
    (11..20).for_each(|s| detector.on_misrouted_report(at(f64::from(s)), machine(1), TOKEN));
    assert_eq!(detector.suspect(at(20.0), OBSERVER), None);
    // Misrouted workers report, but heartbeats arrive.
    let mut detector = detector_with_failed_leader();
    detector.on_heartbeat(at(11.5), "a", TOKEN);
    assert_eq!(detector.suspect(at(11.6), OBSERVER), None);
    // A slow leader: its heartbeats are late, and workers report here after their
    // timeout.
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "a", TOKEN, 0.0, 10.0, HEARTBEAT_INTERVAL_S);
    report_misrouted(&mut detector, 14.5, 0..200, TOKEN);
    assert_eq!(detector.suspect(at(15.0), OBSERVER), None);
    // Old reports are evidence of another failure.
    let mut detector = detector_with_failed_leader();
    assert_eq!(detector.suspect(at(18.0), OBSERVER), None);
}

/// Forty machines that boot while a heartbeat is retransmitted are no evidence: they contact any
/// controller first, and carry no token or an older one.
#[test]
fn workers_without_the_leaders_token_are_no_evidence() {
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "a", TOKEN, 0.0, 10.0, HEARTBEAT_INTERVAL_S);
    report_misrouted(&mut detector, 11.1, 0..40, FencingToken(0));
    report_misrouted(&mut detector, 11.1, 40..80, FencingToken(6));
    assert_eq!(detector.suspect(at(11.6), OBSERVER), None);
    report_misrouted(&mut detector, 11.2, 80..83, TOKEN);
    assert_eq!(detector.suspect(at(11.6), OBSERVER), Some("a"));
}

#[test]
fn observer_that_cannot_take_over_does_not_suspect_the_leader() {
    for observer in [
        Observer {
            store_age_s: 4.0,
            ..OBSERVER
        },
        Observer {
            jobs_loaded: false,
            ..OBSERVER
        },
        Observer {
            resumed_for_s: Some(1.0),
            ..OBSERVER
        },
    ] {
        assert_eq!(
            detector_with_failed_leader().suspect(at(11.8), observer),
            None,
            "{observer:?}"
        );
    }
    // A leader that has sent heartbeats only for a short time.
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "b", TOKEN, 0.0, 2.0, HEARTBEAT_INTERVAL_S);
    report_misrouted(&mut detector, 3.1, 0..4, TOKEN);
    assert_eq!(detector.suspect(at(3.7), OBSERVER), None);
}

/// A leader of an earlier version sends one heartbeat a second: two must be missing.
#[test]
fn heartbeat_timeout_follows_the_observed_interval() {
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "a", TOKEN, 0.0, 20.0, 1.0);
    report_misrouted(&mut detector, 21.1, 0..4, TOKEN);
    assert_eq!(detector.suspect(at(22.0), OBSERVER), None);
    assert_eq!(detector.suspect(at(22.3), OBSERVER), Some("a"));
}

#[test]
fn suspicions_are_rate_limited() {
    let mut detector = detector_with_failed_leader();
    assert!(detector.suspect(at(11.6), OBSERVER).is_some());
    send_heartbeats(
        &mut detector,
        "b",
        FencingToken(8),
        12.0,
        22.0,
        HEARTBEAT_INTERVAL_S,
    );
    report_misrouted(&mut detector, 23.1, 0..4, FencingToken(8));
    assert_eq!(
        detector.suspect(at(23.7), OBSERVER),
        None,
        "twelve seconds after the previous suspicion"
    );
    send_heartbeats(
        &mut detector,
        "b",
        FencingToken(8),
        24.0,
        28.0,
        HEARTBEAT_INTERVAL_S,
    );
    report_misrouted(&mut detector, 29.1, 0..4, FencingToken(8));
    assert_eq!(detector.suspect(at(29.7), OBSERVER), Some("b"));
}

/// The failure of a second leader is detected as fast as that of the first. The failure of a third
/// within half a minute is detected later, on every controller.
#[test]
fn further_changes_of_leader_lengthen_the_heartbeat_timeout() {
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "a", TOKEN, 0.0, 10.0, HEARTBEAT_INTERVAL_S);
    send_heartbeats(
        &mut detector,
        "b",
        FencingToken(8),
        12.0,
        16.0,
        HEARTBEAT_INTERVAL_S,
    );
    report_misrouted(&mut detector, 17.1, 0..4, FencingToken(8));
    assert_eq!(
        detector.suspect(at(17.6), OBSERVER),
        Some("b"),
        "the first change causes no delay"
    );
    let mut detector = FailureDetector::default();
    send_heartbeats(&mut detector, "a", TOKEN, 0.0, 10.0, HEARTBEAT_INTERVAL_S);
    send_heartbeats(
        &mut detector,
        "b",
        FencingToken(8),
        12.0,
        16.0,
        HEARTBEAT_INTERVAL_S,
    );
    send_heartbeats(
        &mut detector,
        "c",
        FencingToken(9),
        18.0,
        22.0,
        HEARTBEAT_INTERVAL_S,
    );
    report_misrouted(&mut detector, 23.1, 0..4, FencingToken(9));
    assert_eq!(detector.suspect(at(23.7), OBSERVER), None);
    assert_eq!(detector.suspect(at(24.3), OBSERVER), Some("c"));
}

/// A leader whose term has ended but that still sends heartbeats does not replace its successor.
#[test]
fn heartbeat_with_lower_token_is_ignored() {
    let mut detector = detector_with_failed_leader();
    detector.on_heartbeat(at(11.2), "b", FencingToken(6));
    assert_eq!(detector.suspect(at(11.6), OBSERVER), Some("a"));
}

#[test]
fn takeover_rank_follows_the_ring_of_labels_after_the_leader() {
    let labels = ["a", "b", "c", "d", "e", "f", "g"];
    let rank = |leader: &str, local_label: &str| {
        takeover_rank(
            leader,
            local_label,
            labels.iter().copied().filter(|l| *l != local_label),
        )
    };
    assert_eq!((rank("a", "b"), rank("a", "c"), rank("a", "g")), (0, 1, 5));
    assert_eq!((rank("d", "e"), rank("d", "a"), rank("d", "c")), (0, 3, 5));
    assert_eq!((rank("g", "a"), rank("g", "f")), (0, 5));
}
