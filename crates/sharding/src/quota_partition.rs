//! Division of a team's limit among the owners of slots: each slot has a part of it.

use crate::slots::Slot;
use std::collections::BTreeMap;

/// Division of a team's limit among slots, in whole units (thousandths of a CPU).
///
/// The parts are stored in the key-value store, with one key per slot. Units move between slots in
/// one transaction that is conditional on both keys and on the source slot's fencing token.
/// Therefore the sum of the parts never exceeds the limit, whichever controller fails, and an
/// owner that is cut off by a network partition keeps its part and receives no more units.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaPartition {
    parts: BTreeMap<Slot, u64>,
}

/// Units that should move from one slot to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaShift {
    /// Slot that loses the units.
    pub from: Slot,
    /// Slot that receives the units.
    pub to: Slot,
    /// Number of units.
    pub units: u64,
}

impl QuotaPartition {
    /// Divides a limit among the slots as evenly as possible.
    #[must_use]
    pub fn even(limit: u64, slots: impl Iterator<Item = Slot>) -> QuotaPartition {
        let slots: Vec<Slot> = slots.collect();
        let slot_count = slots.len().max(1) as u64;
        let part = |i: usize| limit / slot_count + u64::from((i as u64) < limit % slot_count);
        QuotaPartition {
            parts: slots
                .into_iter()
                .enumerate()
                .map(|(i, slot)| (slot, part(i)))
                .collect(),
        }
    }

    /// Returns the part of a slot, in units.
    #[must_use]
    pub fn part(&self, slot: Slot) -> u64 {
        self.parts.get(&slot).copied().unwrap_or(0)
    }

    /// Returns the sum of all parts, in units.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.parts.values().sum()
    }

    /// Moves up to `max` unused units from one slot to another and returns the number of units
    /// moved. `used` includes every task that may be running on machines of the slot `from`, until
    /// its end is proven.
    pub fn shift(&mut self, from: Slot, used: u64, to: Slot, max: u64) -> u64 {
        let unused = self.part(from).saturating_sub(used).min(max);
        if unused == 0 || from == to {
            return 0;
        }
        *self.parts.entry(from).or_default() -= unused;
        *self.parts.entry(to).or_default() += unused;
        unused
    }

    /// Plans shifts of unused units to slots where tasks wait. A slot gives at most half of its
    /// spare units, so that two owners that plan at the same time do not move the same units back
    /// and forth.
    #[must_use]
    pub fn plan_shifts(
        &self,
        used: &BTreeMap<Slot, u64>,
        waiting: &BTreeMap<Slot, u64>,
    ) -> Vec<QuotaShift> {
        let used = |slot: &Slot| used.get(slot).copied().unwrap_or(0);
        let waiting = |slot: &Slot| waiting.get(slot).copied().unwrap_or(0);
        let mut spare: Vec<(u64, Slot)> = self
            .parts
            .iter()
            .map(|(slot, part_units)| {
                (
                    part_units.saturating_sub(used(slot) + waiting(slot)) / 2,
                    *slot,
                )
            })
            .filter(|(spare_units, _)| *spare_units > 0)
            .collect();
        let mut out = Vec::new();
        for (slot, part) in &self.parts {
            let mut missing = (used(slot) + waiting(slot)).saturating_sub(*part);
            while missing > 0 {
                spare.sort_unstable();
                let Some((spare_units, from)) =
                    spare.last_mut().filter(|(spare_units, _)| *spare_units > 0)
                else {
                    break;
                };
                let moved = missing.min(*spare_units);
                *spare_units -= moved;
                missing -= moved;
                out.push(QuotaShift {
                    from: *from,
                    to: *slot,
                    units: moved,
                });
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
