//! Preemption: stops running tasks to free capacity for a pending task on a chosen machine.
//!
//! A task that may not wait is *nominated* for one machine, together with the victims that have to
//! end there to free enough capacity for it. The nomination stays open until the task runs on that
//! machine or no longer needs it; no other task is preempted for it in the meantime. The limit on
//! open nominations adapts to how many earlier ones led to a start ([`PreemptionBudget`]), so
//! preemption that starts no tasks soon stops. Every tenant keeps a part of the capacity that its
//! jobs fit on ([`ReservedCapacity`]), and a task that was preempted often is protected
//! ([`PreemptionHistory`]).
//!
//! Sans-IO: the crate takes machines and resources as input and returns decisions.
//! `docs/preemption.md` explains the design and the alternatives that were considered.

mod budget;
mod candidates;
mod history;
mod nominations;
mod reserved_capacity;
mod victim_selection;

pub use budget::PreemptionBudget;
pub use candidates::{CandidateMachine, CandidateMachines, ExpectedExit, PreemptionOffer};
pub use history::PreemptionHistory;
pub use nominations::{Nominations, PreemptionStats};
pub use reserved_capacity::{ReservedCapacity, TenantKey};
pub use victim_selection::{PreemptibleTask, VictimSet};
