//! Lifecycle of jobs and allocations.

use super::allocation::Allocation;
use super::job::{total_cpus, Job};
use super::Scheduler;
use crate::job_store::{JobSpec, JobState, JobStore};
use crate::progress;
use beamhinge_core::types::{JobId, MachineId, TaskId, Time};

/// Maximum number of classes whose largest job is recorded. Bounds memory, because users choose the
/// class names.
const MAX_KNOWN_CLASSES: usize = 256;

impl Scheduler {
    /// Applies a change of a job from the job store: a new job, a new revision, or its end.
    pub fn sync_job(&mut self, now: Time, id: JobId, job_store: &JobStore) {
        let Some(entry) = job_store.get(id) else {
            return;
        };
        let _span = tracing::debug_span!("job", %id).entered();
        self.replan = true;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.revision = entry.revision;
            if job.state == JobState::Open && entry.state != JobState::Open {
                job.state = entry.state;
                self.terminating_jobs.insert(id);
                self.completed_jobs.remove(&id);
                self.terminate_job(now, id);
            }
            return;
        }
        if entry.state != JobState::Open {
            return;
        }
        if let Some(spec) = &entry.spec {
            self.record_job_size(spec);
            let chunk_size = progress::chunk_size(self.max_value_bytes);
            let job = Job::new(spec.clone(), entry.revision, chunk_size, now);
            self.jobs.insert(id, job);
        }
    }

    fn record_job_size(&mut self, spec: &JobSpec) {
        let sizes = &mut self.largest_job_cpus;
        if sizes.len() < MAX_KNOWN_CLASSES || sizes.contains_key(&*spec.class) {
            let largest = sizes.entry(spec.class.to_string()).or_default();
            *largest = largest.max(total_cpus(spec));
        }
    }

    /// Ends a job: none of its tasks may start, and all that may be running are stopped.
    fn terminate_job(&mut self, now: Time, id: JobId) {
        let placed: Vec<(MachineId, TaskId)> = self
            .machines
            .iter()
            .flat_map(|(machine_id, machine)| {
                let tasks = machine.resident.allocations.keys();
                tasks.map(|task| (*machine_id, *task))
            })
            .filter(|(_, task)| task.job == id)
            .collect();
        for (machine, task) in placed {
            let Some(allocation) = self.allocation_mut(machine, task) else {
                continue;
            };
            allocation.kill_grace_s = Some(0.0);
            // Otherwise `run` was never sent or was proven lost, so the task cannot be on the
            // machine.
            if allocation.may_be_on_machine() {
                self.pending_kills.insert(machine);
            } else {
                self.release_allocation(now, machine, task, false, 0.0);
            }
        }
    }

    /// The allocation of a task on a machine; `None` if there is none.
    pub(super) fn allocation_mut(
        &mut self,
        machine: MachineId,
        task: TaskId,
    ) -> Option<&mut Allocation> {
        let machine = self.machines.get_mut(&machine)?;
        machine.resident.allocations.get_mut(&task)
    }

    /// Ends an allocation. The task is either `done` or retried after `delay_s` seconds.
    ///
    /// Guard 3: called only with proof that the task no longer runs on the machine.
    pub(super) fn release_allocation(
        &mut self,
        now: Time,
        machine_id: MachineId,
        task: TaskId,
        done: bool,
        delay_s: f64,
    ) {
        let Some(machine) = self.machines.get_mut(&machine_id) else {
            return;
        };
        let Some(allocation) = machine.resident.allocations.remove(&task) else {
            return;
        };
        if let Some(page) = allocation.page {
            self.pages.release(page);
        }
        // Nominations that wait for this task to end stop waiting for it. If the task itself was
        // nominated and never started, its nomination is abandoned.
        self.nominations.on_task_ended(machine_id, task);
        if self.nominations.on_abandoned(now, task, allocation.attempt) {
            tracing::info!(
                machine = %machine_id,
                task = %task,
                "abandoned nomination with preempted victims"
            );
        }
        if machine.resident.allocations.is_empty() {
            machine.lifecycle.idle_since = now;
        }
        self.replan = true;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.release_attempt(task.index);
            if !done && !job.progress.is_done(task.index) {
                job.retry_at.insert(task.index, now.plus(delay_s));
            }
        }
        if done {
            self.mark_done(task);
        }
    }

    /// Marks a task as completed, and its progress page as to be written.
    pub(super) fn mark_done(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.retry_at.remove(&task.index);
        job.progress.mark_done(task.index);
        self.progress_pages
            .mark_dirty(task.job, task.index, job.spec.tasks);
        if job.is_complete() && job.state == JobState::Open {
            self.completed_jobs.insert(task.job);
        }
    }

    /// Removes ended jobs that have no tasks left on any machine.
    pub(super) fn forget_ended_jobs(&mut self) {
        let has_no_attempts = |id: &JobId| {
            self.jobs
                .get(id)
                .is_none_or(|job| job.attempts_by_task.is_empty())
        };
        let ended: Vec<JobId> = self
            .terminating_jobs
            .iter()
            .filter(|id| has_no_attempts(id))
            .copied()
            .collect();
        for id in ended {
            self.terminating_jobs.remove(&id);
            self.jobs.remove(&id);
            self.progress_pages.forget(id);
            self.fault_attribution.forget_job(id);
            self.preemption_history.retain(|task| task.job != id);
        }
    }
}
