//! Configuration that changes while the service runs: teams and their quotas.
//!
//! The platform's settings file is the base; changes lie over it as one versioned overlay in
//! the key-value store. A [`ConfigurationChange`] names the version that its author saw, and is
//! made whole or not at all. What was before is retained for the latest versions, so that any
//! of them can be restored as a new version.
//!
//! This crate does no input or output: stored values come in, values to be written go out. The
//! controller reads and writes them. `docs/configuration.md` describes the whole.
//!
//! Invariants:
//! - Versions count up by one with each change, and every change writes the head.
//! - A team that was added is never forgotten: it is marked as removed, since its accepted jobs
//!   still count against its quota.

pub mod change;
pub mod plan;
pub mod quota;
pub mod stored;

pub use change::{ChangeError, ConfigurationChange, TeamChange};
pub use plan::ChangePlan;
pub use quota::{EffectiveTeam, Quota};
pub use stored::{Snapshot, TeamState, Version};
