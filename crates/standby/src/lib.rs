//! Early failover: how a standby controller detects a dead leader before the leader's lease
//! expires, and which standby takes over first.
//!
//! Safety does not depend on this crate. An early failover uses the same conditional transaction
//! as any other leadership acquisition and gets a higher fencing token. A leader that was only slow
//! then loses its term, but not its tasks.
//!
//! Sans-IO: callers pass in heartbeats and workers' reports with their times, and receive a
//! suspicion. `docs/standby.md` lists the alternatives that were considered.

mod failure_detector;

pub use failure_detector::{takeover_rank, FailureDetector, Observer, HEARTBEAT_INTERVAL_S};
