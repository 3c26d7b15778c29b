//! Validation of the platform's settings at startup: an unusable value is rejected with an error
//! that names the setting.

use super::error::{InvalidValue, SettingsError};
use super::platform::Settings;

/// Minimum number of operations in a transaction, as needed for one placement.
const MIN_TRANSACTION_OPERATIONS: usize = 4;
/// Minimum number of connections that a controller needs.
const MIN_CONNECTIONS: usize = 32;

fn check_positive(field: &str, value: f64) -> Result<(), SettingsError> {
    if !value.is_finite() || value <= 0.0 {
        let problem = InvalidValue::NotPositive(value);
        return Err(SettingsError::invalid(field, problem));
    }
    Ok(())
}

fn check_not_negative(field: &str, value: f64) -> Result<(), SettingsError> {
    if !value.is_finite() || value < 0.0 {
        let problem = InvalidValue::NegativeOrNotFinite;
        return Err(SettingsError::invalid(field, problem));
    }
    Ok(())
}

impl Settings {
    pub(super) fn validate(&self) -> Result<(), SettingsError> {
        self.validate_rates()?;
        if self.label.is_empty() {
            return Err(SettingsError::invalid("label", InvalidValue::Empty));
        }
        self.validate_limits()?;
        self.validate_timings()?;
        self.validate_teams()?;
        self.validate_members()
    }

    fn validate_rates(&self) -> Result<(), SettingsError> {
        let params = &self.params;
        let limits = &params.machine_limits;
        check_positive("params.workers.report_s", params.workers.report_s)?;
        check_positive("params.workers.lease_s", params.workers.lease_s)?;
        check_positive("params.workers.cancel_s", params.workers.cancel_s)?;
        check_positive("params.state.rps", params.state.rps)?;
        check_positive("params.state.write_rps", params.state.write_rps)?;
        check_positive("params.state.value_kb", params.state.value_kb)?;
        check_positive("params.cloud.rps", params.cloud.rps)?;
        check_positive("params.machine_limits.cpu_share", limits.cpu_share)?;
        check_positive("params.machine_limits.ram_mb", limits.ram_mb)
    }

    fn validate_limits(&self) -> Result<(), SettingsError> {
        let params = &self.params;
        check_not_negative("params.cloud.list_lag_s", params.cloud.list_lag_s)?;
        check_not_negative("params.skew_ms", params.skew_ms)?;
        if params.state.txn_ops < MIN_TRANSACTION_OPERATIONS {
            return Err(SettingsError::invalid(
                "params.state.txn_ops",
                InvalidValue::TransactionTooSmall,
            ));
        }
        if params.machine_limits.max_connections < MIN_CONNECTIONS {
            return Err(SettingsError::invalid(
                "params.machine_limits.max_connections",
                InvalidValue::TooFewConnections,
            ));
        }
        Ok(())
    }

    fn validate_timings(&self) -> Result<(), SettingsError> {
        let workers = &self.params.workers;
        if self.serving_deadline_s() < workers.report_s {
            return Err(SettingsError::invalid(
                "params.workers.cancel_s",
                InvalidValue::TooCloseToLease {
                    cancel_s: workers.cancel_s,
                    lease_s: workers.lease_s,
                },
            ));
        }
        Ok(())
    }

    fn validate_teams(&self) -> Result<(), SettingsError> {
        for (i, team) in self.params.teams.iter().enumerate() {
            for (name, amount) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                check_not_negative(&format!("params.teams[{i}].{name}"), amount)?;
            }
        }
        Ok(())
    }

    fn validate_members(&self) -> Result<(), SettingsError> {
        if self.members.iter().any(|m| m.label == self.label) {
            let problem = InvalidValue::NamesItself(self.label.clone());
            return Err(SettingsError::invalid("members", problem));
        }
        Ok(())
    }
}
