//! The users role of a scale run: an open-loop load. Jobs are submitted when they are due, however
//! slow the service is, and latencies are measured from that time.

use super::Links;
use crate::scale::flows::FlowCounter;
use crate::scale::messages::{wall_us, Command, Record, UserEvent};
use crate::scale::workload::Workload;
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::types::{CallId, RequestId, Time, WallMs};
use beamhinge_core::wire;
use beamhinge_emulator::decode;
use beamhinge_emulator::user::{Assessment, FollowUp, UserAnswer, UserJobView, UserRequest};
use beamhinge_emulator::{micros, Micros};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddrV4;

/// Timeout of a user's request (PROTOCOL), seconds.
const SUBMIT_WAIT_S: f64 = 5.0;
const POLL_WAIT_S: f64 = 2.0;
/// Delay before a failed request is retried, seconds.
const RETRY_S: f64 = 1.0;
/// Time after which a submission or cancellation is no longer retried, seconds.
const GIVE_UP_S: f64 = 60.0;
const POLL_S: f64 = 5.0;
/// An accepted job counts as forgotten when its user gets no response about it for this long,
/// seconds.
const FORGOTTEN_S: f64 = 75.0;
/// Number of connections from which users send requests.
const CALLERS: u64 = 512;
/// Number of controllers that the load balancer tries before a connection counts as failed.
const NODES_TRIED: u32 = 3;
/// A connection that fails sooner than this counts as refused, seconds.
const REFUSED_S: f64 = 0.5;

/// Request that is due at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ask {
    at: Micros,
    job: u64,
    kind: UserRequest,
    /// When it was first due.
    due: Micros,
    /// Number of controllers that refused the connection.
    refused: u32,
}

/// The name of a request in records and flows.
fn name(request: UserRequest) -> &'static str {
    match request {
        UserRequest::Submit => "submit",
        UserRequest::Poll => "poll",
        UserRequest::Cancel => "cancel",
    }
}

struct InFlight {
    ask: Ask,
    sent: Micros,
}

pub(super) struct UsersRole {
    controllers: Vec<SocketAddrV4>,
    workload: Workload,
    began: Micros,
    /// No job is due after this.
    until: Micros,
    next_job: u64,
    queue: BinaryHeap<Reverse<Ask>>,
    in_flight: BTreeMap<CallId, InFlight>,
    next_call: u64,
    told: BTreeMap<u64, UserJobView>,
    /// Accepted jobs that have not ended, and when their user last got a response.
    last_told: BTreeMap<u64, Micros>,
    open: usize,
    rng: StdRng,
    flows: FlowCounter,
    links: Links,
}

impl UsersRole {
    pub(super) fn new(
        controllers: Vec<SocketAddrV4>,
        workload: Workload,
        seconds: f64,
        seed: u64,
        now: Time,
        links: Links,
    ) -> UsersRole {
        let began = micros(now);
        UsersRole {
            controllers,
            workload,
            began,
            until: began + (seconds * 1e6) as Micros,
            next_job: 0,
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            next_call: 0,
            told: BTreeMap::new(),
            last_told: BTreeMap::new(),
            open: 0,
            rng: StdRng::seed_from_u64(seed),
            flows: FlowCounter::default(),
            links,
        }
    }

    /// Queues the submissions of all jobs that are due, whatever happened to earlier ones.
    fn submit_due(&mut self, now: Micros) {
        loop {
            let job = self.workload.job(self.next_job);
            let due = self.began + (job.due_s * 1e6) as Micros;
            if due > now || due > self.until {
                return;
            }
            let number = self.next_job;
            self.next_job += 1;
            self.open += 1;
            self.told.insert(
                number,
                UserJobView {
                    submitted: true,
                    ..UserJobView::default()
                },
            );
            let ask = |at, kind| {
                Reverse(Ask {
                    at,
                    job: number,
                    kind,
                    due: at,
                    refused: 0,
                })
            };
            self.queue.push(ask(due, UserRequest::Submit));
            if let Some(after_s) = job.cancel_s {
                self.queue
                    .push(ask(due + (after_s * 1e6) as Micros, UserRequest::Cancel));
            }
        }
    }

    fn send(&mut self, now: Micros, ask: Ask, out: &mut Vec<Effect>) {
        let job = self.workload.job(ask.job);
        let (method, path, body, timeout_s) = match ask.kind {
            UserRequest::Submit => (
                Method::Post,
                "/api/jobs".into(),
                wire::encode(&job.body()),
                SUBMIT_WAIT_S,
            ),
            UserRequest::Cancel => {
                self.note_cancel(ask.job);
                let path = format!("/api/jobs/{}/cancel", job.id);
                (Method::Post, path, wire::encode(&json!({})), SUBMIT_WAIT_S)
            }
            UserRequest::Poll => (
                Method::Get,
                format!("/api/jobs/{}", job.id),
                Vec::new(),
                POLL_WAIT_S,
            ),
        };
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.in_flight.insert(id, InFlight { ask, sent: now });
        let address = self.controllers[self.rng.gen_range(0..self.controllers.len())];
        let caller = self.rng.gen_range(0..CALLERS);
        self.flows.call(name(ask.kind), (method, &path), body.len());
        let destination = Destination::Node { address, caller };
        out.push(Effect::Call {
            id,
            destination,
            method,
            path,
            body,
            timeout_s,
        });
    }

    fn note_cancel(&mut self, job: u64) {
        let told = self.told.entry(job).or_default();
        if !told.cancel_requested {
            told.cancel_requested = true;
            self.record(job, UserEvent::CancelSent);
        }
    }

    fn record(&self, job: u64, event: UserEvent) {
        self.links.records.send(&Record::User {
            at: wall_us(),
            job,
            event,
        });
    }

    fn again(&mut self, now: Micros, ask: Ask, after_s: f64, refused: u32) {
        let too_late = now > ask.due + (GIVE_UP_S * 1e6) as Micros;
        if ask.kind != UserRequest::Poll && too_late {
            self.record_answer(now, ask, 0);
            return;
        }
        let at = now + (after_s * 1e6) as Micros;
        // Each poll is a new request, so its latency is measured from its own time.
        let due = if ask.kind == UserRequest::Poll && refused == 0 {
            at
        } else {
            ask.due
        };
        self.queue.push(Reverse(Ask {
            at,
            due,
            refused,
            ..ask
        }));
    }

    fn record_answer(&self, now: Micros, ask: Ask, status: u16) {
        let ms = now.saturating_sub(ask.due) as f64 / 1e3;
        let kind = name(ask.kind).to_string();
        self.links
            .records
            .send(&Record::Answered { kind, ms, status });
    }

    fn on_reply_to(&mut self, now: Micros, id: CallId, result: Option<(u16, Vec<u8>)>) {
        let Some(InFlight { ask, sent }) = self.in_flight.remove(&id) else {
            return;
        };
        let Some((status, body)) = result else {
            let refused = now.saturating_sub(sent) < (REFUSED_S * 1e6) as Micros;
            return match refused && ask.refused + 1 < NODES_TRIED {
                true => self.again(now, ask, 0.0, ask.refused + 1),
                false => self.again(now, ask, self.pause_s(ask.kind), 0),
            };
        };
        self.flows.reply(name(ask.kind), status, body.len());
        let retried = !matches!(status, 200 | 201 | 400 | 404 | 422);
        // A cancellation may arrive before its submission: it is retried.
        let early = status == 404
            && ask.kind == UserRequest::Cancel
            && self.told.get(&ask.job).is_some_and(|t| !t.accepted);
        if retried || early {
            return self.again(now, ask, self.pause_s(ask.kind), 0);
        }
        self.record_answer(now, ask, status);
        self.on_final_answer(now, sent, ask, status, &body);
    }

    /// Reports accepted jobs whose user got no response for [`FORGOTTEN_S`] as forgotten.
    fn check_forgotten(&mut self, now: Micros) {
        let late = (FORGOTTEN_S * 1e6) as Micros;
        let forgotten: Vec<u64> = self
            .last_told
            .iter()
            .filter(|(_, at)| now > **at + late)
            .map(|(job, _)| *job)
            .collect();
        for job in forgotten {
            self.last_told.remove(&job);
            self.record(job, UserEvent::RuleViolation("forgotten".into()));
        }
    }

    fn pause_s(&self, kind: UserRequest) -> f64 {
        if kind == UserRequest::Poll {
            POLL_S
        } else {
            RETRY_S
        }
    }

    fn on_final_answer(&mut self, now: Micros, sent: Micros, ask: Ask, status: u16, body: &[u8]) {
        let value = decode(body);
        let state = value["status"].as_str().unwrap_or("");
        let Some(told) = self.told.get_mut(&ask.job) else {
            return;
        };
        let before = (told.accepted, told.over, told.done);
        // The checker verifies that all tasks have ended, from the records of the machines.
        let Assessment {
            violations: broken,
            follow_up: next,
        } = told.on_answer(&UserAnswer {
            asked: sent,
            received: now,
            request: ask.kind,
            status,
            state,
            complete: true,
        });
        let after = (told.accepted, told.over, told.done);
        for rule in broken {
            self.record(ask.job, UserEvent::RuleViolation(rule.to_string()));
        }
        if after.0 && after.1.is_none() {
            self.last_told.insert(ask.job, now);
        } else {
            self.last_told.remove(&ask.job);
        }
        if after.0 && !before.0 {
            self.record(ask.job, UserEvent::Accepted);
        }
        if after.1.is_some() && before.1.is_none() {
            self.open = self.open.saturating_sub(1);
            self.record(
                ask.job,
                if after.2 {
                    UserEvent::Done
                } else {
                    UserEvent::Cancelled
                },
            );
        }
        match next {
            Some(FollowUp::Retry(after_s)) => self.again(now, ask, after_s, 0),
            Some(FollowUp::Poll(after_s)) => {
                let at = now + (after_s * 1e6) as Micros;
                let poll = Ask {
                    at,
                    job: ask.job,
                    kind: UserRequest::Poll,
                    due: at,
                    refused: 0,
                };
                self.queue.push(Reverse(poll));
            }
            None => {}
        }
    }
}

impl Service for UsersRole {
    fn on_request(
        &mut self,
        _now: Time,
        _wall: WallMs,
        _door: usize,
        _id: RequestId,
        _request: Request,
        _out: &mut Vec<Effect>,
    ) {
    }

    fn on_reply(
        &mut self,
        now: Time,
        _wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        _out: &mut Vec<Effect>,
    ) {
        self.on_reply_to(micros(now), id, result);
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(command) = self.links.command() {
            if matches!(command, Command::StopSubmitting) {
                self.until = self.until.min(us);
            }
        }
        self.submit_due(us);
        self.check_forgotten(us);
        while self.queue.peek().is_some_and(|Reverse(ask)| ask.at <= us) {
            if let Some(Reverse(ask)) = self.queue.pop() {
                self.send(us, ask, out);
            }
        }
        let gauges = [
            ("jobs", self.next_job as f64),
            ("open", self.open as f64),
            ("flying", self.in_flight.len() as f64),
        ];
        self.links.report_counts(now, self.flows.flows(), &gauges);
    }
}
