//! Plans which controller should own which slot. Moves are few and rate-limited, and unstable
//! controllers receive no slots.

use crate::slots::{Slot, Slots};
use beamhinge_core::types::Time;
use std::collections::BTreeMap;

/// Timing limits of moves, from the platform settings.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceLimits {
    /// Time for which a controller that was unhealthy must be healthy before it receives slots, in
    /// seconds. It doubles with each further recent failure, up to eight times the value.
    pub min_healthy_s: f64,
    /// Minimum time after a move before the next move that only balances load, in seconds.
    pub min_interval_s: f64,
    /// Time for which a failure of a controller is remembered, in seconds.
    pub failure_memory_s: f64,
}

/// State of a controller as known to the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Label of the controller.
    pub label: String,
    /// The controller reaches the key-value store and its workers, and is not drained.
    pub healthy: bool,
}

/// A planned change of a slot's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Slot to move.
    pub slot: Slot,
    /// Label of the current owner; `None` if the slot has no owner or its owner is not healthy.
    pub from: Option<String>,
    /// Label of the new owner.
    pub to: String,
}

#[derive(Clone, Copy, Debug, Default)]
struct MemberHistory {
    /// Time since which the controller has been healthy; `None` while it is not healthy.
    healthy_since: Option<Time>,
    /// Number of recent failures, that is changes from healthy to unhealthy.
    failures: u32,
    /// Time of the last failure.
    failed_at: Time,
}

/// Plans moves of slots. It remembers recent failures of controllers and the time of the last move.
#[derive(Debug, Default)]
pub struct Rebalancer {
    history: BTreeMap<String, MemberHistory>,
    last_move_at: Option<Time>,
}

impl Rebalancer {
    /// Updates which controllers are healthy.
    pub fn update_members(&mut self, now: Time, members: &[Member], limits: &RebalanceLimits) {
        self.history
            .retain(|label, _| members.iter().any(|update| update.label == *label));
        for update in members {
            let is_initial =
                !self.history.contains_key(&update.label) && self.last_move_at.is_none();
            let member = self.history.entry(update.label.clone()).or_default();
            if member.failures > 0 && now.since(member.failed_at) > limits.failure_memory_s {
                member.failures = 0;
            }
            match (update.healthy, member.healthy_since) {
                // A controller that is healthy from the start is not recovering from a failure.
                (true, None) if is_initial => {
                    member.healthy_since = Some(now.minus(limits.min_healthy_s))
                }
                (true, None) => member.healthy_since = Some(now),
                (false, Some(_)) => {
                    member.healthy_since = None;
                    member.failures += 1;
                    member.failed_at = now;
                }
                _ => {}
            }
        }
    }

    fn is_settled(&self, now: Time, label: &str, limits: &RebalanceLimits) -> bool {
        let Some(member) = self.history.get(label) else {
            return false;
        };
        let backoff_factor = 2f64.powi(member.failures.saturating_sub(1).min(3) as i32);
        member
            .healthy_since
            .is_some_and(|at| now.since(at) >= limits.min_healthy_s * backoff_factor)
    }

    fn healthy(&self, label: &str) -> bool {
        self.history
            .get(label)
            .is_some_and(|member| member.healthy_since.is_some())
    }

    /// Plans the moves that are due now. `owners` has the owner of each slot; `load` has the load
    /// that each slot causes for its owner, all in the same unit.
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
            self.last_move_at = Some(now);
            return moves;
        }
        if self
            .last_move_at
            .is_some_and(|at| now.since(at) < limits.min_interval_s)
        {
            return moves;
        }
        let balancing_move = self.balance_load(now, &fleet, limits);
        if balancing_move.is_some() {
            self.last_move_at = Some(now);
        }
        balancing_move.into_iter().collect()
    }

    /// Returns the total load of the slots of each healthy controller.
    fn loads(&self, fleet: &Fleet) -> BTreeMap<String, f64> {
        let healthy = self.history.keys().filter(|label| self.healthy(label));
        let mut loads: BTreeMap<String, f64> = healthy.map(|l| (l.clone(), 0.0)).collect();
        for slot in fleet.slots.all() {
            let owner = fleet.owners.get(&slot);
            if let Some(load) = owner.and_then(|owner| loads.get_mut(owner)) {
                *load += fleet.load_of(slot);
            }
        }
        loads
    }

    /// Assigns slots without a healthy owner immediately, those with the highest load first. They
    /// go to the settled controller with the least load, or, if no controller is settled, to the
    /// healthy controller with the least load: any owner is better than none.
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
            let settled = loads
                .iter()
                .filter(|(l, _)| self.is_settled(now, l, limits));
            let by_load = |a: &(&String, &f64), b: &(&String, &f64)| a.1.total_cmp(b.1);
            let to = settled
                .min_by(by_load)
                .or_else(|| loads.iter().min_by(by_load));
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

    /// Plans one move that balances load, if it reduces the greater load of the two controllers
    /// by more than a tenth. With a smaller gain, the next change of load could move the slot back.
    fn balance_load(&self, now: Time, fleet: &Fleet, limits: &RebalanceLimits) -> Option<Move> {
        let loads = self.loads(fleet);
        let (from, high_load) = loads.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let settled = loads
            .iter()
            .filter(|(l, _)| self.is_settled(now, l, limits));
        let (to, low_load) = settled.min_by(|a, b| a.1.total_cmp(b.1))?;
        let movable = fleet
            .slots
            .all()
            .filter(|s| fleet.owners.get(s) == Some(from));
        let greater_load =
            |s: &Slot| (high_load - fleet.load_of(*s)).max(low_load + fleet.load_of(*s));
        let best_slot = movable.min_by(|a, b| greater_load(a).total_cmp(&greater_load(b)));
        let slot =
            best_slot.filter(|s| greater_load(s) < high_load * MAX_LOAD_FRACTION_AFTER_MOVE)?;
        Some(Move {
            slot,
            from: Some(from.clone()),
            to: to.clone(),
        })
    }
}

/// A move that only balances load must reduce the greater load of the two controllers to less than
/// this fraction of its value.
const MAX_LOAD_FRACTION_AFTER_MOVE: f64 = 0.9;
/// Minimum load of a slot, so that slots without load are distributed evenly as well.
const MIN_LOAD: f64 = 1e-3;

/// Slots with their owners and their loads.
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
