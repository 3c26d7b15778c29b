//! Teams and quotas as operators change them: a copy of what is stored under `c/`,
//! changes on their way there, and which version each controller serves by.
//!
//! The copy is taken as a whole or not at all: each change writes the head, so a chunk
//! that is newer than the head is part of a change that is not read yet. Every
//! controller that knows of configuration keeps a key with its version, hung on its lease:
//! a change rests on all of these keys, and is in force everywhere once all of them say
//! so.

use crate::calls::{ReplicaCall, Tag};
use crate::replica::{Change as Changed, Freshness, ReplicaCache, ReplicaConfig};
use crate::store::{Committed, Outcome, Priority, Reply, StoreClient};
use beamhinge_configuration::change::{Change, Plan, Refusal};
use beamhinge_configuration::stored::{
    Author, Chunk, Head, Record, RecordPart, Snapshot, CHUNKS, FORM,
};
use beamhinge_configuration::{EffectiveTeam, Version};
use beamhinge_core::settings::{Settings, Team};
use beamhinge_core::types::{RequestId, Revision, Time, WallMs};
use beamhinge_core::wire;
use beamhinge_rate_limit::{Transaction, TransactionError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub const PREFIX: &str = "c/";
pub const HEAD: &str = "c/head";
/// Changes that may wait here.
const WAITING_LIMIT: usize = 32;
/// How long a change may take before its author is told to come back, seconds.
const PATIENCE_S: f64 = 3.0;
/// How often this controller's own key is written at most, seconds.
const REGISTER_S: f64 = 1.0;
/// Age at which the copy is read again unasked, seconds.
const STALE_S: f64 = 3.0;
/// A holder whose copy is older than this sends no `run`, seconds: with the time that a
/// start takes, a limit is in force within the eleven that operators ask for.
pub const RUN_BOUND_S: f64 = 7.0;

/// A controller's own key: the version that it serves by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Member {
    v: u32,
    version: Version,
    /// Tells this process from an earlier one of the same label.
    nonce: u64,
    /// Time of day at which it came to serve by it, milliseconds.
    at_ms: u64,
}

/// What an author is told.
#[derive(Debug, PartialEq)]
pub enum Told {
    Made {
        version: Version,
        warning: Option<String>,
    },
    Refused(Refusal),
    Busy(String),
}

/// Which controllers serve by the newest version.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    pub version: Version,
    pub author: Option<Author>,
    /// Since when all do, milliseconds of the time of day; none: not yet.
    pub everywhere_since_ms: Option<u64>,
    /// Those that do not, and by which version they serve as far as known.
    pub behind: Vec<(String, Option<Version>)>,
    /// Fields of a newer program.
    pub unknown_fields: Vec<String>,
}

/// The teams that count, by the version they are from.
#[derive(Clone, Debug, PartialEq)]
pub struct Effective {
    pub version: Version,
    pub teams: Vec<EffectiveTeam>,
}

impl Effective {
    pub fn team(&self, name: &str) -> Option<&EffectiveTeam> {
        self.teams.iter().find(|team| team.name == name)
    }
}

struct Pending {
    serial: u64,
    id: String,
    request: RequestId,
    change: Change,
    by: String,
    began: Time,
    /// The copy must be newer than this to decide on.
    since: Time,
    in_flight: bool,
    /// CPUs of the fleet as the holder knows it, to warn by.
    fleet_cpus: Option<f64>,
}

pub struct Configuration {
    on: bool,
    label: String,
    nonce: u64,
    base: Vec<Team>,
    /// All controllers of the settings.
    labels: Vec<String>,
    replica: ReplicaCache,
    head: Option<(Revision, Head)>,
    chunks: BTreeMap<usize, (Revision, Chunk)>,
    records: BTreeMap<(u64, u32), (Revision, RecordPart)>,
    members: BTreeMap<String, (Revision, Member)>,
    /// Paths that the running scan has shown.
    seen: BTreeSet<String>,
    /// A value of a form that this program does not know: nothing is decided on it.
    unreadable: bool,
    snapshot: Snapshot,
    effective: Rc<Effective>,
    changed: bool,
    pending: VecDeque<Pending>,
    next: u64,
    registering: bool,
    registered_at: Time,
    /// What tests put in: chunks are taken without their head.
    pub half_applied: bool,
}

/// Path of a chunk, a record's part, a controller's key.
fn chunk_key(n: usize) -> String {
    format!("{PREFIX}t/{n}")
}
fn record_key(version: u64, part: u32) -> String {
    format!("{PREFIX}h/{version}/{part}")
}
fn member_key(label: &str) -> String {
    format!("{PREFIX}m/{label}")
}

impl Configuration {
    /// `on`: whether operators change it here at all (`[configuration] on`).
    pub fn new(settings: &Settings, on: bool, nonce: u64) -> Configuration {
        let base = settings.params.teams.clone();
        let others = settings.members.iter().map(|m| m.label.clone());
        let teams = Snapshot::default().effective(&base);
        Configuration {
            on,
            label: settings.label.clone(),
            nonce,
            base,
            labels: others.chain([settings.label.clone()]).collect(),
            replica: ReplicaCache::new(ReplicaConfig {
                prefix: PREFIX,
                tag: Tag::Configuration,
                wait_s: 10.0,
                wait_priority: Priority::Read,
                stale_s: STALE_S,
            }),
            head: None,
            chunks: BTreeMap::new(),
            records: BTreeMap::new(),
            members: BTreeMap::new(),
            seen: BTreeSet::new(),
            unreadable: false,
            snapshot: Snapshot::default(),
            effective: Rc::new(Effective {
                version: Version(0),
                teams,
            }),
            changed: false,
            pending: VecDeque::new(),
            next: 0,
            registering: false,
            registered_at: Time::default(),
            half_applied: false,
        }
    }

    pub fn is_on(&self) -> bool {
        self.on
    }

    pub fn effective(&self) -> &Rc<Effective> {
        &self.effective
    }

    /// Whether decisions may rest on it: it is read, and all of it understood.
    pub fn ready(&self) -> bool {
        !self.on || self.replica.loaded() && !self.unreadable
    }

    /// The copy holds all that was committed before this moment.
    pub fn fresh(&self) -> Option<Time> {
        self.replica.fresh().filter(|_| !self.unreadable)
    }

    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// The key and stamp that placements rest on: none made by an older version commits.
    pub fn condition(&self) -> Option<(&'static str, Revision)> {
        self.on.then(|| {
            (
                HEAD,
                self.head
                    .as_ref()
                    .map_or(Revision(0), |(revision, _)| *revision),
            )
        })
    }

    /// Until when a holder may send `run`; none: as long as it is entitled.
    pub fn runs_until(&self) -> Option<Time> {
        let changed = self.on && self.head.is_some();
        changed.then(|| {
            self.fresh()
                .map_or(Time::default(), |f| f.plus(RUN_BOUND_S))
        })
    }

    /// Whether the teams are others than when last asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Takes a change in; `false` when too many wait.
    #[must_use]
    pub fn change(
        &mut self,
        now: Time,
        request: RequestId,
        change: Change,
        by: String,
        fleet_cpus: Option<f64>,
    ) -> bool {
        if self.pending.len() >= WAITING_LIMIT {
            return false;
        }
        self.next += 1;
        let serial = self.next;
        self.pending.push_back(Pending {
            serial,
            id: format!("{:x}-{serial}", self.nonce),
            request,
            change,
            by,
            began: now,
            since: now,
            in_flight: false,
            fleet_cpus,
        });
        true
    }

    /// Loops towards the wanted state: the copy, our own key, the first change that waits.
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        (ask, lease_id): (bool, Option<u64>),
        store: &mut StoreClient<Tag>,
        told: &mut Vec<(RequestId, Told)>,
    ) {
        if !self.on {
            return;
        }
        self.register(now, wall, lease_id, store);
        self.push_changes(now, wall, store, told);
        let waits = self.pending.iter().any(|p| !p.in_flight);
        self.replica.tick(now, ask || waits, true, store);
    }

    /// Keeps our own key as it should be: our process, and the version we serve by.
    fn register(
        &mut self,
        now: Time,
        wall: WallMs,
        lease_id: Option<u64>,
        store: &mut StoreClient<Tag>,
    ) {
        let Some(lease_id) = lease_id.filter(|_| self.replica.loaded() && !self.unreadable) else {
            return;
        };
        if self.registering || now.since(self.registered_at) < REGISTER_S {
            return;
        }
        let version = self.effective.version;
        let own = self.members.get(&self.label);
        if own.is_some_and(|(_, m)| m.nonce == self.nonce && m.version == version) {
            return;
        }
        let revision = own.map_or(Revision(0), |(revision, _)| *revision);
        let member = Member {
            v: FORM,
            version,
            nonce: self.nonce,
            at_ms: wall.0,
        };
        let mut transaction = store.transaction();
        if transaction
            .put(
                member_key(&self.label),
                revision,
                wire::to_value(&member),
                Some(lease_id),
            )
            .is_ok()
        {
            self.registering = true;
            self.registered_at = now;
            store.commit(
                now,
                Priority::Background,
                Tag::ConfigurationMember,
                transaction,
            );
        }
    }

    /// Our own key was written, or not: the copy tells.
    pub fn on_registered(&mut self) {
        self.registering = false;
        self.replica.request_refresh();
    }

    fn push_changes(
        &mut self,
        now: Time,
        wall: WallMs,
        store: &mut StoreClient<Tag>,
        told: &mut Vec<(RequestId, Told)>,
    ) {
        // One at a time: each rests on the version that the one before it made.
        if self.pending.iter().any(|p| p.in_flight) {
            return;
        }
        let fresh = self.fresh();
        let mut left = VecDeque::new();
        while let Some(mut pending) = self.pending.pop_front() {
            let in_flight = left.iter().any(|p: &Pending| p.in_flight);
            let decidable = fresh.is_some_and(|f| f >= pending.since);
            if in_flight || !decidable {
                if now.since(pending.began) > PATIENCE_S {
                    let why = "the state service does not answer, or other changes go first";
                    told.push((pending.request, Told::Busy(why.into())));
                } else {
                    left.push_back(pending);
                }
                continue;
            }
            match self.decide(now, wall, &mut pending, store) {
                None => left.push_back(pending),
                Some(answer) => told.push((pending.request, answer)),
            }
        }
        self.pending = left;
    }

    /// Sends a change, or says why that is not done; none: it is under way.
    fn decide(
        &self,
        now: Time,
        wall: WallMs,
        pending: &mut Pending,
        store: &mut StoreClient<Tag>,
    ) -> Option<Told> {
        // An answer of ours that was lost: the change is there under its id.
        let made = self
            .snapshot
            .records
            .iter()
            .find(|(_, r)| r.author.id == pending.id);
        if let Some((version, _)) = made {
            return Some(Told::Made {
                version: *version,
                warning: self.warning(pending),
            });
        }
        if now.since(pending.began) > PATIENCE_S {
            return Some(Told::Busy("others change it at the same time".into()));
        }
        let unknown: Vec<&str> = self
            .labels
            .iter()
            .filter(|label| !self.members.contains_key(*label))
            .map(String::as_str)
            .collect();
        if !unknown.is_empty() {
            let who = unknown.join(", ");
            return Some(Told::Busy(format!(
                "{who} is not there, or does not know of configuration: \
                 all controllers must, so that a change is in force everywhere"
            )));
        }
        let author = Author {
            id: pending.id.clone(),
            at_ms: wall.0,
            by: pending.by.clone(),
            why: pending.change.why.clone(),
            restores: None,
        };
        let plan = match pending.change.plan(&self.snapshot, &self.base, author) {
            Ok(plan) => plan,
            Err(refusal) => return Some(Told::Refused(refusal)),
        };
        match self.transaction(&plan, store.unpaced_transaction()) {
            Ok(transaction) => {
                pending.in_flight = true;
                store.commit(
                    now,
                    Priority::Admission,
                    Tag::ConfigurationChange(pending.serial),
                    transaction,
                );
                None
            }
            Err(full) => {
                tracing::warn!("a change of configuration does not fit: {full}");
                let why = format!("the state service takes no change so large ({full}): make two");
                Some(Told::Refused(Refusal::Quota {
                    team: "all".into(),
                    problem: why,
                }))
            }
        }
    }

    /// Every write is conditional; and all controllers must still know of configuration.
    fn transaction(
        &self,
        plan: &Plan,
        mut transaction: Transaction,
    ) -> Result<Transaction, TransactionError> {
        let revision = self
            .head
            .as_ref()
            .map_or(Revision(0), |(revision, _)| *revision);
        transaction.put(HEAD, revision, wire::to_value(&plan.head), None)?;
        for label in &self.labels {
            let revision = self
                .members
                .get(label)
                .map_or(Revision(0), |(revision, _)| *revision);
            transaction.when(member_key(label), revision)?;
        }
        for (n, chunk) in &plan.chunks {
            let revision = self
                .chunks
                .get(n)
                .map_or(Revision(0), |(revision, _)| *revision);
            transaction.put(chunk_key(*n), revision, wire::to_value(chunk), None)?;
        }
        let version = plan.head.version.0;
        for (part, record) in plan.record.iter().enumerate() {
            let key = record_key(version, part as u32);
            transaction.put(key, Revision(0), wire::to_value(record), None)?;
        }
        if let Some(old) = plan.forget {
            for ((version, part), (revision, _)) in
                self.records.range((old.0, 0)..=(old.0, u32::MAX))
            {
                transaction.delete(record_key(*version, *part), *revision)?;
            }
        }
        Ok(transaction)
    }

    /// Guarantees above the fleet are told to whoever made them.
    fn warning(&self, pending: &Pending) -> Option<String> {
        let fleet_cpus = pending.fleet_cpus?;
        let above =
            beamhinge_configuration::change::guarantees_above(&self.effective.teams, fleet_cpus)?;
        Some(format!(
            "{above} CPUs are guaranteed in all, and the fleet has {fleet_cpus}"
        ))
    }

    pub fn on_changed(
        &mut self,
        now: Time,
        serial: u64,
        reply: Reply<Tag>,
        told: &mut Vec<(RequestId, Told)>,
    ) {
        let Some(at) = self.pending.iter().position(|p| p.serial == serial) else {
            return;
        };
        self.replica.request_refresh();
        let busy = |why: &str| Told::Busy(why.into());
        let answer = match reply.outcome {
            Outcome::Ok(body) if wire::decode::<Committed>(&body).is_ok() => {
                let pending = &self.pending[at];
                let version = pending.change.seen.next();
                Some(Told::Made {
                    version,
                    warning: self.warning(pending),
                })
            }
            Outcome::Refused => Some(busy("the state service takes nothing just now")),
            Outcome::Malformed => Some(busy("the state service calls it malformed")),
            // Another was first, a controller went, or the answer was lost: what is
            // stored decides, once it is read again.
            _ => None,
        };
        match answer {
            Some(answer) => {
                let pending = self.pending.remove(at);
                told.extend(pending.map(|p| (p.request, answer)));
            }
            None => {
                if let Some(pending) = self.pending.get_mut(at) {
                    pending.in_flight = false;
                    pending.since = now;
                }
            }
        }
    }

    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> Freshness {
        let update = self.replica.on_reply(now, call, reply);
        let scanning = call == ReplicaCall::Scan;
        for change in update.changes {
            if scanning {
                self.seen.insert(change.path.clone());
            }
            self.take(change);
        }
        if let Some(rev) = update.scanned {
            let seen = std::mem::take(&mut self.seen);
            let stays = |path: String, revision: Revision| revision.0 > rev || seen.contains(&path);
            self.chunks
                .retain(|n, (revision, _)| stays(chunk_key(*n), *revision));
            self.records
                .retain(|(v, p), (revision, _)| stays(record_key(*v, *p), *revision));
            self.members
                .retain(|label, (revision, _)| stays(member_key(label), *revision));
        } else if scanning && update.freshness == Freshness::Failed {
            self.seen.clear();
        }
        self.settle();
        update.freshness
    }

    /// Takes one key as a reply showed it.
    fn take(&mut self, change: Changed) {
        let Some(rest) = change.path.strip_prefix(PREFIX) else {
            return;
        };
        let revision = Revision(change.revision);
        let value = change.value.as_ref();
        let parts: Vec<&str> = rest.split('/').collect();
        let known =
            match parts.as_slice() {
                ["head"] => take_value(&mut self.head, revision, value, |h: &Head| h.v),
                ["t", n] => n.parse().ok().filter(|n| *n < CHUNKS).is_some_and(|n| {
                    take_entry(&mut self.chunks, n, revision, value, |c: &Chunk| c.v)
                }),
                ["h", version, part] => {
                    let key = version.parse().ok().zip(part.parse().ok());
                    key.is_some_and(|key| {
                        take_entry(&mut self.records, key, revision, value, |r: &RecordPart| {
                            r.v
                        })
                    })
                }
                ["m", label] => take_entry(
                    &mut self.members,
                    label.to_string(),
                    revision,
                    value,
                    |m: &Member| m.v,
                ),
                // Something of a newer program beside what we know.
                _ => true,
            };
        if !known {
            tracing::error!("{} has a form that this program does not know", change.path);
            self.unreadable = true;
        }
    }

    /// Puts the parts together, if they are of one moment.
    fn settle(&mut self) {
        let head = self
            .head
            .as_ref()
            .map_or(Revision(0), |(revision, _)| *revision);
        let newest = self
            .chunks
            .values()
            .map(|(revision, _)| *revision)
            .max()
            .unwrap_or(Revision(0));
        if newest > head && !self.half_applied {
            return;
        }
        let mut records: BTreeMap<Version, Record> = BTreeMap::new();
        for ((version, _), (_, part)) in &self.records {
            let there = self
                .records
                .range((*version, 0)..=(*version, u32::MAX))
                .count();
            if there == part.parts as usize {
                let author = part.author.clone();
                let fresh = || Record {
                    author,
                    before: BTreeMap::new(),
                };
                let record = records.entry(Version(*version)).or_insert_with(fresh);
                record.before.extend(part.before.clone());
            }
        }
        self.snapshot = Snapshot {
            head: self.head.as_ref().map(|(_, head)| head.clone()),
            overlay: self
                .chunks
                .values()
                .flat_map(|(_, c)| c.teams.clone())
                .collect(),
            records,
        };
        let version = self.snapshot.version();
        let teams = self.snapshot.effective(&self.base);
        let effective = Effective { version, teams };
        if *self.effective != effective {
            tracing::info!("configuration version {version} counts here");
            self.effective = Rc::new(effective);
            self.changed = true;
        }
    }

    /// Which controllers serve by the newest version.
    pub fn in_force(&self) -> InForce {
        let version = self.snapshot.version();
        let serves = |label: &String| self.members.get(label).map(|(_, member)| member);
        let mut behind: Vec<(String, Option<Version>)> = self
            .labels
            .iter()
            .filter(|label| serves(label).is_none_or(|m| m.version < version))
            .map(|label| (label.clone(), serves(label).map(|m| m.version)))
            .collect();
        behind.sort();
        let since = self.labels.iter().filter_map(serves).map(|m| m.at_ms).max();
        InForce {
            version,
            author: self.snapshot.head.as_ref().map(|h| h.author.clone()),
            everywhere_since_ms: since.filter(|_| behind.is_empty()),
            behind,
            unknown_fields: self
                .snapshot
                .head
                .as_ref()
                .map(|h| h.unknown.keys().cloned().collect())
                .unwrap_or_default(),
        }
    }
}

/// Takes a value if it is newer; false where its form is not known.
fn take_value<T: for<'a> Deserialize<'a>>(
    kept: &mut Option<(Revision, T)>,
    revision: Revision,
    value: Option<&ciborium::Value>,
    form: impl Fn(&T) -> u32,
) -> bool {
    // A reply that overtook another must not take us back.
    if kept.as_ref().is_some_and(|(known, _)| *known >= revision) {
        return true;
    }
    let Some(value) = value else {
        *kept = None;
        return true;
    };
    match wire::from_value::<T>(value) {
        Ok(read) if form(&read) == FORM => {
            *kept = Some((revision, read));
            true
        }
        _ => false,
    }
}

fn take_entry<K: Ord, T: for<'a> Deserialize<'a>>(
    kept: &mut BTreeMap<K, (Revision, T)>,
    key: K,
    revision: Revision,
    value: Option<&ciborium::Value>,
    form: impl Fn(&T) -> u32,
) -> bool {
    let mut entry = kept.remove(&key);
    let known = take_value(&mut entry, revision, value, form);
    if let Some(entry) = entry {
        kept.insert(key, entry);
    }
    known
}

#[cfg(test)]
mod tests;
