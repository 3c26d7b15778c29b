//! Transactions that respect the key-value store's limits, and adaptive retries.
//!
//! The store accepts transactions up to a certain size only (`POST /commit` of the platform's
//! protocol). A [`Transaction`] knows these limits from the settings and rejects what does not
//! fit, so no caller computes a bound of its own and none can build a request that will be
//! refused. An [`AdaptiveBackoff`] decides how work is retried after a refusal: each time
//! smaller, each time later, and in the end not at all by this controller.
//!
//! The crate sends nothing; the pacing of requests is the business of the store's client.

mod backoff;
mod transaction;

pub use backoff::{AdaptiveBackoff, RetryAction};
pub use transaction::{Transaction, TransactionError, TransactionLimits};
