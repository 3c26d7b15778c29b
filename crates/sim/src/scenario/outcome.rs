//! The outcome of a scenario.

use super::expectations::{self, Expectation};
use crate::cluster::{LossCounts, Sim, START};
use crate::fingerprint::Fingerprint;
use crate::starvation::MAX_WAIT_S;
use beamhinge_emulator::{Micros, SECOND};

/// Maximum time from the end of the last fault until all feasible jobs are done, seconds.
pub const SETTLE_S: u64 = 300;
/// Maximum time from then until all rented machines are returned, seconds.
pub const IDLE_S: u64 = 240;
/// Time after the last fault at which the part of work done by class and team is recorded,
/// seconds.
pub const SERVED_S: u64 = 180;

/// Interval between two checks for remaining work.
const CHECK_INTERVAL: Micros = 2 * SECOND;
/// Maximum number of reported violations of the services' limits and protocols.
const MAX_REPORTED_SERVICE_VIOLATIONS: usize = 3;

/// The outcome of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Expectations that were not met, and rules that were violated.
    pub failures: Vec<String>,
    /// Names of the violated rules.
    pub violations: Vec<String>,
    /// Jobs that were not done within the time allowed after the last fault.
    pub unfinished: Vec<String>,
    /// Jobs that waited too long after the last fault although enough capacity was free.
    pub starved: Vec<String>,
    /// The longest such wait, seconds.
    pub longest_starvation_s: f64,
    /// Tasks that started after a user was told that their job is cancelled.
    pub late_starts: u64,
    /// The longest time after a user was told a job's end at which an older answer to an
    /// earlier query still arrived, seconds; no rule bounds it.
    pub max_outdated_answer_s: f64,
    /// Machines that were still rented when no work was left.
    pub idle_machines: usize,
    /// Seconds from the last fault until all was done.
    pub settled_s: f64,
    /// Machines and tasks that were lost.
    pub losses: LossCounts,
    /// Tasks that started.
    pub started: u64,
    /// The maximum number of machines at one time.
    pub peak_machines: u32,
    /// Each job's wait for its first start, without jobs that never started.
    pub waits: Vec<Wait>,
    /// The longest time without a leader, seconds.
    pub leaderless_s: f64,
    /// Tasks that were preempted.
    pub preempted: u64,
    /// Preempted tasks in whose place no task started.
    pub wasted_preemptions: u64,
    /// The longest wait for the first start among the largest jobs of each class, and its job,
    /// seconds.
    pub largest_wait: Option<(String, f64)>,
    /// The longest time that a task was on a machine after its user was told that its job is
    /// cancelled, as a part of `cancel_s`.
    pub max_cancelled_run_fraction: f64,
    /// The longest time that a query about an accepted job was unanswered after the last
    /// fault, seconds.
    pub unanswered_s: f64,
    /// The time that each configuration change took until it was in force at every controller,
    /// seconds.
    pub in_force_s: Vec<f64>,
    /// The class or team with the smallest part of its work done [`SERVED_S`] after the last
    /// fault, or earlier if all is done before, and this part.
    pub least_served: Option<(String, f64)>,
    /// Fingerprint of everything that the controllers sent until all machines were returned.
    pub fingerprint: Fingerprint,
}

/// How long a job waited for its first start.
#[derive(Clone, Debug)]
pub struct Wait {
    /// The job.
    pub job: String,
    /// Its urgency by its wire name.
    pub urgency: String,
    /// Time of its first submission, seconds after the scenario's start.
    pub submitted_s: f64,
    /// How long it waited, seconds.
    pub wait_s: f64,
    /// Number of its tasks.
    pub tasks: u64,
    /// CPUs of a task.
    pub cpus: f64,
}

impl Wait {
    /// The wait of a job that started at this time; `None` if the job is unknown.
    pub(super) fn new(sim: &Sim, job: &str, started: Micros) -> Option<Wait> {
        let plan = sim.jobs.get(job)?;
        Some(Wait {
            job: job.to_string(),
            urgency: plan.urgency().to_string(),
            submitted_s: plan.submitted_at.saturating_sub(START) as f64 / 1e6,
            wait_s: started.saturating_sub(plan.submitted_at) as f64 / 1e6,
            tasks: plan.tasks(),
            cpus: plan.cpus(),
        })
    }
}

/// The criteria by which a scenario is judged.
pub(super) struct Judgement<'a> {
    pub(super) expectations: &'a [Expectation<'a>],
    /// Time after the last fault within which all jobs must be done, seconds; `None` if the
    /// scenario need not settle.
    pub(super) settle_s: Option<u64>,
}

/// Judges a scenario whose script is over.
pub(super) fn judge(sim: &mut Sim, judgement: &Judgement) -> Outcome {
    let mut outcome = Outcome {
        failures: expectations::check(sim, judgement.expectations),
        ..Outcome::default()
    };
    if let Some(settle_s) = judgement.settle_s {
        settle(sim, settle_s, &mut outcome);
    }
    record_figures(sim, &mut outcome);
    record_violations(sim, &mut outcome);
    let failures = expectations::check_figures(&outcome, judgement.expectations);
    outcome.failures.extend(failures);
    outcome
}

fn record_figures(sim: &Sim, outcome: &mut Outcome) {
    let seconds = |us: Micros| us as f64 / 1e6;
    let (checks, users) = (&sim.checks, &sim.users);
    outcome.largest_wait = sim.largest_wait();
    outcome.max_cancelled_run_fraction = checks.max_cancelled_run_fraction;
    outcome.late_starts = checks.late_starts;
    let rollouts = checks.quotas.rollout_times.iter();
    outcome.in_force_s = rollouts.map(|us| seconds(*us)).collect();
    let older = users
        .views
        .values()
        .map(|view| view.max_stale_answer_delay)
        .max();
    outcome.max_outdated_answer_s = seconds(older.unwrap_or(0));
    outcome.unanswered_s = seconds(users.longest_unanswered);
    outcome.losses = checks.losses.clone();
    outcome.started = checks.started;
    outcome.peak_machines = sim.cloud.peak_instances;
    outcome.leaderless_s = seconds(checks.longest_leaderless());
    outcome.preempted = checks.preemptions.preempted;
    outcome.wasted_preemptions = checks.preemptions.wasted;
    outcome.waits = users
        .first_starts
        .iter()
        .filter_map(|(job, at)| Wait::new(sim, job, *at))
        .collect();
    outcome.fingerprint = sim.fingerprinter.fingerprint();
}

fn record_violations(sim: &Sim, outcome: &mut Outcome) {
    let invalid_jobs = &sim.users.invalid_jobs_accepted;
    if !invalid_jobs.is_empty() {
        outcome
            .failures
            .push(format!("accepted though invalid: {invalid_jobs:?}"));
    }
    outcome.violations = sim.checks.violated.iter().cloned().collect();
    if !outcome.violations.is_empty() {
        outcome
            .failures
            .push(format!("rules violated: {:?}", sim.checks.log));
    }
    let service_violations = sim.state.violations.iter().chain(&sim.cloud.violations);
    for violation in service_violations.take(MAX_REPORTED_SERVICE_VIOLATIONS) {
        outcome
            .failures
            .push(format!("service limit or protocol violated: {violation}"));
    }
}

/// Continues without the script: lines that become due only now are discarded, since
/// `run_until` stops at each of them.
fn play_on(sim: &mut Sim) {
    sim.run_until(sim.now + CHECK_INTERVAL);
    while sim.due_script().is_some() {}
}

/// Liveness: after all faults have ended, all feasible jobs must be done within a stated time,
/// and no machine may stay rented without work.
///
/// A service that has stopped permanently violates no safety rule; only this check finds it.
fn settle(sim: &mut Sim, within_s: u64, outcome: &mut Outcome) {
    sim.heal();
    let began = sim.now;
    while sim.now < began + within_s * SECOND && !sim.unfinished().is_empty() {
        play_on(sim);
        if outcome.least_served.is_none() && sim.now >= began + SERVED_S * SECOND {
            outcome.least_served = sim.served().into_iter().next();
        }
    }
    if outcome.least_served.is_none() {
        outcome.least_served = sim.served().into_iter().next();
    }
    outcome.settled_s = (sim.now - began) as f64 / 1e6;
    outcome.unfinished = sim.unfinished().into_iter().map(String::from).collect();
    // Continues until every query about an accepted job is answered or its rule is violated.
    while sim.requests_open() {
        play_on(sim);
    }
    let starvation = &sim.checks.starvation;
    outcome.longest_starvation_s = starvation.longest as f64 / 1e6;
    outcome.starved = starvation.starved.iter().cloned().collect();
    if !outcome.starved.is_empty() {
        let jobs = &outcome.starved;
        outcome.failures.push(format!(
            "waited {MAX_WAIT_S} s although enough capacity was free: {jobs:?}"
        ));
    }
    if outcome.unfinished.is_empty() {
        return_machines(sim, outcome);
    } else {
        let jobs = &outcome.unfinished;
        outcome.failures.push(format!(
            "not done after {within_s} s without faults: {jobs:?}"
        ));
    }
}

/// Checks that all rented machines are returned after all jobs are done.
fn return_machines(sim: &mut Sim, outcome: &mut Outcome) {
    let until = sim.now + IDLE_S * SECOND;
    while sim.now < until && sim.rented_machines() > 0 && !sim.endless_jobs_accepted() {
        play_on(sim);
    }
    if !sim.endless_jobs_accepted() {
        outcome.idle_machines = sim.rented_machines();
    }
    if outcome.idle_machines > 0 {
        let count = outcome.idle_machines;
        outcome.failures.push(format!(
            "{count} machines are still rented {IDLE_S} s after all jobs were done"
        ));
    }
}
