//! The key-value store role of a scale run, with an address for each controller.

use super::{HeldControllers, Links};
use crate::scale::flows::FlowCounter;
use crate::scale::messages::{wall_us, Command, Record, StateLimits};
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::{Effect, Service};
use beamhinge_core::settings;
use beamhinge_core::types::{RequestId, Time, WallMs};
use beamhinge_emulator::state_server::StateServer;
use beamhinge_emulator::{micros, Micros};
use std::collections::VecDeque;

/// Key that names the leader.
const LEAD_KEY: &str = "lead/now";
/// Most requests of partitioned controllers that are queued until the partition ends.
const MAX_HELD: usize = 10_000;

pub(super) struct StateRole {
    server: StateServer,
    flows: FlowCounter,
    links: Links,
    lead: Option<String>,
    cut_off: HeldControllers,
    held: VecDeque<(usize, RequestId, Request)>,
    /// Extra delay of responses, and the time until which it applies.
    delay: (Micros, Micros),
    delayed: VecDeque<(Micros, Effect)>,
}

impl StateRole {
    pub(super) fn new(limits: &StateLimits, links: Links) -> StateRole {
        let StateLimits {
            rps,
            write_rps,
            value_kb,
            txn_ops,
        } = *limits;
        StateRole {
            server: StateServer::new(&settings::StateLimits {
                rps,
                write_rps,
                value_kb,
                txn_ops,
            }),
            flows: FlowCounter::default(),
            links,
            lead: None,
            cut_off: HeldControllers::default(),
            held: VecDeque::new(),
            delay: (0, 0),
            delayed: VecDeque::new(),
        }
    }

    fn apply_command(&mut self, now: Micros, command: Command) {
        let until = |seconds: f64| now + (seconds * 1e6) as Micros;
        match command {
            Command::HoldControllers {
                controllers,
                seconds,
            } => {
                self.cut_off.hold(&controllers, until(seconds));
            }
            Command::Slow { delay_s, seconds } => {
                self.delay = ((delay_s * 1e6) as Micros, until(seconds));
            }
            Command::Refuse { seconds } => self.server.state.outage(until(seconds)),
            _ => {}
        }
    }

    /// Executes the queued requests of controllers whose network partition has ended.
    fn release_held(&mut self, now: Time, out: &mut Vec<Effect>) {
        let us = micros(now);
        for _ in 0..self.held.len() {
            let Some((controller, id, request)) = self.held.pop_front() else {
                break;
            };
            if self.cut_off.is_held(controller, us) {
                self.held.push_back((controller, id, request));
            } else {
                self.server.on_request(now, id, &request, out);
            }
        }
    }

    /// Counts the responses since `before`, and delays them while the store is slow.
    fn pass(&mut self, now: Micros, before: usize, out: &mut Vec<Effect>) {
        let (delay, until) = self.delay;
        for answer in out.split_off(before) {
            if let Effect::Answer {
                to, status, body, ..
            } = &answer
            {
                self.flows.answer(*to, *status, body.len());
            }
            if now < until {
                self.delayed.push_back((now + delay, answer));
            } else {
                out.push(answer);
            }
        }
    }

    fn report_leader(&mut self) {
        let label = self
            .server
            .state
            .get(LEAD_KEY)
            .and_then(|v| v["label"].as_str());
        if label != self.lead.as_deref() {
            self.lead = label.map(String::from);
            self.links.records.send(&Record::LeaderChanged {
                at: wall_us(),
                label: self.lead.clone(),
            });
        }
    }
}

fn kind(method: Method, path: &str) -> &'static str {
    match (method, path) {
        (_, "/commit") => "commit",
        (Method::Get, p) if p.starts_with("/watch") => "watch",
        (Method::Get, _) => "read",
        _ => "hold",
    }
}

impl Service for StateRole {
    fn on_request(
        &mut self,
        now: Time,
        _wall: WallMs,
        door: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let (method, path) = (request.method, request.path.as_str());
        self.flows
            .request(id, kind(method, path), (method, path), request.body.len());
        if self.cut_off.is_held(door, micros(now)) {
            if self.held.len() < MAX_HELD {
                self.held.push_back((door, id, request));
            }
            return;
        }
        let before = out.len();
        self.server.on_request(now, id, &request, out);
        self.pass(micros(now), before, out);
        self.report_leader();
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(command) = self.links.command() {
            self.apply_command(us, command);
        }
        let before = out.len();
        self.release_held(now, out);
        self.server.answer_watches(now, out);
        self.pass(us, before, out);
        while self.delayed.front().is_some_and(|(at, _)| *at <= us) {
            out.extend(self.delayed.pop_front().map(|(_, answer)| answer));
        }
        self.report_leader();
        for what in self.server.state.violations.drain(..) {
            self.links.records.send(&Record::ProtocolViolation { what });
        }
        let state = &self.server.state;
        let gauges = [
            ("changes", state.writes as f64),
            ("refused", state.throttled as f64),
            ("keys", state.keys_under("") as f64),
            ("held", self.held.len() as f64),
        ];
        self.links.report_counts(now, self.flows.flows(), &gauges);
    }
}
