//! Controllers: their processes, and the routing of the messages that they send.

use super::links::LinkEnd;
use super::{Requester, Sim};
use crate::event::{CallOrigin, CloudRequest, Event, Process, StateRequest};
use crate::fault_injection::LinkKind;
use beamhinge_controller::node::Node;
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::settings::OperatorSettings;
use beamhinge_core::types::{RequestId, Time, WallMs};
use beamhinge_emulator::worker::machine_at_port;
use beamhinge_emulator::{decode, Micros, SECOND};
use rand::Rng;

/// The first lines of every controller's operators' file.
const OPERATOR_CONFIG: &str = "[operators]\nlisten = 127.0.0.1:7900\n[split]\nseed = 7\n";
/// A controller's timers first run this long after its start.
const FIRST_TICK: Micros = 1_000;
/// Interval between later runs of a controller's timers.
pub(super) const TICK: Micros = 25_000;
/// A broken connection is noticed after this long.
pub(super) const RESET_DELAY: Micros = 2_000;
/// One-way latency of a message.
const HOP: std::ops::Range<Micros> = 1_000..4_000;
/// Time that the cloud takes to process a request.
const CLOUD_TIME: Micros = 50_000;
/// Delay of a late commit, seconds.
const LATE_COMMIT_S: std::ops::Range<Micros> = 1..20;
/// Index of the listener for users and workers.
const PUBLIC_LISTENER: usize = 0;

/// A call of a controller, without its destination.
struct OutgoingCall {
    origin: CallOrigin,
    method: Method,
    path: String,
    body: Vec<u8>,
}

impl Sim {
    /// Starts a controller if it is not running.
    pub fn start(&mut self, controller: usize) {
        if self.controllers[controller].is_some() {
            return;
        }
        self.generations[controller] += 1;
        let text = format!("{OPERATOR_CONFIG}{}", self.operator_config);
        let operator = OperatorSettings::parse("the operators' file", &text)
            .expect("valid operators' settings");
        let nonce = self.rng.gen_range(1..1u64 << 50);
        let now = Time::from_micros(self.now);
        let settings = self.settings[controller].clone();
        let mut node = Node::new(settings, operator, Vec::new(), nonce, now);
        node.inject_faults(self.regressions);
        self.controllers[controller] = Some(node);
        let process = self.process(controller);
        self.push(self.now + FIRST_TICK, Event::Tick(process));
    }

    /// Ends a controller abruptly, as a power failure would.
    pub fn crash(&mut self, controller: usize) {
        self.controllers[controller] = None;
        self.generations[controller] += 1;
        // Senders that wait for its answer see a connection reset.
        let waiting: Vec<(usize, u64)> = self
            .requesters
            .keys()
            .filter(|(of, _)| *of == controller)
            .copied()
            .collect();
        for key in waiting {
            match self.requesters.remove(&key) {
                Some(Requester::User(call)) if call.probe => {}
                Some(Requester::User(call)) => self.retry_lost(call),
                Some(Requester::Operator(request)) => self.repeat_operator_request(request),
                Some(Requester::Worker { machine, serial }) => {
                    let event = Event::ReportTimedOut { machine, serial };
                    self.push(self.now + RESET_DELAY, event);
                }
                None => {}
            }
        }
    }

    /// The current process of a controller.
    pub(super) fn process(&self, controller: usize) -> Process {
        Process {
            controller,
            generation: self.generations[controller],
        }
    }

    /// Whether that process is still the controller's current one.
    pub(super) fn is_current(&self, process: Process) -> bool {
        self.generations[process.controller] == process.generation
    }

    /// The first controller that believes it is the leader; `None` if none does.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        self.controllers
            .iter()
            .position(|node| node.as_ref().is_some_and(Node::is_leader))
    }

    /// The controllers that are running.
    pub(super) fn running_controllers(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.controllers.len()).filter(|i| self.controllers[*i].is_some())
    }

    /// Calls a controller if it is running, and sends the messages that it produces.
    pub(super) fn with_node(
        &mut self,
        controller: usize,
        call: impl FnOnce(&mut Node, Time, WallMs, &mut Vec<Effect>),
    ) {
        let (now, wall) = (Time::from_micros(self.now), self.wall());
        let mut effects = Vec::new();
        if let Some(node) = self.controllers[controller].as_mut() {
            call(node, now, wall, &mut effects);
        }
        for effect in effects {
            self.fingerprinter.sent(self.now, controller, &effect);
            self.send(controller, effect);
        }
    }

    /// Delivers a request to a controller's public listener; returns the request's number.
    pub(super) fn request(
        &mut self,
        controller: usize,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> u64 {
        self.last_request += 1;
        let id = RequestId {
            slot: 0,
            generation: self.last_request,
        };
        let request = Request {
            method,
            path: path.to_string(),
            body,
            close: false,
            authorization: None,
        };
        self.with_node(controller, |node, now, wall, out| {
            node.on_request(now, wall, PUBLIC_LISTENER, id, request, out);
        });
        self.last_request
    }

    /// Draws the one-way latency of a message.
    pub(super) fn draw_hop(&mut self) -> Micros {
        self.rng.gen_range(HOP)
    }

    fn send(&mut self, controller: usize, effect: Effect) {
        let hop = match &effect {
            Effect::SendFrame { .. } => self.frame_rng.gen_range(HOP),
            _ => self.draw_hop(),
        };
        match effect {
            Effect::Call {
                id,
                destination,
                method,
                path,
                body,
                timeout_s,
            } => {
                let origin = CallOrigin {
                    process: self.process(controller),
                    call: id,
                };
                let deadline = self.now + (timeout_s * 1e6) as Micros;
                let reply = None;
                self.push(deadline, Event::Reply { origin, reply });
                let call = OutgoingCall {
                    origin,
                    method,
                    path,
                    body,
                };
                match destination {
                    Destination::KeyValueStore => self.send_to_state(call, self.now + hop),
                    Destination::Cloud => self.send_to_cloud(call, self.now + hop),
                    Destination::Worker(address) => {
                        let machine = machine_at_port(address.port());
                        self.send_to_worker(call, machine, self.now + hop);
                    }
                    Destination::Controller { .. } => {}
                }
            }
            Effect::Answer {
                to, status, body, ..
            } => self.answer(controller, to, (status, body), hop),
            Effect::AdminAnswer {
                to, status, body, ..
            } => self.answer_operator(controller, to, status, &body),
            Effect::SendFrame { to, frame } => {
                self.send_frame(controller, to.as_deref(), &frame, hop);
            }
        }
    }

    fn send_to_state(&mut self, call: OutgoingCall, at: Micros) {
        let controller = call.origin.process.controller;
        // Either the request or the answer is delayed.
        let delay = self.state_delay();
        let slow_answer = delay > 0 && self.rng.gen_bool(0.5);
        let (request_delay, answer_delay) = if slow_answer { (0, delay) } else { (delay, 0) };
        let Some(at) = self.arrival_time(controller, LinkEnd::State, at + request_delay) else {
            return;
        };
        let is_commit = call.path == "/commit";
        let lost = is_commit && self.rng.gen_bool(self.faults.lost_commit_answers);
        let late = is_commit && self.rng.gen_bool(self.faults.late_commits);
        let at = if late {
            at + self.rng.gen_range(LATE_COMMIT_S) * SECOND
        } else {
            at
        };
        // Only requests that change state are duplicated: repeated watches and reads have no
        // effect.
        let changes = is_commit || call.path.starts_with("/holds");
        let copy = self.draw_copy().filter(|_| changes);
        let request = StateRequest {
            origin: call.origin,
            method: call.method,
            path: call.path,
            body: call.body,
            answer_lost: lost || late,
            answer_delay,
        };
        if let Some(copy_at) = copy {
            let copy = StateRequest {
                answer_lost: true,
                answer_delay: 0,
                ..request.clone()
            };
            self.push(copy_at, Event::StateRequest(copy));
        }
        self.push(at, Event::StateRequest(request));
    }

    fn send_to_cloud(&mut self, call: OutgoingCall, at: Micros) {
        let controller = call.origin.process.controller;
        let Some(arrival) = self.arrival_time(controller, LinkEnd::Cloud, at) else {
            return;
        };
        let changes = call.method != Method::Get;
        let copy = self.draw_copy().filter(|_| changes);
        let request = CloudRequest {
            origin: call.origin,
            method: call.method,
            path: call.path,
            body: call.body,
            late: arrival > at,
        };
        if let Some(copy_at) = copy {
            let copy = CloudRequest {
                late: true,
                ..request.clone()
            };
            self.push(copy_at, Event::CloudRequest(copy));
        }
        self.push(arrival + CLOUD_TIME, Event::CloudRequest(request));
    }

    fn send_to_worker(&mut self, call: OutgoingCall, machine: u64, at: Micros) {
        let controller = call.origin.process.controller;
        let zone = self.worker_zone(machine);
        let Some(at) = self.arrival_time(controller, LinkEnd::Worker(&zone), at) else {
            return;
        };
        let OutgoingCall { origin, body, .. } = call;
        if let Some(copy_at) = self.draw_copy() {
            let copy = Event::WorkerCommand {
                origin,
                machine,
                body: body.clone(),
            };
            self.push(copy_at, copy);
        }
        let command = Event::WorkerCommand {
            origin,
            machine,
            body,
        };
        self.push(at, command);
    }

    /// Handles a controller's answer on its public listener.
    fn answer(
        &mut self,
        controller: usize,
        to: RequestId,
        (status, body): (u16, Vec<u8>),
        hop: Micros,
    ) {
        match self.requesters.remove(&(controller, to.generation)) {
            Some(Requester::User(call)) => self.on_user_answer(call, status, &body),
            Some(Requester::Operator(request)) => {
                let answer = (status, decode(&body));
                self.operator_answers.insert(request.name, answer);
            }
            Some(Requester::Worker { machine, serial }) => {
                let zone = self.worker_zone(machine);
                let at = self.arrival_time(controller, LinkEnd::Worker(&zone), self.now + hop);
                if let Some(at) = at {
                    let event = Event::ReportAnswered {
                        machine,
                        serial,
                        status,
                        body,
                    };
                    self.push(at, event);
                }
            }
            None => {}
        }
    }

    /// Sends a controller's frame to the controller with this label, or to all others if
    /// `label` is `None`.
    fn send_frame(&mut self, from: usize, label: Option<&str>, frame: &[u8], hop: Micros) {
        for to in 0..self.controllers.len() {
            let is_receiver = label.is_none_or(|label| self.settings[to].label == label);
            if to == from || !is_receiver {
                continue;
            }
            let Some(at) = self.arrival_time(from, LinkEnd::Peer(to), self.now + hop) else {
                continue;
            };
            let loss = &mut self.faults.frame_loss;
            let at = loss.arrival(self.now, (from, to), at, &mut self.frame_rng);
            let event = Event::Frame {
                to,
                generation: Some(self.generations[to]),
                body: frame.to_vec(),
            };
            self.push(at, event);
            // A copy is delivered even to a process that has started in the meantime.
            let duplication = self.faults.duplication;
            if let Some(copy_at) = duplication.draw(self.now, &mut self.frame_rng) {
                let copy = Event::Frame {
                    to,
                    generation: None,
                    body: frame.to_vec(),
                };
                self.push(copy_at, copy);
            }
        }
    }

    /// Whether this link of a controller is cut now.
    pub(super) fn is_cut(&self, controller: usize, link: LinkKind) -> bool {
        self.faults.is_cut(self.now, controller, link)
    }
}
