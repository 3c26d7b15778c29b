//! Routes replies from the key-value store, the cloud and workers to the components that wait for
//! them.

use super::Node;
use crate::calls::Tag;
use crate::calls::{ReplicaCall, SchedulerCall};
use crate::scheduler::{CommitOutcome, Scheduler};
use crate::store::Reply;
use crate::user_api::TaskCountSource;
use beamhinge_core::messages::{Effect, TaskCounts};
use beamhinge_core::types::{CallId, JobId, Time, WallMs};

/// Task counts from the scheduler; it is `None` if this controller is not the leader.
struct SchedulerCounts<'a>(Option<&'a Scheduler>);

impl TaskCountSource for SchedulerCounts<'_> {
    fn counts(&self, id: JobId) -> Option<TaskCounts> {
        self.0.and_then(|scheduler| scheduler.counts(id))
    }
}

impl Node {
    /// Handles the reply to a call (HTTP status and body), or its failure (`None`).
    pub(super) fn on_call_reply(
        &mut self,
        now: Time,
        wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        out: &mut Vec<Effect>,
    ) {
        self.metrics.on_call_end(now, id, result.is_some());
        let _span = tracing::debug_span!("reply", call = id.0).entered();
        if self.store.owns_call(id) {
            if let Some(reply) = self.store.on_reply(id, result) {
                self.route_store_reply(now, reply, out);
            }
        } else if self.fleet.owns_call(id) {
            self.fleet
                .on_cloud_reply(now, id, result, self.scheduler.as_mut());
        } else if self.worker_calls.remove(&id).is_some() {
            self.on_worker_reply(now, result);
        }
        self.run(now, wall, out);
    }

    /// Routes a reply from the key-value store to the component that waits for it.
    pub(super) fn route_store_reply(
        &mut self,
        now: Time,
        reply: Reply<Tag>,
        out: &mut Vec<Effect>,
    ) {
        match reply.tag.clone() {
            Tag::Directives(call) => {
                self.directives.on_reply(now, call, reply);
                self.propagate_directives(now);
            }
            Tag::DirectiveChange(serial) => {
                let mut responses = Vec::new();
                self.directives
                    .on_written(now, serial, reply, &mut responses);
                self.answer_directive_changes(responses, out);
            }
            Tag::Configuration(call) => {
                self.configuration.on_reply(now, call, reply);
                self.propagate_teams(now);
            }
            Tag::ConfigurationMember => self.configuration.on_registered(),
            Tag::ConfigurationChange(serial) => {
                let mut responses = Vec::new();
                self.configuration
                    .on_changed(now, serial, reply, &mut responses);
                self.answer_configuration_changes(responses, out);
            }
            Tag::Job(call) => self.on_jobs_reply(now, call, reply, out),
            Tag::Election(call) => {
                let change = self.election.on_reply(now, call, reply, &mut self.store);
                self.on_leadership_change(now, change);
            }
            Tag::Scheduler(call) => self.on_scheduler_reply(now, call, reply),
            Tag::UserApi(call) => {
                self.user_api
                    .on_reply(now, call, reply, &mut self.job_store, out);
                self.propagate_jobs(now);
            }
            Tag::Fleet(call) => self.fleet.on_store_reply(now, call, reply),
        }
    }

    fn on_jobs_reply(
        &mut self,
        now: Time,
        call: ReplicaCall,
        reply: Reply<Tag>,
        out: &mut Vec<Effect>,
    ) {
        let freshness = self.job_store.on_reply(now, call, reply);
        self.propagate_jobs(now);
        let counts = SchedulerCounts(self.scheduler.as_ref());
        self.user_api
            .on_replica_refresh(now, freshness, &self.job_store, &counts, out);
    }

    fn on_scheduler_reply(&mut self, now: Time, call: SchedulerCall, reply: Reply<Tag>) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        match scheduler.on_reply(now, call, reply, &mut self.job_store) {
            CommitOutcome::Unchanged => {}
            CommitOutcome::Confirmed(sent) => self.election.confirm_block(sent),
            CommitOutcome::RefreshJobs => self.job_store.request_refresh(),
            CommitOutcome::RefreshConfiguration => {
                self.configuration.request_refresh();
                self.job_store.request_refresh();
            }
            CommitOutcome::LeadershipLost => {
                let change = self.election.end_term(now);
                self.on_leadership_change(now, change);
            }
        }
        self.propagate_jobs(now);
    }

    /// Passes the jobs that changed in the replica to the scheduler.
    fn propagate_jobs(&mut self, now: Time) {
        let changed = self.job_store.take_changed();
        if let Some(scheduler) = self.scheduler.as_mut().filter(|s| s.loaded()) {
            for id in changed {
                scheduler.sync_job(now, id, &self.job_store);
            }
        }
    }

    /// Passes the directives to the scheduler if they changed.
    fn propagate_directives(&mut self, now: Time) {
        if !self.directives.take_changed() {
            return;
        }
        let active_directives = self.directives.active_directives().clone();
        tracing::info!(count = active_directives.len(), "applied directives");
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_active_directives(now, active_directives, self.fleet.machine_types());
        }
    }

    /// Passes the teams in effect to the scheduler if they changed. Later placements are decided
    /// by them.
    fn propagate_teams(&mut self, now: Time) {
        if !self.configuration.take_changed() {
            return;
        }
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_teams(now, self.configuration.effective());
        }
    }
}
