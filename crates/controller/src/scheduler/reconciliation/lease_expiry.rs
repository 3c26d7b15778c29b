//! Unreachable and removed machines: proves, by the expiry of the worker's lease or by the cloud's
//! confirmation, that their tasks have ended.

use crate::faults::fault_injected;
use crate::scheduler::allocation::{Allocation, TaskState};
use crate::scheduler::machine::Machine;
use crate::scheduler::{Scheduler, MAX_CLOCK_DRIFT};
use beamhinge_core::types::{MachineId, TaskId, Time};

/// Maximum number of removed machines that are remembered, so that a delayed copy of a report from
/// one of them has no effect; beyond it the lowest machine number is forgotten. Copies arrive
/// within minutes, in which a whole fleet of 8,192 machines may be replaced once and its
/// successors be returned.
pub(super) const MAX_REMOVED_MACHINES: usize = 16_384;

/// Number of lease durations without a report after which an empty machine is forgotten.
const FORGET_AFTER_LEASES: f64 = 6.0;

/// What follows from the fact that a machine has not reported.
enum UnreachableOutcome {
    /// The machine is empty and has not reported for a long time.
    Forget,
    /// The lease of the machine's worker has expired, so all its tasks have ended.
    Expire,
}

/// Machines that have not reported, in the order of their ids.
#[derive(Default)]
struct UnreachableSurvey {
    /// Allocations on unreachable machines whose `run` was never sent.
    unsent: Vec<(MachineId, TaskId)>,
    outcomes: Vec<(MachineId, UnreachableOutcome)>,
}

impl Scheduler {
    /// The cloud has confirmed that the machine, and with it all its tasks, was removed.
    pub fn on_machine_removed(&mut self, now: Time, id: MachineId) {
        if self.removed_machines.len() >= MAX_REMOVED_MACHINES {
            // Names are assigned in order, so the lowest was removed first, or nearly so.
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

    /// Guard 3, silence: a worker whose last answered report is more than `lease_s` old has
    /// killed all its tasks. That report was sent before this controller's last answer, so the
    /// lease is counted from that answer; after a failover it is counted from the latest time at
    /// which an earlier leader may have answered.
    pub(in crate::scheduler) fn check_reachability(&mut self, now: Time) {
        let UnreachableSurvey { unsent, outcomes } = self.survey_unreachable(now);
        for (machine, task) in unsent {
            self.release_allocation(now, machine, task, false, 0.0);
        }
        for (id, outcome) in outcomes {
            match outcome {
                UnreachableOutcome::Forget => self.forget_machine(id),
                UnreachableOutcome::Expire => self.expire_lease(now, id),
            }
        }
    }

    fn survey_unreachable(&self, now: Time) -> UnreachableSurvey {
        let mut survey = UnreachableSurvey::default();
        let forget_after_s = self.lease_s * FORGET_AFTER_LEASES;
        let unsent_after_s = self.report_s * 3.0 + 2.0;
        for (id, machine) in &self.machines {
            let last_heartbeat = machine.liveness.last_heartbeat;
            let unreported_for =
                |limit_s: f64| last_heartbeat.is_none_or(|last| now.since(last) > limit_s);
            if machine.is_empty() {
                if unreported_for(forget_after_s) && now.since(self.acquired_at) > forget_after_s {
                    survey.outcomes.push((*id, UnreachableOutcome::Forget));
                }
                continue;
            }
            // `run` was never sent for these, so they can be placed elsewhere immediately.
            if unreported_for(unsent_after_s) {
                let allocations = machine.resident.allocations.iter();
                let unsent = allocations.filter(|(_, a)| !a.in_flight && !a.may_be_on_machine());
                survey.unsent.extend(unsent.map(|(task, _)| (*id, *task)));
            }
            if now > self.lease_expiry(machine) {
                survey.outcomes.push((*id, UnreachableOutcome::Expire));
            }
        }
        survey
    }

    /// The time until which a machine's worker may keep its tasks running.
    fn lease_expiry(&self, machine: &Machine) -> Time {
        let lease_s = self.lease_s * MAX_CLOCK_DRIFT + self.margin_s * 0.25;
        let previous_until = if fault_injected!(self.faults, silence_from_local_replies) {
            self.acquired_at.plus(lease_s)
        } else {
            self.previous_leases_until
        };
        let answered_until = machine.liveness.last_answered.map(|at| at.plus(lease_s));
        // Until the worker has reported this term's fencing token, this controller's answers may
        // have been lost, and an earlier leader's answers may still renew its lease.
        match answered_until {
            Some(until) if !machine.acknowledgement.has_reported_current_token => {
                until.max(previous_until)
            }
            Some(until) => until,
            None => previous_until,
        }
    }

    /// Releases the tasks of a machine whose worker's lease has expired.
    fn expire_lease(&mut self, now: Time, id: MachineId) {
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        let allocations = &machine.resident.allocations;
        // A `run` whose task was never listed counts as unacknowledged, as it would on the first
        // report of the worker's next incarnation. It is recorded here because the allocations are
        // released below, before that report can arrive.
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
            tracing::info!(
                machine = %id, count = tasks.len(), "worker lease of unreachable machine expired"
            );
        }
        for task in tasks {
            self.release_allocation(now, id, task, false, 0.0);
        }
        self.drop_orphans(now, id);
    }
}
