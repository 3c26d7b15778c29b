//! Cancellations that wait to be written to the key-value store.

use super::{UserApi, CANCELLED, DONE, SUBMIT_TIMEOUT_S};
use crate::calls::{Tag, UserApiCall};
use crate::job_store::{self, JobSpec, JobState, JobStore};
use crate::store::{CommitResponse, Outcome, Priority, Reply, StoreClient, TransactionError};
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{JobId, RequestId, Revision, Time};
use beamhinge_core::wire;

/// Delay before a cancellation is retried after a compare-and-swap conflict, seconds.
const CONFLICT_RETRY_S: f64 = 0.05;

/// An open job that is being cancelled, and the requests that wait for it.
pub(super) struct Cancellation {
    pub(super) requests: Vec<RequestId>,
    pub(super) since: Time,
    pub(super) in_flight: bool,
    retry_at: Time,
}

impl Cancellation {
    pub(super) fn new(now: Time) -> Cancellation {
        Cancellation {
            requests: Vec::new(),
            since: now,
            in_flight: false,
            retry_at: now,
        }
    }
}

impl UserApi {
    /// Sends cancellations that are due, and answers those whose job is in a final state and
    /// those that are late.
    pub(super) fn advance_cancellations(
        &mut self,
        now: Time,
        job_store: &JobStore,
        store: &mut StoreClient<Tag>,
        out: &mut Vec<Effect>,
    ) {
        // Jobs with the final state to answer; `None` if the job was not cancelled in time, does
        // not fit into a transaction or is unknown, which is answered 503.
        let mut settled = Vec::new();
        for (id, cancellation) in &mut self.cancellations {
            if cancellation.in_flight || now < cancellation.retry_at {
                continue;
            }
            let entry = job_store.get(*id);
            match entry.map(|e| (e.state, e.spec.as_ref())) {
                Some((JobState::Open, Some(spec)))
                    if now.since(cancellation.since) < SUBMIT_TIMEOUT_S =>
                {
                    let revision = entry.map_or(Revision(0), |e| e.revision);
                    match commit_cancellation(now, *id, revision, spec, store) {
                        Ok(()) => cancellation.in_flight = true,
                        Err(error) => {
                            tracing::error!(job = %id, %error, "cancellation does not fit into a transaction");
                            settled.push((*id, None));
                        }
                    }
                }
                Some((JobState::Done, _)) => settled.push((*id, Some(DONE))),
                Some((JobState::Cancelled, _)) => settled.push((*id, Some(CANCELLED))),
                _ => settled.push((*id, None)),
            }
        }
        for (id, state) in settled {
            for to in self.remove_cancellation(id) {
                match state {
                    Some(state) => self.answer(out, to, 200, id, state, None),
                    None => Self::busy(out, to, "the state service does not answer"),
                }
            }
        }
    }

    /// Handles the reply of the key-value store to the transaction that cancels a job.
    pub(super) fn on_cancel_reply(
        &mut self,
        now: Time,
        id: JobId,
        reply: Reply<Tag>,
        job_store: &mut JobStore,
        out: &mut Vec<Effect>,
    ) {
        match reply.outcome {
            Outcome::Ok(body) => {
                let spec = job_store.get(id).and_then(|e| e.spec.clone());
                if let Ok(committed) = wire::decode::<CommitResponse>(&body) {
                    job_store.on_committed(
                        id,
                        Revision(committed.revision),
                        JobState::Cancelled,
                        spec,
                    );
                }
                for to in self.remove_cancellation(id) {
                    self.answer(out, to, 200, id, CANCELLED, None);
                }
            }
            // The job's record changed in the meantime; the next refresh of the replica reads it.
            Outcome::Conflict(_) => {
                if let Some(cancellation) = self.cancellations.get_mut(&id) {
                    cancellation.in_flight = false;
                    cancellation.retry_at = now.plus(CONFLICT_RETRY_S);
                }
            }
            _ => {
                for to in self.remove_cancellation(id) {
                    Self::busy(out, to, "the state service cannot be reached");
                }
            }
        }
    }

    /// Removes a cancellation and returns its requests.
    fn remove_cancellation(&mut self, id: JobId) -> Vec<RequestId> {
        let cancellation = self.cancellations.remove(&id);
        cancellation.map_or_else(Vec::new, |cancellation| cancellation.requests)
    }
}

/// Sends the transaction that cancels an open job, conditional on the revision of its record.
fn commit_cancellation(
    now: Time,
    id: JobId,
    revision: Revision,
    spec: &JobSpec,
    store: &mut StoreClient<Tag>,
) -> Result<(), TransactionError> {
    let mut transaction = store.transaction();
    let value = job_store::cancelled_record(spec);
    transaction.put(job_store::key(id), revision, value, None)?;
    store.commit(
        now,
        Priority::Admission,
        Tag::UserApi(UserApiCall::Cancel(id)),
        transaction,
    );
    Ok(())
}
