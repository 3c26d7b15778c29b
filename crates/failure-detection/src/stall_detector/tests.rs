use super::*;

#[test]
fn idle_partitioned_or_slow_leader_is_not_stalled() {
    let at = |s: f64| Time::default().plus(10.0 + s);
    let work = |last_progress: f64| ProgressSnapshot {
        work_pending: true,
        last_progress: at(last_progress),
        store_reachable: true,
    };
    let mut detector = StallDetector::new(8.0);
    let run =
        |detector: &mut StallDetector, snapshot: ProgressSnapshot, from: u32, to: u32| -> u32 {
            (from..to)
                .map(|t| u32::from(detector.observe(at(f64::from(t)), snapshot)))
                .sum()
        };
    let idle = ProgressSnapshot {
        work_pending: false,
        ..work(0.0)
    };
    assert_eq!(run(&mut detector, idle, 0, 60), 0);
    // Work that arrives after a long idle time has only started to wait.
    assert_eq!(run(&mut detector, work(0.0), 60, 68), 0);
    assert_eq!(
        run(&mut detector, work(66.0), 68, 74),
        0,
        "the leader made progress in between"
    );
    let store_unreachable = ProgressSnapshot {
        store_reachable: false,
        ..work(66.0)
    };
    assert_eq!(run(&mut detector, store_unreachable, 74, 100), 0);
    assert_eq!(
        run(&mut detector, work(66.0), 100, 108),
        0,
        "the outage does not count"
    );
    assert_eq!(
        run(&mut detector, work(66.0), 108, 140),
        1,
        "a stall is reported once"
    );
    assert!(detector.stalled_for_s(at(140.0)).is_some_and(|t| t > 30.0));
    assert_eq!(run(&mut detector, work(140.0), 140, 142), 0);
    assert!(detector.stalled_for_s(at(142.0)).is_none());
    detector.on_handover();
    assert_eq!(
        run(&mut detector, work(140.0), 142, 158),
        0,
        "the timeout doubles after a handover"
    );
    assert_eq!(run(&mut detector, work(140.0), 158, 170), 1);
}
