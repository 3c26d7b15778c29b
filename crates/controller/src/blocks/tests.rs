use super::*;

fn row(machine: &str, task: &str, attempt: u64) -> Row {
    Row {
        machine: MachineId::parse(machine).expect("machine"),
        task: TaskId::parse(task).expect("task"),
        attempt: Attempt(attempt),
    }
}

#[test]
fn a_page_comes_back_as_written_and_fits_its_bound() {
    let rows: Vec<Row> = (0..160)
        .map(|i| row(&format!("n-{i:06}"), &format!("job-{:06}/{i}", i % 7), (9_000 << 20) + i))
        .collect();
    let value = encode_page(&rows);
    assert!(wire::json_len(&value) <= rows.len() * ROW_BYTES);
    let mut back = decode_page(&value).expect("sound");
    back.sort();
    assert_eq!(back, rows);
}

#[test]
fn a_page_of_the_version_before_is_read_and_others_are_refused() {
    let page = |v: u32| {
        let m: Rows = [("n-1".into(), [("job-1".into(), vec![(3, 77)])].into())].into();
        wire::to_value(&PageRecord { v, a: 1_000, m })
    };
    assert_eq!(decode_page(&page(1)).expect("sound"), [row("n-1", "job-1/3", 77)]);
    assert_eq!(decode_page(&page(2)).expect("sound"), [row("n-1", "job-1/3", 1_077)]);
    assert!(decode_page(&page(3)).is_err());
}

#[test]
fn a_page_is_dead_once_nothing_rests_on_it_and_only_the_newest_row_counts() {
    let mut pages = Pages::new(Token(5));
    let (first, second) = (pages.fresh_key(), pages.fresh_key());
    assert_ne!(first, second);
    let (a, b) = (pages.add(first, Stamp(1)), pages.add(second, Stamp(2)));
    pages.hold(a);
    pages.hold(b);
    pages.release(a);
    assert_eq!(pages.dead().map(|(no, _, _)| no).collect::<Vec<_>>(), [a]);
    let rows = [(row("n-1", "job-1/3", 7), a), (row("n-2", "job-1/3", 9), b)];
    for order in [rows, [rows[1], rows[0]]] {
        assert_eq!(newest_rows(order.into_iter()), [rows[1]]);
    }
}
