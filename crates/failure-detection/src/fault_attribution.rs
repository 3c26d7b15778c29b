//! Attributes a task failure to the machine or to the job.
//!
//! On a faulty machine every task fails; a faulty job fails on every machine. A single failure
//! does not distinguish the two, but other failures do. A job with at least one success is proven,
//! so its failures count against the machine. Failures of one job on several machines count
//! against the job. Once a job is found to be faulty, its failures no longer count against the
//! machines on which they occurred.

use beamhinge_core::types::{JobId, MachineId, Time};
use roaring::RoaringTreemap;
use std::collections::BTreeMap;

/// Failures of proven jobs after which a machine is faulty.
const MIN_PROVEN_JOB_FAILURES: u32 = 2;
/// Number of different jobs without any success whose failures make a machine faulty.
const MIN_UNPROVEN_JOBS: usize = 3;
/// Machines on which a job without any success fails before it counts as faulty.
const MIN_FAILED_MACHINES: u64 = 3;
/// Failures after which a job without any success is faulty, regardless of the number of machines.
const MIN_JOB_FAILURES: u32 = 24;
/// How long a job avoids machines on which it failed, seconds.
const AVOID_FAILED_MACHINES_S: f64 = 20.0;
/// Maximum number of jobs in one machine's record and of machines in one job's record; the
/// decision needs [`MIN_UNPROVEN_JOBS`] and [`MIN_FAILED_MACHINES`] of them.
const MAX_FAILURES_PER_RECORD: usize = 16;
/// Maximum number of machine records, and of job records, with failures since the last success.
/// All machines of a fleet of 8,192 may fail; failures beyond that are not attributed. Records of
/// removed machines and ended jobs are deleted.
const MAX_RECORDS: usize = 8_192;
/// Longest backoff between two attempts of a faulty job, seconds.
const MAX_BACKOFF_S: f64 = 60.0;

/// Failures of one job.
#[derive(Debug, Default)]
struct JobRecord {
    /// Whether a task of the job has succeeded.
    proven: bool,
    faulty: bool,
    failures: u32,
    /// Numbers of all machines on which the job failed.
    failed_on: RoaringTreemap,
    /// The first of these machines, up to [`MAX_FAILURES_PER_RECORD`].
    machines: Vec<MachineId>,
    /// Backoffs started since the job was found to be faulty.
    backoffs: i32,
    last_failure: Time,
    /// Earliest time of the next attempt while the job is faulty.
    retry_at: Time,
}

impl JobRecord {
    /// Starts a backoff unless one is in progress: failures of tasks that ran concurrently share
    /// one backoff. Returns the remaining backoff, seconds.
    fn back_off(&mut self, now: Time, min_backoff_s: f64) -> f64 {
        if now >= self.retry_at {
            let backoff_s = (min_backoff_s * 2f64.powi(self.backoffs)).min(MAX_BACKOFF_S);
            self.backoffs = (self.backoffs + 1).min(16);
            self.retry_at = now.plus(backoff_s);
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

/// Changes of attribution caused by a failure or a success.
#[derive(Debug, Default, PartialEq)]
pub struct AttributionChange {
    /// Machines that have become faulty.
    pub newly_faulty: Vec<MachineId>,
    /// Machines that are no longer faulty, because their failures are attributed to a job.
    pub newly_cleared: Vec<MachineId>,
    /// How long the tasks of the job wait, seconds; `None` if the job is not faulty.
    pub job_backoff_s: Option<f64>,
}

/// Failures of machines and jobs since their last success, and which of them are faulty.
#[derive(Debug, Default)]
pub struct FaultAttribution {
    jobs: BTreeMap<JobId, JobRecord>,
    machines: BTreeMap<MachineId, MachineRecord>,
}

impl FaultAttribution {
    /// Records that a task of the job failed on the machine. `proven`: other tasks of the job
    /// succeeded; `min_backoff_s`: the shortest backoff of a faulty job, seconds.
    pub fn record_failure(
        &mut self,
        now: Time,
        machine: MachineId,
        (job, proven): (JobId, bool),
        min_backoff_s: f64,
    ) -> AttributionChange {
        let mut change = AttributionChange::default();
        if self.jobs.len() >= MAX_RECORDS && !self.jobs.contains_key(&job) {
            return change;
        }
        let record = self.jobs.entry(job).or_default();
        record.failures = record.failures.saturating_add(1);
        record.last_failure = now;
        record.proven |= proven;
        if record.failed_on.insert(machine.number())
            && record.machines.len() < MAX_FAILURES_PER_RECORD
        {
            record.machines.push(machine);
        }
        let was_faulty = record.faulty;
        self.record_machine_failure(machine, job);
        self.reassess_job(job);
        let mut became_faulty = false;
        if let Some(record) = self.jobs.get_mut(&job).filter(|r| r.faulty) {
            became_faulty = !was_faulty;
            change.job_backoff_s = Some(record.back_off(now, min_backoff_s));
        }
        let affected = if became_faulty {
            self.machines_failing(job)
        } else {
            vec![machine]
        };
        self.reassess_machines(&affected, &mut change);
        change
    }

    /// Records that a task of the job succeeded on the machine. The job is then proven, and its
    /// earlier failures are attributed to the machines on which they occurred.
    pub fn record_success(&mut self, machine: MachineId, job: JobId) -> AttributionChange {
        let mut change = AttributionChange::default();
        // A faulty machine stays faulty after a success, because some faults are intermittent.
        if self.machines.get(&machine).is_some_and(|r| !r.faulty) {
            self.machines.remove(&machine);
        }
        if let Some(record) = self.jobs.get_mut(&job).filter(|r| !r.proven) {
            record.proven = true;
            record.faulty = false;
            let affected = self.machines_failing(job);
            self.reassess_machines(&affected, &mut change);
        }
        change
    }

    /// Whether a job is faulty. The scheduler attempts only one task of a faulty job at a time.
    pub fn is_job_faulty(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|r| r.faulty)
    }

    /// Earliest time of the next attempt of a faulty job; `None` if the job is not faulty.
    pub fn job_retry_at(&self, job: JobId) -> Option<Time> {
        let record = self.jobs.get(&job).filter(|r| r.faulty)?;
        Some(record.retry_at)
    }

    /// Number of failures of a job, and number of machines on which it failed.
    pub fn failures(&self, job: JobId) -> (u32, u32) {
        self.jobs
            .get(&job)
            .map_or((0, 0), |r| (r.failures, r.failed_on.len() as u32))
    }

    /// Numbers of the machines on which a job without any success failed recently; `None` if there
    /// are none to avoid. An attempt on another machine gives more information, and a machine on
    /// which every task fails immediately always has free capacity. The machines are avoided only
    /// for a limited time, since there may be no other machine.
    pub fn avoided_machines(&self, now: Time, job: JobId) -> Option<&RoaringTreemap> {
        let record = self
            .jobs
            .get(&job)
            .filter(|r| !r.proven && now.since(r.last_failure) < AVOID_FAILED_MACHINES_S)?;
        Some(&record.failed_on)
    }

    /// Deletes the record of an ended job; findings about machines that were based on its failures
    /// stay in effect. If the job was faulty, its failures are also deleted from the machines'
    /// records.
    pub fn forget_job(&mut self, job: JobId) {
        if self.jobs.remove(&job).is_some_and(|r| r.faulty) {
            for machine in self.machines.values_mut() {
                machine.failures_by_job.remove(&job);
            }
        }
    }

    /// Deletes the record of a removed machine.
    pub fn forget_machine(&mut self, machine: MachineId) {
        self.machines.remove(&machine);
    }

    fn record_machine_failure(&mut self, machine: MachineId, job: JobId) {
        if self.machines.len() >= MAX_RECORDS && !self.machines.contains_key(&machine) {
            return;
        }
        let failures = &mut self.machines.entry(machine).or_default().failures_by_job;
        if failures.len() < MAX_FAILURES_PER_RECORD || failures.contains_key(&job) {
            let count = failures.entry(job).or_insert(0);
            *count = count.saturating_add(1);
        }
    }

    fn is_machine_faulty(&self, failures_by_job: &BTreeMap<JobId, u32>) -> bool {
        let (mut proven_job_failures, mut unproven_jobs) = (0, 0);
        for (job, failures) in failures_by_job {
            match self.jobs.get(job) {
                Some(record) if record.faulty => {}
                Some(record) if record.proven => proven_job_failures += failures,
                _ => unproven_jobs += 1,
            }
        }
        proven_job_failures >= MIN_PROVEN_JOB_FAILURES
            || unproven_jobs >= MIN_UNPROVEN_JOBS
            || proven_job_failures > 0 && unproven_jobs > 1
    }

    /// Whether a failure on the machine counts against the job: the machine is not faulty, and
    /// since its last success no other job failed there, apart from faulty ones. Machines on which
    /// every task fails always have free capacity, so a new job is often placed on several of them
    /// at once.
    fn implicates_job(&self, machine: MachineId, job: JobId) -> bool {
        self.machines.get(&machine).is_none_or(|record| {
            let is_other_job = |j: &JobId| *j != job && !self.is_job_faulty(*j);
            !record.faulty && !record.failures_by_job.keys().any(is_other_job)
        })
    }

    /// Re-evaluates whether a job is faulty.
    fn reassess_job(&mut self, job: JobId) {
        let Some(record) = self.jobs.get(&job) else {
            return;
        };
        let implicating_machines = record
            .machines
            .iter()
            .filter(|m| self.implicates_job(**m, job))
            .count() as u64;
        // With few machines, many failures are equivalent evidence.
        let fails_everywhere = implicating_machines >= MIN_FAILED_MACHINES
            || implicating_machines > 0 && record.failures >= MIN_JOB_FAILURES;
        let faulty = !record.proven && fails_everywhere;
        if let Some(record) = self.jobs.get_mut(&job) {
            record.faulty = faulty;
        }
    }

    /// Re-evaluates whether these machines are faulty.
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
                // The machine may have caused the failures of these jobs.
                for job in jobs {
                    self.reassess_job(job);
                }
            } else {
                change.newly_cleared.push(*id);
            }
        }
    }

    /// Machines whose records contain failures of this job.
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
