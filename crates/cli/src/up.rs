//! `beamhinge up`: starts controllers, a key-value store, an emulated cloud and workers on
//! loopback, and stops them together.

use crate::arguments::UpOptions;
use beamhinge_client::config::UP_PORTS;
use beamhinge_client::{Client, Timeouts};
use beamhinge_dev_cluster::deployment::TeamPlan;
use beamhinge_dev_cluster::{Cluster, ClusterError, ClusterPlan};
use beamhinge_emulator::ProtocolFaults;
use rustix::fs::FlockOperation;
use rustix::process::{getpgrp, kill_process_group, set_parent_process_death_signal, Signal};
use std::fs::File;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reason why the cluster cannot be started or kept running.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpError {
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error("cannot determine the path of this executable: {0}")]
    CurrentExe(std::io::Error),
    #[error("neither XDG_STATE_HOME nor HOME is set: choose a state directory with --dir")]
    NoStateDir,
    #[error("{0} is used by a running cluster: stop it, or choose others with --dir and --port")]
    DirInUse(PathBuf),
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("no controller became leader within {0} s; see the log {1}")]
    NoLeader(u64, PathBuf),
    #[error("cannot install signal handlers: {0}")]
    Signals(std::io::Error),
}

/// Operator settings that allow quota changes at run time (`beamhinge set-quotas`).
const CONFIGURATION: &str = "[configuration]\non = yes\n";
/// Team that the printed examples use.
const TEAM: &str = "home";
/// Interval between checks of a running task.
const TASK_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before a controller that exited unexpectedly is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Interval at which controllers are checked and decisions are read.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for the first leadership acquisition, seconds. The leader may have to wait for tasks
/// of an earlier run, but not for another leader's lease to expire.
const FIRST_LEADER_TIMEOUT_S: u64 = 30;
/// Time limits of calls to the cluster.
const TIMEOUTS: Timeouts = Timeouts {
    total: Duration::from_secs(2),
    per_attempt: Duration::from_secs(2),
};

/// Makes the kernel kill this process when its parent process ends, however the parent ends.
pub(crate) fn end_with_parent() {
    let _ = set_parent_process_death_signal(Some(Signal::KILL));
}

/// Runs a task's command line. On `SIGTERM`, or when the parent process ends, kills the task and
/// all processes that it started.
///
/// Killing only the shell would leave its child processes running. They are all in the process
/// group that this process leads, so the whole group is killed.
pub(crate) fn supervise_task(line: &str) -> ExitCode {
    let terminated = Arc::new(AtomicBool::new(false));
    let is_guarded = signal_hook::flag::register(signal_hook::consts::SIGTERM, terminated.clone())
        .is_ok()
        && set_parent_process_death_signal(Some(Signal::TERM)).is_ok();
    if !is_guarded {
        eprintln!("beamhinge: cannot supervise the task: installing the signal handlers failed");
        return ExitCode::from(126);
    }
    let mut child = match Command::new("/bin/sh").arg("-c").arg(line).spawn() {
        Ok(child) => child,
        Err(e) => {
            eprintln!("beamhinge: cannot run a shell: {e}");
            return ExitCode::from(127);
        }
    };
    loop {
        match child.try_wait() {
            // A task that a signal terminated has no exit code, which is a failure as well.
            Ok(Some(status)) => {
                let code = status
                    .code()
                    .and_then(|c| u8::try_from(c).ok())
                    .unwrap_or(128);
                return ExitCode::from(code);
            }
            Ok(None) if !terminated.load(Ordering::Relaxed) => {
                std::thread::sleep(TASK_CHECK_INTERVAL)
            }
            _ => {
                let _ = kill_process_group(getpgrp(), Signal::KILL);
                return ExitCode::from(128);
            }
        }
    }
}

/// Default state directory: `$XDG_STATE_HOME/beamhinge/up`, or `~/.local/state/beamhinge/up` if
/// that variable is unset or empty.
///
/// Returns `None` if `HOME` is not set either.
fn default_dir() -> Option<PathBuf> {
    let base = std::env::var_os("XDG_STATE_HOME")
        .filter(|v| !v.is_empty())
        .map(PathBuf::from)
        .or_else(|| Some(PathBuf::from(std::env::var_os("HOME")?).join(".local/state")))?;
    Some(base.join("beamhinge").join("up"))
}

/// Starts a cluster, prints how to use it, and runs it until a signal stops it.
///
/// # Errors
///
/// Returns [`UpError`] if the cluster cannot be started, no controller becomes leader in time, or a
/// controller cannot be restarted.
pub(crate) fn run(options: &UpOptions) -> Result<(), UpError> {
    let dir = options.dir.clone();
    let dir = dir.or_else(default_dir).ok_or(UpError::NoStateDir)?;
    // Held until the cluster has stopped.
    let _lock = lock_dir(&dir)?;
    let stop = register_stop_signals()?;
    let program = std::env::current_exe().map_err(UpError::CurrentExe)?;
    let plan = cluster_plan(options, &dir, program);
    let endpoints = Endpoints {
        operators: (0..plan.nodes).map(|n| plan.admin_address(n)).collect(),
        users: (0..plan.nodes).map(|n| plan.user_address(n)).collect(),
    };
    let mut cluster = Cluster::start(plan, Box::new(|_| {}))?;
    let mut client = Client::new(&endpoints.operators, None, TIMEOUTS, |_| {});
    let Some(started_in) = wait_for_leader(&mut client, &cluster, &stop)? else {
        return Ok(());
    };
    print_usage(&endpoints, &dir, started_in);
    watch(&mut cluster, &mut client, &stop, !options.no_events)?;
    println!("stopping the cluster");
    drop(cluster);
    Ok(())
}

/// Addresses of the controllers' listeners.
struct Endpoints {
    operators: Vec<SocketAddrV4>,
    users: Vec<SocketAddrV4>,
}

/// Creates and locks the state directory of the cluster.
///
/// Two clusters in one directory would overwrite each other's state. The lock is released when the
/// returned file is closed.
fn lock_dir(dir: &Path) -> Result<File, UpError> {
    std::fs::create_dir_all(dir).map_err(|e| UpError::File(dir.into(), e))?;
    let path = dir.join("lock");
    let file = File::create(&path).map_err(|e| UpError::File(path, e))?;
    if rustix::fs::flock(&file, FlockOperation::NonBlockingLockExclusive).is_err() {
        return Err(UpError::DirInUse(dir.into()));
    }
    Ok(file)
}

/// Registers handlers for the signals that stop the cluster; they set the returned flag.
fn register_stop_signals() -> Result<Arc<AtomicBool>, UpError> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(UpError::Signals)?;
    }
    Ok(stop)
}

/// Plans the cluster that the options describe. `program` is this executable, which also runs the
/// controllers and tasks.
fn cluster_plan(options: &UpOptions, dir: &Path, program: PathBuf) -> ClusterPlan {
    let team = |name: &str, cpus, cpus_max| TeamPlan {
        name: name.into(),
        cpus,
        cpus_max,
    };
    ClusterPlan {
        nodes: usize::from(options.nodes),
        machines: usize::from(options.machines),
        rentable: u32::from(options.rentable).div_ceil(2),
        cpus: 4.0,
        boot_s: 1.0,
        dir: dir.into(),
        port: options.port,
        kept: true,
        task_runner: Some(vec![program.display().to_string(), "task".into()]),
        controller: (program, vec!["controller".into()]),
        teams: vec![team(TEAM, 8.0, 0.0), team("guests", 0.0, 8.0)],
        protocol_faults: ProtocolFaults::default(),
        operators: CONFIGURATION.into(),
        log_level: std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
        seed: 1,
    }
}

/// Waits until a leader responds and returns the elapsed time; `None` if a signal arrived first.
fn wait_for_leader(
    client: &mut Client,
    cluster: &Cluster,
    stop: &AtomicBool,
) -> Result<Option<Duration>, UpError> {
    let started = Instant::now();
    loop {
        if stop.load(Ordering::Relaxed) {
            return Ok(None);
        }
        if client.summary().is_ok() {
            return Ok(Some(started.elapsed()));
        }
        if started.elapsed() > Duration::from_secs(FIRST_LEADER_TIMEOUT_S) {
            let log = cluster.log_path(0);
            return Err(UpError::NoLeader(FIRST_LEADER_TIMEOUT_S, log));
        }
    }
}

fn join_addresses(addresses: &[SocketAddrV4]) -> String {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(",")
}

fn print_usage(endpoints: &Endpoints, dir: &Path, started_in: Duration) {
    let operators = join_addresses(&endpoints.operators);
    // The client finds the default ports without an option.
    let has_default_ports = UP_PORTS[0] == endpoints.operators[0].port();
    let controllers_option = if has_default_ports {
        String::new()
    } else {
        format!(" --controllers {operators}")
    };
    println!("cluster started in {:.1} s", started_in.as_secs_f64());
    println!("  operators  {operators}");
    println!("  users      {}", join_addresses(&endpoints.users));
    println!("  directory  {}", dir.display());
    println!("Try, in another terminal:");
    println!("  beamhinge submit{controllers_option} --team {TEAM} --wait -- echo hello");
    println!("  beamhinge submit{controllers_option} --team {TEAM} --tasks 40 --expect-s 5");
    println!("  beamhinge top{controllers_option}");
    println!(
        "Task output is written to {}. Press Ctrl-C to stop the cluster.",
        dir.join("output").display()
    );
}

/// Restarts controllers that exit and, with `events`, prints decisions, until `stop` is set.
fn watch(
    cluster: &mut Cluster,
    client: &mut Client,
    stop: &AtomicBool,
    events: bool,
) -> Result<(), UpError> {
    let (mut token, mut after) = (0, 0);
    let mut exited: Vec<(usize, Instant)> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(WATCH_INTERVAL);
        restart_exited(cluster, &mut exited)?;
        if !events {
            continue;
        }
        let Ok(decisions) = client.decisions(token, after) else {
            continue;
        };
        if decisions.token != token {
            (token, after) = (decisions.token, 0);
        }
        for decision in decisions.decisions {
            after = after.max(decision.serial);
            println!("{}", decision.what);
        }
    }
    Ok(())
}

/// Restarts controllers that exited unexpectedly, [`RESTART_DELAY`] after the exit was noticed.
fn restart_exited(
    cluster: &mut Cluster,
    exited: &mut Vec<(usize, Instant)>,
) -> Result<(), UpError> {
    for node in cluster.reap_exited() {
        let log = cluster.log_path(node).display().to_string();
        eprintln!(
            "beamhinge: a controller exited unexpectedly and will be restarted; see the log {log}"
        );
        exited.push((node, Instant::now()));
    }
    let due: Vec<usize> = exited
        .iter()
        .filter(|(_, exited_at)| exited_at.elapsed() > RESTART_DELAY)
        .map(|(n, _)| *n)
        .collect();
    exited.retain(|(_, exited_at)| exited_at.elapsed() <= RESTART_DELAY);
    for node in due {
        cluster.start_controller(node)?;
    }
    Ok(())
}
