//! The key-value store role of a scale run, with an address for each controller.

use super::{ParentConnection, PartitionedControllers};
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
const LEADER_KEY: &str = "lead/now";
/// Most requests of partitioned controllers that are queued until the partition ends.
const MAX_QUEUED_REQUESTS: usize = 10_000;

pub(super) struct StateRole {
    server: StateServer,
    flows: FlowCounter,
    parent: ParentConnection,
    leader: Option<String>,
    partitioned_controllers: PartitionedControllers,
    queued_requests: VecDeque<(usize, RequestId, Request)>,
    /// Extra delay of responses, and the time until which it applies.
    delay: (Micros, Micros),
    delayed: VecDeque<(Micros, Effect)>,
}

impl StateRole {
    pub(super) fn new(limits: &StateLimits, parent: ParentConnection) -> StateRole {
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
            parent,
            leader: None,
            partitioned_controllers: PartitionedControllers::default(),
            queued_requests: VecDeque::new(),
            delay: (0, 0),
            delayed: VecDeque::new(),
        }
    }

    fn apply_command(&mut self, now: Micros, command: Command) {
        let until = |seconds: f64| now + (seconds * 1e6) as Micros;
        match command {
            Command::PartitionControllers {
                controllers,
                seconds,
            } => {
                self.partitioned_controllers
                    .partition(&controllers, until(seconds));
            }
            Command::Slow { delay_s, seconds } => {
                self.delay = ((delay_s * 1e6) as Micros, until(seconds));
            }
            Command::Refuse { seconds } => self.server.state.outage(until(seconds)),
            _ => {}
        }
    }

    /// Executes the queued requests of controllers whose network partition has ended.
    fn release_queued(&mut self, now: Time, out: &mut Vec<Effect>) {
        let us = micros(now);
        for _ in 0..self.queued_requests.len() {
            let Some((controller, id, request)) = self.queued_requests.pop_front() else {
                break;
            };
            if self.partitioned_controllers.is_partitioned(controller, us) {
                self.queued_requests.push_back((controller, id, request));
            } else {
                self.server.on_request(now, id, &request, out);
            }
        }
    }

    /// Counts the responses since `previous_len`, and delays them while the store is slow.
    fn dispatch_responses(&mut self, now: Micros, previous_len: usize, out: &mut Vec<Effect>) {
        let (delay, until) = self.delay;
        for answer in out.split_off(previous_len) {
            if let Effect::Answer {
                to, status, body, ..
            } = &answer
            {
                self.flows.response_sent(*to, *status, body.len());
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
            .get(LEADER_KEY)
            .and_then(|v| v["label"].as_str());
        if label != self.leader.as_deref() {
            self.leader = label.map(String::from);
            self.parent.records.send(&Record::LeaderChanged {
                at: wall_us(),
                label: self.leader.clone(),
            });
        }
    }
}

fn request_kind(method: Method, path: &str) -> &'static str {
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
        listener: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let (method, path) = (request.method, request.path.as_str());
        self.flows.request_received(
            id,
            request_kind(method, path),
            (method, path),
            request.body.len(),
        );
        if self
            .partitioned_controllers
            .is_partitioned(listener, micros(now))
        {
            if self.queued_requests.len() < MAX_QUEUED_REQUESTS {
                self.queued_requests.push_back((listener, id, request));
            }
            return;
        }
        let previous_len = out.len();
        self.server.on_request(now, id, &request, out);
        self.dispatch_responses(micros(now), previous_len, out);
        self.report_leader();
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(command) = self.parent.next_command() {
            self.apply_command(us, command);
        }
        let previous_len = out.len();
        self.release_queued(now, out);
        self.server.answer_watches(now, out);
        self.dispatch_responses(us, previous_len, out);
        while self.delayed.front().is_some_and(|(at, _)| *at <= us) {
            out.extend(self.delayed.pop_front().map(|(_, answer)| answer));
        }
        self.report_leader();
        for what in self.server.state.violations.drain(..) {
            self.parent
                .records
                .send(&Record::ProtocolViolation { what });
        }
        let state = &self.server.state;
        let gauges = [
            ("changes", state.writes as f64),
            ("refused", state.throttled as f64),
            ("keys", state.keys_under("") as f64),
            ("held", self.queued_requests.len() as f64),
        ];
        self.parent.report_counts(now, self.flows.flows(), &gauges);
    }
}
