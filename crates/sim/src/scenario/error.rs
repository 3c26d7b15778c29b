//! Why a scenario could not be played.

use beamhinge_core::settings::SettingsError;

/// What is wrong with the text of a scenario or of a day's file.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A line begins with a word that is not known.
    #[error("unknown line '{0}'")]
    UnknownLine(String),
    /// A `double` line names none.
    #[error("unknown double '{0}'")]
    UnknownDouble(String),
    /// An `at` line has an action that is not known.
    #[error("unknown action '{0}'")]
    UnknownAction(String),
    /// A `cut` names no link.
    #[error("cut what '{0}'?")]
    UnknownLink(String),
    /// A `when` waits for something that is not known.
    #[error("when '{0}'?")]
    UnknownTrigger(String),
    /// A fault of a day's file is not known.
    #[error("a fault of unknown kind '{0}'")]
    UnknownFault(String),
    /// An action lacks words.
    #[error("too few words: {0:?}")]
    TooFewWords(Vec<String>),
    /// An action lacks a certain word, or has one of another form.
    #[error("{0}")]
    Missing(&'static str),
    /// A word that should be a time in seconds.
    #[error("'{0}' is no time")]
    NotATime(String),
    /// An option that should be a number.
    #[error("{option}: '{value}' is no number")]
    NotANumber {
        /// Name of the option.
        option: String,
        /// Its value.
        value: String,
    },
    /// The operators' lines are not accepted.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A day's file is no TOML of the bench's form.
    #[error(transparent)]
    DayFile(#[from] toml::de::Error),
}
