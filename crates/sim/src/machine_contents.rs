//! The protocol's rules about what is on machines, kept up with each change.

use beamhinge_emulator::job::MachineAttributes;
use beamhinge_emulator::{job_id, JobPlan};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A rule that was broken, and by what.
pub type Broken = (&'static str, String);

#[derive(Default)]
struct Use {
    zones: BTreeMap<String, u64>,
    task_ids: BTreeSet<String>,
}

/// What really is on the machines, whatever the controllers believe.
///
/// Looked at by machine: a change costs what it touches, not the whole fleet.
#[derive(Default)]
pub struct MachineContents {
    of: BTreeMap<u64, (String, Vec<String>)>,
    on: HashMap<String, BTreeSet<u64>>,
    jobs: BTreeMap<String, Use>,
    teams: BTreeMap<String, f64>,
}

impl MachineContents {
    /// This is on a machine now; says which rules that breaks.
    pub fn set(
        &mut self,
        machine: u64,
        attributes: &MachineAttributes,
        task_ids: Vec<String>,
        plans: &BTreeMap<String, JobPlan>,
        limit: impl Fn(&str) -> f64,
    ) -> Vec<Broken> {
        self.remove(machine, plans);
        let mut broken = Vec::new();
        for task_id in &task_ids {
            let on = self.on.entry(task_id.clone()).or_default();
            if !on.insert(machine) || on.len() > 1 {
                broken.push(("ran_twice", format!("{task_id} on {on:?}")));
            }
            let job = job_id(task_id);
            let Some(plan) = plans.get(job) else { continue };
            let owner = plan.team();
            let used = self.teams.entry(owner.to_string()).or_default();
            *used += plan.cpus();
            let most = limit(owner);
            if most > 0.0 && *used > most + 1e-6 {
                broken.push(("quota", format!("{owner} uses {used}")));
            }
            let of = self.jobs.entry(job.to_string()).or_default();
            of.task_ids.insert(task_id.clone());
            *of.zones.entry(attributes.zone.to_string()).or_default() += 1;
            let total = plan.tasks();
            let wrong = !plan.allows(attributes)
                || plan.single_zone() && of.zones.len() > 1
                || plan.spread_over_zones() && of.zones.values().any(|n| *n > total.div_ceil(2));
            if wrong {
                broken.push(("wrong_place", task_id.clone()));
            }
        }
        self.of
            .insert(machine, (attributes.zone.to_string(), task_ids));
        broken
    }

    /// The machine is gone, with all that was on it.
    pub fn remove(&mut self, machine: u64, plans: &BTreeMap<String, JobPlan>) {
        let Some((zone, task_ids)) = self.of.remove(&machine) else {
            return;
        };
        for task_id in task_ids {
            if let Some(on) = self.on.get_mut(&task_id) {
                on.remove(&machine);
                if on.is_empty() {
                    self.on.remove(&task_id);
                }
            }
            let job = job_id(&task_id);
            let Some(plan) = plans.get(job) else { continue };
            if let Some(used) = self.teams.get_mut(plan.team()) {
                *used -= plan.cpus();
            }
            if let Some(of) = self.jobs.get_mut(job) {
                of.task_ids.remove(&task_id);
                if let Some(n) = of.zones.get_mut(&zone) {
                    *n -= 1;
                    if *n == 0 {
                        of.zones.remove(&zone);
                    }
                }
                if of.zones.is_empty() {
                    self.jobs.remove(job);
                }
            }
        }
    }

    /// CPUs that a team's tasks use.
    pub fn used(&self, team: &str) -> f64 {
        self.teams.get(team).copied().unwrap_or(0.0)
    }

    /// Jobs with a task on a machine, and one of these.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.jobs
            .iter()
            .map(|(job, of)| (job.as_str(), of.task_ids.first().map_or("", String::as_str)))
    }
}

#[cfg(test)]
mod tests;
