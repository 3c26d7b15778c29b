use super::*;
use ciborium::Value;

#[test]
fn lease_renewal_is_sent_before_polls_within_the_rate() {
    let settings = beamhinge_core::settings::SAMPLE;
    let settings = Settings::parse("t", settings).expect("valid settings");
    let mut store: StoreClient<u32> = StoreClient::new(&settings);
    store.set_rate_share(0.1, 1.0);
    let (mut calls, mut out) = (0, Vec::new());
    let start = Time::from_micros(10_000_000);
    for i in 0..30 {
        store.scan(start, Priority::Read, i, "j/", None);
    }
    store.renew_lease(start, 99, 7);
    store.flush(start, &mut calls, &mut out);
    assert!(
        out.len() <= 10,
        "sent {} requests, more than the rate allows in one second",
        out.len()
    );
    assert!(matches!(&out[0], Effect::Call { path, .. } if path == "/holds/7/renew"));
    store.flush(start.plus(2.0), &mut calls, &mut out);
    assert!(out.len() <= 20);
    assert!(
        !store.take_refused().is_empty(),
        "requests that waited too long are refused"
    );
}

#[test]
fn lost_reply_is_indeterminate_and_not_refused() {
    let settings = Settings::parse("t", beamhinge_core::settings::SAMPLE).expect("valid settings");
    let mut store: StoreClient<u32> = StoreClient::new(&settings);
    let (mut calls, mut out) = (0, Vec::new());
    let now = Time::from_micros(5_000_000);
    for i in 0..3 {
        store.renew_lease(now, i, 1);
    }
    store.flush(now, &mut calls, &mut out);
    let outcome = |store: &mut StoreClient<u32>, id, result| {
        store
            .on_reply(CallId(id), result)
            .map(|reply| reply.outcome)
    };
    assert!(matches!(
        outcome(&mut store, 1, None),
        Some(Outcome::Indeterminate)
    ));
    assert!(matches!(
        outcome(&mut store, 2, Some((503, vec![]))),
        Some(Outcome::Refused)
    ));
    assert!(matches!(
        outcome(&mut store, 3, Some((502, vec![]))),
        Some(Outcome::Indeterminate)
    ));
}

/// A reply to a call that is not in flight, such as a duplicate or the reply to a call of an
/// earlier process, is dropped and does not count as a response of the store.
#[test]
fn reply_to_unknown_call_is_dropped() {
    let settings = Settings::parse("t", beamhinge_core::settings::SAMPLE).expect("valid settings");
    let mut store: StoreClient<u32> = StoreClient::new(&settings);
    let (mut calls, mut out) = (0, Vec::new());
    store.renew_lease(Time::from_micros(5_000_000), 1, 1);
    store.flush(Time::from_micros(5_000_000), &mut calls, &mut out);
    for id in [0, 2, u64::MAX] {
        assert!(store.on_reply(CallId(id), Some((200, vec![]))).is_none());
    }
    assert_eq!((store.last_success(), store.last_response()), (None, None));
    assert!(store.on_reply(CallId(1), Some((200, vec![]))).is_some());
    assert!(store.on_reply(CallId(1), Some((200, vec![]))).is_none());
}

/// Pins method, path and body of every call to the key-value store.
#[test]
fn calls_to_the_store_keep_their_wire_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/calls-to-state.hex");
    let settings = Settings::parse("t", beamhinge_core::settings::SAMPLE).expect("valid settings");
    let mut store: StoreClient<u32> = StoreClient::new(&settings);
    let now = Time::from_micros(5_000_000);
    let mut transaction = store.transaction();
    transaction
        .require("block/0", beamhinge_core::types::Revision(41))
        .expect("within the limits");
    let value = wire::to_value(&serde_json::json!({"a": 1.5}));
    transaction
        .put(
            "lead/now",
            beamhinge_core::types::Revision(0),
            value,
            Some(7),
        )
        .expect("within the limits");
    transaction
        .put(
            "p/41-1",
            beamhinge_core::types::Revision(9),
            Value::Null,
            None,
        )
        .expect("within the limits");
    transaction
        .delete("p/41-2", beamhinge_core::types::Revision(10))
        .expect("within the limits");
    let mut check = store.transaction();
    check
        .require("block/0", beamhinge_core::types::Revision(41))
        .expect("within the limits");
    store.commit(now, Priority::Lease, 1, transaction);
    store.commit(now, Priority::Lease, 2, check);
    store.grant_lease(now, 3, 5.25);
    store.renew_lease(now, 4, 70_000);
    store.revoke_lease(now, 5, 70_000);
    store.scan(now, Priority::Lease, 6, "c/", None);
    store.scan(now, Priority::Lease, 7, "c/", Some("c/t/7"));
    store.watch(now, Priority::Lease, 8, "j/", 431, 2.5);
    let (mut calls, mut out) = (0, Vec::new());
    store.flush(now, &mut calls, &mut out);
    assert_eq!(out.len(), 8);
    for call in out {
        let Effect::Call {
            destination: Destination::KeyValueStore,
            method,
            path,
            body,
            ..
        } = call
        else {
            panic!("{call:?}")
        };
        golden.bytes(&format!("{} {path}", method.name()), &body);
    }
    golden.check();
}

#[test]
fn responses_of_the_store_are_decoded_field_by_field() {
    fn read<T: serde::de::DeserializeOwned>(body: &serde_json::Value) -> T {
        wire::decode(&wire::encode(body)).expect("a valid response")
    }
    let scan: ScanResponse = read(
        &serde_json::json!({"pairs": [{"path": "a/b", "value": "kept",
        "stamp": 412, "permit": 7}], "more": true, "ledgerRev": 431}),
    );
    let entry = &scan.entries[0];
    assert_eq!(
        (scan.revision, scan.more, entry.key.as_str(), entry.revision),
        (431, true, "a/b", 412)
    );
    assert_eq!(entry.value.as_text(), Some("kept"));
    let watch: WatchResponse = read(&serde_json::json!({"ledgerRev": 433, "news": [
        {"write": "c/9", "value": "new", "stamp": 433}, {"delete": "c/d", "stamp": 432}]}));
    let (write, delete) = (&watch.events[0], &watch.events[1]);
    assert_eq!(
        (watch.revision, write.write.as_deref(), write.revision),
        (433, Some("c/9"), 433)
    );
    assert_eq!(write.value.as_ref().and_then(Value::as_text), Some("new"));
    assert_eq!(
        (delete.delete.as_deref(), delete.revision, &delete.write),
        (Some("c/d"), 432, &None)
    );
    assert_eq!(
        read::<LeaseResponse>(&serde_json::json!({"permit": 7})).lease_id,
        7
    );
    assert_eq!(
        read::<CommitResponse>(&serde_json::json!({"ledgerRev": 432})).revision,
        432
    );
    let failed: ErrorResponse = read(&serde_json::json!({"failed": ["a/b"], "ledgerRev": 431}));
    assert_eq!(failed.failed, ["a/b"]);
    let failed: ErrorResponse = read(&serde_json::json!({"error": "no such lease"}));
    assert_eq!(failed.error.as_deref(), Some("no such lease"));
}
