use super::*;

#[test]
fn memory_is_bounded_and_old_observations_expire() {
    let id = |n: u32| MachineId::parse(&format!("n-{n:06}")).expect("a name");
    let at = |s: f64| Time::default().plus(10.0 + s);
    let mut v = MisroutedWorkers::default();
    assert!(!v.record_report(at(0.0), id(1), 12.0));
    v.record_redirect(id(1));
    assert!(
        v.record_report(at(5.0), id(1), 12.0),
        "the worker came back: the leader does not answer it"
    );
    v.record_redirect(id(1));
    assert!(!v.record_report(at(30.0), id(1), 12.0));
    v.record_redirect(id(1));
    v.on_leader_changed();
    assert!(
        !v.record_report(at(30.5), id(1), 12.0),
        "the new leader may answer it"
    );
    for n in 0..MAX_MACHINES as u32 + 5_000 {
        v.record_report(at(31.0), id(n), 12.0);
    }
    let all = v.recent(at(31.0), 6.0);
    assert_eq!(all.len(), MAX_MACHINES);
    let mut e = PeerObservations::default();
    e.record(at(31.0), all.iter().copied());
    e.record(at(31.0), (0..40_000).map(id));
    assert_eq!(e.len(), MAX_MACHINES);
    assert!(e
        .age_s(at(33.0), id(3))
        .is_some_and(|s| (s - 2.0).abs() < 1e-6));
    e.expire(at(40.0), 6.0);
    assert!(e.is_empty());
}

/// Guards against a limit below the fleet size: with more than 4,096 machines, those with the
/// highest numbers were never announced to the leader, which presumed them dead.
#[test]
fn all_machines_of_a_large_fleet_are_remembered() {
    let id = |n: u32| MachineId::parse(&format!("n-{n:06}")).expect("a name");
    let at = |s: f64| Time::default().plus(10.0 + s);
    let (mut misrouted_workers, mut heard) =
        (MisroutedWorkers::default(), PeerObservations::default());
    for n in 0..8_192 {
        misrouted_workers.record_report(at(0.0), id(n), 12.0);
        misrouted_workers.record_redirect(id(n));
    }
    assert!((0..8_192).all(|n| misrouted_workers.record_report(at(1.0), id(n), 12.0)));
    let all = misrouted_workers.recent(at(1.0), 6.0);
    assert_eq!(all.len(), 8_192);
    heard.record(at(1.0), all.into_iter());
    assert!((0..8_192).all(|n| heard.age_s(at(2.0), id(n)).is_some()));
}
