//! Queries that only the leader can answer: a follower forwards them to the leader, the leader
//! answers them, and the response is passed to the client.

use super::super::Node;
use crate::admin_api::{self, LeaderQuery, Requester, ResponseMerge, MAX_ANSWER_BYTES};
use crate::event_log::DecisionPage;
use crate::fleet::MachineQuery;
use crate::scheduler::Scheduler;
use beamhinge_admin_api::messages::{
    Decisions, Explanation, JobDetail, JobPlacement, JobRow, Query, SpecView, State, Summary,
};
use beamhinge_core::http::Content;
use beamhinge_core::messages::Effect;
use beamhinge_core::peers::{encode, Frame};
use beamhinge_core::types::{JobId, MachineId, RequestId, Time, WallMs};
use serde::Serialize;

/// The leader's response as sent to the controller that forwarded the query: HTTP status and JSON.
struct LeaderResponse {
    status: u16,
    body: Vec<u8>,
}

impl LeaderResponse {
    /// The response of a controller that cannot answer at present.
    fn unavailable() -> LeaderResponse {
        LeaderResponse {
            status: 503,
            body: Vec::new(),
        }
    }

    /// Encodes a value as JSON. If it does not fit into a frame, the response is `unavailable`.
    fn json<T: Serialize>(value: &T) -> LeaderResponse {
        match serde_json::to_vec(value) {
            Ok(body) if body.len() <= MAX_ANSWER_BYTES => LeaderResponse { status: 200, body },
            _ => LeaderResponse::unavailable(),
        }
    }

    fn send_to_peer(self, label: String, serial: u64, out: &mut Vec<Effect>) {
        let frame = encode(&Frame::QueryResponse {
            serial,
            status: self.status,
            body: self.body,
        });
        out.push(Effect::SendFrame {
            to: Some(label),
            frame,
        });
    }
}

/// Responds to a peer that its query is not answered here.
pub(super) fn refuse_peer(label: String, serial: u64, out: &mut Vec<Effect>) {
    LeaderResponse::unavailable().send_to_peer(label, serial, out);
}

impl Node {
    /// Sends a query to the leader, or queues it here if this controller is the leader. If no
    /// leader is known, the client is refused and must retry.
    pub(super) fn query_leader(
        &mut self,
        now: Time,
        request: RequestId,
        query: Query,
        merge: ResponseMerge,
        out: &mut Vec<Effect>,
    ) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        if self.scheduler.is_some() {
            let requester = Requester::Client { request, merge };
            return admin_api.pending.push_leader_query(now, requester, query);
        }
        let leader = self.peers.leader(now).or(self.election.other_leader());
        let (Some(leader), Ok(query)) = (leader, postcard::to_stdvec(&query)) else {
            let reason = "no controller leads just now: an election is under way";
            return admin_api::busy(out, request, reason);
        };
        let frame = Frame::Query {
            from: self.settings.label.clone(),
            serial: admin_api.pending.push_forwarded(now, request, merge),
            query,
        };
        out.push(Effect::SendFrame {
            to: Some(leader.to_string()),
            frame: encode(&frame),
        });
    }

    /// Handles a query from a peer that considers this controller the leader.
    pub(in crate::node) fn on_peer_query(
        &mut self,
        now: Time,
        from: String,
        serial: u64,
        query: &[u8],
        out: &mut Vec<Effect>,
    ) {
        // A controller without an operators' listener answers no operators, not even through a
        // peer: whoever runs it has not enabled that.
        let accepted = match (postcard::from_bytes::<Query>(query), &mut self.admin_api) {
            (Ok(query), Some(admin_api)) if self.scheduler.is_some() => {
                admin_api.receive_from_peer(now, from.clone(), serial, query)
            }
            _ => false,
        };
        if !accepted {
            refuse_peer(from, serial, out);
        }
    }

    /// Handles the leader's response to a forwarded query.
    pub(in crate::node) fn on_leader_response(
        &mut self,
        serial: u64,
        status: u16,
        body: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        if let Some((request, merge)) = admin_api.pending.take_forwarded(serial) {
            answer_client(request, merge, LeaderResponse { status, body }, out);
        }
    }

    /// Answers the queries for the leader, if this controller is the leader and its leadership was
    /// confirmed after the queries arrived.
    pub(super) fn answer_leader_queries(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        let loaded = self.scheduler.as_ref().is_some_and(Scheduler::loaded);
        if !loaded || !self.entitled(now) {
            return;
        }
        let fresh = self.job_store.fresh_as_of();
        let confirmed_at = fresh.map(|fresh| fresh.min(self.election.block_confirmed_at()));
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        for query in admin_api.pending.take_ready_leader(confirmed_at) {
            let LeaderQuery {
                requester, query, ..
            } = query;
            let response = self.answer_as_leader(now, wall, &query);
            match requester {
                Requester::Client { request, merge } => {
                    answer_client(request, merge, response, out);
                }
                Requester::Peer { label, serial } => response.send_to_peer(label, serial, out),
            }
        }
    }

    fn answer_as_leader(&self, now: Time, wall: WallMs, query: &Query) -> LeaderResponse {
        let Some(scheduler) = self.scheduler.as_ref().filter(|s| s.loaded()) else {
            return LeaderResponse::unavailable();
        };
        let machine_types = self.fleet.machine_types();
        match query {
            Query::Job { job } => match self.describe_open_job(now, wall, job, scheduler) {
                Some(placed) => LeaderResponse::json(&placed),
                None => LeaderResponse::unavailable(),
            },
            Query::Machines {
                machine_type,
                zone,
                after,
                limit,
            } => {
                let query = MachineQuery {
                    machine_type: machine_type.as_deref(),
                    zone: zone.as_deref(),
                    after: after.as_deref().and_then(MachineId::parse),
                    limit: *limit,
                };
                LeaderResponse::json(&self.fleet.render_machines(now, &query, scheduler))
            }
            Query::Teams => {
                LeaderResponse::json(&scheduler.describe_teams(now, &self.settings, machine_types))
            }
            Query::Splits => LeaderResponse::json(&self.fleet.render_parameter_pairs()),
            Query::Summary => LeaderResponse::json(&self.summary(now, wall, scheduler)),
            Query::Decisions {
                token,
                after,
                limit,
            } => {
                let term_token = scheduler.fencing_token().0;
                // Serial numbers of another leader mean nothing here: start at the oldest decision.
                let after = if *token == term_token { *after } else { 0 };
                let DecisionPage { decisions, missed } =
                    scheduler.event_log.decisions_after(after, *limit);
                LeaderResponse::json(&Decisions {
                    token: term_token,
                    decisions,
                    missed,
                })
            }
        }
    }

    /// Describes an open job's tasks and why they wait; `None` if the scheduler does not know it.
    fn describe_open_job(
        &self,
        now: Time,
        wall: WallMs,
        job: &str,
        scheduler: &Scheduler,
    ) -> Option<JobPlacement> {
        let id = JobId::parse(job)?;
        let machine_types = self.fleet.machine_types();
        let mut placed = scheduler.describe_job(now, wall, id, &self.settings, machine_types)?;
        let blocks_placement = |name: &str| matches!(name, "frozen" | "team_limit");
        if placed.waiting == 0 || placed.reasons.iter().any(|r| blocks_placement(r.name())) {
            return Some(placed);
        }
        if let Some((demand, spec)) = scheduler.demand_of(wall, id, machine_types) {
            let reasons = self.fleet.explain_pending_job(
                now,
                wall,
                (&demand, &spec),
                &self.settings,
                scheduler,
            );
            placed.reasons.extend(reasons);
        }
        Some(placed)
    }

    fn summary(&self, now: Time, wall: WallMs, scheduler: &Scheduler) -> Summary {
        let machine_types = self.fleet.machine_types();
        let totals = scheduler.totals(now, wall, machine_types);
        Summary {
            leader: self.settings.label.clone(),
            token: scheduler.fencing_token().0,
            jobs_open: totals.jobs_open,
            jobs_running: totals.jobs_running,
            tasks_running: totals.tasks_running,
            tasks_waiting: totals.tasks_waiting,
            oldest_wait_s: totals.oldest_wait_s,
            machines_up: totals.machines_up,
            machines_starting: self.fleet.starting_machines(scheduler),
            machines_silent: totals.machines_silent,
            cpus: totals.cpus,
            cpus_used: totals.cpus_used,
            teams: scheduler.describe_teams(now, &self.settings, machine_types),
            directives: self.directives.active_directives().len() as u32,
        }
    }
}

/// Answers a client with the leader's response.
fn answer_client(
    request: RequestId,
    merge: ResponseMerge,
    response: LeaderResponse,
    out: &mut Vec<Effect>,
) {
    if response.status != 200 {
        return admin_api::busy(out, request, "the holder cannot answer just now");
    }
    match merge {
        ResponseMerge::PassThrough => out.push(Effect::AdminAnswer {
            to: request,
            status: 200,
            retry_after: None,
            content: Content::Json,
            body: response.body,
        }),
        ResponseMerge::Job { row, spec, explain } => {
            match serde_json::from_slice::<JobPlacement>(&response.body) {
                Ok(placed) => answer_open_job(request, *row, *spec, explain, placed, out),
                Err(_) => {
                    admin_api::busy(out, request, "the holder answered in an unknown form");
                }
            }
        }
    }
}

/// Answers a query for an open job with its row from the replica and the leader's placement data.
fn answer_open_job(
    request: RequestId,
    mut row: JobRow,
    spec: Option<SpecView>,
    explain: bool,
    placed: JobPlacement,
    out: &mut Vec<Effect>,
) {
    (row.done, row.running) = (placed.done, placed.running);
    row.state = if placed.running > 0 {
        State::Running
    } else {
        State::Pending
    };
    if explain {
        let text = placed.reasons.iter().map(ToString::to_string).collect();
        let explanation = Explanation {
            job: row.job,
            state: row.state,
            waiting: placed.waiting,
            reasons: placed.reasons,
            text,
        };
        admin_api::respond(out, request, 200, &explanation);
    } else {
        let placed = Some(placed);
        let detail = JobDetail { row, spec, placed };
        admin_api::respond(out, request, 200, &detail);
    }
}
