//! Handles tasks that workers report as exited: the consequences for the task, its job and its
//! machine.

use crate::job_store::JobKind;
use crate::scheduler::run_times::{MIN_RUN_TIME_SAMPLES, RUN_TIME_RATIO_RANGE};
use crate::scheduler::Scheduler;
use crate::worker_protocol::ExitCause;
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::types::{JobId, MachineId, TaskId, Time};
use beamhinge_failure_detection::AttributionChange;

/// Maximum length of an exit cause in the event log, in characters.
const MAX_CAUSE_CHARS: usize = 40;

/// Ratio of a machine's run times to those on other machines above which it counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// Minimum number of samples before a machine can count as slow.
const MIN_SPEED_SAMPLES: u32 = 3;

impl Scheduler {
    /// The worker lists the task as exited.
    pub(super) fn on_exit(
        &mut self,
        now: Time,
        id: MachineId,
        task: TaskId,
        cause: Option<&ExitCause>,
    ) {
        self.event_log.record(|| DecisionKind::Ended {
            task: task.to_string(),
            machine: id.to_string(),
            why: cause
                .map_or("unknown", ExitCause::as_str)
                .chars()
                .take(MAX_CAUSE_CHARS)
                .collect(),
        });
        let is_service = self
            .jobs
            .get(&task.job)
            .is_some_and(|job| job.spec.kind == JobKind::Service);
        match cause {
            Some(ExitCause::Done) => {
                self.record_run_time(now, id, task);
                self.on_success(id, task.job);
                self.release_allocation(now, id, task, !is_service, 1.0);
            }
            Some(ExitCause::Error) => {
                let backoff_s = self.on_failure(now, id, task.job);
                self.release_allocation(now, id, task, false, backoff_s);
            }
            // A task without an allocation uses the capacity: place this task elsewhere.
            Some(ExitCause::Full) => {
                self.on_refusal(now, id);
                self.release_allocation(now, id, task, false, 0.5);
            }
            Some(ExitCause::Unknown) => {
                tracing::info!(
                    machine = %id, task = %task, "task unknown to its worker; released allocation"
                );
                self.release_allocation(now, id, task, false, 2.0);
            }
            // Another attempt is on the machine: the next report lists it, as an orphan task.
            Some(ExitCause::InUse) => {
                self.on_refusal(now, id);
                self.release_allocation(now, id, task, false, 1.0);
            }
            Some(ExitCause::Stopped) => self.release_allocation(now, id, task, false, 0.0),
            // Guard 5: any exit ends the attempt, but only `done` completes the task.
            other @ (Some(ExitCause::Other(_)) | None) => {
                let reason = other.map_or("none", ExitCause::as_str);
                tracing::info!(
                    machine = %id, task = %task, reason, "task exited with an unknown cause"
                );
                self.release_allocation(now, id, task, false, 1.0);
            }
        }
    }

    /// Marks the machine as refusing tasks for `report_timeout_s`, because it has less free
    /// capacity than its allocations imply.
    fn on_refusal(&mut self, now: Time, id: MachineId) {
        let until = now.plus(self.report_timeout_s());
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.health.refuses_tasks_until = until;
        }
    }

    /// Records a run time, which corrects the estimates of the task's class and job and detects
    /// slow machines: those that take longer for a job than other machines do. If machines were
    /// compared by class alone, a job whose owner's estimate was too low would make every machine
    /// that it ran on appear slow.
    fn record_run_time(&mut self, now: Time, id: MachineId, task: TaskId) {
        let report_s = self.report_s;
        let Some(started_at) = self
            .allocation_mut(id, task)
            .filter(|allocation| !allocation.inherited)
            .and_then(|allocation| allocation.started_at)
        else {
            return;
        };
        // The task ended some time before this report.
        let ran_s = now.since(started_at) + report_s * 0.25;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let expected_run_s = job.spec.expected_run_s;
        if expected_run_s < 1.0 || ran_s < report_s {
            return;
        }
        let ratio = (ran_s / expected_run_s).clamp(0.1, 10.0);
        let previous_ratios = job.run_time_ratios;
        job.run_time_ratios.record(ratio);
        let factor = self
            .run_time_ratios
            .entry(job.spec.class.to_string())
            .or_insert(1.0);
        // A geometric mean, since estimates are wrong by a factor; with a small weight, since one
        // job has many tasks that share its estimation error.
        let (min, max) = RUN_TIME_RATIO_RANGE;
        *factor = (*factor * (ratio / *factor).powf(0.03)).clamp(min, max);
        if previous_ratios.samples >= MIN_RUN_TIME_SAMPLES {
            self.record_speed(id, ratio / previous_ratios.mean());
        }
    }

    /// Records that a task on the machine took `relative_run_time` times as long as other tasks of
    /// its job took elsewhere.
    fn record_speed(&mut self, id: MachineId, relative_run_time: f64) {
        let Some(machine) = self.machines.get_mut(&id) else {
            return;
        };
        let health = &mut machine.health;
        let speed = &mut health.speed;
        speed.ratio *= (relative_run_time / speed.ratio).powf(0.4);
        speed.samples += 1;
        if health.slow || speed.samples < MIN_SPEED_SAMPLES || speed.ratio <= SLOW_RATIO {
            return;
        }
        tracing::info!(machine = %id, speed_ratio = speed.ratio, "cordoned slow machine");
        let why = format!(
            "its tasks take {:.1} times as long as on other machines",
            speed.ratio
        );
        health.slow = true;
        self.event_log.record(|| DecisionKind::Quarantined {
            machine: id.to_string(),
            why,
        });
    }

    fn on_success(&mut self, id: MachineId, job: JobId) {
        let change = self.fault_attribution.record_success(id, job);
        self.apply_attribution(&change);
    }

    /// Attributes a failure to the machine or to the job. Returns the backoff before the next
    /// attempt at the task, in seconds.
    fn on_failure(&mut self, now: Time, id: MachineId, job: JobId) -> f64 {
        let has_succeeded = self
            .jobs
            .get(&job)
            .is_some_and(|job| job.progress.done_count() > 0);
        let change =
            self.fault_attribution
                .record_failure(now, id, (job, has_succeeded), self.report_s);
        self.apply_attribution(&change);
        change.job_backoff_s.unwrap_or(0.0)
    }

    /// Quarantines machines that are newly found to be faulty, and releases those that were not
    /// at fault.
    fn apply_attribution(&mut self, change: &AttributionChange) {
        for id in &change.newly_faulty {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            tracing::info!(
                machine = %id, "quarantined machine: its tasks fail but succeed on other machines"
            );
            machine.health.quarantined = true;
            let why = "its tasks fail but succeed on other machines".to_string();
            self.event_log.record(|| DecisionKind::Quarantined {
                machine: id.to_string(),
                why,
            });
        }
        for id in &change.newly_cleared {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            tracing::info!(machine = %id, "released machine from quarantine: a job was at fault");
            machine.health.quarantined = false;
        }
    }
}
