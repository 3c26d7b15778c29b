//! Measures a run while it executes: processor time and memory by role each second, message counts
//! at the start and end of the steady phase, and response times.

use super::children::RoleId;
use super::figures::{self, Figures, Rate, RoleUsage};
use super::histograms::{latency_histogram, summarize};
use super::messages::{Flow, Flows};
use super::usage::{self, CpuMeter};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Instant;

/// Interval between samples of all processes, seconds.
const SAMPLE_INTERVAL_S: f64 = 1.0;
/// The leader counts as busy when it uses at least this fraction of a core.
const BUSY_CORE_FRACTION: f64 = 0.8;
/// Milliseconds per microsecond, the unit of the histograms.
const MS_PER_US: f64 = 1e-3;
/// Most protocol violations that are recorded.
const MAX_PROTOCOL_VIOLATIONS: usize = 20;

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

    fn mean_usage(&self, divisor: f64) -> RoleUsage {
        let samples = self.samples.max(1) as f64;
        RoleUsage {
            processes: self.processes,
            core: self.core / samples / divisor,
            core_peak: self.core_peak / divisor,
            resident_mb: self.resident_mb / divisor,
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
    meter: CpuMeter,
    last_sample_at: Option<Instant>,
    steady_from: Option<Instant>,
    steady_to: Option<Instant>,
    counts: BTreeMap<RoleId, Counts>,
    counts_at_start: BTreeMap<RoleId, Counts>,
    counts_at_end: BTreeMap<RoleId, Counts>,
    started_at_start: u64,
    started_at_end: u64,
    usage_sums: BTreeMap<&'static str, RoleSum>,
    running: (f64, u64),
    busy_s: f64,
    longest_busy_s: f64,
    memory_mb: f64,
    response_times: BTreeMap<String, Histogram<u64>>,
    refused: BTreeMap<u16, u64>,
    protocol_violations: Vec<String>,
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
fn flow_prefix(id: RoleId) -> &'static str {
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
            meter: CpuMeter::default(),
            last_sample_at: None,
            steady_from: None,
            steady_to: None,
            counts: BTreeMap::new(),
            counts_at_start: BTreeMap::new(),
            counts_at_end: BTreeMap::new(),
            started_at_start: 0,
            started_at_end: 0,
            usage_sums: BTreeMap::new(),
            running: (0.0, 0),
            busy_s: 0.0,
            longest_busy_s: 0.0,
            memory_mb: 0.0,
            response_times: BTreeMap::new(),
            refused: BTreeMap::new(),
            protocol_violations: Vec::new(),
        }
    }

    pub(super) fn set_counts(&mut self, id: RoleId, flows: Flows, gauges: BTreeMap<String, f64>) {
        self.counts.insert(id, Counts { flows, gauges });
    }

    pub(super) fn add_response(&mut self, kind: &str, ms: f64, status: u16) {
        if !self.is_in_steady_phase() {
            return;
        }
        if !self.response_times.contains_key(kind) {
            let Ok(histogram) = latency_histogram() else {
                return;
            };
            self.response_times.insert(kind.to_string(), histogram);
        }
        if let Some(histogram) = self.response_times.get_mut(kind) {
            histogram.saturating_record((ms / MS_PER_US) as u64);
        }
        if !matches!(status, 200 | 201) {
            *self.refused.entry(status).or_default() += 1;
        }
    }

    pub(super) fn add_protocol_violation(&mut self, what: String) {
        if self.protocol_violations.len() < MAX_PROTOCOL_VIOLATIONS {
            self.protocol_violations.push(what);
        }
    }

    pub(super) fn has_reached_steady_phase(&self) -> bool {
        self.steady_from.is_some()
    }

    fn is_in_steady_phase(&self) -> bool {
        self.steady_from.is_some() && self.steady_to.is_none()
    }

    pub(super) fn begin_steady_phase(&mut self, started: u64) {
        self.steady_from = Some(Instant::now());
        self.counts_at_start = self.counts.clone();
        self.started_at_start = started;
    }

    pub(super) fn end_steady_phase(&mut self, started: u64) {
        self.steady_to = Some(Instant::now());
        self.counts_at_end = self.counts.clone();
        self.started_at_end = started;
    }

    /// Start of the steady phase, seconds after `load_started_at`; 0 if it has not started.
    pub(super) fn steady_from_s(&self, load_started_at: Instant) -> f64 {
        self.steady_from.map_or(0.0, |at| {
            at.saturating_duration_since(load_started_at).as_secs_f64()
        })
    }

    /// Number of tasks on machines, by the last reports of the workers.
    pub(super) fn running(&self) -> f64 {
        let worker_counts = self
            .counts
            .iter()
            .filter(|(id, _)| matches!(id, RoleId::Workers(_)));
        worker_counts
            .filter_map(|(_, c)| c.gauges.get("running"))
            .sum()
    }

    /// Samples all processes at most once a second. Returns their total memory, MB, or `None` if no
    /// sample was due.
    pub(super) fn sample_processes(
        &mut self,
        controllers: &[(usize, u32)],
        leader: Option<usize>,
        roles: &[(RoleId, u32)],
    ) -> Option<f64> {
        let elapsed_s = match self.last_sample_at {
            Some(at) if at.elapsed().as_secs_f64() < SAMPLE_INTERVAL_S => return None,
            Some(at) => at.elapsed().as_secs_f64(),
            None => SAMPLE_INTERVAL_S,
        };
        self.last_sample_at = Some(Instant::now());
        let mut memory_mb = usage::process_usage(std::process::id()).map_or(0.0, |u| u.resident_mb);
        let mut usage_by_role: BTreeMap<&'static str, RoleSum> = BTreeMap::new();
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
            let Some(used) = usage::process_usage(pid) else {
                continue;
            };
            let core = self.meter.cpu_since_last_sample(pid, used) / elapsed_s;
            memory_mb += used.resident_mb;
            let sum = usage_by_role.entry(name).or_default();
            sum.processes += 1;
            sum.core += core;
            sum.resident_mb += used.resident_mb;
        }
        self.memory_mb = self.memory_mb.max(memory_mb);
        let leader_core = usage_by_role.get(figures::LEADER).map_or(0.0, |s| s.core);
        self.busy_s = if leader_core >= BUSY_CORE_FRACTION {
            self.busy_s + elapsed_s
        } else {
            0.0
        };
        self.longest_busy_s = self.longest_busy_s.max(self.busy_s);
        if self.is_in_steady_phase() {
            for (name, seen) in usage_by_role {
                let sum = self.usage_sums.entry(name).or_default();
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
            let before = self.counts_at_start.get(id);
            for (kind, flow) in &counts.flows {
                let at_start = before
                    .and_then(|c| c.flows.get(kind))
                    .copied()
                    .unwrap_or_default();
                let rate = rates
                    .entry(format!("{} {kind}", flow_prefix(*id)))
                    .or_default();
                let Flow { messages, bytes } = *flow;
                rate.messages_per_s += messages.saturating_sub(at_start.messages) as f64 / seconds;
                rate.bytes_per_s += bytes.saturating_sub(at_start.bytes) as f64 / seconds;
            }
        }
        rates
    }

    fn gauges(&self) -> BTreeMap<String, f64> {
        let mut gauges = BTreeMap::new();
        for (id, counts) in &self.counts_at_end {
            for (name, value) in &counts.gauges {
                *gauges
                    .entry(format!("{} {name}", flow_prefix(*id)))
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
        let start = self.steady_from.unwrap_or_else(Instant::now);
        let end = self.steady_to.unwrap_or_else(Instant::now);
        let seconds = end.saturating_duration_since(start).as_secs_f64().max(1e-3);
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
        let divisor = |name: &str, sum: &RoleSum| match name {
            figures::WORKER => self.workers as f64,
            figures::FOLLOWER => sum.processes.max(1) as f64,
            _ => 1.0,
        };
        let mut broken = BTreeMap::new();
        if let Some(first) = self.protocol_violations.first() {
            let times = self.protocol_violations.len() as u64;
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
            starts_per_s: self.started_at_end.saturating_sub(self.started_at_start) as f64
                / seconds,
            running: self.running.0 / self.running.1.max(1) as f64,
            submit_ms: self
                .response_times
                .get("submit")
                .map(|h| summarize(h, MS_PER_US))
                .unwrap_or_default(),
            roles: self
                .usage_sums
                .iter()
                .map(|(name, sum)| (name.to_string(), sum.mean_usage(divisor(name, sum))))
                .collect(),
            leader_busy_s: self.longest_busy_s,
            state_changes_per_s: (changes(&self.counts_at_end) - changes(&self.counts_at_start))
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
