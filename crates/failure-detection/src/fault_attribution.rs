//! Whose fault a failure is: the machine's, or the job's.
//!
//! A faulty machine fails every task; a job that was submitted with a mistake
//! fails on every machine. One failure does not tell which. What tells is who
//! else fails there: a job that has had a success is no mistake, so its failures
//! speak against the machine, and failures of one job on several machines against
//! the job. Charges that a job brought against machines are dropped once it is
//! found at fault.

use beamhinge_core::types::{JobId, MachineId, Time};
use roaring::RoaringTreemap;
use std::collections::BTreeMap;

/// Failures of jobs known to be sound after which a machine is at fault.
const MIN_SOUND_JOB_FAILURES: u32 = 2;
/// Different jobs of which nothing is known, for the same.
const MIN_UNPROVEN_JOBS: usize = 3;
/// Machines on which a job without any success fails before it is at fault.
const MIN_FAILED_MACHINES: u64 = 3;
/// Failures of a job without any success after which it is, on however few.
const MIN_JOB_FAILURES: u32 = 24;
/// How long it does not return to where it failed, seconds.
const AVOID_FAILED_MACHINES_S: f64 = 20.0;
/// Jobs whose failures one machine remembers, and machines that one job remembers; the
/// judgement needs [`UNKNOWN`] and [`MACHINES`] of them.
const MAX_FAILURES_PER_RECORD: usize = 16;
/// Machines, and jobs, with failures since their last success that are remembered at once.
/// A fleet of 8,192 machines may fail as a whole; further failures are not judged. Machines
/// that are gone and jobs that are over are forgotten.
const MAX_REMEMBERED: usize = 8_192;
/// Longest pause between two tries of a job at fault, seconds.
const MAX_BACKOFF_S: f64 = 60.0;

#[derive(Debug, Default)]
struct JobRecord {
    /// A task of it ended well.
    sound: bool,
    failures: u32,
    failed_on: RoaringTreemap,
    machines: Vec<MachineId>,
    /// Pauses begun since it was found at fault.
    tries: i32,
    fault: bool,
    /// When it failed last.
    last: Time,
    /// Not to be tried before.
    until: Time,
}

/// What a failure came to.
#[derive(Debug, Default, PartialEq)]
pub struct AttributionChange {
    /// Machines that are at fault now and were not before.
    pub newly_faulty: Vec<MachineId>,
    /// Machines that are not at fault any more: a job was.
    pub newly_cleared: Vec<MachineId>,
    /// The job is at fault; its tasks wait for so long, seconds.
    pub job_backoff_s: Option<f64>,
}

/// Failures since the last success, on machines and of jobs.
#[derive(Debug, Default)]
pub struct FaultAttribution {
    jobs: BTreeMap<JobId, JobRecord>,
    /// Jobs that failed on a machine since something ended well there, how often,
    /// and whether it is at fault.
    machines: BTreeMap<MachineId, (BTreeMap<JobId, u32>, bool)>,
}

impl FaultAttribution {
    fn is_machine_faulty(&self, charges: &BTreeMap<JobId, u32>) -> bool {
        let (mut sound, mut unknown) = (0, 0);
        for (job, n) in charges {
            match self.jobs.get(job) {
                Some(case) if case.fault => {}
                Some(case) if case.sound => sound += n,
                _ => unknown += 1,
            }
        }
        sound >= MIN_SOUND_JOB_FAILURES || unknown >= MIN_UNPROVEN_JOBS || sound > 0 && unknown > 1
    }

    /// Whether a failure there speaks against the job: nothing else failed on the
    /// machine since something ended well. Machines that fail everything always
    /// have room, so a new job meets several of them at once.
    fn implicates_job(&self, machine: MachineId, job: JobId) -> bool {
        self.machines.get(&machine).is_none_or(|(charges, fault)| {
            let other = |j: &JobId| *j != job && !self.is_job_faulty(*j);
            !fault && !charges.keys().any(other)
        })
    }

    /// Judges a job anew.
    fn reassess_job(&mut self, job: JobId) {
        let Some(case) = self.jobs.get(&job) else {
            return;
        };
        let implicates_job = case
            .machines
            .iter()
            .filter(|m| self.implicates_job(**m, job))
            .count() as u64;
        // Where there are few machines, many failures tell as much.
        let everywhere = implicates_job >= MIN_FAILED_MACHINES
            || implicates_job > 0 && case.failures >= MIN_JOB_FAILURES;
        let fault = !case.sound && everywhere;
        if let Some(case) = self.jobs.get_mut(&job) {
            case.fault = fault;
        }
    }

    /// Judges these machines anew.
    fn reassess_machines(&mut self, machines: &[MachineId], change: &mut AttributionChange) {
        for id in machines {
            let Some((charges, was)) = self.machines.get(id) else {
                continue;
            };
            let (is, was) = (self.is_machine_faulty(charges), *was);
            if is == was {
                continue;
            }
            if let Some((_, fault)) = self.machines.get_mut(id) {
                *fault = is;
            }
            if is {
                &mut change.newly_faulty
            } else {
                &mut change.newly_cleared
            }
            .push(*id);
            if is {
                // What failed there did so for the machine's sake.
                let charges = self
                    .machines
                    .get(id)
                    .map(|(c, _)| c.keys().copied().collect());
                let jobs: Vec<JobId> = charges.unwrap_or_default();
                jobs.into_iter().for_each(|job| self.reassess_job(job));
            }
        }
    }

    /// Machines that have a charge of this job.
    fn machines_failing(&self, job: JobId) -> Vec<MachineId> {
        let machines_failing = |id: &&MachineId| {
            self.machines
                .get(id)
                .is_some_and(|(charges, _)| charges.contains_key(&job))
        };
        self.machines
            .keys()
            .filter(machines_failing)
            .copied()
            .collect()
    }

    /// A task of the job failed on the machine; `sound`: others of it ended well.
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
        let case = self.jobs.entry(job).or_default();
        case.failures = case.failures.saturating_add(1);
        case.last = now;
        case.sound |= sound;
        if case.failed_on.insert(machine.number()) && case.machines.len() < MAX_FAILURES_PER_RECORD
        {
            case.machines.push(machine);
        }
        let was = case.fault;
        if self.machines.len() < MAX_REMEMBERED || self.machines.contains_key(&machine) {
            let (charges, _) = self.machines.entry(machine).or_default();
            if charges.len() < MAX_FAILURES_PER_RECORD || charges.contains_key(&job) {
                let n = charges.entry(job).or_insert(0);
                *n = n.saturating_add(1);
            }
        }
        self.reassess_job(job);
        let mut turned = false;
        if let Some(case) = self.jobs.get_mut(&job).filter(|case| case.fault) {
            turned = !was;
            // Tasks that were on their way with it end in the same pause.
            if now >= case.until {
                let job_backoff_s = (report_s * 2f64.powi(case.tries)).min(MAX_BACKOFF_S);
                case.tries = (case.tries + 1).min(16);
                case.until = now.plus(job_backoff_s);
            }
            change.job_backoff_s = Some(case.until.until(now));
        }
        let concerned = if turned {
            self.machines_failing(job)
        } else {
            vec![machine]
        };
        self.reassess_machines(&concerned, &mut change);
        change
    }

    /// A task of the job ended well on the machine: neither is at fault, and where
    /// the job failed before, the machine was.
    pub fn record_success(&mut self, machine: MachineId, job: JobId) -> AttributionChange {
        let mut change = AttributionChange::default();
        // A machine that was found at fault stays so: some fail now and then.
        if self.machines.get(&machine).is_some_and(|(_, fault)| !fault) {
            self.machines.remove(&machine);
        }
        if let Some(case) = self.jobs.get_mut(&job).filter(|case| !case.sound) {
            case.sound = true;
            case.fault = false;
            let concerned = self.machines_failing(job);
            self.reassess_machines(&concerned, &mut change);
        }
        change
    }

    /// Whether a job is at fault: one task of it at a time is tried.
    pub fn is_job_faulty(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|case| case.fault)
    }

    /// Until when a job at fault is not tried.
    pub fn job_retry_at(&self, job: JobId) -> Option<Time> {
        self.jobs
            .get(&job)
            .filter(|case| case.fault)
            .map(|case| case.until)
    }

    /// Failures of a job, and on how many machines.
    pub fn failures(&self, job: JobId) -> (u32, u32) {
        self.jobs
            .get(&job)
            .map_or((0, 0), |c| (c.failures, c.failed_on.len() as u32))
    }

    /// Machines on which a job without any success failed just now, by number:
    /// elsewhere it tells more, and a machine that fails all at once always has
    /// room. For a while only, since there may be no other.
    pub fn avoided_machines(&self, now: Time, job: JobId) -> Option<&RoaringTreemap> {
        let case = self
            .jobs
            .get(&job)
            .filter(|c| !c.sound && now.since(c.last) < AVOID_FAILED_MACHINES_S)?;
        Some(&case.failed_on)
    }

    /// The job is over. What it was found to be has been counted.
    pub fn forget_job(&mut self, job: JobId) {
        if self.jobs.remove(&job).is_some_and(|case| case.fault) {
            for (charges, _) in self.machines.values_mut() {
                charges.remove(&job);
            }
        }
    }

    pub fn forget_machine(&mut self, machine: MachineId) {
        self.machines.remove(&machine);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(n: u32) -> JobId {
        JobId::parse(&format!("job-{n}")).expect("an id")
    }

    fn machine(n: u32) -> MachineId {
        MachineId::parse(&format!("n-{n:06}")).expect("a name")
    }

    fn at(s: f64) -> Time {
        Time::default().plus(100.0 + s)
    }

    /// What an operations day showed: nine healthy machines were given back for
    /// jobs that were submitted with a mistake.
    #[test]
    fn a_job_with_a_mistake_condemns_no_machine() {
        let mut b = FaultAttribution::default();
        for m in 0..3 {
            // Four tasks on each machine, all at once.
            for _ in 0..4 {
                let v = b.record_failure(at(0.0), machine(m), (job(1), false), 1.0);
                assert!(v.newly_faulty.is_empty(), "{v:?}");
                assert_eq!(v.job_backoff_s.is_some(), m >= 2);
            }
        }
        assert!(b.is_job_faulty(job(1)));
        let avoided_machines = |s: f64| {
            b.avoided_machines(at(s), job(1))
                .is_some_and(|on| on.contains(0))
        };
        assert!(avoided_machines(1.0) && !avoided_machines(30.0));
        // Two more of the kind on the same machines.
        for j in 2..4 {
            for m in 0..3 {
                assert!(b
                    .record_failure(at(1.0), machine(m), (job(j), false), 1.0)
                    .newly_faulty
                    .is_empty());
            }
        }
        // Cancelled, they leave no charge behind.
        (1..4).for_each(|j| b.forget_job(job(j)));
        assert!(b
            .record_failure(at(2.0), machine(0), (job(9), false), 1.0)
            .newly_faulty
            .is_empty());
    }

    #[test]
    fn pauses_grow_and_are_counted_once_for_tasks_that_end_together() {
        let mut b = FaultAttribution::default();
        let mut last = 0.0;
        let mut now = 0.0;
        for n in 0..12 {
            let v = b.record_failure(at(now), machine(n), (job(1), false), 1.0);
            let Some(job_backoff_s) = v.job_backoff_s else {
                continue;
            };
            assert!(job_backoff_s >= last && job_backoff_s <= MAX_BACKOFF_S);
            let again = b
                .record_failure(at(now), machine(n), (job(1), false), 1.0)
                .job_backoff_s;
            assert_eq!(again, Some(job_backoff_s));
            (last, now) = (job_backoff_s, now + job_backoff_s);
        }
        assert_eq!(last, MAX_BACKOFF_S);
    }

    #[test]
    fn a_machine_that_fails_what_runs_elsewhere_is_at_fault() {
        let mut b = FaultAttribution::default();
        b.record_success(machine(1), job(1));
        assert!(b
            .record_failure(at(0.0), machine(2), (job(1), false), 1.0)
            .newly_faulty
            .is_empty());
        b.record_success(machine(1), job(1));
        assert!(
            b.record_failure(at(0.0), machine(2), (job(1), false), 1.0)
                .newly_faulty
                == [machine(2)]
        );
        // A charge is weighed again once more is known of its job.
        assert!(b
            .record_failure(at(1.0), machine(3), (job(2), false), 1.0)
            .newly_faulty
            .is_empty());
        assert!(b
            .record_failure(at(1.0), machine(3), (job(2), false), 1.0)
            .newly_faulty
            .is_empty());
        assert_eq!(
            b.record_success(machine(1), job(2)).newly_faulty,
            [machine(3)]
        );
        // Three jobs of which nothing is known.
        for j in 10..13 {
            let v = b.record_failure(at(2.0), machine(4), (job(j), false), 1.0);
            assert_eq!(v.newly_faulty.is_empty(), j < 12);
        }
    }

    #[test]
    fn charges_are_dropped_when_the_job_was_at_fault() {
        let mut b = FaultAttribution::default();
        for j in 1..4 {
            b.record_failure(at(0.0), machine(1), (job(j), false), 1.0);
        }
        b.record_failure(at(0.0), machine(2), (job(1), false), 1.0);
        b.record_failure(at(0.0), machine(3), (job(1), false), 1.0);
        let v = b.record_failure(at(0.0), machine(4), (job(1), false), 1.0);
        assert_eq!(
            (v.newly_cleared, v.job_backoff_s.is_some()),
            (vec![machine(1)], true)
        );
        // Something ends well there: nothing is left.
        b.record_success(machine(1), job(7));
        assert!(b
            .record_failure(at(1.0), machine(1), (job(8), false), 1.0)
            .newly_faulty
            .is_empty());
    }

    /// A day on which 22 machines failed everything: new jobs met several of them
    /// at once, were taken for mistakes and waited for a minute.
    #[test]
    fn a_job_that_meets_several_faulty_machines_is_not_at_fault() {
        let mut b = FaultAttribution::default();
        // What is known to be sound failed there before.
        for m in 0..4 {
            b.record_failure(at(0.0), machine(m), (job(1), true), 1.0);
        }
        for m in 0..4 {
            assert_eq!(
                b.record_failure(at(1.0), machine(m), (job(2), false), 1.0)
                    .job_backoff_s,
                None
            );
        }
        assert!(!b.is_job_faulty(job(2)));
        // Found at fault on three machines, cleared when they prove to be.
        let mut b = FaultAttribution::default();
        for m in 0..3 {
            b.record_failure(at(0.0), machine(m), (job(2), false), 1.0);
        }
        assert!(b.is_job_faulty(job(2)));
        for m in 0..3 {
            b.record_failure(at(1.0), machine(m), (job(1), true), 1.0);
            b.record_failure(at(1.0), machine(m), (job(1), true), 1.0);
        }
        assert!(!b.is_job_faulty(job(2)));
    }

    #[test]
    fn memory_is_bounded() {
        let mut b = FaultAttribution::default();
        for n in 0..(MAX_REMEMBERED as u32 + 50) {
            b.record_failure(at(0.0), machine(n), (job(n), false), 1.0);
            b.record_failure(at(0.0), machine(0), (job(n), false), 1.0);
        }
        assert_eq!(
            (b.jobs.len(), b.machines.len()),
            (MAX_REMEMBERED, MAX_REMEMBERED)
        );
        assert!(b.machines[&machine(0)].0.len() <= MAX_FAILURES_PER_RECORD);
    }
}
