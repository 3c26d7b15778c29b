//! Election and terms.
//!
//! The leader's key hangs on a lease of the state service; whoever creates it
//! takes the block key in the same transaction, and the revision of that
//! transaction is the token for workers. The block key stays when the lease
//! lapses, so a leader that was merely slow keeps its token until somebody
//! else really takes over.

use crate::calls::{ElectionCall, Tag};
use crate::faults::{broken, Faults};
use crate::store::{
    CommitResponse, LeaseResponse, Outcome, Priority, Reply, ScanResponse, StoreClient,
    TransactionError, WatchResponse,
};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{FencingToken, Revision, Time};
use beamhinge_core::wire;
use serde::{Deserialize, Serialize};

const LEADERSHIP_KEY: &str = "lead/now";
const LEADERSHIP_PREFIX: &str = "lead/";
/// How long a leader that stepped back leaves the lead to others.
const YIELD_S: f64 = 8.0;
/// After a take that the state service calls malformed; others may do better.
const MALFORMED_RETRY_S: f64 = 5.0;
/// No store comes so far in a thousand years of a hundred changes a second.
const MAX_TOKEN: u64 = 1 << 43;
pub const BLOCK_KEY: &str = "block/0";
const BLOCK_PREFIX: &str = "block/";

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProcessIdentity {
    v: u32,
    label: String,
    nonce: u64,
}

/// Changes of standing that the node has to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    Unchanged,
    Acquired { token: FencingToken },
    Lost,
}

pub struct LeaderElection {
    identity: ProcessIdentity,
    lease_duration_s: f64,
    lease_id: Option<u64>,
    lease_renewed_at: Time,
    lease_grant_in_flight: bool,
    lease_renewal_in_flight: bool,
    leadership: Option<(ProcessIdentity, Revision)>,
    leadership_revision: Option<u64>,
    leadership_read_in_flight: bool,
    block: Option<(Option<ProcessIdentity>, Revision)>,
    block_read_in_flight: bool,
    acquiring: bool,
    token: Option<FencingToken>,
    /// The last token we held: its term is over for good.
    last_token: FencingToken,
    block_check_in_flight: bool,
    block_confirmed_at: Time,
    block_check_sent_at: Time,
    retry_at: Time,
    /// After stepping back: how long others have to take over.
    yield_until: Time,
    /// The lead as it was when its holder was found gone: it may be taken.
    presumed_dead: Option<Revision>,
    /// The lead, in our name, after which we last read the block.
    block_read_for: Revision,
    /// The highest token that others were said to have seen, when it ended our term.
    highest_claimed_token: u64,
    /// No token is as high as this.
    never_issued_from: u64,
    /// What tests put in.
    pub faults: Faults,
}

impl LeaderElection {
    pub fn new(settings: &Settings, nonce: u64) -> LeaderElection {
        LeaderElection {
            identity: ProcessIdentity {
                v: 1,
                label: settings.label.clone(),
                nonce,
            },
            lease_duration_s: settings.leader_lease_s(),
            lease_id: None,
            lease_renewed_at: Time::default(),
            lease_grant_in_flight: false,
            lease_renewal_in_flight: false,
            leadership: None,
            leadership_revision: None,
            leadership_read_in_flight: false,
            block: None,
            block_read_in_flight: false,
            acquiring: false,
            token: None,
            last_token: FencingToken(0),
            block_check_in_flight: false,
            block_confirmed_at: Time::default(),
            block_check_sent_at: Time::default(),
            retry_at: Time::default(),
            yield_until: Time::default(),
            presumed_dead: None,
            block_read_for: Revision(0),
            highest_claimed_token: 0,
            never_issued_from: u64::MAX,
            faults: Faults::default(),
        }
    }

    /// The lease of the state service that this controller keeps, if it has one.
    pub fn lease_id(&self) -> Option<u64> {
        self.lease_id
    }

    pub fn token(&self) -> Option<FencingToken> {
        self.token
    }

    /// When the state service last confirmed that we hold the block, by the
    /// time its request was sent.
    pub fn block_confirmed_at(&self) -> Time {
        self.block_confirmed_at
    }

    /// A committed placement rests on the block key: it confirms it as well.
    pub fn confirm_block(&mut self, sent: Time) {
        self.block_confirmed_at = self.block_confirmed_at.max(sent);
    }

    /// The leader that others should be sent to, as far as known.
    pub fn other_leader(&self) -> Option<&str> {
        self.leadership
            .as_ref()
            .map(|(n, _)| n.label.as_str())
            .filter(|l| *l != self.identity.label)
    }

    /// A worker has seen a higher token, or a condition on the block failed:
    /// somebody took over. Guard 1: from here on we answer no worker with 200.
    pub fn step_down_deposed(&mut self, now: Time) -> LeadershipChange {
        let Some(token) = self.token.take() else {
            return LeadershipChange::Unchanged;
        };
        self.last_token = token;
        tracing::info!("this controller no longer leads");
        self.block = None;
        self.leadership_revision = None;
        self.retry_at = now.plus(0.2);
        LeadershipChange::Lost
    }

    /// Somebody says that a token has been seen. A higher one ends our term, unless it
    /// is none: a token is a revision, and one that was claimed before we took the block
    /// at a lower revision was never given out. A single worker that made one up ended
    /// each term a second after it began. (That we go on breaks nothing: whoever has
    /// really seen a higher token drops what we say.)
    pub fn on_token_claim(&mut self, now: Time, token: u64) -> LeadershipChange {
        if self.token.is_none_or(|ours| token <= ours.0) || token >= self.never_issued_from {
            return LeadershipChange::Unchanged;
        }
        self.highest_claimed_token = token;
        self.step_down_deposed(now)
    }

    /// Gives the lead up because others can do more with it: the lease ends at
    /// once, and we hold back long enough for another to take over.
    pub fn step_down(&mut self, now: Time, store: &mut StoreClient<Tag>) -> LeadershipChange {
        if self.token.is_none() {
            return LeadershipChange::Unchanged;
        }
        if let Some(lease_id) = self.lease_id.take() {
            store.revoke_lease(now, Tag::Election(ElectionCall::RevokeLease), lease_id);
        }
        self.yield_until = now.plus(YIELD_S);
        self.step_down_deposed(now)
    }

    /// Gives the lead up in an orderly way: the lease ends so that another takes
    /// over at once, and until it has, we go on with the token we hold. The
    /// transaction that takes the block ends our term as any other does.
    pub fn transfer(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.token.is_none() || now < self.yield_until {
            return;
        }
        if let Some(lease_id) = self.lease_id.take() {
            store.revoke_lease(now, Tag::Election(ElectionCall::RevokeLease), lease_id);
        }
        self.yield_until = now.plus(YIELD_S);
    }

    /// The holder of this label is gone, by other witnesses than its lease. The
    /// take rests on the lead being as it is now: if the holder, or another, wrote
    /// it meanwhile, nothing is taken.
    pub fn presume_dead(&mut self, leader: &str) {
        self.presumed_dead = self
            .leadership
            .as_ref()
            .filter(|(n, _)| n.label == leader)
            .map(|(_, s)| *s);
    }

    /// Leaves the lead to others for a while longer.
    pub fn defer(&mut self, now: Time) {
        if self.token.is_none() {
            self.yield_until = self.yield_until.max(now.plus(2.0));
        }
    }

    /// Wants the hold on the block confirmed without waiting for the next turn.
    pub fn request_block_check(&mut self, now: Time) {
        if now.since(self.block_check_sent_at) > 0.1 {
            self.block_check_sent_at = self.block_check_sent_at.minus(1.0);
        }
    }

    pub fn tick(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if now < self.retry_at {
            return;
        }
        match self.lease_id {
            None if !self.lease_grant_in_flight => {
                self.lease_grant_in_flight = true;
                store.grant_lease(
                    now,
                    Tag::Election(ElectionCall::GrantLease),
                    self.lease_duration_s,
                );
            }
            Some(lease_id)
                if !self.lease_renewal_in_flight
                    && now.since(self.lease_renewed_at) > self.lease_duration_s * 0.25 =>
            {
                self.lease_renewal_in_flight = true;
                store.renew_lease(now, Tag::Election(ElectionCall::RenewLease), lease_id);
            }
            _ => {}
        }
        if !self.leadership_read_in_flight {
            self.leadership_read_in_flight = true;
            match self.leadership_revision {
                None => store.scan(
                    now,
                    Priority::Lease,
                    Tag::Election(ElectionCall::ReadLeadership),
                    LEADERSHIP_PREFIX,
                    None,
                ),
                Some(rev) => store.watch(
                    now,
                    Priority::Lease,
                    Tag::Election(ElectionCall::WatchLeadership),
                    LEADERSHIP_PREFIX,
                    rev,
                    3.0,
                ),
            }
        }
        if self.token.is_some()
            && !self.block_check_in_flight
            && now.since(self.block_check_sent_at) > 1.0
        {
            self.block_check_in_flight = true;
            self.block_check_sent_at = now;
            let mut transaction = store.transaction();
            if transaction.when(BLOCK_KEY, self.block_revision()).is_ok() {
                store.commit(
                    now,
                    Priority::Lease,
                    Tag::Election(ElectionCall::CheckBlock),
                    transaction,
                );
            }
        }
        self.try_acquire(now, store);
    }

    fn block_revision(&self) -> Revision {
        self.token.map_or(Revision(0), |t| Revision(t.0))
    }

    fn try_acquire(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.leadership_revision.is_none() || self.acquiring || now < self.yield_until {
            return;
        }
        // Our own label with another nonce is a process of ours that ended:
        // waiting for its lease to lapse would only cost time. That it waits until its
        // jobs are read was tried: after an end of all, workers learned the token later.
        let (free, revision) = match &self.leadership {
            None => (true, Revision(0)),
            Some((name, revision)) => {
                let ours = name.label == self.identity.label && name.nonce != self.identity.nonce;
                (ours || self.presumed_dead == Some(*revision), *revision)
            }
        };
        let Some(lease_id) = self.lease_id else {
            return;
        };
        if !free {
            // Guard 1: our own name without a token is a take of ours whose answer was
            // lost, carried out late. Nobody else takes the lead while we renew its
            // lease, and we took it for somebody's: nobody led for as long as we lived.
            // What we knew of the block is from before; it is read once for each lead.
            let ours = self
                .leadership
                .as_ref()
                .is_some_and(|(n, _)| *n == self.identity);
            let unknown = self.token.is_none()
                && self.block_read_for != revision
                && !self.block_read_in_flight;
            if ours && unknown && !broken!(self.faults, own_lead) {
                self.read_block(now, store);
            }
            return;
        }
        if let Some(token) = self.token {
            // Our lease lapsed but nobody took the block: hang the key up again.
            self.acquiring = true;
            let mut transaction = store.transaction();
            let built = transaction
                .when(BLOCK_KEY, Revision(token.0))
                .and_then(|()| {
                    transaction.put(
                        LEADERSHIP_KEY,
                        revision,
                        wire::to_value(&self.identity),
                        Some(lease_id),
                    )
                });
            match built {
                Ok(()) => store.commit(
                    now,
                    Priority::Lease,
                    Tag::Election(ElectionCall::Reclaim),
                    transaction,
                ),
                Err(full) => self.on_unwritable(now, full),
            }
            return;
        }
        match &self.block {
            None if !self.block_read_in_flight => self.read_block(now, store),
            Some((_, block_revision)) => {
                self.acquiring = true;
                let mut transaction = store.transaction();
                let identity = wire::to_value(&self.identity);
                let built = transaction
                    .put(LEADERSHIP_KEY, revision, identity.clone(), Some(lease_id))
                    .and_then(|()| transaction.put(BLOCK_KEY, *block_revision, identity, None));
                match built {
                    Ok(()) => store.commit(
                        now,
                        Priority::Lease,
                        Tag::Election(ElectionCall::Acquire),
                        transaction,
                    ),
                    Err(full) => self.on_unwritable(now, full),
                }
            }
            None => {}
        }
    }

    fn read_block(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        self.block_read_in_flight = true;
        let tag = Tag::Election(ElectionCall::ReadBlock);
        store.scan(now, Priority::Lease, tag, BLOCK_PREFIX, None);
    }

    pub fn on_reply(
        &mut self,
        now: Time,
        call: ElectionCall,
        reply: Reply<Tag>,
        store: &mut StoreClient<Tag>,
    ) -> LeadershipChange {
        let standing = self.apply(now, call, reply);
        self.tick(now, store);
        standing
    }

    fn apply(&mut self, now: Time, call: ElectionCall, reply: Reply<Tag>) -> LeadershipChange {
        match call {
            ElectionCall::GrantLease => {
                self.lease_grant_in_flight = false;
                match reply.outcome {
                    Outcome::Ok(body) => {
                        if let Ok(p) = wire::decode::<LeaseResponse>(&body) {
                            self.lease_id = Some(p.lease_id);
                            self.lease_renewed_at = reply.sent_at;
                        }
                    }
                    _ => self.retry_at = now.plus(0.2),
                }
            }
            ElectionCall::RenewLease => {
                self.lease_renewal_in_flight = false;
                match reply.outcome {
                    Outcome::Ok(_) => self.lease_renewed_at = reply.sent_at,
                    Outcome::NotFound => self.lease_id = None,
                    _ => self.retry_at = now.plus(0.1),
                }
            }
            ElectionCall::ReadLeadership => {
                self.leadership_read_in_flight = false;
                match reply.outcome {
                    Outcome::Ok(body) => match wire::decode::<ScanResponse>(&body) {
                        Ok(scan) => {
                            self.leadership = scan
                                .entries
                                .iter()
                                .find(|p| p.key == LEADERSHIP_KEY)
                                .and_then(|p| {
                                    Some((wire::from_value(&p.value).ok()?, Revision(p.revision)))
                                });
                            self.leadership_revision = Some(scan.revision);
                        }
                        Err(_) => self.retry_at = now.plus(0.5),
                    },
                    _ => self.retry_at = now.plus(0.2),
                }
            }
            ElectionCall::WatchLeadership => {
                self.leadership_read_in_flight = false;
                match reply.outcome {
                    Outcome::Ok(body) => match wire::decode::<WatchResponse>(&body) {
                        Ok(news) => {
                            for change in &news.events {
                                // News from before our own take is old.
                                if self
                                    .leadership
                                    .as_ref()
                                    .is_some_and(|(_, s)| s.0 > change.revision)
                                {
                                    continue;
                                }
                                self.leadership = match (&change.write, &change.value) {
                                    (Some(path), Some(value)) if path == LEADERSHIP_KEY => {
                                        wire::from_value(value)
                                            .ok()
                                            .map(|n| (n, Revision(change.revision)))
                                    }
                                    _ => None,
                                };
                            }
                            self.leadership_revision = Some(news.revision);
                        }
                        Err(_) => self.leadership_revision = None,
                    },
                    Outcome::Gone => self.leadership_revision = None,
                    _ => self.retry_at = now.plus(0.2),
                }
                let other = self
                    .leadership
                    .as_ref()
                    .is_some_and(|(n, _)| *n != self.identity && n.label != self.identity.label);
                if other && self.token.is_some() {
                    return self.step_down_deposed(now);
                }
            }
            ElectionCall::ReadBlock => {
                self.block_read_in_flight = false;
                match reply.outcome {
                    Outcome::Ok(body) => match wire::decode::<ScanResponse>(&body) {
                        Ok(scan) => {
                            if let Some((_, at)) =
                                self.leadership.as_ref().filter(|l| l.0 == self.identity)
                            {
                                // A block from before that lead says nothing of it.
                                self.block_read_for = if scan.revision >= at.0 {
                                    *at
                                } else {
                                    self.block_read_for
                                };
                            }
                            let found = scan.entries.iter().find(|p| p.key == BLOCK_KEY);
                            let name = found
                                .and_then(|p| wire::from_value::<ProcessIdentity>(&p.value).ok());
                            let revision = Revision(found.map_or(0, |p| p.revision));
                            // A reply to our own take that was lost: the nonce
                            // shows that its transaction was applied, and its
                            // revision is our token. A token whose term we
                            // ended is never taken up again: transactions of
                            // that term may still be on their way.
                            if name.as_ref() == Some(&self.identity)
                                && self.token.is_none()
                                && (revision.0 > self.last_token.0
                                    || broken!(self.faults, old_term))
                            {
                                return self.acquired(revision, reply.sent_at);
                            }
                            self.block = Some((name, revision));
                        }
                        Err(_) => self.retry_at = now.plus(0.5),
                    },
                    _ => self.retry_at = now.plus(0.2),
                }
            }
            ElectionCall::Acquire => {
                self.acquiring = false;
                match reply.outcome {
                    Outcome::Ok(body) => {
                        if let Ok(c) = wire::decode::<CommitResponse>(&body) {
                            self.leadership = Some((self.identity.clone(), Revision(c.revision)));
                            return self.acquired(Revision(c.revision), reply.sent_at);
                        }
                        self.reload(now);
                    }
                    Outcome::LeaseNotFound => self.lease_id = None,
                    Outcome::Malformed => {
                        self.reload(now);
                        self.retry_at = now.plus(MALFORMED_RETRY_S);
                    }
                    _ => self.reload(now),
                }
            }
            ElectionCall::Reclaim => {
                self.acquiring = false;
                match reply.outcome {
                    Outcome::Ok(body) => {
                        if let Ok(c) = wire::decode::<CommitResponse>(&body) {
                            self.leadership = Some((self.identity.clone(), Revision(c.revision)));
                            self.confirm_block(reply.sent_at);
                        }
                    }
                    Outcome::LeaseNotFound => self.lease_id = None,
                    Outcome::Conflict(failed) if failed.iter().any(|k| k == BLOCK_KEY) => {
                        return self.step_down_deposed(now);
                    }
                    _ => self.reload(now),
                }
            }
            ElectionCall::RevokeLease => {}
            ElectionCall::CheckBlock => {
                self.block_check_in_flight = false;
                match reply.outcome {
                    Outcome::Ok(_) => self.confirm_block(reply.sent_at),
                    Outcome::Conflict(_) => return self.step_down_deposed(now),
                    _ => {}
                }
            }
        }
        LeadershipChange::Unchanged
    }

    /// A label too long for any value: nothing can be led with it.
    fn on_unwritable(&mut self, now: Time, full: TransactionError) {
        tracing::error!("the lead cannot be written: {full}");
        self.acquiring = false;
        self.retry_at = now.plus(10.0);
    }

    fn reload(&mut self, now: Time) {
        self.leadership_revision = None;
        if self.token.is_none() {
            self.block = None;
        }
        self.retry_at = now.plus(0.1);
    }

    fn acquired(&mut self, revision: Revision, sent: Time) -> LeadershipChange {
        let token = FencingToken(revision.0);
        // Attempts count from the token shifted: beyond this they would come again.
        if token.0 >= MAX_TOKEN {
            tracing::error!(
                "the state service's revision {} is too high to lead with",
                token.0
            );
            self.retry_at = sent.plus(MALFORMED_RETRY_S);
            return LeadershipChange::Unchanged;
        }
        if self.highest_claimed_token > token.0 {
            tracing::error!(
                "token {} was claimed, and none is so high",
                self.highest_claimed_token
            );
            self.never_issued_from = self.never_issued_from.min(self.highest_claimed_token);
        }
        if token.0 >= self.never_issued_from {
            // Revisions have come so far by now.
            self.never_issued_from = u64::MAX;
        }
        self.highest_claimed_token = 0;
        self.token = Some(token);
        self.block_confirmed_at = sent;
        self.block = None;
        tracing::info!("took the block with token {}", token.0);
        LeadershipChange::Acquired { token }
    }
}

#[cfg(test)]
mod tests;
