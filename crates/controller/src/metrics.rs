//! Figures of this process, in the Prometheus text format.
//!
//! Kept only where an operators' address is set; without one, nothing is
//! counted and nothing is held.

use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::types::{CallId, RequestId, Time};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Requests, and calls to the outside, whose time is taken at once; further ones are answered
/// without being timed. Twice the 8,192 machines that a controller is built for: all may be
/// waiting for their answers at once, beside the users. Kept only where an operators' address
/// is set.
const MAX_OPEN: usize = 16_384;
/// Longest time told apart, microseconds.
const LONGEST_US: u64 = 120_000_000;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Times of one kind of thing. Two digits are kept: some ten kilobytes each.
struct Times {
    histogram: Option<Histogram<u32>>,
    sum_s: f64,
    count: u64,
}

impl Default for Times {
    fn default() -> Times {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 2).ok();
        Times {
            histogram,
            sum_s: 0.0,
            count: 0,
        }
    }
}

impl Times {
    fn took(&mut self, seconds: f64) {
        self.sum_s += seconds;
        self.count += 1;
        if let Some(h) = &mut self.histogram {
            h.saturating_record(((seconds * 1e6) as u64).max(1));
        }
    }

    fn render(&self, out: &mut String, name: &str, labels: &str) {
        let comma = if labels.is_empty() { "" } else { "," };
        for q in QUANTILES {
            let us = self
                .histogram
                .as_ref()
                .map_or(0, |h| h.value_at_quantile(q));
            let s = us as f64 / 1e6;
            let _ = writeln!(out, "{name}{{{labels}{comma}quantile=\"{q}\"}} {s}");
        }
        let braces = if labels.is_empty() {
            String::new()
        } else {
            format!("{{{labels}}}")
        };
        let _ = writeln!(out, "{name}_sum{braces} {:.6}", self.sum_s);
        let _ = writeln!(out, "{name}_count{braces} {}", self.count);
    }
}

#[derive(Default)]
pub struct Metrics {
    on: bool,
    open: BTreeMap<RequestId, (Time, &'static str)>,
    calls: BTreeMap<CallId, (Time, &'static str)>,
    answers: BTreeMap<&'static str, Times>,
    statuses: BTreeMap<(&'static str, u16), u64>,
    outside: BTreeMap<&'static str, Times>,
    lost: BTreeMap<&'static str, u64>,
    took: Option<Time>,
    takeovers: Times,
    oldest_wait: Times,
    placements: Times,
}

/// What a call is for, by where it goes.
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
    pub fn new(on: bool) -> Metrics {
        Metrics {
            on,
            ..Metrics::default()
        }
    }

    pub fn asked(&mut self, now: Time, id: RequestId, route: &'static str) {
        if self.on && self.open.len() < MAX_OPEN {
            self.open.insert(id, (now, route));
        }
    }

    /// Takes note of what a step of the node sent out.
    pub fn sent(&mut self, now: Time, out: &[Effect]) {
        if !self.on {
            return;
        }
        for o in out {
            match o {
                Effect::Answer { to, status, .. } | Effect::OperatorAnswer { to, status, .. } => {
                    if let Some((since, route)) = self.open.remove(to) {
                        self.answers
                            .entry(route)
                            .or_default()
                            .took(now.since(since));
                        *self.statuses.entry((route, *status)).or_default() += 1;
                    }
                }
                Effect::Call {
                    id,
                    destination,
                    method,
                    path,
                    ..
                } => {
                    let kind = call_kind(destination, *method, path);
                    if let Some(kind) = kind.filter(|_| self.calls.len() < MAX_OPEN) {
                        self.calls.insert(*id, (now, kind));
                    }
                }
                Effect::SendFrame { .. } => {}
            }
        }
    }

    pub fn replied(&mut self, now: Time, id: CallId, answered: bool) {
        let Some((since, kind)) = self.calls.remove(&id) else {
            return;
        };
        if answered {
            self.outside.entry(kind).or_default().took(now.since(since));
        } else {
            *self.lost.entry(kind).or_default() += 1;
        }
    }

    pub fn took(&mut self, now: Time) {
        self.took = Some(now);
    }

    /// The books are read: from here on tasks are placed.
    pub fn loaded(&mut self, now: Time) {
        if let Some(took) = self.took.take() {
            if self.on {
                self.takeovers.took(now.since(took));
            }
        }
    }

    pub fn waiting(&mut self, oldest_s: f64) {
        if self.on {
            self.oldest_wait.took(oldest_s);
        }
    }

    /// Tasks were placed, of jobs of these ages.
    pub fn placed(&mut self, ages_s: &[f64]) {
        ages_s.iter().for_each(|age| self.placements.took(*age));
    }

    /// The page; `gauges` are values of this moment, `counters` only rise.
    pub fn render(
        &self,
        gauges: &[(&'static str, f64)],
        counters: impl Iterator<Item = (&'static str, u64)>,
    ) -> String {
        let mut out = String::new();
        let head = |out: &mut String, name: &str, kind: &str, help: &str| {
            let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} {kind}");
        };
        let name = "beamhinge_answer_seconds";
        head(
            &mut out,
            name,
            "summary",
            "Time from a request to its answer, by route.",
        );
        for (route, times) in &self.answers {
            times.render(&mut out, name, &format!("route=\"{route}\""));
        }
        let name = "beamhinge_answers_total";
        head(&mut out, name, "counter", "Answers by route and status.");
        for ((route, status), n) in &self.statuses {
            let _ = writeln!(out, "{name}{{route=\"{route}\",status=\"{status}\"}} {n}");
        }
        let name = "beamhinge_call_seconds";
        head(
            &mut out,
            name,
            "summary",
            "Time of calls to the outside, by kind; answered ones.",
        );
        for (kind, times) in &self.outside {
            times.render(&mut out, name, &format!("kind=\"{kind}\""));
        }
        let name = "beamhinge_calls_lost_total";
        head(
            &mut out,
            name,
            "counter",
            "Calls that were never answered, by kind.",
        );
        for (kind, n) in &self.lost {
            let _ = writeln!(out, "{name}{{kind=\"{kind}\"}} {n}");
        }
        let name = "beamhinge_takeover_seconds";
        head(
            &mut out,
            name,
            "summary",
            "From taking the lead to the books being read.",
        );
        self.takeovers.render(&mut out, name, "");
        let name = "beamhinge_oldest_wait_seconds";
        head(
            &mut out,
            name,
            "summary",
            "Age of the oldest job with a waiting task, each second.",
        );
        self.oldest_wait.render(&mut out, name, "");
        let name = "beamhinge_placement_age_seconds";
        head(
            &mut out,
            name,
            "summary",
            "Age of the job when a task of it is placed.",
        );
        self.placements.render(&mut out, name, "");
        let name = "beamhinge_decisions_total";
        head(
            &mut out,
            name,
            "counter",
            "Decisions of this process as holder, by kind.",
        );
        for (kind, n) in counters {
            let _ = writeln!(out, "{name}{{kind=\"{kind}\"}} {n}");
        }
        for (name, value) in gauges {
            let _ = writeln!(
                out,
                "# TYPE beamhinge_{name} gauge\nbeamhinge_{name} {value}"
            );
        }
        out
    }
}

#[cfg(test)]
mod tests;
