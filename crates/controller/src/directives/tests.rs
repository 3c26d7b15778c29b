use super::*;
use beamhinge_admin_api::directives::Afterwards;
use beamhinge_core::types::MachineId;

fn drain(target: Target) -> Directive {
    Directive {
        target,
        since_ms: 0,
        within_s: None,
        afterwards: Afterwards::Return,
        by: String::new(),
        note: String::new(),
    }
}

#[test]
fn drain_of_machine_takes_precedence_over_drain_of_zone() {
    let id = MachineId::parse("n-000007").expect("a valid machine id");
    let mut machine_drain = drain(Target::Machine("n-000007".into()));
    machine_drain.afterwards = Afterwards::Keep;
    let active_directives =
        ActiveDirectives::of(vec![drain(Target::Zone("north".into())), machine_drain]);
    let found = active_directives
        .drain_of(id, "c8", "north")
        .map(|d| d.afterwards);
    assert_eq!(found, Some(Afterwards::Keep));
    let other_machine = MachineId::parse("n-000008").expect("a valid machine id");
    assert!(active_directives
        .drain_of(other_machine, "c8", "north")
        .is_some());
    assert!(active_directives
        .drain_of(other_machine, "c8", "south")
        .is_none());
}

/// Guards against a directive that is set again after it was lifted. When lifting deleted the key,
/// a transaction that arrived minutes late, after the directive was set again and lifted, would
/// have set it a second time.
#[test]
fn lifted_directive_keeps_its_key_and_revision() {
    use beamhinge_core::messages::Effect;
    use beamhinge_core::settings::{Settings, SAMPLE};
    let settings = Settings::parse("t", SAMPLE).expect("valid settings");
    let mut store: StoreClient<Tag> = StoreClient::new(&settings);
    let mut d = Directives::default();
    let target = Target::Team("one".into());
    let directive = Rc::new(drain(target.clone()));
    d.entries
        .insert(target.clone(), (Revision(7), Some(directive)));
    let at = Time::from_micros(100_000_000);
    let body = wire::encode(&serde_json::json!({"pairs": [], "ledgerRev": 7}));
    d.replica.tick(at, false, false, &mut store);
    let tag = Tag::Directives(ReplicaCall::Scan);
    let entries_before = d.entries.clone();
    let reply = Reply {
        tag,
        outcome: Outcome::Ok(body),
        sent_at: at.plus(1.0),
    };
    d.on_reply(at.plus(1.0), ReplicaCall::Scan, reply);
    d.entries = entries_before;
    let change = DirectiveChange {
        target,
        set: false,
        within_s: None,
        afterwards: Afterwards::Return,
        note: String::new(),
    };
    assert!(d.change(
        at,
        RequestId {
            slot: 0,
            generation: 1
        },
        change,
        "night".into()
    ));
    let mut responses = Vec::new();
    d.tick(at.plus(1.0), WallMs(1), false, &mut store, &mut responses);
    let (mut calls, mut out) = (0, Vec::new());
    store.flush(at.plus(2.0), &mut calls, &mut out);
    let commit = out.iter().find_map(|o| match o {
        Effect::Call { path, body, .. } if path == "/commit" => Some(body),
        _ => None,
    });
    let commit: serde_json::Value =
        wire::decode(commit.expect("a commit request was sent")).expect("valid CBOR");
    assert_eq!(commit["when"][0]["stamp"], 7);
    assert_eq!(
        commit["then"][0]["write"], "o/team/one",
        "lifting writes the key instead of deleting it: {commit}"
    );
    assert!(commit["then"][0]["value"]["directive"].is_null());
}

#[test]
fn key_of_target_parses_back() {
    for t in [Target::Machine("n-1".into()), Target::Team("two".into())] {
        assert_eq!(parse_key(&key(&t)), Some(t));
    }
    assert_eq!(parse_key("o/planet/mars"), None);
    assert_eq!(Target::parse("zone", "a b"), None);
}

#[test]
fn stored_directive_matches_golden_file() {
    let mut golden = crate::golden::Golden::new("tests/golden/directives.hex");
    let targets = ["machine", "shape", "zone", "node", "team", "class"];
    for (i, kind) in targets.into_iter().enumerate() {
        let target = Target::parse(kind, &format!("name-{i}")).expect(kind);
        golden.text(&format!("key of a {kind}"), &key(&target));
        assert_eq!(super::parse_key(&key(&target)), Some(target.clone()));
        let directive = Directive {
            since_ms: 1_700_000_000_000 + i as u64,
            within_s: (i > 0).then_some(30.5),
            afterwards: if i % 2 == 0 {
                Afterwards::Return
            } else {
                Afterwards::Keep
            },
            by: "alice".into(),
            note: "new fans".into(),
            ..drain(target)
        };
        golden.stored(
            kind,
            &DirectiveRecord {
                v: VERSION,
                directive: Some(directive),
            },
        );
    }
    golden.stored(
        "lifted",
        &DirectiveRecord {
            v: VERSION,
            directive: None,
        },
    );
    golden.check();
}

/// Optional fields may be absent from a stored directive.
#[test]
fn stored_directive_without_optional_fields_is_read() {
    let stored = serde_json::json!({"v": 1, "directive": {"target": {"zone": "a"}, "since_ms": 9}});
    let read: DirectiveRecord = wire::decode(&wire::encode(&stored)).expect("a record");
    assert_eq!(
        read.directive,
        Some(Directive {
            since_ms: 9,
            ..drain(Target::Zone("a".into()))
        })
    );
    let stored = serde_json::json!({"v": 1, "directive": {"target": {"machine": "n-1"},
        "since_ms": 9, "within_s": 2.5, "afterwards": "keep", "by": "bob", "note": "why"}});
    let read: DirectiveRecord = wire::decode(&wire::encode(&stored)).expect("a record");
    let directive = Directive {
        since_ms: 9,
        within_s: Some(2.5),
        afterwards: Afterwards::Keep,
        by: "bob".into(),
        note: "why".into(),
        ..drain(Target::Machine("n-1".into()))
    };
    assert_eq!(read.directive, Some(directive));
}
