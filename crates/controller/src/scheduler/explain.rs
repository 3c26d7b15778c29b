//! Explanations for operators: why tasks of a job do not run, and the state of machines.
//!
//! They are produced by the functions that make the scheduling decisions, with the same order, the
//! same limits and the same checks of each machine.

use super::allocation::{Allocation, TaskPhase, TaskState};
use super::demand::offered_zones;
use super::feasibility::{unschedulable_reason, BlockingReason};
use super::job::Job;
use super::machine::Machine;
use super::queue::PauseReason;
use super::{age_s, Scheduler};
use crate::directives::ActiveDirectives;
use crate::eligibility::{violates_zone_rule, IneligibleReason, ZoneCounts};
use crate::job_store::{JobSpec, JobState};
use crate::split::{Demand, MachineType};
use beamhinge_admin_api::messages::{JobPlacement, MachineRow, TaskRow, TeamRow, MAX_ROWS};
use beamhinge_admin_api::reasons::{CandidateMachine, MachineTally, Reason};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{JobId, MachineId, Time, WallMs};
use std::cmp::Ordering;
use std::rc::Rc;

/// Maximum number of machines listed as closest to having enough free capacity.
const MAX_NEAREST: usize = 3;
/// Maximum number of jobs listed as being ahead of a job in the queue.
const MAX_JOBS_AHEAD: usize = 5;

/// Totals of the whole cluster, for a summary.
#[derive(Default)]
pub struct Totals {
    /// Open jobs with unfinished tasks.
    pub jobs_open: u32,
    /// Of these, jobs with a task that is allocated to a machine or orphaned on one.
    pub jobs_running: u32,
    /// Tasks that workers report as running.
    pub tasks_running: u32,
    /// Tasks without a machine.
    pub tasks_waiting: u32,
    /// Age of the oldest job with a waiting task, seconds.
    pub oldest_wait_s: f64,
    /// CPUs of all machines that report.
    pub cpus: f64,
    /// Of these, CPUs in use.
    pub cpus_used: f64,
    /// Machines that report.
    pub machines_up: u32,
    /// Machines that do not report.
    pub machines_silent: u32,
}

/// Tasks of one job, counted by those allocation states that are explained to operators.
#[derive(Default)]
struct AllocationCounts {
    starting: u32,
    nominated: u32,
    inherited: u32,
    fetching: u32,
    longest_fetch_s: f64,
}

/// Feasibility of all machines for one job.
#[derive(Default)]
struct FeasibilityReport {
    tally: MachineTally,
    /// Machines that only lack free capacity, the one that lacks the least first.
    nearest: Vec<CandidateMachine>,
    /// Whether a machine has enough free capacity.
    has_capacity: bool,
}

impl TaskState {
    /// Name of the state as shown to operators.
    fn name(self) -> &'static str {
        match self {
            TaskState::Planned => "planned",
            TaskState::Committed => "committed",
            TaskState::RunSent(_) => "sent",
            TaskState::Observed(TaskPhase::FetchingImage) => "fetching",
            TaskState::Observed(TaskPhase::Running) => "running",
            TaskState::Observed(TaskPhase::Checkpointing) => "saving",
            TaskState::Inherited => "inherited",
        }
    }
}

impl FeasibilityReport {
    /// Counts a machine under the constraint of the job that it does not meet.
    fn count_unschedulable(&mut self, reason: IneligibleReason) {
        match reason {
            IneligibleReason::MachineType => self.tally.other_machine_type += 1,
            IneligibleReason::Zone => self.tally.other_zone += 1,
            IneligibleReason::Spot => self.tally.spot += 1,
        }
    }

    /// Counts a machine under the reason why it gets no tasks.
    fn count_blocked(&mut self, reason: BlockingReason) {
        match reason {
            BlockingReason::Unreachable => self.tally.silent += 1,
            BlockingReason::StaleToken | BlockingReason::Unresponsive => self.tally.unsynced += 1,
            BlockingReason::Refusing => self.tally.refusing += 1,
            BlockingReason::Reclaimed => self.tally.taken += 1,
            BlockingReason::Returning => self.tally.leaving += 1,
            BlockingReason::Drained => self.tally.drained += 1,
            BlockingReason::Quarantined => self.tally.quarantined += 1,
            BlockingReason::Slow => self.tally.slow += 1,
        }
    }
}

impl Scheduler {
    /// Describes a job: its allocated tasks, and why the others wait. Returns `None` if the job is
    /// unknown.
    pub fn describe_job(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        settings: &Settings,
        machine_types: &[MachineType],
    ) -> Option<JobPlacement> {
        let job = self.jobs.get(&id)?;
        let mut placed = JobPlacement {
            done: job.progress.done_count(),
            waiting: job.pending_tasks(),
            ..JobPlacement::default()
        };
        let counts = self.list_tasks(now, id, &mut placed);
        let reasons = &mut placed.reasons;
        if job.pending_tasks() > 0 {
            self.explain_wait(now, wall, id, settings, machine_types, reasons);
        }
        if counts.fetching > 0 {
            reasons.push(Reason::Fetching {
                tasks: counts.fetching,
                image: job.spec.image.to_string(),
                image_gb: job.spec.image_gb,
                longest_s: counts.longest_fetch_s,
            });
        }
        if counts.starting > 0 {
            reasons.push(Reason::Starting {
                tasks: counts.starting,
            });
        }
        if counts.nominated > 0 {
            reasons.push(Reason::Ahead {
                tasks: counts.nominated,
            });
        }
        if counts.inherited > 0 {
            let until_s = self.previous_leases_until.until(now).max(0.0);
            reasons.push(Reason::Inherited {
                tasks: counts.inherited,
                until_s,
            });
        }
        Some(placed)
    }

    /// Lists the job's allocated tasks in `placed`, and counts them by state.
    fn list_tasks(&self, now: Time, id: JobId, placed: &mut JobPlacement) -> AllocationCounts {
        let mut counts = AllocationCounts::default();
        for (machine_id, machine) in &self.machines {
            for (task, allocation) in machine
                .resident
                .allocations
                .iter()
                .filter(|(task, _)| task.job == id)
            {
                match allocation.state {
                    TaskState::Observed(TaskPhase::FetchingImage) => {
                        let fetching_s = now.since(allocation.placed_at);
                        counts.fetching += 1;
                        counts.longest_fetch_s = counts.longest_fetch_s.max(fetching_s);
                    }
                    TaskState::Observed(_) => placed.running += 1,
                    TaskState::Inherited => counts.inherited += 1,
                    _ if allocation.nominated_at.is_some() => counts.nominated += 1,
                    _ => counts.starting += 1,
                }
                if placed.tasks.len() < MAX_ROWS {
                    placed.tasks.push(TaskRow {
                        task: task.to_string(),
                        machine: machine_id.to_string(),
                        state: allocation.state.name().into(),
                        running_s: allocation.started_at.map(|started| now.since(started)),
                        stopping: allocation.kill_grace_s.is_some(),
                    });
                }
            }
        }
        counts
    }

    /// Adds the reasons why tasks of the job have no machine. Conditions are checked in the order
    /// of a scheduling cycle, up to the first that applies. A lack of free capacity is reported
    /// with the aging of the job and the jobs ahead of it.
    fn explain_wait(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        settings: &Settings,
        machine_types: &[MachineType],
        reasons: &mut Vec<Reason>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if let Some(paused) = self.explain_pause(now, wall, id, job) {
            return reasons.push(paused);
        }
        let cycle = self.begin_cycle(now, settings, machine_types);
        let exceeded = self
            .team_index(&job.spec)
            .and_then(|team| self.quota_exceeded(cycle.team_usage[team], team, &job.resources()));
        if let Some(exceeded) = exceeded {
            return reasons.push(Reason::TeamLimit {
                team: job.spec.team.to_string(),
                resource: exceeded.resource.into(),
                used: exceeded.used,
                wanted: exceeded.wanted,
                limit: exceeded.limit,
            });
        }
        let no_tasks = ZoneCounts::new();
        let tasks_by_zone = cycle.tasks_by_zone.get(&id).unwrap_or(&no_tasks);
        let report = self.assess_machines(now, job, tasks_by_zone, machine_types);
        if report.has_capacity {
            // The next scheduling cycle can place a task on this machine.
            return reasons.push(Reason::Undecided);
        }
        reasons.push(Reason::NoRoom {
            tally: report.tally,
            near: report.nearest,
        });
        reasons.extend(self.explain_aging(now, wall, id, machine_types));
        reasons.extend(self.explain_queue(now, wall, id, settings));
    }

    /// Explains why the job is skipped before any machine is considered; `None` if it is not.
    fn explain_pause(&self, now: Time, wall: WallMs, id: JobId, job: &Job) -> Option<Reason> {
        match self.pause_reason(now, id, job)? {
            PauseReason::Frozen(freeze) => Some(Reason::Frozen {
                target: freeze.target.to_string(),
                since_s: (wall.0 as f64 - freeze.since_ms as f64) / 1e3,
                by: freeze.by.clone(),
            }),
            PauseReason::Failures => {
                let until = self
                    .fault_attribution
                    .job_retry_at(id)
                    .map_or(job.backoff_until, |until| until.max(job.backoff_until));
                let (failures, machines) = self.fault_attribution.failures(id);
                Some(Reason::Failures {
                    failures,
                    machines,
                    retry_s: until.until(now).max(0.0),
                })
            }
            PauseReason::Closed | PauseReason::NothingPending => None,
        }
    }

    /// Explains which jobs go ahead of this one; `None` if it is the first in the queue.
    fn explain_queue(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        settings: &Settings,
    ) -> Option<Reason> {
        let queue = self.pending_jobs(now, wall, settings, &self.guaranteed_jobs());
        let ahead: Vec<JobId> = queue
            .iter()
            .map(|pending| pending.id)
            .take_while(|other| *other != id)
            .collect();
        if ahead.is_empty() {
            return None;
        }
        let waiting = |id: &JobId| self.jobs.get(id).map_or(0, Job::pending_tasks);
        Some(Reason::Behind {
            jobs: ahead.len() as u32,
            tasks: ahead.iter().map(waiting).sum(),
            first: ahead
                .iter()
                .take(MAX_JOBS_AHEAD)
                .map(JobId::to_string)
                .collect(),
        })
    }

    /// Checks for each machine why it cannot run a task of the job.
    fn assess_machines(
        &self,
        now: Time,
        job: &Job,
        tasks_by_zone: &ZoneCounts,
        machine_types: &[MachineType],
    ) -> FeasibilityReport {
        let mut report = FeasibilityReport::default();
        for (id, machine) in &self.machines {
            let Some(machine_type) = machine.lookup_type(machine_types) else {
                report.tally.silent += 1;
                continue;
            };
            if let Some(reason) = unschedulable_reason(&job.spec, machine_type, machine) {
                report.count_unschedulable(reason);
            } else if violates_zone_rule(&job.spec, tasks_by_zone, &machine.identity.zone) {
                report.tally.other_zone += 1;
            } else if let Some(reason) = self.blocking_reason(now, machine) {
                report.count_blocked(reason);
            } else if let Some(lacking) = lacking_resources(job, *id, machine, machine_types) {
                report.tally.full += 1;
                report.nearest.push(lacking);
            } else {
                report.has_capacity = true;
            }
        }
        report.nearest.sort_by(compare_lacking);
        report.nearest.truncate(MAX_NEAREST);
        report
    }

    /// Demand of one job, as passed to fleet scaling; `None` if the job is unknown.
    pub fn demand_of(
        &self,
        wall: WallMs,
        id: JobId,
        machine_types: &[MachineType],
    ) -> Option<(Demand, Rc<JobSpec>)> {
        let job = self.jobs.get(&id)?;
        let zones = offered_zones(machine_types);
        let tasks_by_zone = self.tasks_by_zone();
        let demand = self.demand(wall, id, job, &tasks_by_zone, &zones);
        Some((demand, job.spec.clone()))
    }

    /// The operator directives in force.
    pub fn active_directives(&self) -> &Rc<ActiveDirectives> {
        &self.active_directives
    }

    /// Fills in the scheduler's state of a machine.
    pub fn describe_machine(
        &self,
        now: Time,
        id: MachineId,
        machine_types: &[MachineType],
        row: &mut MachineRow,
    ) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let free = machine.free(machine_types);
        row.tasks = machine.resident.allocations.len() as u32;
        row.heard_s = machine.liveness.last_heartbeat.map(|at| now.since(at));
        if machine.identity.machine_type.is_some() {
            row.free_cpus = free.cpus.max(0.0);
            row.free_memory_gb = free.memory_gb.max(0.0);
            row.zone.clone_from(&machine.identity.zone);
        }
        row.state = self.machine_state(now, machine).into();
    }

    /// State of a machine as shown to operators.
    fn machine_state(&self, now: Time, machine: &Machine) -> &'static str {
        match self.blocking_reason(now, machine) {
            None | Some(BlockingReason::Refusing | BlockingReason::StaleToken) => "up",
            Some(BlockingReason::Unresponsive) => "deaf",
            Some(BlockingReason::Unreachable) if machine.liveness.last_heartbeat.is_none() => {
                "starting"
            }
            Some(BlockingReason::Unreachable) => "silent",
            Some(BlockingReason::Reclaimed) => "taken",
            Some(BlockingReason::Returning) => "leaving",
            Some(BlockingReason::Drained) if machine.is_empty() => "drained",
            Some(BlockingReason::Drained) => "draining",
            Some(BlockingReason::Quarantined) => "sick",
            Some(BlockingReason::Slow) => "slow",
        }
    }

    /// Quota, usage and number of waiting tasks of each team, in the order of the settings.
    pub fn describe_teams(
        &self,
        now: Time,
        settings: &Settings,
        machine_types: &[MachineType],
    ) -> Vec<TeamRow> {
        let cycle = self.begin_cycle(now, settings, machine_types);
        let mut rows: Vec<TeamRow> = self
            .teams
            .iter()
            .zip(&self.team_names)
            .zip(&cycle.team_usage)
            .map(|((quota, name), usage)| TeamRow {
                team: name.clone(),
                cpus_used: usage.cpus,
                cpus_guaranteed: quota.cpus,
                cpus_limit: quota.cpus_max,
                gpus_used: usage.gpus,
                gpus_guaranteed: quota.gpus,
                gpus_limit: quota.gpus_max,
                jobs_open: 0,
                tasks_waiting: 0,
                frozen: self.active_directives.freeze_of(name, "").is_some(),
            })
            .collect();
        for job in self.unfinished_jobs() {
            if let Some(row) = self
                .team_index(&job.spec)
                .and_then(|team| rows.get_mut(team))
            {
                row.jobs_open += 1;
                row.tasks_waiting += job.pending_tasks();
            }
        }
        rows
    }

    /// Open jobs with unfinished tasks.
    fn unfinished_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs
            .values()
            .filter(|job| job.state == JobState::Open && !job.is_complete())
    }

    /// Totals of the whole cluster.
    pub fn totals(&self, now: Time, wall: WallMs, machine_types: &[MachineType]) -> Totals {
        let mut totals = Totals::default();
        for job in self.unfinished_jobs() {
            totals.jobs_open += 1;
            totals.jobs_running += u32::from(job.active_tasks() > 0);
            totals.tasks_waiting += job.pending_tasks();
            if job.pending_tasks() > 0 {
                totals.oldest_wait_s = totals.oldest_wait_s.max(age_s(wall, &job.spec));
            }
        }
        let running = |allocation: &&Allocation| {
            matches!(allocation.state, TaskState::Observed(TaskPhase::Running))
        };
        for machine in self.machines.values() {
            totals.tasks_running += machine
                .resident
                .allocations
                .values()
                .filter(running)
                .count() as u32;
            let Some(machine_type) = machine.lookup_type(machine_types) else {
                continue;
            };
            if self.blocking_reason(now, machine) == Some(BlockingReason::Unreachable) {
                totals.machines_silent += 1;
                continue;
            }
            totals.machines_up += 1;
            totals.cpus += machine_type.cpus;
            totals.cpus_used += machine_type.cpus - machine.free(machine_types).cpus.max(0.0);
        }
        totals
    }
}

/// Resources that the machine lacks for a task of the job; `None` if it has enough free capacity.
fn lacking_resources(
    job: &Job,
    id: MachineId,
    machine: &Machine,
    machine_types: &[MachineType],
) -> Option<CandidateMachine> {
    let resources = job.resources();
    let free = machine.unallocated(machine_types);
    if resources.fits(&free) {
        return None;
    }
    Some(CandidateMachine {
        machine: id.to_string(),
        lacks_cpus: (resources.cpus - free.cpus).max(0.0),
        lacks_gpus: (resources.gpus - free.gpus).max(0.0),
        lacks_memory_gb: (resources.memory_gb - free.memory_gb).max(0.0),
    })
}

/// Orders machines by lacking GPUs, then CPUs, then memory, the least lacking first.
fn compare_lacking(a: &CandidateMachine, b: &CandidateMachine) -> Ordering {
    let lacking = |machine: &CandidateMachine| {
        [
            machine.lacks_gpus,
            machine.lacks_cpus,
            machine.lacks_memory_gb,
        ]
    };
    lacking(a)
        .partial_cmp(&lacking(b))
        .unwrap_or(Ordering::Equal)
}
