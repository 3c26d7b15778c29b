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
        let n = slots.len().max(1) as u64;
        let part = |i: usize| limit / n + u64::from((i as u64) < limit % n);
        QuotaPartition {
            parts: slots
                .into_iter()
                .enumerate()
                .map(|(i, s)| (s, part(i)))
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
        let free = self.part(from).saturating_sub(used).min(max);
        if free == 0 || from == to {
            return 0;
        }
        *self.parts.entry(from).or_default() -= free;
        *self.parts.entry(to).or_default() += free;
        free
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
        let used = |s: &Slot| used.get(s).copied().unwrap_or(0);
        let waiting = |s: &Slot| waiting.get(s).copied().unwrap_or(0);
        let mut spare: Vec<(u64, Slot)> = self
            .parts
            .iter()
            .map(|(s, p)| (p.saturating_sub(used(s) + waiting(s)) / 2, *s))
            .filter(|(n, _)| *n > 0)
            .collect();
        let mut out = Vec::new();
        for (s, part) in &self.parts {
            let mut lacks = (used(s) + waiting(s)).saturating_sub(*part);
            while lacks > 0 {
                spare.sort_unstable();
                let Some((n, from)) = spare.last_mut().filter(|(n, _)| *n > 0) else {
                    break;
                };
                let moved = lacks.min(*n);
                *n -= moved;
                lacks -= moved;
                out.push(QuotaShift {
                    from: *from,
                    to: *s,
                    units: moved,
                });
            }
        }
        out
    }
}

#[cfg(test)]
mod tests;
