//! A model of leadership, leadership acquisition, cancellation, unreachable workers and proof
//! of absence. Time passes in coarse steps, since the model is about the serving deadline (H)
//! and leases. Two small models are each searched exhaustively: every order of the steps of
//! two controllers, the key-value store, a worker and a user.
//!
//! The model does not use the production types for leader election, the replica cache and
//! placement: they use microseconds and string names, so that no two of their states are equal
//! and a search would never return to a known state. The scenarios test the production types.
//! The model shows that the rules which these follow are sufficient, and which rules are
//! necessary: the search must find each injected defect.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// Duration of a worker's lease, steps.
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
    /// After a leadership acquisition, a worker is presumed dead once this controller has not
    /// answered it for a lease. Without the defect, the worker must also have shown this
    /// controller's fencing token, or the serving deadline and a lease must have passed since the
    /// acquisition, because an earlier leader may have answered the worker.
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

    pub(super) fn violates_invariant(world: &World) -> bool {
        world.task_runs && world.cancellation_age.is_some_and(|age| age > CANCEL_STEPS)
    }

    /// Handles the reply to a request that was sent, and processed by the key-value store, `age`
    /// steps ago, so that its content has that age. `includes_jobs` says whether it includes the
    /// jobs.
    fn reply(world: &mut World, i: usize, age: u8, includes_jobs: bool, defects: Defects) {
        let cancellation_known = world.cancellation_age.is_some_and(|elapsed| elapsed > age);
        let is_leader = world.controllers[i].token == world.block || world.acquisition_age <= age;
        let content_age = if defects.deadline_from_reply { 0 } else { age };
        let controller = &mut world.controllers[i];
        if includes_jobs {
            controller.jobs_age = controller.jobs_age.min(content_age);
            controller.knows_cancellation |= cancellation_known;
        }
        match is_leader && controller.token > 0 {
            true => controller.leadership_age = controller.leadership_age.min(content_age),
            false => {
                *controller = Controller {
                    token: 0,
                    leadership_age: SERVING_DEADLINE_STEPS + 1,
                    pages_read: false,
                    ..*controller
                }
            }
        }
    }

    /// Every possible next step and the state after it.
    // The function is long because it lists the steps of the model, one entry for each.
    #[allow(clippy::too_many_lines)]
    pub(super) fn next(world: &World, defects: Defects) -> Vec<(&'static str, World)> {
        let mut out = Vec::new();
        if !world.task_runs {
            return out;
        }
        let mut add = |step, change: &dyn Fn(&mut World)| {
            let mut successor = world.clone();
            change(&mut successor);
            out.push((step, successor));
        };
        add("time passes", &|world| {
            world.lease_age = increase_age(world.lease_age, LEASE_STEPS);
            world.task_runs &= world.lease_age <= LEASE_STEPS;
            world.acquisition_age = increase_age(world.acquisition_age, MAX_REPLY_AGE);
            world.cancellation_age = world
                .cancellation_age
                .map(|age| increase_age(age, CANCEL_STEPS));
            for controller in &mut world.controllers {
                (controller.leadership_age, controller.jobs_age) = (
                    increase_age(controller.leadership_age, SERVING_DEADLINE_STEPS),
                    increase_age(controller.jobs_age, SERVING_DEADLINE_STEPS),
                );
            }
            world.answer = world
                .answer
                .map(|a| (a.0, a.1, a.2 + 1))
                .filter(|a| a.2 <= MAX_ANSWER_AGE);
        });
        if world.cancellation_age.is_none() {
            add("the user is told of the cancellation", &|world| {
                world.cancellation_age = Some(0)
            });
        }
        for i in 0..2 {
            let controller = world.controllers[i];
            for age in 0..=MAX_REPLY_AGE {
                let step = ["an exchange", "a late reply", "a very late reply"];
                add(step[usize::from(age)], &|world| {
                    reply(world, i, age, true, defects)
                });
                if controller.token > 0 {
                    let step = "a reply without the jobs";
                    add(step, &|world| reply(world, i, age, false, defects));
                }
            }
            if controller.token == 0 && world.block < MAX_TOKENS {
                add("leadership acquisition", &|world| {
                    (world.block, world.acquisition_age) = (world.block + 1, 0);
                    let controller = &mut world.controllers[i];
                    (
                        controller.token,
                        controller.leadership_age,
                        controller.pages_read,
                    ) = (world.block, 0, false);
                });
            }
            if controller.token > 0 && !controller.pages_read && controller.jobs_age == 0 {
                add("the stored pages are read", &|world| {
                    world.controllers[i].pages_read = true
                });
            }
            if controller.token > 0 {
                add("the controller restarts", &|world| {
                    world.controllers[i] = FOLLOWER
                });
            }
            let may_answer = (controller.leadership_age <= SERVING_DEADLINE_STEPS
                && (controller.jobs_age <= SERVING_DEADLINE_STEPS
                    || defects.serving_deadline_from_lease))
                || defects.no_serving_deadline;
            if controller.token > 0 && may_answer && world.answer.is_none() {
                let stops_task = controller.knows_cancellation
                    && (!defects.late_cancellation_stops
                        || controller.pages_read && world.worker_token == controller.token);
                add("a report is answered", &|world| {
                    world.answer = Some((controller.token, stops_task, 0))
                });
            }
        }
        if let Some((token, stop, age)) = world.answer {
            add("the answer arrives", &|world| {
                world.answer = None;
                if token >= world.worker_token {
                    (world.worker_token, world.lease_age) = (token, age);
                    world.task_runs &= !stop;
                }
            });
            add("the answer is lost", &|world| world.answer = None);
        }
        out
    }
}

fn check_cancellation(defects: Defects) -> Result<usize, Vec<&'static str>> {
    explore(
        cancellation::initial(),
        |world| cancellation::next(world, defects),
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
    pub(super) fn violates_invariant(world: &World) -> bool {
        world.elsewhere > 1 || world.on_worker && world.elsewhere > 0
    }

    /// Handles a report; returns whether the answer contains the `run` command.
    fn accept_report(controller: &mut Controller, report: Report, defects: Defects) -> bool {
        let is_newer = controller.last_report < report.number
            || defects.stale_reports_accepted
            || defects.lower_incarnation_is_newer
                && report.number.0 != controller.last_report.0
                && controller.last_report.0 > 0;
        if !is_newer {
            return false;
        }
        let token_matches = report.worker_token == controller.token;
        let new_incarnation = controller.last_report.0 > 0
            && (controller.last_report.0 < report.number.0
                || defects.lower_incarnation_is_newer
                    && controller.last_report.0 != report.number.0);
        (controller.last_report, controller.answer_age) = (report.number, 0);
        controller.token_shown |= token_matches;
        controller.entry = match controller.entry {
            Entry::Elsewhere => Entry::Elsewhere,
            _ if report.lists => Entry::OnWorker,
            Entry::Sent(_) if token_matches && new_incarnation => Entry::Free,
            Entry::Sent(number) if token_matches && report.number > number => Entry::Committed,
            Entry::OnWorker if token_matches || defects.proof_before_token => Entry::Free,
            other => other,
        };
        let run = token_matches && controller.entry == Entry::Committed;
        if run {
            controller.entry = Entry::Sent(report.number);
        }
        run
    }

    /// Every possible next step and the state after it.
    // The function is long because it lists the steps of the model, one entry for each.
    #[allow(clippy::too_many_lines)]
    pub(super) fn next(world: &World, defects: Defects) -> Vec<(&'static str, World)> {
        let mut out = Vec::new();
        let mut add = |step, change: &dyn Fn(&mut World)| {
            let mut successor = world.clone();
            change(&mut successor);
            out.push((step, successor));
        };
        add("time passes", &|world| {
            world.lease_age = increase_age(world.lease_age, LEASE_STEPS);
            if world.lease_age > LEASE_STEPS {
                (world.on_worker, world.lease_age, world.number.0) = (false, 0, world.number.0 + 1);
            }
            for controller in &mut world.controllers {
                (controller.leadership_age, controller.acquisition_age) = (
                    increase_age(controller.leadership_age, SERVING_DEADLINE_STEPS),
                    increase_age(controller.acquisition_age, MAX_ACQUISITION_AGE),
                );
                controller.answer_age = increase_age(controller.answer_age, LEASE_STEPS);
            }
            let aged = |a: (u8, bool, bool, u8, u8)| (a.0, a.1, a.2, a.3, a.4 + 1);
            world.answer = world.answer.map(aged).filter(|a| a.4 <= MAX_ANSWER_AGE);
        });
        if world.copy.is_none() && world.number.1 < MAX_REPORTS {
            add("a report is delayed", &|world| {
                world.number.1 += 1;
                world.copy = Some(Report {
                    worker_token: world.worker_token,
                    number: world.number,
                    lists: world.on_worker,
                });
            });
        }
        for i in 0..2 {
            let controller = world.controllers[i];
            if controller.token > 0 {
                add(
                    "an exchange",
                    &|world| match world.controllers[i].token == world.block {
                        true => world.controllers[i].leadership_age = 0,
                        false => world.controllers[i] = FOLLOWER,
                    },
                );
                add("the controller restarts", &|world| {
                    world.controllers[i] = FOLLOWER
                });
            } else if world.block < MAX_ACQUISITIONS {
                add(
                    "leadership acquisition and read of the stored pages",
                    &|world| {
                        world.block += 1;
                        let entry = if world.elsewhere > 0 {
                            Entry::Elsewhere
                        } else {
                            Entry::OnWorker
                        };
                        world.controllers[i] = Controller {
                            token: world.block,
                            leadership_age: 0,
                            entry,
                            ..FOLLOWER
                        };
                    },
                );
            }
            let may_answer =
                controller.token > 0 && controller.leadership_age <= SERVING_DEADLINE_STEPS;
            if may_answer && world.answer.is_none() && world.number.1 < MAX_REPORTS {
                for stop in [false, true] {
                    for is_copied in [false, world.copy.is_none()] {
                        let step = ["a report", "a report and a stop"][usize::from(stop)];
                        add(step, &|world| {
                            world.number.1 += 1;
                            let report = Report {
                                worker_token: world.worker_token,
                                number: world.number,
                                lists: world.on_worker,
                            };
                            let controller = &mut world.controllers[i];
                            let run = accept_report(controller, report, defects);
                            let kill = stop
                                && controller.entry == Entry::OnWorker
                                && report.worker_token == controller.token;
                            if kill && defects.stop_counts_as_end {
                                controller.entry = Entry::Free;
                            }
                            world.answer = Some((controller.token, run, kill, world.number.0, 0));
                            if is_copied {
                                world.copy = Some(report);
                            }
                        });
                    }
                }
            }
            if let (Some(report), true) = (world.copy, may_answer) {
                add("a copy of a report", &|world| {
                    accept_report(&mut world.controllers[i], report, defects);
                });
            }
            let presumed_dead = controller.answer_age > LEASE_STEPS
                && (controller.token_shown
                    || defects.silence_from_local_replies
                    || controller.acquisition_age > MAX_ACQUISITION_AGE);
            // With `silence_from_local_replies`, a lease must have passed since the leadership
            // acquisition, so that the controller's last answer is old and not merely missing.
            let presumed_dead = presumed_dead
                && (!defects.silence_from_local_replies
                    || controller.token_shown
                    || controller.acquisition_age > LEASE_STEPS);
            if controller.token > 0
                && presumed_dead
                && matches!(controller.entry, Entry::OnWorker | Entry::Sent(_))
            {
                add("the unreachable worker is presumed dead", &|world| {
                    world.controllers[i].entry = Entry::Free
                });
            }
            let may_be_placed = controller.token > 0 && controller.entry == Entry::Free;
            if may_be_placed
                && (controller.token == world.block || defects.placements_without_block)
            {
                add("the task is placed elsewhere", &|world| {
                    world.elsewhere += 1;
                    world.controllers[i].entry = Entry::Elsewhere;
                });
            }
        }
        if let Some((token, run, kill, incarnation, age)) = world.answer {
            add("the answer arrives", &|world| {
                world.answer = None;
                if token >= world.worker_token && incarnation == world.number.0 {
                    (world.worker_token, world.lease_age) = (token, age);
                    world.on_worker = (world.on_worker || run) && !kill;
                }
            });
            add("the answer is lost", &|world| world.answer = None);
        }
        out.retain(|(_, world)| world.number.0 <= 2);
        out
    }
}

fn check_absence_proof(defects: Defects) -> Result<usize, Vec<&'static str>> {
    explore(
        absence_proof::initial(),
        |world| absence_proof::next(world, defects),
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
