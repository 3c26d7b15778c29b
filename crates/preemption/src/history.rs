//! How often each task was preempted, and when it is spared for that.

use beamhinge_core::types::TaskId;
use std::collections::BTreeMap;

/// How often each unfinished task was preempted.
///
/// A task that has hardly begun is the cheapest victim, so the same one was preempted each time it
/// began. Bounded: a task is forgotten when its job is over, and beyond `max_tasks` the one that
/// was preempted least often is.
#[derive(Debug)]
pub struct PreemptionHistory {
    preemptions: BTreeMap<TaskId, u32>,
    max_tasks: usize,
}

impl PreemptionHistory {
    /// An empty history of at most so many tasks, and of one at least.
    #[must_use]
    pub fn new(max_tasks: usize) -> PreemptionHistory {
        PreemptionHistory {
            preemptions: BTreeMap::new(),
            max_tasks: max_tasks.max(1),
        }
    }

    /// A task was preempted.
    pub fn record(&mut self, task: TaskId) {
        if self.preemptions.len() >= self.max_tasks && !self.preemptions.contains_key(&task) {
            let least_preempted = self
                .preemptions
                .iter()
                .min_by_key(|(_, count)| **count)
                .map(|(task, _)| *task);
            if let Some(forgotten) = least_preempted {
                self.preemptions.remove(&forgotten);
            }
        }
        let count = self.preemptions.entry(task).or_insert(0);
        *count = count.saturating_add(1);
    }

    /// Whether a task that has run for `ran_s` seconds may be preempted: not when it was
    /// `max_preemptions` times already, until it has run for `protected_s` seconds.
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

    /// Forgets all tasks but these.
    pub fn retain(&mut self, is_unfinished: impl Fn(&TaskId) -> bool) {
        self.preemptions.retain(|task, _| is_unfinished(task));
    }
}

#[cfg(test)]
mod tests;
