//! Addresses and zones of all processes of a scale run. Everything listens on loopback addresses;
//! each worker process has a loopback network for its workers.

use super::size::Size;
use super::workload::team_name;
use beamhinge_dev_cluster::deployment::{ControllerAddresses, Deployment, Links, TeamPlan};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// Most workers of one process; one thread can't serve more.
const MAX_WORKERS_PER_PROCESS: usize = 525;
/// Additional addresses for replacement machines, as a fraction of the workers.
const SPARE_ADDRESS_FRACTION: f64 = 0.1;
/// Second byte of the first loopback network for workers.
const WORKER_NETWORK: u8 = 64;
/// Addresses used per /24 network, so that neither .0 nor .255 is used.
const ADDRESSES_PER_NETWORK: usize = 250;
/// Offsets of ports from the base port.
const STATE_PORT_OFFSET: u16 = 30;
const CLOUD_PORT_OFFSET: u16 = 60;
const WORKER_PORT_OFFSET: u16 = 99;

/// Guarantee of a team, and its limit, as multiples of an equal share of the fleet for each team.
pub(super) const GUARANTEE_FACTOR: f64 = 0.5;
pub(super) const LIMIT_FACTOR: f64 = 20.0;

pub(super) struct Layout {
    pub size: Size,
    base_port: u16,
    /// Workers that run tasks as processes; they share a separate worker process.
    pub real_workers: usize,
}

fn loopback(second: u8, third: u8, fourth: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, second, third, fourth), port)
}

impl Layout {
    pub(super) fn new(size: Size, base_port: u16, real_workers: usize) -> Layout {
        let real_workers = real_workers.min(size.workers.saturating_sub(1));
        Layout {
            size,
            base_port,
            real_workers,
        }
    }

    /// Number of worker processes: one for the workers that run tasks as processes, if there are
    /// any, and a few with many workers each for the others.
    pub(super) fn worker_processes(&self) -> usize {
        usize::from(self.real_workers > 0) + self.timer_processes()
    }

    fn timer_processes(&self) -> usize {
        (self.size.workers - self.real_workers).div_ceil(MAX_WORKERS_PER_PROCESS)
    }

    pub(super) fn runs_processes(&self, process: usize) -> bool {
        self.real_workers > 0 && process == 0
    }

    /// Number of workers of a worker process at the start.
    fn initial_workers(&self, process: usize) -> usize {
        if self.runs_processes(process) {
            return self.real_workers;
        }
        (self.size.workers - self.real_workers).div_ceil(self.timer_processes())
    }

    /// Index of the worker process that has the worker of a machine.
    pub(super) fn process_of(&self, machine: u64) -> usize {
        let machine = machine as usize;
        if machine < self.real_workers {
            return 0;
        }
        usize::from(self.real_workers > 0) + (machine - self.real_workers) % self.timer_processes()
    }

    /// Addresses for the workers of a process, including spare ones.
    pub(super) fn worker_addresses(&self, process: usize) -> Vec<SocketAddrV4> {
        let spare =
            (self.initial_workers(process) as f64 * SPARE_ADDRESS_FRACTION).ceil() as usize + 2;
        let indexes = 0..self.initial_workers(process) + spare;
        indexes
            .map(|index| self.worker_address(process, index))
            .collect()
    }

    /// The address at `index` of a worker process.
    pub(super) fn worker_address(&self, process: usize, index: usize) -> SocketAddrV4 {
        let (third, fourth) = (
            (index / ADDRESSES_PER_NETWORK) as u8,
            (index % ADDRESSES_PER_NETWORK) as u8 + 1,
        );
        let port = self.base_port + WORKER_PORT_OFFSET;
        loopback(WORKER_NETWORK + process as u8, third, fourth, port)
    }

    pub(super) fn state_addresses(&self) -> Vec<SocketAddrV4> {
        self.control_addresses(STATE_PORT_OFFSET)
    }

    pub(super) fn cloud_addresses(&self) -> Vec<SocketAddrV4> {
        self.control_addresses(CLOUD_PORT_OFFSET)
    }

    fn control_addresses(&self, first: u16) -> Vec<SocketAddrV4> {
        let port = |node: usize| self.base_port + first + node as u16;
        (0..self.size.controllers)
            .map(|node| loopback(0, 0, 1, port(node)))
            .collect()
    }

    /// Address of the relay for frames from one controller to another.
    pub(super) fn relay_address(&self, from: usize, to: usize) -> SocketAddrV4 {
        loopback(1, 0, from as u8 + 1, self.base_port + to as u16)
    }

    pub(super) fn zones(&self) -> Vec<String> {
        (0..self.size.zones)
            .map(|zone| self.size.zone_name(zone))
            .collect()
    }

    /// Zone of a controller. Controllers are spread over the regions first, then over the zones of
    /// each region.
    pub(super) fn zone_of_controller(&self, node: usize) -> usize {
        let region = node % self.size.regions;
        let zones: Vec<usize> = (0..self.size.zones)
            .filter(|z| self.size.region_of(*z) == region)
            .collect();
        zones[(node / self.size.regions) % zones.len()]
    }

    pub(super) fn controllers_in_region(&self, region: usize) -> Vec<usize> {
        let in_region =
            |node: &usize| self.size.region_of(self.zone_of_controller(*node)) == region;
        (0..self.size.controllers).filter(in_region).collect()
    }

    pub(super) fn zones_in_region(&self, region: usize) -> Vec<String> {
        let in_region = |zone: &usize| self.size.region_of(*zone) == region;
        (0..self.size.zones)
            .filter(in_region)
            .map(|zone| self.size.zone_name(zone))
            .collect()
    }

    /// Zones of the machines that exist from the start, one entry per machine.
    pub(super) fn initial_machine_zones(&self) -> Vec<String> {
        (0..self.size.workers)
            .map(|machine| self.size.zone_name(machine % self.size.zones))
            .collect()
    }

    pub(super) fn deployment(&self) -> Deployment {
        let size = &self.size;
        let controller_addresses = |node: usize| ControllerAddresses {
            label: char::from(b'a' + node as u8).to_string(),
            zone: size.zone_name(self.zone_of_controller(node)),
            operators: loopback(0, 0, 2, self.base_port + node as u16),
            users: loopback(0, 0, 3, self.base_port + node as u16),
            peers: loopback(0, 0, 4, self.base_port + node as u16),
        };
        let share = size.workers as f64 * size.machine.cpus / size.teams as f64;
        let team = |n| TeamPlan {
            name: team_name(n),
            cpus: share * GUARANTEE_FACTOR,
            cpus_max: share * LIMIT_FACTOR,
        };
        Deployment {
            nodes: (0..size.controllers).map(controller_addresses).collect(),
            zones: self.zones(),
            teams: (0..size.teams).map(team).collect(),
            limits: size.platform,
            report_s: size.report_s,
            max_connections: self.max_connections() as u32,
        }
    }

    /// Most sockets of a controller: one for each worker, and a reserve for users, peers and
    /// connections that are about to close.
    pub(super) fn max_connections(&self) -> usize {
        self.size.workers * 3 / 2 + 1_000
    }

    pub(super) fn links(&self, node: usize) -> Links {
        Links {
            state: self.state_addresses()[node],
            cloud: self.cloud_addresses()[node],
            peers: (0..self.size.controllers)
                .map(|to| self.relay_address(node, to))
                .collect(),
        }
    }

    /// The first address that another program already listens on, if any. Of each worker process,
    /// only the first address is checked.
    pub(super) fn address_in_use(&self) -> Option<SocketAddrV4> {
        let deployment = self.deployment();
        let nodes = deployment
            .nodes
            .iter()
            .flat_map(|n| [n.operators, n.users, n.peers]);
        let first_workers =
            (0..self.worker_processes()).map(|process| self.worker_address(process, 0));
        nodes
            .chain(self.state_addresses())
            .chain(self.cloud_addresses())
            .chain(first_workers)
            .find(|address| TcpListener::bind(address).is_err())
    }
}

#[cfg(test)]
mod tests;
