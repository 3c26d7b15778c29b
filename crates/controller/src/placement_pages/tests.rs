use super::*;
use proptest::prelude::*;

fn row(machine: &str, task: &str, attempt: u64) -> PlacementRow {
    PlacementRow {
        machine: MachineId::parse(machine).expect("machine"),
        task: TaskId::parse(task).expect("task"),
        attempt: Attempt(attempt),
    }
}

#[test]
fn encoded_page_round_trips_within_its_size_bound() {
    let rows: Vec<PlacementRow> = (0..160)
        .map(|i| {
            row(
                &format!("n-{i:06}"),
                &format!("job-{:06}/{i}", i % 7),
                (9_000 << 20) + i,
            )
        })
        .collect();
    let value = encode_page(&rows);
    assert!(wire::json_len(&value) <= rows.len() * MAX_ROW_BYTES);
    let mut back = decode_page(&value).expect("valid page");
    back.sort();
    assert_eq!(back, rows);
}

#[test]
fn page_of_previous_version_is_read_and_unknown_versions_are_rejected() {
    let page = |version: u32| {
        let rows: StoredRows = [("n-1".into(), [("job-1".into(), vec![(3, 77)])].into())].into();
        wire::to_value(&PageRecord {
            version,
            base_attempt: 1_000,
            rows,
        })
    };
    assert_eq!(
        decode_page(&page(1)).expect("valid page"),
        [row("n-1", "job-1/3", 77)]
    );
    assert_eq!(
        decode_page(&page(2)).expect("valid page"),
        [row("n-1", "job-1/3", 1_077)]
    );
    assert!(decode_page(&page(3)).is_err());
}

#[test]
fn page_without_references_is_unreferenced_and_newest_row_wins() {
    let mut pages = PlacementPages::new(FencingToken(5));
    let (first, second) = (pages.new_key(), pages.new_key());
    assert_ne!(first, second);
    let (a, b) = (
        pages.insert(first, Revision(1)),
        pages.insert(second, Revision(2)),
    );
    pages.retain(a);
    pages.retain(b);
    pages.release(a);
    assert_eq!(
        pages.unreferenced().map(|page| page.id).collect::<Vec<_>>(),
        [a]
    );
    let rows = [(row("n-1", "job-1/3", 7), a), (row("n-2", "job-1/3", 9), b)];
    for order in [rows, [rows[1], rows[0]]] {
        assert_eq!(newest_rows(order.into_iter()), [rows[1]]);
    }
}

#[test]
fn pages_keep_their_stored_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/pages.hex");
    let mut pages = PlacementPages::new(FencingToken(41));
    golden.text("prefixes", &format!("{PAGE_PREFIX} {PROGRESS_PREFIX}"));
    golden.text("first key", &pages.new_key());
    golden.text("second key", &pages.new_key());
    let rows = [
        row("n-000231", "job-000412/3", (41 << 20) + 7),
        row("n-000231", "job-000412/4", (41 << 20) + 300),
        row("n-000231", "job-9/0", (41 << 20) + 9),
        row("n-7", "job-000412/70000", (41 << 20) + 8),
    ];
    let page = encode_page(&rows);
    assert_eq!(decode_page(&page).expect("valid page"), rows);
    golden.stored(
        "page",
        &wire::from_value::<PageRecord>(&page).expect("valid page"),
    );
    assert_eq!(
        wire::to_value(&wire::from_value::<PageRecord>(&page).expect("valid page")),
        page
    );
    golden.stored(
        "empty page",
        &wire::from_value::<PageRecord>(&encode_page(&[])).expect("valid page"),
    );
    golden.check();
}

/// Reads pages of the present and the previous version from their stored bytes.
#[test]
fn stored_pages_of_both_versions_are_read() {
    let rows = vec![
        row("n-000231", "job-000412/3", 107),
        row("n-000231", "job-000412/4", 109),
    ];
    let machines = |first: u64, second: u64| serde_json::json!({"n-000231": {"job-000412": [[3, first], [4, second]]}});
    for stored in [
        serde_json::json!({"v": 2, "a": 100, "m": machines(7, 9)}),
        serde_json::json!({"v": 1, "m": machines(107, 109)}),
    ] {
        let value: Value = wire::decode(&wire::encode(&stored)).expect("CBOR");
        assert_eq!(decode_page(&value).expect("a page"), rows, "{stored}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Decoding an encoded page returns the same rows, up to their order.
    #[test]
    fn any_page_round_trips(
        rows in prop::collection::vec((0..9u32, 0..5u32, any::<u32>(), any::<u64>()), 0..60),
    ) {
        let mut rows: Vec<PlacementRow> = rows
            .into_iter()
            .map(|(machine, job, index, attempt)| {
                row(&format!("n-{machine}"), &format!("job-{job}/{index}"), attempt)
            })
            .collect();
        let stored = wire::decode(&wire::encode(&encode_page(&rows))).expect("CBOR");
        let mut decoded = decode_page(&stored).expect("a page");
        rows.sort();
        decoded.sort();
        prop_assert_eq!(decoded, rows);
    }
}
