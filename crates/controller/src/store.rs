//! Client of the state service: pacing, transactions, leases and watches.
//!
//! Every write is conditional on stamps, so a transaction that is applied late
//! either changes nothing or does what was meant. A reply that never came is
//! reported as [`Outcome::Lost`]; its caller reads again and assumes nothing.

use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{CallId, Time};
use beamhinge_core::wire;
use beamhinge_rate_limit::TransactionLimits;
pub use beamhinge_rate_limit::{Transaction, TransactionError};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Order of importance when the rate limits leave room for some only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    Lease,
    Admission,
    Scheduler,
    Read,
    Background,
}

const PRIORITIES: usize = 5;
/// How long a request may wait here before it counts as refused.
const PATIENCE_S: f64 = 1.5;
const QUEUE_LIMIT: usize = 256;

#[derive(Debug)]
pub enum Outcome {
    Ok(Vec<u8>),
    /// 404: no such key, or no such lease.
    NotFound,
    /// 409: conditions that failed.
    Conflict(Vec<String>),
    /// 410: the watch's revision is too old.
    Gone,
    /// 400 "no such lease".
    LeaseNotFound,
    /// Certainly not executed: the rate is spent, or the service is away.
    Refused,
    /// 400: not executed, and the same again would not be either.
    Malformed,
    /// May have been executed, or may be later.
    Indeterminate,
}

#[derive(Debug)]
pub struct Reply<T> {
    pub tag: T,
    pub outcome: Outcome,
    /// When the request was sent: what it shows is no older than this.
    pub sent_at: Time,
}

#[derive(Deserialize)]
pub struct KeyValue {
    #[serde(rename = "path")]
    pub key: String,
    pub value: Value,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Deserialize)]
pub struct ScanResponse {
    #[serde(rename = "pairs")]
    pub entries: Vec<KeyValue>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

#[derive(Deserialize)]
pub struct WatchEvent {
    #[serde(default)]
    pub write: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default)]
    pub value: Option<Value>,
    #[serde(rename = "stamp")]
    pub revision: u64,
}

#[derive(Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    #[serde(rename = "news")]
    pub events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
pub struct LeaseResponse {
    #[serde(rename = "permit")]
    pub lease_id: u64,
}

#[derive(Deserialize)]
pub struct CommitResponse {
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

#[derive(Deserialize)]
struct ErrorResponse {
    #[serde(default)]
    failed: Vec<String>,
    #[serde(default)]
    error: Option<String>,
}

struct Queued<T> {
    tag: T,
    method: Method,
    path: String,
    body: Vec<u8>,
    puts: usize,
    timeout: f64,
    since: Time,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Time,
}

impl Bucket {
    fn fill(&mut self, now: Time) {
        self.level = (self.level + now.since(self.at) * self.rate).min(self.rate);
        self.at = now;
    }
}

pub struct StoreClient<T> {
    requests: Bucket,
    writes: Bucket,
    /// Writes that take jobs in, while others wait.
    accepts: Bucket,
    full: (f64, f64),
    limits: TransactionLimits,
    queues: [VecDeque<Queued<T>>; PRIORITIES],
    in_flight: BTreeMap<CallId, (T, Time)>,
    refused: Vec<Reply<T>>,
    last_success: Option<Time>,
    last_response: Option<Time>,
}

impl<T> StoreClient<T> {
    pub fn new(settings: &Settings) -> StoreClient<T> {
        let s = &settings.params.state;
        StoreClient {
            requests: Bucket {
                rate: s.rps,
                level: 0.0,
                at: Time::default(),
            },
            writes: Bucket {
                rate: s.write_rps,
                level: 0.0,
                at: Time::default(),
            },
            accepts: Bucket {
                rate: s.write_rps,
                level: 0.0,
                at: Time::default(),
            },
            full: (s.rps, s.write_rps),
            limits: TransactionLimits::from(s),
            queues: Default::default(),
            in_flight: BTreeMap::new(),
            refused: Vec::new(),
            last_success: None,
            last_response: None,
        }
    }

    /// The limits hold for all controllers together; this is our part of them.
    /// `accepts`: the part of its writes that taking jobs in may use while others
    /// wait. A holder that took in whatever came wrote nothing else: what had ended
    /// was told minutes later.
    pub fn set_rate_share(&mut self, share: f64, accepts: f64) {
        self.requests.rate = (self.full.0 * share).max(2.0);
        self.writes.rate = (self.full.1 * share).max(2.0);
        self.accepts.rate = (self.writes.rate * accepts).max(1.0);
    }

    /// What one transaction may hold and still ever be sent.
    pub fn limits(&self) -> TransactionLimits {
        self.limits
            .with_max_writes((self.writes.rate as usize).max(2))
    }

    /// An empty transaction within these limits.
    pub fn transaction(&self) -> Transaction {
        Transaction::new(self.limits())
    }

    /// An empty transaction for what is rare and can't be made in parts: it is sent from a
    /// full bucket, which pays it back later.
    pub fn unpaced_transaction(&self) -> Transaction {
        Transaction::new(self.limits)
    }

    /// Writes that could be sent now, and the rate at which they come back.
    pub fn write_budget(&mut self, now: Time) -> (f64, f64) {
        self.writes.fill(now);
        (self.writes.level, self.writes.rate)
    }

    fn push(
        &mut self,
        now: Time,
        p: Priority,
        op: (T, Method, String, Vec<u8>),
        puts: usize,
        timeout: f64,
    ) {
        let (tag, method, path, body) = op;
        let queue = &mut self.queues[p as usize];
        if queue.len() >= QUEUE_LIMIT {
            self.refused.push(Reply {
                tag,
                outcome: Outcome::Refused,
                sent_at: now,
            });
            return;
        }
        queue.push_back(Queued {
            tag,
            method,
            path,
            body,
            puts,
            timeout,
            since: now,
        });
    }

    pub fn commit(&mut self, now: Time, p: Priority, tag: T, transaction: Transaction) {
        let puts = transaction.write_count();
        self.push(
            now,
            p,
            (tag, Method::Post, "/commit".into(), transaction.body()),
            puts,
            2.0,
        );
    }

    pub fn watch(&mut self, now: Time, p: Priority, tag: T, under: &str, since: u64, wait_s: f64) {
        let path = format!(
            "/watch?under={under}&since={since}&waitMs={}",
            (wait_s * 1e3) as u64
        );
        self.push(
            now,
            p,
            (tag, Method::Get, path, Vec::new()),
            0,
            wait_s + 1.5,
        );
    }

    pub fn scan(&mut self, now: Time, p: Priority, tag: T, under: &str, since: Option<&str>) {
        let mut path = format!("/store?under={under}&most=500");
        if let Some(s) = since {
            path.push_str(&format!("&since={s}"));
        }
        self.push(now, p, (tag, Method::Get, path, Vec::new()), 0, 2.5);
    }

    pub fn grant_lease(&mut self, now: Time, tag: T, life_s: f64) {
        #[derive(Serialize)]
        #[serde(rename_all = "camelCase")]
        struct Hold {
            life_ms: u64,
        }
        let body = wire::encode(&Hold {
            life_ms: (life_s * 1e3) as u64,
        });
        self.push(
            now,
            Priority::Lease,
            (tag, Method::Post, "/holds".into(), body),
            0,
            1.5,
        );
    }

    pub fn renew_lease(&mut self, now: Time, tag: T, lease_id: u64) {
        let path = format!("/holds/{lease_id}/renew");
        self.push(
            now,
            Priority::Lease,
            (tag, Method::Post, path, Vec::new()),
            0,
            1.5,
        );
    }

    pub fn revoke_lease(&mut self, now: Time, tag: T, lease_id: u64) {
        let path = format!("/holds/{lease_id}");
        self.push(
            now,
            Priority::Lease,
            (tag, Method::Delete, path, Vec::new()),
            0,
            1.5,
        );
    }

    /// Sends what the limits allow, the important first. Each class leaves a
    /// little in the buckets, so that a renewal never waits behind polls.
    pub fn flush(&mut self, now: Time, next_call: &mut u64, out: &mut Vec<Effect>) {
        self.requests.fill(now);
        self.writes.fill(now);
        self.accepts.fill(now);
        let others_wait = !self.queues[Priority::Scheduler as usize].is_empty();
        for p in 0..PRIORITIES {
            let accepting = p == Priority::Admission as usize;
            while let Some(front) = self.queues[p].front() {
                let waited = now.since(front.since);
                let reserve = p as f64 * 0.05;
                let puts = front.puts as f64;
                let fits = self.requests.level >= 1.0 + reserve * self.requests.rate
                    && (puts == 0.0
                        || self.writes.level
                            >= (puts + reserve * self.writes.rate).min(self.writes.rate * 0.99));
                // Below a transaction's worth the bucket lends: it pays later.
                let turn = !(accepting && puts > 0.0 && others_wait) || self.accepts.level > 0.0;
                let fits = fits && turn;
                if !fits && waited <= PATIENCE_S {
                    break;
                }
                let Some(op) = self.queues[p].pop_front() else {
                    break;
                };
                if !fits {
                    self.refused.push(Reply {
                        tag: op.tag,
                        outcome: Outcome::Refused,
                        sent_at: now,
                    });
                    continue;
                }
                self.requests.level -= 1.0;
                self.writes.level -= puts;
                if accepting {
                    self.accepts.level = (self.accepts.level - puts).max(-self.accepts.rate);
                }
                *next_call += 1;
                let id = CallId(*next_call);
                self.in_flight.insert(id, (op.tag, now));
                out.push(Effect::Call {
                    id,
                    destination: Destination::State,
                    method: op.method,
                    path: op.path,
                    body: op.body,
                    timeout_s: op.timeout,
                });
            }
        }
    }

    /// Requests that were given up here, for their slices to decide anew.
    pub fn take_refused(&mut self) -> Vec<Reply<T>> {
        std::mem::take(&mut self.refused)
    }

    /// When the newest request was sent that the service really handled.
    pub fn last_success(&self) -> Option<Time> {
        self.last_success
    }

    /// When the newest request was sent that the service answered at all, if only to
    /// refuse it.
    pub fn last_response(&self) -> Option<Time> {
        self.last_response
    }

    pub fn owns_call(&self, id: CallId) -> bool {
        self.in_flight.contains_key(&id)
    }

    pub fn on_reply(&mut self, id: CallId, result: Option<(u16, Vec<u8>)>) -> Option<Reply<T>> {
        let (tag, sent) = self.in_flight.remove(&id)?;
        if matches!(&result, Some((200 | 404 | 409 | 410 | 429, _))) {
            self.last_success = self.last_success.max(Some(sent));
        }
        if result.is_some() {
            self.last_response = self.last_response.max(Some(sent));
        }
        let outcome = match result {
            None => Outcome::Indeterminate,
            Some((200, body)) => Outcome::Ok(body),
            Some((404, _)) => Outcome::NotFound,
            Some((409, body)) => Outcome::Conflict(
                wire::decode::<ErrorResponse>(&body)
                    .map(|f| f.failed)
                    .unwrap_or_default(),
            ),
            Some((410, _)) => Outcome::Gone,
            Some((429, _)) => {
                // Others spent more than their part; let the bucket run dry.
                self.requests.level = self.requests.level.min(0.0);
                self.writes.level = self.writes.level.min(0.0);
                Outcome::Refused
            }
            Some((503, _)) => Outcome::Refused,
            Some((400, body)) => {
                let error = wire::decode::<ErrorResponse>(&body)
                    .ok()
                    .and_then(|f| f.error);
                if error.as_deref() == Some("no such lease") {
                    Outcome::LeaseNotFound
                } else {
                    tracing::error!("state service calls our request malformed: {error:?}");
                    Outcome::Malformed
                }
            }
            // An unknown status says nothing about whether it was executed.
            Some((_, _)) => Outcome::Indeterminate,
        };
        Some(Reply {
            tag,
            outcome,
            sent_at: sent,
        })
    }
}

#[cfg(test)]
mod tests;
