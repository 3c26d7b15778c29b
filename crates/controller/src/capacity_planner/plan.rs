//! One planning run: collects the demand of all jobs, compares it with the supply and computes the
//! target capacity.

use super::coverage::{self, Coverage, Group, GroupCoverage, GroupKey, MIN_FRACTION};
use super::shortfall::{shortfall_cpus, QueueRank, QueuedTasks};
use crate::eligibility::ZoneScope;
use crate::split::{self, Demand, MachineType, Market, RefusedMarkets, TypeChoice};
use crate::supply::{RoomQuery, Supply};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::Time;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Target capacity of one machine type, in machines. `spot`, `timely` and `on_demand` include the
/// parts of existing machines that no waiting task can use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetCapacity {
    /// Demand of all jobs that may run on spot machines.
    pub spot_demand: f64,
    /// Capacity worth renting at the spot price.
    pub spot: f64,
    /// The part of `spot` for jobs that can still meet their deadline.
    pub timely: f64,
    /// Standby capacity for classes whose jobs may not wait.
    pub standby: f64,
    /// Capacity required beyond the machines that are up, booting or requested.
    pub shortfall: f64,
    /// Capacity for jobs that may not run on spot machines.
    pub on_demand: f64,
    /// Whether no machine that exists, boots or is requested admits some job that may run on spot
    /// machines.
    pub unserved: bool,
}

/// Capacity that is missing in certain zones, because jobs are limited to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonalTarget {
    /// Index into the machine types.
    pub machine_type: usize,
    /// The zones.
    pub zones: ZoneScope,
    /// The missing capacity.
    pub missing: TargetCapacity,
}

/// Result of one planning run.
#[derive(Default)]
pub struct CapacityTargets {
    /// Target capacity by machine type, for all zones together.
    pub by_type: BTreeMap<usize, TargetCapacity>,
    /// Capacity that is missing in certain zones; `by_type` includes it.
    pub zonal: Vec<ZonalTarget>,
    /// Number of existing machines that jobs need which are limited to their zone.
    pub needed_in_zone: BTreeMap<Market, u32>,
}

/// Inputs of one planning run.
pub struct PlanInputs<'a> {
    /// Monotonic time.
    pub now: Time,
    /// Demand of all open jobs.
    pub demands: &'a [Demand],
    /// The machine types that can be rented.
    pub machine_types: &'a [MachineType],
    /// The platform's settings.
    pub settings: &'a Settings,
    /// CPUs of all owned machines.
    pub owned_cpus: f64,
    /// The machines that exist, boot or are requested.
    pub supply: &'a Supply,
    /// Markets that recently refused a request.
    pub refused: &'a RefusedMarkets,
}

/// Inputs and intermediate results of one planning run.
pub(super) struct Plan<'a> {
    pub(super) now: Time,
    pub(super) machine_types: &'a [MachineType],
    pub(super) settings: &'a Settings,
    pub(super) supply: &'a Supply,
    pub(super) refused: &'a RefusedMarkets,
    /// For each type, whether some job fits no other type.
    pub(super) exclusive: Vec<bool>,
    /// CPUs of owned machines that are not assigned to an open job.
    pub(super) unassigned_owned_cpus: f64,
    pub(super) targets: BTreeMap<usize, TargetCapacity>,
    pub(super) groups: BTreeMap<GroupKey, Group>,
    pub(super) queues: BTreeMap<usize, Vec<QueuedTasks>>,
    /// Number of open tasks of each class whose jobs may not wait.
    pub(super) open_tasks: BTreeMap<Rc<str>, f64>,
}

impl Plan<'_> {
    pub(super) fn target(&mut self, machine_type: usize) -> &mut TargetCapacity {
        self.targets.entry(machine_type).or_default()
    }

    pub(super) fn enqueue(&mut self, machine_type: usize, tasks: QueuedTasks) {
        self.queues.entry(machine_type).or_default().push(tasks);
    }

    /// The machine type for a job: the cheapest one. If all its markets refuse requests and no
    /// machine of it has room for the job, the cheapest type that can be rented.
    pub(super) fn choose_type(&self, demand: &Demand) -> Option<TypeChoice> {
        let choice = split::cheapest_type(self.machine_types, demand, &self.exclusive)?;
        let is_refused = |index: usize, machine_type: &MachineType| {
            demand.is_refused(index, &machine_type.zones, self.refused)
        };
        let chosen = self.machine_types.get(choice.machine_type)?;
        let waits_in_vain = demand.waiting() > 0
            && is_refused(choice.machine_type, chosen)
            && !self.supply.has_room(&RoomQuery {
                machine_type: choice.machine_type,
                zones: &demand.zones,
                spot: demand.spot,
                resources: &demand.resources,
            });
        if !waits_in_vain {
            return Some(choice);
        }
        let rentable: Vec<MachineType> = self
            .machine_types
            .iter()
            .enumerate()
            .map(|(index, machine_type)| MachineType {
                zones: if is_refused(index, machine_type) {
                    Vec::new()
                } else {
                    machine_type.zones.clone()
                },
                ..machine_type.clone()
            })
            .collect();
        split::cheapest_type(&rentable, demand, &self.exclusive).or(Some(choice))
    }

    /// Adds the slots that a job needs at once, `timely` of them for a job that can still meet its
    /// deadline. Slots of lasting tasks stay where they are and need no other machine.
    pub(super) fn add_slots(
        &mut self,
        demand: &Demand,
        choice: TypeChoice,
        slots: f64,
        timely: bool,
    ) {
        let lasting = f64::from(self.supply.lasting_tasks(demand.job));
        let movable = (slots - lasting).max(0.0);
        let waiting = (slots - f64::from(demand.placed_tasks)).clamp(0.0, movable);
        self.add_group(demand, choice, &demand.zones, waiting, timely);
        self.add_group(
            demand,
            choice,
            &demand.placed_zones,
            movable - waiting,
            timely,
        );
    }

    fn add_group(
        &mut self,
        demand: &Demand,
        choice: TypeChoice,
        zones: &ZoneScope,
        slots: f64,
        timely: bool,
    ) {
        if slots <= 0.0 {
            return;
        }
        let machines = slots / tasks_per_machine(choice);
        let timely = if timely { machines } else { 0.0 };
        let target = self.target(choice.machine_type);
        if demand.spot {
            target.spot += machines;
            target.timely += timely;
        } else {
            target.on_demand += machines;
        }
        let resources = demand.resources;
        let key = GroupKey::new(choice.machine_type, zones, demand.spot, false, &resources);
        let group = Group {
            resources,
            fit: tasks_per_machine(choice),
            machines,
            timely,
        };
        self.merge_group(key, group);
    }

    /// Adds demand to the group with the same key.
    pub(super) fn merge_group(&mut self, key: GroupKey, group: Group) {
        let merged = self.groups.entry(key).or_insert(Group {
            machines: 0.0,
            timely: 0.0,
            ..group
        });
        merged.machines += group.machines;
        merged.timely += group.timely;
    }

    /// Adds a job without a deadline: it needs capacity for all its tasks, in order of arrival.
    pub(super) fn add_job_without_deadline(
        &mut self,
        demand: &Demand,
        choice: TypeChoice,
        boot_s: f64,
    ) {
        let slots = f64::from(demand.remaining_tasks);
        self.target(choice.machine_type).spot_demand += slots / tasks_per_machine(choice);
        self.add_slots(demand, choice, slots, false);
        self.enqueue(
            choice.machine_type,
            QueuedTasks {
                rank: QueueRank {
                    inverse_priority: u8::MAX - demand.priority,
                    late: false,
                },
                zones: demand.zones.clone(),
                time_to_deadline_s: -demand.age_s,
                cpus: demand.resources.cpus,
                count: demand.waiting(),
                run_s: demand.run_s.max(1.0),
                latest_start_s: Some(boot_s),
                setup_s: boot_s,
            },
        );
    }

    /// The shortfall of each machine type in machines, by the zones in which the waiting tasks may
    /// be placed.
    fn shortfalls(&mut self) -> BTreeMap<(usize, ZoneScope), f64> {
        let mut shortfalls = BTreeMap::new();
        for (machine_type, mut queue) in std::mem::take(&mut self.queues) {
            let cpus = self.machine_types.get(machine_type).map_or(0.0, |t| t.cpus);
            if cpus > 0.0 {
                let pieces = self.supply.pieces(machine_type);
                let missing_cpus = shortfall_cpus(pieces, self.supply.zones(), &mut queue);
                shortfalls.extend(
                    missing_cpus
                        .into_iter()
                        .map(|(zones, missing)| ((machine_type, zones), missing / cpus)),
                );
            }
        }
        shortfalls
    }

    /// Compares the demand with the supply and completes the targets.
    pub(super) fn into_targets(mut self) -> CapacityTargets {
        let shortfalls = self.shortfalls();
        let coverage = coverage::assign(&self.groups, self.supply);
        for (class, machines) in &coverage.occupied {
            let target = self.target(class.machine_type);
            if class.spot {
                target.spot += machines;
                target.timely += machines;
            } else {
                target.on_demand += machines;
            }
        }
        let mut zonal: BTreeMap<(usize, ZoneScope), TargetCapacity> = BTreeMap::new();
        for (key, covered) in &coverage.groups {
            if let Some(group) = self.groups.get(key).copied().filter(|_| !key.standby) {
                let missing = match &key.zones {
                    ZoneScope::Any => self.target(key.machine_type),
                    ZoneScope::Only(_) => zonal
                        .entry((key.machine_type, key.zones.clone()))
                        .or_default(),
                };
                add_missing(missing, key, &group, covered);
            }
        }
        for ((machine_type, zones), shortfall) in shortfalls {
            let missing = match zones {
                ZoneScope::Any => self.target(machine_type),
                ZoneScope::Only(_) => zonal.entry((machine_type, zones)).or_default(),
            };
            missing.shortfall += shortfall;
        }
        CapacityTargets {
            by_type: self.targets,
            zonal: zonal
                .into_iter()
                .filter(|(_, missing)| *missing != TargetCapacity::default())
                .map(|((machine_type, zones), missing)| ZonalTarget {
                    machine_type,
                    zones,
                    missing,
                })
                .collect(),
            needed_in_zone: needed_in_zone(&coverage, self.supply),
        }
    }
}

/// Adds the uncovered part of a group to the missing capacity. For groups that may use every zone,
/// the total target already includes it.
fn add_missing(
    missing: &mut TargetCapacity,
    key: &GroupKey,
    group: &Group,
    covered: &GroupCoverage,
) {
    missing.unserved |= key.spot && group.machines > 0.0 && !covered.has_room;
    if key.zones == ZoneScope::Any {
        return;
    }
    if key.spot {
        missing.spot += covered.uncovered;
        missing.timely += covered.uncovered.min(group.timely);
    } else {
        missing.on_demand += covered.uncovered;
    }
}

/// The numbers of machines that jobs need which are limited to their zones.
fn needed_in_zone(coverage: &Coverage, supply: &Supply) -> BTreeMap<Market, u32> {
    let mut needed = BTreeMap::new();
    for ((class, zone), machines) in &coverage.needed_in_zone {
        if let Some(zone) = supply.zones().get(*zone) {
            needed.insert(
                Market::new(*class, zone),
                (machines - MIN_FRACTION).ceil() as u32,
            );
        }
    }
    needed
}

pub(super) fn tasks_per_machine(choice: TypeChoice) -> f64 {
    f64::from(choice.fit.max(1))
}
