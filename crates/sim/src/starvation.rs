//! Work left waiting: after all troubles no job waits while a machine that fits has
//! room and its team is under its limit. Looked at by what really is on the machines,
//! never by the controllers' books.

use crate::cluster::Sim;
use beamhinge_emulator::worker::{Capacity, Worker};
use beamhinge_emulator::{JobPlan, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// So long a job may wait beside room that fits, seconds.
pub const WAITS_S: u64 = 90;

/// What is known of jobs that wait beside room.
#[derive(Default)]
pub struct StarvationTracker {
    /// Since when, and how many tasks had begun by then.
    since: BTreeMap<String, (Micros, u64)>,
    /// Jobs that waited for too long.
    pub left: BTreeSet<String>,
    /// The longest that any has.
    pub longest: Micros,
}

fn amount(plan: &JobPlan, name: &str) -> f64 {
    plan.body[name].as_f64().unwrap_or(0.0)
}

impl Sim {
    /// Looks once; called every second or two after the last trouble.
    pub fn look_for_waiting(&mut self) {
        let Some(healed) = self.healed else { return };
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut live: BTreeMap<&str, Vec<&Worker>> = BTreeMap::new();
        for w in self.workers.values() {
            for t in w.occupying() {
                let job = t.task_id.split('/').next().unwrap_or("");
                let Some(plan) = self.jobs.get(job) else {
                    continue;
                };
                let owner = plan.body["owner"].as_str().unwrap_or("").to_string();
                *used.entry(owner).or_default() += amount(plan, "vcpus");
                live.entry(job).or_default().push(w);
            }
        }
        let healthy = |w: &&Worker| {
            self.now >= w.faults.faulty_until()
                && !w.faults.tasks_fail
                && w.faults.slowdown <= 1.0
                && w.faults.reclaim_at.is_none()
        };
        let rooms: Vec<(&Worker, Capacity)> = self
            .workers
            .values()
            .filter(healthy)
            .map(|w| (w, w.free(&self.jobs)))
            .collect();
        let mut waits = BTreeMap::new();
        for (id, plan) in &self.jobs {
            if !self.counts(id, plan) || self.told.get(id).is_some_and(|t| t.done) {
                continue;
            }
            let on = live.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let ended = self.results_of(id);
            let total = plan.body["pieces"].as_u64().unwrap_or(0);
            if ended + on.len() as u64 >= total {
                continue;
            }
            let owner = plan.body["owner"].as_str().unwrap_or("");
            let team = self.settings[0]
                .params
                .teams
                .iter()
                .find(|t| t.name == owner);
            let most = match self.limits.is_changed() {
                true => self.limits.now(owner),
                false => team.map_or(0.0, |t| t.cpus_max),
            };
            let cpus = amount(plan, "vcpus");
            if most > 0.0 && used.get(owner).unwrap_or(&0.0) + cpus > most + 1e-6 {
                continue;
            }
            let fits = |(w, free): &(&Worker, Capacity)| {
                let zones = || on.iter().map(|o| &o.zone);
                let there = zones().filter(|z| **z == w.zone).count() as u64;
                free.fits(plan)
                    && plan.allows(&w.attributes())
                    && !(plan.body["oneZone"] == true && zones().any(|z| *z != w.zone))
                    && !(plan.body["apart"] == true && there >= total.div_ceil(2))
            };
            if rooms.iter().any(fits) {
                waits.insert(id.clone(), ended + on.len() as u64);
            }
        }
        let since = std::mem::take(&mut self.starvation.since);
        for (id, begun) in waits {
            // A task more that began or ended: it is served.
            let before = since.get(&id).filter(|(_, then)| *then >= begun);
            let at = before.map_or(self.now, |(at, _)| *at).max(healed);
            self.starvation.longest = self.starvation.longest.max(self.now - at);
            if self.now - at > WAITS_S * SECOND {
                self.starvation.left.insert(id.clone());
            }
            self.starvation.since.insert(id, (at, begun));
        }
    }
}
