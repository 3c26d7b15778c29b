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
const LONGEST_WAIT_MS: u64 = 3_600_000;

/// Violations of one rule: their number, and what caused the first.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct RuleViolation {
    pub times: u64,
    pub first: String,
}

struct JobSeen {
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
    team_limit: f64,
    cancel_us: WallUs,
    waiting: BTreeMap<(WallUs, u64), Record>,
    next: u64,
    jobs: BTreeMap<u64, JobSeen>,
    live: BTreeMap<String, BTreeSet<Attempt>>,
    use_of_teams: BTreeMap<String, f64>,
    /// Cancelled jobs that may still have tasks on machines, and when they were cancelled.
    leaving: BTreeMap<u64, WallUs>,
    pub broken: BTreeMap<String, RuleViolation>,
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
    pub(super) fn new(workload: Workload, team_limit: f64, cancel_s: f64) -> Checker {
        Checker {
            workload,
            team_limit,
            cancel_us: (cancel_s * 1e6) as WallUs,
            waiting: BTreeMap::new(),
            next: 0,
            jobs: BTreeMap::new(),
            live: BTreeMap::new(),
            use_of_teams: BTreeMap::new(),
            leaving: BTreeMap::new(),
            broken: BTreeMap::new(),
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
    pub(super) fn take(&mut self, record: Record) {
        if let Record::Task { at, .. } | Record::User { at, .. } = &record {
            self.next += 1;
            self.waiting.insert((*at, self.next), record);
        }
    }

    /// Checks all records that are old enough for none earlier to arrive.
    pub(super) fn check_until(&mut self, now: WallUs) {
        while let Some(entry) = self.waiting.first_entry() {
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
                    self.task(at, (machine, attempt), task_id, event);
                }
                Record::User { at, job, event } => self.user(at, job, event),
                _ => {}
            }
        }
        self.judge_leaving(now.saturating_sub(REORDER_US));
    }

    fn break_rule(&mut self, rule: &str, what: String) {
        let broken = self.broken.entry(rule.to_string()).or_default();
        if broken.times == 0 {
            broken.first = what;
        }
        broken.times += 1;
    }

    fn seen(&mut self, number: u64) -> &mut JobSeen {
        let workload = &self.workload;
        self.jobs.entry(number).or_insert_with(|| JobSeen {
            job: workload.job(number),
            accepted: None,
            cancelled: None,
            started: None,
            ended: BTreeSet::new(),
        })
    }

    fn task(&mut self, at: WallUs, attempt: Attempt, task_id: String, event: TaskTransition) {
        let id = task_id.split('/').next().unwrap_or("");
        let Some(number) = id.strip_prefix("job-").and_then(|n| n.parse::<u64>().ok()) else {
            return self.break_rule("invented", task_id);
        };
        match event {
            TaskTransition::Started => self.began(at, number, attempt, &task_id),
            TaskTransition::Finished | TaskTransition::Stopped => {
                self.left(at, number, attempt, &task_id);
                if event == TaskTransition::Finished {
                    self.seen(number).ended.insert(task_id);
                }
            }
        }
    }

    fn began(&mut self, at: WallUs, number: u64, attempt: Attempt, task_id: &str) {
        *self.starts.entry(at / 1_000_000).or_default() += 1;
        self.counts.tasks_started += 1;
        let live = self.live.entry(task_id.to_string()).or_default();
        let elsewhere: Vec<Attempt> = live.iter().copied().collect();
        live.insert(attempt);
        if !elsewhere.is_empty() {
            self.break_rule(
                "ran_twice",
                format!("{task_id} on {attempt:?} and {elsewhere:?}"),
            );
        }
        let seen = self.seen(number);
        let (team, cpus, urgent) = (seen.job.team.clone(), seen.job.cpus, seen.job.urgent);
        let (accepted, cancelled) = (seen.accepted, seen.cancelled);
        let first = seen.started.is_none();
        seen.started.get_or_insert(at);
        if first && urgent {
            // A job that starts before its user gets the response has not waited.
            let accepted = accepted.unwrap_or(at);
            self.urgent_waits
                .push((accepted, at.saturating_sub(accepted) as f64 / 1e3));
        }
        let used = self.use_of_teams.entry(team.clone()).or_default();
        *used += cpus;
        let used = *used;
        if used > self.team_limit + ROUNDING {
            let limit = self.team_limit;
            self.break_rule(
                "quota",
                format!("{team} uses {used:.2} of {limit:.2} by {task_id}"),
            );
        }
        if let Some(cancelled) = cancelled {
            self.late_starts += 1;
            self.leaving.insert(number, cancelled);
            if at > cancelled + self.cancel_us {
                self.break_rule("ran_cancelled", format!("{task_id} started"));
            }
        }
    }

    fn left(&mut self, at: WallUs, number: u64, attempt: Attempt, task_id: &str) {
        let Some(live) = self.live.get_mut(task_id) else {
            return;
        };
        if !live.remove(&attempt) {
            return;
        }
        if live.is_empty() {
            self.live.remove(task_id);
        }
        let seen = self.seen(number);
        let (team, cpus) = (seen.job.team.clone(), seen.job.cpus);
        let cancelled = seen.cancelled;
        if let Some(used) = self.use_of_teams.get_mut(&team) {
            *used -= cpus;
        }
        if cancelled.is_some_and(|told| at > told + self.cancel_us) {
            self.break_rule(
                "ran_cancelled",
                format!("{task_id} ended after the deadline"),
            );
        }
    }

    fn user(&mut self, at: WallUs, number: u64, event: UserEvent) {
        match event {
            UserEvent::Accepted => {
                self.counts.accepted += 1;
                self.seen(number).accepted.get_or_insert(at);
            }
            UserEvent::Cancelled => {
                self.counts.cancelled += 1;
                self.seen(number).cancelled.get_or_insert(at);
                self.leaving.insert(number, at);
            }
            UserEvent::Done => {
                self.counts.done += 1;
                let seen = self.seen(number);
                let (ended, tasks) = (seen.ended.len(), seen.job.tasks as usize);
                if ended < tasks {
                    let what = format!("job-{number:06} with {ended} of {tasks} tasks");
                    self.break_rule("not_done", what);
                }
            }
            UserEvent::RuleViolation(rule) => self.break_rule(&rule, format!("job-{number:06}")),
            UserEvent::CancelSent => {}
        }
    }

    /// Checks that cancelled jobs have no tasks on machines after the deadline.
    fn judge_leaving(&mut self, now: WallUs) {
        let late: Vec<u64> = self
            .leaving
            .iter()
            .filter(|(_, at)| now > **at + self.cancel_us)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            self.leaving.remove(&number);
            let prefix = format!("job-{number:06}/");
            let left = self.live.range(prefix.clone()..).next();
            if let Some(task_id) = left
                .map(|(p, _)| p.clone())
                .filter(|p| p.starts_with(&prefix))
            {
                self.break_rule("ran_cancelled", format!("{task_id} is still running"));
            }
        }
    }

    /// Histogram of the waits of urgent jobs accepted at `since` or later, milliseconds.
    pub(super) fn urgent_histogram(
        &self,
        since: WallUs,
    ) -> Result<Histogram<u64>, hdrhistogram::CreationError> {
        let mut waits = Histogram::new_with_max(LONGEST_WAIT_MS, 3)?;
        for (_, ms) in self.urgent_waits.iter().filter(|(at, _)| *at >= since) {
            waits.saturating_record(ms.round() as u64);
        }
        Ok(waits)
    }
}

#[cfg(test)]
mod tests;
