//! The operators' side of a controller: questions routed to the copy of the
//! jobs, to the slices or to the holder, and their answers.

use super::Node;
use crate::admin_api::{
    self, Asked, Asker, Copies, Local, Merge, Route, Want, ANSWER_LIMIT, MAX_LOOKED_AT,
};
use crate::configuration::ChangeResponse;
use crate::directives::DirectiveResponse;
use crate::event_log::DecisionPage;
use crate::fleet::MachineQuery;
use crate::job_store::{JobEntry, JobState};
use crate::user_api::{self, SubmittedJob};
use beamhinge_admin_api::auth::Caller;
use beamhinge_admin_api::messages::{
    BehindRow, Code, ConfigurationMade, ConfigurationView, Decisions, Directives, Explanation,
    Hello, JobDetail, JobFilter, JobPage, JobRequest, JobRow, JobTold, NodeRow, Placed, Query,
    QuotaRow, SpecView, State, Summary,
};
use beamhinge_configuration::{ConfigurationChange, EffectiveTeam};
use beamhinge_core::http::{Content, Request};
use beamhinge_core::messages::Effect;
use beamhinge_core::peers::{encode, Frame};
use beamhinge_core::types::{JobId, MachineId, RequestId, Time, WallMs};
use serde::{Deserialize, Serialize};

/// What the users' interface answers, to be put into the operators' form.
#[derive(Deserialize)]
struct UsersAnswer {
    #[serde(rename = "nameId")]
    job: Option<String>,
    status: Option<String>,
    error: Option<String>,
}

fn encoded<T: Serialize>(value: &T) -> (u16, Vec<u8>) {
    match serde_json::to_vec(value) {
        Ok(body) if body.len() <= ANSWER_LIMIT => (200, body),
        _ => (503, Vec::new()),
    }
}

impl Node {
    pub(super) fn operators_request(
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
                let _span =
                    tracing::debug_span!("operator", route = name, by = %caller.name).entered();
                self.metrics.on_request(now, id, route.name());
                self.route_operators(now, wall, id, caller, route, out);
            }
            Err((status, problem)) => {
                tracing::debug!(status, error = %problem.error, "operator refused");
                admin_api::say(out, id, status, &problem);
            }
        }
    }

    fn route_operators(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        caller: Caller,
        route: Route,
        out: &mut Vec<Effect>,
    ) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        match route {
            Route::Hello => {
                let hello = Hello {
                    label: self.settings.label.clone(),
                    instance: admin_api.instance().to_string(),
                    version: env!("CARGO_PKG_VERSION").to_string(),
                    time_ms: wall.0,
                };
                admin_api::say(out, id, 200, &hello);
            }
            Route::Metrics => {
                let body = self.metrics_page(now, wall).into_bytes();
                let content = Content::Text;
                out.push(Effect::OperatorAnswer {
                    to: id,
                    status: 200,
                    retry_after: None,
                    content,
                    body,
                });
            }
            Route::Nodes => {
                let nodes = self.tell_nodes(now);
                admin_api::say(out, id, 200, &nodes);
            }
            Route::Jobs(filter) => admin_api.wait(now, id, Want::Jobs(filter)),
            Route::Job { id: job, explain } => {
                admin_api.wait(now, id, Want::Job { id: job, explain })
            }
            Route::Directives => admin_api.wait(now, id, Want::Directives),
            Route::Configuration if self.configuration.is_enabled() => {
                admin_api.wait(now, id, Want::Configuration);
            }
            Route::Configuration => {
                let view = self.tell_configuration();
                admin_api::say(out, id, 200, &view);
            }
            Route::Configure(change) => {
                let by = caller.name;
                tracing::info!(%by, seen = change.seen.0, teams = change.teams.len(), "configuration");
                self.configure(now, id, *change, by, out);
            }
            Route::Direct(change) => {
                tracing::info!(by = %caller.name, set = change.set, target = %change.target, "directive");
                if !self.directives.change(now, id, change, caller.name) {
                    admin_api::busy(out, id, "too many changes wait");
                }
            }
            Route::Submit(job) => self.operators_submit(now, wall, id, *job, out),
            Route::Cancel(job) => {
                tracing::info!(by = %caller.name, %job, "cancel");
                admin_api.leave_to_others(id);
                self.user_api.cancel(now, id, job, &self.job_store, out);
            }
            Route::Holder(query) => self.query_leader(now, id, query, Merge::Plain, out),
        }
    }

    fn operators_submit(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        job: JobRequest,
        out: &mut Vec<Effect>,
    ) {
        let Some(job_id) = JobId::parse(&job.job) else {
            let why = "job is not of the form job-000412";
            return admin_api::refuse(out, id, 400, Code::Malformed, why);
        };
        let spec = job.spec(wall.0);
        if let Err(error) = user_api::validate(&spec) {
            let why = error.to_string();
            return admin_api::refuse(out, id, 400, Code::Malformed, &why);
        }
        let feasibility = self.feasibility(&spec);
        if let Some(admin_api) = &mut self.admin_api {
            admin_api.leave_to_others(id);
        }
        let job = SubmittedJob {
            id: job_id,
            spec,
            feasibility,
        };
        self.user_api.submit(now, id, job, &self.job_store, out);
    }

    /// Sends a question to whoever holds the block; without one, or when that
    /// is not known, nobody guesses.
    fn query_leader(
        &mut self,
        now: Time,
        request: RequestId,
        query: Query,
        merge: Merge,
        out: &mut Vec<Effect>,
    ) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        if self.scheduler.is_some() {
            return admin_api.ask_here(now, Asker::Own { request, merge }, query);
        }
        let leader = self
            .peers
            .leader(now)
            .or(self.election.other_leader())
            .map(str::to_string);
        let (Some(to), Ok(query)) = (leader, postcard::to_stdvec(&query)) else {
            return admin_api::busy(
                out,
                request,
                "no controller leads just now: an election is under way",
            );
        };
        let serial = admin_api.forward(now, request, merge);
        let from = self.settings.label.clone();
        out.push(Effect::SendFrame {
            to: Some(to),
            frame: encode(&Frame::Query {
                from,
                serial,
                query,
            }),
        });
    }

    pub(super) fn asked_by_peer(
        &mut self,
        now: Time,
        from: String,
        serial: u64,
        query: &[u8],
        out: &mut Vec<Effect>,
    ) {
        // Without a door of its own a controller answers no operators, not even
        // through a peer: whoever runs it has not asked for that.
        let taken = match (postcard::from_bytes::<Query>(query), &mut self.admin_api) {
            (Ok(query), Some(admin_api)) if self.scheduler.is_some() => {
                admin_api.ask_from_peer(now, from.clone(), serial, query)
            }
            _ => false,
        };
        if !taken {
            let told = Frame::QueryResponse {
                serial,
                status: 503,
                body: Vec::new(),
            };
            out.push(Effect::SendFrame {
                to: Some(from),
                frame: encode(&told),
            });
        }
    }

    pub(super) fn on_leader_response(
        &mut self,
        serial: u64,
        status: u16,
        body: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        let Some((request, merge)) = self.admin_api.as_mut().and_then(|d| d.told(serial)) else {
            return;
        };
        self.merge(request, merge, status, body, out);
    }

    fn merge(
        &self,
        request: RequestId,
        merge: Merge,
        status: u16,
        body: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        if status != 200 {
            return admin_api::busy(out, request, "the holder cannot answer just now");
        }
        match merge {
            Merge::Plain => out.push(Effect::OperatorAnswer {
                to: request,
                status: 200,
                retry_after: None,
                content: Content::Json,
                body,
            }),
            Merge::Job { row, spec, explain } => {
                let Ok(placed) = serde_json::from_slice::<Placed>(&body) else {
                    return admin_api::busy(out, request, "the holder answered in an unknown form");
                };
                let mut row = *row;
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
                    admin_api::say(out, request, 200, &explanation);
                } else {
                    let detail = JobDetail {
                        row,
                        spec: *spec,
                        placed: Some(placed),
                    };
                    admin_api::say(out, request, 200, &detail);
                }
            }
        }
    }

    /// Answers what can be answered by now, and gives up what has waited.
    pub(super) fn run_admin_api(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        if admin_api.idle() {
            return;
        }
        if admin_api.asks_hold() && self.scheduler.is_some() {
            self.election.request_block_check(now);
        }
        let copies = Copies {
            jobs: self.job_store.fresh_as_of(),
            directives: self.directives.fresh_as_of(),
            configuration: self.configuration.fresh_as_of(),
        };
        for local in admin_api.ready_local(&copies) {
            self.answer_local(now, wall, local, out);
        }
        let entitled = self.entitled(now);
        let loaded = self.scheduler.as_ref().is_some_and(|p| p.loaded());
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        let seen = self
            .job_store
            .fresh_as_of()
            .map(|f| f.min(self.election.block_confirmed_at()));
        let ready = if entitled && loaded {
            admin_api.ready_asked(seen)
        } else {
            Vec::new()
        };
        for Asked { asker, query, .. } in ready {
            let (status, body) = self.answer_query(now, wall, &query);
            match asker {
                Asker::Own { request, merge } => self.merge(request, merge, status, body, out),
                Asker::Peer { label, serial } => {
                    let told = Frame::QueryResponse {
                        serial,
                        status,
                        body,
                    };
                    out.push(Effect::SendFrame {
                        to: Some(label),
                        frame: encode(&told),
                    });
                }
            }
        }
        let leader = self.scheduler.is_some();
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        let (own, peers) = admin_api.overdue(now, leader);
        for request in own {
            admin_api::busy(
                out,
                request,
                "no answer in time: an election, or the state service is away",
            );
        }
        for (label, serial) in peers {
            let told = Frame::QueryResponse {
                serial,
                status: 503,
                body: Vec::new(),
            };
            out.push(Effect::SendFrame {
                to: Some(label),
                frame: encode(&told),
            });
        }
    }

    fn answer_local(&mut self, now: Time, wall: WallMs, local: Local, out: &mut Vec<Effect>) {
        let to = local.request;
        match local.want {
            Want::Directives => {
                let active_directives = self.directives.active_directives();
                let directives = active_directives.iter().map(|d| (**d).clone()).collect();
                admin_api::say(out, to, 200, &Directives { directives });
            }
            Want::Configuration => {
                let view = self.tell_configuration();
                admin_api::say(out, to, 200, &view);
            }
            Want::Jobs(filter) => {
                let page = self.list(wall, &filter);
                admin_api::say(out, to, 200, &page);
            }
            Want::Job { id, explain } => {
                let Some(entry) = self.job_store.get(id) else {
                    return admin_api::refuse(out, to, 404, Code::NotFound, "no such job");
                };
                let row = self.row(wall, id, entry);
                let spec = entry.spec.as_deref().map(SpecView::from);
                if entry.state == JobState::Open {
                    let job = id.to_string();
                    let merge = Merge::Job {
                        row: Box::new(row),
                        spec: Box::new(spec),
                        explain,
                    };
                    return self.query_leader(now, to, Query::Job { job }, merge, out);
                }
                if explain {
                    let (job, state) = (row.job, row.state);
                    let text = vec![format!("it is {state}: nothing of it waits")];
                    let none = Explanation {
                        job,
                        state,
                        waiting: 0,
                        reasons: Vec::new(),
                        text,
                    };
                    admin_api::say(out, to, 200, &none);
                } else {
                    admin_api::say(
                        out,
                        to,
                        200,
                        &JobDetail {
                            row,
                            spec,
                            placed: None,
                        },
                    );
                }
            }
        }
    }

    fn row(&self, wall: WallMs, id: JobId, entry: &JobEntry) -> JobRow {
        let counts = match entry.state {
            JobState::Open => self
                .scheduler
                .as_ref()
                .and_then(|p| p.counts(id))
                .or_else(|| self.user_api.reported_counts.get(&id).copied())
                .unwrap_or_default(),
            _ => Default::default(),
        };
        let state = match entry.state {
            JobState::Done => State::Done,
            JobState::Cancelled => State::Cancelled,
            JobState::Open if counts.running > 0 => State::Running,
            JobState::Open => State::Pending,
        };
        let summary = self.job_store.summary(entry);
        JobRow {
            job: id.to_string(),
            state,
            tasks: entry.tasks,
            done: if state == State::Done {
                entry.tasks
            } else {
                counts.done
            },
            running: counts.running,
            age_s: summary
                .as_ref()
                .map(|b| (wall.0 as f64 - b.submitted as f64) / 1e3),
            urgency: summary.as_ref().map(|b| b.urgency),
            class: summary.as_ref().map(|b| b.class.clone()),
            team: summary.map(|b| b.team),
        }
    }

    /// One page: so many rows, after so many jobs looked at, whichever comes
    /// first. The cursor is the last job looked at.
    fn list(&self, wall: WallMs, filter: &JobFilter) -> JobPage {
        let after = filter.after.as_deref().and_then(JobId::parse);
        let mut page = JobPage {
            jobs: Vec::new(),
            next: None,
        };
        let mut last = None;
        for (looked, (id, entry)) in self.job_store.after(after).enumerate() {
            if looked >= MAX_LOOKED_AT || page.jobs.len() >= filter.limit {
                page.next = last.map(|id: JobId| id.to_string());
                break;
            }
            last = Some(*id);
            // What is over is told by its state alone: most of a long list is
            // passed over without a look at its names.
            let wanted = |s: State| filter.states.is_empty() || filter.states.contains(&s);
            let over = match entry.state {
                JobState::Done => !wanted(State::Done),
                JobState::Cancelled => !wanted(State::Cancelled),
                JobState::Open => !wanted(State::Pending) && !wanted(State::Running),
            };
            if over {
                continue;
            }
            let row = self.row(wall, *id, entry);
            let is = |want: &Option<String>, have: &Option<String>| want.is_none() || want == have;
            let aged = |bound: Option<f64>, ok: fn(f64, f64) -> bool| {
                bound.is_none_or(|b| row.age_s.is_some_and(|age| ok(age, b)))
            };
            if wanted(row.state)
                && is(&filter.team, &row.team)
                && is(&filter.class, &row.class)
                && (filter.urgency.is_none() || filter.urgency == row.urgency)
                && aged(filter.older_s, |age, b| age >= b)
                && aged(filter.younger_s, |age, b| age <= b)
            {
                page.jobs.push(row);
            }
        }
        page
    }

    fn tell_nodes(&self, now: Time) -> Vec<NodeRow> {
        let leader = self.peers.leader(now).or(self.election.other_leader());
        let own = &self.settings.label;
        let store = self.store.last_success().map(|t| now.since(t));
        let me = NodeRow {
            label: own.clone(),
            answering: true,
            leader: self.scheduler.is_some(),
            token: self.election.token().map(|t| t.0),
            store_age_s: store,
            heard_s: Some(0.0),
            ready: self.job_store.loaded(),
            drained: self.directives.active_directives().controller_drained(own),
            stuck_ago_s: self.stuck.get(own).map(|at| now.since(*at)),
        };
        let others = self.settings.members.iter().map(|m| {
            let status = self.peers.status(now, &m.label);
            NodeRow {
                label: m.label.clone(),
                answering: false,
                leader: self.scheduler.is_none() && leader == Some(m.label.as_str()),
                token: self
                    .peers
                    .token_of(&m.label)
                    .filter(|_| leader == Some(m.label.as_str())),
                store_age_s: status.map(|peer| peer.store_age_s).filter(|age| *age < 1e5),
                heard_s: status.map(|peer| peer.heartbeat_age_s),
                ready: status.is_some_and(|peer| {
                    // Announced explicitly only while a controller is drained.
                    peer.heartbeat_age_s < 3.0 && (peer.ready || peer.store_age_s < 3.0)
                }),
                drained: self
                    .directives
                    .active_directives()
                    .controller_drained(&m.label),
                stuck_ago_s: self.stuck.get(&m.label).map(|at| now.since(*at)),
            }
        });
        std::iter::once(me).chain(others).collect()
    }

    /// The holder's answer; 503 where it has none to give.
    fn answer_query(&self, now: Time, wall: WallMs, query: &Query) -> (u16, Vec<u8>) {
        let Some(scheduler) = self.scheduler.as_ref().filter(|p| p.loaded()) else {
            return (503, Vec::new());
        };
        let machine_types = self.fleet.machine_types();
        match query {
            Query::Job { job } => {
                let id = JobId::parse(job);
                let told = id.and_then(|id| {
                    scheduler.describe_job(now, wall, id, &self.settings, machine_types)
                });
                let (Some(id), Some(mut placed)) = (id, told) else {
                    return (503, Vec::new());
                };
                let frozen = placed
                    .reasons
                    .iter()
                    .any(|r| matches!(r.name(), "frozen" | "team_limit"));
                if placed.waiting > 0 && !frozen {
                    if let Some((demand, spec)) = scheduler.demand_of(wall, id) {
                        placed.reasons.extend(self.fleet.explain_pending_job(
                            now,
                            wall,
                            (&demand, &spec),
                            &self.settings,
                            scheduler,
                        ));
                    }
                }
                encoded(&placed)
            }
            Query::Machines {
                machine_type,
                zone,
                after,
                limit,
            } => {
                let after = after.as_deref().and_then(MachineId::parse);
                let query = MachineQuery {
                    machine_type: machine_type.as_deref(),
                    zone: zone.as_deref(),
                    after,
                    limit: *limit,
                };
                encoded(&self.fleet.render_machines(now, &query, scheduler))
            }
            Query::Teams => encoded(&scheduler.describe_teams(now, &self.settings, machine_types)),
            Query::Splits => encoded(&self.fleet.render_splits()),
            Query::Summary => encoded(&self.summary(now, wall)),
            Query::Decisions {
                token,
                after,
                limit,
            } => {
                let own = scheduler.fencing_token().0;
                // Another holder's serials say nothing here: begin anew.
                let after = if *token == own { *after } else { 0 };
                let DecisionPage { decisions, missed } =
                    scheduler.event_log.decisions_after(after, *limit);
                encoded(&Decisions {
                    token: own,
                    decisions,
                    missed,
                })
            }
        }
    }

    fn summary(&self, now: Time, wall: WallMs) -> Summary {
        let Some(scheduler) = &self.scheduler else {
            return Summary::default();
        };
        let machine_types = self.fleet.machine_types();
        let t = scheduler.totals(now, wall, machine_types);
        Summary {
            leader: self.settings.label.clone(),
            token: scheduler.fencing_token().0,
            jobs_open: t.jobs_open,
            jobs_running: t.jobs_running,
            tasks_running: t.tasks_running,
            tasks_waiting: t.tasks_waiting,
            oldest_wait_s: t.oldest_wait_s,
            machines_up: t.up,
            machines_starting: self.fleet.starting_machines(scheduler),
            machines_silent: t.silent,
            cpus: t.cpus,
            cpus_used: t.cpus_used,
            teams: scheduler.describe_teams(now, &self.settings, machine_types),
            directives: self.directives.active_directives().len() as u32,
        }
    }

    fn metrics_page(&self, now: Time, wall: WallMs) -> String {
        let leader = self.scheduler.as_ref().filter(|p| p.loaded());
        let mut gauges = vec![
            ("holder", f64::from(u8::from(self.scheduler.is_some()))),
            ("jobs_known", self.job_store.iter().count() as f64),
            (
                "stuck_seconds",
                self.stall_detector.stalled_for_s(now).unwrap_or(0.0),
            ),
            ("machines_shielded", self.fleet.shielded_machines() as f64),
            (
                "ledger_age_seconds",
                self.store.last_success().map_or(-1.0, |t| now.since(t)),
            ),
        ];
        let mut counters = Vec::new();
        if let Some(scheduler) = leader {
            let t = scheduler.totals(now, wall, self.fleet.machine_types());
            gauges.extend([
                ("jobs_open", f64::from(t.jobs_open)),
                ("tasks_running", f64::from(t.tasks_running)),
                ("tasks_waiting", f64::from(t.tasks_waiting)),
                ("machines_up", f64::from(t.up)),
                ("machines_silent", f64::from(t.silent)),
                ("cpus", t.cpus),
                ("cpus_used", t.cpus_used),
            ]);
            let (kept, window) = scheduler.nomination_counts();
            let room = scheduler.preemption_stats();
            gauges.extend([
                ("places_kept", kept as f64),
                ("places_window", window as f64),
                ("room_start_seconds_p50", room.start_latency_s(0.5)),
                ("room_start_seconds_p99", room.start_latency_s(0.99)),
                ("room_lost_cpu_seconds", room.lost_cpu_s),
            ]);
            counters = scheduler.event_log.counts().collect();
            counters.extend([
                ("stopped_for_others", room.victims),
                ("places_asked", room.opened),
                ("places_started", room.started),
                ("places_lapsed", room.abandoned),
                ("stopped_for_nobody", room.wasted_victims),
            ]);
        }
        self.metrics.render(&gauges, counters.into_iter())
    }

    fn tell_configuration(&self) -> ConfigurationView {
        let rollout = self.configuration.rollout();
        let effective = self.configuration.effective();
        let behind = |(label, version)| BehindRow { label, version };
        let row = |team: &EffectiveTeam| QuotaRow {
            team: team.name.clone(),
            quota: team.quota,
            removed: team.removed,
        };
        let on = self.configuration.is_enabled();
        ConfigurationView {
            on,
            version: effective.version,
            author: rollout.author,
            in_force_everywhere_since_ms: rollout.everywhere_since_ms.filter(|_| on),
            behind: rollout
                .behind
                .into_iter()
                .filter(|_| on)
                .map(behind)
                .collect(),
            unknown_fields: rollout.unknown_fields,
            teams: effective.teams.iter().map(row).collect(),
        }
    }

    fn configure(
        &mut self,
        now: Time,
        id: RequestId,
        change: ConfigurationChange,
        by: String,
        out: &mut Vec<Effect>,
    ) {
        if !self.configuration.is_enabled() {
            let why = "changes are not turned on here: set `[configuration] on = yes` in the \
                       operators' file of every controller";
            return admin_api::refuse(out, id, 409, Code::Refused, why);
        }
        // Only the holder knows the fleet; elsewhere nobody is warned.
        let machine_types = self.fleet.machine_types();
        let totals = self.scheduler.as_ref().filter(|p| p.loaded());
        let fleet_cpus =
            totals.map(|scheduler| scheduler.totals(now, self.wall, machine_types).cpus);
        if !self.configuration.change(now, id, change, by, fleet_cpus) {
            admin_api::busy(out, id, "too many changes wait");
        }
    }

    pub(super) fn answer_configured(
        &self,
        told: Vec<(RequestId, ChangeResponse)>,
        out: &mut Vec<Effect>,
    ) {
        for (request, told) in told {
            match told {
                ChangeResponse::Applied { version, warning } => {
                    admin_api::say(out, request, 200, &ConfigurationMade { version, warning });
                }
                ChangeResponse::Refused(refusal) => {
                    admin_api::refuse(out, request, 409, Code::Refused, &refusal.to_string());
                }
                ChangeResponse::Busy(why) => admin_api::busy(out, request, &why),
            }
        }
    }

    pub(super) fn answer_changes(
        &mut self,
        told: Vec<(RequestId, DirectiveResponse)>,
        out: &mut Vec<Effect>,
    ) {
        for (request, told) in told {
            match told {
                DirectiveResponse::Applied(changed) => admin_api::say(out, request, 200, &changed),
                DirectiveResponse::Busy(why) => admin_api::busy(out, request, why),
                DirectiveResponse::LimitReached => {
                    let why = "as many directives stand as may: lift some first";
                    admin_api::refuse(out, request, 409, Code::Refused, why);
                }
            }
        }
    }

    /// Answers that another slice wrote for a user, put into the operators'
    /// form where an operator asked.
    pub(super) fn translate(&mut self, out: &mut [Effect]) {
        let Some(admin_api) = &mut self.admin_api else {
            return;
        };
        for o in out {
            let Effect::Answer {
                to,
                status,
                retry_after,
                body,
            } = o
            else {
                continue;
            };
            if !admin_api.take_elsewhere(*to) {
                continue;
            }
            let answer = beamhinge_core::wire::decode::<UsersAnswer>(body).ok();
            let mut written = Vec::new();
            let state = answer
                .as_ref()
                .and_then(|a| State::parse(a.status.as_deref()?));
            match (state, answer.as_ref().and_then(|a| a.job.clone())) {
                (Some(state), Some(job)) if *status < 300 => {
                    admin_api::say(&mut written, *to, *status, &JobTold { job, state });
                }
                _ => {
                    let why = answer.and_then(|a| a.error).unwrap_or_default();
                    let code = match *status {
                        400 => Code::Malformed,
                        404 => Code::NotFound,
                        413 => Code::TooLarge,
                        422 => Code::Refused,
                        _ => Code::Busy,
                    };
                    admin_api::refuse(&mut written, *to, *status, code, &why);
                }
            }
            if let Some(Effect::OperatorAnswer { content, body, .. }) = written.pop() {
                let (to, status, retry_after) = (*to, *status, *retry_after);
                *o = Effect::OperatorAnswer {
                    to,
                    status,
                    retry_after,
                    content,
                    body,
                };
            }
        }
    }
}

#[cfg(test)]
mod tests;
