//! Run time estimates of tasks, corrected by the run times of ended tasks.

use super::job::Job;
use super::Scheduler;
use std::collections::BTreeMap;

/// Minimum number of ended tasks of a job before its own run times are used.
pub(super) const MIN_RUN_TIME_SAMPLES: u32 = 4;

/// Minimum and maximum correction factor for the estimates of a class.
pub(super) const RUN_TIME_RATIO_RANGE: (f64, f64) = (0.2, 5.0);

impl Scheduler {
    /// Expected run time of a job's task, seconds. The estimate of the job is corrected by its own
    /// ended tasks, else by those of its class; without either, it is used as is.
    pub(super) fn expected_run_s(&self, job: &Job) -> f64 {
        let factor = if job.run_time_ratios.samples >= MIN_RUN_TIME_SAMPLES {
            job.run_time_ratios.mean()
        } else {
            self.class_run_time_ratio(&job.spec.class)
        };
        job.spec.expected_run_s * factor
    }

    /// Ratio of actual to estimated run time of a class; 1 if none is known.
    fn class_run_time_ratio(&self, class: &str) -> f64 {
        self.run_time_ratios.get(class).copied().unwrap_or(1.0)
    }

    /// Ratio of actual to estimated run time, by class.
    pub fn run_time_ratios(&self) -> &BTreeMap<String, f64> {
        &self.run_time_ratios
    }

    /// Restores the ratios recorded by an earlier leader, for classes that have none in this term.
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
