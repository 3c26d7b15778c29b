//! Loads placement pages and progress pages: after a leadership acquisition, and after a
//! transaction of unknown outcome.

use crate::calls::{SchedulerCall, Tag};
use crate::faults::fault_injected;
use crate::job_store::{JobState, JobStore};
use crate::placement_pages::{self, PageId, PlacementRow};
use crate::scheduler::allocation::{Allocation, TaskState};
use crate::scheduler::job::{resources_of, UNKNOWN_RESOURCES};
use crate::scheduler::machine::Machine;
use crate::scheduler::Scheduler;
use crate::store::{KeyValue, Outcome, Priority, Reply, ScanResponse, StoreClient};
use beamhinge_core::types::{JobId, Revision, TaskId, Time};
use beamhinge_core::wire;

/// A load in progress of all placement pages and all progress pages.
pub(in crate::scheduler) struct RecoveryLoad {
    pub(in crate::scheduler) pages: Vec<KeyValue>,
    pub(in crate::scheduler) progress: Vec<KeyValue>,
    /// The current stage: placement pages are read first, then progress pages.
    pub(in crate::scheduler) stage: SchedulerCall,
    /// Whether the reply to a scan is outstanding.
    pub(in crate::scheduler) in_flight: bool,
    /// The key after which the next scan begins; `None` at the beginning of a stage.
    pub(in crate::scheduler) after: Option<String>,
}

impl Scheduler {
    /// Starts to load pages and progress, unless a load is in progress already: after a
    /// leadership acquisition, and whenever the outcome of a transaction is unknown.
    pub(in crate::scheduler) fn reload(&mut self) {
        if self.recovery.is_none() {
            self.recovery = Some(RecoveryLoad {
                pages: Vec::new(),
                progress: Vec::new(),
                stage: SchedulerCall::Pages,
                in_flight: false,
                after: None,
            });
        }
    }

    /// Sends the next scan of the load in progress.
    pub(in crate::scheduler) fn send_next_scan(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        let Some(load) = &mut self.recovery else {
            return;
        };
        if load.in_flight || !self.load_backoff.is_due(now) {
            return;
        }
        load.in_flight = true;
        let prefix = match load.stage {
            SchedulerCall::Pages => placement_pages::PAGE_PREFIX,
            _ => placement_pages::PROGRESS_PREFIX,
        };
        store.scan(
            now,
            Priority::Admission,
            Tag::Scheduler(load.stage),
            prefix,
            load.after.as_deref(),
        );
    }

    /// Handles the reply to a scan.
    pub(super) fn on_scan_reply(
        &mut self,
        now: Time,
        call: SchedulerCall,
        reply: Reply<Tag>,
        job_store: &JobStore,
    ) {
        let Some(load) = &mut self.recovery else {
            return;
        };
        load.in_flight = false;
        let scan = match reply.outcome {
            Outcome::Ok(body) => wire::decode::<ScanResponse>(&body).ok(),
            _ => None,
        };
        let Some(scan) = scan else {
            self.load_backoff.on_refused(now);
            return;
        };
        self.load_backoff.on_success();
        self.last_store_progress = now;
        load.after = if scan.more {
            scan.entries.last().map(|last| last.key.clone())
        } else {
            None
        };
        match call {
            SchedulerCall::Pages => load.pages.extend(scan.entries),
            _ => load.progress.extend(scan.entries),
        }
        if load.after.is_some() {
            return;
        }
        if call == SchedulerCall::Pages {
            load.stage = SchedulerCall::Progress;
            return;
        }
        if let Some(load) = self.recovery.take() {
            self.restore(now, &load, job_store);
        }
    }

    /// Halts scheduling because a stored value has a format or version that this program does not
    /// know; a guess at its meaning would not be safe.
    fn halt_scheduling(&mut self, key: &str) {
        tracing::error!(
            key,
            "halted scheduling: stored value has an unknown format or version"
        );
        self.halted = true;
    }

    /// Applies the loaded pages and progress to the scheduler's state.
    pub(in crate::scheduler) fn restore(
        &mut self,
        now: Time,
        load: &RecoveryLoad,
        job_store: &JobStore,
    ) {
        let open_jobs: Vec<JobId> = job_store
            .iter()
            .filter(|(_, entry)| entry.state == JobState::Open)
            .map(|(id, _)| *id)
            .collect();
        for id in open_jobs {
            self.sync_job(now, id, job_store);
        }
        if !self.restore_progress(&load.progress) {
            return;
        }
        let Some(rows) = self.restore_pages(&load.pages) else {
            return;
        };
        if self.loaded {
            self.reattach_pages(now, rows);
        } else {
            self.inherit_allocations(now, rows, job_store);
        }
        self.loaded = true;
        self.replan = true;
    }

    /// Reads the progress pages; returns `false` if one is unreadable.
    fn restore_progress(&mut self, items: &[KeyValue]) -> bool {
        self.progress_pages.begin_load();
        for item in items {
            let (key, revision) = (&item.key, Revision(item.revision));
            if self
                .progress_pages
                .load(key, revision, &item.value, &mut self.jobs)
                .is_err()
            {
                self.halt_scheduling(key);
                return false;
            }
        }
        for (id, job) in &self.jobs {
            for chunk in job.progress.dirty_chunks() {
                self.progress_pages.mark_dirty(
                    *id,
                    job.progress.first_task_of(chunk),
                    job.spec.tasks,
                );
            }
            if job.is_complete() && job.state == JobState::Open {
                self.completed_jobs.insert(*id);
            }
        }
        true
    }

    /// Reads the placement pages; returns the rows with their pages, or `None` if a page is
    /// unreadable.
    fn restore_pages(&mut self, items: &[KeyValue]) -> Option<Vec<(PlacementRow, PageId)>> {
        self.pages.clear();
        let mut rows = Vec::new();
        for item in items {
            let Ok(page) = placement_pages::decode_page(&item.value) else {
                self.halt_scheduling(&item.key);
                return None;
            };
            let page_id = self.pages.insert(item.key.clone(), Revision(item.revision));
            rows.extend(page.into_iter().map(|row| (row, page_id)));
        }
        Some(rows)
    }

    /// After a transaction of unknown outcome, determines which allocations it has stored.
    ///
    /// Only this controller can have written pages since its leadership acquisition. A row that
    /// matches no allocation belongs to a task that has ended, or to a planned allocation that was
    /// released before any `run` was sent.
    fn reattach_pages(&mut self, now: Time, rows: Vec<(PlacementRow, PageId)>) {
        for machine in self.machines.values_mut() {
            for allocation in machine.resident.allocations.values_mut() {
                allocation.page = None;
                allocation.in_flight = false;
            }
        }
        for (row, page) in rows {
            if let Some(allocation) = self
                .allocation_mut(row.machine, row.task)
                .filter(|allocation| allocation.attempt == row.attempt)
            {
                allocation.page = Some(page);
                if allocation.state == TaskState::Planned {
                    allocation.state = TaskState::Committed;
                }
                self.pages.retain(page);
            }
        }
        self.commit_queue.clear();
        let mut to_release = Vec::new();
        for (id, machine) in &self.machines {
            for (task, allocation) in &machine.resident.allocations {
                let to_be_stopped = allocation.kill_grace_s.is_some();
                match allocation.state {
                    TaskState::Planned | TaskState::Committed if to_be_stopped => {
                        to_release.push((*id, *task));
                    }
                    TaskState::Planned => self.commit_queue.push_back((*id, *task)),
                    _ => {}
                }
            }
        }
        for (machine, task) in to_release {
            self.release_allocation(now, machine, task, false, 0.0);
        }
    }

    /// After a leadership acquisition, records the allocations of previous leaders; the tasks may
    /// or may not be on their machines.
    fn inherit_allocations(
        &mut self,
        now: Time,
        rows: Vec<(PlacementRow, PageId)>,
        job_store: &JobStore,
    ) {
        // Guard 3: a task that is done has exited, and of several rows for one task only the
        // newest can be on a machine.
        let jobs = &self.jobs;
        let is_done = |task: &TaskId| {
            jobs.get(&task.job)
                .is_some_and(|job| job.progress.is_done(task.index))
        };
        let rows =
            placement_pages::newest_rows(rows.into_iter().filter(|(row, _)| !is_done(&row.task)));
        for (row, page) in rows {
            let entry = job_store.get(row.task.job);
            let spec = entry.and_then(|entry| entry.spec.clone());
            let is_terminated = entry.is_none_or(|entry| entry.state != JobState::Open)
                && !fault_injected!(self.faults, cancelled_tasks_inherited);
            // The resources of a task without a job description are unknown: its machine counts
            // as full.
            let resources = spec
                .as_ref()
                .map_or(UNKNOWN_RESOURCES, |spec| resources_of(spec));
            let team = spec.as_ref().and_then(|spec| self.team_index(spec));
            let mut allocation = Allocation::inherited(row.attempt, resources, team, now, page);
            allocation.kill_grace_s = is_terminated.then_some(0.0);
            self.machines
                .entry(row.machine)
                .or_insert_with(|| Machine::new(now))
                .resident
                .allocations
                .insert(row.task, allocation);
            self.pages.retain(page);
            if let Some(job) = self.jobs.get_mut(&row.task.job) {
                job.add_attempt(row.task.index);
            }
        }
        tracing::info!(
            jobs = self.jobs.len(),
            machines = self.machines.len(),
            "loaded state of previous leaders"
        );
    }
}
