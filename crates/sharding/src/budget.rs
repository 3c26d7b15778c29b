//! A team's limit over several holders: each slot has a part of it.

use crate::slots::Slot;
use std::collections::BTreeMap;

/// How a team's limit is divided among slots, in whole units (thousandths of a CPU).
///
/// The parts are kept in the state service, a key for each slot; they move by one
/// transaction that is conditional on both keys and on the giving slot's token. So
/// their sum never passes the limit, whoever fails, and a holder that is cut off
/// keeps its part and gets nothing new.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    parts: BTreeMap<Slot, u64>,
}

impl Budget {
    /// All of a limit, divided as evenly as can be.
    pub fn even(limit: u64, slots: impl Iterator<Item = Slot>) -> Budget {
        let slots: Vec<Slot> = slots.collect();
        let n = slots.len().max(1) as u64;
        let part = |i: usize| limit / n + u64::from((i as u64) < limit % n);
        Budget {
            parts: slots
                .into_iter()
                .enumerate()
                .map(|(i, s)| (s, part(i)))
                .collect(),
        }
    }

    pub fn part(&self, slot: Slot) -> u64 {
        self.parts.get(&slot).copied().unwrap_or(0)
    }

    pub fn limit(&self) -> u64 {
        self.parts.values().sum()
    }

    /// Moves up to `most` units that the giver does not use: `used` is everything that
    /// may be on its machines, until proof of the end. Returns how many.
    pub fn shift(&mut self, from: Slot, used: u64, to: Slot, most: u64) -> u64 {
        let free = self.part(from).saturating_sub(used).min(most);
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
    pub fn wishes(
        &self,
        used: &BTreeMap<Slot, u64>,
        wanted: &BTreeMap<Slot, u64>,
    ) -> Vec<(Slot, Slot, u64)> {
        let used = |s: &Slot| used.get(s).copied().unwrap_or(0);
        let wanted = |s: &Slot| wanted.get(s).copied().unwrap_or(0);
        let mut spare: Vec<(u64, Slot)> = self
            .parts
            .iter()
            .map(|(s, p)| (p.saturating_sub(used(s) + wanted(s)) / 2, *s))
            .filter(|(n, _)| *n > 0)
            .collect();
        let mut out = Vec::new();
        for (s, part) in &self.parts {
            let mut lacks = (used(s) + wanted(s)).saturating_sub(*part);
            while lacks > 0 {
                spare.sort_unstable();
                let Some((n, from)) = spare.last_mut().filter(|(n, _)| *n > 0) else {
                    break;
                };
                let moved = lacks.min(*n);
                *n -= moved;
                lacks -= moved;
                out.push((*from, *s, moved));
            }
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_sum_of_the_parts_is_the_limit_whatever_moves() {
        let slots = || (0..5).map(Slot);
        let mut b = Budget::even(12_003, slots());
        assert_eq!(
            (b.limit(), b.part(Slot(0)), b.part(Slot(4))),
            (12_003, 2_401, 2_400)
        );
        let mut seed = 7u64;
        let mut draw = |n: u64| {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (seed >> 33) % n
        };
        for _ in 0..10_000 {
            let (from, to) = (Slot(draw(5) as u16), Slot(draw(5) as u16));
            let (used, before) = (draw(3_000), b.part(from));
            let moved = b.shift(from, used, to, draw(4_000));
            assert!(b.limit() == 12_003 && moved <= before.saturating_sub(used));
        }
    }

    #[test]
    fn what_is_spare_goes_where_tasks_wait() {
        let b = Budget::even(300, (0..3).map(Slot));
        let used = BTreeMap::from([(Slot(0), 100), (Slot(1), 20)]);
        let wanted = BTreeMap::from([(Slot(0), 70)]);
        assert_eq!(
            b.wishes(&used, &wanted),
            [(Slot(2), Slot(0), 50), (Slot(1), Slot(0), 20)]
        );
        assert!(b.wishes(&used, &BTreeMap::new()).is_empty());
    }
}
