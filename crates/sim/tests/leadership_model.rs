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
const LEASE_STEPS: u8 = 3;
/// Serving deadline: how long a leader answers after its last exchange with the key-value store,
/// steps.
const SERVING_DEADLINE_STEPS: u8 = 2;
/// Steps within which a cancelled task must have ended.
/// `SERVING_DEADLINE_STEPS + LEASE_STEPS < CANCEL_STEPS`, with one step of margin.
const CANCEL_STEPS: u8 = 6;
/// Steps after which the reply of an exchange is lost.
const MAX_REPLY_AGE: u8 = 2;
/// Steps after which a report or its answer is lost.
const MAX_ANSWER_AGE: u8 = 1;
/// Highest fencing token: number of leadership acquisitions in the cancellation model.
const MAX_TOKENS: u8 = 3;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Defects {
    /// There is no serving deadline (H).
    no_serving_deadline: bool,
    /// H counts from the arrival of the reply instead of the sending of the request.
    deadline_from_reply: bool,
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
    lower_incarnation_is_newer: bool,
    /// A task counts as ended as soon as a stop command has been sent.
    stop_counts_as_end: bool,
    /// Placements are committed without a check of the leadership block.
    placements_without_block: bool,
}

fn increase_age(age: u8, max: u8) -> u8 {
    (age + 1).min(max + 1)
}

/// Searches all reachable states. Returns the number of states, or the steps that lead to a
/// state that violates the invariant.
fn explore<W: Clone + Eq + Hash>(
    initial: W,
    next: impl Fn(&W) -> Vec<(&'static str, W)>,
    violates_invariant: impl Fn(&W) -> bool,
) -> Result<usize, Vec<&'static str>> {
    let mut visited: HashSet<W> = HashSet::from([initial.clone()]);
    let mut predecessors: Vec<(usize, &'static str)> = vec![(0, "")];
    let mut queue = VecDeque::from([(initial, 0)]);
    while let Some((world, state_index)) = queue.pop_front() {
        for (step, successor) in next(&world) {
            if violates_invariant(&successor) {
                let mut path = vec![step];
                let mut index = state_index;
                while index > 0 {
                    path.push(predecessors[index].1);
                    index = predecessors[index].0;
                }
                path.reverse();
                return Err(path);
            }
            if visited.insert(successor.clone()) {
                predecessors.push((state_index, step));
                queue.push_back((successor, predecessors.len() - 1));
            }
        }
        assert!(
            visited.len() < 4_000_000,
            "the model is too large for an exhaustive search"
        );
    }
    Ok(visited.len())
}

// ---- cancellation: leadership, cancellation, stop commands and leases ----

/// A task runs on a worker; its job is cancelled, and leadership may change.
mod cancellation {
    use super::*;

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    struct Controller {
        /// Fencing token of its leadership; 0 if it is not the leader.
        token: u8,
        /// Steps since the request was sent whose reply last confirmed leadership.
        leadership_age: u8,
        /// Steps since the request was sent whose reply last showed the jobs.
        jobs_age: u8,
        /// Whether it knows that the job is cancelled.
        knows_cancellation: bool,
        /// Whether it has read the stored pages since its leadership acquisition.
        pages_read: bool,
    }

    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    pub(super) struct World {
        /// Fencing token in the leadership block.
        block: u8,
        /// Steps since the last leadership acquisition.
        acquisition_age: u8,
        /// Steps since the user was told that the job is cancelled; `None` before that.
        cancellation_age: Option<u8>,
        controllers: [Controller; 2],
        /// Highest fencing token that the worker has seen.
        worker_token: u8,
        /// Steps since the worker sent the last report that was answered.
        lease_age: u8,
        /// Whether the task runs.
        task_runs: bool,
        /// An answer in flight: fencing token, whether it stops the task, age of the report.
        answer: Option<(u8, bool, u8)>,
    }

    const FOLLOWER: Controller = Controller {
        token: 0,
        leadership_age: SERVING_DEADLINE_STEPS + 1,
        jobs_age: SERVING_DEADLINE_STEPS + 1,
        knows_cancellation: false,
        pages_read: false,
    };

    pub(super) fn initial() -> World {
        World {
            block: 1,
            acquisition_age: MAX_REPLY_AGE + 1,
            cancellation_age: None,
            controllers: [
                Controller {
                    token: 1,
                    leadership_age: 0,
                    jobs_age: 0,
                    pages_read: true,
                    ..FOLLOWER
                },
                FOLLOWER,
            ],
            worker_token: 1,
            lease_age: 0,
            task_runs: true,
            answer: None,
        }
    }

    pub(super) fn violates_invariant(w: &World) -> bool {
        w.task_runs && w.cancellation_age.is_some_and(|age| age > CANCEL_STEPS)
    }

    /// Handles the reply to a request that was sent, and processed by the key-value store, `age`
    /// steps ago, so that its content has that age. `jobs` says whether it includes the jobs.
    fn reply(w: &mut World, i: usize, age: u8, includes_jobs: bool, defects: Defects) {
        let cancellation_known = w.cancellation_age.is_some_and(|elapsed| elapsed > age);
        let is_leader = w.controllers[i].token == w.block || w.acquisition_age <= age;
        let content_age = if defects.deadline_from_reply { 0 } else { age };
        let c = &mut w.controllers[i];
        if includes_jobs {
            c.jobs_age = c.jobs_age.min(content_age);
            c.knows_cancellation |= cancellation_known;
        }
        match is_leader && c.token > 0 {
            true => c.leadership_age = c.leadership_age.min(content_age),
            false => {
                *c = Controller {
                    token: 0,
                    leadership_age: SERVING_DEADLINE_STEPS + 1,
                    pages_read: false,
                    ..*c
                }
            }
        }
    }

    /// Every possible next step and the state after it.
    // The function is long because it lists the steps of the model, one entry for each.
    #[allow(clippy::too_many_lines)]
    pub(super) fn next(w: &World, defects: Defects) -> Vec<(&'static str, World)> {
        let mut out = Vec::new();
        if !w.task_runs {
            return out;
        }
        let mut add = |step, change: &dyn Fn(&mut World)| {
            let mut successor = w.clone();
            change(&mut successor);
            out.push((step, successor));
        };
        add("time passes", &|w| {
            w.lease_age = increase_age(w.lease_age, LEASE_STEPS);
            w.task_runs &= w.lease_age <= LEASE_STEPS;
            w.acquisition_age = increase_age(w.acquisition_age, MAX_REPLY_AGE);
            w.cancellation_age = w
                .cancellation_age
                .map(|age| increase_age(age, CANCEL_STEPS));
            for c in &mut w.controllers {
                (c.leadership_age, c.jobs_age) = (
                    increase_age(c.leadership_age, SERVING_DEADLINE_STEPS),
                    increase_age(c.jobs_age, SERVING_DEADLINE_STEPS),
                );
            }
            w.answer = w
                .answer
                .map(|a| (a.0, a.1, a.2 + 1))
                .filter(|a| a.2 <= MAX_ANSWER_AGE);
        });
        if w.cancellation_age.is_none() {
            add("the user is told of the cancellation", &|w| {
                w.cancellation_age = Some(0)
            });
        }
        for i in 0..2 {
            let c = w.controllers[i];
            for age in 0..=MAX_REPLY_AGE {
                let step = ["an exchange", "a late reply", "a very late reply"];
                add(step[usize::from(age)], &|w| reply(w, i, age, true, defects));
                if c.token > 0 {
                    let step = "a reply without the jobs";
                    add(step, &|w| reply(w, i, age, false, defects));
                }
            }
            if c.token == 0 && w.block < MAX_TOKENS {
                add("leadership acquisition", &|w| {
                    (w.block, w.acquisition_age) = (w.block + 1, 0);
                    let c = &mut w.controllers[i];
                    (c.token, c.leadership_age, c.pages_read) = (w.block, 0, false);
                });
            }
            if c.token > 0 && !c.pages_read && c.jobs_age == 0 {
                add("the stored pages are read", &|w| {
                    w.controllers[i].pages_read = true
                });
            }
            if c.token > 0 {
                add("the controller restarts", &|w| w.controllers[i] = FOLLOWER);
            }
            let may_answer = (c.leadership_age <= SERVING_DEADLINE_STEPS
                && (c.jobs_age <= SERVING_DEADLINE_STEPS || defects.serving_deadline_from_lease))
                || defects.no_serving_deadline;
            if c.token > 0 && may_answer && w.answer.is_none() {
                let stops_task = c.knows_cancellation
                    && (!defects.late_cancellation_stops
                        || c.pages_read && w.worker_token == c.token);
                add("a report is answered", &|w| {
                    w.answer = Some((c.token, stops_task, 0))
                });
            }
        }
        if let Some((token, stop, age)) = w.answer {
            add("the answer arrives", &|w| {
                w.answer = None;
                if token >= w.worker_token {
                    (w.worker_token, w.lease_age) = (token, age);
                    w.task_runs &= !stop;
                }
            });
            add("the answer is lost", &|w| w.answer = None);
        }
        out
    }
}

fn check_cancellation(defects: Defects) -> Result<usize, Vec<&'static str>> {
    explore(
        cancellation::initial(),
        |w| cancellation::next(w, defects),
        cancellation::violates_invariant,
    )
}

#[test]
fn cancelled_task_ends_in_time_under_any_leader() {
    let states = check_cancellation(Defects::default()).unwrap_or_else(|path| panic!("{path:#?}"));
    println!("cancellation: all {states} states searched");
    assert!(states > 10_000, "{states}");
}

#[test]
fn injected_defects_of_cancellation_are_found() {
    let none = Defects::default();
    for (name, defects) in [
        (
            "no serving deadline",
            Defects {
                no_serving_deadline: true,
                ..none
            },
        ),
        (
            "serving deadline from the reply",
            Defects {
                deadline_from_reply: true,
                ..none
            },
        ),
        (
            "serving deadline from the lease alone",
            Defects {
                serving_deadline_from_lease: true,
                ..none
            },
        ),
        (
            "late stops of cancelled tasks",
            Defects {
                late_cancellation_stops: true,
                ..none
            },
        ),
    ] {
        let path = check_cancellation(defects).expect_err(name);
        println!("{name}: found after {} steps: {path:?}", path.len());
    }
}

// ---- proof of absence: a task placed by one leader and placed again by another ----

/// A placement on a worker is committed, but its `run` command is not sent yet. Leadership may
/// change, and the task may be placed elsewhere once it is known not to be on the worker.
mod absence_proof {
    use super::*;

    /// Largest age of a leadership acquisition that the model distinguishes, steps.
    const MAX_ACQUISITION_AGE: u8 = SERVING_DEADLINE_STEPS + LEASE_STEPS;
    /// Number of reports in the model.
    const MAX_REPORTS: u8 = 3;
    /// Number of leadership acquisitions in the model, including the initial one.
    const MAX_ACQUISITIONS: u8 = 2;

    /// Incarnation and sequence of a worker's report.
    type ReportNumber = (u8, u8);

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    enum Entry {
        Free,
        /// The placement is committed; its `run` command has not been sent.
        Committed,
        /// The `run` command was sent in the answer to this report.
        Sent(ReportNumber),
        /// The task is listed in a report, or was found in a stored page of an earlier leader.
        OnWorker,
        Elsewhere,
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    struct Controller {
        /// Fencing token of its leadership; 0 if it is not the leader.
        token: u8,
        /// Steps since leadership was last confirmed.
        leadership_age: u8,
        /// Steps since the leadership acquisition.
        acquisition_age: u8,
        entry: Entry,
        /// Steps since this controller last answered a newer report.
        answer_age: u8,
        /// Whether the worker has shown this controller's fencing token.
        token_shown: bool,
        /// The newest report that this controller has accepted.
        last_report: ReportNumber,
    }

    #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
    struct Report {
        /// Highest fencing token that the worker has seen.
        worker_token: u8,
        number: ReportNumber,
        /// Whether the report lists the task.
        lists: bool,
    }

    #[derive(Clone, Debug, PartialEq, Eq, Hash)]
    pub(super) struct World {
        /// Fencing token in the leadership block.
        block: u8,
        controllers: [Controller; 2],
        /// Highest fencing token that the worker has seen.
        worker_token: u8,
        number: ReportNumber,
        /// Steps since the worker sent the last report that was answered.
        lease_age: u8,
        /// Whether the task is on the worker.
        on_worker: bool,
        /// How often the task was placed elsewhere.
        elsewhere: u8,
        /// The single report of which copies may arrive at any later time.
        copy: Option<Report>,
        /// An answer in flight: fencing token, `run`, `kill`, and the incarnation and age of the
        /// report that it answers.
        answer: Option<(u8, bool, bool, u8, u8)>,
    }

    const FOLLOWER: Controller = Controller {
        token: 0,
        leadership_age: SERVING_DEADLINE_STEPS + 1,
        acquisition_age: 0,
        entry: Entry::Free,
        answer_age: LEASE_STEPS + 1,
        token_shown: false,
        last_report: (0, 0),
    };

    pub(super) fn initial() -> World {
        let leader = Controller {
            token: 1,
            leadership_age: 0,
            acquisition_age: MAX_ACQUISITION_AGE + 1,
            entry: Entry::Committed,
            token_shown: true,
            ..FOLLOWER
        };
        World {
            block: 1,
            controllers: [leader, FOLLOWER],
            worker_token: 1,
            number: (1, 0),
            lease_age: 0,
            on_worker: false,
            elsewhere: 0,
            copy: None,
            answer: None,
        }
    }

    /// Whether the task is on the worker and elsewhere at the same time, or on two other workers.
    pub(super) fn violates_invariant(w: &World) -> bool {
        w.elsewhere > 1 || w.on_worker && w.elsewhere > 0
    }

    /// Handles a report; returns whether the answer contains the `run` command.
    fn accept_report(c: &mut Controller, r: Report, defects: Defects) -> bool {
        let is_newer = c.last_report < r.number
            || defects.stale_reports_accepted
            || defects.lower_incarnation_is_newer
                && r.number.0 != c.last_report.0
                && c.last_report.0 > 0;
        if !is_newer {
            return false;
        }
        let token_matches = r.worker_token == c.token;
        let new_incarnation = c.last_report.0 > 0
            && (c.last_report.0 < r.number.0
                || defects.lower_incarnation_is_newer && c.last_report.0 != r.number.0);
        (c.last_report, c.answer_age) = (r.number, 0);
        c.token_shown |= token_matches;
        c.entry = match c.entry {
            Entry::Elsewhere => Entry::Elsewhere,
            _ if r.lists => Entry::OnWorker,
            Entry::Sent(_) if token_matches && new_incarnation => Entry::Free,
            Entry::Sent(number) if token_matches && r.number > number => Entry::Committed,
            Entry::OnWorker if token_matches || defects.proof_before_token => Entry::Free,
            other => other,
        };
        let run = token_matches && c.entry == Entry::Committed;
        if run {
            c.entry = Entry::Sent(r.number);
        }
        run
    }

    /// Every possible next step and the state after it.
    // The function is long because it lists the steps of the model, one entry for each.
    #[allow(clippy::too_many_lines)]
    pub(super) fn next(w: &World, defects: Defects) -> Vec<(&'static str, World)> {
        let mut out = Vec::new();
        let mut add = |step, change: &dyn Fn(&mut World)| {
            let mut successor = w.clone();
            change(&mut successor);
            out.push((step, successor));
        };
        add("time passes", &|w| {
            w.lease_age = increase_age(w.lease_age, LEASE_STEPS);
            if w.lease_age > LEASE_STEPS {
                (w.on_worker, w.lease_age, w.number.0) = (false, 0, w.number.0 + 1);
            }
            for c in &mut w.controllers {
                (c.leadership_age, c.acquisition_age) = (
                    increase_age(c.leadership_age, SERVING_DEADLINE_STEPS),
                    increase_age(c.acquisition_age, MAX_ACQUISITION_AGE),
                );
                c.answer_age = increase_age(c.answer_age, LEASE_STEPS);
            }
            let aged = |a: (u8, bool, bool, u8, u8)| (a.0, a.1, a.2, a.3, a.4 + 1);
            w.answer = w.answer.map(aged).filter(|a| a.4 <= MAX_ANSWER_AGE);
        });
        if w.copy.is_none() && w.number.1 < MAX_REPORTS {
            add("a report is delayed", &|w| {
                w.number.1 += 1;
                w.copy = Some(Report {
                    worker_token: w.worker_token,
                    number: w.number,
                    lists: w.on_worker,
                });
            });
        }
        for i in 0..2 {
            let c = w.controllers[i];
            if c.token > 0 {
                add(
                    "an exchange",
                    &|w| match w.controllers[i].token == w.block {
                        true => w.controllers[i].leadership_age = 0,
                        false => w.controllers[i] = FOLLOWER,
                    },
                );
                add("the controller restarts", &|w| w.controllers[i] = FOLLOWER);
            } else if w.block < MAX_ACQUISITIONS {
                add(
                    "leadership acquisition and read of the stored pages",
                    &|w| {
                        w.block += 1;
                        let entry = if w.elsewhere > 0 {
                            Entry::Elsewhere
                        } else {
                            Entry::OnWorker
                        };
                        w.controllers[i] = Controller {
                            token: w.block,
                            leadership_age: 0,
                            entry,
                            ..FOLLOWER
                        };
                    },
                );
            }
            let may_answer = c.token > 0 && c.leadership_age <= SERVING_DEADLINE_STEPS;
            if may_answer && w.answer.is_none() && w.number.1 < MAX_REPORTS {
                for stop in [false, true] {
                    for is_copied in [false, w.copy.is_none()] {
                        let step = ["a report", "a report and a stop"][usize::from(stop)];
                        add(step, &|w| {
                            w.number.1 += 1;
                            let r = Report {
                                worker_token: w.worker_token,
                                number: w.number,
                                lists: w.on_worker,
                            };
                            let c = &mut w.controllers[i];
                            let run = accept_report(c, r, defects);
                            let kill =
                                stop && c.entry == Entry::OnWorker && r.worker_token == c.token;
                            if kill && defects.stop_counts_as_end {
                                c.entry = Entry::Free;
                            }
                            w.answer = Some((c.token, run, kill, w.number.0, 0));
                            if is_copied {
                                w.copy = Some(r);
                            }
                        });
                    }
                }
            }
            if let (Some(r), true) = (w.copy, may_answer) {
                add("a copy of a report", &|w| {
                    accept_report(&mut w.controllers[i], r, defects);
                });
            }
            let presumed_dead = c.answer_age > LEASE_STEPS
                && (c.token_shown
                    || defects.silence_from_local_replies
                    || c.acquisition_age > MAX_ACQUISITION_AGE);
            // With this defect, a lease must have passed since the leadership acquisition, so that
            // the controller's last answer is old and not merely missing.
            let presumed_dead = presumed_dead
                && (!defects.silence_from_local_replies
                    || c.token_shown
                    || c.acquisition_age > LEASE_STEPS);
            if c.token > 0 && presumed_dead && matches!(c.entry, Entry::OnWorker | Entry::Sent(_)) {
                add("the unreachable worker is presumed dead", &|w| {
                    w.controllers[i].entry = Entry::Free
                });
            }
            let may_be_placed = c.token > 0 && c.entry == Entry::Free;
            if may_be_placed && (c.token == w.block || defects.placements_without_block) {
                add("the task is placed elsewhere", &|w| {
                    w.elsewhere += 1;
                    w.controllers[i].entry = Entry::Elsewhere;
                });
            }
        }
        if let Some((token, run, kill, incarnation, age)) = w.answer {
            add("the answer arrives", &|w| {
                w.answer = None;
                if token >= w.worker_token && incarnation == w.number.0 {
                    (w.worker_token, w.lease_age) = (token, age);
                    w.on_worker = (w.on_worker || run) && !kill;
                }
            });
            add("the answer is lost", &|w| w.answer = None);
        }
        out.retain(|(_, w)| w.number.0 <= 2);
        out
    }
}

fn check_absence_proof(defects: Defects) -> Result<usize, Vec<&'static str>> {
    explore(
        absence_proof::initial(),
        |w| absence_proof::next(w, defects),
        absence_proof::violates_invariant,
    )
}

#[test]
fn task_is_never_on_a_worker_and_elsewhere() {
    let states = check_absence_proof(Defects::default()).unwrap_or_else(|path| panic!("{path:#?}"));
    println!("proof of absence: all {states} states searched");
    assert!(states > 10_000, "{states}");
}

#[test]
fn injected_defects_of_absence_proof_are_found() {
    let none = Defects::default();
    for (name, defects) in [
        (
            "proof of absence before the fencing token",
            Defects {
                proof_before_token: true,
                ..none
            },
        ),
        (
            "unreachable by local replies alone",
            Defects {
                silence_from_local_replies: true,
                ..none
            },
        ),
        (
            "stale reports accepted",
            Defects {
                stale_reports_accepted: true,
                ..none
            },
        ),
        (
            "lower incarnation accepted",
            Defects {
                lower_incarnation_is_newer: true,
                ..none
            },
        ),
        (
            "stop command counts as end",
            Defects {
                stop_counts_as_end: true,
                ..none
            },
        ),
        (
            "placement without the leadership block",
            Defects {
                placements_without_block: true,
                ..none
            },
        ),
    ] {
        let path = check_absence_proof(defects).expect_err(name);
        println!("{name}: found after {} steps: {path:?}", path.len());
    }
}
