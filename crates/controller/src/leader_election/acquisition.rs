//! The transactions that acquire and reclaim leadership.

use super::{LeaderElection, BLOCK_KEY, BLOCK_PREFIX, LEADERSHIP_KEY, OVERSIZED_RECORD_RETRY_S};
use crate::calls::{ElectionCall, Tag};
use crate::faults::fault_injected;
use crate::store::{Priority, StoreClient, Transaction, TransactionError};
use beamhinge_core::types::{FencingToken, Revision, Time};
use beamhinge_core::wire;

impl LeaderElection {
    /// Acquires or reclaims leadership if the leadership key may be replaced and this
    /// controller has a lease. An acquisition reads the block key first if its revision is
    /// unknown.
    pub(super) fn try_acquire(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.leadership.read_up_to.is_none() || self.acquiring || now < self.yield_until {
            return;
        }
        let (replaceable, leadership_revision) = self.leadership_availability();
        let Some(lease_id) = self.lease.id else {
            return;
        };
        if !replaceable {
            self.read_block_for_owned_leadership(now, leadership_revision, store);
        } else if let Some(token) = self.token {
            self.reclaim(now, token, leadership_revision, lease_id, store);
        } else if let Some(block_revision) = self.block.revision {
            self.acquire(now, block_revision, leadership_revision, lease_id, store);
        } else if !self.block.read_in_flight {
            self.read_block(now, store);
        }
    }

    /// Whether the leadership key may be replaced, and its revision (0 if the key is absent).
    ///
    /// An owner with this controller's label and another nonce is an earlier process of this
    /// controller, which has ended, so its key is replaced without waiting until its lease
    /// expires, which would only cost time. The acquisition does not wait until the jobs are read
    /// either: with that wait, workers learned the new fencing token later after a restart of all
    /// controllers.
    fn leadership_availability(&self) -> (bool, Revision) {
        let Some(record) = &self.leadership.record else {
            return (true, Revision(0));
        };
        let written_by_earlier_process =
            record.owner.label == self.identity.label && record.owner.nonce != self.identity.nonce;
        let presumed_dead = self.leadership.presumed_dead == Some(record.revision);
        (written_by_earlier_process || presumed_dead, record.revision)
    }

    /// Reads the block key if the leadership key names this process although it has no fencing
    /// token.
    ///
    /// Guard 1: an acquisition whose reply was lost was committed late. No other controller
    /// replaces the leadership key while this process renews its lease, and this process
    /// would not replace it either, so the cluster would have no leader until this process
    /// ends. The block key as last read is from before that commit; it is read once for each
    /// revision of the leadership key.
    fn read_block_for_owned_leadership(
        &mut self,
        now: Time,
        leadership_revision: Revision,
        store: &mut StoreClient<Tag>,
    ) {
        let owned_by_this_process = self
            .leadership
            .record
            .as_ref()
            .is_some_and(|record| record.owner == self.identity);
        let block_unread = self.token.is_none()
            && self.block.read_for_leadership_revision != leadership_revision
            && !self.block.read_in_flight;
        if owned_by_this_process
            && block_unread
            && !fault_injected!(self.faults, lost_acquisition_ignored)
        {
            self.read_block(now, store);
        }
    }

    /// Writes the leadership key again after the lease has ended. The term continues, on the
    /// condition that no other controller has written the block key.
    fn reclaim(
        &mut self,
        now: Time,
        token: FencingToken,
        leadership_revision: Revision,
        lease_id: u64,
        store: &mut StoreClient<Tag>,
    ) {
        let mut transaction = store.transaction();
        let built = transaction
            .require(BLOCK_KEY, Revision(token.0))
            .and_then(|()| {
                let identity = wire::to_value(&self.identity);
                transaction.put(
                    LEADERSHIP_KEY,
                    leadership_revision,
                    identity,
                    Some(lease_id),
                )
            });
        self.commit_leadership(
            now,
            ElectionCall::Reclaim,
            built.map(|()| transaction),
            store,
        );
    }

    /// Acquires leadership by writing both keys in one transaction.
    fn acquire(
        &mut self,
        now: Time,
        block_revision: Revision,
        leadership_revision: Revision,
        lease_id: u64,
        store: &mut StoreClient<Tag>,
    ) {
        let mut transaction = store.transaction();
        let identity = wire::to_value(&self.identity);
        let built = transaction
            .put(
                LEADERSHIP_KEY,
                leadership_revision,
                identity.clone(),
                Some(lease_id),
            )
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
            // The label is too long for a value of the store: this controller can never lead.
            Err(error) => {
                tracing::error!(%error, "cannot write leadership record");
                self.retry_at = now.plus(OVERSIZED_RECORD_RETRY_S);
            }
        }
    }

    fn read_block(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        self.block.read_in_flight = true;
        let tag = Tag::Election(ElectionCall::ReadBlock);
        store.scan(now, Priority::Lease, tag, BLOCK_PREFIX, None);
    }
}
