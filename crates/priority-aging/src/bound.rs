//! The longest wait that follows from the settings.
//!
//! Let `k` tasks of the widest size fit into the lane side by side (one at least). While a boosted
//! task waits to be admitted, `k` others are in the lane: if what is used leaves no room for it,
//! more than the width less one widest task is used, and that takes `k` tasks. Each is out of the
//! lane again after `h = 3 S`, `S` being the longest that any task occupies a machine or is
//! expected to: `2 S` at most until its machine has room (what was let pass before the reserved
//! time ends `S` after it, and that time is `S` away at most), `S` for itself. So at least `k`
//! tasks get through in each `h`: a server of rate `k / h` and latency `h`. Where in any `t`
//! seconds no more than `b + a t` tasks are boosted, with `a <= k / h`, its delay is at most
//! `h + b h / k` (Cruz, "A calculus for network delay", 1991). Before that lies the wait for the
//! boost, after it `2 S` until the room is there.

use crate::policy::AgingPolicy;
use beamhinge_core::job::Urgency;

/// Rounding slack of the number of tasks side by side.
const ROUNDING_SLACK: f64 = 1e-9;

/// Arrivals in the lane: no more than `burst + rate_per_s * t` tasks in any `t` seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ArrivalCurve {
    /// Tasks at once.
    pub burst: f64,
    /// Tasks a second, in the long run.
    pub rate_per_s: f64,
}

impl ArrivalCurve {
    /// The tightest curve of this rate that covers the arrivals: times in seconds, ascending, with
    /// how many tasks were boosted then.
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

/// The tasks that are boosted, and those that run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoostedLoad {
    /// How tasks are boosted.
    pub arrivals: ArrivalCurve,
    /// CPUs of the widest task that is boosted.
    pub max_task_cpus: f64,
    /// Longest that any task of any urgency occupies a machine, or is expected to, seconds: fetch,
    /// run and checkpoint, and the report that tells its end.
    pub max_task_s: f64,
}

/// What the cluster has for boosted tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClusterCapacity {
    /// CPUs that are there all the time, and that neither guaranteed work nor what is more urgent
    /// than the ceiling takes.
    pub cpus: f64,
    /// Time in which nothing starts, in all, seconds: failovers and outages. A reservation ends
    /// with its leader, and the next one makes it anew.
    pub downtime_s: f64,
}

/// Why there is no bound, and what is kept instead.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum UnboundedWait {
    /// The policy never boosts such jobs.
    #[error("jobs of this urgency never rise")]
    Exempt,
    /// More is boosted than the lane is sure to serve.
    #[error(
        "more rises than the lane is sure to carry: {rate_per_s:.4} tasks a second of \
         {throughput_per_s:.4}; the lane keeps {share:.3} of the room for what has risen, the \
         longest waiting first"
    )]
    Overload {
        /// Tasks a second that are boosted.
        rate_per_s: f64,
        /// Tasks a second that the lane is sure to serve.
        throughput_per_s: f64,
        /// Share of the cluster that boosted tasks are sure to get.
        share: f64,
    },
}

/// What the lane is sure to serve.
struct LaneService {
    /// Tasks of the widest size that are in the lane side by side.
    parallel_tasks: f64,
    /// Seconds in which each is out of the lane again.
    occupancy_s: f64,
}

impl LaneService {
    fn new(policy: &AgingPolicy, max_task_cpus: f64, max_task_s: f64, cpus: f64) -> LaneService {
        let width_cpus = policy.lane_width_cpus(cpus);
        let parallel_tasks =
            (width_cpus / max_task_cpus.max(ROUNDING_SLACK) + ROUNDING_SLACK).floor();
        LaneService {
            parallel_tasks: parallel_tasks.max(1.0),
            occupancy_s: 3.0 * max_task_s,
        }
    }

    fn throughput_per_s(&self) -> f64 {
        self.parallel_tasks / self.occupancy_s
    }
}

/// Tasks a second that the lane is sure to serve in a cluster of so many CPUs.
#[must_use]
pub fn lane_throughput_per_s(
    policy: &AgingPolicy,
    max_task_cpus: f64,
    max_task_s: f64,
    cpus: f64,
) -> f64 {
    LaneService::new(policy, max_task_cpus, max_task_s, cpus).throughput_per_s()
}

/// The longest wait from its submission to its first start of any job of this urgency, seconds.
///
/// # Errors
/// When no bound exists: then the error says what share is kept.
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
    let in_lane_s = service.occupancy_s * (1.0 + load.arrivals.burst / service.parallel_tasks);
    Ok(boost_after_s + in_lane_s + 2.0 * load.max_task_s + capacity.downtime_s)
}

#[cfg(test)]
mod tests;
