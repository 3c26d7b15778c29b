use super::*;
use serde_json::json;

fn new_replica() -> ReplicaCache {
    ReplicaCache::new(ReplicaConfig {
        prefix: "o/",
        tag: Tag::Directives,
        watch_wait_s: 10.0,
        watch_priority: Priority::Read,
        max_age_s: 30.0,
    })
}

/// Applies a reply; returns the changed keys, and whether each exists after the change.
fn apply_reply(
    replica: &mut ReplicaCache,
    call: ReplicaCall,
    body: &serde_json::Value,
) -> Vec<(String, bool)> {
    let at = Time::from_micros(1_000_000);
    let outcome = Outcome::Ok(wire::encode(body));
    let update = replica.on_reply(
        at,
        call,
        Reply {
            tag: Tag::Directives(call),
            outcome,
            sent_at: at,
        },
    );
    update
        .changes
        .into_iter()
        .map(|change| (change.key, change.value.is_some()))
        .collect()
}

/// Guards against a lifted directive that takes effect again in one controller's replica because
/// an older watch response arrives last.
#[test]
fn late_watch_response_does_not_restore_deleted_key() {
    let mut replica = new_replica();
    replica.scan = Some(ScanState {
        in_flight: true,
        after: None,
        revision: None,
        started: Time::default(),
    });
    let page = json!({"pairs": [], "more": false, "ledgerRev": 3});
    assert!(apply_reply(&mut replica, ReplicaCall::Scan, &page).is_empty() && replica.loaded());
    // The key is written at revision 4 and deleted at 5. The response that includes both changes
    // arrives first.
    let deleted = json!({"ledgerRev": 5, "news": [{"delete": "o/zone/a", "stamp": 5}]});
    assert_eq!(
        apply_reply(&mut replica, ReplicaCall::Refresh, &deleted),
        [("o/zone/a".to_string(), false)]
    );
    let written = json!({"ledgerRev": 4, "news": [{"write": "o/zone/a", "value": 1, "stamp": 4}]});
    assert!(apply_reply(&mut replica, ReplicaCall::Watch, &written).is_empty());
    let newer = json!({"ledgerRev": 6, "news": [{"write": "o/zone/a", "value": 1, "stamp": 6}]});
    assert_eq!(
        apply_reply(&mut replica, ReplicaCall::Watch, &newer),
        [("o/zone/a".to_string(), true)]
    );
}

/// Guards against a replica that counts as fresh but ignores all changes because its revision was
/// never issued by the store: the store rejects a watch from that revision, and the revision of
/// the next scan replaces it.
#[test]
fn revision_that_was_never_issued_is_replaced_by_the_scan() {
    let mut replica = new_replica();
    (replica.loaded, replica.revision) = (true, u64::MAX - 1);
    let at = Time::from_micros(1_000_000);
    let rejected = Reply {
        tag: Tag::Directives(ReplicaCall::Refresh),
        outcome: Outcome::Malformed,
        sent_at: at,
    };
    let update = replica.on_reply(at, ReplicaCall::Refresh, rejected);
    assert!(update.freshness == Freshness::Failed && !replica.loaded());
    replica.scan = Some(ScanState {
        in_flight: true,
        after: None,
        revision: None,
        started: at,
    });
    apply_reply(
        &mut replica,
        ReplicaCall::Scan,
        &json!({"pairs": [], "more": false, "ledgerRev": 3}),
    );
    let body = json!({"ledgerRev": 5, "news": [{"write": "o/zone/a", "value": 1, "stamp": 5}]});
    assert_eq!(
        apply_reply(&mut replica, ReplicaCall::Refresh, &body),
        [("o/zone/a".to_string(), true)]
    );
}

/// Guards against polling at a fixed rate: a replica that could not be read was once requested
/// five times a second for as long as the store was unavailable.
#[test]
fn unavailable_store_is_polled_with_growing_pauses() {
    let mut replica = new_replica();
    replica.loaded = true;
    let mut now = Time::from_micros(1_000_000);
    let mut pauses_s = Vec::new();
    for _ in 0..5 {
        let reply = Reply {
            tag: Tag::Directives(ReplicaCall::Refresh),
            outcome: Outcome::Refused,
            sent_at: now,
        };
        let update = replica.on_reply(now, ReplicaCall::Refresh, reply);
        assert_eq!(update.freshness, Freshness::Failed);
        let pause_s = (1..30)
            .map(|i| f64::from(i) * 0.1)
            .find(|pause_s| replica.backoff.is_due(now.plus(*pause_s)));
        pauses_s.push(pause_s.expect("a retry within 3 s"));
        now = now.plus(3.0);
    }
    assert_eq!(pauses_s, [0.2, 0.4, 0.8, 1.0, 1.0]);
    let body = json!({"ledgerRev": 1, "news": []});
    assert!(
        apply_reply(&mut replica, ReplicaCall::Refresh, &body).is_empty()
            && replica.backoff.refusals() == 0
    );
}

#[test]
fn watch_from_before_a_new_scan_is_ignored() {
    let mut replica = new_replica();
    replica.revision = 7;
    let old = json!({"ledgerRev": 9, "news": [{"delete": "o/zone/a", "stamp": 9}]});
    assert!(apply_reply(&mut replica, ReplicaCall::Watch, &old).is_empty());
    assert_eq!(
        replica.revision, 7,
        "the scan must return these changes again"
    );
}
