use super::*;

fn target(spot: f64, standby: f64, shortfall: f64, on_demand: f64) -> TargetCapacity {
    TargetCapacity {
        spot,
        standby,
        shortfall,
        on_demand,
        ..TargetCapacity::default()
    }
}

fn existing(spot: f64, on_demand: f64) -> MachineCounts {
    MachineCounts { spot, on_demand }
}

#[test]
fn on_demand_machines_are_rented_only_where_spot_is_refused() {
    assert_eq!(
        target_counts(&target(6.5, 0.0, 2.5, 0.0), existing(0.0, 0.0), false),
        (7, 0)
    );
    assert_eq!(
        target_counts(&target(6.5, 0.0, 2.5, 0.0), existing(2.0, 0.0), true),
        (7, 3)
    );
    assert_eq!(
        target_counts(&target(6.5, 0.0, 0.0, 0.0), existing(2.0, 0.0), true),
        (7, 0)
    );
}

#[test]
fn existing_on_demand_machines_replace_missing_spot_machines() {
    assert_eq!(
        target_counts(&target(4.0, 0.0, 0.0, 1.0), existing(0.0, 3.0), false),
        (2, 3)
    );
    assert_eq!(
        target_counts(&target(0.0, 0.0, 0.0, 0.0), existing(3.0, 3.0), false),
        (0, 0)
    );
    assert_eq!(
        target_counts(&target(4.0, 1.0, 0.0, 0.0), existing(4.0, 1.0), false),
        (5, 0)
    );
}
