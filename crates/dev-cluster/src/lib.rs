//! A complete cluster on loopback: each controller is a separate process, and the emulated
//! platform runs in this process. The local cluster of the CLI and the testbed both use it.

pub mod controllers;
pub mod deployment;

use crate::controllers::{ControllerFiles, ControllerProgram, Controllers};
use crate::deployment::{ControllerAddresses, Deployment, Links, PlatformLimits, TeamPlan};
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
    #[error("cannot start the emulated platform: {0}. Is another cluster running on these ports?")]
    Platform(#[from] EventLoopError),
    /// The log of the state service cannot be read or written.
    #[error("cannot start the emulated platform: log of the state service: {0}")]
    StateLog(io::Error),
    /// The generated settings are invalid.
    #[error("cannot start the emulated platform: {0}")]
    Settings(#[from] settings::SettingsError),
}

/// Configuration of a cluster.
pub struct ClusterPlan {
    /// Number of controllers; their labels are letters starting at `a`.
    pub nodes: usize,
    /// Number of owned machines, all of one type.
    pub machines: usize,
    /// Number of spot machines that can be rented in each zone, in addition to the owned ones; half
    /// as many on-demand machines, rounded down, can be rented too.
    pub rentable: u32,
    /// CPUs of a machine.
    pub cpus: f64,
    /// Boot time of a machine, seconds.
    pub boot_s: f64,
    /// Directory of the settings, logs and state.
    pub dir: PathBuf,
    /// First of 100 consecutive ports that the cluster uses.
    pub port: u16,
    /// Whether the state survives a restart of the cluster.
    pub kept: bool,
    /// Path of the controller's program and its first arguments.
    pub controller: (PathBuf, Vec<String>),
    /// Program and first arguments that run the command lines of tasks; if `None`, tasks are
    /// timers.
    pub task_runner: Option<Vec<String>>,
    /// All teams.
    pub teams: Vec<TeamPlan>,
    /// Protocol violations that the emulators commit deliberately.
    pub protocol_faults: ProtocolFaults,
    /// Lines of the operators' INI file after `[operators] listen`.
    pub operators: String,
    /// Log level or filter of the controllers.
    pub log_level: String,
    /// Seed of the platform's random number generator.
    pub seed: u64,
}

/// Number of addresses reserved for workers, and so the maximum number of running machines.
const MAX_WORKERS: u16 = 58;
const ZONES: [&str; 2] = ["north", "south"];
/// Label of the only machine type.
const MACHINE_TYPE: &str = "m";
/// Memory of a machine, GB per CPU.
const MEMORY_PER_CPU_GB: f64 = 4.0;
/// Maximum number of open connections of the platform.
const MAX_PLATFORM_CONNECTIONS: usize = 2_000;
/// Time between a worker's reports, seconds.
const REPORT_S: f64 = 0.5;
/// Maximum number of open connections of a controller.
const MAX_CONNECTIONS: u32 = 600;
/// Limits of the platform of a local cluster. Its timings are short, so that a new user sees
/// results quickly.
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

/// A running cluster; dropping it stops all its processes and the platform.
pub struct Cluster {
    plan: ClusterPlan,
    controllers: Controllers,
    running: Arc<AtomicBool>,
    platform: Option<JoinHandle<()>>,
    /// Channel for faults to inject into the platform.
    faults: mpsc::Sender<PlatformFault>,
}

fn loopback(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), port)
}

fn controller_label(i: usize) -> char {
    char::from(b'a' + (i % 26) as u8)
}

impl ClusterPlan {
    fn address_of(&self, controller: usize, listener: u16) -> SocketAddrV4 {
        loopback(self.port + 10 * (controller as u16 + 1) + listener)
    }

    /// Address on which a controller serves operators.
    #[must_use]
    pub fn admin_address(&self, controller: usize) -> SocketAddrV4 {
        self.address_of(controller, 0)
    }

    /// Address on which a controller serves users and workers.
    #[must_use]
    pub fn user_address(&self, controller: usize) -> SocketAddrV4 {
        self.address_of(controller, 1)
    }

    fn peer_address(&self, controller: usize) -> SocketAddrV4 {
        self.address_of(controller, 2)
    }

    /// Address of the state service.
    #[must_use]
    pub fn state(&self) -> SocketAddrV4 {
        loopback(self.port + 1)
    }

    /// Address of the cloud.
    #[must_use]
    pub fn cloud(&self) -> SocketAddrV4 {
        loopback(self.port + 2)
    }

    fn deployment(&self) -> Deployment {
        let place = |controller: usize| ControllerAddresses {
            label: controller_label(controller).to_string(),
            zone: ZONES[controller % 2].to_string(),
            users: self.user_address(controller),
            peers: self.peer_address(controller),
            operators: self.admin_address(controller),
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
        let peers = (0..self.nodes).map(|n| self.peer_address(n)).collect();
        Links {
            state: self.state(),
            cloud: self.cloud(),
            peers,
        }
    }

    /// The listeners and network settings of the platform.
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
        let pools = |spot: bool, n: u32| {
            (0..2).map(move |z| (CapacityPool::new(MACHINE_TYPE, zone(z), spot), n))
        };
        PlatformConfig {
            controllers: (0..self.nodes).map(|n| self.user_address(n)).collect(),
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
            capacity: pools(true, self.rentable)
                .chain(pools(false, self.rentable / 2))
                .collect(),
            owned: (0..self.machines)
                .map(|i| CapacityPool::new(MACHINE_TYPE, zone(i), false))
                .collect(),
            state_log: self.kept.then(|| self.dir.join("state.log")),
            processes: self
                .task_runner
                .clone()
                .map(|task_runner| Processes::new(Some(self.dir.join("output")), task_runner)),
            protocol_faults: self.protocol_faults,
            seed: self.seed,
            faults: None,
        }
    }
}

impl Cluster {
    /// Writes the settings and starts the platform and all controllers. `observer` is called for
    /// every task event on the machines.
    ///
    /// # Errors
    /// If a file cannot be written, the platform cannot listen, or a controller's program
    /// cannot be started.
    pub fn start(plan: ClusterPlan, observer: MachineObserver) -> Result<Cluster, ClusterError> {
        std::fs::create_dir_all(&plan.dir).map_err(|e| ClusterError::File(plan.dir.clone(), e))?;
        let controllers = write_settings(&plan)?;
        let (faults, fault_receiver) = mpsc::channel();
        let running = Arc::new(AtomicBool::new(true));
        let platform = start_platform(&plan, fault_receiver, observer, running.clone())?;
        let mut cluster = Cluster {
            plan,
            controllers,
            running,
            platform: Some(platform),
            faults,
        };
        for controller in 0..cluster.plan.nodes {
            cluster.start_controller(controller)?;
        }
        Ok(cluster)
    }

    /// The configuration of the cluster.
    #[must_use]
    pub fn plan(&self) -> &ClusterPlan {
        &self.plan
    }

    /// Starts a controller, if it does not run.
    ///
    /// # Errors
    /// If its log cannot be opened or its program cannot be started.
    pub fn start_controller(&mut self, controller: usize) -> Result<(), ClusterError> {
        self.controllers.start(controller)
    }

    /// Kills a controller without a shutdown, as a power failure would.
    pub fn kill_controller(&mut self, controller: usize) {
        self.controllers.kill(controller);
    }

    /// Injects a fault into the platform.
    pub fn inject(&self, fault: PlatformFault) {
        // Sending fails if the platform has stopped, in which case the fault has no effect.
        let _ = self.faults.send(fault);
    }

    /// Returns the controllers that have exited without being killed, which is always a fault.
    pub fn reap_exited(&mut self) -> Vec<usize> {
        self.controllers.reap_exited()
    }

    /// Path of a controller's log file.
    #[must_use]
    pub fn log_path(&self, controller: usize) -> PathBuf {
        self.controllers.log_path(controller)
    }

    /// Process ids of the running controllers.
    #[must_use]
    pub fn processes(&self) -> Vec<u32> {
        self.controllers.pids()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.plan.nodes).for_each(|controller| self.kill_controller(controller));
        self.running.store(false, Ordering::Relaxed);
        if let Some(thread) = self.platform.take() {
            let _ = thread.join();
        }
    }
}

/// Writes the settings files and operators' files of all controllers.
fn write_settings(plan: &ClusterPlan) -> Result<Controllers, ClusterError> {
    let (deployment, links) = (plan.deployment(), plan.links());
    let mut controllers = Controllers::new(ControllerProgram {
        program: plan.controller.clone(),
        dir: plan.dir.clone(),
        log_level: plan.log_level.clone(),
    });
    for (controller, place) in deployment.nodes.iter().enumerate() {
        let files = ControllerFiles {
            label: &place.label,
            settings: &deployment.settings(controller, &links),
            operators: place.operators,
            operator_lines: &plan.operators,
        };
        controllers.add(&files)?;
    }
    Ok(controllers)
}

/// Starts the platform on a new thread, where it runs until `running` is false.
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
    // The event loop is created on the thread that runs it, so that its contents stay on one
    // thread.
    let thread = std::thread::spawn(move || {
        let created = EventLoop::try_new(network, |now| Platform::new(platform, observer, now));
        let event_loop = match created {
            Ok(Ok(event_loop)) => event_loop,
            Ok(Err(error)) => {
                let _ = started.send(Err(ClusterError::StateLog(error)));
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
