//! Metrics of this process, in the Prometheus text format.
//!
//! Without a configured admin address nothing is counted and nothing is stored.
//! Names, labels and help texts are an interface to operators' dashboards.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `page` | renders the metrics page |
//! | `summary` | quantiles of durations |

use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::types::{CallId, RequestId, Time};
use std::collections::BTreeMap;
use summary::DurationSummary;

mod page;
mod summary;

/// Maximum number of requests, and of outgoing calls, that are timed at the same time; further
/// ones are handled without being timed. This is twice the 8,192 machines that a controller is
/// built for: all of them may wait for their answers at once, besides the users. Entries are kept
/// only if an admin address is configured.
const MAX_TIMED: usize = 16_384;

/// A request or call in progress that is timed.
#[derive(Clone, Copy)]
struct Timed {
    since: Time,
    /// The request's route, or the kind of the call.
    kind: &'static str,
}

/// All metrics of this process except gauges.
#[derive(Default)]
pub struct Metrics {
    enabled: bool,
    open_requests: BTreeMap<RequestId, Timed>,
    open_calls: BTreeMap<CallId, Timed>,
    /// Times from a request to its answer, by route.
    answer_times: BTreeMap<&'static str, DurationSummary>,
    /// Answers by route and status.
    answers: BTreeMap<(&'static str, u16), u64>,
    /// Durations of answered calls, by kind.
    call_times: BTreeMap<&'static str, DurationSummary>,
    /// Calls that were never answered, by kind.
    unanswered_calls: BTreeMap<&'static str, u64>,
    /// When the leadership was acquired, while the state is being loaded; otherwise `None`.
    acquired_at: Option<Time>,
    failover_times: DurationSummary,
    oldest_waits: DurationSummary,
    placement_ages: DurationSummary,
}

/// Returns the kind of a call, by destination and path; `None` for calls that are not timed.
fn call_kind(destination: &Destination, method: Method, path: &str) -> Option<&'static str> {
    Some(match destination {
        Destination::KeyValueStore if path == "/commit" => "state_commit",
        // The store chooses how long a watch waits, so its duration does not measure store speed.
        Destination::KeyValueStore if path.starts_with("/watch") => {
            if path.ends_with("waitMs=0") {
                "state_refresh"
            } else {
                return None;
            }
        }
        Destination::KeyValueStore if path.starts_with("/holds") => "state_lease",
        Destination::KeyValueStore => "state_scan",
        Destination::Cloud if method == Method::Post && path == "/hosts" => "cloud_rent",
        Destination::Cloud if method == Method::Post => "cloud_release",
        Destination::Cloud => "cloud_list",
        Destination::Worker(_) => "worker_do",
        Destination::Controller { .. } => "node",
    })
}

impl Metrics {
    /// Creates metrics that are all zero, and stay zero unless `enabled`.
    pub fn new(enabled: bool) -> Metrics {
        Metrics {
            enabled,
            ..Metrics::default()
        }
    }

    /// Starts timing a request.
    pub fn on_request(&mut self, now: Time, id: RequestId, route: &'static str) {
        if self.enabled && self.open_requests.len() < MAX_TIMED {
            let timed = Timed {
                since: now,
                kind: route,
            };
            self.open_requests.insert(id, timed);
        }
    }

    /// Records the answers among these effects and starts timing the calls.
    pub fn on_effects(&mut self, now: Time, effects: &[Effect]) {
        if !self.enabled {
            return;
        }
        for effect in effects {
            match effect {
                Effect::Answer { to, status, .. } | Effect::AdminAnswer { to, status, .. } => {
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
                    if let Some(kind) = kind.filter(|_| self.open_calls.len() < MAX_TIMED) {
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

    /// Records the end of a call; `replied` is false if it got no reply.
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
            *self.unanswered_calls.entry(kind).or_default() += 1;
        }
    }

    /// Starts timing the failover: this controller has acquired the leadership.
    pub fn on_leadership_acquired(&mut self, now: Time) {
        self.acquired_at = Some(now);
    }

    /// Records the failover time: the leader has loaded its state and can place tasks.
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

    /// Records the ages of the jobs of placed tasks, one per task, seconds.
    pub fn record_placements(&mut self, ages_s: &[f64]) {
        for age_s in ages_s {
            self.placement_ages.record(*age_s);
        }
    }
}

#[cfg(test)]
mod tests;
