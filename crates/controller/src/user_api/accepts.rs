//! Submissions on their way into the key-value store: the queue, its transactions and their
//! replies.

use super::{Query, UserApi, SUBMIT_TIMEOUT_S};
use crate::calls::{Tag, UserApiCall};
use crate::job_store::{self, JobSpec, JobState, JobStore, Urgency};
use crate::store::{CommitResponse, Outcome, Priority, Reply, StoreClient, TransactionError};
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{JobId, RequestId, Revision, Time};
use beamhinge_core::wire::{self, error_body};
use beamhinge_rate_limit::Transaction;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Best-effort submissions that may wait: more would not be written in the time that their
/// clients wait, so these are told at once to retry.
const MAX_WAITING_BEST_EFFORT: usize = 48;
/// `Retry-After` of a best-effort submission, seconds: sooner it would only add load.
const BEST_EFFORT_RETRY_AFTER_S: u32 = 4;
/// Accepting transactions in flight at the same time.
const MAX_IN_FLIGHT: usize = 3;
/// Jobs that one transaction accepts.
const MAX_JOBS_PER_TRANSACTION: usize = 8;

/// One job that is to be accepted.
struct Accept {
    spec: Rc<JobSpec>,
    requests: Vec<RequestId>,
    since: Time,
    in_flight: bool,
}

impl Accept {
    fn is_best_effort(&self) -> bool {
        self.spec.urgency == Urgency::BestEffort
    }
}

/// Jobs that are to be accepted.
#[derive(Default)]
pub(super) struct AcceptQueue {
    accepts: BTreeMap<JobId, Accept>,
    /// Jobs not in flight, the most urgent first; may hold ids that are gone from `accepts`.
    order: VecDeque<JobId>,
    transactions_in_flight: usize,
}

impl AcceptQueue {
    pub(super) fn len(&self) -> usize {
        self.accepts.len()
    }

    /// Appends a job behind those that are at least as urgent; one that waits already gets one
    /// more request to answer.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        to: RequestId,
        id: JobId,
        spec: JobSpec,
        out: &mut Vec<Effect>,
    ) {
        if let Some(accept) = self.accepts.get_mut(&id) {
            accept.requests.push(to);
            return;
        }
        let best_effort = spec.urgency == Urgency::BestEffort;
        if best_effort && self.order.len() >= MAX_WAITING_BEST_EFFORT {
            out.push(Effect::Answer {
                to,
                status: 503,
                retry_after: Some(BEST_EFFORT_RETRY_AFTER_S),
                body: error_body("too many best-effort submissions wait"),
            });
            return;
        }
        // Thousands of best-effort jobs must not keep out more urgent ones.
        let less_urgent = |other: &JobId| {
            let other = self.accepts.get(other);
            other.is_some_and(|accept| accept.spec.urgency < spec.urgency)
        };
        let at = self.order.iter().position(less_urgent);
        self.order.insert(at.unwrap_or(self.order.len()), id);
        let accept = Accept {
            spec: Rc::new(spec),
            requests: vec![to],
            since: now,
            in_flight: false,
        };
        self.accepts.insert(id, accept);
    }

    /// Answers the requests of jobs that are late, and drops what nobody waits for any more
    /// unless it is in flight.
    pub(super) fn expire(&mut self, late: impl Fn(Time) -> bool, out: &mut Vec<Effect>) {
        self.accepts.retain(|_, accept| {
            if late(accept.since) {
                for to in accept.requests.drain(..) {
                    UserApi::busy(out, to, "the state service does not answer");
                }
            }
            accept.in_flight || !accept.requests.is_empty()
        });
        // An id whose job was dropped and came again is in the order twice.
        if self.order.len() > self.accepts.len() {
            self.order.retain(|id| self.accepts.contains_key(id));
        }
    }

    /// Sends as many transactions as may be in flight.
    pub(super) fn send(&mut self, now: Time, store: &mut StoreClient<Tag>, out: &mut Vec<Effect>) {
        while self.transactions_in_flight < MAX_IN_FLIGHT {
            let mut transaction = store.transaction();
            // Best effort goes alone and in small steps, so that what is more urgent never
            // waits behind more than one of its transactions.
            let best_effort = self.next_is_best_effort();
            if best_effort && self.transactions_in_flight > 0 {
                return;
            }
            let ids = self.fill(&mut transaction, best_effort, out);
            if ids.is_empty() {
                return;
            }
            self.transactions_in_flight += 1;
            store.commit(
                now,
                Priority::Admission,
                Tag::UserApi(UserApiCall::Accept(ids)),
                transaction,
            );
        }
    }

    fn next_is_best_effort(&self) -> bool {
        self.order
            .iter()
            .find_map(|id| self.accepts.get(id).filter(|accept| !accept.in_flight))
            .is_some_and(Accept::is_best_effort)
    }

    /// Writes the first jobs of the queue into a transaction, either best-effort ones or
    /// others; the jobs that it holds.
    fn fill(
        &mut self,
        transaction: &mut Transaction,
        best_effort: bool,
        out: &mut Vec<Effect>,
    ) -> Vec<JobId> {
        // A job that is refused fails all others of its transaction: a few at a time.
        let max_jobs = if best_effort {
            MAX_JOBS_PER_TRANSACTION / 2
        } else {
            MAX_JOBS_PER_TRANSACTION
        };
        let mut ids = Vec::new();
        while let Some(id) = self.order.front().copied() {
            let Some(accept) = self.accepts.get_mut(&id).filter(|a| !a.in_flight) else {
                self.order.pop_front();
                continue;
            };
            if transaction.write_count() >= max_jobs || best_effort != accept.is_best_effort() {
                break;
            }
            let value = job_store::open_record(&accept.spec);
            match transaction.put(job_store::key(id), Revision(0), value, None) {
                Ok(()) => {
                    accept.in_flight = true;
                    ids.push(id);
                }
                Err(TransactionError::Full) => break,
                // `feasibility::assess` lets none of these through; the user is told at once,
                // and the others go on.
                Err(error) => {
                    let reason = format!("cannot be kept: {error}");
                    let Some(accept) = self.accepts.remove(&id) else {
                        continue;
                    };
                    for to in accept.requests {
                        UserApi::busy(out, to, &reason);
                    }
                }
            }
            self.order.pop_front();
        }
        ids
    }

    /// Puts a job whose transaction failed for another job back to the front of the queue, if
    /// its users still wait.
    fn requeue(&mut self, now: Time, id: JobId) -> bool {
        let Some(accept) = self.accepts.get_mut(&id) else {
            return false;
        };
        let waits = now.since(accept.since) < SUBMIT_TIMEOUT_S;
        if waits {
            accept.in_flight = false;
            self.order.push_front(id);
        }
        waits
    }
}

impl UserApi {
    /// The key-value store replied to a transaction that accepts these jobs.
    pub(super) fn on_accept_reply(
        &mut self,
        now: Time,
        ids: Vec<JobId>,
        reply: Reply<Tag>,
        job_store: &mut JobStore,
        out: &mut Vec<Effect>,
    ) {
        let in_flight = &mut self.accepts.transactions_in_flight;
        *in_flight = in_flight.saturating_sub(1);
        match reply.outcome {
            Outcome::Ok(body) => {
                let revision = wire::decode::<CommitResponse>(&body).map_or(0, |c| c.revision);
                self.on_accepted(ids, Revision(revision), job_store, out);
            }
            Outcome::Conflict(conflicting) => self.on_accept_conflict(now, ids, &conflicting),
            // Refused, or of unknown fate: the user's own retry finds out, since creating the
            // key is conditional.
            _ => {
                for id in ids {
                    for to in self.take_accept_requests(id) {
                        Self::busy(out, to, "the state service cannot be reached");
                    }
                }
            }
        }
    }

    /// The jobs were accepted; `revision` 0: the reply did not tell at which one.
    fn on_accepted(
        &mut self,
        ids: Vec<JobId>,
        revision: Revision,
        job_store: &mut JobStore,
        out: &mut Vec<Effect>,
    ) {
        for id in ids {
            let Some(accept) = self.accepts.accepts.remove(&id) else {
                continue;
            };
            if revision > Revision(0) {
                job_store.on_committed(id, revision, JobState::Open, Some(accept.spec));
            }
            // The first request created the job, the others repeat it.
            let mut status = 201;
            for to in accept.requests {
                self.answer(out, to, status, id, "pending", None);
                status = 200;
            }
        }
    }

    /// Some of the jobs exist already: their submitters are told their state as it is now. The
    /// others are tried again.
    fn on_accept_conflict(&mut self, now: Time, ids: Vec<JobId>, conflicting: &[String]) {
        for id in ids {
            let exists = conflicting.contains(&job_store::key(id));
            if !exists && !conflicting.is_empty() && self.accepts.requeue(now, id) {
                continue;
            }
            for to in self.take_accept_requests(id) {
                self.wait(now, to, id, Query::Submission { refuse: None });
            }
        }
    }

    /// Drops a job from the queue; the requests that it had.
    fn take_accept_requests(&mut self, id: JobId) -> Vec<RequestId> {
        let accept = self.accepts.accepts.remove(&id);
        accept.map_or_else(Vec::new, |accept| accept.requests)
    }
}
