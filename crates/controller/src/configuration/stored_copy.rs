//! The keys of the stored configuration as this controller has read them.
//!
//! Invariant: a [`Snapshot`] is built only from keys of one version. Every configuration change
//! writes the head, so a chunk newer than the head belongs to a change of which the head has not
//! been read yet.

use super::{HEAD, PREFIX};
use beamhinge_configuration::stored::{
    Chunk, Head, Record, RecordPart, Snapshot, CHUNKS, FORMAT_VERSION,
};
use beamhinge_configuration::{ChangePlan, Version};
use beamhinge_core::types::Revision;
use beamhinge_core::wire;
use beamhinge_rate_limit::{Transaction, TransactionError};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::replica;
use crate::replica_scan::CompletedScan;

/// Value of a member key: the version that a controller applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Member {
    pub(super) v: u32,
    pub(super) version: Version,
    /// Distinguishes the process from earlier ones with the same label.
    pub(super) nonce: u64,
    /// Wall-clock time at which the controller started to apply the version, milliseconds.
    pub(super) at_ms: u64,
}

/// Key of a chunk of the overlay.
pub(super) fn chunk_key(chunk: usize) -> String {
    format!("{PREFIX}t/{chunk}")
}

/// Key of one part of the record of a version.
pub(super) fn record_key(version: u64, part: u32) -> String {
    format!("{PREFIX}h/{version}/{part}")
}

/// Member key of a controller.
pub(super) fn member_key(label: &str) -> String {
    format!("{PREFIX}m/{label}")
}

/// All keys under [`PREFIX`], each with its revision.
#[derive(Default)]
pub(super) struct StoredCopy {
    head: Option<(Revision, Head)>,
    chunks: BTreeMap<usize, (Revision, Chunk)>,
    /// Parts of records, by version and part number.
    records: BTreeMap<(u64, u32), (Revision, RecordPart)>,
    pub(super) members: BTreeMap<String, (Revision, Member)>,
    /// Whether some value has a format unknown to this program; no decision is then based on the
    /// configuration.
    pub(super) unreadable: bool,
}

impl StoredCopy {
    /// Revision of the head; 0 before the first change.
    pub(super) fn head_revision(&self) -> Revision {
        revision_of(self.head.as_ref())
    }

    /// Whether a head has been read, which means that the configuration was changed at least once.
    pub(super) fn has_head(&self) -> bool {
        self.head.is_some()
    }

    /// Applies a changed key that a reply reported.
    pub(super) fn apply(&mut self, change: &replica::ReplicaChange) {
        let Some(rest) = change.key.strip_prefix(PREFIX) else {
            return;
        };
        let revision = Revision(change.revision);
        let value = change.value.as_ref();
        let parts: Vec<&str> = rest.split('/').collect();
        let known = match parts.as_slice() {
            ["head"] => apply_value(&mut self.head, revision, value, |head| head.v),
            ["t", chunk] => {
                let chunk = chunk.parse().ok().filter(|chunk| *chunk < CHUNKS);
                chunk.is_some_and(|chunk| {
                    apply_entry(&mut self.chunks, chunk, revision, value, |c| c.v)
                })
            }
            ["h", version, part] => {
                let key = version.parse().ok().zip(part.parse().ok());
                key.is_some_and(|key| {
                    apply_entry(&mut self.records, key, revision, value, |part| part.v)
                })
            }
            ["m", label] => {
                let label = (*label).to_string();
                apply_entry(&mut self.members, label, revision, value, |m| m.v)
            }
            // A kind of key that only a newer program version knows is ignored.
            _ => true,
        };
        if !known {
            tracing::error!(
                key = change.key,
                "stored configuration has an unknown format"
            );
            self.unreadable = true;
        }
    }

    /// Removes the keys that a completed scan has shown to be deleted.
    pub(super) fn retain_scanned(&mut self, scan: &CompletedScan<String>) {
        self.chunks
            .retain(|chunk, (revision, _)| scan.confirms(&chunk_key(*chunk), *revision));
        self.records.retain(|(version, part), (revision, _)| {
            scan.confirms(&record_key(*version, *part), *revision)
        });
        self.members
            .retain(|label, (revision, _)| scan.confirms(&member_key(label), *revision));
    }

    /// Whether a chunk is newer than the head, which means that a change has been read only in
    /// part.
    pub(super) fn has_partial_change(&self) -> bool {
        let newest_chunk = self.chunks.values().map(|(revision, _)| *revision).max();
        newest_chunk.unwrap_or(Revision(0)) > self.head_revision()
    }

    /// The configuration that the keys represent.
    pub(super) fn snapshot(&self) -> Snapshot {
        let overlay = self
            .chunks
            .values()
            .flat_map(|(_, chunk)| chunk.teams.clone());
        Snapshot {
            head: self.head.as_ref().map(|(_, head)| head.clone()),
            overlay: overlay.collect(),
            records: self.complete_records(),
        }
    }

    /// The records of which all parts have been read.
    fn complete_records(&self) -> BTreeMap<Version, Record> {
        let mut records: BTreeMap<Version, Record> = BTreeMap::new();
        for ((version, _), (_, part)) in &self.records {
            if self.record_parts(*version).count() != part.parts as usize {
                continue;
            }
            let record = records.entry(Version(*version)).or_insert_with(|| Record {
                author: part.author.clone(),
                before: BTreeMap::new(),
            });
            record.before.extend(part.before.clone());
        }
        records
    }

    /// The parts of one version's record that have been read: part number and revision.
    fn record_parts(&self, version: u64) -> impl Iterator<Item = (u32, Revision)> + '_ {
        self.records
            .range((version, 0)..=(version, u32::MAX))
            .map(|((_, part), (revision, _))| (*part, *revision))
    }

    /// Fills in the transaction of a configuration change. Every write is conditional on the
    /// revision that was read. The transaction also requires that the member keys of all
    /// controllers (`labels`) are unchanged, since every controller must still follow the
    /// configuration.
    ///
    /// # Errors
    /// Returns an error if the change does not fit into one transaction.
    pub(super) fn transaction(
        &self,
        plan: &ChangePlan,
        labels: &[String],
        mut transaction: Transaction,
    ) -> Result<Transaction, TransactionError> {
        let head = wire::to_value(&plan.head);
        transaction.put(HEAD, self.head_revision(), head, None)?;
        for label in labels {
            let revision = revision_of(self.members.get(label));
            transaction.require(member_key(label), revision)?;
        }
        for (number, chunk) in &plan.chunks {
            let revision = revision_of(self.chunks.get(number));
            transaction.put(chunk_key(*number), revision, wire::to_value(chunk), None)?;
        }
        let version = plan.head.version.0;
        for (part, record) in plan.record.iter().enumerate() {
            let key = record_key(version, part as u32);
            transaction.put(key, Revision(0), wire::to_value(record), None)?;
        }
        if let Some(expired) = plan.expired {
            for (part, revision) in self.record_parts(expired.0) {
                transaction.delete(record_key(expired.0, part), revision)?;
            }
        }
        Ok(transaction)
    }
}

/// Revision of a key as it was read; 0 if the key does not exist.
pub(super) fn revision_of<T>(stored: Option<&(Revision, T)>) -> Revision {
    stored.map_or(Revision(0), |(revision, _)| *revision)
}

/// Stores a value if it is newer than the known one. Returns `false` if its format is unknown.
fn apply_value<T: for<'a> Deserialize<'a>>(
    stored: &mut Option<(Revision, T)>,
    revision: Revision,
    value: Option<&Value>,
    format_version: impl Fn(&T) -> u32,
) -> bool {
    // Replies can arrive out of order: an older value must not replace a newer one.
    if stored.as_ref().is_some_and(|(known, _)| *known >= revision) {
        return true;
    }
    let Some(value) = value else {
        *stored = None;
        return true;
    };
    match wire::from_value::<T>(value) {
        Ok(read) if format_version(&read) == FORMAT_VERSION => {
            *stored = Some((revision, read));
            true
        }
        _ => false,
    }
}

/// Like [`apply_value`], for an entry of a map.
fn apply_entry<K: Ord, T: for<'a> Deserialize<'a>>(
    stored: &mut BTreeMap<K, (Revision, T)>,
    key: K,
    revision: Revision,
    value: Option<&Value>,
    format_version: impl Fn(&T) -> u32,
) -> bool {
    let mut entry = stored.remove(&key);
    let known = apply_value(&mut entry, revision, value, format_version);
    if let Some(entry) = entry {
        stored.insert(key, entry);
    }
    known
}
