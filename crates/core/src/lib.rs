//! Types shared by all beamhinge crates: identifiers, revisions and times, settings, messages and
//! their encodings.
//!
//! The crate opens no sockets and makes no scheduling decisions. Serde attributes fix the names in
//! stored records and on the wire, and the golden files in `tests/golden` pin them: Rust names may
//! change, encoded bytes may not.

pub mod http;
pub mod job;
pub mod messages;
pub mod peers;
pub mod resources;
pub mod settings;
pub mod types;
pub mod wire;
