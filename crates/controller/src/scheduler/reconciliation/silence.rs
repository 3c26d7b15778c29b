//! Machines that are silent or gone: the proof, by time or by the cloud, that their tasks are.

use crate::faults::fault_injected;
use crate::scheduler::allocation::{Allocation, TaskState};
use crate::scheduler::machine::Machine;
use crate::scheduler::{Scheduler, MAX_CLOCK_DRIFT};
use beamhinge_core::types::{MachineId, TaskId, Time};

/// Machines that are gone and remembered, so that a late copy of a report in the name of one
/// changes nothing; beyond it the lowest number is forgotten. A copy comes within minutes, and
/// in that time a whole fleet of 8,192 machines may be replaced once and its successors be
/// given back.
pub(super) const MAX_GONE_MACHINES: usize = 16_384;

/// An empty machine that was silent for so many leases is forgotten.
const FORGET_AFTER_LEASES: f64 = 6.0;

/// What the silence of a machine proves.
enum SilenceOutcome {
    /// It is empty, and was not heard for long.
    Forget,
    /// Its worker's lease has expired: all its tasks are gone.
    Expire,
}

/// Machines that are silent, in the order of their ids.
#[derive(Default)]
struct SilenceSurvey {
    /// Allocations on silent machines whose `run` never went out.
    unsent: Vec<(MachineId, TaskId)>,
    outcomes: Vec<(MachineId, SilenceOutcome)>,
}

impl Scheduler {
    /// The cloud has confirmed that the machine and all on it are gone.
    pub fn on_machine_removed(&mut self, now: Time, id: MachineId) {
        if self.removed_machines.len() >= MAX_GONE_MACHINES {
            // Names are given in order: the lowest has been gone longest, or nearly.
            self.removed_machines.pop_first();
        }
        self.removed_machines.insert(id);
        let tasks: Vec<TaskId> = match self.machines.get(&id) {
            Some(machine) => machine.resident.allocations.keys().copied().collect(),
            None => return,
        };
        for task in tasks {
            self.release_allocation(now, id, task, false, 0.0);
        }
        self.drop_orphans(now, id);
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.lifecycle.returning = true;
            machine.acknowledgement.has_current_token = false;
            machine.liveness.last_heartbeat = None;
            if machine.resident.allocations.is_empty() {
                self.forget_machine(id);
            }
        }
    }

    fn forget_machine(&mut self, id: MachineId) {
        self.fault_attribution.forget_machine(id);
        self.machines.remove(&id);
    }

    /// Guard 3, silence: a worker whose last answered report is more than
    /// lease_s old has killed all its tasks. This controller's last answer bounds that; after
    /// a takeover the earlier leader's answers do.
    pub(in crate::scheduler) fn check_silence(&mut self, now: Time) {
        let SilenceSurvey { unsent, outcomes } = self.survey_silence(now);
        for (machine, task) in unsent {
            self.release_allocation(now, machine, task, false, 0.0);
        }
        for (id, outcome) in outcomes {
            match outcome {
                SilenceOutcome::Forget => self.forget_machine(id),
                SilenceOutcome::Expire => self.expire_machine(now, id),
            }
        }
    }

    fn survey_silence(&self, now: Time) -> SilenceSurvey {
        let mut survey = SilenceSurvey::default();
        let forget_after_s = self.lease_s * FORGET_AFTER_LEASES;
        let unsent_after_s = self.report_s * 3.0 + 2.0;
        for (id, machine) in &self.machines {
            let last_heartbeat = machine.liveness.last_heartbeat;
            let silent_for =
                |limit_s: f64| last_heartbeat.is_none_or(|last| now.since(last) > limit_s);
            if machine.is_empty() {
                if silent_for(forget_after_s) && now.since(self.acquired_at) > forget_after_s {
                    survey.outcomes.push((*id, SilenceOutcome::Forget));
                }
                continue;
            }
            // `run` never went out for these: they can go elsewhere at once.
            if silent_for(unsent_after_s) {
                let allocations = machine.resident.allocations.iter();
                let unsent = allocations.filter(|(_, a)| !a.in_flight && !a.may_be_on_machine());
                survey.unsent.extend(unsent.map(|(task, _)| (*id, *task)));
            }
            if now > self.leases_until(machine) {
                survey.outcomes.push((*id, SilenceOutcome::Expire));
            }
        }
        survey
    }

    /// Until when a machine's worker may keep its tasks alive.
    fn leases_until(&self, machine: &Machine) -> Time {
        let lease_s = self.lease_s * MAX_CLOCK_DRIFT + self.margin_s * 0.25;
        let previous_until = if fault_injected!(self.faults, silence_from_local_replies) {
            self.acquired_at.plus(lease_s)
        } else {
            self.previous_leases_until
        };
        let own_until = machine.liveness.last_answered.map(|at| at.plus(lease_s));
        // Until it has shown this term's token, this controller's answers may have been lost and
        // an earlier leader's may still keep its tasks alive.
        match own_until {
            Some(own) if !machine.acknowledgement.ever_had_current_token => own.max(previous_until),
            Some(own) => own,
            None => previous_until,
        }
    }

    /// The lease of the machine's worker has expired: its tasks are gone.
    fn expire_machine(&mut self, now: Time, id: MachineId) {
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        let allocations = &machine.resident.allocations;
        // What went out just before and was never seen: where the first report of the
        // next incarnation comes, nothing arrived.
        let is_sent = |a: &Allocation| matches!(a.state, TaskState::RunSent(_));
        if allocations.values().any(is_sent) {
            let tracker = &mut machine.acknowledgement.tracker;
            tracker.record_unacknowledged(now, true);
        }
        let tasks: Vec<TaskId> = allocations
            .iter()
            .filter(|(_, allocation)| allocation.may_be_on_machine())
            .map(|(task, _)| *task)
            .collect();
        if !tasks.is_empty() {
            tracing::info!(machine = %id, count = tasks.len(), "expired lease of silent machine");
        }
        for task in tasks {
            self.release_allocation(now, id, task, false, 0.0);
        }
        self.drop_orphans(now, id);
    }
}
