//! Arrivals of classes whose jobs may not wait, and the capacity that is kept ready for them.

use super::record::StoredLoad;
use crate::split::Demand;
use beamhinge_core::types::Time;
use std::collections::VecDeque;

/// Arrivals of one class that are remembered at once; guards memory.
const MAX_ARRIVALS: usize = 8_192;
/// Seconds over which the load of a class is watched.
const LOAD_WINDOW_S: f64 = 150.0;
/// Seconds between two samples of the load.
const LOAD_SAMPLE_S: f64 = 1.0;
/// Mean gaps between jobs after which a class counts as ended.
const ENDED_AFTER_GAPS: f64 = 6.0;
/// Shortest silence after which a class counts as ended, seconds.
const MIN_ENDED_AFTER_S: f64 = 15.0;

/// A job that arrived.
#[derive(Debug)]
struct Arrival {
    /// Tasks that it runs at once.
    width: f64,
    /// Until when its tasks would run had they all started at once.
    until: Time,
}

/// Arrivals of a class whose jobs may not wait, and the load they make.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    jobs: VecDeque<Arrival>,
    /// Load over time: the width of all jobs that would run.
    loads: VecDeque<(Time, f64)>,
    last: Option<Time>,
    /// Mean time between jobs, seconds; 0 until two have arrived.
    gap_s: f64,
}

impl Arrivals {
    /// A job of so many tasks at once arrived, which runs for `run_s` seconds.
    pub(super) fn record(&mut self, now: Time, width: f64, run_s: f64) {
        if let Some(last) = self.last {
            let gap = now.since(last);
            self.gap_s = if self.gap_s > 0.0 {
                self.gap_s * 0.9 + gap * 0.1
            } else {
                gap
            };
        }
        self.last = Some(now);
        let until = now.plus(run_s);
        self.jobs.push_back(Arrival { width, until });
        if self.jobs.len() > MAX_ARRIVALS {
            self.jobs.pop_front();
        }
    }

    /// Takes over what an earlier leader saw; its last arrival counts as one just now.
    pub(super) fn resume(&mut self, now: Time, load: &StoredLoad) {
        self.gap_s = load.gap_s;
        self.last = self.last.max(Some(now));
        self.loads.push_back((now, load.max_load));
    }

    /// The highest load of the last [`LOAD_WINDOW_S`] seconds. It is counted by what arrived, not
    /// by what is open: a queue that has built up says nothing of what comes next.
    pub(super) fn max_load(&mut self, now: Time) -> f64 {
        self.jobs.retain(|job| job.until > now);
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

    /// Whether nothing has arrived for several times the usual gap.
    pub(super) fn has_ended(&self, now: Time) -> bool {
        self.last
            .is_none_or(|at| now.since(at) > (self.gap_s * ENDED_AFTER_GAPS).max(MIN_ENDED_AFTER_S))
    }

    /// What a new leader needs; none for a class that has ended, and for one that is bound to
    /// types or a zone, which its next job tells. `latest` is the latest job of the class.
    pub(super) fn stored_load(&mut self, latest: &Demand, now: Time) -> Option<StoredLoad> {
        let bound = latest.machine_types.is_some() || latest.zone.is_some();
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
