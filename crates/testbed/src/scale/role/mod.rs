//! Child processes of a scale run: each runs this program again with one role.
//!
//! A child reads its plan from the first line of its standard input and commands from
//! the following lines. It exits at the end of its input, so that it never outlives its
//! parent.

mod cloud;
mod state;
mod users;
mod workers;

use super::messages::{Command, Flows, Record, RolePlan};
use beamhinge_core::messages::Service;
use beamhinge_core::settings::{ExternalServices, WorkerTimings};
use beamhinge_core::types::Time;
use beamhinge_emulator::Micros;
use beamhinge_transport::{EventLoop, EventLoopError, Listener, ListenerKind, NetworkConfig};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Stdout, Write};
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex, PoisonError};

/// Most sockets that a child may have open. A worker process has a few hundred workers whatever
/// the size of the fleet, and the emulated key-value store and cloud serve only the controllers,
/// so this doesn't grow with the number of workers. The sockets of a controller do; the layout
/// sets their limit.
pub(crate) const MAX_CONNECTIONS: usize = 18_000;
/// Interval between the count reports of a child, seconds.
const COUNTS_INTERVAL_S: f64 = 1.0;

#[derive(Debug, thiserror::Error)]
pub(crate) enum RoleError {
    #[error("no plan on standard input: only `beamhinge-testbed scale` starts this subcommand")]
    NoPlan,
    #[error("cannot parse the plan: {0}")]
    Plan(#[from] serde_json::Error),
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Writes records to standard output.
#[derive(Clone)]
pub(crate) struct Recorder(Arc<Mutex<BufWriter<Stdout>>>);

impl Recorder {
    fn new() -> Recorder {
        Recorder(Arc::new(Mutex::new(BufWriter::new(io::stdout()))))
    }

    /// Writes a record. Errors are ignored: they mean that the parent has exited, and then the
    /// child's input ends too.
    pub(crate) fn send(&self, record: &Record) {
        let mut out = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = serde_json::to_writer(&mut *out, record);
        let _ = out.write_all(b"\n");
    }

    pub(crate) fn flush(&self) {
        let _ = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .flush();
    }
}

/// Connections of a role to its parent: commands, records, and the time of the last count
/// report.
pub(crate) struct ParentConnection {
    commands: Receiver<Command>,
    pub records: Recorder,
    counts_reported_at: Time,
}

impl ParentConnection {
    /// The next command; `None` if none is pending.
    pub(crate) fn next_command(&self) -> Option<Command> {
        self.commands.try_recv().ok()
    }

    /// Reports the counts if they are due, and flushes all records.
    pub(crate) fn report_counts(&mut self, now: Time, flows: &Flows, gauges: &[(&str, f64)]) {
        if now.since(self.counts_reported_at) >= COUNTS_INTERVAL_S {
            self.counts_reported_at = now;
            let gauges: BTreeMap<String, f64> = gauges
                .iter()
                .map(|(name, value)| (name.to_string(), *value))
                .collect();
            self.records.send(&Record::Counts {
                flows: flows.clone(),
                gauges,
            });
        }
        self.records.flush();
    }
}

/// Controllers whose requests don't arrive because of a network partition, and until when.
#[derive(Default)]
pub(crate) struct PartitionedControllers {
    until: Vec<Micros>,
}

impl PartitionedControllers {
    pub(crate) fn partition(&mut self, controllers: &[usize], until: Micros) {
        for controller in controllers {
            if self.until.len() <= *controller {
                self.until.resize(controller + 1, 0);
            }
            self.until[*controller] = until;
        }
    }

    pub(crate) fn is_partitioned(&self, controller: usize, now: Micros) -> bool {
        self.until.get(controller).is_some_and(|until| now < *until)
    }
}

/// Runs one role until the end of its input.
pub(crate) fn run() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("beamhinge-testbed role: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), RoleError> {
    let mut plan_line = String::new();
    if io::stdin().read_line(&mut plan_line)? == 0 {
        return Err(RoleError::NoPlan);
    }
    let plan: RolePlan = serde_json::from_str(&plan_line)?;
    let running = Arc::new(AtomicBool::new(true));
    let parent = ParentConnection {
        commands: read_commands(running.clone()),
        records: Recorder::new(),
        counts_reported_at: Time::default(),
    };
    run_role(plan, &running, parent)
}

/// Reads commands on a separate thread; sets `running` to false at the end of the input or at an
/// invalid command.
fn read_commands(running: Arc<AtomicBool>) -> Receiver<Command> {
    let (sender, commands) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines() {
            let command = line.ok().and_then(|l| serde_json::from_str(&l).ok());
            let Some(command) = command else { break };
            if sender.send(command).is_err() {
                break;
            }
        }
        running.store(false, Ordering::Relaxed);
    });
    commands
}

/// Runs one role until `running` is false.
fn run_role(
    plan: RolePlan,
    running: &AtomicBool,
    parent: ParentConnection,
) -> Result<(), RoleError> {
    match plan {
        RolePlan::State { addresses, limits } => {
            run_service(network(&addresses), running, parent, |parent, _| {
                state::StateRole::new(&limits, parent)
            })
        }
        RolePlan::Cloud {
            addresses,
            rps,
            list_lag_s,
            machines,
            zones,
            seed,
        } => run_service(network(&addresses), running, parent, |parent, now| {
            cloud::CloudRole::new((rps, list_lag_s), &machines, zones, seed, now, parent)
        }),
        RolePlan::Workers {
            controllers,
            addresses,
            report_s,
            lease_s,
            cancel_s,
            workload,
            real,
        } => {
            let settings = WorkerTimings {
                report_s,
                lease_s,
                cancel_s,
            };
            run_service(network(&addresses), running, parent, |parent, _| {
                workers::WorkersRole::new(controllers, addresses, settings, workload, real, parent)
            })
        }
        RolePlan::Users {
            controllers,
            workload,
            seconds,
            seed,
        } => run_service(network(&[]), running, parent, |parent, now| {
            users::UsersRole::new(controllers, workload, seconds, seed, now, parent)
        }),
    }
}

fn run_service<S: Service>(
    network: NetworkConfig,
    running: &AtomicBool,
    parent: ParentConnection,
    make: impl FnOnce(ParentConnection, Time) -> S,
) -> Result<(), RoleError> {
    let records = parent.records.clone();
    let event_loop = EventLoop::new(network, |now| make(parent, now))?;
    records.send(&Record::Ready);
    records.flush();
    event_loop.run_while(|| running.load(Ordering::Relaxed))?;
    Ok(())
}

/// Network configuration of a process that listens on `addresses` and calls only controllers.
fn network(addresses: &[SocketAddrV4]) -> NetworkConfig {
    let unused_address = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
    let listener = |addr: &SocketAddrV4| Listener {
        addr: *addr,
        kind: ListenerKind::Platform,
    };
    NetworkConfig {
        listeners: addresses.iter().map(listener).collect(),
        peers: None,
        members: Vec::new(),
        external: ExternalServices {
            cloud: unused_address,
            state: unused_address,
        },
        max_connections: MAX_CONNECTIONS,
    }
}
