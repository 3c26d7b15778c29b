//! Stand-in for a worker: sessions, tokens, leases and commands.

use crate::cloud::{Host, Kind};
use crate::{decode, Doubles, JobPlan, Us, SECOND};
use beamhinge_core::settings;
use beamhinge_core::wire;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct Task {
    pub piece: String,
    pub attempt: u64,
    status: &'static str,
    cause: Option<&'static str>,
    until: Us,
}

/// Something began or ended on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub piece: String,
    pub attempt: u64,
    pub what: Happened,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// It runs from here on.
    Began,
    /// It came to its own end.
    Ended,
    /// It was stopped, by command or since the lease ran out.
    Stopped,
}

pub struct Worker {
    name: String,
    endpoint: String,
    machine_type: String,
    pub zone: String,
    pub spot: bool,
    room: (f64, f64),
    pub report_s: f64,
    lease: Us,
    tenure: u64,
    tick: u64,
    baton: u64,
    tasks: Vec<Task>,
    images: BTreeSet<String>,
    node: usize,
    in_flight: Option<(u64, Us, u64)>,
    serial: u64,
    renewed: Us,
    next_report: Us,
    pub cut_until: Us,
    pub hang_until: Us,
    /// Its reports go out, and neither answers nor commands reach it until then.
    pub inbound_cut_until: Us,
    /// Its reports reach no controller, while direct commands reach it, until then.
    pub outbound_cut_until: Us,
    pub reclaim_at: Option<Us>,
    pub sick: bool,
    pub slow: f64,
    pub started: u64,
    /// Tasks that ended since the lease ran out.
    pub expired: u64,
    pub finished: Vec<String>,
    /// What began and ended on the machine, for whoever runs or watches it.
    pub events: Vec<Event>,
    /// What a controller did wrong, for the runner to fail on.
    pub abused: Vec<String>,
    /// Commands run outside: a running task ends when it is told to.
    pub runs_commands: bool,
}

impl Worker {
    pub fn new(id: u64, (host, kind): (Host, Kind), w: &settings::Workers, now: Us) -> Worker {
        Worker {
            name: format!("n-{id:06}"),
            endpoint: format!("127.0.0.1:{}", 10_000 + id),
            machine_type: host.machine_type,
            zone: host.zone,
            spot: host.spot,
            room: (kind.cpus, kind.memory_gb),
            report_s: w.report_s,
            lease: (w.lease_s * 1e6) as u64,
            tenure: 1,
            tick: 0,
            baton: 0,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            node: id as usize,
            in_flight: None,
            serial: 0,
            renewed: now,
            next_report: now,
            cut_until: 0,
            hang_until: 0,
            inbound_cut_until: 0,
            outbound_cut_until: 0,
            reclaim_at: None,
            sick: false,
            slow: 1.0,
            started: 0,
            expired: 0,
            finished: Vec::new(),
            events: Vec::new(),
            abused: Vec::new(),
            runs_commands: false,
        }
    }

    pub fn listens_on(&mut self, endpoint: String) {
        self.endpoint = endpoint;
    }

    /// Tasks that are on this machine in the protocol's sense.
    pub fn on_machine(&self) -> impl Iterator<Item = &Task> {
        self.tasks
            .iter()
            .filter(|t| t.status == "running" || t.status == "saving")
    }

    /// Tasks that take their room: those too that still fetch their image.
    pub fn taking_room(&self) -> impl Iterator<Item = &Task> {
        self.tasks.iter().filter(|t| t.status != "exited")
    }

    /// CPUs and memory beside what takes room.
    pub fn free(&self, jobs: &BTreeMap<String, JobPlan>) -> (f64, f64) {
        self.taking_room().fold(self.room, |free, t| {
            let plan = jobs.get(t.piece.split('/').next().unwrap_or(""));
            let of = |k: &str| plan.and_then(|p| p.body[k].as_f64()).unwrap_or(0.0);
            (free.0 - of("vcpus"), free.1 - of("memoryGb"))
        })
    }

    pub fn machine_type(&self) -> &str {
        &self.machine_type
    }

    fn expire(&mut self, now: Us) {
        if now > self.renewed + self.lease {
            for t in self
                .tasks
                .drain(..)
                .filter(|t| t.status == "running" || t.status == "saving")
            {
                let (piece, attempt) = (t.piece, t.attempt);
                self.events.push(Event {
                    piece,
                    attempt,
                    what: Happened::Stopped,
                });
                self.expired += 1;
            }
            self.tenure += 1;
            self.renewed = now;
            self.in_flight = None;
        }
    }

    fn body(&mut self, now: Us, doubles: Doubles) -> Value {
        self.tick += 1;
        let pieces: Vec<Value> = self
            .tasks
            .iter()
            .filter(|t| !(doubles.hide_tasks && t.status == "running"))
            .map(|t| match t.status {
                "running" if doubles.early_done => {
                    json!({"piece": t.piece, "try": t.attempt, "status": "exited", "cause": "done"})
                }
                "exited" => json!({"piece": t.piece, "try": t.attempt, "status": t.status, "cause": t.cause}),
                _ => json!({"piece": t.piece, "try": t.attempt, "status": t.status}),
            })
            .collect();
        let reclaim = self
            .reclaim_at
            .map(|at| at.saturating_sub(now) as f64 / 1e6);
        json!({"host": self.name, "endpoint": self.endpoint, "shape": self.machine_type, "yard": self.zone,
            "loaners": self.spot, "tenure": self.tenure, "tick": self.tick, "baton": self.baton,
            "reclaimInS": reclaim, "pieces": pieces, "surprise": {"a": [1, null]}})
    }

    /// Until when it hangs or one of its links is cut.
    pub fn troubled_until(&self) -> Us {
        let cut = self
            .cut_until
            .max(self.inbound_cut_until)
            .max(self.outbound_cut_until);
        self.hang_until.max(cut)
    }

    /// The highest token it has seen.
    pub fn token(&self) -> u64 {
        self.baton
    }

    /// Whether a controller has answered a report that was sent later than this.
    pub fn answered_since(&self, at: Us) -> bool {
        self.renewed > at
    }

    /// The next report, if one may go out now.
    pub fn send(&mut self, now: Us, doubles: Doubles) -> Option<(usize, u64, Value)> {
        if now < self.hang_until {
            self.next_report = self.hang_until;
            return None;
        }
        self.expire(now);
        if self.in_flight.is_some() || now < self.next_report {
            return None;
        }
        self.serial += 1;
        self.in_flight = Some((self.serial, now, self.tenure));
        self.next_report = now + SECOND / 2;
        let body = self.body(now, doubles);
        Some((self.node, self.serial, body))
    }

    /// Takes an answer; says when to report next, if soon.
    #[allow(clippy::too_many_arguments)]
    pub fn answered(
        &mut self,
        now: Us,
        serial: u64,
        status: u16,
        body: &[u8],
        nodes: usize,
        jobs: &BTreeMap<String, JobPlan>,
        doubles: Doubles,
    ) -> Option<Us> {
        if now < self.hang_until {
            return None;
        }
        self.expire(now);
        let (in_flight, sent, tenure) = self.in_flight?;
        if in_flight != serial {
            return None;
        }
        self.in_flight = None;
        let value = decode(body);
        match status {
            200 => {
                let baton = value["baton"].as_u64().unwrap_or(0);
                if baton < self.baton || tenure != self.tenure || baton == 0 {
                    return None;
                }
                let higher = baton > self.baton;
                self.baton = baton;
                self.renewed = sent;
                let before = self.tasks.len();
                for order in value["orders"].as_array().into_iter().flatten() {
                    self.execute(now, order, jobs, doubles);
                }
                (higher || before != self.tasks.len()).then_some(now + SECOND / 2)
            }
            421 => match value["foreman"].as_str().and_then(node_of) {
                Some(node) if node != self.node % nodes => {
                    self.node = node;
                    self.next_report = now;
                    Some(now + 100_000)
                }
                _ => self.next_node(now, nodes),
            },
            _ => self.next_node(now, nodes),
        }
    }

    fn next_node(&mut self, now: Us, nodes: usize) -> Option<Us> {
        self.node = (self.node + 1) % nodes;
        self.next_report = now + SECOND;
        Some(now + SECOND)
    }

    pub fn timed_out(&mut self, now: Us, serial: u64, nodes: usize) -> Option<Us> {
        let (in_flight, _, _) = self.in_flight?;
        if in_flight != serial {
            return None;
        }
        self.in_flight = None;
        self.next_node(now, nodes)
    }

    pub fn direct(
        &mut self,
        now: Us,
        body: &Value,
        jobs: &BTreeMap<String, JobPlan>,
        doubles: Doubles,
    ) -> (u16, Vec<u8>) {
        self.expire(now);
        let (Some(baton), Some(tenure)) = (body["baton"].as_u64(), body["tenure"].as_u64()) else {
            return (400, wire::encode(&json!({})));
        };
        let status = if baton < self.baton || tenure != self.tenure {
            409
        } else {
            200
        };
        self.baton = self.baton.max(baton);
        if status == 200 {
            for order in body["orders"].as_array().into_iter().flatten() {
                // Guard 2: `run` must never come this way, since it could act late.
                if order["verb"] == "run" {
                    self.abused
                        .push(format!("a direct `run` of {}", order["piece"]));
                    continue;
                }
                self.execute(now, order, jobs, doubles);
            }
        }
        (status, wire::encode(&self.body(now, Doubles::default())))
    }

    fn execute(
        &mut self,
        now: Us,
        order: &Value,
        jobs: &BTreeMap<String, JobPlan>,
        doubles: Doubles,
    ) {
        let (Some(verb), Some(piece), Some(attempt)) = (
            order["verb"].as_str(),
            order["piece"].as_str(),
            order["try"].as_u64(),
        ) else {
            return;
        };
        match verb {
            "run" => {
                if self
                    .tasks
                    .iter()
                    .any(|t| t.piece == piece && t.attempt == attempt)
                {
                    return;
                }
                let job = piece.split('/').next().unwrap_or("");
                let plan = jobs.get(job);
                let free = self.free(jobs);
                let refusal = if self.taking_room().any(|t| t.piece == piece) {
                    Some("in_use")
                } else if plan.is_none() {
                    Some("unknown")
                } else if plan.is_some_and(|p| {
                    let of = |k: &str| p.body[k].as_f64().unwrap_or(0.0);
                    of("vcpus") > free.0 + 1e-6 || of("memoryGb") > free.1 + 1e-6
                }) {
                    Some("full")
                } else {
                    None
                };
                let image = plan
                    .and_then(|p| p.body["bundle"].as_str())
                    .unwrap_or("")
                    .to_string();
                let fetch = if self.images.contains(&image) {
                    SECOND / 100
                } else {
                    SECOND
                };
                self.tasks.push(Task {
                    piece: piece.into(),
                    attempt,
                    status: if refusal.is_some() {
                        "exited"
                    } else {
                        "pulling"
                    },
                    cause: refusal,
                    until: now + fetch,
                });
            }
            "kill" if !doubles.deaf_to_kill => {
                for t in self
                    .tasks
                    .iter_mut()
                    .filter(|t| t.piece == piece && t.attempt == attempt)
                {
                    if t.status != "exited" {
                        if t.status == "running" || t.status == "saving" {
                            let (piece, attempt) = (t.piece.clone(), t.attempt);
                            self.events.push(Event {
                                piece,
                                attempt,
                                what: Happened::Stopped,
                            });
                        }
                        t.status = "exited";
                        t.cause = Some("stopped");
                    }
                }
            }
            "clear" => {
                self.tasks.retain(|t| {
                    !(t.piece == piece && t.attempt == attempt && t.status == "exited")
                });
            }
            _ => {}
        }
    }

    /// Time passes on the machine; true when something changed.
    pub fn step(&mut self, now: Us, jobs: &BTreeMap<String, JobPlan>) -> bool {
        // A machine that hangs beyond its lease resumes without its tasks.
        self.expire(now);
        if now < self.hang_until {
            return false;
        }
        let mut changed = false;
        for t in &mut self.tasks {
            if t.until > now || t.status == "exited" {
                continue;
            }
            let plan = jobs.get(t.piece.split('/').next().unwrap_or(""));
            match t.status {
                "pulling" => {
                    if let Some(image) = plan.and_then(|p| p.body["bundle"].as_str()) {
                        self.images.insert(image.into());
                    }
                    t.status = "running";
                    self.started += 1;
                    let (piece, attempt) = (t.piece.clone(), t.attempt);
                    self.events.push(Event {
                        piece,
                        attempt,
                        what: Happened::Began,
                    });
                    let fails = self.sick || plan.is_some_and(|p| p.fails);
                    let run_s = plan.map_or(1.0, |p| p.run_s) * self.slow;
                    t.until = now
                        + if fails {
                            SECOND / 2
                        } else {
                            (run_s * 1e6) as u64
                        };
                    if self.runs_commands && plan.is_some_and(|p| p.command.is_some()) {
                        // Its process tells when it ends.
                        t.until = u64::MAX;
                    }
                }
                "running" => {
                    if plan.is_some_and(|p| p.body["jobKind"] == "standing") {
                        t.until = now + 3_600 * SECOND;
                        continue;
                    }
                    t.status = "exited";
                    let (piece, attempt) = (t.piece.clone(), t.attempt);
                    self.events.push(Event {
                        piece,
                        attempt,
                        what: Happened::Ended,
                    });
                    let fails = self.sick || plan.is_some_and(|p| p.fails);
                    t.cause = Some(if fails { "error" } else { "done" });
                    if !fails {
                        self.finished.push(t.piece.clone());
                    }
                }
                _ => {}
            }
            changed = true;
        }
        changed
    }

    /// The process of a task has ended.
    pub fn process_ended(&mut self, piece: &str, attempt: u64, well: bool) {
        let found = self
            .tasks
            .iter_mut()
            .find(|t| t.piece == piece && t.attempt == attempt && t.status == "running");
        let Some(t) = found else { return };
        t.status = "exited";
        t.cause = Some(if well { "done" } else { "error" });
        let what = Happened::Ended;
        self.events.push(Event {
            piece: piece.into(),
            attempt,
            what,
        });
        if well {
            self.finished.push(piece.into());
        }
    }

    /// The machine is switched off and on again: its worker knows nothing of its
    /// tasks, its images or any token, and begins its next session.
    pub fn reboot(&mut self, now: Us) {
        let lost = self
            .tasks
            .drain(..)
            .filter(|t| t.status == "running" || t.status == "saving");
        for (piece, attempt) in lost.map(|t| (t.piece, t.attempt)) {
            self.events.push(Event {
                piece,
                attempt,
                what: Happened::Stopped,
            });
            // Like what a lease ends: no controller stopped it.
            self.expired += 1;
        }
        // Away for a moment, which explains the loss.
        self.hang_until = now;
        self.images.clear();
        self.tenure += 1;
        self.baton = 0;
        self.in_flight = None;
        (self.renewed, self.next_report) = (now, now);
    }

    /// As before, and its counts begin anew as well: what it reports looks old.
    pub fn begin_anew(&mut self, now: Us) {
        self.reboot(now);
        (self.tenure, self.tick) = (1, 0);
    }

    /// The machine goes: whatever runs on it ends with it.
    pub fn stop_all(&mut self) -> Vec<Event> {
        self.renewed = 0;
        self.expire(u64::MAX / 2);
        std::mem::take(&mut self.events)
    }

    pub fn next_step(&self, now: Us) -> Option<Us> {
        let tasks = self
            .tasks
            .iter()
            .filter(|t| t.status != "exited")
            .map(|t| t.until);
        let lease = (!self.tasks.is_empty()).then_some(self.renewed + self.lease + 1_000);
        let hang = (self.hang_until > now).then_some(self.hang_until);
        tasks.chain(lease).chain(hang).filter(|t| *t > now).min()
    }
}

/// Labels of controllers in the scenarios are single letters.
fn node_of(label: &str) -> Option<usize> {
    let c = label.bytes().next()?;
    (label.len() == 1 && c.is_ascii_lowercase()).then(|| usize::from(c - b'a'))
}
