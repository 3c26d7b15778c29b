//! Emulator of a worker: its incarnation, fencing token, lease, images and tasks.
//!
//! A worker reports to one controller at a time and moves on to the next when it gets no
//! answer. Its lease is renewed by each answer that it accepts, from the time at which the
//! answered report was sent; when it expires, everything on the machine ends and a new
//! incarnation begins. Invariants that the controllers rely on (PROTOCOL, "Workers"):
//!
//! - an answer or a direct message with an older fencing token changes nothing;
//! - an answer to a report of an earlier incarnation changes nothing;
//! - one attempt of a task runs at most once.

pub(crate) mod protocol;

use crate::cloud::{Instance, InstanceType};
use crate::job::{job_id, JobPlan, MachineAttributes};
use crate::{decode, response, Micros, ProtocolFaults, Response, SECOND};
use beamhinge_core::settings;
use protocol::{Command, Verb};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance in comparisons of summed resources.
const EPSILON: f64 = 1e-6;
/// How long it takes to start a task whose image is on the machine.
const CACHED_IMAGE_START: Micros = SECOND / 100;
/// How long it takes to fetch an image.
const IMAGE_FETCH: Micros = SECOND;
/// After this long a task that fails has failed.
const FAILURE_DELAY: Micros = SECOND / 2;
/// The tasks of a service are looked at again after this long.
const SERVICE_CHECK: Micros = 3_600 * SECOND;
/// An answer that changed something is followed by a report after this long.
const PROMPT_REPORT: Micros = SECOND / 2;
/// A redirected worker reports to the leader after this long.
const REDIRECT_DELAY: Micros = SECOND / 10;
/// Shortest time between two reports that nothing triggered.
const MIN_REPORT_GAP: Micros = SECOND / 2;
/// A worker that got no answer reports to the next controller after this long.
const NEXT_CONTROLLER_DELAY: Micros = SECOND;
/// The expiry of a lease is noticed this long after it.
const EXPIRY_MARGIN: Micros = 1_000;
/// Port of the simulated address of machine number zero.
const BASE_PORT: u64 = 10_000;

/// Why a task is no longer on the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitReason {
    Done,
    Error,
    /// By a command.
    Stopped,
    /// Refused: another attempt of the task is there.
    AlreadyOnMachine,
    /// Refused: the worker does not know the job.
    UnknownJob,
    /// Refused: too little is free.
    NoCapacity,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskStatus {
    FetchingImage,
    Running,
    Exited(ExitReason),
}

/// One attempt of a task on the machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// `JOB/INDEX`.
    pub task_id: String,
    /// Number of the attempt, counted by the controllers.
    pub attempt: u64,
    status: TaskStatus,
    /// When its status changes next by itself.
    until: Micros,
}

impl Task {
    fn is(&self, task_id: &str, attempt: u64) -> bool {
        self.task_id == task_id && self.attempt == attempt
    }

    fn has_exited(&self) -> bool {
        matches!(self.status, TaskStatus::Exited(_))
    }

    fn event(&self, transition: TaskTransition) -> TaskEvent {
        TaskEvent {
            task_id: self.task_id.clone(),
            attempt: self.attempt,
            transition,
        }
    }
}

/// A task started or ended on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskEvent {
    /// `JOB/INDEX`.
    pub task_id: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// What happened to it.
    pub transition: TaskTransition,
}

/// What happened to a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskTransition {
    /// It runs from here on.
    #[serde(rename = "Began")]
    Started,
    /// It came to its own end.
    #[serde(rename = "Ended")]
    Finished,
    /// It was stopped, by command or since the lease expired.
    Stopped,
}

/// Faults of one machine and its links.
#[derive(Clone, Copy, Debug)]
pub struct MachineFaults {
    /// The machine has no network until then.
    pub cut_until: Micros,
    /// The machine stands still until then.
    pub hang_until: Micros,
    /// Its reports go out, and neither answers nor commands reach it until then.
    pub inbound_cut_until: Micros,
    /// Its reports reach no controller, while direct commands reach it, until then.
    pub outbound_cut_until: Micros,
    /// When the cloud reclaims it, as it was told.
    pub reclaim_at: Option<Micros>,
    /// Every task fails on it.
    pub tasks_fail: bool,
    /// Tasks take this many times as long.
    pub slowdown: f64,
}

impl Default for MachineFaults {
    fn default() -> MachineFaults {
        MachineFaults {
            cut_until: 0,
            hang_until: 0,
            inbound_cut_until: 0,
            outbound_cut_until: 0,
            reclaim_at: None,
            tasks_fail: false,
            slowdown: 1.0,
        }
    }
}

impl MachineFaults {
    /// Until when messages to the worker are lost.
    #[must_use]
    pub fn unreachable_until(&self) -> Micros {
        self.cut_until.max(self.inbound_cut_until)
    }

    /// Until when its reports are lost.
    #[must_use]
    pub fn silent_until(&self) -> Micros {
        self.cut_until.max(self.outbound_cut_until)
    }

    /// Until when it hangs or one of its links is cut.
    #[must_use]
    pub fn faulty_until(&self) -> Micros {
        let cut = self
            .cut_until
            .max(self.inbound_cut_until)
            .max(self.outbound_cut_until);
        self.hang_until.max(cut)
    }

    /// Nothing is wrong with the machine at that time.
    #[must_use]
    pub fn is_healthy(&self, now: Micros) -> bool {
        now >= self.faulty_until()
            && !self.tasks_fail
            && self.slowdown <= 1.0
            && self.reclaim_at.is_none()
    }
}

/// CPUs and memory in GB.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// CPUs.
    pub cpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Capacity {
    /// Whether a task of the job fits into it.
    #[must_use]
    pub fn fits(&self, plan: &JobPlan) -> bool {
        plan.cpus() <= self.cpus + EPSILON && plan.memory_gb() <= self.memory_gb + EPSILON
    }
}

/// What a worker remembers of its exchange with the controllers.
struct Session {
    incarnation: u64,
    /// Of the last report within the incarnation.
    sequence: u64,
    /// The highest that it has seen.
    fencing_token: u64,
    /// When the last report that was answered had been sent; the lease runs from then.
    renewed: Micros,
}

/// A report that is not answered yet.
#[derive(Clone, Copy)]
struct InFlightReport {
    serial: u64,
    sent: Micros,
    incarnation: u64,
}

/// What a worker needs to know beside its own state.
#[derive(Clone, Copy)]
pub struct Environment<'a> {
    /// The present.
    pub now: Micros,
    /// The jobs whose descriptions the worker can read.
    pub jobs: &'a BTreeMap<String, JobPlan>,
    /// How many controllers there are.
    pub controllers: usize,
    /// Violations of the protocol that are asked for.
    pub protocol_faults: ProtocolFaults,
}

/// A report to be sent.
pub struct OutgoingReport {
    /// Number of the controller; reduced to their count by the sender.
    pub controller: usize,
    /// Identifies the report when its answer comes.
    pub serial: u64,
    /// The report.
    pub body: Value,
}

/// The answer to a report.
#[derive(Clone, Copy)]
pub struct ReportAnswer<'a> {
    /// Of the report.
    pub serial: u64,
    /// HTTP status.
    pub status: u16,
    /// Encoded body.
    pub body: &'a [u8],
}

/// The worker of one machine.
pub struct Worker {
    name: String,
    endpoint: String,
    machine_type: String,
    /// Zone of its machine.
    pub zone: String,
    /// Whether the cloud may reclaim its machine.
    pub spot: bool,
    capacity: Capacity,
    /// Time between reports, seconds.
    pub report_s: f64,
    lease: Micros,
    session: Session,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    /// Number of the controller that it reports to.
    controller: usize,
    in_flight: Option<InFlightReport>,
    last_serial: u64,
    next_report: Micros,
    /// Faults of its machine.
    pub faults: MachineFaults,
    /// Tasks that started.
    pub started: u64,
    /// Tasks that ended since the lease expired or the machine restarted.
    pub expired: u64,
    /// Ids of tasks that ended well.
    pub finished: Vec<String>,
    /// What started and ended on the machine, for whoever runs or watches it.
    pub events: Vec<TaskEvent>,
    /// What a controller did against the protocol.
    pub violations: Vec<String>,
    /// Commands run outside: a running task ends when [`Worker::on_process_exit`] says so.
    pub runs_commands: bool,
}

impl Worker {
    /// A worker whose machine is up and empty.
    #[must_use]
    pub fn new(
        id: u64,
        (instance, instance_type): (Instance, InstanceType),
        settings: &settings::WorkerTimings,
        now: Micros,
    ) -> Worker {
        Worker {
            name: crate::cloud::name(id),
            endpoint: simulated_endpoint(id),
            machine_type: instance.machine_type,
            zone: instance.zone,
            spot: instance.spot,
            capacity: Capacity {
                cpus: instance_type.cpus,
                memory_gb: instance_type.memory_gb,
            },
            report_s: settings.report_s,
            lease: (settings.lease_s * 1e6) as Micros,
            session: Session {
                incarnation: 1,
                sequence: 0,
                fencing_token: 0,
                renewed: now,
            },
            tasks: Vec::new(),
            images: BTreeSet::new(),
            controller: id as usize,
            in_flight: None,
            last_serial: 0,
            next_report: now,
            faults: MachineFaults::default(),
            started: 0,
            expired: 0,
            finished: Vec::new(),
            events: Vec::new(),
            violations: Vec::new(),
            runs_commands: false,
        }
    }

    /// Reports this address instead of the simulated one.
    pub fn set_endpoint(&mut self, endpoint: String) {
        self.endpoint = endpoint;
    }

    /// Tasks that run on this machine in the protocol's sense.
    pub fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks
            .iter()
            .filter(|t| t.status == TaskStatus::Running)
    }

    /// Tasks that occupy resources: also those that still fetch their image.
    pub fn occupying(&self) -> impl Iterator<Item = &Task> {
        self.tasks.iter().filter(|t| !t.has_exited())
    }

    /// What is left beside the tasks that occupy resources.
    #[must_use]
    pub fn free(&self, jobs: &BTreeMap<String, JobPlan>) -> Capacity {
        self.occupying().fold(self.capacity, |free, task| {
            let plan = jobs.get(job_id(&task.task_id));
            Capacity {
                cpus: free.cpus - plan.map_or(0.0, JobPlan::cpus),
                memory_gb: free.memory_gb - plan.map_or(0.0, JobPlan::memory_gb),
            }
        })
    }

    /// What a job may constrain of its machine.
    #[must_use]
    pub fn attributes(&self) -> MachineAttributes<'_> {
        MachineAttributes {
            machine_type: &self.machine_type,
            zone: &self.zone,
            spot: self.spot,
        }
    }

    /// The highest fencing token that it has seen.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        self.session.fencing_token
    }

    /// Whether a controller has answered a report that was sent later than this.
    #[must_use]
    pub fn answered_since(&self, at: Micros) -> bool {
        self.session.renewed > at
    }

    /// When the lease runs out.
    fn lease_end(&self) -> Micros {
        self.session.renewed + self.lease
    }

    /// Ends everything on the machine if the lease has expired.
    fn expire(&mut self, now: Micros) {
        if now > self.lease_end() {
            self.drop_tasks();
            self.session.incarnation += 1;
            self.session.renewed = now;
            self.in_flight = None;
        }
    }

    /// All tasks end, without a command of a controller.
    fn drop_tasks(&mut self) {
        for task in self.tasks.drain(..) {
            if task.status == TaskStatus::Running {
                self.events.push(task.event(TaskTransition::Stopped));
                self.expired += 1;
            }
        }
    }

    fn report(&mut self, now: Micros, protocol_faults: ProtocolFaults) -> Value {
        self.session.sequence += 1;
        protocol::encode_report(self, now, protocol_faults)
    }

    /// The next report, if one may go out now.
    pub fn next_report(
        &mut self,
        now: Micros,
        protocol_faults: ProtocolFaults,
    ) -> Option<OutgoingReport> {
        if now < self.faults.hang_until {
            self.next_report = self.faults.hang_until;
            return None;
        }
        self.expire(now);
        if self.in_flight.is_some() || now < self.next_report {
            return None;
        }
        self.last_serial += 1;
        self.in_flight = Some(InFlightReport {
            serial: self.last_serial,
            sent: now,
            incarnation: self.session.incarnation,
        });
        self.next_report = now + MIN_REPORT_GAP;
        Some(OutgoingReport {
            controller: self.controller,
            serial: self.last_serial,
            body: self.report(now, protocol_faults),
        })
    }

    /// Takes the answer to a report; returns when to report next, if that is soon.
    pub fn on_answer(&mut self, answer: ReportAnswer, environment: &Environment) -> Option<Micros> {
        let now = environment.now;
        if now < self.faults.hang_until {
            return None;
        }
        self.expire(now);
        let report = self.in_flight.filter(|r| r.serial == answer.serial)?;
        self.in_flight = None;
        let message = decode(answer.body);
        match answer.status {
            200 => self.on_accepted(report, &message, environment),
            421 => {
                let leader = protocol::leader_label(&message).and_then(controller_number);
                match leader {
                    Some(leader) if leader != self.controller % environment.controllers => {
                        self.controller = leader;
                        self.next_report = now;
                        Some(now + REDIRECT_DELAY)
                    }
                    _ => self.next_controller(now, environment.controllers),
                }
            }
            _ => self.next_controller(now, environment.controllers),
        }
    }

    /// A controller accepted the report: the lease is renewed, its commands are executed.
    fn on_accepted(
        &mut self,
        report: InFlightReport,
        message: &Value,
        environment: &Environment,
    ) -> Option<Micros> {
        let token = protocol::fencing_token(message).unwrap_or(0);
        let stale_token = token < self.session.fencing_token || token == 0;
        if stale_token || report.incarnation != self.session.incarnation {
            return None;
        }
        let higher = token > self.session.fencing_token;
        self.session.fencing_token = token;
        self.session.renewed = report.sent;
        let before = self.tasks.len();
        for order in protocol::commands(message) {
            self.execute(order, environment);
        }
        (higher || before != self.tasks.len()).then_some(environment.now + PROMPT_REPORT)
    }

    fn next_controller(&mut self, now: Micros, controllers: usize) -> Option<Micros> {
        self.controller = (self.controller + 1) % controllers;
        self.next_report = now + NEXT_CONTROLLER_DELAY;
        Some(now + NEXT_CONTROLLER_DELAY)
    }

    /// No answer to a report came in time; returns when to report next.
    pub fn on_timeout(&mut self, now: Micros, serial: u64, controllers: usize) -> Option<Micros> {
        self.in_flight.filter(|r| r.serial == serial)?;
        self.in_flight = None;
        self.next_controller(now, controllers)
    }

    /// Takes commands that a controller sent directly; returns the answer.
    pub fn on_direct_command(&mut self, body: &[u8], environment: &Environment) -> Response {
        let now = environment.now;
        self.expire(now);
        let message = decode(body);
        let token = protocol::fencing_token(&message);
        let (Some(token), Some(incarnation)) = (token, protocol::incarnation(&message)) else {
            return response(400, &json!({}));
        };
        let current =
            token >= self.session.fencing_token && incarnation == self.session.incarnation;
        self.session.fencing_token = self.session.fencing_token.max(token);
        if current {
            for order in protocol::commands(&message) {
                // Guard 2: `run` must never come this way, since it could act late.
                if let Some(task) = protocol::task_to_run(order) {
                    self.violations.push(format!("a direct `run` of {task}"));
                    continue;
                }
                self.execute(order, environment);
            }
        }
        let status = if current { 200 } else { 409 };
        response(status, &self.report(now, ProtocolFaults::default()))
    }

    fn execute(&mut self, order: &Value, environment: &Environment) {
        let Some(command) = Command::decode(order) else {
            return;
        };
        match command.verb {
            Verb::Run => self.run(command.task_id, command.attempt, environment),
            Verb::Kill if !environment.protocol_faults.ignore_kill => {
                self.kill(command.task_id, command.attempt);
            }
            Verb::Kill => {}
            Verb::Clear => self
                .tasks
                .retain(|t| !(t.is(command.task_id, command.attempt) && t.has_exited())),
        }
    }

    /// Starts to fetch the image of a task, or refuses it.
    fn run(&mut self, task_id: &str, attempt: u64, environment: &Environment) {
        if self.tasks.iter().any(|t| t.is(task_id, attempt)) {
            return;
        }
        let plan = environment.jobs.get(job_id(task_id));
        let refusal = if self.occupying().any(|t| t.task_id == task_id) {
            Some(ExitReason::AlreadyOnMachine)
        } else if plan.is_none() {
            Some(ExitReason::UnknownJob)
        } else if plan.is_some_and(|p| !self.free(environment.jobs).fits(p)) {
            Some(ExitReason::NoCapacity)
        } else {
            None
        };
        let image = plan.and_then(JobPlan::image).unwrap_or("");
        let fetch = if self.images.contains(image) {
            CACHED_IMAGE_START
        } else {
            IMAGE_FETCH
        };
        self.tasks.push(Task {
            task_id: task_id.into(),
            attempt,
            status: refusal.map_or(TaskStatus::FetchingImage, TaskStatus::Exited),
            until: environment.now + fetch,
        });
    }

    fn kill(&mut self, task_id: &str, attempt: u64) {
        let live = |t: &&mut Task| t.is(task_id, attempt) && !t.has_exited();
        for task in self.tasks.iter_mut().filter(live) {
            if task.status == TaskStatus::Running {
                self.events.push(task.event(TaskTransition::Stopped));
            }
            task.status = TaskStatus::Exited(ExitReason::Stopped);
        }
    }

    /// Advances the tasks to `now`; returns whether something changed.
    pub fn step(&mut self, now: Micros, jobs: &BTreeMap<String, JobPlan>) -> bool {
        // A machine that hangs beyond its lease resumes without its tasks.
        self.expire(now);
        if now < self.faults.hang_until {
            return false;
        }
        let mut changed = false;
        for index in 0..self.tasks.len() {
            let task = &self.tasks[index];
            if task.until > now {
                continue;
            }
            let plan = jobs.get(job_id(&task.task_id));
            changed |= match task.status {
                TaskStatus::FetchingImage => {
                    self.start(index, now, plan);
                    true
                }
                TaskStatus::Running => self.finish(index, now, plan),
                TaskStatus::Exited(_) => false,
            };
        }
        changed
    }

    /// The image of a task is there: it runs from now on.
    fn start(&mut self, index: usize, now: Micros, plan: Option<&JobPlan>) {
        if let Some(image) = plan.and_then(JobPlan::image) {
            self.images.insert(image.into());
        }
        self.started += 1;
        let fails = self.faults.tasks_fail || plan.is_some_and(|p| p.fails);
        let run_s = plan.map_or(1.0, |p| p.run_s) * self.faults.slowdown;
        let task = &mut self.tasks[index];
        task.status = TaskStatus::Running;
        self.events.push(task.event(TaskTransition::Started));
        task.until = if self.runs_commands && plan.is_some_and(|p| p.command.is_some()) {
            // Until its process ends.
            Micros::MAX
        } else if fails {
            now + FAILURE_DELAY
        } else {
            now + (run_s * 1e6) as Micros
        };
    }

    /// The time of a running task is over; returns whether that ends it.
    fn finish(&mut self, index: usize, now: Micros, plan: Option<&JobPlan>) -> bool {
        let task = &mut self.tasks[index];
        if plan.is_some_and(JobPlan::is_service) {
            task.until = now + SERVICE_CHECK;
            return false;
        }
        let fails = self.faults.tasks_fail || plan.is_some_and(|p| p.fails);
        self.exit(index, !fails);
        true
    }

    /// A running task ends by itself.
    fn exit(&mut self, index: usize, success: bool) {
        let task = &mut self.tasks[index];
        task.status = TaskStatus::Exited(if success {
            ExitReason::Done
        } else {
            ExitReason::Error
        });
        self.events.push(task.event(TaskTransition::Finished));
        if success {
            self.finished.push(task.task_id.clone());
        }
    }

    /// The process of a task has ended.
    pub fn on_process_exit(&mut self, task_id: &str, attempt: u64, success: bool) {
        let running = |t: &Task| t.is(task_id, attempt) && t.status == TaskStatus::Running;
        if let Some(index) = self.tasks.iter().position(running) {
            self.exit(index, success);
        }
    }

    /// The machine restarts: its worker knows nothing of its tasks, its images or any
    /// fencing token, and begins its next incarnation.
    pub fn reboot(&mut self, now: Micros) {
        // Counted like those that a lease ends: no controller stopped them.
        self.drop_tasks();
        // Away for a moment, which explains the loss.
        self.faults.hang_until = now;
        self.images.clear();
        self.session.incarnation += 1;
        self.session.fencing_token = 0;
        self.session.renewed = now;
        self.in_flight = None;
        self.next_report = now;
    }

    /// As [`Worker::reboot`], and its counts begin anew as well: what it reports looks old.
    pub fn reset(&mut self, now: Micros) {
        self.reboot(now);
        self.session.incarnation = 1;
        self.session.sequence = 0;
    }

    /// The machine goes: whatever runs on it ends with it.
    pub fn shut_down(&mut self) -> Vec<TaskEvent> {
        self.session.renewed = 0;
        self.expire(Micros::MAX / 2);
        std::mem::take(&mut self.events)
    }

    /// When [`Worker::step`] has something to do next.
    #[must_use]
    pub fn next_step(&self, now: Micros) -> Option<Micros> {
        let tasks = self.occupying().map(|t| t.until);
        let lease = (!self.tasks.is_empty()).then_some(self.lease_end() + EXPIRY_MARGIN);
        let hang = (self.faults.hang_until > now).then_some(self.faults.hang_until);
        tasks.chain(lease).chain(hang).filter(|t| *t > now).min()
    }
}

/// Where the worker of a machine listens in simulated time.
#[must_use]
pub fn simulated_endpoint(machine: u64) -> String {
    format!("127.0.0.1:{}", BASE_PORT + machine)
}

/// The machine whose worker listens on that port in simulated time.
#[must_use]
pub fn machine_at_port(port: u16) -> u64 {
    u64::from(port) - BASE_PORT
}

/// The number of the controller with this label: labels are single letters from `a`.
fn controller_number(label: &str) -> Option<usize> {
    let letter = label.bytes().next()?;
    (label.len() == 1 && letter.is_ascii_lowercase()).then(|| usize::from(letter - b'a'))
}
