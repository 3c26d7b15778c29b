//! Changes: checked against what is, and turned into what is to be written.

use crate::quota::Quota;
use crate::stored::{
    chunk_of, effective, Author, Chunk, Head, RecordPart, Snapshot, TeamState, Version, FORM, KEPT,
};
use beamhinge_core::settings;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use validator::Validate;

/// Teams that one change may name, and teams that there may be.
pub const MAX_TEAMS: usize = 2_000;
/// Bytes of a reason.
const MAX_WHY: usize = 200;
/// Bytes of a team's name; it is a part of many values.
const MAX_NAME: usize = 64;
/// Teams whose former state one part of a record holds: about 4 KB.
const TEAMS_A_PART: usize = 40;

/// What becomes of one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamChange {
    /// Its quota is this from now on.
    Set(Quota),
    /// A new team, or one that was removed.
    Add(Quota),
    /// New jobs of it are refused; accepted ones run on.
    Remove,
    /// As the settings say.
    Restore,
}

/// What an author wants: teams, or an earlier version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version that its author saw.
    pub seen: Version,
    #[serde(default)]
    pub teams: BTreeMap<String, TeamChange>,
    /// Go back to what was in force at this version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore_version: Option<Version>,
    #[serde(default)]
    pub why: String,
}

/// Why a change is not made; what is in force stays so.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    #[error("version {current} is in force and {seen} was seen: look again and decide anew")]
    Conflict { seen: Version, current: Version },
    #[error("it names no team and no version to go back to")]
    Empty,
    #[error("it names teams and a version to go back to: make two changes of it")]
    Both,
    #[error("{0} teams at once; {MAX_TEAMS} is the most")]
    TooMany(usize),
    #[error("the reason is longer than {MAX_WHY} bytes")]
    Reason,
    #[error("'{0}' is no name of a team: letters, digits, - _ . and at most {MAX_NAME} of them")]
    Name(String),
    #[error("there is no team {0}: `add` makes one")]
    Unknown(String),
    #[error("there is a team {0} already: `set` changes it")]
    Exists(String),
    #[error("team {team}: {problem}")]
    Quota { team: String, problem: String },
    #[error("version {0} is not kept any more, or never was")]
    NotKept(Version),
    #[error("that is in force already")]
    Nothing,
}

/// What a change writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub head: Head,
    /// Chunks that change, whole.
    pub chunks: BTreeMap<usize, Chunk>,
    pub record: Vec<RecordPart>,
    /// A version that is not kept any more.
    pub expired: Option<Version>,
}

fn check_name(name: &str) -> Result<(), Refusal> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let sound = !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain);
    if sound {
        Ok(())
    } else {
        Err(Refusal::Name(name.to_string()))
    }
}

fn check_quota(team: &str, quota: &Quota) -> Result<(), Refusal> {
    quota.validate().map_err(|errors| {
        let all = errors.errors().iter().flat_map(|(field, kind)| match kind {
            validator::ValidationErrorsKind::Field(errors) => errors
                .iter()
                .map(|e| match e.message.as_deref() {
                    Some(why) if *field == "__all__" => why.to_string(),
                    Some(why) => format!("{field}: {why}"),
                    None => format!("{field} is not sound"),
                })
                .collect::<Vec<_>>(),
            _ => Vec::new(),
        });
        let problem = all.collect::<Vec<_>>().join("; ");
        Refusal::Quota {
            team: team.to_string(),
            problem,
        }
    })
}

impl Change {
    /// Whether its form is sound, whatever is in force.
    pub fn check_form(&self) -> Result<(), Refusal> {
        if self.why.len() > MAX_WHY {
            return Err(Refusal::Reason);
        }
        match (self.teams.len(), self.restore_version) {
            (0, None) => return Err(Refusal::Empty),
            (1.., Some(_)) => return Err(Refusal::Both),
            (n, _) if n > MAX_TEAMS => return Err(Refusal::TooMany(n)),
            _ => {}
        }
        for (team, change) in &self.teams {
            check_name(team)?;
            if let TeamChange::Set(quota) | TeamChange::Add(quota) = change {
                check_quota(team, quota)?;
            }
        }
        Ok(())
    }

    /// What it writes over `now`, or why it is not made.
    pub fn plan(
        &self,
        now: &Snapshot,
        base: &[settings::Team],
        author: Author,
    ) -> Result<Plan, Refusal> {
        self.check_form()?;
        let current = now.version();
        if self.seen != current {
            return Err(Refusal::Conflict {
                seen: self.seen,
                current,
            });
        }
        let wanted = match self.restore_version {
            Some(version) => {
                let before = now.overlay_at(version).ok_or(Refusal::NotKept(version))?;
                keep_added(before, now, base)
            }
            None => self.apply(now, base)?,
        };
        let teams: BTreeSet<&String> = now.overlay.keys().chain(wanted.keys()).collect();
        let changed: Vec<&String> = teams
            .into_iter()
            .filter(|t| now.overlay.get(*t) != wanted.get(*t))
            .collect();
        if changed.is_empty() {
            return Err(Refusal::Nothing);
        }
        if effective(&wanted, base).len() > MAX_TEAMS {
            return Err(Refusal::TooMany(wanted.len()));
        }
        let version = current.next();
        let author = Author {
            restores: self.restore_version,
            ..author
        };
        let unknown = now
            .head
            .as_ref()
            .map(|h| h.unknown.clone())
            .unwrap_or_default();
        Ok(Plan {
            head: Head {
                v: FORM,
                version,
                author: author.clone(),
                unknown,
            },
            chunks: chunks(&wanted, &changed),
            record: record(now, &changed, &author),
            expired: version
                .0
                .checked_sub(KEPT as u64)
                .filter(|v| *v > 0)
                .map(Version),
        })
    }

    fn apply(
        &self,
        now: &Snapshot,
        base: &[settings::Team],
    ) -> Result<BTreeMap<String, TeamState>, Refusal> {
        let there = now.effective(base);
        let mut wanted = now.overlay.clone();
        for (name, change) in &self.teams {
            let found = there.iter().find(|team| team.name == *name);
            let lives = found.is_some_and(|team| !team.removed);
            let state = |quota: Quota, removed| TeamState { quota, removed };
            match change {
                TeamChange::Set(_) | TeamChange::Remove if !lives => {
                    return Err(Refusal::Unknown(name.clone()));
                }
                TeamChange::Add(_) if lives => return Err(Refusal::Exists(name.clone())),
                TeamChange::Set(quota) | TeamChange::Add(quota) => {
                    wanted.insert(name.clone(), state(*quota, false));
                }
                TeamChange::Remove => {
                    let quota = found.map(|team| team.quota).unwrap_or_default();
                    wanted.insert(name.clone(), state(quota, true));
                }
                TeamChange::Restore => {
                    // What the settings do not know would be forgotten with its jobs.
                    if !base.iter().any(|team| team.name == *name) {
                        return Err(Refusal::Unknown(name.clone()));
                    }
                    wanted.remove(name);
                }
            }
        }
        Ok(wanted)
    }
}

/// Teams that were added since are removed, not forgotten: their accepted jobs go on
/// counting for their quota.
fn keep_added(
    mut wanted: BTreeMap<String, TeamState>,
    now: &Snapshot,
    base: &[settings::Team],
) -> BTreeMap<String, TeamState> {
    let in_base = |name: &String| base.iter().any(|team| team.name == *name);
    for (name, state) in now.overlay.iter().filter(|(name, _)| !in_base(name)) {
        let removed = || TeamState {
            removed: true,
            ..state.clone()
        };
        wanted.entry(name.clone()).or_insert_with(removed);
    }
    wanted
}

/// The chunks with a changed team, as they are to be.
fn chunks(wanted: &BTreeMap<String, TeamState>, changed: &[&String]) -> BTreeMap<usize, Chunk> {
    let touched: BTreeSet<usize> = changed.iter().map(|team| chunk_of(team)).collect();
    let mut chunks: BTreeMap<usize, Chunk> = touched
        .into_iter()
        .map(|n| {
            (
                n,
                Chunk {
                    v: FORM,
                    ..Chunk::default()
                },
            )
        })
        .collect();
    for (team, state) in wanted {
        if let Some(chunk) = chunks.get_mut(&chunk_of(team)) {
            chunk.teams.insert(team.clone(), state.clone());
        }
    }
    chunks
}

fn record(now: &Snapshot, changed: &[&String], author: &Author) -> Vec<RecordPart> {
    let parts = changed.chunks(TEAMS_A_PART);
    let count = parts.len() as u32;
    parts
        .map(|teams| {
            let before = teams
                .iter()
                .map(|t| ((*t).clone(), now.overlay.get(*t).cloned()));
            let before = before.collect();
            RecordPart {
                v: FORM,
                author: author.clone(),
                parts: count,
                before,
            }
        })
        .collect()
}

/// Guarantees above what the fleet has can't all be kept; told, not refused.
pub fn guarantees_above(teams: &[crate::EffectiveTeam], fleet_cpus: f64) -> Option<f64> {
    let all: f64 = teams
        .iter()
        .filter(|t| !t.removed)
        .map(|t| t.quota.cpus)
        .sum();
    (all > fleet_cpus).then_some(all)
}

#[cfg(test)]
mod tests;
