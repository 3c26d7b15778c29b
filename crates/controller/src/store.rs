//! Client of the consensus-backed key-value store: pacing, transactions, leases and watches.
//!
//! Sans-IO: requests are queued by priority, [`StoreClient::flush`] turns what the rate limits
//! allow into [`Effect::Call`]s, and [`StoreClient::on_reply`] classifies their replies.
//!
//! Every write is conditional on revisions, so a transaction that is committed late either
//! changes nothing or does what was intended. A reply that never arrived is reported as
//! [`Outcome::Indeterminate`]; its caller reads again and assumes nothing.

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

/// Importance of a request when the rate limits allow some only; the first is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Leases, leader election and the confirmation of the block key.
    Lease,
    /// Jobs that users submit or cancel.
    Admission,
    /// Placements, progress and the ends of jobs.
    Scheduler,
    /// Reads that somebody waits for.
    Read,
    /// Whatever may wait.
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

/// How long a request may wait in its queue before it is reported as refused, seconds.
const MAX_QUEUE_WAIT_S: f64 = 1.5;
/// Requests that wait in one queue; further ones are refused at once.
const MAX_QUEUED: usize = 256;
/// Part of a bucket that each priority leaves to the one before it.
const RESERVE_PER_PRIORITY: f64 = 0.05;
/// Part of the write bucket that is always enough, so that a transaction as large as the
/// bucket is sent in the end.
const FULL_BUCKET_FRACTION: f64 = 0.99;
/// Least request and write rate of a controller, per second.
const MIN_RATE: f64 = 2.0;
/// Least admission rate of a controller, writes per second.
const MIN_ADMISSION_RATE: f64 = 1.0;
/// Time-outs of the requests, seconds.
const COMMIT_TIMEOUT_S: f64 = 2.0;
const SCAN_TIMEOUT_S: f64 = 2.5;
const LEASE_TIMEOUT_S: f64 = 1.5;
/// Added to the time that the store holds a watch open, seconds.
const WATCH_TIMEOUT_MARGIN_S: f64 = 1.5;
/// The store's error text for a transaction that names an unknown lease.
const LEASE_NOT_FOUND_ERROR: &str = "no such lease";

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// 200: executed; the body of the response.
    Ok(Vec<u8>),
    /// 404: no such key, or no such lease.
    NotFound,
    /// 409: the keys whose conditions failed; nothing was written.
    Conflict(Vec<String>),
    /// 410: the watch's revision is older than the changes that the store keeps.
    Gone,
    /// 400 with the error "no such lease".
    LeaseNotFound,
    /// Certainly not executed: the rate is exhausted, or the store is unavailable.
    Refused,
    /// 400: not executed, and a repetition would not be either.
    Malformed,
    /// May have been executed, or may be executed later.
    Indeterminate,
}

/// The reply to a request, handed to the module that sent it.
#[derive(Debug)]
pub struct Reply<T> {
    /// What the request was sent with.
    pub tag: T,
    /// What became of the request.
    pub outcome: Outcome,
    /// When the request was sent: what the reply shows is no older than this.
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
    /// Puts and deletes, which count against the write rate.
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

/// The writes that a controller may still send.
#[derive(Clone, Copy, Debug)]
pub struct WriteBudget {
    /// Writes that could be sent now; negative while the bucket is in debt.
    pub available: f64,
    /// The rate at which writes accrue.
    pub per_second: f64,
}

/// The client; `T` names who waits for a reply, and for what.
pub struct StoreClient<T> {
    requests: TokenBucket,
    writes: TokenBucket,
    /// Writes of admissions, while the scheduler has requests waiting.
    admissions: TokenBucket,
    /// Requests per second of all controllers together.
    total_request_rate: f64,
    /// Writes per second of all controllers together.
    total_write_rate: f64,
    limits: TransactionLimits,
    /// One queue for each of [`Priority::ALL`].
    queues: [VecDeque<QueuedRequest<T>>; Priority::ALL.len()],
    in_flight: BTreeMap<CallId, InFlightRequest<T>>,
    /// Requests that were given up in the queues.
    refused: Vec<Reply<T>>,
    last_success: Option<Time>,
    last_response: Option<Time>,
}

impl<T> StoreClient<T> {
    /// A client with the whole rate of these settings and empty buckets.
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

    /// Sets this controller's share of the rate limits, which hold for all controllers
    /// together, and the fraction of its writes that admissions may use while the scheduler
    /// has requests waiting. Without that fraction a leader that admitted whatever arrived
    /// wrote nothing else, and finished tasks were acknowledged minutes later.
    pub fn set_rate_share(&mut self, share: f64, admission_fraction: f64) {
        self.requests.rate = (self.total_request_rate * share).max(MIN_RATE);
        self.writes.rate = (self.total_write_rate * share).max(MIN_RATE);
        self.admissions.rate = (self.writes.rate * admission_fraction).max(MIN_ADMISSION_RATE);
    }

    /// What one transaction may hold so that the pacing ever sends it.
    pub fn limits(&self) -> TransactionLimits {
        self.limits
            .with_max_writes((self.writes.rate as usize).max(2))
    }

    /// An empty transaction within these limits.
    pub fn transaction(&self) -> Transaction {
        Transaction::new(self.limits())
    }

    /// An empty transaction within the store's limits only, for a rare one that cannot be
    /// split: it is sent from a full bucket, which goes into debt.
    pub fn unpaced_transaction(&self) -> Transaction {
        Transaction::new(self.limits)
    }

    /// The writes that this controller may still send.
    pub fn write_budget(&mut self, now: Time) -> WriteBudget {
        self.writes.refill(now);
        WriteBudget {
            available: self.writes.level,
            per_second: self.writes.rate,
        }
    }

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

    /// Commits a transaction; answered with a [`CommitResponse`].
    pub fn commit(&mut self, now: Time, priority: Priority, tag: T, transaction: Transaction) {
        let request = Request {
            writes: transaction.write_count(),
            body: transaction.into_body(),
            ..Request::new(Method::Post, "/commit".into(), COMMIT_TIMEOUT_S)
        };
        self.enqueue(now, priority, tag, request);
    }

    /// Asks for the changes under `prefix` after revision `since`; the store answers with a
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

    /// Reads the keys under `prefix` behind the key `after`; answered with a [`ScanResponse`].
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

    /// Asks for a session lease of `duration_s` seconds; answered with a [`LeaseResponse`].
    pub fn grant_lease(&mut self, now: Time, tag: T, duration_s: f64) {
        let request = Request {
            body: wire::encode(&LeaseRequest {
                duration_ms: (duration_s * 1e3) as u64,
            }),
            ..Request::new(Method::Post, "/holds".into(), LEASE_TIMEOUT_S)
        };
        self.enqueue(now, Priority::Lease, tag, request);
    }

    /// Renews a lease for its whole duration.
    pub fn renew_lease(&mut self, now: Time, tag: T, lease_id: u64) {
        let path = format!("/holds/{lease_id}/renew");
        let request = Request::new(Method::Post, path, LEASE_TIMEOUT_S);
        self.enqueue(now, Priority::Lease, tag, request);
    }

    /// Ends a lease at once, with the keys that are bound to it.
    pub fn revoke_lease(&mut self, now: Time, tag: T, lease_id: u64) {
        let path = format!("/holds/{lease_id}");
        let request = Request::new(Method::Delete, path, LEASE_TIMEOUT_S);
        self.enqueue(now, Priority::Lease, tag, request);
    }

    /// Sends what the limits allow, by priority. Each priority leaves a little in the buckets,
    /// so that a renewal never waits behind polls. Requests that waited too long are refused.
    pub fn flush(&mut self, now: Time, next_call: &mut u64, out: &mut Vec<Effect>) {
        self.requests.refill(now);
        self.writes.refill(now);
        self.admissions.refill(now);
        let scheduler_waits = !self.queues[Priority::Scheduler as usize].is_empty();
        for priority in Priority::ALL {
            while let Some(front) = self.queues[priority as usize].front() {
                let waited_s = now.since(front.queued_at);
                let fits = self.fits(priority, front.request.writes, scheduler_waits);
                if !fits && waited_s <= MAX_QUEUE_WAIT_S {
                    break;
                }
                let Some(queued) = self.queues[priority as usize].pop_front() else {
                    break;
                };
                if fits {
                    *next_call += 1;
                    out.push(self.send(now, priority, queued, CallId(*next_call)));
                } else {
                    self.refused.push(Reply::refused(queued.tag, now));
                }
            }
        }
    }

    /// Whether a request with so many writes may be sent now.
    fn fits(&self, priority: Priority, writes: usize, scheduler_waits: bool) -> bool {
        let reserve = f64::from(priority as u8) * RESERVE_PER_PRIORITY;
        let writes = writes as f64;
        let request_fits = self.requests.level >= 1.0 + reserve * self.requests.rate;
        let writes_fit = writes == 0.0
            || self.writes.level
                >= (writes + reserve * self.writes.rate)
                    .min(self.writes.rate * FULL_BUCKET_FRACTION);
        // An admission is sent from any positive level, which may fall below zero by it.
        let throttled = priority == Priority::Admission && writes > 0.0 && scheduler_waits;
        request_fits && writes_fit && (!throttled || self.admissions.level > 0.0)
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
            destination: Destination::State,
            method: request.method,
            path: request.path,
            body: request.body,
            timeout_s: request.timeout_s,
        }
    }

    /// Takes the replies to requests that were given up in the queues.
    pub fn take_refused(&mut self) -> Vec<Reply<T>> {
        std::mem::take(&mut self.refused)
    }

    /// When the newest request was sent that the store really handled.
    pub fn last_success(&self) -> Option<Time> {
        self.last_success
    }

    /// When the newest request was sent that the store answered at all, if only to refuse it.
    pub fn last_response(&self) -> Option<Time> {
        self.last_response
    }

    /// Whether this client waits for the reply to this call.
    pub fn owns_call(&self, id: CallId) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Classifies the result of a call: status and body, or none if no response arrived.
    /// Returns none for a call that is not in flight.
    pub fn on_reply(&mut self, id: CallId, result: Option<(u16, Vec<u8>)>) -> Option<Reply<T>> {
        let InFlightRequest { tag, sent_at } = self.in_flight.remove(&id)?;
        if matches!(&result, Some((200 | 404 | 409 | 410 | 429, _))) {
            self.last_success = self.last_success.max(Some(sent_at));
        }
        if result.is_some() {
            self.last_response = self.last_response.max(Some(sent_at));
        }
        if matches!(&result, Some((429, _))) {
            // Other controllers used more than their share: let the buckets run dry.
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
        // An unknown status says nothing about whether the request was executed.
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
