//! Leader election and fencing.
//!
//! Two keys of the key-value store decide who leads:
//!
//! - the *leadership key* (`lead/now`) is bound to the session lease of its owner and
//!   disappears when that lease expires;
//! - the *block key* (`block/0`) has no lease. It is written by the transaction that
//!   acquires leadership, and the revision of that write is the fencing token that the
//!   leader sends to workers.
//!
//! Invariants:
//!
//! - Only the owner of the block key may place tasks: each placement transaction compares
//!   the key with the leader's fencing token.
//! - Tokens rise: the block key is only ever replaced by a later revision.
//! - A term that has ended is never resumed, even if the block key still has its revision.
//!
//! The block key outlives the lease, so a leader that was merely slow keeps its token
//! until another controller acquires leadership.

mod acquisition;
mod replies;

use crate::calls::{ElectionCall, Tag};
use crate::faults::Faults;
use crate::store::{Priority, Reply, StoreClient};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{FencingToken, Revision, Time};
use serde::{Deserialize, Serialize};

/// The key whose owner is the leader; bound to the owner's session lease.
const LEADERSHIP_KEY: &str = "lead/now";
/// The prefix that is scanned and watched for the leadership key.
const LEADERSHIP_PREFIX: &str = "lead/";
/// The key whose revision is the current fencing token.
pub const BLOCK_KEY: &str = "block/0";
/// The prefix that is scanned for the block key.
const BLOCK_PREFIX: &str = "block/";

/// How long a leader that stepped down leaves leadership to others, seconds.
const YIELD_S: f64 = 8.0;
/// How long a controller that must not lead now leaves leadership to others, seconds.
const DEFER_S: f64 = 2.0;
/// Pause after an acquisition that the store rejects as malformed, seconds; other
/// controllers may succeed meanwhile.
const MALFORMED_RETRY_S: f64 = 5.0;
/// Pause after a leadership record that exceeds the limits of a transaction, seconds.
const UNWRITABLE_RETRY_S: f64 = 10.0;
/// Part of the lease's duration after which it is renewed.
const RENEWAL_FRACTION: f64 = 0.25;
/// Longest that the store holds a watch of the leadership key open, seconds.
const WATCH_WAIT_S: f64 = 3.0;
/// Seconds between two confirmations of the block key.
const BLOCK_CHECK_INTERVAL_S: f64 = 1.0;
/// No store reaches this revision within a thousand years at a hundred changes a second.
/// Attempts are numbered from the token shifted left, which a higher token would overflow.
const MAX_TOKEN: u64 = 1 << 43;

/// The value of the leadership key and of the block key: one process of one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProcessIdentity {
    #[serde(rename = "v")]
    version: u32,
    label: String,
    /// Drawn at the start of the process; tells two processes of one label apart.
    nonce: u64,
}

/// Changes of leadership that the node has to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "the node has to begin or end its term"]
pub enum LeadershipChange {
    /// This controller leads, or does not lead, as before.
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
/// The two flags do not exclude each other: a renewal may still be in flight when its lease
/// is revoked and the next one is requested.
#[derive(Debug, Default)]
struct SessionLease {
    /// Requested duration, seconds.
    duration_s: f64,
    id: Option<u64>,
    /// When the latest successful grant or renewal was sent.
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

/// The leadership key, as far as known.
#[derive(Debug, Default)]
struct LeadershipState {
    record: Option<LeadershipRecord>,
    /// The store's revision up to which the key was read; none: it has to be read anew.
    read_up_to: Option<u64>,
    /// A scan or a watch is in flight.
    read_in_flight: bool,
    /// The revision of the leadership key whose owner was found dead: it may be replaced
    /// before its lease expires.
    presumed_dead: Option<Revision>,
}

/// The block key, as far as known.
#[derive(Debug, Default)]
struct BlockState {
    /// The key's revision (0: absent) as last read; none: it has to be read before an
    /// acquisition.
    revision: Option<Revision>,
    read_in_flight: bool,
    check_in_flight: bool,
    /// When the newest request was sent that confirmed the key as this controller's own.
    confirmed_at: Time,
    check_sent_at: Time,
    /// The revision of the leadership key, owned by this process, after which the block
    /// key was last read.
    read_for: Revision,
}

/// Fencing tokens that others claimed to have seen.
#[derive(Debug)]
struct TokenClaims {
    /// The claimed token that ended the last term; 0: none did.
    highest: u64,
    /// Claims from here on are ignored, because no such token was ever issued.
    never_issued_from: u64,
}

impl Default for TokenClaims {
    fn default() -> TokenClaims {
        TokenClaims {
            highest: 0,
            never_issued_from: u64::MAX,
        }
    }
}

/// Takes part in the election of the leader, and holds the fencing token while leading.
pub struct LeaderElection {
    identity: ProcessIdentity,
    lease: SessionLease,
    leadership: LeadershipState,
    block: BlockState,
    /// A transaction that acquires or reclaims leadership is in flight.
    acquiring: bool,
    /// The token of the current term; none: this controller does not lead.
    token: Option<FencingToken>,
    /// The token of the last term that ended here.
    last_token: FencingToken,
    claims: TokenClaims,
    /// No request is sent before this time.
    retry_at: Time,
    /// Leadership is left to others until this time.
    yield_until: Time,
    /// Defects that tests inject.
    pub faults: Faults,
}

impl LeaderElection {
    /// A controller that has neither a lease nor any knowledge of the leader.
    ///
    /// `nonce` must differ between all processes that ever run with the same label.
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

    /// The session lease of this controller, if it has one.
    pub fn lease_id(&self) -> Option<u64> {
        self.lease.id
    }

    /// The fencing token, while this controller leads.
    pub fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// When the newest request was sent with which the store confirmed that this controller
    /// owns the block key.
    pub fn block_confirmed_at(&self) -> Time {
        self.block.confirmed_at
    }

    /// A transaction sent at `sent_at` compared the block key and was committed, which
    /// confirms the key as a check does.
    pub fn confirm_block(&mut self, sent_at: Time) {
        self.block.confirmed_at = self.block.confirmed_at.max(sent_at);
    }

    /// The label of the leader to redirect to: none if unknown or this controller itself.
    pub fn other_leader(&self) -> Option<&str> {
        self.leadership
            .record
            .as_ref()
            .map(|record| record.owner.label.as_str())
            .filter(|label| *label != self.identity.label)
    }

    /// Ends the term because another controller took the block key: a worker has seen a
    /// higher token, or a comparison with the key failed.
    ///
    /// Guard 1: from here on no worker is answered with 200.
    pub fn step_down_deposed(&mut self, now: Time) -> LeadershipChange {
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

    /// Handles the claim that a fencing token has been seen. A higher one than this
    /// controller's own ends its term.
    ///
    /// A token is a revision, so one that was claimed before the block was acquired at a
    /// lower revision was never issued; such claims are ignored, or one worker with an
    /// invented token would end every term a second after it began. Ignoring them is safe:
    /// whoever has really seen a higher token rejects what this controller sends.
    pub fn on_token_claim(&mut self, now: Time, token: u64) -> LeadershipChange {
        if self.token.is_none_or(|own| token <= own.0) || token >= self.claims.never_issued_from {
            return LeadershipChange::Unchanged;
        }
        self.claims.highest = token;
        self.step_down_deposed(now)
    }

    /// Gives leadership up because other controllers can do more with it: revokes the lease
    /// at once and leaves the others time to take over.
    pub fn step_down(&mut self, now: Time, store: &mut StoreClient<Tag>) -> LeadershipChange {
        if self.token.is_none() {
            return LeadershipChange::Unchanged;
        }
        self.revoke_lease(now, store);
        self.yield_until = now.plus(YIELD_S);
        self.step_down_deposed(now)
    }

    /// Hands leadership over: revokes the lease so that another controller takes over at
    /// once, and goes on with the current token until it has. The successor's transaction
    /// ends this term as any other acquisition does.
    pub fn transfer(&mut self, now: Time, store: &mut StoreClient<Tag>) {
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

    /// The leader with this label was found dead before its lease expired (early failover).
    /// The acquisition compares the leadership key as it is known now, so it fails if that
    /// leader or another has written the key meanwhile.
    pub fn presume_dead(&mut self, leader: &str) {
        self.leadership.presumed_dead = self
            .leadership
            .record
            .as_ref()
            .filter(|record| record.owner.label == leader)
            .map(|record| record.revision);
    }

    /// Leaves leadership to others for a while longer; no effect while leading.
    pub fn defer(&mut self, now: Time) {
        if self.token.is_none() {
            self.yield_until = self.yield_until.max(now.plus(DEFER_S));
        }
    }

    /// Makes the next [`tick`](Self::tick) confirm the block key ahead of the interval.
    pub fn request_block_check(&mut self, now: Time) {
        if now.since(self.block.check_sent_at) > 0.1 {
            self.block.check_sent_at = self.block.check_sent_at.minus(BLOCK_CHECK_INTERVAL_S);
        }
    }

    /// Sends what is due: grant or renewal of the lease, the watch of the leadership key,
    /// the confirmation of the block key, and an attempt to acquire leadership.
    pub fn tick(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if now < self.retry_at {
            return;
        }
        self.keep_lease(now, store);
        self.follow_leadership(now, store);
        self.check_block(now, store);
        self.try_acquire(now, store);
    }

    fn keep_lease(&mut self, now: Time, store: &mut StoreClient<Tag>) {
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

    /// Keeps one scan or watch of the leadership key in flight.
    fn follow_leadership(&mut self, now: Time, store: &mut StoreClient<Tag>) {
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

    /// Confirms the block key by a transaction that compares it and writes nothing.
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

    /// Handles the reply to one of this module's calls, and sends what became due by it.
    pub fn on_reply(
        &mut self,
        now: Time,
        call: ElectionCall,
        reply: Reply<Tag>,
        store: &mut StoreClient<Tag>,
    ) -> LeadershipChange {
        let change = self.apply(now, call, reply);
        self.tick(now, store);
        change
    }

    /// Begins a term with the fencing token `revision`, unless that token is too high.
    fn acquired(&mut self, revision: Revision, sent_at: Time) -> LeadershipChange {
        let token = FencingToken(revision.0);
        if token.0 >= MAX_TOKEN {
            tracing::error!(
                revision = token.0,
                "rejected leadership: revision of the store exceeds the highest fencing token"
            );
            self.retry_at = sent_at.plus(MALFORMED_RETRY_S);
            return LeadershipChange::Unchanged;
        }
        if self.claims.highest > token.0 {
            tracing::error!(
                fencing_token = self.claims.highest,
                "ignoring claims of a fencing token that was never issued"
            );
            self.claims.never_issued_from = self.claims.never_issued_from.min(self.claims.highest);
        }
        if token.0 >= self.claims.never_issued_from {
            // Revisions have risen this far by now, so such tokens may have been issued.
            self.claims.never_issued_from = u64::MAX;
        }
        self.claims.highest = 0;
        self.token = Some(token);
        self.block.confirmed_at = sent_at;
        self.block.revision = None;
        tracing::info!(fencing_token = token.0, "acquired leadership");
        LeadershipChange::Acquired { token }
    }
}

#[cfg(test)]
mod tests;
