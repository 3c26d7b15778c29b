//! The controller of the cluster scheduler, sans-IO.
//!
//! Each module has one responsibility and performs no input or output: it receives events and
//! the current time, and returns messages. Tests can therefore run whole clusters in simulated
//! time, and all sockets are in `beamhinge-transport`.

pub mod admin_api;
pub mod calls;
pub mod capacity_planner;
pub mod configuration;
pub mod directives;
pub mod eligibility;
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
pub mod supply;
pub mod user_api;
pub mod worker_protocol;

#[cfg(test)]
#[path = "../../core/tests/support/golden.rs"]
mod golden;
