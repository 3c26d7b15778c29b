//! The configuration as it is stored in the key-value store.
//!
//! `c/head` names the version; every change writes it, so its revision stands for the whole.
//! `c/t/N` are chunks of the overlay; `c/h/VERSION/PART` record who made a version, why, and
//! what was before it. Field names are part of the stored format.

use crate::quota::{EffectiveTeam, Quota};
use beamhinge_core::settings;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the stored format.
pub const FORMAT_VERSION: u32 = 1;
/// Number of chunks of the overlay. The chunk of a team follows from its name; a value of 8 KB
/// holds about 150 teams.
pub const CHUNKS: usize = 8;
/// Versions whose records are retained, so that they can be restored.
pub const MAX_RETAINED_VERSIONS: usize = 16;

/// A version of the configuration: the number of changes made so far; 0: the settings alone.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The version that the next change makes.
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

/// Who made a version, when and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Author {
    /// Identifies the change, so that it is recognized when the reply to its transaction was
    /// lost.
    pub id: String,
    /// Time of day, milliseconds.
    pub at_ms: u64,
    /// Name of the operator's key.
    pub by: String,
    /// The reason that the operator gave.
    pub why: String,
    /// The version that this one restores, if it does.
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
    /// Who made it.
    pub author: Author,
    /// Fields of a newer program, written back as they are.
    #[serde(flatten)]
    pub unknown: BTreeMap<String, Value>,
}

/// A team in the overlay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamState {
    /// What it is guaranteed and may use.
    #[serde(rename = "q")]
    pub quota: Quota,
    /// The team is removed; the quota still applies to its accepted jobs.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

impl TeamState {
    /// A team with this quota.
    #[must_use]
    pub fn active(quota: Quota) -> TeamState {
        TeamState {
            quota,
            removed: false,
        }
    }

    /// A removed team whose accepted jobs are subject to this quota.
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
    /// Who made the version.
    pub author: Author,
    /// How many parts the record has.
    pub parts: u32,
    /// Former state of the changed teams; `None`: the settings applied.
    #[serde(rename = "b")]
    pub before: BTreeMap<String, Option<TeamState>>,
}

/// The number of the chunk that holds a team.
#[must_use]
pub fn chunk_of(team: &str) -> usize {
    (xxh3_64(team.as_bytes()) % CHUNKS as u64) as usize
}

/// The record of a version, put together from all of its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Who made the version.
    pub author: Author,
    /// Former state of the changed teams; `None`: the settings applied.
    pub before: BTreeMap<String, Option<TeamState>>,
}

/// The whole stored configuration as of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The head; `None` before the first change.
    pub head: Option<Head>,
    /// Teams that differ from the settings, by name.
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

    /// The overlay as it was at an earlier version; `None` if the retained records do not reach
    /// back to it.
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

    /// The teams in effect: those of the settings in their order, then added ones by name.
    #[must_use]
    pub fn effective(&self, base: &[settings::Team]) -> Vec<EffectiveTeam> {
        effective(&self.overlay, base)
    }
}

/// The teams of the settings with an overlay over them; added ones last, by name.
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
