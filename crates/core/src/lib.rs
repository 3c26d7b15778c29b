//! Types that every package of beamhinge shares: identifiers, revisions and times, settings,
//! messages and their encodings.
//!
//! The crate opens no sockets and takes no scheduling decisions. Names in stored records and on
//! the wire are fixed by serde attributes and held by the golden files of `tests/golden`: Rust
//! names may change, bytes may not.

pub mod http;
pub mod job;
pub mod messages;
pub mod peers;
pub mod resources;
pub mod settings;
pub mod types;
pub mod wire;
