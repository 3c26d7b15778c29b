//! Counts the preemptions of each task and protects tasks that were preempted often.

use beamhinge_core::types::TaskId;
use std::collections::BTreeMap;

/// Number of preemptions of each unfinished task.
///
/// A task that has only just started is the cheapest victim: before this history existed, the same
/// task was preempted each time it started. The history is bounded: a task is removed when its job
/// is over, and at `max_tasks` entries a new task replaces the one that was preempted least often.
#[derive(Debug)]
pub struct PreemptionHistory {
    preemptions: BTreeMap<TaskId, u32>,
    max_tasks: usize,
}

impl PreemptionHistory {
    /// Creates an empty history of at most `max_tasks` tasks; 0 counts as 1.
    #[must_use]
    pub fn new(max_tasks: usize) -> PreemptionHistory {
        PreemptionHistory {
            preemptions: BTreeMap::new(),
            max_tasks: max_tasks.max(1),
        }
    }

    /// Records one preemption of a task.
    pub fn record(&mut self, task: TaskId) {
        if self.preemptions.len() >= self.max_tasks && !self.preemptions.contains_key(&task) {
            let least_preempted = self
                .preemptions
                .iter()
                .min_by_key(|(_, count)| **count)
                .map(|(task, _)| *task);
            if let Some(evicted) = least_preempted {
                self.preemptions.remove(&evicted);
            }
        }
        let count = self.preemptions.entry(task).or_insert(0);
        *count = count.saturating_add(1);
    }

    /// Whether a task that has run for `ran_s` seconds may be preempted. A task that was already
    /// preempted `max_preemptions` times is protected until it has run for `protected_s` seconds.
    #[must_use]
    pub fn may_preempt(
        &self,
        task: TaskId,
        ran_s: f64,
        max_preemptions: u32,
        protected_s: f64,
    ) -> bool {
        let count = self.preemptions.get(&task).copied().unwrap_or(0);
        count < max_preemptions || ran_s >= protected_s
    }

    /// Keeps only the tasks for which `is_unfinished` returns `true`.
    pub fn retain(&mut self, is_unfinished: impl Fn(&TaskId) -> bool) {
        self.preemptions.retain(|task, _| is_unfinished(task));
    }
}

#[cfg(test)]
mod tests;
