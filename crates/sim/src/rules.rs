//! The protocol's rules about what is on machines, kept up with each change.

use beamhinge_emulator::worker::Worker;
use beamhinge_emulator::JobPlan;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A rule that was broken, and by what.
pub type Broken = (&'static str, String);

#[derive(Default)]
struct Use {
    zones: BTreeMap<String, u64>,
    pieces: BTreeSet<String>,
}

/// What really is on the machines, whatever the controllers believe.
///
/// Looked at by machine: a change costs what it touches, not the whole fleet.
#[derive(Default)]
pub struct OnMachines {
    of: BTreeMap<u64, (String, Vec<String>)>,
    on: HashMap<String, BTreeSet<u64>>,
    jobs: BTreeMap<String, Use>,
    teams: BTreeMap<String, f64>,
}

/// What of a machine a job may ask for.
pub struct Place<'a> {
    pub machine_type: &'a str,
    pub zone: &'a str,
    pub spot: bool,
}

impl Place<'_> {
    pub fn of(w: &Worker) -> Place<'_> {
        Place {
            machine_type: w.machine_type(),
            zone: &w.zone,
            spot: w.spot,
        }
    }

    /// Whether a job may use such a machine at all.
    pub fn allows(&self, body: &Value) -> bool {
        let machine_types = body["shapes"].as_array();
        machine_types.is_none_or(|s| s.iter().any(|l| l.as_str() == Some(self.machine_type)))
            && body["yard"].as_str().is_none_or(|z| z == self.zone)
            && (!self.spot || body["loaners"].as_bool().unwrap_or(true))
    }
}

fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or("")
}

impl OnMachines {
    /// This is on a machine now; says which rules that breaks.
    pub fn set(
        &mut self,
        machine: u64,
        scheduler: Place,
        pieces: Vec<String>,
        plans: &BTreeMap<String, JobPlan>,
        limit: impl Fn(&str) -> f64,
    ) -> Vec<Broken> {
        self.remove(machine, plans);
        let mut broken = Vec::new();
        for piece in &pieces {
            let on = self.on.entry(piece.clone()).or_default();
            if !on.insert(machine) || on.len() > 1 {
                broken.push(("ran_twice", format!("{piece} on {on:?}")));
            }
            let job = job_of(piece);
            let Some(plan) = plans.get(job) else { continue };
            let body = &plan.body;
            let owner = body["owner"].as_str().unwrap_or("");
            let used = self.teams.entry(owner.to_string()).or_default();
            *used += body["vcpus"].as_f64().unwrap_or(0.0);
            let most = limit(owner);
            if most > 0.0 && *used > most + 1e-6 {
                broken.push(("quota", format!("{owner} uses {used}")));
            }
            let of = self.jobs.entry(job.to_string()).or_default();
            of.pieces.insert(piece.clone());
            *of.zones.entry(scheduler.zone.to_string()).or_default() += 1;
            let total = body["pieces"].as_u64().unwrap_or(0);
            let wrong = !scheduler.allows(body)
                || body["oneZone"].as_bool() == Some(true) && of.zones.len() > 1
                || body["apart"].as_bool() == Some(true)
                    && of.zones.values().any(|n| *n > total.div_ceil(2));
            if wrong {
                broken.push(("wrong_place", piece.clone()));
            }
        }
        self.of
            .insert(machine, (scheduler.zone.to_string(), pieces));
        broken
    }

    /// The machine is gone, with all that was on it.
    pub fn remove(&mut self, machine: u64, plans: &BTreeMap<String, JobPlan>) {
        let Some((zone, pieces)) = self.of.remove(&machine) else {
            return;
        };
        for piece in pieces {
            if let Some(on) = self.on.get_mut(&piece) {
                on.remove(&machine);
                if on.is_empty() {
                    self.on.remove(&piece);
                }
            }
            let job = job_of(&piece);
            let Some(plan) = plans.get(job) else { continue };
            let owner = plan.body["owner"].as_str().unwrap_or("");
            if let Some(used) = self.teams.get_mut(owner) {
                *used -= plan.body["vcpus"].as_f64().unwrap_or(0.0);
            }
            if let Some(of) = self.jobs.get_mut(job) {
                of.pieces.remove(&piece);
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
            .map(|(job, of)| (job.as_str(), of.pieces.first().map_or("", String::as_str)))
    }
}

#[cfg(test)]
mod tests;
