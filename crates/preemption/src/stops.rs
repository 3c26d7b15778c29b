//! Tasks that were stopped for others, and when they are spared.

use beamhinge_core::types::TaskId;
use std::collections::BTreeMap;

/// How often each unfinished task was stopped to make room.
///
/// A task that has hardly begun is the cheapest to stop, so the same one was
/// stopped each time it began. Bounded: a task is forgotten when its job is
/// over, and beyond `most` those stopped least are.
#[derive(Debug)]
pub struct Stops {
    stopped: BTreeMap<TaskId, u32>,
    most: usize,
}

impl Stops {
    pub fn new(most: usize) -> Stops {
        Stops {
            stopped: BTreeMap::new(),
            most: most.max(1),
        }
    }

    /// A task was stopped to make room.
    pub fn stopped(&mut self, task: TaskId) {
        if self.stopped.len() >= self.most && !self.stopped.contains_key(&task) {
            let least = self
                .stopped
                .iter()
                .min_by_key(|(_, n)| **n)
                .map(|(t, _)| *t);
            least.map(|t| self.stopped.remove(&t));
        }
        let n = self.stopped.entry(task).or_insert(0);
        *n = n.saturating_add(1);
    }

    /// Whether a task that ran so long may be stopped: not when it was `limit`
    /// times already, until it has run for `spared_s` seconds.
    pub fn may_stop(&self, task: TaskId, ran_s: f64, limit: u32, spared_s: f64) -> bool {
        let times = self.stopped.get(&task).copied().unwrap_or(0);
        times < limit || ran_s >= spared_s
    }

    /// Forgets what is over.
    pub fn keep(&mut self, open: impl Fn(&TaskId) -> bool) {
        self.stopped.retain(|task, _| open(task));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beamhinge_core::types::JobId;

    #[test]
    fn after_some_stops_it_runs_its_time_and_memory_is_bounded() {
        let task = |index| TaskId {
            job: JobId::parse("job-7").expect("an id"),
            index,
        };
        let mut stops = Stops::new(3);
        for n in 0..3 {
            assert_eq!(stops.may_stop(task(0), 1.0, 2, 60.0), n < 2);
            stops.stopped(task(0));
        }
        assert!(
            stops.may_stop(task(0), 60.0, 2, 60.0),
            "it has had its time"
        );
        for i in 1..100 {
            stops.stopped(task(i));
        }
        assert!(stops.stopped.len() <= 3 && !stops.may_stop(task(0), 1.0, 2, 60.0));
        stops.keep(|_| false);
        assert!(stops.may_stop(task(0), 1.0, 2, 60.0));
    }
}
