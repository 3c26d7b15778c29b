//! Configuration that changes while the service runs: teams and their quotas.
//!
//! The platform's settings file is the base; changes lie over it as one versioned
//! overlay in the state service. A [`change::Change`] names the version that its author
//! saw and is made as one or not at all; what was before is kept for the last versions,
//! so that any of them can be gone back to as a new one. Sans-IO: what is stored comes in,
//! what is to be written goes out. `docs/configuration.md` has the whole.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

pub mod change;
pub mod quota;
pub mod stored;

pub use change::{Change, Plan, Refusal, TeamChange};
pub use quota::{EffectiveTeam, Quota};
pub use stored::{Snapshot, TeamState, Version};
