use super::*;

fn want(spot: f64, standby: f64, shortfall: f64, on_demand: f64) -> TargetCapacity {
    TargetCapacity {
        spot,
        timely: 0.0,
        standby,
        shortfall,
        on_demand,
    }
}

fn have(spot: f64, on_demand: f64) -> MachineCounts {
    MachineCounts { spot, on_demand }
}

#[test]
fn on_demand_machines_are_bought_only_where_spot_is_refused() {
    assert_eq!(
        machines_wanted(&want(6.5, 0.0, 2.5, 0.0), have(0.0, 0.0), false),
        (7, 0)
    );
    assert_eq!(
        machines_wanted(&want(6.5, 0.0, 2.5, 0.0), have(2.0, 0.0), true),
        (7, 3)
    );
    assert_eq!(
        machines_wanted(&want(6.5, 0.0, 0.0, 0.0), have(2.0, 0.0), true),
        (7, 0)
    );
}

#[test]
fn on_demand_machines_that_are_there_take_part_of_the_work() {
    assert_eq!(
        machines_wanted(&want(4.0, 0.0, 0.0, 1.0), have(0.0, 3.0), false),
        (2, 3)
    );
    assert_eq!(
        machines_wanted(&want(0.0, 0.0, 0.0, 0.0), have(3.0, 3.0), false),
        (0, 0)
    );
    assert_eq!(
        machines_wanted(&want(4.0, 1.0, 0.0, 0.0), have(4.0, 1.0), false),
        (5, 0)
    );
}
