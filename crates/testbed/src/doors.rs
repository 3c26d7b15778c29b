//! Hostile, mistaken and slow clients at the operators' door: each is told
//! what is wrong, nothing changes, and the others are served meanwhile.

use crate::place::{self, Folder, Lab};
use crate::TestbedError;
use beamhinge_admin_api::auth::{Key, Role, Signed};
use beamhinge_admin_api::messages::{Hello, JobRequest, Problem};
use beamhinge_client::connection::Connection;
use beamhinge_client::{wall_ms, Client, ClientError, Timeouts};
use beamhinge_core::http::Method;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

struct Checks {
    failed: Vec<String>,
    made: u32,
}

impl Checks {
    fn that(&mut self, what: &str, holds: bool) {
        self.made += 1;
        eprintln!("{} {what}", if holds { "  ok " } else { "WRONG" });
        if !holds {
            self.failed.push(what.to_string());
        }
    }
}

/// Status and code of an answer to one bare request.
fn ask(
    door: SocketAddrV4,
    method: Method,
    path: &str,
    body: &[u8],
    authorization: Option<&str>,
) -> Option<(u16, String, Option<i64>)> {
    let mut c = Connection::open(door, soon()).ok()?;
    let r = c.exchange(method, path, body, authorization, soon()).ok()?;
    let problem = serde_json::from_slice::<Problem>(&r.body).ok();
    let code = problem
        .as_ref()
        .and_then(|p| serde_json::to_value(p.code).ok());
    let code = code
        .and_then(|c| c.as_str().map(str::to_string))
        .unwrap_or_default();
    Some((r.status, code, problem.and_then(|p| p.ahead_ms)))
}

pub fn run(lab: &Lab) -> Result<Value, TestbedError> {
    let folder = Folder::new("doors")?;
    let keys = folder.0.join("keys.ini");
    let secret = |b: u8| {
        [b; 32]
            .iter()
            .map(|x| format!("{x:02x}"))
            .collect::<String>()
    };
    std::fs::write(
        &keys,
        format!(
            "[night]\nrole = operator\nsecret = {}\n[wall]\nrole = viewer\nsecret = {}\n",
            secret(7),
            secret(8)
        ),
    )?;
    let mut plan = place::plan(lab, &folder.0);
    plan.nodes = 2;
    plan.operators = format!("keys = {}\nconnections = 6\n", keys.display());
    let mut cluster = beamhinge_dev_cluster::Cluster::start(plan, Box::new(|_| {}))?;
    let doors = place::doors(&cluster);
    let new = |name, role, b| Key::new(name, role, vec![b; 32]);
    let (Some(night), Some(wall)) = (
        new("night", Role::Operator, 7),
        new("wall", Role::Viewer, 8),
    ) else {
        return Err(TestbedError::Other("the lab's own keys are unsound".into()));
    };
    let timeouts = Timeouts {
        total: Duration::from_secs(20),
        per_attempt: Duration::from_secs(3),
    };
    let with = |key: &Key| Client::new(&doors, Some(key.clone()), timeouts, |_| {});
    let mut operator = with(&night);
    let mut viewer = with(&wall);
    let mut checks = Checks {
        failed: Vec::new(),
        made: 0,
    };
    checks.that("a signed question is answered", operator.summary().is_ok());
    checks.that("a viewer may look", viewer.nodes().is_ok());
    let job = JobRequest::new("job-0001", "home");
    let denied = viewer.submit(&job);
    checks.that(
        "a viewer may not submit",
        matches!(denied, Err(ClientError::Denied(_))),
    );
    let door = doors[0];
    let told = |r: Option<(u16, String, Option<i64>)>, status: u16, code: &str| {
        r.is_some_and(|(s, c, _)| s == status && c == code)
    };
    let r = ask(door, Method::Get, "/v1/jobs", &[], None);
    checks.that("without a signature: 401", told(r, 401, "unauthenticated"));
    let r = ask(
        door,
        Method::Post,
        "/v1/jobs",
        b"{}",
        Some("BH1 key=night,mac=00"),
    );
    checks.that(
        "with half a signature: 401",
        told(r, 401, "unauthenticated"),
    );
    let mut c = Connection::open(door, soon()).map_err(|e| TestbedError::Other(e.to_string()))?;
    let hello = c
        .exchange(Method::Get, "/v1/hello", &[], None, soon())
        .map_err(|e| TestbedError::Other(e.to_string()))?;
    let hello: Hello =
        serde_json::from_slice(&hello.body).map_err(|e| TestbedError::Other(e.to_string()))?;
    let sign = |nonce: &str, path: &str, body: &[u8], time_ms: u64, instance: &str| {
        let method = if body.is_empty() { "GET" } else { "POST" };
        night.sign(&Signed {
            method,
            path,
            body,
            time_ms,
            nonce,
            instance,
        })
    };
    let body = serde_json::to_vec(&job).map_err(|e| TestbedError::Other(e.to_string()))?;
    let signed = sign(
        "0000000000000001",
        "/v1/jobs",
        &body,
        wall_ms(),
        &hello.instance,
    );
    let altered = serde_json::to_vec(&JobRequest::new("job-0002", "home"))
        .map_err(|e| TestbedError::Other(e.to_string()))?;
    let r = ask(door, Method::Post, "/v1/jobs", &altered, Some(&signed));
    checks.that("an altered body: 401", told(r, 401, "unauthenticated"));
    let r = ask(door, Method::Post, "/v1/jobs", &body, Some(&signed));
    checks.that("the signed one: 201", r.is_some_and(|r| r.0 == 201));
    let r = ask(door, Method::Post, "/v1/jobs", &body, Some(&signed));
    checks.that("the same again: 401, replayed", told(r, 401, "replayed"));
    let r = ask(doors[1], Method::Post, "/v1/jobs", &body, Some(&signed));
    checks.that("the same to another: 401", told(r, 401, "other_instance"));
    let late = sign(
        "0000000000000002",
        "/v1/teams",
        &[],
        wall_ms() - 600_000,
        &hello.instance,
    );
    let r = ask(door, Method::Get, "/v1/teams", &[], Some(&late));
    let ahead = r.as_ref().and_then(|r| r.2).unwrap_or(0);
    checks.that(
        "a clock ten minutes behind: told by how much",
        (-601_000..-599_000).contains(&ahead),
    );
    checks.that("and as a matter of the clock", told(r, 401, "clock"));
    for (what, method, path, body, status) in [
        (
            "an unknown path: 404",
            Method::Get,
            "/v1/planets",
            &b""[..],
            404,
        ),
        (
            "a misspelt filter: 400",
            Method::Get,
            "/v1/jobs?stat=open",
            b"",
            400,
        ),
        (
            "a body that is not JSON: 400",
            Method::Post,
            "/v1/jobs",
            b"{\"job",
            400,
        ),
        (
            "a field that does not exist: 400",
            Method::Post,
            "/v1/directives",
            b"{\"a\":1}",
            400,
        ),
        ("a wrong method: 405", Method::Delete, "/v1/nodes", b"", 405),
    ] {
        let nonce = format!("{:016}", 100 + checks.made);
        let (m, t) = (method.name(), wall_ms());
        let instance = hello.instance.as_str();
        let s = Signed {
            method: m,
            path,
            body,
            time_ms: t,
            nonce: &nonce,
            instance,
        };
        let r = ask(door, method, path, body, Some(&night.sign(&s)));
        checks.that(what, r.is_some_and(|r| r.0 == status));
    }
    let large = vec![b'x'; 80 * 1024];
    let r = ask(door, Method::Post, "/v1/jobs", &large, None);
    checks.that("an oversized body: 413", told(r, 413, "too_large"));
    checks.that("bytes that are no HTTP: 400", garbage(door));
    checks.that("nothing of this made a job", {
        let page = operator.jobs(&[]);
        page.is_ok_and(|p| p.jobs.len() == 1 && p.jobs[0].job == "job-0001")
    });
    // Readers that never take their answers hold their own connections only.
    let mut slow = Vec::new();
    for _ in 0..5 {
        let mut s = TcpStream::connect(door)?;
        for _ in 0..50 {
            let _ = s.write_all(b"GET /v1/hello HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        slow.push(s);
    }
    let began = Instant::now();
    checks.that(
        "others are served beside slow readers",
        operator.summary().is_ok(),
    );
    let beside_s = began.elapsed().as_secs_f64();
    checks.that("and not made to wait", beside_s < 3.0);
    drop(slow);
    // A restart: the old signature is void, the client signs anew by itself.
    cluster.kill_node(0);
    cluster.kill_node(1);
    cluster.start_node(0)?;
    cluster.start_node(1)?;
    checks.that(
        "the client goes on after a restart by itself",
        operator.job("job-0001").is_ok(),
    );
    let r = ask(door, Method::Post, "/v1/jobs", &body, Some(&signed));
    checks.that(
        "what was signed before it is void",
        told(r, 401, "other_instance"),
    );
    let log = std::fs::read_to_string(cluster.log_of(0)).unwrap_or_default();
    checks.that(
        "no secret stands in the log",
        !log.contains(&secret(7)) && !log.is_empty(),
    );
    let ok = checks.failed.is_empty();
    Ok(
        json!({"ok": ok, "experiment": "doors", "checks": checks.made, "failed": checks.failed,
        "beside_slow_readers_s": (beside_s * 1e3).round() / 1e3}),
    )
}

/// Whether bytes that are no request are answered as such.
fn garbage(door: SocketAddrV4) -> bool {
    let Ok(mut s) = TcpStream::connect(door) else {
        return false;
    };
    let _ = s.set_read_timeout(Some(Duration::from_secs(3)));
    let _ = s.write_all(b"\x16\x03\x01\x02\x00\x01\r\n\r\n");
    let mut answer = [0u8; 64];
    matches!(s.read(&mut answer), Ok(n) if answer[..n].starts_with(b"HTTP/1.1 400"))
}
