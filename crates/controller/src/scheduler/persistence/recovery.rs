//! Reads pages and progress: after a takeover, and after a transaction of unknown outcome.

use crate::calls::{SchedulerCall, Tag};
use crate::faults::fault_injected;
use crate::job_store::{JobState, JobStore};
use crate::placement_pages::{self, PageId, PlacementRow};
use crate::scheduler::allocation::{Allocation, TaskState};
use crate::scheduler::job::{resources_of, UNKNOWN_NEED};
use crate::scheduler::machine::Machine;
use crate::scheduler::Scheduler;
use crate::store::{KeyValue, Outcome, Priority, Reply, ScanResponse, StoreClient};
use beamhinge_core::types::{JobId, Revision, TaskId, Time};
use beamhinge_core::wire;

/// A load of all pages and all progress that is under way.
pub(in crate::scheduler) struct RecoveryLoad {
    pub(in crate::scheduler) pages: Vec<KeyValue>,
    pub(in crate::scheduler) progress: Vec<KeyValue>,
    /// Pages are read first, then progress.
    pub(in crate::scheduler) stage: SchedulerCall,
    /// A scan is without a reply.
    pub(in crate::scheduler) in_flight: bool,
    /// The key after which the next scan begins.
    pub(in crate::scheduler) after: Option<String>,
}

impl Scheduler {
    /// Reads pages and progress again: after a takeover, and whenever a
    /// transaction's outcome is unknown.
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

    /// Sends the next scan of a load that is under way.
    pub(in crate::scheduler) fn drive_load(&mut self, now: Time, store: &mut StoreClient<Tag>) {
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

    /// Takes the reply to a scan.
    pub(super) fn on_load(
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

    /// A value of a form or version that this program does not know: nothing
    /// is guessed, placement stops.
    fn halt_unreadable(&mut self, key: &str) {
        tracing::error!(
            key,
            "halted scheduling, as a stored value has an unknown form or version"
        );
        self.halted = true;
    }

    /// Takes over what was loaded.
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

    /// Reads progress pages; false if one is unreadable.
    fn restore_progress(&mut self, items: &[KeyValue]) -> bool {
        self.progress_pages.begin_load();
        for item in items {
            let (key, revision) = (&item.key, Revision(item.revision));
            if self
                .progress_pages
                .load(key, revision, &item.value, &mut self.jobs)
                .is_err()
            {
                self.halt_unreadable(key);
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

    /// Reads placement pages; the rows with their pages, or `None` if a page is unreadable.
    fn restore_pages(&mut self, items: &[KeyValue]) -> Option<Vec<(PlacementRow, PageId)>> {
        self.pages.clear();
        let mut rows = Vec::new();
        for item in items {
            let Ok(page) = placement_pages::decode_page(&item.value) else {
                self.halt_unreadable(&item.key);
                return None;
            };
            let page_id = self.pages.insert(item.key.clone(), Revision(item.revision));
            rows.extend(page.into_iter().map(|row| (row, page_id)));
        }
        Some(rows)
    }

    /// After a transaction of unknown outcome: what of it is stored now.
    ///
    /// Only this controller can have written pages since it holds the leadership, and rows that
    /// no allocation matches have ended, or were plans given up before any `run`.
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
        let mut ended = Vec::new();
        for (id, machine) in &self.machines {
            for (task, allocation) in &machine.resident.allocations {
                let to_be_stopped = allocation.kill_grace_s.is_some();
                match allocation.state {
                    TaskState::Planned | TaskState::Committed if to_be_stopped => {
                        ended.push((*id, *task));
                    }
                    TaskState::Planned => self.commit_queue.push_back((*id, *task)),
                    _ => {}
                }
            }
        }
        for (machine, task) in ended {
            self.release_allocation(now, machine, task, false, 0.0);
        }
    }

    /// After a takeover: what earlier leaders placed may or may not be on its machine.
    fn inherit_allocations(
        &mut self,
        now: Time,
        rows: Vec<(PlacementRow, PageId)>,
        job_store: &JobStore,
    ) {
        // Guard 3: a task that is done has exited, and of several rows for one
        // task only the newest can be on a machine.
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
            let is_over = entry.is_none_or(|entry| entry.state != JobState::Open)
                && !fault_injected!(self.faults, cancelled_tasks_inherited);
            // Without a description its size is unknown: the machine is full.
            let resources = spec
                .as_ref()
                .map_or(UNKNOWN_NEED, |spec| resources_of(spec));
            let team = spec.as_ref().and_then(|spec| self.team_index(spec));
            let mut allocation = Allocation::inherited(row.attempt, resources, team, now, page);
            allocation.kill_grace_s = is_over.then_some(0.0);
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
            "loaded the state of earlier leaders"
        );
    }
}
