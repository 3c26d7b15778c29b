use super::*;

#[test]
fn same_seed_and_number_give_same_day_and_other_numbers_differ() {
    let (a, b) = (generate(3, 5, FULL), generate(3, 5, FULL));
    assert_eq!(a.text, b.text);
    assert_ne!(a.text, generate(3, 6, FULL).text);
    let fault_counts: BTreeMap<&str, u32> = (0..200)
        .flat_map(|n| generate(9, n, FULL).fault_counts)
        .fold(BTreeMap::new(), |mut m, (k, n)| {
            *m.entry(k).or_default() += n;
            m
        });
    assert_eq!(
        fault_counts.len(),
        29,
        "every kind is drawn: {fault_counts:?}"
    );
}

#[test]
fn file_in_bench_format_becomes_a_day() {
    let text = "faults = [\n { at_s = 30.0, kind = \"zone_cut\", zone = \"south\", for_s = 20.0, mode = \"hold\" },\n { at_s = 40.0, kind = \"node_crash\", count = 1, busiest = true } ]\n";
    let day = from_toml(text, 1, 1, SMALL).expect("a day");
    assert!(
        day.text.contains("at 30 zone-cut south 20 hold\n"),
        "{}",
        day.text
    );
    assert!(day.text.contains("at 40 crash leader\n"));
    assert!(from_toml("faults = [{ at_s = 1.0, kind = \"flood\" }]", 1, 1, SMALL).is_err());
}
