//! A cluster of one's own: controllers, state service, cloud and workers on
//! loopback, started together and ended together.

use crate::arguments::UpOptions;
use beamhinge_client::{Client, Timeouts};
use beamhinge_dev_cluster::deployment::TeamPlan;
use beamhinge_dev_cluster::{Cluster, ClusterError, ClusterPlan};
use beamhinge_emulator::ProtocolFaults;
use rustix::process::{getpgrp, kill_process_group, set_parent_process_death_signal, Signal};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Debug, thiserror::Error)]
pub(crate) enum UpError {
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    #[error("cannot find this program's own file: {0}")]
    Program(std::io::Error),
    #[error("no place for the cluster's state: name one with --dir")]
    NoDir,
    #[error(
        "{0} is used by a running cluster: end that one, or name another with --dir and --port"
    )]
    Used(PathBuf),
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("no controller led within {0} s; its log: {1}")]
    NoLeader(u64, PathBuf),
    #[error("cannot listen to signals: {0}")]
    Signals(std::io::Error),
}

/// Quotas may be changed while it runs (`beamhinge set-quotas`).
const CONFIGURATION: &str = "[configuration]\non = yes\n";
/// The team that a newcomer's jobs count for.
const TEAM: &str = "home";
/// How often a running task is looked after.
const TASK_LOOK: Duration = Duration::from_millis(20);
/// A controller that ends by itself is started again after so long.
const AGAIN: Duration = Duration::from_secs(2);
/// How long the first leader may take: tasks of an earlier run may have to be
/// waited for, but no lead is.
const FIRST_LEADER_S: u64 = 30;

/// A controller of ours ends when we do, however we end.
pub(crate) fn end_with_parent() {
    let _ = set_parent_process_death_signal(Some(Signal::KILL));
}

/// Runs a task's command line and ends it, with all that it started, when we
/// are told to or when who started us is gone.
///
/// A shell that is killed leaves what it started behind: this process leads the
/// group they are all in, and outlives none of them.
pub(crate) fn keep_task(line: &str) -> ExitCode {
    let told = Arc::new(AtomicBool::new(false));
    let listens = signal_hook::flag::register(signal_hook::consts::SIGTERM, told.clone()).is_ok()
        && set_parent_process_death_signal(Some(Signal::TERM)).is_ok();
    if !listens {
        eprintln!("beamhinge: cannot watch over a task here");
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
            // Ended by a signal, it has no code: that is no success either.
            Ok(Some(status)) => {
                let code = status
                    .code()
                    .and_then(|c| u8::try_from(c).ok())
                    .unwrap_or(128);
                return ExitCode::from(code);
            }
            Ok(None) if !told.load(Ordering::Relaxed) => std::thread::sleep(TASK_LOOK),
            _ => {
                let _ = kill_process_group(getpgrp(), Signal::KILL);
                return ExitCode::from(128);
            }
        }
    }
}

/// `$XDG_STATE_HOME/beamhinge/up`, or under `~/.local/state`.
fn default_dir() -> Option<PathBuf> {
    let base = std::env::var_os("XDG_STATE_HOME")
        .filter(|v| !v.is_empty())
        .map(PathBuf::from)
        .or_else(|| Some(PathBuf::from(std::env::var_os("HOME")?).join(".local/state")))?;
    Some(base.join("beamhinge").join("up"))
}

pub(crate) fn run(o: &UpOptions) -> Result<(), UpError> {
    let dir = o.dir.clone().or_else(default_dir).ok_or(UpError::NoDir)?;
    std::fs::create_dir_all(&dir).map_err(|e| UpError::File(dir.clone(), e))?;
    // Two clusters in one place would write over each other's state.
    let lock = dir.join("lock");
    let held = std::fs::File::create(&lock).map_err(|e| UpError::File(lock.clone(), e))?;
    if rustix::fs::flock(&held, rustix::fs::FlockOperation::NonBlockingLockExclusive).is_err() {
        return Err(UpError::Used(dir));
    }
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).map_err(UpError::Signals)?;
    }
    let program = std::env::current_exe().map_err(UpError::Program)?;
    let text = program.display().to_string();
    let team = |name: &str, cpus, cpus_max| TeamPlan {
        name: name.into(),
        cpus,
        cpus_max,
    };
    let plan = ClusterPlan {
        nodes: usize::from(o.nodes),
        machines: usize::from(o.machines),
        rentable: u32::from(o.rentable).div_ceil(2),
        cpus: 4.0,
        boot_s: 1.0,
        dir: dir.clone(),
        port: o.port,
        kept: true,
        controller: (program, vec!["controller".into()]),
        keeper: Some(vec![text, "task".into()]),
        teams: vec![team(TEAM, 8.0, 0.0), team("guests", 0.0, 8.0)],
        protocol_faults: ProtocolFaults::default(),
        operators: CONFIGURATION.into(),
        log_level: std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
        seed: 1,
    };
    let listeners: Vec<SocketAddrV4> = (0..plan.nodes).map(|n| plan.operators_of(n)).collect();
    let users: Vec<String> = (0..plan.nodes)
        .map(|n| plan.users_of(n).to_string())
        .collect();
    let mut cluster = Cluster::start(plan, Box::new(|_| {}))?;
    let joined = listeners
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(",");
    let timeouts = Timeouts {
        total: Duration::from_secs(2),
        per_attempt: Duration::from_secs(2),
    };
    let mut client = Client::new(&listeners, None, timeouts, |_| {});
    let began = Instant::now();
    loop {
        if stop.load(Ordering::Relaxed) {
            return Ok(());
        }
        if client.summary().is_ok() {
            break;
        }
        if began.elapsed() > Duration::from_secs(FIRST_LEADER_S) {
            return Err(UpError::NoLeader(FIRST_LEADER_S, cluster.log_of(0)));
        }
    }
    let usual = beamhinge_client::config::UP_PORTS[0] == listeners[0].port();
    let with = if usual {
        String::new()
    } else {
        format!(" --controllers {joined}")
    };
    println!("beamhinge is up, in {:.1} s", began.elapsed().as_secs_f64());
    println!("  operators  {joined}");
    println!("  users      {}", users.join(","));
    println!("  kept in    {}", dir.display());
    println!("Try, in another terminal:");
    println!("  beamhinge submit{with} --team {TEAM} --wait -- echo hello");
    println!("  beamhinge submit{with} --team {TEAM} --tasks 40 --expect-s 5");
    println!("  beamhinge top{with}");
    println!(
        "What tasks print is under {}. Ctrl-C ends it all.",
        dir.join("output").display()
    );
    watch(&mut cluster, &mut client, &stop, !o.no_events)?;
    println!("ending");
    drop(cluster);
    Ok(())
}

fn watch(
    cluster: &mut Cluster,
    client: &mut Client,
    stop: &AtomicBool,
    events: bool,
) -> Result<(), UpError> {
    let (mut token, mut after) = (0, 0);
    let mut fallen: Vec<(usize, Instant)> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(300));
        for node in cluster.fallen() {
            let log = cluster.log_of(node).display().to_string();
            eprintln!("beamhinge: a controller ended by itself; its log: {log}. Started again.");
            fallen.push((node, Instant::now()));
        }
        let due: Vec<usize> = fallen
            .iter()
            .filter(|(_, at)| at.elapsed() > AGAIN)
            .map(|(n, _)| *n)
            .collect();
        fallen.retain(|(_, at)| at.elapsed() <= AGAIN);
        for node in due {
            cluster.start_node(node)?;
        }
        let Some(got) = events
            .then(|| client.decisions(token, after).ok())
            .flatten()
        else {
            continue;
        };
        if got.token != token {
            (token, after) = (got.token, 0);
        }
        for d in got.decisions {
            after = after.max(d.serial);
            println!("{}", d.what);
        }
    }
    Ok(())
}
