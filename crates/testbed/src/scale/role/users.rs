//! The users role of a scale run: an open-loop load. Jobs are submitted when they are due, however
//! slow the service is, and latencies are measured from that time.

use super::ParentConnection;
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
const SUBMIT_TIMEOUT_S: f64 = 5.0;
const POLL_TIMEOUT_S: f64 = 2.0;
/// Delay before a failed request is retried, seconds.
const RETRY_DELAY_S: f64 = 1.0;
/// Time after which a submission or cancellation is no longer retried, seconds.
const GIVE_UP_AFTER_S: f64 = 60.0;
const POLL_INTERVAL_S: f64 = 5.0;
/// An accepted job counts as forgotten when its user gets no conclusive response about it for this
/// long, seconds; errors that are retried don't count as responses.
const FORGOTTEN_AFTER_S: f64 = 75.0;
/// Number of connections from which users send requests.
const CONNECTIONS: u64 = 512;
/// Number of controllers that the load balancer tries before a connection counts as failed.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// A connection that fails sooner than this counts as refused, seconds.
const MAX_REFUSAL_S: f64 = 0.5;

/// Request that is due at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledRequest {
    at: Micros,
    job: u64,
    kind: UserRequest,
    /// When it was first due.
    due: Micros,
    /// Number of controllers that refused the connection.
    refused: u32,
}

/// The name of a request in records and flows.
fn request_name(kind: UserRequest) -> &'static str {
    match kind {
        UserRequest::Submit => "submit",
        UserRequest::Poll => "poll",
        UserRequest::Cancel => "cancel",
    }
}

struct InFlight {
    request: ScheduledRequest,
    sent: Micros,
}

pub(super) struct UsersRole {
    controllers: Vec<SocketAddrV4>,
    workload: Workload,
    started_at: Micros,
    /// No job is due after this.
    submit_until: Micros,
    next_job: u64,
    queue: BinaryHeap<Reverse<ScheduledRequest>>,
    in_flight: BTreeMap<CallId, InFlight>,
    next_call: u64,
    job_views: BTreeMap<u64, UserJobView>,
    /// Accepted jobs that have not ended, and when their user last got a conclusive response.
    last_response_at: BTreeMap<u64, Micros>,
    open_jobs: usize,
    rng: StdRng,
    flows: FlowCounter,
    parent: ParentConnection,
}

impl UsersRole {
    pub(super) fn new(
        controllers: Vec<SocketAddrV4>,
        workload: Workload,
        seconds: f64,
        seed: u64,
        now: Time,
        parent: ParentConnection,
    ) -> UsersRole {
        let started_at = micros(now);
        UsersRole {
            controllers,
            workload,
            started_at,
            submit_until: started_at + (seconds * 1e6) as Micros,
            next_job: 0,
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            next_call: 0,
            job_views: BTreeMap::new(),
            last_response_at: BTreeMap::new(),
            open_jobs: 0,
            rng: StdRng::seed_from_u64(seed),
            flows: FlowCounter::default(),
            parent,
        }
    }

    /// Queues the submissions of all jobs that are due, whatever happened to earlier ones.
    fn submit_due(&mut self, now: Micros) {
        loop {
            let job = self.workload.job(self.next_job);
            let due = self.started_at + (job.due_s * 1e6) as Micros;
            if due > now || due > self.submit_until {
                return;
            }
            let number = self.next_job;
            self.next_job += 1;
            self.open_jobs += 1;
            self.job_views.insert(
                number,
                UserJobView {
                    submitted: true,
                    ..UserJobView::default()
                },
            );
            let request = |at, kind| {
                Reverse(ScheduledRequest {
                    at,
                    job: number,
                    kind,
                    due: at,
                    refused: 0,
                })
            };
            self.queue.push(request(due, UserRequest::Submit));
            if let Some(after_s) = job.cancel_s {
                self.queue.push(request(
                    due + (after_s * 1e6) as Micros,
                    UserRequest::Cancel,
                ));
            }
        }
    }

    fn send(&mut self, now: Micros, request: ScheduledRequest, out: &mut Vec<Effect>) {
        let job = self.workload.job(request.job);
        let (method, path, body, timeout_s) = match request.kind {
            UserRequest::Submit => (
                Method::Post,
                "/api/jobs".into(),
                wire::encode(&job.body()),
                SUBMIT_TIMEOUT_S,
            ),
            UserRequest::Cancel => {
                self.record_cancel(request.job);
                let path = format!("/api/jobs/{}/cancel", job.id);
                (
                    Method::Post,
                    path,
                    wire::encode(&json!({})),
                    SUBMIT_TIMEOUT_S,
                )
            }
            UserRequest::Poll => (
                Method::Get,
                format!("/api/jobs/{}", job.id),
                Vec::new(),
                POLL_TIMEOUT_S,
            ),
        };
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.in_flight.insert(id, InFlight { request, sent: now });
        let address = self.controllers[self.rng.gen_range(0..self.controllers.len())];
        let caller = self.rng.gen_range(0..CONNECTIONS);
        self.flows
            .request_sent(request_name(request.kind), (method, &path), body.len());
        let destination = Destination::Controller { address, caller };
        out.push(Effect::Call {
            id,
            destination,
            method,
            path,
            body,
            timeout_s,
        });
    }

    fn record_cancel(&mut self, job: u64) {
        let view = self.job_views.entry(job).or_default();
        if !view.cancel_requested {
            view.cancel_requested = true;
            self.record(job, UserEvent::CancelSent);
        }
    }

    fn record(&self, job: u64, event: UserEvent) {
        self.parent.records.send(&Record::User {
            at: wall_us(),
            job,
            event,
        });
    }

    fn reschedule(&mut self, now: Micros, request: ScheduledRequest, after_s: f64, refused: u32) {
        let too_late = now > request.due + (GIVE_UP_AFTER_S * 1e6) as Micros;
        if request.kind != UserRequest::Poll && too_late {
            self.record_answer(now, request, 0);
            return;
        }
        let at = now + (after_s * 1e6) as Micros;
        // Each poll is a new request, so its latency is measured from its own time.
        let due = if request.kind == UserRequest::Poll && refused == 0 {
            at
        } else {
            request.due
        };
        self.queue.push(Reverse(ScheduledRequest {
            at,
            due,
            refused,
            ..request
        }));
    }

    fn record_answer(&self, now: Micros, request: ScheduledRequest, status: u16) {
        let ms = now.saturating_sub(request.due) as f64 / 1e3;
        let kind = request_name(request.kind).to_string();
        self.parent
            .records
            .send(&Record::Answered { kind, ms, status });
    }

    fn handle_reply(&mut self, now: Micros, id: CallId, result: Option<(u16, Vec<u8>)>) {
        let Some(InFlight { request, sent }) = self.in_flight.remove(&id) else {
            return;
        };
        let Some((status, body)) = result else {
            let refused = now.saturating_sub(sent) < (MAX_REFUSAL_S * 1e6) as Micros;
            return match refused && request.refused + 1 < MAX_CONNECT_ATTEMPTS {
                true => self.reschedule(now, request, 0.0, request.refused + 1),
                false => self.reschedule(now, request, self.retry_delay_s(request.kind), 0),
            };
        };
        self.flows
            .response_received(request_name(request.kind), status, body.len());
        let retried = !matches!(status, 200 | 201 | 400 | 404 | 422);
        // A cancellation may arrive before its submission: it is retried.
        let before_acceptance = status == 404
            && request.kind == UserRequest::Cancel
            && self
                .job_views
                .get(&request.job)
                .is_some_and(|view| !view.accepted);
        if retried || before_acceptance {
            return self.reschedule(now, request, self.retry_delay_s(request.kind), 0);
        }
        self.record_answer(now, request, status);
        self.on_final_answer(now, sent, request, status, &body);
    }

    /// Reports accepted jobs whose user got no conclusive response for [`FORGOTTEN_AFTER_S`] as
    /// forgotten.
    fn check_forgotten(&mut self, now: Micros) {
        let limit = (FORGOTTEN_AFTER_S * 1e6) as Micros;
        let forgotten: Vec<u64> = self
            .last_response_at
            .iter()
            .filter(|(_, at)| now > **at + limit)
            .map(|(job, _)| *job)
            .collect();
        for job in forgotten {
            self.last_response_at.remove(&job);
            self.record(job, UserEvent::RuleViolation("forgotten".into()));
        }
    }

    fn retry_delay_s(&self, kind: UserRequest) -> f64 {
        if kind == UserRequest::Poll {
            POLL_INTERVAL_S
        } else {
            RETRY_DELAY_S
        }
    }

    fn on_final_answer(
        &mut self,
        now: Micros,
        sent: Micros,
        request: ScheduledRequest,
        status: u16,
        body: &[u8],
    ) {
        let value = decode(body);
        let state = value["status"].as_str().unwrap_or("");
        let Some(view) = self.job_views.get_mut(&request.job) else {
            return;
        };
        let before = (view.accepted, view.final_at, view.done);
        // The checker verifies that all tasks have ended, from the records of the machines.
        let Assessment {
            violations: rule_violations,
            follow_up: next_step,
        } = view.on_answer(&UserAnswer {
            sent_at: sent,
            received: now,
            request: request.kind,
            status,
            state,
            complete: true,
        });
        let after = (view.accepted, view.final_at, view.done);
        for rule in rule_violations {
            self.record(request.job, UserEvent::RuleViolation(rule.to_string()));
        }
        if after.0 && after.1.is_none() {
            self.last_response_at.insert(request.job, now);
        } else {
            self.last_response_at.remove(&request.job);
        }
        if after.0 && !before.0 {
            self.record(request.job, UserEvent::Accepted);
        }
        if after.1.is_some() && before.1.is_none() {
            self.open_jobs = self.open_jobs.saturating_sub(1);
            self.record(
                request.job,
                if after.2 {
                    UserEvent::Done
                } else {
                    UserEvent::Cancelled
                },
            );
        }
        match next_step {
            Some(FollowUp::Retry(after_s)) => self.reschedule(now, request, after_s, 0),
            Some(FollowUp::Poll(after_s)) => {
                let at = now + (after_s * 1e6) as Micros;
                let poll = ScheduledRequest {
                    at,
                    job: request.job,
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
        _listener: usize,
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
        self.handle_reply(micros(now), id, result);
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(command) = self.parent.next_command() {
            if matches!(command, Command::StopSubmitting) {
                self.submit_until = self.submit_until.min(us);
            }
        }
        self.submit_due(us);
        self.check_forgotten(us);
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(request)| request.at <= us)
        {
            if let Some(Reverse(request)) = self.queue.pop() {
                self.send(us, request, out);
            }
        }
        let gauges = [
            ("jobs", self.next_job as f64),
            ("open", self.open_jobs as f64),
            ("flying", self.in_flight.len() as f64),
        ];
        self.parent.report_counts(now, self.flows.flows(), &gauges);
    }
}
