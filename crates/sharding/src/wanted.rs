//! Who should hold what: few moves, paced, and not to who comes and goes.

use crate::slots::{Slot, Slots};
use beamhinge_core::types::Time;
use std::collections::BTreeMap;

/// Times and sizes of moves, from the settings of the platform.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// A controller that was away gets nothing before it has been fit for so long,
    /// seconds; twice as long for each time it was away lately, up to eight times.
    pub settled_s: f64,
    /// Between two moves that only even out, seconds.
    pub pace_s: f64,
    /// How long an end of being fit is remembered, seconds.
    pub memory_s: f64,
}

/// A controller as the leader sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub label: String,
    /// It reaches the state service and its workers, and is not drained.
    pub fit: bool,
}

/// A slot that should change hands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    pub slot: Slot,
    /// Its holder; none if nobody holds it, or its holder is gone.
    pub from: Option<String>,
    pub to: String,
}

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    fit_since: Option<Time>,
    /// How often it ceased to be fit, and when last.
    ended: (u32, Time),
}

/// The wanted state of shares; remembers who comes and goes, and when it moved last.
#[derive(Debug, Default)]
pub struct Wanted {
    known: BTreeMap<String, Known>,
    moved: Option<Time>,
}

impl Wanted {
    /// Takes in who is fit.
    pub fn look(&mut self, now: Time, members: &[Member], bounds: &Bounds) {
        self.known
            .retain(|label, _| members.iter().any(|m| m.label == *label));
        for m in members {
            let first = !self.known.contains_key(&m.label) && self.moved.is_none();
            let k = self.known.entry(m.label.clone()).or_default();
            if k.ended.0 > 0 && now.since(k.ended.1) > bounds.memory_s {
                k.ended.0 = 0;
            }
            match (m.fit, k.fit_since) {
                // Who is there from the start has not come back from anywhere.
                (true, None) if first => k.fit_since = Some(now.minus(bounds.settled_s)),
                (true, None) => k.fit_since = Some(now),
                (false, Some(_)) => (k.fit_since, k.ended) = (None, (k.ended.0 + 1, now)),
                _ => {}
            }
        }
    }

    fn settled(&self, now: Time, label: &str, bounds: &Bounds) -> bool {
        let Some(k) = self.known.get(label) else {
            return false;
        };
        let times = 2f64.powi(k.ended.0.saturating_sub(1).min(3) as i32);
        k.fit_since
            .is_some_and(|at| now.since(at) >= bounds.settled_s * times)
    }

    fn fit(&self, label: &str) -> bool {
        self.known.get(label).is_some_and(|k| k.fit_since.is_some())
    }

    /// The moves that are due. `holders`: who holds each slot; `load`: what each slot
    /// costs its holder, in any one unit.
    pub fn moves(
        &mut self,
        now: Time,
        slots: Slots,
        holders: &BTreeMap<Slot, String>,
        load: &BTreeMap<Slot, f64>,
        bounds: &Bounds,
    ) -> Vec<Move> {
        let load = |s: Slot| load.get(&s).copied().unwrap_or(0.0).max(1e-3);
        let mut sums: BTreeMap<String, f64> = BTreeMap::new();
        for label in self.known.keys().filter(|l| self.fit(l)) {
            sums.insert(label.clone(), 0.0);
        }
        for s in slots.all() {
            if let Some(sum) = holders.get(&s).and_then(|h| sums.get_mut(h)) {
                *sum += load(s);
            }
        }
        let mut out = Vec::new();
        // What nobody holds goes at once, the largest first: to who is settled, or,
        // where nobody is, to whoever is there. Somebody always is better.
        let mut orphans: Vec<Slot> = slots
            .all()
            .filter(|s| holders.get(s).is_none_or(|h| !self.fit(h)))
            .collect();
        orphans.sort_by(|a, b| load(*b).total_cmp(&load(*a)).then(a.cmp(b)));
        for slot in orphans {
            let settled = sums.iter().filter(|(l, _)| self.settled(now, l, bounds));
            let least = |a: &(&String, &f64), b: &(&String, &f64)| a.1.total_cmp(b.1);
            let to = settled.min_by(least).or_else(|| sums.iter().min_by(least));
            let Some(to) = to.map(|(l, _)| l.clone()) else {
                break;
            };
            if let Some(sum) = sums.get_mut(&to) {
                *sum += load(slot);
            }
            out.push(Move {
                slot,
                from: None,
                to,
            });
        }
        if !out.is_empty() || self.moved.is_some_and(|at| now.since(at) < bounds.pace_s) {
            self.moved = if out.is_empty() {
                self.moved
            } else {
                Some(now)
            };
            return out;
        }
        // One move towards evenness, if it makes the greater of the two sums smaller
        // by more than a tenth of it: else it would come back with the next change.
        let most = sums.iter().max_by(|a, b| a.1.total_cmp(b.1));
        let to = sums.iter().filter(|(l, _)| self.settled(now, l, bounds));
        let least = to.min_by(|a, b| a.1.total_cmp(b.1));
        let (Some((from, high)), Some((to, low))) = (most, least) else {
            return out;
        };
        let mine = slots.all().filter(|s| holders.get(s) == Some(from));
        let better = |s: &Slot| (high - load(*s)).max(low + load(*s));
        let best = mine.min_by(|a, b| better(a).total_cmp(&better(b)));
        if let Some(slot) = best.filter(|s| better(s) < high * 0.9) {
            out.push(Move {
                slot,
                from: Some(from.clone()),
                to: to.clone(),
            });
            self.moved = Some(now);
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beamhinge_rate_limit::TransactionLimits;

    const BOUNDS: Bounds = Bounds {
        settled_s: 15.0,
        pace_s: 2.0,
        memory_s: 300.0,
    };

    fn slots() -> Slots {
        Slots::within(&TransactionLimits {
            writes: 20,
            conditions: 80,
            bytes: 9_000,
            value_bytes: 900,
        })
    }

    fn at(s: f64) -> Time {
        Time::default().plus(1_000.0 + s)
    }

    /// Plays so many seconds with moves carried out at once; counts them.
    fn play(seconds: u32, fit: impl Fn(&str, u32) -> bool) -> (BTreeMap<Slot, String>, u32, u32) {
        let (mut wanted, mut holders) = (Wanted::default(), BTreeMap::new());
        let load: BTreeMap<Slot, f64> = slots().all().map(|s| (s, 1.0)).collect();
        let (mut moves, mut orphaned) = (0, 0);
        for s in 0..seconds {
            let member = |l: &str| Member {
                label: l.into(),
                fit: fit(l, s),
            };
            let members: Vec<Member> = ["a", "b", "c"].into_iter().map(member).collect();
            wanted.look(at(f64::from(s)), &members, &BOUNDS);
            for m in wanted.moves(at(f64::from(s)), slots(), &holders, &load, &BOUNDS) {
                moves += u32::from(s > 0);
                orphaned += u32::from(s > 0 && m.from.is_none());
                holders.insert(m.slot, m.to);
            }
        }
        (holders, moves, orphaned)
    }

    fn of(holders: &BTreeMap<Slot, String>, label: &str) -> usize {
        holders.values().filter(|h| *h == label).count()
    }

    #[test]
    fn three_share_evenly_and_nothing_moves_without_cause() {
        let (holders, moves, _) = play(600, |_, _| true);
        assert_eq!(moves, 0);
        assert!(
            ["a", "b", "c"]
                .iter()
                .all(|l| (5..=6).contains(&of(&holders, l))),
            "{holders:?}"
        );
    }

    #[test]
    fn who_comes_back_gets_its_part_slowly_and_one_alone_holds_all() {
        let (holders, moves, orphaned) = play(120, |l, s| l != "c" || !(30..50).contains(&s));
        assert!(
            ["a", "b", "c"]
                .iter()
                .all(|l| (5..=6).contains(&of(&holders, l))),
            "{holders:?}"
        );
        assert!(
            orphaned == 5 && moves <= 10,
            "{moves} moves, {orphaned} of what nobody held"
        );
        let (holders, ..) = play(60, |l, s| l == "a" || s < 20);
        assert_eq!(of(&holders, "a"), 16);
    }

    /// It ends each 20 s and is back after four: after the first time it is never
    /// fit for long enough, so only what it held at first moves.
    #[test]
    fn who_comes_and_goes_causes_few_moves() {
        let (holders, moves, _) = play(600, |l, s| l != "c" || s % 20 < 16);
        assert!(moves <= 12, "{moves} moves in ten minutes");
        assert_eq!(of(&holders, "c"), 0);
    }

    #[test]
    fn a_slot_that_nobody_holds_never_waits_for_somebody_settled() {
        let (holders, ..) = play(3, |l, s| l == "b" && s >= 1);
        assert_eq!(of(&holders, "b"), 16);
    }
}
