//! Machines reserved for tasks that fit nowhere now.
//!
//! Small tasks take each piece of a machine as it comes free, so a wide one finds none, however
//! far ahead it stands. It reserves the machine that will have room first. Until the time at which
//! that was expected, tasks that would end in time go on filling it (backfill); after that nothing
//! does.

use beamhinge_core::resources::Resources;
use beamhinge_core::types::{JobId, MachineId, Time};
use std::collections::BTreeMap;

/// A machine that one job's next task waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The machine.
    pub machine: MachineId,
    /// When there is room by the estimates. It is set once: an estimate that proves wrong does not
    /// let others fill the machine for longer.
    pub available_at: Time,
}

impl Reservation {
    /// Whether another job's task that runs for `run_s` seconds may still go there.
    #[must_use]
    pub fn admits_backfill(&self, now: Time, run_s: f64) -> bool {
        now.plus(run_s) <= self.available_at
    }
}

/// A task that runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningTask {
    /// Seconds until it ends, by estimate.
    pub remaining_s: f64,
    /// What its end frees.
    pub resources: Resources,
}

/// Seconds until a machine has room for a task, by estimates: what runs there ends one after the
/// other. None: not even when all has ended. Sorts `running` by the time that is left.
pub fn earliest_fit_s(
    free: Resources,
    running: &mut [RunningTask],
    wanted: Resources,
) -> Option<f64> {
    let mut free = free;
    if wanted.fits(&free) {
        return Some(0.0);
    }
    running.sort_by(|a, b| a.remaining_s.total_cmp(&b.remaining_s));
    for task in running.iter() {
        free.add(&task.resources);
        if wanted.fits(&free) {
            return Some(task.remaining_s.max(0.0));
        }
    }
    None
}

/// Which job has reserved which machine: one machine for a job, one job for a machine. Meant for
/// few at a time, since each costs what would not end in time.
#[derive(Debug, Default)]
pub struct Reservations {
    by_job: BTreeMap<JobId, Reservation>,
}

impl Reservations {
    /// The reservation of a job.
    #[must_use]
    pub fn get(&self, job: JobId) -> Option<Reservation> {
        self.by_job.get(&job).copied()
    }

    /// The job that has reserved a machine.
    #[must_use]
    pub fn owner(&self, machine: MachineId) -> Option<(JobId, Reservation)> {
        self.by_job
            .iter()
            .find(|(_, reservation)| reservation.machine == machine)
            .map(|(job, reservation)| (*job, *reservation))
    }

    /// Reserves, of machines with the seconds until each has room, the first that nobody has
    /// reserved. A reservation that the job has is kept: moving on to whichever looks best now
    /// would let each be filled again in turn.
    pub fn reserve(
        &mut self,
        now: Time,
        job: JobId,
        machines: impl Iterator<Item = (MachineId, f64)>,
    ) -> Option<Reservation> {
        if let Some(reservation) = self.get(job) {
            return Some(reservation);
        }
        let unreserved = machines.filter(|(machine, _)| self.owner(*machine).is_none());
        let (machine, available_in_s) = unreserved.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let reservation = Reservation {
            machine,
            available_at: now.plus(available_in_s),
        };
        self.by_job.insert(job, reservation);
        Some(reservation)
    }

    /// Ends the reservations that are no longer wanted, or whose machine can no longer be had.
    pub fn retain(&mut self, is_wanted: impl Fn(JobId, &Reservation) -> bool) {
        self.by_job
            .retain(|job, reservation| is_wanted(*job, reservation));
    }

    /// Whether nothing is reserved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }
}

#[cfg(test)]
mod tests;
