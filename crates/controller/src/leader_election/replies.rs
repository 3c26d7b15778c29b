//! Handles the replies of the key-value store to the calls of leader election.

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

/// Pause after a failed request to the store, in seconds.
const RETRY_S: f64 = 0.2;
/// Pause after a failed lease renewal, and before both keys are read again, in seconds.
const SHORT_RETRY_S: f64 = 0.1;
/// Pause after a reply that cannot be decoded, in seconds.
const DECODE_FAILURE_RETRY_S: f64 = 0.5;

impl LeaderElection {
    /// Applies the reply to `call` without sending any request.
    pub(super) fn apply_reply(
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
            self.retry_at = now.plus(DECODE_FAILURE_RETRY_S);
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
            return self.end_term(now);
        }
        LeadershipChange::Unchanged
    }

    fn on_leadership_event(&mut self, event: &WatchEvent) {
        // Ignore an event that is older than the known record, for example from before this
        // controller's acquisition.
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
            self.retry_at = now.plus(DECODE_FAILURE_RETRY_S);
            return LeadershipChange::Unchanged;
        };
        if let Some(record) = &self.leadership.record {
            // A scan from before the leadership key was written does not show the block key
            // that was written with it.
            if record.owner == self.identity && scan.revision >= record.revision.0 {
                self.block.read_for_leadership_revision = record.revision;
            }
        }
        let block = scan.entries.iter().find(|entry| entry.key == BLOCK_KEY);
        let owner = block.and_then(|entry| wire::from_value::<ProcessIdentity>(&entry.value).ok());
        let revision = Revision(block.map_or(0, |entry| entry.revision));
        // If the reply to an acquisition was lost, the nonce shows that its transaction was
        // committed, and the revision is the fencing token. The token of an ended term is never
        // used again, because transactions of that term may still be in flight.
        if owner.as_ref() == Some(&self.identity)
            && self.token.is_none()
            && (revision.0 > self.last_token.0 || fault_injected!(self.faults, ended_term_resumed))
        {
            return self.begin_term(revision, sent_at);
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
                    self.record_ownership(revision);
                    return self.begin_term(revision, sent_at);
                }
                self.invalidate_keys(now);
            }
            Outcome::LeaseNotFound => self.lease.id = None,
            Outcome::Malformed => {
                self.invalidate_keys(now);
                self.retry_at = now.plus(MALFORMED_RETRY_S);
            }
            _ => self.invalidate_keys(now),
        }
        LeadershipChange::Unchanged
    }

    fn on_reclaim(&mut self, now: Time, outcome: Outcome, sent_at: Time) -> LeadershipChange {
        self.acquiring = false;
        match outcome {
            Outcome::Ok(body) => {
                if let Ok(commit) = wire::decode::<CommitResponse>(&body) {
                    self.record_ownership(Revision(commit.revision));
                    self.confirm_block(sent_at);
                }
            }
            Outcome::LeaseNotFound => self.lease.id = None,
            Outcome::Conflict(failed) if failed.iter().any(|key| key == BLOCK_KEY) => {
                return self.end_term(now);
            }
            _ => self.invalidate_keys(now),
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
            Outcome::Conflict(_) => return self.end_term(now),
            _ => {}
        }
        LeadershipChange::Unchanged
    }

    fn record_ownership(&mut self, revision: Revision) {
        self.leadership.record = Some(LeadershipRecord {
            owner: self.identity.clone(),
            revision,
        });
    }

    /// Discards the last read state of the keys after a failed acquisition or reclaim, so that they
    /// are read again after a pause. The block key's revision is kept while leading.
    fn invalidate_keys(&mut self, now: Time) {
        self.leadership.read_up_to = None;
        if self.token.is_none() {
            self.block.revision = None;
        }
        self.retry_at = now.plus(SHORT_RETRY_S);
    }
}
