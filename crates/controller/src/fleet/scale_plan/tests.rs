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

/// Guards against an array that is never run: it had missed its deadline, so it could wait for spot
/// machines, which every zone refused.
#[test]
fn job_that_no_machine_admits_gets_an_on_demand_machine_where_spot_is_refused() {
    let unserved = TargetCapacity {
        unserved: true,
        ..target(0.5, 0.0, 0.0, 0.0)
    };
    assert_eq!(target_counts(&unserved, existing(0.0, 0.0), true), (1, 1));
    assert_eq!(target_counts(&unserved, existing(0.0, 2.0), true), (1, 3));
    assert_eq!(target_counts(&unserved, existing(0.0, 0.0), false), (1, 0));
}

/// Guards against returning the only machine that a waiting job may use: it was in surplus, because
/// machines of its class in the other zone are enough for the number wanted.
#[test]
fn machine_needed_in_its_zone_is_not_in_surplus() {
    let class = MachineClass {
        machine_type: 0,
        spot: true,
    };
    let mut capacity = Capacity::default();
    capacity.add_machines(class, "north", 2);
    capacity.add_machines(class, "south", 1);
    let targets = Targets {
        machines: BTreeMap::from([(class, 1)]),
        ..Targets::default()
    };
    let (north, south) = (Market::new(class, "north"), Market::new(class, "south"));
    let needed_in_zone = BTreeMap::from([(south.clone(), 1)]);
    let mut surplus = surplus(&capacity, &targets, &needed_in_zone);
    assert!(!surplus.take(&south));
    assert!(surplus.take(&north));
    assert!(surplus.take(&north));
    assert!(!surplus.take(&north));
}
