use super::*;
use beamhinge_core::wire;

fn sample_record() -> RentalRecord {
    RentalRecord {
        version: 1,
        rentals: vec![RentalEntry {
            name: "r-41-7".into(),
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
            count: 12,
        }],
        owned: vec!["n-000003".into()],
        owned_ranges: vec![("n-000005".into(), "n-000007".into())],
    }
}

#[test]
fn stored_record_matches_golden_file() {
    let mut golden = crate::golden::Golden::new("tests/golden/rentals.hex");
    golden.text("keys", &format!("{RENTALS_KEY} {RENTALS_PREFIX}"));
    golden.stored("rentals", &sample_record());
    golden.stored(
        "without spans",
        &RentalRecord {
            owned_ranges: Vec::new(),
            ..sample_record()
        },
    );
    golden.check();
}

/// Records of earlier versions contain neither owned machines nor ranges of them.
#[test]
fn stored_record_is_decoded_field_by_field() {
    let mut stored = serde_json::json!({"v": 1, "rentals": [{"name": "r-41-7", "shape": "g8",
        "zone": "a", "spot": true, "count": 12}], "owned": ["n-000003"],
        "spans": [["n-000005", "n-000007"]]});
    let decoded: RentalRecord = wire::decode(&wire::encode(&stored)).expect("decodable record");
    assert_eq!(wire::to_value(&decoded), wire::to_value(&sample_record()));
    assert_eq!(decoded.owned_machines().len(), 4);
    for optional_field in ["owned", "spans"] {
        stored
            .as_object_mut()
            .expect("JSON object")
            .remove(optional_field);
    }
    let decoded: RentalRecord = wire::decode(&wire::encode(&stored)).expect("decodable record");
    assert!(decoded.owned_machines().is_empty() && decoded.rentals.len() == 1);
}
