//! Who should own what: few moves, paced, and none to controllers that come and go.

use crate::slots::{Slot, Slots};
use beamhinge_core::types::Time;
use std::collections::BTreeMap;

/// Times and sizes of moves, from the settings of the platform.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceLimits {
    /// A controller that was away gets nothing before it has been healthy for so long,
    /// seconds; twice as long for each time it was away lately, up to eight times.
    pub settled_s: f64,
    /// Between two moves that only even out, seconds.
    pub min_interval_s: f64,
    /// How long an end of being healthy is remembered, seconds.
    pub memory_s: f64,
}

/// A controller as the leader sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its label.
    pub label: String,
    /// It reaches the state service and its workers, and is not drained.
    pub healthy: bool,
}

/// A slot that should change hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The slot.
    pub slot: Slot,
    /// Its owner; none if nobody owns it, or its owner is gone.
    pub from: Option<String>,
    /// Label of its new owner.
    pub to: String,
}

#[derive(Clone, Copy, Debug, Default)]
struct MemberHistory {
    healthy_since: Option<Time>,
    /// How often it ceased to be healthy lately.
    failures: u32,
    /// When that was last.
    failed_at: Time,
}

/// Plans which slots move; remembers who comes and goes, and when it moved last.
#[derive(Debug, Default)]
pub struct Rebalancer {
    known: BTreeMap<String, MemberHistory>,
    moved: Option<Time>,
}

impl Rebalancer {
    /// Takes who is healthy now.
    pub fn update_members(&mut self, now: Time, members: &[Member], limits: &RebalanceLimits) {
        self.known
            .retain(|label, _| members.iter().any(|m| m.label == *label));
        for m in members {
            let first = !self.known.contains_key(&m.label) && self.moved.is_none();
            let k = self.known.entry(m.label.clone()).or_default();
            if k.failures > 0 && now.since(k.failed_at) > limits.memory_s {
                k.failures = 0;
            }
            match (m.healthy, k.healthy_since) {
                // Who is there from the start has not come back from anywhere.
                (true, None) if first => k.healthy_since = Some(now.minus(limits.settled_s)),
                (true, None) => k.healthy_since = Some(now),
                (false, Some(_)) => {
                    k.healthy_since = None;
                    k.failures += 1;
                    k.failed_at = now;
                }
                _ => {}
            }
        }
    }

    fn settled(&self, now: Time, label: &str, limits: &RebalanceLimits) -> bool {
        let Some(k) = self.known.get(label) else {
            return false;
        };
        let times = 2f64.powi(k.failures.saturating_sub(1).min(3) as i32);
        k.healthy_since
            .is_some_and(|at| now.since(at) >= limits.settled_s * times)
    }

    fn healthy(&self, label: &str) -> bool {
        self.known
            .get(label)
            .is_some_and(|k| k.healthy_since.is_some())
    }

    /// The moves that are due. `owners`: who owns each slot; `load`: what each slot costs
    /// its owner, in any one unit.
    pub fn plan_moves(
        &mut self,
        now: Time,
        slots: Slots,
        owners: &BTreeMap<Slot, String>,
        load: &BTreeMap<Slot, f64>,
        limits: &RebalanceLimits,
    ) -> Vec<Move> {
        let fleet = Fleet {
            slots,
            owners,
            load,
        };
        let moves = self.assign_unowned(now, &fleet, limits);
        if !moves.is_empty() {
            self.moved = Some(now);
            return moves;
        }
        if self
            .moved
            .is_some_and(|at| now.since(at) < limits.min_interval_s)
        {
            return moves;
        }
        let step = self.even_out(now, &fleet, limits);
        if step.is_some() {
            self.moved = Some(now);
        }
        step.into_iter().collect()
    }

    /// What the slots of each healthy controller cost.
    fn loads(&self, fleet: &Fleet) -> BTreeMap<String, f64> {
        let healthy = self.known.keys().filter(|label| self.healthy(label));
        let mut loads: BTreeMap<String, f64> = healthy.map(|l| (l.clone(), 0.0)).collect();
        for slot in fleet.slots.all() {
            let owner = fleet.owners.get(&slot);
            if let Some(load) = owner.and_then(|owner| loads.get_mut(owner)) {
                *load += fleet.load_of(slot);
            }
        }
        loads
    }

    /// What nobody owns goes at once, the largest first: to who is settled, or, where nobody
    /// is, to whoever is there. Somebody always is better.
    fn assign_unowned(&self, now: Time, fleet: &Fleet, limits: &RebalanceLimits) -> Vec<Move> {
        let mut loads = self.loads(fleet);
        let has_owner = |slot: &Slot| {
            let owner = fleet.owners.get(slot);
            owner.is_some_and(|owner| self.healthy(owner))
        };
        let load = |slot: &Slot| fleet.load_of(*slot);
        let mut unowned: Vec<Slot> = fleet.slots.all().filter(|s| !has_owner(s)).collect();
        unowned.sort_by(|a, b| load(b).total_cmp(&load(a)).then(a.cmp(b)));
        let mut moves = Vec::new();
        for slot in unowned {
            let settled = loads.iter().filter(|(l, _)| self.settled(now, l, limits));
            let least = |a: &(&String, &f64), b: &(&String, &f64)| a.1.total_cmp(b.1);
            let to = settled.min_by(least).or_else(|| loads.iter().min_by(least));
            let Some(to) = to.map(|(label, _)| label.clone()) else {
                break;
            };
            if let Some(load) = loads.get_mut(&to) {
                *load += fleet.load_of(slot);
            }
            moves.push(Move {
                slot,
                from: None,
                to,
            });
        }
        moves
    }

    /// One move towards evenness, if it makes the greater of the two loads smaller by more
    /// than a tenth of it: else it would come back with the next change.
    fn even_out(&self, now: Time, fleet: &Fleet, limits: &RebalanceLimits) -> Option<Move> {
        let loads = self.loads(fleet);
        let (from, high) = loads.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let settled = loads.iter().filter(|(l, _)| self.settled(now, l, limits));
        let (to, low) = settled.min_by(|a, b| a.1.total_cmp(b.1))?;
        let movable = fleet
            .slots
            .all()
            .filter(|s| fleet.owners.get(s) == Some(from));
        let greater = |s: &Slot| (high - fleet.load_of(*s)).max(low + fleet.load_of(*s));
        let best = movable.min_by(|a, b| greater(a).total_cmp(&greater(b)));
        let slot = best.filter(|s| greater(s) < high * MIN_GAIN)?;
        Some(Move {
            slot,
            from: Some(from.clone()),
            to: to.clone(),
        })
    }
}

/// A move that only evens out has to bring the greater load below this part of it.
const MIN_GAIN: f64 = 0.9;
/// What a slot costs at least, so that those without any are spread as well.
const MIN_LOAD: f64 = 1e-3;

/// Slots, who owns them, and what each costs its owner.
struct Fleet<'a> {
    slots: Slots,
    owners: &'a BTreeMap<Slot, String>,
    load: &'a BTreeMap<Slot, f64>,
}

impl Fleet<'_> {
    fn load_of(&self, slot: Slot) -> f64 {
        let load = self.load.get(&slot).copied().unwrap_or(0.0);
        load.max(MIN_LOAD)
    }
}

#[cfg(test)]
mod tests;
