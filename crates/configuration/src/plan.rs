//! Validates a change against the configuration in force, and computes the values to be written.

use crate::change::{ChangeError, ConfigurationChange, TeamChange, MAX_TEAMS};
use crate::quota::EffectiveTeam;
use crate::stored::{
    chunk_of, effective, Author, Chunk, Head, RecordPart, Snapshot, TeamState, Version,
    FORMAT_VERSION, MAX_RETAINED_VERSIONS,
};
use beamhinge_core::settings;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of teams in one part of a record, which is then about 4 KB.
const TEAMS_PER_RECORD_PART: usize = 40;

/// The values that a change writes in one transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangePlan {
    /// The new head.
    pub head: Head,
    /// The complete new values of the chunks that change, by number.
    pub chunks: BTreeMap<usize, Chunk>,
    /// The record of the former state of the changed teams, in parts.
    pub record: Vec<RecordPart>,
    /// The version whose record is no longer retained and is deleted; `None` if there is none.
    pub expired: Option<Version>,
}

impl ConfigurationChange {
    /// Computes the writes that apply the change to `current`; `base` are the teams of the
    /// settings.
    ///
    /// # Errors
    /// Returns the reason why the change is refused.
    pub fn plan(
        &self,
        current: &Snapshot,
        base: &[settings::Team],
        author: Author,
    ) -> Result<ChangePlan, ChangeError> {
        self.check_form()?;
        let current_version = current.version();
        if self.seen != current_version {
            return Err(ChangeError::VersionConflict {
                seen: self.seen,
                current: current_version,
            });
        }
        let overlay = self.target_overlay(current, base)?;
        let changed = changed_teams(current, &overlay);
        if changed.is_empty() {
            return Err(ChangeError::Unchanged);
        }
        if effective(&overlay, base).len() > MAX_TEAMS {
            return Err(ChangeError::TooManyTeams(overlay.len()));
        }
        let author = Author {
            restores: self.restore_version,
            ..author
        };
        let unknown = current.head.as_ref().map(|head| head.unknown.clone());
        let version = current_version.next();
        Ok(ChangePlan {
            chunks: changed_chunks(&overlay, &changed),
            record: record_parts(current, &changed, &author),
            expired: version
                .0
                .checked_sub(MAX_RETAINED_VERSIONS as u64)
                .filter(|version| *version > 0)
                .map(Version),
            head: Head {
                v: FORMAT_VERSION,
                version,
                author,
                unknown: unknown.unwrap_or_default(),
            },
        })
    }

    /// The overlay after the change.
    fn target_overlay(
        &self,
        current: &Snapshot,
        base: &[settings::Team],
    ) -> Result<BTreeMap<String, TeamState>, ChangeError> {
        let Some(version) = self.restore_version else {
            return self.apply_teams(current, base);
        };
        let restored = current
            .overlay_at(version)
            .ok_or(ChangeError::VersionNotRetained(version))?;
        Ok(mark_added_teams_removed(restored, current, base))
    }

    /// The overlay of `current` after the team changes are applied to it.
    fn apply_teams(
        &self,
        current: &Snapshot,
        base: &[settings::Team],
    ) -> Result<BTreeMap<String, TeamState>, ChangeError> {
        let teams = current.effective(base);
        let mut overlay = current.overlay.clone();
        for (name, change) in &self.teams {
            let team = teams.iter().find(|team| team.name == *name);
            let exists = team.is_some_and(|team| !team.removed);
            match change {
                TeamChange::Set(_) | TeamChange::Remove if !exists => {
                    return Err(ChangeError::UnknownTeam(name.clone()));
                }
                TeamChange::Add(_) if exists => return Err(ChangeError::TeamExists(name.clone())),
                TeamChange::Set(quota) | TeamChange::Add(quota) => {
                    overlay.insert(name.clone(), TeamState::active(*quota));
                }
                TeamChange::Remove => {
                    let quota = team.map(|team| team.quota).unwrap_or_default();
                    overlay.insert(name.clone(), TeamState::removed(quota));
                }
                TeamChange::Restore => {
                    // A team that is not in the settings would be deleted, and the quota of its
                    // accepted jobs with it.
                    if !is_in_settings(base, name) {
                        return Err(ChangeError::UnknownTeam(name.clone()));
                    }
                    overlay.remove(name);
                }
            }
        }
        Ok(overlay)
    }
}

/// Whether the settings contain a team of this name.
fn is_in_settings(base: &[settings::Team], name: &str) -> bool {
    base.iter().any(|team| team.name == name)
}

/// Names of the teams whose state differs between the overlay in force and `overlay`, sorted.
fn changed_teams<'a>(
    current: &'a Snapshot,
    overlay: &'a BTreeMap<String, TeamState>,
) -> Vec<&'a String> {
    let teams: BTreeSet<&String> = current.overlay.keys().chain(overlay.keys()).collect();
    teams
        .into_iter()
        .filter(|team| current.overlay.get(*team) != overlay.get(*team))
        .collect()
}

/// Marks teams that were added since an earlier version as removed in the overlay of that version,
/// instead of deleting them: their accepted jobs still count against their quota.
fn mark_added_teams_removed(
    mut overlay: BTreeMap<String, TeamState>,
    current: &Snapshot,
    base: &[settings::Team],
) -> BTreeMap<String, TeamState> {
    for (name, state) in &current.overlay {
        if !is_in_settings(base, name) {
            overlay
                .entry(name.clone())
                .or_insert_with(|| TeamState::removed(state.quota));
        }
    }
    overlay
}

/// The new values of the chunks that contain a changed team.
fn changed_chunks(
    overlay: &BTreeMap<String, TeamState>,
    changed: &[&String],
) -> BTreeMap<usize, Chunk> {
    let empty = Chunk {
        v: FORMAT_VERSION,
        ..Chunk::default()
    };
    let mut chunks: BTreeMap<usize, Chunk> = changed
        .iter()
        .map(|team| (chunk_of(team), empty.clone()))
        .collect();
    for (team, state) in overlay {
        if let Some(chunk) = chunks.get_mut(&chunk_of(team)) {
            chunk.teams.insert(team.clone(), state.clone());
        }
    }
    chunks
}

/// The record of the former state of the changed teams, in parts.
fn record_parts(current: &Snapshot, changed: &[&String], author: &Author) -> Vec<RecordPart> {
    let parts = changed.chunks(TEAMS_PER_RECORD_PART);
    let count = parts.len() as u32;
    parts
        .map(|teams| {
            let before = teams
                .iter()
                .map(|team| ((*team).clone(), current.overlay.get(*team).cloned()));
            RecordPart {
                v: FORMAT_VERSION,
                author: author.clone(),
                parts: count,
                before: before.collect(),
            }
        })
        .collect()
}

/// The total of all CPU guarantees if it exceeds the CPUs of the fleet, else `None`. An excess
/// causes a warning; the change is not refused.
#[must_use]
pub fn guaranteed_cpus_above_fleet(teams: &[EffectiveTeam], fleet_cpus: f64) -> Option<f64> {
    let guaranteed: f64 = teams
        .iter()
        .filter(|team| !team.removed)
        .map(|team| team.quota.cpus)
        .sum();
    (guaranteed > fleet_cpus).then_some(guaranteed)
}

#[cfg(test)]
mod tests;
