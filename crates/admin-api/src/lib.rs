//! The operators' interface as messages: what may be asked of a controller, what
//! it answers, why a job does not run, and how a request proves who sent it.
//!
//! Controllers and clients share this package, so that an answer that one
//! writes is one the other reads. JSON towards clients, `postcard` between
//! controllers; `docs/operations.md` lists every field.

pub mod auth;
pub mod directives;
pub mod messages;
pub mod reasons;
