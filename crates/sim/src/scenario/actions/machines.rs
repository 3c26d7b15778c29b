//! Faults of machines.

use crate::cluster::Sim;
use crate::event::Event;
use crate::scenario::words::Words;
use crate::scenario::ScenarioError;
use beamhinge_emulator::cloud::CapacityPool;
use beamhinge_emulator::{Micros, SECOND};

/// Factor by which the run times of tasks on a slow machine grow.
const SLOWDOWN: f64 = 4.0;

/// `FAULT count= for= zone=`: affects the machines with the most tasks, as the bench selects
/// them.
pub(super) fn fault(sim: &mut Sim, words: Words) -> Result<(), ScenarioError> {
    let kind = words.arg(0)?;
    let count = words.number("count", 1.0)? as usize;
    let until = sim.now + words.duration("for", 10.0)?;
    for machine in busiest(sim, count, words.option("zone")) {
        match kind {
            "die" => sim.fail_machine(machine),
            "take" => {
                sim.cloud.instances.remove(&machine);
                sim.lose_machine(machine);
            }
            _ => fault_worker(sim, machine, kind, words.flag("reset"), until),
        }
    }
    Ok(())
}

/// The `count` machines with the most tasks, of one zone or, if `None`, of all zones.
fn busiest(sim: &Sim, count: usize, zone: Option<&str>) -> Vec<u64> {
    let mut busy: Vec<(usize, u64)> = sim
        .workers
        .iter()
        .filter(|(_, w)| zone.is_none_or(|zone| zone == w.zone))
        .map(|(id, w)| (w.running().count(), *id))
        .collect();
    busy.sort_by(|a, b| b.cmp(a));
    busy.into_iter().take(count).map(|(_, id)| id).collect()
}

fn fault_worker(sim: &mut Sim, machine: u64, kind: &str, reset: bool, until: Micros) {
    let now = sim.now;
    let Some(worker) = sim.workers.get_mut(&machine) else {
        return;
    };
    let faults = &mut worker.faults;
    match kind {
        "notice" => faults.reclaim_at = Some(until),
        "hang" => faults.hang_until = until,
        "cut-machines" => faults.cut_until = until,
        "cut-inbound" => faults.inbound_cut_until = until,
        "cut-outbound" => faults.outbound_cut_until = until,
        "reboot" if reset => worker.reset(now),
        "reboot" => worker.reboot(now),
        "sick" => faults.tasks_fail = true,
        _ => faults.slowdown = SLOWDOWN,
    }
    sim.resume_machine_at(machine, until);
}

/// `unrequested-machine`: adds a machine that no controller requested.
pub(super) fn add_unlisted(sim: &mut Sim) {
    let machine_type = sim.cloud.instance_types[0].label.clone();
    let pool = CapacityPool::new(machine_type, sim.cloud.zones[0].clone(), true);
    let machine = sim.cloud.add(sim.now, &pool, Some(SECOND));
    let _ = sim.cloud.take_created();
    sim.push(sim.now + SECOND, Event::ReportDue { machine });
}
