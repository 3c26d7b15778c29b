//! Environment of an experiment: free ports, a temporary folder, a cluster and its clients.

use crate::TestbedError;
use beamhinge_client::{Client, Timeouts};
use beamhinge_dev_cluster::deployment::TeamPlan;
use beamhinge_dev_cluster::{Cluster, ClusterPlan};
use beamhinge_emulator::worker_pool::MachineObserver;
use beamhinge_emulator::ProtocolFaults;
use std::net::{SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Settings that all experiments share.
pub(crate) struct TestContext {
    pub seed: u64,
    /// Program and leading arguments of a controller process.
    pub controller: (PathBuf, Vec<String>),
}

/// Returns the program and leading arguments of a controller: the named program, otherwise
/// `beamhinged` in the directory of this program, otherwise this program itself.
pub(crate) fn controller_command(explicit_program: &Option<PathBuf>) -> (PathBuf, Vec<String>) {
    let current_program =
        std::env::current_exe().unwrap_or_else(|_| PathBuf::from("beamhinge-testbed"));
    let sibling = current_program.with_file_name("beamhinged");
    match explicit_program {
        Some(path) if path.as_os_str() == "self" => (current_program, vec!["controller".into()]),
        Some(path) => (path.clone(), Vec::new()),
        None if sibling.exists() => (sibling, Vec::new()),
        None => (current_program, vec!["controller".into()]),
    }
}

/// A temporary folder that is removed when the experiment ends.
pub(crate) struct Folder(pub PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Result<Folder, TestbedError> {
        let dir =
            std::env::temp_dir().join(format!("beamhinge-testbed-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(Folder(dir))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// First port and number of the blocks of 100 ports that experiments use. They lie below the
/// ephemeral ports, which the system assigns one by one to outgoing connections.
const FIRST_BLOCK_PORT: u16 = 12_000;
const PORT_BLOCK_COUNT: u32 = 200;

/// Returns the first port of a block of 100 free ports.
pub(crate) fn find_free_port_block() -> u16 {
    let start = std::process::id() % PORT_BLOCK_COUNT;
    let bases = (0..PORT_BLOCK_COUNT)
        .map(|i| FIRST_BLOCK_PORT + ((start + i * 7) % PORT_BLOCK_COUNT) as u16 * 100);
    let free =
        |base: &u16| (*base..*base + 100).all(|p| TcpListener::bind(("127.0.0.1", p)).is_ok());
    bases.into_iter().find(free).unwrap_or(FIRST_BLOCK_PORT)
}

/// The default cluster plan, which experiments adapt.
pub(crate) fn plan(context: &TestContext, dir: &Path) -> ClusterPlan {
    let team = |name: &str, cpus_max| TeamPlan {
        name: name.into(),
        cpus: 0.0,
        cpus_max,
    };
    ClusterPlan {
        nodes: 3,
        machines: 8,
        rentable: 2,
        cpus: 16.0,
        boot_s: 1.0,
        dir: dir.to_path_buf(),
        port: find_free_port_block(),
        kept: false,
        controller: context.controller.clone(),
        task_runner: None,
        teams: vec![team("home", 0.0), team("small", 4.0)],
        protocol_faults: ProtocolFaults::default(),
        operators: "rps = 2000\nconnections = 64\nwaiting = 512\n".into(),
        log_level: "info".into(),
        seed: context.seed,
    }
}

/// Starts a cluster and waits until it answers.
pub(crate) fn start(plan: ClusterPlan, observer: MachineObserver) -> Result<Cluster, TestbedError> {
    let cluster = Cluster::start(plan, observer)?;
    let mut client = client(&cluster, 30.0);
    match client.summary() {
        Ok(_) => Ok(cluster),
        Err(e) => {
            let log = std::fs::read_to_string(cluster.log_path(0)).unwrap_or_default();
            let end: Vec<&str> = log.lines().rev().take(5).collect();
            Err(TestbedError::Other(format!(
                "{e}; the first controller's last lines: {end:?}"
            )))
        }
    }
}

pub(crate) fn admin_listeners(cluster: &Cluster) -> Vec<SocketAddrV4> {
    (0..cluster.plan().nodes)
        .map(|n| cluster.plan().admin_address(n))
        .collect()
}

pub(crate) fn client(cluster: &Cluster, total_s: f64) -> Client {
    new_client(&admin_listeners(cluster), total_s)
}

pub(crate) fn new_client(admin_listeners: &[SocketAddrV4], total_s: f64) -> Client {
    let timeouts = Timeouts {
        total: Duration::from_secs_f64(total_s),
        per_attempt: Duration::from_secs_f64(total_s.min(3.0)),
    };
    Client::new(admin_listeners, None, timeouts, |_| {})
}

/// Polls a condition until it holds or the time runs out. Returns whether it holds.
pub(crate) fn wait_until(seconds: f64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    condition()
}

/// Current and peak resident memory of a process, in MB.
pub(crate) fn memory_mb(pid: u32) -> (f64, f64) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = text.lines().find(|l| l.starts_with(name));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    };
    (field("VmRSS:"), field("VmHWM:"))
}
