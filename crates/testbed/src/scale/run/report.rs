//! Results of a scale run: its figures and its time series.

use super::{Run, RunResult};
use crate::scale::figures::Figures;
use crate::scale::histograms::summarize;
use crate::scale::messages::wall_us;
use crate::scale::usage;
use crate::TestbedError;

/// Typical delay between a job's submission and the start of its tasks, in report intervals.
const START_DELAY_REPORTS: f64 = 1.5;
/// Added to the current time at the end of a run so that the checker processes all pending
/// records, microseconds; longer than the time for which it holds them for reordering.
const REORDER_SLACK_US: u64 = 10_000_000;

impl Run {
    /// Completes the checks and collects the results of the run.
    pub(super) fn finish(mut self) -> Result<RunResult, TestbedError> {
        // All records have arrived by now: process those that the checker still holds for
        // reordering.
        self.checker.check_until(wall_us() + REORDER_SLACK_US);
        let began_us = wall_us().saturating_sub(self.load_started_at.elapsed().as_micros() as u64);
        let since_load = |at: u64| (at as f64 - began_us as f64) / 1e6;
        let starts = self.checker.starts.iter();
        let starts: Vec<(f64, f64)> = starts
            .map(|(s, n)| (since_load(s * 1_000_000), *n as f64))
            .filter(|(at, _)| *at >= 0.0 && *at <= self.plan.seconds)
            .collect();
        let urgent = self.checker.urgent_waits.iter();
        let urgent = urgent.map(|(at, ms)| (since_load(*at), ms / 1e3)).collect();
        let figures = self.figures(began_us, &starts)?;
        Ok(RunResult {
            figures,
            starts,
            urgent,
            fault_marks: self.fault_marks,
        })
    }

    fn figures(&self, began_us: u64, starts: &[(f64, f64)]) -> Result<Figures, TestbedError> {
        let steady_from_s = self.measurement.steady_from_s(self.load_started_at);
        let steady_us = began_us + (steady_from_s * 1e6) as u64;
        let waits = self
            .checker
            .urgent_histogram(steady_us)
            .map_err(|e| TestbedError::Other(e.to_string()))?;
        let limit_ms = (self.plan.size.urgent_start_s * 1e3) as u64;
        let in_time = waits.count_between(0, limit_ms) as f64 / waits.len().max(1) as f64;
        let measured = self.measurement.figures();
        // Jobs start some time after they are due.
        let from_s = steady_from_s - START_DELAY_REPORTS * self.plan.size.report_s;
        let workload = self.checker.workload();
        let offered = workload.offered(from_s, from_s + measured.seconds);
        let offered_in_run = workload.offered(0.0, self.plan.seconds);
        let counts = self.checker.counts;
        let mut broken = self.checker.violations.clone();
        broken.extend(measured.broken.clone());
        let faults = self.fault_marks.iter();
        Ok(Figures {
            urgent_start_ms: summarize(&waits, 1.0),
            urgent_in_time: in_time,
            offered_per_s: offered.tasks as f64 / measured.seconds,
            offered_running: offered.running,
            kept_up: counts.tasks_started as f64 / offered_in_run.tasks.max(1) as f64,
            lead_changes: self.lead_changes,
            configuration: self.configuration,
            longest_without_start_s: longest_gap_s(starts, self.plan.seconds),
            jobs: counts,
            late_starts: self.checker.late_starts,
            broken,
            fallen: self.unexpected_exits,
            processes: self.plan.size.controllers + self.roles.len() + 1,
            machine_memory_mb: usage::machine_memory_mb(),
            faults: faults.map(|(at, kind)| format!("{kind}@{at:.1}")).collect(),
            ..measured
        })
    }
}

/// Longest time between two seconds with task starts, or from the last start until `until`;
/// `until` if nothing started.
fn longest_gap_s(starts: &[(f64, f64)], until: f64) -> f64 {
    let mut times: Vec<f64> = starts
        .iter()
        .filter(|(_, n)| *n > 0.0)
        .map(|(at, _)| *at)
        .collect();
    if times.is_empty() {
        return until;
    }
    times.push(until);
    // Starts are counted in whole seconds: two consecutive seconds have no gap between them.
    times
        .windows(2)
        .map(|w| (w[1] - w[0] - 1.0).max(0.0))
        .fold(0.0, f64::max)
}
