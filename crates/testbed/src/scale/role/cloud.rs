//! The cloud role of a scale run, with an address for each controller.

use super::{ParentConnection, PartitionedControllers};
use crate::scale::flows::FlowCounter;
use crate::scale::messages::{Command, MachinePlan, Record};
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::{Effect, Service};
use beamhinge_core::types::{RequestId, Time, WallMs};
use beamhinge_emulator::cloud::{CapacityPool, Cloud, InstanceType};
use beamhinge_emulator::{micros, respond, Micros, SECOND};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::BTreeMap;

/// Label of the only machine type.
pub(super) const MACHINE_TYPE: &str = "m";
/// Delay after which the cloud lists a failed machine as failed.
const FAILURE_LISTING_DELAY: Micros = 30 * SECOND;

pub(super) struct CloudRole {
    cloud: Cloud,
    rng: StdRng,
    booting: BTreeMap<u64, Micros>,
    flows: FlowCounter,
    parent: ParentConnection,
    partitioned_controllers: PartitionedControllers,
}

impl CloudRole {
    pub(super) fn new(
        (rps, list_lag_s): (f64, f64),
        machines: &MachinePlan,
        zones: Vec<String>,
        seed: u64,
        now: Time,
        parent: ParentConnection,
    ) -> CloudRole {
        let mut cloud = Cloud::new(rps, list_lag_s);
        cloud.instance_types = vec![instance_type(
            machines.cpus,
            machines.memory_gb,
            machines.boot_s,
        )];
        for zone in &zones {
            let owned = machines.owned.iter().filter(|z| *z == zone).count() as u32;
            let pool = |spot| CapacityPool::new(MACHINE_TYPE, zone.clone(), spot);
            cloud.capacity.insert(pool(false), owned + machines.spare);
            cloud.capacity.insert(pool(true), machines.spare);
        }
        cloud.zones = zones;
        for zone in &machines.owned {
            cloud.add(
                micros(now),
                &CapacityPool::new(MACHINE_TYPE, zone, false),
                Some(0),
            );
        }
        let rng = StdRng::seed_from_u64(seed);
        let flows = FlowCounter::default();
        let booting = BTreeMap::new();
        let partitioned_controllers = PartitionedControllers::default();
        CloudRole {
            cloud,
            rng,
            booting,
            flows,
            parent,
            partitioned_controllers,
        }
    }

    fn apply_command(&mut self, now: Micros, command: Command) {
        match command {
            Command::Endpoint { machine, address } => {
                self.cloud.endpoints.insert(machine, address.to_string());
            }
            Command::Failed { machine } => {
                if let Some(instance) = self.cloud.instances.get_mut(&machine) {
                    instance.failed_at = Some(now + FAILURE_LISTING_DELAY);
                }
            }
            Command::PartitionControllers {
                controllers,
                seconds,
            } => {
                self.partitioned_controllers
                    .partition(&controllers, now + (seconds * 1e6) as Micros);
            }
            _ => {}
        }
    }

    /// Reports machines that are up or were released.
    fn report_machines(&mut self, now: Micros) {
        self.booting.extend(self.cloud.take_created());
        for machine in self.cloud.take_released() {
            self.booting.remove(&machine);
            self.cloud.endpoints.remove(&machine);
            self.parent.records.send(&Record::Released { machine });
        }
        let ready: Vec<u64> = self
            .booting
            .iter()
            .filter(|(_, up)| **up <= now)
            .map(|(id, _)| *id)
            .collect();
        for machine in ready {
            self.booting.remove(&machine);
            if let Some((instance, _)) = self.cloud.booted(now, machine) {
                let (zone, spot) = (instance.zone, instance.spot);
                self.parent.records.send(&Record::Booted {
                    machine,
                    zone,
                    spot,
                });
            }
        }
    }
}

/// The only machine type.
pub(super) fn instance_type(cpus: f64, memory_gb: f64, boot_s: f64) -> InstanceType {
    InstanceType {
        label: MACHINE_TYPE.into(),
        cpus,
        memory_gb,
        price: 1.0,
        spot_price: 0.3,
        boot_s,
    }
}

fn request_kind(method: Method, path: &str) -> &'static str {
    match (method, path) {
        (Method::Get, p) if p.starts_with("/hosts") => "list",
        (Method::Get, _) => "flavors",
        (_, "/hosts/release") => "release",
        _ => "rent",
    }
}

impl Service for CloudRole {
    fn on_request(
        &mut self,
        now: Time,
        _wall: WallMs,
        listener: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let (method, path) = (request.method, request.path.as_str());
        self.flows.request_received(
            id,
            request_kind(method, path),
            (method, path),
            request.body.len(),
        );
        let us = micros(now);
        // The request of a partitioned controller is dropped: it is never executed, and the
        // caller times out.
        if self.partitioned_controllers.is_partitioned(listener, us) {
            return;
        }
        let (status, body) = self
            .cloud
            .handle(us, method, path, &request.body, &mut self.rng);
        self.flows.response_sent(id, status, body.len());
        respond(out, id, (status, body));
        self.report_machines(us);
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, _out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(command) = self.parent.next_command() {
            self.apply_command(us, command);
        }
        self.report_machines(us);
        for what in self.cloud.violations.drain(..) {
            self.parent
                .records
                .send(&Record::ProtocolViolation { what });
        }
        let gauges = [("machines", self.cloud.instances.len() as f64)];
        self.parent.report_counts(now, self.flows.flows(), &gauges);
    }
}
