use super::*;

#[test]
fn sum_of_parts_is_the_limit_after_any_shift() {
    let slots = || (0..5).map(Slot);
    let mut partition = QuotaPartition::even(12_003, slots());
    assert_eq!(
        (
            partition.limit(),
            partition.part(Slot(0)),
            partition.part(Slot(4))
        ),
        (12_003, 2_401, 2_400)
    );
    let mut seed = 7u64;
    let mut random_below = |n: u64| {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    for _ in 0..10_000 {
        let (from, to) = (Slot(random_below(5) as u16), Slot(random_below(5) as u16));
        let (used, before) = (random_below(3_000), partition.part(from));
        let moved = partition.shift(from, used, to, random_below(4_000));
        assert!(partition.limit() == 12_003 && moved <= before.saturating_sub(used));
    }
}

#[test]
fn spare_units_go_where_tasks_wait() {
    let shift = |from, to, units| QuotaShift {
        from: Slot(from),
        to: Slot(to),
        units,
    };
    let partition = QuotaPartition::even(300, (0..3).map(Slot));
    let used = BTreeMap::from([(Slot(0), 100), (Slot(1), 20)]);
    let waiting = BTreeMap::from([(Slot(0), 70)]);
    assert_eq!(
        partition.plan_shifts(&used, &waiting),
        [shift(2, 0, 50), shift(1, 0, 20)]
    );
    assert!(partition.plan_shifts(&used, &BTreeMap::new()).is_empty());
}
