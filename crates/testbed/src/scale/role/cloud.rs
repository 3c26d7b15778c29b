//! The cloud role of a scale run, with an address for each controller.

use super::{HeldControllers, Links};
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
pub(super) const SHAPE: &str = "m";
/// Delay after which the cloud lists a failed machine as failed.
const FAILED_LISTED: Micros = 30 * SECOND;

pub(super) struct CloudRole {
    cloud: Cloud,
    rng: StdRng,
    booting: BTreeMap<u64, Micros>,
    flows: FlowCounter,
    links: Links,
    cut_off: HeldControllers,
}

impl CloudRole {
    pub(super) fn new(
        (rps, list_lag_s): (f64, f64),
        machines: &MachinePlan,
        zones: Vec<String>,
        seed: u64,
        now: Time,
        links: Links,
    ) -> CloudRole {
        let mut cloud = Cloud::new(rps, list_lag_s);
        cloud.instance_types = vec![instance_type(
            machines.cpus,
            machines.memory_gb,
            machines.boot_s,
        )];
        for zone in &zones {
            let owned = machines.owned.iter().filter(|z| *z == zone).count() as u32;
            let key = |spot| CapacityPool::new(SHAPE, zone.clone(), spot);
            cloud.capacity.insert(key(false), owned + machines.spare);
            cloud.capacity.insert(key(true), machines.spare);
        }
        cloud.zones = zones;
        for zone in &machines.owned {
            cloud.add(micros(now), &CapacityPool::new(SHAPE, zone, false), Some(0));
        }
        let rng = StdRng::seed_from_u64(seed);
        let flows = FlowCounter::default();
        let booting = BTreeMap::new();
        let cut_off = HeldControllers::default();
        CloudRole {
            cloud,
            rng,
            booting,
            flows,
            links,
            cut_off,
        }
    }

    fn apply_command(&mut self, now: Micros, command: Command) {
        match command {
            Command::Endpoint { machine, address } => {
                self.cloud.endpoints.insert(machine, address.to_string());
            }
            Command::Failed { machine } => {
                if let Some(host) = self.cloud.instances.get_mut(&machine) {
                    host.failed_at = Some(now + FAILED_LISTED);
                }
            }
            Command::HoldControllers {
                controllers,
                seconds,
            } => {
                self.cut_off
                    .hold(&controllers, now + (seconds * 1e6) as Micros);
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
            self.links.records.send(&Record::Gone { machine });
        }
        let ready: Vec<u64> = self
            .booting
            .iter()
            .filter(|(_, up)| **up <= now)
            .map(|(id, _)| *id)
            .collect();
        for machine in ready {
            self.booting.remove(&machine);
            if let Some((host, _)) = self.cloud.booted(now, machine) {
                let (zone, spot) = (host.zone, host.spot);
                self.links.records.send(&Record::Booted {
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
        label: SHAPE.into(),
        cpus,
        memory_gb,
        price: 1.0,
        spot_price: 0.3,
        boot_s,
    }
}

fn kind(method: Method, path: &str) -> &'static str {
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
        door: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let (method, path) = (request.method, request.path.as_str());
        self.flows
            .request(id, kind(method, path), (method, path), request.body.len());
        let us = micros(now);
        // The request of a partitioned controller is dropped: it is never executed, and the
        // caller times out.
        if self.cut_off.is_held(door, us) {
            return;
        }
        let (status, body) = self
            .cloud
            .handle(us, method, path, &request.body, &mut self.rng);
        self.flows.answer(id, status, body.len());
        respond(out, id, (status, body));
        self.report_machines(us);
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, _out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(command) = self.links.command() {
            self.apply_command(us, command);
        }
        self.report_machines(us);
        for what in self.cloud.violations.drain(..) {
            self.links.records.send(&Record::ProtocolViolation { what });
        }
        let gauges = [("machines", self.cloud.instances.len() as f64)];
        self.links.report_counts(now, self.flows.flows(), &gauges);
    }
}
