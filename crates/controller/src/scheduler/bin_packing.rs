//! Bin packing: first-fit placement of a job's tasks on machines with enough free capacity, and
//! [`Scheduler::allocate`], which every kind of placement uses.

use super::allocation::Allocation;
use super::cycle::{MachineCapacity, SchedulingCycle};
use super::feasibility::is_feasible;
use super::job::resources_of;
use super::machine::Machine;
use super::Scheduler;
use crate::eligibility::violates_zone_rule;
use crate::job_store::JobSpec;
use crate::split::Resources;
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::types::{Attempt, JobId, MachineId, TaskId, Time};
use std::cmp::Ordering;

/// Which machines a job may use in one pass over the queue.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementPass {
    /// Any machine, for jobs that must not wait (`PendingJob::pressing`).
    Pressing,
    /// Only machines that have cached the image. Fetching an image occupies the machine for a
    /// quarter of a task's run time, during which it could run a job whose image is cached.
    WithImage,
    /// Any machine, for the other jobs.
    Any,
}

/// Preference among machines of the same size; the lowest goes first. Preferences are compared
/// field by field in declaration order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePreference {
    /// Spot machines first, so that on-demand machines become empty.
    on_demand: bool,
    /// Then machines that have cached the image.
    lacks_image: bool,
    /// Then the fuller machine, so that others become empty.
    idle: bool,
    free_milli_cpus: i64,
}

/// A machine with enough free capacity for a task of the job.
struct Candidate {
    /// Index into the machine capacities of the cycle.
    index: usize,
    unacknowledged: bool,
    /// Total CPUs of the machine. Smaller types go first, so that large machines stay free for
    /// tasks that fit on no other type.
    machine_type_cpus: f64,
    preference: MachinePreference,
}

impl Candidate {
    /// Orders candidates so that the machine to fill first is the least. Machines that acknowledge
    /// commands come first, then the smaller machine type, then the lower preference.
    fn compare(&self, other: &Candidate) -> Ordering {
        self.unacknowledged
            .cmp(&other.unacknowledged)
            .then(self.machine_type_cpus.total_cmp(&other.machine_type_cpus))
            .then(self.preference.cmp(&other.preference))
    }
}

impl Scheduler {
    /// Places as many tasks of one job as the free capacity allows, at most `max_tasks`. Returns
    /// the number of placed tasks.
    pub(super) fn place_first_fit(
        &mut self,
        now: Time,
        cycle: &mut SchedulingCycle,
        id: JobId,
        pass: PlacementPass,
        max_tasks: u32,
    ) -> u32 {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let resources = resources_of(&spec);
        let mut placed = 0;
        for candidate in self.candidates(now, cycle, id, &spec, pass) {
            let index = candidate.index;
            while placed < max_tasks && resources.fits(&cycle.capacities[index].free) {
                let machine = cycle.capacities[index].id;
                let Some(zone) = self.machines.get(&machine).map(Machine::zone) else {
                    break;
                };
                if violates_zone_rule(&spec, cycle.tasks_by_zone.entry(id).or_default(), zone) {
                    break;
                }
                if self.allocate(now, cycle, machine, id, None).is_none() {
                    return placed;
                }
                placed += 1;
                let capacity = &mut cycle.capacities[index];
                capacity.occupied = true;
                if capacity.unacknowledged {
                    capacity.free = Resources::default();
                    break;
                }
                capacity.free.sub(&resources);
            }
        }
        placed
    }

    /// Machines with enough free capacity for a task of the job, the preferred one first.
    fn candidates(
        &self,
        now: Time,
        cycle: &SchedulingCycle,
        id: JobId,
        spec: &JobSpec,
        pass: PlacementPass,
    ) -> Vec<Candidate> {
        let resources = resources_of(spec);
        let excluded = self.fault_attribution.avoided_machines(now, id);
        let mut candidates: Vec<Candidate> = cycle
            .capacities
            .iter()
            .enumerate()
            .filter(|(_, capacity)| {
                resources.fits(&capacity.free)
                    && !self.is_reserved_for_other(now, capacity.id, id)
                    && excluded.is_none_or(|machines| !machines.contains(capacity.id.number()))
            })
            .filter_map(|(index, capacity)| self.candidate(cycle, spec, pass, index, capacity))
            .collect();
        candidates.sort_by(Candidate::compare);
        candidates
    }

    /// The machine as a candidate; `None` if the job may not use it in this pass.
    fn candidate(
        &self,
        cycle: &SchedulingCycle,
        spec: &JobSpec,
        pass: PlacementPass,
        index: usize,
        capacity: &MachineCapacity,
    ) -> Option<Candidate> {
        let machine = self.machines.get(&capacity.id)?;
        let machine_type = cycle.machine_types.get(capacity.machine_type)?;
        let has_image = machine.resident.cached_images.contains(&spec.image);
        let allowed = is_feasible(spec, machine_type, machine)
            && (has_image || pass != PlacementPass::WithImage);
        allowed.then_some(Candidate {
            index,
            unacknowledged: capacity.unacknowledged,
            machine_type_cpus: machine_type.cpus,
            preference: MachinePreference {
                on_demand: !machine.identity.spot,
                lacks_image: !has_image,
                idle: !capacity.occupied,
                free_milli_cpus: (capacity.free.cpus * 1000.0) as i64,
            },
        })
    }

    /// Allocates the job's next task to a machine. Returns `None` if the team's quota, the limit on
    /// placements per cycle or the state of the job does not allow it. `nominated` is the time of
    /// the nomination if the task has to wait for others on the machine to end.
    pub(super) fn allocate(
        &mut self,
        now: Time,
        cycle: &mut SchedulingCycle,
        machine_id: MachineId,
        job_id: JobId,
        nominated: Option<Time>,
    ) -> Option<TaskId> {
        let job = self.jobs.get(&job_id)?;
        let (resources, team) = (job.resources(), cycle.settings.team(&job.spec.team));
        let exceeded =
            team.and_then(|team| self.quota_exceeded(cycle.team_usage[team], team, &resources));
        if exceeded.is_some() || cycle.remaining_placements == 0 {
            return None;
        }
        let job = self.jobs.get_mut(&job_id)?;
        let machine = self.machines.get_mut(&machine_id)?;
        let index = job.next_task(now)?;
        if job.active_tasks() > 0 && self.fault_attribution.is_job_faulty(job_id) {
            return None;
        }
        let task = TaskId { job: job_id, index };
        if machine.resident.allocations.contains_key(&task) {
            return None;
        }
        self.next_attempt += 1;
        let attempt = Attempt(self.next_attempt);
        let mut allocation = Allocation::planned(attempt, resources, team, now, nominated);
        allocation.boosted = cycle.filling_priority_lane;
        machine.resident.allocations.insert(task, allocation);
        self.event_log.record_placement(job.spec.submitted);
        self.event_log.record(|| DecisionKind::Placed {
            task: task.to_string(),
            machine: machine_id.to_string(),
            ahead: nominated.is_some(),
        });
        // The image will be fetched for this task, so the next task can already count on it.
        machine.remember_image(&job.spec.image);
        self.commit_queue.push_back((machine_id, task));
        job.retry_at.remove(&index);
        job.add_attempt(index);
        cycle.count_in_zone(job_id, &machine.identity.zone);
        cycle.record_allocation(machine_id, team, &resources, nominated.is_some());
        Some(task)
    }
}
