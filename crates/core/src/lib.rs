//! The words that every package of beamhinge shares: ids, versions and times,
//! settings, messages and their encodings. No sockets, no decisions.

pub mod http;
pub mod job;
pub mod messages;
pub mod peers;
pub mod settings;
pub mod types;
pub mod wire;
