//! The admin API for operators: routes requests to this controller's replicas, to the user API or
//! to the leader.
//!
//! - [`leader_queries`]: queries that only the leader can answer.
//! - [`views`]: answers from this controller's replicas.
//! - [`metrics_page`]: the metrics page.
//! - [`delegated`]: converts answers of the user API to the admin API's format.

mod delegated;
mod leader_queries;
mod metrics_page;
mod views;

use super::Node;
use crate::admin_api::{self, PendingQueries, ReplicaFreshness, ResponseMerge, Route};
use crate::admin_api::{LocalQuery, LocalTarget};
use crate::configuration::ChangeResponse;
use crate::directives::DirectiveResponse;
use crate::user_api::{self, SubmittedJob};
use beamhinge_admin_api::auth::Caller;
use beamhinge_admin_api::directives::DirectiveChange;
use beamhinge_admin_api::messages::{Code, ConfigurationResponse, JobRequest, ServerInfo};
use beamhinge_configuration::ConfigurationChange;
use beamhinge_core::http::{Content, Request};
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{JobId, RequestId, Time, WallMs};

impl Node {
    /// Returns whether the predicate `need` holds for the pending queries; `false` without an
    /// admin API.
    pub(super) fn admin_needs(&self, need: fn(&PendingQueries) -> bool) -> bool {
        self.admin_api
            .as_ref()
            .is_some_and(|api| need(&api.pending))
    }

    /// Handles a request on the operators' listener.
    pub(super) fn on_admin_request(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        request: &Request,
        out: &mut Vec<Effect>,
    ) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        match admin_api.receive(now, wall, request) {
            Ok((caller, route)) => {
                let name = route.name();
                let _span = tracing::debug_span!("admin_request", route = name, by = %caller.name)
                    .entered();
                self.metrics.on_request(now, id, name);
                self.route_admin_request(now, wall, id, caller, route, out);
            }
            Err(rejection) => {
                let (status, problem) = (rejection.status, rejection.problem);
                tracing::debug!(status, error = %problem.error, "refused admin request");
                admin_api::respond(out, id, status, &problem);
            }
        }
    }

    fn route_admin_request(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        caller: Caller,
        route: Route,
        out: &mut Vec<Effect>,
    ) {
        match route {
            Route::Hello => {
                let info = self.server_info(wall);
                admin_api::respond(out, id, 200, &info);
            }
            Route::Metrics => out.push(Effect::AdminAnswer {
                to: id,
                status: 200,
                retry_after: None,
                content: Content::Text,
                body: self.metrics_page(now, wall).into_bytes(),
            }),
            Route::Nodes => admin_api::respond(out, id, 200, &self.node_rows(now)),
            Route::Jobs(filter) => self.wait_for_replica(now, id, LocalTarget::Jobs(filter)),
            Route::Job { id: job, explain } => {
                self.wait_for_replica(now, id, LocalTarget::Job { id: job, explain });
            }
            Route::Directives => self.wait_for_replica(now, id, LocalTarget::Directives),
            Route::Configuration if self.configuration.is_enabled() => {
                self.wait_for_replica(now, id, LocalTarget::Configuration);
            }
            Route::Configuration => {
                admin_api::respond(out, id, 200, &self.configuration_view());
            }
            Route::ChangeConfiguration(change) => {
                self.change_configuration(now, id, *change, caller.name, out);
            }
            Route::ChangeDirective(change) => {
                self.change_directive(now, id, change, caller.name, out);
            }
            Route::Submit(job) => self.submit_for_operator(now, wall, id, *job, out),
            Route::Cancel(job) => self.cancel_for_operator(now, id, job, &caller.name, out),
            Route::LeaderQuery(query) => {
                self.query_leader(now, id, query, ResponseMerge::PassThrough, out);
            }
        }
    }

    fn server_info(&self, wall: WallMs) -> ServerInfo {
        let instance = self
            .admin_api
            .as_ref()
            .map(|api| api.instance().to_string());
        ServerInfo {
            label: self.settings.label.clone(),
            instance: instance.unwrap_or_default(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            time_ms: wall.0,
        }
    }

    fn wait_for_replica(&mut self, now: Time, request: RequestId, target: LocalTarget) {
        if let Some(admin_api) = &mut self.admin_api {
            admin_api.pending.push_local(now, request, target);
        }
    }

    fn submit_for_operator(
        &mut self,
        now: Time,
        wall: WallMs,
        request: RequestId,
        job: JobRequest,
        out: &mut Vec<Effect>,
    ) {
        let Some(id) = JobId::parse(&job.job) else {
            let reason = "job is not of the form job-000412";
            return admin_api::refuse(out, request, 400, Code::Malformed, reason);
        };
        let spec = job.spec(wall.0);
        if let Err(error) = user_api::validate(&spec) {
            let reason = error.to_string();
            return admin_api::refuse(out, request, 400, Code::Malformed, &reason);
        }
        let feasibility = self.feasibility(&spec);
        if let Some(admin_api) = &mut self.admin_api {
            admin_api.pending.delegate(request);
        }
        let job = SubmittedJob {
            id,
            spec,
            feasibility,
        };
        self.user_api
            .submit(now, request, job, &self.job_store, out);
    }

    fn cancel_for_operator(
        &mut self,
        now: Time,
        request: RequestId,
        job: JobId,
        by: &str,
        out: &mut Vec<Effect>,
    ) {
        tracing::info!(%by, %job, "requested cancellation");
        if let Some(admin_api) = &mut self.admin_api {
            admin_api.pending.delegate(request);
        }
        self.user_api
            .cancel(now, request, job, &self.job_store, out);
    }

    fn change_directive(
        &mut self,
        now: Time,
        request: RequestId,
        change: DirectiveChange,
        by: String,
        out: &mut Vec<Effect>,
    ) {
        tracing::info!(%by, set = change.set, target = %change.target, "requested directive");
        if !self.directives.change(now, request, change, by) {
            admin_api::busy(out, request, "too many changes wait");
        }
    }

    fn change_configuration(
        &mut self,
        now: Time,
        request: RequestId,
        change: ConfigurationChange,
        by: String,
        out: &mut Vec<Effect>,
    ) {
        let (seen, teams) = (change.seen.0, change.teams.len());
        tracing::info!(%by, seen, teams, "requested configuration change");
        if !self.configuration.is_enabled() {
            let reason = "changes are not turned on here: set `[configuration] on = yes` in the \
                          operators' file of every controller";
            return admin_api::refuse(out, request, 409, Code::Refused, reason);
        }
        // Only the leader knows the fleet's capacity; followers answer without a warning.
        let machine_types = self.fleet.machine_types();
        let scheduler = self.scheduler.as_ref().filter(|s| s.loaded());
        let fleet_cpus = scheduler.map(|s| s.totals(now, self.wall, machine_types).cpus);
        let queued = self
            .configuration
            .change(now, request, change, by, fleet_cpus);
        if !queued {
            admin_api::busy(out, request, "too many changes wait");
        }
    }

    /// Answers the requests whose configuration changes were decided.
    pub(super) fn answer_configuration_changes(
        &self,
        responses: Vec<(RequestId, ChangeResponse)>,
        out: &mut Vec<Effect>,
    ) {
        for (request, response) in responses {
            match response {
                ChangeResponse::Applied { version, warning } => {
                    let response = ConfigurationResponse { version, warning };
                    admin_api::respond(out, request, 200, &response);
                }
                ChangeResponse::Refused(error) => {
                    admin_api::refuse(out, request, 409, Code::Refused, &error.to_string());
                }
                ChangeResponse::Busy(reason) => admin_api::busy(out, request, &reason),
            }
        }
    }

    /// Answers the requests whose directive changes were decided.
    pub(super) fn answer_directive_changes(
        &self,
        responses: Vec<(RequestId, DirectiveResponse)>,
        out: &mut Vec<Effect>,
    ) {
        for (request, response) in responses {
            match response {
                DirectiveResponse::Applied(changed) => {
                    admin_api::respond(out, request, 200, &changed);
                }
                DirectiveResponse::Busy(reason) => admin_api::busy(out, request, reason),
                DirectiveResponse::LimitReached => {
                    let reason = "as many directives stand as may: lift some first";
                    admin_api::refuse(out, request, 409, Code::Refused, reason);
                }
            }
        }
    }

    /// Answers the pending queries that can be answered now, and refuses those that are overdue.
    pub(super) fn run_admin_api(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        if admin_api.pending.is_idle() {
            return;
        }
        if admin_api.pending.needs_leadership_check() && self.scheduler.is_some() {
            self.election.request_block_check(now);
        }
        let freshness = ReplicaFreshness {
            jobs: self.job_store.fresh_as_of(),
            directives: self.directives.fresh_as_of(),
            configuration: self.configuration.fresh_as_of(),
        };
        for query in admin_api.pending.take_ready_local(&freshness) {
            self.answer_local(now, wall, query, out);
        }
        self.answer_leader_queries(now, wall, out);
        self.refuse_overdue_queries(now, out);
    }

    fn refuse_overdue_queries(&mut self, now: Time, out: &mut Vec<Effect>) {
        let is_leader = self.scheduler.is_some();
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        let overdue = admin_api.pending.take_overdue(now, is_leader);
        for request in overdue.clients {
            let reason = "no answer in time: an election, or the state service is away";
            admin_api::busy(out, request, reason);
        }
        for (label, serial) in overdue.peers {
            leader_queries::refuse_peer(label, serial, out);
        }
    }

    /// Answers a query from this controller's replicas.
    fn answer_local(&mut self, now: Time, wall: WallMs, query: LocalQuery, out: &mut Vec<Effect>) {
        let to = query.request;
        match query.target {
            LocalTarget::Directives => {
                admin_api::respond(out, to, 200, &self.directives_view());
            }
            LocalTarget::Configuration => {
                admin_api::respond(out, to, 200, &self.configuration_view());
            }
            LocalTarget::Jobs(filter) => {
                admin_api::respond(out, to, 200, &self.job_page(wall, &filter));
            }
            LocalTarget::Job { id, explain } => {
                self.answer_job(now, wall, to, id, explain, out);
            }
        }
    }
}

#[cfg(test)]
mod tests;
