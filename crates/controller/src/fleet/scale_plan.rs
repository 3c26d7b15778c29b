//! Compares the existing machines of each class with the target capacity.

use super::capacity::Capacity;
use super::instance::InstanceStatus;
use super::term::{listing_delay_s, LeaderTerm};
use super::TickContext;
use crate::capacity_planner::{CapacityTargets, PlanInputs, TargetCapacity, ZonalTarget};
use crate::directives::ActiveDirectives;
use crate::eligibility::ZoneScope;
use crate::scheduler::Scheduler;
use crate::split::{MachineClass, MachineType, Market, MarketObservation, RefusedMarkets};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::Time;
use std::collections::BTreeMap;

/// Target number of machines.
#[derive(Default)]
struct Targets {
    /// In all zones together, by class.
    machines: BTreeMap<MachineClass, u32>,
    /// Machines that are missing in certain zones.
    zonal: Vec<ZonalRequest>,
    /// Observation of the spot market; `None` while no spot machines are wanted.
    observation: Option<MarketObservation>,
}

/// Machines of one class to be requested in certain zones.
struct ZonalRequest {
    class: MachineClass,
    zones: ZoneScope,
    count: u32,
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
        let demands = scheduler.demands(context.wall, machine_types);
        // No capacity is planned for drained machine types and zones. Without directives the
        // machine types are used unchanged.
        let active_directives = scheduler.active_directives().clone();
        let undrained = (!active_directives.is_empty())
            .then(|| exclude_drained(machine_types, &active_directives));
        let offered = undrained.as_deref().unwrap_or(machine_types);
        self.expire_rentals(now, list_lag_s);
        let capacity = self.count_capacity(now, machine_types, &active_directives, scheduler);
        let refused: RefusedMarkets = self.rentals.refused_markets.keys().cloned().collect();
        let planned = self.planner.target_capacity(&PlanInputs {
            now,
            demands: &demands,
            machine_types: offered,
            settings: context.settings,
            owned_cpus: capacity.owned_cpus,
            supply: &capacity.supply,
            refused: &refused,
        });
        let targets = self.target_machines(&planned, &capacity, offered);
        if let Some(observation) = targets.observation {
            self.planner.observe_market(now, observation);
        }
        if self.listing.is_complete() {
            self.request_missing(now, &targets, &capacity, offered, context.settings);
        }
        let surplus = surplus(&capacity, &targets, &planned.needed_in_zone);
        let supply = capacity.supply;
        self.report.wanted = targets.machines;
        self.report.counted = capacity.machines_by_market;
        self.report_jobs_without_machine(context, &demands, &supply, offered, scheduler);
        self.scale_in_surplus(context, surplus, machine_types, scheduler);
    }

    /// Requests the missing machines: those for certain zones there, the others in any zone.
    fn request_missing(
        &mut self,
        now: Time,
        targets: &Targets,
        capacity: &Capacity,
        offered: &[MachineType],
        settings: &Settings,
    ) {
        let mut requested: BTreeMap<MachineClass, u32> = BTreeMap::new();
        for request in &targets.zonal {
            self.scale_out_in_zones(
                now,
                request.class,
                &request.zones,
                request.count,
                offered,
                settings,
            );
            *requested.entry(request.class).or_default() += request.count;
        }
        for (class, wanted) in &targets.machines {
            let count = capacity.count(*class) + requested.get(class).copied().unwrap_or(0);
            if *wanted > count {
                self.scale_out(now, *class, wanted - count, offered, settings);
            }
        }
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
        for rental in self.rentals.promising() {
            capacity.add_requested(rental, machine_types);
        }
        for entry in &self.rentals.inherited {
            capacity.add_inherited(entry, machine_types);
        }
        capacity
    }

    /// Target number of machines of each class, those to be requested in certain zones, and the
    /// observation of the spot market.
    fn target_machines(
        &self,
        planned: &CapacityTargets,
        capacity: &Capacity,
        offered: &[MachineType],
    ) -> Targets {
        let mut targets = Targets {
            zonal: self.zonal_requests(&planned.zonal, offered),
            ..Targets::default()
        };
        let (mut spot_wanted, mut spot_reporting) = (0.0, 0.0);
        let (mut price, mut max_cost) = (1.0, 0.0);
        for (index, machine_type) in offered.iter().enumerate() {
            let target = planned.by_type.get(&index).copied().unwrap_or_default();
            let class = |spot| MachineClass {
                machine_type: index,
                spot,
            };
            let existing = |class| {
                let requested = targets.zonal.iter().filter(|r| r.class == class);
                f64::from(capacity.count(class) + requested.map(|r| r.count).sum::<u32>())
            };
            let existing = MachineCounts {
                spot: existing(class(true)),
                on_demand: existing(class(false)),
            };
            let refused = self.is_spot_refused(index, machine_type, &ZoneScope::Any);
            let (spot, on_demand) = target_counts(&target, existing, refused);
            targets.machines.insert(class(true), spot);
            targets.machines.insert(class(false), on_demand);
            let wanted = target.spot_demand;
            let cost = wanted * machine_type.low_price;
            spot_wanted += wanted;
            spot_reporting += f64::from(capacity.count_reporting(class(true))).min(wanted);
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

    /// The machines to be requested in certain zones.
    fn zonal_requests(&self, zonal: &[ZonalTarget], offered: &[MachineType]) -> Vec<ZonalRequest> {
        let mut requests = Vec::new();
        for target in zonal {
            let Some(machine_type) = offered.get(target.machine_type) else {
                continue;
            };
            let refused = self.is_spot_refused(target.machine_type, machine_type, &target.zones);
            let (spot, on_demand) =
                target_counts(&target.missing, MachineCounts::default(), refused);
            for (spot, count) in [(true, spot), (false, on_demand)] {
                let class = MachineClass {
                    machine_type: target.machine_type,
                    spot,
                };
                if count > 0 {
                    requests.push(ZonalRequest {
                        class,
                        zones: target.zones.clone(),
                        count,
                    });
                }
            }
        }
        requests
    }

    /// Whether every one of these zones of the machine type has recently refused spot machines.
    fn is_spot_refused(&self, index: usize, machine_type: &MachineType, zones: &ZoneScope) -> bool {
        let class = MachineClass {
            machine_type: index,
            spot: true,
        };
        machine_type
            .zones
            .iter()
            .filter(|zone| zones.contains(zone))
            .all(|zone| {
                let market = Market::new(class, zone);
                self.rentals.refused_markets.contains_key(&market)
            })
    }
}

/// Machines in excess of the target.
pub(super) struct Surplus {
    /// In all zones together, by class.
    by_class: BTreeMap<MachineClass, u32>,
    /// By market: machines without which the jobs that are limited to its zone have enough.
    by_market: BTreeMap<Market, u32>,
}

impl Surplus {
    /// Takes one machine of the market from the surplus; false if the machine is needed.
    pub(super) fn take(&mut self, market: &Market) -> bool {
        let in_class = self.by_class.get_mut(&market.class());
        let in_market = self.by_market.get_mut(market);
        match (in_class, in_market) {
            (Some(in_class), Some(in_market)) if *in_class > 0 && *in_market > 0 => {
                *in_class -= 1;
                *in_market -= 1;
                true
            }
            _ => false,
        }
    }
}

fn surplus(
    capacity: &Capacity,
    targets: &Targets,
    needed_in_zone: &BTreeMap<Market, u32>,
) -> Surplus {
    let mut by_class = BTreeMap::new();
    for (class, count) in &capacity.machines {
        let wanted = targets.machines.get(class).copied().unwrap_or(0);
        by_class.insert(*class, count.saturating_sub(wanted));
    }
    let mut by_market = BTreeMap::new();
    for (market, count) in &capacity.machines_by_market {
        let needed = needed_in_zone.get(market).copied().unwrap_or(0);
        by_market.insert(market.clone(), count.saturating_sub(needed));
    }
    Surplus {
        by_class,
        by_market,
    }
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
#[derive(Clone, Copy, Default)]
struct MachineCounts {
    spot: f64,
    on_demand: f64,
}

/// Target number of spot and of on-demand machines of one type. `spot_refused`: the cloud currently
/// refuses spot machines of this type.
///
/// Required capacity that is neither present nor on its way is rented on demand only where spot
/// is refused; so is one machine for jobs that no machine admits. Existing on-demand machines take
/// over part of the work.
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
    if spot_refused && target.unserved {
        return (
            round_up(target.spot + target.standby) as u32,
            (required_on_demand + extra_on_demand + 1.0) as u32,
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
