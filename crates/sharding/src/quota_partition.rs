//! A team's limit over several owners: each slot has a part of it.

use crate::slots::Slot;
use std::collections::BTreeMap;

/// How a team's limit is divided among slots, in whole units (thousandths of a CPU).
///
/// The parts are kept in the state service, a key for each slot; they move by one
/// transaction that is conditional on both keys and on the giving slot's token. So
/// their sum never passes the limit, whoever fails, and an owner that is cut off keeps its
/// part and gets nothing new.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaPartition {
    parts: BTreeMap<Slot, u64>,
}

/// Units that should move from one slot to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaShift {
    /// The slot that gives.
    pub from: Slot,
    /// The slot that gets.
    pub to: Slot,
    /// How many.
    pub units: u64,
}

impl QuotaPartition {
    /// All of a limit, divided as evenly as can be.
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

    /// The part of a slot, units.
    #[must_use]
    pub fn part(&self, slot: Slot) -> u64 {
        self.parts.get(&slot).copied().unwrap_or(0)
    }

    /// The sum of all parts, units.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.parts.values().sum()
    }

    /// Moves up to `max` units that the giver does not use: `used` is everything that may be
    /// on its machines, until proof of the end. Returns how many.
    pub fn shift(&mut self, from: Slot, used: u64, to: Slot, max: u64) -> u64 {
        let free = self.part(from).saturating_sub(used).min(max);
        if free == 0 || from == to {
            return 0;
        }
        *self.parts.entry(from).or_default() -= free;
        *self.parts.entry(to).or_default() += free;
        free
    }

    /// Evens out what is not used towards where tasks wait: how many units each slot
    /// should give to which. Half of what a giver has to spare, so that two that
    /// look at the same moment do not move the same to and fro.
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
