//! Slots: fixed sets of machines.

use beamhinge_core::types::MachineId;
use beamhinge_rate_limit::TransactionLimits;
use xxhash_rust::xxh3::xxh3_64;

/// More slots than this move nothing finer, and each costs keys to follow.
const MAX_SLOTS: usize = 16;
/// Writes and conditions that a transaction over all slots needs beside theirs: the
/// leadership's, and one to spare.
const EXTRA_WRITES: usize = 2;

/// A set of machines that always moves as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u16);

/// How many slots there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots(u16);

impl Slots {
    /// As many as one transaction can acquire together with leadership: after the end of an
    /// owner its successor acquires its slots at once or not at all.
    #[must_use]
    pub fn within(limits: &TransactionLimits) -> Slots {
        let most = limits
            .writes
            .min(limits.conditions)
            .saturating_sub(EXTRA_WRITES);
        Slots(most.clamp(1, MAX_SLOTS) as u16)
    }

    /// How many there are.
    #[must_use]
    pub fn count(self) -> usize {
        usize::from(self.0)
    }

    /// All of them.
    pub fn all(self) -> impl Iterator<Item = Slot> {
        (0..self.0).map(Slot)
    }

    /// The slot of a machine. It depends on the name and the number of slots alone,
    /// so that all controllers, of any process and version, find the same. The number
    /// follows from the platform's settings, which all of them are given alike.
    #[must_use]
    pub fn of(self, machine: MachineId) -> Slot {
        Slot((xxh3_64(machine.to_string().as_bytes()) % u64::from(self.0)) as u16)
    }
}

#[cfg(test)]
mod tests;
