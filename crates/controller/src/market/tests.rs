use super::*;

fn queued(count: u32, latest: Option<f64>) -> Queued {
    Queued {
        rank: (1, false),
        left_s: 0.0,
        cpus: 4.0,
        count,
        run_s: 20.0,
        latest,
        setup_s: 30.0,
    }
}

#[test]
fn room_that_becomes_free_in_time_is_not_bought_again() {
    let pool = vec![(0.0, 4.0), (10.0, 4.0)];
    // Starts at 0, 10, 20 and 30: all before 40.
    assert_eq!(shortfall(&pool, &mut [queued(4, Some(40.0))]), 0.0);
    // Two more would start at 40 and 50: the last is too late.
    assert_eq!(shortfall(&pool, &mut [queued(6, Some(45.0))]), 4.0);
    assert_eq!(shortfall(&Pool::new(), &mut [queued(2, Some(45.0))]), 8.0);
}

/// Ninety machines were given back after a takeover and rented again ten
/// seconds later: the new leader knew nothing of the load before it.
#[test]
fn a_new_leader_holds_the_room_that_was_held() {
    let at = |s: f64| Time::from_micros(100_000_000).plus(s);
    let mut a = Arrivals::default();
    for i in 0..30 {
        a.came(at(f64::from(i) * 2.0), 10.0, 20.0);
        a.widest(at(f64::from(i) * 2.0));
    }
    let d = Demand {
        job: JobId::parse("job-7").expect("an id"),
        class: "prompt".into(),
        resources: Resources {
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 4.0,
        },
        left: 10,
        placed: 0,
        run_s: 20.0,
        age_s: 0.0,
        due_s: None,
        image_gb: 1.0,
        urgency: 2,
        deadline_array: true,
        spot: true,
        machine_types: None,
        zone: None,
    };
    let load = Load::of(&mut a, &d, at(60.0)).expect("it is not dry");
    let stored: Load = wire::from_value(&wire::to_value(&load)).expect("what was written");
    assert!(stored == load && stored.sound());
    let operator = OperatorSettings::default();
    let mut next = Splits::new(&operator, FencingToken(9), at(60.0));
    next.resume(at(60.0), "prompt".into(), &stored);
    let machine_type = MachineType {
        label: "c8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 60.0,
        fetch_gb_per_s: 0.4,
        rate: 1.0,
        low_price: 0.3,
        boot_s: 30.0,
        zones: vec!["north".into()],
    };
    let text = beamhinge_core::settings::SAMPLE;
    let settings = Settings::parse("the sample", text).expect("it is sound");
    let mut ready = |s: f64| {
        let wants = next.wants(
            at(s),
            &[],
            std::slice::from_ref(&machine_type),
            &settings,
            0.0,
            &BTreeMap::new(),
        );
        wants.get(&0).map_or(0.0, |w| w.ready)
    };
    assert!(
        (ready(61.0) - 35.0).abs() < 1e-6,
        "1.4 times 100 tasks, four a machine"
    );
    assert_eq!(ready(100.0), 0.0, "nothing came any more");
    assert!(
        Load::of(&mut a, &d, at(200.0)).is_none(),
        "a dry class is not stored"
    );
    assert!(!Load {
        widest: f64::NAN,
        ..load
    }
    .sound());
}

/// A drained burst once made room for 135 machines a minute after the last
/// job: a class that has dried up stays dry, and a queue is no load.
#[test]
fn room_held_ready_follows_what_arrives() {
    let at = |s: f64| Time::from_micros(100_000_000).plus(s);
    let mut a = Arrivals::default();
    for i in 0..30 {
        a.came(at(f64::from(i) * 2.0), 10.0, 20.0);
        a.widest(at(f64::from(i) * 2.0));
    }
    assert_eq!(a.widest(at(59.0)), 100.0, "ten jobs of ten run at once");
    assert!(!a.dry(at(65.0)));
    for s in 75..400 {
        assert!(a.dry(at(f64::from(s))), "dry at {s} s");
    }
    assert_eq!(a.widest(at(400.0)), 0.0);
}

#[test]
fn nothing_is_bought_that_would_come_too_late() {
    assert_eq!(shortfall(&Pool::new(), &mut [queued(2, Some(10.0))]), 0.0);
    assert_eq!(shortfall(&Pool::new(), &mut [queued(2, None)]), 0.0);
}

fn stored_record() -> Record {
    let load = Load {
        widest: 12.0,
        gap_s: 7.25,
        size: (4.5, 1.5, 16.5),
        spot: true,
    };
    Record {
        v: 1,
        weights: vec![0.25, 0.75],
        splits: [("job-000412".to_string(), (3, 2.5))].into(),
        runs: [("train".to_string(), 1.125)].into(),
        loads: [("prompt".to_string(), load)].into(),
    }
}

#[test]
fn the_stored_split_keeps_its_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/split.hex");
    golden.text("keys", &format!("{KEY} {PREFIX}"));
    golden.stored("split", &stored_record());
    golden.check();
}

/// Versions before stored no loads.
#[test]
fn a_stored_split_is_read_field_by_field() {
    let mut stored = serde_json::json!({"v": 1, "weights": [0.25, 0.75],
        "splits": {"job-000412": [3, 2.5]}, "runs": {"train": 1.125},
        "loads": {"prompt": {"widest": 12.0, "gap_s": 7.25, "size": [4.5, 1.5, 16.5],
            "spot": true}}});
    let read: Record = wire::decode(&wire::encode(&stored)).expect("a record");
    assert_eq!(wire::to_value(&read), wire::to_value(&stored_record()));
    stored.as_object_mut().expect("a map").remove("loads");
    let read: Record = wire::decode(&wire::encode(&stored)).expect("a record");
    assert!(read.loads.is_empty() && read.splits.len() == 1);
}
