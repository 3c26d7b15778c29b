//! The operators' interface as messages: what may be asked of a controller, what
//! it answers, why a job does not run, and how a request proves who sent it.
//!
//! Controllers and clients share this package, so that an answer that one
//! writes is one the other reads. JSON towards clients, `postcard` between
//! controllers; `docs/operations.md` lists every field.

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

pub mod auth;
pub mod directives;
pub mod messages;
pub mod reasons;
