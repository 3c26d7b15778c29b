use super::*;
use beamhinge_core::wire;

fn rentals() -> RentalRecord {
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
fn stored_rentals_keep_their_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/rentals.hex");
    golden.text("keys", &format!("{RENTALS_KEY} {RENTALS_PREFIX}"));
    golden.stored("rentals", &rentals());
    golden.stored(
        "without spans",
        &RentalRecord {
            owned_ranges: Vec::new(),
            ..rentals()
        },
    );
    golden.check();
}

/// Records of earlier versions contain neither owned machines nor ranges of them.
#[test]
fn stored_rentals_are_read_field_by_field() {
    let mut stored = serde_json::json!({"v": 1, "rentals": [{"name": "r-41-7", "shape": "g8",
        "zone": "a", "spot": true, "count": 12}], "owned": ["n-000003"],
        "spans": [["n-000005", "n-000007"]]});
    let read: RentalRecord = wire::decode(&wire::encode(&stored)).expect("a record");
    assert_eq!(wire::to_value(&read), wire::to_value(&rentals()));
    assert_eq!(read.owned_machines().len(), 4);
    for later in ["owned", "spans"] {
        stored.as_object_mut().expect("a map").remove(later);
    }
    let read: RentalRecord = wire::decode(&wire::encode(&stored)).expect("a record");
    assert!(read.owned_machines().is_empty() && read.rentals.len() == 1);
}
