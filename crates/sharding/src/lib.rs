//! Shares of the machines: which controller holds which of them.
//!
//! Machines fall into a fixed number of slots by a hash of their names, so that a
//! machine never changes its slot. Each slot has a key of its own in the state
//! service; the revision of the transaction that last wrote it is the slot's token.
//! Slots move between controllers while jobs run; what a task may use, and where
//! it may start, is kept by conditions on the keys of both sides.
//!
//! Sans-IO: what was read and answered goes in, transactions to be written come
//! out. Nothing in the service uses this yet; `docs/shares.md` says what is missing.

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
mod hold;
mod slots;
mod wanted;

pub use budget::Budget;
pub use hold::{Entry, Name, Outcome, Shares, Write};
pub use slots::{Slot, Slots};
pub use wanted::{Bounds, Member, Move, Wanted};
