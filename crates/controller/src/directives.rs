//! Directives: the drains and freezes that operators set, stored under `o/`.
//!
//! Each controller holds a replica of all directives: the leader acts on them, and any
//! controller answers queries about them. A change is one conditional write. When its reply is
//! lost, the replica is read again, and the change is tried anew only if it is not in force.
//!
//! Invariant: a transaction that arrives late never sets a directive that was lifted
//! meanwhile, since a lifted directive keeps its key and revision ([`DirectiveRecord`]).

mod active;

pub use active::ActiveDirectives;

use crate::calls::{ReplicaCall, Tag};
use crate::pending_changes::{PendingChange, PendingChanges};
use crate::replica::{self, Freshness, ReplicaCache, ReplicaConfig};
use crate::replica_scan::ScanCoverage;
use crate::store::{CommitResponse, Outcome, Priority, Reply, StoreClient};
use beamhinge_admin_api::directives::{
    Directive, DirectiveChange, DirectiveChangeResult, Target, VERSION,
};
use beamhinge_core::types::{RequestId, Revision, Time, WallMs};
use beamhinge_core::wire;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Prefix of all directives in the key-value store.
pub const PREFIX: &str = "o/";
/// Directives that may be in force at once; bounds memory and the length of a scan.
const MAX_ACTIVE: usize = 512;
/// Records that are kept, lifted ones included; beyond it the oldest lifted one goes.
const MAX_RECORDS: usize = 4_096;

/// A directive as it is stored.
#[derive(Serialize, Deserialize)]
struct DirectiveRecord {
    v: u32,
    /// `None`: lifted. The key stays, since a key that is deleted and created again has the
    /// revision that it had before it was first created: a transaction that arrives late would
    /// set again what was lifted meanwhile.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    directive: Option<Directive>,
}

/// The answer to the operator who requested a change.
#[derive(Debug, PartialEq)]
pub enum DirectiveResponse {
    /// The directive is in force, or lifted, as requested.
    Applied(DirectiveChangeResult),
    /// [`MAX_ACTIVE`] directives are in force.
    LimitReached,
    /// Not decided in time; the reason.
    Busy(&'static str),
}

/// A change that an operator requested.
struct RequestedChange {
    change: DirectiveChange,
    /// Name of the operator's key.
    by: String,
    /// Whether a transaction of this controller may have made the change.
    sent: bool,
}

/// Replica of the stored directives, and the changes to them that are under way.
pub struct Directives {
    replica: ReplicaCache,
    entries: BTreeMap<Target, (Revision, Option<Rc<Directive>>)>,
    scan: ScanCoverage<Target>,
    active_directives: Rc<ActiveDirectives>,
    changed: bool,
    pending: PendingChanges<RequestedChange>,
}

impl Default for Directives {
    fn default() -> Directives {
        Directives {
            replica: ReplicaCache::new(ReplicaConfig {
                prefix: PREFIX,
                tag: Tag::Directives,
                // A change ends the wait at once; a longer wait costs fewer requests of the
                // limit that all controllers share.
                watch_wait_s: 10.0,
                watch_priority: Priority::Read,
                max_age_s: 30.0,
            }),
            entries: BTreeMap::new(),
            scan: ScanCoverage::default(),
            active_directives: Rc::default(),
            changed: false,
            pending: PendingChanges::default(),
        }
    }
}

/// The key under which the directive of a target is stored.
fn key(target: &Target) -> String {
    format!("{PREFIX}{}/{}", target.kind(), target.name())
}

/// The target that a key names; `None` for a kind or name this program does not know.
fn target(path: &str) -> Option<Target> {
    let (kind, name) = path.strip_prefix(PREFIX)?.split_once('/')?;
    Target::parse(kind, name)
}

impl Directives {
    /// The directives in force.
    pub fn active_directives(&self) -> &Rc<ActiveDirectives> {
        &self.active_directives
    }

    /// The replica holds all that was committed before this moment.
    pub fn fresh_as_of(&self) -> Option<Time> {
        self.replica.fresh_as_of()
    }

    /// Has the replica read again soon.
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// Whether the directives in force differ from those at the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Queues a change; `false` when too many are pending.
    #[must_use]
    pub fn change(
        &mut self,
        now: Time,
        request: RequestId,
        change: DirectiveChange,
        by: String,
    ) -> bool {
        let sent = false;
        self.pending
            .push(now, request, RequestedChange { change, by, sent })
    }

    /// Decides on pending changes and keeps the replica fresh. `query_waits`: a query of an
    /// operator needs a replica that is newer than itself.
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        query_waits: bool,
        store: &mut StoreClient<Tag>,
        responses: &mut Vec<(RequestId, DirectiveResponse)>,
    ) {
        let fresh = self.fresh_as_of();
        let change_waits = self
            .pending
            .any(|pending| !pending.in_flight && !pending.is_decidable(fresh));
        let mut queue = std::mem::take(&mut self.pending);
        responses.extend(queue.advance(|pending| {
            if pending.is_decidable(fresh) {
                return self.decide(now, wall, pending, store);
            }
            let given_up = !pending.in_flight && pending.is_late(now);
            given_up.then_some(DirectiveResponse::Busy("the state service does not answer"))
        }));
        self.pending = queue;
        self.replica
            .tick(now, query_waits || change_waits, true, store);
    }

    /// Sends the transaction of a change, or answers it; `None`: the transaction is in flight.
    fn decide(
        &self,
        now: Time,
        wall: WallMs,
        pending: &mut PendingChange<RequestedChange>,
        store: &mut StoreClient<Tag>,
    ) -> Option<DirectiveResponse> {
        let late = pending.is_late(now);
        let RequestedChange { change, by, sent } = &mut pending.change;
        let stored = self.entries.get(&change.target);
        let in_force = stored.and_then(|(_, directive)| directive.as_deref());
        if matches(in_force, change) {
            return Some(DirectiveResponse::Applied(DirectiveChangeResult {
                target: change.target.clone(),
                set: change.set,
                changed: *sent,
            }));
        }
        if late {
            let reason = "others change it at the same time";
            return Some(DirectiveResponse::Busy(reason));
        }
        if change.set && in_force.is_none() && self.active_directives.len() >= MAX_ACTIVE {
            return Some(DirectiveResponse::LimitReached);
        }
        let revision = stored.map_or(Revision(0), |(revision, _)| *revision);
        let mut transaction = store.transaction();
        let value = wire::to_value(&DirectiveRecord {
            v: VERSION,
            directive: change.set.then(|| directive(change, by, wall)),
        });
        if let Err(error) = transaction.put(key(&change.target), revision, value, None) {
            tracing::error!(target = %change.target, %error, "directive does not fit into a transaction");
            return Some(DirectiveResponse::Busy("it is longer than can be kept"));
        }
        if stored.is_none() && self.entries.len() >= MAX_RECORDS {
            if let Some((target, revision)) = self.oldest_lifted() {
                // Where the transaction has no space for it, the next one deletes it.
                let _ = transaction.delete(key(target), revision);
            }
        }
        *sent = true;
        pending.in_flight = true;
        store.commit(
            now,
            Priority::Admission,
            Tag::DirectiveChange(pending.serial),
            transaction,
        );
        None
    }

    fn oldest_lifted(&self) -> Option<(&Target, Revision)> {
        self.entries
            .iter()
            .filter(|(_, (_, directive))| directive.is_none())
            .min_by_key(|(_, (revision, _))| *revision)
            .map(|(target, (revision, _))| (target, *revision))
    }

    /// The key-value store replied to the transaction of a change.
    pub fn on_written(
        &mut self,
        now: Time,
        serial: u64,
        reply: Reply<Tag>,
        responses: &mut Vec<(RequestId, DirectiveResponse)>,
    ) {
        let Some(pending) = self.pending.get_mut(serial) else {
            return;
        };
        let response = match reply.outcome {
            Outcome::Ok(body) if wire::decode::<CommitResponse>(&body).is_ok() => {
                let change = &pending.change.change;
                Some(DirectiveResponse::Applied(DirectiveChangeResult {
                    target: change.target.clone(),
                    set: change.set,
                    changed: true,
                }))
            }
            Outcome::Refused | Outcome::Malformed => {
                let reason = "the state service cannot be reached";
                responses.push((pending.request, DirectiveResponse::Busy(reason)));
                self.pending.remove(serial);
                return;
            }
            // Changed by another controller: what is stored decides.
            Outcome::Conflict(_) => {
                pending.change.sent = false;
                None
            }
            // Of unknown fate: likewise.
            _ => None,
        };
        self.replica.request_refresh();
        match response {
            Some(response) => {
                let removed = self.pending.remove(serial);
                responses.extend(removed.map(|pending| (pending.request, response)));
            }
            None => self.pending.retry(now, serial),
        }
    }

    /// Takes a reply for the replica in.
    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> Freshness {
        let update = self.replica.on_reply(now, call, reply);
        for change in update.changes {
            match target(&change.key) {
                Some(target) => self.apply(call, target, &change),
                None => tracing::error!(key = change.key, "unknown kind of directive"),
            }
        }
        if let Some(scan) = self
            .scan
            .finish(call, update.scan_revision, update.freshness)
        {
            self.entries
                .retain(|target, (revision, _)| scan.confirms(target, *revision));
        }
        self.rebuild_active();
        update.freshness
    }

    /// Puts one stored record into the replica.
    fn apply(&mut self, call: ReplicaCall, target: Target, change: &replica::ReplicaChange) {
        self.scan.record(call, || target.clone());
        let revision = Revision(change.revision);
        // A reply that overtook another must not bring an older state back.
        let known = self.entries.get(&target);
        if known.is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        let record = change
            .value
            .as_ref()
            .map(wire::from_value::<DirectiveRecord>);
        match record {
            None => {
                self.entries.remove(&target);
            }
            Some(Ok(record))
                if record.v == VERSION
                    && record.directive.as_ref().is_none_or(|d| d.target == target) =>
            {
                let directive = record.directive.map(Rc::new);
                self.entries.insert(target, (revision, directive));
            }
            // A record of an unknown form lifts nothing: what was in force stays so.
            Some(_) => tracing::error!(
                key = change.key,
                "ignored directive of unknown form or version"
            ),
        }
    }

    fn rebuild_active(&mut self) {
        let in_force = self.entries.iter().filter_map(|(target, (_, directive))| {
            let directive = directive.clone()?;
            Some((target.clone(), directive))
        });
        let active_directives = ActiveDirectives {
            directives: in_force.collect(),
        };
        if *self.active_directives != active_directives {
            self.active_directives = Rc::new(active_directives);
            self.changed = true;
        }
    }
}

/// Whether what is in force for the target of a change is what the change wants.
fn matches(in_force: Option<&Directive>, change: &DirectiveChange) -> bool {
    match (in_force, change.set) {
        (None, set) => !set,
        (Some(_), false) => false,
        (Some(directive), true) => {
            directive.within_s == change.within_s && directive.afterwards == change.afterwards
        }
    }
}

/// The directive that a change sets. The time limit of a drain that is changed begins anew.
fn directive(change: &DirectiveChange, by: &str, wall: WallMs) -> Directive {
    Directive {
        target: change.target.clone(),
        since_ms: wall.0,
        within_s: change.within_s,
        afterwards: change.afterwards,
        by: by.to_string(),
        note: change.note.clone(),
    }
}

#[cfg(test)]
mod tests;
