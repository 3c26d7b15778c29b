//! Requests on the listener for users and workers: routing, health check and job submission.

use super::worker_messages::LeaderRedirect;
use super::Node;
use crate::faults::fault_injected;
use crate::job_store::JobSpec;
use crate::user_api::{self, Feasibility, SubmittedJob};
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{JobId, RequestId, Time, WallMs};
use beamhinge_core::wire;

/// Maximum age of the last exchange with the key-value store for a controller to be healthy while
/// its peers still reach the store, seconds.
const MAX_HEALTHY_STORE_AGE_S: f64 = 2.5;
/// Time after the start of a controller during which it is unhealthy until it has loaded the
/// jobs, and during which it does not conclude that it is partitioned, seconds.
const STARTUP_S: f64 = 5.0;

/// Returns the name of a route on the metrics page.
pub(super) fn route_name(method: Method, path: &str) -> &'static str {
    match (method, path) {
        (_, "/up") => "up",
        (_, "/hello") => "report",
        (Method::Post, "/api/jobs") => "submit",
        (Method::Get, _) => "poll",
        (Method::Post, p) if p.ends_with("/cancel") => "cancel",
        _ => "other",
    }
}

/// Answers a request with an error status and a reason. Status 503 asks the caller to retry.
pub(super) fn refuse(out: &mut Vec<Effect>, to: RequestId, status: u16, reason: &str) {
    let retry_after = (status == 503).then_some(1);
    out.push(Effect::Answer {
        to,
        status,
        retry_after,
        body: wire::error_body(reason),
    });
}

impl Node {
    /// Handles a request on the listener for users and workers.
    pub(super) fn on_user_request(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        request: &Request,
        out: &mut Vec<Effect>,
    ) {
        let path = request.path.split('?').next().unwrap_or("");
        let method = request.method;
        let route = route_name(method, path);
        let _span = tracing::debug_span!("request", route).entered();
        self.metrics.on_request(now, id, route);
        match (path, method) {
            ("/up", Method::Get) => self.answer_health_check(now, id, out),
            ("/hello", Method::Post) => self.on_worker_report(now, id, &request.body, out),
            ("/api/jobs", Method::Post) => self.submit(now, wall, id, &request.body, out),
            ("/up" | "/hello" | "/api/jobs", _) => refuse(out, id, 405, "method not allowed"),
            _ => match path.strip_prefix("/api/jobs/") {
                Some(job_path) => self.route_job(now, id, method, job_path, out),
                None => refuse(out, id, 404, "no such path"),
            },
        }
        self.run(now, wall, out);
    }

    /// Routes a request for one job; `job_path` is the path after `/api/jobs/`.
    fn route_job(
        &mut self,
        now: Time,
        id: RequestId,
        method: Method,
        job_path: &str,
        out: &mut Vec<Effect>,
    ) {
        match (job_path.strip_suffix("/cancel"), method) {
            (Some(job), Method::Post) => match JobId::parse(job) {
                Some(job) => self.user_api.cancel(now, id, job, &self.job_store, out),
                None => refuse(out, id, 404, "no such job"),
            },
            (None, Method::Get) => match JobId::parse(job_path) {
                Some(job) => self.user_api.poll(now, id, job, &self.job_store, out),
                None => refuse(out, id, 404, "no such job"),
            },
            (None, _) if job_path.contains('/') => refuse(out, id, 404, "no such path"),
            _ => refuse(out, id, 405, "method not allowed"),
        }
    }

    /// Answers the load balancer's health check.
    fn answer_health_check(&mut self, now: Time, id: RequestId, out: &mut Vec<Effect>) {
        match self.unhealthy_reason(now) {
            Some(reason) => refuse(out, id, 503, reason),
            None => out.push(Effect::Answer {
                to: id,
                status: 200,
                retry_after: None,
                body: wire::encode(&LeaderRedirect { leader: None }),
            }),
        }
    }

    /// Returns why users are better served by another controller, or `None` if this one is healthy.
    fn unhealthy_reason(&self, now: Time) -> Option<&'static str> {
        let peers_reach_store = self.peers.peers_reach_store(now);
        if self.drained() && self.peers.has_successor(now) {
            return Some("operators have drained this controller");
        }
        if self.stall_detector.stalled_for_s(now).is_some() && peers_reach_store {
            return Some("this controller is stuck");
        }
        // In an outage of the key-value store all controllers are equally impaired, and removing
        // them from the load balancer would only prolong the outage for users. But if peers still
        // reach the store, they serve users better.
        let stale = self.store_age_s(now) > MAX_HEALTHY_STORE_AGE_S;
        let starting = !self.job_store.loaded() && now.since(self.started) < STARTUP_S;
        if stale && (peers_reach_store || self.is_partitioned(now)) || starting {
            return Some("the state service cannot be reached from here");
        }
        None
    }

    /// Returns whether this controller reaches neither the key-value store nor any peer. A network
    /// partition of this controller is then more likely than the failure of all others, and users
    /// that stay with it get no answers while it lasts. A store that refuses requests counts as
    /// reachable: otherwise, in an outage in which connections between controllers are refused as
    /// well, all controllers would report themselves unhealthy and the load balancer would have no
    /// controller left.
    fn is_partitioned(&self, now: Time) -> bool {
        let last_response = self.store.last_response();
        let refused = last_response.is_some_and(|t| now.since(t) < MAX_HEALTHY_STORE_AGE_S);
        let refused = refused && !fault_injected!(self.faults, refusal_counts_as_unreachable);
        !refused
            && !self.settings.members.is_empty()
            && now.since(self.started) > STARTUP_S
            && self
                .peers
                .newest_heartbeat_age_s(now)
                .is_none_or(|s| s > 2.5)
    }

    fn submit(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let too_large = |v: &ciborium::Value| wire::json_len(v) > wire::MAX_BODY_BYTES;
        if body.len() > wire::MAX_BODY_BYTES
            || wire::decode::<ciborium::Value>(body).is_ok_and(|v| too_large(&v))
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

    /// Assesses whether a job can ever run in this cluster, given the teams in effect. A controller
    /// that has not loaded the teams yet returns [`Feasibility::Unknown`]: the job's team may have
    /// been added.
    pub(super) fn feasibility(&self, spec: &JobSpec) -> Feasibility {
        if !self.configuration.is_ready() {
            return Feasibility::Unknown;
        }
        let team = self.configuration.effective().team(&spec.team);
        user_api::assess(spec, team, &self.settings, self.fleet.machine_types())
    }
}

#[cfg(test)]
mod tests;
