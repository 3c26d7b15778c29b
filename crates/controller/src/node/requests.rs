//! Requests of users and workers.

use super::Node;
use crate::faults::broken;
use crate::job_store::JobSpec;
use crate::user_api::{self, Feasibility, SubmittedJob};
use crate::worker_protocol::{WorkerCommand, WorkerReport};
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{FencingToken, JobId, MachineId, RequestId, Time, WallMs};
use beamhinge_core::wire;
use serde::Serialize;

#[derive(Serialize)]
struct WorkerAnswer {
    #[serde(rename = "baton")]
    fencing_token: u64,
    #[serde(rename = "orders")]
    commands: Vec<WorkerCommand>,
}

#[derive(Serialize)]
struct Elsewhere<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "foreman")]
    leader: Option<&'a str>,
}

/// How long a machine that was sent to the holder must not come back.
const DEAF_S: f64 = 12.0;

/// A route's name on the metrics page.
fn users_route(method: Method, path: &str) -> &'static str {
    match (method, path) {
        (_, "/up") => "up",
        (_, "/hello") => "report",
        (Method::Post, "/api/jobs") => "submit",
        (Method::Get, _) => "poll",
        (Method::Post, p) if p.ends_with("/cancel") => "cancel",
        _ => "other",
    }
}

fn refuse(out: &mut Vec<Effect>, to: RequestId, status: u16, why: &str) {
    let retry_after = (status == 503).then_some(1);
    out.push(Effect::Answer {
        to,
        status,
        retry_after,
        body: wire::error_body(why),
    });
}

impl Node {
    pub(super) fn take_request(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        req: Request,
        out: &mut Vec<Effect>,
    ) {
        let path = req.path.split('?').next().unwrap_or("");
        let method = req.method;
        let _span = tracing::debug_span!("request", route = users_route(method, path)).entered();
        let wrong = |out: &mut Vec<Effect>| refuse(out, id, 405, "method not allowed");
        self.metrics.on_request(now, id, users_route(method, path));
        match path {
            "/up" if method == Method::Get => self.up(now, id, out),
            "/hello" if method == Method::Post => self.hello(now, id, &req.body, out),
            "/api/jobs" if method == Method::Post => self.submit(now, wall, id, &req.body, out),
            "/up" | "/hello" | "/api/jobs" => wrong(out),
            _ => match path.strip_prefix("/api/jobs/") {
                None => refuse(out, id, 404, "no such path"),
                Some(rest) => match (rest.strip_suffix("/cancel"), method) {
                    (Some(job), Method::Post) => match JobId::parse(job) {
                        Some(job) => self.user_api.cancel(now, id, job, &self.job_store, out),
                        None => refuse(out, id, 404, "no such job"),
                    },
                    (None, Method::Get) => match JobId::parse(rest) {
                        Some(job) => self.user_api.poll(now, id, job, &self.job_store, out),
                        None => refuse(out, id, 404, "no such job"),
                    },
                    _ if rest.contains('/') && !rest.ends_with("/cancel") => {
                        refuse(out, id, 404, "no such path")
                    }
                    _ => wrong(out),
                },
            },
        }
        self.run(now, wall, out);
    }

    pub(super) fn up(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        // In an outage of the state service all nodes are equally poor, and
        // stepping aside would only prolong it for the users afterwards. But
        // where others still reach it, they serve better than we can.
        let age = self.store_age(now);
        if self.drained() && self.peers.has_successor(now) {
            refuse(out, id, 503, "operators have drained this controller");
        } else if self.stall_detector.stalled_for_s(now).is_some()
            && self.peers.peers_reach_store(now)
        {
            refuse(out, id, 503, "this controller is stuck");
        } else if age > 2.5 && (self.peers.peers_reach_store(now) || self.cut_off(now))
            || !self.job_store.loaded() && now.since(self.started) < 5.0
        {
            refuse(
                out,
                id,
                503,
                "the state service cannot be reached from here",
            );
        } else {
            out.push(Effect::Answer {
                to: id,
                status: 200,
                retry_after: None,
                body: wire::encode(&Elsewhere { leader: None }),
            });
        }
    }

    /// Neither the state service nor any peer is heard from here: it is more likely
    /// that we are cut off than that all of them are gone. Users who stay at such a
    /// controller are told nothing for as long as that lasts. A service that refuses is
    /// heard: in an outage in which connections between controllers were refused as
    /// well, all said so of themselves, and the load balancer was left with none, for
    /// longer than either lasted.
    pub(super) fn cut_off(&self, now: Time) -> bool {
        let refused = self
            .store
            .last_response()
            .is_some_and(|t| now.since(t) < 2.5);
        let refused = refused && !broken!(self.faults, refused_is_cut);
        !refused
            && !self.settings.members.is_empty()
            && now.since(self.started) > 5.0
            && self.peers.silence_s(now).is_none_or(|s| s > 2.5)
    }

    /// Operators want this controller out of the way.
    pub(super) fn drained(&self) -> bool {
        self.directives
            .active_directives()
            .controller_drained(&self.settings.label)
    }

    pub(super) fn store_age(&self, now: Time) -> f64 {
        self.store.last_success().map_or(1e6, |t| now.since(t))
    }

    pub(super) fn submit(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) {
        if body.len() > wire::MAX_BODY_BYTES
            || wire::decode::<ciborium::Value>(body)
                .is_ok_and(|v| wire::json_len(&v) > wire::MAX_BODY_BYTES)
        {
            return refuse(out, id, 413, "the body is too large");
        }
        match user_api::read_submission(body, wall) {
            Err(error) => refuse(out, id, 400, &error.to_string()),
            Ok((job, spec)) => {
                let feasibility = self.feasibility(&spec);
                let job = SubmittedJob {
                    id: job,
                    spec,
                    feasibility,
                };
                self.user_api.submit(now, id, job, &self.job_store, out);
            }
        }
    }

    /// Whether a job can ever run here, by the teams that count now. One who does not
    /// know them yet does not decide: a team may have been added.
    pub(super) fn feasibility(&self, spec: &JobSpec) -> Feasibility {
        if !self.configuration.is_ready() {
            return Feasibility::Unknown;
        }
        let team = self.configuration.effective().team(&spec.team);
        user_api::assess(spec, team, &self.settings, self.fleet.machine_types())
    }

    pub(super) fn hello(&mut self, now: Time, id: RequestId, body: &[u8], out: &mut Vec<Effect>) {
        let Ok(report) = wire::decode::<WorkerReport>(body) else {
            return refuse(out, id, 400, "the report has an unknown form");
        };
        // Guard 1: a worker that has seen a higher token answers to somebody
        // else; we are no longer entitled.
        let change = self.election.on_token_claim(now, report.fencing_token);
        self.on_leadership_change(now, change);
        if self
            .election
            .token()
            .is_some_and(|t| report.fencing_token > t.0)
        {
            return refuse(out, id, 503, "a token that was never given");
        }
        let entitled = self.entitled(now);
        match (&mut self.scheduler, entitled) {
            (Some(scheduler), true) => {
                let token = scheduler.fencing_token();
                let commands =
                    scheduler.on_report(now, &report, self.fleet.machine_types(), &self.job_store);
                if !commands.is_empty() {
                    tracing::debug!("orders to {}: {commands:?}", report.host);
                }
                let body = wire::encode(&WorkerAnswer {
                    fencing_token: token.0,
                    commands,
                });
                out.push(Effect::Answer {
                    to: id,
                    status: 200,
                    retry_after: None,
                    body,
                });
            }
            // A holder out of touch names nobody: it may still be the holder.
            (Some(_), false) => refuse(out, id, 503, "out of touch with the state service"),
            (None, _) => {
                let machine = MachineId::parse(&report.host);
                let deaf =
                    machine.is_some_and(|m| self.misrouted_workers.record_report(now, m, DEAF_S));
                let seen = FencingToken(report.fencing_token);
                machine
                    .into_iter()
                    .for_each(|m| self.leader_detector.on_misrouted_report(now, m, seen));
                let leader = self.peers.leader(now).or(self.election.other_leader());
                // Sent to the holder a moment ago and back again: it is not
                // answered there, and would wait for its time-out once more. Nor is
                // it named where nothing is heard of it any more.
                let leader = leader.filter(|_| !deaf && !self.leader_detector.is_silent(now));
                if let (Some(m), Some(_)) = (machine, leader) {
                    self.misrouted_workers.record_redirect(m);
                }
                out.push(Effect::Answer {
                    to: id,
                    status: 421,
                    retry_after: None,
                    body: wire::encode(&Elsewhere { leader }),
                });
            }
        }
    }

    /// Guard 4: H after the last exchange that showed us both the jobs and our
    /// hold on the block, we stop answering workers.
    pub(super) fn entitled(&self, now: Time) -> bool {
        let limit = self.settings.serving_deadline_s();
        if broken!(self.faults, no_h) {
            return self.scheduler.is_some();
        }
        if broken!(self.faults, h_by_hold) {
            return self.scheduler.is_some()
                && now.since(self.election.block_confirmed_at()) < limit;
        }
        let seen = self
            .job_store
            .fresh_as_of()
            .is_some_and(|jobs| now.since(jobs) < limit);
        self.scheduler.is_some() && seen && now.since(self.election.block_confirmed_at()) < limit
    }

    /// Sure enough to hold the block to rent and give back: confirmed within the
    /// time in which nobody else can have taken it unnoticed for long.
    pub(super) fn acting(&self, now: Time) -> bool {
        self.scheduler.is_some()
            && now.since(self.election.block_confirmed_at()) < self.settings.leader_lease_s() + 2.0
    }
}

#[cfg(test)]
mod tests;
