//! Bin packing: first fit of a job's tasks onto machines that have room now, and the allocation
//! itself, which every way of placing a task goes through.

use super::allocation::Allocation;
use super::cycle::{MachineCapacity, SchedulingCycle};
use super::feasibility::{is_feasible, violates_zone_rule};
use super::job::resources_of;
use super::machine::Machine;
use super::Scheduler;
use crate::job_store::JobSpec;
use crate::split::Resources;
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::types::{Attempt, JobId, MachineId, TaskId, Time};
use std::cmp::Ordering;

/// Which machines a job may take in one pass over the queue.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementPass {
    /// Any, for jobs that are pressing.
    Pressing,
    /// Only those with the image: a fetch costs the machine a quarter of a task's time, and
    /// another job whose image is there may have it meanwhile.
    WithImage,
    /// Any, for jobs that are not pressing.
    Any,
}

/// Order among machines of one size; the lowest goes first. The order of the fields is the order
/// of their weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePreference {
    /// Spot machines first, so that on-demand ones empty.
    on_demand: bool,
    /// Then where the image is.
    lacks_image: bool,
    /// Then the fuller machine, so that others can empty.
    idle: bool,
    free_milli_cpus: i64,
}

/// A machine that has room for a task of the job.
struct Candidate {
    /// Index into the capacities of the cycle.
    index: usize,
    unacknowledged: bool,
    /// CPUs of the empty machine: the smaller type first, so that large machines stay free for
    /// tasks that fit nowhere else.
    machine_type_cpus: f64,
    preference: MachinePreference,
}

impl Candidate {
    /// The machine to be filled first is the least: what acknowledges, then the smaller type, then
    /// the preference.
    fn compare(&self, other: &Candidate) -> Ordering {
        self.unacknowledged
            .cmp(&other.unacknowledged)
            .then(self.machine_type_cpus.total_cmp(&other.machine_type_cpus))
            .then(self.preference.cmp(&other.preference))
    }
}

impl Scheduler {
    /// Places as many tasks of one job as there is room for, `max_tasks` of them at most. Gives
    /// how many were placed.
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

    /// Machines that have room for a task of the job now, the preferred one first.
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

    /// The machine as a candidate, if the job may use it in this pass.
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

    /// Allocates the job's next task to a machine; none when its team's quota, the cycle or the
    /// job lets none start. `nominated`: since when it waits for others to end there.
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
        allocation.boosted = cycle.filling_lane;
        machine.resident.allocations.insert(task, allocation);
        self.event_log.record_placement(job.spec.submitted);
        self.event_log.record(|| DecisionKind::Placed {
            task: task.to_string(),
            machine: machine_id.to_string(),
            ahead: nominated.is_some(),
        });
        // It will be fetched for this task: the next one need not wait.
        machine.remember_image(&job.spec.image);
        self.commit_queue.push_back((machine_id, task));
        job.retry_at.remove(&index);
        job.add_attempt(index);
        cycle.count_in_zone(job_id, &machine.identity.zone);
        cycle.consume(machine_id, team, &resources, nominated.is_some());
        Some(task)
    }
}
