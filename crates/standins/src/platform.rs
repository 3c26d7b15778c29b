//! The platform as one process on loopback: state service, cloud and workers,
//! each behind a door of its own, made of the same models that the scenarios
//! use in simulated time.

use crate::cloud::{Cloud, Kind};
use crate::processes::Processes;
use crate::state::State;
use crate::worker::{Event, Happened, Worker};
use crate::{decode, Doubles, JobPlan, Us, SECOND};
use beamhinge_vocab::http::{Method, Request};
use beamhinge_vocab::job::{JobKind, Record, PREFIX};
use beamhinge_vocab::messages::{Dest, Out, Service};
use beamhinge_vocab::settings;
use beamhinge_vocab::types::{CallId, RequestId, Time, WallMs};
use beamhinge_vocab::wire;
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;

/// Doors of the platform, by their place; workers' follow.
pub const STATE_DOOR: usize = 0;
pub const CLOUD_DOOR: usize = 1;
pub const FIRST_WORKER_DOOR: usize = 2;
/// Jobs whose descriptions are kept for the workers.
const MOST_PLANS: usize = 20_000;
/// A worker whose connection is refused tries the next controller after this.
const PATIENCE_S: f64 = 4.0;

/// What a platform is made of.
pub struct Plan {
    /// The controllers' public addresses, in the order of their labels, which
    /// are single letters from `a`.
    pub controllers: Vec<SocketAddrV4>,
    /// One address per machine that may be there at once.
    pub worker_doors: Vec<SocketAddrV4>,
    pub workers: settings::Workers,
    pub state: settings::State,
    pub cloud: settings::Cloud,
    pub kinds: Vec<Kind>,
    pub zones: Vec<String>,
    /// Type, zone, spot: how many the cloud has of them.
    pub capacity: Vec<(String, String, bool, u32)>,
    /// Machines that are there from the start: type and zone.
    pub owned: Vec<(String, String)>,
    /// Where changes are kept; nowhere when there is none.
    pub kept: Option<PathBuf>,
    pub processes: Option<Processes>,
    pub doubles: Doubles,
    pub seed: u64,
    pub troubles: Option<Receiver<Trouble>>,
}

/// Troubles that a running platform can be told to have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The cloud answers 503 for so many seconds.
    CloudDown(f64),
    /// The state service does.
    StateDown(f64),
    /// A machine neither reports nor listens for so many seconds.
    Hang { machine: u64, seconds: f64 },
}

/// Something happened on a machine; for whoever keeps a history.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Us,
    pub machine: u64,
    pub event: Event,
}

/// Hears of everything that happens on machines.
pub type Watcher = Box<dyn FnMut(Seen) + Send>;

pub struct Platform {
    state: State,
    cloud: Cloud,
    workers: BTreeMap<u64, Worker>,
    /// When each worker reports next.
    due: BTreeMap<u64, Us>,
    /// Machines by the door of their worker.
    slots: Vec<Option<u64>>,
    worker_doors: Vec<SocketAddrV4>,
    /// Rented, and without a door of their own yet.
    booting: BTreeMap<u64, Us>,
    plans: BTreeMap<String, JobPlan>,
    controllers: Vec<SocketAddrV4>,
    worker_settings: settings::Workers,
    doubles: Doubles,
    calls: BTreeMap<CallId, (u64, u64)>,
    next_call: u64,
    rng: StdRng,
    processes: Option<Processes>,
    kept: Option<File>,
    kept_machine: u64,
    watcher: Watcher,
    forgot_at: Us,
    troubles: Option<Receiver<Trouble>>,
}

fn micros(now: Time) -> Us {
    (now.since(Time::default()) * 1e6) as Us
}

type StateCaller = (usize, u64, CallId);

fn caller(id: RequestId) -> StateCaller {
    (id.slot, id.generation, CallId(0))
}

fn called(c: StateCaller) -> RequestId {
    RequestId { slot: c.0, generation: c.1 }
}

impl Platform {
    pub fn new(plan: Plan, watcher: Watcher, now: Time) -> io::Result<Platform> {
        let s = &plan.state;
        let mut state = State::new(s.rps, s.write_rps, s.value_kb, s.txn_ops);
        let mut cloud = Cloud::new(plan.cloud.rps, plan.cloud.list_lag_s);
        cloud.kinds = plan.kinds;
        cloud.zones = plan.zones;
        for (shape, zone, spot, n) in plan.capacity {
            cloud.capacity.insert((shape, zone, spot), n);
        }
        let mut kept = None;
        let mut after_owned = 0;
        if let Some(path) = &plan.kept {
            let next = restore(path, &mut state)?;
            // Machines that are there from the start have the same names each
            // time: whatever ran on them ended with the last process.
            after_owned = next;
            kept = Some(begin_log(path, &state, next)?);
            state.keeps = true;
        }
        for (shape, zone) in plan.owned {
            cloud.add(micros(now), &shape, &zone, false, Some(SECOND / 5));
        }
        cloud.go_on_from(after_owned);
        let mut platform = Platform {
            state,
            cloud,
            workers: BTreeMap::new(),
            due: BTreeMap::new(),
            slots: vec![None; plan.worker_doors.len()],
            worker_doors: plan.worker_doors,
            booting: BTreeMap::new(),
            plans: BTreeMap::new(),
            controllers: plan.controllers,
            worker_settings: plan.workers,
            doubles: plan.doubles,
            calls: BTreeMap::new(),
            next_call: 0,
            rng: StdRng::seed_from_u64(plan.seed),
            processes: plan.processes,
            kept,
            kept_machine: 0,
            watcher,
            forgot_at: 0,
            troubles: plan.troubles,
        };
        platform.booting.extend(platform.cloud.take_booted());
        platform.keep();
        Ok(platform)
    }

    /// Writes what changed before anybody is told of it.
    fn keep(&mut self) {
        let applied = std::mem::take(&mut self.state.applied);
        let Some(file) = &mut self.kept else { return };
        let mut lines = String::new();
        for (rev, key, value) in applied {
            lines.push_str(&json!({"rev": rev, "key": key, "value": value}).to_string());
            lines.push('\n');
        }
        if self.cloud.next_machine() != self.kept_machine {
            self.kept_machine = self.cloud.next_machine();
            lines.push_str(&json!({ "machine": self.kept_machine }).to_string());
            lines.push('\n');
        }
        if !lines.is_empty() && file.write_all(lines.as_bytes()).is_err() {
            // What cannot be kept must not be answered: the outage is plain.
            self.state.down_until = Us::MAX;
        }
    }

    fn answer_state(&mut self, now: Time, id: RequestId, r: &Request, out: &mut Vec<Out>) {
        if r.path == "/commit" && wire::decode::<ciborium::Value>(&r.body).is_err() {
            return refuse(out, id, 400);
        }
        let us = micros(now);
        let reply = self.state.handle(us, caller(id), r.method, &r.path, &r.body);
        self.keep();
        if us < self.state.down_until && self.kept.is_some() {
            return refuse(out, id, 503);
        }
        if let Some((status, body)) = reply {
            out.push(Out::Answer { to: id, status, retry_after: None, body });
        }
        self.answer_watches(us, out);
    }

    fn answer_watches(&mut self, now: Us, out: &mut Vec<Out>) {
        let (ready, _) = self.state.watches(now, |_, _| false);
        for (to, body) in ready {
            out.push(Out::Answer { to: called(to), status: 200, retry_after: None, body });
        }
        self.keep();
    }

    fn answer_cloud(&mut self, now: Time, id: RequestId, r: &Request, out: &mut Vec<Out>) {
        let us = micros(now);
        let (status, body) = self.cloud.handle(us, r.method, &r.path, &r.body, &mut self.rng);
        self.booting.extend(self.cloud.take_booted());
        for gone in self.cloud.take_gone() {
            self.remove(us, gone);
        }
        self.keep();
        out.push(Out::Answer { to: id, status, retry_after: None, body });
    }

    fn remove(&mut self, now: Us, machine: u64) {
        if let Some(mut w) = self.workers.remove(&machine) {
            for event in w.stop_all() {
                self.happened(now, machine, event);
            }
        }
        self.due.remove(&machine);
        self.booting.remove(&machine);
        self.cloud.endpoints.remove(&machine);
        for slot in self.slots.iter_mut().filter(|s| **s == Some(machine)) {
            *slot = None;
        }
    }

    /// Commands begin and end with what happens to their tasks.
    fn happened(&mut self, at: Us, machine: u64, event: Event) {
        if let Some(processes) = &mut self.processes {
            let job = event.piece.split('/').next().unwrap_or("");
            let line = self.plans.get(job).and_then(|p| p.command.clone());
            match (event.what, line) {
                (Happened::Began, Some(line))
                    if !processes.start(&event.piece, event.attempt, &line) =>
                {
                    if let Some(w) = self.workers.get_mut(&machine) {
                        w.process_ended(&event.piece, event.attempt, false);
                    }
                }
                (Happened::Stopped, _) => processes.stop(&event.piece, event.attempt),
                _ => {}
            }
        }
        (self.watcher)(Seen { at, machine, event });
    }

    fn gather(&mut self, now: Us, machine: u64) {
        let Some(w) = self.workers.get_mut(&machine) else { return };
        let events = std::mem::take(&mut w.events);
        w.finished.clear();
        for event in events {
            self.happened(now, machine, event);
        }
    }

    /// What a worker knows of a job: its record, as its user submitted it.
    fn learn(&mut self, orders: &Value) {
        for order in orders["orders"].as_array().into_iter().flatten() {
            let piece = order["piece"].as_str().unwrap_or("");
            let job = piece.split('/').next().unwrap_or("");
            if order["verb"] != "run" || self.plans.contains_key(job) {
                continue;
            }
            let record = self.state.get(&format!("{PREFIX}{job}")).cloned();
            let spec =
                record.and_then(|v| serde_json::from_value::<Record>(v).ok()).and_then(|r| r.spec);
            let Some(spec) = spec else { continue };
            if self.plans.len() >= MOST_PLANS {
                self.plans.pop_first();
            }
            let kind = if spec.kind == JobKind::Standing { "standing" } else { "batch" };
            let body = json!({"vcpus": spec.cpus, "memoryGb": spec.memory_gb,
                "bundle": spec.image, "jobKind": kind});
            let plan = JobPlan {
                sent: 0,
                body,
                run_s: spec.expect_s,
                fails: false,
                command: spec.command.map(String::from),
            };
            self.plans.insert(job.to_string(), plan);
        }
    }

    fn boot(&mut self, now: Us) {
        let ready: Vec<u64> =
            self.booting.iter().filter(|(_, up)| **up <= now).map(|(id, _)| *id).collect();
        for machine in ready {
            // Without a free door it goes on booting.
            let Some(slot) = self.slots.iter().position(Option::is_none) else { return };
            self.booting.remove(&machine);
            let Some(booted) = self.cloud.booted(now, machine) else { continue };
            let mut worker = Worker::new(machine, booted, &self.worker_settings, now);
            let endpoint = self.worker_doors[slot].to_string();
            worker.listens_on(endpoint.clone());
            worker.runs_commands = self.processes.is_some();
            self.cloud.endpoints.insert(machine, endpoint);
            self.slots[slot] = Some(machine);
            self.workers.insert(machine, worker);
            self.due.insert(machine, now);
        }
    }

    fn report(&mut self, now: Us, machine: u64, out: &mut Vec<Out>) {
        let every = (self.worker_settings.report_s * 1e6) as Us;
        let Some(w) = self.workers.get_mut(&machine) else { return };
        let Some((node, serial, body)) = w.send(now, self.doubles) else { return };
        self.due.insert(machine, now + every);
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, (machine, serial));
        out.push(Out::Call {
            id,
            dest: Dest::Node(self.controllers[node % self.controllers.len()]),
            method: Method::Post,
            path: "/hello".into(),
            body: wire::encode(&body),
            timeout_s: PATIENCE_S,
        });
    }

    fn suffer(&mut self, now: Us, trouble: Trouble) {
        let until = |s: f64| now + (s.max(0.0) * 1e6) as Us;
        match trouble {
            Trouble::CloudDown(s) => self.cloud.down_until = until(s),
            Trouble::StateDown(s) => self.state.outage(until(s)),
            Trouble::Hang { machine, seconds } => {
                if let Some(w) = self.workers.get_mut(&machine) {
                    w.hang_until = until(seconds);
                }
            }
        }
    }

    fn soon(&mut self, machine: u64, at: Us) {
        let due = self.due.entry(machine).or_insert(at);
        *due = (*due).min(at);
    }
}

fn refuse(out: &mut Vec<Out>, to: RequestId, status: u16) {
    out.push(Out::Answer { to, status, retry_after: None, body: wire::encode(&json!({})) });
}

impl Service for Platform {
    fn on_request(
        &mut self,
        now: Time,
        _wall: WallMs,
        door: usize,
        id: RequestId,
        r: Request,
        out: &mut Vec<Out>,
    ) {
        match door {
            STATE_DOOR => self.answer_state(now, id, &r, out),
            CLOUD_DOOR => self.answer_cloud(now, id, &r, out),
            _ => {
                let machine = self.slots.get(door - FIRST_WORKER_DOOR).copied().flatten();
                let Some(w) = machine.and_then(|m| self.workers.get_mut(&m)) else {
                    return refuse(out, id, 404);
                };
                if r.path != "/do" || wire::decode::<ciborium::Value>(&r.body).is_err() {
                    return refuse(out, id, 400);
                }
                let us = micros(now);
                let (status, body) = w.direct(us, &decode(&r.body), &self.plans, self.doubles);
                out.push(Out::Answer { to: id, status, retry_after: None, body });
                if let Some(machine) = machine {
                    self.gather(us, machine);
                    self.soon(machine, us + SECOND / 10);
                }
            }
        }
    }

    fn on_reply(
        &mut self,
        now: Time,
        _wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        _out: &mut Vec<Out>,
    ) {
        let us = micros(now);
        let Some((machine, serial)) = self.calls.remove(&id) else { return };
        let nodes = self.controllers.len();
        if let Some((200, body)) = &result {
            self.learn(&decode(body));
        }
        let Some(w) = self.workers.get_mut(&machine) else { return };
        let again = match result {
            Some((status, body)) => {
                w.answered(us, serial, status, &body, nodes, &self.plans, self.doubles)
            }
            None => w.timed_out(us, serial, nodes),
        };
        self.gather(us, machine);
        if let Some(at) = again {
            self.soon(machine, at);
        }
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Out>) {
        let us = micros(now);
        while let Some(trouble) = self.troubles.as_ref().and_then(|t| t.try_recv().ok()) {
            self.suffer(us, trouble);
        }
        self.boot(us);
        let ended = self.processes.as_mut().map(Processes::ended).unwrap_or_default();
        for (piece, attempt, well) in ended {
            for w in self.workers.values_mut() {
                w.process_ended(&piece, attempt, well);
            }
        }
        let machines: Vec<u64> = self.workers.keys().copied().collect();
        for machine in machines {
            let Some(w) = self.workers.get_mut(&machine) else { continue };
            let changed = w.step(us, &self.plans) || !w.events.is_empty();
            self.gather(us, machine);
            if changed {
                self.soon(machine, us);
            }
            if self.due.get(&machine).is_some_and(|at| *at <= us) {
                self.report(us, machine, out);
            }
        }
        if self.doubles.forgets_jobs && us > self.forgot_at + SECOND {
            self.forgot_at = us;
            self.state.forget_jobs(us);
        }
        self.answer_watches(us, out);
    }
}

/// Reads what was kept; the number of the next machine.
fn restore(path: &Path, state: &mut State) -> io::Result<u64> {
    let file = match File::open(path) {
        Ok(f) => f,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(0),
        Err(e) => return Err(e),
    };
    let mut next = 0;
    for line in BufReader::new(file).lines() {
        // A line that was cut short is the last, and was never answered.
        let Ok(v) = serde_json::from_str::<Value>(&line?) else { break };
        if let Some(m) = v["machine"].as_u64() {
            next = next.max(m);
        } else if let (Some(rev), Some(key)) = (v["rev"].as_u64(), v["key"].as_str()) {
            let value = v.get("value").filter(|v| !v.is_null()).cloned();
            state.restore(rev, key.to_string(), value);
        }
    }
    Ok(next)
}

/// A log that holds what is there now and is then appended to; put in place in
/// one step, so that an end in between loses nothing.
fn begin_log(path: &Path, state: &State, next: u64) -> io::Result<File> {
    let fresh = path.with_extension("new");
    let mut text = format!("{}\n", json!({ "machine": next }));
    for (rev, key, value) in state.all() {
        text.push_str(&json!({"rev": rev, "key": key, "value": value}).to_string());
        text.push('\n');
    }
    // The revision itself must not go back, whatever was deleted last.
    let rev = json!({"rev": state.rev(), "key": "kept/rev", "value": null});
    text.push_str(&format!("{rev}\n"));
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, path)?;
    OpenOptions::new().append(true).open(path)
}

#[cfg(test)]
mod tests;
