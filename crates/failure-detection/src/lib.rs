//! Failure detection for machines, and attribution of task failures to machines or jobs.
//!
//! A missing report has several possible causes: the machine may be dead, its network link may be
//! broken, or the controller's link may be broken. [`SilenceDetector`] assesses all machines
//! together and decides for each whether it is presumed dead. [`ReportInterval`] learns the usual
//! interval between reports, [`PauseDetector`] and [`StallDetector`] detect pauses and stalls of
//! the controller itself, [`AckTracker`] tracks machines that do not acknowledge commands, and
//! [`FaultAttribution`] attributes failures to machines or jobs.
//!
//! Invariant: findings affect only cost and waiting time. Guard 3 of `docs/safety.md` decides when
//! a task counts as ended on a machine, and nothing here weakens it.
//!
//! Sans-IO: callers pass in times and receive findings; nothing here reads a clock or sends a
//! message. `docs/failure-detection.md` describes the alternatives that were considered.

mod ack_tracker;
mod fault_attribution;
mod pause_detector;
mod peer_observations;
mod report_interval;
mod silence_detector;
mod stall_detector;

pub use ack_tracker::AckTracker;
pub use fault_attribution::{AttributionChange, FaultAttribution};
pub use pause_detector::PauseDetector;
pub use peer_observations::{MisroutedWorkers, PeerObservations};
pub use report_interval::ReportInterval;
pub use silence_detector::{
    Connectivity, FailureDomain, FleetAssessment, Liveness, MachineObservation, SilenceDetector,
    SilenceThresholds,
};
pub use stall_detector::{ProgressSnapshot, StallDetector};
