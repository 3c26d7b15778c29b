//! The rules of the protocol, checked against the actual tasks on the machines.

use super::{Sim, START};
use crate::effective_quotas::EffectiveQuotas;
use crate::machine_contents::{MachineContents, Violation, EPSILON};
use crate::preemptions::{MachineState, PreemptionTracker};
use crate::starvation::StarvationTracker;
use beamhinge_emulator::worker::{TaskEvent, TaskTransition};
use beamhinge_emulator::{job_id, JobPlan, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// A job is forgotten if a request about it stays unanswered for longer than this without any
/// fault; seconds.
const FORGOTTEN_S: u64 = 75;
/// Interval between checks of the rules that the passing of time alone can break.
const CLOCK_INTERVAL: Micros = SECOND;

/// Losses of machines and tasks, by the actual state of the machines.
#[derive(Clone, Debug, Default)]
pub struct LossCounts {
    /// Machines that were up when their link was cut.
    pub cut_off: u64,
    /// Healthy machines that were returned while they ran tasks or were cut off.
    pub healthy_returned: u64,
    /// Machines that hung, resumed, and were returned before a controller had answered them
    /// again.
    pub faulty_returned: u64,
    /// Tasks on healthy returned machines, and tasks that ended with an expired lease on a
    /// machine without a fault while no other fault was in force.
    pub unexplained: u64,
    /// Tasks that ended because their worker's lease expired.
    pub expired: u64,
}

/// Tracks which controller is the leader over time.
#[derive(Default)]
pub(super) struct LeadershipWatch {
    last_led: Micros,
    leader: Option<usize>,
    /// The longest time without a leader.
    longest_gap: Micros,
    /// How often leadership moved to another controller.
    changes: u64,
}

impl LeadershipWatch {
    fn update(&mut self, now: Micros, leader: Option<usize>) {
        if leader.is_some() || self.last_led == 0 {
            self.last_led = now;
        }
        if leader.is_some() && leader != self.leader {
            self.changes += u64::from(self.leader.is_some());
            self.leader = leader;
        }
        self.longest_gap = self.longest_gap.max(now - self.last_led);
    }
}

/// Rules that were broken, and counters for the outcome of a scenario.
#[derive(Default)]
pub struct Checks {
    /// Names of the rules that were broken.
    pub violated: BTreeSet<String>,
    /// When each rule was first broken, and by what.
    pub log: Vec<String>,
    /// Counts of lost machines and tasks.
    pub losses: LossCounts,
    /// Preempted tasks.
    pub preemptions: PreemptionTracker,
    /// Jobs that wait although enough free capacity fits them.
    pub starvation: StarvationTracker,
    /// Limits of teams, in case operators change them.
    pub quotas: EffectiveQuotas,
    /// Tasks that started.
    pub started: u64,
    /// Tasks that started after the user was told that their job is cancelled.
    pub late_starts: u64,
    /// The longest time that a cancelled job's task stayed on a machine, as a fraction of the
    /// time that is allowed.
    pub max_cancelled_run_fraction: f64,
    pub(super) contents: MachineContents,
    /// Tasks that succeeded, by job. Results are stored outside the machines.
    finished: BTreeMap<String, BTreeSet<String>>,
    leadership: LeadershipWatch,
    /// Faults of controllers and links explain losses until this time.
    explained_until: Micros,
    clock_checked: Micros,
}

impl Checks {
    /// Records that a rule was broken; only the first violation of each rule counts.
    pub fn violate(&mut self, now: Micros, rule: &str, subject: &str) {
        if self.violated.insert(rule.to_string()) {
            let at = (now - START) as f64 / 1e6;
            self.log
                .push(format!("{at:.3} s: {rule} broken by {subject}"));
        }
    }

    /// How many tasks of a job have succeeded.
    #[must_use]
    pub fn finished_tasks(&self, job: &str) -> u64 {
        self.finished.get(job).map_or(0, |tasks| tasks.len() as u64)
    }

    /// The longest time without a leader.
    #[must_use]
    pub fn longest_leaderless(&self) -> Micros {
        self.leadership.longest_gap
    }

    /// How often leadership moved to another controller.
    #[must_use]
    pub fn leader_changes(&self) -> u64 {
        self.leadership.changes
    }

    /// Records tasks that succeeded; returns the jobs that this completes.
    fn finish_tasks(
        &mut self,
        task_ids: Vec<String>,
        jobs: &BTreeMap<String, JobPlan>,
    ) -> Vec<String> {
        let mut complete = Vec::new();
        for task_id in task_ids {
            let Some((job, index)) = task_id.split_once('/') else {
                continue;
            };
            let finished = self.finished.entry(job.to_string()).or_default();
            let first = finished.insert(index.to_string());
            let total = jobs.get(job).and_then(JobPlan::declared_tasks);
            if first && total == Some(finished.len() as u64) {
                complete.push(job.to_string());
            }
        }
        complete
    }
}

impl Sim {
    /// Records a fault of controllers or links, or of a service that they need, which ends at
    /// `until`: it explains losses until two worker leases after its end.
    pub fn explain_until(&mut self, until: Micros) {
        let two_leases = (self.lease_s() * 2e6) as Micros;
        let explained = &mut self.checks.explained_until;
        *explained = (*explained).max(until + two_leases);
    }

    /// Checks the rules about the contents of machines whenever those may have changed, and
    /// each second the rules that the passing of time alone can break.
    pub(super) fn check(&mut self, machine: Option<u64>) {
        self.checks.leadership.update(self.now, self.leader());
        if let Some(machine) = machine {
            self.check_machine(machine);
        }
        if self.now >= self.checks.clock_checked + CLOCK_INTERVAL {
            self.checks.clock_checked = self.now;
            self.check_clock();
        }
    }

    /// Collects the events on a machine and checks the rules.
    pub(super) fn check_machine(&mut self, machine: u64) {
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        self.state.violations.append(&mut worker.violations);
        if worker.events.is_empty() && worker.expired == 0 && worker.finished.is_empty() {
            return;
        }
        let events = std::mem::take(&mut worker.events);
        let finished = std::mem::take(&mut worker.finished);
        let expired = std::mem::take(&mut worker.expired);
        let reclaimed = worker.faults.reclaim_at.is_some();
        let faulty_until = worker.faults.faulty_until();
        self.checks.started += std::mem::take(&mut worker.started);
        let violations = self.update_contents(machine);
        self.count_expired(expired, faulty_until);
        // Tasks that ended with an expired lease were not stopped by a command.
        if expired == 0 {
            let views = &self.users.views;
            let state = MachineState { machine, reclaimed };
            self.checks
                .preemptions
                .on_events(self.now, state, &events, &self.jobs, |job| {
                    views.get(job).is_some_and(|view| view.cancel_requested)
                });
        }
        self.note_first_starts(machine);
        let starts = |e: &&TaskEvent| e.transition == TaskTransition::Started;
        let cancelled = |e: &&TaskEvent| self.users.cancelled_at(job_id(&e.task_id)).is_some();
        let late_starts = events.iter().filter(starts).filter(cancelled).count();
        self.checks.late_starts += late_starts as u64;
        for job in self.checks.finish_tasks(finished, &self.jobs) {
            self.on_job_ended(&job);
        }
        let started = events.iter().filter(starts);
        let above_limit: Vec<String> = started
            .filter_map(|e| self.above_limit(&e.task_id))
            .collect();
        for Violation { rule, subject } in violations {
            self.checks.violate(self.now, rule, &subject);
        }
        for subject in above_limit {
            self.checks.violate(self.now, "limit_in_force", &subject);
        }
    }

    /// Records the tasks that are on a machine now; returns the rules that this breaks.
    fn update_contents(&mut self, machine: u64) -> Vec<Violation> {
        let Some(worker) = self.workers.get(&machine) else {
            return Vec::new();
        };
        let running = worker.running().map(|t| t.task_id.clone()).collect();
        let teams = &self.settings[0].params.teams;
        // Limits that operators change are checked where tasks start.
        let changed = self.checks.quotas.is_changed();
        let limit = |name: &str| {
            let team = teams.iter().find(|t| t.name == name && !changed);
            team.map_or(0.0, |t| t.cpus_max)
        };
        let attributes = worker.attributes();
        let contents = &mut self.checks.contents;
        contents.set(machine, &attributes, running, &self.jobs, limit)
    }

    /// Counts tasks that ended because their worker's lease expired.
    fn count_expired(&mut self, expired: u64, machine_faulty_until: Micros) {
        let two_leases = (self.lease_s() * 2e6) as Micros;
        self.checks.losses.expired += expired;
        let machine_faulty = self.now < machine_faulty_until + two_leases;
        if expired > 0 && !machine_faulty && self.now > self.checks.explained_until {
            self.checks.losses.unexplained += expired;
        }
    }

    fn note_first_starts(&mut self, machine: u64) {
        if self.users.unstarted.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(&machine) else {
            return;
        };
        for task in worker.running() {
            let job = job_id(&task.task_id);
            if self.users.unstarted.remove(job) {
                let start = (job.to_string(), self.now);
                self.users.first_starts.push(start);
            }
        }
    }

    /// A description of the violation if the start of a task exceeds a limit that has been in
    /// force for long enough.
    fn above_limit(&self, task_id: &str) -> Option<String> {
        if !self.checks.quotas.is_changed() {
            return None;
        }
        let team = self.jobs.get(job_id(task_id))?.declared_team()?;
        let used = self.checks.contents.used(team);
        let allowed = self.checks.quotas.allowed(self.now, team)?;
        (used > allowed + EPSILON).then(|| format!("{task_id}: {team} uses {used} of {allowed}"))
    }

    /// Checks the rules that the passing of time alone can break.
    fn check_clock(&mut self) {
        self.checks.preemptions.expire(self.now);
        self.check_forgotten();
        self.check_starvation();
        let cancel = (self.settings[0].params.workers.cancel_s * 1e6) as Micros;
        let jobs = self.checks.contents.jobs();
        let cancelled: Vec<(Micros, String)> = jobs
            .filter_map(|(job, task)| Some((self.users.cancelled_at(job)?, task.to_string())))
            .collect();
        if let Some(first) = cancelled.iter().map(|(at, _)| *at).min() {
            let left = (self.now - first) as f64 / cancel as f64;
            self.checks.max_cancelled_run_fraction =
                self.checks.max_cancelled_run_fraction.max(left);
        }
        for (at, task_id) in cancelled {
            if self.now > at + cancel {
                self.checks.violate(self.now, "ran_cancelled", &task_id);
            }
        }
    }

    /// Reports accepted jobs about which no request was answered in time once all faults are
    /// over, whether or not requests about other jobs were answered.
    fn check_forgotten(&mut self) {
        let Some(healed) = self.healed else { return };
        let late = |(job, opened): (&String, &Micros)| {
            let overdue = self.now > (*opened).max(healed) + FORGOTTEN_S * SECOND;
            (overdue && self.users.is_accepted(job)).then(|| job.clone())
        };
        let forgotten: Vec<String> = self.users.open.iter().filter_map(late).collect();
        for job in forgotten {
            let subject = format!("{job}, about which no request was answered in time");
            self.checks.violate(self.now, "forgotten", &subject);
        }
    }
}
