//! Simulates a whole cluster in simulated time. The unmodified controllers run on emulators
//! into which faults can be injected. Scenarios are small text files. Randomly generated
//! scenarios ("days") are played, judged, and reduced when one fails.
//!
//! - [`scenario`] plays one text file on a [`cluster`] and judges the outcome;
//! - [`days`] and [`combined_faults`] generate such files at random;
//! - [`fingerprint`] hashes every message that the controllers send during a day, which shows
//!   whether a change leaves all decisions the same.

pub mod cluster;
pub mod combined_faults;
pub mod days;
pub mod effective_quotas;
pub mod event;
pub mod fault_injection;
pub mod fingerprint;
pub mod machine_contents;
pub mod preemptions;
pub mod scenario;
pub mod starvation;
