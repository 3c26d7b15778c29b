use super::*;

#[test]
fn request_bodies_match_golden_file() {
    let mut golden = crate::golden::Golden::new("tests/golden/calls-to-cloud.hex");
    let rent = ScaleOutRequest {
        rental: "r-41-7",
        machine_type: "g8",
        zone: "a",
        spot: true,
        count: 12,
    };
    golden.bytes("rent", &wire::encode(&rent));
    let release = ScaleInRequest {
        hosts: vec!["n-000231".into(), "n-000232".into()],
    };
    golden.bytes("release", &wire::encode(&release));
    golden.check();
}

#[test]
fn replies_are_decoded_field_by_field() {
    fn decode_reply<T: serde::de::DeserializeOwned>(body: &serde_json::Value) -> T {
        wire::decode(&wire::encode(body)).expect("decodable reply")
    }
    let catalog: Catalog =
        decode_reply(&serde_json::json!({"shapes": [{"label": "g8", "vcpus": 96,
        "cards": 8, "memoryGb": 768, "cacheGb": 200, "fetchGbPerS": 1.5, "rate": 12.0,
        "lowPrice": 4.5, "bootS": 45, "yards": ["a", "b"]}]}));
    let entry = &catalog.machine_types[0];
    let sizes = (
        entry.cpus,
        entry.gpus,
        entry.memory_gb,
        entry.cache_gb,
        entry.fetch_gb_per_s,
    );
    assert_eq!(
        (entry.label.as_str(), sizes),
        ("g8", (96.0, 8.0, 768.0, 200.0, 1.5))
    );
    assert_eq!(
        (entry.rate, entry.low_price, entry.boot_s),
        (12.0, 4.5, 45.0)
    );
    assert_eq!(entry.zones, ["a", "b"]);
    let list: HostList = decode_reply(&serde_json::json!({"hosts": [{"nameId": "n-000231",
        "endpoint": "10.1.0.232:9000", "shape": "g8", "yard": "a", "loaners": true,
        "status": "running", "heldS": 61.5}], "more": true}));
    let host = &list.hosts[0];
    let names = (
        host.name_id.as_str(),
        host.machine_type.as_str(),
        host.zone.as_str(),
        host.status.as_str(),
    );
    assert_eq!(names, ("n-000231", "g8", "a", "running"));
    assert_eq!(host.endpoint.as_deref(), Some("10.1.0.232:9000"));
    assert_eq!((host.spot, host.held_s, list.more), (true, 61.5, true));
    let rented: ScaleOutResponse = decode_reply(&serde_json::json!({"hosts": ["n-000231"]}));
    assert_eq!(rented.hosts, ["n-000231"]);
}
