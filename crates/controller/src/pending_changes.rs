//! Queue of requested changes to versioned state that is replicated in a
//! [`ReplicaCache`](crate::replica::ReplicaCache).
//!
//! A change is decided on only with a replica that is at least as fresh as the request
//! ([`PendingChange::is_decidable`]), and is then committed as one conditional transaction. If the
//! condition fails or the outcome of the transaction is unknown, the change is decided on again
//! with a replica that is read afterwards ([`PendingChanges::retry`]). The length of the queue is
//! bounded ([`MAX_PENDING`]); the owner of the queue decides how a change that has waited for too
//! long ends ([`PendingChange::has_timed_out`]).

use beamhinge_core::types::{RequestId, Time};
use std::collections::VecDeque;

/// Maximum number of changes in one queue; further changes are rejected.
const MAX_PENDING: usize = 32;
/// How long a change may take before the requester is told to retry, seconds.
const TIMEOUT_S: f64 = 3.0;

/// One requested change and its progress.
pub(crate) struct PendingChange<T> {
    /// Identifies the change among all changes that were ever in this queue; it is part of the tag
    /// of the change's calls to the key-value store.
    pub(crate) serial: u64,
    /// The request that is answered once the change is decided.
    pub(crate) request: RequestId,
    /// The change itself.
    pub(crate) change: T,
    /// Whether the reply to a transaction with this change is outstanding.
    pub(crate) in_flight: bool,
    started: Time,
    /// Minimum freshness of the replica to decide on the change.
    min_fresh_as_of: Time,
}

impl<T> PendingChange<T> {
    /// Whether the change has waited for longer than the timeout.
    pub(crate) fn has_timed_out(&self, now: Time) -> bool {
        now.since(self.started) > TIMEOUT_S
    }

    /// Whether a replica of this freshness is sufficient to decide on the change. `None`: the
    /// freshness is unknown.
    pub(crate) fn is_decidable(&self, fresh_as_of: Option<Time>) -> bool {
        !self.in_flight && fresh_as_of.is_some_and(|fresh| fresh >= self.min_fresh_as_of)
    }
}

/// Pending changes in their order of arrival.
pub(crate) struct PendingChanges<T> {
    queue: VecDeque<PendingChange<T>>,
    last_serial: u64,
}

impl<T> Default for PendingChanges<T> {
    fn default() -> PendingChanges<T> {
        PendingChanges {
            queue: VecDeque::new(),
            last_serial: 0,
        }
    }
}

impl<T> PendingChanges<T> {
    /// Appends a change; returns `false` if the queue is full and the change was dropped.
    #[must_use]
    pub(crate) fn push(&mut self, now: Time, request: RequestId, change: T) -> bool {
        if self.queue.len() >= MAX_PENDING {
            return false;
        }
        self.last_serial += 1;
        self.queue.push_back(PendingChange {
            serial: self.last_serial,
            request,
            change,
            in_flight: false,
            started: now,
            min_fresh_as_of: now,
        });
        true
    }

    /// Whether a condition holds for any change of the queue.
    pub(crate) fn any(&self, condition: impl Fn(&PendingChange<T>) -> bool) -> bool {
        self.queue.iter().any(condition)
    }

    pub(crate) fn get(&self, serial: u64) -> Option<&PendingChange<T>> {
        self.queue.iter().find(|pending| pending.serial == serial)
    }

    pub(crate) fn get_mut(&mut self, serial: u64) -> Option<&mut PendingChange<T>> {
        self.queue
            .iter_mut()
            .find(|pending| pending.serial == serial)
    }

    /// Removes one change from the queue.
    pub(crate) fn remove(&mut self, serial: u64) -> Option<PendingChange<T>> {
        let at = self.queue.iter().position(|p| p.serial == serial)?;
        self.queue.remove(at)
    }

    /// Examines all changes in their order. Those for which `decide` returns a response leave
    /// the queue, and their responses are returned by request.
    pub(crate) fn advance<R>(
        &mut self,
        mut decide: impl FnMut(&mut PendingChange<T>) -> Option<R>,
    ) -> Vec<(RequestId, R)> {
        let mut responses = Vec::new();
        self.queue.retain_mut(|pending| match decide(pending) {
            Some(response) => {
                responses.push((pending.request, response));
                false
            }
            None => true,
        });
        responses
    }

    /// Handles a transaction that was not committed or whose outcome is unknown: the change is
    /// decided on again with a replica that is read at `now` or later.
    pub(crate) fn retry(&mut self, now: Time, serial: u64) {
        if let Some(pending) = self.get_mut(serial) {
            pending.in_flight = false;
            pending.min_fresh_as_of = now;
        }
    }
}
