//! Replica of the keys under one prefix of the key-value store, with its freshness.
//!
//! A scan loads the replica, and watches keep it up to date. One watch that returns at once
//! refreshes the whole replica for all requests that wait for it, so that an answer is never
//! older than its request. The job store, the operators' directives and the configuration use
//! such replicas.
//!
//! This module tracks revisions and sends the calls. The owner of a replica stores and interprets
//! the keys: it applies the [`ReplicaChange`]s.

use crate::calls::{ReplicaCall, Tag};
use crate::store::{
    Outcome, Priority, Reply, ScanResponse, StoreClient, WatchEvent, WatchResponse,
};
use beamhinge_core::types::Time;
use beamhinge_core::wire;
use beamhinge_rate_limit::AdaptiveBackoff;
use ciborium::Value;

/// Minimum pause after a failed read, in seconds.
const MIN_BACKOFF_S: f64 = 0.2;
/// Maximum pause after a failed read, in seconds. It bounds the delay until a replica is read
/// again once the store is available.
const MAX_BACKOFF_S: f64 = 1.0;

/// Effect of a reply on requests that wait for a fresh replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The replica was brought up to date.
    Fresh,
    /// The refresh failed.
    Failed,
    /// The reply does not affect the requests.
    Unchanged,
}

/// The write or deletion of one key.
pub struct ReplicaChange {
    /// The full key, including its prefix.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Value>,
}

/// The changes of a reply, and its effect on requests that wait.
#[must_use = "changes that are not applied are lost"]
pub struct ReplicaUpdate {
    /// The changes, oldest first.
    pub changes: Vec<ReplicaChange>,
    /// Effect of the reply on requests that wait for a fresh replica.
    pub freshness: Freshness,
    /// The revision of a scan that this reply completed, else `None`. Keys that the scan did not
    /// return and whose revision is not higher no longer exist.
    pub scan_revision: Option<u64>,
}

impl ReplicaUpdate {
    fn without_changes(freshness: Freshness) -> ReplicaUpdate {
        ReplicaUpdate {
            changes: Vec::new(),
            freshness,
            scan_revision: None,
        }
    }
}

/// Configuration of a replica: which keys it contains, and how it is kept up to date.
#[derive(Clone, Copy)]
pub struct ReplicaConfig {
    /// The prefix of the keys.
    pub prefix: &'static str,
    /// Builds the tag of the owner's calls.
    pub tag: fn(ReplicaCall) -> Tag,
    /// Maximum time for which a watch waits for a change, in seconds.
    pub watch_wait_s: f64,
    /// The priority of a watch that waits for a change.
    pub watch_priority: Priority,
    /// Age above which the replica is refreshed even if no request waits, in seconds.
    pub max_age_s: f64,
}

/// A scan in progress.
struct ScanState {
    in_flight: bool,
    /// The last key of the pages read so far; `None` before the first page.
    after: Option<String>,
    /// The revision of the first page; `None` before it is read.
    revision: Option<u64>,
    /// When the first page was requested.
    started: Time,
}

impl ScanState {
    fn new(now: Time) -> ScanState {
        ScanState {
            in_flight: false,
            after: None,
            revision: None,
            started: now,
        }
    }
}

/// Tracks one replica: its revision, its freshness and the calls in flight.
pub struct ReplicaCache {
    config: ReplicaConfig,
    /// The revision of the store up to which the replica is complete.
    revision: u64,
    /// A scan has been completed, and watches continue from its revision.
    loaded: bool,
    /// The replica includes everything committed before this time; `None` until it is loaded.
    fresh_as_of: Option<Time>,
    refresh_in_flight: bool,
    watch_in_flight: bool,
    scan: Option<ScanState>,
    /// Delays reads after a reply that cannot be decoded, or while the store is unavailable.
    backoff: AdaptiveBackoff,
    refresh_requested: bool,
}

impl ReplicaCache {
    /// Creates the state of an empty replica, which the next [`tick`](Self::tick) starts to load.
    pub fn new(config: ReplicaConfig) -> ReplicaCache {
        ReplicaCache {
            config,
            revision: 0,
            loaded: false,
            fresh_as_of: None,
            refresh_in_flight: false,
            watch_in_flight: false,
            scan: None,
            backoff: AdaptiveBackoff::new(MIN_BACKOFF_S, MAX_BACKOFF_S),
            refresh_requested: false,
        }
    }

    /// Whether a scan has loaded the whole replica.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// The replica includes everything that was committed before this time; `None` if it has
    /// never been loaded.
    pub fn fresh_as_of(&self) -> Option<Time> {
        self.fresh_as_of
    }

    /// Makes the next [`tick`](Self::tick) refresh the replica, because the caller has evidence
    /// that it is out of date.
    pub fn request_refresh(&mut self) {
        self.refresh_requested = true;
    }

    /// Sends the calls that are due. `refresh` is set if a request waits for a fresh replica, and
    /// `watch_changes` if the replica must receive each change without delay.
    pub fn tick(
        &mut self,
        now: Time,
        refresh: bool,
        watch_changes: bool,
        store: &mut StoreClient<Tag>,
    ) {
        if !self.backoff.is_due(now) {
            return;
        }
        if !self.loaded {
            self.scan_next_page(now, store);
            return;
        }
        let config = self.config;
        let stale = self
            .fresh_as_of
            .is_none_or(|at| now.since(at) > config.max_age_s);
        if (refresh || stale || self.refresh_requested) && !self.refresh_in_flight {
            self.refresh_in_flight = true;
            self.refresh_requested = false;
            let tag = (config.tag)(ReplicaCall::Refresh);
            store.watch(now, Priority::Read, tag, config.prefix, self.revision, 0.0);
        }
        if watch_changes && !self.watch_in_flight {
            self.watch_in_flight = true;
            store.watch(
                now,
                config.watch_priority,
                (config.tag)(ReplicaCall::Watch),
                config.prefix,
                self.revision,
                config.watch_wait_s,
            );
        }
    }

    fn scan_next_page(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        let scan = self.scan.get_or_insert_with(|| ScanState::new(now));
        if scan.in_flight {
            return;
        }
        scan.in_flight = true;
        store.scan(
            now,
            Priority::Read,
            (self.config.tag)(ReplicaCall::Scan),
            self.config.prefix,
            scan.after.as_deref(),
        );
    }

    /// Handles the reply to one of this replica's calls; the owner applies the changes.
    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> ReplicaUpdate {
        match call {
            ReplicaCall::Refresh => self.refresh_in_flight = false,
            ReplicaCall::Watch => self.watch_in_flight = false,
            ReplicaCall::Scan => {
                if let Some(scan) = &mut self.scan {
                    scan.in_flight = false;
                }
            }
        }
        // Ignore the response to a watch that was sent before a new scan: the next watch starts
        // from the revision of that scan.
        if call != ReplicaCall::Scan && !self.loaded {
            return ReplicaUpdate::without_changes(Freshness::Unchanged);
        }
        match reply.outcome {
            Outcome::Ok(body) if call == ReplicaCall::Scan => {
                let Ok(page) = wire::decode::<ScanResponse>(&body) else {
                    self.backoff.on_refused(now);
                    return ReplicaUpdate::without_changes(Freshness::Failed);
                };
                // A page does not reset the backoff: if the watch after each scan were rejected,
                // the whole replica would be scanned repeatedly without a pause.
                self.on_page(page, reply.sent_at)
            }
            Outcome::Ok(body) => {
                let Ok(response) = wire::decode::<WatchResponse>(&body) else {
                    self.backoff.on_refused(now);
                    return ReplicaUpdate::without_changes(Freshness::Failed);
                };
                self.on_events(response, reply.sent_at)
            }
            outcome => self.on_failure(now, call, &outcome),
        }
    }

    fn on_events(&mut self, response: WatchResponse, sent_at: Time) -> ReplicaUpdate {
        self.backoff.on_success();
        // Two watches may be in flight, and the older response may arrive last. Events up to the
        // replica's revision are already included; applying one again could restore a key that
        // was deleted since.
        let known_revision = self.revision;
        let changes = response
            .events
            .into_iter()
            .filter(|event| event.revision > known_revision)
            .filter_map(change_from_event)
            .collect();
        self.revision = self.revision.max(response.revision);
        self.fresh_as_of = self.fresh_as_of.max(Some(sent_at));
        ReplicaUpdate {
            changes,
            freshness: Freshness::Fresh,
            scan_revision: None,
        }
    }

    fn on_failure(&mut self, now: Time, call: ReplicaCall, outcome: &Outcome) -> ReplicaUpdate {
        // The store no longer retains the changes after this revision, or never issued it: the
        // replica must be scanned again.
        if matches!(outcome, Outcome::Gone | Outcome::Malformed) {
            if matches!(outcome, Outcome::Malformed) {
                self.backoff.on_refused(now);
            }
            self.loaded = false;
            self.scan = None;
            return ReplicaUpdate::without_changes(Freshness::Failed);
        }
        self.backoff.on_refused(now);
        if call == ReplicaCall::Scan {
            self.scan = None;
        }
        // No request waits for the reply to a long-running watch.
        ReplicaUpdate::without_changes(if call == ReplicaCall::Watch {
            Freshness::Unchanged
        } else {
            Freshness::Failed
        })
    }

    fn on_page(&mut self, page: ScanResponse, sent_at: Time) -> ReplicaUpdate {
        let last_key = page.entries.last().map(|entry| entry.key.clone());
        let changes = page
            .entries
            .into_iter()
            .map(|entry| ReplicaChange {
                key: entry.key,
                revision: entry.revision,
                value: Some(entry.value),
            })
            .collect();
        let mut update = ReplicaUpdate {
            changes,
            freshness: Freshness::Unchanged,
            scan_revision: None,
        };
        let Some(scan) = &mut self.scan else {
            return update;
        };
        if scan.revision.is_none() {
            scan.revision = Some(page.revision);
            scan.started = sent_at;
        }
        match last_key {
            Some(key) if page.more => scan.after = Some(key),
            _ => {
                // The watch starts from the revision of the first page, so it includes the
                // changes during the scan. That revision replaces the known one even if it is
                // lower: if the known one was never issued by the store, all later changes
                // would be ignored as old.
                let revision = scan.revision.unwrap_or(page.revision);
                self.revision = revision;
                self.fresh_as_of = Some(scan.started);
                self.loaded = true;
                self.scan = None;
                update.freshness = Freshness::Fresh;
                update.scan_revision = Some(revision);
            }
        }
        update
    }
}

/// The change that an event describes; `None` if the event has no key, or is a write without a
/// value.
fn change_from_event(event: WatchEvent) -> Option<ReplicaChange> {
    let value = match &event.write {
        Some(_) => Some(event.value?),
        None => None,
    };
    Some(ReplicaChange {
        key: event.write.or(event.delete)?,
        revision: event.revision,
        value,
    })
}

#[cfg(test)]
mod tests;
