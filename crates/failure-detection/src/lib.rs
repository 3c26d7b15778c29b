//! Failure detection: what the silence of machines means, and whose fault failed tasks are.
//!
//! A controller that does not hear a machine knows little: the machine may be dead, its link may
//! be broken, or the controller's own link may be. This crate weighs that for all machines
//! together, and says of each whether it may be given up ([`SilenceDetector`]). It also learns
//! how reports are spaced ([`ReportInterval`]), notices pauses and stalls of the controller itself
//! ([`PauseDetector`], [`StallDetector`]), tracks machines that do not acknowledge
//! ([`AckTracker`]), and attributes failures to machines or jobs ([`FaultAttribution`]).
//!
//! Invariant: findings decide about money and waiting only. When a task counts as ended on a
//! machine is decided by Guard 3 of `docs/safety.md`, and nothing here weakens it.
//!
//! Sans-IO: times come in and findings go out; nothing here reads a clock or sends a message.
//! Alternatives that were weighed stand in `docs/failure-detection.md`.

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
