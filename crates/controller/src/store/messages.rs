//! Wire format of the key-value store's responses and of the lease request.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// One key in a scan response.
#[derive(Deserialize)]
pub struct KeyValue {
    /// The full key, including its prefix.
    #[serde(rename = "path")]
    pub key: String,
    /// The stored value.
    pub value: Value,
    /// The revision of the transaction that last wrote the key.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One page of a scan, ordered by key.
#[derive(Deserialize)]
pub struct ScanResponse {
    /// The keys of this page.
    #[serde(rename = "pairs")]
    pub entries: Vec<KeyValue>,
    /// Whether more keys follow the last one of this page.
    #[serde(default)]
    pub more: bool,
    /// The revision of the store as of which the page was read.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// One change under a watched prefix; either `write` or `delete` contains the key.
#[derive(Deserialize)]
pub struct WatchEvent {
    /// The key that was written.
    #[serde(default)]
    pub write: Option<String>,
    /// The key that was deleted.
    #[serde(default)]
    pub delete: Option<String>,
    /// The value that was written.
    #[serde(default)]
    pub value: Option<Value>,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// The changes after the start revision of a watch.
#[derive(Deserialize)]
pub struct WatchResponse {
    /// The revision of the store up to which the events are complete.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    /// The changes, oldest first.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// The response to a granted session lease.
#[derive(Deserialize)]
pub struct LeaseResponse {
    /// The id by which the lease is renewed, revoked and bound to keys.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// The response to a committed transaction.
#[derive(Deserialize)]
pub struct CommitResponse {
    /// The revision of the transaction, which is also the revision of each key that it wrote.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// The body of a response with a status other than 200.
#[derive(Deserialize)]
pub(super) struct ErrorResponse {
    /// The keys whose conditions failed.
    #[serde(default)]
    pub(super) failed: Vec<String>,
    #[serde(default)]
    pub(super) error: Option<String>,
}

/// The body of a request for a session lease.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    pub(super) duration_ms: u64,
}
