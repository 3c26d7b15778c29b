//! Responses of the key-value store, as they are on the wire.

use ciborium::Value;
use serde::{Deserialize, Serialize};

/// One key of a scan.
#[derive(Deserialize)]
pub struct KeyValue {
    /// The whole key, with its prefix.
    #[serde(rename = "path")]
    pub key: String,
    /// The stored value.
    pub value: Value,
    /// The revision of the transaction that last wrote the key.
    #[serde(rename = "stamp")]
    pub revision: u64,
}

/// One page of a scan, in the order of keys.
#[derive(Deserialize)]
pub struct ScanResponse {
    /// The keys of this page.
    #[serde(rename = "pairs")]
    pub entries: Vec<KeyValue>,
    /// Further keys follow behind the last one.
    #[serde(default)]
    pub more: bool,
    /// The store's revision that the page shows.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// One change under a watched prefix: either `write` or `delete` names the key.
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

/// The changes since the revision of the request.
#[derive(Deserialize)]
pub struct WatchResponse {
    /// The store's revision up to which the events are complete.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    /// The changes, oldest first.
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

/// A session lease that was granted.
#[derive(Deserialize)]
pub struct LeaseResponse {
    /// The id by which the lease is renewed, revoked and bound to keys.
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

/// A transaction that was committed.
#[derive(Deserialize)]
pub struct CommitResponse {
    /// The revision of the transaction, which all keys it wrote have now.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// The body of a response other than 200.
#[derive(Deserialize)]
pub(super) struct ErrorResponse {
    /// The keys whose conditions failed.
    #[serde(default)]
    pub(super) failed: Vec<String>,
    #[serde(default)]
    pub(super) error: Option<String>,
}

/// The body of the request for a session lease.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LeaseRequest {
    #[serde(rename = "lifeMs")]
    pub(super) duration_ms: u64,
}
