use super::*;

type Change = fn(&mut Size);

fn table() -> Size {
    Size::parse("the operators' table", OPERATORS_TABLE).expect("valid")
}

#[test]
fn operators_table_parses_and_is_valid() {
    let size = table();
    size.validate().expect("valid");
    assert_eq!((size.workers, size.zones, size.teams), (2_100, 6, 240));
    assert!((size.run_s() - 48.27).abs() < 0.01);
    let zones: Vec<String> = (0..6).map(|z| size.zone_name(z)).collect();
    assert_eq!(
        zones,
        ["r1-z1", "r1-z2", "r2-z3", "r2-z4", "r3-z5", "r3-z6"]
    );
}

#[test]
fn unknown_key_is_rejected_with_its_line() {
    let text = OPERATORS_TABLE.replace("teams = 240", "teams = 240\nteam = 3");
    let error = Size::parse("table.toml", &text)
        .expect_err("refused")
        .to_string();
    assert!(
        error.contains("line 6") && error.contains("team"),
        "{error}"
    );
}

#[test]
fn impossible_size_is_rejected_with_its_field() {
    let cases: [(&str, Change); 7] = [
        ("workers", |s| s.workers = 0),
        ("workers", |s| s.workers = MAX_WORKERS + 1),
        ("zones", |s| s.zones = s.workers + 1),
        ("zones", |s| s.zones = 2),
        ("running", |s| s.running = 100),
        ("starts_per_s", |s| s.starts_per_s = f64::NAN),
        ("controllers", |s| s.controllers = 27),
    ];
    for (field, change) in cases {
        let mut size = table();
        change(&mut size);
        let error = size.validate().expect_err(field).to_string();
        assert!(error.starts_with(field), "{error}");
    }
}

#[test]
fn fleets_of_4000_8192_and_max_workers_are_valid() {
    for workers in [4_000, 8_192, MAX_WORKERS] {
        let size = Size { workers, ..table() };
        size.validate().expect("valid");
    }
}
