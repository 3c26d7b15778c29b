//! Upper bound on the wait of a job, computed from the settings.
//!
//! Let `k` be the number of tasks of the largest size that fit into the priority lane side by side
//! (at least one). While a boosted task waits for admission, `k` other tasks are in the lane: if
//! the task does not fit, the lane uses more than its width less one largest task, which takes `k`
//! tasks.
//!
//! Let `S` be the longest time that any task occupies a machine or is expected to occupy it. Each
//! task leaves the lane after at most `h = 3 S`: at most `2 S` until its machine has enough free
//! capacity, and `S` for its own run. The `2 S` arise because the reserved time is at most `S`
//! away, and backfill tasks that were admitted before the reserved time end at most `S` after it.
//!
//! So at least `k` tasks pass through the lane in each interval `h`: the lane is a server of rate
//! `k / h` and latency `h`. If no more than `b + a t` tasks are boosted in any `t` seconds, with
//! `a <= k / h`, the delay for admission is at most `h + b h / k` (Cruz, "A calculus for network
//! delay", 1991). The total wait also includes the wait for the boost before, and up to `2 S` for
//! free capacity after the admission.

use crate::policy::AgingPolicy;
use beamhinge_core::job::Urgency;

/// Tolerance for rounding errors in the number of tasks that fit into the lane.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Bound on arrivals in the lane: at most `burst + rate_per_s * t` tasks in any `t` seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalCurve {
    /// Tasks that may arrive at once.
    pub burst: f64,
    /// Long-term arrival rate, tasks per second.
    pub rate_per_s: f64,
}

impl ArrivalCurve {
    /// The tightest curve of this rate that covers the arrivals. Each arrival is a time in seconds
    /// and the number of tasks boosted at that time, in ascending order of time.
    #[must_use]
    pub fn tightest(rate_per_s: f64, arrivals: &[(f64, f64)]) -> ArrivalCurve {
        let mut burst: f64 = 0.0;
        for (index, (from_s, _)) in arrivals.iter().enumerate() {
            let mut total = 0.0;
            for (at_s, tasks) in arrivals.iter().skip(index) {
                total += tasks;
                burst = burst.max(total - rate_per_s * (at_s - from_s));
            }
        }
        ArrivalCurve { burst, rate_per_s }
    }
}

/// The load on the priority lane, and the longest time that tasks occupy a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoostedLoad {
    /// Arrivals of boosted tasks.
    pub arrivals: ArrivalCurve,
    /// CPUs of the largest boosted task.
    pub max_task_cpus: f64,
    /// Longest time that any task of any urgency occupies a machine, or is expected to occupy it,
    /// seconds: fetch of the image, run, checkpoint, and the report of its end.
    pub max_task_s: f64,
}

/// The capacity of the cluster for boosted tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClusterCapacity {
    /// CPUs that are available all the time, and that are used neither by guaranteed work nor by
    /// jobs more urgent than the ceiling.
    pub cpus: f64,
    /// Total time in which no task starts, seconds: failovers and outages. A reservation is lost
    /// when leadership changes, and the next leader makes a new one.
    pub downtime_s: f64,
}

/// The reason why no bound on the wait exists, and what is guaranteed instead.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum UnboundedWait {
    /// The policy never boosts such jobs.
    #[error("jobs of this urgency are never boosted")]
    Exempt,
    /// Tasks are boosted at a higher rate than the guaranteed throughput of the lane.
    #[error(
        "boosted tasks exceed the guaranteed throughput of the priority lane: {rate_per_s:.4} of \
         {throughput_per_s:.4} tasks per second; the lane still guarantees {share:.3} of the \
         capacity to boosted tasks, in the order in which they were boosted"
    )]
    Overload {
        /// Arrival rate of boosted tasks, tasks per second.
        rate_per_s: f64,
        /// Guaranteed throughput of the lane, tasks per second.
        throughput_per_s: f64,
        /// Share of the cluster that is guaranteed to boosted tasks (0 to 1).
        share: f64,
    },
}

/// The guaranteed service of the priority lane.
struct LaneService {
    /// Number of tasks of the largest size that fit into the lane side by side, at least 1.
    parallel_tasks: f64,
    /// Longest time that a task stays in the lane, seconds.
    max_time_in_lane_s: f64,
}

impl LaneService {
    fn new(policy: &AgingPolicy, max_task_cpus: f64, max_task_s: f64, cpus: f64) -> LaneService {
        let width_cpus = policy.lane_width_cpus(cpus);
        let parallel_tasks =
            (width_cpus / max_task_cpus.max(ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE).floor();
        LaneService {
            parallel_tasks: parallel_tasks.max(1.0),
            max_time_in_lane_s: 3.0 * max_task_s,
        }
    }

    fn throughput_per_s(&self) -> f64 {
        self.parallel_tasks / self.max_time_in_lane_s
    }
}

/// The guaranteed throughput of the priority lane in a cluster of `cpus` CPUs, tasks per second.
#[must_use]
pub fn lane_throughput_per_s(
    policy: &AgingPolicy,
    max_task_cpus: f64,
    max_task_s: f64,
    cpus: f64,
) -> f64 {
    LaneService::new(policy, max_task_cpus, max_task_s, cpus).throughput_per_s()
}

/// Upper bound on the time from submission to first start of any job of this urgency, seconds.
///
/// # Errors
/// Returns an error if no bound exists. On overload it gives the share of the cluster that is
/// guaranteed instead.
pub fn max_wait_s(
    policy: &AgingPolicy,
    urgency: Urgency,
    load: &BoostedLoad,
    capacity: &ClusterCapacity,
) -> Result<f64, UnboundedWait> {
    let boost_after_s = policy.boost_after_s(urgency).ok_or(UnboundedWait::Exempt)?;
    let service = LaneService::new(policy, load.max_task_cpus, load.max_task_s, capacity.cpus);
    let throughput_per_s = service.throughput_per_s();
    if load.arrivals.rate_per_s > throughput_per_s {
        let share = if capacity.cpus > 0.0 {
            policy.lane_width_cpus(capacity.cpus) / capacity.cpus
        } else {
            0.0
        };
        return Err(UnboundedWait::Overload {
            rate_per_s: load.arrivals.rate_per_s,
            throughput_per_s,
            share,
        });
    }
    let admission_delay_s =
        service.max_time_in_lane_s * (1.0 + load.arrivals.burst / service.parallel_tasks);
    Ok(boost_after_s + admission_delay_s + 2.0 * load.max_task_s + capacity.downtime_s)
}

#[cfg(test)]
mod tests;
