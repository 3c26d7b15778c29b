//! Submissions that wait to be written to the key-value store: their queue, its transactions and
//! the replies to them.

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

/// Queue length from which best-effort submissions are refused. They would not be written before
/// their clients time out, so they are told at once to retry.
const MAX_WAITING_BEST_EFFORT: usize = 48;
/// `Retry-After` header for a best-effort submission, seconds: an earlier retry only adds load.
const BEST_EFFORT_RETRY_AFTER_S: u32 = 4;
/// Maximum number of submission transactions in flight.
const MAX_IN_FLIGHT: usize = 3;
/// Maximum number of jobs in one transaction.
const MAX_JOBS_PER_TRANSACTION: usize = 8;

/// A submitted job and the requests that wait for its acceptance.
struct PendingSubmission {
    spec: Rc<JobSpec>,
    requests: Vec<RequestId>,
    since: Time,
    in_flight: bool,
}

impl PendingSubmission {
    fn is_best_effort(&self) -> bool {
        self.spec.urgency == Urgency::BestEffort
    }
}

/// Submitted jobs that are not accepted yet, by urgency.
#[derive(Default)]
pub(super) struct SubmissionQueue {
    by_job: BTreeMap<JobId, PendingSubmission>,
    /// Jobs not in flight, the most urgent first; may contain ids already removed from `by_job`.
    order: VecDeque<JobId>,
    transactions_in_flight: usize,
}

impl SubmissionQueue {
    pub(super) fn len(&self) -> usize {
        self.by_job.len()
    }

    /// Queues a job behind those that are at least as urgent. If the job is queued already, the
    /// request is added to it.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        to: RequestId,
        id: JobId,
        spec: JobSpec,
        out: &mut Vec<Effect>,
    ) {
        if let Some(submission) = self.by_job.get_mut(&id) {
            submission.requests.push(to);
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
        // Thousands of best-effort jobs must not block more urgent ones.
        let less_urgent = |other: &JobId| {
            let other = self.by_job.get(other);
            other.is_some_and(|submission| submission.spec.urgency < spec.urgency)
        };
        let position = self.order.iter().position(less_urgent);
        self.order.insert(position.unwrap_or(self.order.len()), id);
        let submission = PendingSubmission {
            spec: Rc::new(spec),
            requests: vec![to],
            since: now,
            in_flight: false,
        };
        self.by_job.insert(id, submission);
    }

    /// Answers late requests, and drops jobs that have no waiting request and are not in flight.
    pub(super) fn expire(&mut self, is_late: impl Fn(Time) -> bool, out: &mut Vec<Effect>) {
        self.by_job.retain(|_, submission| {
            if is_late(submission.since) {
                for to in submission.requests.drain(..) {
                    UserApi::busy(out, to, "the state service does not answer");
                }
            }
            submission.in_flight || !submission.requests.is_empty()
        });
        // If a job was dropped and submitted again, its id is in `order` twice.
        if self.order.len() > self.by_job.len() {
            self.order.retain(|id| self.by_job.contains_key(id));
        }
    }

    /// Sends transactions until [`MAX_IN_FLIGHT`] are in flight or the queue is empty.
    pub(super) fn send(&mut self, now: Time, store: &mut StoreClient<Tag>, out: &mut Vec<Effect>) {
        while self.transactions_in_flight < MAX_IN_FLIGHT {
            let mut transaction = store.transaction();
            // Best-effort jobs are written in small transactions, one at a time, so that more
            // urgent jobs never wait behind more than one of these.
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
            .find_map(|id| {
                self.by_job
                    .get(id)
                    .filter(|submission| !submission.in_flight)
            })
            .is_some_and(PendingSubmission::is_best_effort)
    }

    /// Adds the first jobs of the queue to a transaction, either only best-effort ones or only
    /// others. Returns the jobs that were added.
    fn fill(
        &mut self,
        transaction: &mut Transaction,
        best_effort: bool,
        out: &mut Vec<Effect>,
    ) -> Vec<JobId> {
        // A conflict on one job fails the whole transaction, so each contains only a few jobs.
        let max_jobs = if best_effort {
            MAX_JOBS_PER_TRANSACTION / 2
        } else {
            MAX_JOBS_PER_TRANSACTION
        };
        let mut ids = Vec::new();
        while let Some(id) = self.order.front().copied() {
            let Some(submission) = self
                .by_job
                .get_mut(&id)
                .filter(|submission| !submission.in_flight)
            else {
                self.order.pop_front();
                continue;
            };
            if transaction.write_count() >= max_jobs || best_effort != submission.is_best_effort() {
                break;
            }
            let value = job_store::open_record(&submission.spec);
            match transaction.put(job_store::key(id), Revision(0), value, None) {
                Ok(()) => {
                    submission.in_flight = true;
                    ids.push(id);
                }
                Err(TransactionError::Full) => break,
                // `feasibility::assess` refuses such jobs beforehand. If one gets here, its
                // requests are answered at once, and the other jobs are not affected.
                Err(error) => {
                    let reason = format!("cannot be kept: {error}");
                    let Some(submission) = self.by_job.remove(&id) else {
                        continue;
                    };
                    for to in submission.requests {
                        UserApi::busy(out, to, &reason);
                    }
                }
            }
            self.order.pop_front();
        }
        ids
    }

    /// Puts a job back at the front of the queue after its transaction failed because of another
    /// job, unless its requests have timed out. Returns whether the job was queued.
    fn requeue(&mut self, now: Time, id: JobId) -> bool {
        let Some(submission) = self.by_job.get_mut(&id) else {
            return false;
        };
        let in_time = now.since(submission.since) < SUBMIT_TIMEOUT_S;
        if in_time {
            submission.in_flight = false;
            self.order.push_front(id);
        }
        in_time
    }
}

impl UserApi {
    /// Handles the reply of the key-value store to a transaction that accepts these jobs.
    pub(super) fn on_accept_reply(
        &mut self,
        now: Time,
        ids: Vec<JobId>,
        reply: Reply<Tag>,
        job_store: &mut JobStore,
        out: &mut Vec<Effect>,
    ) {
        let in_flight = &mut self.submissions.transactions_in_flight;
        *in_flight = in_flight.saturating_sub(1);
        match reply.outcome {
            Outcome::Ok(body) => {
                let revision = wire::decode::<CommitResponse>(&body).map_or(0, |c| c.revision);
                self.on_accepted(ids, Revision(revision), job_store, out);
            }
            Outcome::Conflict(conflicting) => self.on_accept_conflict(now, ids, &conflicting),
            // The transaction was refused, or its outcome is unknown: the client's retry finds
            // out, since the creation of the key is conditional.
            _ => {
                for id in ids {
                    for to in self.remove_submission(id) {
                        Self::busy(out, to, "the state service cannot be reached");
                    }
                }
            }
        }
    }

    /// Answers the requests of accepted jobs. `revision`: the revision of the commit; 0 if the
    /// reply did not contain it.
    fn on_accepted(
        &mut self,
        ids: Vec<JobId>,
        revision: Revision,
        job_store: &mut JobStore,
        out: &mut Vec<Effect>,
    ) {
        for id in ids {
            let Some(submission) = self.submissions.by_job.remove(&id) else {
                continue;
            };
            if revision > Revision(0) {
                job_store.on_committed(id, revision, JobState::Open, Some(submission.spec));
            }
            // The first request created the job, the others are repetitions.
            let mut status = 201;
            for to in submission.requests {
                self.answer(out, to, status, id, "pending", None);
                status = 200;
            }
        }
    }

    /// Handles a transaction that failed because some of its jobs exist already. The requests of
    /// those wait for a fresh replica and are answered with the job's current state. The other jobs
    /// are retried.
    fn on_accept_conflict(&mut self, now: Time, ids: Vec<JobId>, conflicting: &[String]) {
        for id in ids {
            let exists = conflicting.contains(&job_store::key(id));
            if !exists && !conflicting.is_empty() && self.submissions.requeue(now, id) {
                continue;
            }
            for to in self.remove_submission(id) {
                self.wait(now, to, id, Query::Submission { refusal: None });
            }
        }
    }

    /// Removes a job from the queue and returns its requests.
    fn remove_submission(&mut self, id: JobId) -> Vec<RequestId> {
        let submission = self.submissions.by_job.remove(&id);
        submission.map_or_else(Vec::new, |submission| submission.requests)
    }
}
