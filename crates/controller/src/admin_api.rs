//! The admin API of one controller: authentication, authorization and rate limiting of requests.
//!
//! A query is answered from a replica that is fresher than the query, or is forwarded to the
//! leader if only the leader has the data. The leader answers only after an exchange with the
//! key-value store that is newer than the query, so that a leader that has been replaced cannot
//! return an older state than its successor. The number of waiting queries and their waiting
//! time are bounded ([`PendingQueries`]); all others are told to retry.

mod pending;
mod responses;
mod route;

pub use pending::{
    LeaderQuery, LocalQuery, LocalTarget, Overdue, PendingQueries, ReplicaFreshness, Requester,
    ResponseMerge,
};
pub use responses::{busy, refuse, respond};
pub use route::{Rejection, Route};

use beamhinge_admin_api::auth::{AuthError, Authenticator, Caller, Role};
use beamhinge_admin_api::messages::{Code, Problem, Query};
use beamhinge_core::http::Request;
use beamhinge_core::types::{Time, WallMs};

/// Maximum number of jobs visited for one page; the client continues from the cursor.
pub const MAX_JOBS_VISITED: usize = 4_000;
/// Maximum size of an answer to a peer, bytes; slightly below the capacity of a frame.
pub const MAX_ANSWER_BYTES: usize = 200 * 1024;

/// Load limits of the admin API.
#[derive(Clone, Copy, Debug)]
pub struct AdminLimits {
    /// Maximum number of waiting queries.
    pub max_waiting: usize,
    /// Maximum rate of accepted requests, requests per second.
    pub max_rps: f64,
}

/// The admin API of one controller.
pub struct AdminApi {
    authenticator: Authenticator,
    limits: AdminLimits,
    /// Tokens of the rate limit at `refilled_at`; each request takes one.
    tokens: f64,
    refilled_at: Time,
    /// Queries that have not been answered yet.
    pub pending: PendingQueries,
}

impl AdminApi {
    /// Creates an admin API without pending queries.
    pub fn new(authenticator: Authenticator, limits: AdminLimits) -> AdminApi {
        AdminApi {
            authenticator,
            limits,
            tokens: limits.max_rps,
            refilled_at: Time::default(),
            pending: PendingQueries::default(),
        }
    }

    /// Identifier of this process, which the signature of each request covers.
    pub fn instance(&self) -> &str {
        self.authenticator.instance()
    }

    /// Takes one token of the rate limit, which keeps processor time free for the requests of
    /// workers. Returns whether a token was available.
    fn take_token(&mut self, now: Time) -> bool {
        let rate = self.limits.max_rps;
        let refilled = self.tokens + now.since(self.refilled_at) * rate;
        self.tokens = refilled.min(rate.max(1.0));
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Authenticates a request and parses it.
    ///
    /// # Errors
    /// The answer to a request that is rejected.
    pub fn receive(
        &mut self,
        now: Time,
        wall: WallMs,
        request: &Request,
    ) -> Result<(Caller, Route), Rejection> {
        let is_hello = request.path == "/v1/hello";
        let caller = if is_hello {
            Caller {
                name: String::new(),
                role: Role::Viewer,
            }
        } else {
            self.authenticate(wall, request)?
        };
        let route = Route::parse(request)?;
        if route.required_role() > Some(caller.role) {
            let error = format!("key {} may only look: use an operator's key", caller.name);
            return Err(Rejection::new(403, Code::Forbidden, error));
        }
        let queue_full = self.pending.count() >= self.limits.max_waiting;
        if !is_hello && (queue_full || !self.take_token(now)) {
            return Err(Rejection::new(503, Code::Busy, "too many requests at once"));
        }
        Ok((caller, route))
    }

    fn authenticate(&mut self, wall: WallMs, request: &Request) -> Result<Caller, Rejection> {
        let authorization = request.authorization.as_deref();
        let (method, path) = (request.method.name(), request.path.as_str());
        self.authenticator
            .check(wall.0, authorization, method, path, &request.body)
            .map_err(|error| Rejection {
                status: if error == AuthError::TooManyRequests {
                    503
                } else {
                    401
                },
                problem: Problem {
                    code: error.code(),
                    error: error.to_string(),
                    ahead_ms: match error {
                        AuthError::Clock { ahead_ms, .. } => Some(ahead_ms),
                        _ => None,
                    },
                },
            })
    }

    /// Queues the query of a peer, which this controller answers as the leader. Returns whether
    /// it was queued: it is not if too many queries wait or the rate limit is exceeded.
    #[must_use]
    pub fn receive_from_peer(
        &mut self,
        now: Time,
        label: String,
        serial: u64,
        query: Query,
    ) -> bool {
        if self.pending.count() >= self.limits.max_waiting * 2 || !self.take_token(now) {
            return false;
        }
        let requester = Requester::Peer { label, serial };
        self.pending.push_leader_query(now, requester, query);
        true
    }
}

#[cfg(test)]
mod tests;
