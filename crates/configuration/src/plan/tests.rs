use super::*;
use crate::quota::Quota;
use crate::stored::Record;

fn base() -> Vec<settings::Team> {
    let team = |name: &str, cpus, cpus_max| settings::Team {
        name: name.into(),
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    vec![team("one", 10.0, 40.0), team("two", 0.0, 0.0)]
}

fn author(id: &str) -> Author {
    Author {
        id: id.into(),
        at_ms: 5,
        by: "ops".into(),
        why: String::new(),
        restores: None,
    }
}

fn quota(cpus: f64, cpus_max: f64) -> Quota {
    Quota {
        cpus,
        cpus_max,
        ..Quota::default()
    }
}

fn change(seen: u64, teams: &[(&str, TeamChange)]) -> ConfigurationChange {
    let teams = teams
        .iter()
        .map(|(n, c)| (n.to_string(), c.clone()))
        .collect();
    ConfigurationChange {
        seen: Version(seen),
        teams,
        restore_version: None,
        why: "quarter".into(),
    }
}

/// The contents of the key-value store after a plan is written.
fn apply_plan(mut snapshot: Snapshot, plan: ChangePlan) -> Snapshot {
    let version = plan.head.version;
    snapshot
        .overlay
        .retain(|team, _| !plan.chunks.contains_key(&chunk_of(team)));
    for chunk in plan.chunks.into_values() {
        snapshot.overlay.extend(chunk.teams);
    }
    let before = plan
        .record
        .into_iter()
        .flat_map(|part| part.before)
        .collect();
    snapshot.records.insert(
        version,
        Record {
            author: plan.head.author.clone(),
            before,
        },
    );
    if let Some(old) = plan.expired {
        snapshot.records.remove(&old);
    }
    snapshot.head = Some(plan.head);
    snapshot
}

fn apply_change(snapshot: Snapshot, change: &ConfigurationChange) -> Snapshot {
    let plan = change
        .plan(&snapshot, &base(), author("x"))
        .expect("a valid change");
    apply_plan(snapshot, plan)
}

fn limit(snapshot: &Snapshot, team: &str) -> f64 {
    let teams = snapshot.effective(&base());
    teams
        .iter()
        .find(|t| t.name == team)
        .map_or(-1.0, |t| t.quota.cpus_max)
}

#[test]
fn empty_overlay_leaves_settings_in_effect() {
    let teams = Snapshot::default().effective(&base());
    let expected: Vec<Quota> = base().iter().map(Quota::from).collect();
    assert_eq!(teams.iter().map(|t| t.quota).collect::<Vec<_>>(), expected);
    assert!(teams.iter().all(|t| !t.removed));
}

#[test]
fn second_change_of_the_same_version_conflicts() {
    let snapshot = Snapshot::default();
    let first = change(0, &[("one", TeamChange::Set(quota(5.0, 20.0)))]);
    let snapshot = apply_change(snapshot, &first);
    assert_eq!(
        (snapshot.version(), limit(&snapshot, "one")),
        (Version(1), 20.0)
    );
    let second = change(0, &[("one", TeamChange::Set(quota(5.0, 30.0)))]);
    let refusal = second
        .plan(&snapshot, &base(), author("y"))
        .expect_err("a conflict");
    assert_eq!(
        refusal,
        ChangeError::VersionConflict {
            seen: Version(0),
            current: Version(1)
        }
    );
}

#[test]
fn batch_with_one_invalid_team_changes_nothing() {
    let valid = ("one", TeamChange::Set(quota(1.0, 2.0)));
    let invalid = ("three", TeamChange::Set(quota(1.0, 2.0)));
    let refusal =
        change(0, &[valid.clone(), invalid]).plan(&Snapshot::default(), &base(), author("x"));
    assert_eq!(refusal, Err(ChangeError::UnknownTeam("three".into())));
    let many: Vec<(String, TeamChange)> = (0..240)
        .map(|n| (format!("t-{n}"), TeamChange::Add(quota(1.0, 9.0))))
        .collect();
    let many: Vec<(&str, TeamChange)> = many.iter().map(|(n, c)| (n.as_str(), c.clone())).collect();
    let plan = change(0, &many)
        .plan(&Snapshot::default(), &base(), author("x"))
        .expect("a valid change");
    let writes = 1 + plan.chunks.len() + plan.record.len();
    assert!(
        writes <= 20,
        "{writes} writes: a quarterly quota change fits into one transaction"
    );
    assert_eq!(
        apply_plan(Snapshot::default(), plan)
            .effective(&base())
            .len(),
        242
    );
}

#[test]
fn invalid_change_is_refused_with_explanation() {
    let cases: Vec<(ConfigurationChange, &str)> = vec![
        (change(0, &[]), "names no team"),
        (
            change(0, &[("three", TeamChange::Remove)]),
            "`add` makes one",
        ),
        (
            change(0, &[("one", TeamChange::Add(quota(0.0, 1.0)))]),
            "`set` changes it",
        ),
        (
            change(0, &[("a b", TeamChange::Add(quota(0.0, 1.0)))]),
            "no name of a team",
        ),
        (
            change(0, &[("one", TeamChange::Set(quota(5.0, 4.0)))]),
            "raise the limit",
        ),
        (
            change(0, &[("one", TeamChange::Set(quota(-1.0, 4.0)))]),
            "cpus: it must be finite",
        ),
        (
            change(0, &[("one", TeamChange::Set(quota(f64::NAN, 4.0)))]),
            "finite",
        ),
        (
            change(0, &[("one", TeamChange::Set(quota(0.0, f64::INFINITY)))]),
            "cpus_max",
        ),
        (
            change(0, &[("three", TeamChange::Restore)]),
            "there is no team three",
        ),
        (change(1, &[("one", TeamChange::Remove)]), "look again"),
        (
            change(0, &[("one", TeamChange::Restore)]),
            "in force already",
        ),
        (
            ConfigurationChange {
                why: "x".repeat(201),
                ..change(0, &[("one", TeamChange::Remove)])
            },
            "reason",
        ),
        (
            ConfigurationChange {
                restore_version: Some(Version(3)),
                ..change(0, &[])
            },
            "version 3 is not kept",
        ),
    ];
    for (change, expected_text) in cases {
        let refusal = change
            .plan(&Snapshot::default(), &base(), author("x"))
            .expect_err(expected_text);
        assert!(refusal.to_string().contains(expected_text), "{refusal}");
    }
}

#[test]
fn removed_team_keeps_quota_and_can_be_added_again() {
    let snapshot = apply_change(
        Snapshot::default(),
        &change(0, &[("one", TeamChange::Remove)]),
    );
    let one = snapshot
        .effective(&base())
        .into_iter()
        .find(|t| t.name == "one")
        .expect("the team remains in effect");
    assert!(one.removed && one.quota.cpus_max == 40.0);
    let again = change(1, &[("one", TeamChange::Set(quota(1.0, 2.0)))]);
    assert!(
        again.plan(&snapshot, &base(), author("x")).is_err(),
        "a removed team cannot be changed"
    );
    let snapshot = apply_change(
        snapshot,
        &change(1, &[("one", TeamChange::Add(quota(1.0, 2.0)))]),
    );
    assert!(!snapshot.effective(&base())[0].removed);
}

#[test]
fn retained_version_is_restored_as_new_version() {
    let mut snapshot = Snapshot::default();
    for n in 1..=30u32 {
        let teams = [("one", TeamChange::Set(quota(0.0, 100.0 + f64::from(n))))];
        snapshot = apply_change(snapshot, &change(u64::from(n) - 1, &teams));
    }
    let restoration = |to| ConfigurationChange {
        restore_version: Some(Version(to)),
        ..change(30, &[])
    };
    let restored = apply_change(snapshot.clone(), &restoration(20));
    assert_eq!(
        (restored.version(), limit(&restored, "one")),
        (Version(31), 120.0)
    );
    assert_eq!(
        restored.head.expect("a head").author.restores,
        Some(Version(20))
    );
    let oldest = 30 - MAX_RETAINED_VERSIONS as u64;
    assert!(restoration(oldest)
        .plan(&snapshot, &base(), author("x"))
        .is_ok());
    let refusal = restoration(oldest - 1).plan(&snapshot, &base(), author("x"));
    assert_eq!(
        refusal,
        Err(ChangeError::VersionNotRetained(Version(oldest - 1)))
    );
}

/// Fields that a newer release wrote are preserved.
#[test]
fn unknown_fields_of_head_are_written_back() {
    let mut snapshot = apply_change(
        Snapshot::default(),
        &change(0, &[("one", TeamChange::Remove)]),
    );
    let head = snapshot.head.as_mut().expect("a head");
    head.unknown
        .insert("later".into(), ciborium::Value::from(7));
    let snapshot = apply_change(snapshot, &change(1, &[("two", TeamChange::Remove)]));
    let value = beamhinge_core::wire::to_value(&snapshot.head.expect("a head"));
    let read: Head = beamhinge_core::wire::from_value(&value).expect("read");
    assert_eq!(read.unknown.get("later"), Some(&ciborium::Value::from(7)));
}

#[test]
fn guarantees_above_fleet_are_reported() {
    let teams = Snapshot::default().effective(&base());
    assert_eq!(guaranteed_cpus_above_fleet(&teams, 9.0), Some(10.0));
    assert_eq!(guaranteed_cpus_above_fleet(&teams, 10.0), None);
}

/// Guards against a former fault: restoring a version from before a team was added deleted the
/// team, and its open jobs had no limit.
#[test]
fn restored_version_marks_later_team_removed_and_keeps_its_quota() {
    let snapshot = apply_change(
        Snapshot::default(),
        &change(0, &[("new", TeamChange::Add(quota(0.0, 5.0)))]),
    );
    let restoration = ConfigurationChange {
        restore_version: Some(Version(0)),
        ..change(1, &[])
    };
    let snapshot = apply_change(snapshot, &restoration);
    let new = snapshot
        .effective(&base())
        .into_iter()
        .find(|t| t.name == "new")
        .expect("the team remains in effect");
    assert!(new.removed && new.quota.cpus_max == 5.0);
    // Restoring the same version again changes nothing.
    let again = ConfigurationChange {
        seen: Version(2),
        ..restoration
    };
    assert_eq!(
        again.plan(&snapshot, &base(), author("x")),
        Err(ChangeError::Unchanged)
    );
}
