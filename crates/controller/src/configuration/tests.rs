use super::stored_copy::{chunk_key, record_key};
use super::*;
use crate::replica::ReplicaChange as Changed;
use beamhinge_configuration::stored::{chunk_of, Chunk, Head, RecordPart, TeamState, CHUNKS};
use beamhinge_configuration::Quota;
use beamhinge_core::settings;
use serde::Serialize;
use std::collections::BTreeMap;

fn configuration() -> Configuration {
    let settings = Settings::parse("t", settings::SAMPLE).expect("valid settings");
    let mut configuration = Configuration::new(&settings, true, 7);
    configuration.settings_teams[0].cpus_max = 8.0;
    configuration.refresh_effective();
    configuration
}

fn changed<T: Serialize>(path: &str, revision: u64, value: &T) -> Changed {
    Changed {
        key: path.into(),
        revision,
        value: Some(wire::to_value(value)),
    }
}

fn head(version: u64) -> Head {
    let author = Author {
        id: "x".into(),
        at_ms: 1,
        by: "ops".into(),
        why: "y".into(),
        restores: None,
    };
    Head {
        v: FORMAT_VERSION,
        version: Version(version),
        author,
        unknown: BTreeMap::new(),
    }
}

/// Key and value of a chunk that sets the CPU limit of the first team.
fn chunk(configuration: &Configuration, cpus_max: f64) -> (String, Chunk) {
    let team = configuration.settings_teams[0].name.clone();
    let quota = Quota {
        cpus_max,
        ..Quota::default()
    };
    let path = chunk_key(chunk_of(&team));
    let teams = BTreeMap::from([(
        team,
        TeamState {
            quota,
            removed: false,
        },
    )]);
    (
        path,
        Chunk {
            v: FORMAT_VERSION,
            teams,
        },
    )
}

fn limit(configuration: &Configuration) -> f64 {
    configuration.effective().teams[0].quota.cpus_max
}

/// A chunk that is read before its head belongs to a change that has been read only in part.
#[test]
fn chunk_newer_than_head_does_not_take_effect() {
    let mut c = configuration();
    let (path, value) = chunk(&c, 4.0);
    c.stored.apply(&changed(&path, 10, &value));
    c.refresh_effective();
    assert_eq!((c.effective().version, limit(&c)), (Version(0), 8.0));
    c.stored.apply(&changed(HEAD, 10, &head(1)));
    c.refresh_effective();
    assert_eq!((c.effective().version, limit(&c)), (Version(1), 4.0));
    // An older value that arrives later is ignored.
    let (path, value) = chunk(&c, 9.0);
    c.stored.apply(&changed(&path, 9, &value));
    c.refresh_effective();
    assert_eq!(limit(&c), 4.0);
}

#[test]
fn head_of_unknown_format_makes_configuration_unreadable() {
    let mut c = configuration();
    c.stored.apply(&changed(
        HEAD,
        5,
        &Head {
            v: FORMAT_VERSION + 1,
            ..head(3)
        },
    ));
    c.refresh_effective();
    assert!(c.stored.unreadable && c.fresh_as_of().is_none() && limit(&c) == 8.0);
    // A key of an unknown kind belongs to a newer program version and is ignored.
    let mut c = configuration();
    c.stored.apply(&changed("c/later/thing", 5, &1));
    assert!(!c.stored.unreadable);
}

#[test]
fn change_is_in_force_once_every_controller_registers_its_version() {
    let mut c = configuration();
    c.stored.apply(&changed(HEAD, 5, &head(2)));
    let controller_labels = c.controller_labels.clone();
    let member = |version, at_ms| Member {
        v: FORMAT_VERSION,
        version: Version(version),
        nonce: 1,
        at_ms,
    };
    for label in &controller_labels {
        c.stored
            .apply(&changed(&member_key(label), 6, &member(1, 100)));
    }
    c.refresh_effective();
    assert_eq!(c.rollout().behind.len(), controller_labels.len());
    for (n, label) in controller_labels.iter().enumerate() {
        assert_eq!(c.rollout().everywhere_since_ms, None);
        c.stored
            .apply(&changed(&member_key(label), 7, &member(2, 200 + n as u64)));
    }
    let last = 200 + controller_labels.len() as u64 - 1;
    assert_eq!(c.rollout().everywhere_since_ms, Some(last));
    // A controller whose session lease expired is listed as behind.
    c.stored.apply(&Changed {
        key: member_key(&controller_labels[0]),
        revision: 8,
        value: None,
    });
    assert_eq!(c.rollout().behind, [(controller_labels[0].clone(), None)]);
}

#[test]
fn placements_are_conditional_on_head_where_configuration_is_enabled() {
    let mut c = configuration();
    assert_eq!(
        c.condition(),
        Some((HEAD, Revision(0))),
        "placements are conditional before the first change too"
    );
    c.stored.apply(&changed(HEAD, 5, &head(1)));
    c.refresh_effective();
    assert_eq!(c.condition(), Some((HEAD, Revision(5))));
    assert_eq!(
        c.starts_allowed_until(),
        Some(Time::default()),
        "no start is allowed before the replica is loaded"
    );
    let settings = Settings::parse("t", settings::SAMPLE).expect("valid settings");
    let off = Configuration::new(&settings, false, 7);
    assert!(off.condition().is_none() && off.starts_allowed_until().is_none() && off.is_ready());
}

/// The author of a change, with every field set.
fn full_author(restores: Option<Version>) -> Author {
    Author {
        id: "a1b2".into(),
        at_ms: 1_700_000_000_123,
        by: "alice".into(),
        why: "more cards".into(),
        restores,
    }
}

/// A stored team with every field set.
fn full_team(removed: bool) -> TeamState {
    TeamState {
        quota: Quota {
            cpus: 16.5,
            cpus_max: 32.5,
            gpus: 1.5,
            gpus_max: 2.5,
        },
        removed,
    }
}

#[test]
fn stored_configuration_matches_golden_file() {
    let mut golden = crate::golden::Golden::new("tests/golden/configuration.hex");
    let keys = [
        HEAD.into(),
        chunk_key(7),
        record_key(41, 2),
        member_key("north-1"),
    ];
    golden.text("keys", &format!("{PREFIX} {}", keys.join(" ")));
    golden.text(
        "chunks of teams",
        &format!("{CHUNKS} {:?}", ["one", "two", "vision"].map(chunk_of)),
    );
    let unknown = [("later".to_string(), wire::to_value(&"kept"))];
    let head = Head {
        v: FORMAT_VERSION,
        version: Version(41),
        author: full_author(None),
        unknown: [].into(),
    };
    golden.stored("head", &head);
    let restored = Head {
        author: full_author(Some(Version(39))),
        unknown: unknown.into(),
        ..head
    };
    golden.stored("head that restores", &restored);
    let teams = [
        ("one".to_string(), full_team(false)),
        ("two".to_string(), full_team(true)),
    ];
    golden.stored(
        "chunk",
        &Chunk {
            v: FORMAT_VERSION,
            teams: teams.into(),
        },
    );
    let before = [
        ("one".to_string(), Some(full_team(true))),
        ("two".to_string(), None),
    ];
    let part = RecordPart {
        v: FORMAT_VERSION,
        author: full_author(None),
        parts: 3,
        before: before.into(),
    };
    golden.stored("part of a record", &part);
    let member = Member {
        v: FORMAT_VERSION,
        version: Version(41),
        nonce: 70_000,
        at_ms: 1_700_000_000_456,
    };
    golden.stored("member", &member);
    golden.check();
}
