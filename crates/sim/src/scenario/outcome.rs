//! What a scenario came to.

use super::expectations::{self, Expectation};
use crate::cluster::{LossCounts, Sim, START};
use crate::fingerprint::Fingerprint;
use crate::starvation::MAX_WAIT_S;
use beamhinge_emulator::{Micros, SECOND};

/// Longest time from the end of the last fault until all that fits is done, seconds.
pub const SETTLE_S: u64 = 300;
/// Longest time from then until nothing is rented any more, seconds.
pub const IDLE_S: u64 = 240;
/// So long after the last fault it is looked at who was served how much, seconds.
pub const SERVED_S: u64 = 180;

/// Time between two looks at what is left to do.
const LOOK_INTERVAL: Micros = 2 * SECOND;
/// Misuses of the services that are reported.
const MAX_MISUSES: usize = 3;

/// What a scenario came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Expectations that were not met, and rules that were broken.
    pub failures: Vec<String>,
    /// Rules broken, by name.
    pub violations: Vec<String>,
    /// Jobs that were not done in time after the last fault.
    pub unfinished: Vec<String>,
    /// Jobs that waited too long beside room that fits, after the last fault.
    pub starved: Vec<String>,
    /// The longest that one waited there, seconds.
    pub longest_starvation_s: f64,
    /// Tasks that started after a user was told that their job is cancelled.
    pub late_starts: u64,
    /// The longest after a user was told a job's end that an older answer still came, to a
    /// question asked before: no rule, seconds.
    pub late_older_s: f64,
    /// Machines that were still rented when nothing was left to do.
    pub idle_machines: usize,
    /// Seconds from the last fault until all was done.
    pub settled_s: f64,
    /// Machines and tasks that were lost.
    pub losses: LossCounts,
    /// Tasks that started.
    pub started: u64,
    /// The most machines at once.
    pub peak_machines: u32,
    /// Each job's wait for its first start; those that never started are not in it.
    pub waits: Vec<Wait>,
    /// The longest time without a leader, seconds.
    pub leaderless_s: f64,
    /// Tasks that were preempted.
    pub preempted: u64,
    /// Preempted tasks in whose place nobody started.
    pub wasted_preemptions: u64,
    /// The longest that one of its class's largest jobs waited to start, seconds.
    pub largest_wait: Option<(String, f64)>,
    /// The longest that a task was on a machine after its user was told that its job is
    /// cancelled, as a part of `cancel_s`.
    pub cancelled_left: f64,
    /// The longest that a question about an accepted job was open after the last fault,
    /// seconds.
    pub unanswered_s: f64,
    /// How long each change of configuration took until every controller served by it,
    /// seconds.
    pub in_force_s: Vec<f64>,
    /// The class or team served least some time after the last fault, and how much of its
    /// work was done by then.
    pub least_served: Option<(String, f64)>,
    /// Of all that controllers sent, until everything was given back.
    pub fingerprint: Fingerprint,
}

/// How long a job waited for its first start.
#[derive(Clone, Debug)]
pub struct Wait {
    /// The job.
    pub job: String,
    /// Its urgency as the wire names it.
    pub urgency: String,
    /// When it was submitted first, seconds after the scenario's beginning.
    pub submitted_s: f64,
    /// How long it waited, seconds.
    pub wait_s: f64,
    /// Number of its tasks.
    pub tasks: u64,
    /// CPUs of a task.
    pub cpus: f64,
}

impl Wait {
    /// The wait of a job that started at that time; none for one that is not known.
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

/// How a scenario is judged beside its expectations.
pub(super) struct Judgement<'a> {
    pub(super) expectations: &'a [Expectation<'a>],
    /// All has to be done so long after the last fault, seconds; none: it need not end well.
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
    outcome.cancelled_left = checks.cancelled_left;
    outcome.late_starts = checks.late_starts;
    let rollouts = checks.quotas.rollout_times.iter();
    outcome.in_force_s = rollouts.map(|us| seconds(*us)).collect();
    let older = users.views.values().map(|view| view.late_older).max();
    outcome.late_older_s = seconds(older.unwrap_or(0));
    outcome.unanswered_s = seconds(users.longest_open);
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
        outcome.failures.push(format!(
            "accepted though they are not sound: {invalid_jobs:?}"
        ));
    }
    outcome.violations = sim.checks.violated.iter().cloned().collect();
    if !outcome.violations.is_empty() {
        outcome
            .failures
            .push(format!("rules broken: {:?}", sim.checks.log));
    }
    let misuses = sim.state.violations.iter().chain(&sim.cloud.violations);
    for misuse in misuses.take(MAX_MISUSES) {
        outcome.failures.push(format!("misused: {misuse}"));
    }
}

/// Plays on, without the script: a line that is due only now would stop the clock for ever.
fn play_on(sim: &mut Sim) {
    sim.run_until(sim.now + LOOK_INTERVAL);
    while sim.due_script().is_some() {}
}

/// Liveness: once all faults have ended, everything that fits is done within a stated time,
/// and no money goes on being spent on nothing.
///
/// A service that stops for ever keeps every rule; only this finds it.
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
    // Every question about an accepted job has its answer by now, or its rule broken.
    while sim.questions_open() {
        play_on(sim);
    }
    let starvation = &sim.checks.starvation;
    outcome.longest_starvation_s = starvation.longest as f64 / 1e6;
    outcome.starved = starvation.starved.iter().cloned().collect();
    if !outcome.starved.is_empty() {
        let jobs = &outcome.starved;
        outcome.failures.push(format!(
            "left waiting {MAX_WAIT_S} s beside room that fits: {jobs:?}"
        ));
    }
    if outcome.unfinished.is_empty() {
        return_machines(sim, outcome);
    } else {
        let jobs = &outcome.unfinished;
        outcome.failures.push(format!(
            "not done after {within_s} s without trouble: {jobs:?}"
        ));
    }
}

/// Everything is done: all that was rented is to be given back.
fn return_machines(sim: &mut Sim, outcome: &mut Outcome) {
    let until = sim.now + IDLE_S * SECOND;
    while sim.now < until && sim.rented_machines() > 0 && !sim.services_run() {
        play_on(sim);
    }
    if !sim.services_run() {
        outcome.idle_machines = sim.rented_machines();
    }
    if outcome.idle_machines > 0 {
        let count = outcome.idle_machines;
        outcome.failures.push(format!(
            "{count} machines are rented for nothing, {IDLE_S} s after all was done"
        ));
    }
}
