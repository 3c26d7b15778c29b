//! The workers of one process. Each has its own connection and address, and the timers,
//! incarnation, fencing token, images and lease of the model.
//!
//! With [`Processes`], tasks run command lines; without, tasks are timers. The two modes do not
//! differ otherwise.

use crate::cloud::{Instance, InstanceType};
use crate::job::{job_id, JobPlan};
use crate::processes::Processes;
use crate::worker::protocol::{tasks_to_run, COMMAND_PATH, REPORT_PATH};
use crate::worker::{Environment, ReportAnswer, TaskEvent, TaskTransition, Worker};
use crate::{decode, Micros, ProtocolFaults, Response, SECOND};
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::settings;
use beamhinge_core::types::CallId;
use beamhinge_core::wire;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Maximum number of job descriptions cached for the workers.
const MAX_PLANS: usize = 20_000;
/// Time that a worker waits for an answer, seconds (PROTOCOL, "Workers").
const ANSWER_TIMEOUT_S: f64 = 4.0;
/// Delay between a direct command and the worker's next report.
const REPORT_AFTER_COMMAND: Micros = SECOND / 10;

/// A task event on a machine, for an observer that records a history.
#[derive(Clone, Debug)]
pub struct MachineEvent {
    /// Time of the event.
    pub at: Micros,
    /// Number of the machine.
    pub machine: u64,
    /// The task event.
    pub event: TaskEvent,
}

/// Callback for every task event on the machines.
pub type MachineObserver = Box<dyn FnMut(MachineEvent) + Send>;

/// A report that has not been answered yet.
struct InFlightReport {
    machine: u64,
    serial: u64,
}

/// Configuration of a pool of workers.
pub struct WorkerPoolConfig {
    /// The controllers' public addresses, in the order of their labels.
    pub controllers: Vec<SocketAddrV4>,
    /// The published timings of workers.
    pub settings: settings::WorkerTimings,
    /// Runs the command lines of tasks; if `None`, tasks are timers.
    pub processes: Option<Processes>,
    /// Protocol violations that the workers commit deliberately.
    pub protocol_faults: ProtocolFaults,
    /// Called for every task event on the machines.
    pub observer: MachineObserver,
}

/// The workers of a platform, by machine number.
pub struct WorkerPool {
    workers: BTreeMap<u64, Worker>,
    /// When each worker sends its next report.
    report_due: BTreeMap<u64, Micros>,
    plans: BTreeMap<String, JobPlan>,
    controllers: Vec<SocketAddrV4>,
    settings: settings::WorkerTimings,
    protocol_faults: ProtocolFaults,
    in_flight: BTreeMap<CallId, InFlightReport>,
    last_call: u64,
    processes: Option<Processes>,
    observer: MachineObserver,
}

impl WorkerPool {
    /// Creates a pool without workers.
    #[must_use]
    pub fn new(config: WorkerPoolConfig) -> WorkerPool {
        WorkerPool {
            workers: BTreeMap::new(),
            report_due: BTreeMap::new(),
            plans: BTreeMap::new(),
            controllers: config.controllers,
            settings: config.settings,
            protocol_faults: config.protocol_faults,
            in_flight: BTreeMap::new(),
            last_call: 0,
            processes: config.processes,
            observer: config.observer,
        }
    }

    /// Adds the worker of a machine that has booted; it starts to report.
    pub fn add(
        &mut self,
        now: Micros,
        machine: u64,
        booted: (Instance, InstanceType),
        endpoint: String,
    ) {
        let mut worker = Worker::new(machine, booted, &self.settings, now);
        worker.set_endpoint(endpoint);
        worker.runs_commands = self.processes.is_some();
        self.workers.insert(machine, worker);
        self.report_due.insert(machine, now);
    }

    /// Removes a machine and terminates its tasks.
    pub fn remove(&mut self, now: Micros, machine: u64) {
        if let Some(mut worker) = self.workers.remove(&machine) {
            for event in worker.shut_down() {
                self.on_event(now, machine, event);
            }
        }
        self.report_due.remove(&machine);
    }

    /// The worker of a machine; `None` if the pool has no such machine.
    pub fn worker_mut(&mut self, machine: u64) -> Option<&mut Worker> {
        self.workers.get_mut(&machine)
    }

    /// All workers, by machine number.
    pub fn workers(&self) -> impl Iterator<Item = (&u64, &Worker)> {
        self.workers.iter()
    }

    /// Restarts a machine.
    pub fn reboot(&mut self, now: Micros, machine: u64) {
        if let Some(worker) = self.workers.get_mut(&machine) {
            worker.reboot(now);
        }
        self.handle_events(now, machine);
        self.report_by(machine, now);
    }

    /// Starts or stops the process of a task according to an event, and passes the event to the
    /// observer.
    fn on_event(&mut self, at: Micros, machine: u64, event: TaskEvent) {
        if let Some(processes) = &mut self.processes {
            let plan = self.plans.get(job_id(&event.task_id));
            let line = plan.and_then(|p| p.command.clone());
            match (event.transition, line) {
                (TaskTransition::Started, Some(line))
                    if !processes.start(&event.task_id, event.attempt, &line) =>
                {
                    if let Some(worker) = self.workers.get_mut(&machine) {
                        worker.on_process_exit(&event.task_id, event.attempt, false);
                    }
                }
                (TaskTransition::Stopped, _) => processes.stop(&event.task_id, event.attempt),
                _ => {}
            }
        }
        (self.observer)(MachineEvent { at, machine, event });
    }

    fn handle_events(&mut self, now: Micros, machine: u64) {
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let events = std::mem::take(&mut worker.events);
        worker.finished.clear();
        for event in events {
            self.on_event(now, machine, event);
        }
    }

    /// Caches the descriptions of the jobs whose tasks an answer asks to run.
    fn cache_plans(&mut self, answer: &[u8], describe: &mut dyn FnMut(&str) -> Option<JobPlan>) {
        for job in tasks_to_run(&decode(answer)).map(job_id) {
            if self.plans.contains_key(job) {
                continue;
            }
            let Some(plan) = describe(job) else { continue };
            if self.plans.len() >= MAX_PLANS {
                self.plans.pop_first();
            }
            self.plans.insert(job.to_string(), plan);
        }
    }

    fn report(&mut self, now: Micros, machine: u64, out: &mut Vec<Effect>) {
        let interval = (self.settings.report_s * 1e6) as Micros;
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let Some(report) = worker.next_report(now, self.protocol_faults) else {
            return;
        };
        self.report_due.insert(machine, now + interval);
        self.last_call += 1;
        let id = CallId(self.last_call);
        let serial = report.serial;
        self.in_flight
            .insert(id, InFlightReport { machine, serial });
        let address = self.controllers[report.controller % self.controllers.len()];
        out.push(Effect::Call {
            id,
            destination: Destination::Controller {
                address,
                caller: machine,
            },
            method: Method::Post,
            path: REPORT_PATH.into(),
            body: wire::encode(&report.body),
            timeout_s: ANSWER_TIMEOUT_S,
        });
    }

    /// Answers a request sent to the address of a machine's worker.
    pub fn on_request(&mut self, now: Micros, machine: u64, request: &Request) -> Response {
        if request.path != COMMAND_PATH || wire::decode::<ciborium::Value>(&request.body).is_err() {
            return crate::response(400, &serde_json::json!({}));
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            return crate::response(404, &serde_json::json!({}));
        };
        let environment = Environment {
            now,
            jobs: &self.plans,
            controllers: self.controllers.len(),
            protocol_faults: self.protocol_faults,
        };
        let answer = worker.on_direct_command(&request.body, &environment);
        self.handle_events(now, machine);
        self.report_by(machine, now + REPORT_AFTER_COMMAND);
        answer
    }

    /// Processes the answer to a report; `None` as the result means that the report timed out.
    /// `describe` looks up the description of a job.
    pub fn on_reply(
        &mut self,
        now: Micros,
        id: CallId,
        result: Option<&Response>,
        describe: &mut dyn FnMut(&str) -> Option<JobPlan>,
    ) {
        let Some(InFlightReport { machine, serial }) = self.in_flight.remove(&id) else {
            return;
        };
        if let Some((200, body)) = result {
            self.cache_plans(body, describe);
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let controllers = self.controllers.len();
        let next_report = match result {
            Some((status, body)) => {
                let answer = ReportAnswer {
                    serial,
                    status: *status,
                    body,
                };
                let environment = Environment {
                    now,
                    jobs: &self.plans,
                    controllers,
                    protocol_faults: self.protocol_faults,
                };
                worker.on_answer(answer, &environment)
            }
            None => worker.on_timeout(now, serial, controllers),
        };
        self.handle_events(now, machine);
        if let Some(at) = next_report {
            self.report_by(machine, at);
        }
    }

    /// Advances all machines to `now` and sends the reports that are due.
    pub fn step(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let exited = self
            .processes
            .as_mut()
            .map(Processes::take_exited)
            .unwrap_or_default();
        for exit in exited {
            for worker in self.workers.values_mut() {
                worker.on_process_exit(&exit.task_id, exit.attempt, exit.success);
            }
        }
        let machines: Vec<u64> = self.workers.keys().copied().collect();
        for machine in machines {
            let Some(worker) = self.workers.get_mut(&machine) else {
                continue;
            };
            let changed = worker.step(now, &self.plans) || !worker.events.is_empty();
            self.handle_events(now, machine);
            if changed {
                self.report_by(machine, now);
            }
            if self.report_due.get(&machine).is_some_and(|at| *at <= now) {
                self.report(now, machine, out);
            }
        }
    }

    /// Schedules the next report of the machine's worker no later than `at`.
    fn report_by(&mut self, machine: u64, at: Micros) {
        let due = self.report_due.entry(machine).or_insert(at);
        *due = (*due).min(at);
    }
}

#[cfg(test)]
mod tests;
