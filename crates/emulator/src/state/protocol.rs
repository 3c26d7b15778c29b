//! The protocol of the state service. Its wire words and the terms used elsewhere:
//!
//! | wire | term |
//! | --- | --- |
//! | `ledgerRev`, `stamp` | revision of the store, revision of a key |
//! | `holds`, `permit`, `lifeMs` | leases, lease id, time to live |
//! | `commit`: `when`, `then` | transaction: conditions on revisions, writes |
//! | `store`: `under`, `since`, `most` | scan: key prefix, last key of previous page, page size |
//! | `watch`: `under`, `since`, `waitMs`, `news` | watch: key prefix, revision, max wait, events |

use crate::{Micros, Response};
use beamhinge_core::http::Method;
use beamhinge_core::wire;
use serde_json::{json, Value};

/// Path to which transactions are sent.
pub(crate) const COMMIT_PATH: &str = "/commit";
const DEFAULT_LEASE_MS: u64 = 1_000;
const DEFAULT_PAGE_SIZE: usize = 1_000;

/// The request types of the state service.
pub(super) enum Call {
    Commit,
    GrantLease,
    RenewLease(u64),
    RevokeLease(u64),
    Scan,
    Watch,
    Unknown,
}

/// Determines the request type. An invalid lease id is read as 0, which is never granted.
pub(super) fn call(method: Method, path: &str) -> Call {
    let lease_id = |path: &str| {
        let id = path.trim_start_matches("/holds/");
        id.trim_end_matches("/renew").parse().unwrap_or(0)
    };
    match (method, path.split('?').next().unwrap_or("")) {
        (Method::Post, COMMIT_PATH) => Call::Commit,
        (Method::Post, "/holds") => Call::GrantLease,
        (Method::Post, p) if p.starts_with("/holds/") => Call::RenewLease(lease_id(p)),
        (Method::Delete, p) if p.starts_with("/holds/") => Call::RevokeLease(lease_id(p)),
        (Method::Get, "/store") => Call::Scan,
        (Method::Get, "/watch") => Call::Watch,
        _ => Call::Unknown,
    }
}

fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value.to_string())
}

/// A request for one page of the keys with a prefix.
pub(super) struct ScanQuery {
    pub(super) prefix: String,
    /// Last key of the previous page; `None` for the first page.
    pub(super) after: Option<String>,
    pub(super) page_size: usize,
}

impl ScanQuery {
    pub(super) fn decode(path: &str) -> Option<ScanQuery> {
        let page_size = query(path, "most").and_then(|size| size.parse().ok());
        Some(ScanQuery {
            prefix: query(path, "under")?,
            after: query(path, "since"),
            page_size: page_size.unwrap_or(DEFAULT_PAGE_SIZE),
        })
    }
}

/// A request for the changes of keys with a prefix after a revision.
pub(super) struct WatchQuery {
    pub(super) prefix: String,
    pub(super) after_revision: u64,
    /// Maximum time to wait for a change.
    pub(super) wait: Micros,
}

impl WatchQuery {
    pub(super) fn decode(path: &str) -> Option<WatchQuery> {
        let wait_ms: u64 = query(path, "waitMs")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        Some(WatchQuery {
            prefix: query(path, "under")?,
            after_revision: query(path, "since")?.parse().ok()?,
            wait: wait_ms * 1_000,
        })
    }
}

/// The time to live in a request for a lease.
pub(super) fn lease_duration(body: &Value) -> Micros {
    body["lifeMs"].as_u64().unwrap_or(DEFAULT_LEASE_MS) * 1_000
}

/// The kind of a write in a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteKind {
    Put,
    Delete,
    /// Neither a put nor a delete: it changes nothing.
    Malformed,
}

/// One write of a transaction.
pub(super) struct Write<'a> {
    pub(super) kind: WriteKind,
    pub(super) key: &'a str,
    /// The new value; null for a delete.
    pub(super) value: &'a Value,
    /// The lease that the key is bound to; `None` for a durable key.
    pub(super) lease_id: Option<u64>,
}

impl<'a> Write<'a> {
    fn decode(write: &'a Value) -> Write<'a> {
        let (put, delete) = (write["write"].as_str(), write["delete"].as_str());
        let (kind, key) = match (put, delete) {
            (Some(key), _) => (WriteKind::Put, key),
            (None, Some(key)) => (WriteKind::Delete, key),
            (None, None) => (WriteKind::Malformed, ""),
        };
        Write {
            kind,
            key,
            value: &write["value"],
            lease_id: write["permit"].as_u64(),
        }
    }
}

/// A transaction: its writes are applied if every condition on a key's revision holds.
pub(super) struct Transaction<'a> {
    conditions: Vec<&'a Value>,
    pub(super) writes: Vec<Write<'a>>,
    /// Size of its JSON text, bytes.
    pub(super) size: usize,
}

impl<'a> Transaction<'a> {
    pub(super) fn decode(body: &'a Value) -> Transaction<'a> {
        let list = |field: &str| body[field].as_array().into_iter().flatten();
        Transaction {
            conditions: list("when").collect(),
            writes: list("then").map(Write::decode).collect(),
            size: body.to_string().len(),
        }
    }

    /// Number of conditions, including malformed ones.
    pub(super) fn condition_count(&self) -> usize {
        self.conditions.len()
    }

    /// Whether it has a condition on the key.
    pub(super) fn has_condition_on(&self, key: &str) -> bool {
        self.conditions.iter().any(|c| c["path"] == key)
    }

    /// Keys and their required revisions; 0 for a key that must not exist.
    pub(super) fn conditions(&self) -> impl Iterator<Item = (&'a str, u64)> + '_ {
        self.conditions
            .iter()
            .filter_map(|c| Some((c["path"].as_str()?, c["stamp"].as_u64()?)))
    }
}

/// A response with an empty body.
pub(super) fn empty(status: u16) -> Response {
    crate::response(status, &json!({}))
}

pub(super) fn error(status: u16, error: &str) -> Response {
    crate::response(status, &json!({ "error": error }))
}

pub(super) fn lease(lease_id: u64) -> Response {
    crate::response(200, &json!({ "permit": lease_id }))
}

pub(super) fn committed(revision: u64) -> Response {
    crate::response(200, &json!({ "ledgerRev": revision }))
}

/// A conflict: the conditions on these keys do not hold.
pub(super) fn conflict(keys: &[&str], revision: u64) -> Response {
    crate::response(409, &json!({"failed": keys, "ledgerRev": revision}))
}

pub(super) fn pair(key: &str, value: &Value, revision: u64) -> Value {
    json!({"path": key, "value": value, "stamp": revision})
}

pub(super) fn page(pairs: &[Value], more: bool, revision: u64) -> Response {
    let body = json!({"pairs": pairs, "more": more, "ledgerRev": revision});
    crate::response(200, &body)
}

/// Encodes a change of a key; `None` as the value means that the key was deleted.
pub(super) fn watch_event(key: &str, value: Option<&Value>, revision: u64) -> Value {
    match value {
        Some(value) => json!({"write": key, "value": value, "stamp": revision}),
        None => json!({"delete": key, "stamp": revision}),
    }
}

/// Encodes the answer to a watch.
pub(super) fn watch_events(events: &[Value], revision: u64) -> Vec<u8> {
    wire::encode(&json!({"ledgerRev": revision, "news": events}))
}
