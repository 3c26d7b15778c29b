//! Slots: fixed sets of machines, the unit of sharding.

use beamhinge_core::types::MachineId;
use beamhinge_rate_limit::TransactionLimits;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of slots. More slots would not make the distribution of machines any finer, and
/// each slot adds keys to watch.
const MAX_SLOTS: usize = 16;
/// Writes and conditions that a transaction over all slots needs in addition to those of the
/// slots: one for leadership and one in reserve.
const EXTRA_WRITES: usize = 2;

/// A set of machines that always moves between controllers as a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u16);

/// The number of slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots(u16);

impl Slots {
    /// Returns the number of slots that one transaction can acquire together with leadership, so
    /// that a successor acquires all slots of a failed owner atomically.
    #[must_use]
    pub fn for_limits(limits: &TransactionLimits) -> Slots {
        let fitting_slots = limits
            .writes
            .min(limits.conditions)
            .saturating_sub(EXTRA_WRITES);
        Slots(fitting_slots.clamp(1, MAX_SLOTS) as u16)
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn count(self) -> usize {
        usize::from(self.0)
    }

    /// Iterates over all slots.
    pub fn all(self) -> impl Iterator<Item = Slot> {
        (0..self.0).map(Slot)
    }

    /// Returns the slot of a machine. It depends only on the machine's name and the number of
    /// slots, so that all controller processes of any version compute the same slot. The number
    /// of slots follows from the platform settings, which are the same for all controllers.
    #[must_use]
    pub fn slot_of(self, machine: MachineId) -> Slot {
        Slot((xxh3_64(machine.to_string().as_bytes()) % u64::from(self.0)) as u16)
    }
}

#[cfg(test)]
mod tests;
