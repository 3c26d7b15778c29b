//! The queue: which jobs wait for placement, and in which order they get it.

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

/// Within so many seconds the largest jobs of a class have to start.
const MAX_START_DELAY_S: f64 = 240.0;
/// Part of that delay after which such a job goes ahead of others of its urgency.
const STARVATION_FRACTION: f64 = 0.6;
/// Jobs of at least this part of the largest job of their class count as large.
const LARGE_JOB_FRACTION: f64 = 0.75;
/// Part of the time to its objective during which a job leaves machines to those whose image is
/// there.
const PATIENT_FRACTION: f64 = 0.7;
/// Part of its run time: a job with less time left to its deadline can no longer make it.
const LATE_FRACTION: f64 = 0.7;

/// What a pending job can still be in time for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    /// For all that is asked of it.
    OnTime,
    /// It has waited longer than the objective of its class on the wait.
    WaitMissed,
    /// It can no longer make its deadline.
    DeadlineMissed,
}

/// Rank of a pending job; the lowest goes first. The order of the fields is the order of their
/// weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// Not within its team's guarantee, or no longer within the time in which that is granted.
    pub(super) not_prompt: bool,
    pub(super) urgency: Reverse<Urgency>,
    pub(super) lateness: Lateness,
    /// Beyond its team's guarantee.
    pub(super) borrowing: bool,
}

impl QueueRank {
    /// Whether boosted jobs go ahead of this rank: they go behind prompt guaranteed jobs and
    /// behind what is more urgent than the ceiling.
    pub(super) fn is_behind_lane(&self, ceiling: Urgency) -> bool {
        self.not_prompt && self.urgency.0 <= ceiling
    }
}

/// A job with tasks that wait for a machine.
pub(super) struct PendingJob {
    pub(super) id: JobId,
    pub(super) rank: QueueRank,
    /// Order within the rank, the lowest first.
    order_in_rank: f64,
    /// So late that it may not wait for a machine that has its image.
    pub(super) pressing: bool,
    /// Objective of its class on the wait, seconds.
    pub(super) wait_objective_s: Option<f64>,
    /// By when it should be done, seconds after its submission.
    pub(super) finish_objective_s: Option<f64>,
    /// One of the largest of its class that has waited so long that it starts next, with one
    /// task.
    pub(super) starving: bool,
    /// Of one task.
    pub(super) cpus: f64,
}

/// Why a job is passed over, before any machine is looked at.
pub(super) enum PauseReason {
    /// It has ended.
    Closed,
    /// Its tasks failed: the next try waits.
    Failures,
    /// None of its tasks waits.
    NothingPending,
    /// Operators froze its team or class.
    Frozen(Rc<Directive>),
}

impl Scheduler {
    /// Why a job gets nothing in this cycle, before any machine is looked at.
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
        // What fails everywhere is tried with one task at a time.
        let retry_at = self.fault_attribution.job_retry_at(id);
        if job.hold_until > now
            || retry_at.is_some_and(|until| until > now || job.active_tasks() > 0)
        {
            return Some(PauseReason::Failures);
        }
        (job.pending_tasks() == 0).then_some(PauseReason::NothingPending)
    }

    /// Jobs that fit into their team's guarantee together with its earlier unfinished jobs: they
    /// need not wait for other teams.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<JobId> {
        let mut within = BTreeSet::new();
        if self
            .teams
            .iter()
            .all(|quota| quota.cpus <= 0.0 && quota.gpus <= 0.0)
        {
            return within;
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
                within.insert(id);
            }
        }
        within
    }

    /// The pending jobs, in the order in which they are placed.
    pub(super) fn pending_jobs(
        &self,
        now: Time,
        wall: WallMs,
        settings: &Settings,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<PendingJob> {
        let prompt_s = settings
            .tightest_objective_s("guarantee", "")
            .unwrap_or(self.horizon_s());
        let mut queue: Vec<PendingJob> = self
            .jobs
            .iter()
            .filter(|(id, job)| self.pause_reason(now, **id, job).is_none())
            .map(|(id, job)| {
                let within = guaranteed.contains(id);
                self.pending_job(wall, settings, *id, job, within, prompt_s)
            })
            .collect();
        queue.sort_by(|a, b| {
            let by_rank = a.rank.cmp(&b.rank);
            by_rank.then(a.order_in_rank.total_cmp(&b.order_in_rank))
        });
        queue
    }

    /// One job as the queue sees it. `prompt_s`: for how long after its submission a job within
    /// its team's guarantee (`within`) goes ahead of all others.
    fn pending_job(
        &self,
        wall: WallMs,
        settings: &Settings,
        id: JobId,
        job: &Job,
        within: bool,
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
        // Once the objective on guaranteed work is missed, it waits its turn: what is preempted
        // for it later costs others and meets no objective.
        let prompt = within && age <= prompt_s;
        let starving = self.is_starving(job, age);
        let mut rank = QueueRank {
            not_prompt: !prompt,
            urgency: Reverse(spec.urgency),
            lateness,
            borrowing: !within,
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

    /// Of its class's largest jobs, what might not start within the time that the protocol bears
    /// starts first, with one task: by urgency and least work alone these would be last for ever.
    /// (With all of its tasks it was tried: prairie-fleet `loss` 0.69 to 0.61 and 0.63.)
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

/// A job that can no longer make its deadline lets those pass that can. Likewise what can still
/// start within its class's objective goes before what has already waited longer.
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

/// Among the late the longest goes first, so that none drags on alone at the end. Of those that
/// can make their deadline, the one with the least work left goes first: where not all can be in
/// time, most jobs are. Arrays without a deadline keep their order of arrival.
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
