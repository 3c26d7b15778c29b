//! Which controller is tried next, and when: decisions without a socket.
//!
//! The one that answered last is tried first. One that failed, or asked to be
//! left alone, is passed over for a while that doubles with each failure; when
//! all are passed over, the client waits for the first that may be tried, with
//! jitter, so that many clients do not come back in one moment.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddrV4;

/// First pause after a failure, seconds; it doubles up to [`LONGEST_S`].
const FIRST_S: f64 = 0.2;
const LONGEST_S: f64 = 5.0;
/// A server may not send a client away for longer than this.
const MAX_RETRY_AFTER_S: f64 = 30.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Try this one now.
    Try(usize),
    /// All asked to be left alone: seconds until the first may be tried.
    Wait(f64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    Answered,
    /// Refused, reset, or silent.
    Failed,
    /// 503 and the like, with its `Retry-After`.
    Busy(Option<u32>),
    /// The same one may be tried again at once, but only a few times.
    Again,
}

#[derive(Debug)]
struct Endpoint {
    addr: SocketAddrV4,
    failures: u32,
    not_before: f64,
    agains: u32,
}

#[derive(Debug)]
pub struct Routing {
    endpoints: Vec<Endpoint>,
    preferred: usize,
    rng: SmallRng,
}

impl Routing {
    pub fn new(addrs: &[SocketAddrV4], seed: u64) -> Routing {
        let endpoints = addrs
            .iter()
            .map(|addr| Endpoint {
                addr: *addr,
                failures: 0,
                not_before: 0.0,
                agains: 0,
            })
            .collect();
        Routing {
            endpoints,
            preferred: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn addr(&self, at: usize) -> SocketAddrV4 {
        self.endpoints[at].addr
    }

    /// A new call: what was only tried again counts anew.
    pub fn begin(&mut self) {
        self.endpoints.iter_mut().for_each(|e| e.agains = 0);
    }

    pub fn next(&mut self, now: f64) -> Next {
        let n = self.endpoints.len();
        let open = (0..n)
            .map(|i| (self.preferred + i) % n)
            .find(|i| self.endpoints[*i].not_before <= now);
        if let Some(at) = open {
            return Next::Try(at);
        }
        let soonest = self
            .endpoints
            .iter()
            .map(|e| e.not_before)
            .fold(f64::INFINITY, f64::min);
        if soonest.is_finite() {
            // Up to half as long again: whoever waited for the same controller
            // comes spread out.
            let wait = (soonest - now).max(0.01);
            Next::Wait(wait * self.rng.gen_range(1.0..1.5))
        } else {
            Next::Wait(LONGEST_S)
        }
    }

    pub fn came(&mut self, now: f64, at: usize, outcome: Outcome) {
        let Some(e) = self.endpoints.get_mut(at) else {
            return;
        };
        let backoff = |failures: u32| (FIRST_S * 2f64.powi(failures.min(10) as i32)).min(LONGEST_S);
        match outcome {
            Outcome::Answered => {
                (e.failures, e.not_before) = (0, 0.0);
                self.preferred = at;
            }
            Outcome::Failed => {
                e.not_before = now + backoff(e.failures) * self.rng.gen_range(0.5..1.0);
                e.failures += 1;
            }
            Outcome::Busy(retry_after) => {
                let asked = retry_after.map_or(0.0, f64::from).min(MAX_RETRY_AFTER_S);
                let own = backoff(e.failures) * self.rng.gen_range(0.5..1.0);
                e.not_before = now + asked.max(own);
                e.failures += 1;
            }
            Outcome::Again => {
                e.agains += 1;
                if e.agains > 2 {
                    e.not_before = now + backoff(e.agains);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn routing(n: u16) -> Routing {
        let addrs: Vec<SocketAddrV4> = (0..n)
            .map(|i| SocketAddrV4::new([127, 0, 0, 1].into(), 9_000 + i))
            .collect();
        Routing::new(&addrs, 1)
    }

    #[test]
    fn the_next_is_tried_at_once_and_the_one_that_answered_is_kept() {
        let mut r = routing(3);
        assert_eq!(r.next(0.0), Next::Try(0));
        r.came(0.0, 0, Outcome::Failed);
        assert_eq!(r.next(0.0), Next::Try(1));
        r.came(0.0, 1, Outcome::Answered);
        assert_eq!(r.next(100.0), Next::Try(1), "not back to the first");
    }

    #[test]
    fn retry_after_is_honoured_and_bounded() {
        let mut r = routing(1);
        r.came(0.0, 0, Outcome::Busy(Some(3)));
        let Next::Wait(s) = r.next(0.0) else {
            panic!("it asked to be left alone")
        };
        assert!((3.0..4.6).contains(&s), "{s}");
        r.came(0.0, 0, Outcome::Busy(Some(86_400)));
        assert!(matches!(r.next(MAX_RETRY_AFTER_S + 0.1), Next::Try(0)));
    }

    #[test]
    fn pauses_grow_up_to_a_bound_and_are_spread_out() {
        let mut r = routing(1);
        let mut waits = Vec::new();
        let mut now = 0.0;
        for _ in 0..12 {
            r.came(now, 0, Outcome::Failed);
            let Next::Wait(s) = r.next(now) else {
                panic!("it failed just now")
            };
            waits.push(s);
            now += s;
        }
        assert!(waits[0] < 0.35 && waits[11] > 1.0, "{waits:?}");
        assert!(waits.iter().all(|s| *s <= LONGEST_S * 1.5), "{waits:?}");
        let firsts: Vec<f64> = (0..20)
            .map(|seed| {
                let mut r = routing(1);
                r.rng = SmallRng::seed_from_u64(seed);
                r.came(0.0, 0, Outcome::Failed);
                r.endpoints[0].not_before
            })
            .collect();
        let spread = firsts.iter().fold(0.0f64, |a, b| a.max(*b))
            - firsts.iter().fold(9.0f64, |a, b| a.min(*b));
        assert!(spread > 0.05, "many clients come in one moment: {firsts:?}");
    }

    /// A controller that is restarted again and again must not hold a client
    /// in a tight loop of hellos.
    #[test]
    fn again_is_not_for_ever() {
        let mut r = routing(1);
        for _ in 0..3 {
            assert_eq!(r.next(0.0), Next::Try(0));
            r.came(0.0, 0, Outcome::Again);
        }
        assert!(matches!(r.next(0.0), Next::Wait(_)));
    }
}
