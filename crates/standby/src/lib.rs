//! A standby that is ready: by which witnesses it knows that the holder is gone
//! before the holder's lease says so, and whose turn it is to take the lead.
//!
//! Nothing here is a guard. Whoever takes the lead early takes it by the same
//! conditional transaction as ever, with a higher token; a holder that was only
//! slow is deposed by it and has lost its turn, not its tasks.
//!
//! Sans-IO: heartbeats and workers' reports come in with their times, a finding goes out.
//! `docs/standby.md` has the ways that were weighed.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

mod failure_detector;

pub use failure_detector::{takeover_rank, FailureDetector, Observer, HEARTBEAT_S};
