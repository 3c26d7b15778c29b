//! Directives: the drains and freezes that operators set, stored under `o/`.
//!
//! Each controller holds a replica of all directives: the leader acts on them, and every controller
//! answers queries about them. A change is one conditional write. If the reply is lost, the replica
//! is refreshed, and the change is retried only if it is not in force.
//!
//! Invariant: a delayed transaction never sets a directive that has been lifted in the meantime,
//! since the key of a lifted directive is kept, with its revision ([`DirectiveRecord`]).

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
/// Maximum number of directives in force at once; bounds memory and the length of a scan.
const MAX_ACTIVE: usize = 512;
/// Maximum number of stored records, including those of lifted directives. Beyond it, the oldest
/// record of a lifted directive is deleted.
const MAX_RECORDS: usize = 4_096;

/// A directive as it is stored.
#[derive(Serialize, Deserialize)]
struct DirectiveRecord {
    v: u32,
    /// The directive; `None` if it was lifted. A lifted directive keeps its key: a key that is
    /// deleted has the same revision as one that was never created, so a delayed transaction could
    /// set the directive again after it was lifted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    directive: Option<Directive>,
}

/// The response to the operator who requested a directive change.
#[derive(Debug, PartialEq)]
pub enum DirectiveResponse {
    /// The directive is in force, or lifted, as requested.
    Applied(DirectiveChangeResult),
    /// The change was rejected because [`MAX_ACTIVE`] directives are in force.
    LimitReached,
    /// The change was not decided in time, for this reason.
    Busy(&'static str),
}

/// A change that an operator requested.
struct RequestedChange {
    change: DirectiveChange,
    /// Name of the operator's key.
    by: String,
    /// Whether a transaction of this controller may have applied the change.
    sent: bool,
}

/// Replica of the stored directives, and the pending changes to them.
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
                // A change ends the watch request immediately. A longer wait needs fewer requests,
                // which count towards a rate limit shared by all controllers.
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

/// Parses the target from a key; `None` if this program does not know its kind or name.
fn parse_key(path: &str) -> Option<Target> {
    let (kind, name) = path.strip_prefix(PREFIX)?.split_once('/')?;
    Target::parse(kind, name)
}

impl Directives {
    /// The directives in force.
    pub fn active_directives(&self) -> &Rc<ActiveDirectives> {
        &self.active_directives
    }

    /// Time as of which the replica is up to date: it includes everything committed before. `None`
    /// if the replica is not loaded.
    pub fn fresh_as_of(&self) -> Option<Time> {
        self.replica.fresh_as_of()
    }

    /// Requests an early refresh of the replica.
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// Whether the directives in force have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Queues a directive change; returns `false` if too many are pending.
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

    /// Advances pending changes and refreshes the replica. `query_waits`: whether an operator's
    /// query waits for a replica that is newer than the query.
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
            let timed_out = !pending.in_flight && pending.has_timed_out(now);
            timed_out.then_some(DirectiveResponse::Busy("the state service does not answer"))
        }));
        self.pending = queue;
        self.replica
            .tick(now, query_waits || change_waits, true, store);
    }

    /// Decides a pending change: returns its response, or sends its transaction and returns `None`.
    fn decide(
        &self,
        now: Time,
        wall: WallMs,
        pending: &mut PendingChange<RequestedChange>,
        store: &mut StoreClient<Tag>,
    ) -> Option<DirectiveResponse> {
        let late = pending.has_timed_out(now);
        let RequestedChange { change, by, sent } = &mut pending.change;
        let stored = self.entries.get(&change.target);
        let in_force = stored.and_then(|(_, directive)| directive.as_deref());
        if is_in_force(in_force, change) {
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
            tracing::error!(
                target = %change.target,
                %error,
                "directive does not fit into a transaction"
            );
            return Some(DirectiveResponse::Busy("it is longer than can be kept"));
        }
        if stored.is_none() && self.entries.len() >= MAX_RECORDS {
            if let Some((target, revision)) = self.oldest_lifted() {
                // If the transaction has no space left for the deletion, a later one performs it.
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

    /// Handles the key-value store's reply to the transaction of a change.
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
            // Another controller changed the record. The stored state decides the outcome.
            Outcome::Conflict(_) => {
                pending.change.sent = false;
                None
            }
            // The outcome is unknown. Likewise, the stored state decides.
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

    /// Applies the reply to a scan or watch to the replica.
    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> Freshness {
        let update = self.replica.on_reply(now, call, reply);
        for change in update.changes {
            match parse_key(&change.key) {
                Some(target) => self.apply(call, target, &change),
                None => tracing::error!(
                    key = change.key,
                    "directive key has an unknown kind or an invalid name"
                ),
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

    /// Applies one stored record to the replica.
    fn apply(&mut self, call: ReplicaCall, target: Target, change: &replica::ReplicaChange) {
        self.scan.record(call, || target.clone());
        let revision = Revision(change.revision);
        // Replies can arrive out of order: an older record must not replace a newer one.
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
            // A record of unknown format does not lift a directive that is in force.
            Some(_) => tracing::error!(
                key = change.key,
                "directive ignored: unknown format or version"
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

/// Whether a change is already in force. `in_force` is the directive in force for its target.
fn is_in_force(in_force: Option<&Directive>, change: &DirectiveChange) -> bool {
    match (in_force, change.set) {
        (None, set) => !set,
        (Some(_), false) => false,
        (Some(directive), true) => {
            directive.within_s == change.within_s && directive.afterwards == change.afterwards
        }
    }
}

/// The directive that a change sets. Changing a drain restarts its time limit.
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
