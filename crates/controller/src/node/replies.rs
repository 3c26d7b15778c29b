//! Replies of the state service, the cloud and workers, and what peers tell.

use super::{follower_share, holder_share, stuck_after_s, Node, HOLDER_ACCEPTS};
use crate::calls::Tag;
use crate::event_log::EventLog;
use crate::intake::Context;
use crate::leader_election::LeadershipChange;
use crate::placement::{Placement, Report, Verdict};
use crate::store::Reply;
use beamhinge_admin_api::messages::What;
use beamhinge_core::messages::{Effect, TaskCounts};
use beamhinge_core::peers::Frame;
use beamhinge_core::types::{CallId, FencingToken, JobId, MachineId, Time, WallMs};
use beamhinge_core::wire;
use beamhinge_failure_detection::PeerObservations;
use beamhinge_priority_aging::Policy;

struct Own<'a>(Option<&'a Placement>);

impl Context for Own<'_> {
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
        self.metrics.replied(now, id, result.is_some());
        let _span = tracing::debug_span!("reply", call = id.0).entered();
        if self.store.owns_call(id) {
            if let Some(reply) = self.store.on_reply(id, result) {
                self.route(now, reply, out);
            }
        } else if self.fleet.owns_call(id) {
            self.fleet.on_cloud(now, id, result, self.place.as_mut());
        } else if self.nudges.remove(&id).is_some() {
            // Executed, or refused for its session: either way the body is a report.
            let body = result.filter(|(status, _)| matches!(status, 200 | 409)).map(|(_, b)| b);
            if let Some(report) = body.and_then(|b| wire::decode::<Report>(&b).ok()) {
                self.direct_answer(now, &report);
            }
        }
        self.run(now, wall, out);
    }

    /// What a worker says in the answer to a direct command.
    pub(super) fn direct_answer(&mut self, now: Time, report: &Report) {
        // Guard 1: as with its reports.
        let change = self.election.on_token_claim(now, report.baton);
        self.on_leadership_change(now, change);
        if let Some(place) = &mut self.place {
            place.direct_answer(now, report, &self.job_store);
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
                self.answer_changes(told, out);
            }
            Tag::Configuration(call) => {
                self.configuration.on_reply(now, call, reply);
                self.spread_teams(now);
            }
            Tag::ConfigurationMember => self.configuration.on_registered(),
            Tag::ConfigurationChange(serial) => {
                let mut told = Vec::new();
                self.configuration.on_changed(now, serial, reply, &mut told);
                self.answer_configured(told, out);
            }
            Tag::Job(call) => {
                let freshness = self.job_store.on_reply(now, call, reply);
                self.spread_changes(now);
                self.intake.on_fresh(
                    now,
                    freshness,
                    &self.job_store,
                    &Own(self.place.as_ref()),
                    out,
                );
            }
            Tag::Election(call) => {
                let change = self.election.on_reply(now, call, reply, &mut self.store);
                self.on_leadership_change(now, change);
            }
            Tag::Placement(call) => {
                let Some(place) = &mut self.place else { return };
                match place.on_reply(now, call, reply, &mut self.job_store) {
                    Verdict::Fine => {}
                    Verdict::Confirmed(sent) => self.election.confirm_block(sent),
                    Verdict::RefreshJobs => self.job_store.request_refresh(),
                    Verdict::RefreshConfiguration => {
                        self.configuration.request_refresh();
                        self.job_store.request_refresh();
                    }
                    Verdict::Deposed => {
                        let change = self.election.step_down_deposed(now);
                        self.on_leadership_change(now, change);
                    }
                }
                self.spread_changes(now);
            }
            Tag::Intake(call) => {
                self.intake.on_reply(now, call, reply, &mut self.job_store, out);
                self.spread_changes(now);
            }
            Tag::Fleet(call) => self.fleet.on_store_reply(now, call, reply),
        }
    }

    pub(super) fn spread_changes(&mut self, now: Time) {
        let changed = self.job_store.take_changed();
        if let Some(place) = self.place.as_mut().filter(|p| p.loaded()) {
            for id in changed {
                place.sync_job(now, id, &self.job_store);
            }
        }
    }

    pub(super) fn spread_directives(&mut self, now: Time) {
        if !self.directives.take_changed() {
            return;
        }
        let standing = self.directives.standing().clone();
        tracing::info!("{} drains and freezes stand", standing.len());
        if let Some(place) = &mut self.place {
            place.set_standing(now, standing, self.fleet.shapes());
        }
    }

    /// Teams that changed count for placements from here on.
    pub(super) fn spread_teams(&mut self, now: Time) {
        if !self.configuration.take_changed() {
            return;
        }
        let effective = self.configuration.effective().clone();
        if let Some(place) = &mut self.place {
            place.set_teams(now, &effective);
        }
    }

    pub(super) fn on_leadership_change(&mut self, now: Time, change: LeadershipChange) {
        match change {
            LeadershipChange::Unchanged => {}
            LeadershipChange::Lost => {
                self.place = None;
                self.fleet.end_term();
                self.store.set_rate_share(follower_share(&self.settings), 1.0);
            }
            LeadershipChange::Acquired { token } => {
                let mut event_log = EventLog::new(self.desk.is_some());
                event_log.at(self.wall);
                event_log.note(|| What::Took { token: token.0 });
                // What stood when the lead was taken must be known before
                // anything is placed: a drained machine gets nothing new.
                self.directives.request_refresh();
                let standing = self.directives.standing().clone();
                self.metrics.took(now);
                let ageing = Policy::new(self.operator.ageing);
                let place = Placement::new(&self.settings, token, standing, event_log, ageing, now);
                self.place = Some(place);
                if let Some(place) = &mut self.place {
                    place.faults = self.faults;
                }
                if self.configuration.is_on() {
                    self.configuration.request_refresh();
                    let effective = self.configuration.effective().clone();
                    if let Some(place) = &mut self.place {
                        place.set_teams(now, &effective);
                    }
                }
                self.fleet.begin_term(now, token, &self.operator, &self.settings);
                self.elsewhere = PeerObservations::default();
                let long = stuck_after_s(&self.settings) * 6.0;
                let stuck = self.stuck.values().any(|at| now.since(*at) < long);
                if let (Some(place), true) = (&mut self.place, stuck) {
                    place.begin_small();
                }
                self.store.set_rate_share(holder_share(&self.settings), HOLDER_ACCEPTS);
                self.nudged.clear();
                self.peers.sent = Time::default();
                self.heartbeat_sent = Time::default();
                self.job_store.request_refresh();
            }
        }
    }

    pub(super) fn take_frame(&mut self, now: Time, frame: Frame, out: &mut Vec<Effect>) {
        match frame {
            Frame::Pulse { label, store_age_ms, .. } => {
                self.peers.pulse(now, &label, store_age_ms as f64 / 1e3);
            }
            Frame::Ready { label, ready, drained } => {
                self.peers.ready(now, &label, ready, drained);
            }
            Frame::Ask { from, serial, query } => {
                self.asked_by_peer(now, from, serial, &query, out);
            }
            Frame::Told { serial, status, body } => {
                self.told_by_holder(serial, status, body, out);
            }
            Frame::Progress(rows) => {
                if let Some(list) = self.peers.progress.came(rows) {
                    self.intake.shown = list;
                }
            }
            Frame::Hears { machines, .. } => {
                let machines = machines.iter().filter_map(|m| MachineId::parse(m));
                self.elsewhere.told(now, machines);
            }
            Frame::Stuck { label } => {
                tracing::warn!("{label} was stuck as the holder");
                if self.settings.members.iter().any(|m| m.label == label) {
                    self.stuck.insert(label, now);
                }
            }
            Frame::Ended { jobs } => {
                let jobs = jobs.iter().filter_map(|j| JobId::parse(j));
                self.intake.heard_ended(now, jobs);
            }
            Frame::Holds { label, token } => {
                if self.peers.token_of(&label) != Some(token) {
                    self.visitors.holder_changed();
                }
                self.holder_detector.heartbeat(now, &label, FencingToken(token));
                self.peers.holds(now, &label, FencingToken(token));
                // Guard 1: a higher token was taken, so ours is over.
                let change = self.election.on_token_claim(now, token);
                self.on_leadership_change(now, change);
            }
        }
    }
}
