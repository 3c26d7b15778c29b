//! Handles the reply to a transaction: committed, refused, malformed, in conflict, or of unknown
//! outcome.

use super::{CommitOutcome, InFlightCommit, WorkUnit, DEFERRAL_S};
use crate::calls::{SchedulerCall, Tag};
use crate::configuration;
use crate::faults::fault_injected;
use crate::job_store::{self, JobState, JobStore};
use crate::leader_election::BLOCK_KEY;
use crate::scheduler::allocation::TaskState;
use crate::scheduler::Scheduler;
use crate::store::{CommitResponse, Outcome, Reply};
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::types::{JobId, MachineId, Revision, TaskId, Time};
use beamhinge_core::wire;
use beamhinge_rate_limit::RetryAction;
use std::collections::BTreeSet;

/// How long a job waits after a conflict on its key, seconds.
const CONFLICT_BACKOFF_S: f64 = 0.3;

/// Pause before the next transaction after one that was not committed, seconds.
const RETRY_INTERVAL_S: f64 = 0.05;

impl Scheduler {
    /// Handles the reply to a scan or a transaction.
    pub fn on_reply(
        &mut self,
        now: Time,
        call: SchedulerCall,
        reply: Reply<Tag>,
        job_store: &mut JobStore,
    ) -> CommitOutcome {
        if call != SchedulerCall::Commit {
            self.on_scan_reply(now, call, reply, job_store);
            return CommitOutcome::Unchanged;
        }
        let Some(in_flight) = self.in_flight.take() else {
            return CommitOutcome::Unchanged;
        };
        match reply.outcome {
            Outcome::Ok(body) => {
                let Ok(response) = wire::decode::<CommitResponse>(&body) else {
                    self.on_not_committed(now, in_flight);
                    self.reload();
                    return CommitOutcome::Unchanged;
                };
                self.commit_backoff.on_success();
                self.last_store_progress = now;
                self.on_committed(now, in_flight, Revision(response.revision), job_store);
                CommitOutcome::Confirmed(reply.sent_at)
            }
            Outcome::Conflict(failed_keys) => self.on_conflict(now, in_flight, &failed_keys),
            Outcome::Refused => {
                self.on_not_committed(now, in_flight);
                self.commit_backoff.on_refused(now);
                CommitOutcome::Unchanged
            }
            Outcome::Malformed => {
                self.on_malformed(now, in_flight);
                CommitOutcome::Unchanged
            }
            // The transaction may have been committed or may still be: reload the stored state.
            _ => {
                self.on_not_committed(now, in_flight);
                self.reload();
                CommitOutcome::RefreshJobs
            }
        }
    }

    /// Handles a conflict: some keys had other revisions than the transaction required.
    fn on_conflict(
        &mut self,
        now: Time,
        in_flight: InFlightCommit,
        failed_keys: &[String],
    ) -> CommitOutcome {
        self.on_not_committed(now, in_flight);
        if failed_keys.iter().any(|key| key == BLOCK_KEY) {
            return CommitOutcome::LeadershipLost;
        }
        let is_configuration = |key: &String| key.starts_with(configuration::PREFIX);
        let is_page = |key: &String| !key.starts_with(job_store::PREFIX) && !is_configuration(key);
        if failed_keys.iter().any(is_page) {
            self.reload();
        }
        // Planned allocations of a changed job are dropped; the job store provides its new state.
        let changed_jobs = failed_keys
            .iter()
            .filter_map(|key| JobId::parse(key.strip_prefix(job_store::PREFIX)?));
        for id in changed_jobs {
            self.release_planned_allocations(now, id);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.backoff_until = now.plus(CONFLICT_BACKOFF_S);
            }
        }
        if failed_keys.iter().any(is_configuration) {
            return CommitOutcome::RefreshConfiguration;
        }
        CommitOutcome::RefreshJobs
    }

    /// Handles a transaction that was rejected as malformed. An identical one would be rejected
    /// again, so smaller ones are tried; if the smallest is rejected too, its content is deferred.
    fn on_malformed(&mut self, now: Time, in_flight: InFlightCommit) {
        if fault_injected!(self.faults, unbounded_transactions) {
            return self.on_not_committed(now, in_flight);
        }
        let set_aside = self.commit_backoff.on_malformed(now) == RetryAction::SetAside;
        if set_aside {
            self.defer_content(now, &in_flight);
        }
        self.on_not_committed(now, in_flight);
        if set_aside {
            self.commit_backoff.on_success();
        }
    }

    /// Defers and logs the content of a transaction that the key-value store rejects even at the
    /// smallest size, so that other work can proceed.
    fn defer_content(&mut self, now: Time, in_flight: &InFlightCommit) {
        let until = now.plus(DEFERRAL_S);
        for id in &in_flight.finished_jobs {
            tracing::error!(job = %id, "deferred job completion: rejected as malformed");
            self.deferred.insert(WorkUnit::Job(*id), until);
        }
        let placed: BTreeSet<JobId> = in_flight
            .pages
            .iter()
            .flat_map(|page| &page.rows)
            .map(|row| row.task.job)
            .collect();
        for id in placed {
            tracing::error!(job = %id, "deferred job placement: rejected as malformed");
            self.defer_job(now, id);
        }
        for page in in_flight.progress_write.written_pages() {
            tracing::error!(page, "deferred progress page: rejected as malformed");
            self.deferred.insert(WorkUnit::ProgressPage(page), until);
        }
        for page in &in_flight.removed_pages {
            self.deferred.insert(WorkUnit::Page(*page), until);
        }
    }

    /// Defers a job whose placement the key-value store rejects, so that other jobs can proceed.
    pub(super) fn defer_job(&mut self, now: Time, id: JobId) {
        self.release_planned_allocations(now, id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.backoff_until = now.plus(DEFERRAL_S);
        }
    }

    /// Releases the job's planned allocations that are not part of a transaction.
    fn release_planned_allocations(&mut self, now: Time, id: JobId) {
        let planned: Vec<(MachineId, TaskId)> = self
            .commit_queue
            .iter()
            .filter(|(_, task)| task.job == id)
            .copied()
            .collect();
        for (machine, task) in planned {
            if self
                .allocation_mut(machine, task)
                .is_some_and(|allocation| allocation.state == TaskState::Planned)
            {
                self.release_allocation(now, machine, task, false, CONFLICT_BACKOFF_S);
            }
        }
    }

    /// Handles a committed transaction.
    fn on_committed(
        &mut self,
        now: Time,
        in_flight: InFlightCommit,
        revision: Revision,
        job_store: &mut JobStore,
    ) {
        let mut to_release = Vec::new();
        for page in in_flight.pages {
            let page_id = self.pages.insert(page.key, revision);
            for row in page.rows {
                // An allocation that was released in the meantime is never sent as `run`.
                let Some(allocation) = self
                    .allocation_mut(row.machine, row.task)
                    .filter(|allocation| allocation.attempt == row.attempt)
                else {
                    continue;
                };
                allocation.in_flight = false;
                allocation.state = TaskState::Committed;
                allocation.page = Some(page_id);
                if allocation.kill_grace_s.is_some() {
                    to_release.push((row.machine, row.task));
                }
                self.pages.retain(page_id);
            }
        }
        for (machine, task) in to_release {
            self.release_allocation(now, machine, task, false, 0.0);
        }
        self.progress_pages
            .on_written(in_flight.progress_write, revision, &mut self.jobs);
        for id in in_flight.finished_jobs {
            job_store.on_committed(id, revision, JobState::Done, None);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.state = JobState::Done;
                job.revision = revision;
                self.terminating_jobs.insert(id);
            }
            tracing::debug!(job = %id, "finished job");
            self.event_log.record(|| DecisionKind::Done {
                job: id.to_string(),
            });
        }
        for page in in_flight.removed_pages {
            self.pages.on_removed(page);
        }
    }

    /// Handles a transaction that was not committed or whose outcome is unknown.
    fn on_not_committed(&mut self, now: Time, in_flight: InFlightCommit) {
        for page in in_flight.pages.into_iter().rev() {
            self.requeue_rows(page.rows);
        }
        self.progress_pages
            .on_write_failed(&in_flight.progress_write, &mut self.jobs);
        for id in in_flight.finished_jobs {
            let job = self.jobs.get(&id);
            if job.is_some_and(|job| job.state == JobState::Open) {
                self.completed_jobs.insert(id);
            }
        }
        self.next_commit_at = now.plus(RETRY_INTERVAL_S);
    }
}
