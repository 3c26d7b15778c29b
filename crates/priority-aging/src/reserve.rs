//! Machines kept for tasks that fit nowhere now.
//!
//! Small tasks take each piece of room as it comes free, so a wide one finds
//! none, however far ahead it stands. It reserves the machine that will have
//! room first. Until the time at which that was expected, what would end in time
//! goes on filling it; after that nothing does.

use beamhinge_core::types::{JobId, MachineId, Time};
use std::collections::BTreeMap;

/// A machine that one job's next task waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    pub machine: MachineId,
    /// When there would be room by the estimates. It is set once: an estimate
    /// that proves wrong does not let others fill the machine for longer.
    pub at: Time,
}

impl Held {
    /// Whether another's task of this length may still go there.
    pub fn lets_pass(&self, now: Time, run_s: f64) -> bool {
        now.plus(run_s) <= self.at
    }
}

/// Something that runs on a machine: seconds left by its estimate, and its size
/// as CPUs, GPUs and gigabytes of memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Running {
    pub left_s: f64,
    pub size: [f64; 3],
}

/// Seconds until a machine has room for a task, by estimates: what runs there
/// ends one after the other. None: not even when all has ended.
pub fn soonest(free: [f64; 3], running: &mut [Running], resources: [f64; 3]) -> Option<f64> {
    const EPSILON: f64 = 1e-6;
    let fits = |free: &[f64; 3]| resources.iter().zip(free).all(|(n, f)| *n <= *f + EPSILON);
    let mut free = free;
    if fits(&free) {
        return Some(0.0);
    }
    running.sort_by(|a, b| a.left_s.total_cmp(&b.left_s));
    for r in running.iter() {
        free.iter_mut().zip(r.size).for_each(|(f, s)| *f += s);
        if fits(&free) {
            return Some(r.left_s.max(0.0));
        }
    }
    None
}

/// Who holds which machine. A few at a time: each costs what would not end in
/// time.
#[derive(Debug, Default)]
pub struct Reservations {
    held: BTreeMap<JobId, Held>,
}

impl Reservations {
    pub fn of(&self, job: JobId) -> Option<Held> {
        self.held.get(&job).copied()
    }

    /// Who holds a machine.
    pub fn leader(&self, machine: MachineId) -> Option<(JobId, Held)> {
        self.held
            .iter()
            .find(|(_, h)| h.machine == machine)
            .map(|(j, h)| (*j, *h))
    }

    /// Reserves, of machines with the seconds until each has room, the first
    /// that nobody holds. One that is held already is kept: moving on to
    /// whichever looks best now would let each be filled again in turn.
    pub fn hold(
        &mut self,
        now: Time,
        job: JobId,
        machines: impl Iterator<Item = (MachineId, f64)>,
    ) -> Option<Held> {
        if let Some(held) = self.of(job) {
            return Some(held);
        }
        let free = machines.filter(|(m, _)| self.leader(*m).is_none());
        let (machine, left_s) = free.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let held = Held {
            machine,
            at: now.plus(left_s),
        };
        self.held.insert(job, held);
        Some(held)
    }

    /// Gives up what is no longer wanted, or whose machine can no longer be had.
    pub fn keep(&mut self, wanted: impl Fn(JobId, &Held) -> bool) {
        self.held.retain(|job, held| wanted(*job, held));
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(n: u32) -> JobId {
        JobId::parse(&format!("job-{n}")).expect("an id")
    }

    fn machine(n: u32) -> MachineId {
        MachineId::parse(&format!("n-{n:06}")).expect("a name")
    }

    #[test]
    fn room_comes_with_the_ends_that_are_needed() {
        let r = |left_s, cpus| Running {
            left_s,
            size: [cpus, 0.0, 0.0],
        };
        let mut running = [r(30.0, 8.0), r(10.0, 8.0), r(20.0, 16.0)];
        let resources = |cpus| [cpus, 0.0, 0.0];
        assert_eq!(
            soonest(resources(0.0), &mut running, resources(8.0)),
            Some(10.0)
        );
        assert_eq!(
            soonest(resources(0.0), &mut running, resources(20.0)),
            Some(20.0)
        );
        assert_eq!(
            soonest(resources(2.0), &mut running, resources(34.0)),
            Some(30.0)
        );
        assert_eq!(soonest(resources(2.0), &mut running, resources(64.0)), None);
        assert_eq!(soonest(resources(2.0), &mut [], resources(1.0)), Some(0.0));
    }

    /// An estimate that is wrong by four times: the machine is not filled on and
    /// on, and it is not left for another.
    #[test]
    fn the_time_is_set_once_and_the_machine_kept() {
        let now = Time::from_micros(1_000_000);
        let mut all = Reservations::default();
        let first = all.hold(
            now,
            id(1),
            [(machine(1), 40.0), (machine(2), 10.0)].into_iter(),
        );
        let held = first.expect("one is free");
        assert_eq!(held.machine, machine(2));
        assert!(held.lets_pass(now, 10.0) && !held.lets_pass(now.plus(5.0), 10.0));
        // Ten seconds have passed and what ran there runs on.
        let later = now.plus(11.0);
        let again = all.hold(
            later,
            id(1),
            [(machine(1), 1.0), (machine(2), 30.0)].into_iter(),
        );
        assert_eq!(again, Some(held));
        assert!(!held.lets_pass(later, 0.1));
        // Others get other machines.
        assert!(all
            .hold(later, id(2), [(machine(2), 0.0)].into_iter())
            .is_none());
        all.keep(|job, _| job != id(1));
        assert!(all.is_empty() && all.leader(machine(2)).is_none());
    }
}
