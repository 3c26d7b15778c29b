//! Open work and free capacity, as the fleet's scaling asks for them.

use super::job::{age_s, Job};
use super::Scheduler;
use crate::job_store::{JobKind, JobState};
use crate::split::{Demand, MachineType, EPSILON};
use beamhinge_core::types::{JobId, MachineId, Time, WallMs};

/// A task that has run longer than expected may go on for this part of its run time.
const OVERRUN_FRACTION: f64 = 0.25;

impl Scheduler {
    /// Open work of all jobs that may start.
    pub fn demands(&self, wall: WallMs) -> Vec<Demand> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.state == JobState::Open && !job.is_complete())
            // The fleet does not scale out for what may not start.
            .filter(|(id, _)| !self.is_frozen(**id))
            .map(|(id, job)| self.demand(wall, *id, job))
            .collect()
    }

    /// One job's open work.
    pub(super) fn demand(&self, wall: WallMs, id: JobId, job: &Job) -> Demand {
        let spec = &job.spec;
        let unfinished = spec.tasks - job.progress.done_count().min(spec.tasks);
        // A job that fails everywhere earns no machines while it waits.
        let left = if self.fault_attribution.is_job_faulty(id) {
            unfinished.min(1)
        } else {
            unfinished
        };
        // Above its team's limit nothing of it can run.
        let cpus_max = self.team_index(spec).map(|team| self.teams[team].cpus_max);
        let max_tasks = match cpus_max {
            Some(cpus_max) if cpus_max > 0.0 && spec.cpus > 0.0 => {
                (cpus_max / spec.cpus + EPSILON) as u32
            }
            _ => u32::MAX,
        };
        Demand {
            job: id,
            class: spec.class.clone(),
            resources: job.resources(),
            remaining_tasks: left.min(max_tasks),
            placed_tasks: job.active_tasks().min(max_tasks),
            run_s: self.expected_run_s(job),
            age_s: age_s(wall, spec),
            deadline_s: spec.due_s,
            image_gb: spec.image_gb,
            priority: spec.urgency as u8,
            deadline_array: spec.kind == JobKind::Batch,
            spot: spec.spot,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
        }
    }

    /// Adds a machine's CPUs to `pool`, by the seconds after which they are or become free.
    pub fn capacity_over_time(
        &self,
        now: Time,
        id: MachineId,
        machine_types: &[MachineType],
        pool: &mut Vec<(f64, f64)>,
    ) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let Some(machine_type) = machine.lookup_type(machine_types) else {
            return;
        };
        let mut free_cpus = machine_type.cpus;
        for (task, allocation) in &machine.resident.allocations {
            free_cpus -= allocation.resources.cpus;
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let (run_s, ran_s) = (self.expected_run_s(job), allocation.ran_s(now));
            let left_s = if ran_s < run_s {
                run_s - ran_s
            } else {
                run_s * OVERRUN_FRACTION
            };
            if job.spec.kind == JobKind::Batch {
                pool.push((left_s, allocation.resources.cpus));
            }
        }
        if free_cpus > EPSILON {
            pool.push((0.0, free_cpus));
        }
    }
}
