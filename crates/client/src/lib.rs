//! A client of the controllers' admin API.
//!
//! [`routing`] decides which controller is tried and when, and holds no socket; [`connection`]
//! sends one request; [`config`] reads which controllers there are. [`Client`] puts them together
//! and is what the command line is built on.

pub mod config;
pub mod connection;
pub mod routing;

use beamhinge_admin_api::auth::{Key, SignedRequest};
use beamhinge_admin_api::directives::{DirectiveChange, DirectiveChangeResult};
use beamhinge_admin_api::messages::{
    Code, ConfigurationResponse, ConfigurationView, Decisions, Directives, Explanation, JobDetail,
    JobPage, JobRequest, JobResponse, MachinePage, NodeRow, Problem, ServerInfo, Splits, Summary,
    TeamRow,
};
use beamhinge_configuration::ConfigurationChange;
use beamhinge_core::http::{Method, Response};
use connection::{Connection, ConnectionError};
use rand::Rng;
use routing::{Outcome, Routing, RoutingDecision};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A body that is not of the expected form.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// Not JSON, or a field is missing.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Text that is not UTF-8.
    #[error(transparent)]
    Text(#[from] std::string::FromUtf8Error),
}

/// Why a call did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A controller refused the request; repeating it changes nothing.
    #[error("{} ({})", .problem.error, .status)]
    Refused {
        /// HTTP status.
        status: u16,
        /// The controller's reason.
        problem: Problem,
    },
    /// What the request names does not exist.
    #[error("{0}")]
    NotFound(String),
    /// The key or the clock was not accepted.
    #[error("{}", .0.error)]
    Denied(Problem),
    /// No controller was reached at all.
    #[error("no controller could be reached within {waited_s:.0} s; last: {last}. Is one running? `beamhinge up` starts some on this machine; `beamhinge config` shows which addresses are tried")]
    Unreachable {
        /// How long the call took, seconds.
        waited_s: f64,
        /// The last error.
        last: String,
    },
    /// Controllers were reached, but none carried the request out in time.
    #[error("no answer within {waited_s:.0} s: {last}. A change may or may not have been made; the same call again finds out")]
    TimedOut {
        /// How long the call took, seconds.
        waited_s: f64,
        /// The last error.
        last: String,
    },
    /// A controller answered in an unknown form.
    #[error("the controller's answer is in a form this client does not know: {0}")]
    InvalidResponse(#[from] BodyError),
}

impl ClientError {
    /// Whether the requested change may have been made all the same.
    pub fn outcome_unknown(&self) -> bool {
        matches!(
            self,
            ClientError::TimedOut { .. } | ClientError::InvalidResponse(_)
        )
    }
}

/// Time limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Limit for the call with all its attempts.
    pub total: Duration,
    /// Limit for one attempt.
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

/// A client of one cluster's controllers.
pub struct Client {
    routing: Routing,
    key: Option<Key>,
    timeouts: Timeouts,
    connections: Vec<Option<Connection>>,
    /// The process behind each address, which signatures name.
    instances: Vec<Option<String>>,
    started: Instant,
    /// Is given lines about attempts that fail while a call goes on.
    on_progress: Box<dyn FnMut(&str)>,
    /// The controller that gave the last answer.
    last_controller: Option<SocketAddrV4>,
}

/// Milliseconds of the time of day.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Draws a new job id of the form that the protocol asks for.
pub fn draw_job_id() -> String {
    format!(
        "job-{:015}",
        rand::thread_rng().gen_range(1..1_000_000_000_000_000u64)
    )
}

/// Shortest time limit of an attempt, seconds.
const MIN_ATTEMPT_S: f64 = 0.05;
/// Shortest pause that is reported, seconds.
const MIN_REPORTED_PAUSE_S: f64 = 1.0;

/// A request of the admin API.
struct Request<'a> {
    method: Method,
    path: &'a str,
    body: &'a [u8],
}

/// The state of a call over its attempts.
struct Call {
    started_s: f64,
    last_error: String,
    /// Whether any controller has answered.
    reached: bool,
    /// Errors that have been reported already.
    reported: BTreeSet<String>,
}

impl Call {
    fn new(started_s: f64) -> Call {
        Call {
            started_s,
            last_error: String::from("nothing was tried"),
            reached: false,
            reported: BTreeSet::new(),
        }
    }

    fn timed_out(self, waited_s: f64) -> ClientError {
        let last = self.last_error;
        if self.reached {
            ClientError::TimedOut { waited_s, last }
        } else {
            ClientError::Unreachable { waited_s, last }
        }
    }
}

/// What a controller says is wrong, or what its status says.
fn problem_of(status: u16, body: &[u8]) -> Problem {
    serde_json::from_slice(body).unwrap_or_else(|_| Problem {
        code: if status == 404 {
            Code::NotFound
        } else {
            Code::Busy
        },
        error: format!("status {status}"),
        ahead_ms: None,
    })
}

/// Signs a request for one process of a controller.
fn sign(key: &Key, instance: &str, request: &Request) -> String {
    let mut nonce = [0u8; 16];
    rand::thread_rng().fill(&mut nonce);
    let nonce: String = nonce.iter().map(|b| format!("{b:02x}")).collect();
    key.sign(&SignedRequest {
        method: request.method.name(),
        path: request.path,
        body: request.body,
        time_ms: wall_ms(),
        nonce: &nonce,
        instance,
    })
}

impl Client {
    /// Makes a client that signs with `key`. `on_progress` is given lines about failed attempts.
    pub fn new(
        controllers: &[SocketAddrV4],
        key: Option<Key>,
        timeouts: Timeouts,
        on_progress: impl FnMut(&str) + 'static,
    ) -> Client {
        Client {
            routing: Routing::new(controllers, rand::thread_rng().gen()),
            key,
            timeouts,
            connections: controllers.iter().map(|_| None).collect(),
            instances: vec![None; controllers.len()],
            started: Instant::now(),
            on_progress: Box::new(on_progress),
            last_controller: None,
        }
    }

    /// The controller that gave the last answer.
    pub fn last_controller(&self) -> Option<SocketAddrV4> {
        self.last_controller
    }

    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Sends a request until it is answered or refused, or the time runs out.
    ///
    /// Every request of the admin API is idempotent and may be repeated.
    ///
    /// # Errors
    ///
    /// [`ClientError`] says whether any controller was reached and what it answered.
    pub fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, ClientError> {
        let request = Request { method, path, body };
        let total_s = self.timeouts.total.as_secs_f64();
        let mut call = Call::new(self.now_s());
        self.routing.begin();
        loop {
            let waited_s = self.now_s() - call.started_s;
            if waited_s >= total_s {
                return Err(call.timed_out(waited_s));
            }
            let at = match self.routing.next(self.now_s()) {
                RoutingDecision::Try(at) => at,
                RoutingDecision::Wait(seconds) => {
                    self.pause(seconds.min(total_s - waited_s).max(0.0), &call.last_error);
                    continue;
                }
            };
            let left = Duration::from_secs_f64((total_s - waited_s).max(MIN_ATTEMPT_S));
            match self.attempt(at, &request, left.min(self.timeouts.per_attempt)) {
                Ok(response) => {
                    call.reached = true;
                    if let Some(body) = self.on_response(at, response, &mut call)? {
                        return Ok(body);
                    }
                }
                Err(error) => self.on_failed_attempt(at, &error, &mut call),
            }
        }
    }

    fn pause(&mut self, seconds: f64, last_error: &str) {
        // A pause that is hardly noticed need not be reported.
        if seconds >= MIN_REPORTED_PAUSE_S {
            (self.on_progress)(&format!("{last_error}; trying again in {seconds:.0} s"));
        }
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    fn on_failed_attempt(&mut self, at: usize, error: &ConnectionError, call: &mut Call) {
        call.last_error = format!("{}: {error}", self.routing.addr(at));
        self.report_once(call);
        self.connections[at] = None;
        self.instances[at] = None;
        let now = self.now_s();
        self.routing.record(now, at, Outcome::Failed);
    }

    /// The body of a success, `None` if the call goes on, or the error that ends it.
    fn on_response(
        &mut self,
        at: usize,
        response: Response,
        call: &mut Call,
    ) -> Result<Option<Vec<u8>>, ClientError> {
        let addr = self.routing.addr(at);
        let now = self.now_s();
        let status = response.status;
        if (200..300).contains(&status) {
            self.routing.record(now, at, Outcome::Answered);
            self.last_controller = Some(addr);
            return Ok(Some(response.body));
        }
        let problem = problem_of(status, &response.body);
        match (status, problem.code) {
            (401, Code::OtherInstance) => {
                // The instance has to be asked for again before the next signature.
                self.instances[at] = None;
                call.last_error = format!("{addr} has been restarted");
                self.routing.record(now, at, Outcome::Restarted);
            }
            (401 | 403, _) => return Err(ClientError::Denied(problem)),
            (404, _) => return Err(ClientError::NotFound(problem.error)),
            (429 | 503 | 504, _) | (500.., _) => {
                call.last_error = format!("{addr}: {}", problem.error);
                self.report_once(call);
                let outcome = Outcome::Busy(response.retry_after);
                self.routing.record(now, at, outcome);
            }
            _ => return Err(ClientError::Refused { status, problem }),
        }
        Ok(None)
    }

    /// Reports the call's last error, once a call and not once an attempt.
    fn report_once(&mut self, call: &mut Call) {
        if call.reported.insert(call.last_error.clone()) {
            (self.on_progress)(&call.last_error);
        }
    }

    fn attempt(
        &mut self,
        at: usize,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, ConnectionError> {
        let deadline = Instant::now() + timeout;
        if self.key.is_some() && self.instances[at].is_none() {
            let hello = Request {
                method: Method::Get,
                path: "/v1/hello",
                body: &[],
            };
            let response = self.send(at, &hello, None, deadline)?;
            let hello: ServerInfo =
                serde_json::from_slice(&response.body).map_err(|_| ConnectionError::Form)?;
            self.instances[at] = Some(hello.instance);
        }
        let signature = match (&self.key, &self.instances[at]) {
            (Some(key), Some(instance)) => Some(sign(key, instance, request)),
            _ => None,
        };
        self.send(at, request, signature.as_deref(), deadline)
    }

    fn send(
        &mut self,
        at: usize,
        request: &Request,
        signature: Option<&str>,
        deadline: Instant,
    ) -> Result<Response, ConnectionError> {
        let Request { method, path, body } = *request;
        // A kept connection may have been closed meanwhile, which says nothing of the controller:
        // a new one is tried at once.
        if let Some(mut kept) = self.connections[at].take() {
            if let Ok(response) = kept.exchange(method, path, body, signature, deadline) {
                if !response.close {
                    self.connections[at] = Some(kept);
                }
                return Ok(response);
            }
        }
        let mut opened = Connection::open(self.routing.addr(at), deadline)?;
        let response = opened.exchange(method, path, body, signature, deadline)?;
        if !response.close {
            self.connections[at] = Some(opened);
        }
        Ok(response)
    }

    fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, ClientError> {
        let body = self.call(Method::Get, path, &[])?;
        Ok(serde_json::from_slice(&body).map_err(BodyError::from)?)
    }

    fn post<T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(body).map_err(BodyError::from)?;
        let body = self.call(Method::Post, path, &body)?;
        Ok(serde_json::from_slice(&body).map_err(BodyError::from)?)
    }

    /// Which process the controller is.
    pub fn hello(&mut self) -> Result<ServerInfo, ClientError> {
        self.get("/v1/hello")
    }
    /// Submits a job. The same id again finds the same job.
    pub fn submit(&mut self, job: &JobRequest) -> Result<JobResponse, ClientError> {
        self.post("/v1/jobs", job)
    }
    /// Cancels a job.
    pub fn cancel(&mut self, job: &str) -> Result<JobResponse, ClientError> {
        self.post(&format!("/v1/jobs/{job}/cancel"), &())
    }
    /// State and tasks of a job.
    pub fn job(&mut self, job: &str) -> Result<JobDetail, ClientError> {
        self.get(&format!("/v1/jobs/{job}"))
    }
    /// Why tasks of a job wait.
    pub fn explain(&mut self, job: &str) -> Result<Explanation, ClientError> {
        self.get(&format!("/v1/jobs/{job}/explain"))
    }
    /// One page of jobs; go on with `after` set to its `next`.
    pub fn jobs(&mut self, query: &[(&str, String)]) -> Result<JobPage, ClientError> {
        self.get(&with_query("/v1/jobs", query))
    }
    /// One page of machines.
    pub fn machines(&mut self, query: &[(&str, String)]) -> Result<MachinePage, ClientError> {
        self.get(&with_query("/v1/machines", query))
    }
    /// Teams with quotas and use.
    pub fn teams(&mut self) -> Result<Vec<TeamRow>, ClientError> {
        self.get("/v1/teams")
    }
    /// Controllers with their roles.
    pub fn nodes(&mut self) -> Result<Vec<NodeRow>, ClientError> {
        self.get("/v1/nodes")
    }
    /// How capacity is split, and what the learner knows.
    pub fn splits(&mut self) -> Result<Splits, ClientError> {
        self.get("/v1/splits")
    }
    /// Overview of the cluster; only a cluster with a leader gives one.
    pub fn summary(&mut self) -> Result<Summary, ClientError> {
        self.get("/v1/summary")
    }
    /// Decisions of the leader with this fencing token, after a serial number.
    pub fn decisions(&mut self, token: u64, after: u64) -> Result<Decisions, ClientError> {
        let query = [("token", token.to_string()), ("after", after.to_string())];
        self.get(&with_query("/v1/decisions", &query))
    }
    /// Directives of operators in force, like drains.
    pub fn directives(&mut self) -> Result<Directives, ClientError> {
        self.get("/v1/directives")
    }
    /// Changes a directive.
    pub fn change(
        &mut self,
        change: &DirectiveChange,
    ) -> Result<DirectiveChangeResult, ClientError> {
        self.post("/v1/directives", change)
    }
    /// Teams and quotas, their version, and which controllers serve by it.
    pub fn configuration(&mut self) -> Result<ConfigurationView, ClientError> {
        self.get("/v1/configuration")
    }
    /// Changes teams and quotas. After a lost answer, the version tells whether it was made.
    pub fn configure(
        &mut self,
        change: &ConfigurationChange,
    ) -> Result<ConfigurationResponse, ClientError> {
        self.post("/v1/configuration", change)
    }
    /// Metrics of one controller, as text.
    pub fn metrics(&mut self) -> Result<String, ClientError> {
        let body = self.call(Method::Get, "/metrics", &[])?;
        Ok(String::from_utf8(body).map_err(BodyError::from)?)
    }
}

/// A path with its query, escaped; empty values are left out.
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
