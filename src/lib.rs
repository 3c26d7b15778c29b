//! beamhinge: a cluster scheduler whose controllers take jobs over HTTP, rent
//! machines and decide what runs where.
//!
//! Each module is a slice by duty. Slices do no input or output of their own:
//! events and the time go in, messages come out. That lets tests run whole
//! clusters in simulated time, and keeps every socket in [`net`].

pub mod blocks;
pub mod fleet;
pub mod http;
pub mod intake;
pub mod jobs;
pub mod leader;
pub mod ledger;
pub mod market;
pub mod net;
pub mod node;
pub mod peers;
pub mod placement;
pub mod progress;
pub mod settings;
pub mod split;
pub mod types;
pub mod wire;
