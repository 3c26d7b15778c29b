//! Compares the tasks listed in a report with the allocations of its machine.
//!
//! An allocation is released here only with proof that its task is no longer on the machine
//! (guard 3). Listed tasks without an allocation become orphan tasks: they count as used
//! resources and are stopped by the answer.

use super::{AcceptedReport, ReportContext};
use crate::faults::fault_injected;
use crate::job_store::JobStore;
use crate::scheduler::allocation::{OrphanTask, TaskPhase, TaskState};
use crate::scheduler::job::{resources_of, UNKNOWN_RESOURCES};
use crate::scheduler::Scheduler;
use crate::worker_protocol::{ReportedStatus, ReportedTask};
use beamhinge_core::types::{Attempt, MachineId, TaskId, Time};
use std::collections::BTreeMap;

/// Period over which orphan tasks are counted before they are logged, in seconds.
const ORPHAN_LOG_INTERVAL_S: f64 = 5.0;

/// Orphan tasks that were found and not logged yet.
#[derive(Debug)]
pub(in crate::scheduler) struct OrphanSummary {
    /// When the first of them was found.
    since: Time,
    count: usize,
    /// One of them, and its machine.
    example: String,
}

/// The state of an allocation before the report was processed.
#[derive(Clone, Copy)]
struct AllocationSnapshot {
    task: TaskId,
    attempt: Attempt,
    state: TaskState,
}

/// The tasks of a report whose ids can be parsed.
struct ListedTasks<'a>(Vec<(TaskId, &'a ReportedTask)>);

impl<'a> ListedTasks<'a> {
    fn of(context: &ReportContext<'a>) -> ListedTasks<'a> {
        let reported_tasks = context.report.reported_tasks.iter();
        ListedTasks(
            reported_tasks
                .filter_map(|reported| Some((reported.task_id()?, reported)))
                .collect(),
        )
    }

    fn find(&self, allocation: &AllocationSnapshot) -> Option<&'a ReportedTask> {
        self.0
            .iter()
            .find(|(task, reported)| {
                *task == allocation.task && reported.attempt == allocation.attempt.0
            })
            .map(|(_, reported)| *reported)
    }

    /// The tasks that have not exited; of several attempts at one task, the last one listed.
    fn live(&self) -> BTreeMap<TaskId, Attempt> {
        self.0
            .iter()
            .filter(|(_, reported)| reported.status != ReportedStatus::Exited)
            .map(|(task, reported)| (*task, Attempt(reported.attempt)))
            .collect()
    }
}

impl Scheduler {
    /// Updates the allocations and orphan tasks of a machine from its report.
    pub(super) fn reconcile(&mut self, context: &ReportContext, accepted: &AcceptedReport) {
        let Some(machine) = self.machines.get(&context.id) else {
            return;
        };
        let allocations: Vec<AllocationSnapshot> = machine
            .resident
            .allocations
            .iter()
            .map(|(task, allocation)| AllocationSnapshot {
                task: *task,
                attempt: allocation.attempt,
                state: allocation.state,
            })
            .collect();
        let listed = ListedTasks::of(context);
        let reschedule = self.track_acknowledgement(context, accepted, &allocations, &listed);
        for allocation in allocations {
            match listed.find(&allocation) {
                Some(reported) => self.on_listed(context, &allocation, reported),
                None => self.on_unlisted(context, accepted, &allocation, reschedule),
            }
        }
        self.replace_orphans(context, &listed);
    }

    /// Records whether the report shows the effect of the commands in the last answer. Returns
    /// true when so many answers had no effect that the machine's tasks are placed elsewhere for
    /// now.
    fn track_acknowledgement(
        &mut self,
        context: &ReportContext,
        accepted: &AcceptedReport,
        allocations: &[AllocationSnapshot],
        listed: &ListedTasks,
    ) -> bool {
        let (mut acknowledged, mut unacknowledged) = (false, false);
        for allocation in allocations {
            if let TaskState::RunSent(answered_version) = allocation.state {
                let is_listed = listed.find(allocation).is_some();
                acknowledged |= is_listed;
                unacknowledged |= !is_listed
                    && !accepted.direct
                    && accepted.current_token
                    && (accepted.new_incarnation || accepted.version > answered_version);
            }
        }
        let Some(machine) = self.machines.get_mut(&context.id) else {
            return false;
        };
        let tracker = &mut machine.acknowledgement.tracker;
        if acknowledged {
            tracker.record_acknowledged();
            return false;
        }
        let reschedule =
            unacknowledged && tracker.record_unacknowledged(context.now, accepted.timed_out);
        if reschedule {
            tracing::info!(
                machine = %context.id,
                "moved the tasks of a machine that acknowledges no commands"
            );
        }
        reschedule
    }

    /// The worker lists the allocation's task.
    fn on_listed(
        &mut self,
        context: &ReportContext,
        allocation: &AllocationSnapshot,
        reported: &ReportedTask,
    ) {
        let ReportContext { now, id, .. } = *context;
        let AllocationSnapshot { task, attempt, .. } = *allocation;
        if reported.occupied_machine() {
            self.nominations.on_started(now, task, attempt);
        }
        let phase = match reported.status {
            ReportedStatus::Exited => {
                self.on_exit(now, id, task, reported.cause.as_ref());
                return;
            }
            ReportedStatus::FetchingImage => TaskPhase::FetchingImage,
            ReportedStatus::Running => TaskPhase::Running,
            ReportedStatus::Checkpointing => TaskPhase::Checkpointing,
        };
        if let Some(allocation) = self.allocation_mut(id, task) {
            if phase == TaskPhase::Running && allocation.started_at.is_none() {
                allocation.started_at = Some(now);
            }
            allocation.state = TaskState::Observed(phase);
        }
        if phase == TaskPhase::Running {
            self.record_cached_image(id, task);
        }
    }

    /// Records the image of a running task as cached on the machine.
    fn record_cached_image(&mut self, id: MachineId, task: TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let image = &job.spec.image;
        if let Some(machine) = self.machines.get_mut(&id) {
            if machine.resident.cached_images.last() != Some(image) {
                machine.remember_image(image);
            }
        }
    }

    /// The worker does not list the allocation's task. Releases the allocation if that proves that
    /// the task is no longer on the machine.
    fn on_unlisted(
        &mut self,
        context: &ReportContext,
        accepted: &AcceptedReport,
        allocation: &AllocationSnapshot,
        reschedule: bool,
    ) {
        let ReportContext { now, id, .. } = *context;
        let task = allocation.task;
        let current_token = accepted.current_token;
        match allocation.state {
            TaskState::Planned | TaskState::Committed => {}
            // Guard 3: a direct command may overtake the answer that carries a `run`. Only the
            // worker's next report shows that the answer was dropped.
            TaskState::RunSent(_)
                if accepted.direct
                    && !fault_injected!(self.faults, direct_reply_absence_ends_task) => {}
            // A newer incarnation has lost all tasks of the earlier one, and an answer to the
            // earlier one is dropped.
            TaskState::RunSent(_) | TaskState::Observed(_)
                if accepted.new_incarnation && current_token =>
            {
                self.release_allocation(now, id, task, false, 0.0);
            }
            // The report carries this term's fencing token and is newer than the one answered
            // with `run`, so that answer was dropped. A task that is to be stopped by now must not
            // start: such an allocation, whose `run` is never sent again, used to stay on its
            // machine forever.
            TaskState::RunSent(answered_version)
                if current_token && accepted.version > answered_version =>
            {
                let to_be_stopped = self.allocation_mut(id, task).is_some_and(|allocation| {
                    allocation.state = TaskState::Committed;
                    allocation.kill_grace_s.is_some()
                });
                let to_be_stopped =
                    to_be_stopped && !fault_injected!(self.faults, stop_of_lost_run_kept);
                if reschedule || to_be_stopped {
                    self.release_allocation(now, id, task, false, 0.0);
                }
            }
            TaskState::Observed(_) | TaskState::Inherited
                if current_token || fault_injected!(self.faults, absence_proof_without_token) =>
            {
                self.release_allocation(now, id, task, false, 0.0);
            }
            _ => {}
        }
    }

    /// Replaces the machine's orphan tasks with the listed tasks that have no allocation.
    fn replace_orphans(&mut self, context: &ReportContext, listed: &ListedTasks) {
        let id = context.id;
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let allocations = &machine.resident.allocations;
        let is_known = |task: &TaskId, attempt: &Attempt| {
            allocations
                .get(task)
                .is_some_and(|allocation| allocation.attempt == *attempt)
        };
        let orphans: Vec<OrphanTask> = listed
            .live()
            .into_iter()
            .filter(|(task, attempt)| !is_known(task, attempt))
            .map(|(task, attempt)| self.new_orphan(task, attempt, context.job_store))
            .collect();
        let previous = match self.machines.get_mut(&id) {
            Some(machine) => std::mem::replace(&mut machine.resident.orphans, orphans.clone()),
            None => return,
        };
        for orphan in &orphans {
            tracing::debug!(machine = %id, task = %orphan.task, "found orphan task");
            if let Some(job) = self.jobs.get_mut(&orphan.task.job) {
                job.add_attempt(orphan.task.index);
            }
        }
        // After a network partition delayed reports list hundreds of orphan tasks at once; one log
        // line covers them all.
        if let Some(orphan) = orphans.first().filter(|first| !previous.contains(first)) {
            let summary = self.orphan_summary.get_or_insert_with(|| OrphanSummary {
                since: context.now,
                count: 0,
                example: format!("{} on {id}", orphan.task),
            });
            summary.count += orphans.len();
        }
        self.release_orphans(context.now, previous);
    }

    /// Guard: the orphan's resources count for its team and its machine even when its job has
    /// ended. When they did not, the capacity of a cancelled task was allocated again while the
    /// task was still on the machine.
    fn new_orphan(&self, task: TaskId, attempt: Attempt, job_store: &JobStore) -> OrphanTask {
        let spec = job_store
            .get(task.job)
            .and_then(|entry| entry.spec.as_deref());
        OrphanTask {
            task,
            attempt,
            resources: spec.map_or(UNKNOWN_RESOURCES, resources_of),
            team: spec.and_then(|spec| self.team_index(spec)),
        }
    }

    /// Logs the number of orphan tasks found since the last log line.
    pub(in crate::scheduler) fn log_orphans(&mut self, now: Time) {
        let is_due =
            |summary: &mut OrphanSummary| now.since(summary.since) >= ORPHAN_LOG_INTERVAL_S;
        if let Some(OrphanSummary { count, example, .. }) = self.orphan_summary.take_if(is_due) {
            tracing::warn!(count, example, "found orphan tasks; stopping them");
        }
    }

    /// Releases the orphan tasks of a machine that no longer runs them.
    pub(super) fn drop_orphans(&mut self, now: Time, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id) {
            let orphans = std::mem::take(&mut machine.resident.orphans);
            self.release_orphans(now, orphans);
        }
    }

    fn release_orphans(&mut self, now: Time, orphans: Vec<OrphanTask>) {
        for OrphanTask { task, .. } in orphans {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if job.release_attempt(task.index) && !job.progress.is_done(task.index) {
                    job.retry_at.insert(task.index, now);
                    self.replan = true;
                }
            }
        }
    }
}
