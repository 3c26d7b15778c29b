//! Configuration that changes while the service runs: teams and their quotas.
//!
//! The platform's settings file is the base. Configuration changes are stored in the key-value
//! store as one versioned overlay on the settings. A [`ConfigurationChange`] names the version that
//! its author saw, and is applied atomically. The former state of the changed teams is retained for
//! the latest versions, so that any of these can be restored as a new version.
//!
//! This crate does no input or output: it takes stored values and returns the values to be written.
//! The controller reads and writes them. `docs/configuration.md` describes the design.
//!
//! Invariants:
//! - The version increases by one with each change, and every change writes the head.
//! - A team that was added is never deleted but marked as removed, since its accepted jobs still
//!   count against its quota.

pub mod change;
pub mod plan;
pub mod quota;
pub mod stored;

pub use change::{ChangeError, ConfigurationChange, TeamChange};
pub use plan::ChangePlan;
pub use quota::{EffectiveTeam, Quota};
pub use stored::{Snapshot, TeamState, Version};
