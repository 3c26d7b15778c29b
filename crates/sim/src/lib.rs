//! A whole cluster in simulated time: the controllers as they are, on stand-ins
//! that can be told to fail; scenarios as small text files; and days that are
//! drawn, judged, and made smaller when one fails.

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

pub mod cluster;
pub mod combined_faults;
pub mod days;
pub mod effective_quotas;
pub mod fault_injection;
pub mod fingerprint;
pub mod machine_contents;
pub mod preemptions;
pub mod scenario;
pub mod starvation;
