//! Priority aging: the lane of boosted jobs, and reservations of machines.
//!
//! The rules are those of `beamhinge_priority_aging`; here they meet the scheduler's state. All
//! that decides is stored: when a job was submitted, and what is allocated. A new leader finds
//! the same order. Reservations and the counts of preemptions are made anew: the bound in
//! `docs/priority-aging.md` counts a failover for that.

use super::allocation::Allocation;
use super::bin_packing::PlacementPass;
use super::cycle::SchedulingCycle;
use super::feasibility::{is_feasible, violates_zone_rule, ZoneCounts};
use super::job::Job;
use super::machine::Machine;
use super::{age_s, Scheduler};
use crate::job_store::{JobKind, JobSpec};
use crate::split::MachineType;
use beamhinge_admin_api::reasons::Reason;
use beamhinge_core::types::{JobId, MachineId, TaskId, Time, WallMs};
use beamhinge_priority_aging::{earliest_fit_s, PriorityLane, Reservation, RunningTask};

/// One machine in so many may be reserved for starving jobs.
const MACHINES_PER_STARVING_RESERVATION: usize = 20;

impl Scheduler {
    /// When a job is boosted, milliseconds of the time of day. Services never are: one in the
    /// lane would hold it for ever.
    fn boosted_at_ms(&self, spec: &JobSpec) -> Option<u64> {
        let ends_by_itself = spec.kind == JobKind::Batch;
        ends_by_itself
            .then(|| self.aging.boosted_at_ms(spec.urgency, spec.submitted()))
            .flatten()
    }

    /// Pending jobs that are boosted, the one that has been so for longest in front.
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

    /// The lane with what its tasks hold now.
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

    /// Places boosted jobs, as far as the lane is wide.
    pub(super) fn fill_lane(&mut self, now: Time, wall: WallMs, cycle: &mut SchedulingCycle) {
        let boosted = self.boosted_jobs(now, wall);
        if boosted.is_empty() {
            return;
        }
        let mut lane = self.priority_lane(now, cycle.machine_types);
        cycle.filling_lane = true;
        'jobs: for id in boosted {
            while let Some(job) = self.jobs.get(&id).filter(|job| job.pending_tasks() > 0) {
                let resources = job.resources();
                let exceeded = self
                    .team_index(&job.spec)
                    .and_then(|team| self.quota_exceeded(cycle.team_usage[team], team, &resources));
                if exceeded.is_some() {
                    // Its team's limit, and no lack of room, is in its way.
                    break;
                }
                // Guard of the bound: nobody passes one for whom the lane is too full. Smaller
                // ones behind it would keep it so for ever.
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
        cycle.filling_lane = false;
    }

    /// Reserves, for each starving job that found no room for its first task, the machine that
    /// will have it first: else smaller tasks take each piece that comes free.
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

    /// Ends the reservations of jobs that are not in `wanted`, and those of machines that the
    /// job can no longer use.
    pub(super) fn retain_reservations(
        &mut self,
        now: Time,
        machine_types: &[MachineType],
        wanted: &[JobId],
    ) {
        if self.reservations.is_empty() {
            return;
        }
        let mut reserved = std::mem::take(&mut self.reservations);
        reserved.retain(|id, reservation| {
            let (Some(job), Some(machine)) =
                (self.jobs.get(&id), self.machines.get(&reservation.machine))
            else {
                return false;
            };
            let machine_type = machine.lookup_type(machine_types);
            wanted.contains(&id)
                && self.accepts_tasks(now, machine)
                && machine_type
                    .is_some_and(|machine_type| is_feasible(&job.spec, machine_type, machine))
        });
        self.reservations = reserved;
    }

    /// Reserves the machine that will have room first for the job's next task. A reservation that
    /// the job has already is kept.
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

    /// Seconds until the machine has room for a task of the job by the estimates; none if it
    /// never has.
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
        let free = machine.unpromised(cycle.machine_types);
        let mut running = self.running_tasks(now, machine);
        earliest_fit_s(free, &mut running, job.resources())
    }

    /// What was nominated for the machine has not begun: it goes elsewhere.
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

    /// What occupies a machine, and for how long by the estimates.
    fn running_tasks(&self, now: Time, machine: &Machine) -> Vec<RunningTask> {
        let allocations = machine
            .resident
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.nominated_at.is_none());
        allocations
            .filter_map(|(task, allocation)| {
                let job = self.jobs.get(&task.job)?;
                // A service ends when it is told to, which nobody can foresee.
                (job.spec.kind == JobKind::Batch).then(|| RunningTask {
                    remaining_s: (self.expected_run_s(job) - allocation.ran_s(now)).max(0.0),
                    resources: allocation.resources,
                })
            })
            .collect()
    }

    /// How far a pending job's wait has raised its priority, for operators; none while aging is
    /// off.
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

    /// Whether a machine is reserved for another job, and a task of this one would stay there
    /// beyond the time at which it is needed.
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

    /// Whether a task counts as boosted: it is not preempted for work up to the ceiling.
    pub(super) fn is_boosted(&self, wall: WallMs, allocation: &Allocation, job: &Job) -> bool {
        let boosted_by_age = || {
            self.boosted_at_ms(&job.spec)
                .is_some_and(|at_ms| at_ms <= wall.0)
        };
        self.aging.is_enabled() && (allocation.boosted || boosted_by_age())
    }
}
