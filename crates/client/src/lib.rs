//! A client of the controllers' admin API.
//!
//! [`routing`] decides which controller to try and when, without any I/O. [`connection`] sends one
//! request. [`config`] loads the controllers' addresses. [`Client`] combines them; the command line
//! is built on it.

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

/// A request or response body that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is not valid JSON, or a field is missing.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The text is not UTF-8.
    #[error(transparent)]
    Text(#[from] std::string::FromUtf8Error),
}

/// Reason why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// A controller refused the request; a retry would be refused as well.
    #[error("{} ({})", .problem.error, .status)]
    Refused {
        /// HTTP status.
        status: u16,
        /// The controller's reason.
        problem: Problem,
    },
    /// The object that the request names does not exist.
    #[error("{0}")]
    NotFound(String),
    /// The controller did not accept the key, or the client's clock.
    #[error("{}", .0.error)]
    Denied(Problem),
    /// No controller could be reached.
    #[error("no controller could be reached within {waited_s:.0} s; last error: {last}. Is one running? `beamhinge up` starts a cluster on this machine; `beamhinge config` shows the addresses that are tried")]
    Unreachable {
        /// How long the call took, seconds.
        waited_s: f64,
        /// The last error.
        last: String,
    },
    /// Controllers were reached, but none completed the request in time.
    #[error("timed out after {waited_s:.0} s; last error: {last}. A change may or may not have been made; repeat the same call to find out")]
    TimedOut {
        /// How long the call took, seconds.
        waited_s: f64,
        /// The last error.
        last: String,
    },
    /// The response of a controller cannot be decoded.
    #[error("this client cannot decode the controller's response: {0}")]
    InvalidResponse(#[from] BodyError),
}

impl ClientError {
    /// Whether the requested change may have been made despite the error.
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
    /// Limit for the call, including all attempts.
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
    /// Instance id of the controller process at each address, which signatures include; `None`
    /// while it is unknown.
    instances: Vec<Option<String>>,
    started: Instant,
    /// Receives progress messages about failed attempts during a call.
    on_progress: Box<dyn FnMut(&str)>,
    /// The controller that answered the last successful call; `None` before the first one.
    last_controller: Option<SocketAddrV4>,
}

/// Wall-clock time, milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Generates a random job id in the format that the protocol requires.
pub fn generate_job_id() -> String {
    format!(
        "job-{:015}",
        rand::thread_rng().gen_range(1..1_000_000_000_000_000u64)
    )
}

/// Shortest timeout of an attempt, seconds.
const MIN_ATTEMPT_S: f64 = 0.05;
/// Shortest pause between attempts that is reported, seconds.
const MIN_REPORTED_PAUSE_S: f64 = 1.0;

/// A request to the admin API.
struct Request<'a> {
    method: Method,
    path: &'a str,
    body: &'a [u8],
}

/// State of a call across its attempts.
struct Call {
    started_s: f64,
    last_error: String,
    /// Whether any controller has answered.
    reached: bool,
    /// Errors that have already been reported.
    reported: BTreeSet<String>,
}

impl Call {
    fn new(started_s: f64) -> Call {
        Call {
            started_s,
            last_error: String::from("no attempt was made"),
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

/// Decodes the problem in an error response, or derives one from the status if the body holds none.
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

/// Signs a request for one instance (process) of a controller.
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
    /// Creates a client that signs requests with `key`, if there is one. `on_progress` receives
    /// messages about failed attempts.
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

    /// The controller that answered the last successful call; `None` before the first one.
    pub fn last_controller(&self) -> Option<SocketAddrV4> {
        self.last_controller
    }

    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Sends a request, with retries, until a controller answers or refuses it or the total timeout
    /// expires.
    ///
    /// Every request of the admin API is idempotent, so retries are safe.
    ///
    /// # Errors
    ///
    /// The [`ClientError`] says whether any controller was reached and how it responded.
    pub fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Vec<u8>, ClientError> {
        let request = Request { method, path, body };
        let total_s = self.timeouts.total.as_secs_f64();
        let mut call = Call::new(self.now_s());
        self.routing.begin_call();
        loop {
            let waited_s = self.now_s() - call.started_s;
            if waited_s >= total_s {
                return Err(call.timed_out(waited_s));
            }
            let index = match self.routing.next(self.now_s()) {
                RoutingDecision::Try(index) => index,
                RoutingDecision::Wait(seconds) => {
                    self.pause(seconds.min(total_s - waited_s).max(0.0), &call.last_error);
                    continue;
                }
            };
            let remaining = Duration::from_secs_f64((total_s - waited_s).max(MIN_ATTEMPT_S));
            match self.attempt(index, &request, remaining.min(self.timeouts.per_attempt)) {
                Ok(response) => {
                    call.reached = true;
                    if let Some(body) = self.on_response(index, response, &mut call)? {
                        return Ok(body);
                    }
                }
                Err(error) => self.on_failed_attempt(index, &error, &mut call),
            }
        }
    }

    fn pause(&mut self, seconds: f64, last_error: &str) {
        // Short pauses are barely noticeable and are not reported.
        if seconds >= MIN_REPORTED_PAUSE_S {
            (self.on_progress)(&format!("{last_error}; retrying in {seconds:.0} s"));
        }
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    fn on_failed_attempt(&mut self, index: usize, error: &ConnectionError, call: &mut Call) {
        call.last_error = format!("{}: {error}", self.routing.addr(index));
        self.report_once(call);
        self.connections[index] = None;
        self.instances[index] = None;
        let now = self.now_s();
        self.routing.record(now, index, Outcome::Failed);
    }

    /// Returns the body of a successful response, `None` if the call is to be retried, or the error
    /// that ends the call.
    fn on_response(
        &mut self,
        index: usize,
        response: Response,
        call: &mut Call,
    ) -> Result<Option<Vec<u8>>, ClientError> {
        let addr = self.routing.addr(index);
        let now = self.now_s();
        let status = response.status;
        if (200..300).contains(&status) {
            self.routing.record(now, index, Outcome::Answered);
            self.last_controller = Some(addr);
            return Ok(Some(response.body));
        }
        let problem = problem_of(status, &response.body);
        match (status, problem.code) {
            (401, Code::OtherInstance) => {
                // The next signature needs the new instance id, so it must be fetched again.
                self.instances[index] = None;
                call.last_error = format!("{addr}: the controller was restarted");
                self.routing.record(now, index, Outcome::Restarted);
            }
            (401 | 403, _) => return Err(ClientError::Denied(problem)),
            (404, _) => return Err(ClientError::NotFound(problem.error)),
            (429 | 503 | 504, _) | (500.., _) => {
                call.last_error = format!("{addr}: {}", problem.error);
                self.report_once(call);
                let outcome = Outcome::Busy(response.retry_after);
                self.routing.record(now, index, outcome);
            }
            _ => return Err(ClientError::Refused { status, problem }),
        }
        Ok(None)
    }

    /// Reports the call's last error, unless the same error was already reported during this call.
    fn report_once(&mut self, call: &mut Call) {
        if call.reported.insert(call.last_error.clone()) {
            (self.on_progress)(&call.last_error);
        }
    }

    fn attempt(
        &mut self,
        index: usize,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, ConnectionError> {
        let deadline = Instant::now() + timeout;
        if self.key.is_some() && self.instances[index].is_none() {
            let hello = Request {
                method: Method::Get,
                path: "/v1/hello",
                body: &[],
            };
            let response = self.send(index, &hello, None, deadline)?;
            let hello: ServerInfo = serde_json::from_slice(&response.body)
                .map_err(|_| ConnectionError::MalformedResponse)?;
            self.instances[index] = Some(hello.instance);
        }
        let signature = match (&self.key, &self.instances[index]) {
            (Some(key), Some(instance)) => Some(sign(key, instance, request)),
            _ => None,
        };
        self.send(index, request, signature.as_deref(), deadline)
    }

    fn send(
        &mut self,
        index: usize,
        request: &Request,
        signature: Option<&str>,
        deadline: Instant,
    ) -> Result<Response, ConnectionError> {
        let Request { method, path, body } = *request;
        // The controller may have closed an idle connection, which does not mean that it is
        // unreachable: a failure on a reused connection leads to an immediate retry on a new one.
        if let Some(mut reused) = self.connections[index].take() {
            if let Ok(response) = reused.exchange(method, path, body, signature, deadline) {
                if !response.close {
                    self.connections[index] = Some(reused);
                }
                return Ok(response);
            }
        }
        let mut new_connection = Connection::open(self.routing.addr(index), deadline)?;
        let response = new_connection.exchange(method, path, body, signature, deadline)?;
        if !response.close {
            self.connections[index] = Some(new_connection);
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

    /// Label, instance id, version and clock of the controller.
    pub fn hello(&mut self) -> Result<ServerInfo, ClientError> {
        self.get("/v1/hello")
    }
    /// Submits a job. A repeated submission with the same id returns the existing job.
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
    /// Reasons why tasks of a job wait.
    pub fn explain(&mut self, job: &str) -> Result<Explanation, ClientError> {
        self.get(&format!("/v1/jobs/{job}/explain"))
    }
    /// One page of jobs. For the next page, set `after` to the `next` of this one.
    pub fn jobs(&mut self, query: &[(&str, String)]) -> Result<JobPage, ClientError> {
        self.get(&with_query("/v1/jobs", query))
    }
    /// One page of machines.
    pub fn machines(&mut self, query: &[(&str, String)]) -> Result<MachinePage, ClientError> {
        self.get(&with_query("/v1/machines", query))
    }
    /// Teams with their quotas and usage.
    pub fn teams(&mut self) -> Result<Vec<TeamRow>, ClientError> {
        self.get("/v1/teams")
    }
    /// Controllers with their roles.
    pub fn nodes(&mut self) -> Result<Vec<NodeRow>, ClientError> {
        self.get("/v1/nodes")
    }
    /// The learner's parameter pairs of the capacity split, with their weights.
    pub fn splits(&mut self) -> Result<Splits, ClientError> {
        self.get("/v1/splits")
    }
    /// Overview of the cluster; available only while the cluster has a leader.
    pub fn summary(&mut self) -> Result<Summary, ClientError> {
        self.get("/v1/summary")
    }
    /// Decisions with serial numbers above `after` of the leader with this fencing token.
    pub fn decisions(&mut self, token: u64, after: u64) -> Result<Decisions, ClientError> {
        let query = [("token", token.to_string()), ("after", after.to_string())];
        self.get(&with_query("/v1/decisions", &query))
    }
    /// Operator directives in force, for example drains.
    pub fn directives(&mut self) -> Result<Directives, ClientError> {
        self.get("/v1/directives")
    }
    /// Sets or withdraws a directive.
    pub fn change(
        &mut self,
        change: &DirectiveChange,
    ) -> Result<DirectiveChangeResult, ClientError> {
        self.post("/v1/directives", change)
    }
    /// Teams and quotas, their version, and the controllers that do not use this version yet.
    pub fn configuration(&mut self) -> Result<ConfigurationView, ClientError> {
        self.get("/v1/configuration")
    }
    /// Changes teams and quotas. If the response is lost, the version shows whether the change was
    /// made.
    pub fn configure(
        &mut self,
        change: &ConfigurationChange,
    ) -> Result<ConfigurationResponse, ClientError> {
        self.post("/v1/configuration", change)
    }
    /// Metrics of one controller in the Prometheus text format.
    pub fn metrics(&mut self) -> Result<String, ClientError> {
        let body = self.call(Method::Get, "/metrics", &[])?;
        Ok(String::from_utf8(body).map_err(BodyError::from)?)
    }
}

/// Appends an escaped query to a path; parameters with empty values are omitted.
pub fn with_query(path: &str, query: &[(&str, String)]) -> String {
    let mut pairs = form_urlencoded::Serializer::new(String::new());
    let mut has_pairs = false;
    for (name, value) in query.iter().filter(|(_, v)| !v.is_empty()) {
        pairs.append_pair(name, value);
        has_pairs = true;
    }
    if has_pairs {
        format!("{path}?{}", pairs.finish())
    } else {
        path.to_string()
    }
}
