//! The words that every package of beamhinge shares: ids, versions and times,
//! settings, messages and their encodings. No sockets, no decisions.

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

pub mod http;
pub mod job;
pub mod messages;
pub mod peers;
pub mod resources;
pub mod settings;
pub mod types;
pub mod wire;
