//! The workers of one process: each with a connection and an address of its own, and
//! timers, session, token, images and lease as the model has them.
//!
//! Where [`Processes`] are given, tasks run command lines; else they are timers, and the
//! workers are hollow. Nothing else differs between the two.

use crate::cloud::{Host, Kind};
use crate::processes::Processes;
use crate::worker::{Event, Happened, Worker};
use crate::{decode, Doubles, JobPlan, Us, SECOND};
use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::settings;
use beamhinge_core::types::CallId;
use beamhinge_core::wire;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Jobs whose descriptions are kept for the workers.
const MAX_PLANS: usize = 20_000;
/// How long a worker waits for an answer, seconds (PROTOCOL, "Workers").
const ANSWER_TIMEOUT_S: f64 = 4.0;

/// Something happened on a machine; for whoever keeps a history.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Us,
    pub machine: u64,
    pub event: Event,
}

/// Hears of everything that happens on machines.
pub type Watcher = Box<dyn FnMut(Seen) + Send>;

pub struct WorkerPool {
    workers: BTreeMap<u64, Worker>,
    /// When each worker reports next.
    due: BTreeMap<u64, Us>,
    plans: BTreeMap<String, JobPlan>,
    controllers: Vec<SocketAddrV4>,
    settings: settings::Workers,
    doubles: Doubles,
    /// Reports under way: machine and serial number.
    calls: BTreeMap<CallId, (u64, u64)>,
    next_call: u64,
    processes: Option<Processes>,
    watcher: Watcher,
}

impl WorkerPool {
    /// `controllers`: their public addresses in the order of their labels.
    pub fn new(
        controllers: Vec<SocketAddrV4>,
        settings: settings::Workers,
        processes: Option<Processes>,
        doubles: Doubles,
        watcher: Watcher,
    ) -> WorkerPool {
        WorkerPool {
            workers: BTreeMap::new(),
            due: BTreeMap::new(),
            plans: BTreeMap::new(),
            controllers,
            settings,
            doubles,
            calls: BTreeMap::new(),
            next_call: 0,
            processes,
            watcher,
        }
    }

    /// A machine is up: its worker begins to report.
    pub fn add(&mut self, now: Us, machine: u64, booted: (Host, Kind), endpoint: String) {
        let mut worker = Worker::new(machine, booted, &self.settings, now);
        worker.listens_on(endpoint);
        worker.runs_commands = self.processes.is_some();
        self.workers.insert(machine, worker);
        self.due.insert(machine, now);
    }

    /// The machine is gone, with everything on it.
    pub fn remove(&mut self, now: Us, machine: u64) {
        if let Some(mut worker) = self.workers.remove(&machine) {
            for event in worker.stop_all() {
                self.happened(now, machine, event);
            }
        }
        self.due.remove(&machine);
    }

    pub fn worker_mut(&mut self, machine: u64) -> Option<&mut Worker> {
        self.workers.get_mut(&machine)
    }

    pub fn workers(&self) -> impl Iterator<Item = (&u64, &Worker)> {
        self.workers.iter()
    }

    /// The machine is switched off and on again.
    pub fn reboot(&mut self, now: Us, machine: u64) {
        if let Some(worker) = self.workers.get_mut(&machine) {
            worker.reboot(now);
        }
        self.gather(now, machine);
        self.soon(machine, now);
    }

    /// Commands begin and end with what happens to their tasks.
    fn happened(&mut self, at: Us, machine: u64, event: Event) {
        if let Some(processes) = &mut self.processes {
            let line = self
                .plans
                .get(job_of(&event.piece))
                .and_then(|p| p.command.clone());
            match (event.what, line) {
                (Happened::Began, Some(line))
                    if !processes.start(&event.piece, event.attempt, &line) =>
                {
                    if let Some(worker) = self.workers.get_mut(&machine) {
                        worker.process_ended(&event.piece, event.attempt, false);
                    }
                }
                (Happened::Stopped, _) => processes.stop(&event.piece, event.attempt),
                _ => {}
            }
        }
        (self.watcher)(Seen { at, machine, event });
    }

    fn gather(&mut self, now: Us, machine: u64) {
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let events = std::mem::take(&mut worker.events);
        worker.finished.clear();
        for event in events {
            self.happened(now, machine, event);
        }
    }

    /// What a worker knows of a job: its description, as its user uploaded it.
    fn learn(&mut self, answer: &Value, describe: &mut dyn FnMut(&str) -> Option<JobPlan>) {
        for order in answer["orders"].as_array().into_iter().flatten() {
            let job = job_of(order["piece"].as_str().unwrap_or(""));
            if order["verb"] != "run" || self.plans.contains_key(job) {
                continue;
            }
            let Some(plan) = describe(job) else { continue };
            if self.plans.len() >= MAX_PLANS {
                self.plans.pop_first();
            }
            self.plans.insert(job.to_string(), plan);
        }
    }

    fn report(&mut self, now: Us, machine: u64, out: &mut Vec<Effect>) {
        let every = (self.settings.report_s * 1e6) as Us;
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let Some((node, serial, body)) = worker.send(now, self.doubles) else {
            return;
        };
        self.due.insert(machine, now + every);
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, (machine, serial));
        let address = self.controllers[node % self.controllers.len()];
        out.push(Effect::Call {
            id,
            destination: Destination::Node {
                address,
                caller: machine,
            },
            method: Method::Post,
            path: "/hello".into(),
            body: wire::encode(&body),
            timeout_s: ANSWER_TIMEOUT_S,
        });
    }

    /// A direct command came for a machine; its status and report.
    pub fn direct(&mut self, now: Us, machine: u64, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let worker = self.workers.get_mut(&machine)?;
        let answer = worker.direct(now, &decode(body), &self.plans, self.doubles);
        self.gather(now, machine);
        self.soon(machine, now + SECOND / 10);
        Some(answer)
    }

    /// The answer to a report, or none in time; `describe` knows the jobs.
    pub fn on_reply(
        &mut self,
        now: Us,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        describe: &mut dyn FnMut(&str) -> Option<JobPlan>,
    ) {
        let Some((machine, serial)) = self.calls.remove(&id) else {
            return;
        };
        let nodes = self.controllers.len();
        if let Some((200, body)) = &result {
            self.learn(&decode(body), describe);
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let again = match result {
            Some((status, body)) => {
                worker.answered(now, serial, status, &body, nodes, &self.plans, self.doubles)
            }
            None => worker.timed_out(now, serial, nodes),
        };
        self.gather(now, machine);
        if let Some(at) = again {
            self.soon(machine, at);
        }
    }

    /// Time passes on all machines, and reports that are due go out.
    pub fn step(&mut self, now: Us, out: &mut Vec<Effect>) {
        let ended = self
            .processes
            .as_mut()
            .map(Processes::ended)
            .unwrap_or_default();
        for (piece, attempt, well) in ended {
            for worker in self.workers.values_mut() {
                worker.process_ended(&piece, attempt, well);
            }
        }
        let machines: Vec<u64> = self.workers.keys().copied().collect();
        for machine in machines {
            let Some(worker) = self.workers.get_mut(&machine) else {
                continue;
            };
            let changed = worker.step(now, &self.plans) || !worker.events.is_empty();
            self.gather(now, machine);
            if changed {
                self.soon(machine, now);
            }
            if self.due.get(&machine).is_some_and(|at| *at <= now) {
                self.report(now, machine, out);
            }
        }
    }

    fn soon(&mut self, machine: u64, at: Us) {
        let due = self.due.entry(machine).or_insert(at);
        *due = (*due).min(at);
    }
}

/// The job of a task's name.
fn job_of(piece: &str) -> &str {
    piece.split('/').next().unwrap_or("")
}

#[cfg(test)]
mod tests;
