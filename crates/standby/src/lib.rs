//! Early failover: how a standby controller finds that the leader is dead before the
//! leader's lease expires, and which standby takes over first.
//!
//! Nothing here is needed for safety. An early failover uses the same conditional transaction
//! as any other acquisition and gets a higher fencing token; a leader that was only slow is
//! deposed by it and loses its term, not its tasks.
//!
//! Sans-IO: heartbeats and workers' reports come in with their times, a suspicion comes out.
//! `docs/standby.md` lists the alternatives that were considered.

mod failure_detector;

pub use failure_detector::{takeover_rank, FailureDetector, Observer, HEARTBEAT_S};
