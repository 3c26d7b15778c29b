//! Measures a run while it executes: processor time and memory by role each second, message counts
//! at the start and end of the steady phase, and response times.

use super::children::RoleId;
use super::figures::{self, Figures, Rate, RoleUse};
use super::histograms::{answer_histogram, times};
use super::messages::{Flow, Flows};
use super::usage::{self, Meter};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Instant;

/// Interval between samples of all processes, seconds.
const SAMPLE_S: f64 = 1.0;
/// Fraction of a core from which on the leader counts as busy.
const BUSY: f64 = 0.8;
/// Milliseconds per microsecond, the unit of the histograms.
const MS: f64 = 1e-3;
/// Most protocol violations that are recorded.
const MAX_ABUSED: usize = 20;

/// Resource usage of one role, summed over samples.
#[derive(Clone, Copy, Default)]
struct RoleSum {
    processes: usize,
    samples: u64,
    core: f64,
    core_peak: f64,
    resident_mb: f64,
}

impl RoleSum {
    fn add(&mut self, processes: usize, core: f64, resident_mb: f64) {
        self.processes = self.processes.max(processes);
        self.samples += 1;
        self.core += core;
        self.core_peak = self.core_peak.max(core);
        self.resident_mb = self.resident_mb.max(resident_mb);
    }

    fn figure(&self, parts: f64) -> RoleUse {
        let samples = self.samples.max(1) as f64;
        RoleUse {
            processes: self.processes,
            core: self.core / samples / parts,
            core_peak: self.core_peak / parts,
            resident_mb: self.resident_mb / parts,
        }
    }
}

/// The last counts that a child reported.
#[derive(Clone, Default)]
struct Counts {
    flows: Flows,
    gauges: BTreeMap<String, f64>,
}

pub(super) struct Measurement {
    workers: usize,
    meter: Meter,
    sampled: Option<Instant>,
    steady_from: Option<Instant>,
    steady_to: Option<Instant>,
    counts: BTreeMap<RoleId, Counts>,
    counts_then: BTreeMap<RoleId, Counts>,
    counts_at_end: BTreeMap<RoleId, Counts>,
    started_then: u64,
    started_at_end: u64,
    sums: BTreeMap<&'static str, RoleSum>,
    running: (f64, u64),
    busy_s: f64,
    longest_busy_s: f64,
    memory_mb: f64,
    answers: BTreeMap<String, Histogram<u64>>,
    refused: BTreeMap<u16, u64>,
    abused: Vec<String>,
}

/// Name of a child's role in [`Figures::roles`].
fn role_name(id: RoleId) -> &'static str {
    match id {
        RoleId::State => figures::STATE,
        RoleId::Cloud => figures::CLOUD,
        RoleId::Workers(_) => figures::WORKER,
        RoleId::Users => figures::USERS,
    }
}

/// Prefix of a role's flows and gauges.
fn short_name(id: RoleId) -> &'static str {
    match id {
        RoleId::State => "state",
        RoleId::Cloud => "cloud",
        RoleId::Workers(_) => "workers",
        RoleId::Users => "users",
    }
}

impl Measurement {
    pub(super) fn new(workers: usize) -> Measurement {
        Measurement {
            workers,
            meter: Meter::default(),
            sampled: None,
            steady_from: None,
            steady_to: None,
            counts: BTreeMap::new(),
            counts_then: BTreeMap::new(),
            counts_at_end: BTreeMap::new(),
            started_then: 0,
            started_at_end: 0,
            sums: BTreeMap::new(),
            running: (0.0, 0),
            busy_s: 0.0,
            longest_busy_s: 0.0,
            memory_mb: 0.0,
            answers: BTreeMap::new(),
            refused: BTreeMap::new(),
            abused: Vec::new(),
        }
    }

    pub(super) fn counts(&mut self, id: RoleId, flows: Flows, gauges: BTreeMap<String, f64>) {
        self.counts.insert(id, Counts { flows, gauges });
    }

    pub(super) fn answered(&mut self, kind: &str, ms: f64, status: u16) {
        if !self.is_within() {
            return;
        }
        if !self.answers.contains_key(kind) {
            let Ok(histogram) = answer_histogram() else {
                return;
            };
            self.answers.insert(kind.to_string(), histogram);
        }
        if let Some(histogram) = self.answers.get_mut(kind) {
            histogram.saturating_record((ms / MS) as u64);
        }
        if !matches!(status, 200 | 201) {
            *self.refused.entry(status).or_default() += 1;
        }
    }

    pub(super) fn abused(&mut self, what: String) {
        if self.abused.len() < MAX_ABUSED {
            self.abused.push(what);
        }
    }

    pub(super) fn is_steady(&self) -> bool {
        self.steady_from.is_some()
    }

    fn is_within(&self) -> bool {
        self.steady_from.is_some() && self.steady_to.is_none()
    }

    pub(super) fn begin_steady(&mut self, started: u64) {
        self.steady_from = Some(Instant::now());
        self.counts_then = self.counts.clone();
        self.started_then = started;
    }

    pub(super) fn end_steady(&mut self, started: u64) {
        self.steady_to = Some(Instant::now());
        self.counts_at_end = self.counts.clone();
        self.started_at_end = started;
    }

    /// Start of the steady phase, seconds after `began`; 0 if it has not started.
    pub(super) fn steady_from_s(&self, began: Instant) -> f64 {
        self.steady_from
            .map_or(0.0, |at| at.saturating_duration_since(began).as_secs_f64())
    }

    /// Number of tasks on machines, by the last reports of the workers.
    pub(super) fn running(&self) -> f64 {
        let told = self
            .counts
            .iter()
            .filter(|(id, _)| matches!(id, RoleId::Workers(_)));
        told.filter_map(|(_, c)| c.gauges.get("running")).sum()
    }

    /// Samples all processes at most once a second. Returns their total memory, MB, or `None` if no
    /// sample was due.
    pub(super) fn sample_processes(
        &mut self,
        controllers: &[(usize, u32)],
        leader: Option<usize>,
        roles: &[(RoleId, u32)],
    ) -> Option<f64> {
        let passed = match self.sampled {
            Some(at) if at.elapsed().as_secs_f64() < SAMPLE_S => return None,
            Some(at) => at.elapsed().as_secs_f64(),
            None => SAMPLE_S,
        };
        self.sampled = Some(Instant::now());
        let mut memory_mb = usage::of(std::process::id()).map_or(0.0, |u| u.resident_mb);
        let mut now: BTreeMap<&'static str, RoleSum> = BTreeMap::new();
        let of_controllers = controllers.iter().map(|(node, pid)| {
            let leads = Some(*node) == leader;
            (
                if leads {
                    figures::LEADER
                } else {
                    figures::FOLLOWER
                },
                *pid,
            )
        });
        let of_roles = roles.iter().map(|(id, pid)| (role_name(*id), *pid));
        for (name, pid) in of_controllers.chain(of_roles) {
            let Some(used) = usage::of(pid) else { continue };
            let core = self.meter.spent(pid, used) / passed;
            memory_mb += used.resident_mb;
            let sum = now.entry(name).or_default();
            sum.processes += 1;
            sum.core += core;
            sum.resident_mb += used.resident_mb;
        }
        self.memory_mb = self.memory_mb.max(memory_mb);
        let leader_core = now.get(figures::LEADER).map_or(0.0, |s| s.core);
        self.busy_s = if leader_core >= BUSY {
            self.busy_s + passed
        } else {
            0.0
        };
        self.longest_busy_s = self.longest_busy_s.max(self.busy_s);
        if self.is_within() {
            for (name, seen) in now {
                let sum = self.sums.entry(name).or_default();
                sum.add(seen.processes, seen.core, seen.resident_mb);
            }
            self.running.0 += self.running();
            self.running.1 += 1;
        }
        Some(memory_mb)
    }

    fn rates(&self, seconds: f64) -> BTreeMap<String, Rate> {
        let mut rates: BTreeMap<String, Rate> = BTreeMap::new();
        for (id, counts) in &self.counts_at_end {
            let before = self.counts_then.get(id);
            for (kind, flow) in &counts.flows {
                let then = before
                    .and_then(|c| c.flows.get(kind))
                    .copied()
                    .unwrap_or_default();
                let rate = rates
                    .entry(format!("{} {kind}", short_name(*id)))
                    .or_default();
                let Flow { messages, bytes } = *flow;
                rate.messages_per_s += messages.saturating_sub(then.messages) as f64 / seconds;
                rate.bytes_per_s += bytes.saturating_sub(then.bytes) as f64 / seconds;
            }
        }
        rates
    }

    fn gauges(&self) -> BTreeMap<String, f64> {
        let mut gauges = BTreeMap::new();
        for (id, counts) in &self.counts_at_end {
            for (name, value) in &counts.gauges {
                *gauges
                    .entry(format!("{} {name}", short_name(*id)))
                    .or_default() += value;
            }
        }
        for (status, times) in &self.refused {
            gauges.insert(format!("users answered {status}"), *times as f64);
        }
        gauges
    }

    /// The figures measured here; all others have their default values.
    pub(super) fn figures(&self) -> Figures {
        let from = self.steady_from.unwrap_or_else(Instant::now);
        let to = self.steady_to.unwrap_or_else(Instant::now);
        let seconds = to.saturating_duration_since(from).as_secs_f64().max(1e-3);
        let flows = self.rates(seconds);
        let changes = |counts: &BTreeMap<RoleId, Counts>| {
            counts
                .get(&RoleId::State)
                .and_then(|c| c.gauges.get("changes"))
                .copied()
                .unwrap_or(0.0)
        };
        let requests = flows
            .iter()
            .filter(|(kind, _)| kind.starts_with("state ") && kind.ends_with(" in"))
            .map(|(_, rate)| rate.messages_per_s)
            .sum();
        let parts = |name: &str, sum: &RoleSum| match name {
            figures::WORKER => self.workers as f64,
            figures::FOLLOWER => sum.processes.max(1) as f64,
            _ => 1.0,
        };
        let mut broken = BTreeMap::new();
        if let Some(first) = self.abused.first() {
            let times = self.abused.len() as u64;
            broken.insert(
                "protocol".into(),
                super::checker::RuleViolation {
                    times,
                    first: first.clone(),
                },
            );
        }
        Figures {
            seconds,
            workers: self.workers,
            starts_per_s: self.started_at_end.saturating_sub(self.started_then) as f64 / seconds,
            running: self.running.0 / self.running.1.max(1) as f64,
            submit_ms: self
                .answers
                .get("submit")
                .map(|h| times(h, MS))
                .unwrap_or_default(),
            roles: self
                .sums
                .iter()
                .map(|(name, sum)| (name.to_string(), sum.figure(parts(name, sum))))
                .collect(),
            leader_busy_s: self.longest_busy_s,
            state_changes_per_s: (changes(&self.counts_at_end) - changes(&self.counts_then))
                / seconds,
            state_requests_per_s: requests,
            gauges: self.gauges(),
            flows,
            memory_mb: self.memory_mb,
            broken,
            ..Figures::default()
        }
    }
}
