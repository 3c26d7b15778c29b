//! Arrival statistics of classes whose jobs may not wait, from which their standby capacity is
//! computed.

use super::record::StoredLoad;
use crate::eligibility::ZoneScope;
use crate::split::Demand;
use beamhinge_core::types::Time;
use std::collections::VecDeque;

/// Maximum number of arrivals kept for one class; bounds memory.
const MAX_ARRIVALS: usize = 8_192;
/// Length of the window over which the highest load of a class is taken, seconds.
const LOAD_WINDOW_S: f64 = 150.0;
/// Minimum interval between load samples, seconds.
const LOAD_SAMPLE_S: f64 = 1.0;
/// A class counts as ended after this many mean gaps between jobs without an arrival.
const ENDED_AFTER_GAPS: f64 = 6.0;
/// Shortest time without an arrival after which a class counts as ended, seconds.
const MIN_ENDED_AFTER_S: f64 = 15.0;

/// A job that arrived.
#[derive(Debug)]
struct Arrival {
    /// Number of tasks that the job runs at once.
    width: f64,
    /// Time at which its tasks would end if all had started on arrival.
    ends_at: Time,
}

/// Arrivals of a class whose jobs may not wait, and the resulting load.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    jobs: VecDeque<Arrival>,
    /// Samples of the load: the total width of the jobs that would be running.
    loads: VecDeque<(Time, f64)>,
    last_arrival_at: Option<Time>,
    /// Moving average of the time between arrivals, seconds; 0 until two jobs have arrived.
    gap_s: f64,
}

impl Arrivals {
    /// Records the arrival of a job that runs `width` tasks at once for `run_s` seconds.
    pub(super) fn record(&mut self, now: Time, width: f64, run_s: f64) {
        if let Some(last_arrival_at) = self.last_arrival_at {
            let gap = now.since(last_arrival_at);
            self.gap_s = if self.gap_s > 0.0 {
                self.gap_s * 0.9 + gap * 0.1
            } else {
                gap
            };
        }
        self.last_arrival_at = Some(now);
        let ends_at = now.plus(run_s);
        self.jobs.push_back(Arrival { width, ends_at });
        if self.jobs.len() > MAX_ARRIVALS {
            self.jobs.pop_front();
        }
    }

    /// Restores the load that an earlier leader stored. The last arrival is assumed to be now.
    pub(super) fn resume(&mut self, now: Time, load: &StoredLoad) {
        self.gap_s = load.gap_s;
        self.last_arrival_at = self.last_arrival_at.max(Some(now));
        self.loads.push_back((now, load.max_load));
    }

    /// The highest load of the last [`LOAD_WINDOW_S`] seconds. The load is computed from arrivals,
    /// not from open jobs, since a backlog does not predict future arrivals.
    pub(super) fn max_load(&mut self, now: Time) -> f64 {
        self.jobs.retain(|job| job.ends_at > now);
        let last_sample = self.loads.back();
        if last_sample.is_none_or(|(at, _)| now.since(*at) >= LOAD_SAMPLE_S) {
            let load = self.jobs.iter().map(|job| job.width).sum();
            self.loads.push_back((now, load));
        }
        while let Some((at, _)) = self.loads.front() {
            if now.since(*at) <= LOAD_WINDOW_S {
                break;
            }
            self.loads.pop_front();
        }
        self.loads.iter().map(|(_, load)| *load).fold(0.0, f64::max)
    }

    /// Whether no job has arrived for [`ENDED_AFTER_GAPS`] mean gaps, and for at least
    /// [`MIN_ENDED_AFTER_S`] seconds.
    pub(super) fn has_ended(&self, now: Time) -> bool {
        self.last_arrival_at
            .is_none_or(|at| now.since(at) > (self.gap_s * ENDED_AFTER_GAPS).max(MIN_ENDED_AFTER_S))
    }

    /// The load to store for the next leader. `latest` is the latest job of the class. `None` if
    /// the class has ended, or if `latest` is restricted to machine types or a zone: the
    /// restriction is not stored, and is known again with the next job.
    pub(super) fn stored_load(&mut self, latest: &Demand, now: Time) -> Option<StoredLoad> {
        let bound = latest.machine_types.is_some() || latest.zones != ZoneScope::Any;
        if bound || self.has_ended(now) {
            return None;
        }
        let resources = &latest.resources;
        Some(StoredLoad {
            max_load: self.max_load(now).ceil(),
            gap_s: (self.gap_s * 100.0).round() / 100.0,
            task_size: (resources.cpus, resources.gpus, resources.memory_gb),
            spot: latest.spot,
        })
    }
}
