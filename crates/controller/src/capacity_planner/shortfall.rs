//! Looks ahead which tasks would start too late on the capacity that is there or becomes free.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Capacity of one type, by when it is or becomes free: seconds from now, CPUs.
pub type FreeCapacity = Vec<(f64, f64)>;

/// Most tasks that one look ahead follows; guards processor time.
const MAX_TASKS_AHEAD: u32 = 1_500;
/// Part of the setup time within which a rented machine would come too late anyway.
const MIN_SETUP_FRACTION: f64 = 0.7;

/// The order in which tasks get capacity: lower first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// Complement of the job's priority.
    pub(super) inverse_priority: u8,
    /// Jobs that cannot make their deadline come last.
    pub(super) late: bool,
}

/// Tasks that wait for capacity of one type.
#[derive(Clone, Debug)]
pub(super) struct QueuedTasks {
    pub(super) rank: QueueRank,
    /// Time to the deadline, seconds; lower first within a rank.
    pub(super) left_s: f64,
    /// CPUs of one task.
    pub(super) cpus: f64,
    pub(super) count: u32,
    pub(super) run_s: f64,
    /// Latest useful start, seconds from now; none when nothing depends on it.
    pub(super) latest_start_s: Option<f64>,
    /// Time until a machine that is rented now is up, seconds.
    pub(super) setup_s: f64,
}

/// Milliseconds, and thousandths of a CPU: whole numbers can be ordered in a heap.
fn thousandths(x: f64) -> u64 {
    (x.max(0.0) * 1e3) as u64
}

/// Free capacity in the order in which it becomes free: (milliseconds, thousandths of a CPU).
struct CapacityTimeline(BinaryHeap<Reverse<(u64, u64)>>);

impl CapacityTimeline {
    fn new(capacity: &FreeCapacity) -> CapacityTimeline {
        CapacityTimeline(
            capacity
                .iter()
                .map(|(at_s, cpus)| Reverse((thousandths(*at_s), thousandths(*cpus))))
                .collect(),
        )
    }

    fn add(&mut self, at: u64, cpus: u64) {
        self.0.push(Reverse((at, cpus)));
    }

    /// Takes the capacity that is free first, and returns when all of it is free, milliseconds.
    /// What is over goes back; if there is not enough, the rest is used up and none is returned.
    fn take(&mut self, cpus: u64) -> Option<u64> {
        let (mut taken, mut start) = (0, 0);
        while taken < cpus {
            let Reverse((at, free)) = self.0.pop()?;
            start = at;
            taken += free;
        }
        // Free at the end of time is never.
        if start == u64::MAX {
            return None;
        }
        if taken > cpus {
            self.add(start, taken - cpus);
        }
        Some(start)
    }
}

/// CPUs that are lacking for tasks which must start by a certain time: those that would start too
/// late on the capacity that is there or becomes free, though a machine rented now would be up in
/// time.
pub(super) fn shortfall_cpus(capacity: &FreeCapacity, queue: &mut [QueuedTasks]) -> f64 {
    let mut timeline = CapacityTimeline::new(capacity);
    queue.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.left_s.total_cmp(&b.left_s)));
    let (mut shortfall, mut tasks) = (0.0, 0);
    for queued in queue.iter() {
        let cpus = thousandths(queued.cpus).max(1);
        for _ in 0..queued.count {
            tasks += 1;
            if tasks > MAX_TASKS_AHEAD {
                return shortfall;
            }
            let start = timeline.take(cpus);
            if needs_new_machine(queued, start) {
                // It will run on what is rented for it.
                shortfall += queued.cpus;
                if let Some(start) = start {
                    timeline.add(start, cpus);
                }
            } else if let Some(start) = start {
                timeline.add(start.saturating_add(thousandths(queued.run_s)), cpus);
            }
        }
    }
    shortfall
}

/// Whether a task that would start at `start`, milliseconds, starts too late, and a machine rented
/// now helps.
fn needs_new_machine(queued: &QueuedTasks, start: Option<u64>) -> bool {
    let starts_after = |s: f64| start.is_none_or(|start| start > thousandths(s));
    queued.latest_start_s.is_some_and(|latest_s| {
        starts_after(latest_s)
            && starts_after(queued.setup_s)
            && latest_s > queued.setup_s * MIN_SETUP_FRACTION
    })
}
