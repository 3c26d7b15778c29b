//! Answers to operators from this controller's replicas.

use super::super::Node;
use crate::admin_api::{self, ResponseMerge, MAX_JOBS_VISITED};
use crate::job_store::{JobEntry, JobState};
use beamhinge_admin_api::messages::{
    BehindRow, Code, ConfigurationView, Directives, Explanation, JobDetail, JobFilter, JobPage,
    JobRow, NodeRow, Query, QuotaRow, SpecView, State,
};
use beamhinge_configuration::EffectiveTeam;
use beamhinge_core::messages::{Effect, TaskCounts};
use beamhinge_core::types::{JobId, RequestId, Time, WallMs};

/// Maximum age of a peer's last heartbeat, and of its last exchange with the key-value store, for
/// the peer to count as ready, seconds.
const MAX_READY_AGE_S: f64 = 3.0;
/// Reported age of the last exchange with the key-value store above which a peer has never had
/// one, seconds.
const MAX_REPORTED_STORE_AGE_S: f64 = 1e5;

impl Node {
    /// Returns the directives in force.
    pub(super) fn directives_view(&self) -> Directives {
        let active_directives = self.directives.active_directives();
        let directives = active_directives.iter().map(|d| (**d).clone()).collect();
        Directives { directives }
    }

    /// Returns the teams in effect here, and the rollout status of the newest version.
    pub(super) fn configuration_view(&self) -> ConfigurationView {
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

    /// Answers a query for one job: from the replica if the job has ended, otherwise with a query
    /// to the leader.
    pub(super) fn answer_job(
        &mut self,
        now: Time,
        wall: WallMs,
        to: RequestId,
        id: JobId,
        explain: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.job_store.get(id) else {
            return admin_api::refuse(out, to, 404, Code::NotFound, "no such job");
        };
        let row = self.job_row(wall, id, entry);
        let spec = entry.spec.as_deref().map(SpecView::from);
        if entry.state == JobState::Open {
            let job = id.to_string();
            let merge = ResponseMerge::Job {
                row: Box::new(row),
                spec: Box::new(spec),
                explain,
            };
            self.query_leader(now, to, Query::Job { job }, merge, out);
        } else if explain {
            let (job, state) = (row.job, row.state);
            let text = vec![format!("it is {state}: nothing of it waits")];
            let explanation = Explanation {
                job,
                state,
                waiting: 0,
                reasons: Vec::new(),
                text,
            };
            admin_api::respond(out, to, 200, &explanation);
        } else {
            let placed = None;
            let detail = JobDetail { row, spec, placed };
            admin_api::respond(out, to, 200, &detail);
        }
    }

    /// Builds a job's row from the replica and the task counts, which are those of this
    /// controller's scheduler or, if it has none for the job, of the leader's progress reports.
    fn job_row(&self, wall: WallMs, id: JobId, entry: &JobEntry) -> JobRow {
        let counts = match entry.state {
            JobState::Open => self
                .scheduler
                .as_ref()
                .and_then(|scheduler| scheduler.counts(id))
                .or_else(|| self.user_api.reported_counts.get(&id).copied())
                .unwrap_or_default(),
            JobState::Done | JobState::Cancelled => TaskCounts::default(),
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
                .map(|s| (wall.0 as f64 - s.submitted as f64) / 1e3),
            urgency: summary.as_ref().map(|s| s.urgency),
            class: summary.as_ref().map(|s| s.class.clone()),
            team: summary.map(|s| s.team),
        }
    }

    /// Returns one page of jobs. It ends after `limit` rows or [`MAX_JOBS_VISITED`] visited jobs,
    /// whichever comes first; the cursor is the last job that was visited.
    pub(super) fn job_page(&self, wall: WallMs, filter: &JobFilter) -> JobPage {
        let after = filter.after.as_deref().and_then(JobId::parse);
        let mut page = JobPage {
            jobs: Vec::new(),
            next: None,
        };
        let mut last = None;
        for (visited, (id, entry)) in self.job_store.after(after).enumerate() {
            if visited >= MAX_JOBS_VISITED || page.jobs.len() >= filter.limit {
                page.next = last.map(|id: JobId| id.to_string());
                break;
            }
            last = Some(*id);
            // Most jobs of a long list are skipped by their state alone, without reading names.
            if !may_match(filter, entry.state) {
                continue;
            }
            let row = self.job_row(wall, *id, entry);
            if matches(filter, &row) {
                page.jobs.push(row);
            }
        }
        page
    }

    /// Returns a row for each controller, this one first.
    pub(super) fn node_rows(&self, now: Time) -> Vec<NodeRow> {
        let local_label = &self.settings.label;
        let local_row = NodeRow {
            label: local_label.clone(),
            answering: true,
            leader: self.scheduler.is_some(),
            token: self.election.token().map(|t| t.0),
            store_age_s: self.store.last_success().map(|t| now.since(t)),
            heard_s: Some(0.0),
            ready: self.job_store.loaded(),
            drained: self
                .directives
                .active_directives()
                .controller_drained(local_label),
            stuck_ago_s: self
                .stalled_leaders
                .get(local_label)
                .map(|at| now.since(*at)),
        };
        let peers = self.settings.members.iter();
        let peer_rows = peers.map(|member| self.peer_row(now, &member.label));
        std::iter::once(local_row).chain(peer_rows).collect()
    }

    /// Builds the row of a peer from its heartbeats and announcements.
    fn peer_row(&self, now: Time, label: &str) -> NodeRow {
        let leader = self.peers.leader(now).or(self.election.other_leader());
        let leads = leader == Some(label);
        let status = self.peers.status(now, label);
        NodeRow {
            label: label.to_string(),
            answering: false,
            leader: self.scheduler.is_none() && leads,
            token: self.peers.token_of(label).filter(|_| leads),
            store_age_s: status
                .map(|peer| peer.store_age_s)
                .filter(|age| *age < MAX_REPORTED_STORE_AGE_S),
            heard_s: status.map(|peer| peer.heartbeat_age_s),
            ready: status.is_some_and(|peer| {
                // Peers report their readiness explicitly only while some controller is drained.
                peer.heartbeat_age_s < MAX_READY_AGE_S
                    && (peer.ready || peer.store_age_s < MAX_READY_AGE_S)
            }),
            drained: self
                .directives
                .active_directives()
                .controller_drained(label),
            stuck_ago_s: self.stalled_leaders.get(label).map(|at| now.since(*at)),
        }
    }
}

fn wants_state(filter: &JobFilter, state: State) -> bool {
    filter.states.is_empty() || filter.states.contains(&state)
}

/// Returns whether a job in this state can match the filter.
fn may_match(filter: &JobFilter, state: JobState) -> bool {
    match state {
        JobState::Done => wants_state(filter, State::Done),
        JobState::Cancelled => wants_state(filter, State::Cancelled),
        JobState::Open => {
            wants_state(filter, State::Pending) || wants_state(filter, State::Running)
        }
    }
}

/// Returns whether a job matches all conditions of the filter.
fn matches(filter: &JobFilter, row: &JobRow) -> bool {
    let is_wanted =
        |wanted: &Option<String>, actual: &Option<String>| wanted.is_none() || wanted == actual;
    let age_in_bound = |bound: Option<f64>, compare: fn(f64, f64) -> bool| {
        bound.is_none_or(|bound| row.age_s.is_some_and(|age| compare(age, bound)))
    };
    wants_state(filter, row.state)
        && is_wanted(&filter.team, &row.team)
        && is_wanted(&filter.class, &row.class)
        && (filter.urgency.is_none() || filter.urgency == row.urgency)
        && age_in_bound(filter.older_s, |age, bound| age >= bound)
        && age_in_bound(filter.younger_s, |age, bound| age <= bound)
}
