//! Errors for settings files that cannot be used.

use std::io;
use std::net::SocketAddrV4;
use std::path::Path;

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The platform's file is not valid TOML or does not have the expected structure.
    #[error("{file}: {source}")]
    Toml {
        /// Path of the file.
        file: String,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// The operators' file is not valid INI.
    #[error("{file}: {source}")]
    Ini {
        /// Path of the file.
        file: String,
        /// The cause.
        source: ini::ParseError,
    },
    /// A value is unusable.
    #[error("{field}: {source}")]
    Invalid {
        /// Name of the setting as in its file.
        field: String,
        /// The reason why the value is unusable.
        source: InvalidValue,
    },
}

impl SettingsError {
    pub(super) fn invalid(field: &str, source: InvalidValue) -> SettingsError {
        SettingsError::Invalid {
            field: field.into(),
            source,
        }
    }
}

/// The reason why the value of a setting is unusable.
#[derive(Debug, PartialEq, thiserror::Error)]
#[allow(missing_docs)] // The error messages describe the variants.
pub enum InvalidValue {
    #[error("{0} is not a positive number")]
    NotPositive(f64),
    #[error("is empty")]
    Empty,
    #[error("is negative or not finite")]
    NegativeOrNotFinite,
    #[error("is below 4, the minimum number of operations for a placement")]
    TransactionTooSmall,
    #[error("is below 32")]
    TooFewConnections,
    #[error(
        "{cancel_s} is too close to lease_s {lease_s}: a leader without access to the key-value \
         store could not enforce a cancellation in time"
    )]
    TooCloseToLease { cancel_s: f64, lease_s: f64 },
    #[error("names this controller itself, {0}")]
    NamesItself(String),
    #[error("'{0}' is not a number")]
    NotANumber(String),
    #[error("'{0}' is not a whole number")]
    NotAWholeNumber(String),
    #[error("{value} is not between {low} and {high}")]
    OutOfRange { value: f64, low: f64, high: f64 },
    #[error("'{0}' is not IP:PORT")]
    NotAnAddress(String),
    #[error("'{0}' is not yes or no")]
    NotYesOrNo(String),
    #[error("'{0}' is not standard, high or critical")]
    NotAPriorityCeiling(String),
    #[error("is not a known setting")]
    UnknownSetting,
    #[error("{0} is not a loopback address: set `keys` to a key file first")]
    PublicWithoutKeys(SocketAddrV4),
}

/// Reads a settings file; `name` is its path as shown in errors.
pub(super) fn read_file(path: &Path, name: &str) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        file: name.into(),
        source,
    })
}
