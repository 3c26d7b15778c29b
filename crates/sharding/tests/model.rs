//! Model checker for slot ownership, fencing tokens and quota parts.
//!
//! The model has two controllers, two slots with one machine each, two tasks and a team limit of
//! one or two. It is explored exhaustively within stated bounds. Its faults are transactions that
//! are applied late or never, lost replies and answers, duplicated reports, controller restarts,
//! and acquisitions of a slot whose owner is alive. Slot ownership is the crate's implementation,
//! [`SlotOwnership`].

use beamhinge_core::types::Revision;
use beamhinge_rate_limit::TransactionLimits;
use beamhinge_sharding::{
    ProcessId, Slot, SlotOwnership, SlotRecord, SlotWrite, Slots, WriteOutcome,
};
use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};

/// Defects that are planted in the model and that the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    None,
    /// All answers carry the same token, as if it were the leader's token and not the slot's.
    OneToken,
    /// A task that is missing from a report counts as ended although the worker has not seen the
    /// owner's token yet.
    EarlyProof,
    /// A task is reassigned to the other slot although it may have been placed on this one.
    GrantedTwice,
    /// Each owner counts the whole limit as its part.
    LimitEach,
    /// A unit that was shifted to the other slot by a transaction of unknown outcome is used again.
    PartUsedAgain,
    /// A placement is not conditional on the slot's key.
    Unconditional,
}

/// How often each kind of event may still happen, and fixed parameters of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    ends: u8,
    gives: u8,
    takes: u8,
    homes: u8,
    shifts: u8,
    lapses: u8,
    reports: [u8; 2],
    /// Initial division of the team's limit among the slots.
    parts: [u64; 2],
    /// Number of times that each report is delivered, to any controller.
    copies: u8,
    unknown: u8,
}

/// State of a task's attempt in a slot, as known to the slot's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Run {
    No,
    /// The placement transaction was sent.
    Planned,
    /// The placement was committed and `run` was not sent, or was not received.
    Committed(u64),
    /// `run` was sent in the answer to the report with this sequence.
    Sent(u64, u8),
    /// The attempt occurred in a report.
    Seen(u64),
    /// The placement was found when the owner read the slot's records.
    Inherited(u64),
    /// The transaction that ends the attempt was sent.
    Ending(u64),
}

/// Contents of a slot's keys as known to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Books {
    token: u64,
    home: [(u8, u64); 2],
    row: [u64; 2],
    run: [Run; 2],
    part: (u64, u64),
    /// The outcome of a quota shift is unknown; its unit counts as shifted to the other slot.
    unsure: bool,
    last: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ctl {
    life: u64,
    shares: SlotOwnership,
    books: [Option<Books>; 2],
    in_flight: [bool; 2],
}

/// A transaction's write and the revisions that it expects of the keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Kind {
    Hold(SlotWrite),
    Place { task: usize, home: u64, row: u64 },
    End { task: usize, row: u64 },
    Rehome { task: usize, home: u64, row: u64 },
    Shift { own: u64, other: u64 },
    Touch { own: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Txn {
    by: usize,
    life: u64,
    slot: usize,
    token: u64,
    kind: Kind,
    /// Its sender got no reply or restarted; the transaction may still be applied.
    orphan: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Report {
    slot: usize,
    id: u8,
    baton: u64,
    tasks: Vec<(usize, u64)>,
    copies: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Answer {
    slot: usize,
    id: u8,
    token: u64,
    runs: Vec<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Worker {
    baton: u64,
    id: u8,
    awaits: bool,
    tasks: Vec<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    rev: u64,
    slot: [SlotRecord; 2],
    home: [(u8, u64); 2],
    /// Slot and attempt of each task's placement, `None` if it is not placed; and the key's
    /// revision.
    row: [(Option<(u8, u64)>, u64); 2],
    part: [(u64, u64); 2],
    ctl: [Ctl; 2],
    txns: Vec<Txn>,
    reports: Vec<Report>,
    answers: Vec<Answer>,
    workers: [Worker; 2],
    left: Left,
}

fn name(c: usize, life: u64) -> ProcessId {
    ProcessId {
        label: ["a", "b"][c].into(),
        nonce: life,
    }
}

fn two_slots() -> Slots {
    Slots::for_limits(&TransactionLimits {
        writes: 4,
        conditions: 16,
        bytes: 9_000,
        value_bytes: 900,
    })
}

fn start(left: Left) -> World {
    let entry = |c: usize, revision: u64| SlotRecord {
        owner: Some(name(c, 0)),
        revision: Revision(revision),
    };
    let slot = [entry(0, 1), entry(1, 2)];
    let ctl = |c: usize| {
        let mut shares = SlotOwnership::new(name(c, 0), two_slots());
        for (s, entry) in slot.iter().enumerate() {
            shares.on_record(Slot(s as u16), entry.clone());
        }
        Ctl {
            life: 0,
            shares,
            books: [None, None],
            in_flight: [false; 2],
        }
    };
    let worker = |baton| Worker {
        baton,
        id: 0,
        awaits: false,
        tasks: Vec::new(),
    };
    let mut w = World {
        rev: 8,
        ctl: [ctl(0), ctl(1)],
        slot,
        home: [(0, 3), (0, 4)],
        row: [(None, 0), (None, 0)],
        part: [(left.parts[0], 5), (left.parts[1], 6)],
        txns: Vec::new(),
        reports: Vec::new(),
        answers: Vec::new(),
        workers: [worker(1), worker(2)],
        left,
    };
    for c in 0..2 {
        w.load(c, c);
    }
    w
}

type Step<'a> = dyn FnMut(&dyn Fn() -> String, &dyn Fn(&mut World)) + 'a;

impl World {
    /// Removes transactions, answers and reports that can have no effect any more. A transaction
    /// whose conditions failed stays ineffective because revisions and sequences only increase.
    fn forget(&mut self) {
        let mut txns = std::mem::take(&mut self.txns);
        let now = self.clone();
        txns.retain(|t| {
            let mut w = now.clone();
            !t.orphan || w.apply(t, Defect::None) != WriteOutcome::Conflict
        });
        txns.sort_by_key(|t| (t.by, t.slot, t.orphan, t.token));
        self.txns = txns;
        let workers = &self.workers;
        let waits = |a: &Answer| workers[a.slot].awaits && workers[a.slot].id == a.id;
        self.answers.retain(waits);
        self.reports.retain(|r| r.copies > 0);
    }

    fn load(&mut self, c: usize, s: usize) {
        let Some(token) = self.ctl[c].shares.token(Slot(s as u16)) else {
            return;
        };
        let run = |k: usize| match self.row[k].0 {
            Some((at, attempt)) if usize::from(at) == s => Run::Inherited(attempt),
            _ => Run::No,
        };
        self.ctl[c].books[s] = Some(Books {
            token: token.0,
            home: self.home,
            row: [self.row[0].1, self.row[1].1],
            run: [run(0), run(1)],
            part: self.part[s],
            unsure: false,
            last: 0,
        });
    }

    /// Applies a transaction if its conditions hold, and returns the outcome.
    fn apply(&mut self, t: &Txn, defect: Defect) -> WriteOutcome {
        let s = t.slot;
        let held = match t.kind {
            Kind::Hold(ref w) => self.slot[s].revision == w.expected,
            Kind::Place { .. } if defect == Defect::Unconditional => true,
            _ => self.slot[s].revision.0 == t.token,
        };
        let ok = held
            && match t.kind {
                Kind::Hold(_) => true,
                Kind::Place { task, home, row } => {
                    self.home[task].1 == home && self.row[task].1 == row
                }
                Kind::End { task, row } => self.row[task].1 == row,
                Kind::Rehome { task, home, row } => {
                    let free = defect == Defect::GrantedTwice || self.row[task].1 == row;
                    self.home[task].1 == home && free
                }
                Kind::Shift { own, other } => self.part[s].1 == own && self.part[1 - s].1 == other,
                Kind::Touch { own } => self.part[s].1 == own,
            };
        if !ok {
            return WriteOutcome::Conflict;
        }
        self.rev += 1;
        let rev = self.rev;
        match &t.kind {
            Kind::Hold(w) => {
                self.slot[s] = SlotRecord {
                    owner: Some(w.owner.clone()),
                    revision: Revision(rev),
                }
            }
            Kind::Place { task, .. } => self.row[*task] = (Some((s as u8, rev)), rev),
            Kind::End { task, .. } => self.row[*task] = (None, rev),
            Kind::Rehome { task, .. } => {
                self.home[*task] = ((1 - s) as u8, rev);
                if defect == Defect::GrantedTwice {
                    self.row[*task] = (None, rev);
                }
            }
            Kind::Shift { .. } => {
                self.part[s] = (self.part[s].0 - 1, rev);
                self.part[1 - s] = (self.part[1 - s].0 + 1, rev);
            }
            Kind::Touch { .. } => self.part[s].1 = rev,
        }
        WriteOutcome::Applied(Revision(rev))
    }

    /// Delivers the outcome of a transaction to its sender.
    fn told(&mut self, t: &Txn, outcome: WriteOutcome, defect: Defect) {
        let ctl = &mut self.ctl[t.by];
        if ctl.life != t.life {
            return;
        }
        ctl.in_flight[t.slot] = false;
        if let Kind::Hold(w) = &t.kind {
            ctl.shares.on_write(w, outcome);
            return;
        }
        let applied = match outcome {
            WriteOutcome::Applied(revision) => Some(revision.0),
            _ => None,
        };
        let Some(b) = ctl.books[t.slot].as_mut().filter(|b| b.token == t.token) else {
            return;
        };
        match (&t.kind, applied) {
            (Kind::Place { task, .. }, Some(rev)) => {
                (b.row[*task], b.run[*task]) = (rev, Run::Committed(rev));
            }
            (Kind::End { task, .. }, Some(rev)) => (b.row[*task], b.run[*task]) = (rev, Run::No),
            (Kind::Rehome { task, .. }, Some(rev)) => {
                b.home[*task] = ((1 - t.slot) as u8, rev);
                if defect == Defect::GrantedTwice {
                    (b.row[*task], b.run[*task]) = (rev, Run::No);
                }
            }
            (Kind::Shift { .. }, Some(rev)) => b.part = (b.part.0 - 1, rev),
            (Kind::Touch { .. }, Some(rev)) => (b.part.1, b.unsure) = (rev, false),
            (Kind::Shift { .. }, None) if outcome == WriteOutcome::Unknown => {
                b.unsure = defect != Defect::PartUsedAgain;
            }
            // After any other outcome, the slot's keys must be read again.
            _ => ctl.books[t.slot] = None,
        }
    }

    fn send(&mut self, c: usize, slot: usize, token: u64, kind: Kind) {
        self.ctl[c].in_flight[slot] = true;
        let life = self.ctl[c].life;
        self.txns.push(Txn {
            by: c,
            life,
            slot,
            token,
            kind,
            orphan: false,
        });
    }

    /// Delivers a report of a slot's machine to a controller, which answers it if it owns the slot.
    fn hears(&mut self, c: usize, r: &Report, defect: Defect) {
        let s = r.slot;
        let Some(token) = self.ctl[c].shares.token(Slot(s as u16)) else {
            return;
        };
        if r.baton > token.0 && defect != Defect::OneToken {
            self.ctl[c].shares.on_ownership_lost(Slot(s as u16));
            return;
        }
        let told = if defect == Defect::OneToken {
            1
        } else {
            token.0
        };
        let Some(b) = self.ctl[c].books[s].as_mut().filter(|b| b.token == token.0) else {
            return;
        };
        let mut answer = Answer {
            slot: s,
            id: r.id,
            token: told,
            runs: Vec::new(),
        };
        if r.id > b.last {
            b.last = r.id;
            let ours = r.baton == told || defect == Defect::EarlyProof;
            let mut ended = None;
            for k in 0..2 {
                let here = |a: u64| r.tasks.contains(&(k, a));
                match b.run[k] {
                    Run::Sent(a, _) | Run::Inherited(a) if here(a) => b.run[k] = Run::Seen(a),
                    Run::Sent(a, at) if ours && r.id > at => b.run[k] = Run::Committed(a),
                    Run::Seen(a) | Run::Inherited(a)
                        if ours && !here(a) && ended.is_none() && !self.ctl[c].in_flight[s] =>
                    {
                        b.run[k] = Run::Ending(a);
                        ended = Some((k, b.row[k]));
                    }
                    _ => {}
                }
                if let (Run::Committed(a), true) = (b.run[k], ours) {
                    b.run[k] = Run::Sent(a, r.id);
                    answer.runs.push((k, a));
                }
            }
            if let Some((task, row)) = ended {
                self.send(c, s, token.0, Kind::End { task, row });
            }
        }
        self.answers.push(answer);
    }

    /// Returns all possible next states, with descriptions of the steps if `describe` is set.
    // A list with one entry for each step of the model.
    #[allow(clippy::too_many_lines)]
    fn next(&self, defect: Defect, describe: bool) -> Vec<(String, World)> {
        let mut out = Vec::new();
        let mut step = |what: &dyn Fn() -> String, f: &dyn Fn(&mut World)| {
            let mut w = self.clone();
            f(&mut w);
            w.forget();
            if w != *self {
                out.push((if describe { what() } else { String::new() }, w));
            }
        };
        for i in 0..self.txns.len() {
            let t = &self.txns[i];
            step(&|| format!("transaction executed: {t:?}"), &|w| {
                let t = w.txns.remove(i);
                let outcome = w.apply(&t, defect);
                if !t.orphan {
                    w.told(&t, outcome, defect);
                }
            });
            if !t.orphan && self.left.unknown > 0 {
                step(&|| format!("reply lost: {t:?}"), &|w| {
                    w.left.unknown -= 1;
                    w.txns[i].orphan = true;
                    let t = w.txns[i].clone();
                    w.told(&t, WriteOutcome::Unknown, defect);
                });
            }
        }
        for i in 0..self.reports.len() {
            for c in 0..2 {
                if self.reports[i].copies > 0 {
                    step(
                        &|| format!("controller {c} receives {:?}", self.reports[i]),
                        &|w| {
                            w.reports[i].copies -= 1;
                            let r = w.reports[i].clone();
                            w.hears(c, &r, defect);
                        },
                    );
                }
            }
        }
        for i in 0..self.answers.len() {
            step(
                &|| format!("answer delivered: {:?}", self.answers[i]),
                &|w| {
                    let a = w.answers.remove(i);
                    let m = &mut w.workers[a.slot];
                    if m.awaits && m.id == a.id {
                        m.awaits = false;
                        if a.token >= m.baton {
                            m.baton = a.token;
                            for run in a.runs {
                                if !m.tasks.contains(&run) {
                                    m.tasks.push(run);
                                }
                            }
                        }
                    }
                },
            );
        }
        for s in 0..2 {
            if self.left.reports[s] > 0 {
                step(&|| format!("machine {s} reports"), &|w| {
                    w.left.reports[s] -= 1;
                    let m = &mut w.workers[s];
                    (m.id, m.awaits) = (m.id + 1, true);
                    let (id, baton, tasks) = (m.id, m.baton, m.tasks.clone());
                    let copies = w.left.copies;
                    w.reports.push(Report {
                        slot: s,
                        id,
                        baton,
                        tasks,
                        copies,
                    });
                });
            }
            if self.left.lapses > 0 && !self.workers[s].tasks.is_empty() {
                step(&|| format!("machine {s} loses its tasks"), &|w| {
                    w.left.lapses -= 1;
                    w.workers[s].tasks.clear();
                    w.workers[s].awaits = false;
                });
            }
        }
        for c in 0..2 {
            if self.left.ends > 0 {
                step(&|| format!("controller {c} restarts"), &|w| {
                    w.left.ends -= 1;
                    let life = w.ctl[c].life + 1;
                    w.txns
                        .iter_mut()
                        .filter(|t| t.by == c)
                        .for_each(|t| t.orphan = true);
                    let shares = SlotOwnership::new(name(c, life), two_slots());
                    w.ctl[c] = Ctl {
                        life,
                        shares,
                        books: [None, None],
                        in_flight: [false; 2],
                    };
                });
            }
            for s in 0..2 {
                self.holder_steps(c, s, defect, &mut step);
            }
        }
        out
    }

    // A list with one entry for each step of the model.
    #[allow(clippy::too_many_lines)]
    fn holder_steps(&self, c: usize, s: usize, defect: Defect, step: &mut Step) {
        let slot = Slot(s as u16);
        step(
            &|| format!("controller {c} reads the key of slot {s}"),
            &|w| {
                let entry = w.slot[s].clone();
                w.ctl[c].shares.on_record(slot, entry);
            },
        );
        if self.ctl[c].in_flight[s] {
            return;
        }
        let hold = |w: &mut World, write: Option<SlotWrite>| {
            if let Some(write) = write {
                w.send(c, s, 0, Kind::Hold(write));
            }
        };
        if self.left.takes > 0 && s == 0 {
            step(&|| format!("controller {c} acquires slot {s}"), &|w| {
                w.left.takes -= 1;
                let write = w.ctl[c].shares.acquire(slot);
                hold(w, write);
            });
        }
        if self.left.gives > 0 && s == 0 {
            step(&|| format!("controller {c} transfers slot {s}"), &|w| {
                w.left.gives -= 1;
                let to = name(1 - c, w.ctl[1 - c].life);
                let write = w.ctl[c].shares.transfer(slot, to);
                hold(w, write);
            });
        }
        step(&|| format!("controller {c} reclaims slot {s}"), &|w| {
            let write = w.ctl[c].shares.reclaim(slot);
            hold(w, write);
        });
        let Some(token) = self.ctl[c].shares.token(slot) else {
            return;
        };
        let books = self.ctl[c].books[s].as_ref().filter(|b| b.token == token.0);
        let Some(b) = books else {
            return step(
                &|| format!("controller {c} reads the records of slot {s}"),
                &|w| w.load(c, s),
            );
        };
        // The watch reports changes of quota parts and assignments. The owner already knows the
        // placements that it made.
        step(
            &|| format!("controller {c} reads the quota part and the assignments of slot {s}"),
            &|w| {
                let (part, home, row) = (w.part[s], w.home, w.row);
                if let Some(b) = w.ctl[c].books[s].as_mut().filter(|b| !b.unsure) {
                    (b.part, b.home) = (part, home);
                    for k in (0..2).filter(|k| b.run[*k] == Run::No) {
                        b.row[k] = row[k].1;
                    }
                }
            },
        );
        let used = b.run.iter().filter(|r| **r != Run::No).count() as u64;
        let part = match defect {
            Defect::LimitEach => self.limit(),
            _ => b.part.0 - u64::from(b.unsure && b.part.0 > 0),
        };
        if b.unsure {
            step(
                &|| format!("controller {c} confirms the quota part of slot {s}"),
                &|w| {
                    w.send(c, s, token.0, Kind::Touch { own: b.part.1 });
                },
            );
        } else if self.left.shifts > 0 && used < b.part.0 {
            step(
                &|| format!("controller {c} shifts a unit from slot {s}"),
                &|w| {
                    w.left.shifts -= 1;
                    let (own, other) = (b.part.1, w.part[1 - s].1);
                    w.send(c, s, token.0, Kind::Shift { own, other });
                },
            );
        }
        for k in 0..2 {
            let (home, row) = (b.home[k], b.row[k]);
            if usize::from(home.0) != s {
                continue;
            }
            if b.run[k] == Run::No && used < part {
                step(
                    &|| format!("controller {c} places task {k} on machine {s}"),
                    &|w| {
                        if let Some(b) = &mut w.ctl[c].books[s] {
                            b.run[k] = Run::Planned;
                        }
                        w.send(
                            c,
                            s,
                            token.0,
                            Kind::Place {
                                task: k,
                                home: home.1,
                                row,
                            },
                        );
                    },
                );
            }
            let may = b.run[k] == Run::No || defect == Defect::GrantedTwice;
            if self.left.homes > 0 && may {
                step(
                    &|| format!("controller {c} reassigns task {k} to slot {}", 1 - s),
                    &|w| {
                        w.left.homes -= 1;
                        w.send(
                            c,
                            s,
                            token.0,
                            Kind::Rehome {
                                task: k,
                                home: home.1,
                                row,
                            },
                        );
                    },
                );
            }
        }
    }

    fn limit(&self) -> u64 {
        self.left.parts.iter().sum()
    }

    /// Returns the invariant that this state violates; `None` if it violates none.
    fn broken(&self) -> Option<&'static str> {
        let on = |k: usize| {
            self.workers
                .iter()
                .filter(|m| m.tasks.iter().any(|(t, _)| *t == k))
                .count()
        };
        let twice = |m: &Worker| m.tasks.len() == 2 && m.tasks[0].0 == m.tasks[1].0;
        if on(0) > 1 || on(1) > 1 || self.workers.iter().any(twice) {
            return Some("ran_twice");
        }
        let all: usize = self.workers.iter().map(|m| m.tasks.len()).sum();
        (all as u64 > self.limit()).then_some("quota")
    }
}

fn mark(world: &World) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Returns the descriptions of the steps that lead to a state, reconstructed from the index of the
/// step chosen in each predecessor.
fn way(left: Left, defect: Defect, from: &[(u32, u32)], mut at: usize, rule: &str) -> Vec<String> {
    let mut choices = Vec::new();
    while at != 0 {
        choices.push(from[at].1 as usize);
        at = from[at].0 as usize;
    }
    let (mut world, mut out) = (start(left), Vec::new());
    for choice in choices.into_iter().rev() {
        let (what, next) = world.next(defect, true).swap_remove(choice);
        out.push(what);
        world = next;
    }
    out.push(rule.to_string());
    out
}

/// Explores the reachable states in breadth-first order. Returns their number, whether all were
/// explored, and the trace to the first state that violates an invariant.
fn explore(left: Left, defect: Defect, most: usize) -> (usize, bool, Option<Vec<String>>) {
    let first = start(left);
    let mut seen: HashSet<u64> = HashSet::from([mark(&first)]);
    let mut from: Vec<(u32, u32)> = vec![(0, 0)];
    let mut queue = VecDeque::from([(0usize, first)]);
    while let Some((at, world)) = queue.pop_front() {
        if let Some(rule) = world.broken() {
            return (seen.len(), false, Some(way(left, defect, &from, at, rule)));
        }
        if seen.len() >= most {
            return (seen.len(), false, None);
        }
        for (choice, (_, next)) in world.next(defect, false).into_iter().enumerate() {
            if seen.insert(mark(&next)) {
                from.push((at as u32, choice as u32));
                queue.push_back((from.len() - 1, next));
            }
        }
    }
    (seen.len(), true, None)
}

const NONE: Left = Left {
    ends: 0,
    gives: 0,
    takes: 0,
    homes: 0,
    shifts: 0,
    lapses: 0,
    reports: [0, 0],
    parts: [1, 0],
    copies: 1,
    unknown: 0,
};

/// Small scenarios, each of which is explored completely or up to the maximum number of states.
// A table with one entry for each scenario.
#[allow(clippy::too_many_lines)]
fn worlds() -> Vec<(&'static str, Left)> {
    let one = Left {
        reports: [2, 0],
        ..NONE
    };
    vec![
        (
            "acquisition from a live owner",
            Left {
                takes: 1,
                copies: 2,
                ..one
            },
        ),
        (
            "transfer",
            Left {
                gives: 1,
                unknown: 1,
                ..one
            },
        ),
        (
            "controller restart",
            Left {
                ends: 1,
                takes: 1,
                ..one
            },
        ),
        (
            "loss of a machine's tasks",
            Left {
                lapses: 1,
                takes: 1,
                ..one
            },
        ),
        (
            "reassignment",
            Left {
                homes: 1,
                reports: [1, 1],
                parts: [1, 1],
                unknown: 1,
                ..NONE
            },
        ),
        (
            "quota parts",
            Left {
                homes: 1,
                shifts: 1,
                reports: [1, 1],
                unknown: 1,
                ..NONE
            },
        ),
        (
            "quota parts with an acquisition",
            Left {
                homes: 1,
                shifts: 1,
                takes: 1,
                reports: [1, 1],
                ..NONE
            },
        ),
    ]
}

const MAX_SLOTS: usize = 40_000;

#[test]
fn no_reachable_state_breaks_a_rule() {
    for (what, left) in worlds() {
        let (states, all, way) = explore(left, Defect::None, MAX_SLOTS);
        println!(
            "{what}: {states} states, {}",
            if all { "all" } else { "bounded" }
        );
        assert!(
            way.is_none(),
            "{what}: {}",
            way.unwrap_or_default().join("\n")
        );
        assert!(
            states > 300,
            "{what}: only {states} states, the model makes no progress"
        );
    }
}

/// Guards against a checker that finds nothing: each defect must be found in a scenario that is
/// made for it.
#[test]
fn each_planted_defect_is_found() {
    let one = Left {
        reports: [2, 0],
        ..NONE
    };
    let both = Left {
        homes: 1,
        reports: [1, 1],
        unknown: 1,
        ..NONE
    };
    for (defect, left) in [
        (
            Defect::OneToken,
            Left {
                takes: 1,
                copies: 2,
                ..one
            },
        ),
        (
            Defect::EarlyProof,
            Left {
                takes: 1,
                copies: 2,
                ..one
            },
        ),
        (
            Defect::GrantedTwice,
            Left {
                parts: [1, 1],
                ..both
            },
        ),
        (Defect::LimitEach, both),
        (Defect::PartUsedAgain, Left { shifts: 1, ..both }),
        (
            Defect::Unconditional,
            Left {
                takes: 1,
                reports: [3, 0],
                ..NONE
            },
        ),
    ] {
        let (states, _, way) = explore(left, defect, MAX_SLOTS * 8);
        let Some(way) = way else {
            panic!("{defect:?} was not found in {states} states")
        };
        println!(
            "{defect:?}: {states} states, {} steps\n  {}",
            way.len() - 1,
            way.join("\n  ")
        );
        assert!(way.len() <= 20, "{defect:?}: {} steps", way.len());
    }
}
