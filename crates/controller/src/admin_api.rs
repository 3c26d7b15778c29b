//! The operators' desk: who asks what, what it waits for, and what leaves it.
//!
//! A question is answered from our copy of the jobs once that is newer than the
//! question; what only the holder knows is asked of it. The holder in turn
//! answers only after an exchange with the state service that is newer than the
//! question, so that one who was replaced cannot tell an older state. All that
//! waits here is bounded in number and time; the rest is told to come back.

use beamhinge_admin_api::auth::{Caller, Denied, Guard, Role};
use beamhinge_admin_api::directives::Change;
use beamhinge_admin_api::messages::{
    Code, JobFilter, JobRequest, JobRow, Problem, Query, SpecView, State, BODY_LIMIT, MAX_ROWS,
    PAGE_ROWS,
};
use beamhinge_configuration::ConfigurationChange;
use beamhinge_core::http::{Content, Method, Request};
use beamhinge_core::job::Urgency;
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{JobId, RequestId, Time, WallMs};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a question may wait for the copy of the jobs, or for the holder.
const PATIENCE_S: f64 = 2.0;
/// A peer's question is given up sooner, so that its asker hears of it.
const PEER_PATIENCE_S: f64 = 1.5;
/// Jobs that one page looks at; beyond it the client goes on from the cursor.
pub const MAX_LOOKED_AT: usize = 4_000;
/// Largest answer to a peer; a frame holds a little more.
pub const ANSWER_LIMIT: usize = 200 * 1024;

#[derive(Debug, PartialEq)]
pub enum Route {
    Hello,
    Metrics,
    Jobs(JobFilter),
    Job { id: JobId, explain: bool },
    Submit(Box<JobRequest>),
    Cancel(JobId),
    Nodes,
    Directives,
    Direct(Change),
    Configuration,
    Configure(Box<ConfigurationChange>),
    Holder(Query),
}

/// A refusal before anything was looked at.
#[derive(Debug, PartialEq)]
pub struct Refusal {
    pub status: u16,
    pub code: Code,
    pub error: String,
}

fn malformed(error: impl Into<String>) -> Refusal {
    Refusal {
        status: 400,
        code: Code::Malformed,
        error: error.into(),
    }
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| malformed(format!("the body is not as expected: {e}")))
}

pub fn urgency(text: &str) -> Option<Urgency> {
    Some(match text {
        "best_effort" => Urgency::BestEffort,
        "standard" => Urgency::Standard,
        "high" => Urgency::High,
        "critical" => Urgency::Critical,
        _ => return None,
    })
}

struct Words(BTreeMap<String, String>);

impl Words {
    fn take(&mut self, name: &str) -> Option<String> {
        self.0.remove(name).filter(|v| !v.is_empty())
    }
    fn number(&mut self, name: &str) -> Result<Option<f64>, Refusal> {
        match self.take(name) {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(v) if v.is_finite() && v >= 0.0 => Ok(Some(v)),
                _ => Err(malformed(format!(
                    "{name}: '{text}' is not a number of 0 or more"
                ))),
            },
        }
    }
    fn limit(&mut self) -> Result<usize, Refusal> {
        let n = self.number("limit")?.map_or(PAGE_ROWS, |n| n as usize);
        Ok(n.clamp(1, MAX_ROWS))
    }
    /// A misspelt filter would silently show too much.
    fn done(self) -> Result<(), Refusal> {
        match self.0.keys().next() {
            Some(name) => Err(malformed(format!(
                "'{name}' is not a parameter of this path"
            ))),
            None => Ok(()),
        }
    }
}

impl Route {
    pub fn parse(request: &Request) -> Result<Route, Refusal> {
        if request.body.len() > BODY_LIMIT {
            return Err(Refusal {
                status: 413,
                code: Code::TooLarge,
                error: format!("a body may hold {BODY_LIMIT} bytes"),
            });
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let words = form_urlencoded::parse(query.as_bytes()).into_owned();
        let mut words = Words(words.collect());
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let job = |text: &str| {
            JobId::parse(text)
                .ok_or_else(|| malformed(format!("'{text}' is not of the form job-000412")))
        };
        let route = match (request.method, parts.as_slice()) {
            (Method::Get, ["v1", "hello"]) => Route::Hello,
            (Method::Get, ["metrics"]) => Route::Metrics,
            (Method::Get, ["v1", "jobs"]) => Route::Jobs(filter(&mut words)?),
            (Method::Get, ["v1", "jobs", id]) => Route::Job {
                id: job(id)?,
                explain: false,
            },
            (Method::Get, ["v1", "jobs", id, "explain"]) => Route::Job {
                id: job(id)?,
                explain: true,
            },
            (Method::Post, ["v1", "jobs"]) => Route::Submit(Box::new(json(&request.body)?)),
            (Method::Post, ["v1", "jobs", id, "cancel"]) => Route::Cancel(job(id)?),
            (Method::Get, ["v1", "nodes"]) => Route::Nodes,
            (Method::Get, ["v1", "directives"]) => Route::Directives,
            (Method::Post, ["v1", "directives"]) => Route::Direct(change(&request.body)?),
            (Method::Get, ["v1", "configuration"]) => Route::Configuration,
            (Method::Post, ["v1", "configuration"]) => {
                let change: ConfigurationChange = json(&request.body)?;
                change
                    .check_form()
                    .map_err(|refusal| malformed(refusal.to_string()))?;
                Route::Configure(Box::new(change))
            }
            (Method::Get, ["v1", "machines"]) => Route::Holder(Query::Machines {
                machine_type: words.take("shape"),
                zone: words.take("zone"),
                after: words.take("after"),
                limit: words.limit()?,
            }),
            (Method::Get, ["v1", "teams"]) => Route::Holder(Query::Teams),
            (Method::Get, ["v1", "splits"]) => Route::Holder(Query::Splits),
            (Method::Get, ["v1", "summary"]) => Route::Holder(Query::Summary),
            (Method::Get, ["v1", "decisions"]) => Route::Holder(Query::Decisions {
                token: words.number("token")?.unwrap_or(0.0) as u64,
                after: words.number("after")?.unwrap_or(0.0) as u64,
                limit: words.limit()?,
            }),
            (
                _,
                ["metrics"]
                | ["v1", "hello" | "jobs" | "nodes" | "directives" | "machines" | "teams"]
                | ["v1", "configuration"]
                | ["v1", "splits" | "summary" | "decisions"]
                | ["v1", "jobs", ..],
            ) => {
                return Err(Refusal {
                    status: 405,
                    code: Code::Malformed,
                    error: "this path does not take that method".into(),
                })
            }
            _ => {
                return Err(Refusal {
                    status: 404,
                    code: Code::NotFound,
                    error: "no such path".into(),
                })
            }
        };
        words.done()?;
        Ok(route)
    }

    /// What a key must allow.
    pub fn needs(&self) -> Option<Role> {
        match self {
            Route::Hello => None,
            Route::Submit(_) | Route::Cancel(_) | Route::Direct(_) | Route::Configure(_) => {
                Some(Role::Operator)
            }
            _ => Some(Role::Viewer),
        }
    }

    /// Its name on the metrics page.
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
            Route::Direct(_) => "op_direct",
            Route::Configuration => "op_configuration",
            Route::Configure(_) => "op_configure",
            Route::Holder(_) => "op_holder",
        }
    }
}

fn filter(words: &mut Words) -> Result<JobFilter, Refusal> {
    let mut states = Vec::new();
    for text in words
        .take("state")
        .unwrap_or_default()
        .split(',')
        .filter(|t| !t.is_empty())
    {
        if text == "open" {
            states.extend([State::Pending, State::Running]);
            continue;
        }
        states.push(State::parse(text).ok_or_else(|| {
            malformed(format!(
                "state: '{text}' is none of open, pending, running, done, cancelled"
            ))
        })?);
    }
    let urgent = words.take("urgency");
    let urgency = match &urgent {
        None => None,
        Some(text) => Some(urgency(text).ok_or_else(|| {
            malformed(format!(
                "urgency: '{text}' is none of critical, high, standard, best_effort"
            ))
        })?),
    };
    let after = words.take("after");
    if let Some(bad) = after.as_ref().filter(|a| JobId::parse(a).is_none()) {
        return Err(malformed(format!("after: '{bad}' is not a job")));
    }
    Ok(JobFilter {
        states,
        team: words.take("team"),
        class: words.take("class"),
        urgency,
        older_s: words.number("older_s")?,
        younger_s: words.number("younger_s")?,
        after,
        limit: words.limit()?,
    })
}

fn change(body: &[u8]) -> Result<Change, Refusal> {
    let change: Change = json(body)?;
    let t = &change.target;
    if beamhinge_admin_api::directives::Target::parse(t.kind(), t.name()).as_ref() != Some(t) {
        return Err(malformed(format!(
            "{} name '{}': letters, digits, - _ . : and at most 120 of them",
            t.kind(),
            t.name()
        )));
    }
    if change
        .within_s
        .is_some_and(|w| !w.is_finite() || !(0.0..=1e7).contains(&w))
    {
        return Err(malformed("within_s is not between 0 and 10000000"));
    }
    if change.note.len() > 200 {
        return Err(malformed("note is longer than 200 bytes"));
    }
    Ok(change)
}

/// What is done with the holder's answer.
#[derive(Debug)]
pub enum Merge {
    Plain,
    /// The rest of the job as our copy has it.
    Job {
        row: Box<JobRow>,
        spec: Box<Option<SpecView>>,
        explain: bool,
    },
}

/// Who waits for an answer that only the holder has.
#[derive(Debug)]
pub enum Asker {
    Own { request: RequestId, merge: Merge },
    Peer { label: String, serial: u64 },
}

/// A question that waits for a copy of the jobs newer than itself.
#[derive(Debug)]
pub struct Local {
    pub request: RequestId,
    pub since: Time,
    pub want: Want,
}

#[derive(Debug)]
pub enum Want {
    Jobs(JobFilter),
    Job { id: JobId, explain: bool },
    Directives,
    Configuration,
}

#[derive(Debug)]
pub struct Asked {
    pub since: Time,
    pub asker: Asker,
    pub query: Query,
}

/// How fresh our copies of the state service are.
#[derive(Clone, Copy, Debug, Default)]
pub struct Copies {
    pub jobs: Option<Time>,
    pub directives: Option<Time>,
    pub configuration: Option<Time>,
}

/// How much the desk takes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub waiting: usize,
    pub rps: f64,
}

pub struct AdminApi {
    guard: Guard,
    limits: Limits,
    level: f64,
    filled: Time,
    local: VecDeque<Local>,
    asked: VecDeque<Asked>,
    /// Sent to the holder, by our serial.
    forwarded: BTreeMap<u64, (Time, RequestId, Merge)>,
    serial: u64,
    /// Requests of operators whose answer another slice writes.
    elsewhere: BTreeSet<RequestId>,
}

impl AdminApi {
    pub fn new(guard: Guard, limits: Limits) -> AdminApi {
        AdminApi {
            guard,
            limits,
            level: limits.rps,
            filled: Time::default(),
            local: VecDeque::new(),
            asked: VecDeque::new(),
            forwarded: BTreeMap::new(),
            serial: 0,
            elsewhere: BTreeSet::new(),
        }
    }

    pub fn instance(&self) -> &str {
        self.guard.instance()
    }

    /// Spends one answer of the rate; the processor belongs to the workers.
    fn spend(&mut self, now: Time) -> bool {
        let rate = self.limits.rps;
        self.level = (self.level + now.since(self.filled) * rate).min(rate.max(1.0));
        self.filled = now;
        let may = self.level >= 1.0;
        if may {
            self.level -= 1.0;
        }
        may
    }

    fn waiting(&self) -> usize {
        self.local.len() + self.asked.len() + self.forwarded.len() + self.elsewhere.len()
    }

    /// Checks who asks, and takes the request apart.
    pub fn receive(
        &mut self,
        now: Time,
        wall: WallMs,
        request: &Request,
    ) -> Result<(Caller, Route), (u16, Problem)> {
        let refuse = |r: Refusal| {
            (
                r.status,
                Problem {
                    code: r.code,
                    error: r.error,
                    ahead_ms: None,
                },
            )
        };
        let hello = request.path == "/v1/hello";
        let caller = if hello {
            Caller {
                name: String::new(),
                role: Role::Viewer,
            }
        } else {
            let h = request.authorization.as_deref();
            let (method, path) = (request.method.name(), request.path.as_str());
            self.guard
                .check(wall.0, h, method, path, &request.body)
                .map_err(|d| {
                    let ahead_ms = match d {
                        Denied::Clock { ahead_ms, .. } => Some(ahead_ms),
                        _ => None,
                    };
                    let status = if d == Denied::Crowded { 503 } else { 401 };
                    (
                        status,
                        Problem {
                            code: d.code(),
                            error: d.to_string(),
                            ahead_ms,
                        },
                    )
                })?
        };
        let route = Route::parse(request).map_err(refuse)?;
        if route.needs() > Some(caller.role) {
            return Err(refuse(Refusal {
                status: 403,
                code: Code::Forbidden,
                error: format!("key {} may only look: use an operator's key", caller.name),
            }));
        }
        let full = !hello && (self.waiting() >= self.limits.waiting || !self.spend(now));
        if full {
            return Err(refuse(Refusal {
                status: 503,
                code: Code::Busy,
                error: "too many requests at once".into(),
            }));
        }
        Ok((caller, route))
    }

    // ---- what waits ----

    pub fn wait(&mut self, now: Time, request: RequestId, want: Want) {
        self.local.push_back(Local {
            request,
            since: now,
            want,
        });
    }

    /// Another slice answers this one; its answer is put into JSON on the way.
    pub fn leave_to_others(&mut self, request: RequestId) {
        self.elsewhere.insert(request);
    }

    pub fn take_elsewhere(&mut self, request: RequestId) -> bool {
        !self.elsewhere.is_empty() && self.elsewhere.remove(&request)
    }

    /// A question that this controller answers itself if it holds the block.
    pub fn ask_here(&mut self, now: Time, asker: Asker, query: Query) {
        self.asked.push_back(Asked {
            since: now,
            asker,
            query,
        });
    }

    /// A peer's question, unless too many wait.
    pub fn ask_from_peer(&mut self, now: Time, label: String, serial: u64, query: Query) -> bool {
        if self.waiting() >= self.limits.waiting * 2 || !self.spend(now) {
            return false;
        }
        self.ask_here(now, Asker::Peer { label, serial }, query);
        true
    }

    /// Notes a question that goes to the holder; the serial to send it under.
    pub fn forward(&mut self, now: Time, request: RequestId, merge: Merge) -> u64 {
        self.serial += 1;
        self.forwarded.insert(self.serial, (now, request, merge));
        self.serial
    }

    pub fn told(&mut self, serial: u64) -> Option<(RequestId, Merge)> {
        self.forwarded
            .remove(&serial)
            .map(|(_, request, merge)| (request, merge))
    }

    /// Nothing waits here; what other slices answer waits there.
    pub fn idle(&self) -> bool {
        self.local.is_empty() && self.asked.is_empty() && self.forwarded.is_empty()
    }

    pub fn asks_book(&self) -> bool {
        !self.local.is_empty() || !self.asked.is_empty()
    }

    pub fn asks_directives(&self) -> bool {
        self.local
            .iter()
            .any(|l| matches!(l.want, Want::Directives))
    }

    pub fn asks_configuration(&self) -> bool {
        self.local
            .iter()
            .any(|l| matches!(l.want, Want::Configuration))
    }

    pub fn asks_hold(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Questions that a copy of this age can answer.
    pub fn ready_local(&mut self, copies: &Copies) -> Vec<Local> {
        let mut ready = Vec::new();
        let waiting = std::mem::take(&mut self.local);
        for l in waiting {
            let fresh = match l.want {
                Want::Directives => copies.directives,
                Want::Configuration => copies.configuration,
                _ => copies.jobs,
            };
            if fresh.is_some_and(|f| f >= l.since) {
                ready.push(l);
            } else {
                self.local.push_back(l);
            }
        }
        ready
    }

    /// Questions for the holder that an exchange at this time can answer.
    pub fn ready_asked(&mut self, seen: Option<Time>) -> Vec<Asked> {
        let Some(seen) = seen else { return Vec::new() };
        let at = self
            .asked
            .iter()
            .position(|a| a.since > seen)
            .unwrap_or(self.asked.len());
        self.asked.drain(..at).collect()
    }

    /// All that may not wait longer, and, when we are no holder, whatever was
    /// asked of us as one.
    pub fn overdue(&mut self, now: Time, leader: bool) -> (Vec<RequestId>, Vec<(String, u64)>) {
        let (mut own, mut peers) = (Vec::new(), Vec::new());
        let late = |since: Time, s: f64| now.since(since) > s;
        self.local.retain(|l| {
            let over = late(l.since, PATIENCE_S);
            if over {
                own.push(l.request);
            }
            !over
        });
        let asked = std::mem::take(&mut self.asked);
        for a in asked {
            let patience = if matches!(a.asker, Asker::Peer { .. }) {
                PEER_PATIENCE_S
            } else {
                PATIENCE_S
            };
            if leader && !late(a.since, patience) {
                self.asked.push_back(a);
                continue;
            }
            match a.asker {
                Asker::Own { request, .. } => own.push(request),
                Asker::Peer { label, serial } => peers.push((label, serial)),
            }
        }
        let over: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, (since, ..))| late(*since, PATIENCE_S))
            .map(|(serial, _)| *serial)
            .collect();
        own.extend(
            over.into_iter()
                .filter_map(|s| self.told(s))
                .map(|(request, _)| request),
        );
        (own, peers)
    }
}

// ---- answers ----

pub fn say<T: Serialize>(out: &mut Vec<Effect>, to: RequestId, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    // Whoever is told to come back is told when.
    let retry_after = matches!(status, 429 | 503).then_some(1);
    out.push(Effect::OperatorAnswer {
        to,
        status,
        retry_after,
        content: Content::Json,
        body,
    });
}

pub fn refuse(out: &mut Vec<Effect>, to: RequestId, status: u16, code: Code, error: &str) {
    say(
        out,
        to,
        status,
        &Problem {
            code,
            error: error.to_string(),
            ahead_ms: None,
        },
    );
}

pub fn busy(out: &mut Vec<Effect>, to: RequestId, error: &str) {
    refuse(out, to, 503, Code::Busy, error);
}

#[cfg(test)]
mod tests;
