use super::*;

#[test]
fn tenant_is_not_preempted_below_its_reserved_capacity() {
    let tenant = |class: &str| TenantKey {
        team: Some(1),
        class: class.into(),
    };
    let (guests, probes) = (tenant("guests"), tenant("probes"));
    let mut capacity = ReservedCapacity::new(0.5);
    capacity.add_eligible_capacity(&guests, 100.0);
    capacity.add_eligible_capacity(&guests, 80.0);
    capacity.add_eligible_capacity(&probes, 400.0);
    capacity.divide_among_tenants();
    capacity.add_usage(&guests, 60.0);
    let mut preempted = 0;
    while capacity.may_preempt(&guests, 8.0) {
        capacity.record_preempted(&guests, 8.0);
        preempted += 1;
    }
    assert_eq!(
        preempted, 5,
        "20 of 60 CPUs remain: half of 80, divided by two tenants"
    );
    assert!(
        !capacity.may_preempt(&probes, 1.0),
        "a tenant that uses no CPUs has none to preempt"
    );
    assert!(ReservedCapacity::new(0.0).may_preempt(&guests, 0.0));
}
