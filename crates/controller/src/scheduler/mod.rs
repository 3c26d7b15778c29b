//! The holder's work: which task is on which machine, what workers report and
//! what they are told.
//!
//! The wanted state is the set of entries; commits and commands are the loops
//! that bring the state service and the workers towards it. The numbered
//! guards are those of `docs/safety.md`.

use crate::calls::Tag;

use crate::directives::ActiveDirectives;
use crate::event_log::EventLog;
use crate::faults::{broken, Faults};
use crate::job_store::{JobKind, JobSpec, JobState, JobStore};
use crate::placement_pages::PlacementPages;
use crate::progress::{self, ProgressPages};
use crate::split::{Demand, MachineType, Resources, EPSILON};
use crate::store::StoreClient;
use beamhinge_admin_api::messages::What;
use beamhinge_configuration::Quota;
use beamhinge_core::messages::TaskCounts;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{FencingToken, JobId, MachineId, Revision, TaskId, Time, WallMs};
use beamhinge_failure_detection::{FaultAttribution, ReportInterval};
use beamhinge_preemption::{Nominations, PreemptionHistory, PreemptionStats};
use beamhinge_priority_aging::{AgingPolicy, Reservations};
use beamhinge_rate_limit::AdaptiveBackoff;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use allocation::{Allocation, TaskState};
use job::{age_s, total_cpus, Job};
use persistence::{InFlightCommit, RecoveryLoad, WorkUnit};
use reconciliation::OrphanSummary;

pub use machine::Machine;
pub use persistence::CommitOutcome;
pub use reconciliation::DirectCall;

mod aging;
mod allocation;
mod bin_packing;
mod cycle;
mod drain;
mod explain;
mod feasibility;
mod job;
mod machine;
mod nomination;
mod persistence;
mod plan;
mod preemption;
mod queue;
mod quota;
mod reconciliation;
mod run_times;
#[cfg(feature = "faults")]
mod scattered_preemption;
mod victims;

/// A clock runs at most this much faster than another.
const MAX_CLOCK_DRIFT: f64 = 1.002;
/// A holder asks the state service each second: beyond this it is out of touch.
const IN_TOUCH_S: f64 = 1.8;
/// How often machines are looked over for silence.
const SILENCE_S: f64 = 0.2;

/// Classes whose largest job is known; guards memory, names are the users'.
const CLASSES_KNOWN: usize = 256;
/// Tasks whose stops are remembered; beyond it the one that was stopped least is forgotten.
/// Two for each of 8,192 machines.
const MAX_STOPPED_TASKS: usize = 16_384;

pub struct Scheduler {
    fencing_token: FencingToken,
    acquired_at: Time,
    /// Until when an earlier holder's answers may still keep tasks alive.
    previous_leases_until: Time,
    lease_s: f64,
    report_s: f64,
    margin_s: f64,
    max_value_bytes: usize,
    /// How waiting jobs rise.
    aging: AgingPolicy,
    /// Machines kept for risen tasks that fit nowhere now.
    reservations: Reservations,
    /// Tasks that were stopped for others.
    preemption_history: PreemptionHistory,
    /// Whose fault failures are.
    fault_attribution: FaultAttribution,
    /// Nominations that are kept for those they were stopped for.
    nominations: Nominations,
    /// The CPUs of the largest job that was seen of each class.
    largest_job_cpus: BTreeMap<String, f64>,
    /// Machines that the cloud has confirmed to be gone: reports in their names are
    /// copies that come late.
    removed_machines: BTreeSet<MachineId>,
    /// When all that could be stopped was looked at last.
    last_preemption_check: Time,
    /// When we ourselves came back from standing still.
    pub resumed_at: Option<Time>,
    /// The state service answered a moment ago: what is planned will be committed.
    store_reachable: bool,
    machines: BTreeMap<MachineId, Machine>,
    jobs: BTreeMap<JobId, Job>,
    pages: PlacementPages,
    progress_pages: ProgressPages,
    last_progress_write: Time,
    /// Machines on which something is to be stopped without delay.
    pending_kills: BTreeSet<MachineId>,
    /// Planned, in this order, and not yet in a transaction.
    commit_queue: VecDeque<(MachineId, TaskId)>,
    /// Jobs all of whose tasks are done, though their key does not say so yet.
    completed_jobs: BTreeSet<JobId>,
    /// Jobs that are over, until nothing of them is left anywhere.
    terminating_jobs: BTreeSet<JobId>,
    recovery: Option<RecoveryLoad>,
    loaded: bool,
    halted: bool,
    in_flight: Option<InFlightCommit>,
    next_commit_at: Time,
    /// How a refused transaction is tried again.
    commit_backoff: AdaptiveBackoff,
    /// How the books are read again.
    load_backoff: AdaptiveBackoff,
    /// Set aside, and until when.
    deferred: BTreeMap<WorkUnit, Time>,
    /// Whose turn it is where few writes fit.
    next_write_kind: usize,
    last_progress_page: usize,
    last_cleanup: Time,
    /// When the books last moved: a commit or a reply to a load.
    last_store_progress: Time,
    /// Orphan tasks that were found and not logged yet.
    orphan_summary: Option<OrphanSummary>,
    /// How long reports usually stay away.
    report_interval: ReportInterval,
    /// What tests put in.
    pub faults: Faults,
    last_cycle: Time,
    last_silence_check: Time,
    replan: bool,
    next_attempt: u64,
    /// What each team is guaranteed and may use.
    teams: Vec<Quota>,
    /// The key and stamp of the configuration that the teams are from.
    configuration_condition: Option<(&'static str, Revision)>,
    /// No `run` is sent from then on, until the configuration is read again.
    runs_allowed_until: Option<Time>,
    /// Some team uses more than a limit that was lowered.
    teams_over_quota: bool,
    active_directives: Rc<ActiveDirectives>,
    pub event_log: EventLog,
    team_names: Vec<String>,
    /// class -> run time over estimate
    run_time_ratios: BTreeMap<String, f64>,
}

impl Scheduler {
    pub fn new(
        settings: &Settings,
        fencing_token: FencingToken,
        active_directives: Rc<ActiveDirectives>,
        event_log: EventLog,
        aging: AgingPolicy,
        now: Time,
    ) -> Scheduler {
        let w = &settings.params.workers;
        // Guard 4: an earlier holder may have answered until H after its last
        // exchange, and its workers live lease_s longer. That the last holder
        // was a process of ours that ended does not help: the one before it
        // may be cut off and still be answering.
        let old_answers = settings.serving_deadline_s();
        Scheduler {
            fencing_token,
            acquired_at: now,
            previous_leases_until: now
                .plus((old_answers + w.lease_s) * MAX_CLOCK_DRIFT + settings.margin_s()),
            lease_s: w.lease_s,
            report_s: w.report_s,
            margin_s: settings.margin_s(),
            aging,
            reservations: Reservations::default(),
            preemption_history: PreemptionHistory::new(MAX_STOPPED_TASKS),
            fault_attribution: FaultAttribution::default(),
            nominations: Nominations::default(),
            largest_job_cpus: BTreeMap::new(),
            removed_machines: BTreeSet::new(),
            last_preemption_check: Time::default(),
            resumed_at: None,
            store_reachable: false,
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            pages: PlacementPages::new(fencing_token),
            progress_pages: ProgressPages::new(settings.value_limit()),
            last_progress_write: Time::default(),
            pending_kills: BTreeSet::new(),
            commit_queue: VecDeque::new(),
            completed_jobs: BTreeSet::new(),
            terminating_jobs: BTreeSet::new(),
            max_value_bytes: settings.value_limit(),
            recovery: None,
            loaded: false,
            halted: false,
            in_flight: None,
            next_commit_at: Time::default(),
            commit_backoff: AdaptiveBackoff::new(0.15, 4.0),
            load_backoff: AdaptiveBackoff::new(0.2, 2.0),
            deferred: BTreeMap::new(),
            next_write_kind: 0,
            last_progress_page: 0,
            last_cleanup: now,
            last_store_progress: now,
            orphan_summary: None,
            report_interval: ReportInterval::new(w.report_s),
            faults: Faults::default(),
            last_cycle: Time::default(),
            last_silence_check: Time::default(),
            replan: true,
            next_attempt: fencing_token.0 << 20,
            run_time_ratios: BTreeMap::new(),
            configuration_condition: None,
            runs_allowed_until: None,
            teams_over_quota: false,
            active_directives,
            event_log,
            team_names: settings
                .params
                .teams
                .iter()
                .map(|t| t.name.clone())
                .collect(),
            teams: settings.params.teams.iter().map(Quota::from).collect(),
        }
    }

    fn team_index(&self, spec: &JobSpec) -> Option<usize> {
        self.team_names.iter().position(|n| **n == *spec.team)
    }

    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }
    pub fn acquired_at(&self) -> Time {
        self.acquired_at
    }
    pub fn loaded(&self) -> bool {
        self.loaded
    }
    pub fn machines(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.machines.iter()
    }
    pub fn machine(&self, id: MachineId) -> Option<&Machine> {
        self.machines.get(&id)
    }
    /// How many machines with tasks we hear, and how many we do not.
    pub fn liveness_counts(&self, now: Time) -> (u32, u32) {
        let patience = self.report_s * 2.5 + 2.0;
        let (mut last_heartbeat, mut silent) = (0, 0);
        let there = |m: &Machine| {
            !m.resident.orphans.is_empty()
                || m.resident
                    .allocations
                    .values()
                    .any(Allocation::may_be_on_machine)
        };
        for m in self
            .machines
            .values()
            .filter(|m| !m.rotates_controllers(now))
        {
            match m.liveness.last_heartbeat.unwrap_or(self.acquired_at) {
                at if now.since(at) <= patience => {
                    last_heartbeat += u32::from(m.liveness.last_heartbeat.is_some())
                }
                // What was never sent there tells nothing.
                _ => silent += u32::from(there(m)),
            }
        }
        (last_heartbeat, silent)
    }

    /// What making room came to in this term.
    pub fn preemption_stats(&self) -> &PreemptionStats {
        &self.nominations.stats()
    }

    /// Nominations kept now, and how many there may be.
    pub fn nomination_counts(&self) -> (usize, usize) {
        (self.nominations.open_count(), self.nominations.window())
    }

    /// When the books last moved.
    pub fn last_store_progress(&self) -> Time {
        self.last_store_progress
    }

    /// There is something to write, or to read before anything can be.
    pub fn has_work(&self) -> bool {
        !self.loaded
            || self.recovery.is_some()
            || self.in_flight.is_some()
            || !self.commit_queue.is_empty()
            || self
                .completed_jobs
                .iter()
                .any(|id| !self.is_deferred(WorkUnit::Job(*id)))
            || self.halted
    }

    /// Another holder got nowhere: begin with the smallest transactions.
    pub fn slow_start(&mut self) {
        self.commit_backoff.slow_start();
    }

    /// Silence from which a machine is overdue, seconds.
    pub fn overdue_s(&self) -> f64 {
        self.report_interval.overdue_s()
    }

    /// It reports again before it was given back.
    pub fn cancel_return(&mut self, id: MachineId) {
        if let Some(m) = self.machines.get_mut(&id) {
            m.lifecycle.returning = false;
            self.replan = true;
        }
    }

    /// The machine goes back to the cloud.
    pub fn begin_return(&mut self, id: MachineId, why: &str) {
        self.event_log.record(|| What::Returned {
            machine: id.to_string(),
            why: why.to_string(),
        });
        if let Some(m) = self.machines.get_mut(&id) {
            m.lifecycle.returning = true;
        }
    }

    pub fn counts(&self, id: JobId) -> Option<TaskCounts> {
        let job = self.jobs.get(&id)?;
        Some(TaskCounts {
            done: job.progress.done_count(),
            running: job.active_tasks(),
        })
    }

    pub fn all_counts(&self) -> impl Iterator<Item = (JobId, TaskCounts)> + '_ {
        self.jobs
            .keys()
            .filter_map(|id| Some((*id, self.counts(*id)?)))
    }

    /// Open work for the fleet.
    pub fn demands(&self, wall: WallMs) -> Vec<Demand> {
        let mut out = Vec::new();
        for (id, job) in &self.jobs {
            if job.state != JobState::Open || job.is_complete() {
                continue;
            }
            // Nothing is rented for what may not start.
            if self
                .active_directives
                .freeze_of(&job.spec.team, &job.spec.class)
                .is_some()
            {
                continue;
            }
            out.push(self.demand(wall, *id, job));
        }
        out
    }

    /// One job's open work.
    fn demand(&self, wall: WallMs, id: JobId, job: &Job) -> Demand {
        let left = job.spec.tasks - job.progress.done_count().min(job.spec.tasks);
        // A job that fails everywhere earns no machines while it waits.
        let left = if self.fault_attribution.is_job_faulty(id) {
            left.min(1)
        } else {
            left
        };
        // Above its team's limit nothing of it can run.
        let limit = self
            .team_index(&job.spec)
            .map(|team| self.teams[team].cpus_max);
        let most = match limit {
            Some(cpus) if cpus > 0.0 && job.spec.cpus > 0.0 => {
                (cpus / job.spec.cpus + EPSILON) as u32
            }
            _ => u32::MAX,
        };
        Demand {
            job: id,
            class: job.spec.class.clone(),
            resources: job.resources(),
            remaining_tasks: left.min(most),
            placed_tasks: job.active_tasks().min(most),
            run_s: self.expected_run_s(job),
            age_s: age_s(wall, &job.spec),
            deadline_s: job.spec.due_s,
            image_gb: job.spec.image_gb,
            priority: job.spec.urgency as u8,
            deadline_array: job.spec.kind == JobKind::Batch,
            spot: job.spec.spot,
            machine_types: job.spec.machine_types.clone(),
            zone: job.spec.zone.clone(),
        }
    }

    /// Room on a machine by when it is or becomes free, for the fleet's look
    /// ahead.
    pub fn capacity_over_time(
        &self,
        now: Time,
        id: MachineId,
        machine_types: &[MachineType],
        pool: &mut Vec<(f64, f64)>,
    ) {
        let Some(m) = self.machines.get(&id) else {
            return;
        };
        let Some(machine_type) = m.identity.machine_type.and_then(|s| machine_types.get(s)) else {
            return;
        };
        let mut free = machine_type.cpus;
        for (task, e) in &m.resident.allocations {
            free -= e.resources.cpus;
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let run_s = self.expected_run_s(job);
            let ran = e.ran_s(now);
            // What runs longer than expected may go on as long again.
            let left = if ran < run_s {
                run_s - ran
            } else {
                run_s * 0.25
            };
            if job.spec.kind == JobKind::Batch {
                pool.push((left, e.resources.cpus));
            }
        }
        if free > EPSILON {
            pool.push((0.0, free));
        }
    }

    // ---- jobs ----

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
            let chunk = progress::chunk_size(self.max_value_bytes);
            if self.largest_job_cpus.len() < CLASSES_KNOWN
                || self.largest_job_cpus.contains_key(&*spec.class)
            {
                let known = self
                    .largest_job_cpus
                    .entry(spec.class.to_string())
                    .or_default();
                *known = known.max(total_cpus(spec));
            }
            self.jobs
                .insert(id, Job::new(spec.clone(), entry.revision, chunk, now));
        }
    }

    /// The job is over: nothing of it may start, everything must go.
    fn terminate_job(&mut self, now: Time, id: JobId) {
        let ids: Vec<MachineId> = self.machines.keys().copied().collect();
        for machine in ids {
            let tasks: Vec<TaskId> = match self.machines.get_mut(&machine) {
                Some(m) => m
                    .resident
                    .allocations
                    .keys()
                    .filter(|t| t.job == id)
                    .copied()
                    .collect(),
                None => continue,
            };
            for task in tasks {
                let Some(e) = self.allocation_mut(machine, task) else {
                    continue;
                };
                e.kill_grace_s = Some(0.0);
                // `run` was never sent, or proven lost: it cannot be there.
                if matches!(e.state, TaskState::Planned | TaskState::Committed) {
                    self.release_allocation(now, machine, task, false, 0.0);
                } else {
                    self.pending_kills.insert(machine);
                }
            }
        }
    }

    fn allocation_mut(&mut self, machine: MachineId, task: TaskId) -> Option<&mut Allocation> {
        self.machines
            .get_mut(&machine)?
            .resident
            .allocations
            .get_mut(&task)
    }

    /// Guard 3: called only with proof that the task is off the machine.
    fn release_allocation(
        &mut self,
        now: Time,
        machine: MachineId,
        task: TaskId,
        done: bool,
        delay: f64,
    ) {
        let Some(m) = self.machines.get_mut(&machine) else {
            return;
        };
        let Some(e) = m.resident.allocations.remove(&task) else {
            return;
        };
        if let Some(page) = e.page {
            self.pages.release(page);
        }
        // Those who wait for its end wait no longer; its own place, if it never
        // began there, came to nothing.
        self.nominations.on_task_ended(machine, task);
        if self.nominations.on_abandoned(now, task, e.attempt) {
            tracing::info!("{task} gives up its place on {machine}, for which others were stopped");
        }
        if m.resident.allocations.is_empty() {
            m.lifecycle.idle_since = now;
        }
        self.replan = true;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.release_attempt(task.index);
            if !done && !job.progress.is_done(task.index) {
                job.retry_at.insert(task.index, now.plus(delay));
            }
        }
        if done {
            self.mark_done(task);
        }
    }

    fn mark_done(&mut self, task: TaskId) {
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

    // ---- the loops ----

    #[allow(clippy::too_many_arguments)]
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        may_place: bool,
        settings: &Settings,
        machine_types: &[MachineType],
        job_store: &JobStore,
        store: &mut StoreClient<Tag>,
    ) {
        if self.halted {
            return;
        }
        if !self.loaded {
            // Jobs first: pages mean nothing without them.
            if job_store.loaded()
                && job_store
                    .fresh_as_of()
                    .is_some_and(|f| f >= self.acquired_at)
            {
                self.reload();
            }
            self.drive_load(now, store);
            return;
        }
        self.drive_load(now, store);
        self.event_log.set_time(wall);
        self.store_reachable = store
            .last_success()
            .is_some_and(|at| now.since(at) < IN_TOUCH_S);
        // Silence is a matter of seconds: looking after every report would cost
        // the whole fleet each time.
        if now.since(self.last_silence_check) >= SILENCE_S {
            self.last_silence_check = now;
            self.check_silence(now);
            self.log_orphans(now);
        }
        if now.since(self.last_cycle) >= 0.05
            && (self.replan || now.since(self.last_cycle) > 1.0)
            && may_place
        {
            self.last_cycle = now;
            self.replan = false;
            self.plan(now, wall, settings, machine_types);
        }
        self.forget_ended_jobs();
        self.commit(now, store);
    }

    /// Jobs that are over and have left nothing behind.
    fn forget_ended_jobs(&mut self) {
        let gone = |id: &JobId| {
            self.jobs
                .get(id)
                .is_none_or(|j| j.attempts_by_task.is_empty())
        };
        let over: Vec<JobId> = self
            .terminating_jobs
            .iter()
            .filter(|id| gone(id))
            .copied()
            .collect();
        for id in over {
            self.terminating_jobs.remove(&id);
            self.jobs.remove(&id);
            self.progress_pages.forget(id);
            self.fault_attribution.forget_job(id);
            self.preemption_history.retain(|t| t.job != id);
        }
    }
}
