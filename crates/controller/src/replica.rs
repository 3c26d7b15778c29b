//! Our copy of what the state service holds under one prefix, and how fresh it
//! is.
//!
//! A scan fills it, watches keep it current. One watch without waiting brings
//! the whole copy up to date, however many ask: that is how an answer is never
//! older than its question. Two slices keep such copies: the book of jobs and
//! the operators' directives.

use crate::calls::{ReplicaCall, Tag};
use crate::store::{Outcome, Priority, Reply, ScanResponse, StoreClient, WatchResponse};
use beamhinge_core::types::Time;
use beamhinge_core::wire;
use beamhinge_rate_limit::AdaptiveBackoff;
use ciborium::Value;

/// What a reply meant for those who wait for a fresh copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    Fresh,
    Failed,
    Unchanged,
}

/// One key as a reply showed it; no value: it was deleted.
pub struct ReplicaChange {
    pub key: String,
    pub revision: u64,
    pub value: Option<Value>,
}

pub struct ReplicaUpdate {
    pub changes: Vec<ReplicaChange>,
    pub freshness: Freshness,
    /// A scan has ended: what it did not show, and is not newer than this
    /// revision, is gone.
    pub scan_revision: Option<u64>,
}

impl ReplicaUpdate {
    fn nothing(freshness: Freshness) -> ReplicaUpdate {
        ReplicaUpdate {
            changes: Vec::new(),
            freshness,
            scan_revision: None,
        }
    }
}

/// How a copy is kept.
#[derive(Clone, Copy)]
pub struct ReplicaConfig {
    pub prefix: &'static str,
    pub tag: fn(ReplicaCall) -> Tag,
    /// Longest that a watch may wait, seconds.
    pub watch_wait_s: f64,
    pub watch_priority: Priority,
    /// Age at which the copy is refreshed unasked, seconds.
    pub max_age_s: f64,
}

struct ScanState {
    in_flight: bool,
    after: Option<String>,
    revision: Option<u64>,
    started: Time,
}

pub struct ReplicaCache {
    config: ReplicaConfig,
    revision: u64,
    loaded: bool,
    fresh_as_of: Option<Time>,
    refresh_in_flight: bool,
    watch_in_flight: bool,
    scan: Option<ScanState>,
    /// How a reading that failed is tried again: an answer that cannot be read,
    /// or a service that is away, is not asked alike for ever.
    backoff: AdaptiveBackoff,
    wanted: bool,
}

/// Shortest and longest pause after a reading that failed, seconds. The longest
/// is what a copy lies behind at most when the service comes back.
const PAUSES_S: (f64, f64) = (0.2, 1.0);

impl ReplicaCache {
    pub fn new(config: ReplicaConfig) -> ReplicaCache {
        ReplicaCache {
            config,
            revision: 0,
            loaded: false,
            fresh_as_of: None,
            refresh_in_flight: false,
            watch_in_flight: false,
            scan: None,
            backoff: AdaptiveBackoff::new(PAUSES_S.0, PAUSES_S.1),
            wanted: false,
        }
    }

    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// The copy holds all that was committed before this moment.
    pub fn fresh_as_of(&self) -> Option<Time> {
        self.fresh_as_of
    }

    /// Something else showed that our copy is old.
    pub fn request_refresh(&mut self) {
        self.wanted = true;
    }

    /// Loops that keep the copy as fresh as wanted: `ask` when somebody waits
    /// for an answer, `follow` where each change is to be seen at once.
    pub fn tick(&mut self, now: Time, ask: bool, follow: bool, store: &mut StoreClient<Tag>) {
        if !self.backoff.is_due(now) {
            return;
        }
        let ReplicaConfig {
            prefix,
            tag,
            watch_wait_s: wait_s,
            watch_priority: wait_priority,
            max_age_s: stale_s,
        } = self.config;
        if !self.loaded {
            let scan = self.scan.get_or_insert(ScanState {
                in_flight: false,
                after: None,
                revision: None,
                started: now,
            });
            if !scan.in_flight {
                scan.in_flight = true;
                let after = scan.after.clone();
                store.scan(
                    now,
                    Priority::Read,
                    tag(ReplicaCall::Scan),
                    prefix,
                    after.as_deref(),
                );
            }
            return;
        }
        let stale = self.fresh_as_of.is_none_or(|f| now.since(f) > stale_s);
        if (ask || stale || self.wanted) && !self.refresh_in_flight {
            self.refresh_in_flight = true;
            self.wanted = false;
            store.watch(
                now,
                Priority::Read,
                tag(ReplicaCall::Refresh),
                prefix,
                self.revision,
                0.0,
            );
        }
        if follow && !self.watch_in_flight {
            self.watch_in_flight = true;
            store.watch(
                now,
                wait_priority,
                tag(ReplicaCall::Watch),
                prefix,
                self.revision,
                wait_s,
            );
        }
    }

    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> ReplicaUpdate {
        match call {
            ReplicaCall::Refresh => self.refresh_in_flight = false,
            ReplicaCall::Watch => self.watch_in_flight = false,
            ReplicaCall::Scan => {
                if let Some(s) = &mut self.scan {
                    s.in_flight = false;
                }
            }
        }
        // A watch from before a scan began anew says nothing of what the scan has
        // shown meanwhile: it starts over from the scan's own revision.
        if call != ReplicaCall::Scan && !self.loaded {
            return ReplicaUpdate::nothing(Freshness::Unchanged);
        }
        match reply.outcome {
            Outcome::Ok(body) if call == ReplicaCall::Scan => {
                let Ok(page) = wire::decode::<ScanResponse>(&body) else {
                    self.backoff.on_refused(now);
                    return ReplicaUpdate::nothing(Freshness::Failed);
                };
                // Not yet a success: a watch that is refused after every scan would
                // have the whole copy read again and again without a pause.
                self.on_page(page, reply.sent_at)
            }
            Outcome::Ok(body) => {
                let Ok(news) = wire::decode::<WatchResponse>(&body) else {
                    self.backoff.on_refused(now);
                    return ReplicaUpdate::nothing(Freshness::Failed);
                };
                // Two watches may be out, and the older answer come last. What is
                // not newer than the copy is in it; taken once more, it would
                // bring back a key that was deleted since.
                self.backoff.on_success();
                let newer = news
                    .events
                    .into_iter()
                    .filter(|c| c.revision > self.revision);
                let changes = newer.filter_map(|c| {
                    let value = if c.write.is_some() {
                        Some(c.value?)
                    } else {
                        None
                    };
                    Some(ReplicaChange {
                        key: c.write.or(c.delete)?,
                        revision: c.revision,
                        value,
                    })
                });
                let changes = changes.collect();
                self.revision = self.revision.max(news.revision);
                self.fresh_as_of = self.fresh_as_of.max(Some(reply.sent_at));
                ReplicaUpdate {
                    changes,
                    freshness: Freshness::Fresh,
                    scan_revision: None,
                }
            }
            // Changes from before the kept ones are not to be had, nor those after a
            // revision that the service never gave out: only a new scan leads on.
            Outcome::Gone | Outcome::Malformed => {
                if matches!(reply.outcome, Outcome::Malformed) {
                    self.backoff.on_refused(now);
                }
                self.loaded = false;
                self.scan = None;
                ReplicaUpdate::nothing(Freshness::Failed)
            }
            _ => {
                self.backoff.on_refused(now);
                if call == ReplicaCall::Scan {
                    self.scan = None;
                }
                let quiet = call == ReplicaCall::Watch;
                ReplicaUpdate::nothing(if quiet {
                    Freshness::Unchanged
                } else {
                    Freshness::Failed
                })
            }
        }
    }

    fn on_page(&mut self, page: ScanResponse, sent: Time) -> ReplicaUpdate {
        let last = page.entries.last().map(|p| p.key.clone());
        let changes = page
            .entries
            .into_iter()
            .map(|p| ReplicaChange {
                key: p.key,
                revision: p.revision,
                value: Some(p.value),
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
            scan.started = sent;
        }
        match last {
            Some(last) if page.more => scan.after = Some(last),
            _ => {
                // Changes during the scan come again with the watch, which
                // starts from the revision of the first page.
                let rev = scan.revision.unwrap_or(page.revision);
                // Also where it is lower than what we had: a revision that the service
                // never gave out would have all that follows taken for old.
                self.revision = rev;
                self.fresh_as_of = Some(scan.started);
                self.loaded = true;
                self.scan = None;
                update.freshness = Freshness::Fresh;
                update.scan_revision = Some(rev);
            }
        }
        update
    }
}

#[cfg(test)]
mod tests;
