//! Slots: fixed sets of machines.

use beamhinge_core::types::MachineId;
use beamhinge_rate_limit::TransactionLimits;
use xxhash_rust::xxh3::xxh3_64;

/// More than this many moves nothing finer, and each costs keys to follow.
const MOST: usize = 16;
/// Writes and conditions that a transaction over all slots needs beside theirs: the
/// lead's, and one to spare.
const BESIDE: usize = 2;

/// A set of machines that always moves as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub u16);

/// How many slots there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots(u16);

impl Slots {
    /// As many as one transaction can take all of, together with the lead: after
    /// the end of a holder its successor takes its slots at once or not at all.
    pub fn within(limits: &TransactionLimits) -> Slots {
        let most = limits.writes.min(limits.conditions).saturating_sub(BESIDE);
        Slots(most.clamp(1, MOST) as u16)
    }

    pub fn count(self) -> usize {
        usize::from(self.0)
    }

    pub fn all(self) -> impl Iterator<Item = Slot> {
        (0..self.0).map(Slot)
    }

    /// The slot of a machine. It depends on the name and the number of slots alone,
    /// so that all controllers, of any process and version, find the same. The number
    /// follows from the platform's settings, which all of them are given alike.
    pub fn of(self, machine: MachineId) -> Slot {
        Slot((xxh3_64(machine.to_string().as_bytes()) % u64::from(self.0)) as u16)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beamhinge_core::settings::{Settings, SAMPLE};

    #[test]
    fn one_transaction_takes_all_slots_and_machines_spread_over_them() {
        let mut settings = Settings::parse("t", SAMPLE).expect("the sample is sound");
        for (ops, count) in [(1, 1), (3, 1), (8, 6), (20, 16), (24, 16)] {
            settings.params.state.txn_ops = ops;
            let slots = Slots::within(&TransactionLimits::from(&settings.params.state));
            assert_eq!(slots.count(), count, "{ops} writes a transaction");
        }
        let slots = Slots(16);
        let mut of = vec![0u32; slots.count()];
        for n in 0..1_600 {
            let id = MachineId::parse(&format!("n-{n:06}")).expect("a name");
            assert_eq!(slots.of(id), slots.of(id));
            of[usize::from(slots.of(id).0)] += 1;
        }
        // Of 100 in each; four standard deviations are 39.
        assert!(of.iter().all(|n| (61..=139).contains(n)), "{of:?}");
    }

    /// The hash is part of what is stored: another one would give machines to others.
    #[test]
    fn the_slot_of_a_name_never_changes() {
        let id = MachineId::parse("n-000231").expect("a name");
        assert_eq!(Slots(16).of(id).0, (xxh3_64(b"n-000231") % 16) as u16);
        assert_eq!(xxh3_64(b""), 0x2d06_8005_38d3_94c2);
    }
}
