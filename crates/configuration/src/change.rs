//! Changes of the configuration as operators request them, and the checks of their form.

use crate::quota::Quota;
use crate::stored::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use validator::{Validate, ValidationErrors, ValidationErrorsKind};

/// Teams that one change may name, and teams that there may be.
pub const MAX_TEAMS: usize = 2_000;
/// Longest reason, bytes.
const MAX_REASON_BYTES: usize = 200;
/// Longest name of a team, bytes; the name is part of many stored values.
const MAX_TEAM_NAME_BYTES: usize = 64;

/// What a change does to one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamChange {
    /// Sets the quota of an existing team.
    Set(Quota),
    /// Adds a team that is new, or was removed.
    Add(Quota),
    /// Removes the team: its new jobs are refused, accepted ones run on.
    Remove,
    /// Drops the overlay of the team: the settings apply again.
    Restore,
}

/// A change that an operator requests: of teams, or back to an earlier version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// Operators are shown the text of decoding errors, which names what is expected.
#[serde(deny_unknown_fields, expecting = "struct Change")]
pub struct ConfigurationChange {
    /// The version that its author saw; the change is refused if another is in force.
    pub seen: Version,
    /// What changes, by name of the team.
    #[serde(default)]
    pub teams: BTreeMap<String, TeamChange>,
    /// Restores what was in force at this version, in place of `teams`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore_version: Option<Version>,
    /// The author's reason, at most 200 bytes.
    #[serde(default)]
    pub why: String,
}

/// Why a change is not made; what is in force stays so. The texts are shown to operators.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// Another version is in force than the author saw.
    #[error("version {current} is in force and {seen} was seen: look again and decide anew")]
    VersionConflict {
        /// The version that the author saw.
        seen: Version,
        /// The version in force.
        current: Version,
    },
    /// The change names neither teams nor a version.
    #[error("it names no team and no version to go back to")]
    Empty,
    /// The change names both teams and a version.
    #[error("it names teams and a version to go back to: make two changes of it")]
    TeamsAndVersion,
    /// More than [`MAX_TEAMS`] teams.
    #[error("{0} teams at once; {MAX_TEAMS} is the most")]
    TooManyTeams(usize),
    /// The reason is too long.
    #[error("the reason is longer than {MAX_REASON_BYTES} bytes")]
    ReasonTooLong,
    /// A name that no team may have.
    #[error(
        "'{0}' is no name of a team: letters, digits, - _ . and at most {MAX_TEAM_NAME_BYTES} of \
         them"
    )]
    InvalidTeamName(String),
    /// A team to be changed does not exist.
    #[error("there is no team {0}: `add` makes one")]
    UnknownTeam(String),
    /// A team to be added exists.
    #[error("there is a team {0} already: `set` changes it")]
    TeamExists(String),
    /// A quota that is not valid.
    #[error("team {team}: {problem}")]
    InvalidQuota {
        /// Name of the team.
        team: String,
        /// What is wrong, for the author.
        problem: String,
    },
    /// The version to be restored is not retained.
    #[error("version {0} is not kept any more, or never was")]
    VersionNotRetained(Version),
    /// The change would alter nothing.
    #[error("that is in force already")]
    Unchanged,
}

impl ConfigurationChange {
    /// Checks the form of the change, independently of what is in force.
    ///
    /// # Errors
    /// The first fault that is found.
    pub fn check_form(&self) -> Result<(), ChangeError> {
        if self.why.len() > MAX_REASON_BYTES {
            return Err(ChangeError::ReasonTooLong);
        }
        match (self.teams.len(), self.restore_version) {
            (0, None) => return Err(ChangeError::Empty),
            (1.., Some(_)) => return Err(ChangeError::TeamsAndVersion),
            (count, _) if count > MAX_TEAMS => return Err(ChangeError::TooManyTeams(count)),
            _ => {}
        }
        for (team, change) in &self.teams {
            check_team_name(team)?;
            if let TeamChange::Set(quota) | TeamChange::Add(quota) = change {
                check_quota(team, quota)?;
            }
        }
        Ok(())
    }
}

fn check_team_name(name: &str) -> Result<(), ChangeError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let valid = !name.is_empty() && name.len() <= MAX_TEAM_NAME_BYTES && name.bytes().all(allowed);
    if valid {
        Ok(())
    } else {
        Err(ChangeError::InvalidTeamName(name.to_string()))
    }
}

fn check_quota(team: &str, quota: &Quota) -> Result<(), ChangeError> {
    quota
        .validate()
        .map_err(|errors| ChangeError::InvalidQuota {
            team: team.to_string(),
            problem: describe(&errors),
        })
}

/// All faults of a quota in one line.
fn describe(errors: &ValidationErrors) -> String {
    let mut problems = Vec::new();
    for (field, kind) in errors.errors() {
        let ValidationErrorsKind::Field(errors) = kind else {
            continue;
        };
        problems.extend(errors.iter().map(|error| match error.message.as_deref() {
            Some(message) if *field == "__all__" => message.to_string(),
            Some(message) => format!("{field}: {message}"),
            None => format!("{field} is not sound"),
        }));
    }
    problems.join("; ")
}
