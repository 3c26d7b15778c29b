//! Making room: running work is stopped for waiting work, and only as a plan.
//!
//! Whoever may not wait gets a *place*: one machine, and on it the tasks whose
//! end leaves room enough for one waiting task. The place is kept until that task
//! runs there or no longer wants it; nobody else is stopped for it meanwhile. How
//! many places may be open follows the starts that earlier ones brought, so a
//! service that makes room for nobody soon stops making any. Every party keeps a
//! part of the room that it fits, and a task that was stopped often is spared.
//!
//! Sans-IO: machines and sizes come in, decisions go out. `docs/room.md` has the
//! argument and the ways that were weighed.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

mod budget;
mod keep;
mod offer;
mod places;
mod stops;

pub use budget::Budget;
pub use keep::{Keep, Party};
pub use offer::{offer, End, Offer, Resident, Site, Sites, Size, EPSILON};
pub use places::{Figures, Places};
pub use stops::Stops;
