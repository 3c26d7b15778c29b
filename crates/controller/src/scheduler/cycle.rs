//! State of one scheduling cycle: free capacity, usage of each team and intermediate results. All
//! code that places tasks shares it, and it is dropped at the end of the cycle.

use super::machine::Machine;
use super::quota::TeamUsage;
use super::victims::PreemptionPlan;
use super::Scheduler;
use crate::eligibility::ZoneCounts;
use crate::faults::fault_injected;
use crate::placement_pages;
use crate::split::{MachineType, Resources, EPSILON};
use beamhinge_core::job::Urgency;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{JobId, MachineId, Time};
use std::collections::BTreeMap;

/// Maximum number of placement pages that one cycle may fill.
const MAX_PAGES: usize = 4;

/// A machine that accepts tasks, with its remaining free capacity in this cycle.
pub(super) struct MachineCapacity {
    pub(super) id: MachineId,
    /// Index into the machine types of the cycle.
    pub(super) machine_type: usize,
    pub(super) free: Resources,
    /// The machine has allocations or orphan tasks, or got a task in this cycle.
    pub(super) occupied: bool,
    /// It has not acknowledged recent commands: it gets a single task as a probe.
    pub(super) unacknowledged: bool,
}

/// A task that is expected to end soon.
pub(super) struct ExpectedExit {
    pub(super) remaining_s: f64,
    pub(super) cpus: f64,
}

/// A machine where tasks are expected to end soon.
pub(super) struct UpcomingExits {
    pub(super) machine: MachineId,
    pub(super) exits: Vec<ExpectedExit>,
    /// The highest urgency among tasks already nominated for the machine; `None` without any.
    pub(super) nominated: Option<Urgency>,
}

/// One scheduling cycle over the pending jobs.
pub(super) struct SchedulingCycle<'a> {
    pub(super) settings: &'a Settings,
    pub(super) machine_types: &'a [MachineType],
    /// Machines with free CPUs, in order of their ids.
    pub(super) capacities: Vec<MachineCapacity>,
    /// Usage by team index.
    pub(super) team_usage: Vec<TeamUsage>,
    /// Tasks by zone, for jobs with a zone rule and all jobs that got a task in this cycle.
    pub(super) tasks_by_zone: BTreeMap<JobId, ZoneCounts>,
    /// Number of tasks that may still be placed, limited to what the next few transactions carry.
    pub(super) remaining_placements: usize,
    /// The most CPUs that are free on any one machine.
    pub(super) max_free_cpus: f64,
    /// Tasks placed now count against the priority lane.
    pub(super) filling_priority_lane: bool,
    /// Computed on first use.
    pub(super) upcoming_exits: Option<Vec<UpcomingExits>>,
    /// Computed on first use.
    pub(super) preemption_plan: Option<PreemptionPlan>,
}

impl SchedulingCycle<'_> {
    /// Counts one more task of the job in a zone.
    pub(super) fn count_in_zone(&mut self, job: JobId, zone: &str) {
        let counts = self.tasks_by_zone.entry(job).or_default();
        *counts.entry(zone.to_string()).or_default() += 1;
    }

    /// Accounts for an allocated task. A nominated task uses no capacity until other tasks end.
    pub(super) fn record_allocation(
        &mut self,
        machine: MachineId,
        team: Option<usize>,
        resources: &Resources,
        nominated: bool,
    ) {
        if let Some(team) = team {
            self.team_usage[team].add(resources);
        }
        if let (Some(plan), false) = (&mut self.preemption_plan, nominated) {
            plan.candidates.allocate(machine, resources);
        }
        self.remaining_placements -= 1;
    }

    /// Recomputes the most CPUs that are free on any one machine.
    pub(super) fn update_max_free_cpus(&mut self) {
        let free = self.capacities.iter().map(|capacity| capacity.free.cpus);
        self.max_free_cpus = free.fold(0.0, f64::max);
    }
}

impl Scheduler {
    /// Starts a cycle from the current allocations.
    pub(super) fn begin_cycle<'a>(
        &self,
        now: Time,
        settings: &'a Settings,
        machine_types: &'a [MachineType],
    ) -> SchedulingCycle<'a> {
        let max_placements = placement_pages::rows_per_page(self.max_value_bytes) * MAX_PAGES;
        let mut cycle = SchedulingCycle {
            settings,
            machine_types,
            capacities: Vec::new(),
            team_usage: vec![TeamUsage::default(); self.teams.len()],
            tasks_by_zone: self.tasks_by_zone(),
            remaining_placements: max_placements.saturating_sub(self.commit_queue.len()),
            max_free_cpus: 0.0,
            filling_priority_lane: false,
            upcoming_exits: None,
            preemption_plan: None,
        };
        for (id, machine) in &self.machines {
            self.count_tasks(machine, &mut cycle);
            self.add_capacity(now, *id, machine, &mut cycle);
        }
        cycle
    }

    /// Counts the tasks on a machine towards the usage of their teams.
    fn count_tasks(&self, machine: &Machine, cycle: &mut SchedulingCycle) {
        for allocation in machine.resident.allocations.values() {
            // Guard: a task that is being stopped counts until its end is proven.
            let excluded = allocation.kill_grace_s.is_some()
                && fault_injected!(self.faults, stopping_tasks_not_counted);
            if let Some(team) = allocation.team.filter(|_| !excluded) {
                cycle.team_usage[team].add(&allocation.resources);
            }
        }
        for orphan in &machine.resident.orphans {
            if let Some(team) = orphan.team {
                cycle.team_usage[team].add(&orphan.resources);
            }
        }
    }

    /// Number of tasks by zone of each job that has a zone rule and tasks on machines.
    pub(super) fn tasks_by_zone(&self) -> BTreeMap<JobId, ZoneCounts> {
        let mut counts: BTreeMap<JobId, ZoneCounts> = BTreeMap::new();
        if !self.jobs.keys().any(|id| self.has_zone_rule(*id)) {
            return counts;
        }
        for machine in self.machines.values() {
            let resident = &machine.resident;
            let allocated = resident.allocations.keys().map(|task| task.job);
            // Guards against `wrong_place`: an orphan task also occupies a zone of its job.
            let orphaned = resident.orphans.iter().map(|orphan| orphan.task.job);
            for job in allocated.chain(orphaned) {
                if self.has_zone_rule(job) {
                    let zone = machine.identity.zone.clone();
                    *counts.entry(job).or_default().entry(zone).or_default() += 1;
                }
            }
        }
        counts
    }

    /// Whether the job has a zone rule. Existing tasks are counted by zone only for such jobs.
    fn has_zone_rule(&self, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| job.spec.single_zone || job.spec.spread)
    }

    /// Adds the machine to the cycle if it accepts tasks and has CPUs free.
    fn add_capacity(
        &self,
        now: Time,
        id: MachineId,
        machine: &Machine,
        cycle: &mut SchedulingCycle,
    ) {
        let free = machine.unallocated(cycle.machine_types);
        let Some(machine_type) = machine
            .identity
            .machine_type
            .filter(|_| free.cpus > EPSILON && self.accepts_tasks(now, machine))
        else {
            return;
        };
        cycle.max_free_cpus = cycle.max_free_cpus.max(free.cpus);
        let unacknowledged = machine
            .acknowledgement
            .tracker
            .unacknowledged_for_s(now)
            .is_some();
        if unacknowledged && !machine.is_empty() {
            return;
        }
        cycle.capacities.push(MachineCapacity {
            id,
            machine_type,
            free,
            occupied: !machine.is_empty(),
            unacknowledged,
        });
    }
}
