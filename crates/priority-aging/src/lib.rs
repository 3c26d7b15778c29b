//! Priority aging: jobs that have waited long enough get capacity, and urgent jobs lose at most a
//! configured share of the cluster to them.
//!
//! A job is *boosted* once it has waited for the time that is set for its urgency
//! ([`AgingPolicy`]). Boosted jobs form a priority lane ([`PriorityLane`]): they are ordered by the
//! time at which they were boosted, go ahead of all jobs that are not more urgent than the ceiling,
//! and use at most a share of the cluster. A boosted task that fits on no machine now reserves one
//! ([`Reservations`]). These three rules imply an upper bound on the wait, [`max_wait_s`].
//!
//! Sans-IO: the crate takes ages and resources as input and returns decisions.
//! `docs/priority-aging.md` explains the design, the alternatives that were considered, and the
//! cases in which no bound exists.

mod bound;
mod lane;
mod policy;
mod reservations;

pub use bound::{
    lane_throughput_per_s, max_wait_s, ArrivalCurve, BoostedLoad, ClusterCapacity, UnboundedWait,
};
pub use lane::PriorityLane;
pub use policy::{AgingPolicy, PriorityBoost};
pub use reservations::{earliest_fit_s, Reservation, Reservations, RunningTask};
