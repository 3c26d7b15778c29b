//! Demand of jobs and free capacity over time, the inputs of fleet scaling.

use super::allocation::Allocation;
use super::job::{age_s, Job};
use super::Scheduler;
use crate::eligibility::{ZoneCounts, ZoneScope};
use crate::job_store::{JobKind, JobState};
use crate::split::{Demand, MachineClass, MachineType, EPSILON};
use crate::supply::{Supply, Vacancy, MAX_WAIT_FOR_EXIT_S};
use beamhinge_core::types::{JobId, MachineId, Time, WallMs};
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of its expected run time for which a task that has exceeded it is assumed to continue.
const OVERRUN_FRACTION: f64 = 0.25;

impl Scheduler {
    /// Demand of all unfinished open jobs that are not frozen.
    pub fn demands(&self, wall: WallMs, machine_types: &[MachineType]) -> Vec<Demand> {
        let zones = offered_zones(machine_types);
        let tasks_by_zone = self.tasks_by_zone();
        self.jobs
            .iter()
            .filter(|(_, job)| job.state == JobState::Open && !job.is_complete())
            // The fleet does not scale out for jobs that may not start.
            .filter(|(id, _)| !self.is_frozen(**id))
            .map(|(id, job)| self.demand(wall, *id, job, &tasks_by_zone, &zones))
            .collect()
    }

    /// Demand of one job.
    pub(super) fn demand(
        &self,
        wall: WallMs,
        id: JobId,
        job: &Job,
        tasks_by_zone: &BTreeMap<JobId, ZoneCounts>,
        zones: &BTreeSet<String>,
    ) -> Demand {
        let spec = &job.spec;
        let unfinished = spec.tasks - job.progress.done_count().min(spec.tasks);
        // A job that fails on all machines demands capacity for at most one task, so that no
        // further machines are rented for it while it is in backoff.
        let remaining = if self.fault_attribution.is_job_faulty(id) {
            unfinished.min(1)
        } else {
            unfinished
        };
        // Tasks beyond the team's limit cannot run.
        let cpus_max = self.team_index(spec).map(|team| self.teams[team].cpus_max);
        let max_tasks = match cpus_max {
            Some(cpus_max) if cpus_max > 0.0 && spec.cpus > 0.0 => {
                (cpus_max / spec.cpus + EPSILON) as u32
            }
            _ => u32::MAX,
        };
        let active = job.active_tasks().min(max_tasks);
        let no_tasks = ZoneCounts::new();
        let tasks_by_zone = tasks_by_zone.get(&id).unwrap_or(&no_tasks);
        let next_zones = ZoneScope::of_next_task(spec, tasks_by_zone, zones);
        // No machine helps tasks that may be placed in no zone until others of the job have ended.
        let remaining = if next_zones.is_empty() {
            remaining.min(active)
        } else {
            remaining
        };
        Demand {
            job: id,
            class: spec.class.clone(),
            resources: job.resources(),
            remaining_tasks: remaining.min(max_tasks),
            placed_tasks: active,
            run_s: self.expected_run_s(job),
            age_s: age_s(wall, spec),
            deadline_s: spec.due_s,
            image_gb: spec.image_gb,
            priority: spec.urgency as u8,
            deadline_array: spec.kind == JobKind::Batch,
            spot: spec.spot,
            machine_types: spec.machine_types.clone(),
            placed_zones: if spec.spread {
                ZoneScope::of_job(spec)
            } else {
                next_zones.clone()
            },
            zones: next_zones,
        }
    }

    /// Adds a machine to the supply: what lasting tasks leave free on it, and when its CPUs become
    /// free. CPUs of services never do. Machines of an unknown type are left out.
    pub fn add_supply(
        &self,
        now: Time,
        id: MachineId,
        class: MachineClass,
        zone: &str,
        machine_types: &[MachineType],
        supply: &mut Supply,
    ) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let Some(machine_type) = machine.lookup_type(machine_types) else {
            return;
        };
        let mut vacancy = Vacancy::whole(machine_type);
        let mut free_cpus = machine_type.cpus;
        let mut pieces = Vec::new();
        for (task, allocation) in &machine.resident.allocations {
            free_cpus -= allocation.resources.cpus;
            let remaining_s = self.remaining_s(now, task.job, allocation);
            if let Some(remaining_s) = remaining_s.filter(|s| s.is_finite()) {
                pieces.push((remaining_s, allocation.resources.cpus));
            }
            if remaining_s.is_some_and(|s| s > MAX_WAIT_FOR_EXIT_S) {
                vacancy.occupy(machine_type, &allocation.resources);
                supply.add_lasting_task(task.job);
            }
        }
        if free_cpus > EPSILON {
            pieces.push((0.0, free_cpus));
        }
        supply.add_machine(class, zone, vacancy, pieces);
    }

    /// Expected time until an allocated task ends, seconds: infinite for a service that is not
    /// being stopped; `None` if its job is unknown.
    fn remaining_s(&self, now: Time, id: JobId, allocation: &Allocation) -> Option<f64> {
        let job = self.jobs.get(&id)?;
        if job.spec.kind == JobKind::Service {
            return Some(allocation.kill_grace_s.unwrap_or(f64::INFINITY));
        }
        let (run_s, ran_s) = (self.expected_run_s(job), allocation.ran_s(now));
        Some(if ran_s < run_s {
            run_s - ran_s
        } else {
            run_s * OVERRUN_FRACTION
        })
    }
}

/// All zones in which machines are offered.
pub(super) fn offered_zones(machine_types: &[MachineType]) -> BTreeSet<String> {
    machine_types
        .iter()
        .flat_map(|machine_type| machine_type.zones.iter().cloned())
        .collect()
}
