//! A whole cluster in simulated time: the controllers as they are, on emulators that can be
//! told to fail; scenarios as small text files; and days that are drawn, judged, and made
//! smaller when one fails.
//!
//! - [`scenario`] plays one text file on a [`cluster`] and judges the outcome;
//! - [`days`] and [`combined_faults`] draw such files;
//! - [`fingerprint`] takes a hash of all that the controllers of a day sent, so that a
//!   change that is to leave decisions as they are can show that it does.

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
