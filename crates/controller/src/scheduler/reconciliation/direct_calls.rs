//! Calls to workers beside the answers to their reports.
//!
//! `run` never goes this way, since a held packet could act late. A `kill` may: it names one
//! attempt.

use super::MAX_COMMANDS;
use crate::scheduler::allocation::Allocation;
use crate::scheduler::machine::Machine;
use crate::scheduler::Scheduler;
use crate::worker_protocol::WorkerCommand;
use beamhinge_core::types::{MachineId, Time};
use std::net::SocketAddrV4;

/// Direct calls to workers that go out together.
const MAX_CONCURRENT_CALLS: usize = 16;

/// A call to a worker: what to stop there. Without commands it only asks for a report.
#[derive(Debug)]
pub struct DirectCall {
    /// The machine to call.
    pub machine: MachineId,
    /// Where its worker takes direct commands.
    pub endpoint: SocketAddrV4,
    /// The worker's incarnation; a worker of another one refuses the call.
    pub incarnation: u64,
    /// What to stop.
    pub commands: Vec<WorkerCommand>,
}

impl Scheduler {
    /// Takes the workers that have something to stop and whose next report may be long in
    /// coming, a few at a time.
    pub fn take_pending_kills(&mut self) -> Vec<DirectCall> {
        let due: Vec<MachineId> = self
            .pending_kills
            .iter()
            .take(MAX_CONCURRENT_CALLS)
            .copied()
            .collect();
        let mut calls = Vec::new();
        for id in due {
            self.pending_kills.remove(&id);
            calls.extend(self.kill_call(id));
        }
        calls
    }

    /// The call that stops what is to be stopped on a machine, if there is anything.
    fn kill_call(&self, id: MachineId) -> Option<DirectCall> {
        let machine = self.machines.get(&id)?;
        if !machine.acknowledgement.has_current_token {
            return None;
        }
        let endpoint = machine.identity.endpoint?;
        let last_report = machine.acknowledgement.last_report?;
        let commands: Vec<WorkerCommand> = machine
            .resident
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.is_observed())
            .filter_map(|(task, allocation)| allocation.kill_command(*task))
            .collect();
        (!commands.is_empty()).then_some(DirectCall {
            machine: id,
            endpoint,
            incarnation: last_report.incarnation,
            commands,
        })
    }

    /// Machines with tasks that fell silent: perhaps they reach nobody, and can be
    /// reached. They are probed in turn, and told once more what is to stop there.
    pub fn silent_machines_with_tasks(&self, now: Time) -> impl Iterator<Item = DirectCall> + '_ {
        self.machines
            .iter()
            .filter(move |(_, machine)| self.is_silent(now, machine))
            .filter(|(_, machine)| {
                let mut allocations = machine.resident.allocations.values();
                allocations.any(Allocation::may_be_on_machine)
            })
            .filter_map(|(id, machine)| probe_call(*id, machine))
    }

    fn is_silent(&self, now: Time, machine: &Machine) -> bool {
        let acknowledgement = &machine.acknowledgement;
        match machine.liveness.last_heartbeat {
            Some(at) => {
                acknowledgement.has_current_token && now.since(at) > self.silence_timeout_s()
            }
            // Since a takeover it has responded only when it was called.
            None => acknowledgement.last_direct_response.is_some(),
        }
    }
}

/// The call that probes a silent machine.
fn probe_call(id: MachineId, machine: &Machine) -> Option<DirectCall> {
    let acknowledgement = &machine.acknowledgement;
    let newest = acknowledgement
        .last_report
        .max(acknowledgement.last_direct_response)?;
    let commands = machine
        .resident
        .allocations
        .iter()
        .filter(|(_, allocation)| allocation.may_be_on_machine())
        .filter_map(|(task, allocation)| allocation.kill_command(*task))
        .take(MAX_COMMANDS)
        .collect();
    Some(DirectCall {
        machine: id,
        endpoint: machine.identity.endpoint?,
        incarnation: newest.incarnation,
        commands,
    })
}
