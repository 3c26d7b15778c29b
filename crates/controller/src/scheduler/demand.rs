//! Demand of jobs and free capacity over time, the inputs of fleet scaling.

use super::job::{age_s, Job};
use super::Scheduler;
use crate::job_store::{JobKind, JobState};
use crate::split::{Demand, MachineType, EPSILON};
use beamhinge_core::types::{JobId, MachineId, Time, WallMs};

/// Fraction of its expected run time for which a task that has exceeded it is assumed to continue.
const OVERRUN_FRACTION: f64 = 0.25;

impl Scheduler {
    /// Demand of all unfinished open jobs that are not frozen.
    pub fn demands(&self, wall: WallMs) -> Vec<Demand> {
        self.jobs
            .iter()
            .filter(|(_, job)| job.state == JobState::Open && !job.is_complete())
            // The fleet does not scale out for jobs that may not start.
            .filter(|(id, _)| !self.is_frozen(**id))
            .map(|(id, job)| self.demand(wall, *id, job))
            .collect()
    }

    /// Demand of one job.
    pub(super) fn demand(&self, wall: WallMs, id: JobId, job: &Job) -> Demand {
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
        Demand {
            job: id,
            class: spec.class.clone(),
            resources: job.resources(),
            remaining_tasks: remaining.min(max_tasks),
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

    /// Adds a machine's CPUs to `pool`, as pairs of the seconds until the CPUs become free and the
    /// number of CPUs. CPUs of services are left out.
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
            let remaining_s = if ran_s < run_s {
                run_s - ran_s
            } else {
                run_s * OVERRUN_FRACTION
            };
            if job.spec.kind == JobKind::Batch {
                pool.push((remaining_s, allocation.resources.cpus));
            }
        }
        if free_cpus > EPSILON {
            pool.push((0.0, free_cpus));
        }
    }
}
