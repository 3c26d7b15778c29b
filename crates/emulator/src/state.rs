//! Emulator of the state service: a key-value store with revisions, transactions, leases and
//! watches, with the published limits and outages.
//!
//! Invariants: a revision is never assigned twice; a key that is bound to a lease is deleted
//! when the lease expires; a transaction is applied atomically.

mod protocol;

use crate::{decode, Micros, Response, SECOND};
use beamhinge_core::http::Method;
use beamhinge_core::settings;
use beamhinge_core::types::CallId;
pub(crate) use protocol::COMMIT_PATH;
use protocol::{Call, ScanQuery, Transaction, WatchQuery, WriteKind};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Number of past changes from which a watch can resume.
const DEFAULT_HISTORY_LIMIT: usize = 10_000;
/// Maximum size of a transaction, bytes of its JSON text.
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum number of conditions of a transaction, per write that the limits allow.
const MAX_CONDITIONS_PER_WRITE: usize = 4;
/// [`StateService::forget_jobs`] drops job records older than this.
const FORGET_AGE: Micros = 8 * SECOND;
/// Prefix of the keys of job records.
const JOB_PREFIX: &str = "j/";
/// Delay between the expiry of a lease and the check that processes it.
const EXPIRY_CHECK_DELAY: Micros = 1_000;

/// Identifies the client that waits for an answer. The state service returns it unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Index of the connection, or of the controller in simulated time.
    pub connection: usize,
    /// Distinguishes successive clients that reuse the same connection index.
    pub generation: u64,
    /// Id of the call.
    pub call: CallId,
}

/// A change of a key.
#[derive(Clone, Debug)]
pub struct Change {
    /// Revision of the store after the change.
    pub revision: u64,
    /// The changed key.
    pub key: String,
    /// Its new value; `None` if the key was deleted.
    pub value: Option<Value>,
}

/// The published limits of the state service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests per second.
    pub rps: f64,
    /// Writes per second.
    pub write_rps: f64,
    /// Maximum size of a value, bytes of its JSON text.
    pub value_bytes: usize,
    /// Maximum number of writes in a transaction.
    pub transaction_writes: usize,
}

impl From<&settings::StateLimits> for Limits {
    fn from(settings: &settings::StateLimits) -> Limits {
        Limits {
            rps: settings.rps,
            write_rps: settings.write_rps,
            value_bytes: (settings.value_kb * 1024.0) as usize,
            transaction_writes: settings.txn_ops,
        }
    }
}

/// Fault injection: writes to keys with a prefix are rejected as malformed for some time.
#[derive(Clone, Copy, Debug)]
pub struct RejectedWrites {
    /// Prefix of the affected keys.
    pub prefix: &'static str,
    /// Time at which the rejection ends.
    pub until: Micros,
}

/// The watches that can be answered now.
#[derive(Debug, Default)]
pub struct ReadyWatches {
    /// The encoded answers, all with status 200.
    pub answers: Vec<(Caller, Vec<u8>)>,
    /// When to check again; `None` if no watch and no lease is pending.
    pub next_due: Option<Micros>,
}

struct Entry {
    value: Value,
    revision: u64,
    lease_id: Option<u64>,
    created_at: Micros,
}

struct Lease {
    expires_at: Micros,
    duration: Micros,
}

struct PendingWatch {
    caller: Caller,
    prefix: String,
    after_revision: u64,
    deadline: Micros,
}

/// The state service.
pub struct StateService {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    /// The most recent changes, oldest first.
    history: VecDeque<Change>,
    /// Changes up to this revision have been dropped from the history.
    compacted: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    watches: Vec<PendingWatch>,
    /// The service answers 503 until this time.
    pub down_until: Micros,
    /// Writes that are rejected as malformed.
    pub rejected_writes: RejectedWrites,
    limits: Limits,
    /// Tokens of the rate limits: for requests and for writes.
    tokens: (f64, f64),
    refilled_at: Micros,
    /// Protocol violations by controllers, as text.
    pub violations: Vec<String>,
    /// Number of requests rejected by the rate limits.
    pub throttled: u64,
    /// Number of puts and deletes applied.
    pub writes: u64,
    /// Number of past changes from which a watch can resume.
    pub history_limit: usize,
    /// Changes not yet written to the log; `None` if the state is not durable.
    journal: Option<Vec<Change>>,
}

impl StateService {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: Limits) -> StateService {
        StateService {
            keys: BTreeMap::new(),
            revision: 0,
            history: VecDeque::new(),
            compacted: 0,
            leases: BTreeMap::new(),
            last_lease: 0,
            watches: Vec::new(),
            down_until: 0,
            rejected_writes: RejectedWrites {
                prefix: "",
                until: 0,
            },
            limits,
            tokens: (limits.rps, limits.write_rps),
            refilled_at: 0,
            violations: Vec::new(),
            throttled: 0,
            writes: 0,
            history_limit: DEFAULT_HISTORY_LIMIT,
            journal: None,
        }
    }

    /// Starts an outage that lasts until `until`. After it, leases have their full duration again.
    pub fn outage(&mut self, until: Micros) {
        self.down_until = until;
        for lease in self.leases.values_mut() {
            lease.expires_at = until + lease.duration;
        }
    }

    /// Removes expired leases and the keys bound to them.
    fn expire_leases(&mut self, now: Micros) {
        if now < self.down_until {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at < now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let bound_keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, entry)| entry.lease_id == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            if !bound_keys.is_empty() {
                self.revision += 1;
            }
            for key in bound_keys {
                self.keys.remove(&key);
                self.record(key, None);
            }
        }
    }

    /// Applies a change read from the log. A lease does not outlive the process that granted
    /// it, so keys bound to a lease are never logged with a value.
    pub fn restore(&mut self, change: Change) {
        self.revision = self.revision.max(change.revision);
        self.compacted = self.revision;
        match change.value {
            Some(value) => {
                let entry = Entry {
                    value,
                    revision: change.revision,
                    lease_id: None,
                    created_at: 0,
                };
                self.keys.insert(change.key, entry);
            }
            None => {
                self.keys.remove(&change.key);
            }
        }
    }

    /// Starts to collect changes for [`StateService::take_journal`].
    pub fn enable_journal(&mut self) {
        self.journal = Some(Vec::new());
    }

    /// Returns the changes since the last call that must be made durable.
    pub fn take_journal(&mut self) -> Vec<Change> {
        self.journal
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// All durable keys with their revisions and values, to start a new log.
    pub fn durable(&self) -> impl Iterator<Item = (u64, &String, &Value)> {
        let durable = self.keys.iter().filter(|(_, e)| e.lease_id.is_none());
        durable.map(|(key, entry)| (entry.revision, key, &entry.value))
    }

    /// The revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|entry| &entry.value)
    }

    /// Number of keys with the prefix.
    #[must_use]
    pub fn keys_under(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Stores a value directly, as if another program had written it.
    pub fn preset_key(&mut self, key: &str, value: Value) {
        self.revision += 1;
        let entry = Entry {
            value: value.clone(),
            revision: self.revision,
            lease_id: None,
            created_at: 0,
        };
        self.keys.insert(key.to_string(), entry);
        self.record(key.to_string(), Some(value));
    }

    /// Records an applied change at the current revision in the history and the journal.
    fn record(&mut self, key: String, value: Option<Value>) {
        let revision = self.revision;
        if let Some(journal) = &mut self.journal {
            let bound_to_lease = self.keys.get(&key).is_some_and(|e| e.lease_id.is_some());
            journal.push(Change {
                revision,
                key: key.clone(),
                value: if bound_to_lease { None } else { value.clone() },
            });
        }
        self.history.push_back(Change {
            revision,
            key,
            value,
        });
        while self.history.len() > self.history_limit {
            if let Some(oldest) = self.history.pop_front() {
                self.compacted = oldest.revision;
            }
        }
    }

    /// Drops older job records and their history, to prove that the checks detect the loss.
    pub fn forget_jobs(&mut self, now: Micros) {
        let old: Vec<String> = self
            .keys
            .iter()
            .filter(|(key, e)| key.starts_with(JOB_PREFIX) && now > e.created_at + FORGET_AGE)
            .map(|(key, _)| key.clone())
            .collect();
        for key in old {
            self.keys.remove(&key);
            self.history.retain(|change| change.key != key);
        }
    }

    /// Takes tokens for a request with this number of writes; `false` if the rate limits reject
    /// it.
    fn take_tokens(&mut self, now: Micros, writes: f64) -> bool {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        let Limits { rps, write_rps, .. } = self.limits;
        self.tokens.0 = (self.tokens.0 + passed * rps).min(rps);
        self.tokens.1 = (self.tokens.1 + passed * write_rps).min(write_rps);
        if self.tokens.0 < 1.0 || (writes > 0.0 && self.tokens.1 < writes) {
            self.throttled += 1;
            return false;
        }
        self.tokens.0 -= 1.0;
        self.tokens.1 -= writes;
        true
    }

    /// Serves a request. Returns `None` if the answer comes later, from
    /// [`StateService::ready_watches`].
    pub fn handle(
        &mut self,
        now: Micros,
        caller: Caller,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Option<Response> {
        self.expire_leases(now);
        if now < self.down_until {
            return Some(protocol::empty(503));
        }
        let call = protocol::call(method, path);
        let body = match call {
            Call::Commit | Call::GrantLease => decode(body),
            _ => Value::Null,
        };
        let transaction = match call {
            Call::Commit => Transaction::decode(&body),
            _ => Transaction::decode(&Value::Null),
        };
        if !self.take_tokens(now, transaction.writes.len() as f64) {
            return Some(protocol::empty(429));
        }
        match call {
            Call::Commit => Some(self.commit(now, &transaction)),
            Call::GrantLease => Some(self.grant_lease(now, protocol::lease_duration(&body))),
            Call::RenewLease(id) => Some(self.renew_lease(now, id)),
            Call::RevokeLease(id) => Some(self.revoke_lease(now, id)),
            Call::Scan => Some(self.scan(&ScanQuery::decode(path)?)),
            Call::Watch => self.watch(now, caller, WatchQuery::decode(path)?),
            Call::Unknown => {
                self.violations.push(format!("{} {path}", method.name()));
                Some(protocol::empty(400))
            }
        }
    }

    fn grant_lease(&mut self, now: Micros, duration: Micros) -> Response {
        self.last_lease += 1;
        let lease = Lease {
            expires_at: now + duration,
            duration,
        };
        self.leases.insert(self.last_lease, lease);
        protocol::lease(self.last_lease)
    }

    fn renew_lease(&mut self, now: Micros, id: u64) -> Response {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.duration;
                protocol::lease(id)
            }
            None => protocol::empty(404),
        }
    }

    fn revoke_lease(&mut self, now: Micros, id: u64) -> Response {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.expires_at = 0;
        }
        self.expire_leases(now);
        protocol::empty(200)
    }

    fn scan(&self, query: &ScanQuery) -> Response {
        let after = |key: &String| query.after.as_ref().is_none_or(|after| key > after);
        let found: Vec<(&String, &Entry)> = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(&query.prefix) && after(key))
            .collect();
        let more = found.len() > query.page_size;
        let pairs: Vec<Value> = found
            .into_iter()
            .take(query.page_size)
            .map(|(key, entry)| protocol::pair(key, &entry.value, entry.revision))
            .collect();
        protocol::page(&pairs, more, self.revision)
    }

    fn watch(&mut self, now: Micros, caller: Caller, query: WatchQuery) -> Option<Response> {
        if query.after_revision < self.compacted {
            return Some(protocol::empty(410));
        }
        match self.events(&query.prefix, query.after_revision, query.wait == 0) {
            Some(body) => Some((200, body)),
            None => {
                self.watches.push(PendingWatch {
                    caller,
                    prefix: query.prefix,
                    after_revision: query.after_revision,
                    deadline: now + query.wait,
                });
                None
            }
        }
    }

    /// Encodes the last change after a revision of each key with the prefix. Returns `None` if
    /// there is no change and `immediate` is false.
    fn events(&self, prefix: &str, after_revision: u64, immediate: bool) -> Option<Vec<u8>> {
        let from = self
            .history
            .partition_point(|change| change.revision <= after_revision);
        let changes = self.history.range(from..);
        let last_changes: BTreeMap<&String, &Change> = changes
            .filter(|change| change.key.starts_with(prefix))
            .map(|change| (&change.key, change))
            .collect();
        if last_changes.is_empty() && !immediate {
            return None;
        }
        let events: Vec<Value> = last_changes
            .into_iter()
            .map(|(key, change)| protocol::watch_event(key, change.value.as_ref(), change.revision))
            .collect();
        Some(protocol::watch_events(&events, self.revision))
    }

    /// Returns the answers to watches that can be answered now. `delayed` selects, by connection
    /// and prefix, the watches that are delayed as in an outage.
    pub fn ready_watches(
        &mut self,
        now: Micros,
        delayed: impl Fn(usize, &str) -> bool,
    ) -> ReadyWatches {
        self.expire_leases(now);
        if now < self.down_until {
            return ReadyWatches {
                answers: Vec::new(),
                next_due: Some(self.down_until),
            };
        }
        let is_delayed = |watch: &PendingWatch| delayed(watch.caller.connection, &watch.prefix);
        let mut answers = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let body = if is_delayed(&watch) {
                None
            } else {
                self.events(&watch.prefix, watch.after_revision, now >= watch.deadline)
            };
            match body {
                Some(body) => answers.push((watch.caller, body)),
                None => self.watches.push(watch),
            }
        }
        let leases = self
            .leases
            .values()
            .map(|l| l.expires_at + EXPIRY_CHECK_DELAY);
        let pending = self.watches.iter().filter(|watch| !is_delayed(watch));
        let next_due = pending.map(|watch| watch.deadline).chain(leases).min();
        ReadyWatches { answers, next_due }
    }

    fn commit(&mut self, now: Micros, transaction: &Transaction) -> Response {
        if let Some(rejection) = self.reject(now, transaction) {
            return rejection;
        }
        let revision = |key: &str| self.keys.get(key).map_or(0, |entry| entry.revision);
        let failed: Vec<&str> = transaction
            .conditions()
            .filter(|(key, expected)| revision(key) != *expected)
            .map(|(key, _)| key)
            .collect();
        if !failed.is_empty() {
            return protocol::conflict(&failed, self.revision);
        }
        if !transaction.writes.is_empty() {
            self.revision += 1;
        }
        self.writes += transaction.writes.len() as u64;
        for write in &transaction.writes {
            match write.kind {
                WriteKind::Put => {
                    let entry = Entry {
                        value: write.value.clone(),
                        revision: self.revision,
                        lease_id: write.lease_id,
                        created_at: self.keys.get(write.key).map_or(now, |e| e.created_at),
                    };
                    self.keys.insert(write.key.to_string(), entry);
                    self.record(write.key.to_string(), Some(write.value.clone()));
                }
                WriteKind::Delete => {
                    self.keys.remove(write.key);
                    self.record(write.key.to_string(), None);
                }
                WriteKind::Malformed => {}
            }
        }
        protocol::committed(self.revision)
    }

    /// Validates a transaction; returns the error response if it exceeds a limit or is malformed.
    fn reject(&mut self, now: Micros, transaction: &Transaction) -> Option<Response> {
        let (writes, conditions) = (transaction.writes.len(), transaction.condition_count());
        let max_writes = self.limits.transaction_writes;
        if writes > max_writes
            || conditions > MAX_CONDITIONS_PER_WRITE * max_writes
            || transaction.size > MAX_TRANSACTION_BYTES
        {
            self.violations.push(format!(
                "transaction of {writes} writes and {conditions} conditions exceeds a limit"
            ));
            return Some(protocol::error(400, "too large"));
        }
        let rejected = self.rejected_writes;
        for write in &transaction.writes {
            let key = write.key;
            if now < rejected.until && key.starts_with(rejected.prefix) {
                return Some(protocol::error(400, "so it is"));
            }
            if !transaction.has_condition_on(key) {
                self.violations.push(format!(
                    "write to {key} without a condition on its revision"
                ));
            }
            if write.value.to_string().len() > self.limits.value_bytes {
                self.violations
                    .push(format!("value of {key} exceeds the size limit"));
                return Some(protocol::error(400, "too large"));
            }
            let lease = write.lease_id;
            if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
                return Some(protocol::error(400, "no such lease"));
            }
        }
        None
    }
}
