//! The users' interface: submit, query and cancel, on any controller.
//!
//! A job is accepted by the committed creation of its key, and by nothing else. Final states
//! never change, so they are answered from the replica of the jobs as it is; everything else
//! waits for a replica that is fresher than the request, or is answered 503.
//!
//! Invariants:
//! - No answer to a request is older than the request ([`WaitingRequest::needs_fresh_as_of`]).
//! - No request waits for longer than its client does: what is late is answered 503, and the
//!   client's retry finds what became of it.

mod accepts;
mod announcements;
mod cancellations;
mod feasibility;
mod submission;

pub use feasibility::{assess, Feasibility};
pub use submission::{read_submission, validate, SubmissionError};

use crate::calls::{Tag, UserApiCall};
use crate::faults::{fault_injected, Faults};
use crate::job_store::{self, JobSpec, JobState, JobStore};
use crate::replica::Freshness;
use crate::store::{Reply, StoreClient};
use accepts::AcceptQueue;
use announcements::EndAnnouncements;
use beamhinge_core::messages::{Effect, TaskCounts};
use beamhinge_core::types::{JobId, RequestId, Time};
use beamhinge_core::wire::{self, error_body};
use cancellations::Cancellation;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests that may wait; beyond it users are told to retry.
const MAX_WAITING: usize = 400;
/// Jobs whose progress is kept before those that are over are dropped, which visits all of
/// them. The leader's own list replaces it each second; two jobs for each of 8,192 machines.
const MAX_REPORTED_COUNTS: usize = 16_384;
/// How long a query waits, seconds: the client of a poll waits two seconds.
const QUERY_TIMEOUT_S: f64 = 1.4;
/// How long a submission or a cancellation waits, seconds.
const SUBMIT_TIMEOUT_S: f64 = 3.0;
/// `Retry-After` of a 503, seconds.
const RETRY_AFTER_S: u32 = 1;
/// Final states of a job, as users are told them.
const DONE: &str = "done";
const CANCELLED: &str = "cancelled";

/// The body of an answer that tells a job's state.
#[derive(Serialize)]
struct StatusBody {
    #[serde(rename = "nameId")]
    job: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

/// A job that is to be accepted.
pub struct SubmittedJob {
    /// The id that the client drew.
    pub id: JobId,
    /// What is to run.
    pub spec: JobSpec,
    /// Whether it can ever run here.
    pub feasibility: Feasibility,
}

/// Where the task counts of jobs are known at first hand: the scheduler of the leader.
pub trait TaskCountSource {
    /// The counts of one job; `None`: not known here.
    fn counts(&self, id: JobId) -> Option<TaskCounts>;
}

/// What a waiting request asks for.
#[derive(Debug)]
enum Query {
    Poll,
    /// A submission whose job may exist already; if it does not, it is refused for this
    /// reason, or to be sent again.
    Submission {
        refuse: Option<&'static str>,
    },
    Cancel,
}

/// A request that waits for a fresher replica of the jobs.
#[derive(Debug)]
struct WaitingRequest {
    request: RequestId,
    job: JobId,
    received: Time,
    /// No replica from before this time answers it: when it came, or when a peer announced
    /// since that its job has ended.
    needs_fresh_as_of: Time,
    query: Query,
}

/// Requests of users that are not answered yet.
#[derive(Default)]
pub struct UserApi {
    waiting: VecDeque<WaitingRequest>,
    accepts: AcceptQueue,
    cancellations: BTreeMap<JobId, Cancellation>,
    announcements: EndAnnouncements,
    /// Task counts that the leader last reported; for display only.
    pub reported_counts: BTreeMap<JobId, TaskCounts>,
    /// Faults injected by tests.
    pub faults: Faults,
}

impl UserApi {
    /// Whether some request needs a fresh replica of the jobs.
    pub fn needs_fresh_jobs(&self) -> bool {
        !self.waiting.is_empty() || self.cancellations.values().any(|c| !c.in_flight)
    }

    fn waiting_count(&self) -> usize {
        self.waiting.len() + self.accepts.len() + self.cancellations.len()
    }

    /// Answers 503: the client is to retry.
    pub fn busy(out: &mut Vec<Effect>, to: RequestId, reason: &str) {
        out.push(Effect::Answer {
            to,
            status: 503,
            retry_after: Some(RETRY_AFTER_S),
            body: error_body(reason),
        });
    }

    /// Answers with a job's state.
    fn answer(
        &mut self,
        out: &mut Vec<Effect>,
        to: RequestId,
        status: u16,
        id: JobId,
        state: &'static str,
        counts: Option<TaskCounts>,
    ) {
        if matches!(state, DONE | CANCELLED) {
            self.announcements.announce(id);
        }
        let body = wire::encode(&StatusBody {
            job: id.to_string(),
            status: state,
            done: counts.map(|c| c.done),
            running: counts.map(|c| c.running),
        });
        out.push(Effect::Answer {
            to,
            status,
            retry_after: None,
            body,
        });
    }

    /// Answers with what the replica holds of a job. `counts`: its task counts where they are
    /// known at first hand.
    fn answer_entry(
        &mut self,
        out: &mut Vec<Effect>,
        to: RequestId,
        id: JobId,
        entry: &job_store::JobEntry,
        counts: Option<TaskCounts>,
    ) {
        let counts = match entry.state {
            JobState::Done => TaskCounts {
                done: entry.tasks,
                running: 0,
            },
            _ => counts
                .or_else(|| self.reported_counts.get(&id).copied())
                .unwrap_or_default(),
        };
        let state = match entry.state {
            JobState::Done => DONE,
            JobState::Cancelled => CANCELLED,
            JobState::Open if counts.running > 0 => "running",
            JobState::Open => "pending",
        };
        self.answer(out, to, 200, id, state, Some(counts));
    }

    /// Answers a request that needs no fresh replica, since its job is in a final state, and
    /// one for which there is no space. Whether it was answered.
    fn answered_at_once(
        &mut self,
        to: RequestId,
        id: JobId,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) -> bool {
        if let Some(entry) = job_store.get(id).filter(|e| e.state != JobState::Open) {
            self.answer_entry(out, to, id, entry, None);
        } else if self.waiting_count() >= MAX_WAITING {
            Self::busy(out, to, "too many requests wait");
        } else {
            return false;
        }
        true
    }

    /// A job is submitted.
    pub fn submit(
        &mut self,
        now: Time,
        to: RequestId,
        job: SubmittedJob,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) {
        let id = job.id;
        if self.answered_at_once(to, id, job_store, out) {
            return;
        }
        match job.feasibility {
            Feasibility::Unknown => Self::busy(out, to, "machine types are not yet known"),
            // A job that was accepted once is not refused when types or limits have changed
            // since: whether it exists is looked up first.
            Feasibility::Infeasible(reason) => {
                let refuse = Some(reason);
                self.wait(now, to, id, Query::Submission { refuse });
            }
            Feasibility::Feasible if job_store.get(id).is_some() => {
                self.wait(now, to, id, Query::Submission { refuse: None });
            }
            Feasibility::Feasible => self.accepts.enqueue(now, to, id, job.spec, out),
        }
    }

    /// The state of a job is asked for.
    pub fn poll(
        &mut self,
        now: Time,
        to: RequestId,
        id: JobId,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) {
        if !self.answered_at_once(to, id, job_store, out) {
            self.wait(now, to, id, Query::Poll);
        }
    }

    /// A job is to be cancelled.
    pub fn cancel(
        &mut self,
        now: Time,
        to: RequestId,
        id: JobId,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) {
        if !self.answered_at_once(to, id, job_store, out) {
            self.wait(now, to, id, Query::Cancel);
        }
    }

    /// Has a request wait for a replica of the jobs that is fresher than itself.
    fn wait(&mut self, now: Time, request: RequestId, job: JobId, query: Query) {
        self.waiting.push_back(WaitingRequest {
            request,
            job,
            received: now,
            needs_fresh_as_of: now,
            query,
        });
    }

    /// A peer announced that these jobs have ended, and that a user was told so. It changes
    /// nothing of what is known here: requests that wait are answered from a replica that is
    /// fresher than the announcement, so that no older answer follows what the user has heard
    /// elsewhere.
    pub fn on_end_announced(&mut self, now: Time, jobs: impl Iterator<Item = JobId>) {
        let jobs: BTreeSet<JobId> = jobs.collect();
        for waiting in self.waiting.iter_mut().filter(|w| jobs.contains(&w.job)) {
            waiting.needs_fresh_as_of = now;
        }
    }

    /// Jobs whose end a user was told in this step, to be announced to the peers.
    pub fn take_announcements(&mut self) -> Vec<JobId> {
        self.announcements.take_unsent()
    }

    /// The replica of the jobs was refreshed, or could not be.
    pub fn on_replica_refresh(
        &mut self,
        now: Time,
        freshness: Freshness,
        job_store: &JobStore,
        counts: &dyn TaskCountSource,
        out: &mut Vec<Effect>,
    ) {
        if freshness == Freshness::Unchanged {
            return;
        }
        let fresh = job_store.fresh_as_of();
        let mut left = VecDeque::new();
        while let Some(waiting) = self.waiting.pop_front() {
            let stale = fresh.is_none_or(|fresh| fresh < waiting.needs_fresh_as_of);
            if !stale || fault_injected!(self.faults, answers_from_stale_replica) {
                let counts = counts.counts(waiting.job);
                self.answer_waiting(now, &waiting, job_store, counts, out);
            } else if freshness == Freshness::Failed {
                Self::busy(out, waiting.request, "the state service cannot be reached");
            } else {
                left.push_back(waiting);
            }
        }
        self.waiting = left;
    }

    /// Answers a waiting request by a replica that is fresh enough for it.
    fn answer_waiting(
        &mut self,
        now: Time,
        waiting: &WaitingRequest,
        job_store: &JobStore,
        counts: Option<TaskCounts>,
        out: &mut Vec<Effect>,
    ) {
        let (to, job) = (waiting.request, waiting.job);
        let refuse = |out: &mut Vec<Effect>, status, reason| {
            out.push(Effect::Answer {
                to,
                status,
                retry_after: None,
                body: error_body(reason),
            });
        };
        match (&waiting.query, job_store.get(job)) {
            (Query::Poll | Query::Submission { .. }, Some(entry)) => {
                self.answer_entry(out, to, job, entry, counts);
            }
            (Query::Poll | Query::Cancel, None) => refuse(out, 404, "no such job"),
            (Query::Submission { refuse: Some(why) }, None) => refuse(out, 422, why),
            (Query::Submission { refuse: None }, None) => Self::busy(out, to, "try again"),
            (Query::Cancel, Some(entry)) => match entry.state {
                JobState::Done => self.answer(out, to, 200, job, DONE, None),
                JobState::Cancelled => self.answer(out, to, 200, job, CANCELLED, None),
                JobState::Open => self
                    .cancellations
                    .entry(job)
                    .or_insert_with(|| Cancellation::new(now))
                    .requests
                    .push(to),
            },
        }
    }

    /// Answers what is late, and sends the transactions of submissions and cancellations.
    pub fn tick(
        &mut self,
        now: Time,
        job_store: &JobStore,
        store: &mut StoreClient<Tag>,
        out: &mut Vec<Effect>,
    ) {
        while let Some(waiting) = self.waiting.front() {
            if now.since(waiting.received) <= QUERY_TIMEOUT_S {
                break;
            }
            Self::busy(out, waiting.request, "the state service does not answer");
            self.waiting.pop_front();
        }
        self.expire_late(now, out);
        self.accepts.send(now, store, out);
        self.advance_cancellations(now, job_store, store, out);
        if self.reported_counts.len() > MAX_REPORTED_COUNTS {
            let is_open = |id: &JobId| job_store.get(*id).map(|e| e.state) == Some(JobState::Open);
            self.reported_counts.retain(|id, _| is_open(id));
        }
    }

    /// Guard: nobody is kept waiting behind the transactions of others. When the key-value
    /// store comes back, each of those may take its full time-out, and a job behind them waits
    /// for longer than its user does. Whoever has waited for so long is told to retry; what is
    /// in flight is followed to its end, and the user's next try finds it.
    fn expire_late(&mut self, now: Time, out: &mut Vec<Effect>) {
        let late = |since: Time| now.since(since) > SUBMIT_TIMEOUT_S;
        self.accepts.expire(late, out);
        let cancellations = self.cancellations.values_mut();
        for cancellation in cancellations.filter(|c| c.in_flight && late(c.since)) {
            for to in cancellation.requests.drain(..) {
                Self::busy(out, to, "the state service does not answer");
            }
        }
    }

    /// The key-value store replied to a transaction of this interface.
    pub fn on_reply(
        &mut self,
        now: Time,
        call: UserApiCall,
        reply: Reply<Tag>,
        job_store: &mut JobStore,
        out: &mut Vec<Effect>,
    ) {
        match call {
            UserApiCall::Accept(ids) => self.on_accept_reply(now, ids, reply, job_store, out),
            UserApiCall::Cancel(id) => self.on_cancel_reply(now, id, reply, job_store, out),
        }
    }
}

#[cfg(test)]
mod tests;
