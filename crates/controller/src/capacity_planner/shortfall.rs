//! Simulates when queued tasks would start on the capacity that is free now or becomes free later,
//! and computes the capacity missing for those that would start too late.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Free capacity of one machine type: (seconds from now until it is free, CPUs).
pub type FreeCapacity = Vec<(f64, f64)>;

/// Maximum number of tasks in one simulation; bounds CPU time.
const MAX_SIMULATED_TASKS: u32 = 1_500;
/// A machine is not rented for a task whose latest start is within this fraction of the setup time:
/// the machine would be up too late.
const MIN_SETUP_FRACTION: f64 = 0.7;

/// Order in which queued tasks get capacity; lower ranks come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// `u8::MAX` minus the job's priority.
    pub(super) inverse_priority: u8,
    /// Whether the job cannot meet its deadline; late jobs come after others of their priority.
    pub(super) late: bool,
}

/// Tasks of one job that wait for capacity of one machine type.
#[derive(Clone, Debug)]
pub(super) struct QueuedTasks {
    pub(super) rank: QueueRank,
    /// Time until the deadline, seconds; minus the age for jobs without a deadline. Lower values
    /// come first within a rank.
    pub(super) time_to_deadline_s: f64,
    /// CPUs required by one task.
    pub(super) cpus: f64,
    pub(super) count: u32,
    pub(super) run_s: f64,
    /// Latest acceptable start, seconds from now; `None` if the tasks need not start by any time.
    pub(super) latest_start_s: Option<f64>,
    /// Time until a machine rented now is up, seconds.
    pub(super) setup_s: f64,
}

/// Converts seconds to milliseconds, or CPUs to thousandths of a CPU. Integers, unlike floats, can
/// be ordered in a heap.
fn thousandths(x: f64) -> u64 {
    (x.max(0.0) * 1e3) as u64
}

/// Min-heap of free capacity by the time at which it becomes free: (milliseconds, thousandths of a
/// CPU).
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

    /// Allocates the capacity that becomes free first, and returns the time at which all of it is
    /// free, milliseconds. A surplus is returned to the timeline. If there is not enough capacity,
    /// the timeline is emptied and `None` is returned.
    fn allocate(&mut self, cpus: u64) -> Option<u64> {
        let (mut allocated, mut start) = (0, 0);
        while allocated < cpus {
            let Reverse((at, free)) = self.0.pop()?;
            start = at;
            allocated += free;
        }
        // `u64::MAX` marks capacity that never becomes free.
        if start == u64::MAX {
            return None;
        }
        if allocated > cpus {
            self.add(start, allocated - cpus);
        }
        Some(start)
    }
}

/// CPUs missing for tasks with a latest start. A task counts if it would start too late on the
/// capacity that is free now or becomes free later, and a machine rented now would be up in time.
pub(super) fn shortfall_cpus(capacity: &FreeCapacity, queue: &mut [QueuedTasks]) -> f64 {
    let mut timeline = CapacityTimeline::new(capacity);
    queue.sort_by(|a, b| {
        a.rank
            .cmp(&b.rank)
            .then(a.time_to_deadline_s.total_cmp(&b.time_to_deadline_s))
    });
    let (mut shortfall, mut tasks) = (0.0, 0);
    for queued in queue.iter() {
        let cpus = thousandths(queued.cpus).max(1);
        for _ in 0..queued.count {
            tasks += 1;
            if tasks > MAX_SIMULATED_TASKS {
                return shortfall;
            }
            let start = timeline.allocate(cpus);
            if needs_new_machine(queued, start) {
                // The task will run on a newly rented machine, so this capacity stays free.
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

/// Whether a task that would start at `start` (milliseconds; `None` if never) starts too late, and
/// a machine rented now would be up earlier and not too late ([`MIN_SETUP_FRACTION`]).
fn needs_new_machine(queued: &QueuedTasks, start: Option<u64>) -> bool {
    let starts_after = |s: f64| start.is_none_or(|start| start > thousandths(s));
    queued.latest_start_s.is_some_and(|latest_s| {
        starts_after(latest_s)
            && starts_after(queued.setup_s)
            && latest_s > queued.setup_s * MIN_SETUP_FRACTION
    })
}
