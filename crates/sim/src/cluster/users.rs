//! Users: the requests that they send, and their reactions to the answers.

use super::{Requester, Sim, UserCall};
use crate::event::{Event, Trigger};
use crate::fault_injection::Temporary;
use beamhinge_core::http::Method;
use beamhinge_core::wire;
use beamhinge_emulator::user::{FollowUp, UserAnswer, UserJobView, UserRequest};
use beamhinge_emulator::{decode, JobPlan, Micros, SECOND};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// How long a user waits for an answer to a poll.
const POLL_TIMEOUT: Micros = 2 * SECOND;
/// How long a user waits for an answer to any other request.
const REQUEST_TIMEOUT: Micros = 5 * SECOND;
/// A submission or cancellation without an answer is repeated after this long, seconds.
const RETRY_S: f64 = 1.0;
/// A poll without an answer is repeated after this long, seconds.
const POLL_S: f64 = 5.0;
/// A submission or cancellation is no longer repeated this long after its first attempt.
const GIVE_UP: Micros = 60 * SECOND;

/// All users and the answers that they received.
#[derive(Default)]
pub struct Users {
    /// The latest information that each job's user received.
    pub views: BTreeMap<String, UserJobView>,
    /// The controller to which the next user request goes, if it is reachable.
    pub next_controller: Option<usize>,
    /// Jobs that cannot run or that lack a field.
    pub invalid_jobs: BTreeSet<String>,
    /// Invalid jobs that were accepted.
    pub invalid_jobs_accepted: BTreeSet<String>,
    /// Answers to polls of this job are discarded, to test the check for forgotten jobs.
    pub ignored_job: Option<String>,
    /// Jobs with an unanswered request since the last fault ended, with the time of the first.
    pub(super) open: BTreeMap<String, Micros>,
    /// The longest time that a request was unanswered after the last fault.
    pub longest_unanswered: Micros,
    /// Factor by which users poll more often.
    pub poll_storm: Temporary<f64>,
    /// Shortest interval between polls of a job, seconds.
    pub min_poll_s: f64,
    /// Jobs that have not started.
    pub unstarted: BTreeSet<String>,
    /// When each job's first task started.
    pub first_starts: Vec<(String, Micros)>,
    /// Requests that were never answered.
    pub unanswered: u64,
}

impl Users {
    /// Jobs that were accepted.
    #[must_use]
    pub fn accepted_jobs(&self) -> Vec<String> {
        let accepted = self.views.iter().filter(|(_, view)| view.accepted);
        accepted.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a job was accepted.
    #[must_use]
    pub fn is_accepted(&self, job: &str) -> bool {
        self.views.get(job).is_some_and(|view| view.accepted)
    }

    /// When the user was told that a job is cancelled.
    #[must_use]
    pub fn cancelled_at(&self, job: &str) -> Option<Micros> {
        self.views.get(job).and_then(|view| view.cancelled)
    }
}

impl Sim {
    /// Sends a user's request to a random reachable controller, or to the one that was chosen.
    pub(super) fn user_sends(&mut self, job: String, request: UserRequest, since: Micros) {
        let reachable: Vec<usize> = self
            .running_controllers()
            .filter(|i| self.now >= self.faults.frozen_until[*i])
            .filter(|i| !self.faults.zone_is_cut(self.now, self.zone(*i)))
            .collect();
        if reachable.is_empty() {
            return self.repeat(job, request, since, RETRY_S);
        }
        let any = reachable[self.rng.gen_range(0..reachable.len())];
        let wanted = self.users.next_controller.take();
        let controller = wanted.filter(|w| reachable.contains(w)).unwrap_or(any);
        self.send_user_request(
            controller,
            UserCall {
                job,
                request,
                since,
                sent: self.now,
                probe: false,
            },
        );
    }

    /// Sends a user's additional request if the job was accepted and the controller runs.
    pub(super) fn user_probes(&mut self, job: String, request: UserRequest, controller: usize) {
        if self.controllers[controller].is_some() && self.users.is_accepted(&job) {
            let now = self.now;
            self.send_user_request(
                controller,
                UserCall {
                    job,
                    request,
                    since: now,
                    sent: now,
                    probe: true,
                },
            );
        }
    }

    /// Sends a user's request to this controller.
    fn send_user_request(&mut self, controller: usize, call: UserCall) {
        if self.healed.is_some() && !call.probe {
            let open = &mut self.users.open;
            open.entry(call.job.clone()).or_insert(self.now);
        }
        let job = &call.job;
        let view = self.users.views.entry(job.clone()).or_default();
        let (method, path, body) = match call.request {
            UserRequest::Submit => {
                view.submitted = true;
                let plan = self.jobs.get(job);
                let body = plan.map(|p| wire::encode(&p.body)).unwrap_or_default();
                (Method::Post, "/api/jobs".to_string(), body)
            }
            UserRequest::Poll => (Method::Get, format!("/api/jobs/{job}"), Vec::new()),
            UserRequest::Cancel => {
                view.cancel_requested = true;
                (Method::Post, format!("/api/jobs/{job}/cancel"), Vec::new())
            }
        };
        let timeout = match call.request {
            UserRequest::Poll => POLL_TIMEOUT,
            UserRequest::Submit | UserRequest::Cancel => REQUEST_TIMEOUT,
        };
        let number = self.last_request + 1;
        self.requesters
            .insert((controller, number), Requester::User(call));
        let event = Event::UserGivesUp { request: number };
        self.push(self.now + timeout, event);
        self.request(controller, method, &path, body);
    }

    /// Times out a user's request.
    pub(super) fn user_gives_up(&mut self, request: u64) {
        let key = self.requesters.keys().find(|(_, r)| *r == request).copied();
        let requester = key.and_then(|key| self.requesters.remove(&key));
        if let Some(Requester::User(call)) = requester {
            if !call.probe {
                self.users.unanswered += 1;
                self.retry_lost(call);
            }
        }
    }

    /// Repeats a request that got no answer.
    pub(super) fn retry_lost(&mut self, call: UserCall) {
        self.repeat(call.job, call.request, call.since, RETRY_S);
    }

    fn repeat(&mut self, job: String, request: UserRequest, since: Micros, after_s: f64) {
        let is_poll = request == UserRequest::Poll;
        if !is_poll && self.now > since + GIVE_UP {
            return;
        }
        let after_s = if is_poll { POLL_S } else { after_s };
        self.push(
            self.now + (after_s * 1e6) as Micros,
            Event::UserSends {
                job,
                request,
                since,
            },
        );
    }

    /// Handles a controller's answer to a user.
    pub(super) fn on_user_answer(&mut self, call: UserCall, status: u16, body: &[u8]) {
        let ignored = self.users.ignored_job.as_ref() == Some(&call.job);
        if call.request == UserRequest::Poll && ignored {
            return self.retry_lost(call);
        }
        let value = decode(body);
        let job = &call.job;
        let plan = self.jobs.get(job);
        let total = plan.and_then(JobPlan::declared_tasks).unwrap_or(0);
        let complete = self.checks.finished_tasks(job) >= total;
        if status < 500 {
            self.close_request(job);
        }
        let answer = UserAnswer {
            sent_at: call.sent,
            received: self.now,
            request: call.request,
            status,
            state: value["status"].as_str().unwrap_or(""),
            complete,
        };
        let view = self.users.views.entry(job.clone()).or_default();
        let previous = (view.accepted, view.final_at, view.cancelled);
        let assessment = view.on_answer(&answer);
        let cancelled = view.cancelled != previous.2;
        let state_changed = (view.accepted, view.final_at) != (previous.0, previous.1);
        if view.accepted && self.users.invalid_jobs.contains(job) {
            self.users.invalid_jobs_accepted.insert(job.clone());
        }
        if state_changed {
            self.probe_all_controllers(job);
        }
        if cancelled {
            self.trigger(Trigger::Cancelled);
        }
        for rule in assessment.violations {
            self.checks.violate(self.now, rule, job);
        }
        if !call.probe {
            self.follow_up(call, assessment.follow_up);
        }
    }

    /// Records that a request about a job was answered.
    fn close_request(&mut self, job: &str) {
        let opened = self.users.open.remove(job);
        if let (Some(opened), Some(healed)) = (opened, self.healed) {
            let open = self.now - opened.max(healed);
            self.users.longest_unanswered = self.users.longest_unanswered.max(open);
        }
    }

    fn follow_up(&mut self, call: UserCall, follow_up: Option<FollowUp>) {
        match follow_up {
            Some(FollowUp::Retry(after_s)) => {
                self.repeat(call.job, call.request, call.since, after_s);
            }
            Some(FollowUp::Poll(after_s)) => {
                let after_s = after_s.max(self.users.min_poll_s) / self.poll_factor();
                let event = Event::UserSends {
                    job: call.job,
                    request: UserRequest::Poll,
                    since: self.now,
                };
                self.push(self.now + (after_s * 1e6) as Micros, event);
            }
            None => {}
        }
    }

    /// The factor by which users poll more often now; 1 without a poll storm.
    fn poll_factor(&self) -> f64 {
        let storm = self.users.poll_storm.get(self.now);
        storm.map_or(1.0, |factor| factor.max(1.0))
    }
}
