//! The protocol's rules about which tasks may be on machines, checked at each change.

use beamhinge_emulator::job::MachineAttributes;
use beamhinge_emulator::{job_id, JobPlan};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Tolerance in comparisons of summed CPUs.
pub(crate) const EPSILON: f64 = 1e-6;

/// A broken rule and what broke it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// The task or team that broke it.
    pub subject: String,
}

/// The tasks of a job that are on machines.
#[derive(Default)]
struct JobUse {
    /// Number of tasks by zone.
    zones: BTreeMap<String, u64>,
    task_ids: BTreeSet<String>,
}

struct Contents {
    zone: String,
    task_ids: Vec<String>,
}

/// The actual tasks on the machines, independent of what the controllers believe.
///
/// Indexed by machine, so that the cost of a change depends on the machine that changes and
/// not on the size of the fleet.
#[derive(Default)]
pub struct MachineContents {
    machines: BTreeMap<u64, Contents>,
    machines_of_task: HashMap<String, BTreeSet<u64>>,
    jobs: BTreeMap<String, JobUse>,
    /// CPUs in use, by team.
    teams: BTreeMap<String, f64>,
}

impl MachineContents {
    /// Sets the tasks that are on a machine now; returns the rules that this breaks. `limit`
    /// is the number of CPUs that a team may use, zero for no limit.
    pub fn set(
        &mut self,
        machine: u64,
        attributes: &MachineAttributes,
        task_ids: Vec<String>,
        plans: &BTreeMap<String, JobPlan>,
        limit: impl Fn(&str) -> f64,
    ) -> Vec<Violation> {
        self.remove(machine, plans);
        let mut violations = Vec::new();
        for task_id in &task_ids {
            let machines = self.machines_of_task.entry(task_id.clone()).or_default();
            if !machines.insert(machine) || machines.len() > 1 {
                violations.push(Violation {
                    rule: "ran_twice",
                    subject: format!("{task_id} on {machines:?}"),
                });
            }
            let Some(plan) = plans.get(job_id(task_id)) else {
                continue;
            };
            let team = plan.team();
            let used = self.teams.entry(team.to_string()).or_default();
            *used += plan.cpus();
            let limit = limit(team);
            if limit > 0.0 && *used > limit + EPSILON {
                violations.push(Violation {
                    rule: "quota",
                    subject: format!("{team} uses {used}"),
                });
            }
            if !self.place(task_id, plan, attributes) {
                violations.push(Violation {
                    rule: "wrong_place",
                    subject: task_id.clone(),
                });
            }
        }
        let zone = attributes.zone.to_string();
        self.machines.insert(machine, Contents { zone, task_ids });
        violations
    }

    /// Adds a task to the counts of its job; returns whether it may be on such a machine.
    fn place(&mut self, task_id: &str, plan: &JobPlan, attributes: &MachineAttributes) -> bool {
        let job = self.jobs.entry(job_id(task_id).to_string()).or_default();
        job.task_ids.insert(task_id.to_string());
        *job.zones.entry(attributes.zone.to_string()).or_default() += 1;
        let max_in_zone = plan.tasks().div_ceil(2);
        let too_many_zones = plan.single_zone() && job.zones.len() > 1;
        let too_many_in_zone =
            plan.spread_over_zones() && job.zones.values().any(|tasks| *tasks > max_in_zone);
        plan.allows(attributes) && !too_many_zones && !too_many_in_zone
    }

    /// Removes a machine with all tasks on it.
    pub fn remove(&mut self, machine: u64, plans: &BTreeMap<String, JobPlan>) {
        let Some(Contents { zone, task_ids }) = self.machines.remove(&machine) else {
            return;
        };
        for task_id in task_ids {
            if let Some(machines) = self.machines_of_task.get_mut(&task_id) {
                machines.remove(&machine);
                if machines.is_empty() {
                    self.machines_of_task.remove(&task_id);
                }
            }
            let Some(plan) = plans.get(job_id(&task_id)) else {
                continue;
            };
            if let Some(used) = self.teams.get_mut(plan.team()) {
                *used -= plan.cpus();
            }
            self.displace(&task_id, &zone);
        }
    }

    /// Removes a task in a zone from the counts of its job.
    fn displace(&mut self, task_id: &str, zone: &str) {
        let id = job_id(task_id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.task_ids.remove(task_id);
        if let Some(tasks) = job.zones.get_mut(zone) {
            *tasks -= 1;
            if *tasks == 0 {
                job.zones.remove(zone);
            }
        }
        if job.zones.is_empty() {
            self.jobs.remove(id);
        }
    }

    /// CPUs that a team's tasks use.
    #[must_use]
    pub fn used(&self, team: &str) -> f64 {
        self.teams.get(team).copied().unwrap_or(0.0)
    }

    /// Jobs with at least one task on a machine, each with one of these tasks.
    pub fn jobs(&self) -> impl Iterator<Item = (&str, &str)> {
        self.jobs.iter().map(|(id, job)| {
            let first = job.task_ids.first();
            (id.as_str(), first.map_or("", String::as_str))
        })
    }
}

#[cfg(test)]
mod tests;
