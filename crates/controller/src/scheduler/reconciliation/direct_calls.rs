//! Direct calls to workers, outside the answers to their reports.
//!
//! `run` is never sent in a direct call, since a delayed packet could take effect late. `kill` may
//! be, because it names one attempt.

use super::MAX_COMMANDS;
use crate::scheduler::allocation::Allocation;
use crate::scheduler::machine::Machine;
use crate::scheduler::Scheduler;
use crate::worker_protocol::WorkerCommand;
use beamhinge_core::types::{MachineId, Time};
use std::net::SocketAddrV4;

/// Maximum number of direct calls that are started together.
const MAX_CONCURRENT_CALLS: usize = 16;

/// A direct call to a worker with the tasks to stop. Without commands it only requests a report.
#[derive(Debug)]
pub struct DirectCall {
    /// The machine to call.
    pub machine: MachineId,
    /// The address at which its worker accepts direct commands.
    pub endpoint: SocketAddrV4,
    /// The worker's incarnation; a worker with a different one refuses the call.
    pub incarnation: u64,
    /// The commands that stop tasks.
    pub commands: Vec<WorkerCommand>,
}

impl Scheduler {
    /// Removes some machines from the pending kills and returns the calls that stop their tasks
    /// without waiting for the workers' next reports. At most `MAX_CONCURRENT_CALLS` are returned
    /// at a time.
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

    /// The call that stops the tasks to be stopped on a machine; `None` if there are none or the
    /// worker cannot be called.
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

    /// Probe calls to unreachable machines with tasks, which the caller probes in turn. Such a
    /// machine may be unable to reach any controller and yet be reachable itself. The calls repeat
    /// the kills of tasks that are to be stopped there.
    pub fn probe_calls(&self, now: Time) -> impl Iterator<Item = DirectCall> + '_ {
        self.machines
            .iter()
            .filter(move |(_, machine)| self.is_unreachable(now, machine))
            .filter(|(_, machine)| {
                let mut allocations = machine.resident.allocations.values();
                allocations.any(Allocation::may_be_on_machine)
            })
            .filter_map(|(id, machine)| probe_call(*id, machine))
    }

    fn is_unreachable(&self, now: Time, machine: &Machine) -> bool {
        let acknowledgement = &machine.acknowledgement;
        match machine.liveness.last_heartbeat {
            Some(at) => {
                acknowledgement.has_current_token && now.since(at) > self.report_timeout_s()
            }
            // Since the failover the machine has only responded to direct calls.
            None => acknowledgement.last_direct_response.is_some(),
        }
    }
}

/// The call that probes an unreachable machine; `None` if its worker has neither reported nor
/// responded in this term, or has no known endpoint.
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
