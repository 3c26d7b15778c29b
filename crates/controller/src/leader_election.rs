//! Leader election and fencing.
//!
//! Two keys of the key-value store determine which controller is the leader:
//!
//! - The *leadership key* (`lead/now`) is bound to the session lease of its owner and is
//!   deleted when that lease expires.
//! - The *block key* (`block/0`) has no lease. It is written by the transaction that
//!   acquires leadership, and the revision of that write is the fencing token that the
//!   leader sends to workers.
//!
//! Invariants:
//!
//! - Only the owner of the block key may place tasks: each placement transaction compares
//!   the key's revision with the leader's fencing token.
//! - Fencing tokens increase monotonically: each write of the block key has a higher
//!   revision than the one before.
//! - A term that has ended is never resumed, even if the block key still has its revision.
//!
//! The block key is not deleted when the lease expires, so a leader that was merely too slow
//! to renew its lease keeps its token until another controller acquires leadership.

mod acquisition;
mod replies;

use crate::calls::{ElectionCall, Tag};
use crate::faults::Faults;
use crate::store::{Priority, Reply, StoreClient};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{FencingToken, Revision, Time};
use serde::{Deserialize, Serialize};

/// The key whose owner is the leader; it is bound to the owner's session lease.
const LEADERSHIP_KEY: &str = "lead/now";
/// The prefix that is scanned and watched for the leadership key.
const LEADERSHIP_PREFIX: &str = "lead/";
/// The key whose revision is the current fencing token.
pub const BLOCK_KEY: &str = "block/0";
/// The prefix that is scanned for the block key.
const BLOCK_PREFIX: &str = "block/";

/// Time for which a leader that stepped down does not try to acquire leadership, in seconds.
const YIELD_S: f64 = 8.0;
/// Time for which [`LeaderElection::defer_acquisition`] postpones an acquisition, in seconds.
const DEFER_S: f64 = 2.0;
/// Pause after an acquisition that the store rejects as malformed, in seconds. Other
/// controllers may acquire leadership during the pause.
const MALFORMED_RETRY_S: f64 = 5.0;
/// Pause after a leadership record that exceeds the limits of a transaction, in seconds.
const OVERSIZED_RECORD_RETRY_S: f64 = 10.0;
/// Fraction of the lease duration after which the lease is renewed.
const RENEWAL_FRACTION: f64 = 0.25;
/// Maximum time for which the store keeps a watch of the leadership key open, in seconds.
const WATCH_WAIT_S: f64 = 3.0;
/// Interval between two checks that this controller still owns the block key, in seconds.
const BLOCK_CHECK_INTERVAL_S: f64 = 1.0;
/// Exclusive upper bound of fencing tokens. Attempt numbers start at the token shifted left,
/// so a higher token would overflow. At a hundred changes a second, a store does not reach
/// this revision within a thousand years.
const FENCING_TOKEN_LIMIT: u64 = 1 << 43;

/// The value of the leadership key and of the block key; identifies one controller process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProcessIdentity {
    #[serde(rename = "v")]
    version: u32,
    label: String,
    /// Random number drawn when the process starts. It distinguishes processes that have the
    /// same label.
    nonce: u64,
}

/// A change of leadership, which the caller must act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "the caller must begin or end its term"]
pub enum LeadershipChange {
    /// This controller is still the leader, or still not the leader.
    Unchanged,
    /// A new term of this controller has begun.
    Acquired {
        /// The fencing token of the new term.
        token: FencingToken,
    },
    /// The term of this controller has ended.
    Lost,
}

/// The session lease of this controller.
///
/// Both flags can be set at once: a renewal may still be in flight when its lease is revoked
/// and the next one is requested.
#[derive(Debug, Default)]
struct SessionLease {
    /// Requested duration, in seconds.
    duration_s: f64,
    /// `None` until a lease is granted, and after it was revoked or has expired.
    id: Option<u64>,
    /// When the request for the latest successful grant or renewal was sent.
    renewed_at: Time,
    grant_in_flight: bool,
    renewal_in_flight: bool,
}

/// The owner of the leadership key, as last read.
#[derive(Clone, Debug)]
struct LeadershipRecord {
    owner: ProcessIdentity,
    revision: Revision,
}

/// The leadership key as last read, and its pending reads.
#[derive(Debug, Default)]
struct LeadershipState {
    /// `None` if the key is absent, cannot be decoded, or has not been read.
    record: Option<LeadershipRecord>,
    /// The store's revision up to which the key has been read; `None` if it must be scanned.
    read_up_to: Option<u64>,
    /// A scan or a watch is in flight.
    read_in_flight: bool,
    /// The revision of the leadership key whose owner is presumed dead. That revision may be
    /// replaced before the owner's lease expires.
    presumed_dead: Option<Revision>,
}

/// The block key as last read, and its pending reads and checks.
#[derive(Debug, Default)]
struct BlockState {
    /// The key's revision as last read (0 if the key is absent); `None` if the key must be
    /// read before an acquisition.
    revision: Option<Revision>,
    read_in_flight: bool,
    check_in_flight: bool,
    /// Send time of the latest request that confirmed that this controller owns the key.
    confirmed_at: Time,
    check_sent_at: Time,
    /// The revision of the leadership key, owned by this process, for which the block key
    /// was last read.
    read_for_leadership_revision: Revision,
}

/// Fencing tokens that workers and peers claim to have seen.
#[derive(Debug)]
struct TokenClaims {
    /// The claimed token that ended the last term; 0 if no claim ended it.
    term_ending_token: u64,
    /// Claims of this token or a higher one are ignored, because no such token was issued.
    never_issued_from: u64,
}

impl Default for TokenClaims {
    fn default() -> TokenClaims {
        TokenClaims {
            term_ending_token: 0,
            never_issued_from: u64::MAX,
        }
    }
}

/// Takes part in leader election, and stores the fencing token while this controller is the
/// leader.
pub struct LeaderElection {
    identity: ProcessIdentity,
    lease: SessionLease,
    leadership: LeadershipState,
    block: BlockState,
    /// A transaction that acquires or reclaims leadership is in flight.
    acquiring: bool,
    /// The fencing token of the current term; `None` if this controller is not the leader.
    token: Option<FencingToken>,
    /// The fencing token of this controller's last ended term; 0 if there was none.
    last_token: FencingToken,
    claims: TokenClaims,
    /// No request is sent before this time.
    retry_at: Time,
    /// This controller does not try to acquire leadership before this time.
    yield_until: Time,
    /// Faults that tests inject.
    pub faults: Faults,
}

impl LeaderElection {
    /// Creates the state of a controller that has no lease and does not know the leader.
    ///
    /// `nonce` must be unique among all processes that ever run with the same label.
    pub fn new(settings: &Settings, nonce: u64) -> LeaderElection {
        LeaderElection {
            identity: ProcessIdentity {
                version: 1,
                label: settings.label.clone(),
                nonce,
            },
            lease: SessionLease {
                duration_s: settings.leader_lease_s(),
                ..SessionLease::default()
            },
            leadership: LeadershipState::default(),
            block: BlockState::default(),
            acquiring: false,
            token: None,
            last_token: FencingToken(0),
            claims: TokenClaims::default(),
            retry_at: Time::default(),
            yield_until: Time::default(),
            faults: Faults::default(),
        }
    }

    /// The id of this controller's session lease; `None` if it has none.
    pub fn lease_id(&self) -> Option<u64> {
        self.lease.id
    }

    /// The fencing token of the current term; `None` if this controller is not the leader.
    pub fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// Send time of the latest request by which the store confirmed that this controller owns
    /// the block key.
    pub fn block_confirmed_at(&self) -> Time {
        self.block.confirmed_at
    }

    /// Records that a transaction sent at `sent_at` compared the block key and was committed.
    /// Like a check, this confirms that this controller owns the key.
    pub fn confirm_block(&mut self, sent_at: Time) {
        self.block.confirmed_at = self.block.confirmed_at.max(sent_at);
    }

    /// The label of the leader to redirect to; `None` if the leader is unknown or is this
    /// controller.
    pub fn other_leader(&self) -> Option<&str> {
        self.leadership
            .record
            .as_ref()
            .map(|record| record.owner.label.as_str())
            .filter(|label| *label != self.identity.label)
    }

    /// Ends the term of this controller, if it has one. The term ends because this controller steps
    /// down, or because another controller has acquired the leadership: a worker or peer reported a
    /// higher fencing token, a comparison with the block key failed, or the leadership key names
    /// another controller. The known state of both keys is discarded, so that they are read again
    /// before the next acquisition.
    ///
    /// Guard 1: after this call, no request of a worker is answered with status 200.
    pub fn end_term(&mut self, now: Time) -> LeadershipChange {
        let Some(token) = self.token.take() else {
            return LeadershipChange::Unchanged;
        };
        self.last_token = token;
        tracing::info!(fencing_token = token.0, "lost leadership");
        self.block.revision = None;
        self.leadership.read_up_to = None;
        self.retry_at = now.plus(0.2);
        LeadershipChange::Lost
    }

    /// Handles a claim that a worker or peer has seen the fencing token `token`. The claim
    /// ends the term if `token` is higher than this controller's token.
    ///
    /// A fencing token is a revision of the store. If `token` was claimed before leadership was
    /// acquired at a lower revision, it was never issued, and further claims of it or of a higher
    /// token are ignored; otherwise one worker that claims such a token would end every term a
    /// second after it began. Ignoring them is safe: a worker that has in fact seen a higher token
    /// rejects the requests of this controller.
    pub fn on_token_claim(&mut self, now: Time, token: u64) -> LeadershipChange {
        if self.token.is_none_or(|current| token <= current.0)
            || token >= self.claims.never_issued_from
        {
            return LeadershipChange::Unchanged;
        }
        self.claims.term_ending_token = token;
        self.end_term(now)
    }

    /// Ends the term because other controllers are better able to lead: revokes the lease at
    /// once, and does not try to acquire leadership for a while so that another one can.
    pub fn step_down(&mut self, now: Time, store: &mut StoreClient<Tag>) -> LeadershipChange {
        if self.token.is_none() {
            return LeadershipChange::Unchanged;
        }
        self.revoke_lease(now, store);
        self.yield_until = now.plus(YIELD_S);
        self.end_term(now)
    }

    /// Starts a transfer of leadership: revokes the lease so that another controller can
    /// acquire leadership at once. This controller continues to lead with its current token
    /// until the successor's transaction ends the term, as any other acquisition does.
    pub fn transfer_leadership(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.token.is_none() || now < self.yield_until {
            return;
        }
        self.revoke_lease(now, store);
        self.yield_until = now.plus(YIELD_S);
    }

    fn revoke_lease(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if let Some(lease_id) = self.lease.id.take() {
            store.revoke_lease(now, Tag::Election(ElectionCall::RevokeLease), lease_id);
        }
    }

    /// Records that the leader with this label is presumed dead although its lease has not
    /// expired (early failover). The acquisition compares the leadership key with the revision
    /// known now, so it fails if any controller has written the key since.
    pub fn presume_dead(&mut self, leader: &str) {
        self.leadership.presumed_dead = self
            .leadership
            .record
            .as_ref()
            .filter(|record| record.owner.label == leader)
            .map(|record| record.revision);
    }

    /// Postpones this controller's next attempt to acquire leadership, because it should not
    /// lead at present. Has no effect while this controller is the leader.
    pub fn defer_acquisition(&mut self, now: Time) {
        if self.token.is_none() {
            self.yield_until = self.yield_until.max(now.plus(DEFER_S));
        }
    }

    /// Makes the next [`tick`](Self::tick) check the block key before the interval has passed.
    pub fn request_block_check(&mut self, now: Time) {
        if now.since(self.block.check_sent_at) > 0.1 {
            self.block.check_sent_at = self.block.check_sent_at.minus(BLOCK_CHECK_INTERVAL_S);
        }
    }

    /// Sends the requests that are due: grant or renewal of the lease, the scan or watch of the
    /// leadership key, the check of the block key, and an attempt to acquire leadership.
    pub fn tick(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if now < self.retry_at {
            return;
        }
        self.maintain_lease(now, store);
        self.watch_leadership(now, store);
        self.check_block(now, store);
        self.try_acquire(now, store);
    }

    /// Requests a lease if this controller has none, and renews it when that is due.
    fn maintain_lease(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        let lease = &mut self.lease;
        match lease.id {
            None if !lease.grant_in_flight => {
                lease.grant_in_flight = true;
                let tag = Tag::Election(ElectionCall::GrantLease);
                store.grant_lease(now, tag, lease.duration_s);
            }
            Some(lease_id)
                if !lease.renewal_in_flight
                    && now.since(lease.renewed_at) > lease.duration_s * RENEWAL_FRACTION =>
            {
                lease.renewal_in_flight = true;
                store.renew_lease(now, Tag::Election(ElectionCall::RenewLease), lease_id);
            }
            _ => {}
        }
    }

    /// Sends a scan or watch of the leadership key, unless one is in flight.
    fn watch_leadership(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.leadership.read_in_flight {
            return;
        }
        self.leadership.read_in_flight = true;
        match self.leadership.read_up_to {
            None => store.scan(
                now,
                Priority::Lease,
                Tag::Election(ElectionCall::ReadLeadership),
                LEADERSHIP_PREFIX,
                None,
            ),
            Some(revision) => store.watch(
                now,
                Priority::Lease,
                Tag::Election(ElectionCall::WatchLeadership),
                LEADERSHIP_PREFIX,
                revision,
                WATCH_WAIT_S,
            ),
        }
    }

    /// Checks the block key with a transaction that compares it and writes nothing.
    fn check_block(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        let due = now.since(self.block.check_sent_at) > BLOCK_CHECK_INTERVAL_S;
        let Some(token) = self.token.filter(|_| due && !self.block.check_in_flight) else {
            return;
        };
        self.block.check_in_flight = true;
        self.block.check_sent_at = now;
        let mut transaction = store.transaction();
        if transaction.require(BLOCK_KEY, Revision(token.0)).is_ok() {
            store.commit(
                now,
                Priority::Lease,
                Tag::Election(ElectionCall::CheckBlock),
                transaction,
            );
        }
    }

    /// Handles the reply to one of this module's calls, and sends the requests that are due.
    pub fn on_reply(
        &mut self,
        now: Time,
        call: ElectionCall,
        reply: Reply<Tag>,
        store: &mut StoreClient<Tag>,
    ) -> LeadershipChange {
        let change = self.apply_reply(now, call, reply);
        self.tick(now, store);
        change
    }

    /// Begins a term with the fencing token `revision`, unless that is too high for a token.
    fn begin_term(&mut self, revision: Revision, sent_at: Time) -> LeadershipChange {
        let token = FencingToken(revision.0);
        if token.0 >= FENCING_TOKEN_LIMIT {
            tracing::error!(
                revision = token.0,
                "rejected leadership: store revision exceeds the highest fencing token"
            );
            self.retry_at = sent_at.plus(MALFORMED_RETRY_S);
            return LeadershipChange::Unchanged;
        }
        if self.claims.term_ending_token > token.0 {
            tracing::error!(
                fencing_token = self.claims.term_ending_token,
                "ignoring claims of a fencing token that was never issued"
            );
            self.claims.never_issued_from = self
                .claims
                .never_issued_from
                .min(self.claims.term_ending_token);
        }
        if token.0 >= self.claims.never_issued_from {
            // The store's revision has reached the ignored tokens, so they may have been issued.
            self.claims.never_issued_from = u64::MAX;
        }
        self.claims.term_ending_token = 0;
        self.token = Some(token);
        self.block.confirmed_at = sent_at;
        self.block.revision = None;
        tracing::info!(fencing_token = token.0, "acquired leadership");
        LeadershipChange::Acquired { token }
    }
}

#[cfg(test)]
mod tests;
