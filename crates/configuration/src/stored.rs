//! The form in the state service.
//!
//! `c/head` names the version; each change writes it, so that its stamp stands for the
//! whole. `c/t/N` are chunks of the overlay, `c/h/VERSION/PART` say who made a version,
//! why, and what was before it.

use crate::quota::{EffectiveTeam, Quota};
use beamhinge_core::settings;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the stored form.
pub const FORM: u32 = 1;
/// Chunks of the overlay: a team's is found by its name, and a value of 8 KB holds some
/// hundred and fifty teams.
pub const CHUNKS: usize = 8;
/// Versions that can be gone back to.
pub const KEPT: usize = 16;

/// How many changes were made; 0: none ever.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    pub fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Who made a version, when and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Author {
    /// Tells this change from every other, also after a lost answer.
    pub id: String,
    /// Time of day, milliseconds.
    pub at_ms: u64,
    pub by: String,
    pub why: String,
    /// The version that it goes back to, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restores: Option<Version>,
}

/// The value of `c/head`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub v: u32,
    pub version: Version,
    pub author: Author,
    /// Fields of a newer program: kept as they are.
    #[serde(flatten)]
    pub unknown: BTreeMap<String, Value>,
}

/// A team in the overlay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamState {
    #[serde(rename = "q")]
    pub quota: Quota,
    /// Gone; the quota goes on for its accepted jobs.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

/// The value of a chunk.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    pub v: u32,
    #[serde(rename = "t")]
    pub teams: BTreeMap<String, TeamState>,
}

/// A part of what was before a version; none: as the settings say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordPart {
    pub v: u32,
    pub author: Author,
    pub parts: u32,
    #[serde(rename = "b")]
    pub before: BTreeMap<String, Option<TeamState>>,
}

/// The chunk that holds a team.
pub fn chunk_of(team: &str) -> usize {
    (xxh3_64(team.as_bytes()) % CHUNKS as u64) as usize
}

/// A version's author and what was before it, once all of its parts are there.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub author: Author,
    pub before: BTreeMap<String, Option<TeamState>>,
}

/// The whole as of one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub head: Option<Head>,
    pub overlay: BTreeMap<String, TeamState>,
    pub records: BTreeMap<Version, Record>,
}

impl Snapshot {
    pub fn version(&self) -> Version {
        self.head.as_ref().map_or(Version(0), |h| h.version)
    }

    /// The overlay as it was at an earlier version; none if what is kept does not reach
    /// back so far.
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

    /// The teams that count: those of the settings in their order, then added ones.
    pub fn effective(&self, base: &[settings::Team]) -> Vec<EffectiveTeam> {
        effective(&self.overlay, base)
    }
}

/// The teams of the settings with an overlay over them.
pub fn effective(
    overlay: &BTreeMap<String, TeamState>,
    base: &[settings::Team],
) -> Vec<EffectiveTeam> {
    let of_base = base.iter().map(|team| match overlay.get(&team.name) {
        Some(TeamState { quota, removed }) => EffectiveTeam {
            name: team.name.clone(),
            quota: *quota,
            removed: *removed,
        },
        None => EffectiveTeam {
            name: team.name.clone(),
            quota: Quota::from(team),
            removed: false,
        },
    });
    let in_base = |name: &String| base.iter().any(|team| team.name == *name);
    let added = overlay
        .iter()
        .filter(|(name, _)| !in_base(name))
        .map(|(name, state)| EffectiveTeam {
            name: name.clone(),
            quota: state.quota,
            removed: state.removed,
        });
    of_base.chain(added).collect()
}
