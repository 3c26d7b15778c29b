//! The leader's work: which task is on which machine, what workers report and what they are
//! commanded.
//!
//! The wanted state is the set of allocations; commits (`persistence`) and commands
//! (`reconciliation`) are the loops that bring the state service and the workers towards it.
//! A [`Scheduler`] exists for one term of leadership and is dropped with it. It reads the stored
//! state first ([`Scheduler::loaded`]), and places nothing before. It does no input or output:
//! transactions go to the [`StoreClient`], commands are returned.
//!
//! Invariants, with the numbers of `docs/safety.md`:
//!
//! - Guard 1: each transaction rests on the leadership's key.
//! - Guard 2: `run` is sent only for a committed allocation of an open job, in an answer.
//! - Guard 3: an allocation ends only with proof that its task is off the machine.
//! - Guard 4: commands go out only while the controller is entitled to act as leader.
//! - Guard 5: unknown words of a worker never count as the end of a task.

use crate::calls::Tag;
use crate::directives::ActiveDirectives;
use crate::event_log::EventLog;
use crate::faults::Faults;
use crate::job_store::{JobSpec, JobStore};
use crate::placement_pages::PlacementPages;
use crate::progress::ProgressPages;
use crate::split::MachineType;
use crate::store::StoreClient;
use beamhinge_admin_api::messages::DecisionKind;
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

use allocation::Allocation;
use job::{age_s, Job};
use persistence::{InFlightCommit, RecoveryLoad, WorkUnit};
use reconciliation::OrphanSummary;

pub use machine::Machine;
pub use persistence::CommitOutcome;
pub use reconciliation::DirectCall;

mod aging;
mod allocation;
mod bin_packing;
mod cycle;
mod demand;
mod drain;
mod explain;
mod feasibility;
mod job;
mod lifecycle;
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
/// A leader asks the state service each second: without a reply for longer than this it counts
/// as unreachable, seconds.
const STORE_TIMEOUT_S: f64 = 1.8;
/// How often machines are checked for silence, seconds.
const SILENCE_CHECK_INTERVAL_S: f64 = 0.2;
/// Least time between two scheduling cycles, seconds.
const MIN_CYCLE_INTERVAL_S: f64 = 0.05;
/// A scheduling cycle runs this often also when nothing has changed, seconds.
const MAX_CYCLE_INTERVAL_S: f64 = 1.0;

/// Tasks whose preemptions are remembered; beyond it the one that was preempted least is
/// forgotten. Two for each of 8,192 machines.
const MAX_PREEMPTED_TASKS: usize = 16_384;

/// What a tick of the scheduler is given by the node.
#[derive(Clone, Copy)]
pub struct SchedulerTick<'a> {
    /// Monotonic time of this controller.
    pub now: Time,
    /// Time of day.
    pub wall: WallMs,
    /// Whether this controller is entitled to place tasks now.
    pub may_place: bool,
    /// Settings of the cluster.
    pub settings: &'a Settings,
    /// The machine types that the cloud publishes.
    pub machine_types: &'a [MachineType],
}

/// The leader's view of jobs and machines, for one term of leadership.
pub struct Scheduler {
    /// Token of this term.
    fencing_token: FencingToken,
    /// When the leadership was acquired.
    acquired_at: Time,
    /// Until when an earlier leader's answers may still keep tasks alive.
    previous_leases_until: Time,
    /// How long a worker keeps its tasks without an answer, seconds.
    lease_s: f64,
    /// How often a worker reports, seconds.
    report_s: f64,
    /// Margin for errors of clocks and delays, seconds.
    margin_s: f64,
    /// Limit of one value in the state service.
    max_value_bytes: usize,
    /// How waiting raises a job's priority.
    aging: AgingPolicy,
    /// Machines reserved for boosted tasks that fit nowhere now.
    reservations: Reservations,
    /// Tasks that were preempted.
    preemption_history: PreemptionHistory,
    /// Whose fault failures are.
    fault_attribution: FaultAttribution,
    /// Places that are kept for those whom others were preempted for.
    nominations: Nominations,
    /// The CPUs of the largest job that was seen of each class.
    largest_job_cpus: BTreeMap<String, f64>,
    /// Machines that the cloud has confirmed to be gone: reports in their names are
    /// copies that come late.
    removed_machines: BTreeSet<MachineId>,
    /// When all that could be preempted was surveyed last.
    last_preemption_check: Time,
    /// When this controller resumed after a suspension of its process.
    pub resumed_at: Option<Time>,
    /// The state service answered a moment ago: what is planned will be committed.
    store_reachable: bool,
    /// All machines that were heard or have allocations.
    machines: BTreeMap<MachineId, Machine>,
    /// Open jobs, and those that are over until nothing of them is left.
    jobs: BTreeMap<JobId, Job>,
    /// The stored pages of allocations.
    pages: PlacementPages,
    /// The stored pages of completed tasks.
    progress_pages: ProgressPages,
    /// When progress was written last.
    last_progress_write: Time,
    /// Machines on which something is to be stopped without delay.
    pending_kills: BTreeSet<MachineId>,
    /// Planned, in this order, and not yet in a transaction.
    commit_queue: VecDeque<(MachineId, TaskId)>,
    /// Jobs all of whose tasks are done, though their key does not say so yet.
    completed_jobs: BTreeSet<JobId>,
    /// Jobs that are over, until nothing of them is left anywhere.
    terminating_jobs: BTreeSet<JobId>,
    /// A load of the stored state that is under way.
    recovery: Option<RecoveryLoad>,
    /// The stored state was loaded in this term.
    loaded: bool,
    /// Something stored is unreadable: nothing is placed or written any more.
    halted: bool,
    /// The transaction that is without a reply.
    in_flight: Option<InFlightCommit>,
    /// No transaction before then.
    next_commit_at: Time,
    /// How a refused transaction is tried again.
    commit_backoff: AdaptiveBackoff,
    /// How a refused load is tried again.
    load_backoff: AdaptiveBackoff,
    /// What the state service does not take, and until when it is left alone.
    deferred: BTreeMap<WorkUnit, Time>,
    /// Index of the kind of writes that comes first where few writes fit.
    next_write_kind: usize,
    /// The progress page that was written last.
    last_progress_page: usize,
    /// When unreferenced pages were removed last.
    last_cleanup: Time,
    /// When a commit or a part of a load last succeeded.
    last_store_progress: Time,
    /// Orphan tasks that were found and not logged yet.
    orphan_summary: Option<OrphanSummary>,
    /// How far apart reports usually are.
    report_interval: ReportInterval,
    /// Faults that tests inject.
    pub faults: Faults,
    /// When the last scheduling cycle ran.
    last_cycle: Time,
    /// When machines were last checked for silence.
    last_silence_check: Time,
    /// Something has changed that a scheduling cycle has to see.
    replan: bool,
    /// The highest number of an attempt that was given out.
    next_attempt: u64,
    /// Names of the teams; allocations name teams by their index.
    team_names: Vec<String>,
    /// Quotas of the teams, in the same order.
    teams: Vec<Quota>,
    /// The key and revision of the configuration that the quotas are from.
    configuration_condition: Option<(&'static str, Revision)>,
    /// No `run` is sent from then on, until the configuration is read again.
    runs_allowed_until: Option<Time>,
    /// Some team may use more than a limit that was lowered.
    teams_over_quota: bool,
    /// The operators' directives that are in force.
    active_directives: Rc<ActiveDirectives>,
    /// Decisions, for the operators' event log.
    pub event_log: EventLog,
    /// Run time over estimate, by class.
    run_time_ratios: BTreeMap<String, f64>,
}

impl Scheduler {
    /// The scheduler of a term that begins now. Nothing is loaded yet.
    pub fn new(
        settings: &Settings,
        fencing_token: FencingToken,
        active_directives: Rc<ActiveDirectives>,
        event_log: EventLog,
        aging: AgingPolicy,
        now: Time,
    ) -> Scheduler {
        let workers = &settings.params.workers;
        let teams = &settings.params.teams;
        // Guard 4: an earlier leader may have answered until H after its last
        // exchange, and its workers live lease_s longer. That the last leader
        // was an earlier process of this controller that ended does not help: the one before it
        // may be cut off and still be answering.
        let previous_answers_s = settings.serving_deadline_s();
        let previous_leases_s = (previous_answers_s + workers.lease_s) * MAX_CLOCK_DRIFT;
        Scheduler {
            fencing_token,
            acquired_at: now,
            previous_leases_until: now.plus(previous_leases_s + settings.margin_s()),
            lease_s: workers.lease_s,
            report_s: workers.report_s,
            margin_s: settings.margin_s(),
            aging,
            reservations: Reservations::default(),
            preemption_history: PreemptionHistory::new(MAX_PREEMPTED_TASKS),
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
            report_interval: ReportInterval::new(workers.report_s),
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
            team_names: teams.iter().map(|team| team.name.clone()).collect(),
            teams: teams.iter().map(Quota::from).collect(),
        }
    }

    /// Index of the job's team, if it is known.
    fn team_index(&self, spec: &JobSpec) -> Option<usize> {
        self.team_names.iter().position(|name| **name == *spec.team)
    }

    /// Token of this term.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// When the leadership was acquired.
    pub fn acquired_at(&self) -> Time {
        self.acquired_at
    }

    /// Whether the stored state was loaded in this term.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// All machines, by their ids.
    pub fn machines(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.machines.iter()
    }

    /// The machine of this id.
    pub fn machine(&self, id: MachineId) -> Option<&Machine> {
        self.machines.get(&id)
    }

    /// How many machines report in time, and how many with tasks do not.
    pub fn liveness_counts(&self, now: Time) -> (u32, u32) {
        let timeout_s = self.report_s * 2.5 + 2.0;
        let (mut heard, mut silent) = (0, 0);
        let may_have_tasks = |machine: &Machine| {
            let mut allocations = machine.resident.allocations.values();
            !machine.resident.orphans.is_empty() || allocations.any(Allocation::may_be_on_machine)
        };
        for machine in self.machines.values() {
            if machine.rotates_controllers(now) {
                continue;
            }
            let last_heartbeat = machine.liveness.last_heartbeat;
            match last_heartbeat.unwrap_or(self.acquired_at) {
                at if now.since(at) <= timeout_s => {
                    heard += u32::from(last_heartbeat.is_some());
                }
                // That a machine without tasks is silent proves nothing.
                _ => silent += u32::from(may_have_tasks(machine)),
            }
        }
        (heard, silent)
    }

    /// Figures of preemption in this term.
    pub fn preemption_stats(&self) -> &PreemptionStats {
        self.nominations.stats()
    }

    /// Nominations kept now, and how many there may be.
    pub fn nomination_counts(&self) -> (usize, usize) {
        (self.nominations.open_count(), self.nominations.window())
    }

    /// When a commit or a part of a load last succeeded.
    pub fn last_store_progress(&self) -> Time {
        self.last_store_progress
    }

    /// Whether there is something to write, or to read before anything can be.
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

    /// Another leader got nothing committed: begin with the smallest transactions.
    pub fn slow_start(&mut self) {
        self.commit_backoff.slow_start();
    }

    /// Silence from which a machine is overdue, seconds.
    pub fn overdue_s(&self) -> f64 {
        self.report_interval.overdue_s()
    }

    /// The machine reports again before it was returned to the cloud.
    pub fn cancel_return(&mut self, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.lifecycle.returning = false;
            self.replan = true;
        }
    }

    /// The machine is being returned to the cloud, and gets nothing new.
    pub fn begin_return(&mut self, id: MachineId, why: &str) {
        self.event_log.record(|| DecisionKind::Returned {
            machine: id.to_string(),
            why: why.to_string(),
        });
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.lifecycle.returning = true;
        }
    }

    /// How many tasks of a job are done and active; `None` if the job is unknown.
    pub fn counts(&self, id: JobId) -> Option<TaskCounts> {
        let job = self.jobs.get(&id)?;
        Some(TaskCounts {
            done: job.progress.done_count(),
            running: job.active_tasks(),
        })
    }

    /// The counts of all jobs.
    pub fn all_counts(&self) -> impl Iterator<Item = (JobId, TaskCounts)> + '_ {
        self.jobs
            .keys()
            .filter_map(|id| Some((*id, self.counts(*id)?)))
    }

    /// Runs the loops that are due: load, silence, scheduling, commit.
    pub fn tick(
        &mut self,
        context: &SchedulerTick,
        job_store: &JobStore,
        store: &mut StoreClient<Tag>,
    ) {
        let SchedulerTick { now, wall, .. } = *context;
        if self.halted {
            return;
        }
        if !self.loaded {
            // Jobs first: pages mean nothing without them.
            if job_store.loaded()
                && job_store
                    .fresh_as_of()
                    .is_some_and(|at| at >= self.acquired_at)
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
            .is_some_and(|at| now.since(at) < STORE_TIMEOUT_S);
        // Silence is a matter of seconds: a check after every report would cost
        // the whole fleet each time.
        if now.since(self.last_silence_check) >= SILENCE_CHECK_INTERVAL_S {
            self.last_silence_check = now;
            self.check_silence(now);
            self.log_orphans(now);
        }
        if now.since(self.last_cycle) >= MIN_CYCLE_INTERVAL_S
            && (self.replan || now.since(self.last_cycle) > MAX_CYCLE_INTERVAL_S)
            && context.may_place
        {
            self.last_cycle = now;
            self.replan = false;
            self.plan(now, wall, context.settings, context.machine_types);
        }
        self.forget_ended_jobs();
        self.commit(now, store);
    }
}
