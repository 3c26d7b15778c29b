//! The configuration: teams in effect, and how far the newest version is rolled out.

use beamhinge_configuration::stored::Author;
use beamhinge_configuration::{Quota, Version};
use serde::{Deserialize, Serialize};

/// A team and its quota as they are in effect at the controller that answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Name of the team.
    pub team: String,
    /// What it is guaranteed and may use.
    #[serde(flatten)]
    pub quota: Quota,
    /// Its accepted jobs run on; new ones are refused.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

/// A controller that does not serve by the newest version, or did not report so yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BehindRow {
    /// Label of the controller.
    pub label: String,
    /// The version it serves by. `None`: it is away, cut off, or does not know of
    /// configuration. It may go on serving its workers by what it has until its serving
    /// deadline.
    pub version: Option<Version>,
}

/// The answer to `GET /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// `false`: changes are not enabled here (`[configuration] on`).
    pub on: bool,
    /// The version in effect at the controller that answers.
    pub version: Version,
    /// Who made the newest version, when and why; absent where nothing was ever changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<Author>,
    /// Since when every controller serves by it, milliseconds of the time of day; absent: not
    /// yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force_everywhere_since_ms: Option<u64>,
    /// Controllers that do not serve by it.
    pub behind: Vec<BehindRow>,
    /// Fields that a newer program stored: kept, and not understood here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unknown_fields: Vec<String>,
    /// The teams in effect.
    pub teams: Vec<QuotaRow>,
}

/// The answer to `POST /v1/configuration` where the change was made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationResponse {
    /// The version that the change made.
    pub version: Version,
    /// What its author should know, though it was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}
