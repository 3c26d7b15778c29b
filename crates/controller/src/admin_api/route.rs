//! Parses requests of the admin API: the path, its parameters and the body.

use beamhinge_admin_api::auth::Role;
use beamhinge_admin_api::directives::{DirectiveChange, Target};
use beamhinge_admin_api::messages::{
    Code, JobFilter, JobRequest, Problem, Query, State, DEFAULT_PAGE_ROWS, MAX_BODY_BYTES, MAX_ROWS,
};
use beamhinge_configuration::ConfigurationChange;
use beamhinge_core::http::{Method, Request};
use beamhinge_core::job::Urgency;
use beamhinge_core::types::JobId;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// Maximum length of a directive's note, bytes.
const MAX_NOTE_BYTES: usize = 200;
/// Maximum time limit of a drain, seconds.
const MAX_DRAIN_LIMIT_S: f64 = 1e7;

/// A parsed request of the admin API.
#[derive(Debug, PartialEq)]
pub enum Route {
    /// Identity of this controller; needs no key.
    Hello,
    /// The metrics page.
    Metrics,
    /// A page of jobs.
    Jobs(JobFilter),
    /// One job.
    Job {
        /// The job.
        id: JobId,
        /// Whether only the explanation of the job's state is requested.
        explain: bool,
    },
    /// Submission of a job.
    Submit(Box<JobRequest>),
    /// Cancellation of a job.
    Cancel(JobId),
    /// The controllers.
    Nodes,
    /// The directives in force.
    Directives,
    /// Setting or removal of a directive.
    ChangeDirective(DirectiveChange),
    /// The teams in effect.
    Configuration,
    /// A configuration change.
    ChangeConfiguration(Box<ConfigurationChange>),
    /// A query that only the leader can answer.
    LeaderQuery(Query),
}

/// The answer to a request that is rejected before it is processed.
#[derive(Debug, PartialEq)]
pub struct Rejection {
    /// HTTP status.
    pub status: u16,
    /// The body of the answer.
    pub problem: Problem,
}

impl Rejection {
    /// Creates a rejection with an error text.
    pub fn new(status: u16, code: Code, error: impl Into<String>) -> Rejection {
        Rejection {
            status,
            problem: Problem {
                code,
                error: error.into(),
                ahead_ms: None,
            },
        }
    }
}

fn malformed(error: impl Into<String>) -> Rejection {
    Rejection::new(400, Code::Malformed, error)
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body).map_err(|e| malformed(format!("the body is not as expected: {e}")))
}

fn parse_job(text: &str) -> Result<JobId, Rejection> {
    JobId::parse(text).ok_or_else(|| malformed(format!("'{text}' is not of the form job-000412")))
}

impl Route {
    /// Parses a request.
    ///
    /// # Errors
    /// The answer to a request that cannot be parsed.
    pub fn parse(request: &Request) -> Result<Route, Rejection> {
        if request.body.len() > MAX_BODY_BYTES {
            let error = format!("a body may hold {MAX_BODY_BYTES} bytes");
            return Err(Rejection::new(413, Code::TooLarge, error));
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let mut parameters = Parameters::parse(query);
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let route = match request.method {
            Method::Get => Route::parse_get(&segments, &mut parameters)?,
            Method::Post => Route::parse_post(&segments, &request.body)?,
            Method::Delete | Method::Other => None,
        };
        let Some(route) = route else {
            return Err(no_such_route(&segments));
        };
        parameters.expect_empty()?;
        Ok(route)
    }

    /// The route of a `GET` request; `None` if the path has none.
    fn parse_get(
        segments: &[&str],
        parameters: &mut Parameters,
    ) -> Result<Option<Route>, Rejection> {
        Ok(Some(match segments {
            ["metrics"] => Route::Metrics,
            ["v1", "hello"] => Route::Hello,
            ["v1", "jobs"] => Route::Jobs(parameters.job_filter()?),
            ["v1", "jobs", id] => Route::Job {
                id: parse_job(id)?,
                explain: false,
            },
            ["v1", "jobs", id, "explain"] => Route::Job {
                id: parse_job(id)?,
                explain: true,
            },
            ["v1", "nodes"] => Route::Nodes,
            ["v1", "directives"] => Route::Directives,
            ["v1", "configuration"] => Route::Configuration,
            ["v1", "machines"] => Route::LeaderQuery(Query::Machines {
                machine_type: parameters.take("shape"),
                zone: parameters.take("zone"),
                after: parameters.take("after"),
                limit: parameters.limit()?,
            }),
            ["v1", "teams"] => Route::LeaderQuery(Query::Teams),
            ["v1", "splits"] => Route::LeaderQuery(Query::Splits),
            ["v1", "summary"] => Route::LeaderQuery(Query::Summary),
            ["v1", "decisions"] => Route::LeaderQuery(Query::Decisions {
                token: parameters.number("token")?.unwrap_or(0.0) as u64,
                after: parameters.number("after")?.unwrap_or(0.0) as u64,
                limit: parameters.limit()?,
            }),
            _ => return Ok(None),
        }))
    }

    /// The route of a `POST` request; `None` if the path has none.
    fn parse_post(segments: &[&str], body: &[u8]) -> Result<Option<Route>, Rejection> {
        Ok(Some(match segments {
            ["v1", "jobs"] => Route::Submit(Box::new(parse_json(body)?)),
            ["v1", "jobs", id, "cancel"] => Route::Cancel(parse_job(id)?),
            ["v1", "directives"] => Route::ChangeDirective(parse_directive_change(body)?),
            ["v1", "configuration"] => {
                let change: ConfigurationChange = parse_json(body)?;
                change
                    .check_form()
                    .map_err(|error| malformed(error.to_string()))?;
                Route::ChangeConfiguration(Box::new(change))
            }
            _ => return Ok(None),
        }))
    }

    /// The role that the caller's key must have; `None` if no key is needed.
    pub fn required_role(&self) -> Option<Role> {
        match self {
            Route::Hello => None,
            Route::Submit(_)
            | Route::Cancel(_)
            | Route::ChangeDirective(_)
            | Route::ChangeConfiguration(_) => Some(Role::Operator),
            _ => Some(Role::Viewer),
        }
    }

    /// Name of the route on the metrics page.
    pub fn name(&self) -> &'static str {
        match self {
            Route::Hello => "op_hello",
            Route::Metrics => "op_metrics",
            Route::Jobs(_) => "op_jobs",
            Route::Job { explain: false, .. } => "op_job",
            Route::Job { explain: true, .. } => "op_explain",
            Route::Submit(_) => "op_submit",
            Route::Cancel(_) => "op_cancel",
            Route::Nodes => "op_nodes",
            Route::Directives => "op_directives",
            Route::ChangeDirective(_) => "op_direct",
            Route::Configuration => "op_configuration",
            Route::ChangeConfiguration(_) => "op_configure",
            Route::LeaderQuery(_) => "op_holder",
        }
    }
}

/// The answer to a request without a route: 405 if the path exists with another method, or else
/// 404.
fn no_such_route(segments: &[&str]) -> Rejection {
    match segments {
        ["metrics"]
        | ["v1", "hello" | "jobs" | "nodes" | "directives" | "machines" | "teams"]
        | ["v1", "configuration" | "splits" | "summary" | "decisions"]
        | ["v1", "jobs", ..] => {
            Rejection::new(405, Code::Malformed, "this path does not take that method")
        }
        _ => Rejection::new(404, Code::NotFound, "no such path"),
    }
}

/// Parses the change of a directive and checks its limits.
fn parse_directive_change(body: &[u8]) -> Result<DirectiveChange, Rejection> {
    let change: DirectiveChange = parse_json(body)?;
    let target = &change.target;
    let (kind, name) = (target.kind(), target.name());
    if Target::parse(kind, name).as_ref() != Some(target) {
        return Err(malformed(format!(
            "{kind} name '{name}': letters, digits, - _ . : and at most 120 of them"
        )));
    }
    let out_of_range = |s: f64| !s.is_finite() || !(0.0..=MAX_DRAIN_LIMIT_S).contains(&s);
    if change.within_s.is_some_and(out_of_range) {
        return Err(malformed("within_s is not between 0 and 10000000"));
    }
    if change.note.len() > MAX_NOTE_BYTES {
        return Err(malformed("note is longer than 200 bytes"));
    }
    Ok(change)
}

fn parse_urgency(text: &str) -> Option<Urgency> {
    Some(match text {
        "best_effort" => Urgency::BestEffort,
        "standard" => Urgency::Standard,
        "high" => Urgency::High,
        "critical" => Urgency::Critical,
        _ => return None,
    })
}

/// Parameters of a request that have not been read yet.
struct Parameters(BTreeMap<String, String>);

impl Parameters {
    fn parse(query: &str) -> Parameters {
        let pairs = form_urlencoded::parse(query.as_bytes()).into_owned();
        Parameters(pairs.collect())
    }

    /// Removes a parameter and returns its value; `None` if it is absent or empty.
    fn take(&mut self, name: &str) -> Option<String> {
        self.0.remove(name).filter(|value| !value.is_empty())
    }

    fn number(&mut self, name: &str) -> Result<Option<f64>, Rejection> {
        let Some(text) = self.take(name) else {
            return Ok(None);
        };
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            _ => Err(malformed(format!(
                "{name}: '{text}' is not a number of 0 or more"
            ))),
        }
    }

    /// Number of rows of the requested page.
    fn limit(&mut self) -> Result<usize, Rejection> {
        let limit = self
            .number("limit")?
            .map_or(DEFAULT_PAGE_ROWS, |n| n as usize);
        Ok(limit.clamp(1, MAX_ROWS))
    }

    fn job_filter(&mut self) -> Result<JobFilter, Rejection> {
        let states = self.states()?;
        let urgency = self.urgency()?;
        let after = self.take("after");
        if let Some(bad) = after.as_ref().filter(|a| JobId::parse(a).is_none()) {
            return Err(malformed(format!("after: '{bad}' is not a job")));
        }
        Ok(JobFilter {
            states,
            team: self.take("team"),
            class: self.take("class"),
            urgency,
            older_s: self.number("older_s")?,
            younger_s: self.number("younger_s")?,
            after,
            limit: self.limit()?,
        })
    }

    fn states(&mut self) -> Result<Vec<State>, Rejection> {
        let mut states = Vec::new();
        let text = self.take("state").unwrap_or_default();
        for name in text.split(',').filter(|name| !name.is_empty()) {
            if name == "open" {
                states.extend([State::Pending, State::Running]);
                continue;
            }
            states.push(State::parse(name).ok_or_else(|| {
                malformed(format!(
                    "state: '{name}' is none of open, pending, running, done, cancelled"
                ))
            })?);
        }
        Ok(states)
    }

    fn urgency(&mut self) -> Result<Option<Urgency>, Rejection> {
        let Some(text) = self.take("urgency") else {
            return Ok(None);
        };
        let urgency = parse_urgency(&text).ok_or_else(|| {
            malformed(format!(
                "urgency: '{text}' is none of critical, high, standard, best_effort"
            ))
        })?;
        Ok(Some(urgency))
    }

    /// Rejects parameters that were not read: a misspelt filter would silently return too many
    /// rows.
    fn expect_empty(self) -> Result<(), Rejection> {
        match self.0.keys().next() {
            Some(name) => Err(malformed(format!(
                "'{name}' is not a parameter of this path"
            ))),
            None => Ok(()),
        }
    }
}
