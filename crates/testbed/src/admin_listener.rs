//! Hostile, faulty and slow clients at the operators' listener.
//!
//! The controller must report the error to each of them and change no state, and it must serve
//! other clients meanwhile.

use crate::context::{self, Folder, TestContext};
use crate::TestbedError;
use beamhinge_admin_api::auth::{Key, Role, SignedRequest};
use beamhinge_admin_api::messages::{JobRequest, Problem, ServerInfo};
use beamhinge_client::connection::Connection;
use beamhinge_client::{wall_ms, Client, ClientError, Timeouts};
use beamhinge_core::http::Method;
use beamhinge_dev_cluster::Cluster;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Value of every byte of the operator's and the viewer's secret.
const OPERATOR_SECRET: u8 = 7;
const VIEWER_SECRET: u8 = 8;
/// Length of a secret in bytes.
const SECRET_LENGTH: usize = 32;
/// Number of clients that never read their responses, and the requests that each one sends.
const SLOW_READERS: usize = 5;
const REQUESTS_PER_SLOW_READER: usize = 50;
/// Limit for the request of another client while the slow readers are connected, in seconds.
const MAX_WAIT_BESIDE_SLOW_READERS_S: f64 = 3.0;
/// Nonces of the requests that are signed in this module; the client generates random ones.
const SUBMIT_NONCE: &str = "0000000000000001";
const SLOW_CLOCK_NONCE: &str = "0000000000000002";
const FIRST_INVALID_REQUEST_NONCE: u32 = 100;
/// How far the client's clock is behind in the clock check, in milliseconds.
const CLOCK_BEHIND_MS: u64 = 600_000;

fn request_deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

fn secret(byte: u8) -> String {
    format!("{byte:02x}").repeat(SECRET_LENGTH)
}

fn key(name: &str, role: Role, byte: u8) -> Result<Key, TestbedError> {
    Key::new(name, role, vec![byte; SECRET_LENGTH])
        .ok_or_else(|| TestbedError::Other("the test keys are invalid".into()))
}

/// Results of the checks.
struct Checks {
    /// Descriptions of the failed checks.
    failed: Vec<String>,
    count: u32,
}

impl Checks {
    /// Prints and counts the result of one check.
    fn record(&mut self, description: &str, passed: bool) {
        self.count += 1;
        eprintln!("{} {description}", if passed { "  ok  " } else { "FAILED" });
        if !passed {
            self.failed.push(description.to_string());
        }
    }
}

/// The response to one request that was sent without the client library.
struct RawResponse {
    status: u16,
    /// Code of the reported problem; empty if the response reports none.
    code: String,
    /// How far the controller's clock is ahead, in milliseconds; `None` if not reported.
    ahead_ms: Option<i64>,
}

/// Returns whether a request was rejected with this status and code.
fn is_rejected(response: Option<RawResponse>, status: u16, code: &str) -> bool {
    response.is_some_and(|r| r.status == status && r.code == code)
}

/// Sends one request on a new connection. Returns `None` if no response arrives in time.
fn send_request(
    listener: SocketAddrV4,
    method: Method,
    path: &str,
    body: &[u8],
    authorization: Option<&str>,
) -> Option<RawResponse> {
    let mut connection = Connection::open(listener, request_deadline()).ok()?;
    let response = connection
        .exchange(method, path, body, authorization, request_deadline())
        .ok()?;
    let problem = serde_json::from_slice::<Problem>(&response.body).ok();
    let code = problem
        .as_ref()
        .and_then(|p| serde_json::to_value(p.code).ok());
    Some(RawResponse {
        status: response.status,
        code: code
            .and_then(|c| c.as_str().map(str::to_string))
            .unwrap_or_default(),
        ahead_ms: problem.and_then(|p| p.ahead_ms),
    })
}

/// The cluster under test and its clients.
struct ListenerTest {
    cluster: Cluster,
    listeners: Vec<SocketAddrV4>,
    operator_key: Key,
    operator: Client,
    viewer: Client,
    checks: Checks,
}

/// A job submission signed for one instance (process) of a controller.
struct SignedSubmission {
    instance: String,
    body: Vec<u8>,
    authorization: String,
}

impl ListenerTest {
    fn new(context: &TestContext, folder: &Folder) -> Result<ListenerTest, TestbedError> {
        let keys = folder.0.join("keys.ini");
        let text = format!(
            "[night]\nrole = operator\nsecret = {}\n[wall]\nrole = viewer\nsecret = {}\n",
            secret(OPERATOR_SECRET),
            secret(VIEWER_SECRET)
        );
        std::fs::write(&keys, text)?;
        let mut plan = context::plan(context, &folder.0);
        plan.nodes = 2;
        plan.operators = format!("keys = {}\nconnections = 6\n", keys.display());
        let cluster = Cluster::start(plan, Box::new(|_| {}))?;
        let listeners = context::admin_listeners(&cluster);
        let operator_key = key("night", Role::Operator, OPERATOR_SECRET)?;
        let viewer_key = key("wall", Role::Viewer, VIEWER_SECRET)?;
        let timeouts = Timeouts {
            total: Duration::from_secs(20),
            per_attempt: Duration::from_secs(3),
        };
        let client = |key: Key| Client::new(&listeners, Some(key), timeouts, |_| {});
        Ok(ListenerTest {
            operator: client(operator_key.clone()),
            viewer: client(viewer_key),
            cluster,
            listeners,
            operator_key,
            checks: Checks {
                failed: Vec::new(),
                count: 0,
            },
        })
    }

    /// The listener of the first controller.
    fn listener(&self) -> SocketAddrV4 {
        self.listeners[0]
    }

    fn check_roles(&mut self) {
        let answered = self.operator.summary().is_ok();
        self.checks.record("a signed request is answered", answered);
        let viewer_can_read = self.viewer.nodes().is_ok();
        self.checks.record("a viewer may read", viewer_can_read);
        let denied = self.viewer.submit(&JobRequest::new("job-0001", "home"));
        let denied = matches!(denied, Err(ClientError::Denied(_)));
        self.checks.record("a viewer may not submit", denied);
    }

    /// Checks requests that are unsigned, incompletely signed, altered or replayed.
    fn check_signatures(&mut self) -> Result<SignedSubmission, TestbedError> {
        let (first, second) = (self.listener(), self.listeners[1]);
        let post = |listener, body: &[u8], authorization: &str| {
            send_request(
                listener,
                Method::Post,
                "/v1/jobs",
                body,
                Some(authorization),
            )
        };
        let unsigned = send_request(first, Method::Get, "/v1/jobs", &[], None);
        let rejected = is_rejected(unsigned, 401, "unauthenticated");
        self.checks
            .record("a request without a signature: 401", rejected);
        let incomplete = post(first, b"{}", "BH1 key=night,mac=00");
        let rejected = is_rejected(incomplete, 401, "unauthenticated");
        self.checks.record("an incomplete signature: 401", rejected);
        let signed = self.sign_submission()?;
        let (body, authorization) = (&signed.body, &signed.authorization);
        let altered = encode(&JobRequest::new("job-0002", "home"))?;
        let altered = post(first, &altered, authorization);
        let rejected = is_rejected(altered, 401, "unauthenticated");
        self.checks.record("an altered body: 401", rejected);
        let created = post(first, body, authorization).is_some_and(|r| r.status == 201);
        self.checks
            .record("a correctly signed submission: 201", created);
        let replayed = is_rejected(post(first, body, authorization), 401, "replayed");
        self.checks
            .record("the same request again: 401, replayed", replayed);
        let other = is_rejected(post(second, body, authorization), 401, "other_instance");
        self.checks
            .record("the same request to another controller: 401", other);
        Ok(signed)
    }

    fn sign_submission(&self) -> Result<SignedSubmission, TestbedError> {
        let other = |e: &dyn std::fmt::Display| TestbedError::Other(e.to_string());
        let mut connection =
            Connection::open(self.listener(), request_deadline()).map_err(|e| other(&e))?;
        let server_info = connection
            .exchange(Method::Get, "/v1/hello", &[], None, request_deadline())
            .map_err(|e| other(&e))?;
        let server_info: ServerInfo =
            serde_json::from_slice(&server_info.body).map_err(|e| other(&e))?;
        let body = encode(&JobRequest::new("job-0001", "home"))?;
        let authorization = self.operator_key.sign(&SignedRequest {
            method: "POST",
            path: "/v1/jobs",
            body: &body,
            time_ms: wall_ms(),
            nonce: SUBMIT_NONCE,
            instance: &server_info.instance,
        });
        Ok(SignedSubmission {
            instance: server_info.instance,
            body,
            authorization,
        })
    }

    fn check_clock(&mut self, instance: &str) {
        let authorization = self.operator_key.sign(&SignedRequest {
            method: "GET",
            path: "/v1/teams",
            body: &[],
            time_ms: wall_ms() - CLOCK_BEHIND_MS,
            nonce: SLOW_CLOCK_NONCE,
            instance,
        });
        let response = send_request(
            self.listener(),
            Method::Get,
            "/v1/teams",
            &[],
            Some(&authorization),
        );
        let ahead = response.as_ref().and_then(|r| r.ahead_ms).unwrap_or(0);
        self.checks.record(
            "a clock ten minutes behind: the response reports the difference",
            (-601_000..-599_000).contains(&ahead),
        );
        let rejected = is_rejected(response, 401, "clock");
        self.checks
            .record("a clock ten minutes behind: 401, clock", rejected);
    }

    /// Checks that invalid requests, signed or not, are rejected and create no job.
    fn check_invalid_requests(&mut self, instance: &str) {
        use Method::{Delete, Get, Post};
        let invalid_requests: [(&str, Method, &str, &[u8], u16); 5] = [
            ("an unknown path: 404", Get, "/v1/planets", b"", 404),
            (
                "a misspelt filter: 400",
                Get,
                "/v1/jobs?stat=open",
                b"",
                400,
            ),
            (
                "a body that is not JSON: 400",
                Post,
                "/v1/jobs",
                b"{\"job",
                400,
            ),
            (
                "a field that does not exist: 400",
                Post,
                "/v1/directives",
                b"{\"a\":1}",
                400,
            ),
            ("a wrong method: 405", Delete, "/v1/nodes", b"", 405),
        ];
        for (description, method, path, body, status) in invalid_requests {
            let nonce = format!("{:016}", FIRST_INVALID_REQUEST_NONCE + self.checks.count);
            let authorization = self.operator_key.sign(&SignedRequest {
                method: method.name(),
                path,
                body,
                time_ms: wall_ms(),
                nonce: &nonce,
                instance,
            });
            let response = send_request(self.listener(), method, path, body, Some(&authorization));
            let rejected = response.is_some_and(|r| r.status == status);
            self.checks.record(description, rejected);
        }
        let large = vec![b'x'; 80 * 1024];
        let response = send_request(self.listener(), Method::Post, "/v1/jobs", &large, None);
        let rejected = is_rejected(response, 413, "too_large");
        self.checks.record("an oversized body: 413", rejected);
        let rejected = rejects_bytes_that_are_not_http(self.listener());
        self.checks.record("bytes that are not HTTP: 400", rejected);
        let jobs = self.operator.jobs(&[]);
        let unchanged = jobs.is_ok_and(|p| p.jobs.len() == 1 && p.jobs[0].job == "job-0001");
        self.checks
            .record("no rejected request created a job", unchanged);
    }

    /// Checks that clients which never read their responses block only their own connections.
    /// Returns how long the request of another client took, in seconds.
    fn check_slow_readers(&mut self) -> Result<f64, TestbedError> {
        let mut readers = Vec::new();
        for _ in 0..SLOW_READERS {
            let mut reader = TcpStream::connect(self.listener())?;
            for _ in 0..REQUESTS_PER_SLOW_READER {
                let _ = reader.write_all(b"GET /v1/hello HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            readers.push(reader);
        }
        let started_at = Instant::now();
        let served = self.operator.summary().is_ok();
        self.checks.record(
            "other clients are served while slow readers are connected",
            served,
        );
        let wait_s = started_at.elapsed().as_secs_f64();
        self.checks.record(
            "slow readers do not delay other clients",
            wait_s < MAX_WAIT_BESIDE_SLOW_READERS_S,
        );
        drop(readers);
        Ok(wait_s)
    }

    /// Checks that a restart invalidates old signatures and that the client signs again by itself.
    fn check_restart(&mut self, signed: &SignedSubmission) -> Result<(), TestbedError> {
        for node in 0..2 {
            self.cluster.kill_controller(node);
        }
        for node in 0..2 {
            self.cluster.start_controller(node)?;
        }
        let recovered = self.operator.job("job-0001").is_ok();
        self.checks
            .record("the client recovers from a restart by itself", recovered);
        let response = send_request(
            self.listener(),
            Method::Post,
            "/v1/jobs",
            &signed.body,
            Some(&signed.authorization),
        );
        let rejected = is_rejected(response, 401, "other_instance");
        self.checks
            .record("a signature from before the restart is invalid", rejected);
        let log = std::fs::read_to_string(self.cluster.log_path(0)).unwrap_or_default();
        let secret_absent = !log.contains(&secret(OPERATOR_SECRET)) && !log.is_empty();
        self.checks
            .record("the log contains no secret", secret_absent);
        Ok(())
    }
}

fn encode(job: &JobRequest) -> Result<Vec<u8>, TestbedError> {
    serde_json::to_vec(job).map_err(|e| TestbedError::Other(e.to_string()))
}

/// Runs the experiment and returns the results to print.
pub(crate) fn run(context: &TestContext) -> Result<Value, TestbedError> {
    let folder = Folder::new("doors")?;
    let mut listener_test = ListenerTest::new(context, &folder)?;
    listener_test.check_roles();
    let signed = listener_test.check_signatures()?;
    listener_test.check_clock(&signed.instance);
    listener_test.check_invalid_requests(&signed.instance);
    let wait_s = listener_test.check_slow_readers()?;
    listener_test.check_restart(&signed)?;
    let Checks { failed, count } = listener_test.checks;
    Ok(
        json!({"ok": failed.is_empty(), "experiment": "doors", "checks": count, "failed": failed,
        "beside_slow_readers_s": (wait_s * 1e3).round() / 1e3}),
    )
}

/// Returns whether bytes that are not an HTTP request are answered with status 400.
fn rejects_bytes_that_are_not_http(listener: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect(listener) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let _ = stream.write_all(b"\x16\x03\x01\x02\x00\x01\r\n\r\n");
    let mut response = [0u8; 64];
    matches!(stream.read(&mut response), Ok(n) if response[..n].starts_with(b"HTTP/1.1 400"))
}
