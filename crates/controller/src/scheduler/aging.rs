//! Jobs that have waited long enough: their lane, their reservations, and what
//! may be stopped for others. The rules are those of `beamhinge_priority_aging`; here
//! they meet the books.
//!
//! All that decides is in the books already: when a job was submitted, and what
//! holds room. A new holder finds the same order. Reservations and the counts of
//! stops are made anew: the bound in `docs/ageing.md` counts a takeover for that.

use super::plan::{allows, PlacementPass, SchedulingCycle};
use super::*;
use beamhinge_admin_api::reasons::Reason;
use beamhinge_priority_aging::{soonest, Held, Lane, Running};

impl Resources {
    pub(super) fn sizes(&self) -> [f64; 3] {
        [self.cpus, self.gpus, self.memory_gb]
    }
}

impl Scheduler {
    /// When a job rises, milliseconds of the time of day. Services never do: one
    /// in the lane would hold it for ever.
    fn rises_at_ms(&self, spec: &JobSpec) -> Option<u64> {
        let ends = spec.kind == JobKind::Batch;
        ends.then(|| self.aging.rises_at_ms(spec.urgency, spec.submitted()))
            .flatten()
    }

    /// Waiting jobs that have risen, the one that rose first in front.
    pub(super) fn risen(&self, now: Time, wall: WallMs) -> Vec<JobId> {
        if !self.aging.on() {
            return Vec::new();
        }
        let waits = self
            .jobs
            .iter()
            .filter(|(id, j)| self.pause(now, **id, j).is_none());
        let mut risen: Vec<(u64, JobId)> = waits
            .filter_map(|(id, j)| {
                let at = self.rises_at_ms(&j.spec)?;
                (at <= wall.0).then_some((at, *id))
            })
            .collect();
        risen.sort_unstable();
        risen.into_iter().map(|(_, id)| id).collect()
    }

    /// What the lane holds, by the books.
    pub(super) fn lane(&self, now: Time, machine_types: &[MachineType]) -> Lane {
        let usable = self
            .machines
            .values()
            .filter(|m| self.blocking_reason(now, m).is_none());
        let cpus = usable
            .filter_map(|m| machine_types.get(m.machine_type?))
            .map(|s| s.cpus)
            .sum();
        let mut lane = Lane::new(self.aging.width(cpus));
        for e in self
            .machines
            .values()
            .flat_map(|m| m.allocations.values())
            .filter(|e| e.lane)
        {
            lane.take(e.resources.cpus);
        }
        lane
    }

    /// Gives room to what has risen, as far as the lane is wide.
    pub(super) fn fill_lane(&mut self, now: Time, wall: WallMs, round: &mut SchedulingCycle) {
        let risen = self.risen(now, wall);
        if risen.is_empty() {
            return;
        }
        let mut lane = self.lane(now, round.machine_types);
        round.rising = true;
        'jobs: for id in risen {
            while let Some(job) = self.jobs.get(&id).filter(|j| j.waiting() > 0) {
                let resources = job.resources();
                let team = self.team(&job.spec);
                let over = team.and_then(|t| self.over_limit(round.team_used[t], t, &resources));
                if over.is_some() {
                    // Its team's limit, and no lack of room, is in its way.
                    break;
                }
                // Guard of the bound: nobody passes one for whom the lane is too
                // full. Smaller ones behind it would keep it so for ever.
                if round.budget == 0 || !lane.admits(resources.cpus) {
                    break 'jobs;
                }
                if self.fill(now, round, id, PlacementPass::Any, 1) == 0 {
                    if self.reserve(now, round, id).is_some() {
                        lane.take(resources.cpus);
                    }
                    break;
                }
                lane.take(resources.cpus);
            }
        }
        round.rising = false;
    }

    /// Jobs that begin with one task, and found no room for it, keep the machine
    /// that will have it first: else smaller tasks take each piece that comes free.
    pub(super) fn reserve_to_begin(
        &mut self,
        now: Time,
        round: &SchedulingCycle,
        begins: &[JobId],
    ) {
        let most = (self.machines.len() / 20).max(1);
        for id in begins.iter().take(most) {
            if self.jobs.get(id).is_some_and(|j| j.live.is_empty()) {
                let _ = self.reserve(now, round, *id);
            }
        }
    }

    /// A reservation ends with the wait, and with the machine.
    pub(super) fn keep_reserved(
        &mut self,
        now: Time,
        machine_types: &[MachineType],
        risen: &[JobId],
    ) {
        if self.reserved.is_empty() {
            return;
        }
        let mut reserved = std::mem::take(&mut self.reserved);
        reserved.keep(|id, held| {
            let (Some(job), Some(m)) = (self.jobs.get(&id), self.machines.get(&held.machine))
            else {
                return false;
            };
            let machine_type = m.machine_type.and_then(|s| machine_types.get(s));
            risen.contains(&id)
                && self.blocking_reason(now, m).is_none()
                && machine_type.is_some_and(|s| allows(&job.spec, s, m))
        });
        self.reserved = reserved;
    }

    /// Keeps the machine that will have room first for the job's next task.
    fn reserve(&mut self, now: Time, round: &SchedulingCycle, id: JobId) -> Option<Held> {
        if let Some(held) = self.reserved.of(id) {
            return Some(held);
        }
        let job = self.jobs.get(&id)?;
        let (spec, resources) = (job.spec.clone(), job.resources());
        let none = BTreeMap::new();
        let in_zones = round.zones.get(&id).unwrap_or(&none);
        let machines: Vec<(MachineId, f64)> = self
            .machines
            .iter()
            .filter(|(_, m)| self.blocking_reason(now, m).is_none())
            .filter(|(_, m)| !plan::zone_barred(&spec, in_zones, &m.zone))
            .filter_map(|(machine, m)| {
                let machine_type = round.machine_types.get(m.machine_type?)?;
                allows(&spec, machine_type, m).then_some(())?;
                let free = m.unpromised(round.machine_types).sizes();
                let mut running = self.running(now, m);
                Some((*machine, soonest(free, &mut running, resources.sizes())?))
            })
            .collect();
        let held = self.reserved.hold(now, id, machines.into_iter())?;
        tracing::info!(
            "{} is kept for {id}, for {:.0} s",
            held.machine,
            held.at.until(now)
        );
        // What was placed there ahead of an end has not begun: it goes elsewhere.
        let deferred: Vec<TaskId> = self.machines.get(&held.machine).map_or_else(Vec::new, |m| {
            m.allocations
                .iter()
                .filter(|(_, e)| e.ahead.is_some())
                .map(|(t, _)| *t)
                .collect()
        });
        for task in deferred {
            self.end(now, held.machine, task, false, 0.0);
        }
        Some(held)
    }

    /// What occupies a machine, and for how long by the estimates.
    fn running(&self, now: Time, m: &Machine) -> Vec<Running> {
        let allocations = m.allocations.iter().filter(|(_, e)| e.ahead.is_none());
        allocations
            .filter_map(|(task, e)| {
                let job = self.jobs.get(&task.job)?;
                // A service ends when it is told to, which nobody can foresee.
                (job.spec.kind == JobKind::Batch).then_some(())?;
                let left_s = (self.run_s(job) - e.ran_s(now)).max(0.0);
                Some(Running {
                    left_s,
                    size: e.resources.sizes(),
                })
            })
            .collect()
    }

    /// How far a waiting job's wait has raised it.
    pub(super) fn tell_ageing(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        machine_types: &[MachineType],
    ) -> Option<Reason> {
        let job = self.jobs.get(&id).filter(|_| self.aging.on())?;
        let rise = self
            .aging
            .rise(job.spec.urgency, job.spec.submitted(), wall);
        let (risen, lane) = (self.risen(now, wall), self.lane(now, machine_types));
        Some(Reason::PriorityAging {
            priority: rise.priority,
            age_s: age_s(wall, &job.spec).max(0.0),
            rises_in_s: self.rises_at_ms(&job.spec).and(rise.rises_in_s),
            ahead: risen.iter().position(|other| *other == id).unwrap_or(0) as u32,
            lane_cpus: lane.width(),
            held_cpus: lane.held(),
            kept: self.reserved.of(id).map(|h| h.machine.to_string()),
        })
    }

    /// Whether a machine is kept for another job, and this one would stay there
    /// beyond the time at which it is needed.
    pub(super) fn kept_from(&self, now: Time, machine: MachineId, id: JobId) -> bool {
        let Some((leader, held)) = self.reserved.leader(machine) else {
            return false;
        };
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let passes = job.spec.kind == JobKind::Batch && held.lets_pass(now, self.run_s(job));
        leader != id && !passes
    }

    /// Whether a task has risen: it is not stopped for work up to the ceiling.
    pub(super) fn rose(&self, wall: WallMs, e: &Allocation, job: &Job) -> bool {
        self.aging.on() && (e.lane || self.rises_at_ms(&job.spec).is_some_and(|at| at <= wall.0))
    }
}
