//! Teams and quotas that operators change while the service runs, stored under `c/`.
//!
//! Each controller holds a replica of the stored configuration and derives from it the teams that
//! are in effect. It also registers the version that it applies under its member key, which is
//! attached to its session lease.
//!
//! Invariants:
//! - A version takes effect as a whole, never in part ([`stored_copy`]).
//! - A configuration change is conditional on the head and on the member keys of all controllers,
//!   so it commits only while every controller follows the configuration. It is in force everywhere
//!   once every member key names its version ([`Rollout`]).

mod stored_copy;

use crate::calls::{ReplicaCall, Tag};
use crate::pending_changes::{PendingChange, PendingChanges};
use crate::replica::{Freshness, ReplicaCache, ReplicaConfig};
use crate::replica_scan::ScanCoverage;
use crate::store::{CommitResponse, Outcome, Priority, Reply, StoreClient};
use beamhinge_configuration::plan::guaranteed_cpus_above_fleet;
use beamhinge_configuration::stored::{Author, Snapshot, FORMAT_VERSION};
use beamhinge_configuration::{ChangeError, ConfigurationChange, EffectiveTeam, Version};
use beamhinge_core::settings::{Settings, Team};
use beamhinge_core::types::{RequestId, Time, WallMs};
use beamhinge_core::{types::Revision, wire};
use std::rc::Rc;
use stored_copy::{member_key, revision_of, Member, StoredCopy};

/// Prefix of the stored configuration in the key-value store.
pub const PREFIX: &str = "c/";
/// Key of the head, which every configuration change writes.
pub const HEAD: &str = "c/head";
/// Minimum interval between writes of this controller's member key, seconds.
const MIN_REGISTER_INTERVAL_S: f64 = 1.0;
/// Age at which the replica is refreshed even if nothing waits for it, seconds.
const STALE_S: f64 = 3.0;
/// Maximum age of the replica with which a leader starts tasks, seconds. Together with the time
/// that a start takes, a changed limit is in force within the eleven seconds that operators
/// require.
const MAX_START_STALENESS_S: f64 = 7.0;

/// The response to the operator who requested a configuration change.
#[derive(Debug, PartialEq)]
pub enum ChangeResponse {
    /// The change is stored as this version.
    Applied {
        /// The version created by the change.
        version: Version,
        /// A warning for the operator; `None` if there is none.
        warning: Option<String>,
    },
    /// The change is invalid, by itself or against the version in force.
    Refused(ChangeError),
    /// The change was not decided in time, for this reason.
    Busy(String),
}

/// Progress of the newest version: which controllers apply it.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The newest version.
    pub version: Version,
    /// Author of the newest version; `None` before the first change.
    pub author: Option<Author>,
    /// Time since which all controllers apply the newest version, milliseconds of the wall clock;
    /// `None` if some do not.
    pub everywhere_since_ms: Option<u64>,
    /// Controllers that do not apply the newest version, each with the version that it applies;
    /// `None` if that is unknown.
    pub behind: Vec<(String, Option<Version>)>,
    /// Names of stored fields that only a newer program version knows.
    pub unknown_fields: Vec<String>,
}

/// The teams in effect, and the version from which they are derived.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveTeams {
    /// Version of the stored configuration; 0 if only the settings apply.
    pub version: Version,
    /// All teams, including removed ones.
    pub teams: Vec<EffectiveTeam>,
}

impl EffectiveTeams {
    /// The team with this name, or `None`.
    pub fn team(&self, name: &str) -> Option<&EffectiveTeam> {
        self.teams.iter().find(|team| team.name == name)
    }
}

/// A change that an operator requested.
struct RequestedChange {
    change: ConfigurationChange,
    /// Name of the operator's key.
    by: String,
    /// CPUs of the reachable machines; `None` if this controller is not the leader or has not
    /// loaded its state yet.
    fleet_cpus: Option<f64>,
}

/// Replica of the stored configuration, and the pending changes to it.
pub struct Configuration {
    enabled: bool,
    label: String,
    /// Distinguishes this process from earlier ones with the same label.
    nonce: u64,
    /// Teams of the settings file, to which the stored overlay is applied.
    settings_teams: Vec<Team>,
    /// Labels of all controllers in the settings file.
    controller_labels: Vec<String>,
    replica: ReplicaCache,
    stored: StoredCopy,
    scan: ScanCoverage<String>,
    snapshot: Snapshot,
    effective: Rc<EffectiveTeams>,
    changed: bool,
    pending: PendingChanges<RequestedChange>,
    registration_in_flight: bool,
    registered_at: Time,
    /// Injected fault: chunks take effect before their head is read.
    pub configuration_partly_applied: bool,
}

impl Configuration {
    /// Creates an empty replica. `enabled`: whether operators may change the configuration
    /// (`[configuration] on`).
    pub fn new(settings: &Settings, enabled: bool, nonce: u64) -> Configuration {
        let settings_teams = settings.params.teams.clone();
        let others = settings.members.iter().map(|m| m.label.clone());
        let teams = Snapshot::default().effective(&settings_teams);
        Configuration {
            enabled,
            label: settings.label.clone(),
            nonce,
            settings_teams,
            controller_labels: others.chain([settings.label.clone()]).collect(),
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
            registration_in_flight: false,
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

    /// Whether the teams can be used for decisions: the whole stored configuration has been read,
    /// and all of it has a known format.
    pub fn is_ready(&self) -> bool {
        !self.enabled || self.replica.loaded() && !self.stored.unreadable
    }

    /// Time as of which the replica is up to date: it includes everything committed before. `None`
    /// if the replica is not loaded or a stored value has an unknown format.
    pub fn fresh_as_of(&self) -> Option<Time> {
        self.replica
            .fresh_as_of()
            .filter(|_| !self.stored.unreadable)
    }

    /// Requests an early refresh of the replica.
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// The key and revision on which placements are conditional, so that a placement decided with
    /// an older version does not commit. `None` if the configuration is not enabled.
    pub fn condition(&self) -> Option<(&'static str, Revision)> {
        self.enabled.then(|| (HEAD, self.stored.head_revision()))
    }

    /// Time until which a leader may start tasks; `None` if the configuration sets no limit,
    /// because it is not enabled or was never changed.
    pub fn starts_allowed_until(&self) -> Option<Time> {
        if !self.enabled || !self.stored.has_head() {
            return None;
        }
        let fresh = self.fresh_as_of();
        Some(fresh.map_or(Time::default(), |at| at.plus(MAX_START_STALENESS_S)))
    }

    /// Whether the teams in effect have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Queues a configuration change; returns `false` if too many are pending.
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

    /// Updates this controller's member key, advances pending changes and refreshes the replica.
    /// `query_waits`: whether an operator's query waits for a replica that is newer than the query.
    /// `lease_id`: the session lease to which the member key is attached.
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

    /// Writes this controller's member key if it does not name this process and the version that
    /// the process applies.
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
        if self.registration_in_flight || now.since(self.registered_at) < MIN_REGISTER_INTERVAL_S {
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
            self.registration_in_flight = true;
            self.registered_at = now;
            store.commit(
                now,
                Priority::Background,
                Tag::ConfigurationMember,
                transaction,
            );
        }
    }

    /// Handles the reply to the write of this controller's member key. Whether the write succeeded
    /// is read from the replica.
    pub fn on_registered(&mut self) {
        self.registration_in_flight = false;
        self.replica.request_refresh();
    }

    /// Advances pending changes, one transaction at a time, since each change depends on the
    /// version created by the previous one.
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
                    .has_timed_out(now)
                    .then(|| ChangeResponse::Busy(reason.into()));
            }
            let response = self.decide(now, wall, pending, store);
            one_in_flight = pending.in_flight;
            response
        }));
        self.pending = queue;
    }

    /// Decides a pending change: returns its response, or sends its transaction and returns `None`.
    fn decide(
        &self,
        now: Time,
        wall: WallMs,
        pending: &mut PendingChange<RequestedChange>,
        store: &mut StoreClient<Tag>,
    ) -> Option<ChangeResponse> {
        let id = self.change_id(pending.serial);
        let requested = &pending.change;
        // If the reply to an earlier transaction was lost, the change may already be stored, under
        // its id.
        let mut records = self.snapshot.records.iter();
        if let Some((version, _)) = records.find(|(_, record)| record.author.id == id) {
            return Some(ChangeResponse::Applied {
                version: *version,
                warning: self.warning(requested),
            });
        }
        if pending.has_timed_out(now) {
            let reason = "others change it at the same time";
            return Some(ChangeResponse::Busy(reason.into()));
        }
        if let Some(absent) = self.unregistered_controllers() {
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
        let plan = match requested
            .change
            .plan(&self.snapshot, &self.settings_teams, author)
        {
            Ok(plan) => plan,
            Err(error) => return Some(ChangeResponse::Refused(error)),
        };
        let transaction = store.unpaced_transaction();
        match self
            .stored
            .transaction(&plan, &self.controller_labels, transaction)
        {
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

    /// Labels of the controllers without a member key, joined for a message; `None` if all have
    /// one.
    fn unregistered_controllers(&self) -> Option<String> {
        let absent: Vec<&str> = self
            .controller_labels
            .iter()
            .filter(|label| !self.stored.members.contains_key(*label))
            .map(String::as_str)
            .collect();
        (!absent.is_empty()).then(|| absent.join(", "))
    }

    /// A warning if the guarantees of all teams exceed the CPUs of the fleet; `None` otherwise.
    fn warning(&self, requested: &RequestedChange) -> Option<String> {
        let fleet_cpus = requested.fleet_cpus?;
        let above = guaranteed_cpus_above_fleet(&self.effective.teams, fleet_cpus)?;
        Some(format!(
            "{above} CPUs are guaranteed in all, and the fleet has {fleet_cpus}"
        ))
    }

    /// Handles the key-value store's reply to the transaction of a change.
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
            // Another change came first, a member key was removed, or the reply was lost. The
            // outcome is decided by the stored state once it has been read again.
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

    /// Applies the reply to a scan or watch to the replica.
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

    /// Derives the teams in effect from the stored keys, if all of these belong to one version.
    fn refresh_effective(&mut self) {
        if self.stored.has_partial_change() && !self.configuration_partly_applied {
            return;
        }
        self.snapshot = self.stored.snapshot();
        let version = self.snapshot.version();
        let teams = self.snapshot.effective(&self.settings_teams);
        let effective = EffectiveTeams { version, teams };
        if *self.effective != effective {
            tracing::info!(%version, "configuration version applied");
            self.effective = Rc::new(effective);
            self.changed = true;
        }
    }

    /// Returns which controllers apply the newest version.
    pub fn rollout(&self) -> Rollout {
        let version = self.snapshot.version();
        let member = |label: &String| self.stored.members.get(label).map(|(_, member)| member);
        let mut behind: Vec<(String, Option<Version>)> = self
            .controller_labels
            .iter()
            .filter(|label| member(label).is_none_or(|m| m.version < version))
            .map(|label| (label.clone(), member(label).map(|m| m.version)))
            .collect();
        behind.sort();
        let since = self
            .controller_labels
            .iter()
            .filter_map(member)
            .map(|m| m.at_ms)
            .max();
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
