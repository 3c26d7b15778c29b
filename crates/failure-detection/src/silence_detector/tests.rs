use super::*;

const OVERDUE_S: f64 = 7.0;

fn silence_thresholds() -> SilenceThresholds {
    SilenceThresholds {
        dead_after_s: 15.0,
        max_shield_s: 106.0,
        max_peer_age_s: 8.0,
    }
}

fn at(s: f64) -> Time {
    Time::default().plus(100.0 + s)
}

/// Returns `n` machines, alternating between two zones and two machine types.
fn fleet(n: u32, silent_s: impl Fn(u32) -> f64) -> Vec<MachineObservation> {
    (0..n)
        .map(|i| MachineObservation {
            id: MachineId::parse(&format!("n-{i:06}")).expect("a name"),
            zone: (i % 2) as usize,
            machine_type: (i / 2 % 2) as usize,
            silent_s: silent_s(i),
            peer_report_age_s: None,
            unlisted: false,
            rotates_controllers: false,
        })
        .collect()
}

fn count(assessment: &FleetAssessment, expected: Liveness) -> usize {
    assessment
        .findings
        .iter()
        .filter(|(_, f)| *f == expected)
        .count()
}

#[test]
fn single_unreachable_machine_is_presumed_dead() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let assessment = detector.assess(
        at(0.0),
        OVERDUE_S,
        &fleet(500, |i| if i == 7 { 15.1 } else { 2.0 }),
    );
    assert_eq!(count(&assessment, Liveness::Dead), 1);
    assert!(assessment.suspected.is_empty());
}

/// Guards against returning machines of a zone with a broken link. Reports are spread over a
/// period, so machines exceed the threshold one after another: half of a fleet was returned before
/// most machines were overdue.
#[test]
fn unreachable_zone_is_shielded_as_broken_link() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let mut dead_findings = 0;
    // Zone 1 is partitioned from 0 s to 51 s; its last reports are spread over 5 s.
    for step in 0..300 {
        let now = f64::from(step) * 0.2;
        let silent_s = |i: u32| match i % 2 {
            1 if now < 51.0 => now + f64::from(i % 50) / 10.0,
            _ => f64::from(i % 50) / 10.0,
        };
        let assessment = detector.assess(at(now), OVERDUE_S, &fleet(600, silent_s));
        dead_findings += count(&assessment, Liveness::Dead);
        if now > 20.0 && now < 50.0 {
            assert_eq!(assessment.suspected.len(), 1, "{:?}", assessment.suspected);
            assert_eq!(
                count(&assessment, Liveness::Shielded(FailureDomain::Zone(1))),
                300
            );
        }
    }
    assert_eq!(dead_findings, 0);
    assert!(
        detector.suspected_for_s(at(60.0), 1, 0).is_none(),
        "the suspicion ends when the zone reports again"
    );
}

#[test]
fn zone_that_stays_unreachable_is_presumed_dead_gradually() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let mut removed = std::collections::BTreeSet::new();
    let mut first_removal_s = None;
    for step in 0..800 {
        let now = f64::from(step) * 0.2;
        let all = fleet(600, |i| if i % 2 == 1 { now } else { 1.0 });
        let rest: Vec<MachineObservation> = all
            .into_iter()
            .filter(|m| !removed.contains(&m.id))
            .collect();
        let assessment = detector.assess(at(now), OVERDUE_S, &rest);
        let dead = assessment
            .findings
            .iter()
            .filter(|(_, f)| *f == Liveness::Dead);
        let before = removed.len();
        removed.extend(dead.map(|(id, _)| *id));
        assert!(
            removed.len() - before <= 61,
            "at most a tenth of the fleet at once"
        );
        if !removed.is_empty() {
            first_removal_s.get_or_insert(now);
        }
    }
    assert!(
        first_removal_s.is_some_and(|t| t > 100.0 && t < 110.0),
        "{first_removal_s:?}"
    );
    assert_eq!(removed.len(), 300);
}

/// Guards against returning the machines of a recovering zone that do not report again yet.
#[test]
fn last_machines_of_a_recovering_zone_are_shielded() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let zone = |recovered: u32| {
        move |i: u32| {
            if i % 2 == 1 && i > recovered {
                30.0
            } else {
                1.0
            }
        }
    };
    detector.assess(at(0.0), OVERDUE_S, &fleet(200, zone(0)));
    let assessment = detector.assess(at(1.0), OVERDUE_S, &fleet(200, zone(180)));
    assert!(assessment.suspected.is_empty());
    assert_eq!(count(&assessment, Liveness::Dead), 0);
    let assessment = detector.assess(at(17.0), OVERDUE_S, &fleet(200, zone(180)));
    assert_eq!(
        count(&assessment, Liveness::Dead),
        10,
        "the shield is bounded"
    );
}

/// Guards against returning the other overdue machines of a fleet when one zone starts to account
/// for most of the missing reports; nine such machines were once returned.
#[test]
fn other_machines_are_shielded_when_one_zone_becomes_suspected() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    detector.assess(at(0.0), OVERDUE_S, &fleet(100, |_| 20.0));
    let mostly = |i: u32| if i % 2 == 1 || i < 20 { 20.0 } else { 1.0 };
    let assessment = detector.assess(at(1.0), OVERDUE_S, &fleet(100, mostly));
    assert_eq!(
        assessment.suspected.first().map(|g| g.0),
        Some(FailureDomain::Zone(1))
    );
    assert_eq!(count(&assessment, Liveness::Dead), 0);
}

#[test]
fn dead_eighth_of_the_fleet_is_detected_within_seconds() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let mut removed = std::collections::BTreeSet::new();
    let mut last_removal_s = 0.0;
    for step in 0..200 {
        let now = f64::from(step) * 0.2;
        let all = fleet(900, |i| if i % 8 == 0 { now } else { 1.0 });
        let rest: Vec<MachineObservation> = all
            .into_iter()
            .filter(|m| !removed.contains(&m.id))
            .collect();
        for (id, f) in detector.assess(at(now), OVERDUE_S, &rest).findings {
            if f == Liveness::Dead && removed.insert(id) {
                last_removal_s = now;
            }
        }
    }
    assert_eq!(removed.len(), 113);
    assert!(last_removal_s < 18.0, "{last_removal_s}");
}

#[test]
fn machines_reporting_to_peers_are_alive_and_many_of_them_move_leadership() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let mut all = fleet(100, |_| 20.0);
    for m in all.iter_mut().take(60) {
        m.peer_report_age_s = Some(1.0);
    }
    let assessment = detector.assess(at(0.0), OVERDUE_S, &all);
    assert_eq!(count(&assessment, Liveness::ReachableFromPeer), 60);
    assert_eq!(count(&assessment, Liveness::Dead), 0);
    assert!(assessment.connectivity.reaches_fewer_than_peers());
    // A few new machines that contact all controllers do not move leadership.
    let mut all = fleet(100, |i| if i < 3 { 20.0 } else { 1.0 });
    all.iter_mut()
        .take(3)
        .for_each(|m| m.peer_report_age_s = Some(1.0));
    assert!(!detector
        .assess(at(9.0), OVERDUE_S, &all)
        .connectivity
        .reaches_fewer_than_peers());
    // Machines that receive no answers contact all controllers in turn.
    let mut all = fleet(100, |_| 20.0);
    all.iter_mut()
        .for_each(|m| (m.peer_report_age_s, m.rotates_controllers) = (Some(1.0), true));
    assert!(!detector
        .assess(at(9.5), OVERDUE_S, &all)
        .connectivity
        .reaches_fewer_than_peers());
    // An expired peer observation does not count.
    let mut all = fleet(4, |_| 20.0);
    all.iter_mut().for_each(|m| m.peer_report_age_s = Some(9.0));
    assert_eq!(
        detector
            .assess(at(30.0), OVERDUE_S, &all)
            .connectivity
            .heard_by_peers,
        0
    );
}

#[test]
fn unlisted_machines_are_distinguished_from_those_behind_a_broken_link() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let mut all = fleet(400, |i| if i % 2 == 1 { 20.0 } else { 1.0 });
    for m in all.iter_mut().filter(|m| m.id.number() % 4 == 1) {
        m.unlisted = true;
    }
    let assessment = detector.assess(at(0.0), OVERDUE_S, &all);
    assert_eq!(count(&assessment, Liveness::Unlisted), 100);
    assert_eq!(
        count(&assessment, Liveness::Shielded(FailureDomain::Zone(1))),
        100
    );
}

#[test]
fn unreachable_fleet_is_shielded_for_a_bounded_time() {
    let mut detector = SilenceDetector::new(silence_thresholds());
    let assessment = detector.assess(at(0.0), OVERDUE_S, &fleet(300, |_| 30.0));
    assert_eq!(
        count(&assessment, Liveness::Shielded(FailureDomain::LocalLink)),
        300
    );
    let assessment = detector.assess(at(90.0), OVERDUE_S, &fleet(300, |_| 120.0));
    assert_eq!(count(&assessment, Liveness::Dead), 30);
    assert_eq!(count(&assessment, Liveness::RemovalDeferred), 270);
}
