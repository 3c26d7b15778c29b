use super::*;

fn want(pool: f64, ready: f64, short: f64, ordinary: f64) -> Want {
    Want {
        pool,
        timely: 0.0,
        ready,
        short,
        ordinary,
    }
}

#[test]
fn ordinary_machines_are_bought_only_where_spot_is_refused() {
    assert_eq!(
        machines_wanted(&want(6.5, 0.0, 2.5, 0.0), 0.0, 0.0, false),
        (7, 0)
    );
    assert_eq!(
        machines_wanted(&want(6.5, 0.0, 2.5, 0.0), 2.0, 0.0, true),
        (7, 3)
    );
    assert_eq!(
        machines_wanted(&want(6.5, 0.0, 0.0, 0.0), 2.0, 0.0, true),
        (7, 0)
    );
}

#[test]
fn ordinary_machines_that_are_there_take_part_of_the_work() {
    assert_eq!(
        machines_wanted(&want(4.0, 0.0, 0.0, 1.0), 0.0, 3.0, false),
        (2, 3)
    );
    assert_eq!(
        machines_wanted(&want(0.0, 0.0, 0.0, 0.0), 3.0, 3.0, false),
        (0, 0)
    );
    assert_eq!(
        machines_wanted(&want(4.0, 1.0, 0.0, 0.0), 4.0, 1.0, false),
        (5, 0)
    );
}

fn rentals() -> RentalRecord {
    RentalRecord {
        v: 1,
        rentals: vec![RentalRow {
            name: "r-41-7".into(),
            machine_type: "g8".into(),
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
    golden.stored(
        "without spans",
        &RentalRecord {
            spans: Vec::new(),
            ..rentals()
        },
    );
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

#[test]
fn calls_to_the_cloud_keep_their_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/calls-to-cloud.hex");
    let rent = RentBody {
        rental: "r-41-7",
        machine_type: "g8",
        yard: "a",
        loaners: true,
        how_many: 12,
    };
    golden.bytes("rent", &wire::encode(&rent));
    let release = ReleaseBody {
        hosts: vec!["n-000231".into(), "n-000232".into()],
    };
    golden.bytes("release", &wire::encode(&release));
    golden.check();
}

#[test]
fn answers_of_the_cloud_are_read_field_by_field() {
    fn read<T: serde::de::DeserializeOwned>(body: serde_json::Value) -> T {
        wire::decode(&wire::encode(&body)).expect("an answer")
    }
    let flavors: Flavors = read(serde_json::json!({"shapes": [{"label": "g8", "vcpus": 96,
        "cards": 8, "memoryGb": 768, "cacheGb": 200, "fetchGbPerS": 1.5, "rate": 12.0,
        "lowPrice": 4.5, "bootS": 45, "yards": ["a", "b"]}]}));
    let f = &flavors.machine_types[0];
    let sizes = (f.vcpus, f.cards, f.memory_gb, f.cache_gb, f.fetch_gb_per_s);
    assert_eq!(
        (f.label.as_str(), sizes),
        ("g8", (96.0, 8.0, 768.0, 200.0, 1.5))
    );
    assert_eq!((f.rate, f.low_price, f.boot_s), (12.0, 4.5, 45.0));
    assert_eq!(f.yards, ["a", "b"]);
    let list: HostList = read(serde_json::json!({"hosts": [{"nameId": "n-000231",
        "endpoint": "10.1.0.232:9000", "shape": "g8", "yard": "a", "loaners": true,
        "status": "running", "heldS": 61.5}], "more": true}));
    let h = &list.hosts[0];
    let names = (
        h.name_id.as_str(),
        h.machine_type.as_str(),
        h.yard.as_str(),
        h.status.as_str(),
    );
    assert_eq!(names, ("n-000231", "g8", "a", "running"));
    assert_eq!(h.endpoint.as_deref(), Some("10.1.0.232:9000"));
    assert_eq!((h.loaners, h.held_s, list.more), (true, 61.5, true));
    let rented: Rented = read(serde_json::json!({"hosts": ["n-000231"]}));
    assert_eq!(rented.hosts, ["n-000231"]);
}
