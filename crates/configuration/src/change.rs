//! Configuration changes as operators request them, and the validation of their form.

use crate::quota::Quota;
use crate::stored::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use validator::{Validate, ValidationErrors, ValidationErrorsKind};

/// Maximum number of teams in one change, and of teams in effect.
pub const MAX_TEAMS: usize = 2_000;
/// Maximum length of the reason for a change, bytes.
const MAX_REASON_BYTES: usize = 200;
/// Maximum length of a team name, bytes. It is limited because many stored values contain the name.
const MAX_TEAM_NAME_BYTES: usize = 64;

/// The change to one team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamChange {
    /// Sets the quota of an existing team.
    Set(Quota),
    /// Adds a new team, or a removed team again.
    Add(Quota),
    /// Removes the team: its new jobs are refused, accepted jobs continue.
    Remove,
    /// Deletes the team from the overlay, so that the settings apply again.
    Restore,
}

/// A change that an operator requests: to teams, or the restoration of an earlier version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// Operators are shown the text of decoding errors, which names what is expected.
#[serde(deny_unknown_fields, expecting = "struct Change")]
pub struct ConfigurationChange {
    /// The version that its author saw; the change is refused if another version is in force.
    pub seen: Version,
    /// The changes to teams, by team name.
    #[serde(default)]
    pub teams: BTreeMap<String, TeamChange>,
    /// The version to restore, if any; then `teams` is empty.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restore_version: Option<Version>,
    /// The author's reason, at most 200 bytes.
    #[serde(default)]
    pub why: String,
}

/// The reason why a change is refused; the configuration in force stays as it is. The texts are
/// shown to operators.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ChangeError {
    /// The version in force is not the one that the author saw.
    #[error("version {current} is in force and {seen} was seen: look again and decide anew")]
    VersionConflict {
        /// The version that the author saw.
        seen: Version,
        /// The version in force.
        current: Version,
    },
    /// The change names neither teams nor a version to restore.
    #[error("it names no team and no version to go back to")]
    Empty,
    /// The change names both teams and a version to restore.
    #[error("it names teams and a version to go back to: make two changes of it")]
    TeamsAndVersion,
    /// More than [`MAX_TEAMS`] teams.
    #[error("{0} teams at once; {MAX_TEAMS} is the most")]
    TooManyTeams(usize),
    /// The reason is too long.
    #[error("the reason is longer than {MAX_REASON_BYTES} bytes")]
    ReasonTooLong,
    /// The name of a team is not valid.
    #[error(
        "'{0}' is no name of a team: letters, digits, - _ . and at most {MAX_TEAM_NAME_BYTES} of \
         them"
    )]
    InvalidTeamName(String),
    /// The team to be changed does not exist.
    #[error("there is no team {0}: `add` makes one")]
    UnknownTeam(String),
    /// The team to be added already exists.
    #[error("there is a team {0} already: `set` changes it")]
    TeamExists(String),
    /// The quota of a team is not valid.
    #[error("team {team}: {problem}")]
    InvalidQuota {
        /// Name of the team.
        team: String,
        /// Description of the faults, for the author.
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
    /// Validates the form of the change, independently of the configuration in force.
    ///
    /// # Errors
    /// Returns the first fault found.
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
            problem: describe_errors(&errors),
        })
}

/// Describes all faults of a quota in one line.
fn describe_errors(errors: &ValidationErrors) -> String {
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
