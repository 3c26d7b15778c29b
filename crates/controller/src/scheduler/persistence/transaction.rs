//! Builds the transaction that carries all pending changes of the scheduler's records.

use super::{InFlightCommit, NewPage, WorkUnit, DEFERRAL_S};
use crate::calls::{SchedulerCall, Tag};
use crate::faults::fault_injected;
use crate::job_store::{self, JobState};
use crate::leader_election::BLOCK_KEY;
use crate::placement_pages::{self, PlacementRow};
use crate::progress::{self, ProgressWrite};
use crate::scheduler::allocation::TaskState;
use crate::scheduler::Scheduler;
use crate::store::{Priority, StoreClient, Transaction, TransactionError};
use beamhinge_core::types::{JobId, MachineId, Revision, TaskId, Time};
use beamhinge_core::wire;
use beamhinge_rate_limit::TransactionLimits;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Interval between writes of progress, seconds. Workers still list the tasks that ended since
/// the last write, so a failover in between loses nothing.
const PROGRESS_WRITE_INTERVAL_S: f64 = 0.5;

/// Minimum time between two transactions, seconds.
const COMMIT_INTERVAL_S: f64 = 0.02;

/// Number of unreferenced pages that may remain until there are spare writes to remove them.
pub(super) const MAX_IDLE_UNREFERENCED_PAGES: usize = 150;

/// Fraction of the write rate that stays reserved for other writes; only writes beyond it are
/// spare and may be used for removals.
const SPARE_RATE_FRACTION: f64 = 0.4;

/// Fraction of the write rate that removals may use while there are more than
/// [`MAX_IDLE_UNREFERENCED_PAGES`].
const CLEANUP_RATE_FRACTION: f64 = 0.4;

/// The kinds of writes in a transaction, most important first.
#[derive(Clone, Copy)]
enum WriteKind {
    FinishedJobs,
    Pages,
    ProgressPages,
    Removals,
}

const WRITE_KINDS: [WriteKind; 4] = [
    WriteKind::FinishedJobs,
    WriteKind::Pages,
    WriteKind::ProgressPages,
    WriteKind::Removals,
];

/// A transaction under construction, with its content.
struct CommitDraft {
    transaction: Transaction,
    in_flight: InFlightCommit,
    /// Whether the transaction has fewer writes than there are kinds, so that the kinds rotate.
    few_writes: bool,
}

impl Scheduler {
    /// Commits all pending changes in one transaction: finished jobs, new pages, progress, and
    /// the removal of pages whose tasks have all ended.
    ///
    /// Changes that do not fit wait for the next transaction. Where few writes fit, the kinds
    /// rotate, so that a backlog of one kind does not starve another.
    pub(in crate::scheduler) fn commit(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.in_flight.is_some() || self.recovery.is_some() || now < self.next_commit_at {
            return;
        }
        if !self.commit_backoff.is_due(now) {
            return;
        }
        let limits = self.commit_limits(store);
        let Some(transaction) = self.begin_transaction(limits) else {
            return;
        };
        let mut draft = CommitDraft {
            transaction,
            in_flight: InFlightCommit::default(),
            few_writes: limits.writes < WRITE_KINDS.len(),
        };
        self.deferred.retain(|_, until| *until > now);
        let first = if draft.few_writes {
            self.next_write_kind
        } else {
            0
        };
        for offset in 0..WRITE_KINDS.len() {
            match WRITE_KINDS[(first + offset) % WRITE_KINDS.len()] {
                WriteKind::FinishedJobs => self.add_finished_jobs(&mut draft),
                WriteKind::Pages => self.add_pages(now, &mut draft),
                WriteKind::ProgressPages => self.add_progress_pages(now, &mut draft),
                WriteKind::Removals => self.add_removals(now, store, &mut draft),
            }
        }
        if draft.transaction.write_count() == 0 {
            return;
        }
        self.next_write_kind = (self.next_write_kind + 1) % WRITE_KINDS.len();
        self.log_commit(&draft.in_flight);
        self.in_flight = Some(draft.in_flight);
        self.next_commit_at = now.plus(COMMIT_INTERVAL_S);
        store.commit(
            now,
            Priority::Scheduler,
            Tag::Scheduler(SchedulerCall::Commit),
            draft.transaction,
        );
    }

    fn commit_limits(&self, store: &StoreClient<Tag>) -> TransactionLimits {
        let limits = store.limits().divided_by(self.commit_backoff.divisor());
        if fault_injected!(self.faults, unbounded_transactions) {
            return TransactionLimits {
                conditions: limits.conditions * 2,
                ..limits
            };
        }
        limits
    }

    /// Returns an empty transaction with the conditions that every transaction has, or `None` if
    /// these do not fit.
    fn begin_transaction(&self, limits: TransactionLimits) -> Option<Transaction> {
        let mut transaction = Transaction::new(limits);
        // Guard 1: a controller that has lost the leadership cannot commit anything.
        if !fault_injected!(self.faults, placements_without_block) {
            transaction
                .require(BLOCK_KEY, Revision(self.fencing_token.0))
                .ok()?;
        }
        // Placements that are based on outdated team quotas must not commit.
        if let Some((key, revision)) = self.configuration_condition {
            if !fault_injected!(self.faults, placements_without_configuration) {
                transaction.require(key, revision).ok()?;
            }
        }
        Some(transaction)
    }

    fn log_commit(&self, in_flight: &InFlightCommit) {
        tracing::debug!(
            finished_jobs = in_flight.finished_jobs.len(),
            pages = in_flight.pages.len(),
            rows = in_flight
                .pages
                .iter()
                .map(|page| page.rows.len())
                .sum::<usize>(),
            progress_pages = in_flight.progress_write.written_pages().count(),
            removals = in_flight.removed_pages.len(),
            queued = self.commit_queue.len(),
            unreferenced = self.pages.unreferenced_count(),
            "sent commit"
        );
    }

    /// Whether the unit of work is deferred at present.
    pub(in crate::scheduler) fn is_deferred(&self, unit: WorkUnit) -> bool {
        self.deferred.contains_key(&unit)
    }

    /// Adds records of finished jobs. A job's record becomes `done` only when all its tasks are
    /// done, and on the condition that the job was not cancelled in the meantime.
    fn add_finished_jobs(&mut self, draft: &mut CommitDraft) {
        let remaining = draft.transaction.remaining_writes();
        let max_jobs = if draft.few_writes {
            remaining
        } else {
            remaining / 2
        };
        let mut due: Vec<JobId> = self
            .completed_jobs
            .iter()
            .filter(|id| !self.is_deferred(WorkUnit::Job(**id)))
            .copied()
            .collect();
        // If more jobs have finished than can be written, those whose users wait for the result
        // are written first: by urgency, then jobs with a deadline, then the oldest. In the order
        // of job ids, urgent jobs with a deadline were written minutes late, behind thousands of
        // single-task jobs of guest teams.
        if due.len() > max_jobs {
            due.sort_by_key(|id| {
                let spec = self.jobs.get(id).map(|job| &job.spec);
                Reverse(spec.map(|s| (s.urgency, s.due_s.is_some(), Reverse(s.submitted))))
            });
        }
        for id in due {
            if draft.in_flight.finished_jobs.len() >= max_jobs {
                return;
            }
            let job = self.jobs.get(&id);
            if let Some(job) = job.filter(|job| job.state == JobState::Open) {
                let record = job_store::done_record(&job.spec);
                let put = draft
                    .transaction
                    .put(job_store::key(id), job.revision, record, None);
                if put.is_err() {
                    return;
                }
                draft.in_flight.finished_jobs.push(id);
            }
            self.completed_jobs.remove(&id);
        }
    }

    /// Adds as many new pages with planned allocations as fit.
    fn add_pages(&mut self, now: Time, draft: &mut CommitDraft) {
        // One write is reserved for progress: without it, workers cannot clear ended tasks.
        let reserved_writes = usize::from(!draft.few_writes);
        while draft.transaction.remaining_writes() > reserved_writes && self.add_page(now, draft) {}
    }

    /// Adds one page with the next planned allocations; returns whether a page was added.
    fn add_page(&mut self, now: Time, draft: &mut CommitDraft) -> bool {
        let key = self.pages.new_key();
        let max_bytes = draft
            .transaction
            .remaining_value_bytes(key.len())
            .min(self.max_value_bytes);
        let mut rows = self.dequeue_planned_rows(max_bytes, &mut draft.transaction);
        if rows.is_empty() {
            return false;
        }
        let mut value = placement_pages::encode_page(&rows);
        // Fewer rows fit if names are longer than usual.
        while wire::json_len(&value) > max_bytes && rows.len() > 1 {
            let rest = rows.split_off(rows.len() / 2);
            self.requeue_rows(rest);
            value = placement_pages::encode_page(&rows);
        }
        match draft.transaction.put(key.clone(), Revision(0), value, None) {
            Ok(()) => {
                draft.in_flight.pages.push(NewPage { key, rows });
                true
            }
            Err(TransactionError::TooLarge { bytes, limit }) => {
                tracing::error!(bytes, limit, "deferred jobs: page of one row is too large");
                let jobs: BTreeSet<JobId> = rows.iter().map(|row| row.task.job).collect();
                self.requeue_rows(rows);
                jobs.into_iter().for_each(|job| self.defer_job(now, job));
                false
            }
            Err(_) => {
                self.requeue_rows(rows);
                false
            }
        }
    }

    /// Removes planned allocations from the commit queue for one page, and adds the conditions
    /// that they depend on to the transaction.
    fn dequeue_planned_rows(
        &mut self,
        max_bytes: usize,
        transaction: &mut Transaction,
    ) -> Vec<PlacementRow> {
        // One condition is reserved for each further write. A page that used up all conditions
        // once led to a transaction that was rejected as too large on every retry.
        let reserved_conditions = transaction.remaining_writes();
        let mut rows: Vec<PlacementRow> = Vec::new();
        while rows.len() < placement_pages::rows_per_page(max_bytes)
            && transaction.remaining_conditions() > reserved_conditions
        {
            let Some((machine, task)) = self.commit_queue.pop_front() else {
                break;
            };
            let Some(revision) = self.jobs.get(&task.job).map(|job| job.revision) else {
                continue;
            };
            if !self.awaits_commit(machine, task) {
                continue;
            }
            // Guard 2: a placement commits only if its job is neither cancelled nor done.
            if transaction
                .require(job_store::key(task.job), revision)
                .is_err()
            {
                self.commit_queue.push_front((machine, task));
                break;
            }
            if let Some(allocation) = self.allocation_mut(machine, task) {
                allocation.in_flight = true;
                rows.push(PlacementRow {
                    machine,
                    task,
                    attempt: allocation.attempt,
                });
            }
        }
        rows
    }

    fn awaits_commit(&self, machine: MachineId, task: TaskId) -> bool {
        self.machines
            .get(&machine)
            .and_then(|machine| machine.resident.allocations.get(&task))
            .is_some_and(|a| a.state == TaskState::Planned && !a.in_flight)
    }

    /// Puts rows that were not committed back at the front of the commit queue, in the same order.
    pub(super) fn requeue_rows(&mut self, rows: Vec<PlacementRow>) {
        for row in rows.into_iter().rev() {
            let Some(allocation) = self.allocation_mut(row.machine, row.task) else {
                continue;
            };
            if allocation.attempt == row.attempt && allocation.state == TaskState::Planned {
                allocation.in_flight = false;
                self.commit_queue.push_front((row.machine, row.task));
            }
        }
    }

    fn add_progress_pages(&mut self, now: Time, draft: &mut CommitDraft) {
        if now.since(self.last_progress_write) < PROGRESS_WRITE_INTERVAL_S {
            return;
        }
        let dirty: Vec<usize> = self
            .progress_pages
            .dirty_pages()
            .filter(|page| !self.is_deferred(WorkUnit::ProgressPage(*page)))
            .collect();
        // Starts after the page that was written last, so that every page is written in turn
        // when there are many full ones.
        let (before, after): (Vec<usize>, Vec<usize>) = dirty
            .into_iter()
            .partition(|page| *page <= self.last_progress_page);
        for page in after.into_iter().chain(before) {
            let key = progress::progress_page_key(page);
            if draft.transaction.remaining_writes() == 0
                || draft.transaction.remaining_value_bytes(key.len()) < self.max_value_bytes
            {
                return;
            }
            self.add_progress_page(now, page, key, draft);
        }
    }

    fn add_progress_page(&mut self, now: Time, page: usize, key: String, draft: &mut CommitDraft) {
        let revision = self.progress_pages.revision(page);
        let mut write = ProgressWrite::default();
        let Some(value) = self
            .progress_pages
            .begin_write(page, &mut write, &mut self.jobs)
        else {
            return;
        };
        match draft.transaction.put(key, revision, value, None) {
            Ok(()) => {
                draft.in_flight.progress_write.append(write);
                self.last_progress_write = now;
                self.last_progress_page = page;
            }
            Err(error) => {
                self.progress_pages.on_write_failed(&write, &mut self.jobs);
                if error != TransactionError::Full {
                    tracing::error!(page, %error, "deferred progress page");
                    self.deferred
                        .insert(WorkUnit::ProgressPage(page), now.plus(DEFERRAL_S));
                }
            }
        }
    }

    /// Adds removals. They only free storage, so they wait until there are spare writes. A large
    /// number of unreferenced pages, as after a failover, is removed at a fraction of the write
    /// rate, so that it does not delay placements.
    fn add_removals(&mut self, now: Time, store: &mut StoreClient<Tag>, draft: &mut CommitDraft) {
        let budget = store.write_budget(now);
        let rate = budget.per_second;
        let writes = draft.transaction.write_count() as f64;
        let spare_writes =
            (budget.available - writes - rate * SPARE_RATE_FRACTION).max(0.0) as usize;
        let cleanup_allowance = now.since(self.last_cleanup) * rate * CLEANUP_RATE_FRACTION;
        let excess_pages = self
            .pages
            .unreferenced_count()
            .saturating_sub(MAX_IDLE_UNREFERENCED_PAGES)
            .min(cleanup_allowance.min(rate) as usize);
        let max_removals = draft
            .transaction
            .remaining_writes()
            .min(spare_writes.max(excess_pages));
        self.remove_unreferenced_pages(max_removals, draft);
        let max_removals = max_removals.saturating_sub(draft.in_flight.removed_pages.len());
        self.remove_progress_keys(max_removals, draft);
        if !draft.in_flight.removed_pages.is_empty() {
            self.last_cleanup = now;
        }
    }

    fn remove_unreferenced_pages(&self, max_removals: usize, draft: &mut CommitDraft) {
        let unreferenced = self
            .pages
            .unreferenced()
            .filter(|page| !self.is_deferred(WorkUnit::Page(page.id)));
        for page in unreferenced.take(max_removals) {
            if draft.transaction.delete(page.key, page.revision).is_err() {
                break;
            }
            draft.in_flight.removed_pages.push(page.id);
        }
    }

    /// Removes empty progress pages and keys of the legacy format.
    fn remove_progress_keys(&mut self, mut max_removals: usize, draft: &mut CommitDraft) {
        let empty: Vec<usize> = self
            .progress_pages
            .empty_pages()
            .take(max_removals)
            .collect();
        for page in empty {
            let key = progress::progress_page_key(page);
            let revision = self.progress_pages.revision(page);
            if draft.transaction.delete(key, revision).is_ok() {
                draft.in_flight.progress_write.remove_page(page);
                max_removals -= 1;
            }
        }
        let is_open = |id: JobId| self.jobs.contains_key(&id);
        let obsolete: Vec<(String, Revision)> = self
            .progress_pages
            .obsolete_keys(&is_open)
            .take(max_removals)
            .map(|(key, revision)| (key.clone(), revision))
            .collect();
        for (key, revision) in obsolete {
            if draft.transaction.delete(key.clone(), revision).is_ok() {
                draft.in_flight.progress_write.remove_legacy_key(key);
            }
        }
    }
}
