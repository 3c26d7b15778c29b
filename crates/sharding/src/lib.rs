//! Shards of the fleet: which controller owns which slot of machines.
//!
//! Machines fall into a fixed number of slots by a hash of their names, so that a machine
//! never changes its slot. Each slot has a key of its own in the state service; the revision
//! of the transaction that last wrote it is the slot's fencing token. Slots move between
//! controllers while jobs run; what a task may use, and where it may start, is kept by
//! conditions on the keys of both sides.
//!
//! Nothing here does input or output: what was read and answered goes in, transactions to be
//! written come out. Nothing in the service uses this yet; `docs/sharding.md` says what is
//! missing.

mod ownership;
mod quota_partition;
mod rebalancer;
mod slots;

pub use ownership::{ProcessId, SlotOwnership, SlotRecord, SlotWrite, WriteOutcome};
pub use quota_partition::{QuotaPartition, QuotaShift};
pub use rebalancer::{Member, Move, RebalanceLimits, Rebalancer};
pub use slots::{Slot, Slots};
