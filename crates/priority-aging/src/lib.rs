//! Priority aging: what has waited long enough gets room, and costs urgent work a stated part of
//! the cluster at most.
//!
//! A job is *boosted* once it has waited as long as its urgency allows ([`AgingPolicy`]). Boosted
//! jobs form a lane ([`PriorityLane`]): one behind the other by the moment at which they were
//! boosted, ahead of all that is not more urgent than the ceiling, and never wider than a share of
//! the cluster. A task that fits on no machine now reserves one ([`Reservations`]). From these
//! three rules follows a bound on the longest wait, [`max_wait_s`].
//!
//! Sans-IO: ages and resources come in, decisions go out. `docs/priority-aging.md` has the
//! argument, the alternatives that were weighed, and where no bound exists.

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
