//! Errors in the text of a scenario.

use beamhinge_core::settings::SettingsError;

/// What is wrong with the text of a scenario or of a day's file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A line begins with an unknown word.
    #[error("unknown line '{0}'")]
    UnknownLine(String),
    /// A `double` line names no known test double.
    #[error("unknown double '{0}'")]
    UnknownDouble(String),
    /// An `at` line has an unknown action.
    #[error("unknown action '{0}'")]
    UnknownAction(String),
    /// A `cut` names no known link.
    #[error("unknown link '{0}' in cut")]
    UnknownLink(String),
    /// A `when` names no known trigger.
    #[error("unknown trigger '{0}' in when")]
    UnknownTrigger(String),
    /// A day's file has a fault of an unknown kind.
    #[error("unknown kind of fault '{0}'")]
    UnknownFault(String),
    /// An action lacks arguments.
    #[error("missing arguments: {0:?}")]
    TooFewWords(Vec<String>),
    /// An action lacks a certain argument, or the argument is malformed.
    #[error("{0}")]
    Missing(&'static str),
    /// An argument is not a time in seconds.
    #[error("'{0}' is not a time in seconds")]
    NotATime(String),
    /// The value of an option is not a number.
    #[error("{option}: '{value}' is not a number")]
    NotANumber {
        /// Name of the option.
        option: String,
        /// Its value.
        value: String,
    },
    /// The operators' settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A day's file is not TOML in the bench's format.
    #[error(transparent)]
    DayFile(#[from] toml::de::Error),
}
