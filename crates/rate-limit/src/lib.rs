//! Limits kept by construction, and retries that change.
//!
//! The state service takes transactions of a certain size only (source: the
//! platform's protocol, `POST /commit`). A [`Txn`] knows these limits from the
//! settings and does not take what does not fit, so that no slice computes a
//! bound of its own and none can build what will be refused. A [`Course`] says
//! how the same work is tried again after a refusal: smaller each time, later
//! each time, and in the end not at all by this controller.

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

mod backoff;
mod transaction;

pub use backoff::{AdaptiveBackoff, RetryAction};
pub use transaction::{Transaction, TransactionError, TransactionLimits};
