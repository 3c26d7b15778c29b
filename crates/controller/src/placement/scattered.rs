//! The fault of old, put back by tests: CPUs of stopped tasks were added up over
//! the whole fleet, wherever they were, and nothing kept their room.

use super::plan::{allows, Round};
use super::room::{Claim, Why, YOUNG};
use super::*;

impl Placement {
    pub(super) fn scatter(&mut self, now: Time, round: &Round, claim: &Claim) {
        let Some(job) = self.jobs.get(&claim.job).filter(|_| claim.why == Why::Wait) else {
            return;
        };
        let (spec, mut lacking) = (job.spec.clone(), f64::from(job.waiting()) * job.spec.cpus);
        let mut victims: Vec<(f64, MachineId, TaskId, f64)> = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| self.usable(now, m)) {
            let Some(shape) = m.shape.and_then(|s| round.shapes.get(s)) else { continue };
            for (task, e) in &m.entries {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let (ran, run_s) = (e.ran_s(now), self.run_s(job));
                if e.kill.is_some() {
                    lacking -= e.need.cpus;
                } else if matches!(e.state, State::Seen(_))
                    && job.spec.urgency < spec.urgency
                    && allows(&spec, shape, m)
                    && ran < run_s * YOUNG
                {
                    victims.push((ran, *id, *task, e.need.cpus));
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
