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
struct StepBudget {
    restarts: u8,
    transfers: u8,
    acquisitions: u8,
    reassignments: u8,
    shifts: u8,
    task_losses: u8,
    reports: [u8; 2],
    /// Initial division of the team's limit among the slots.
    quota_parts: [u64; 2],
    /// Number of times that each report is delivered, to any controller.
    deliveries: u8,
    lost_replies: u8,
}

/// State of a task's attempt in a slot, as known to the slot's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Attempt {
    Unplaced,
    /// The placement transaction was sent and its outcome is not known.
    Planned,
    /// The placement was committed, and the `run` directive was not sent or was not received.
    Committed(u64),
    /// The `run` directive was sent in the answer to the report with this sequence.
    RunSent(u64, u8),
    /// The attempt occurred in a report.
    Reported(u64),
    /// The placement was found when the owner read the slot's records.
    Inherited(u64),
    /// The transaction that ends the attempt was sent.
    Ending(u64),
}

/// Contents of a slot's keys as known to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SlotView {
    token: u64,
    /// Slot to which each task is assigned, and the key's revision.
    assignment: [(u8, u64); 2],
    /// Revision of each task's placement key.
    placement: [u64; 2],
    attempts: [Attempt; 2],
    /// Units of the slot's quota part, and the key's revision.
    quota_part: (u64, u64),
    /// The outcome of a quota shift is unknown; its unit counts as shifted to the other slot.
    shift_unconfirmed: bool,
    /// Sequence of the last handled report.
    last_sequence: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Controller {
    process_nonce: u64,
    ownership: SlotOwnership,
    views: [Option<SlotView>; 2],
    in_flight: [bool; 2],
}

/// Operation of a transaction, with the expected revisions of the keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Operation {
    SetOwner(SlotWrite),
    Place {
        task: usize,
        assignment: u64,
        placement: u64,
    },
    /// Removes the placement of an ended attempt.
    End {
        task: usize,
        placement: u64,
    },
    Reassign {
        task: usize,
        assignment: u64,
        placement: u64,
    },
    /// Shifts a quota unit from the transaction's slot to the other slot.
    ShiftQuota {
        source: u64,
        target: u64,
    },
    /// Rewrites the slot's quota part unchanged, so that a shift of unknown outcome cannot be
    /// applied later.
    ConfirmQuota {
        source: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Transaction {
    sender: usize,
    process_nonce: u64,
    slot: usize,
    token: u64,
    operation: Operation,
    /// Its sender got no reply or restarted; the transaction may still be applied.
    reply_lost: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Report {
    slot: usize,
    sequence: u8,
    seen_token: u64,
    tasks: Vec<(usize, u64)>,
    /// Number of times that the report may still be delivered.
    deliveries: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Answer {
    slot: usize,
    sequence: u8,
    token: u64,
    started_attempts: Vec<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Worker {
    /// Highest token that the worker has received.
    seen_token: u64,
    sequence: u8,
    awaits_answer: bool,
    tasks: Vec<(usize, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    revision: u64,
    slot: [SlotRecord; 2],
    /// Slot to which each task is assigned, and the key's revision.
    assignment: [(u8, u64); 2],
    /// Slot and attempt of each task's placement, `None` if the task is not placed; and the key's
    /// revision.
    placement: [(Option<(u8, u64)>, u64); 2],
    /// Units of each slot's quota part, and the key's revision.
    quota_part: [(u64, u64); 2],
    controllers: [Controller; 2],
    transactions: Vec<Transaction>,
    reports: Vec<Report>,
    answers: Vec<Answer>,
    workers: [Worker; 2],
    budget: StepBudget,
}

fn process_id(controller: usize, process_nonce: u64) -> ProcessId {
    ProcessId {
        label: ["a", "b"][controller].into(),
        nonce: process_nonce,
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

fn initial_state(budget: StepBudget) -> ModelState {
    let record = |controller: usize, revision: u64| SlotRecord {
        owner: Some(process_id(controller, 0)),
        revision: Revision(revision),
    };
    let slot = [record(0, 1), record(1, 2)];
    let controller_at = |controller: usize| {
        let mut ownership = SlotOwnership::new(process_id(controller, 0), two_slots());
        for (slot_id, record) in slot.iter().enumerate() {
            ownership.on_record(Slot(slot_id as u16), record.clone());
        }
        Controller {
            process_nonce: 0,
            ownership,
            views: [None, None],
            in_flight: [false; 2],
        }
    };
    let worker_with_token = |seen_token| Worker {
        seen_token,
        sequence: 0,
        awaits_answer: false,
        tasks: Vec::new(),
    };
    let mut state = ModelState {
        revision: 8,
        controllers: [controller_at(0), controller_at(1)],
        slot,
        assignment: [(0, 3), (0, 4)],
        placement: [(None, 0), (None, 0)],
        quota_part: [(budget.quota_parts[0], 5), (budget.quota_parts[1], 6)],
        transactions: Vec::new(),
        reports: Vec::new(),
        answers: Vec::new(),
        workers: [worker_with_token(1), worker_with_token(2)],
        budget,
    };
    for controller in 0..2 {
        state.read_slot(controller, controller);
    }
    state
}

type Step<'a> = dyn FnMut(&dyn Fn() -> String, &dyn Fn(&mut ModelState)) + 'a;

impl ModelState {
    /// Removes transactions, answers and reports that can have no effect any more. A transaction
    /// whose conditions failed stays ineffective because revisions and sequences only increase.
    fn prune_ineffective(&mut self) {
        let mut transactions = std::mem::take(&mut self.transactions);
        let current = self.clone();
        transactions.retain(|transaction| {
            let mut state = current.clone();
            !transaction.reply_lost
                || state.apply(transaction, Defect::None) != WriteOutcome::Conflict
        });
        transactions.sort_by_key(|transaction| {
            (
                transaction.sender,
                transaction.slot,
                transaction.reply_lost,
                transaction.token,
            )
        });
        self.transactions = transactions;
        let workers = &self.workers;
        let is_awaited = |answer: &Answer| {
            workers[answer.slot].awaits_answer && workers[answer.slot].sequence == answer.sequence
        };
        self.answers.retain(is_awaited);
        self.reports.retain(|report| report.deliveries > 0);
    }

    fn read_slot(&mut self, controller: usize, slot_id: usize) {
        let Some(token) = self.controllers[controller]
            .ownership
            .token(Slot(slot_id as u16))
        else {
            return;
        };
        let attempt_state = |task_id: usize| match self.placement[task_id].0 {
            Some((placed_slot, attempt)) if usize::from(placed_slot) == slot_id => {
                Attempt::Inherited(attempt)
            }
            _ => Attempt::Unplaced,
        };
        self.controllers[controller].views[slot_id] = Some(SlotView {
            token: token.0,
            assignment: self.assignment,
            placement: [self.placement[0].1, self.placement[1].1],
            attempts: [attempt_state(0), attempt_state(1)],
            quota_part: self.quota_part[slot_id],
            shift_unconfirmed: false,
            last_sequence: 0,
        });
    }

    /// Applies a transaction if its conditions hold, and returns the outcome.
    fn apply(&mut self, transaction: &Transaction, defect: Defect) -> WriteOutcome {
        let slot_id = transaction.slot;
        let owner_matches = match transaction.operation {
            Operation::SetOwner(ref write) => self.slot[slot_id].revision == write.expected,
            Operation::Place { .. } if defect == Defect::Unconditional => true,
            _ => self.slot[slot_id].revision.0 == transaction.token,
        };
        let conditions_hold = owner_matches
            && match transaction.operation {
                Operation::SetOwner(_) => true,
                Operation::Place {
                    task,
                    assignment,
                    placement,
                } => self.assignment[task].1 == assignment && self.placement[task].1 == placement,
                Operation::End { task, placement } => self.placement[task].1 == placement,
                Operation::Reassign {
                    task,
                    assignment,
                    placement,
                } => {
                    let placement_unchanged =
                        defect == Defect::GrantedTwice || self.placement[task].1 == placement;
                    self.assignment[task].1 == assignment && placement_unchanged
                }
                Operation::ShiftQuota { source, target } => {
                    self.quota_part[slot_id].1 == source && self.quota_part[1 - slot_id].1 == target
                }
                Operation::ConfirmQuota { source } => self.quota_part[slot_id].1 == source,
            };
        if !conditions_hold {
            return WriteOutcome::Conflict;
        }
        self.revision += 1;
        let revision = self.revision;
        match &transaction.operation {
            Operation::SetOwner(write) => {
                self.slot[slot_id] = SlotRecord {
                    owner: Some(write.owner.clone()),
                    revision: Revision(revision),
                }
            }
            Operation::Place { task, .. } => {
                self.placement[*task] = (Some((slot_id as u8, revision)), revision)
            }
            Operation::End { task, .. } => self.placement[*task] = (None, revision),
            Operation::Reassign { task, .. } => {
                self.assignment[*task] = ((1 - slot_id) as u8, revision);
                if defect == Defect::GrantedTwice {
                    self.placement[*task] = (None, revision);
                }
            }
            Operation::ShiftQuota { .. } => {
                self.quota_part[slot_id] = (self.quota_part[slot_id].0 - 1, revision);
                self.quota_part[1 - slot_id] = (self.quota_part[1 - slot_id].0 + 1, revision);
            }
            Operation::ConfirmQuota { .. } => self.quota_part[slot_id].1 = revision,
        }
        WriteOutcome::Applied(Revision(revision))
    }

    /// Delivers the outcome of a transaction to its sender.
    fn deliver_outcome(
        &mut self,
        transaction: &Transaction,
        outcome: WriteOutcome,
        defect: Defect,
    ) {
        let sender = &mut self.controllers[transaction.sender];
        if sender.process_nonce != transaction.process_nonce {
            return;
        }
        sender.in_flight[transaction.slot] = false;
        if let Operation::SetOwner(write) = &transaction.operation {
            sender.ownership.on_write(write, outcome);
            return;
        }
        let applied = match outcome {
            WriteOutcome::Applied(revision) => Some(revision.0),
            _ => None,
        };
        let Some(view) = sender.views[transaction.slot]
            .as_mut()
            .filter(|view| view.token == transaction.token)
        else {
            return;
        };
        match (&transaction.operation, applied) {
            (Operation::Place { task, .. }, Some(revision)) => {
                (view.placement[*task], view.attempts[*task]) =
                    (revision, Attempt::Committed(revision));
            }
            (Operation::End { task, .. }, Some(revision)) => {
                (view.placement[*task], view.attempts[*task]) = (revision, Attempt::Unplaced)
            }
            (Operation::Reassign { task, .. }, Some(revision)) => {
                view.assignment[*task] = ((1 - transaction.slot) as u8, revision);
                if defect == Defect::GrantedTwice {
                    (view.placement[*task], view.attempts[*task]) = (revision, Attempt::Unplaced);
                }
            }
            (Operation::ShiftQuota { .. }, Some(revision)) => {
                view.quota_part = (view.quota_part.0 - 1, revision)
            }
            (Operation::ConfirmQuota { .. }, Some(revision)) => {
                (view.quota_part.1, view.shift_unconfirmed) = (revision, false)
            }
            (Operation::ShiftQuota { .. }, None) if outcome == WriteOutcome::Unknown => {
                view.shift_unconfirmed = defect != Defect::PartUsedAgain;
            }
            // After any other outcome, the slot's keys must be read again.
            _ => sender.views[transaction.slot] = None,
        }
    }

    fn send(&mut self, controller: usize, slot: usize, token: u64, operation: Operation) {
        self.controllers[controller].in_flight[slot] = true;
        let process_nonce = self.controllers[controller].process_nonce;
        self.transactions.push(Transaction {
            sender: controller,
            process_nonce,
            slot,
            token,
            operation,
            reply_lost: false,
        });
    }

    /// Delivers a report of a slot's machine to a controller, which answers it if it owns the slot.
    fn handle_report(&mut self, to: usize, report: &Report, defect: Defect) {
        let slot_id = report.slot;
        let Some(token) = self.controllers[to].ownership.token(Slot(slot_id as u16)) else {
            return;
        };
        if report.seen_token > token.0 && defect != Defect::OneToken {
            self.controllers[to].ownership.on_lost(Slot(slot_id as u16));
            return;
        }
        let answer_token = if defect == Defect::OneToken {
            1
        } else {
            token.0
        };
        let Some(view) = self.controllers[to].views[slot_id]
            .as_mut()
            .filter(|view| view.token == token.0)
        else {
            return;
        };
        let mut answer = Answer {
            slot: slot_id,
            sequence: report.sequence,
            token: answer_token,
            started_attempts: Vec::new(),
        };
        if report.sequence > view.last_sequence {
            view.last_sequence = report.sequence;
            let token_seen = report.seen_token == answer_token || defect == Defect::EarlyProof;
            let mut ended = None;
            for task_id in 0..2 {
                let reported = |id: u64| report.tasks.contains(&(task_id, id));
                match view.attempts[task_id] {
                    Attempt::RunSent(id, _) | Attempt::Inherited(id) if reported(id) => {
                        view.attempts[task_id] = Attempt::Reported(id)
                    }
                    Attempt::RunSent(id, sent_at) if token_seen && report.sequence > sent_at => {
                        view.attempts[task_id] = Attempt::Committed(id)
                    }
                    Attempt::Reported(id) | Attempt::Inherited(id)
                        if token_seen
                            && !reported(id)
                            && ended.is_none()
                            && !self.controllers[to].in_flight[slot_id] =>
                    {
                        view.attempts[task_id] = Attempt::Ending(id);
                        ended = Some((task_id, view.placement[task_id]));
                    }
                    _ => {}
                }
                if let (Attempt::Committed(id), true) = (view.attempts[task_id], token_seen) {
                    view.attempts[task_id] = Attempt::RunSent(id, report.sequence);
                    answer.started_attempts.push((task_id, id));
                }
            }
            if let Some((task, placement)) = ended {
                self.send(to, slot_id, token.0, Operation::End { task, placement });
            }
        }
        self.answers.push(answer);
    }

    /// Returns all possible next states, with descriptions of the steps if `describe` is set.
    // A list with one entry for each step of the model.
    #[allow(clippy::too_many_lines)]
    fn successors(&self, defect: Defect, describe: bool) -> Vec<(String, ModelState)> {
        let mut out = Vec::new();
        let mut step = |description: &dyn Fn() -> String, apply_step: &dyn Fn(&mut ModelState)| {
            let mut state = self.clone();
            apply_step(&mut state);
            state.prune_ineffective();
            if state != *self {
                out.push((
                    if describe {
                        description()
                    } else {
                        String::new()
                    },
                    state,
                ));
            }
        };
        for i in 0..self.transactions.len() {
            let transaction = &self.transactions[i];
            step(
                &|| format!("transaction executed: {transaction:?}"),
                &|state| {
                    let transaction = state.transactions.remove(i);
                    let outcome = state.apply(&transaction, defect);
                    if !transaction.reply_lost {
                        state.deliver_outcome(&transaction, outcome, defect);
                    }
                },
            );
            if !transaction.reply_lost && self.budget.lost_replies > 0 {
                step(&|| format!("reply lost: {transaction:?}"), &|state| {
                    state.budget.lost_replies -= 1;
                    state.transactions[i].reply_lost = true;
                    let transaction = state.transactions[i].clone();
                    state.deliver_outcome(&transaction, WriteOutcome::Unknown, defect);
                });
            }
        }
        for i in 0..self.reports.len() {
            for controller in 0..2 {
                if self.reports[i].deliveries > 0 {
                    step(
                        &|| format!("controller {controller} receives {:?}", self.reports[i]),
                        &|state| {
                            state.reports[i].deliveries -= 1;
                            let report = state.reports[i].clone();
                            state.handle_report(controller, &report, defect);
                        },
                    );
                }
            }
        }
        for i in 0..self.answers.len() {
            step(
                &|| format!("answer delivered: {:?}", self.answers[i]),
                &|state| {
                    let answer = state.answers.remove(i);
                    let worker = &mut state.workers[answer.slot];
                    if worker.awaits_answer && worker.sequence == answer.sequence {
                        worker.awaits_answer = false;
                        if answer.token >= worker.seen_token {
                            worker.seen_token = answer.token;
                            for started in answer.started_attempts {
                                if !worker.tasks.contains(&started) {
                                    worker.tasks.push(started);
                                }
                            }
                        }
                    }
                },
            );
        }
        for slot_id in 0..2 {
            if self.budget.reports[slot_id] > 0 {
                step(&|| format!("machine {slot_id} reports"), &|state| {
                    state.budget.reports[slot_id] -= 1;
                    let worker = &mut state.workers[slot_id];
                    (worker.sequence, worker.awaits_answer) = (worker.sequence + 1, true);
                    let (sequence, seen_token, tasks) =
                        (worker.sequence, worker.seen_token, worker.tasks.clone());
                    let deliveries = state.budget.deliveries;
                    state.reports.push(Report {
                        slot: slot_id,
                        sequence,
                        seen_token,
                        tasks,
                        deliveries,
                    });
                });
            }
            if self.budget.task_losses > 0 && !self.workers[slot_id].tasks.is_empty() {
                step(&|| format!("machine {slot_id} loses its tasks"), &|state| {
                    state.budget.task_losses -= 1;
                    state.workers[slot_id].tasks.clear();
                    state.workers[slot_id].awaits_answer = false;
                });
            }
        }
        for controller in 0..2 {
            if self.budget.restarts > 0 {
                step(&|| format!("controller {controller} restarts"), &|state| {
                    state.budget.restarts -= 1;
                    let process_nonce = state.controllers[controller].process_nonce + 1;
                    state
                        .transactions
                        .iter_mut()
                        .filter(|transaction| transaction.sender == controller)
                        .for_each(|transaction| transaction.reply_lost = true);
                    let ownership =
                        SlotOwnership::new(process_id(controller, process_nonce), two_slots());
                    state.controllers[controller] = Controller {
                        process_nonce,
                        ownership,
                        views: [None, None],
                        in_flight: [false; 2],
                    };
                });
            }
            for slot_id in 0..2 {
                self.owner_steps(controller, slot_id, defect, &mut step);
            }
        }
        out
    }

    /// Adds the possible steps of a controller for a slot: reads, writes of the owner and, if the
    /// controller owns the slot_id, quota shifts, placements and reassignments.
    // A list with one entry for each step of the model.
    #[allow(clippy::too_many_lines)]
    fn owner_steps(&self, controller: usize, slot_id: usize, defect: Defect, step: &mut Step) {
        let slot = Slot(slot_id as u16);
        step(
            &|| format!("controller {controller} reads the key of slot {slot_id}"),
            &|state| {
                let record = state.slot[slot_id].clone();
                state.controllers[controller]
                    .ownership
                    .on_record(slot, record);
            },
        );
        if self.controllers[controller].in_flight[slot_id] {
            return;
        }
        let send_owner_write = |state: &mut ModelState, write: Option<SlotWrite>| {
            if let Some(write) = write {
                state.send(controller, slot_id, 0, Operation::SetOwner(write));
            }
        };
        if self.budget.acquisitions > 0 && slot_id == 0 {
            step(
                &|| format!("controller {controller} acquires slot {slot_id}"),
                &|state| {
                    state.budget.acquisitions -= 1;
                    let write = state.controllers[controller].ownership.acquire(slot);
                    send_owner_write(state, write);
                },
            );
        }
        if self.budget.transfers > 0 && slot_id == 0 {
            step(
                &|| format!("controller {controller} transfers slot {slot_id}"),
                &|state| {
                    state.budget.transfers -= 1;
                    let to = process_id(
                        1 - controller,
                        state.controllers[1 - controller].process_nonce,
                    );
                    let write = state.controllers[controller].ownership.transfer(slot, to);
                    send_owner_write(state, write);
                },
            );
        }
        step(
            &|| format!("controller {controller} reclaims slot {slot_id}"),
            &|state| {
                let write = state.controllers[controller].ownership.reclaim(slot);
                send_owner_write(state, write);
            },
        );
        let Some(token) = self.controllers[controller].ownership.token(slot) else {
            return;
        };
        let current_view = self.controllers[controller].views[slot_id]
            .as_ref()
            .filter(|view| view.token == token.0);
        let Some(view) = current_view else {
            return step(
                &|| format!("controller {controller} reads the records of slot {slot_id}"),
                &|state| state.read_slot(controller, slot_id),
            );
        };
        // The watch reports changes of quota parts and assignments. The owner already knows the
        // placements that it made.
        step(
            &|| {
                format!(
                    "controller {controller} reads the quota part and the assignments of \
                     slot {slot_id}"
                )
            },
            &|state| {
                let (quota_part, assignment, placement) =
                    (state.quota_part[slot_id], state.assignment, state.placement);
                if let Some(view) = state.controllers[controller].views[slot_id]
                    .as_mut()
                    .filter(|view| !view.shift_unconfirmed)
                {
                    (view.quota_part, view.assignment) = (quota_part, assignment);
                    for task_id in
                        (0..2).filter(|task_id| view.attempts[*task_id] == Attempt::Unplaced)
                    {
                        view.placement[task_id] = placement[task_id].1;
                    }
                }
            },
        );
        let used = view
            .attempts
            .iter()
            .filter(|attempt_state| **attempt_state != Attempt::Unplaced)
            .count() as u64;
        let usable_units = match defect {
            Defect::LimitEach => self.limit(),
            _ => view.quota_part.0 - u64::from(view.shift_unconfirmed && view.quota_part.0 > 0),
        };
        if view.shift_unconfirmed {
            step(
                &|| {
                    format!(
                        "controller {controller} confirms the quota part of \
                         slot {slot_id}"
                    )
                },
                &|state| {
                    state.send(
                        controller,
                        slot_id,
                        token.0,
                        Operation::ConfirmQuota {
                            source: view.quota_part.1,
                        },
                    );
                },
            );
        } else if self.budget.shifts > 0 && used < view.quota_part.0 {
            step(
                &|| format!("controller {controller} shifts a unit from slot {slot_id}"),
                &|state| {
                    state.budget.shifts -= 1;
                    let (source, target) = (view.quota_part.1, state.quota_part[1 - slot_id].1);
                    state.send(
                        controller,
                        slot_id,
                        token.0,
                        Operation::ShiftQuota { source, target },
                    );
                },
            );
        }
        for task_id in 0..2 {
            let (assignment, placement) = (view.assignment[task_id], view.placement[task_id]);
            if usize::from(assignment.0) != slot_id {
                continue;
            }
            if view.attempts[task_id] == Attempt::Unplaced && used < usable_units {
                step(
                    &|| {
                        format!(
                            "controller {controller} places task {task_id} on \
                             machine {slot_id}"
                        )
                    },
                    &|state| {
                        if let Some(view) = &mut state.controllers[controller].views[slot_id] {
                            view.attempts[task_id] = Attempt::Planned;
                        }
                        state.send(
                            controller,
                            slot_id,
                            token.0,
                            Operation::Place {
                                task: task_id,
                                assignment: assignment.1,
                                placement,
                            },
                        );
                    },
                );
            }
            let may_reassign =
                view.attempts[task_id] == Attempt::Unplaced || defect == Defect::GrantedTwice;
            if self.budget.reassignments > 0 && may_reassign {
                step(
                    &|| {
                        format!(
                            "controller {controller} reassigns task {task_id} to slot {}",
                            1 - slot_id
                        )
                    },
                    &|state| {
                        state.budget.reassignments -= 1;
                        state.send(
                            controller,
                            slot_id,
                            token.0,
                            Operation::Reassign {
                                task: task_id,
                                assignment: assignment.1,
                                placement,
                            },
                        );
                    },
                );
            }
        }
    }

    fn limit(&self) -> u64 {
        self.budget.quota_parts.iter().sum()
    }

    /// Returns the invariant that this state violates; `None` if it violates none.
    fn violated_invariant(&self) -> Option<&'static str> {
        let machines_running = |task_id: usize| {
            self.workers
                .iter()
                .filter(|worker| worker.tasks.iter().any(|(task, _)| *task == task_id))
                .count()
        };
        let runs_task_twice =
            |worker: &Worker| worker.tasks.len() == 2 && worker.tasks[0].0 == worker.tasks[1].0;
        if machines_running(0) > 1
            || machines_running(1) > 1
            || self.workers.iter().any(runs_task_twice)
        {
            return Some("ran_twice");
        }
        let running_tasks: usize = self.workers.iter().map(|worker| worker.tasks.len()).sum();
        (running_tasks as u64 > self.limit()).then_some("quota")
    }
}

fn state_hash(state: &ModelState) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Returns the descriptions of the steps that lead to a state, reconstructed from the index of the
/// step chosen in each predecessor.
fn trace(
    budget: StepBudget,
    defect: Defect,
    predecessors: &[(u32, u32)],
    mut state_index: usize,
    invariant: &str,
) -> Vec<String> {
    let mut choices = Vec::new();
    while state_index != 0 {
        choices.push(predecessors[state_index].1 as usize);
        state_index = predecessors[state_index].0 as usize;
    }
    let (mut state, mut out) = (initial_state(budget), Vec::new());
    for choice in choices.into_iter().rev() {
        let (description, successor) = state.successors(defect, true).swap_remove(choice);
        out.push(description);
        state = successor;
    }
    out.push(invariant.to_string());
    out
}

/// Explores the reachable states in breadth-first order. Returns their number, whether all were
/// explored, and the trace to the first state that violates an invariant.
fn explore(
    budget: StepBudget,
    defect: Defect,
    max_states: usize,
) -> (usize, bool, Option<Vec<String>>) {
    let initial = initial_state(budget);
    let mut seen: HashSet<u64> = HashSet::from([state_hash(&initial)]);
    let mut predecessors: Vec<(u32, u32)> = vec![(0, 0)];
    let mut queue = VecDeque::from([(0usize, initial)]);
    while let Some((state_index, state)) = queue.pop_front() {
        if let Some(invariant) = state.violated_invariant() {
            return (
                seen.len(),
                false,
                Some(trace(budget, defect, &predecessors, state_index, invariant)),
            );
        }
        if seen.len() >= max_states {
            return (seen.len(), false, None);
        }
        for (choice, (_, successor)) in state.successors(defect, false).into_iter().enumerate() {
            if seen.insert(state_hash(&successor)) {
                predecessors.push((state_index as u32, choice as u32));
                queue.push_back((predecessors.len() - 1, successor));
            }
        }
    }
    (seen.len(), true, None)
}

const EMPTY_BUDGET: StepBudget = StepBudget {
    restarts: 0,
    transfers: 0,
    acquisitions: 0,
    reassignments: 0,
    shifts: 0,
    task_losses: 0,
    reports: [0, 0],
    quota_parts: [1, 0],
    deliveries: 1,
    lost_replies: 0,
};

/// Small scenarios, each of which is explored completely or up to the maximum number of states.
// A table with one entry for each scenario.
#[allow(clippy::too_many_lines)]
fn scenarios() -> Vec<(&'static str, StepBudget)> {
    let two_reports = StepBudget {
        reports: [2, 0],
        ..EMPTY_BUDGET
    };
    vec![
        (
            "acquisition from a live owner",
            StepBudget {
                acquisitions: 1,
                deliveries: 2,
                ..two_reports
            },
        ),
        (
            "transfer",
            StepBudget {
                transfers: 1,
                lost_replies: 1,
                ..two_reports
            },
        ),
        (
            "controller restart",
            StepBudget {
                restarts: 1,
                acquisitions: 1,
                ..two_reports
            },
        ),
        (
            "loss of a machine's tasks",
            StepBudget {
                task_losses: 1,
                acquisitions: 1,
                ..two_reports
            },
        ),
        (
            "reassignment",
            StepBudget {
                reassignments: 1,
                reports: [1, 1],
                quota_parts: [1, 1],
                lost_replies: 1,
                ..EMPTY_BUDGET
            },
        ),
        (
            "quota parts",
            StepBudget {
                reassignments: 1,
                shifts: 1,
                reports: [1, 1],
                lost_replies: 1,
                ..EMPTY_BUDGET
            },
        ),
        (
            "quota parts with an acquisition",
            StepBudget {
                reassignments: 1,
                shifts: 1,
                acquisitions: 1,
                reports: [1, 1],
                ..EMPTY_BUDGET
            },
        ),
    ]
}

const MAX_STATES: usize = 40_000;

#[test]
fn no_reachable_state_violates_an_invariant() {
    for (scenario, budget) in scenarios() {
        let (states, all, trace) = explore(budget, Defect::None, MAX_STATES);
        println!(
            "{scenario}: {states} states, {}",
            if all { "all" } else { "bounded" }
        );
        assert!(
            trace.is_none(),
            "{scenario}: {}",
            trace.unwrap_or_default().join("\n")
        );
        assert!(
            states > 300,
            "{scenario}: only {states} states, the model makes no progress"
        );
    }
}

/// Guards against a checker that finds nothing: each defect must be found in a scenario that is
/// made for it.
#[test]
fn each_planted_defect_is_found() {
    let two_reports = StepBudget {
        reports: [2, 0],
        ..EMPTY_BUDGET
    };
    let base = StepBudget {
        reassignments: 1,
        reports: [1, 1],
        lost_replies: 1,
        ..EMPTY_BUDGET
    };
    for (defect, budget) in [
        (
            Defect::OneToken,
            StepBudget {
                acquisitions: 1,
                deliveries: 2,
                ..two_reports
            },
        ),
        (
            Defect::EarlyProof,
            StepBudget {
                acquisitions: 1,
                deliveries: 2,
                ..two_reports
            },
        ),
        (
            Defect::GrantedTwice,
            StepBudget {
                quota_parts: [1, 1],
                ..base
            },
        ),
        (Defect::LimitEach, base),
        (Defect::PartUsedAgain, StepBudget { shifts: 1, ..base }),
        (
            Defect::Unconditional,
            StepBudget {
                acquisitions: 1,
                reports: [3, 0],
                ..EMPTY_BUDGET
            },
        ),
    ] {
        let (states, _, trace) = explore(budget, defect, MAX_STATES * 8);
        let Some(trace) = trace else {
            panic!("{defect:?} was not found in {states} states")
        };
        println!(
            "{defect:?}: {states} states, {} steps\n  {}",
            trace.len() - 1,
            trace.join("\n  ")
        );
        assert!(trace.len() <= 20, "{defect:?}: {} steps", trace.len());
    }
}
