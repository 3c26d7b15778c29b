//! The platform's settings file (TOML) and the operators' own (INI).
//!
//! Both are checked before anything starts: a value that cannot work is refused, and the error
//! names it as the file does. Unknown fields of the platform's file are ignored, since it may
//! come from a newer platform; unknown settings of the operators' file are refused.

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

/// A complete platform file to start from.
pub const SAMPLE: &str = include_str!("../sample.toml");

#[cfg(test)]
mod tests;
