use super::*;

#[test]
fn same_seed_and_number_give_same_day_and_every_kind_is_drawn() {
    let (a, b) = (generate(3, 5, (6.0, 40.0)), generate(3, 5, (6.0, 40.0)));
    assert_eq!(a.text, b.text);
    assert_ne!(a.text, generate(3, 6, (6.0, 40.0)).text);
    let days = (0..200).flat_map(|n| generate(9, n, (6.0, 40.0)).fault_counts);
    let fault_counts: BTreeMap<&str, u32> = days.collect();
    assert_eq!(fault_counts.len(), 26, "{fault_counts:?}");
}
