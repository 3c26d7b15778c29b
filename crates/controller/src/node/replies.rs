//! Replies of the state service, the cloud and workers, and what peers tell.

use super::{follower_share, leader_share, stuck_after_s, Node, LEADER_ADMISSION_SHARE};
use crate::calls::Tag;
use crate::event_log::EventLog;
use crate::leader_election::LeadershipChange;
use crate::scheduler::{CommitOutcome, Scheduler};
use crate::store::Reply;
use crate::user_api::TaskCountSource;
use crate::worker_protocol::WorkerReport;
use beamhinge_admin_api::messages::What;
use beamhinge_core::messages::{Effect, TaskCounts};
use beamhinge_core::peers::Frame;
use beamhinge_core::types::{CallId, FencingToken, JobId, MachineId, Time, WallMs};
use beamhinge_core::wire;
use beamhinge_failure_detection::PeerObservations;
use beamhinge_priority_aging::AgingPolicy;

struct SchedulerCounts<'a>(Option<&'a Scheduler>);

impl TaskCountSource for SchedulerCounts<'_> {
    fn counts(&self, id: JobId) -> Option<TaskCounts> {
        self.0.and_then(|p| p.counts(id))
    }
}

impl Node {
    pub(super) fn take_reply(
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
                self.route(now, reply, out);
            }
        } else if self.fleet.owns_call(id) {
            self.fleet
                .on_cloud_reply(now, id, result, self.scheduler.as_mut());
        } else if self.nudges.remove(&id).is_some() {
            // Executed, or refused for its session: either way the body is a report.
            let body = result
                .filter(|(status, _)| matches!(status, 200 | 409))
                .map(|(_, b)| b);
            if let Some(report) = body.and_then(|b| wire::decode::<WorkerReport>(&b).ok()) {
                self.direct_answer(now, &report);
            }
        }
        self.run(now, wall, out);
    }

    /// What a worker says in the answer to a direct command.
    pub(super) fn direct_answer(&mut self, now: Time, report: &WorkerReport) {
        // Guard 1: as with its reports.
        let change = self.election.on_token_claim(now, report.fencing_token);
        self.on_leadership_change(now, change);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_direct_response(now, report, &self.job_store);
        }
    }

    pub(super) fn route(&mut self, now: Time, reply: Reply<Tag>, out: &mut Vec<Effect>) {
        match reply.tag.clone() {
            Tag::Directives(call) => {
                self.directives.on_reply(now, call, reply);
                self.spread_directives(now);
            }
            Tag::DirectiveChange(serial) => {
                let mut told = Vec::new();
                self.directives.on_written(now, serial, reply, &mut told);
                self.answer_directive_changes(told, out);
            }
            Tag::Configuration(call) => {
                self.configuration.on_reply(now, call, reply);
                self.spread_teams(now);
            }
            Tag::ConfigurationMember => self.configuration.on_registered(),
            Tag::ConfigurationChange(serial) => {
                let mut told = Vec::new();
                self.configuration.on_changed(now, serial, reply, &mut told);
                self.answer_configuration_changes(told, out);
            }
            Tag::Job(call) => {
                let freshness = self.job_store.on_reply(now, call, reply);
                self.spread_changes(now);
                self.user_api.on_fresh(
                    now,
                    freshness,
                    &self.job_store,
                    &SchedulerCounts(self.scheduler.as_ref()),
                    out,
                );
            }
            Tag::Election(call) => {
                let change = self.election.on_reply(now, call, reply, &mut self.store);
                self.on_leadership_change(now, change);
            }
            Tag::Scheduler(call) => {
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
                    CommitOutcome::Deposed => {
                        let change = self.election.step_down_deposed(now);
                        self.on_leadership_change(now, change);
                    }
                }
                self.spread_changes(now);
            }
            Tag::UserApi(call) => {
                self.user_api
                    .on_reply(now, call, reply, &mut self.job_store, out);
                self.spread_changes(now);
            }
            Tag::Fleet(call) => self.fleet.on_store_reply(now, call, reply),
        }
    }

    pub(super) fn spread_changes(&mut self, now: Time) {
        let changed = self.job_store.take_changed();
        if let Some(scheduler) = self.scheduler.as_mut().filter(|p| p.loaded()) {
            for id in changed {
                scheduler.sync_job(now, id, &self.job_store);
            }
        }
    }

    pub(super) fn spread_directives(&mut self, now: Time) {
        if !self.directives.take_changed() {
            return;
        }
        let active_directives = self.directives.active_directives().clone();
        tracing::info!("{} drains and freezes stand", active_directives.len());
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_active_directives(now, active_directives, self.fleet.machine_types());
        }
    }

    /// Teams that changed count for placements from here on.
    pub(super) fn spread_teams(&mut self, now: Time) {
        if !self.configuration.take_changed() {
            return;
        }
        let effective = self.configuration.effective().clone();
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_teams(now, &effective);
        }
    }

    pub(super) fn on_leadership_change(&mut self, now: Time, change: LeadershipChange) {
        match change {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Lost => {
                self.scheduler = None;
                self.fleet.end_term();
                self.store
                    .set_rate_share(follower_share(&self.settings), 1.0);
            }
            LeadershipChange::Acquired { token } => {
                let mut event_log = EventLog::new(self.admin_api.is_some());
                event_log.set_time(self.wall);
                event_log.record(|| What::Took { token: token.0 });
                // What stood when the lead was taken must be known before
                // anything is placed: a drained machine gets nothing new.
                self.directives.request_refresh();
                let active_directives = self.directives.active_directives().clone();
                self.metrics.on_leadership_acquired(now);
                let aging = AgingPolicy::new(self.operator.aging);
                let scheduler = Scheduler::new(
                    &self.settings,
                    token,
                    active_directives,
                    event_log,
                    aging,
                    now,
                );
                self.scheduler = Some(scheduler);
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.faults = self.faults;
                }
                if self.configuration.is_enabled() {
                    self.configuration.request_refresh();
                    let effective = self.configuration.effective().clone();
                    if let Some(scheduler) = &mut self.scheduler {
                        scheduler.set_teams(now, &effective);
                    }
                }
                self.fleet
                    .begin_term(now, token, &self.operator, &self.settings);
                self.peer_observations = PeerObservations::default();
                let long = stuck_after_s(&self.settings) * 6.0;
                let stuck = self.stuck.values().any(|at| now.since(*at) < long);
                if let (Some(scheduler), true) = (&mut self.scheduler, stuck) {
                    scheduler.slow_start();
                }
                self.store
                    .set_rate_share(leader_share(&self.settings), LEADER_ADMISSION_SHARE);
                self.nudged.clear();
                self.peers.last_sent = Time::default();
                self.heartbeat_sent = Time::default();
                self.job_store.request_refresh();
            }
        }
    }

    pub(super) fn take_frame(&mut self, now: Time, frame: Frame, out: &mut Vec<Effect>) {
        match frame {
            Frame::Heartbeat {
                label,
                store_age_ms,
                ..
            } => {
                self.peers
                    .on_heartbeat(now, &label, store_age_ms as f64 / 1e3);
            }
            Frame::Readiness {
                label,
                ready,
                drained,
            } => {
                self.peers.on_readiness(now, &label, ready, drained);
            }
            Frame::Query {
                from,
                serial,
                query,
            } => {
                self.on_peer_query(now, from, serial, &query, out);
            }
            Frame::QueryResponse {
                serial,
                status,
                body,
            } => {
                self.on_leader_response(serial, status, body, out);
            }
            Frame::Progress(rows) => {
                if let Some(list) = self.peers.progress.add_frame(rows) {
                    self.user_api.reported_counts = list;
                }
            }
            Frame::MisroutedWorkers { machines, .. } => {
                let machines = machines.iter().filter_map(|m| MachineId::parse(m));
                self.peer_observations.record(now, machines);
            }
            Frame::LeaderStalled { label } => {
                tracing::warn!("{label} was stuck as the holder");
                if self.settings.members.iter().any(|m| m.label == label) {
                    self.stuck.insert(label, now);
                }
            }
            Frame::JobsEnded { jobs } => {
                let jobs = jobs.iter().filter_map(|j| JobId::parse(j));
                self.user_api.on_end_announced(now, jobs);
            }
            Frame::LeaderHeartbeat {
                label,
                fencing_token: token,
            } => {
                if self.peers.token_of(&label) != Some(token) {
                    self.misrouted_workers.on_leader_changed();
                }
                self.leader_detector
                    .on_heartbeat(now, &label, FencingToken(token));
                self.peers
                    .on_leader_announcement(now, &label, FencingToken(token));
                // Guard 1: a higher token was taken, so ours is over.
                let change = self.election.on_token_claim(now, token);
                self.on_leadership_change(now, change);
            }
        }
    }
}
