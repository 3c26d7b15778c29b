//! The queue of pending jobs and the order in which their tasks are placed.

use super::job::{total_cpus, Job};
use super::quota::TeamUsage;
use super::{age_s, Scheduler};
use crate::job_store::{JobSpec, JobState};
use crate::split::EPSILON;
use beamhinge_admin_api::directives::Directive;
use beamhinge_core::job::Urgency;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{JobId, Time, WallMs};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Time within which the largest jobs of a class have to start, seconds.
const MAX_START_DELAY_S: f64 = 240.0;
/// Fraction of [`MAX_START_DELAY_S`] after which such a job counts as starving and ranks with
/// critical jobs.
const STARVATION_FRACTION: f64 = 0.6;
/// Fraction of the size of the largest job of a class from which a job counts as large.
const LARGE_JOB_FRACTION: f64 = 0.75;
/// Fraction of the time to its objective during which a job leaves machines without its image to
/// jobs whose image is cached there.
const PATIENT_FRACTION: f64 = 0.7;
/// Fraction of its expected run time: a job with less time left until its deadline counts as unable
/// to meet it.
const LATE_FRACTION: f64 = 0.7;

/// Which objectives a pending job can still meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    /// It can still meet all its objectives.
    OnTime,
    /// It has exceeded the wait objective of its class.
    WaitMissed,
    /// It can no longer meet its deadline.
    DeadlineMissed,
}

/// Rank of a pending job; the lowest rank goes first. Ranks are compared field by field in
/// declaration order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// Not within its team's guarantee, or past the time within which guaranteed jobs go first.
    pub(super) not_prompt: bool,
    pub(super) urgency: Reverse<Urgency>,
    pub(super) lateness: Lateness,
    /// Exceeds its team's guarantee.
    pub(super) borrowing: bool,
}

impl QueueRank {
    /// Whether the priority lane goes ahead of this rank. Boosted jobs go behind prompt guaranteed
    /// jobs and behind jobs more urgent than `ceiling`.
    pub(super) fn is_behind_priority_lane(&self, ceiling: Urgency) -> bool {
        self.not_prompt && self.urgency.0 <= ceiling
    }
}

/// A job with tasks that wait for a machine.
pub(super) struct PendingJob {
    pub(super) id: JobId,
    pub(super) rank: QueueRank,
    /// Sort key within the rank; the lowest goes first.
    order_in_rank: f64,
    /// Too late to wait for a machine that has its image.
    pub(super) pressing: bool,
    /// Wait objective of its class, seconds; `None` if the class has none.
    pub(super) wait_objective_s: Option<f64>,
    /// Its deadline, else the completion objective of its class, seconds after its submission;
    /// `None` without either.
    pub(super) finish_objective_s: Option<f64>,
    /// One of the largest jobs of its class that has waited so long that it starts next, with a
    /// single task.
    pub(super) starving: bool,
    /// CPUs of one task.
    pub(super) cpus: f64,
}

/// Why a job is skipped before any machine is considered.
pub(super) enum PauseReason {
    /// It has ended.
    Closed,
    /// Its tasks failed, and it is in backoff.
    Failures,
    /// None of its tasks is pending.
    NothingPending,
    /// Operators have frozen its team or class.
    Frozen(Rc<Directive>),
}

impl Scheduler {
    /// Why a job gets no placement in this cycle before any machine is considered; `None` if it may
    /// get one.
    pub(super) fn pause_reason(&self, now: Time, id: JobId, job: &Job) -> Option<PauseReason> {
        if job.state != JobState::Open {
            return Some(PauseReason::Closed);
        }
        if let Some(freeze) = self
            .active_directives
            .freeze_of(&job.spec.team, &job.spec.class)
        {
            return Some(PauseReason::Frozen(freeze.clone()));
        }
        // A job that fails on all machines is retried with one task at a time.
        let retry_at = self.fault_attribution.job_retry_at(id);
        if job.backoff_until > now
            || retry_at.is_some_and(|until| until > now || job.active_tasks() > 0)
        {
            return Some(PauseReason::Failures);
        }
        (job.pending_tasks() == 0).then_some(PauseReason::NothingPending)
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
    /// They need not wait for jobs of other teams.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<JobId> {
        let mut guaranteed = BTreeSet::new();
        if self
            .teams
            .iter()
            .all(|quota| quota.cpus <= 0.0 && quota.gpus <= 0.0)
        {
            return guaranteed;
        }
        let open = |job: &Job| job.state == JobState::Open && !job.is_complete();
        let mut by_age: Vec<(u64, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, job)| open(job))
            .map(|(id, job)| (job.spec.submitted, *id))
            .collect();
        by_age.sort();
        let mut used = vec![TeamUsage::default(); self.teams.len()];
        for (_, id) in by_age {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let Some(team) = self.team_index(&job.spec) else {
                continue;
            };
            let unfinished = f64::from(job.spec.tasks.saturating_sub(job.progress.done_count()));
            used[team].cpus += unfinished * job.spec.cpus;
            used[team].gpus += unfinished * job.spec.gpus;
            let quota = &self.teams[team];
            let fits = (quota.cpus > 0.0 || quota.gpus > 0.0)
                && used[team].cpus <= quota.cpus + EPSILON
                && (job.spec.gpus == 0.0 || used[team].gpus <= quota.gpus + EPSILON);
            if fits {
                guaranteed.insert(id);
            }
        }
        guaranteed
    }

    /// The pending jobs, in placement order.
    pub(super) fn pending_jobs(
        &self,
        now: Time,
        wall: WallMs,
        settings: &Settings,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<PendingJob> {
        let prompt_s = settings
            .tightest_objective_s("guarantee", "")
            .unwrap_or(self.exit_prediction_horizon_s());
        let mut queue: Vec<PendingJob> = self
            .jobs
            .iter()
            .filter(|(id, job)| self.pause_reason(now, **id, job).is_none())
            .map(|(id, job)| {
                let is_guaranteed = guaranteed.contains(id);
                self.pending_job(wall, settings, *id, job, is_guaranteed, prompt_s)
            })
            .collect();
        queue.sort_by(|a, b| {
            let by_rank = a.rank.cmp(&b.rank);
            by_rank.then(a.order_in_rank.total_cmp(&b.order_in_rank))
        });
        queue
    }

    /// The queue entry of one job. `is_guaranteed` states whether the job is within its team's
    /// guarantee. Such a job goes ahead of all others until `prompt_s` seconds after its
    /// submission.
    fn pending_job(
        &self,
        wall: WallMs,
        settings: &Settings,
        id: JobId,
        job: &Job,
        is_guaranteed: bool,
        prompt_s: f64,
    ) -> PendingJob {
        let spec = &job.spec;
        let run_s = self.expected_run_s(job);
        let age = age_s(wall, spec);
        let wait_objective_s = settings.tightest_objective_s("wait", &spec.class);
        let finish_s = settings.tightest_objective_s("finished", &spec.class);
        let lateness = lateness(spec, run_s, age, wait_objective_s);
        let pressing = match (spec.due_s, finish_s) {
            (Some(due), _) => due - age - run_s < due * (1.0 - PATIENT_FRACTION),
            (None, Some(finish)) => age > finish * PATIENT_FRACTION,
            (None, None) => age > run_s,
        };
        // A guaranteed job whose objective is already missed queues like the others: preempting
        // tasks for it would cost other jobs without meeting any objective.
        let prompt = is_guaranteed && age <= prompt_s;
        let starving = self.is_starving(job, age);
        let mut rank = QueueRank {
            not_prompt: !prompt,
            urgency: Reverse(spec.urgency),
            lateness,
            borrowing: !is_guaranteed,
        };
        if starving {
            rank.urgency = Reverse(Urgency::Critical);
            rank.lateness = Lateness::OnTime;
        }
        PendingJob {
            id,
            rank,
            order_in_rank: order_in_rank(job, run_s, age, lateness, wait_objective_s),
            pressing,
            wait_objective_s,
            finish_objective_s: spec.due_s.or(finish_s),
            starving,
            cpus: spec.cpus,
        }
    }

    /// Whether the job is one of the largest of its class, has neither active nor done tasks, and
    /// might not start within [`MAX_START_DELAY_S`]. Such a job ranks with critical jobs, because
    /// ordering by urgency and least remaining work alone would always put it last. It starts with
    /// a single task: starting all of its tasks first led to worse results overall.
    fn is_starving(&self, job: &Job, age: f64) -> bool {
        let spec = &job.spec;
        let largest = || {
            self.largest_job_cpus
                .get(&*spec.class)
                .copied()
                .unwrap_or(0.0)
        };
        age > MAX_START_DELAY_S * STARVATION_FRACTION
            && job.attempts_by_task.is_empty()
            && job.progress.done_count() == 0
            && total_cpus(spec) >= largest() * LARGE_JOB_FRACTION
    }
}

/// Lateness of a job. Jobs that can still meet their deadline go ahead of those that cannot, and
/// jobs that can still start within the wait objective of their class go ahead of those that have
/// already exceeded it.
fn lateness(spec: &JobSpec, run_s: f64, age: f64, wait_objective_s: Option<f64>) -> Lateness {
    if spec
        .due_s
        .is_some_and(|due| due - age < run_s * LATE_FRACTION)
    {
        Lateness::DeadlineMissed
    } else if wait_objective_s.is_some_and(|objective| age > objective) {
        Lateness::WaitMissed
    } else {
        Lateness::OnTime
    }
}

/// Sort key of a job within its rank; the lowest goes first.
///
/// Among jobs that miss their deadline, the longest goes first, so that no long job runs alone at
/// the end. Among jobs that can meet their deadline, the one with the least remaining work goes
/// first, which maximizes the number of jobs on time when not all can be; in classes with a wait
/// objective, the one with the earliest deadline does. Jobs without a deadline stay in order of
/// submission.
fn order_in_rank(
    job: &Job,
    run_s: f64,
    age: f64,
    lateness: Lateness,
    wait_objective_s: Option<f64>,
) -> f64 {
    match (lateness, job.spec.due_s) {
        (Lateness::DeadlineMissed, _) => -run_s,
        (_, None) => -age,
        (_, Some(due)) if wait_objective_s.is_some() => due - age,
        (_, Some(_)) => f64::from(job.pending_tasks()) * run_s,
    }
}

#[cfg(test)]
mod tests;
