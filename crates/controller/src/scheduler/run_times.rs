//! How long tasks run: estimates, corrected by the tasks that ended.

use super::job::Job;
use super::Scheduler;
use std::collections::BTreeMap;

/// Tasks of a job that must have ended before its own run times count.
pub(super) const MIN_RUN_TIME_SAMPLES: u32 = 4;

/// Least and greatest correction of a class's estimates.
pub(super) const RUN_TIME_RATIO_RANGE: (f64, f64) = (0.2, 5.0);

impl Scheduler {
    /// Run time of a job's task in seconds, as far as known: by its own tasks that ended,
    /// else by those of its class, else as estimated.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        let factor = if job.run_time_ratios.samples >= MIN_RUN_TIME_SAMPLES {
            job.run_time_ratios.mean()
        } else {
            self.class_run_time_ratio(&job.spec.class)
        };
        job.spec.expected_run_s * factor
    }

    /// How far runs of a class were from their estimates.
    fn class_run_time_ratio(&self, class: &str) -> f64 {
        self.run_time_ratios.get(class).copied().unwrap_or(1.0)
    }

    /// Run time over estimate, by class.
    pub fn run_time_ratios(&self) -> &BTreeMap<String, f64> {
        &self.run_time_ratios
    }

    /// Takes over what an earlier leader learnt, for classes that this one knows nothing of.
    pub fn restore_run_time_ratios(&mut self, ratios: BTreeMap<String, f64>) {
        let (min, max) = RUN_TIME_RATIO_RANGE;
        for (class, ratio) in ratios {
            if ratio.is_finite() && ratio > 0.0 {
                self.run_time_ratios
                    .entry(class)
                    .or_insert(ratio.clamp(min, max));
            }
        }
    }
}
