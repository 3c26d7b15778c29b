//! Emulator of a worker, the agent on a rented machine: its incarnation, fencing token, lease,
//! cached images and tasks.
//!
//! A worker reports to one controller at a time and switches to the next one when a report is
//! not answered. Each answer that it accepts renews its lease, counted from the time at which
//! the answered report was sent. When the lease expires, the worker terminates all tasks and
//! starts a new incarnation. Invariants that the controllers rely on (PROTOCOL, "Workers"):
//!
//! - an answer or a direct message with an older fencing token changes nothing;
//! - an answer to a report of an earlier incarnation changes nothing;
//! - each attempt of a task runs at most once.

pub(crate) mod protocol;

use crate::cloud::{Instance, InstanceType};
use crate::job::{job_id, JobPlan, MachineAttributes};
use crate::{decode, response, Micros, ProtocolFaults, Response, SECOND};
use beamhinge_core::settings;
use protocol::{Command, Verb};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Rounding tolerance for comparisons of summed resources.
const RESOURCE_TOLERANCE: f64 = 1e-6;
/// Start time of a task whose image is already on the machine.
const CACHED_IMAGE_START_TIME: Micros = SECOND / 100;
/// Time to fetch an image.
const IMAGE_FETCH_TIME: Micros = SECOND;
/// Delay between the start of a failing task and its failure.
const FAILURE_DELAY: Micros = SECOND / 2;
/// Interval at which a running service task, which never finishes, is re-examined.
const SERVICE_CHECK_INTERVAL: Micros = 3_600 * SECOND;
/// Delay of the next report after an answer that changed the worker's state.
const PROMPT_REPORT_DELAY: Micros = SECOND / 2;
/// Delay before a redirected worker reports to the leader.
const REDIRECT_DELAY: Micros = SECOND / 10;
/// Minimum time between two reports that no event triggered.
const MIN_REPORT_GAP: Micros = SECOND / 2;
/// Delay before a worker reports to the next controller after a failed or unanswered report.
const NEXT_CONTROLLER_DELAY: Micros = SECOND;
/// Delay between the expiry of a lease and the step that processes it.
const EXPIRY_CHECK_DELAY: Micros = 1_000;
/// Port of the simulated endpoint of machine 0.
const BASE_PORT: u64 = 10_000;

/// Why a task has exited or was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExitReason {
    Done,
    Error,
    /// Stopped by a `kill` command.
    Stopped,
    /// Refused: another attempt of the task is on the machine.
    AlreadyOnMachine,
    /// Refused: the worker does not know the job.
    UnknownJob,
    /// Refused: insufficient free capacity.
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
    /// When its status changes next without a command.
    next_change_at: Micros,
}

impl Task {
    fn is_attempt(&self, task_id: &str, attempt: u64) -> bool {
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

/// A task started, finished or was stopped on a machine.
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
    /// It started to run.
    #[serde(rename = "Began")]
    Started,
    /// It finished without being stopped, successfully or not.
    #[serde(rename = "Ended")]
    Finished,
    /// It was stopped by a command, or because the lease expired or the machine went down.
    Stopped,
}

/// Injected faults of one machine and its network links.
#[derive(Clone, Copy, Debug)]
pub struct MachineFaults {
    /// The machine is disconnected in both directions until this time.
    pub cut_until: Micros,
    /// The machine hangs until this time.
    pub hang_until: Micros,
    /// Inbound traffic is cut until this time: the worker's reports are delivered, but neither
    /// answers nor commands reach it.
    pub inbound_cut_until: Micros,
    /// Outbound traffic is cut until this time: the worker's reports are lost, but direct
    /// commands reach it.
    pub outbound_cut_until: Micros,
    /// When the cloud reclaims the machine, as announced to the worker; `None` if no reclaim is
    /// announced.
    pub reclaim_at: Option<Micros>,
    /// Whether every task on the machine fails.
    pub tasks_fail: bool,
    /// Factor by which run times of tasks are multiplied.
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
    /// The time until which messages to the worker are lost.
    #[must_use]
    pub fn unreachable_until(&self) -> Micros {
        self.cut_until.max(self.inbound_cut_until)
    }

    /// The time until which the worker's reports are lost.
    #[must_use]
    pub fn reports_lost_until(&self) -> Micros {
        self.cut_until.max(self.outbound_cut_until)
    }

    /// The time until which the machine hangs or one of its links is cut.
    #[must_use]
    pub fn faulty_until(&self) -> Micros {
        let cut = self
            .cut_until
            .max(self.inbound_cut_until)
            .max(self.outbound_cut_until);
        self.hang_until.max(cut)
    }

    /// Whether no fault affects the machine at `now`.
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
    /// Whether one task of the job fits into this capacity.
    #[must_use]
    pub fn fits(&self, plan: &JobPlan) -> bool {
        plan.cpus() <= self.cpus + RESOURCE_TOLERANCE
            && plan.memory_gb() <= self.memory_gb + RESOURCE_TOLERANCE
    }
}

/// State of the worker's report protocol.
struct Session {
    incarnation: u64,
    /// Sequence number of the last report of this incarnation.
    sequence: u64,
    /// The highest fencing token that the worker has seen.
    fencing_token: u64,
    /// When the last report whose answer was accepted was sent; the lease runs from this time.
    renewed_at: Micros,
}

/// A report that has not been answered yet.
#[derive(Clone, Copy)]
struct InFlightReport {
    serial: u64,
    sent_at: Micros,
    incarnation: u64,
}

/// Inputs of a worker that are not part of its state.
#[derive(Clone, Copy)]
pub struct Environment<'a> {
    /// The current time.
    pub now: Micros,
    /// The jobs whose descriptions the worker can read.
    pub jobs: &'a BTreeMap<String, JobPlan>,
    /// Number of controllers.
    pub controllers: usize,
    /// Protocol violations that the emulators commit deliberately.
    pub protocol_faults: ProtocolFaults,
}

/// A report to send.
pub struct OutgoingReport {
    /// Index of the controller; the sender takes it modulo the number of controllers.
    pub controller: usize,
    /// Matches the answer to this report.
    pub serial: u64,
    /// The message body, not yet encoded.
    pub body: Value,
}

/// The answer to a report.
#[derive(Clone, Copy)]
pub struct ReportAnswer<'a> {
    /// Serial number of the answered report.
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
    lease_duration: Micros,
    session: Session,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    /// Index of the controller that the worker reports to.
    controller: usize,
    in_flight: Option<InFlightReport>,
    last_serial: u64,
    next_report: Micros,
    /// Injected faults of its machine.
    pub faults: MachineFaults,
    /// Number of tasks that started.
    pub started: u64,
    /// Number of running tasks that were terminated by a lease expiry or a machine restart.
    pub expired: u64,
    /// Ids of tasks that finished successfully.
    pub finished: Vec<String>,
    /// Task events that the caller has not taken yet.
    pub events: Vec<TaskEvent>,
    /// Protocol violations by controllers, as text.
    pub violations: Vec<String>,
    /// Tasks with a command line run as processes: such a task finishes when
    /// [`Worker::on_process_exit`] is called.
    pub runs_commands: bool,
}

impl Worker {
    /// Creates the worker of a machine that is up and runs no task.
    #[must_use]
    pub fn new(
        id: u64,
        (instance, instance_type): (Instance, InstanceType),
        settings: &settings::WorkerTimings,
        now: Micros,
    ) -> Worker {
        Worker {
            name: crate::cloud::machine_name(id),
            endpoint: simulated_endpoint(id),
            machine_type: instance.machine_type,
            zone: instance.zone,
            spot: instance.spot,
            capacity: Capacity {
                cpus: instance_type.cpus,
                memory_gb: instance_type.memory_gb,
            },
            report_s: settings.report_s,
            lease_duration: (settings.lease_s * 1e6) as Micros,
            session: Session {
                incarnation: 1,
                sequence: 0,
                fencing_token: 0,
                renewed_at: now,
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

    /// Sets the endpoint that the worker reports, in place of the simulated one.
    pub fn set_endpoint(&mut self, endpoint: String) {
        self.endpoint = endpoint;
    }

    /// Tasks whose status in the protocol is `running`.
    pub fn running(&self) -> impl Iterator<Item = &Task> {
        self.tasks
            .iter()
            .filter(|t| t.status == TaskStatus::Running)
    }

    /// Tasks that occupy resources: those that run and those that still fetch their image.
    pub fn occupying(&self) -> impl Iterator<Item = &Task> {
        self.tasks.iter().filter(|t| !t.has_exited())
    }

    /// Capacity that no task occupies.
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

    /// The attributes of the machine that a job may constrain.
    #[must_use]
    pub fn attributes(&self) -> MachineAttributes<'_> {
        MachineAttributes {
            machine_type: &self.machine_type,
            zone: &self.zone,
            spot: self.spot,
        }
    }

    /// The highest fencing token that the worker has seen.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        self.session.fencing_token
    }

    /// Whether the worker has accepted an answer to a report sent after `at`.
    #[must_use]
    pub fn answered_since(&self, at: Micros) -> bool {
        self.session.renewed_at > at
    }

    /// When the lease expires.
    fn lease_end(&self) -> Micros {
        self.session.renewed_at + self.lease_duration
    }

    /// Terminates all tasks and starts a new incarnation if the lease has expired.
    fn expire_lease(&mut self, now: Micros) {
        if now > self.lease_end() {
            self.terminate_tasks();
            self.session.incarnation += 1;
            self.session.renewed_at = now;
            self.in_flight = None;
        }
    }

    /// Terminates all tasks without a command from a controller.
    fn terminate_tasks(&mut self) {
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

    /// Returns the next report, or `None` if none may be sent now.
    pub fn next_report(
        &mut self,
        now: Micros,
        protocol_faults: ProtocolFaults,
    ) -> Option<OutgoingReport> {
        if now < self.faults.hang_until {
            self.next_report = self.faults.hang_until;
            return None;
        }
        self.expire_lease(now);
        if self.in_flight.is_some() || now < self.next_report {
            return None;
        }
        self.last_serial += 1;
        self.in_flight = Some(InFlightReport {
            serial: self.last_serial,
            sent_at: now,
            incarnation: self.session.incarnation,
        });
        self.next_report = now + MIN_REPORT_GAP;
        Some(OutgoingReport {
            controller: self.controller,
            serial: self.last_serial,
            body: self.report(now, protocol_faults),
        })
    }

    /// Processes the answer to a report. Returns when to report next if that is earlier than the
    /// regular interval.
    pub fn on_answer(&mut self, answer: ReportAnswer, environment: &Environment) -> Option<Micros> {
        let now = environment.now;
        if now < self.faults.hang_until {
            return None;
        }
        self.expire_lease(now);
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
                    _ => self.switch_controller(now, environment.controllers),
                }
            }
            _ => self.switch_controller(now, environment.controllers),
        }
    }

    /// Processes the answer of a controller that accepted the report: renews the lease and
    /// executes the commands. An answer with an older or missing fencing token, or to a report of
    /// an earlier incarnation, is ignored.
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
        let token_increased = token > self.session.fencing_token;
        self.session.fencing_token = token;
        self.session.renewed_at = report.sent_at;
        let tasks_before = self.tasks.len();
        for encoded in protocol::commands(message) {
            self.execute(encoded, environment);
        }
        (token_increased || tasks_before != self.tasks.len())
            .then_some(environment.now + PROMPT_REPORT_DELAY)
    }

    fn switch_controller(&mut self, now: Micros, controllers: usize) -> Option<Micros> {
        self.controller = (self.controller + 1) % controllers;
        self.next_report = now + NEXT_CONTROLLER_DELAY;
        Some(now + NEXT_CONTROLLER_DELAY)
    }

    /// Processes the timeout of a report; returns when to report next.
    pub fn on_timeout(&mut self, now: Micros, serial: u64, controllers: usize) -> Option<Micros> {
        self.in_flight.filter(|r| r.serial == serial)?;
        self.in_flight = None;
        self.switch_controller(now, controllers)
    }

    /// Processes commands that a controller sent directly; returns the answer.
    pub fn on_direct_command(&mut self, body: &[u8], environment: &Environment) -> Response {
        let now = environment.now;
        self.expire_lease(now);
        let message = decode(body);
        let token = protocol::fencing_token(&message);
        let (Some(token), Some(incarnation)) = (token, protocol::incarnation(&message)) else {
            return response(400, &json!({}));
        };
        let current =
            token >= self.session.fencing_token && incarnation == self.session.incarnation;
        self.session.fencing_token = self.session.fencing_token.max(token);
        if current {
            for encoded in protocol::commands(&message) {
                // Guard 2: `run` must never be sent directly, since a delayed message could
                // start a task late.
                if let Some(task) = protocol::task_to_run(encoded) {
                    self.violations
                        .push(format!("direct command to run {task}"));
                    continue;
                }
                self.execute(encoded, environment);
            }
        }
        let status = if current { 200 } else { 409 };
        response(status, &self.report(now, ProtocolFaults::default()))
    }

    fn execute(&mut self, encoded: &Value, environment: &Environment) {
        let Some(command) = Command::decode(encoded) else {
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
                .retain(|t| !(t.is_attempt(command.task_id, command.attempt) && t.has_exited())),
        }
    }

    /// Starts to fetch the image of a task, or refuses the task.
    fn run(&mut self, task_id: &str, attempt: u64, environment: &Environment) {
        if self.tasks.iter().any(|t| t.is_attempt(task_id, attempt)) {
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
        let start_delay = if self.images.contains(image) {
            CACHED_IMAGE_START_TIME
        } else {
            IMAGE_FETCH_TIME
        };
        self.tasks.push(Task {
            task_id: task_id.into(),
            attempt,
            status: refusal.map_or(TaskStatus::FetchingImage, TaskStatus::Exited),
            next_change_at: environment.now + start_delay,
        });
    }

    fn kill(&mut self, task_id: &str, attempt: u64) {
        let is_live = |t: &&mut Task| t.is_attempt(task_id, attempt) && !t.has_exited();
        for task in self.tasks.iter_mut().filter(is_live) {
            if task.status == TaskStatus::Running {
                self.events.push(task.event(TaskTransition::Stopped));
            }
            task.status = TaskStatus::Exited(ExitReason::Stopped);
        }
    }

    /// Advances the tasks to `now`; returns whether something changed.
    pub fn step(&mut self, now: Micros, jobs: &BTreeMap<String, JobPlan>) -> bool {
        // A machine that hangs past its lease expiry resumes without its tasks.
        self.expire_lease(now);
        if now < self.faults.hang_until {
            return false;
        }
        let mut changed = false;
        for index in 0..self.tasks.len() {
            let task = &self.tasks[index];
            if task.next_change_at > now {
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

    /// Starts a task whose image has been fetched.
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
        task.next_change_at = if self.runs_commands && plan.is_some_and(|p| p.command.is_some()) {
            // The task finishes when its process exits.
            Micros::MAX
        } else if fails {
            now + FAILURE_DELAY
        } else {
            now + (run_s * 1e6) as Micros
        };
    }

    /// Finishes a running task whose run time has elapsed; returns `false` for a service, which
    /// keeps running.
    fn finish(&mut self, index: usize, now: Micros, plan: Option<&JobPlan>) -> bool {
        let task = &mut self.tasks[index];
        if plan.is_some_and(JobPlan::is_service) {
            task.next_change_at = now + SERVICE_CHECK_INTERVAL;
            return false;
        }
        let fails = self.faults.tasks_fail || plan.is_some_and(|p| p.fails);
        self.exit(index, !fails);
        true
    }

    /// Marks a running task as exited without a stop command.
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

    /// Marks the task as exited after its process has exited.
    pub fn on_process_exit(&mut self, task_id: &str, attempt: u64, success: bool) {
        let running = |t: &Task| t.is_attempt(task_id, attempt) && t.status == TaskStatus::Running;
        if let Some(index) = self.tasks.iter().position(running) {
            self.exit(index, success);
        }
    }

    /// Restarts the machine: its worker loses its tasks, images and fencing token, and starts
    /// its next incarnation.
    pub fn reboot(&mut self, now: Micros) {
        // Counted like tasks terminated by a lease expiry: no controller stopped them.
        self.terminate_tasks();
        // Records that the machine was down at `now`, which explains the lost tasks.
        self.faults.hang_until = now;
        self.images.clear();
        self.session.incarnation += 1;
        self.session.fencing_token = 0;
        self.session.renewed_at = now;
        self.in_flight = None;
        self.next_report = now;
    }

    /// Restarts the machine as [`Worker::reboot`] does and also resets the incarnation and the
    /// sequence number, so that its reports appear to be older than earlier ones.
    pub fn reset(&mut self, now: Micros) {
        self.reboot(now);
        self.session.incarnation = 1;
        self.session.sequence = 0;
    }

    /// Terminates all tasks because the machine is removed; returns the pending task events.
    pub fn shut_down(&mut self) -> Vec<TaskEvent> {
        self.session.renewed_at = 0;
        self.expire_lease(Micros::MAX / 2);
        std::mem::take(&mut self.events)
    }

    /// The next time after `now` at which [`Worker::step`] has work to do; `None` if there is
    /// none.
    #[must_use]
    pub fn next_step(&self, now: Micros) -> Option<Micros> {
        let tasks = self.occupying().map(|t| t.next_change_at);
        let lease = (!self.tasks.is_empty()).then_some(self.lease_end() + EXPIRY_CHECK_DELAY);
        let hang = (self.faults.hang_until > now).then_some(self.faults.hang_until);
        tasks.chain(lease).chain(hang).filter(|t| *t > now).min()
    }
}

/// The endpoint of a machine's worker in simulated time.
#[must_use]
pub fn simulated_endpoint(machine: u64) -> String {
    format!("127.0.0.1:{}", BASE_PORT + machine)
}

/// The number of the machine whose worker listens on `port` in simulated time.
#[must_use]
pub fn machine_at_port(port: u16) -> u64 {
    u64::from(port) - BASE_PORT
}

/// The index of the controller with this label; labels are single letters starting at `a`.
/// `None` for any other label.
fn controller_number(label: &str) -> Option<usize> {
    let letter = label.bytes().next()?;
    (label.len() == 1 && letter.is_ascii_lowercase()).then(|| usize::from(letter - b'a'))
}
