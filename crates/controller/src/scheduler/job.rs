//! The scheduler's state of a job: which of its tasks are done, placed or pending.

use crate::job_store::{JobKind, JobSpec, JobState};
use crate::progress::{JobProgress, OpenJobs};
use crate::split::Resources;
use beamhinge_core::types::{JobId, Revision, Time, WallMs};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Resources assumed for a task whose job specification is unknown: a whole machine.
pub(super) const UNKNOWN_RESOURCES: Resources = Resources {
    cpus: 1e9,
    gpus: 0.0,
    memory_gb: 0.0,
};

/// Ratios of actual to estimated run time of a job's tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunTimeRatios {
    /// Sum of the natural logarithms of the ratios.
    pub(super) log_sum: f64,
    /// Number of ended tasks in the sum.
    pub(super) samples: u32,
}

impl RunTimeRatios {
    /// The geometric mean; not a number without samples.
    pub(super) fn mean(self) -> f64 {
        (self.log_sum / f64::from(self.samples)).exp()
    }

    pub(super) fn record(&mut self, ratio: f64) {
        self.log_sum += ratio.ln();
        self.samples += 1;
    }
}

/// An accepted job, kept until none of its tasks is left on any machine.
#[derive(Debug)]
pub(super) struct Job {
    /// The specification submitted by its user.
    pub(super) spec: Rc<JobSpec>,
    /// Revision of its key in the key-value store.
    pub(super) revision: Revision,
    /// Whether it is open, done or cancelled.
    pub(super) state: JobState,
    /// Which of its tasks are done.
    pub(super) progress: JobProgress,
    /// Index from which [`Job::next_task`] searches for a task that was never placed. Each task
    /// below it is done, or was allocated, orphaned or due for a retry before; so may be tasks from
    /// it on.
    pub(super) next_unstarted: u32,
    /// Tasks whose last attempt ended or was withdrawn without completing them, and when each may
    /// be retried.
    pub(super) retry_at: BTreeMap<u32, Time>,
    /// Number of allocations and orphan tasks, by index of the task.
    pub(super) attempts_by_task: BTreeMap<u32, u32>,
    /// How far its run times deviate from the estimate.
    pub(super) run_time_ratios: RunTimeRatios,
    /// Earliest time at which its tasks may be placed.
    pub(super) backoff_until: Time,
}

impl Job {
    /// Creates an open job without placed or done tasks.
    pub(super) fn new(spec: Rc<JobSpec>, revision: Revision, chunk_size: u32, now: Time) -> Job {
        Job {
            spec,
            revision,
            state: JobState::Open,
            progress: JobProgress::new(chunk_size),
            next_unstarted: 0,
            retry_at: BTreeMap::new(),
            attempts_by_task: BTreeMap::new(),
            run_time_ratios: RunTimeRatios::default(),
            backoff_until: now,
        }
    }

    /// Whether all its tasks are done; a service never is.
    pub(super) fn is_complete(&self) -> bool {
        self.spec.kind == JobKind::Batch && self.progress.done_count() >= self.spec.tasks
    }

    /// Resources of each of its tasks.
    pub(super) fn resources(&self) -> Resources {
        resources_of(&self.spec)
    }

    /// Number of unfinished tasks that are allocated to a machine or orphaned on one.
    pub(super) fn active_tasks(&self) -> u32 {
        self.attempts_by_task
            .keys()
            .filter(|index| !self.progress.is_done(**index))
            .count() as u32
    }

    /// Number of tasks that wait for a machine.
    pub(super) fn pending_tasks(&self) -> u32 {
        self.spec
            .tasks
            .saturating_sub(self.progress.done_count() + self.active_tasks())
    }

    /// Counts one more allocation or orphan of the task.
    pub(super) fn add_attempt(&mut self, index: u32) {
        *self.attempts_by_task.entry(index).or_insert(0) += 1;
    }

    /// Removes one allocation or orphan of the task from the count. Returns true when none is left.
    pub(super) fn release_attempt(&mut self, index: u32) -> bool {
        match self.attempts_by_task.get_mut(&index) {
            Some(attempts) if *attempts > 1 => {
                *attempts -= 1;
                false
            }
            _ => {
                self.attempts_by_task.remove(&index);
                true
            }
        }
    }

    /// The task to place next: a task that is due for a retry, else the lowest one that was never
    /// placed; `None` if no task can be placed now.
    pub(super) fn next_task(&mut self, now: Time) -> Option<u32> {
        let ready = self
            .retry_at
            .iter()
            .find(|(index, at)| {
                **at <= now
                    && !self.attempts_by_task.contains_key(index)
                    && !self.progress.is_done(**index)
            })
            .map(|(index, _)| *index);
        if ready.is_some() {
            return ready;
        }
        while self.next_unstarted < self.spec.tasks {
            let index = self.next_unstarted;
            if self.progress.is_done(index)
                || self.attempts_by_task.contains_key(&index)
                || self.retry_at.contains_key(&index)
            {
                self.next_unstarted += 1;
            } else {
                return Some(index);
            }
        }
        None
    }
}

impl OpenJobs for BTreeMap<JobId, Job> {
    fn progress(&mut self, job: JobId) -> Option<(u32, &mut JobProgress)> {
        self.get_mut(&job)
            .map(|job| (job.spec.tasks, &mut job.progress))
    }
}

/// CPUs of all tasks of a job together.
pub(super) fn total_cpus(spec: &JobSpec) -> f64 {
    f64::from(spec.tasks) * spec.cpus
}

/// Resources of one task of a job.
pub(super) fn resources_of(spec: &JobSpec) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    }
}

/// Time since the submission of a job by the wall clock, seconds.
pub(super) fn age_s(wall: WallMs, spec: &JobSpec) -> f64 {
    (wall.0 as f64 - spec.submitted as f64) / 1e3
}
