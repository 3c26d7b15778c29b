//! What each reply of the key-value store means for the election.

use super::{
    LeaderElection, LeadershipChange, LeadershipRecord, ProcessIdentity, BLOCK_KEY, LEADERSHIP_KEY,
    MALFORMED_RETRY_S,
};
use crate::calls::{ElectionCall, Tag};
use crate::faults::fault_injected;
use crate::store::{
    CommitResponse, LeaseResponse, Outcome, Reply, ScanResponse, WatchEvent, WatchResponse,
};
use beamhinge_core::types::{Revision, Time};
use beamhinge_core::wire;

/// Pause after a failed request to the store, seconds.
const RETRY_S: f64 = 0.2;
/// Pause after a failed renewal, and before leadership is read anew, seconds.
const SHORT_RETRY_S: f64 = 0.1;
/// Pause after a reply that cannot be decoded, seconds.
const UNREADABLE_RETRY_S: f64 = 0.5;

impl LeaderElection {
    /// Applies the reply to `call`, without sending anything.
    pub(super) fn apply(
        &mut self,
        now: Time,
        call: ElectionCall,
        reply: Reply<Tag>,
    ) -> LeadershipChange {
        let Reply {
            outcome, sent_at, ..
        } = reply;
        match call {
            ElectionCall::GrantLease => self.on_lease_granted(now, outcome, sent_at),
            ElectionCall::RenewLease => self.on_lease_renewed(now, &outcome, sent_at),
            ElectionCall::ReadLeadership => self.on_leadership_read(now, outcome),
            ElectionCall::WatchLeadership => return self.on_leadership_watch(now, outcome),
            ElectionCall::ReadBlock => return self.on_block_read(now, outcome, sent_at),
            ElectionCall::Acquire => return self.on_acquire(now, outcome, sent_at),
            ElectionCall::Reclaim => return self.on_reclaim(now, outcome, sent_at),
            ElectionCall::CheckBlock => return self.on_block_checked(now, &outcome, sent_at),
            ElectionCall::RevokeLease => {}
        }
        LeadershipChange::Unchanged
    }

    fn on_lease_granted(&mut self, now: Time, outcome: Outcome, sent_at: Time) {
        self.lease.grant_in_flight = false;
        match outcome {
            Outcome::Ok(body) => {
                if let Ok(lease) = wire::decode::<LeaseResponse>(&body) {
                    self.lease.id = Some(lease.lease_id);
                    self.lease.renewed_at = sent_at;
                }
            }
            _ => self.retry_at = now.plus(RETRY_S),
        }
    }

    fn on_lease_renewed(&mut self, now: Time, outcome: &Outcome, sent_at: Time) {
        self.lease.renewal_in_flight = false;
        match outcome {
            Outcome::Ok(_) => self.lease.renewed_at = sent_at,
            Outcome::NotFound => self.lease.id = None,
            _ => self.retry_at = now.plus(SHORT_RETRY_S),
        }
    }

    fn on_leadership_read(&mut self, now: Time, outcome: Outcome) {
        self.leadership.read_in_flight = false;
        let Outcome::Ok(body) = outcome else {
            self.retry_at = now.plus(RETRY_S);
            return;
        };
        let Ok(scan) = wire::decode::<ScanResponse>(&body) else {
            self.retry_at = now.plus(UNREADABLE_RETRY_S);
            return;
        };
        self.leadership.record = scan
            .entries
            .iter()
            .find(|entry| entry.key == LEADERSHIP_KEY)
            .and_then(|entry| {
                Some(LeadershipRecord {
                    owner: wire::from_value(&entry.value).ok()?,
                    revision: Revision(entry.revision),
                })
            });
        self.leadership.read_up_to = Some(scan.revision);
    }

    fn on_leadership_watch(&mut self, now: Time, outcome: Outcome) -> LeadershipChange {
        self.leadership.read_in_flight = false;
        match outcome {
            Outcome::Ok(body) => match wire::decode::<WatchResponse>(&body) {
                Ok(watch) => {
                    for event in &watch.events {
                        self.on_leadership_event(event);
                    }
                    self.leadership.read_up_to = Some(watch.revision);
                }
                Err(_) => self.leadership.read_up_to = None,
            },
            Outcome::Gone => self.leadership.read_up_to = None,
            _ => self.retry_at = now.plus(RETRY_S),
        }
        let another_leads = self.leadership.record.as_ref().is_some_and(|record| {
            record.owner != self.identity && record.owner.label != self.identity.label
        });
        if another_leads && self.token.is_some() {
            return self.step_down_deposed(now);
        }
        LeadershipChange::Unchanged
    }

    fn on_leadership_event(&mut self, event: &WatchEvent) {
        // An event from before this controller's own acquisition is out of date.
        let known = self.leadership.record.as_ref();
        if known.is_some_and(|record| record.revision.0 > event.revision) {
            return;
        }
        self.leadership.record = match (&event.write, &event.value) {
            (Some(key), Some(value)) if key == LEADERSHIP_KEY => {
                wire::from_value(value).ok().map(|owner| LeadershipRecord {
                    owner,
                    revision: Revision(event.revision),
                })
            }
            _ => None,
        };
    }

    fn on_block_read(&mut self, now: Time, outcome: Outcome, sent_at: Time) -> LeadershipChange {
        self.block.read_in_flight = false;
        let Outcome::Ok(body) = outcome else {
            self.retry_at = now.plus(RETRY_S);
            return LeadershipChange::Unchanged;
        };
        let Ok(scan) = wire::decode::<ScanResponse>(&body) else {
            self.retry_at = now.plus(UNREADABLE_RETRY_S);
            return LeadershipChange::Unchanged;
        };
        if let Some(record) = &self.leadership.record {
            // A read from before that leadership was written says nothing about it.
            if record.owner == self.identity && scan.revision >= record.revision.0 {
                self.block.read_for = record.revision;
            }
        }
        let block = scan.entries.iter().find(|entry| entry.key == BLOCK_KEY);
        let owner = block.and_then(|entry| wire::from_value::<ProcessIdentity>(&entry.value).ok());
        let revision = Revision(block.map_or(0, |entry| entry.revision));
        // If the reply to an acquisition was lost, the nonce shows that its transaction was
        // committed, and the revision is the token. The token of a term that ended here is
        // never used again: transactions of that term may still be in flight.
        if owner.as_ref() == Some(&self.identity)
            && self.token.is_none()
            && (revision.0 > self.last_token.0 || fault_injected!(self.faults, ended_term_resumed))
        {
            return self.acquired(revision, sent_at);
        }
        self.block.revision = Some(revision);
        LeadershipChange::Unchanged
    }

    fn on_acquire(&mut self, now: Time, outcome: Outcome, sent_at: Time) -> LeadershipChange {
        self.acquiring = false;
        match outcome {
            Outcome::Ok(body) => {
                if let Ok(commit) = wire::decode::<CommitResponse>(&body) {
                    let revision = Revision(commit.revision);
                    self.set_own_leadership(revision);
                    return self.acquired(revision, sent_at);
                }
                self.reload(now);
            }
            Outcome::LeaseNotFound => self.lease.id = None,
            Outcome::Malformed => {
                self.reload(now);
                self.retry_at = now.plus(MALFORMED_RETRY_S);
            }
            _ => self.reload(now),
        }
        LeadershipChange::Unchanged
    }

    fn on_reclaim(&mut self, now: Time, outcome: Outcome, sent_at: Time) -> LeadershipChange {
        self.acquiring = false;
        match outcome {
            Outcome::Ok(body) => {
                if let Ok(commit) = wire::decode::<CommitResponse>(&body) {
                    self.set_own_leadership(Revision(commit.revision));
                    self.confirm_block(sent_at);
                }
            }
            Outcome::LeaseNotFound => self.lease.id = None,
            Outcome::Conflict(failed) if failed.iter().any(|key| key == BLOCK_KEY) => {
                return self.step_down_deposed(now);
            }
            _ => self.reload(now),
        }
        LeadershipChange::Unchanged
    }

    fn on_block_checked(
        &mut self,
        now: Time,
        outcome: &Outcome,
        sent_at: Time,
    ) -> LeadershipChange {
        self.block.check_in_flight = false;
        match outcome {
            Outcome::Ok(_) => self.confirm_block(sent_at),
            Outcome::Conflict(_) => return self.step_down_deposed(now),
            _ => {}
        }
        LeadershipChange::Unchanged
    }

    fn set_own_leadership(&mut self, revision: Revision) {
        self.leadership.record = Some(LeadershipRecord {
            owner: self.identity.clone(),
            revision,
        });
    }

    /// Reads both keys anew after an acquisition that did not succeed.
    fn reload(&mut self, now: Time) {
        self.leadership.read_up_to = None;
        if self.token.is_none() {
            self.block.revision = None;
        }
        self.retry_at = now.plus(SHORT_RETRY_S);
    }
}
