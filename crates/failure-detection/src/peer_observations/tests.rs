use super::*;

#[test]
fn number_of_records_is_bounded_and_old_observations_expire() {
    let id = |n: u32| MachineId::parse(&format!("n-{n:06}")).expect("a name");
    let at = |s: f64| Time::default().plus(10.0 + s);
    let mut misrouted_workers = MisroutedWorkers::default();
    assert!(!misrouted_workers.record_report(at(0.0), id(1), 12.0));
    misrouted_workers.record_redirect(id(1));
    assert!(
        misrouted_workers.record_report(at(5.0), id(1), 12.0),
        "the worker came back: the leader does not answer it"
    );
    misrouted_workers.record_redirect(id(1));
    assert!(!misrouted_workers.record_report(at(30.0), id(1), 12.0));
    misrouted_workers.record_redirect(id(1));
    misrouted_workers.on_leader_changed();
    assert!(
        !misrouted_workers.record_report(at(30.5), id(1), 12.0),
        "the new leader may answer it"
    );
    for n in 0..MAX_MACHINES as u32 + 5_000 {
        misrouted_workers.record_report(at(31.0), id(n), 12.0);
    }
    let all = misrouted_workers.recent(at(31.0), 6.0);
    assert_eq!(all.len(), MAX_MACHINES);
    let mut peer_observations = PeerObservations::default();
    peer_observations.record(at(31.0), all.iter().copied());
    peer_observations.record(at(31.0), (0..40_000).map(id));
    assert_eq!(peer_observations.len(), MAX_MACHINES);
    assert!(peer_observations
        .age_s(at(33.0), id(3))
        .is_some_and(|s| (s - 2.0).abs() < 1e-6));
    peer_observations.expire(at(40.0), 6.0);
    assert!(peer_observations.is_empty());
}

/// Guards against a limit below the fleet size: with more than 4,096 machines, those with the
/// highest numbers were never announced to the leader, which presumed them dead.
#[test]
fn all_machines_of_a_large_fleet_are_recorded() {
    let id = |n: u32| MachineId::parse(&format!("n-{n:06}")).expect("a name");
    let at = |s: f64| Time::default().plus(10.0 + s);
    let (mut misrouted_workers, mut peer_observations) =
        (MisroutedWorkers::default(), PeerObservations::default());
    for n in 0..8_192 {
        misrouted_workers.record_report(at(0.0), id(n), 12.0);
        misrouted_workers.record_redirect(id(n));
    }
    assert!((0..8_192).all(|n| misrouted_workers.record_report(at(1.0), id(n), 12.0)));
    let all = misrouted_workers.recent(at(1.0), 6.0);
    assert_eq!(all.len(), 8_192);
    peer_observations.record(at(1.0), all.into_iter());
    assert!((0..8_192).all(|n| peer_observations.age_s(at(2.0), id(n)).is_some()));
}
