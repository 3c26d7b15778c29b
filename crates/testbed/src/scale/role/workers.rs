//! The workers role of a scale run: a worker pool and the network partitions that affect it.

use super::cloud::{instance_type, MACHINE_TYPE};
use super::ParentConnection;
use crate::scale::flows::FlowCounter;
use crate::scale::messages::{wall_us, Command, Record};
use crate::scale::workload::Workload;
use beamhinge_core::http::Request;
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::settings;
use beamhinge_core::types::{CallId, RequestId, Time, WallMs};
use beamhinge_emulator::cloud::{Instance, InstanceType};
use beamhinge_emulator::processes::Processes;
use beamhinge_emulator::worker_pool::{MachineEvent, WorkerPool, WorkerPoolConfig};
use beamhinge_emulator::{micros, refuse, respond, Micros, ProtocolFaults, Response};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Network partition between the machines of some zones and some controllers, until a given time.
struct Partition {
    zones: Vec<String>,
    controllers: Vec<SocketAddrV4>,
    until: Micros,
}

/// Report in flight: its machine and the controller that it was sent to.
struct PendingReport {
    machine: u64,
    to: SocketAddrV4,
}

pub(super) struct WorkersRole {
    pool: WorkerPool,
    controllers: Vec<SocketAddrV4>,
    addresses: Vec<SocketAddrV4>,
    /// Machine at each of `addresses`, by index; `None` if the address is free.
    machine_by_address: Vec<Option<u64>>,
    zones: BTreeMap<u64, String>,
    /// The controller that last answered the machine's report with status 200.
    served_by: BTreeMap<u64, SocketAddrV4>,
    reports: BTreeMap<CallId, PendingReport>,
    /// Reports lost in a network partition, and when each times out.
    lost_reports: VecDeque<(Micros, CallId)>,
    partitions: Vec<Partition>,
    workload: Workload,
    real: bool,
    flows: FlowCounter,
    parent: ParentConnection,
}

impl WorkersRole {
    pub(super) fn new(
        controllers: Vec<SocketAddrV4>,
        addresses: Vec<SocketAddrV4>,
        settings: settings::WorkerTimings,
        workload: Workload,
        real: bool,
        parent: ParentConnection,
    ) -> WorkersRole {
        let records = parent.records.clone();
        let observer = Box::new(move |machine_event: MachineEvent| {
            let event = machine_event.event.transition;
            let (machine, attempt) = (machine_event.machine, machine_event.event.attempt);
            let task_id = machine_event.event.task_id;
            records.send(&Record::Task {
                at: wall_us(),
                machine,
                task_id,
                attempt,
                event,
            });
        });
        let processes = real.then(|| Processes::new(None, Vec::new()));
        WorkersRole {
            pool: WorkerPool::new(WorkerPoolConfig {
                controllers: controllers.clone(),
                settings,
                processes,
                protocol_faults: ProtocolFaults::default(),
                observer,
            }),
            controllers,
            machine_by_address: vec![None; addresses.len()],
            addresses,
            zones: BTreeMap::new(),
            served_by: BTreeMap::new(),
            reports: BTreeMap::new(),
            lost_reports: VecDeque::new(),
            partitions: Vec::new(),
            workload,
            real,
            flows: FlowCounter::default(),
            parent,
        }
    }

    fn is_partitioned(&self, now: Micros, machine: u64, controller: SocketAddrV4) -> bool {
        let Some(zone) = self.zones.get(&machine) else {
            return false;
        };
        self.partitions
            .iter()
            .any(|c| now < c.until && c.zones.contains(zone) && c.controllers.contains(&controller))
    }

    fn apply_command(&mut self, now: Micros, command: Command) {
        match command {
            Command::Boot {
                machine,
                zone,
                spot,
                cpus,
                memory_gb,
                address_index,
            } => {
                let instance = Instance {
                    machine_type: MACHINE_TYPE.to_string(),
                    zone,
                    spot,
                    created: now,
                    up: now,
                    failed_at: None,
                };
                let instance_type = instance_type(cpus, memory_gb, 0.0);
                self.boot(now, machine, (instance, instance_type), address_index);
            }
            Command::Remove { machine } => self.remove(now, machine),
            Command::Reboot { machine } => self.pool.reboot(now, machine),
            Command::CutZones {
                zones,
                controllers,
                seconds,
            } => {
                let addresses = controllers.iter().filter_map(|c| self.controllers.get(*c));
                let partition = Partition {
                    zones,
                    controllers: addresses.copied().collect(),
                    until: now + (seconds * 1e6) as Micros,
                };
                self.partitions.retain(|partition| now < partition.until);
                self.partitions.push(partition);
            }
            _ => {}
        }
    }

    /// Starts the worker of a machine that is up; it listens on the address at `address_index`.
    fn boot(
        &mut self,
        now: Micros,
        machine: u64,
        booted: (Instance, InstanceType),
        address_index: usize,
    ) {
        let Some(address) = self.addresses.get(address_index) else {
            return;
        };
        self.machine_by_address[address_index] = Some(machine);
        self.zones.insert(machine, booted.0.zone.clone());
        self.pool.add(now, machine, booted, address.to_string());
    }

    fn remove(&mut self, now: Micros, machine: u64) {
        self.pool.remove(now, machine);
        self.zones.remove(&machine);
        self.served_by.remove(&machine);
        for entry in self
            .machine_by_address
            .iter_mut()
            .filter(|m| **m == Some(machine))
        {
            *entry = None;
        }
    }

    /// Counts the reports sent since `previous_len`, and drops those to partitioned controllers.
    fn dispatch_calls(&mut self, now: Micros, previous_len: usize, out: &mut Vec<Effect>) {
        for call in out.split_off(previous_len) {
            if let Effect::Call {
                id,
                destination,
                method,
                path,
                body,
                timeout_s,
            } = &call
            {
                if let Destination::Controller { address, caller } = destination {
                    self.reports.insert(
                        *id,
                        PendingReport {
                            machine: *caller,
                            to: *address,
                        },
                    );
                    if self.is_partitioned(now, *caller, *address) {
                        self.lost_reports
                            .push_back((now + (timeout_s * 1e6) as Micros, *id));
                        continue;
                    }
                }
                self.flows
                    .request_sent("report", (*method, path), body.len());
            }
            out.push(call);
        }
    }

    fn handle_reply(&mut self, now: Micros, id: CallId, result: Option<&Response>) {
        if let Some((status, body)) = result {
            self.flows.response_received("report", *status, body.len());
        }
        if let Some(report) = self.reports.remove(&id) {
            if result.is_some_and(|(status, _)| *status == 200) {
                self.served_by.insert(report.machine, report.to);
            }
        }
        let (workload, real) = (&self.workload, self.real);
        self.pool
            .on_reply(now, id, result, &mut |job| workload.job_plan(job, real));
    }
}

impl Service for WorkersRole {
    fn on_request(
        &mut self,
        now: Time,
        _wall: WallMs,
        listener: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let us = micros(now);
        let (method, path) = (request.method, request.path.as_str());
        self.flows
            .request_received(id, "command", (method, path), request.body.len());
        let Some(machine) = self.machine_by_address.get(listener).copied().flatten() else {
            return refuse(out, id, 404);
        };
        // Only the controller that serves the machine sends commands to it, so a partition from
        // that controller drops them.
        if self
            .served_by
            .get(&machine)
            .is_some_and(|c| self.is_partitioned(us, machine, *c))
        {
            return;
        }
        let (status, body) = self.pool.on_request(us, machine, &request);
        self.flows.response_sent(id, status, body.len());
        respond(out, id, (status, body));
    }

    fn on_reply(
        &mut self,
        now: Time,
        _wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        _out: &mut Vec<Effect>,
    ) {
        self.handle_reply(micros(now), id, result.as_ref());
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(command) = self.parent.next_command() {
            self.apply_command(us, command);
        }
        while self.lost_reports.front().is_some_and(|(at, _)| *at <= us) {
            if let Some((_, id)) = self.lost_reports.pop_front() {
                self.handle_reply(us, id, None);
            }
        }
        let previous_len = out.len();
        self.pool.step(us, out);
        self.dispatch_calls(us, previous_len, out);
        let workers = self.pool.workers().count();
        let running_tasks: usize = self.pool.workers().map(|(_, w)| w.running().count()).sum();
        let gauges = [
            ("workers", workers as f64),
            ("running", running_tasks as f64),
        ];
        self.parent.report_counts(now, self.flows.flows(), &gauges);
    }
}
