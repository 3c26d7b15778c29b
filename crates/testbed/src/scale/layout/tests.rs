use super::*;
use crate::scale::size::OPERATORS_TABLE;
use std::collections::BTreeSet;

fn layout() -> Layout {
    Layout::new(Size::parse("t", OPERATORS_TABLE).expect("valid"), 20_000, 4)
}

#[test]
fn each_worker_has_a_distinct_loopback_address() {
    let layout = layout();
    let mut seen = BTreeSet::new();
    for process in 0..layout.worker_processes() {
        let machines = (0..2_100)
            .filter(|m| layout.process_of(*m) == process)
            .count();
        let addresses = layout.worker_addresses(process);
        assert!(
            addresses.len() > machines,
            "{process}: {machines} of {}",
            addresses.len()
        );
        assert!(addresses.iter().all(|a| a.ip().is_loopback()));
        seen.extend(addresses);
    }
    assert!(seen.len() > 2_100);
    assert!(
        (0..4).all(|m| layout.process_of(m) == 0),
        "workers that run processes have their own worker process"
    );
}

#[test]
fn large_fleet_has_enough_addresses_and_sockets() {
    for workers in [4_000, 8_192, 12_000] {
        let size = Size {
            workers,
            ..Size::parse("t", OPERATORS_TABLE).expect("valid")
        };
        let layout = Layout::new(size, 20_000, 4);
        let mut seen = BTreeSet::new();
        for process in 0..layout.worker_processes() {
            let addresses = layout.worker_addresses(process);
            // The number of sockets of a child doesn't depend on the size of the fleet.
            assert!(addresses.len() < 1_000 && addresses.iter().all(|a| a.ip().is_loopback()));
            seen.extend(addresses);
        }
        assert!(seen.len() > workers);
        assert!(layout.max_connections() > workers);
    }
}

#[test]
fn controllers_and_zones_are_spread_over_the_regions() {
    let layout = layout();
    let regions: Vec<usize> = (0..3)
        .map(|r| layout.controllers_in_region(r).len())
        .collect();
    assert_eq!(regions, [3, 2, 2]);
    assert_eq!(layout.zones_in_region(1), ["r2-z3", "r2-z4"]);
    assert_eq!(layout.controllers_in_region(0), [0, 3, 6]);
}

#[test]
fn settings_of_each_controller_are_valid() {
    let layout = layout();
    let deployment = layout.deployment();
    for node in 0..7 {
        let text = deployment.settings(node, &layout.links(node));
        let settings = beamhinge_core::settings::Settings::parse("t", &text).expect("valid");
        assert_eq!(
            (settings.members.len(), settings.params.teams.len()),
            (6, 240)
        );
    }
}
