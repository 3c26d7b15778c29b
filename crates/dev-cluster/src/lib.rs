//! A whole cluster on loopback: controllers as processes of their own, and the platform that
//! they need in this process. What a newcomer starts and what the testbed kills are the same.

pub mod controllers;
pub mod deployment;

use crate::controllers::{ControllerFiles, ControllerProgram, Controllers};
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

/// Why a cluster could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// A file could not be written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// A controller's program could not be started.
    #[error("cannot start {0}: {1}")]
    Start(PathBuf, io::Error),
    /// The platform cannot listen.
    #[error("the stand-ins cannot start: {0}. Is another cluster running on these ports?")]
    Platform(#[from] EventLoopError),
    /// The state service's log cannot be used.
    #[error("the stand-ins cannot start: {0}")]
    Kept(io::Error),
    /// The settings that were written are not accepted.
    #[error("the stand-ins cannot start: {0}")]
    Settings(#[from] settings::SettingsError),
}

/// How a cluster is made.
pub struct ClusterPlan {
    /// Controllers, named by letters from `a`.
    pub nodes: usize,
    /// Machines that are there from the start, all of one type.
    pub machines: usize,
    /// Machines of each zone that can be rented beside them.
    pub rentable: u32,
    /// CPUs of a machine.
    pub cpus: f64,
    /// Boot time of a machine, seconds.
    pub boot_s: f64,
    /// Where settings, logs and state are written.
    pub dir: PathBuf,
    /// First of a hundred ports.
    pub port: u16,
    /// Keep the state over an end.
    pub kept: bool,
    /// The program that is a controller, and its first arguments.
    pub controller: (PathBuf, Vec<String>),
    /// How tasks' command lines are run; without it every task sleeps.
    pub keeper: Option<Vec<String>>,
    /// All teams.
    pub teams: Vec<TeamPlan>,
    /// Violations of the protocol by the emulators that are asked for.
    pub protocol_faults: ProtocolFaults,
    /// Beside `[operators] listen`, lines of the operators' INI.
    pub operators: String,
    /// What controllers log: a level or a filter.
    pub log_level: String,
    /// Of all draws of the platform.
    pub seed: u64,
}

/// Machines that may be there at once: so many addresses are kept for workers.
const MAX_WORKERS: u16 = 58;
const ZONES: [&str; 2] = ["north", "south"];
/// The one type of machine.
const MACHINE_TYPE: &str = "m";
/// Memory of a machine, GB for each CPU.
const MEMORY_PER_CPU_GB: f64 = 4.0;
/// Sockets that the platform may have open.
const MAX_PLATFORM_CONNECTIONS: usize = 2_000;
/// Time between a worker's reports, seconds.
const REPORT_S: f64 = 0.5;
/// Sockets that a controller may have open.
const MAX_CONNECTIONS: u32 = 600;
/// The platform of a newcomer's cluster: quick, so that a first look shows something.
const LIMITS: PlatformLimits = PlatformLimits {
    lease_s: 4.0,
    cancel_s: 14.0,
    state_rps: 400.0,
    state_write_rps: 200.0,
    value_kb: 32.0,
    txn_ops: 32,
    cloud_rps: 20.0,
    list_lag_s: 0.2,
    ram_mb: 256.0,
};

/// A cluster that runs; dropping it ends everything.
pub struct Cluster {
    plan: ClusterPlan,
    controllers: Controllers,
    running: Arc<AtomicBool>,
    platform: Option<JoinHandle<()>>,
    /// Faults for the platform.
    faults: mpsc::Sender<PlatformFault>,
}

fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn label(i: usize) -> char {
    char::from(b'a' + (i % 26) as u8)
}

impl ClusterPlan {
    fn address_of(&self, node: usize, listener: u16) -> SocketAddrV4 {
        loopback(self.port + 10 * (node as u16 + 1) + listener)
    }

    /// Where a controller serves operators.
    #[must_use]
    pub fn operators_of(&self, node: usize) -> SocketAddrV4 {
        self.address_of(node, 0)
    }

    /// Where a controller serves users and workers.
    #[must_use]
    pub fn users_of(&self, node: usize) -> SocketAddrV4 {
        self.address_of(node, 1)
    }

    fn peers_of(&self, node: usize) -> SocketAddrV4 {
        self.address_of(node, 2)
    }

    /// Where the state service listens.
    #[must_use]
    pub fn state(&self) -> SocketAddrV4 {
        loopback(self.port + 1)
    }

    /// Where the cloud listens.
    #[must_use]
    pub fn cloud(&self) -> SocketAddrV4 {
        loopback(self.port + 2)
    }

    fn deployment(&self) -> Deployment {
        let place = |node: usize| NodePlace {
            label: label(node).to_string(),
            zone: ZONES[node % 2].to_string(),
            users: self.users_of(node),
            peers: self.peers_of(node),
            operators: self.operators_of(node),
        };
        Deployment {
            nodes: (0..self.nodes).map(place).collect(),
            zones: ZONES.map(String::from).to_vec(),
            teams: self.teams.clone(),
            limits: LIMITS,
            report_s: REPORT_S,
            max_connections: MAX_CONNECTIONS,
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

    /// What the platform listens on.
    fn network(&self, platform: &PlatformConfig) -> NetworkConfig {
        let mut addresses = vec![self.state(), self.cloud()];
        addresses.extend(&platform.worker_addresses);
        let listener = |addr| Listener {
            addr,
            kind: ListenerKind::Platform,
        };
        NetworkConfig {
            listeners: addresses.into_iter().map(listener).collect(),
            peers: None,
            members: Vec::new(),
            external: settings::ExternalServices {
                cloud: self.cloud(),
                state: self.state(),
            },
            max_connections: MAX_PLATFORM_CONNECTIONS,
        }
    }

    fn platform(&self, settings: &settings::Settings) -> PlatformConfig {
        let p = &settings.params;
        let zone = |i: usize| ZONES[i % 2].to_string();
        let each = |spot: bool, n: u32| {
            (0..2).map(move |z| (CapacityPool::new(MACHINE_TYPE, zone(z), spot), n))
        };
        PlatformConfig {
            controllers: (0..self.nodes).map(|n| self.users_of(n)).collect(),
            worker_addresses: (0..MAX_WORKERS)
                .map(|w| loopback(self.port + 42 + w))
                .collect(),
            workers: p.workers.clone(),
            state: p.state.clone(),
            cloud: p.cloud.clone(),
            instance_types: vec![InstanceType {
                label: MACHINE_TYPE.into(),
                cpus: self.cpus,
                memory_gb: self.cpus * MEMORY_PER_CPU_GB,
                price: 1.0,
                spot_price: 0.3,
                boot_s: self.boot_s,
            }],
            zones: ZONES.map(String::from).to_vec(),
            capacity: each(true, self.rentable)
                .chain(each(false, self.rentable / 2))
                .collect(),
            owned: (0..self.machines)
                .map(|i| CapacityPool::new(MACHINE_TYPE, zone(i), false))
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
    /// Writes the settings, starts the platform and all controllers. `observer` hears of what
    /// happens on machines.
    ///
    /// # Errors
    /// When a file cannot be written, the platform cannot listen, or a controller's program
    /// cannot be started.
    pub fn start(plan: ClusterPlan, observer: MachineObserver) -> Result<Cluster, ClusterError> {
        std::fs::create_dir_all(&plan.dir).map_err(|e| ClusterError::File(plan.dir.clone(), e))?;
        let controllers = write_settings(&plan)?;
        let (faults, incoming) = mpsc::channel();
        let running = Arc::new(AtomicBool::new(true));
        let platform = start_platform(&plan, incoming, observer, running.clone())?;
        let mut cluster = Cluster {
            plan,
            controllers,
            running,
            platform: Some(platform),
            faults,
        };
        for node in 0..cluster.plan.nodes {
            cluster.start_node(node)?;
        }
        Ok(cluster)
    }

    /// How the cluster was made.
    #[must_use]
    pub fn plan(&self) -> &ClusterPlan {
        &self.plan
    }

    /// Starts a controller, if it does not run.
    ///
    /// # Errors
    /// When its program cannot be started.
    pub fn start_node(&mut self, node: usize) -> Result<(), ClusterError> {
        self.controllers.start(node)
    }

    /// Ends a controller as a power cut would.
    pub fn kill_node(&mut self, node: usize) {
        self.controllers.kill(node);
    }

    /// Has the platform suffer a fault.
    pub fn inject(&self, fault: PlatformFault) {
        // A platform that is gone has no more faults.
        let _ = self.faults.send(fault);
    }

    /// Controllers that ended by themselves, which they never should.
    pub fn reap_exited(&mut self) -> Vec<usize> {
        self.controllers.reap_exited()
    }

    /// Where a controller logs.
    #[must_use]
    pub fn log_of(&self, node: usize) -> PathBuf {
        self.controllers.log_of(node)
    }

    /// Process ids of the controllers that run.
    #[must_use]
    pub fn processes(&self) -> Vec<u32> {
        self.controllers.pids()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.plan.nodes).for_each(|node| self.kill_node(node));
        self.running.store(false, Ordering::Relaxed);
        if let Some(thread) = self.platform.take() {
            let _ = thread.join();
        }
    }
}

/// Writes the files of all controllers.
fn write_settings(plan: &ClusterPlan) -> Result<Controllers, ClusterError> {
    let (deployment, links) = (plan.deployment(), plan.links());
    let mut controllers = Controllers::new(ControllerProgram {
        program: plan.controller.clone(),
        dir: plan.dir.clone(),
        log_level: plan.log_level.clone(),
    });
    for (node, place) in deployment.nodes.iter().enumerate() {
        let files = ControllerFiles {
            label: &place.label,
            settings: &deployment.settings(node, &links),
            operators: place.operators,
            operator_lines: &plan.operators,
        };
        controllers.add(&files)?;
    }
    Ok(controllers)
}

/// Starts the platform on a thread of its own, until `running` is false.
fn start_platform(
    plan: &ClusterPlan,
    faults: mpsc::Receiver<PlatformFault>,
    observer: MachineObserver,
    running: Arc<AtomicBool>,
) -> Result<JoinHandle<()>, ClusterError> {
    let text = plan.deployment().settings(0, &plan.links());
    let settings = settings::Settings::parse("the cluster's settings", &text)?;
    let platform = PlatformConfig {
        faults: Some(faults),
        ..plan.platform(&settings)
    };
    let network = plan.network(&platform);
    let (started, outcome) = mpsc::channel();
    // The loop is made where it runs: what it holds stays on one thread.
    let thread = std::thread::spawn(move || {
        let made = EventLoop::try_new(network, |now| Platform::new(platform, observer, now));
        let event_loop = match made {
            Ok(Ok(event_loop)) => event_loop,
            Ok(Err(error)) => {
                let _ = started.send(Err(ClusterError::Kept(error)));
                return;
            }
            Err(error) => {
                let _ = started.send(Err(ClusterError::Platform(error)));
                return;
            }
        };
        let _ = started.send(Ok(()));
        let _ = event_loop.run_while(|| running.load(Ordering::Relaxed));
    });
    outcome.recv().unwrap_or(Ok(()))?;
    Ok(thread)
}
