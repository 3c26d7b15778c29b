//! The metrics page. Metric names are a public interface.

use super::super::Node;
use crate::scheduler::Scheduler;
use beamhinge_core::types::{Time, WallMs};

impl Node {
    /// Renders the metrics page as of `now`.
    pub(in crate::node) fn metrics_page(&self, now: Time, wall: WallMs) -> String {
        let mut gauges = self.controller_gauges(now);
        let mut counters = Vec::new();
        if let Some(scheduler) = self.scheduler.as_ref().filter(|s| s.loaded()) {
            gauges.extend(self.leader_gauges(now, wall, scheduler));
            counters = leader_counters(scheduler);
        }
        self.metrics.render(&gauges, counters.into_iter())
    }

    /// Returns the gauges that every controller exports.
    fn controller_gauges(&self, now: Time) -> Vec<(&'static str, f64)> {
        let store_age_s = self.store.last_success().map_or(-1.0, |t| now.since(t));
        let stalled_s = self.stall_detector.stalled_for_s(now).unwrap_or(0.0);
        vec![
            ("holder", f64::from(u8::from(self.scheduler.is_some()))),
            ("jobs_known", self.job_store.iter().count() as f64),
            ("stuck_seconds", stalled_s),
            ("machines_shielded", self.fleet.shielded_machines() as f64),
            ("ledger_age_seconds", store_age_s),
        ]
    }

    /// Returns the gauges that only the leader exports.
    fn leader_gauges(
        &self,
        now: Time,
        wall: WallMs,
        scheduler: &Scheduler,
    ) -> Vec<(&'static str, f64)> {
        let totals = scheduler.totals(now, wall, self.fleet.machine_types());
        let (open_nominations, max_nominations) = scheduler.nomination_counts();
        let preemption = scheduler.preemption_stats();
        vec![
            ("jobs_open", f64::from(totals.jobs_open)),
            ("tasks_running", f64::from(totals.tasks_running)),
            ("tasks_waiting", f64::from(totals.tasks_waiting)),
            (
                "jobs_without_machine",
                self.fleet.jobs_without_machine() as f64,
            ),
            ("machines_up", f64::from(totals.machines_up)),
            ("machines_silent", f64::from(totals.machines_silent)),
            ("cpus", totals.cpus),
            ("cpus_used", totals.cpus_used),
            ("places_kept", open_nominations as f64),
            ("places_window", max_nominations as f64),
            ("room_start_seconds_p50", preemption.start_latency_s(0.5)),
            ("room_start_seconds_p99", preemption.start_latency_s(0.99)),
            ("room_lost_cpu_seconds", preemption.lost_cpu_s),
        ]
    }
}

/// Returns the leader's counters: its decisions by kind, and the outcomes of its preemptions.
fn leader_counters(scheduler: &Scheduler) -> Vec<(&'static str, u64)> {
    let preemption = scheduler.preemption_stats();
    let mut counters: Vec<(&'static str, u64)> = scheduler.event_log.counts().collect();
    counters.extend([
        ("stopped_for_others", preemption.victims),
        ("places_asked", preemption.opened),
        ("places_started", preemption.started),
        ("places_lapsed", preemption.abandoned),
        ("stopped_for_nobody", preemption.wasted_victims),
    ]);
    counters
}
