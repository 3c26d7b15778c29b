//! Client of the consensus-backed key-value store: rate limits, transactions, leases and watches.
//!
//! The client is sans-IO: requests are queued by priority, [`StoreClient::flush`] turns as many
//! as the rate limits allow into [`Effect::Call`]s, and [`StoreClient::on_reply`] classifies
//! their replies.
//!
//! Every write is conditional on revisions, so a transaction that is committed late either
//! changes nothing or has the intended effect. If no reply arrives, the outcome is
//! [`Outcome::Indeterminate`]; the caller reads the keys again and makes no assumption.

mod messages;
mod token_bucket;

use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{CallId, Time};
use beamhinge_core::wire;
use beamhinge_rate_limit::TransactionLimits;
pub use beamhinge_rate_limit::{Transaction, TransactionError};
pub use messages::{
    CommitResponse, KeyValue, LeaseResponse, ScanResponse, WatchEvent, WatchResponse,
};
use messages::{ErrorResponse, LeaseRequest};
use std::collections::{BTreeMap, VecDeque};
use token_bucket::TokenBucket;

/// Priority of a request, from the highest to the lowest. When the rate limits do not allow all
/// requests, those of higher priority are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Leases, leader election and checks of the block key.
    Lease,
    /// Jobs that users submit or cancel.
    Admission,
    /// Placements, progress and the termination of jobs.
    Scheduler,
    /// Reads that a request waits for.
    Read,
    /// Requests that may be delayed.
    Background,
}

impl Priority {
    const ALL: [Priority; 5] = [
        Priority::Lease,
        Priority::Admission,
        Priority::Scheduler,
        Priority::Read,
        Priority::Background,
    ];
}

/// Maximum time in its queue before a request is reported as refused, in seconds.
const MAX_QUEUE_WAIT_S: f64 = 1.5;
/// Maximum number of requests in one queue; further ones are refused at once.
const MAX_QUEUED: usize = 256;
/// Fraction of a bucket that each priority leaves unused for the next higher one.
const RESERVE_PER_PRIORITY: f64 = 0.05;
/// Fraction of the write bucket that suffices for any transaction, so that one as large as the
/// bucket is eventually sent.
const FULL_BUCKET_FRACTION: f64 = 0.99;
/// Minimum request rate and minimum write rate of a controller, per second.
const MIN_RATE: f64 = 2.0;
/// Minimum admission rate of a controller, in writes per second.
const MIN_ADMISSION_RATE: f64 = 1.0;
/// Timeout of a commit, in seconds.
const COMMIT_TIMEOUT_S: f64 = 2.0;
/// Timeout of a scan, in seconds.
const SCAN_TIMEOUT_S: f64 = 2.5;
/// Timeout of a lease request, in seconds.
const LEASE_TIMEOUT_S: f64 = 1.5;
/// Time by which the timeout of a watch exceeds its wait time, in seconds.
const WATCH_TIMEOUT_MARGIN_S: f64 = 1.5;
/// The store's error text for a transaction that names an unknown lease.
const LEASE_NOT_FOUND_ERROR: &str = "no such lease";

/// Outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// 200: the request was executed; contains the response body.
    Ok(Vec<u8>),
    /// 404: the key or the lease does not exist.
    NotFound,
    /// 409: conditions of the transaction failed and nothing was written; contains their keys.
    Conflict(Vec<String>),
    /// 410: the start revision of the watch is older than the changes that the store retains.
    Gone,
    /// 400 with the error "no such lease": the transaction names an unknown lease.
    LeaseNotFound,
    /// The request was not executed, because a rate limit was exceeded or the store is
    /// unavailable.
    Refused,
    /// 400: the request was not executed, and a retry would fail as well.
    Malformed,
    /// The request may have been executed, or may be executed later.
    Indeterminate,
}

/// The reply to a request, handed to the module that sent it.
#[derive(Debug)]
pub struct Reply<T> {
    /// The tag that the caller passed with the request.
    pub tag: T,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// When the request was sent: the state that the reply shows is no older than this.
    pub sent_at: Time,
}

impl<T> Reply<T> {
    fn refused(tag: T, now: Time) -> Reply<T> {
        Reply {
            tag,
            outcome: Outcome::Refused,
            sent_at: now,
        }
    }
}

/// A request to the store.
struct Request {
    method: Method,
    path: String,
    body: Vec<u8>,
    /// Number of puts and deletes, which count against the write rate.
    writes: usize,
    timeout_s: f64,
}

impl Request {
    /// A request without a body that writes nothing.
    fn new(method: Method, path: String, timeout_s: f64) -> Request {
        Request {
            method,
            path,
            body: Vec::new(),
            writes: 0,
            timeout_s,
        }
    }
}

struct QueuedRequest<T> {
    tag: T,
    request: Request,
    queued_at: Time,
}

struct InFlightRequest<T> {
    tag: T,
    sent_at: Time,
}

/// The writes that a controller may send.
#[derive(Clone, Copy, Debug)]
pub struct WriteBudget {
    /// Number of writes that may be sent now; negative while the bucket is in debt.
    pub available: f64,
    /// Rate at which the budget is refilled, in writes per second.
    pub per_second: f64,
}

/// Client of the key-value store; the tag `T` identifies the module that waits for a reply and
/// the kind of call.
pub struct StoreClient<T> {
    requests: TokenBucket,
    writes: TokenBucket,
    /// Limits the writes of admissions while requests of the scheduler are queued.
    admissions: TokenBucket,
    /// Limit for all controllers together, in requests per second.
    total_request_rate: f64,
    /// Limit for all controllers together, in writes per second.
    total_write_rate: f64,
    limits: TransactionLimits,
    /// One queue for each of [`Priority::ALL`].
    queues: [VecDeque<QueuedRequest<T>>; Priority::ALL.len()],
    in_flight: BTreeMap<CallId, InFlightRequest<T>>,
    /// Replies to requests that were refused without being sent.
    refused: Vec<Reply<T>>,
    last_success: Option<Time>,
    last_response: Option<Time>,
}

impl<T> StoreClient<T> {
    /// Creates a client with the whole rate limits of the settings and empty buckets.
    pub fn new(settings: &Settings) -> StoreClient<T> {
        let state = &settings.params.state;
        StoreClient {
            requests: TokenBucket::new(state.rps),
            writes: TokenBucket::new(state.write_rps),
            admissions: TokenBucket::new(state.write_rps),
            total_request_rate: state.rps,
            total_write_rate: state.write_rps,
            limits: TransactionLimits::from(state),
            queues: Default::default(),
            in_flight: BTreeMap::new(),
            refused: Vec::new(),
            last_success: None,
            last_response: None,
        }
    }

    /// Sets this controller's share of the rate limits, which apply to all controllers
    /// together, and the fraction of its writes that admissions may use while requests of the
    /// scheduler are queued. Without that fraction, a leader that admitted every submitted job
    /// wrote nothing else, and finished tasks were acknowledged only minutes later.
    pub fn set_rate_share(&mut self, share: f64, admission_fraction: f64) {
        self.requests.rate = (self.total_request_rate * share).max(MIN_RATE);
        self.writes.rate = (self.total_write_rate * share).max(MIN_RATE);
        self.admissions.rate = (self.writes.rate * admission_fraction).max(MIN_ADMISSION_RATE);
    }

    /// Limits that a transaction must meet to be sent under the current rate limits.
    pub fn limits(&self) -> TransactionLimits {
        self.limits
            .with_max_writes((self.writes.rate as usize).max(2))
    }

    /// Creates an empty transaction with these limits.
    pub fn transaction(&self) -> Transaction {
        Transaction::new(self.limits())
    }

    /// Creates an empty transaction that has only the limits of the store, for a rare
    /// transaction that cannot be split. It is sent when the bucket is nearly full, which puts
    /// the bucket into debt.
    pub fn unpaced_transaction(&self) -> Transaction {
        Transaction::new(self.limits)
    }

    /// Returns the writes that this controller may send.
    pub fn write_budget(&mut self, now: Time) -> WriteBudget {
        self.writes.refill(now);
        WriteBudget {
            available: self.writes.level,
            per_second: self.writes.rate,
        }
    }

    /// Adds a request to the queue of its priority, or refuses it if that queue is full.
    fn enqueue(&mut self, now: Time, priority: Priority, tag: T, request: Request) {
        let queue = &mut self.queues[priority as usize];
        if queue.len() >= MAX_QUEUED {
            self.refused.push(Reply::refused(tag, now));
            return;
        }
        queue.push_back(QueuedRequest {
            tag,
            request,
            queued_at: now,
        });
    }

    /// Commits a transaction; the store answers with a [`CommitResponse`].
    pub fn commit(&mut self, now: Time, priority: Priority, tag: T, transaction: Transaction) {
        let request = Request {
            writes: transaction.write_count(),
            body: transaction.into_body(),
            ..Request::new(Method::Post, "/commit".into(), COMMIT_TIMEOUT_S)
        };
        self.enqueue(now, priority, tag, request);
    }

    /// Requests the changes under `prefix` after revision `since`; the store answers with a
    /// [`WatchResponse`] at the first change, or after `wait_s` seconds.
    pub fn watch(
        &mut self,
        now: Time,
        priority: Priority,
        tag: T,
        prefix: &str,
        since: u64,
        wait_s: f64,
    ) {
        let wait_ms = (wait_s * 1e3) as u64;
        let path = format!("/watch?under={prefix}&since={since}&waitMs={wait_ms}");
        let request = Request::new(Method::Get, path, wait_s + WATCH_TIMEOUT_MARGIN_S);
        self.enqueue(now, priority, tag, request);
    }

    /// Reads a page of the keys under `prefix`, starting after the key `after` (with the first
    /// key if `None`); the store answers with a [`ScanResponse`].
    pub fn scan(
        &mut self,
        now: Time,
        priority: Priority,
        tag: T,
        prefix: &str,
        after: Option<&str>,
    ) {
        let mut path = format!("/store?under={prefix}&most=500");
        if let Some(key) = after {
            path.push_str("&since=");
            path.push_str(key);
        }
        self.enqueue(
            now,
            priority,
            tag,
            Request::new(Method::Get, path, SCAN_TIMEOUT_S),
        );
    }

    /// Requests a session lease of `duration_s` seconds; the store answers with a
    /// [`LeaseResponse`].
    pub fn grant_lease(&mut self, now: Time, tag: T, duration_s: f64) {
        let request = Request {
            body: wire::encode(&LeaseRequest {
                duration_ms: (duration_s * 1e3) as u64,
            }),
            ..Request::new(Method::Post, "/holds".into(), LEASE_TIMEOUT_S)
        };
        self.enqueue(now, Priority::Lease, tag, request);
    }

    /// Renews a lease for its full duration.
    pub fn renew_lease(&mut self, now: Time, tag: T, lease_id: u64) {
        let path = format!("/holds/{lease_id}/renew");
        let request = Request::new(Method::Post, path, LEASE_TIMEOUT_S);
        self.enqueue(now, Priority::Lease, tag, request);
    }

    /// Revokes a lease, which also deletes the keys that are bound to it.
    pub fn revoke_lease(&mut self, now: Time, tag: T, lease_id: u64) {
        let path = format!("/holds/{lease_id}");
        let request = Request::new(Method::Delete, path, LEASE_TIMEOUT_S);
        self.enqueue(now, Priority::Lease, tag, request);
    }

    /// Sends as many requests as the rate limits allow, in order of priority. Each priority
    /// reserves some tokens of the buckets for higher ones, so that a lease renewal never waits
    /// behind polls. Requests that have waited longer than [`MAX_QUEUE_WAIT_S`] are refused.
    pub fn flush(&mut self, now: Time, next_call: &mut u64, out: &mut Vec<Effect>) {
        self.requests.refill(now);
        self.writes.refill(now);
        self.admissions.refill(now);
        let scheduler_request_queued = !self.queues[Priority::Scheduler as usize].is_empty();
        for priority in Priority::ALL {
            while let Some(front) = self.queues[priority as usize].front() {
                let waited_s = now.since(front.queued_at);
                let allowed = self.within_rate_limits(
                    priority,
                    front.request.writes,
                    scheduler_request_queued,
                );
                if !allowed && waited_s <= MAX_QUEUE_WAIT_S {
                    break;
                }
                let Some(queued) = self.queues[priority as usize].pop_front() else {
                    break;
                };
                if allowed {
                    *next_call += 1;
                    out.push(self.send(now, priority, queued, CallId(*next_call)));
                } else {
                    self.refused.push(Reply::refused(queued.tag, now));
                }
            }
        }
    }

    /// Whether the rate limits allow a request with this number of writes to be sent now.
    fn within_rate_limits(
        &self,
        priority: Priority,
        writes: usize,
        scheduler_request_queued: bool,
    ) -> bool {
        let reserved_fraction = f64::from(priority as u8) * RESERVE_PER_PRIORITY;
        let writes = writes as f64;
        let request_allowed = self.requests.level >= 1.0 + reserved_fraction * self.requests.rate;
        let writes_allowed = writes == 0.0
            || self.writes.level
                >= (writes + reserved_fraction * self.writes.rate)
                    .min(self.writes.rate * FULL_BUCKET_FRACTION);
        // An admission is sent at any positive level, which it may reduce below zero.
        let admission_limited =
            priority == Priority::Admission && writes > 0.0 && scheduler_request_queued;
        request_allowed && writes_allowed && (!admission_limited || self.admissions.level > 0.0)
    }

    fn send(
        &mut self,
        now: Time,
        priority: Priority,
        queued: QueuedRequest<T>,
        id: CallId,
    ) -> Effect {
        let QueuedRequest { tag, request, .. } = queued;
        let writes = request.writes as f64;
        self.requests.level -= 1.0;
        self.writes.level -= writes;
        if priority == Priority::Admission {
            self.admissions.level = (self.admissions.level - writes).max(-self.admissions.rate);
        }
        self.in_flight
            .insert(id, InFlightRequest { tag, sent_at: now });
        Effect::Call {
            id,
            destination: Destination::KeyValueStore,
            method: request.method,
            path: request.path,
            body: request.body,
            timeout_s: request.timeout_s,
        }
    }

    /// Removes and returns the replies to requests that were refused without being sent.
    pub fn take_refused(&mut self) -> Vec<Reply<T>> {
        std::mem::take(&mut self.refused)
    }

    /// Send time of the latest request that the store processed; `None` if there was none.
    pub fn last_success(&self) -> Option<Time> {
        self.last_success
    }

    /// Send time of the latest request that the store answered, even with a refusal; `None` if
    /// there was none.
    pub fn last_response(&self) -> Option<Time> {
        self.last_response
    }

    /// Whether this client sent this call and waits for its reply.
    pub fn owns_call(&self, id: CallId) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Classifies the result of a call, which is the status and the body, or `None` if no
    /// response arrived. Returns `None` if the call is not in flight.
    pub fn on_reply(&mut self, id: CallId, result: Option<(u16, Vec<u8>)>) -> Option<Reply<T>> {
        let InFlightRequest { tag, sent_at } = self.in_flight.remove(&id)?;
        if matches!(&result, Some((200 | 404 | 409 | 410 | 429, _))) {
            self.last_success = self.last_success.max(Some(sent_at));
        }
        if result.is_some() {
            self.last_response = self.last_response.max(Some(sent_at));
        }
        if matches!(&result, Some((429, _))) {
            // Other controllers used more than their share: send nothing until the buckets refill.
            self.requests.empty();
            self.writes.empty();
        }
        let outcome = result.map_or(Outcome::Indeterminate, |(status, body)| {
            classify_response(status, body)
        });
        Some(Reply {
            tag,
            outcome,
            sent_at,
        })
    }
}

fn classify_response(status: u16, body: Vec<u8>) -> Outcome {
    match status {
        200 => Outcome::Ok(body),
        404 => Outcome::NotFound,
        409 => Outcome::Conflict(
            wire::decode::<ErrorResponse>(&body)
                .map(|response| response.failed)
                .unwrap_or_default(),
        ),
        410 => Outcome::Gone,
        429 | 503 => Outcome::Refused,
        400 => classify_bad_request(&body),
        // An unknown status does not show whether the request was executed.
        _ => Outcome::Indeterminate,
    }
}

fn classify_bad_request(body: &[u8]) -> Outcome {
    let error = wire::decode::<ErrorResponse>(body)
        .ok()
        .and_then(|response| response.error);
    if error.as_deref() == Some(LEASE_NOT_FOUND_ERROR) {
        return Outcome::LeaseNotFound;
    }
    tracing::error!(error, "store rejected request as malformed");
    Outcome::Malformed
}

#[cfg(test)]
mod tests;
