//! Nominations: each assigns a machine to a pending task until the victims there have ended.

use crate::{PreemptionBudget, VictimSet};
use beamhinge_core::types::{Attempt, MachineId, TaskId, Time};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Upper bound of the histogram of start latencies, milliseconds; longer ones are recorded as this
/// value.
const MAX_START_LATENCY_MS: u64 = 600_000;
/// Significant decimal digits that the histogram of start latencies keeps.
const START_LATENCY_DIGITS: u8 = 2;

/// One task's nomination for a machine.
#[derive(Clone, Debug)]
struct Nomination {
    machine: MachineId,
    attempt: Attempt,
    opened: Time,
    /// Victims whose end has not been reported.
    running_victims: Vec<TaskId>,
    /// Number of all victims, including those that have ended.
    victim_count: u32,
}

/// Preemption statistics since this controller became the leader.
#[derive(Clone, Debug)]
pub struct PreemptionStats {
    /// Tasks that were preempted.
    pub victims: u64,
    /// CPU seconds of work that these tasks lost, as far as known.
    pub lost_cpu_s: f64,
    /// Nominations that were opened.
    pub opened: u64,
    /// Opened nominations whose task started.
    pub started: u64,
    /// Opened nominations that were abandoned.
    pub abandoned: u64,
    /// Victims of abandoned nominations.
    pub wasted_victims: u64,
    /// Time from the opening of a nomination to the start of its task, milliseconds; `None` if
    /// the histogram could not be created.
    start_latency_ms: Option<Histogram<u32>>,
}

impl Default for PreemptionStats {
    fn default() -> Self {
        PreemptionStats {
            victims: 0,
            lost_cpu_s: 0.0,
            opened: 0,
            started: 0,
            abandoned: 0,
            wasted_victims: 0,
            start_latency_ms: Histogram::new_with_bounds(
                1,
                MAX_START_LATENCY_MS,
                START_LATENCY_DIGITS,
            )
            .ok(),
        }
    }
}

impl PreemptionStats {
    /// Seconds from the opening of a nomination to the start of its task, at this quantile
    /// (0 to 1).
    #[must_use]
    pub fn start_latency_s(&self, quantile: f64) -> f64 {
        self.start_latency_ms.as_ref().map_or(0.0, |histogram| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        })
    }

    fn record_start(&mut self, latency_s: f64) {
        self.started += 1;
        if let Some(histogram) = &mut self.start_latency_ms {
            histogram.saturating_record(((latency_s * 1e3) as u64).max(1));
        }
    }
}

/// The open nominations: at most one for each pending task.
#[derive(Debug, Default)]
pub struct Nominations {
    open: BTreeMap<TaskId, Nomination>,
    budget: PreemptionBudget,
    stats: PreemptionStats,
}

impl Nominations {
    /// How many more nominations with victims may be opened.
    ///
    /// Nominations without victims are not counted, because one large victim frees capacity for
    /// many small tasks. When they were counted, a burst of small tasks got only the capacity of
    /// two large victims and had to wait for more.
    #[must_use]
    pub fn remaining_budget(&self) -> usize {
        let with_victims = self
            .open
            .values()
            .filter(|nomination| nomination.victim_count > 0)
            .count();
        self.budget.window().saturating_sub(with_victims)
    }

    /// The maximum number of open nominations with victims.
    #[must_use]
    pub fn window(&self) -> usize {
        self.budget.window()
    }

    /// The number of open nominations, with or without victims.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Preemption statistics since this controller became the leader.
    #[must_use]
    pub fn stats(&self) -> &PreemptionStats {
        &self.stats
    }

    /// Opens a nomination for this attempt. A nomination without victims uses capacity that the
    /// victims of other nominations free.
    pub fn open(
        &mut self,
        now: Time,
        task: TaskId,
        attempt: Attempt,
        machine: MachineId,
        victims: &VictimSet,
    ) {
        let victim_count = victims.tasks.len() as u32;
        self.stats.opened += 1;
        self.stats.victims += u64::from(victim_count);
        self.stats.lost_cpu_s += victims.lost_cpu_s;
        let running_victims = victims.tasks.iter().map(|victim| victim.task).collect();
        self.open.insert(
            task,
            Nomination {
                machine,
                attempt,
                opened: now,
                running_victims,
                victim_count,
            },
        );
    }

    /// Whether a victim of this attempt's nomination is still running.
    #[must_use]
    pub fn awaits_victims(&self, task: TaskId, attempt: Attempt) -> bool {
        self.open.get(&task).is_some_and(|nomination| {
            nomination.attempt == attempt && !nomination.running_victims.is_empty()
        })
    }

    /// Handles the end of a task on a machine: nominations on this machine no longer wait for it.
    pub fn on_task_ended(&mut self, machine: MachineId, task: TaskId) {
        for nomination in self
            .open
            .values_mut()
            .filter(|nomination| nomination.machine == machine)
        {
            nomination.running_victims.retain(|victim| *victim != task);
        }
    }

    /// Closes the nomination because the task runs on its machine.
    pub fn on_started(&mut self, now: Time, task: TaskId, attempt: Attempt) {
        if let Some(nomination) = self.close(task, attempt) {
            self.stats.record_start(now.since(nomination.opened));
            self.budget.on_started();
        }
    }

    /// Closes the nomination because the task no longer needs it or cannot use it. Returns `true`
    /// if other tasks were preempted for it.
    pub fn on_abandoned(&mut self, now: Time, task: TaskId, attempt: Attempt) -> bool {
        let Some(nomination) = self.close(task, attempt) else {
            return false;
        };
        self.stats.abandoned += 1;
        self.stats.wasted_victims += u64::from(nomination.victim_count);
        if nomination.victim_count > 0 {
            self.budget.on_abandoned(now, nomination.opened);
        }
        nomination.victim_count > 0
    }

    /// Removes and returns the task's nomination if it belongs to this attempt.
    fn close(&mut self, task: TaskId, attempt: Attempt) -> Option<Nomination> {
        if self.open.get(&task)?.attempt != attempt {
            return None;
        }
        self.open.remove(&task)
    }
}

#[cfg(test)]
mod tests;
