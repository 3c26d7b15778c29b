//! One scale run: starts everything, plays the load and the faults, and measures.

use super::checker::Checker;
use super::children::{RoleChild, RoleId};
use super::config_changes::Operators;
use super::faults::{self, Fault, FaultKind};
use super::figures::{ConfigurationFigures, Figures, MAX_PROCESSES};
use super::histograms::times;
use super::layout::Layout;
use super::measure::Measurement;
use super::messages::{wall_us, Command, MachinePlan, Record, RolePlan, StateLimits};
use super::relay::{Direction, Relays};
use super::role::MAX_CONNECTIONS;
use super::size::Size;
use super::usage;
use super::workload::Workload;
use crate::place::{Folder, Lab};
use crate::TestbedError;
use beamhinge_dev_cluster::controllers::{ControllerFiles, ControllerProgram, Controllers};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long everything may take to listen.
const READY_S: f64 = 30.0;
/// How long machines may take to be known, before the load begins.
const SETTLE_S: f64 = 4.0;
/// After the load, for last answers and records.
const DRAIN_S: f64 = 6.0;
const LOOK: Duration = Duration::from_millis(20);
const PROGRESS_S: f64 = 5.0;
/// Machines that can be rented beside those that are there, as a part of them.
const SPARE: f64 = 0.05;
/// The fleet is there all the time: what stands idle before the load, or between two
/// jobs, is not given back (operators' INI).
const STANDING_FLEET: &str = "[fleet]\nidle_s = 86400\n";
/// Operators ask often whether their changes are in force.
const OPERATORS: &str = "rps = 500\n";
const CONFIGURATION: &str = "[configuration]\non = yes\n";
/// Between a job's submission and its starts, in report intervals.
const START_LAG: f64 = 1.5;
/// The load has built up after so many run times and seconds.
const BUILD_UP_RUNS: f64 = 1.3;
const BUILD_UP_S: f64 = 3.0;
/// The steady part is no less than this of the load's time.
const STEADY_PART: f64 = 0.4;

/// How a run is played.
pub struct RunPlan {
    pub size: Size,
    pub seconds: f64,
    pub real_workers: usize,
    pub faults: Vec<Fault>,
    pub base_port: u16,
}

/// What a run came to: its figures, and its course by seconds.
pub struct Played {
    pub figures: Figures,
    pub starts: Vec<(f64, f64)>,
    pub urgent: Vec<(f64, f64)>,
    pub marks: Vec<(f64, String)>,
}

/// What is done later because of a fault.
enum Later {
    StartController(usize),
    GoOn(usize),
    MendLinks(Vec<(usize, usize)>),
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
    /// Places of each worker process's addresses that are free, and who has which.
    free_places: Vec<BTreeSet<usize>>,
    machines: BTreeMap<u64, (usize, String)>,
    leader: Option<usize>,
    later: Vec<(Instant, Later)>,
    rng: StdRng,
    seed: u64,
    configuration: ConfigurationFigures,
    began: Instant,
    fallen: u64,
    lead_changes: u64,
    marks: Vec<(f64, String)>,
    stop: Arc<AtomicBool>,
    /// Removed with all its files at the end.
    _folder: Folder,
}

/// Checks that this machine can play it; what to do where it cannot.
fn check_machine(layout: &Layout) -> Result<(), TestbedError> {
    let needed = layout.connections().max(MAX_CONNECTIONS) as u64 + 200;
    if usage::file_limit().is_some_and(|limit| limit < needed) {
        return Err(TestbedError::Other(format!(
            "a process may open {} files here, and {needed} are needed: \
             run it after `ulimit -n {needed}`, or with fewer workers",
            usage::file_limit().unwrap_or_default()
        )));
    }
    let processes = layout.size.controllers + layout.worker_processes() + 4;
    if processes > MAX_PROCESSES {
        return Err(TestbedError::Other(format!(
            "{processes} processes; {MAX_PROCESSES} is the most"
        )));
    }
    match layout.taken() {
        Some(address) => Err(TestbedError::Other(format!(
            "{address} is used by another program"
        ))),
        None => Ok(()),
    }
}

/// Plays one run.
pub fn play(lab: &Lab, plan: RunPlan, stop: &Arc<AtomicBool>) -> Result<Played, TestbedError> {
    plan.size
        .check()
        .map_err(|e| TestbedError::Other(e.to_string()))?;
    let layout = Layout::new(plan.size.clone(), plan.base_port, plan.real_workers);
    check_machine(&layout)?;
    let mut run = Run::start(lab, plan, layout, stop.clone())?;
    run.wait_until_ready()?;
    run.play_load()?;
    run.finish()
}

impl Run {
    fn start(
        lab: &Lab,
        plan: RunPlan,
        layout: Layout,
        stop: Arc<AtomicBool>,
    ) -> Result<Run, TestbedError> {
        let folder = Folder::new("scale")?;
        let deployment = layout.deployment();
        let directions = (0..plan.size.controllers)
            .flat_map(|from| (0..plan.size.controllers).map(move |to| Direction { from, to }))
            .filter(|d| d.from != d.to)
            .map(|d| {
                (
                    d,
                    layout.relay_address(d.from, d.to),
                    deployment.nodes[d.to].peers,
                )
            })
            .collect();
        let relays = Relays::start(directions)?;
        let (sender, records) = channel();
        let workload = Workload::new(&plan.size, lab.seed);
        let mut roles = BTreeMap::new();
        for (id, role) in role_plans(&plan, &layout, &workload, lab.seed) {
            roles.insert(id, RoleChild::start(id, &role, sender.clone())?);
        }
        let mut controllers = Controllers::new(ControllerProgram {
            program: lab.controller.clone(),
            dir: folder.0.clone(),
            log_level: "info".into(),
        });
        let changes = if plan.size.config_changes > 0 {
            CONFIGURATION
        } else {
            ""
        };
        let operators_file = format!("{OPERATORS}{STANDING_FLEET}{changes}");
        for (node, place) in deployment.nodes.iter().enumerate() {
            let text = deployment.settings(node, &layout.links(node));
            controllers.add(&ControllerFiles {
                label: &place.label,
                settings: &text,
                operators: place.operators,
                operator_lines: &operators_file,
            })?;
        }
        let team_limit = deployment.teams.first().map_or(0.0, |t| t.cpus_max);
        let checker = Checker::new(workload, team_limit, plan.size.platform.cancel_s);
        let free_places = (0..layout.worker_processes())
            .map(|p| (0..layout.worker_addresses(p).len()).collect())
            .collect();
        Ok(Run {
            measurement: Measurement::new(plan.size.workers),
            rng: StdRng::seed_from_u64(lab.seed),
            seed: lab.seed,
            configuration: ConfigurationFigures::default(),
            plan,
            layout,
            controllers,
            relays,
            roles,
            sender,
            records,
            checker,
            free_places,
            machines: BTreeMap::new(),
            leader: None,
            later: Vec::new(),
            began: Instant::now(),
            fallen: 0,
            lead_changes: 0,
            marks: Vec::new(),
            stop,
            _folder: folder,
        })
    }

    /// Everything listens, controllers are started, and machines are known.
    fn wait_until_ready(&mut self) -> Result<(), TestbedError> {
        let until = Instant::now() + Duration::from_secs_f64(READY_S);
        let mut ready = BTreeSet::new();
        while ready.len() < self.roles.len() {
            if Instant::now() > until {
                let missing = self.roles.keys().find(|id| !ready.contains(*id));
                let name = missing.map_or(String::new(), |id| id.name());
                return Err(TestbedError::Other(format!(
                    "the {name} did not start in {READY_S} s"
                )));
            }
            self.check_running()?;
            if let Ok((id, record)) = self.records.recv_timeout(LOOK) {
                match record {
                    Record::Ready => {
                        ready.insert(id);
                    }
                    other => self.take(id, other),
                }
            }
        }
        for node in 0..self.plan.size.controllers {
            self.controllers.start(node)?;
        }
        let until = Instant::now() + Duration::from_secs_f64(READY_S);
        while self.leader.is_none() || self.machines.len() < self.plan.size.workers {
            if Instant::now() > until {
                let log = std::fs::read_to_string(self.controllers.log_of(0)).unwrap_or_default();
                let end: Vec<&str> = log.lines().rev().take(5).collect();
                return Err(TestbedError::Other(format!(
                    "no controller leads after {READY_S} s; the first one's last lines: {end:?}"
                )));
            }
            self.turn()?;
        }
        self.run_for(SETTLE_S)
    }

    fn check_running(&mut self) -> Result<(), TestbedError> {
        if self.stop.load(Ordering::Relaxed) {
            return Err(TestbedError::Other("stopped by a signal".into()));
        }
        let ended = self
            .roles
            .values_mut()
            .find_map(|r| r.has_ended().then(|| r.id.name()));
        match ended {
            Some(name) => Err(TestbedError::Other(format!("the {name} ended by itself"))),
            None => Ok(()),
        }
    }

    fn run_for(&mut self, seconds: f64) -> Result<(), TestbedError> {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            self.turn()?;
        }
        Ok(())
    }

    /// Takes records for a moment, and does what is due.
    fn turn(&mut self) -> Result<(), TestbedError> {
        self.check_running()?;
        let until = Instant::now() + LOOK;
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            match self.records.recv_timeout(left) {
                Ok((id, record)) => self.take(id, record),
                Err(_) => break,
            }
        }
        let due: Vec<usize> = (0..self.later.len())
            .rev()
            .filter(|i| self.later[*i].0 <= Instant::now())
            .collect();
        for i in due {
            let (_, later) = self.later.swap_remove(i);
            self.act_later(later)?;
        }
        let fallen = self.controllers.fallen();
        for node in fallen {
            self.fallen += 1;
            self.controllers.start(node)?;
        }
        self.checker.judge_until(wall_us());
        self.sample()
    }

    fn sample(&mut self) -> Result<(), TestbedError> {
        let controllers: Vec<(usize, u32)> = (0..self.plan.size.controllers)
            .filter_map(|node| Some((node, self.controllers.pid(node)?)))
            .collect();
        let roles: Vec<(RoleId, u32)> = self.roles.iter().map(|(id, r)| (*id, r.pid())).collect();
        let Some(memory_mb) = self.measurement.sample(&controllers, self.leader, &roles) else {
            return Ok(());
        };
        let half = usage::machine_memory_mb() / 2.0;
        if memory_mb > half {
            return Err(TestbedError::Other(format!(
                "{memory_mb:.0} MB are in use, more than half of this machine's: use fewer workers"
            )));
        }
        Ok(())
    }

    fn tell(&mut self, id: RoleId, command: &Command) {
        if let Some(role) = self.roles.get_mut(&id) {
            role.tell(command);
        }
    }

    fn take(&mut self, id: RoleId, record: Record) {
        match record {
            Record::Task { .. } | Record::User { .. } => self.checker.take(record),
            Record::Counts { flows, gauges } => self.measurement.counts(id, flows, gauges),
            Record::Answered { kind, ms, status } => self.measurement.answered(&kind, ms, status),
            Record::Lead { label, .. } => self.lead(label),
            Record::Booted {
                machine,
                zone,
                spot,
            } => self.boot(machine, zone, spot),
            Record::Gone { machine } => self.remove(machine),
            Record::Abused { what } => self.measurement.abused(what),
            Record::Ready => {}
        }
    }

    fn lead(&mut self, label: Option<String>) {
        let Some(label) = label else { return };
        let node = label
            .bytes()
            .next()
            .map(|b| usize::from(b.wrapping_sub(b'a')));
        if node != self.leader {
            self.lead_changes += u64::from(self.leader.is_some());
            self.leader = node;
            let at = self.began.elapsed().as_secs_f64();
            eprintln!("{at:6.1} s  {label} leads");
        }
    }

    fn boot(&mut self, machine: u64, zone: String, spot: bool) {
        let process = self.layout.process_of(machine);
        let Some(place) = self.free_places[process].pop_first() else {
            return;
        };
        self.machines.insert(machine, (place, zone.clone()));
        let address = self.layout.worker_address(process, place);
        self.tell(RoleId::Cloud, &Command::Endpoint { machine, address });
        let (cpus, memory_gb) = (
            self.plan.size.machine.cpus,
            self.plan.size.machine.memory_gb,
        );
        let boot = Command::Boot {
            machine,
            zone,
            spot,
            cpus,
            memory_gb,
            place,
        };
        self.tell(RoleId::Workers(process), &boot);
    }

    fn remove(&mut self, machine: u64) {
        let Some((place, _)) = self.machines.remove(&machine) else {
            return;
        };
        let process = self.layout.process_of(machine);
        self.free_places[process].insert(place);
        self.tell(RoleId::Workers(process), &Command::Remove { machine });
    }

    /// Jobs arrive, and faults come when they are due.
    fn play_load(&mut self) -> Result<(), TestbedError> {
        let (id, role) = users_plan(&self.plan, &self.layout, self.checker.workload());
        let users = RoleChild::start(id, &role, self.sender.clone())?;
        self.roles.insert(id, users);
        self.began = Instant::now();
        let doors: Vec<_> = self
            .layout
            .deployment()
            .nodes
            .iter()
            .map(|n| n.operators)
            .collect();
        let operators = match self.plan.size.config_changes {
            0 => None,
            _ => Some(Operators::start(&doors, self.seed)?),
        };
        let seconds = self.plan.seconds;
        let build_up = (self.plan.size.run_s() * BUILD_UP_RUNS + BUILD_UP_S)
            .min(seconds * (1.0 - STEADY_PART));
        let mut faults = std::mem::take(&mut self.plan.faults);
        faults.sort_by(|a, b| b.at_s.total_cmp(&a.at_s));
        let mut progress = 0.0;
        loop {
            self.turn()?;
            let at = self.began.elapsed().as_secs_f64();
            if at >= build_up && !self.measurement.is_steady() {
                self.measurement
                    .begin_steady(self.checker.counts.tasks_started);
            }
            while faults.last().is_some_and(|f| f.at_s <= at) {
                if let Some(fault) = faults.pop() {
                    self.strike(at, fault.kind)?;
                }
            }
            if at >= progress {
                progress = at + PROGRESS_S;
                self.tell_progress(at);
            }
            if at >= seconds {
                break;
            }
        }
        self.measurement
            .end_steady(self.checker.counts.tasks_started);
        self.tell(RoleId::Users, &Command::StopSubmitting);
        self.configuration = operators.map(Operators::stop).unwrap_or_default();
        self.run_for(DRAIN_S)
    }

    fn tell_progress(&self, at: f64) {
        let counts = self.checker.counts;
        eprintln!(
            "{at:6.1} s  {} jobs accepted, {} done, {} tasks started, {:.0} run; {} machines{}",
            counts.accepted,
            counts.done,
            counts.tasks_started,
            self.measurement.running(),
            self.machines.len(),
            match self.checker.broken.is_empty() {
                true => String::new(),
                false => format!("; broken: {:?}", self.checker.broken.keys()),
            }
        );
    }

    // ---- faults ----

    fn later(&mut self, after_s: f64, what: Later) {
        self.later
            .push((Instant::now() + Duration::from_secs_f64(after_s), what));
    }

    fn act_later(&mut self, later: Later) -> Result<(), TestbedError> {
        match later {
            Later::StartController(node) => self.controllers.start(node)?,
            Later::GoOn(node) => self.controllers.pause(node, false),
            Later::MendLinks(links) => {
                links
                    .iter()
                    .for_each(|(a, b)| self.relays.set_cut(*a, *b, false));
            }
        }
        Ok(())
    }

    fn strike(&mut self, at: f64, kind: FaultKind) -> Result<(), TestbedError> {
        eprintln!("{at:6.1} s  fault: {kind}");
        self.marks.push((at, kind.to_string()));
        match kind {
            FaultKind::MachineFails => self.fail_machines(1, None),
            FaultKind::RackFails => {
                let zone = self.any_zone();
                self.fail_machines(faults::RACK, Some(&zone));
            }
            FaultKind::MachineRestarts => {
                let machines: Vec<u64> = self.machines.keys().copied().collect();
                if let Some(machine) = machines.choose(&mut self.rng).copied() {
                    let process = self.layout.process_of(machine);
                    self.tell(RoleId::Workers(process), &Command::Reboot { machine });
                }
            }
            FaultKind::ZoneCut => self.cut_zone(),
            FaultKind::RegionsApart => self.cut_regions(),
            FaultKind::LeaderKilled => {
                if let Some(leader) = self.leader {
                    self.controllers.kill(leader);
                    self.later(faults::RESTART_S, Later::StartController(leader));
                }
            }
            FaultKind::LeaderStopped => {
                if let Some(leader) = self.leader {
                    self.controllers.pause(leader, true);
                    self.later(faults::STOPPED_S, Later::GoOn(leader));
                }
            }
            FaultKind::StateSlow => {
                let (delay_s, seconds) = (faults::STATE_DELAY_S, faults::STATE_S);
                self.tell(RoleId::State, &Command::Slow { delay_s, seconds });
            }
            FaultKind::StateRefuses => {
                self.tell(
                    RoleId::State,
                    &Command::Refuse {
                        seconds: faults::STATE_S,
                    },
                );
            }
        }
        Ok(())
    }

    fn any_zone(&mut self) -> String {
        let zone = self.rng.gen_range(0..self.plan.size.zones);
        self.plan.size.zone_name(zone)
    }

    /// Machines stop by themselves; the cloud lists them as failed after a while.
    fn fail_machines(&mut self, count: usize, zone: Option<&str>) {
        let there = self
            .machines
            .iter()
            .filter(|(_, (_, z))| zone.is_none_or(|zone| zone == z));
        let mut machines: Vec<u64> = there.map(|(machine, _)| *machine).collect();
        machines.shuffle(&mut self.rng);
        for machine in machines.into_iter().take(count) {
            let process = self.layout.process_of(machine);
            self.tell(RoleId::Workers(process), &Command::Remove { machine });
            self.tell(RoleId::Cloud, &Command::Failed { machine });
        }
    }

    /// A zone with its workers and controllers loses everything outside.
    fn cut_zone(&mut self) {
        let zone = self.rng.gen_range(0..self.plan.size.zones);
        let all: Vec<usize> = (0..self.plan.size.controllers).collect();
        let (inside, outside): (Vec<usize>, Vec<usize>) = all
            .into_iter()
            .partition(|node| self.layout.zone_of_controller(*node) == zone);
        let name = self.plan.size.zone_name(zone);
        let (within, without): (Vec<String>, Vec<String>) =
            self.layout.zones().into_iter().partition(|z| *z == name);
        self.cut(&inside, &outside, within, without);
        // The state service and the cloud are in no zone: what is cut off loses them.
        self.hold_controllers(inside);
    }

    /// Two regions lose each other. The state service and the cloud are in the first.
    fn cut_regions(&mut self) {
        let regions = self.plan.size.regions;
        if regions < 2 {
            return;
        }
        let first = self.rng.gen_range(0..regions);
        let second = (first + self.rng.gen_range(1..regions)) % regions;
        let (a, b) = (first.min(second), first.max(second));
        let inside = self.layout.controllers_in_region(a);
        let outside = self.layout.controllers_in_region(b);
        let (within, without) = (
            self.layout.zones_in_region(a),
            self.layout.zones_in_region(b),
        );
        self.cut(&inside, &outside, within, without);
        if a == 0 {
            self.hold_controllers(outside);
        }
    }

    fn cut(
        &mut self,
        inside: &[usize],
        outside: &[usize],
        within: Vec<String>,
        without: Vec<String>,
    ) {
        let links: Vec<(usize, usize)> = inside
            .iter()
            .flat_map(|a| outside.iter().map(move |b| (*a, *b)))
            .collect();
        links
            .iter()
            .for_each(|(a, b)| self.relays.set_cut(*a, *b, true));
        self.later(faults::CUT_S, Later::MendLinks(links));
        let seconds = faults::CUT_S;
        let sides = [(within, outside.to_vec()), (without, inside.to_vec())];
        for (zones, controllers) in sides {
            let command = Command::CutZones {
                zones,
                controllers,
                seconds,
            };
            for process in 0..self.layout.worker_processes() {
                self.tell(RoleId::Workers(process), &command);
            }
        }
    }

    fn hold_controllers(&mut self, controllers: Vec<usize>) {
        let command = Command::HoldControllers {
            controllers,
            seconds: faults::CUT_S,
        };
        self.tell(RoleId::State, &command);
        self.tell(RoleId::Cloud, &command);
    }

    // ---- the end ----

    fn finish(mut self) -> Result<Played, TestbedError> {
        // What is not in order yet is so by now.
        self.checker.judge_until(wall_us() + 10_000_000);
        let began_us = wall_us().saturating_sub(self.began.elapsed().as_micros() as u64);
        let since_load = |at: u64| (at as f64 - began_us as f64) / 1e6;
        let steady_us = began_us + (self.measurement.steady_from_s(self.began) * 1e6) as u64;
        let waits = self
            .checker
            .urgent_histogram(steady_us)
            .map_err(|e| TestbedError::Other(e.to_string()))?;
        let limit_ms = (self.plan.size.urgent_start_s * 1e3) as u64;
        let in_time = waits.count_between(0, limit_ms) as f64 / waits.len().max(1) as f64;
        let starts: Vec<(f64, f64)> = self
            .checker
            .starts
            .iter()
            .map(|(s, n)| (since_load(s * 1_000_000), *n as f64))
            .filter(|(at, _)| *at >= 0.0 && *at <= self.plan.seconds)
            .collect();
        let urgent = self
            .checker
            .urgent_waits
            .iter()
            .map(|(at, ms)| (since_load(*at), ms / 1e3))
            .collect();
        let measured = self.measurement.figures();
        // Jobs start a while after they are due.
        let from_s =
            self.measurement.steady_from_s(self.began) - START_LAG * self.plan.size.report_s;
        let offered = self
            .checker
            .workload()
            .offered(from_s, from_s + measured.seconds);
        let all = self.checker.workload().offered(0.0, self.plan.seconds);
        let mut broken = self.checker.broken.clone();
        broken.extend(measured.broken.clone());
        let figures = Figures {
            urgent_start_ms: times(&waits, 1.0),
            urgent_in_time: in_time,
            offered_per_s: offered.tasks as f64 / measured.seconds,
            offered_running: offered.running,
            kept_up: self.checker.counts.tasks_started as f64 / all.tasks.max(1) as f64,
            lead_changes: self.lead_changes,
            configuration: self.configuration,
            longest_without_start_s: longest_gap(&starts, self.plan.seconds),
            jobs: self.checker.counts,
            late_starts: self.checker.late_starts,
            broken,
            fallen: self.fallen,
            processes: self.plan.size.controllers + self.roles.len() + 1,
            machine_memory_mb: usage::machine_memory_mb(),
            faults: self
                .marks
                .iter()
                .map(|(at, kind)| format!("{kind}@{at:.1}"))
                .collect(),
            ..measured
        };
        Ok(Played {
            figures,
            starts,
            urgent,
            marks: self.marks,
        })
    }
}

/// The longest time between seconds with starts.
fn longest_gap(starts: &[(f64, f64)], until: f64) -> f64 {
    let mut times: Vec<f64> = starts
        .iter()
        .filter(|(_, n)| *n > 0.0)
        .map(|(at, _)| *at)
        .collect();
    if times.is_empty() {
        return until;
    }
    times.push(until);
    // Starts are counted by whole seconds: neighbours are no gap.
    times
        .windows(2)
        .map(|w| (w[1] - w[0] - 1.0).max(0.0))
        .fold(0.0, f64::max)
}

fn role_plans(
    plan: &RunPlan,
    layout: &Layout,
    workload: &Workload,
    seed: u64,
) -> Vec<(RoleId, RolePlan)> {
    let table = &plan.size.platform;
    let state = RolePlan::State {
        addresses: layout.state_addresses(),
        limits: StateLimits {
            rps: table.state_rps,
            write_rps: table.state_write_rps,
            value_kb: table.value_kb,
            txn_ops: table.txn_ops as usize,
        },
    };
    let spare = (plan.size.workers as f64 * SPARE / plan.size.zones as f64).ceil() as u32;
    let cloud = RolePlan::Cloud {
        addresses: layout.cloud_addresses(),
        rps: table.cloud_rps,
        list_lag_s: table.list_lag_s,
        machines: MachinePlan {
            cpus: plan.size.machine.cpus,
            memory_gb: plan.size.machine.memory_gb,
            boot_s: plan.size.machine.boot_s,
            owned: layout.owned(),
            spare,
        },
        zones: layout.zones(),
        seed,
    };
    let workers = (0..layout.worker_processes()).map(|process| {
        let role = RolePlan::Workers {
            controllers: user_addresses(layout),
            addresses: layout.worker_addresses(process),
            report_s: plan.size.report_s,
            lease_s: table.lease_s,
            cancel_s: table.cancel_s,
            workload: workload.clone(),
            real: layout.is_real(process),
        };
        (RoleId::Workers(process), role)
    });
    [(RoleId::State, state), (RoleId::Cloud, cloud)]
        .into_iter()
        .chain(workers)
        .collect()
}

fn users_plan(plan: &RunPlan, layout: &Layout, workload: &Workload) -> (RoleId, RolePlan) {
    let role = RolePlan::Users {
        controllers: user_addresses(layout),
        workload: workload.clone(),
        seconds: plan.seconds,
        seed: workload.seed,
    };
    (RoleId::Users, role)
}

fn user_addresses(layout: &Layout) -> Vec<std::net::SocketAddrV4> {
    layout.deployment().nodes.iter().map(|n| n.users).collect()
}
