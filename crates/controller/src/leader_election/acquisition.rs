//! The transactions that acquire and reclaim leadership.

use super::{LeaderElection, BLOCK_KEY, BLOCK_PREFIX, LEADERSHIP_KEY, UNWRITABLE_RETRY_S};
use crate::calls::{ElectionCall, Tag};
use crate::faults::fault_injected;
use crate::store::{Priority, StoreClient, Transaction, TransactionError};
use beamhinge_core::types::{FencingToken, Revision, Time};
use beamhinge_core::wire;

impl LeaderElection {
    /// Acquires or reclaims leadership if its key may be replaced and nothing that is
    /// needed for it is still unknown.
    pub(super) fn try_acquire(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.leadership.read_up_to.is_none() || self.acquiring || now < self.yield_until {
            return;
        }
        let (replaceable, revision) = self.leadership_availability();
        let Some(lease_id) = self.lease.id else {
            return;
        };
        if !replaceable {
            self.read_block_of_own_leadership(now, revision, store);
        } else if let Some(token) = self.token {
            self.reclaim(now, token, revision, lease_id, store);
        } else if let Some(block_revision) = self.block.revision {
            self.acquire(now, block_revision, revision, lease_id, store);
        } else if !self.block.read_in_flight {
            self.read_block(now, store);
        }
    }

    /// Whether the leadership key may be replaced, and its revision (0: absent).
    ///
    /// An owner with this controller's label and another nonce is an earlier process of it,
    /// which has ended: waiting for its lease to expire would only cost time. Waiting until
    /// the jobs are read was tried as well: after a restart of all controllers workers
    /// learned the new token later.
    fn leadership_availability(&self) -> (bool, Revision) {
        let Some(record) = &self.leadership.record else {
            return (true, Revision(0));
        };
        let own_earlier_process =
            record.owner.label == self.identity.label && record.owner.nonce != self.identity.nonce;
        let presumed_dead = self.leadership.presumed_dead == Some(record.revision);
        (own_earlier_process || presumed_dead, record.revision)
    }

    /// Guard 1: the leadership key names this process, which has no token: an acquisition
    /// whose reply was lost was committed late. No other controller replaces the key while
    /// this one renews its lease, and this one would take it for another's, so nobody would
    /// lead for as long as this process lives. What is known of the block key is from
    /// before that commit; it is read once for each revision of the leadership key.
    fn read_block_of_own_leadership(
        &mut self,
        now: Time,
        revision: Revision,
        store: &mut StoreClient<Tag>,
    ) {
        let own = self
            .leadership
            .record
            .as_ref()
            .is_some_and(|record| record.owner == self.identity);
        let unknown =
            self.token.is_none() && self.block.read_for != revision && !self.block.read_in_flight;
        if own && unknown && !fault_injected!(self.faults, lost_acquisition_ignored) {
            self.read_block(now, store);
        }
    }

    /// Writes the leadership key again while the term goes on: the lease expired, but no
    /// other controller took the block key.
    fn reclaim(
        &mut self,
        now: Time,
        token: FencingToken,
        revision: Revision,
        lease_id: u64,
        store: &mut StoreClient<Tag>,
    ) {
        let mut transaction = store.transaction();
        let built = transaction
            .require(BLOCK_KEY, Revision(token.0))
            .and_then(|()| {
                let identity = wire::to_value(&self.identity);
                transaction.put(LEADERSHIP_KEY, revision, identity, Some(lease_id))
            });
        self.commit_leadership(
            now,
            ElectionCall::Reclaim,
            built.map(|()| transaction),
            store,
        );
    }

    /// Begins a term: writes both keys in one transaction.
    fn acquire(
        &mut self,
        now: Time,
        block_revision: Revision,
        revision: Revision,
        lease_id: u64,
        store: &mut StoreClient<Tag>,
    ) {
        let mut transaction = store.transaction();
        let identity = wire::to_value(&self.identity);
        let built = transaction
            .put(LEADERSHIP_KEY, revision, identity.clone(), Some(lease_id))
            .and_then(|()| transaction.put(BLOCK_KEY, block_revision, identity, None));
        self.commit_leadership(
            now,
            ElectionCall::Acquire,
            built.map(|()| transaction),
            store,
        );
    }

    fn commit_leadership(
        &mut self,
        now: Time,
        call: ElectionCall,
        transaction: Result<Transaction, TransactionError>,
        store: &mut StoreClient<Tag>,
    ) {
        match transaction {
            Ok(transaction) => {
                self.acquiring = true;
                store.commit(now, Priority::Lease, Tag::Election(call), transaction);
            }
            // A label that is too long for any value: this controller can never lead.
            Err(error) => {
                tracing::error!(%error, "cannot write leadership record");
                self.retry_at = now.plus(UNWRITABLE_RETRY_S);
            }
        }
    }

    fn read_block(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        self.block.read_in_flight = true;
        let tag = Tag::Election(ElectionCall::ReadBlock);
        store.scan(now, Priority::Lease, tag, BLOCK_PREFIX, None);
    }
}
