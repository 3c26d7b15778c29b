//! Compares the existing machines of each class with the target capacity.

use super::instance::{Instance, InstanceStatus};
use super::rentals::{Market, Rental};
use super::term::{listing_delay_s, LeaderTerm};
use super::TickContext;
use crate::capacity_planner::{FreeCapacity, TargetCapacity};
use crate::directives::ActiveDirectives;
use crate::scheduler::{Machine, Scheduler};
use crate::split::{MachineClass, MachineType, MarketObservation};
use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// A machine is expected to be up after this multiple of its stated boot time, because boot times
/// vary.
pub(super) const BOOT_TIME_FACTOR: f64 = 1.2;
/// Minimum remaining boot time assumed for a booting machine, as a fraction of its boot time.
const MIN_REMAINING_BOOT_FRACTION: f64 = 0.2;

/// Machines that exist, boot or are requested.
#[derive(Default)]
struct Capacity {
    /// Number of machines that count as capacity, by class.
    machines: BTreeMap<MachineClass, u32>,
    /// The same by class and zone.
    machines_by_zone: BTreeMap<(MachineClass, String), u32>,
    /// Number of those that have reported, by class.
    reporting: BTreeMap<MachineClass, u32>,
    /// CPUs and the time until they become free, by machine type.
    free_capacity: BTreeMap<usize, FreeCapacity>,
    owned_cpus: f64,
    idle_owned_cpus: f64,
    /// Expected number of shielded machines that is not yet included in `machines`, by class;
    /// less than 1.
    shielded_credit: BTreeMap<MachineClass, f64>,
}

impl Capacity {
    fn count(&self, class: MachineClass) -> u32 {
        self.machines.get(&class).copied().unwrap_or(0)
    }

    fn count_reporting(&self, class: MachineClass) -> u32 {
        self.reporting.get(&class).copied().unwrap_or(0)
    }

    fn add_machines(&mut self, class: MachineClass, zone: &str, count: u32) {
        *self.machines.entry(class).or_default() += count;
        let in_zone = self.machines_by_zone.entry((class, zone.to_string()));
        *in_zone.or_default() += count;
    }

    /// Counts a machine behind a link suspected to be broken as a fraction, which decreases as it
    /// stays unreachable, so that such machines are replaced gradually.
    fn add_shielded(&mut self, instance: &Instance, outage_s: f64, machine_type: &MachineType) {
        let class = instance.class();
        let credit = self.shielded_credit.entry(class).or_default();
        *credit += recovery_credit(outage_s, machine_type.boot_s);
        if *credit >= 1.0 {
            *credit -= 1.0;
            self.add_machines(class, &instance.zone, 1);
            self.free_capacity
                .entry(class.machine_type)
                .or_default()
                .push((machine_type.boot_s, machine_type.cpus));
        }
    }

    /// Adds a machine that is up or booting.
    fn add_instance(
        &mut self,
        now: Time,
        id: MachineId,
        instance: &Instance,
        machine_types: &[MachineType],
        scheduler: &Scheduler,
    ) {
        let class = instance.class();
        let machine = scheduler.machine(id);
        let machine_type = machine_types.get(class.machine_type);
        self.add_machines(class, &instance.zone, 1);
        let free = self.free_capacity.entry(class.machine_type).or_default();
        if machine.is_some_and(|m| m.last_heartbeat().is_some()) {
            *self.reporting.entry(class).or_default() += 1;
            scheduler.capacity_over_time(now, id, machine_types, free);
        } else if let Some(machine_type) = machine_type {
            let boot_s = machine_type.boot_s;
            let remaining_s = boot_s * BOOT_TIME_FACTOR - now.since(instance.rented_at);
            free.push((
                remaining_s.max(boot_s * MIN_REMAINING_BOOT_FRACTION),
                machine_type.cpus,
            ));
        }
        if instance.owned {
            let cpus = machine_type.map_or(0.0, |t| t.cpus);
            self.owned_cpus += cpus;
            if machine.is_some_and(Machine::is_empty) {
                self.idle_owned_cpus += cpus;
            }
        }
    }

    /// Adds machines that are requested and not yet granted.
    fn add_requested(&mut self, rental: &Rental, machine_types: &[MachineType]) {
        let (class, count) = (rental.class(), rental.entry.count);
        self.add_machines(class, &rental.entry.zone, count);
        if let Some(machine_type) = machine_types.get(class.machine_type) {
            let free = self.free_capacity.entry(class.machine_type).or_default();
            let ready_s = machine_type.boot_s * BOOT_TIME_FACTOR;
            free.extend((0..count).map(|_| (ready_s, machine_type.cpus)));
        }
    }
}

/// Target number of machines.
#[derive(Default)]
struct Targets {
    machines: BTreeMap<MachineClass, u32>,
    /// Observation of the spot market; `None` while no spot machines are wanted.
    observation: Option<MarketObservation>,
}

impl LeaderTerm {
    /// Compares existing capacity with target capacity, requests missing machines and marks
    /// surplus machines for return.
    pub(super) fn plan_and_scale(
        &mut self,
        context: &TickContext,
        list_lag_s: f64,
        machine_types: &[MachineType],
        scheduler: &mut Scheduler,
    ) {
        let now = context.now;
        let demands = scheduler.demands(context.wall);
        // No capacity is planned for drained machine types and zones. Without directives the
        // machine types are used unchanged.
        let active_directives = scheduler.active_directives().clone();
        let undrained = (!active_directives.is_empty())
            .then(|| exclude_drained(machine_types, &active_directives));
        let offered = undrained.as_deref().unwrap_or(machine_types);
        self.expire_rentals(now, list_lag_s);
        let capacity = self.count_capacity(now, machine_types, &active_directives, scheduler);
        let target_capacity_by_type = self.planner.target_capacity(
            now,
            &demands,
            offered,
            context.settings,
            capacity.owned_cpus,
            &capacity.free_capacity,
        );
        let targets = self.target_machines(&target_capacity_by_type, &capacity, offered);
        if let Some(observation) = targets.observation {
            self.planner.observe_market(now, observation);
        }
        if self.listing.is_complete() {
            for (class, wanted) in &targets.machines {
                let count = capacity.count(*class);
                if *wanted > count {
                    self.scale_out(now, *class, wanted - count, offered, context.settings);
                }
            }
        }
        let surplus = surplus(&capacity, &targets);
        self.report.wanted = targets.machines;
        self.report.counted = capacity.machines_by_zone;
        self.report_jobs_without_machine(now, context.wall, &demands, offered, scheduler);
        self.scale_in_surplus(context, surplus, machine_types, scheduler);
    }

    /// Removes expired market refusals and recorded rentals. After a failover the cloud's list may
    /// not show earlier rentals yet, so recorded rentals count until the list must show them.
    fn expire_rentals(&mut self, now: Time, list_lag_s: f64) {
        let delay_s = listing_delay_s(list_lag_s);
        if now.since(self.began_at) > delay_s {
            self.rentals.inherited.clear();
        }
        self.rentals
            .recent
            .retain(|(at, _)| now.since(*at) < delay_s);
        self.rentals.refused_markets.retain(|_, until| *until > now);
    }

    fn count_capacity(
        &self,
        now: Time,
        machine_types: &[MachineType],
        active_directives: &ActiveDirectives,
        scheduler: &Scheduler,
    ) -> Capacity {
        let mut capacity = Capacity::default();
        for (id, instance) in &self.instances {
            let machine = scheduler.machine(*id);
            let leaving = !instance.is_retained()
                || instance.status == InstanceStatus::Failed
                || machine
                    .is_some_and(|m| m.reclaim_announced() || m.is_quarantined() || m.is_slow())
                || instance
                    .active_drain(*id, machine_types, active_directives)
                    .is_some();
            if leaving {
                continue;
            }
            let shielded_s = self.health.shielded.get(id);
            match (shielded_s, machine_types.get(instance.machine_type)) {
                (Some(outage_s), Some(machine_type)) => {
                    capacity.add_shielded(instance, *outage_s, machine_type);
                }
                _ => capacity.add_instance(now, *id, instance, machine_types, scheduler),
            }
        }
        for rental in &self.rentals.open {
            capacity.add_requested(rental, machine_types);
        }
        for entry in &self.rentals.inherited {
            let machine_type = machine_types
                .iter()
                .position(|t| t.label == entry.machine_type);
            if let Some(machine_type) = machine_type {
                let class = MachineClass {
                    machine_type,
                    spot: entry.spot,
                };
                capacity.add_machines(class, &entry.zone, entry.count);
            }
        }
        capacity
    }

    /// Target number of machines of each class, and the observation of the spot market.
    fn target_machines(
        &self,
        target_capacity_by_type: &BTreeMap<usize, TargetCapacity>,
        capacity: &Capacity,
        offered: &[MachineType],
    ) -> Targets {
        let mut targets = Targets::default();
        let (mut spot_wanted, mut spot_reporting) = (0.0, 0.0);
        let (mut price, mut max_cost) = (1.0, 0.0);
        for (index, machine_type) in offered.iter().enumerate() {
            let target = target_capacity_by_type
                .get(&index)
                .copied()
                .unwrap_or_default();
            let class = |spot| MachineClass {
                machine_type: index,
                spot,
            };
            let existing = MachineCounts {
                spot: f64::from(capacity.count(class(true))),
                on_demand: f64::from(capacity.count(class(false))),
            };
            let refused = self.is_spot_refused(index, machine_type);
            let (spot, on_demand) = target_counts(&target, existing, refused);
            targets.machines.insert(class(true), spot);
            targets.machines.insert(class(false), on_demand);
            let cost = target.spot * machine_type.low_price;
            spot_wanted += target.spot;
            spot_reporting += f64::from(capacity.count_reporting(class(true))).min(target.spot);
            if cost > max_cost && machine_type.rate > 0.0 {
                max_cost = cost;
                price = machine_type.low_price / machine_type.rate;
            }
        }
        if spot_wanted > 0.0 {
            targets.observation = Some(MarketObservation {
                price,
                up: spot_reporting / spot_wanted,
                idle_owned: capacity.idle_owned_cpus,
            });
        }
        targets
    }

    /// Whether every zone of the machine type has recently refused spot machines.
    fn is_spot_refused(&self, index: usize, machine_type: &MachineType) -> bool {
        machine_type.zones.iter().all(|zone| {
            self.rentals.refused_markets.contains_key(&Market {
                machine_type: index,
                zone: zone.clone(),
                spot: true,
            })
        })
    }
}

/// Number of machines in excess of the target, by class.
fn surplus(capacity: &Capacity, targets: &Targets) -> BTreeMap<MachineClass, u32> {
    let mut surplus = BTreeMap::new();
    for (class, count) in &capacity.machines {
        let wanted = targets.machines.get(class).copied().unwrap_or(0);
        if *count > wanted {
            surplus.insert(*class, count - wanted);
        }
    }
    surplus
}

/// The fraction of a machine behind a broken link that counts as capacity, from 1 (it is expected
/// back before a replacement is up) to 0 (it needs a replacement).
///
/// An outage that has lasted `outage_s` seconds is expected to last as long again. A replacement
/// takes one boot time, so it is not worth its cost before the outage has lasted one boot time;
/// after three boot times every such machine is replaced.
fn recovery_credit(outage_s: f64, boot_s: f64) -> f64 {
    1.0 - ((outage_s - boot_s) / (boot_s * 2.0).max(1.0)).clamp(0.0, 1.0)
}

/// The machine types without drained capacity: drained zones are removed, and a type without
/// remaining zones has no resources, so that no task fits it.
fn exclude_drained(
    machine_types: &[MachineType],
    active_directives: &ActiveDirectives,
) -> Vec<MachineType> {
    let mut undrained = machine_types.to_vec();
    for machine_type in &mut undrained {
        let label = machine_type.label.clone();
        machine_type
            .zones
            .retain(|zone| active_directives.market_drain(&label, zone).is_none());
        if machine_type.zones.is_empty() {
            machine_type.cpus = 0.0;
            machine_type.gpus = 0.0;
            machine_type.memory_gb = 0.0;
        }
    }
    undrained
}

/// Existing and requested machines of one type.
#[derive(Clone, Copy)]
struct MachineCounts {
    spot: f64,
    on_demand: f64,
}

/// Target number of spot and of on-demand machines of one type. `spot_refused`: the cloud currently
/// refuses spot machines of this type.
///
/// Required capacity that is neither present nor on its way is rented on demand only where spot
/// is refused. Existing on-demand machines take over part of the work.
fn target_counts(
    target: &TargetCapacity,
    existing: MachineCounts,
    spot_refused: bool,
) -> (u32, u32) {
    // A sum of fractions may exceed a whole number by a rounding error.
    let round_up = |x: f64| (x - 1e-6).ceil().max(0.0);
    let required_on_demand = round_up(target.on_demand);
    let extra_on_demand = (existing.on_demand - required_on_demand).max(0.0);
    if spot_refused && target.shortfall > 0.0 {
        return (
            round_up(target.spot + target.standby) as u32,
            (required_on_demand + extra_on_demand + round_up(target.shortfall)) as u32,
        );
    }
    if spot_refused && round_up(target.timely) > existing.spot + extra_on_demand {
        return (
            round_up(target.spot + target.standby) as u32,
            (required_on_demand + round_up(target.timely) - existing.spot) as u32,
        );
    }
    // On-demand machines are kept while there are not enough spot machines.
    let spot = round_up(target.spot + target.standby);
    let kept_on_demand = (round_up(target.spot) - existing.spot).clamp(0.0, extra_on_demand);
    (
        (spot - kept_on_demand) as u32,
        (required_on_demand + kept_on_demand) as u32,
    )
}

#[cfg(test)]
mod tests;
