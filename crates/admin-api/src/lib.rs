//! The operators' interface as messages: what may be asked of a controller, what it answers,
//! why a job does not run, and how a request proves who sent it.
//!
//! Controllers and clients share this crate, so that an answer that one writes is one the other
//! reads. JSON towards clients, `postcard` between controllers; `docs/operations.md` lists every
//! field. Names of fields and variants are a public interface: where a Rust name differs, the
//! name on the wire is kept by `#[serde(rename)]`.

pub mod auth;
pub mod directives;
pub mod messages;
pub mod reasons;
