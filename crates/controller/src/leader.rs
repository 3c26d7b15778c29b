//! Election and terms.
//!
//! The leader's key hangs on a lease of the state service; whoever creates it
//! takes the block key in the same transaction, and the revision of that
//! transaction is the token for workers. The block key stays when the lease
//! lapses, so a leader that was merely slow keeps its token until somebody
//! else really takes over.

use crate::calls::{LeadCall, Tag};
use crate::faults::{broken, Faults};
use crate::ledger::{Committed, Full, Ledger, News, Outcome, Permit, Priority, Reply, Scan};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{Stamp, Time, Token};
use beamhinge_core::wire;
use serde::{Deserialize, Serialize};

const LEAD: &str = "lead/now";
const LEAD_PREFIX: &str = "lead/";
/// How long a leader that stepped back leaves the lead to others.
const STAND_BACK_S: f64 = 8.0;
/// After a take that the state service calls malformed; others may do better.
const MALFORMED_S: f64 = 5.0;
/// No store comes so far in a thousand years of a hundred changes a second.
const MOST_TOKEN: u64 = 1 << 43;
pub const BLOCK: &str = "block/0";
const BLOCK_PREFIX: &str = "block/";

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Name {
    v: u32,
    label: String,
    nonce: u64,
}

/// Changes of standing that the node has to act on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Same,
    Took { token: Token },
    Lost,
}

pub struct Leader {
    me: Name,
    life_s: f64,
    permit: Option<u64>,
    permit_sent: Time,
    lease_flying: bool,
    renew_flying: bool,
    lead: Option<(Name, Stamp)>,
    lead_rev: Option<u64>,
    lead_flying: bool,
    block: Option<(Option<Name>, Stamp)>,
    block_flying: bool,
    taking: bool,
    token: Option<Token>,
    /// The last token we held: its term is over for good.
    last: Token,
    check_flying: bool,
    checked: Time,
    check_sent: Time,
    retry_at: Time,
    /// After stepping back: how long others have to take over.
    stand_back: Time,
    /// The lead as it was when its holder was found gone: it may be taken.
    presumed: Option<Stamp>,
    /// The lead, in our name, after which we last read the block.
    looked: Stamp,
    /// The highest token that others were said to have seen, when it ended our term.
    claimed: u64,
    /// No token is as high as this.
    nonsense: u64,
    /// What tests put in.
    pub faults: Faults,
}

impl Leader {
    pub fn new(settings: &Settings, nonce: u64) -> Leader {
        Leader {
            me: Name { v: 1, label: settings.label.clone(), nonce },
            life_s: settings.leader_lease_s(),
            permit: None,
            permit_sent: Time::default(),
            lease_flying: false,
            renew_flying: false,
            lead: None,
            lead_rev: None,
            lead_flying: false,
            block: None,
            block_flying: false,
            taking: false,
            token: None,
            last: Token(0),
            check_flying: false,
            checked: Time::default(),
            check_sent: Time::default(),
            retry_at: Time::default(),
            stand_back: Time::default(),
            presumed: None,
            looked: Stamp(0),
            claimed: 0,
            nonsense: u64::MAX,
            faults: Faults::default(),
        }
    }

    /// The lease of the state service that this controller keeps, if it has one.
    pub fn permit(&self) -> Option<u64> {
        self.permit
    }

    pub fn token(&self) -> Option<Token> {
        self.token
    }

    /// When the state service last confirmed that we hold the block, by the
    /// time its request was sent.
    pub fn checked(&self) -> Time {
        self.checked
    }

    /// A committed placement rests on the block key: it confirms it as well.
    pub fn confirmed(&mut self, sent: Time) {
        self.checked = self.checked.max(sent);
    }

    /// The leader that others should be sent to, as far as known.
    pub fn other_leader(&self) -> Option<&str> {
        self.lead.as_ref().map(|(n, _)| n.label.as_str()).filter(|l| *l != self.me.label)
    }

    /// A worker has seen a higher token, or a condition on the block failed:
    /// somebody took over. Guard 1: from here on we answer no worker with 200.
    pub fn deposed(&mut self, now: Time) -> Standing {
        let Some(token) = self.token.take() else { return Standing::Same };
        self.last = token;
        tracing::info!("this controller no longer leads");
        self.block = None;
        self.lead_rev = None;
        self.retry_at = now.plus(0.2);
        Standing::Lost
    }

    /// Somebody says that a token has been seen. A higher one ends our term, unless it
    /// is none: a token is a revision, and one that was claimed before we took the block
    /// at a lower revision was never given out. A single worker that made one up ended
    /// each term a second after it began. (That we go on breaks nothing: whoever has
    /// really seen a higher token drops what we say.)
    pub fn claims(&mut self, now: Time, token: u64) -> Standing {
        if self.token.is_none_or(|ours| token <= ours.0) || token >= self.nonsense {
            return Standing::Same;
        }
        self.claimed = token;
        self.deposed(now)
    }

    /// Gives the lead up because others can do more with it: the lease ends at
    /// once, and we hold back long enough for another to take over.
    pub fn step_back(&mut self, now: Time, ledger: &mut Ledger<Tag>) -> Standing {
        if self.token.is_none() {
            return Standing::Same;
        }
        if let Some(permit) = self.permit.take() {
            ledger.end_lease(now, Tag::Lead(LeadCall::End), permit);
        }
        self.stand_back = now.plus(STAND_BACK_S);
        self.deposed(now)
    }

    /// Gives the lead up in an orderly way: the lease ends so that another takes
    /// over at once, and until it has, we go on with the token we hold. The
    /// transaction that takes the block ends our term as any other does.
    pub fn hand_over(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        if self.token.is_none() || now < self.stand_back {
            return;
        }
        if let Some(permit) = self.permit.take() {
            ledger.end_lease(now, Tag::Lead(LeadCall::End), permit);
        }
        self.stand_back = now.plus(STAND_BACK_S);
    }

    /// The holder of this label is gone, by other witnesses than its lease. The
    /// take rests on the lead being as it is now: if the holder, or another, wrote
    /// it meanwhile, nothing is taken.
    pub fn presume_gone(&mut self, holder: &str) {
        self.presumed = self.lead.as_ref().filter(|(n, _)| n.label == holder).map(|(_, s)| *s);
    }

    /// Leaves the lead to others for a while longer.
    pub fn hold_back(&mut self, now: Time) {
        if self.token.is_none() {
            self.stand_back = self.stand_back.max(now.plus(2.0));
        }
    }

    /// Wants the hold on the block confirmed without waiting for the next turn.
    pub fn want_check(&mut self, now: Time) {
        if now.since(self.check_sent) > 0.1 {
            self.check_sent = self.check_sent.minus(1.0);
        }
    }

    pub fn tick(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        if now < self.retry_at {
            return;
        }
        match self.permit {
            None if !self.lease_flying => {
                self.lease_flying = true;
                ledger.lease(now, Tag::Lead(LeadCall::Lease), self.life_s);
            }
            Some(permit)
                if !self.renew_flying && now.since(self.permit_sent) > self.life_s * 0.25 =>
            {
                self.renew_flying = true;
                ledger.renew(now, Tag::Lead(LeadCall::Renew), permit);
            }
            _ => {}
        }
        if !self.lead_flying {
            self.lead_flying = true;
            match self.lead_rev {
                None => ledger.scan(
                    now,
                    Priority::Lease,
                    Tag::Lead(LeadCall::ReadLead),
                    LEAD_PREFIX,
                    None,
                ),
                Some(rev) => ledger.watch(
                    now,
                    Priority::Lease,
                    Tag::Lead(LeadCall::WatchLead),
                    LEAD_PREFIX,
                    rev,
                    3.0,
                ),
            }
        }
        if self.token.is_some() && !self.check_flying && now.since(self.check_sent) > 1.0 {
            self.check_flying = true;
            self.check_sent = now;
            let mut txn = ledger.txn();
            if txn.when(BLOCK, self.block_stamp()).is_ok() {
                ledger.commit(now, Priority::Lease, Tag::Lead(LeadCall::Check), txn);
            }
        }
        self.try_take(now, ledger);
    }

    fn block_stamp(&self) -> Stamp {
        self.token.map_or(Stamp(0), |t| Stamp(t.0))
    }

    fn try_take(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        if self.lead_rev.is_none() || self.taking || now < self.stand_back {
            return;
        }
        // Our own label with another nonce is a process of ours that ended:
        // waiting for its lease to lapse would only cost time. That it waits until its
        // jobs are read was tried: after an end of all, workers learned the token later.
        let (free, stamp) = match &self.lead {
            None => (true, Stamp(0)),
            Some((name, stamp)) => {
                let ours = name.label == self.me.label && name.nonce != self.me.nonce;
                (ours || self.presumed == Some(*stamp), *stamp)
            }
        };
        let Some(permit) = self.permit else { return };
        if !free {
            // Guard 1: our own name without a token is a take of ours whose answer was
            // lost, carried out late. Nobody else takes the lead while we renew its
            // lease, and we took it for somebody's: nobody led for as long as we lived.
            // What we knew of the block is from before; it is read once for each lead.
            let ours = self.lead.as_ref().is_some_and(|(n, _)| *n == self.me);
            let unknown = self.token.is_none() && self.looked != stamp && !self.block_flying;
            if ours && unknown && !broken!(self.faults, own_lead) {
                self.read_block(now, ledger);
            }
            return;
        }
        if let Some(token) = self.token {
            // Our lease lapsed but nobody took the block: hang the key up again.
            self.taking = true;
            let mut txn = ledger.txn();
            let built = txn
                .when(BLOCK, Stamp(token.0))
                .and_then(|()| txn.write(LEAD, stamp, wire::to_value(&self.me), Some(permit)));
            match built {
                Ok(()) => ledger.commit(now, Priority::Lease, Tag::Lead(LeadCall::Reclaim), txn),
                Err(full) => self.unbuildable(now, full),
            }
            return;
        }
        match &self.block {
            None if !self.block_flying => self.read_block(now, ledger),
            Some((_, block_stamp)) => {
                self.taking = true;
                let mut txn = ledger.txn();
                let me = wire::to_value(&self.me);
                let built = txn
                    .write(LEAD, stamp, me.clone(), Some(permit))
                    .and_then(|()| txn.write(BLOCK, *block_stamp, me, None));
                match built {
                    Ok(()) => ledger.commit(now, Priority::Lease, Tag::Lead(LeadCall::Take), txn),
                    Err(full) => self.unbuildable(now, full),
                }
            }
            None => {}
        }
    }

    fn read_block(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        self.block_flying = true;
        let tag = Tag::Lead(LeadCall::ReadBlock);
        ledger.scan(now, Priority::Lease, tag, BLOCK_PREFIX, None);
    }

    pub fn on_reply(
        &mut self,
        now: Time,
        call: LeadCall,
        reply: Reply<Tag>,
        ledger: &mut Ledger<Tag>,
    ) -> Standing {
        let standing = self.apply(now, call, reply);
        self.tick(now, ledger);
        standing
    }

    fn apply(&mut self, now: Time, call: LeadCall, reply: Reply<Tag>) -> Standing {
        match call {
            LeadCall::Lease => {
                self.lease_flying = false;
                match reply.outcome {
                    Outcome::Ok(body) => {
                        if let Ok(p) = wire::decode::<Permit>(&body) {
                            self.permit = Some(p.permit);
                            self.permit_sent = reply.sent;
                        }
                    }
                    _ => self.retry_at = now.plus(0.2),
                }
            }
            LeadCall::Renew => {
                self.renew_flying = false;
                match reply.outcome {
                    Outcome::Ok(_) => self.permit_sent = reply.sent,
                    Outcome::Missing => self.permit = None,
                    _ => self.retry_at = now.plus(0.1),
                }
            }
            LeadCall::ReadLead => {
                self.lead_flying = false;
                match reply.outcome {
                    Outcome::Ok(body) => match wire::decode::<Scan>(&body) {
                        Ok(scan) => {
                            self.lead = scan.pairs.iter().find(|p| p.path == LEAD).and_then(|p| {
                                Some((wire::from_value(&p.value).ok()?, Stamp(p.stamp)))
                            });
                            self.lead_rev = Some(scan.rev);
                        }
                        Err(_) => self.retry_at = now.plus(0.5),
                    },
                    _ => self.retry_at = now.plus(0.2),
                }
            }
            LeadCall::WatchLead => {
                self.lead_flying = false;
                match reply.outcome {
                    Outcome::Ok(body) => match wire::decode::<News>(&body) {
                        Ok(news) => {
                            for change in &news.news {
                                // News from before our own take is old.
                                if self.lead.as_ref().is_some_and(|(_, s)| s.0 > change.stamp) {
                                    continue;
                                }
                                self.lead = match (&change.write, &change.value) {
                                    (Some(path), Some(value)) if path == LEAD => {
                                        wire::from_value(value)
                                            .ok()
                                            .map(|n| (n, Stamp(change.stamp)))
                                    }
                                    _ => None,
                                };
                            }
                            self.lead_rev = Some(news.rev);
                        }
                        Err(_) => self.lead_rev = None,
                    },
                    Outcome::Gone => self.lead_rev = None,
                    _ => self.retry_at = now.plus(0.2),
                }
                let other = self
                    .lead
                    .as_ref()
                    .is_some_and(|(n, _)| *n != self.me && n.label != self.me.label);
                if other && self.token.is_some() {
                    return self.deposed(now);
                }
            }
            LeadCall::ReadBlock => {
                self.block_flying = false;
                match reply.outcome {
                    Outcome::Ok(body) => match wire::decode::<Scan>(&body) {
                        Ok(scan) => {
                            if let Some((_, at)) = self.lead.as_ref().filter(|l| l.0 == self.me) {
                                // A block from before that lead says nothing of it.
                                self.looked = if scan.rev >= at.0 { *at } else { self.looked };
                            }
                            let found = scan.pairs.iter().find(|p| p.path == BLOCK);
                            let name = found.and_then(|p| wire::from_value::<Name>(&p.value).ok());
                            let stamp = Stamp(found.map_or(0, |p| p.stamp));
                            // A reply to our own take that was lost: the nonce
                            // shows that its transaction was applied, and its
                            // revision is our token. A token whose term we
                            // ended is never taken up again: transactions of
                            // that term may still be on their way.
                            if name.as_ref() == Some(&self.me)
                                && self.token.is_none()
                                && (stamp.0 > self.last.0 || broken!(self.faults, old_term))
                            {
                                return self.took(stamp, reply.sent);
                            }
                            self.block = Some((name, stamp));
                        }
                        Err(_) => self.retry_at = now.plus(0.5),
                    },
                    _ => self.retry_at = now.plus(0.2),
                }
            }
            LeadCall::Take => {
                self.taking = false;
                match reply.outcome {
                    Outcome::Ok(body) => {
                        if let Ok(c) = wire::decode::<Committed>(&body) {
                            self.lead = Some((self.me.clone(), Stamp(c.rev)));
                            return self.took(Stamp(c.rev), reply.sent);
                        }
                        self.reread(now);
                    }
                    Outcome::NoLease => self.permit = None,
                    Outcome::Malformed => {
                        self.reread(now);
                        self.retry_at = now.plus(MALFORMED_S);
                    }
                    _ => self.reread(now),
                }
            }
            LeadCall::Reclaim => {
                self.taking = false;
                match reply.outcome {
                    Outcome::Ok(body) => {
                        if let Ok(c) = wire::decode::<Committed>(&body) {
                            self.lead = Some((self.me.clone(), Stamp(c.rev)));
                            self.confirmed(reply.sent);
                        }
                    }
                    Outcome::NoLease => self.permit = None,
                    Outcome::Conflict(failed) if failed.iter().any(|k| k == BLOCK) => {
                        return self.deposed(now);
                    }
                    _ => self.reread(now),
                }
            }
            LeadCall::End => {}
            LeadCall::Check => {
                self.check_flying = false;
                match reply.outcome {
                    Outcome::Ok(_) => self.confirmed(reply.sent),
                    Outcome::Conflict(_) => return self.deposed(now),
                    _ => {}
                }
            }
        }
        Standing::Same
    }

    /// A label too long for any value: nothing can be led with it.
    fn unbuildable(&mut self, now: Time, full: Full) {
        tracing::error!("the lead cannot be written: {full}");
        self.taking = false;
        self.retry_at = now.plus(10.0);
    }

    fn reread(&mut self, now: Time) {
        self.lead_rev = None;
        if self.token.is_none() {
            self.block = None;
        }
        self.retry_at = now.plus(0.1);
    }

    fn took(&mut self, stamp: Stamp, sent: Time) -> Standing {
        let token = Token(stamp.0);
        // Attempts count from the token shifted: beyond this they would come again.
        if token.0 >= MOST_TOKEN {
            tracing::error!("the state service's revision {} is too high to lead with", token.0);
            self.retry_at = sent.plus(MALFORMED_S);
            return Standing::Same;
        }
        if self.claimed > token.0 {
            tracing::error!("token {} was claimed, and none is so high", self.claimed);
            self.nonsense = self.nonsense.min(self.claimed);
        }
        if token.0 >= self.nonsense {
            // Revisions have come so far by now.
            self.nonsense = u64::MAX;
        }
        self.claimed = 0;
        self.token = Some(token);
        self.checked = sent;
        self.block = None;
        tracing::info!("took the block with token {}", token.0);
        Standing::Took { token }
    }
}

#[cfg(test)]
mod tests;
