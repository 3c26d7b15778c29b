//! Transactions that respect the key-value store's limits, and adaptive retries.
//!
//! The store accepts transactions only up to a certain size (`POST /commit` of the platform's
//! protocol). A [`Transaction`] takes these limits from the settings and rejects operations that do
//! not fit. Callers therefore compute no limits themselves and cannot build a request that exceeds
//! them. An [`AdaptiveBackoff`] decides how work is retried after a refusal: requests that the
//! store rejects as malformed become smaller with each retry, and this controller finally stops
//! retrying them; every refusal lengthens the backoff.
//!
//! The crate sends nothing; the store's client limits the rate of requests.

mod backoff;
mod transaction;

pub use backoff::{AdaptiveBackoff, RetryAction};
pub use transaction::{Transaction, TransactionError, TransactionLimits};
