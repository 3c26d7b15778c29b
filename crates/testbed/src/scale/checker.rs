//! Checks the rules of the protocol against what workers did and what users were told, never
//! against the state of the controllers.

use super::messages::{Record, TaskTransition, UserEvent, WallUs};
use super::workload::{ScaleJob, Workload};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Records of several processes are sorted by time; a record may arrive this much later than its
/// time, microseconds.
const REORDER_US: WallUs = 2_000_000;
/// Tolerance for rounding errors of floating-point sums.
const ROUNDING: f64 = 1e-6;
const MAX_WAIT_MS: u64 = 3_600_000;

/// Violations of one rule: their number, and what caused the first.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct RuleViolation {
    pub times: u64,
    pub first: String,
}

struct ObservedJob {
    job: ScaleJob,
    accepted: Option<WallUs>,
    cancelled: Option<WallUs>,
    started: Option<WallUs>,
    ended: BTreeSet<String>,
}

/// Machine and attempt number.
type Attempt = (u64, u64);

pub(super) struct Checker {
    workload: Workload,
    /// CPU limit of each team.
    team_cpu_limit: f64,
    cancel_grace_us: WallUs,
    pending_records: BTreeMap<(WallUs, u64), Record>,
    next_sequence: u64,
    jobs: BTreeMap<u64, ObservedJob>,
    running_attempts: BTreeMap<String, BTreeSet<Attempt>>,
    cpus_by_team: BTreeMap<String, f64>,
    /// Cancelled jobs that may still have tasks on machines, and when they were cancelled.
    cancelled_jobs: BTreeMap<u64, WallUs>,
    pub violations: BTreeMap<String, RuleViolation>,
    /// Task starts by second of wall-clock time.
    pub starts: BTreeMap<u64, u64>,
    /// Time of acceptance of each urgent job, and its wait for the first start, milliseconds.
    pub urgent_waits: Vec<(WallUs, f64)>,
    /// Tasks that started after the user was told that the job is cancelled.
    pub late_starts: u64,
    pub counts: JobCounts,
}

/// Number of jobs that reached each state, and of tasks started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct JobCounts {
    pub accepted: u64,
    pub done: u64,
    pub cancelled: u64,
    pub tasks_started: u64,
}

impl Checker {
    pub(super) fn new(workload: Workload, team_cpu_limit: f64, cancel_s: f64) -> Checker {
        Checker {
            workload,
            team_cpu_limit,
            cancel_grace_us: (cancel_s * 1e6) as WallUs,
            pending_records: BTreeMap::new(),
            next_sequence: 0,
            jobs: BTreeMap::new(),
            running_attempts: BTreeMap::new(),
            cpus_by_team: BTreeMap::new(),
            cancelled_jobs: BTreeMap::new(),
            violations: BTreeMap::new(),
            starts: BTreeMap::new(),
            urgent_waits: Vec::new(),
            late_starts: 0,
            counts: JobCounts::default(),
        }
    }

    pub(super) fn workload(&self) -> &Workload {
        &self.workload
    }

    /// Adds a record of a worker or a user; ignores records of other kinds.
    pub(super) fn add_record(&mut self, record: Record) {
        if let Record::Task { at, .. } | Record::User { at, .. } = &record {
            self.next_sequence += 1;
            self.pending_records
                .insert((*at, self.next_sequence), record);
        }
    }

    /// Checks all records that are old enough for none earlier to arrive.
    pub(super) fn check_until(&mut self, now: WallUs) {
        while let Some(entry) = self.pending_records.first_entry() {
            if entry.key().0 + REORDER_US > now {
                break;
            }
            match entry.remove() {
                Record::Task {
                    at,
                    machine,
                    task_id,
                    attempt,
                    event,
                } => {
                    self.on_task_event(at, (machine, attempt), task_id, event);
                }
                Record::User { at, job, event } => self.on_user_event(at, job, event),
                _ => {}
            }
        }
        self.check_cancelled_jobs(now.saturating_sub(REORDER_US));
    }

    fn record_violation(&mut self, rule: &str, what: String) {
        let violation = self.violations.entry(rule.to_string()).or_default();
        if violation.times == 0 {
            violation.first = what;
        }
        violation.times += 1;
    }

    fn observed_job(&mut self, number: u64) -> &mut ObservedJob {
        let workload = &self.workload;
        self.jobs.entry(number).or_insert_with(|| ObservedJob {
            job: workload.job(number),
            accepted: None,
            cancelled: None,
            started: None,
            ended: BTreeSet::new(),
        })
    }

    fn on_task_event(
        &mut self,
        at: WallUs,
        attempt: Attempt,
        task_id: String,
        event: TaskTransition,
    ) {
        let id = task_id.split('/').next().unwrap_or("");
        let Some(number) = id.strip_prefix("job-").and_then(|n| n.parse::<u64>().ok()) else {
            return self.record_violation("invented", task_id);
        };
        match event {
            TaskTransition::Started => self.on_task_started(at, number, attempt, &task_id),
            TaskTransition::Finished | TaskTransition::Stopped => {
                self.on_task_ended(at, number, attempt, &task_id);
                if event == TaskTransition::Finished {
                    self.observed_job(number).ended.insert(task_id);
                }
            }
        }
    }

    fn on_task_started(&mut self, at: WallUs, number: u64, attempt: Attempt, task_id: &str) {
        *self.starts.entry(at / 1_000_000).or_default() += 1;
        self.counts.tasks_started += 1;
        let running_attempts = self
            .running_attempts
            .entry(task_id.to_string())
            .or_default();
        let other_attempts: Vec<Attempt> = running_attempts.iter().copied().collect();
        running_attempts.insert(attempt);
        if !other_attempts.is_empty() {
            self.record_violation(
                "ran_twice",
                format!("{task_id} on {attempt:?} and {other_attempts:?}"),
            );
        }
        let observed = self.observed_job(number);
        let (team, cpus, urgent) = (
            observed.job.team.clone(),
            observed.job.cpus,
            observed.job.urgent,
        );
        let (accepted, cancelled) = (observed.accepted, observed.cancelled);
        let is_first_start = observed.started.is_none();
        observed.started.get_or_insert(at);
        if is_first_start && urgent {
            // A job that starts before its user gets the response has not waited.
            let accepted = accepted.unwrap_or(at);
            self.urgent_waits
                .push((accepted, at.saturating_sub(accepted) as f64 / 1e3));
        }
        let used = self.cpus_by_team.entry(team.clone()).or_default();
        *used += cpus;
        let used = *used;
        if used > self.team_cpu_limit + ROUNDING {
            let limit = self.team_cpu_limit;
            self.record_violation(
                "quota",
                format!("{team} uses {used:.2} of {limit:.2} by {task_id}"),
            );
        }
        if let Some(cancelled) = cancelled {
            self.late_starts += 1;
            self.cancelled_jobs.insert(number, cancelled);
            if at > cancelled + self.cancel_grace_us {
                self.record_violation("ran_cancelled", format!("{task_id} started"));
            }
        }
    }

    fn on_task_ended(&mut self, at: WallUs, number: u64, attempt: Attempt, task_id: &str) {
        let Some(running_attempts) = self.running_attempts.get_mut(task_id) else {
            return;
        };
        if !running_attempts.remove(&attempt) {
            return;
        }
        if running_attempts.is_empty() {
            self.running_attempts.remove(task_id);
        }
        let observed = self.observed_job(number);
        let (team, cpus) = (observed.job.team.clone(), observed.job.cpus);
        let cancelled = observed.cancelled;
        if let Some(used) = self.cpus_by_team.get_mut(&team) {
            *used -= cpus;
        }
        if cancelled.is_some_and(|cancelled_at| at > cancelled_at + self.cancel_grace_us) {
            self.record_violation(
                "ran_cancelled",
                format!("{task_id} ended after the deadline"),
            );
        }
    }

    fn on_user_event(&mut self, at: WallUs, number: u64, event: UserEvent) {
        match event {
            UserEvent::Accepted => {
                self.counts.accepted += 1;
                self.observed_job(number).accepted.get_or_insert(at);
            }
            UserEvent::Cancelled => {
                self.counts.cancelled += 1;
                self.observed_job(number).cancelled.get_or_insert(at);
                self.cancelled_jobs.insert(number, at);
            }
            UserEvent::Done => {
                self.counts.done += 1;
                let observed = self.observed_job(number);
                let (ended, tasks) = (observed.ended.len(), observed.job.tasks as usize);
                if ended < tasks {
                    let what = format!("job-{number:06} with {ended} of {tasks} tasks");
                    self.record_violation("not_done", what);
                }
            }
            UserEvent::RuleViolation(rule) => {
                self.record_violation(&rule, format!("job-{number:06}"))
            }
            UserEvent::CancelSent => {}
        }
    }

    /// Checks that cancelled jobs have no tasks on machines after the deadline.
    fn check_cancelled_jobs(&mut self, now: WallUs) {
        let overdue: Vec<u64> = self
            .cancelled_jobs
            .iter()
            .filter(|(_, at)| now > **at + self.cancel_grace_us)
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            self.cancelled_jobs.remove(&number);
            let prefix = format!("job-{number:06}/");
            let remaining = self.running_attempts.range(prefix.clone()..).next();
            if let Some(task_id) = remaining
                .map(|(p, _)| p.clone())
                .filter(|p| p.starts_with(&prefix))
            {
                self.record_violation("ran_cancelled", format!("{task_id} is still running"));
            }
        }
    }

    /// Histogram of the waits of urgent jobs accepted at `since` or later, milliseconds.
    pub(super) fn urgent_histogram(
        &self,
        since: WallUs,
    ) -> Result<Histogram<u64>, hdrhistogram::CreationError> {
        let mut waits = Histogram::new_with_max(MAX_WAIT_MS, 3)?;
        for (_, ms) in self.urgent_waits.iter().filter(|(at, _)| *at >= since) {
            waits.saturating_record(ms.round() as u64);
        }
        Ok(waits)
    }
}

#[cfg(test)]
mod tests;
