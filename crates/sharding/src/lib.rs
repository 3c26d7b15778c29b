//! Sharding of the fleet: which controller owns which slot of machines.
//!
//! Machines are assigned to a fixed number of slots by a hash of their names, so that a machine
//! never changes its slot. Each slot has a separate key in the key-value store; the revision of
//! the transaction that last wrote the key is the slot's fencing token. Slots move between
//! controllers while jobs run. Transactions that are conditional on the keys of both slots
//! enforce how much quota a task may use and where it may start.
//!
//! The crate does no input or output: callers pass in the records that were read and the outcomes
//! of writes, and get the transactions to write. The controller does not use this crate yet;
//! `docs/sharding.md` lists what is missing.

mod ownership;
mod quota_partition;
mod rebalancer;
mod slots;

pub use ownership::{ProcessId, SlotOwnership, SlotRecord, SlotWrite, WriteOutcome};
pub use quota_partition::{QuotaPartition, QuotaShift};
pub use rebalancer::{Member, Move, RebalanceLimits, Rebalancer};
pub use slots::{Slot, Slots};
