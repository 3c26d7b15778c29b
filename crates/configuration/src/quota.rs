//! Quotas: the guarantees and limits of a team.

use beamhinge_core::settings;
use serde::{Deserialize, Serialize};
use validator::{Validate, ValidationError};

/// Largest valid number of CPUs or GPUs in a quota.
const MAX_AMOUNT: f64 = 1e9;

/// CPUs and GPUs that a team is guaranteed, and may use at most; 0 means no guarantee or no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[validate(schema(function = "limits_cover_guarantees"))]
pub struct Quota {
    /// Guaranteed CPUs.
    #[serde(default)]
    #[validate(custom(function = "is_amount"))]
    pub cpus: f64,
    /// Limit of CPUs.
    #[serde(default)]
    #[validate(custom(function = "is_amount"))]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    #[validate(custom(function = "is_amount"))]
    pub gpus: f64,
    /// Limit of GPUs.
    #[serde(default)]
    #[validate(custom(function = "is_amount"))]
    pub gpus_max: f64,
}

fn is_amount(value: f64) -> Result<(), ValidationError> {
    if value.is_finite() && (0.0..=MAX_AMOUNT).contains(&value) {
        return Ok(());
    }
    let message = "it must be finite and between 0 and a thousand million";
    Err(ValidationError::new("amount").with_message(message.into()))
}

fn limits_cover_guarantees(quota: &Quota) -> Result<(), ValidationError> {
    let below = |guaranteed: f64, limit: f64| limit > 0.0 && limit < guaranteed;
    if below(quota.cpus, quota.cpus_max) || below(quota.gpus, quota.gpus_max) {
        let message = "a limit is below its guarantee: raise the limit, or 0 for none";
        return Err(ValidationError::new("limits").with_message(message.into()));
    }
    Ok(())
}

impl From<&settings::Team> for Quota {
    fn from(team: &settings::Team) -> Quota {
        let settings::Team {
            cpus,
            cpus_max,
            gpus,
            gpus_max,
            ..
        } = *team;
        Quota {
            cpus,
            cpus_max,
            gpus,
            gpus_max,
        }
    }
}

/// The state of a team that is in effect, from the settings and the overlay.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveTeam {
    /// Name of the team.
    pub name: String,
    /// Its guarantees and limits.
    pub quota: Quota,
    /// Whether the team is removed: its new jobs are refused, accepted jobs continue.
    pub removed: bool,
}
