//! The platform's settings file (TOML) and the operators' settings file (INI).
//!
//! Both are validated at startup, before any other work: an unusable value is rejected with an
//! error that names the setting as the file does. Unknown fields of the platform's file are
//! ignored, since a newer platform may have written it; unknown settings of the operators' file are
//! rejected.

mod error;
mod operator;
mod platform;
mod validation;

pub use error::{InvalidValue, SettingsError};
pub use operator::{AdminListener, OperatorSettings, PriorityAging};
pub use platform::{
    CloudLimits, ExternalServices, MachineLimits, Member, Objective, PlatformParameters, Settings,
    StateLimits, Team, WorkerTimings,
};

/// A complete sample of the platform's settings file.
pub const SAMPLE: &str = include_str!("../sample.toml");

#[cfg(test)]
mod tests;
