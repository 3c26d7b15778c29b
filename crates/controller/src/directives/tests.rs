use super::*;
use beamhinge_operators::directives::Afterwards;

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
fn the_most_exact_drain_decides() {
    let id = MachineId::parse("n-000007").expect("a name");
    let mut own = drain(Target::Machine("n-000007".into()));
    own.afterwards = Afterwards::Keep;
    let standing = Standing::of(vec![drain(Target::Zone("north".into())), own]);
    let found = standing.drain_of(id, "c8", "north").map(|d| d.afterwards);
    assert_eq!(found, Some(Afterwards::Keep));
    let other = MachineId::parse("n-000008").expect("a name");
    assert!(standing.drain_of(other, "c8", "north").is_some());
    assert!(standing.drain_of(other, "c8", "south").is_none());
}

/// A transaction that sets a directive and comes minutes late, after it was
/// set again and lifted, once would have set it a second time.
#[test]
fn a_lifted_directive_keeps_its_key_and_version() {
    use beamhinge_vocab::messages::Out;
    use beamhinge_vocab::settings::{Settings, SAMPLE};
    let settings = Settings::parse("t", SAMPLE).expect("sound");
    let mut ledger: Ledger<Tag> = Ledger::new(&settings);
    let mut d = Directives::default();
    let target = Target::Team("one".into());
    let standing = Rc::new(drain(target.clone()));
    d.entries.insert(target.clone(), (Stamp(7), Some(standing)));
    let at = Time::from_micros(100_000_000);
    let body = wire::encode(&serde_json::json!({"pairs": [], "ledgerRev": 7}));
    d.mirror.tick(at, false, false, &mut ledger);
    let tag = Tag::Directives(MirrorCall::Scan);
    let kept = d.entries.clone();
    let reply = Reply { tag, outcome: Outcome::Ok(body), sent: at.plus(1.0) };
    d.on_reply(at.plus(1.0), MirrorCall::Scan, reply);
    d.entries = kept;
    let change = Change {
        target,
        set: false,
        within_s: None,
        afterwards: Afterwards::Return,
        note: String::new(),
    };
    assert!(d.change(at, RequestId { slot: 0, generation: 1 }, change, "night".into()));
    let mut told = Vec::new();
    d.tick(at.plus(1.0), WallMs(1), false, &mut ledger, &mut told);
    let (mut calls, mut out) = (0, Vec::new());
    ledger.pump(at.plus(2.0), &mut calls, &mut out);
    let commit = out.iter().find_map(|o| match o {
        Out::Call { path, body, .. } if path == "/commit" => Some(body),
        _ => None,
    });
    let commit: serde_json::Value = wire::decode(commit.expect("sent")).expect("CBOR");
    assert_eq!(commit["when"][0]["stamp"], 7);
    assert_eq!(commit["then"][0]["write"], "o/team/one", "written, not deleted: {commit}");
    assert!(commit["then"][0]["value"]["directive"].is_null());
}

#[test]
fn keys_name_their_targets() {
    for t in [Target::Machine("n-1".into()), Target::Team("two".into())] {
        assert_eq!(target(&key(&t)), Some(t));
    }
    assert_eq!(target("o/planet/mars"), None);
    assert_eq!(Target::parse("zone", "a b"), None);
}
