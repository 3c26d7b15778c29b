//! The leader's scheduler: assigns tasks to machines, processes worker reports and produces the
//! commands for workers.
//!
//! The desired state is the set of allocations. Two loops drive the key-value store and the
//! workers towards it: commits (`persistence`) and worker commands (`reconciliation`).
//! A [`Scheduler`] exists for one leadership term and is dropped when the term ends. It first loads
//! the stored state ([`Scheduler::loaded`]) and places no task before that. It performs no I/O:
//! transactions go to the [`StoreClient`], and commands are returned to the caller.
//!
//! Invariants, with the numbers of `docs/safety.md`:
//!
//! - Guard 1: each transaction is conditional on the leadership key.
//! - Guard 2: `run` is sent only in the answer to a report, and only for a committed allocation of
//!   an open job.
//! - Guard 3: an allocation ends only with proof that its task no longer runs on the machine.
//! - Guard 4: commands go out only while the controller is entitled to act as leader.
//! - Guard 5: an unknown task status in a worker report never counts as the end of the task.

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

/// Maximum ratio between the rates of any two clocks of the cluster.
const MAX_CLOCK_DRIFT: f64 = 1.002;
/// The key-value store counts as unreachable after this many seconds without a successful reply.
/// The leader sends it a request every second.
const STORE_TIMEOUT_S: f64 = 1.8;
/// Interval between checks for unreachable machines, seconds.
const REACHABILITY_CHECK_INTERVAL_S: f64 = 0.2;
/// Minimum time between two scheduling cycles, seconds.
const MIN_CYCLE_INTERVAL_S: f64 = 0.05;
/// Maximum time between two scheduling cycles when nothing has changed, seconds.
const MAX_CYCLE_INTERVAL_S: f64 = 1.0;

/// Maximum number of tasks in the preemption history. When it is full, the task with the fewest
/// preemptions is evicted. Allows two tasks for each of 8,192 machines.
const MAX_PREEMPTED_TASKS: usize = 16_384;

/// Input of one scheduler tick, provided by the controller node.
#[derive(Clone, Copy)]
pub struct SchedulerTick<'a> {
    /// Monotonic time of this controller.
    pub now: Time,
    /// Wall-clock time.
    pub wall: WallMs,
    /// Whether this controller is entitled to place tasks now.
    pub may_place: bool,
    /// Cluster settings.
    pub settings: &'a Settings,
    /// Machine types offered by the cloud.
    pub machine_types: &'a [MachineType],
}

/// The leader's view of jobs and machines during one leadership term.
pub struct Scheduler {
    /// Fencing token of this term.
    fencing_token: FencingToken,
    /// Time of the leadership acquisition.
    acquired_at: Time,
    /// Until this time, answers of an earlier leader may still keep worker leases valid.
    previous_leases_until: Time,
    /// Duration of a worker's lease, seconds: without an answer, it keeps its tasks this long.
    lease_s: f64,
    /// Interval between reports of a worker, seconds.
    report_s: f64,
    /// Safety margin for clock errors and delays, seconds.
    margin_s: f64,
    /// Maximum size of one value in the key-value store, bytes.
    max_value_bytes: usize,
    /// How a job's priority increases with its waiting time.
    aging: AgingPolicy,
    /// Machines reserved for boosted or starving jobs whose next task fits on no machine now.
    reservations: Reservations,
    /// Tasks that were preempted, with their preemption counts.
    preemption_history: PreemptionHistory,
    /// Attributes task failures to jobs or to machines.
    fault_attribution: FaultAttribution,
    /// Open nominations of tasks that wait for other tasks on their machine to end.
    nominations: Nominations,
    /// Total CPUs of the largest job seen so far, by class.
    largest_job_cpus: BTreeMap<String, f64>,
    /// Machines whose termination the cloud has confirmed. Reports in their names are delayed
    /// copies.
    removed_machines: BTreeSet<MachineId>,
    /// Time of the last survey of all preemption candidates.
    last_preemption_check: Time,
    /// When this controller's process last resumed after a suspension; `None` if it never did.
    pub resumed_at: Option<Time>,
    /// The key-value store replied within [`STORE_TIMEOUT_S`], so plans can be committed.
    store_reachable: bool,
    /// All machines that have reported or have allocations.
    machines: BTreeMap<MachineId, Machine>,
    /// Open jobs, and ended jobs that still have tasks on machines.
    jobs: BTreeMap<JobId, Job>,
    /// The stored placement pages.
    pages: PlacementPages,
    /// The stored progress pages.
    progress_pages: ProgressPages,
    /// When a progress page was last written.
    last_progress_write: Time,
    /// Machines with tasks that must be stopped without delay.
    pending_kills: BTreeSet<MachineId>,
    /// Planned allocations that are in no transaction yet, in planning order.
    commit_queue: VecDeque<(MachineId, TaskId)>,
    /// Jobs whose tasks are all done but whose key does not say so yet.
    completed_jobs: BTreeSet<JobId>,
    /// Ended jobs that may still have tasks on machines.
    terminating_jobs: BTreeSet<JobId>,
    /// The load of the stored state in progress; `None` if there is none.
    recovery: Option<RecoveryLoad>,
    /// Whether the stored state was loaded in this term.
    loaded: bool,
    /// Some stored state is unreadable: the scheduler no longer places or writes anything.
    halted: bool,
    /// The transaction that awaits its reply.
    in_flight: Option<InFlightCommit>,
    /// Earliest time of the next transaction.
    next_commit_at: Time,
    /// Backoff for retries of refused transactions.
    commit_backoff: AdaptiveBackoff,
    /// Backoff for retries of refused loads.
    load_backoff: AdaptiveBackoff,
    /// Writes that the key-value store rejects, and until when each is not retried.
    deferred: BTreeMap<WorkUnit, Time>,
    /// Index of the kind of write that goes first when a transaction has space for few writes.
    next_write_kind: usize,
    /// Index of the progress page that was last written.
    last_progress_page: usize,
    /// When unreferenced pages were last removed.
    last_cleanup: Time,
    /// When a commit or a step of a load last succeeded.
    last_store_progress: Time,
    /// Orphan tasks that were found but not logged yet; `None` if there are none.
    orphan_summary: Option<OrphanSummary>,
    /// Estimate of the usual interval between reports.
    report_interval: ReportInterval,
    /// Faults injected by tests.
    pub faults: Faults,
    /// When the last scheduling cycle ran.
    last_cycle: Time,
    /// When unreachable machines were last checked for.
    last_reachability_check: Time,
    /// A change requires a new scheduling cycle.
    replan: bool,
    /// The highest attempt number assigned so far.
    next_attempt: u64,
    /// Team names; allocations refer to teams by index.
    team_names: Vec<String>,
    /// Team quotas, in the same order.
    teams: Vec<Quota>,
    /// Key and revision of the configuration that defines the quotas; `None` without one.
    configuration_condition: Option<(&'static str, Revision)>,
    /// From this time on no `run` is sent until the configuration is read again; `None` means no
    /// limit.
    runs_allowed_until: Option<Time>,
    /// Whether a team may exceed its limit because the limit was lowered.
    teams_over_quota: bool,
    /// Operator directives in force.
    active_directives: Rc<ActiveDirectives>,
    /// Event log of scheduling decisions, for operators.
    pub event_log: EventLog,
    /// Ratio of actual to estimated run time, by class.
    run_time_ratios: BTreeMap<String, f64>,
}

impl Scheduler {
    /// Creates the scheduler of a term that begins now, with no state loaded yet.
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
        // Guard 4: an earlier leader may have answered workers until H after its last exchange
        // with the key-value store, and their tasks survive lease_s longer. The wait also applies
        // if the previous leader was an earlier, terminated process of this controller: the leader
        // before that one may be partitioned and still be answering.
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
            last_reachability_check: Time::default(),
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

    /// Index of the job's team; `None` if the team is unknown.
    fn team_index(&self, spec: &JobSpec) -> Option<usize> {
        self.team_names.iter().position(|name| **name == *spec.team)
    }

    /// Fencing token of this term.
    pub fn fencing_token(&self) -> FencingToken {
        self.fencing_token
    }

    /// Time of the leadership acquisition.
    pub fn acquired_at(&self) -> Time {
        self.acquired_at
    }

    /// Whether the stored state was loaded in this term.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// All machines, in order of their ids.
    pub fn machines(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.machines.iter()
    }

    /// The machine with this id; `None` if it is unknown.
    pub fn machine(&self, id: MachineId) -> Option<&Machine> {
        self.machines.get(&id)
    }

    /// Number of machines that report on time, and of machines that may have tasks but do not.
    /// Machines whose worker rotates through the controllers are in neither.
    pub fn reachability_counts(&self, now: Time) -> (u32, u32) {
        let timeout_s = self.report_s * 2.5 + 2.0;
        let (mut reporting, mut unreachable) = (0, 0);
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
                    reporting += u32::from(last_heartbeat.is_some());
                }
                // A missing report from a machine without tasks does not indicate a failure.
                _ => unreachable += u32::from(may_have_tasks(machine)),
            }
        }
        (reporting, unreachable)
    }

    /// Preemption statistics of this term.
    pub fn preemption_stats(&self) -> &PreemptionStats {
        self.nominations.stats()
    }

    /// Number of open nominations, and how many with victims may be open at once.
    pub fn nomination_counts(&self) -> (usize, usize) {
        (self.nominations.open_count(), self.nominations.window())
    }

    /// When a commit or a step of a load last succeeded.
    pub fn last_store_progress(&self) -> Time {
        self.last_store_progress
    }

    /// Whether state has to be written, or has to be loaded before anything can be written.
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

    /// Starts with the smallest transactions, because another leader could not commit anything.
    pub fn slow_start(&mut self) {
        self.commit_backoff.slow_start();
    }

    /// Time without a report after which a machine is overdue, seconds.
    pub fn overdue_s(&self) -> f64 {
        self.report_interval.overdue_s()
    }

    /// Cancels the return of a machine that reports again before the cloud has removed it.
    pub fn cancel_return(&mut self, id: MachineId) {
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.lifecycle.returning = false;
            self.replan = true;
        }
    }

    /// Marks the machine as being returned to the cloud; it gets no new tasks.
    pub fn begin_return(&mut self, id: MachineId, why: &str) {
        self.event_log.record(|| DecisionKind::Returned {
            machine: id.to_string(),
            why: why.to_string(),
        });
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.lifecycle.returning = true;
        }
    }

    /// Number of done and of active tasks of a job; `None` if the job is unknown.
    pub fn counts(&self, id: JobId) -> Option<TaskCounts> {
        let job = self.jobs.get(&id)?;
        Some(TaskCounts {
            done: job.progress.done_count(),
            running: job.active_tasks(),
        })
    }

    /// Task counts of all jobs.
    pub fn all_counts(&self) -> impl Iterator<Item = (JobId, TaskCounts)> + '_ {
        self.jobs
            .keys()
            .filter_map(|id| Some((*id, self.counts(*id)?)))
    }

    /// Runs the loops that are due: load, check for unreachable machines, scheduling, commit.
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
            // Jobs are loaded first: pages cannot be interpreted without them.
            if job_store.loaded()
                && job_store
                    .fresh_as_of()
                    .is_some_and(|at| at >= self.acquired_at)
            {
                self.reload();
            }
            self.send_next_scan(now, store);
            return;
        }
        self.send_next_scan(now, store);
        self.event_log.set_time(wall);
        self.store_reachable = store
            .last_success()
            .is_some_and(|at| now.since(at) < STORE_TIMEOUT_S);
        // Machines become unreachable on a scale of seconds. A check after every report would scan
        // the whole fleet each time.
        if now.since(self.last_reachability_check) >= REACHABILITY_CHECK_INTERVAL_S {
            self.last_reachability_check = now;
            self.check_reachability(now);
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
