//! The fault of old, put back by tests: CPUs of stopped tasks were added up over
//! the whole fleet, wherever they were, and nothing kept their room.

use super::plan::{allows, SchedulingCycle};
use super::preemption::{PreemptionClaim, PreemptionReason, YOUNG};
use super::*;

impl Scheduler {
    pub(super) fn scatter(&mut self, now: Time, round: &SchedulingCycle, claim: &PreemptionClaim) {
        let Some(job) = self
            .jobs
            .get(&claim.job)
            .filter(|_| claim.why == PreemptionReason::Wait)
        else {
            return;
        };
        let (spec, mut lacking) = (job.spec.clone(), f64::from(job.waiting()) * job.spec.cpus);
        let mut victims: Vec<(f64, MachineId, TaskId, f64)> = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| self.usable(now, m)) {
            let Some(machine_type) = m.machine_type.and_then(|s| round.machine_types.get(s)) else {
                continue;
            };
            for (task, e) in &m.allocations {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let (ran, run_s) = (e.ran_s(now), self.run_s(job));
                if e.kill.is_some() {
                    lacking -= e.resources.cpus;
                } else if matches!(e.state, TaskState::Observed(_))
                    && job.spec.urgency < spec.urgency
                    && allows(&spec, machine_type, m)
                    && ran < run_s * YOUNG
                {
                    victims.push((ran, *id, *task, e.resources.cpus));
                }
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine, task, cpus) in victims {
            if lacking <= 0.0 {
                break;
            }
            lacking -= cpus;
            self.stop(machine, task, "makes room for more urgent work");
        }
    }
}
