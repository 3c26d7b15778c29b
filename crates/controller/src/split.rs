//! The split of work over owned, spot and on-demand machines.
//!
//! Consists of pure functions and values: it computes numbers of machines from demand, machine
//! types and prices.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `machine_type` | machine types and classes, and which jobs fit them |
//! | `demand` | remaining demand of a job, and the machine type on which it is cheapest |
//! | `policy` | the paper's formulas: the split of one job at one update |
//! | `learner` | learning of the policy's parameters from past jobs |

mod demand;
mod learner;
mod machine_type;
mod policy;

pub use beamhinge_core::resources::{Resources, EPSILON};
pub use demand::{
    cheapest_type, exclusive_types, sequential_tasks, Demand, RefusedMarkets, TypeChoice,
};
pub use learner::{replay_cost, Learner, MarketObservation, ReplayedJob};
pub use machine_type::{tasks_that_fit, MachineClass, MachineType, Market};
pub use policy::{
    final_on_demand, owned_machines, parameter_grid, slackness, split, split_remainder, spot_bids,
    PolicyParameters, Split,
};

#[cfg(test)]
pub(crate) mod tests;
