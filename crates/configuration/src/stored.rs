//! The format of the configuration in the key-value store.
//!
//! `c/head` holds the current version. Every change writes it, so its revision changes whenever any
//! part of the configuration does. `c/t/N` are the chunks of the overlay. `c/h/VERSION/PART` record
//! the author of a version, the reason for it, and the former state of the changed teams. Field
//! names are part of the stored format.

use crate::quota::{EffectiveTeam, Quota};
use beamhinge_core::settings;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the stored format.
pub const FORMAT_VERSION: u32 = 1;
/// Number of chunks of the overlay. A hash of its name determines the chunk of a team; a value of
/// 8 KB holds about 150 teams.
pub const CHUNKS: usize = 8;
/// Number of versions whose records are retained for restoration.
pub const MAX_RETAINED_VERSIONS: usize = 16;

/// A version of the configuration: the number of changes made so far. At 0 the settings apply
/// without an overlay.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version that the next change creates.
    #[must_use]
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The author of a version, the time and the reason.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Author {
    /// Identifies the change, so that the controller recognizes it as committed if the reply to its
    /// transaction was lost.
    pub id: String,
    /// Wall-clock time of the change, milliseconds.
    pub at_ms: u64,
    /// Name of the operator's key.
    pub by: String,
    /// The reason that the operator gave.
    pub why: String,
    /// The version that this one restores; `None` if it restores none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restores: Option<Version>,
}

/// The value of `c/head`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// [`FORMAT_VERSION`].
    pub v: u32,
    /// The newest version.
    pub version: Version,
    /// The author of the newest version.
    pub author: Author,
    /// Fields written by a newer release, which are written back unchanged.
    #[serde(flatten)]
    pub unknown: BTreeMap<String, Value>,
}

/// The state of a team in the overlay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamState {
    /// Its guarantees and limits.
    #[serde(rename = "q")]
    pub quota: Quota,
    /// Whether the team is removed; the quota still applies to its accepted jobs.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

impl TeamState {
    /// The state of an existing team with this quota.
    #[must_use]
    pub fn active(quota: Quota) -> TeamState {
        TeamState {
            quota,
            removed: false,
        }
    }

    /// The state of a removed team whose accepted jobs are subject to this quota.
    #[must_use]
    pub fn removed(quota: Quota) -> TeamState {
        TeamState {
            quota,
            removed: true,
        }
    }
}

/// The value of a chunk of the overlay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// [`FORMAT_VERSION`].
    pub v: u32,
    /// The teams of the chunk, by name.
    #[serde(rename = "t")]
    pub teams: BTreeMap<String, TeamState>,
}

/// One part of the record of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordPart {
    /// [`FORMAT_VERSION`].
    pub v: u32,
    /// The author of the version.
    pub author: Author,
    /// Number of parts of the record.
    pub parts: u32,
    /// Former state of the changed teams in the overlay; `None` if the settings applied.
    #[serde(rename = "b")]
    pub before: BTreeMap<String, Option<TeamState>>,
}

/// The number of the chunk that contains a team.
#[must_use]
pub fn chunk_of(team: &str) -> usize {
    (xxh3_64(team.as_bytes()) % CHUNKS as u64) as usize
}

/// The record of a version, assembled from all of its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The author of the version.
    pub author: Author,
    /// Former state of the changed teams in the overlay; `None` if the settings applied.
    pub before: BTreeMap<String, Option<TeamState>>,
}

/// The complete stored configuration at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The head; `None` before the first change.
    pub head: Option<Head>,
    /// States of the teams that differ from the settings, by team name.
    pub overlay: BTreeMap<String, TeamState>,
    /// Records of the retained versions.
    pub records: BTreeMap<Version, Record>,
}

impl Snapshot {
    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.head.as_ref().map_or(Version(0), |head| head.version)
    }

    /// The overlay at an earlier version; `None` if the retained records do not reach back to it,
    /// or if `version` is newer than the version in force.
    #[must_use]
    pub fn overlay_at(&self, version: Version) -> Option<BTreeMap<String, TeamState>> {
        if version > self.version() {
            return None;
        }
        let mut overlay = self.overlay.clone();
        let mut at = self.version();
        while at > version {
            for (team, state) in &self.records.get(&at)?.before {
                match state {
                    Some(state) => overlay.insert(team.clone(), state.clone()),
                    None => overlay.remove(team),
                };
            }
            at = Version(at.0 - 1);
        }
        Some(overlay)
    }

    /// The teams in effect: those of the settings in the order of the settings, then the added
    /// teams by name.
    #[must_use]
    pub fn effective(&self, base: &[settings::Team]) -> Vec<EffectiveTeam> {
        effective(&self.overlay, base)
    }
}

/// The teams in effect when an overlay applies to the settings: those of the settings in the order
/// of the settings, then the added teams by name.
#[must_use]
pub fn effective(
    overlay: &BTreeMap<String, TeamState>,
    base: &[settings::Team],
) -> Vec<EffectiveTeam> {
    let in_base = base.iter().map(|team| match overlay.get(&team.name) {
        Some(state) => effective_team(&team.name, state),
        None => EffectiveTeam {
            name: team.name.clone(),
            quota: Quota::from(team),
            removed: false,
        },
    });
    let added = overlay
        .iter()
        .filter(|(name, _)| !base.iter().any(|team| team.name == **name))
        .map(|(name, state)| effective_team(name, state));
    in_base.chain(added).collect()
}

fn effective_team(name: &str, state: &TeamState) -> EffectiveTeam {
    EffectiveTeam {
        name: name.to_string(),
        quota: state.quota,
        removed: state.removed,
    }
}
