//! What silence means, and failures.
//!
//! A controller that does not hear a machine knows little: the machine may be
//! dead, its link may be, or the controller's own. This package weighs that for
//! machines together, and says of each whether it may be given back. It decides
//! about money and waiting only: when a task is off a machine is Guard 3's
//! matter, and nothing here weakens it.
//!
//! Sans-IO: times come in, findings go out. `docs/suspicion.md` has the ways
//! that were weighed.

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
