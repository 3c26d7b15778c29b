//! A model of leadership, leadership acquisition, cancellation, unreachable workers and proof
//! of absence. Time passes in coarse steps, since the model is about the serving deadline (H)
//! and leases. Two small models are each searched exhaustively: every order of the steps of
//! two controllers, the key-value store, a worker and a user.
//!
//! The model does not use the production types: `Leader`, the mirror and `Placement` use
//! microseconds and string names, so that no two of their states are equal and a search
//! would never return to a known state. The scenarios test the production types. The model
//! shows that the rules which these follow are sufficient, and which rules are necessary: the
//! search must find each injected defect.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// Duration of a worker's session lease, steps.
const LEASE: u8 = 3;
/// Serving deadline: how long a leader answers after its last exchange with the key-value store,
/// steps.
const H: u8 = 2;
/// Steps within which a cancelled task must have ended. H + LEASE < CANCEL, with one step of
/// margin.
const CANCEL: u8 = 6;
/// Steps after which the reply of an exchange is lost.
const REPLY: u8 = 2;
/// Steps after which a report or its answer is lost.
const LATE: u8 = 1;
/// Highest fencing token: number of leadership acquisitions in the cancellation model.
const TOKENS: u8 = 3;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Defects {
    /// There is no serving deadline (H).
    no_serving_deadline: bool,
    /// H counts from the arrival of the reply instead of the sending of the request.
    h_from_reply: bool,
    /// H is renewed by any reply that confirms leadership, however old the replica of the jobs is.
    serving_deadline_from_lease: bool,
    /// A leader stops cancelled tasks only after it has read the stored pages and the worker has
    /// shown its fencing token.
    late_cancellation_stops: bool,
    /// A task's absence from a report counts although the worker has not shown this controller's
    /// fencing token.
    proof_before_token: bool,
    /// After a leadership acquisition, a worker is presumed dead by this controller's own answers
    /// alone.
    silence_from_local_replies: bool,
    /// A report that is not newer than the last one is accepted.
    stale_reports_accepted: bool,
    /// A lower incarnation counts as a different one, and therefore as newer.
    lower_tenure: bool,
    /// A task counts as ended as soon as a stop command has been sent.
    stop_is_end: bool,
    /// Placements are committed without a check of the leadership block.
    placements_without_block: bool,
}

fn older(age: u8, most: u8) -> u8 {
    (age + 1).min(most + 1)
}

/// Searches all reachable states. Returns the number of states, or the steps that lead to a
/// state that violates the invariant.
fn explore<W: Clone + Eq + Hash>(
    begin: W,
    next: impl Fn(&W) -> Vec<(&'static str, W)>,
    broken: impl Fn(&W) -> bool,
) -> Result<usize, Vec<&'static str>> {
    let mut seen: HashSet<W> = HashSet::from([begin.clone()]);
    let mut ways: Vec<(usize, &'static str)> = vec![(0, "")];
    let mut queue = VecDeque::from([(begin, 0)]);
    while let Some((world, at)) = queue.pop_front() {
        for (what, then) in next(&world) {
            if broken(&then) {
                let mut way = vec![what];
                let mut back = at;
                while back > 0 {
                    way.push(ways[back].1);
                    back = ways[back].0;
                }
                way.reverse();
                return Err(way);
            }
            if seen.insert(then.clone()) {
                ways.push((at, what));
                queue.push_back((then, ways.len() - 1));
            }
        }
        assert!(
            seen.len() < 4_000_000,
            "the world is too large to be looked through"
        );
    }
    Ok(seen.len())
}

// ---- cancellation: leadership, cancellation, stop commands and leases ----

/// A task runs on a worker; its job is cancelled, and leadership may change.
mod gap {
    use super::*;

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    struct Controller {
        token: u8,
        /// Steps since the request was sent whose reply last confirmed leadership.
        hold: u8,
        /// Steps since the request was sent whose reply last showed the jobs.
        jobs: u8,
        /// Whether it knows that the job is cancelled.
        knows: bool,
        /// Whether it has read the stored pages since its leadership acquisition.
        read: bool,
    }

    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    pub(super) struct World {
        /// Fencing token in the leadership block.
        block: u8,
        /// Steps since the last leadership acquisition.
        taken: u8,
        /// Steps since the user was told that the job is cancelled; `None` before that.
        cancelled: Option<u8>,
        controllers: [Controller; 2],
        /// Highest fencing token that the worker has seen.
        seen: u8,
        /// Steps since the worker sent the last report that was answered.
        lease: u8,
        /// Whether the task runs.
        alive: bool,
        /// An answer in flight: fencing token, whether it stops the task, age of the report.
        answer: Option<(u8, bool, u8)>,
    }

    const NOBODY: Controller = Controller {
        token: 0,
        hold: H + 1,
        jobs: H + 1,
        knows: false,
        read: false,
    };

    pub(super) fn begin() -> World {
        World {
            block: 1,
            taken: REPLY + 1,
            cancelled: None,
            controllers: [
                Controller {
                    token: 1,
                    hold: 0,
                    jobs: 0,
                    read: true,
                    ..NOBODY
                },
                NOBODY,
            ],
            seen: 1,
            lease: 0,
            alive: true,
            answer: None,
        }
    }

    pub(super) fn broken(w: &World) -> bool {
        w.alive && w.cancelled.is_some_and(|at| at > CANCEL)
    }

    /// Handles the reply to a request that was sent, and processed by the key-value store, `age`
    /// steps ago, so that its content has that age. `jobs` says whether it includes the jobs.
    fn reply(w: &mut World, i: usize, age: u8, jobs: bool, d: Defects) {
        let known = w.cancelled.is_some_and(|at| at > age);
        let held = w.controllers[i].token == w.block || w.taken <= age;
        let counted = if d.h_from_reply { 0 } else { age };
        let c = &mut w.controllers[i];
        if jobs {
            c.jobs = c.jobs.min(counted);
            c.knows |= known;
        }
        match held && c.token > 0 {
            true => c.hold = c.hold.min(counted),
            false => {
                *c = Controller {
                    token: 0,
                    hold: H + 1,
                    read: false,
                    ..*c
                }
            }
        }
    }

    /// Every possible next step and the state after it.
    // The function is long because it lists the steps of the model, one entry for each.
    #[allow(clippy::too_many_lines)]
    pub(super) fn next(w: &World, d: Defects) -> Vec<(&'static str, World)> {
        let mut out = Vec::new();
        if !w.alive {
            return out;
        }
        let mut add = |what, change: &dyn Fn(&mut World)| {
            let mut then = w.clone();
            change(&mut then);
            out.push((what, then));
        };
        add("time passes", &|w| {
            w.lease = older(w.lease, LEASE);
            w.alive &= w.lease <= LEASE;
            w.taken = older(w.taken, REPLY);
            w.cancelled = w.cancelled.map(|at| older(at, CANCEL));
            for c in &mut w.controllers {
                (c.hold, c.jobs) = (older(c.hold, H), older(c.jobs, H));
            }
            w.answer = w
                .answer
                .map(|a| (a.0, a.1, a.2 + 1))
                .filter(|a| a.2 <= LATE);
        });
        if w.cancelled.is_none() {
            add("the user is told: cancelled", &|w| w.cancelled = Some(0));
        }
        for i in 0..2 {
            let c = w.controllers[i];
            for age in 0..=REPLY {
                let what = ["an exchange", "a late reply", "a very late reply"];
                add(what[usize::from(age)], &|w| reply(w, i, age, true, d));
                if c.token > 0 {
                    let what = "a reply, of the hold alone";
                    add(what, &|w| reply(w, i, age, false, d));
                }
            }
            if c.token == 0 && w.block < TOKENS {
                add("a take", &|w| {
                    (w.block, w.taken) = (w.block + 1, 0);
                    let c = &mut w.controllers[i];
                    (c.token, c.hold, c.read) = (w.block, 0, false);
                });
            }
            if c.token > 0 && !c.read && c.jobs == 0 {
                add("the pages are read", &|w| w.controllers[i].read = true);
            }
            if c.token > 0 {
                add("it begins anew", &|w| w.controllers[i] = NOBODY);
            }
            let fresh = (c.hold <= H && (c.jobs <= H || d.serving_deadline_from_lease))
                || d.no_serving_deadline;
            if c.token > 0 && fresh && w.answer.is_none() {
                let told = c.knows && (!d.late_cancellation_stops || c.read && w.seen == c.token);
                add("a report is answered", &|w| {
                    w.answer = Some((c.token, told, 0))
                });
            }
        }
        if let Some((token, stop, age)) = w.answer {
            add("the answer arrives", &|w| {
                w.answer = None;
                if token >= w.seen {
                    (w.seen, w.lease) = (token, age);
                    w.alive &= !stop;
                }
            });
            add("the answer is lost", &|w| w.answer = None);
        }
        out
    }
}

fn gap(d: Defects) -> Result<usize, Vec<&'static str>> {
    explore(gap::begin(), |w| gap::next(w, d), gap::broken)
}

#[test]
fn a_cancelled_task_is_gone_in_time_whoever_holds() {
    let states = gap(Defects::default()).unwrap_or_else(|way| panic!("{way:#?}"));
    println!("the gap: {states} states, all of them");
    assert!(states > 10_000, "{states}");
}

#[test]
fn the_gap_s_planted_defects_are_found() {
    let none = Defects::default();
    for (name, d) in [
        (
            "no H",
            Defects {
                no_serving_deadline: true,
                ..none
            },
        ),
        (
            "H from the reply",
            Defects {
                h_from_reply: true,
                ..none
            },
        ),
        (
            "H by the hold alone",
            Defects {
                serving_deadline_from_lease: true,
                ..none
            },
        ),
        (
            "late stops",
            Defects {
                late_cancellation_stops: true,
                ..none
            },
        ),
    ] {
        let way = gap(d).expect_err(name);
        println!("{name}: found after {} steps: {way:?}", way.len());
    }
}

// ---- proof of absence: a task placed by one leader and placed again by another ----

/// A placement on a worker is committed, but its `run` command is not sent yet. Leadership may
/// change, and the task may be placed elsewhere once it is known not to be on the worker.
mod proof {
    use super::*;

    /// Largest age of a leadership acquisition that the model distinguishes, steps.
    const TOOK: u8 = H + LEASE;
    /// Number of reports in the model.
    const TICKS: u8 = 3;
    /// Number of leadership acquisitions in the model, including the initial one.
    const TAKES: u8 = 2;

    /// Incarnation and sequence of a worker's report.
    type Moment = (u8, u8);

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    enum Entry {
        Free,
        /// The placement is committed; its `run` command has not been sent.
        Committed,
        /// The `run` command was sent in the answer to this report.
        Sent(Moment),
        /// The task is listed in a report, or was found in a stored page of an earlier leader.
        There,
        Elsewhere,
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    struct Controller {
        token: u8,
        /// Steps since leadership was last confirmed.
        hold: u8,
        /// Steps since the leadership acquisition.
        took: u8,
        entry: Entry,
        /// Steps since this controller last answered a newer report.
        answered: u8,
        /// Whether the worker has shown this controller's fencing token.
        ever: bool,
        /// The newest report that this controller has accepted.
        last: Moment,
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    struct Report {
        /// Highest fencing token that the worker has seen.
        seen: u8,
        at: Moment,
        /// Whether the report lists the task.
        lists: bool,
    }

    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    pub(super) struct World {
        /// Fencing token in the leadership block.
        block: u8,
        controllers: [Controller; 2],
        /// Highest fencing token that the worker has seen.
        seen: u8,
        at: Moment,
        /// Steps since the worker sent the last report that was answered.
        lease: u8,
        /// Whether the task is on the worker.
        on: bool,
        /// How often the task was placed elsewhere.
        elsewhere: u8,
        /// The single report of which copies may arrive at any later time.
        copy: Option<Report>,
        /// An answer in flight: fencing token, `run`, `kill`, and the incarnation and age of the
        /// report that it answers.
        answer: Option<(u8, bool, bool, u8, u8)>,
    }

    const NOBODY: Controller = Controller {
        token: 0,
        hold: H + 1,
        took: 0,
        entry: Entry::Free,
        answered: LEASE + 1,
        ever: false,
        last: (0, 0),
    };

    pub(super) fn begin() -> World {
        let holder = Controller {
            token: 1,
            hold: 0,
            took: TOOK + 1,
            entry: Entry::Committed,
            ever: true,
            ..NOBODY
        };
        World {
            block: 1,
            controllers: [holder, NOBODY],
            seen: 1,
            at: (1, 0),
            lease: 0,
            on: false,
            elsewhere: 0,
            copy: None,
            answer: None,
        }
    }

    /// Whether the task is on the worker and elsewhere at the same time, or on two other workers.
    pub(super) fn broken(w: &World) -> bool {
        w.elsewhere > 1 || w.on && w.elsewhere > 0
    }

    /// Handles a report; returns whether the answer contains the `run` command.
    fn take_in(c: &mut Controller, r: Report, d: Defects) -> bool {
        let newer = c.last < r.at
            || d.stale_reports_accepted
            || d.lower_tenure && r.at.0 != c.last.0 && c.last.0 > 0;
        if !newer {
            return false;
        }
        let ours = r.seen == c.token;
        let session = c.last.0 > 0 && (c.last.0 < r.at.0 || d.lower_tenure && c.last.0 != r.at.0);
        (c.last, c.answered) = (r.at, 0);
        c.ever |= ours;
        c.entry = match c.entry {
            Entry::Elsewhere => Entry::Elsewhere,
            _ if r.lists => Entry::There,
            Entry::Sent(_) if ours && session => Entry::Free,
            Entry::Sent(at) if ours && r.at > at => Entry::Committed,
            Entry::There if ours || d.proof_before_token => Entry::Free,
            other => other,
        };
        let run = ours && c.entry == Entry::Committed;
        if run {
            c.entry = Entry::Sent(r.at);
        }
        run
    }

    /// Every possible next step and the state after it.
    // The function is long because it lists the steps of the model, one entry for each.
    #[allow(clippy::too_many_lines)]
    pub(super) fn next(w: &World, d: Defects) -> Vec<(&'static str, World)> {
        let mut out = Vec::new();
        let mut add = |what, change: &dyn Fn(&mut World)| {
            let mut then = w.clone();
            change(&mut then);
            out.push((what, then));
        };
        add("time passes", &|w| {
            w.lease = older(w.lease, LEASE);
            if w.lease > LEASE {
                (w.on, w.lease, w.at.0) = (false, 0, w.at.0 + 1);
            }
            for c in &mut w.controllers {
                (c.hold, c.took) = (older(c.hold, H), older(c.took, TOOK));
                c.answered = older(c.answered, LEASE);
            }
            let older = |a: (u8, bool, bool, u8, u8)| (a.0, a.1, a.2, a.3, a.4 + 1);
            w.answer = w.answer.map(older).filter(|a| a.4 <= LATE);
        });
        if w.copy.is_none() && w.at.1 < TICKS {
            add("a report is held up", &|w| {
                w.at.1 += 1;
                w.copy = Some(Report {
                    seen: w.seen,
                    at: w.at,
                    lists: w.on,
                });
            });
        }
        for i in 0..2 {
            let c = w.controllers[i];
            if c.token > 0 {
                add(
                    "an exchange",
                    &|w| match w.controllers[i].token == w.block {
                        true => w.controllers[i].hold = 0,
                        false => w.controllers[i] = NOBODY,
                    },
                );
                add("it begins anew", &|w| w.controllers[i] = NOBODY);
            } else if w.block < TAKES {
                add("a take, and the pages are read", &|w| {
                    w.block += 1;
                    let entry = if w.elsewhere > 0 {
                        Entry::Elsewhere
                    } else {
                        Entry::There
                    };
                    w.controllers[i] = Controller {
                        token: w.block,
                        hold: 0,
                        entry,
                        ..NOBODY
                    };
                });
            }
            let entitled = c.token > 0 && c.hold <= H;
            if entitled && w.answer.is_none() && w.at.1 < TICKS {
                for stop in [false, true] {
                    for kept in [false, w.copy.is_none()] {
                        let what = ["a report", "a report and a stop"][usize::from(stop)];
                        add(what, &|w| {
                            w.at.1 += 1;
                            let r = Report {
                                seen: w.seen,
                                at: w.at,
                                lists: w.on,
                            };
                            let c = &mut w.controllers[i];
                            let run = take_in(c, r, d);
                            let kill = stop && c.entry == Entry::There && r.seen == c.token;
                            if kill && d.stop_is_end {
                                c.entry = Entry::Free;
                            }
                            w.answer = Some((c.token, run, kill, w.at.0, 0));
                            if kept {
                                w.copy = Some(r);
                            }
                        });
                    }
                }
            }
            if let (Some(r), true) = (w.copy, entitled) {
                add("a copy of a report", &|w| {
                    take_in(&mut w.controllers[i], r, d);
                });
            }
            let silent =
                c.answered > LEASE && (c.ever || d.silence_from_local_replies || c.took > TOOK);
            // With this defect, a lease must have passed since the leadership acquisition, so that
            // the controller's last answer is old and not merely missing.
            let silent = silent && (!d.silence_from_local_replies || c.ever || c.took > LEASE);
            if c.token > 0 && silent && matches!(c.entry, Entry::There | Entry::Sent(_)) {
                add("silence is proof", &|w| {
                    w.controllers[i].entry = Entry::Free
                });
            }
            let placed = c.token > 0 && c.entry == Entry::Free;
            if placed && (c.token == w.block || d.placements_without_block) {
                add("it is placed elsewhere", &|w| {
                    w.elsewhere += 1;
                    w.controllers[i].entry = Entry::Elsewhere;
                });
            }
        }
        if let Some((token, run, kill, session, age)) = w.answer {
            add("the answer arrives", &|w| {
                w.answer = None;
                if token >= w.seen && session == w.at.0 {
                    (w.seen, w.lease) = (token, age);
                    w.on = (w.on || run) && !kill;
                }
            });
            add("the answer is lost", &|w| w.answer = None);
        }
        out.retain(|(_, w)| w.at.0 <= 2);
        out
    }
}

fn proof(d: Defects) -> Result<usize, Vec<&'static str>> {
    explore(proof::begin(), |w| proof::next(w, d), proof::broken)
}

#[test]
fn a_task_is_never_on_a_worker_and_elsewhere() {
    let states = proof(Defects::default()).unwrap_or_else(|way| panic!("{way:#?}"));
    println!("proof: {states} states, all of them");
    assert!(states > 10_000, "{states}");
}

#[test]
fn the_planted_defects_of_proof_are_found() {
    let none = Defects::default();
    for (name, d) in [
        (
            "proof before the token",
            Defects {
                proof_before_token: true,
                ..none
            },
        ),
        (
            "own silence",
            Defects {
                silence_from_local_replies: true,
                ..none
            },
        ),
        (
            "old reports",
            Defects {
                stale_reports_accepted: true,
                ..none
            },
        ),
        (
            "a lower tenure",
            Defects {
                lower_tenure: true,
                ..none
            },
        ),
        (
            "a stop for an end",
            Defects {
                stop_is_end: true,
                ..none
            },
        ),
        (
            "no block",
            Defects {
                placements_without_block: true,
                ..none
            },
        ),
    ] {
        let way = proof(d).expect_err(name);
        println!("{name}: found after {} steps: {way:?}", way.len());
    }
}
