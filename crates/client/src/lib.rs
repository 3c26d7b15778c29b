//! Calls the operators' interface: which controller, how often, signed by whom.
//!
//! [`routing`] decides and holds no socket; [`wire`] sends one request;
//! [`Client`] puts them together, and is what the command line is built on.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

pub mod config;
pub mod routing;
pub mod wire;

use beamhinge_admin_api::auth::{Key, Signed};
use beamhinge_admin_api::directives::{Change, Changed};
use beamhinge_admin_api::messages::{
    Code, ConfigurationMade, ConfigurationView, Decisions, Directives, Explanation, Hello,
    JobDetail, JobPage, JobRequest, JobTold, MachinePage, NodeRow, Problem, Splits, Summary,
    TeamRow,
};
use beamhinge_configuration::ConfigurationChange;
use beamhinge_core::http::Method;
use rand::Rng;
use routing::{Next, Outcome, Routing};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A controller understood and said no; asking again changes nothing.
    #[error("{} ({})", .problem.error, .status)]
    Refused { status: u16, problem: Problem },
    #[error("{0}")]
    NotFound(String),
    /// The key, or the clock.
    #[error("{}", .0.error)]
    Denied(Problem),
    /// No controller was reached at all.
    #[error("no controller could be reached within {waited_s:.0} s; last: {last}. Is one running? `beamhinge up` starts some on this machine; `beamhinge config` shows which addresses are tried")]
    Unreachable { waited_s: f64, last: String },
    /// Controllers were reached and asked to come back until time ran out.
    #[error("no answer within {waited_s:.0} s: {last}. A change may or may not have been made; the same call again finds out")]
    TimedOut { waited_s: f64, last: String },
    #[error("the controller's answer is in a form this client does not know: {0}")]
    InvalidResponse(String),
}

impl ClientError {
    /// Whether a change that was asked for may have been made all the same.
    pub fn may_have_happened(&self) -> bool {
        matches!(
            self,
            ClientError::TimedOut { .. } | ClientError::InvalidResponse(_)
        )
    }
}

/// How long to go on, and how long to wait for one answer.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    pub total: Duration,
    pub per_attempt: Duration,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            total: Duration::from_secs(30),
            per_attempt: Duration::from_secs(5),
        }
    }
}

pub struct Client {
    routing: Routing,
    key: Option<Key>,
    timeouts: Timeouts,
    connections: Vec<Option<wire::Connection>>,
    /// The process behind each address, for which requests are signed.
    instances: Vec<Option<String>>,
    started: Instant,
    tell: Box<dyn FnMut(&str)>,
    /// The controller that gave the last answer.
    answered: Option<SocketAddrV4>,
}

/// Milliseconds of the time of day.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// A new job's id, of the form that the protocol wants.
pub fn draw_job_id() -> String {
    format!(
        "job-{:015}",
        rand::thread_rng().gen_range(1..1_000_000_000_000_000u64)
    )
}

impl Client {
    /// `tell` hears what goes on while one call takes several tries.
    pub fn new(
        controllers: &[SocketAddrV4],
        key: Option<Key>,
        timeouts: Timeouts,
        tell: impl FnMut(&str) + 'static,
    ) -> Client {
        Client {
            routing: Routing::new(controllers, rand::thread_rng().gen()),
            key,
            timeouts,
            connections: controllers.iter().map(|_| None).collect(),
            instances: vec![None; controllers.len()],
            started: Instant::now(),
            tell: Box::new(tell),
            answered: None,
        }
    }

    pub fn last_controller(&self) -> Option<SocketAddrV4> {
        self.answered
    }

    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Sends a request until it is answered, refused, or time runs out. Every
    /// request of the interface may be repeated: what is named is the same.
    pub fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, ClientError> {
        let began = self.now_s();
        let total = self.timeouts.total.as_secs_f64();
        let mut last = String::from("nothing was tried");
        let mut reached = false;
        let mut said: BTreeSet<String> = BTreeSet::new();
        self.routing.begin();
        loop {
            let waited_s = self.now_s() - began;
            if waited_s >= total {
                return Err(if reached {
                    ClientError::TimedOut { waited_s, last }
                } else {
                    ClientError::Unreachable { waited_s, last }
                });
            }
            let at = match self.routing.next(self.now_s()) {
                Next::Try(at) => at,
                Next::Wait(seconds) => {
                    let pause = seconds.min(total - waited_s).max(0.0);
                    // What everybody sees pass need not be said.
                    if pause >= 1.0 {
                        (self.tell)(&format!("{last}; trying again in {pause:.0} s"));
                    }
                    std::thread::sleep(Duration::from_secs_f64(pause));
                    continue;
                }
            };
            let addr = self.routing.addr(at);
            let left = Duration::from_secs_f64((total - waited_s).max(0.05));
            let reply = self.attempt(at, method, path, body, left.min(self.timeouts.per_attempt));
            let (status, retry_after, body) = match reply {
                Ok(r) => r,
                Err(e) => {
                    last = format!("{addr}: {e}");
                    self.say_once(&mut said, &last);
                    self.connections[at] = None;
                    self.instances[at] = None;
                    let now = self.now_s();
                    self.routing.came(now, at, Outcome::Failed);
                    continue;
                }
            };
            reached = true;
            let now = self.now_s();
            if (200..300).contains(&status) {
                self.routing.came(now, at, Outcome::Answered);
                self.answered = Some(addr);
                return Ok(body);
            }
            let problem = serde_json::from_slice::<Problem>(&body).unwrap_or(Problem {
                code: if status == 404 {
                    Code::NotFound
                } else {
                    Code::Busy
                },
                error: format!("status {status}"),
                ahead_ms: None,
            });
            match (status, problem.code) {
                (401, Code::OtherInstance) => {
                    // It has been restarted since: learn who it is now.
                    self.instances[at] = None;
                    last = format!("{addr} has been restarted");
                    self.routing.came(now, at, Outcome::Again);
                }
                (401 | 403, _) => return Err(ClientError::Denied(problem)),
                (404, _) => return Err(ClientError::NotFound(problem.error)),
                (429 | 503 | 504, _) | (500.., _) => {
                    last = format!("{addr}: {}", problem.error);
                    self.say_once(&mut said, &last);
                    self.routing.came(now, at, Outcome::Busy(retry_after));
                }
                _ => return Err(ClientError::Refused { status, problem }),
            }
        }
    }

    /// The same trouble is told once a call, not once a try.
    fn say_once(&mut self, said: &mut BTreeSet<String>, what: &str) {
        if said.insert(what.to_string()) {
            (self.tell)(what);
        }
    }

    fn attempt(
        &mut self,
        at: usize,
        method: Method,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Option<u32>, Vec<u8>), wire::ConnectionError> {
        let until = Instant::now() + timeout;
        if self.key.is_some() && self.instances[at].is_none() {
            let reply = self.send(at, Method::Get, "/v1/hello", &[], None, until)?;
            let hello: Hello =
                serde_json::from_slice(&reply.2).map_err(|_| wire::ConnectionError::Form)?;
            self.instances[at] = Some(hello.instance);
        }
        let signature = match (&self.key, &self.instances[at]) {
            (Some(key), Some(instance)) => {
                let mut nonce = [0u8; 16];
                rand::thread_rng().fill(&mut nonce);
                let nonce: String = nonce.iter().map(|b| format!("{b:02x}")).collect();
                let (method, time_ms) = (method.name(), wall_ms());
                Some(key.sign(&Signed {
                    method,
                    path,
                    body,
                    time_ms,
                    nonce: &nonce,
                    instance,
                }))
            }
            _ => None,
        };
        self.send(at, method, path, body, signature.as_deref(), until)
    }

    fn send(
        &mut self,
        at: usize,
        method: Method,
        path: &str,
        body: &[u8],
        signature: Option<&str>,
        until: Instant,
    ) -> Result<(u16, Option<u32>, Vec<u8>), wire::ConnectionError> {
        // A connection kept from before may have been closed meanwhile: that
        // says nothing of the controller, so a new one is tried at once.
        if let Some(mut kept) = self.connections[at].take() {
            if let Ok(r) = kept.exchange(method, path, body, signature, until) {
                if !r.close {
                    self.connections[at] = Some(kept);
                }
                return Ok((r.status, r.retry_after, r.body));
            }
        }
        let mut fresh = wire::Connection::open(self.routing.addr(at), until)?;
        let r = fresh.exchange(method, path, body, signature, until)?;
        if !r.close {
            self.connections[at] = Some(fresh);
        }
        Ok((r.status, r.retry_after, r.body))
    }

    fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, ClientError> {
        let body = self.call(Method::Get, path, &[])?;
        serde_json::from_slice(&body).map_err(|e| ClientError::InvalidResponse(e.to_string()))
    }

    fn post<T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body =
            serde_json::to_vec(body).map_err(|e| ClientError::InvalidResponse(e.to_string()))?;
        let body = self.call(Method::Post, path, &body)?;
        serde_json::from_slice(&body).map_err(|e| ClientError::InvalidResponse(e.to_string()))
    }

    // ---- the interface ----

    pub fn hello(&mut self) -> Result<Hello, ClientError> {
        self.get("/v1/hello")
    }
    /// Submits a job. The same id again finds the same job.
    pub fn submit(&mut self, job: &JobRequest) -> Result<JobTold, ClientError> {
        self.post("/v1/jobs", job)
    }
    pub fn cancel(&mut self, job: &str) -> Result<JobTold, ClientError> {
        self.post(&format!("/v1/jobs/{job}/cancel"), &())
    }
    pub fn job(&mut self, job: &str) -> Result<JobDetail, ClientError> {
        self.get(&format!("/v1/jobs/{job}"))
    }
    pub fn explain(&mut self, job: &str) -> Result<Explanation, ClientError> {
        self.get(&format!("/v1/jobs/{job}/explain"))
    }
    /// One page of jobs; go on with `after` set to its `next`.
    pub fn jobs(&mut self, query: &[(&str, String)]) -> Result<JobPage, ClientError> {
        self.get(&with_query("/v1/jobs", query))
    }
    pub fn machines(&mut self, query: &[(&str, String)]) -> Result<MachinePage, ClientError> {
        self.get(&with_query("/v1/machines", query))
    }
    pub fn teams(&mut self) -> Result<Vec<TeamRow>, ClientError> {
        self.get("/v1/teams")
    }
    pub fn nodes(&mut self) -> Result<Vec<NodeRow>, ClientError> {
        self.get("/v1/nodes")
    }
    pub fn splits(&mut self) -> Result<Splits, ClientError> {
        self.get("/v1/splits")
    }
    pub fn summary(&mut self) -> Result<Summary, ClientError> {
        self.get("/v1/summary")
    }
    pub fn decisions(&mut self, token: u64, after: u64) -> Result<Decisions, ClientError> {
        let query = [("token", token.to_string()), ("after", after.to_string())];
        self.get(&with_query("/v1/decisions", &query))
    }
    pub fn directives(&mut self) -> Result<Directives, ClientError> {
        self.get("/v1/directives")
    }
    pub fn change(&mut self, change: &Change) -> Result<Changed, ClientError> {
        self.post("/v1/directives", change)
    }
    /// Teams and quotas, their version, and which controllers serve by it.
    pub fn configuration(&mut self) -> Result<ConfigurationView, ClientError> {
        self.get("/v1/configuration")
    }
    /// Changes teams and quotas. After an answer that was lost, look at the version.
    pub fn configure(
        &mut self,
        change: &ConfigurationChange,
    ) -> Result<ConfigurationMade, ClientError> {
        self.post("/v1/configuration", change)
    }
    pub fn metrics(&mut self) -> Result<String, ClientError> {
        let body = self.call(Method::Get, "/metrics", &[])?;
        String::from_utf8(body).map_err(|e| ClientError::InvalidResponse(e.to_string()))
    }
}

/// A path with its query, each word escaped.
pub fn with_query(path: &str, query: &[(&str, String)]) -> String {
    let mut words = form_urlencoded::Serializer::new(String::new());
    let mut any = false;
    for (name, value) in query.iter().filter(|(_, v)| !v.is_empty()) {
        words.append_pair(name, value);
        any = true;
    }
    if any {
        format!("{path}?{}", words.finish())
    } else {
        path.to_string()
    }
}
