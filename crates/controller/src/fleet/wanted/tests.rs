use super::*;

fn want(pool: f64, ready: f64, short: f64, ordinary: f64) -> Want {
    Want { pool, timely: 0.0, ready, short, ordinary }
}

#[test]
fn ordinary_machines_are_bought_only_where_spot_is_refused() {
    assert_eq!(machines_wanted(&want(6.5, 0.0, 2.5, 0.0), 0.0, 0.0, false), (7, 0));
    assert_eq!(machines_wanted(&want(6.5, 0.0, 2.5, 0.0), 2.0, 0.0, true), (7, 3));
    assert_eq!(machines_wanted(&want(6.5, 0.0, 0.0, 0.0), 2.0, 0.0, true), (7, 0));
}

#[test]
fn ordinary_machines_that_are_there_take_part_of_the_work() {
    assert_eq!(machines_wanted(&want(4.0, 0.0, 0.0, 1.0), 0.0, 3.0, false), (2, 3));
    assert_eq!(machines_wanted(&want(0.0, 0.0, 0.0, 0.0), 3.0, 3.0, false), (0, 0));
    assert_eq!(machines_wanted(&want(4.0, 1.0, 0.0, 0.0), 4.0, 1.0, false), (5, 0));
}

fn rentals() -> RentalRecord {
    RentalRecord {
        v: 1,
        rentals: vec![RentalRow {
            name: "r-41-7".into(),
            shape: "g8".into(),
            zone: "a".into(),
            spot: true,
            count: 12,
        }],
        owned: vec!["n-000003".into()],
        spans: vec![("n-000005".into(), "n-000007".into())],
    }
}

#[test]
fn stored_rentals_keep_their_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/rentals.hex");
    golden.text("keys", &format!("{RENTALS_KEY} {RENTALS_PREFIX}"));
    golden.stored("rentals", &rentals());
    golden.stored("without spans", &RentalRecord { spans: Vec::new(), ..rentals() });
    golden.check();
}

/// Earlier versions stored neither owned machines nor spans of them.
#[test]
fn stored_rentals_are_read_field_by_field() {
    let mut stored = serde_json::json!({"v": 1, "rentals": [{"name": "r-41-7", "shape": "g8",
        "zone": "a", "spot": true, "count": 12}], "owned": ["n-000003"],
        "spans": [["n-000005", "n-000007"]]});
    let read: RentalRecord = wire::decode(&wire::encode(&stored)).expect("a record");
    assert_eq!(wire::to_value(&read), wire::to_value(&rentals()));
    assert_eq!(read.owned().len(), 4);
    for later in ["owned", "spans"] {
        stored.as_object_mut().expect("a map").remove(later);
    }
    let read: RentalRecord = wire::decode(&wire::encode(&stored)).expect("a record");
    assert!(read.owned().is_empty() && read.rentals.len() == 1);
}
