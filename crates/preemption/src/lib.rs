//! Preemption: running work is stopped for pending work, and only as a plan.
//!
//! A task that may not wait is *nominated* for one machine, and with the nomination go the
//! victims whose end leaves room enough for it. The nomination holds until the task runs there or
//! no longer wants it; nobody else is preempted for that task meanwhile. How many nominations may
//! be open follows the starts that earlier ones brought ([`PreemptionBudget`]), so preemption that
//! helps nobody soon stops. Every tenant keeps a part of the capacity that its jobs fit on
//! ([`ReservedCapacity`]), and a task that was preempted often is spared ([`PreemptionHistory`]).
//!
//! Sans-IO: machines and resources come in, decisions go out. `docs/preemption.md` has the
//! argument and the alternatives that were weighed.

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
