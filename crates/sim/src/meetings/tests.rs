use super::*;

#[test]
fn a_day_is_always_the_same_and_every_kind_is_drawn() {
    let (a, b) = (draw(3, 5, (6.0, 40.0)), draw(3, 5, (6.0, 40.0)));
    assert_eq!(a.text, b.text);
    assert_ne!(a.text, draw(3, 6, (6.0, 40.0)).text);
    let days = (0..200).flat_map(|n| draw(9, n, (6.0, 40.0)).troubles);
    let kinds: BTreeMap<&str, u32> = days.collect();
    assert_eq!(kinds.len(), 26, "{kinds:?}");
}
