//! One scale run: starts all processes, generates the load, injects the faults and measures.

mod faults;
mod plans;
mod report;

use super::checker::Checker;
use super::children::{RoleChild, RoleId};
use super::config_changes::Operators;
use super::faults::Fault;
use super::figures::{ConfigurationFigures, Figures, MAX_PROCESSES};
use super::layout::Layout;
use super::measure::Measurement;
use super::messages::{wall_us, Command, Record};
use super::relay::{Direction, Relays};
use super::role::MAX_CONNECTIONS;
use super::size::Size;
use super::usage;
use super::workload::Workload;
use crate::context::{Folder, TestContext};
use crate::TestbedError;
use beamhinge_dev_cluster::controllers::{ControllerFiles, ControllerProgram, Controllers};
use beamhinge_dev_cluster::deployment::Deployment;
use plans::{role_plans, users_plan};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for all processes to listen, and again for a leader and all machines to be up.
const READY_TIMEOUT_S: f64 = 30.0;
/// Time for machines to be registered with the controllers before the load begins.
const SETTLE_S: f64 = 4.0;
/// Time after the load for the last responses and records to arrive.
const DRAIN_S: f64 = 6.0;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const PROGRESS_INTERVAL_S: f64 = 5.0;
/// Operators' INI that keeps the fleet constant: machines that are idle before the load or
/// between two jobs are not released.
const FIXED_FLEET_INI: &str = "[fleet]\nidle_s = 86400\n";
/// Operators' INI with a request limit for operators who poll often whether their changes are
/// in force.
const REQUEST_LIMIT_INI: &str = "rps = 500\n";
const CONFIGURATION_INI: &str = "[configuration]\non = yes\n";
/// The load has built up after this many mean run times, plus [`BUILD_UP_S`].
const BUILD_UP_RUN_TIMES: f64 = 1.3;
const BUILD_UP_S: f64 = 3.0;
/// Smallest fraction of the load's duration that the steady phase takes.
const MIN_STEADY_FRACTION: f64 = 0.4;

/// Parameters of a run.
pub(super) struct RunPlan {
    pub size: Size,
    pub seconds: f64,
    pub real_workers: usize,
    pub faults: Vec<Fault>,
    pub base_port: u16,
}

/// Results of a run: its figures, and its time series in seconds since the load began.
pub(super) struct RunResult {
    pub figures: Figures,
    pub starts: Vec<(f64, f64)>,
    pub urgent: Vec<(f64, f64)>,
    pub fault_marks: Vec<(f64, String)>,
}

/// Action that ends a fault, run at a scheduled time.
enum ScheduledAction {
    StartController(usize),
    Resume(usize),
    RestoreLinks(Vec<(usize, usize)>),
}

struct Run {
    plan: RunPlan,
    layout: Layout,
    controllers: Controllers,
    relays: Relays,
    roles: BTreeMap<RoleId, RoleChild>,
    sender: Sender<(RoleId, Record)>,
    records: Receiver<(RoleId, Record)>,
    checker: Checker,
    measurement: Measurement,
    /// Indexes of the free addresses of each worker process.
    free_addresses: Vec<BTreeSet<usize>>,
    /// Address index and zone of each machine that is up.
    machines: BTreeMap<u64, (usize, String)>,
    leader: Option<usize>,
    schedule: Vec<(Instant, ScheduledAction)>,
    rng: StdRng,
    seed: u64,
    configuration: ConfigurationFigures,
    load_started_at: Instant,
    unexpected_exits: u64,
    lead_changes: u64,
    fault_marks: Vec<(f64, String)>,
    stop: Arc<AtomicBool>,
    /// Deleted with all its files when the run is dropped.
    _folder: Folder,
}

/// Checks that this computer can carry the run. The error says what to change if it cannot.
fn check_host_limits(layout: &Layout) -> Result<(), TestbedError> {
    let needed = layout.max_connections().max(MAX_CONNECTIONS) as u64 + 200;
    if usage::file_limit().is_some_and(|limit| limit < needed) {
        return Err(TestbedError::Other(format!(
            "the open file limit is {}, and the run needs {needed}: \
             raise it with `ulimit -n {needed}`, or use fewer workers",
            usage::file_limit().unwrap_or_default()
        )));
    }
    let processes = layout.size.controllers + layout.worker_processes() + 4;
    if processes > MAX_PROCESSES {
        return Err(TestbedError::Other(format!(
            "the run needs {processes} processes; the limit is {MAX_PROCESSES}"
        )));
    }
    match layout.address_in_use() {
        Some(address) => Err(TestbedError::Other(format!(
            "{address} is already in use by another program"
        ))),
        None => Ok(()),
    }
}

/// Executes one run.
pub(super) fn execute(
    context: &TestContext,
    plan: RunPlan,
    stop: &Arc<AtomicBool>,
) -> Result<RunResult, TestbedError> {
    plan.size
        .validate()
        .map_err(|e| TestbedError::Other(e.to_string()))?;
    let layout = Layout::new(plan.size.clone(), plan.base_port, plan.real_workers);
    check_host_limits(&layout)?;
    let mut run = Run::start(context, plan, layout, stop.clone())?;
    run.wait_until_ready()?;
    run.run_load()?;
    run.finish()
}

impl Run {
    fn start(
        context: &TestContext,
        plan: RunPlan,
        layout: Layout,
        stop: Arc<AtomicBool>,
    ) -> Result<Run, TestbedError> {
        let folder = Folder::new("scale")?;
        let deployment = layout.deployment();
        let relays = start_relays(&layout, &deployment)?;
        let (sender, records) = channel();
        let workload = Workload::new(&plan.size, context.seed);
        let mut roles = BTreeMap::new();
        for (id, role) in role_plans(&plan, &layout, &workload, context.seed) {
            roles.insert(id, RoleChild::start(id, &role, sender.clone())?);
        }
        let controllers = write_controllers(context, &plan, &layout, &deployment, &folder)?;
        let team_cpu_limit = deployment.teams.first().map_or(0.0, |t| t.cpus_max);
        let checker = Checker::new(workload, team_cpu_limit, plan.size.platform.cancel_s);
        let free_addresses = (0..layout.worker_processes())
            .map(|p| (0..layout.worker_addresses(p).len()).collect())
            .collect();
        Ok(Run {
            measurement: Measurement::new(plan.size.workers),
            rng: StdRng::seed_from_u64(context.seed),
            seed: context.seed,
            configuration: ConfigurationFigures::default(),
            plan,
            layout,
            controllers,
            relays,
            roles,
            sender,
            records,
            checker,
            free_addresses,
            machines: BTreeMap::new(),
            leader: None,
            schedule: Vec::new(),
            load_started_at: Instant::now(),
            unexpected_exits: 0,
            lead_changes: 0,
            fault_marks: Vec::new(),
            stop,
            _folder: folder,
        })
    }

    /// Waits until all processes listen, starts the controllers, and waits until there is a
    /// leader and all machines are up.
    fn wait_until_ready(&mut self) -> Result<(), TestbedError> {
        let deadline = Instant::now() + Duration::from_secs_f64(READY_TIMEOUT_S);
        let mut ready = BTreeSet::new();
        while ready.len() < self.roles.len() {
            if Instant::now() > deadline {
                let missing = self.roles.keys().find(|id| !ready.contains(*id));
                let name = missing.map_or(String::new(), |id| id.name());
                return Err(TestbedError::Other(format!(
                    "process \"{name}\" did not listen within {READY_TIMEOUT_S} s"
                )));
            }
            self.check_running()?;
            if let Ok((id, record)) = self.records.recv_timeout(POLL_INTERVAL) {
                match record {
                    Record::Ready => {
                        ready.insert(id);
                    }
                    other => self.handle_record(id, other),
                }
            }
        }
        for node in 0..self.plan.size.controllers {
            self.controllers.start(node)?;
        }
        let deadline = Instant::now() + Duration::from_secs_f64(READY_TIMEOUT_S);
        while self.leader.is_none() || self.machines.len() < self.plan.size.workers {
            if Instant::now() > deadline {
                let log = std::fs::read_to_string(self.controllers.log_path(0)).unwrap_or_default();
                let end: Vec<&str> = log.lines().rev().take(5).collect();
                return Err(TestbedError::Other(format!(
                    "no leader, or machines still missing, after {READY_TIMEOUT_S} s; \
                     last log lines of the first controller, newest first: {end:?}"
                )));
            }
            self.poll()?;
        }
        self.run_for(SETTLE_S)
    }

    fn check_running(&mut self) -> Result<(), TestbedError> {
        if self.stop.load(Ordering::Relaxed) {
            return Err(TestbedError::Other("interrupted by a signal".into()));
        }
        let exited = self
            .roles
            .values_mut()
            .find_map(|r| r.has_exited().then(|| r.id.name()));
        match exited {
            Some(name) => Err(TestbedError::Other(format!(
                "process \"{name}\" exited unexpectedly"
            ))),
            None => Ok(()),
        }
    }

    fn run_for(&mut self, seconds: f64) -> Result<(), TestbedError> {
        let deadline = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < deadline {
            self.poll()?;
        }
        Ok(())
    }

    /// Handles records for one poll interval, then runs the scheduled actions that are due.
    fn poll(&mut self) -> Result<(), TestbedError> {
        self.check_running()?;
        let deadline = Instant::now() + POLL_INTERVAL;
        while let Some(left) = deadline.checked_duration_since(Instant::now()) {
            match self.records.recv_timeout(left) {
                Ok((id, record)) => self.handle_record(id, record),
                Err(_) => break,
            }
        }
        let due: Vec<usize> = (0..self.schedule.len())
            .rev()
            .filter(|i| self.schedule[*i].0 <= Instant::now())
            .collect();
        for i in due {
            let (_, action) = self.schedule.swap_remove(i);
            self.run_scheduled(action)?;
        }
        let exited = self.controllers.reap_exited();
        for node in exited {
            self.unexpected_exits += 1;
            self.controllers.start(node)?;
        }
        self.checker.check_until(wall_us());
        self.sample_processes()
    }

    fn sample_processes(&mut self) -> Result<(), TestbedError> {
        let controllers: Vec<(usize, u32)> = (0..self.plan.size.controllers)
            .filter_map(|node| Some((node, self.controllers.pid(node)?)))
            .collect();
        let roles: Vec<(RoleId, u32)> = self.roles.iter().map(|(id, r)| (*id, r.pid())).collect();
        let Some(memory_mb) = self
            .measurement
            .sample_processes(&controllers, self.leader, &roles)
        else {
            return Ok(());
        };
        let memory_limit_mb = usage::machine_memory_mb() / 2.0;
        if memory_mb > memory_limit_mb {
            return Err(TestbedError::Other(format!(
                "the run uses {memory_mb:.0} MB, more than half of this computer's memory: \
                 use fewer workers"
            )));
        }
        Ok(())
    }

    fn send_command(&mut self, id: RoleId, command: &Command) {
        if let Some(role) = self.roles.get_mut(&id) {
            role.send(command);
        }
    }

    fn handle_record(&mut self, id: RoleId, record: Record) {
        match record {
            Record::Task { .. } | Record::User { .. } => self.checker.add_record(record),
            Record::Counts { flows, gauges } => self.measurement.set_counts(id, flows, gauges),
            Record::Answered { kind, ms, status } => {
                self.measurement.add_response(&kind, ms, status)
            }
            Record::LeaderChanged { label, .. } => self.set_leader(label),
            Record::Booted {
                machine,
                zone,
                spot,
            } => self.on_machine_booted(machine, zone, spot),
            Record::Released { machine } => self.on_machine_released(machine),
            Record::ProtocolViolation { what } => self.measurement.add_protocol_violation(what),
            Record::Ready => {}
        }
    }

    fn set_leader(&mut self, label: Option<String>) {
        let Some(label) = label else { return };
        let node = label
            .bytes()
            .next()
            .map(|b| usize::from(b.wrapping_sub(b'a')));
        if node != self.leader {
            self.lead_changes += u64::from(self.leader.is_some());
            self.leader = node;
            let elapsed_s = self.load_started_at.elapsed().as_secs_f64();
            eprintln!("{elapsed_s:6.1} s  controller {label} is the leader");
        }
    }

    fn on_machine_booted(&mut self, machine: u64, zone: String, spot: bool) {
        let process = self.layout.process_of(machine);
        let Some(address_index) = self.free_addresses[process].pop_first() else {
            return;
        };
        self.machines.insert(machine, (address_index, zone.clone()));
        let address = self.layout.worker_address(process, address_index);
        self.send_command(RoleId::Cloud, &Command::Endpoint { machine, address });
        let (cpus, memory_gb) = (
            self.plan.size.machine.cpus,
            self.plan.size.machine.memory_gb,
        );
        let command = Command::Boot {
            machine,
            zone,
            spot,
            cpus,
            memory_gb,
            address_index,
        };
        self.send_command(RoleId::Workers(process), &command);
    }

    fn on_machine_released(&mut self, machine: u64) {
        let Some((address_index, _)) = self.machines.remove(&machine) else {
            return;
        };
        let process = self.layout.process_of(machine);
        self.free_addresses[process].insert(address_index);
        self.send_command(RoleId::Workers(process), &Command::Remove { machine });
    }

    /// Runs the load, and injects each fault when it is due.
    fn run_load(&mut self) -> Result<(), TestbedError> {
        let (id, role) = users_plan(&self.plan, &self.layout, self.checker.workload());
        let users = RoleChild::start(id, &role, self.sender.clone())?;
        self.roles.insert(id, users);
        self.load_started_at = Instant::now();
        let admin_listeners: Vec<_> = self
            .layout
            .deployment()
            .nodes
            .iter()
            .map(|n| n.operators)
            .collect();
        let operators = match self.plan.size.config_changes {
            0 => None,
            _ => Some(Operators::start(&admin_listeners, self.seed)?),
        };
        let seconds = self.plan.seconds;
        let build_up_s = (self.plan.size.run_s() * BUILD_UP_RUN_TIMES + BUILD_UP_S)
            .min(seconds * (1.0 - MIN_STEADY_FRACTION));
        let mut faults = std::mem::take(&mut self.plan.faults);
        faults.sort_by(|a, b| b.at_s.total_cmp(&a.at_s));
        let mut next_progress_s = 0.0;
        loop {
            self.poll()?;
            let elapsed_s = self.load_started_at.elapsed().as_secs_f64();
            if elapsed_s >= build_up_s && !self.measurement.has_reached_steady_phase() {
                self.measurement
                    .begin_steady_phase(self.checker.counts.tasks_started);
            }
            while faults.last().is_some_and(|f| f.at_s <= elapsed_s) {
                if let Some(fault) = faults.pop() {
                    self.inject(elapsed_s, fault.kind);
                }
            }
            if elapsed_s >= next_progress_s {
                next_progress_s = elapsed_s + PROGRESS_INTERVAL_S;
                self.print_progress(elapsed_s);
            }
            if elapsed_s >= seconds {
                break;
            }
        }
        self.measurement
            .end_steady_phase(self.checker.counts.tasks_started);
        self.send_command(RoleId::Users, &Command::StopSubmitting);
        self.configuration = operators.map(Operators::stop).unwrap_or_default();
        self.run_for(DRAIN_S)
    }

    fn print_progress(&self, elapsed_s: f64) {
        let counts = self.checker.counts;
        eprintln!(
            "{elapsed_s:6.1} s  {} jobs accepted, {} done, {} tasks started, {:.0} running; \
             {} machines{}",
            counts.accepted,
            counts.done,
            counts.tasks_started,
            self.measurement.running(),
            self.machines.len(),
            match self.checker.violations.is_empty() {
                true => String::new(),
                false => format!("; rules violated: {:?}", self.checker.violations.keys()),
            }
        );
    }
}

/// Starts a relay for each direction between two controllers, so that links can be cut.
fn start_relays(layout: &Layout, deployment: &Deployment) -> Result<Relays, TestbedError> {
    let count = deployment.nodes.len();
    let pairs = (0..count).flat_map(|from| (0..count).map(move |to| Direction { from, to }));
    let directions = pairs
        .filter(|direction| direction.from != direction.to)
        .map(|direction| {
            let Direction { from, to } = direction;
            let relay = layout.relay_address(from, to);
            (direction, relay, deployment.nodes[to].peers)
        })
        .collect();
    Ok(Relays::start(directions)?)
}

/// Writes the configuration files of all controllers.
fn write_controllers(
    context: &TestContext,
    plan: &RunPlan,
    layout: &Layout,
    deployment: &Deployment,
    folder: &Folder,
) -> Result<Controllers, TestbedError> {
    let mut controllers = Controllers::new(ControllerProgram {
        program: context.controller.clone(),
        dir: folder.0.clone(),
        log_level: "info".into(),
    });
    let changes = if plan.size.config_changes > 0 {
        CONFIGURATION_INI
    } else {
        ""
    };
    let operator_lines = format!("{REQUEST_LIMIT_INI}{FIXED_FLEET_INI}{changes}");
    for (node, node_place) in deployment.nodes.iter().enumerate() {
        controllers.add(&ControllerFiles {
            label: &node_place.label,
            settings: &deployment.settings(node, &layout.links(node)),
            operators: node_place.operators,
            operator_lines: &operator_lines,
        })?;
    }
    Ok(controllers)
}
