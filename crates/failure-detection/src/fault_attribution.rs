//! Whose fault a failed task is: the machine's, or the job's.
//!
//! A faulty machine fails every task; a job that was submitted with a mistake fails on every
//! machine. One failure does not tell which. What tells is who else fails there: a job that has
//! had a success is sound, so its failures count against the machine, and failures of one job on
//! several machines count against the job. Failures that a job caused on machines no longer count
//! against them once the job is found to be faulty.

use beamhinge_core::types::{JobId, MachineId, Time};
use roaring::RoaringTreemap;
use std::collections::BTreeMap;

/// Failures of sound jobs after which a machine is faulty.
const MIN_SOUND_JOB_FAILURES: u32 = 2;
/// Number of different jobs of which nothing is known whose failures have the same effect.
const MIN_UNPROVEN_JOBS: usize = 3;
/// Machines on which a job without any success fails before it is faulty.
const MIN_FAILED_MACHINES: u64 = 3;
/// Failures of a job without any success after which it is faulty, on however few machines.
const MIN_JOB_FAILURES: u32 = 24;
/// How long a job avoids machines on which it failed, seconds.
const AVOID_FAILED_MACHINES_S: f64 = 20.0;
/// Jobs whose failures one machine remembers, and machines that one job remembers; the
/// judgement needs [`MIN_UNPROVEN_JOBS`] and [`MIN_FAILED_MACHINES`] of them.
const MAX_FAILURES_PER_RECORD: usize = 16;
/// Machines, and jobs, with failures since their last success that are remembered at once.
/// A fleet of 8,192 machines may fail as a whole; further failures are not judged. Machines
/// that are gone and jobs that are over are forgotten.
const MAX_REMEMBERED: usize = 8_192;
/// Longest pause between two attempts of a faulty job, seconds.
const MAX_BACKOFF_S: f64 = 60.0;

/// Failures of one job.
#[derive(Debug, Default)]
struct JobRecord {
    /// A task of it succeeded.
    sound: bool,
    faulty: bool,
    failures: u32,
    /// Numbers of all machines on which it failed.
    failed_on: RoaringTreemap,
    /// The first of these machines, up to [`MAX_FAILURES_PER_RECORD`].
    machines: Vec<MachineId>,
    /// Pauses begun since it was found to be faulty.
    backoffs: i32,
    last_failure: Time,
    /// While it is faulty, it is not tried before.
    retry_at: Time,
}

impl JobRecord {
    /// Begins a pause, unless one is under way: tasks that were running together end in the same
    /// pause. Returns its rest, seconds.
    fn back_off(&mut self, now: Time, report_s: f64) -> f64 {
        if now >= self.retry_at {
            let pause_s = (report_s * 2f64.powi(self.backoffs)).min(MAX_BACKOFF_S);
            self.backoffs = (self.backoffs + 1).min(16);
            self.retry_at = now.plus(pause_s);
        }
        self.retry_at.until(now)
    }
}

/// Failures on one machine since a task last succeeded there.
#[derive(Debug, Default)]
struct MachineRecord {
    failures_by_job: BTreeMap<JobId, u32>,
    faulty: bool,
}

/// What a failure or a success changed.
#[derive(Debug, Default, PartialEq)]
pub struct AttributionChange {
    /// Machines that are faulty now and were not before.
    pub newly_faulty: Vec<MachineId>,
    /// Machines that are not faulty any more, since a job is.
    pub newly_cleared: Vec<MachineId>,
    /// The job is faulty, and its tasks wait for so long, seconds.
    pub job_backoff_s: Option<f64>,
}

/// Failures since the last success, on machines and of jobs, and who is faulty.
#[derive(Debug, Default)]
pub struct FaultAttribution {
    jobs: BTreeMap<JobId, JobRecord>,
    machines: BTreeMap<MachineId, MachineRecord>,
}

impl FaultAttribution {
    /// A task of the job failed on the machine. `sound`: other tasks of the job succeeded;
    /// `report_s`: the shortest pause of a faulty job, seconds.
    pub fn record_failure(
        &mut self,
        now: Time,
        machine: MachineId,
        (job, sound): (JobId, bool),
        report_s: f64,
    ) -> AttributionChange {
        let mut change = AttributionChange::default();
        if self.jobs.len() >= MAX_REMEMBERED && !self.jobs.contains_key(&job) {
            return change;
        }
        let record = self.jobs.entry(job).or_default();
        record.failures = record.failures.saturating_add(1);
        record.last_failure = now;
        record.sound |= sound;
        if record.failed_on.insert(machine.number())
            && record.machines.len() < MAX_FAILURES_PER_RECORD
        {
            record.machines.push(machine);
        }
        let was_faulty = record.faulty;
        self.count_on_machine(machine, job);
        self.reassess_job(job);
        let mut became_faulty = false;
        if let Some(record) = self.jobs.get_mut(&job).filter(|r| r.faulty) {
            became_faulty = !was_faulty;
            change.job_backoff_s = Some(record.back_off(now, report_s));
        }
        let concerned = if became_faulty {
            self.machines_failing(job)
        } else {
            vec![machine]
        };
        self.reassess_machines(&concerned, &mut change);
        change
    }

    /// A task of the job succeeded on the machine: the job is sound, and where it failed before,
    /// the machine was the cause.
    pub fn record_success(&mut self, machine: MachineId, job: JobId) -> AttributionChange {
        let mut change = AttributionChange::default();
        // A machine that was found to be faulty stays so: some fail now and then.
        if self.machines.get(&machine).is_some_and(|r| !r.faulty) {
            self.machines.remove(&machine);
        }
        if let Some(record) = self.jobs.get_mut(&job).filter(|r| !r.sound) {
            record.sound = true;
            record.faulty = false;
            let concerned = self.machines_failing(job);
            self.reassess_machines(&concerned, &mut change);
        }
        change
    }

    /// Whether a job is faulty: one task of it at a time is tried.
    pub fn is_job_faulty(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|r| r.faulty)
    }

    /// Until when a faulty job is not tried; none if it is not faulty.
    pub fn job_retry_at(&self, job: JobId) -> Option<Time> {
        let record = self.jobs.get(&job).filter(|r| r.faulty)?;
        Some(record.retry_at)
    }

    /// Number of failures of a job, and of the machines on which it failed.
    pub fn failures(&self, job: JobId) -> (u32, u32) {
        self.jobs
            .get(&job)
            .map_or((0, 0), |r| (r.failures, r.failed_on.len() as u32))
    }

    /// Numbers of the machines on which a job without any success failed recently. A try elsewhere
    /// tells more, and a machine that fails everything at once always has free capacity. They are
    /// avoided for a while only, since there may be no other machine.
    pub fn avoided_machines(&self, now: Time, job: JobId) -> Option<&RoaringTreemap> {
        let record = self
            .jobs
            .get(&job)
            .filter(|r| !r.sound && now.since(r.last_failure) < AVOID_FAILED_MACHINES_S)?;
        Some(&record.failed_on)
    }

    /// The job is over. What it was found to be has been counted.
    pub fn forget_job(&mut self, job: JobId) {
        if self.jobs.remove(&job).is_some_and(|r| r.faulty) {
            for machine in self.machines.values_mut() {
                machine.failures_by_job.remove(&job);
            }
        }
    }

    /// The machine is gone.
    pub fn forget_machine(&mut self, machine: MachineId) {
        self.machines.remove(&machine);
    }

    fn count_on_machine(&mut self, machine: MachineId, job: JobId) {
        if self.machines.len() >= MAX_REMEMBERED && !self.machines.contains_key(&machine) {
            return;
        }
        let failures = &mut self.machines.entry(machine).or_default().failures_by_job;
        if failures.len() < MAX_FAILURES_PER_RECORD || failures.contains_key(&job) {
            let count = failures.entry(job).or_insert(0);
            *count = count.saturating_add(1);
        }
    }

    fn is_machine_faulty(&self, failures_by_job: &BTreeMap<JobId, u32>) -> bool {
        let (mut sound_failures, mut unproven_jobs) = (0, 0);
        for (job, failures) in failures_by_job {
            match self.jobs.get(job) {
                Some(record) if record.faulty => {}
                Some(record) if record.sound => sound_failures += failures,
                _ => unproven_jobs += 1,
            }
        }
        sound_failures >= MIN_SOUND_JOB_FAILURES
            || unproven_jobs >= MIN_UNPROVEN_JOBS
            || sound_failures > 0 && unproven_jobs > 1
    }

    /// Whether a failure on the machine counts against the job: nothing else failed there since
    /// its last success. Machines that fail everything always have free capacity, so that a new
    /// job meets several of them at once.
    fn implicates_job(&self, machine: MachineId, job: JobId) -> bool {
        self.machines.get(&machine).is_none_or(|record| {
            let other = |j: &JobId| *j != job && !self.is_job_faulty(*j);
            !record.faulty && !record.failures_by_job.keys().any(other)
        })
    }

    /// Decides anew whether a job is faulty.
    fn reassess_job(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let implicating = record
            .machines
            .iter()
            .filter(|m| self.implicates_job(**m, job))
            .count() as u64;
        // Where there are few machines, many failures tell as much.
        let fails_everywhere = implicating >= MIN_FAILED_MACHINES
            || implicating > 0 && record.failures >= MIN_JOB_FAILURES;
        let faulty = !record.sound && fails_everywhere;
        if let Some(record) = self.jobs.get_mut(&job) {
            record.faulty = faulty;
        }
    }

    /// Decides anew whether these machines are faulty.
    fn reassess_machines(&mut self, machines: &[MachineId], change: &mut AttributionChange) {
        for id in machines {
            let Some(record) = self.machines.get(id) else {
                continue;
            };
            let faulty = self.is_machine_faulty(&record.failures_by_job);
            if faulty == record.faulty {
                continue;
            }
            let jobs: Vec<JobId> = record.failures_by_job.keys().copied().collect();
            if let Some(record) = self.machines.get_mut(id) {
                record.faulty = faulty;
            }
            if faulty {
                change.newly_faulty.push(*id);
                // What failed there may have failed because of the machine.
                for job in jobs {
                    self.reassess_job(job);
                }
            } else {
                change.newly_cleared.push(*id);
            }
        }
    }

    /// Machines that remember failures of this job.
    fn machines_failing(&self, job: JobId) -> Vec<MachineId> {
        self.machines
            .iter()
            .filter(|(_, record)| record.failures_by_job.contains_key(&job))
            .map(|(id, _)| *id)
            .collect()
    }
}

#[cfg(test)]
mod tests;
