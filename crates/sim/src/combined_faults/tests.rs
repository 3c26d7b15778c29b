use super::*;

#[test]
fn a_day_is_always_the_same_and_every_kind_is_drawn() {
    let (a, b) = (generate(3, 5, (6.0, 40.0)), generate(3, 5, (6.0, 40.0)));
    assert_eq!(a.text, b.text);
    assert_ne!(a.text, generate(3, 6, (6.0, 40.0)).text);
    let days = (0..200).flat_map(|n| generate(9, n, (6.0, 40.0)).fault_counts);
    let instance_types: BTreeMap<&str, u32> = days.collect();
    assert_eq!(instance_types.len(), 26, "{instance_types:?}");
}
