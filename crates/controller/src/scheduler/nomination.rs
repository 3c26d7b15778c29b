//! Nominations: tasks that are placed in advance on machines where other tasks are about to end,
//! so that they start with the answer to the report that lists those tasks as exited.

use super::allocation::{Allocation, TaskPhase, TaskState};
use super::cycle::{ExpectedExit, SchedulingCycle, UpcomingExits};
use super::feasibility::is_feasible;
use super::job::resources_of;
use super::machine::Machine;
use super::queue::PendingJob;
use super::Scheduler;
use crate::job_store::{JobKind, JobSpec};
use crate::split::{MachineType, Resources, EPSILON};
use beamhinge_core::job::Urgency;
use beamhinge_core::types::{TaskId, Time};

/// A machine that a task may be nominated for.
struct NominationCandidate {
    /// Index into the upcoming exits of the cycle.
    index: usize,
    has_image: bool,
    /// Time until the first expected exit that alone frees enough CPUs, in seconds.
    remaining_s: f64,
}

impl Scheduler {
    /// The period within which task exits are predicted, in seconds. A machine that gets new work
    /// only after its next report may be idle for as long as this.
    pub(super) fn exit_prediction_horizon_s(&self) -> f64 {
        self.report_s * 2.0 + 1.0
    }

    /// Turns nominations whose tasks fit by now into ordinary allocations. Tasks that have waited
    /// too long, and not for victims to end, return to the queue, which is safe because `run` was
    /// never sent for them.
    pub(super) fn settle_nominations(&mut self, now: Time, machine_types: &[MachineType]) {
        let max_wait_s = self.exit_prediction_horizon_s() * 2.0;
        let mut expired = Vec::new();
        for (id, machine) in &mut self.machines {
            if machine
                .resident
                .allocations
                .values()
                .all(|allocation| allocation.nominated_at.is_none())
            {
                continue;
            }
            let mut free = free_for_nominated(machine, machine_types);
            let mut nominated: Vec<(&TaskId, &mut Allocation)> = machine
                .resident
                .allocations
                .iter_mut()
                .filter(|(_, allocation)| allocation.nominated_at.is_some())
                .collect();
            // Reserved allocations first, then in the order in which they were nominated.
            nominated.sort_by_key(|(_, allocation)| (!allocation.reserved, allocation.attempt));
            for (task, allocation) in nominated {
                let Some(since) = allocation.nominated_at else {
                    continue;
                };
                let fits = allocation.resources.fits(&free);
                if fits || allocation.reserved {
                    free.sub(&allocation.resources);
                }
                if fits {
                    (allocation.nominated_at, allocation.reserved) = (None, false);
                } else if now.since(since) > max_wait_s
                    && !self.nominations.awaits_victims(*task, allocation.attempt)
                {
                    expired.push((*id, *task));
                }
            }
        }
        for (machine, task) in expired {
            self.release_allocation(now, machine, task, false, 0.0);
        }
    }

    /// Nominates the job's tasks for machines where other tasks are about to end.
    pub(super) fn nominate(
        &mut self,
        now: Time,
        cycle: &mut SchedulingCycle,
        pending: &PendingJob,
    ) {
        let Some(job) = self
            .jobs
            .get(&pending.id)
            .filter(|job| job.pending_tasks() > 0)
        else {
            return;
        };
        let spec = job.spec.clone();
        if cycle.remaining_placements == 0
            || spec.single_zone
            || spec.spread
            || spec.kind != JobKind::Batch
        {
            return;
        }
        let mut upcoming = match cycle.upcoming_exits.take() {
            Some(upcoming) => upcoming,
            None => self.upcoming_exits(now),
        };
        let mut candidates: Vec<NominationCandidate> = upcoming
            .iter()
            .enumerate()
            .filter_map(|(index, exits)| {
                self.nomination_candidate(now, cycle, pending, &spec, index, exits)
            })
            .collect();
        candidates.sort_by(|a, b| {
            let image_first = b.has_image.cmp(&a.has_image);
            image_first.then(a.remaining_s.total_cmp(&b.remaining_s))
        });
        let max_tasks = if pending.starving { 1 } else { usize::MAX };
        for candidate in candidates.into_iter().take(max_tasks) {
            let exits = &mut upcoming[candidate.index];
            if self
                .allocate(now, cycle, exits.machine, pending.id, Some(now))
                .is_none()
            {
                break;
            }
            exits.nominated = Some(spec.urgency);
        }
        cycle.upcoming_exits = Some(upcoming);
    }

    /// The machine as a candidate for the job; `None` if it is not eligible.
    fn nomination_candidate(
        &self,
        now: Time,
        cycle: &SchedulingCycle,
        pending: &PendingJob,
        spec: &JobSpec,
        index: usize,
        upcoming: &UpcomingExits,
    ) -> Option<NominationCandidate> {
        let machine = self.machines.get(&upcoming.machine)?;
        let machine_type = machine.lookup_type(cycle.machine_types)?;
        // Nomination saves no time if the image fetch takes longer than the wait for a report.
        let has_image = machine.resident.cached_images.contains(&spec.image);
        let quick_fetch = spec.image_gb < self.report_s * machine_type.fetch_gb_per_s;
        let allowed = (has_image || quick_fetch || pending.pressing)
            && is_feasible(spec, machine_type, machine);
        if !allowed
            || self.is_reserved_for_other(now, upcoming.machine, pending.id)
            || upcoming
                .nominated
                .is_some_and(|urgency| urgency >= spec.urgency)
        {
            return None;
        }
        // One exit alone must free enough CPUs, whatever else happens on the machine.
        let resources = resources_of(spec);
        let remaining_s = upcoming
            .exits
            .iter()
            .filter(|exit| exit.cpus + EPSILON >= resources.cpus)
            .map(|exit| exit.remaining_s)
            .min_by(f64::total_cmp)?;
        Some(NominationCandidate {
            index,
            has_image,
            remaining_s,
        })
    }

    /// Machines where tasks are about to end. The estimates are often wrong: a task that has
    /// exceeded its expected run time may end at any moment.
    fn upcoming_exits(&self, now: Time) -> Vec<UpcomingExits> {
        self.machines
            .iter()
            .filter(|(_, machine)| self.accepts_tasks(now, machine))
            .filter_map(|(id, machine)| {
                let exits = self.expected_exits(now, machine);
                (!exits.is_empty()).then(|| UpcomingExits {
                    machine: *id,
                    exits,
                    nominated: self.highest_nominated_urgency(machine),
                })
            })
            .collect()
    }

    /// Tasks on one machine that are expected to end soon.
    fn expected_exits(&self, now: Time, machine: &Machine) -> Vec<ExpectedExit> {
        let horizon_s = self.exit_prediction_horizon_s();
        let mut exits = Vec::new();
        for (task, allocation) in &machine.resident.allocations {
            let (Some(job), TaskState::Observed(TaskPhase::Running), Some(started)) = (
                self.jobs.get(&task.job),
                allocation.state,
                allocation.started_at,
            ) else {
                continue;
            };
            let remaining_s = (self.expected_run_s(job) - now.since(started)).max(0.0);
            if job.spec.kind == JobKind::Batch && remaining_s < horizon_s {
                exits.push(ExpectedExit {
                    remaining_s,
                    cpus: allocation.resources.cpus,
                });
            }
        }
        exits
    }

    /// The highest urgency among the tasks nominated for the machine; `None` if there are none.
    fn highest_nominated_urgency(&self, machine: &Machine) -> Option<Urgency> {
        let nominated = machine
            .resident
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.nominated_at.is_some());
        nominated
            .filter_map(|(task, _)| self.jobs.get(&task.job))
            .map(|job| job.spec.urgency)
            .max()
    }
}

/// The resources of a machine that nominated tasks may use: unallocated capacity and the capacity
/// reserved for them.
fn free_for_nominated(machine: &Machine, machine_types: &[MachineType]) -> Resources {
    let mut free = machine.unallocated(machine_types);
    let reserved =
        |allocation: &&Allocation| allocation.reserved && !allocation.may_be_on_machine();
    for allocation in machine.resident.allocations.values().filter(reserved) {
        free.add(&allocation.resources);
    }
    free
}
