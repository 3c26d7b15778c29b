//! Reserves machines for tasks that fit on no machine now.
//!
//! Small tasks use capacity as soon as it is freed, so a large task never finds enough, however far
//! ahead it is in the order. It therefore reserves the machine that is expected to have enough free
//! capacity first. Until that expected time, tasks that would end before it may still start on the
//! machine (backfill); after that no other task may.

use beamhinge_core::resources::Resources;
use beamhinge_core::types::{JobId, MachineId, Time};
use std::collections::BTreeMap;

/// The reservation of a machine for the next task of one job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The machine.
    pub machine: MachineId,
    /// When the machine is estimated to have enough free capacity. It is set once, so that a wrong
    /// estimate does not extend the time in which other tasks may start on the machine.
    pub available_at: Time,
}

impl Reservation {
    /// Whether a task of another job that runs for `run_s` seconds may still start on the machine.
    #[must_use]
    pub fn admits_backfill(&self, now: Time, run_s: f64) -> bool {
        now.plus(run_s) <= self.available_at
    }
}

/// A task that runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningTask {
    /// Estimated seconds until it ends.
    pub remaining_s: f64,
    /// Resources that its end frees.
    pub resources: Resources,
}

/// Estimated seconds until a task fits on a machine, as the tasks that run there end; `None` if it
/// does not fit even once all of them have ended. Sorts `running` by remaining time.
pub fn earliest_fit_s(
    free: Resources,
    running: &mut [RunningTask],
    requested: Resources,
) -> Option<f64> {
    let mut free = free;
    if requested.fits(&free) {
        return Some(0.0);
    }
    running.sort_by(|a, b| a.remaining_s.total_cmp(&b.remaining_s));
    for task in running.iter() {
        free.add(&task.resources);
        if requested.fits(&free) {
            return Some(task.remaining_s.max(0.0));
        }
    }
    None
}

/// The reserved machines: at most one machine per job, and one job per machine.
///
/// Intended for few reservations at a time, since each one leaves capacity idle that backfill does
/// not use.
#[derive(Debug, Default)]
pub struct Reservations {
    by_job: BTreeMap<JobId, Reservation>,
}

impl Reservations {
    /// The reservation of a job; `None` if it has none.
    #[must_use]
    pub fn get(&self, job: JobId) -> Option<Reservation> {
        self.by_job.get(&job).copied()
    }

    /// The job that has reserved a machine, and its reservation; `None` if no job has.
    #[must_use]
    pub fn owner(&self, machine: MachineId) -> Option<(JobId, Reservation)> {
        self.by_job
            .iter()
            .find(|(_, reservation)| reservation.machine == machine)
            .map(|(job, reservation)| (*job, *reservation))
    }

    /// Reserves, for a job, the unreserved machine that has enough free capacity first; `None` if
    /// there is no unreserved machine. `machines` gives the estimated seconds until each machine
    /// has enough.
    ///
    /// An existing reservation of the job is kept: if the job moved to the machine that looks best
    /// now, other tasks could fill up each machine again in turn.
    pub fn reserve(
        &mut self,
        now: Time,
        job: JobId,
        machines: impl Iterator<Item = (MachineId, f64)>,
    ) -> Option<Reservation> {
        if let Some(reservation) = self.get(job) {
            return Some(reservation);
        }
        let unreserved_machines = machines.filter(|(machine, _)| self.owner(*machine).is_none());
        let (machine, available_in_s) = unreserved_machines.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let reservation = Reservation {
            machine,
            available_at: now.plus(available_in_s),
        };
        self.by_job.insert(job, reservation);
        Some(reservation)
    }

    /// Cancels the reservations for which `is_wanted` returns `false`: those that are no longer
    /// needed, or whose machine is no longer available.
    pub fn retain(&mut self, is_wanted: impl Fn(JobId, &Reservation) -> bool) {
        self.by_job
            .retain(|job, reservation| is_wanted(*job, reservation));
    }

    /// Whether no machine is reserved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }
}

#[cfg(test)]
mod tests;
