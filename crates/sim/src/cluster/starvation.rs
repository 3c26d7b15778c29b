//! Which jobs wait although a suitable machine has enough free capacity and their team is under
//! its limit.

use super::Sim;
use crate::machine_contents::EPSILON;
use beamhinge_emulator::worker::{Capacity, Worker};
use beamhinge_emulator::{job_id, JobPlan};
use std::collections::BTreeMap;

/// The tasks and the free capacity of all machines.
struct Occupation<'a> {
    /// CPUs in use, by team.
    used: BTreeMap<&'a str, f64>,
    /// The workers of each job's tasks, one entry for each task.
    workers_of_job: BTreeMap<&'a str, Vec<&'a Worker>>,
    /// Healthy machines and their free capacity.
    free: Vec<(&'a Worker, Capacity)>,
}

impl Sim {
    /// Updates the starvation tracker; called every second or two after the last fault.
    pub(super) fn check_starvation(&mut self) {
        let Some(healed) = self.healed else { return };
        let occupation = self.occupation();
        let waiting = self
            .jobs
            .iter()
            .filter(|(id, plan)| self.should_finish(id, plan))
            .filter(|(id, _)| !self.users.views.get(*id).is_some_and(|view| view.done))
            .filter_map(|(id, plan)| {
                let started = self.waits_despite_free_capacity(id, plan, &occupation)?;
                Some((id.clone(), started))
            })
            .collect();
        self.checks.starvation.update(self.now, healed, waiting);
    }

    fn occupation(&self) -> Occupation<'_> {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut workers_of_job: BTreeMap<&str, Vec<&Worker>> = BTreeMap::new();
        for worker in self.workers.values() {
            for task in worker.occupying() {
                let job = job_id(&task.task_id);
                let Some(plan) = self.jobs.get(job) else {
                    continue;
                };
                *used.entry(plan.team()).or_default() += plan.cpus();
                workers_of_job.entry(job).or_default().push(worker);
            }
        }
        let healthy = self
            .workers
            .values()
            .filter(|w| w.faults.is_healthy(self.now));
        Occupation {
            used,
            workers_of_job,
            free: healthy.map(|w| (w, w.free(&self.jobs))).collect(),
        }
    }

    /// How many tasks of the job have started, if another one could start now; `None` if not.
    fn waits_despite_free_capacity(
        &self,
        id: &str,
        plan: &JobPlan,
        occupation: &Occupation,
    ) -> Option<u64> {
        let workers = occupation
            .workers_of_job
            .get(id)
            .map_or(&[][..], Vec::as_slice);
        let started = self.checks.finished_tasks(id) + workers.len() as u64;
        if started >= plan.tasks() || self.is_over_limit(plan, occupation) {
            return None;
        }
        let fits = |(worker, free): &(&Worker, Capacity)| {
            let zones = || workers.iter().map(|w| &w.zone);
            let in_zone = zones().filter(|zone| **zone == worker.zone).count() as u64;
            free.fits(plan)
                && plan.allows(&worker.attributes())
                && !(plan.single_zone() && zones().any(|zone| *zone != worker.zone))
                && !(plan.spread_over_zones() && in_zone >= plan.tasks().div_ceil(2))
        };
        occupation.free.iter().any(fits).then_some(started)
    }

    /// Whether another task would bring the job's team over its limit.
    fn is_over_limit(&self, plan: &JobPlan, occupation: &Occupation) -> bool {
        let team = plan.team();
        let limit = if self.checks.quotas.is_changed() {
            self.checks.quotas.current(team)
        } else {
            let teams = &self.settings[0].params.teams;
            let team = teams.iter().find(|t| t.name == team);
            team.map_or(0.0, |t| t.cpus_max)
        };
        let used = occupation.used.get(team).copied().unwrap_or(0.0);
        limit > 0.0 && used + plan.cpus() > limit + EPSILON
    }
}
