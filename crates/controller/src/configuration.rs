//! Teams and quotas that operators change while the service runs, stored under `c/`.
//!
//! Each controller holds a replica of the stored configuration and derives from it the teams
//! that are in effect. It also keeps a key of its own, attached to its lease, that names the
//! version it serves by.
//!
//! Invariants:
//! - The replica takes effect version by version, never a part of one
//!   ([`stored_copy`]).
//! - A change is conditional on the head and on the keys of all controllers, so it is made only
//!   while each of them follows the configuration; it is in force everywhere once each of those
//!   keys names its version ([`Rollout`]).

mod stored_copy;

use crate::calls::{ReplicaCall, Tag};
use crate::pending_changes::{PendingChange, PendingChanges};
use crate::replica::{Freshness, ReplicaCache, ReplicaConfig};
use crate::replica_scan::ScanCoverage;
use crate::store::{CommitResponse, Outcome, Priority, Reply, StoreClient};
use beamhinge_configuration::plan::guarantees_above;
use beamhinge_configuration::stored::{Author, Snapshot, FORMAT_VERSION};
use beamhinge_configuration::{ChangeError, ConfigurationChange, EffectiveTeam, Version};
use beamhinge_core::settings::{Settings, Team};
use beamhinge_core::types::{RequestId, Time, WallMs};
use beamhinge_core::{types::Revision, wire};
use std::rc::Rc;
use stored_copy::{member_key, revision_of, Member, StoredCopy};

/// Prefix of the stored configuration in the key-value store.
pub const PREFIX: &str = "c/";
/// The key that every change of the configuration writes.
pub const HEAD: &str = "c/head";
/// Shortest time between two writes of this controller's own key, seconds.
const MIN_REGISTER_INTERVAL_S: f64 = 1.0;
/// Age at which the replica is read again unasked, seconds.
const STALE_S: f64 = 3.0;
/// A leader whose replica is older than this starts no task, seconds: with the time that a
/// start takes, a limit is in force within the eleven seconds that operators require.
const MAX_START_STALENESS_S: f64 = 7.0;

/// The answer to the author of a change.
#[derive(Debug, PartialEq)]
pub enum ChangeResponse {
    /// The change is stored as this version.
    Applied {
        /// The version that the change made.
        version: Version,
        /// What the author should know of it.
        warning: Option<String>,
    },
    /// The change is not valid, or not by the version that is in force.
    Refused(ChangeError),
    /// Not decided in time; the reason.
    Busy(String),
}

/// Which controllers serve by the newest version.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The newest version.
    pub version: Version,
    /// Who made it; `None` before the first change.
    pub author: Option<Author>,
    /// Since when all controllers serve by it, milliseconds of the time of day; `None`: not
    /// all do.
    pub everywhere_since_ms: Option<u64>,
    /// Controllers that do not, and the version they serve by as far as known.
    pub behind: Vec<(String, Option<Version>)>,
    /// Fields that a newer program stored.
    pub unknown_fields: Vec<String>,
}

/// The teams in effect, and the version they are from.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveTeams {
    /// The version of the stored configuration; 0: the settings alone.
    pub version: Version,
    /// All teams, removed ones included.
    pub teams: Vec<EffectiveTeam>,
}

impl EffectiveTeams {
    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&EffectiveTeam> {
        self.teams.iter().find(|team| team.name == name)
    }
}

/// A change that an operator requested.
struct RequestedChange {
    change: ConfigurationChange,
    /// Name of the operator's key.
    by: String,
    /// CPUs of the fleet as the leader knows them; `None` on other controllers.
    fleet_cpus: Option<f64>,
}

/// Replica of the stored configuration, and the changes to it that are under way.
pub struct Configuration {
    enabled: bool,
    label: String,
    /// Identifies this process.
    nonce: u64,
    /// Teams of the settings, over which the stored overlay lies.
    base: Vec<Team>,
    /// All controllers of the settings.
    labels: Vec<String>,
    replica: ReplicaCache,
    stored: StoredCopy,
    scan: ScanCoverage<String>,
    snapshot: Snapshot,
    effective: Rc<EffectiveTeams>,
    changed: bool,
    pending: PendingChanges<RequestedChange>,
    registering: bool,
    registered_at: Time,
    /// Fault injected by tests: chunks take effect without their head.
    pub configuration_partly_applied: bool,
}

impl Configuration {
    /// `enabled`: whether operators may change it at all (`[configuration] on`).
    pub fn new(settings: &Settings, enabled: bool, nonce: u64) -> Configuration {
        let base = settings.params.teams.clone();
        let others = settings.members.iter().map(|m| m.label.clone());
        let teams = Snapshot::default().effective(&base);
        Configuration {
            enabled,
            label: settings.label.clone(),
            nonce,
            base,
            labels: others.chain([settings.label.clone()]).collect(),
            replica: ReplicaCache::new(ReplicaConfig {
                prefix: PREFIX,
                tag: Tag::Configuration,
                watch_wait_s: 10.0,
                watch_priority: Priority::Read,
                max_age_s: STALE_S,
            }),
            stored: StoredCopy::default(),
            scan: ScanCoverage::default(),
            snapshot: Snapshot::default(),
            effective: Rc::new(EffectiveTeams {
                version: Version(0),
                teams,
            }),
            changed: false,
            pending: PendingChanges::default(),
            registering: false,
            registered_at: Time::default(),
            configuration_partly_applied: false,
        }
    }

    /// Whether operators may change the configuration.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// The teams in effect.
    pub fn effective(&self) -> &Rc<EffectiveTeams> {
        &self.effective
    }

    /// Whether decisions may depend on the teams: all that is stored was read and understood.
    pub fn is_ready(&self) -> bool {
        !self.enabled || self.replica.loaded() && !self.stored.unreadable
    }

    /// The replica holds all that was committed before this moment.
    pub fn fresh_as_of(&self) -> Option<Time> {
        self.replica
            .fresh_as_of()
            .filter(|_| !self.stored.unreadable)
    }

    /// Has the replica read again soon.
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// The key and revision that placements are conditional on, so that none that was decided
    /// by an older version commits. `None` where the configuration is not enabled.
    pub fn condition(&self) -> Option<(&'static str, Revision)> {
        self.enabled.then(|| (HEAD, self.stored.head_revision()))
    }

    /// Until when a leader may start tasks; `None`: not limited by the configuration.
    pub fn starts_allowed_until(&self) -> Option<Time> {
        if !self.enabled || !self.stored.has_head() {
            return None;
        }
        let fresh = self.fresh_as_of();
        Some(fresh.map_or(Time::default(), |at| at.plus(MAX_START_STALENESS_S)))
    }

    /// Whether the teams in effect differ from those at the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Queues a change; `false` when too many are pending.
    #[must_use]
    pub fn change(
        &mut self,
        now: Time,
        request: RequestId,
        change: ConfigurationChange,
        by: String,
        fleet_cpus: Option<f64>,
    ) -> bool {
        let change = RequestedChange {
            change,
            by,
            fleet_cpus,
        };
        self.pending.push(now, request, change)
    }

    /// Reconciles this controller's own key, decides on pending changes and keeps the replica
    /// fresh. `query_waits`: a query of an operator needs a replica that is newer than itself.
    /// `lease_id`: the lease that this controller's own key is attached to.
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        (query_waits, lease_id): (bool, Option<u64>),
        store: &mut StoreClient<Tag>,
        responses: &mut Vec<(RequestId, ChangeResponse)>,
    ) {
        if !self.enabled {
            return;
        }
        self.register(now, wall, lease_id, store);
        self.advance_changes(now, wall, store, responses);
        let change_waits = self.pending.any(|pending| !pending.in_flight);
        self.replica
            .tick(now, query_waits || change_waits, true, store);
    }

    /// Writes this controller's own key if it does not name this process and the version that
    /// it serves by.
    fn register(
        &mut self,
        now: Time,
        wall: WallMs,
        lease_id: Option<u64>,
        store: &mut StoreClient<Tag>,
    ) {
        let readable = self.replica.loaded() && !self.stored.unreadable;
        let Some(lease_id) = lease_id.filter(|_| readable) else {
            return;
        };
        if self.registering || now.since(self.registered_at) < MIN_REGISTER_INTERVAL_S {
            return;
        }
        let version = self.effective.version;
        let own = self.stored.members.get(&self.label);
        if own.is_some_and(|(_, m)| m.nonce == self.nonce && m.version == version) {
            return;
        }
        let member = Member {
            v: FORMAT_VERSION,
            version,
            nonce: self.nonce,
            at_ms: wall.0,
        };
        let key = member_key(&self.label);
        let value = wire::to_value(&member);
        let mut transaction = store.transaction();
        let written = transaction.put(key, revision_of(own), value, Some(lease_id));
        if written.is_ok() {
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

    /// The key-value store replied to the write of this controller's own key. Whether it was
    /// written is read from the replica.
    pub fn on_registered(&mut self) {
        self.registering = false;
        self.replica.request_refresh();
    }

    /// Decides on pending changes, one at a time: each depends on the version that the one
    /// before it made.
    fn advance_changes(
        &mut self,
        now: Time,
        wall: WallMs,
        store: &mut StoreClient<Tag>,
        responses: &mut Vec<(RequestId, ChangeResponse)>,
    ) {
        if self.pending.any(|pending| pending.in_flight) {
            return;
        }
        let fresh = self.fresh_as_of();
        let mut one_in_flight = false;
        let mut queue = std::mem::take(&mut self.pending);
        responses.extend(queue.advance(|pending| {
            if one_in_flight || !pending.is_decidable(fresh) {
                let reason = "the state service does not answer, or other changes go first";
                return pending
                    .is_late(now)
                    .then(|| ChangeResponse::Busy(reason.into()));
            }
            let response = self.decide(now, wall, pending, store);
            one_in_flight = pending.in_flight;
            response
        }));
        self.pending = queue;
    }

    /// Sends the transaction of a change, or answers it; `None`: the transaction is in flight.
    fn decide(
        &self,
        now: Time,
        wall: WallMs,
        pending: &mut PendingChange<RequestedChange>,
        store: &mut StoreClient<Tag>,
    ) -> Option<ChangeResponse> {
        let id = self.change_id(pending.serial);
        let requested = &pending.change;
        // Where the reply to an earlier transaction was lost, the change is stored under its id.
        let mut records = self.snapshot.records.iter();
        if let Some((version, _)) = records.find(|(_, record)| record.author.id == id) {
            return Some(ChangeResponse::Applied {
                version: *version,
                warning: self.warning(requested),
            });
        }
        if pending.is_late(now) {
            let reason = "others change it at the same time";
            return Some(ChangeResponse::Busy(reason.into()));
        }
        if let Some(absent) = self.absent_controllers() {
            return Some(ChangeResponse::Busy(format!(
                "{absent} is not there, or does not know of configuration: \
                 all controllers must, so that a change is in force everywhere"
            )));
        }
        let author = Author {
            id,
            at_ms: wall.0,
            by: requested.by.clone(),
            why: requested.change.why.clone(),
            restores: None,
        };
        let plan = match requested.change.plan(&self.snapshot, &self.base, author) {
            Ok(plan) => plan,
            Err(error) => return Some(ChangeResponse::Refused(error)),
        };
        let transaction = store.unpaced_transaction();
        match self.stored.transaction(&plan, &self.labels, transaction) {
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
            Err(error) => {
                tracing::warn!(%error, "configuration change does not fit into a transaction");
                Some(ChangeResponse::Refused(ChangeError::InvalidQuota {
                    team: "all".into(),
                    problem: format!(
                        "the state service takes no change so large ({error}): make two"
                    ),
                }))
            }
        }
    }

    /// The id under which a change is stored.
    fn change_id(&self, serial: u64) -> String {
        format!("{:x}-{serial}", self.nonce)
    }

    /// Labels of the controllers whose keys are missing, for a message; `None`: all are there.
    fn absent_controllers(&self) -> Option<String> {
        let absent: Vec<&str> = self
            .labels
            .iter()
            .filter(|label| !self.stored.members.contains_key(*label))
            .map(String::as_str)
            .collect();
        (!absent.is_empty()).then(|| absent.join(", "))
    }

    /// Warns of guarantees above what the fleet has.
    fn warning(&self, requested: &RequestedChange) -> Option<String> {
        let fleet_cpus = requested.fleet_cpus?;
        let above = guarantees_above(&self.effective.teams, fleet_cpus)?;
        Some(format!(
            "{above} CPUs are guaranteed in all, and the fleet has {fleet_cpus}"
        ))
    }

    /// The key-value store replied to the transaction of a change.
    pub fn on_changed(
        &mut self,
        now: Time,
        serial: u64,
        reply: Reply<Tag>,
        responses: &mut Vec<(RequestId, ChangeResponse)>,
    ) {
        let Some(pending) = self.pending.get(serial) else {
            return;
        };
        self.replica.request_refresh();
        let busy = |reason: &str| Some(ChangeResponse::Busy(reason.into()));
        let response = match reply.outcome {
            Outcome::Ok(body) if wire::decode::<CommitResponse>(&body).is_ok() => {
                Some(ChangeResponse::Applied {
                    version: pending.change.change.seen.next(),
                    warning: self.warning(&pending.change),
                })
            }
            Outcome::Refused => busy("the state service takes nothing just now"),
            Outcome::Malformed => busy("the state service calls it malformed"),
            // Another change was first, a controller is gone, or the reply was lost: what is
            // stored decides, once it is read again.
            _ => None,
        };
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
            self.scan.record(call, || change.key.clone());
            self.stored.apply(&change);
        }
        if let Some(scan) = self
            .scan
            .finish(call, update.scan_revision, update.freshness)
        {
            self.stored.retain_scanned(&scan);
        }
        self.refresh_effective();
        update.freshness
    }

    /// Derives the teams in effect from the stored keys, if these are of one version.
    fn refresh_effective(&mut self) {
        if self.stored.is_torn() && !self.configuration_partly_applied {
            return;
        }
        self.snapshot = self.stored.snapshot();
        let version = self.snapshot.version();
        let teams = self.snapshot.effective(&self.base);
        let effective = EffectiveTeams { version, teams };
        if *self.effective != effective {
            tracing::info!(%version, "applied configuration");
            self.effective = Rc::new(effective);
            self.changed = true;
        }
    }

    /// Which controllers serve by the newest version.
    pub fn rollout(&self) -> Rollout {
        let version = self.snapshot.version();
        let member = |label: &String| self.stored.members.get(label).map(|(_, member)| member);
        let mut behind: Vec<(String, Option<Version>)> = self
            .labels
            .iter()
            .filter(|label| member(label).is_none_or(|m| m.version < version))
            .map(|label| (label.clone(), member(label).map(|m| m.version)))
            .collect();
        behind.sort();
        let since = self.labels.iter().filter_map(member).map(|m| m.at_ms).max();
        let head = self.snapshot.head.as_ref();
        Rollout {
            version,
            author: head.map(|head| head.author.clone()),
            everywhere_since_ms: since.filter(|_| behind.is_empty()),
            behind,
            unknown_fields: head
                .map(|head| head.unknown.keys().cloned().collect())
                .unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests;
