//! One controller, sans-IO.
//!
//! Each module is a slice by duty. Slices do no input or output of their own:
//! events and the time go in, messages come out. That lets tests run whole
//! clusters in simulated time, and keeps every socket in `beamhinge-transport`.

pub mod admin_api;
pub mod calls;
pub mod capacity_planner;
pub mod configuration;
pub mod directives;
pub mod event_log;
pub mod faults;
pub mod fleet;
pub mod job_store;
pub mod leader_election;
pub mod metrics;
pub mod node;
pub mod peers;
mod pending_changes;
pub mod placement_pages;
pub mod progress;
pub mod replica;
mod replica_scan;
pub mod scheduler;
pub mod split;
pub mod store;
pub mod user_api;
pub mod worker_protocol;

#[cfg(test)]
#[path = "../../core/tests/support/golden.rs"]
mod golden;
