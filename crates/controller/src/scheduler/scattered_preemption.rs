//! A former preemption algorithm that tests enable as an injected fault. It adds up the CPUs of
//! stopped tasks over the whole fleet, regardless of the machine, and does not reserve the freed
//! capacity.

use super::cycle::SchedulingCycle;
use super::feasibility::is_feasible;
use super::victims::{PreemptionClaim, PreemptionReason, EARLY_RUN_FRACTION};
use super::Scheduler;
use beamhinge_core::types::{MachineId, TaskId, Time};

/// A running task that may be stopped.
struct ScatteredVictim {
    machine: MachineId,
    task: TaskId,
    ran_s: f64,
    cpus: f64,
}

impl Scheduler {
    pub(super) fn preempt_scattered(
        &mut self,
        now: Time,
        cycle: &SchedulingCycle,
        claim: &PreemptionClaim,
    ) {
        let Some(job) = self
            .jobs
            .get(&claim.job)
            .filter(|_| claim.reason == PreemptionReason::Wait)
        else {
            return;
        };
        let spec = job.spec.clone();
        let mut missing_cpus = f64::from(job.pending_tasks()) * spec.cpus;
        let mut victims: Vec<ScatteredVictim> = Vec::new();
        for (id, machine) in self
            .machines
            .iter()
            .filter(|(_, machine)| self.accepts_tasks(now, machine))
        {
            let Some(machine_type) = machine.lookup_type(cycle.machine_types) else {
                continue;
            };
            for (task, allocation) in &machine.resident.allocations {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let (ran_s, run_s) = (allocation.ran_s(now), self.expected_run_s(job));
                if allocation.kill_grace_s.is_some() {
                    missing_cpus -= allocation.resources.cpus;
                } else if allocation.is_observed()
                    && job.spec.urgency < spec.urgency
                    && is_feasible(&spec, machine_type, machine)
                    && ran_s < run_s * EARLY_RUN_FRACTION
                {
                    victims.push(ScatteredVictim {
                        machine: *id,
                        task: *task,
                        ran_s,
                        cpus: allocation.resources.cpus,
                    });
                }
            }
        }
        victims.sort_by(|a, b| a.ran_s.total_cmp(&b.ran_s));
        for victim in victims {
            if missing_cpus <= 0.0 {
                break;
            }
            missing_cpus -= victim.cpus;
            self.stop_task(victim.machine, victim.task, claim.reason.describe());
        }
    }
}
