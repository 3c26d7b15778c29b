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
const REQUESTS_OF_SLOW_READER: usize = 50;
/// Limit for the request of another client while the slow readers are connected, in seconds.
const MAX_BESIDE_S: f64 = 3.0;
/// Nonces of the requests that are signed in this module; the client generates random ones.
const SUBMIT_NONCE: &str = "0000000000000001";
const LATE_NONCE: &str = "0000000000000002";
const FIRST_MISTAKE_NONCE: u32 = 100;
/// How far the client's clock is behind in the clock check, in milliseconds.
const CLOCK_BEHIND_MS: u64 = 600_000;

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

fn secret(byte: u8) -> String {
    format!("{byte:02x}").repeat(SECRET_LENGTH)
}

fn key(name: &str, role: Role, byte: u8) -> Result<Key, TestbedError> {
    Key::new(name, role, vec![byte; SECRET_LENGTH])
        .ok_or_else(|| TestbedError::Other("the test keys are invalid".into()))
}

struct Checks {
    failed: Vec<String>,
    made: u32,
}

impl Checks {
    fn that(&mut self, what: &str, holds: bool) {
        self.made += 1;
        eprintln!("{} {what}", if holds { "  ok  " } else { "FAILED" });
        if !holds {
            self.failed.push(what.to_string());
        }
    }
}

/// The response to one request that was sent without the client library.
struct Answer {
    status: u16,
    /// Code of the reported problem; empty if the response reports none.
    code: String,
    /// How far the controller's clock is ahead, in milliseconds; `None` if not reported.
    ahead_ms: Option<i64>,
}

/// Returns whether a request was rejected with this status and code.
fn is_refused(answer: Option<Answer>, status: u16, code: &str) -> bool {
    answer.is_some_and(|a| a.status == status && a.code == code)
}

/// Sends one request on a new connection. Returns `None` if no response arrives in time.
fn ask(
    listener: SocketAddrV4,
    method: Method,
    path: &str,
    body: &[u8],
    authorization: Option<&str>,
) -> Option<Answer> {
    let mut connection = Connection::open(listener, soon()).ok()?;
    let response = connection
        .exchange(method, path, body, authorization, soon())
        .ok()?;
    let problem = serde_json::from_slice::<Problem>(&response.body).ok();
    let code = problem
        .as_ref()
        .and_then(|p| serde_json::to_value(p.code).ok());
    Some(Answer {
        status: response.status,
        code: code
            .and_then(|c| c.as_str().map(str::to_string))
            .unwrap_or_default(),
        ahead_ms: problem.and_then(|p| p.ahead_ms),
    })
}

/// The cluster under test and its clients.
struct Scene {
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

impl Scene {
    fn new(context: &TestContext, folder: &Folder) -> Result<Scene, TestbedError> {
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
        Ok(Scene {
            operator: client(operator_key.clone()),
            viewer: client(viewer_key),
            cluster,
            listeners,
            operator_key,
            checks: Checks {
                failed: Vec::new(),
                made: 0,
            },
        })
    }

    /// The listener of the first controller.
    fn listener(&self) -> SocketAddrV4 {
        self.listeners[0]
    }

    fn check_roles(&mut self) {
        let answered = self.operator.summary().is_ok();
        self.checks.that("a signed request is answered", answered);
        let looked = self.viewer.nodes().is_ok();
        self.checks.that("a viewer may read", looked);
        let denied = self.viewer.submit(&JobRequest::new("job-0001", "home"));
        let denied = matches!(denied, Err(ClientError::Denied(_)));
        self.checks.that("a viewer may not submit", denied);
    }

    /// Checks requests that are unsigned, incompletely signed, altered or replayed.
    fn check_signatures(&mut self) -> Result<SignedSubmission, TestbedError> {
        let (first, second) = (self.listener(), self.listeners[1]);
        let post = |listener, body: &[u8], authorization: &str| {
            ask(
                listener,
                Method::Post,
                "/v1/jobs",
                body,
                Some(authorization),
            )
        };
        let bare = ask(first, Method::Get, "/v1/jobs", &[], None);
        let refused = is_refused(bare, 401, "unauthenticated");
        self.checks
            .that("a request without a signature: 401", refused);
        let half = post(first, b"{}", "BH1 key=night,mac=00");
        let refused = is_refused(half, 401, "unauthenticated");
        self.checks.that("an incomplete signature: 401", refused);
        let signed = self.sign_submission()?;
        let (body, authorization) = (&signed.body, &signed.authorization);
        let altered = encode(&JobRequest::new("job-0002", "home"))?;
        let altered = post(first, &altered, authorization);
        let refused = is_refused(altered, 401, "unauthenticated");
        self.checks.that("an altered body: 401", refused);
        let created = post(first, body, authorization).is_some_and(|a| a.status == 201);
        self.checks
            .that("a correctly signed submission: 201", created);
        let replayed = is_refused(post(first, body, authorization), 401, "replayed");
        self.checks
            .that("the same request again: 401, replayed", replayed);
        let other = is_refused(post(second, body, authorization), 401, "other_instance");
        self.checks
            .that("the same request to another controller: 401", other);
        Ok(signed)
    }

    fn sign_submission(&self) -> Result<SignedSubmission, TestbedError> {
        let other = |e: &dyn std::fmt::Display| TestbedError::Other(e.to_string());
        let mut connection = Connection::open(self.listener(), soon()).map_err(|e| other(&e))?;
        let hello = connection
            .exchange(Method::Get, "/v1/hello", &[], None, soon())
            .map_err(|e| other(&e))?;
        let hello: ServerInfo = serde_json::from_slice(&hello.body).map_err(|e| other(&e))?;
        let body = encode(&JobRequest::new("job-0001", "home"))?;
        let authorization = self.operator_key.sign(&SignedRequest {
            method: "POST",
            path: "/v1/jobs",
            body: &body,
            time_ms: wall_ms(),
            nonce: SUBMIT_NONCE,
            instance: &hello.instance,
        });
        Ok(SignedSubmission {
            instance: hello.instance,
            body,
            authorization,
        })
    }

    fn check_clock(&mut self, instance: &str) {
        let late = self.operator_key.sign(&SignedRequest {
            method: "GET",
            path: "/v1/teams",
            body: &[],
            time_ms: wall_ms() - CLOCK_BEHIND_MS,
            nonce: LATE_NONCE,
            instance,
        });
        let answer = ask(self.listener(), Method::Get, "/v1/teams", &[], Some(&late));
        let ahead = answer.as_ref().and_then(|a| a.ahead_ms).unwrap_or(0);
        self.checks.that(
            "a clock ten minutes behind: the response reports the difference",
            (-601_000..-599_000).contains(&ahead),
        );
        let refused = is_refused(answer, 401, "clock");
        self.checks
            .that("a clock ten minutes behind: 401, clock", refused);
    }

    /// Checks that invalid requests, signed or not, are rejected and create no job.
    fn check_mistakes(&mut self, instance: &str) {
        use Method::{Delete, Get, Post};
        let mistakes: [(&str, Method, &str, &[u8], u16); 5] = [
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
        for (what, method, path, body, status) in mistakes {
            let nonce = format!("{:016}", FIRST_MISTAKE_NONCE + self.checks.made);
            let authorization = self.operator_key.sign(&SignedRequest {
                method: method.name(),
                path,
                body,
                time_ms: wall_ms(),
                nonce: &nonce,
                instance,
            });
            let answer = ask(self.listener(), method, path, body, Some(&authorization));
            let refused = answer.is_some_and(|a| a.status == status);
            self.checks.that(what, refused);
        }
        let large = vec![b'x'; 80 * 1024];
        let answer = ask(self.listener(), Method::Post, "/v1/jobs", &large, None);
        let refused = is_refused(answer, 413, "too_large");
        self.checks.that("an oversized body: 413", refused);
        let refused = refuses_garbage(self.listener());
        self.checks.that("bytes that are not HTTP: 400", refused);
        let jobs = self.operator.jobs(&[]);
        let unchanged = jobs.is_ok_and(|p| p.jobs.len() == 1 && p.jobs[0].job == "job-0001");
        self.checks
            .that("no rejected request created a job", unchanged);
    }

    /// Checks that clients which never read their responses block only their own connections.
    /// Returns how long the request of another client took, in seconds.
    fn check_slow_readers(&mut self) -> Result<f64, TestbedError> {
        let mut readers = Vec::new();
        for _ in 0..SLOW_READERS {
            let mut reader = TcpStream::connect(self.listener())?;
            for _ in 0..REQUESTS_OF_SLOW_READER {
                let _ = reader.write_all(b"GET /v1/hello HTTP/1.1\r\nHost: x\r\n\r\n");
            }
            readers.push(reader);
        }
        let began = Instant::now();
        let served = self.operator.summary().is_ok();
        self.checks.that(
            "other clients are served while slow readers are connected",
            served,
        );
        let beside_s = began.elapsed().as_secs_f64();
        self.checks.that(
            "slow readers do not delay other clients",
            beside_s < MAX_BESIDE_S,
        );
        drop(readers);
        Ok(beside_s)
    }

    /// Checks that a restart invalidates old signatures and that the client signs again by itself.
    fn check_restart(&mut self, signed: &SignedSubmission) -> Result<(), TestbedError> {
        for node in 0..2 {
            self.cluster.kill_node(node);
        }
        for node in 0..2 {
            self.cluster.start_node(node)?;
        }
        let goes_on = self.operator.job("job-0001").is_ok();
        self.checks
            .that("the client recovers from a restart by itself", goes_on);
        let answer = ask(
            self.listener(),
            Method::Post,
            "/v1/jobs",
            &signed.body,
            Some(&signed.authorization),
        );
        let refused = is_refused(answer, 401, "other_instance");
        self.checks
            .that("a signature from before the restart is invalid", refused);
        let log = std::fs::read_to_string(self.cluster.log_of(0)).unwrap_or_default();
        let silent = !log.contains(&secret(OPERATOR_SECRET)) && !log.is_empty();
        self.checks.that("the log contains no secret", silent);
        Ok(())
    }
}

fn encode(job: &JobRequest) -> Result<Vec<u8>, TestbedError> {
    serde_json::to_vec(job).map_err(|e| TestbedError::Other(e.to_string()))
}

/// Runs the experiment and returns the results to print.
pub(crate) fn run(context: &TestContext) -> Result<Value, TestbedError> {
    let folder = Folder::new("doors")?;
    let mut scene = Scene::new(context, &folder)?;
    scene.check_roles();
    let signed = scene.check_signatures()?;
    scene.check_clock(&signed.instance);
    scene.check_mistakes(&signed.instance);
    let beside_s = scene.check_slow_readers()?;
    scene.check_restart(&signed)?;
    let Checks { failed, made } = scene.checks;
    Ok(
        json!({"ok": failed.is_empty(), "experiment": "doors", "checks": made, "failed": failed,
        "beside_slow_readers_s": (beside_s * 1e3).round() / 1e3}),
    )
}

/// Returns whether bytes that are not an HTTP request are answered with status 400.
fn refuses_garbage(listener: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect(listener) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let _ = stream.write_all(b"\x16\x03\x01\x02\x00\x01\r\n\r\n");
    let mut answer = [0u8; 64];
    matches!(stream.read(&mut answer), Ok(n) if answer[..n].starts_with(b"HTTP/1.1 400"))
}
