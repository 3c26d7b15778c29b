//! The operators' interface of one controller: who may ask what, and how much at once.
//!
//! A query is answered from a replica once that is fresher than the query; what only the leader
//! knows is asked of it. The leader answers only after an exchange with the key-value store
//! that is newer than the query, so that one that was replaced cannot tell an older state. All
//! that waits is bounded in number and time ([`PendingQueries`]); the rest is told to retry.

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

/// Jobs that one page visits at most; beyond it the client goes on from the cursor.
pub const MAX_JOBS_VISITED: usize = 4_000;
/// Largest answer to a peer, bytes; a frame holds a little more.
pub const MAX_ANSWER_BYTES: usize = 200 * 1024;

/// How much the interface takes.
#[derive(Clone, Copy, Debug)]
pub struct AdminLimits {
    /// Queries that may wait.
    pub max_waiting: usize,
    /// Requests that are taken each second.
    pub max_rps: f64,
}

/// The operators' interface of one controller.
pub struct AdminApi {
    authenticator: Authenticator,
    limits: AdminLimits,
    /// Requests that may be taken at once, as of `refilled_at`.
    tokens: f64,
    refilled_at: Time,
    /// Queries that are not answered yet.
    pub pending: PendingQueries,
}

impl AdminApi {
    /// An interface without pending queries.
    pub fn new(authenticator: Authenticator, limits: AdminLimits) -> AdminApi {
        AdminApi {
            authenticator,
            limits,
            tokens: limits.max_rps,
            refilled_at: Time::default(),
            pending: PendingQueries::default(),
        }
    }

    /// Identifies this process; requests are signed for it.
    pub fn instance(&self) -> &str {
        self.authenticator.instance()
    }

    /// Takes one request off the rate limit: the processor belongs to the workers. Whether
    /// there was one left.
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
    /// The answer to a request that is not taken.
    pub fn receive(
        &mut self,
        now: Time,
        wall: WallMs,
        request: &Request,
    ) -> Result<(Caller, Route), Rejection> {
        let hello = request.path == "/v1/hello";
        let caller = if hello {
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
        let at_limit = self.pending.count() >= self.limits.max_waiting;
        if !hello && (at_limit || !self.take_token(now)) {
            return Err(Rejection::new(503, Code::Busy, "too many requests at once"));
        }
        Ok((caller, route))
    }

    fn authenticate(&mut self, wall: WallMs, request: &Request) -> Result<Caller, Rejection> {
        let authorization = request.authorization.as_deref();
        let (method, path) = (request.method.name(), request.path.as_str());
        self.authenticator
            .check(wall.0, authorization, method, path, &request.body)
            .map_err(|denied| Rejection {
                status: if denied == AuthError::TooManyRequests {
                    503
                } else {
                    401
                },
                problem: Problem {
                    code: denied.code(),
                    error: denied.to_string(),
                    ahead_ms: match denied {
                        AuthError::Clock { ahead_ms, .. } => Some(ahead_ms),
                        _ => None,
                    },
                },
            })
    }

    /// Takes the query of a peer that this controller is to answer as the leader. Whether it
    /// was taken: not where too many wait.
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
