//! The commands of the answer to a report.
//!
//! `run` goes out here and nowhere else: only in an answer, which cannot act late (guard 2).

use super::{ReportContext, MAX_COMMANDS};
use crate::faults::fault_injected;
use crate::job_store::{JobKind, JobState};
use crate::scheduler::allocation::{Allocation, TaskPhase, TaskState};
use crate::scheduler::job::Job;
use crate::scheduler::machine::Machine;
use crate::scheduler::Scheduler;
use crate::split::MachineType;
use crate::worker_protocol::{ExitCause, ReportedStatus, WorkerCommand};
use beamhinge_core::types::{Attempt, JobId, TaskId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// One attempt at a task, as commands name it.
type AttemptKey = (TaskId, Attempt);

impl Scheduler {
    /// Guard 4: an answer that renews a lease stops each listed task whose job this
    /// controller's copy knows to be over, whether or not the pages are loaded and the worker has
    /// shown this term's token: it names one attempt, and frees nothing. Answers without it
    /// renewed the leases of cancelled tasks anew for H and a lease, counted from a
    /// takeover that came after the cancellation.
    pub(super) fn kills_of_ended_jobs(&self, context: &ReportContext) -> Vec<WorkerCommand> {
        let ended = self.listed_of_ended_jobs(context);
        ended.iter().map(kill_at_once).collect()
    }

    /// What a worker lists as live though its job is over.
    fn listed_of_ended_jobs(&self, context: &ReportContext) -> Vec<AttemptKey> {
        if fault_injected!(self.faults, late_cancellation_stops) {
            return Vec::new();
        }
        let is_over = |task: &TaskId| {
            let entry = context.job_store.get(task.job);
            entry.is_some_and(|entry| entry.state != JobState::Open)
        };
        context
            .report
            .reported_tasks
            .iter()
            .filter(|reported| reported.status != ReportedStatus::Exited)
            .filter_map(|reported| Some((reported.task_id()?, Attempt(reported.attempt))))
            .filter(|(task, _)| is_over(task))
            .take(MAX_COMMANDS)
            .collect()
    }

    /// The commands of the answer to a report that was reconciled, at most [`MAX_COMMANDS`].
    pub(super) fn commands(
        &mut self,
        context: &ReportContext,
        machine_types: &[MachineType],
    ) -> Vec<WorkerCommand> {
        // Before all else: guard 4 rests on it.
        let ended = self.listed_of_ended_jobs(context);
        let mut commands: Vec<WorkerCommand> = ended.iter().map(kill_at_once).collect();
        if let Some(notice_s) = context.report.reclaim_in_s {
            self.checkpoint_before_reclaim(context, notice_s);
        }
        self.kill_orphans(context, &ended, &mut commands);
        self.clear_exited(context, &mut commands);
        self.pending_kills.remove(&context.id);
        self.kill_allocations(context, &ended, &mut commands);
        self.run_committed(context, machine_types, &mut commands);
        commands
    }

    /// A task that can save its progress does so before the machine is reclaimed, unless
    /// it will be done by then; one that cannot runs on, as it may end in time.
    fn checkpoint_before_reclaim(&mut self, context: &ReportContext, notice_s: f64) {
        let Some(machine) = self.machines.get_mut(&context.id) else {
            return;
        };
        let allocations = machine.resident.allocations.iter_mut();
        for (task, allocation) in allocations.filter(|(_, a)| a.kill_grace_s.is_none()) {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let spec = &job.spec;
            if spec.checkpoint_interval_s > 0.0
                && matches!(allocation.state, TaskState::Observed(TaskPhase::Running))
                && spec.checkpoint_duration_s < notice_s
                && spec.expected_run_s - allocation.ran_s(context.now) > notice_s * 0.5
            {
                allocation.kill_grace_s = Some(spec.checkpoint_duration_s);
            }
        }
    }

    /// Stops what no allocation names.
    fn kill_orphans(
        &self,
        context: &ReportContext,
        ended: &[AttemptKey],
        commands: &mut Vec<WorkerCommand>,
    ) {
        let Some(machine) = self.machines.get(&context.id) else {
            return;
        };
        let remaining = MAX_COMMANDS - commands.len();
        let orphans = machine.resident.orphans.iter();
        let kills = orphans
            .map(|orphan| (orphan.task, orphan.attempt))
            .filter(|orphan| !ended.contains(orphan))
            .take(remaining);
        commands.extend(kills.map(|orphan| kill_at_once(&orphan)));
    }

    /// Clears exited tasks that no allocation names any more, completed ones once their
    /// result is durable.
    fn clear_exited(&mut self, context: &ReportContext, commands: &mut Vec<WorkerCommand>) {
        let reported_tasks = context.report.reported_tasks.iter();
        for reported in reported_tasks.filter(|r| r.status == ReportedStatus::Exited) {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            let Some(task) = reported.task_id() else {
                continue;
            };
            let allocation = self.allocation_mut(context.id, task);
            if allocation.is_some_and(|a| a.attempt.0 == reported.attempt) {
                continue;
            }
            if reported.cause != Some(ExitCause::Done) || self.result_is_durable(task) {
                commands.push(WorkerCommand::clear(task, Attempt(reported.attempt)));
            }
        }
    }

    /// A result counts even if its task's allocation is gone, and may be cleared
    /// only once the state service knows it.
    fn result_is_durable(&mut self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        if job.spec.kind != JobKind::Batch || task.index >= job.spec.tasks {
            return true;
        }
        let live = job.attempts_by_task.contains_key(&task.index);
        let durable = job.progress.is_durable(task.index);
        if !live && !job.progress.is_done(task.index) {
            self.mark_done(task);
        }
        live || durable || fault_injected!(self.faults, result_cleared_before_durable)
    }

    /// Stops what is to be stopped and is listed.
    fn kill_allocations(
        &self,
        context: &ReportContext,
        ended: &[AttemptKey],
        commands: &mut Vec<WorkerCommand>,
    ) {
        let Some(machine) = self.machines.get(&context.id) else {
            return;
        };
        for (task, allocation) in &machine.resident.allocations {
            if allocation.is_observed()
                && !ended.contains(&(*task, allocation.attempt))
                && commands.len() < MAX_COMMANDS
            {
                commands.extend(allocation.kill_command(*task));
            }
        }
    }

    /// Starts what is committed, as far as the machine has room.
    fn run_committed(
        &mut self,
        context: &ReportContext,
        machine_types: &[MachineType],
        commands: &mut Vec<WorkerCommand>,
    ) {
        let may_run = self.may_run(context.now);
        let (jobs, directives) = (&self.jobs, &self.active_directives);
        let Some(machine) = self.machines.get_mut(&context.id) else {
            return;
        };
        let mut free = machine.free(machine_types);
        // A reserved place that is not committed yet is nobody else's either.
        let allocations = machine.resident.allocations.values();
        for allocation in allocations.filter(|a| a.reserved && a.state == TaskState::Planned) {
            free.sub(&allocation.resources);
        }
        let drained = machine.lifecycle.drain.is_some();
        for (task, allocation) in committed_in_start_order(machine, jobs) {
            if commands.len() >= MAX_COMMANDS {
                break;
            }
            // Guard 2: `run` only after the commit, only while the job is
            // open, and only in this answer, which cannot act late.
            let open = context
                .job_store
                .get(task.job)
                .is_some_and(|entry| entry.state == JobState::Open);
            // What operators stopped does not start; `enforce_drains` withdraws it.
            let frozen = jobs.get(&task.job).is_some_and(|job| {
                directives
                    .freeze_of(&job.spec.team, &job.spec.class)
                    .is_some()
            });
            // What was placed by quotas of which it is not known that they are in force waits.
            let held = drained || frozen || !may_run;
            let lacks_room = allocation.nominated_at.is_some() && !allocation.resources.fits(&free);
            if !open || held || lacks_room {
                if allocation.reserved {
                    free.sub(&allocation.resources);
                }
                continue;
            }
            free.sub(&allocation.resources);
            allocation.nominated_at = None;
            allocation.reserved = false;
            allocation.state = TaskState::RunSent(context.report.version());
            commands.push(WorkerCommand::run(task, allocation.attempt));
        }
    }
}

/// What was placed into room that was there goes first, then what others were preempted for,
/// then, the more urgent first, what was nominated and fits by now.
fn committed_in_start_order<'a>(
    machine: &'a mut Machine,
    jobs: &BTreeMap<JobId, Job>,
) -> Vec<(TaskId, &'a mut Allocation)> {
    let urgency = |task: &TaskId| jobs.get(&task.job).map(|job| job.spec.urgency);
    let allocations = machine.resident.allocations.iter_mut();
    let mut committed: Vec<(TaskId, &mut Allocation)> = allocations
        .filter(|(_, a)| a.state == TaskState::Committed && a.kill_grace_s.is_none())
        .map(|(task, allocation)| (*task, allocation))
        .collect();
    committed.sort_by_key(|(task, allocation)| {
        (
            allocation.nominated_at.is_some(),
            !allocation.reserved,
            Reverse(urgency(task)),
            allocation.attempt,
        )
    });
    committed
}

/// Stops an attempt without a grace period.
fn kill_at_once((task, attempt): &AttemptKey) -> WorkerCommand {
    WorkerCommand::kill(*task, *attempt, 0.0)
}
