//! A whole cluster on loopback: controllers as processes of their own, and the
//! platform they need in this process. What a newcomer starts and what the lab
//! kills are the same.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

pub mod controllers;
pub mod deployment;

use crate::controllers::{ControllerProgram, Controllers};
use crate::deployment::{Deployment, Links, NodePlace, PlatformLimits, TeamPlan};
use beamhinge_core::settings;
use beamhinge_emulator::cloud::{CapacityPool, InstanceType};
use beamhinge_emulator::platform::{Platform, PlatformConfig, PlatformFault};
use beamhinge_emulator::processes::Processes;
use beamhinge_emulator::worker_pool::MachineObserver;
use beamhinge_emulator::ProtocolFaults;
use beamhinge_transport::{EventLoop, EventLoopError, Listener, ListenerKind, NetworkConfig};
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::JoinHandle;

#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    #[error("cannot start {0}: {1}")]
    Start(PathBuf, io::Error),
    #[error("the stand-ins cannot start: {0}. Is another cluster running on these ports?")]
    Platform(#[from] EventLoopError),
    #[error("the stand-ins cannot start: {0}")]
    Kept(io::Error),
}

/// How a cluster is made.
pub struct ClusterPlan {
    /// Controllers, named by letters from `a`.
    pub nodes: usize,
    /// Machines that are there from the start, all of one type.
    pub machines: usize,
    /// Machines of each zone that can be rented beside them.
    pub rentable: u32,
    /// CPUs and boot time of a machine.
    pub cpus: f64,
    pub boot_s: f64,
    pub dir: PathBuf,
    pub port: u16,
    /// Keep the state over an end.
    pub kept: bool,
    /// The program that is a controller, and its first arguments.
    pub controller: (PathBuf, Vec<String>),
    /// How tasks' command lines are run; without it every task sleeps.
    pub keeper: Option<Vec<String>>,
    pub teams: Vec<(String, f64, f64)>,
    pub protocol_faults: ProtocolFaults,
    /// Beside `[operators] listen`, lines of the operators' INI.
    pub operators: String,
    pub log_level: String,
    pub seed: u64,
}

/// Doors for workers: as many machines may be there at once.
const MAX_WORKERS: u16 = 58;
const ZONES: [&str; 2] = ["north", "south"];
/// The platform of a newcomer's cluster: quick, so that a first look shows something.
const LIMITS: PlatformLimits = PlatformLimits {
    report_s: 0.5,
    lease_s: 4.0,
    cancel_s: 14.0,
    state_rps: 400.0,
    state_write_rps: 200.0,
    value_kb: 32.0,
    txn_ops: 32,
    cloud_rps: 20.0,
    list_lag_s: 0.2,
    ram_mb: 256.0,
    connections: 600,
};

pub struct Cluster {
    plan: ClusterPlan,
    controllers: Controllers,
    go: Arc<AtomicBool>,
    platform: Option<JoinHandle<()>>,
    faults: mpsc::Sender<PlatformFault>,
}

fn local(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn label(i: usize) -> char {
    char::from(b'a' + (i % 26) as u8)
}

impl ClusterPlan {
    fn at(&self, node: usize, what: u16) -> SocketAddrV4 {
        local(self.port + 10 * (node as u16 + 1) + what)
    }
    /// Where a controller serves operators, users, and its peers.
    pub fn operators_of(&self, node: usize) -> SocketAddrV4 {
        self.at(node, 0)
    }
    pub fn users_of(&self, node: usize) -> SocketAddrV4 {
        self.at(node, 1)
    }
    fn peers_of(&self, node: usize) -> SocketAddrV4 {
        self.at(node, 2)
    }
    pub fn state(&self) -> SocketAddrV4 {
        local(self.port + 1)
    }
    pub fn cloud(&self) -> SocketAddrV4 {
        local(self.port + 2)
    }

    fn deployment(&self) -> Deployment {
        let place = |node: usize| NodePlace {
            label: label(node).to_string(),
            zone: ZONES[node % 2].to_string(),
            users: self.users_of(node),
            peers: self.peers_of(node),
            operators: self.operators_of(node),
        };
        let team = |(name, cpus, cpus_max): &(String, f64, f64)| TeamPlan {
            name: name.clone(),
            cpus: *cpus,
            cpus_max: *cpus_max,
        };
        Deployment {
            nodes: (0..self.nodes).map(place).collect(),
            zones: ZONES.iter().map(|z| z.to_string()).collect(),
            teams: self.teams.iter().map(team).collect(),
            limits: LIMITS,
        }
    }

    fn links(&self) -> Links {
        let peers = (0..self.nodes).map(|n| self.peers_of(n)).collect();
        Links {
            state: self.state(),
            cloud: self.cloud(),
            peers,
        }
    }

    fn platform(&self, settings: &settings::Settings) -> PlatformConfig {
        let p = &settings.params;
        let zone = |i: usize| ZONES[i % 2].to_string();
        let each =
            |spot: bool, n: u32| (0..2).map(move |z| (CapacityPool::new("m", zone(z), spot), n));
        PlatformConfig {
            controllers: (0..self.nodes).map(|n| self.users_of(n)).collect(),
            worker_addresses: (0..MAX_WORKERS)
                .map(|w| local(self.port + 42 + w))
                .collect(),
            workers: p.workers.clone(),
            state: p.state.clone(),
            cloud: p.cloud.clone(),
            instance_types: vec![InstanceType {
                label: "m".into(),
                cpus: self.cpus,
                memory_gb: self.cpus * 4.0,
                price: 1.0,
                spot_price: 0.3,
                boot_s: self.boot_s,
            }],
            zones: ZONES.iter().map(|z| z.to_string()).collect(),
            capacity: each(true, self.rentable)
                .chain(each(false, self.rentable / 2))
                .collect(),
            owned: (0..self.machines)
                .map(|i| CapacityPool::new("m", zone(i), false))
                .collect(),
            state_log: self.kept.then(|| self.dir.join("state.log")),
            processes: self
                .keeper
                .clone()
                .map(|keeper| Processes::new(Some(self.dir.join("output")), keeper)),
            protocol_faults: self.protocol_faults,
            seed: self.seed,
            faults: None,
        }
    }
}

impl Cluster {
    /// Writes the settings, starts the platform and all controllers.
    pub fn start(plan: ClusterPlan, observer: MachineObserver) -> Result<Cluster, ClusterError> {
        std::fs::create_dir_all(&plan.dir).map_err(|e| ClusterError::File(plan.dir.clone(), e))?;
        let (deployment, links) = (plan.deployment(), plan.links());
        let mut controllers = Controllers::new(ControllerProgram {
            program: plan.controller.clone(),
            dir: plan.dir.clone(),
            log_level: plan.log_level.clone(),
        });
        for (node, place) in deployment.nodes.iter().enumerate() {
            let text = deployment.settings(node, &links);
            controllers.add(&place.label, &text, (place.operators, &plan.operators))?;
        }
        let text = deployment.settings(0, &links);
        let sound = settings::Settings::parse("the cluster's settings", &text)
            .map_err(|e| ClusterError::Kept(io::Error::other(e)))?;
        let (faults, suffered) = mpsc::channel();
        let platform = PlatformConfig {
            faults: Some(suffered),
            ..plan.platform(&sound)
        };
        let mut listeners = vec![plan.state(), plan.cloud()];
        listeners.extend(&platform.worker_addresses);
        let wiring = NetworkConfig {
            listeners: listeners
                .into_iter()
                .map(|addr| Listener {
                    addr,
                    kind: ListenerKind::Platform,
                })
                .collect(),
            peers: None,
            members: Vec::new(),
            external: settings::ExternalServices {
                cloud: plan.cloud(),
                state: plan.state(),
            },
            max_connections: 2_000,
        };
        let go = Arc::new(AtomicBool::new(true));
        let (told, hear) = mpsc::channel();
        let running = go.clone();
        // The loop is made where it runs: what it holds stays on one thread.
        let thread = std::thread::spawn(move || {
            let mut made = Ok(());
            let net = EventLoop::try_new(wiring, |now| Platform::new(platform, observer, now));
            match net {
                Ok(Ok(net)) => {
                    let _ = told.send(made);
                    let _ = net.run_while(|| running.load(Ordering::Relaxed));
                }
                Ok(Err(e)) => {
                    made = Err(ClusterError::Kept(e));
                    let _ = told.send(made);
                }
                Err(e) => {
                    made = Err(ClusterError::Platform(e));
                    let _ = told.send(made);
                }
            }
        });
        hear.recv().unwrap_or(Ok(()))?;
        let mut cluster = Cluster {
            plan,
            controllers,
            go,
            platform: Some(thread),
            faults,
        };
        for node in 0..cluster.plan.nodes {
            cluster.start_node(node)?;
        }
        Ok(cluster)
    }

    pub fn plan(&self) -> &ClusterPlan {
        &self.plan
    }

    pub fn start_node(&mut self, node: usize) -> Result<(), ClusterError> {
        self.controllers.start(node)
    }

    /// Ends a controller as a power cut would.
    pub fn kill_node(&mut self, node: usize) {
        self.controllers.kill(node);
    }

    pub fn trouble(&self, trouble: PlatformFault) {
        // A platform that is gone has no more troubles.
        let _ = self.faults.send(trouble);
    }

    /// Controllers that ended by themselves, which they never should.
    pub fn fallen(&mut self) -> Vec<usize> {
        self.controllers.fallen()
    }

    pub fn log_of(&self, node: usize) -> PathBuf {
        self.controllers.log_of(node)
    }

    /// Process ids of the controllers that run.
    pub fn processes(&self) -> Vec<u32> {
        self.controllers.pids()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.plan.nodes).for_each(|node| self.kill_node(node));
        self.go.store(false, Ordering::Relaxed);
        if let Some(thread) = self.platform.take() {
            let _ = thread.join();
        }
    }
}
