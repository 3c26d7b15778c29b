//! Message types of the admin API: requests and responses, the reasons why tasks of a job are
//! waiting, operator directives, and request authentication.
//!
//! Controllers and clients share this crate, so that both sides encode and decode the same types.
//! Messages are encoded as JSON between clients and controllers, and as `postcard` between
//! controllers; `docs/operations.md` lists every field. Names of fields and variants are part of
//! the public interface: where a Rust name differs, `#[serde(rename)]` keeps the name on the wire.

pub mod auth;
pub mod directives;
pub mod messages;
pub mod reasons;
