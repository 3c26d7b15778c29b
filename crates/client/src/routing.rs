//! Decides which controller to try next, and when. This module does no I/O.
//!
//! The client first tries the controller that answered last. A controller that failed, or replied
//! that it is busy, is skipped for a backoff that doubles with each failure. While all controllers
//! back off, the client waits until the first backoff ends, with jitter, so that many clients do
//! not retry at the same moment.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddrV4;

/// First backoff after a failure, seconds; it doubles up to [`MAX_BACKOFF_S`].
const INITIAL_BACKOFF_S: f64 = 0.2;
/// Longest backoff, seconds.
const MAX_BACKOFF_S: f64 = 5.0;
/// Longest `Retry-After` that the client honours, seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// Next step of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoutingDecision {
    /// Try the controller at this index of the address list now.
    Try(usize),
    /// All controllers are backing off: seconds to wait before the next attempt.
    Wait(f64),
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The controller answered.
    Answered,
    /// The connection was refused or reset, or no response arrived before the deadline.
    Failed,
    /// The controller is busy. Holds the value of `Retry-After` in seconds; `None` if the response
    /// has no such header.
    Busy(Option<u32>),
    /// The controller was restarted. It may be retried immediately, but only a few times per call.
    Restarted,
}

/// A controller and its recent failures.
#[derive(Debug)]
struct Endpoint {
    addr: SocketAddrV4,
    failures: u32,
    retry_at: f64,
    restarts: u32,
}

/// Selects among the controllers of a cluster.
#[derive(Debug)]
pub struct Routing {
    endpoints: Vec<Endpoint>,
    preferred: usize,
    rng: SmallRng,
}

impl Routing {
    /// Creates routing among `addrs`; `seed` seeds the jitter.
    pub fn new(addrs: &[SocketAddrV4], seed: u64) -> Routing {
        let endpoints = addrs
            .iter()
            .map(|addr| Endpoint {
                addr: *addr,
                failures: 0,
                retry_at: 0.0,
                restarts: 0,
            })
            .collect();
        Routing {
            endpoints,
            preferred: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Address of the controller at this index.
    pub fn addr(&self, index: usize) -> SocketAddrV4 {
        self.endpoints[index].addr
    }

    /// Begins a call and resets the restart counters.
    pub fn begin_call(&mut self) {
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.restarts = 0);
    }

    /// Decides the next step at time `now`, in seconds.
    pub fn next(&mut self, now: f64) -> RoutingDecision {
        let count = self.endpoints.len();
        let available = (0..count)
            .map(|i| (self.preferred + i) % count)
            .find(|i| self.endpoints[*i].retry_at <= now);
        if let Some(index) = available {
            return RoutingDecision::Try(index);
        }
        let earliest = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.retry_at)
            .fold(f64::INFINITY, f64::min);
        if earliest.is_finite() {
            // Jitter of up to 50% spreads the retries of clients that wait for the same controller.
            let wait = (earliest - now).max(0.01);
            RoutingDecision::Wait(wait * self.rng.gen_range(1.0..1.5))
        } else {
            RoutingDecision::Wait(MAX_BACKOFF_S)
        }
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: f64, index: usize, outcome: Outcome) {
        let Some(endpoint) = self.endpoints.get_mut(index) else {
            return;
        };
        let backoff = |failures: u32| {
            (INITIAL_BACKOFF_S * 2f64.powi(failures.min(10) as i32)).min(MAX_BACKOFF_S)
        };
        match outcome {
            Outcome::Answered => {
                (endpoint.failures, endpoint.retry_at) = (0, 0.0);
                self.preferred = index;
            }
            Outcome::Failed => {
                endpoint.retry_at = now + backoff(endpoint.failures) * self.rng.gen_range(0.5..1.0);
                endpoint.failures += 1;
            }
            Outcome::Busy(retry_after) => {
                let requested = retry_after.map_or(0.0, f64::from).min(MAX_RETRY_AFTER_S);
                let computed = backoff(endpoint.failures) * self.rng.gen_range(0.5..1.0);
                endpoint.retry_at = now + requested.max(computed);
                endpoint.failures += 1;
            }
            Outcome::Restarted => {
                endpoint.restarts += 1;
                if endpoint.restarts > 2 {
                    endpoint.retry_at = now + backoff(endpoint.restarts);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
