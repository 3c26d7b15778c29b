//! Priority aging: the priority lane of boosted jobs, and machine reservations.
//!
//! This module applies the rules of `beamhinge_priority_aging` to the scheduler's state. The order
//! depends only on stored state, which is the submission times and the allocations, so a new leader
//! computes the same order. Reservations and preemption counts are not stored and start empty after
//! a failover; the bound in `docs/priority-aging.md` accounts for that.

use super::allocation::Allocation;
use super::bin_packing::PlacementPass;
use super::cycle::SchedulingCycle;
use super::feasibility::is_feasible;
use super::job::Job;
use super::machine::Machine;
use super::{age_s, Scheduler};
use crate::eligibility::{violates_zone_rule, ZoneCounts};
use crate::job_store::{JobKind, JobSpec};
use crate::split::MachineType;
use beamhinge_admin_api::reasons::Reason;
use beamhinge_core::types::{JobId, MachineId, TaskId, Time, WallMs};
use beamhinge_priority_aging::{earliest_fit_s, PriorityLane, Reservation, RunningTask};

/// In each cycle, at most one starving job per this number of machines, and at least one, may get
/// a reservation.
const MACHINES_PER_STARVING_RESERVATION: usize = 20;

impl Scheduler {
    /// When a job becomes boosted, milliseconds of wall-clock time; `None` if it never does.
    /// Services are never boosted, because a service in the priority lane would occupy it
    /// indefinitely.
    fn boosted_at_ms(&self, spec: &JobSpec) -> Option<u64> {
        let ends_by_itself = spec.kind == JobKind::Batch;
        ends_by_itself
            .then(|| self.aging.boosted_at_ms(spec.urgency, spec.submitted()))
            .flatten()
    }

    /// Pending boosted jobs, the one that was boosted earliest first.
    pub(super) fn boosted_jobs(&self, now: Time, wall: WallMs) -> Vec<JobId> {
        if !self.aging.is_enabled() {
            return Vec::new();
        }
        let pending = self
            .jobs
            .iter()
            .filter(|(id, job)| self.pause_reason(now, **id, job).is_none());
        let mut boosted: Vec<(u64, JobId)> = pending
            .filter_map(|(id, job)| {
                let at_ms = self.boosted_at_ms(&job.spec)?;
                (at_ms <= wall.0).then_some((at_ms, *id))
            })
            .collect();
        boosted.sort_unstable();
        boosted.into_iter().map(|(_, id)| id).collect()
    }

    /// The priority lane with its current usage.
    pub(super) fn priority_lane(&self, now: Time, machine_types: &[MachineType]) -> PriorityLane {
        let usable = self
            .machines
            .values()
            .filter(|machine| self.accepts_tasks(now, machine));
        let cpus = usable
            .filter_map(|machine| machine.lookup_type(machine_types))
            .map(|machine_type| machine_type.cpus)
            .sum();
        let mut lane = PriorityLane::new(self.aging.lane_width_cpus(cpus));
        for allocation in self
            .machines
            .values()
            .flat_map(|machine| machine.resident.allocations.values())
            .filter(|allocation| allocation.boosted)
        {
            lane.add(allocation.resources.cpus);
        }
        lane
    }

    /// Places tasks of boosted jobs, or reserves machines for them, up to the width of the priority
    /// lane.
    pub(super) fn fill_priority_lane(
        &mut self,
        now: Time,
        wall: WallMs,
        cycle: &mut SchedulingCycle,
    ) {
        let boosted = self.boosted_jobs(now, wall);
        if boosted.is_empty() {
            return;
        }
        let mut lane = self.priority_lane(now, cycle.machine_types);
        cycle.filling_priority_lane = true;
        'jobs: for id in boosted {
            while let Some(job) = self.jobs.get(&id).filter(|job| job.pending_tasks() > 0) {
                let resources = job.resources();
                let exceeded = self
                    .team_index(&job.spec)
                    .and_then(|team| self.quota_exceeded(cycle.team_usage[team], team, &resources));
                if exceeded.is_some() {
                    // Its team's limit blocks the job, not a lack of free capacity.
                    break;
                }
                // Guards the bound on the wait: no job overtakes a job for which the lane is too
                // full. Smaller jobs behind it would otherwise keep the lane full indefinitely.
                if cycle.remaining_placements == 0 || !lane.admits(resources.cpus) {
                    break 'jobs;
                }
                if self.place_first_fit(now, cycle, id, PlacementPass::Any, 1) == 0 {
                    if self.reserve_machine(now, cycle, id).is_some() {
                        lane.add(resources.cpus);
                    }
                    break;
                }
                lane.add(resources.cpus);
            }
        }
        cycle.filling_priority_lane = false;
    }

    /// For each starving job without a placed task, reserves the machine that will have enough free
    /// capacity first, up to the limit of [`MACHINES_PER_STARVING_RESERVATION`]. Otherwise smaller
    /// tasks would use up all capacity as soon as it becomes free.
    pub(super) fn reserve_for_starving(
        &mut self,
        now: Time,
        cycle: &SchedulingCycle,
        starving: &[JobId],
    ) {
        let max_jobs = (self.machines.len() / MACHINES_PER_STARVING_RESERVATION).max(1);
        for id in starving.iter().take(max_jobs) {
            if self
                .jobs
                .get(id)
                .is_some_and(|job| job.attempts_by_task.is_empty())
            {
                let _ = self.reserve_machine(now, cycle, *id);
            }
        }
    }

    /// Releases the reservations of jobs that are not in `eligible_jobs`, and the reservations of
    /// machines that their job can no longer use.
    pub(super) fn retain_reservations(
        &mut self,
        now: Time,
        machine_types: &[MachineType],
        eligible_jobs: &[JobId],
    ) {
        if self.reservations.is_empty() {
            return;
        }
        let mut reservations = std::mem::take(&mut self.reservations);
        reservations.retain(|id, reservation| {
            let (Some(job), Some(machine)) =
                (self.jobs.get(&id), self.machines.get(&reservation.machine))
            else {
                return false;
            };
            let machine_type = machine.lookup_type(machine_types);
            eligible_jobs.contains(&id)
                && self.accepts_tasks(now, machine)
                && machine_type
                    .is_some_and(|machine_type| is_feasible(&job.spec, machine_type, machine))
        });
        self.reservations = reservations;
    }

    /// Reserves the machine that will have enough free capacity for the job's next task first. An
    /// existing reservation of the job is kept. Returns `None` if no machine can be reserved.
    fn reserve_machine(
        &mut self,
        now: Time,
        cycle: &SchedulingCycle,
        id: JobId,
    ) -> Option<Reservation> {
        if let Some(reservation) = self.reservations.get(id) {
            return Some(reservation);
        }
        let job = self.jobs.get(&id)?;
        let no_tasks = ZoneCounts::new();
        let tasks_by_zone = cycle.tasks_by_zone.get(&id).unwrap_or(&no_tasks);
        let available: Vec<(MachineId, f64)> = self
            .machines
            .iter()
            .filter(|(_, machine)| self.accepts_tasks(now, machine))
            .filter(|(_, machine)| {
                !violates_zone_rule(&job.spec, tasks_by_zone, &machine.identity.zone)
            })
            .filter_map(|(machine_id, machine)| {
                let available_in_s = self.available_in_s(now, cycle, job, machine)?;
                Some((*machine_id, available_in_s))
            })
            .collect();
        let reservation = self.reservations.reserve(now, id, available.into_iter())?;
        tracing::info!(
            machine = %reservation.machine,
            job = %id,
            available_in_s = reservation.available_at.until(now),
            "reserved machine"
        );
        self.withdraw_nominations(now, reservation.machine);
        Some(reservation)
    }

    /// Estimated time until the machine has enough free capacity for a task of the job, seconds;
    /// `None` if it never will.
    fn available_in_s(
        &self,
        now: Time,
        cycle: &SchedulingCycle,
        job: &Job,
        machine: &Machine,
    ) -> Option<f64> {
        let machine_type = machine.lookup_type(cycle.machine_types)?;
        if !is_feasible(&job.spec, machine_type, machine) {
            return None;
        }
        let free = machine.unallocated(cycle.machine_types);
        let mut running = self.running_tasks(now, machine);
        earliest_fit_s(free, &mut running, job.resources())
    }

    /// Withdraws the nominations for a machine. Their tasks have not started and can be placed on
    /// another machine.
    fn withdraw_nominations(&mut self, now: Time, machine_id: MachineId) {
        let Some(machine) = self.machines.get(&machine_id) else {
            return;
        };
        let nominated: Vec<TaskId> = machine
            .resident
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.nominated_at.is_some())
            .map(|(task, _)| *task)
            .collect();
        for task in nominated {
            self.release_allocation(now, machine_id, task, false, 0.0);
        }
    }

    /// Tasks that occupy a machine, with their estimated remaining run times.
    fn running_tasks(&self, now: Time, machine: &Machine) -> Vec<RunningTask> {
        let allocations = machine
            .resident
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.nominated_at.is_none());
        allocations
            .filter_map(|(task, allocation)| {
                let job = self.jobs.get(&task.job)?;
                // A service runs until it is stopped, so its end cannot be estimated.
                (job.spec.kind == JobKind::Batch).then(|| RunningTask {
                    remaining_s: (self.expected_run_s(job) - allocation.ran_s(now)).max(0.0),
                    resources: allocation.resources,
                })
            })
            .collect()
    }

    /// Explains to operators how far a pending job's wait has increased its priority; `None` if
    /// aging is disabled or the job is unknown.
    pub(super) fn explain_aging(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        machine_types: &[MachineType],
    ) -> Option<Reason> {
        let job = self.jobs.get(&id).filter(|_| self.aging.is_enabled())?;
        let boost = self
            .aging
            .boost(job.spec.urgency, job.spec.submitted(), wall);
        let boosted = self.boosted_jobs(now, wall);
        let lane = self.priority_lane(now, machine_types);
        let reservation = self.reservations.get(id);
        Some(Reason::PriorityAging {
            priority: boost.priority,
            age_s: age_s(wall, &job.spec).max(0.0),
            rises_in_s: self.boosted_at_ms(&job.spec).and(boost.boosted_in_s),
            ahead: boosted.iter().position(|other| *other == id).unwrap_or(0) as u32,
            lane_cpus: lane.width_cpus(),
            held_cpus: lane.used_cpus(),
            kept: reservation.map(|reservation| reservation.machine.to_string()),
        })
    }

    /// Whether a machine is reserved for another job and a task of this job could not finish there
    /// as backfill before the reservation needs the machine.
    pub(super) fn is_reserved_for_other(&self, now: Time, machine: MachineId, id: JobId) -> bool {
        let Some((owner, reservation)) = self.reservations.owner(machine) else {
            return false;
        };
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let ends_in_time = job.spec.kind == JobKind::Batch
            && reservation.admits_backfill(now, self.expected_run_s(job));
        owner != id && !ends_in_time
    }

    /// Whether a task counts as boosted. A boosted task is preempted only for claims within a
    /// guarantee and for jobs whose urgency is above the ceiling.
    pub(super) fn is_boosted(&self, wall: WallMs, allocation: &Allocation, job: &Job) -> bool {
        let boosted_by_age = || {
            self.boosted_at_ms(&job.spec)
                .is_some_and(|at_ms| at_ms <= wall.0)
        };
        self.aging.is_enabled() && (allocation.boosted || boosted_by_age())
    }
}
