//! Order and fairness: what has waited long enough gets room, and costs the
//! urgent a stated part of it at most.
//!
//! A job rises when it has waited as long as its urgency is patient. Risen jobs
//! form a lane: one behind the other by the moment at which they rose, ahead of
//! all that is not more urgent than the ceiling, and never wider than a share of
//! the room. A task for which no machine has room reserves one. From these three
//! rules follows a bound on the longest wait, [`longest_wait_s`].
//!
//! Sans-IO: ages and sizes come in, decisions go out. `docs/ageing.md` has the
//! argument, the ways that were weighed, and where no bound exists.

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

mod bound;
mod lane;
mod policy;
mod reserve;

pub use bound::{carried_per_s, longest_wait_s, Crowd, Flow, Room, Unbounded};
pub use lane::Lane;
pub use policy::{Policy, Rise};
pub use reserve::{soonest, Held, Reservations, Running};
