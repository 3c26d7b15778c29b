//! Metrics of this process, in the Prometheus text format.
//!
//! Kept only where an admin address is set; without one nothing is counted and nothing is held.
//! Names, labels and help texts are an interface to operators' dashboards.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `page` | the page of all metrics |
//! | `summary` | quantiles of durations |

use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::types::{CallId, RequestId, Time};
use std::collections::BTreeMap;
use summary::DurationSummary;

mod page;
mod summary;

/// Requests, and calls to the outside, whose time is taken at once; further ones are answered
/// without being timed. Twice the 8,192 machines that a controller is built for: all may be
/// waiting for their answers at once, beside the users. Kept only where an admin address is set.
const MAX_OPEN: usize = 16_384;

/// A request or call that is timed.
#[derive(Clone, Copy)]
struct Timed {
    since: Time,
    /// The request's route, or the kind of the call.
    kind: &'static str,
}

/// All metrics of this process that are not gauges.
#[derive(Default)]
pub struct Metrics {
    enabled: bool,
    open_requests: BTreeMap<RequestId, Timed>,
    open_calls: BTreeMap<CallId, Timed>,
    /// Times from a request to its answer, by route.
    answer_times: BTreeMap<&'static str, DurationSummary>,
    /// Answers by route and status.
    answers: BTreeMap<(&'static str, u16), u64>,
    /// Times of calls that were answered, by kind.
    call_times: BTreeMap<&'static str, DurationSummary>,
    /// Calls that were never answered, by kind.
    lost_calls: BTreeMap<&'static str, u64>,
    /// When leadership was acquired, until the state is loaded.
    acquired_at: Option<Time>,
    failover_times: DurationSummary,
    oldest_waits: DurationSummary,
    placement_ages: DurationSummary,
}

/// What a call is for, by where it goes; none for calls that are not timed.
fn call_kind(destination: &Destination, method: Method, path: &str) -> Option<&'static str> {
    Some(match destination {
        Destination::State if path == "/commit" => "state_commit",
        // How long a watch takes is the store's choice, not its speed.
        Destination::State if path.starts_with("/watch") => {
            if path.ends_with("waitMs=0") {
                "state_refresh"
            } else {
                return None;
            }
        }
        Destination::State if path.starts_with("/holds") => "state_lease",
        Destination::State => "state_scan",
        Destination::Cloud if method == Method::Post && path == "/hosts" => "cloud_rent",
        Destination::Cloud if method == Method::Post => "cloud_release",
        Destination::Cloud => "cloud_list",
        Destination::Worker(_) => "worker_do",
        Destination::Node { .. } => "node",
    })
}

impl Metrics {
    /// Metrics that are zero, and stay so unless they are enabled.
    pub fn new(enabled: bool) -> Metrics {
        Metrics {
            enabled,
            ..Metrics::default()
        }
    }

    /// A request arrived.
    pub fn on_request(&mut self, now: Time, id: RequestId, route: &'static str) {
        if self.enabled && self.open_requests.len() < MAX_OPEN {
            let timed = Timed {
                since: now,
                kind: route,
            };
            self.open_requests.insert(id, timed);
        }
    }

    /// Answers and calls went out.
    pub fn on_effects(&mut self, now: Time, effects: &[Effect]) {
        if !self.enabled {
            return;
        }
        for effect in effects {
            match effect {
                Effect::Answer { to, status, .. } | Effect::OperatorAnswer { to, status, .. } => {
                    self.on_answer(now, *to, *status);
                }
                Effect::Call {
                    id,
                    destination,
                    method,
                    path,
                    ..
                } => {
                    let kind = call_kind(destination, *method, path);
                    if let Some(kind) = kind.filter(|_| self.open_calls.len() < MAX_OPEN) {
                        self.open_calls.insert(*id, Timed { since: now, kind });
                    }
                }
                Effect::SendFrame { .. } => {}
            }
        }
    }

    fn on_answer(&mut self, now: Time, id: RequestId, status: u16) {
        let Some(Timed { since, kind: route }) = self.open_requests.remove(&id) else {
            return;
        };
        self.answer_times
            .entry(route)
            .or_default()
            .record(now.since(since));
        *self.answers.entry((route, status)).or_default() += 1;
    }

    /// A call ended, with or without a reply.
    pub fn on_call_end(&mut self, now: Time, id: CallId, replied: bool) {
        let Some(Timed { since, kind }) = self.open_calls.remove(&id) else {
            return;
        };
        if replied {
            self.call_times
                .entry(kind)
                .or_default()
                .record(now.since(since));
        } else {
            *self.lost_calls.entry(kind).or_default() += 1;
        }
    }

    /// This controller leads from now on.
    pub fn on_leadership_acquired(&mut self, now: Time) {
        self.acquired_at = Some(now);
    }

    /// The leader has loaded its state: from here on tasks are placed.
    pub fn on_state_loaded(&mut self, now: Time) {
        if let Some(acquired_at) = self.acquired_at.take() {
            if self.enabled {
                self.failover_times.record(now.since(acquired_at));
            }
        }
    }

    /// Records the age of the oldest job with a waiting task, seconds.
    pub fn record_oldest_wait(&mut self, oldest_s: f64) {
        if self.enabled {
            self.oldest_waits.record(oldest_s);
        }
    }

    /// Tasks were placed, of jobs of these ages.
    pub fn record_placements(&mut self, ages_s: &[f64]) {
        for age_s in ages_s {
            self.placement_ages.record(*age_s);
        }
    }
}

#[cfg(test)]
mod tests;
