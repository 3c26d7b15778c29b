//! Messages about the configuration: the quotas in effect, and the rollout of the newest version.

use beamhinge_configuration::stored::Author;
use beamhinge_configuration::{Quota, Version};
use serde::{Deserialize, Serialize};

/// A team and its quota in effect on the responding controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Name of the team.
    pub team: String,
    /// Guarantee and limit of the team.
    #[serde(flatten)]
    pub quota: Quota,
    /// Whether the team is removed: its accepted jobs continue to run, new ones are refused.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

/// A controller that has not applied the newest version, or has not reported it yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BehindRow {
    /// Label of the controller.
    pub label: String,
    /// The version it has applied. `None`: it is down, unreachable, or runs a program version
    /// without support for configuration changes. Such a controller may continue to serve its
    /// workers with an older version until its serving deadline.
    pub version: Option<Version>,
}

/// Response to `GET /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// Whether configuration changes are enabled on this controller (`[configuration] on`).
    pub on: bool,
    /// The version in effect on the responding controller.
    pub version: Version,
    /// Author, time and reason of the newest version; `None` before the first change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<Author>,
    /// Wall-clock time since which every controller has applied the newest version, milliseconds
    /// since the Unix epoch; `None` if not all of them have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force_everywhere_since_ms: Option<u64>,
    /// Controllers that have not applied it, as far as known.
    pub behind: Vec<BehindRow>,
    /// Names of fields that a newer program version stored: they are preserved, but this version
    /// does not interpret them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unknown_fields: Vec<String>,
    /// Teams in effect, including removed ones.
    pub teams: Vec<QuotaRow>,
}

/// Response to a successful `POST /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationResponse {
    /// The version that the change created.
    pub version: Version,
    /// Warning to the author about the applied change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}
