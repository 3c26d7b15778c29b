//! A local copy of the keys under one prefix of the key-value store, with its freshness.
//!
//! A scan fills the copy, watches keep it current. One watch that returns at once brings the
//! whole copy up to date, however many requests wait for it: that is how an answer is never
//! older than its request. The job store, the operators' directives and the configuration keep
//! such copies.
//!
//! This module tracks revisions and sends the calls; what the keys mean is their owner's
//! business, who applies the [`ReplicaChange`]s.

use crate::calls::{ReplicaCall, Tag};
use crate::store::{
    Outcome, Priority, Reply, ScanResponse, StoreClient, WatchEvent, WatchResponse,
};
use beamhinge_core::types::Time;
use beamhinge_core::wire;
use beamhinge_rate_limit::AdaptiveBackoff;
use ciborium::Value;

/// Shortest pause after a read that failed, seconds.
const MIN_PAUSE_S: f64 = 0.2;
/// Longest pause after a read that failed, seconds: so much does a copy lag behind at most
/// when the store is available again.
const MAX_PAUSE_S: f64 = 1.0;

/// What a reply means for requests that wait for a fresh copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The copy was brought up to date.
    Fresh,
    /// The refresh failed.
    Failed,
    /// The reply says nothing about it.
    Unchanged,
}

/// One key as a reply showed it.
pub struct ReplicaChange {
    /// The whole key, with its prefix.
    pub key: String,
    /// The revision of the change.
    pub revision: u64,
    /// The new value; none: the key was deleted.
    pub value: Option<Value>,
}

/// What a reply changed.
#[must_use = "changes that are not applied are lost"]
pub struct ReplicaUpdate {
    /// The changes, oldest first.
    pub changes: Vec<ReplicaChange>,
    /// What the reply means for requests that wait.
    pub freshness: Freshness,
    /// A scan of this revision has ended: keys that it did not show, and that are not newer
    /// than it, do not exist any more.
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

/// Which keys a copy holds, and how it is kept up to date.
#[derive(Clone, Copy)]
pub struct ReplicaConfig {
    /// The prefix of the keys.
    pub prefix: &'static str,
    /// The tag of the owner's calls.
    pub tag: fn(ReplicaCall) -> Tag,
    /// Longest that a watch may wait for a change, seconds.
    pub watch_wait_s: f64,
    /// The priority of a watch that waits.
    pub watch_priority: Priority,
    /// Age at which the copy is refreshed without a request, seconds.
    pub max_age_s: f64,
}

/// A scan that has not ended.
struct ScanState {
    in_flight: bool,
    /// The last key of the pages so far.
    after: Option<String>,
    /// The revision of the first page.
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

/// Keeps track of one copy: its revision, its freshness and the calls in flight.
pub struct ReplicaCache {
    config: ReplicaConfig,
    /// The store's revision that the copy shows.
    revision: u64,
    /// A scan has ended, and watches go on from its revision.
    loaded: bool,
    fresh_as_of: Option<Time>,
    refresh_in_flight: bool,
    watch_in_flight: bool,
    scan: Option<ScanState>,
    /// Delays reads after a reply that cannot be decoded, or while the store is unavailable.
    backoff: AdaptiveBackoff,
    refresh_requested: bool,
}

impl ReplicaCache {
    /// An empty copy, which the next [`tick`](Self::tick) starts to load.
    pub fn new(config: ReplicaConfig) -> ReplicaCache {
        ReplicaCache {
            config,
            revision: 0,
            loaded: false,
            fresh_as_of: None,
            refresh_in_flight: false,
            watch_in_flight: false,
            scan: None,
            backoff: AdaptiveBackoff::new(MIN_PAUSE_S, MAX_PAUSE_S),
            refresh_requested: false,
        }
    }

    /// Whether the copy is complete.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// The copy holds everything that was committed before this time.
    pub fn fresh_as_of(&self) -> Option<Time> {
        self.fresh_as_of
    }

    /// Refreshes the copy at the next [`tick`](Self::tick), because something else showed that
    /// it is out of date.
    pub fn request_refresh(&mut self) {
        self.refresh_requested = true;
    }

    /// Sends the calls that are due: `refresh` if a request waits for a fresh copy, `follow`
    /// if each change is to be seen at once.
    pub fn tick(&mut self, now: Time, refresh: bool, follow: bool, store: &mut StoreClient<Tag>) {
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
        if follow && !self.watch_in_flight {
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

    /// Handles the reply to one of this copy's calls; the owner applies the changes.
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
        // A watch from before a new scan says nothing about what the scan has shown meanwhile:
        // the next watch starts from the scan's own revision.
        if call != ReplicaCall::Scan && !self.loaded {
            return ReplicaUpdate::without_changes(Freshness::Unchanged);
        }
        match reply.outcome {
            Outcome::Ok(body) if call == ReplicaCall::Scan => {
                let Ok(page) = wire::decode::<ScanResponse>(&body) else {
                    self.backoff.on_refused(now);
                    return ReplicaUpdate::without_changes(Freshness::Failed);
                };
                // Not a success for the back-off yet: a watch that is rejected after every
                // scan would have the whole copy read again and again without a pause.
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
        // Two watches may be in flight, and the older answer may arrive last. What is not newer
        // than the copy is part of it; applied again, it would restore a key that was deleted
        // since.
        let known = self.revision;
        let changes = response
            .events
            .into_iter()
            .filter(|event| event.revision > known)
            .filter_map(change_of)
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
        // The store does not keep the changes since this revision, or never issued it: only a
        // new scan helps.
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
        // No request waits for a watch.
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
                // The watch starts from the revision of the first page, so it shows what
                // changed during the scan. That revision is used also if it is lower than the
                // known one: with a revision that the store never issued, all later changes
                // would be taken for old.
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

/// The change that an event describes; none for an event without a key, or a write without a
/// value.
fn change_of(event: WatchEvent) -> Option<ReplicaChange> {
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
