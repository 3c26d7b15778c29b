//! Kills and restarts controllers under load, one at a time and all together.
//!
//! Meanwhile clients submit jobs, query them, and cancel jobs through two controllers at once.
//! Histories that the clients and the emulated platform record show whether every job keeps one
//! final state.

use crate::context::{self, Folder, TestContext};
use crate::history::{inconsistencies, JobHistory, JobReply, Reply, TaskTransitions};
use crate::TestbedError;
use beamhinge_admin_api::messages::{JobRequest, State};
use beamhinge_client::connection::Connection;
use beamhinge_client::{Client, ClientError};
use beamhinge_core::http::{Content, Method};
use beamhinge_core::wire;
use beamhinge_dev_cluster::Cluster;
use beamhinge_emulator::ProtocolFaults;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Observations shared by all clients of the experiment.
struct Observations {
    started_at: Instant,
    /// History of each job, by its name.
    jobs: Mutex<BTreeMap<String, JobHistory>>,
    transitions: Mutex<TaskTransitions>,
    /// Response times of all answered requests, in microseconds.
    times: Mutex<Histogram<u64>>,
    /// Send and response times of all accepted submissions, in seconds of the experiment.
    accepted: Mutex<Vec<(f64, f64)>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Observations {
    /// Seconds since the start of the experiment.
    fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    fn record_reply(&self, job: &str, start_s: f64, content: JobReply, source: &str) {
        let end_s = self.now();
        let received = Reply {
            start_s,
            end_s,
            content,
            source: source.to_string(),
        };
        lock(&self.jobs)
            .entry(job.to_string())
            .or_default()
            .replies
            .push(received);
        lock(&self.times).saturating_record((((end_s - start_s) * 1e6) as u64).max(1));
    }
}

/// Size of the experiment.
struct Size {
    clients: usize,
    jobs_each: usize,
    kills: usize,
}

impl Size {
    fn new(quick: bool) -> Size {
        if quick {
            Size {
                clients: 4,
                jobs_each: 50,
                kills: 4,
            }
        } else {
            Size {
                clients: 8,
                jobs_each: 260,
                kills: 24,
            }
        }
    }

    /// Pause between two jobs of a client, in seconds. The load lasts about as long as the kills.
    fn pause_s(&self) -> f64 {
        self.kills as f64 * KILL_INTERVAL_S / self.jobs_each as f64
    }
}

/// Approximate time between two kills, in seconds.
const KILL_INTERVAL_S: f64 = 4.5;
/// Upper bound of the response time histogram, in microseconds.
const MAX_ANSWER_US: u64 = 120_000_000;
/// Number of the client that queries jobs which no client submits, and its query interval.
const UNKNOWN_JOB_CLIENT: usize = 99;
const UNKNOWN_JOB_QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Where the controllers serve operators and users.
#[derive(Clone)]
struct Addresses {
    operators: Vec<SocketAddrV4>,
    users: Vec<SocketAddrV4>,
}

/// Starts the clients, and one client that queries jobs which no client submits, until `stop` is
/// set. If a controller knows such a job, it has invented it.
fn start_clients(
    size: &Size,
    seed: u64,
    observations: &Arc<Observations>,
    addresses: &Addresses,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    let (jobs, pause_s) = (size.jobs_each, size.pause_s());
    for number in 0..size.clients {
        let (observations, addresses) = (observations.clone(), addresses.clone());
        let seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        threads.push(thread::spawn(move || {
            TestClient::new(number, seed, observations, addresses).run_load(jobs, pause_s);
        }));
    }
    let (observations, addresses, stop) = (observations.clone(), addresses.clone(), stop.clone());
    let seed = seed ^ 0x5a5a;
    threads.push(thread::spawn(move || {
        let mut test_client = TestClient::new(UNKNOWN_JOB_CLIENT, seed, observations, addresses);
        while !stop.load(Ordering::Relaxed) {
            test_client.query_unknown_job();
            thread::sleep(UNKNOWN_JOB_QUERY_INTERVAL);
        }
    }));
    threads
}

/// Runs the experiment and returns the results to print.
pub(crate) fn run(
    context: &TestContext,
    quick: bool,
    protocol_faults: ProtocolFaults,
) -> Result<Value, TestbedError> {
    let size = Size::new(quick);
    let folder = Folder::new("restart")?;
    let times = Histogram::new_with_bounds(1, MAX_ANSWER_US, 3);
    let observations = Arc::new(Observations {
        started_at: Instant::now(),
        jobs: Mutex::default(),
        transitions: Mutex::default(),
        times: Mutex::new(times.map_err(|e| TestbedError::Other(e.to_string()))?),
        accepted: Mutex::default(),
    });
    let observed = observations.clone();
    let mut plan = context::plan(context, &folder.0);
    plan.protocol_faults = protocol_faults;
    let observer = Box::new(move |event| {
        let at = observed.now();
        lock(&observed.transitions).on_event(at, &event);
    });
    let mut cluster = context::start(plan, observer)?;
    let plan = cluster.plan();
    let addresses = Addresses {
        operators: context::admin_listeners(&cluster),
        users: (0..plan.nodes).map(|n| plan.user_address(n)).collect(),
    };
    let stop = Arc::new(AtomicBool::new(false));
    let threads = start_clients(&size, context.seed, &observations, &addresses, &stop);
    let kills = kill_and_restart(&mut cluster, context.seed, size.kills, &observations)?;
    stop.store(true, Ordering::Relaxed);
    let joined = threads.into_iter().map(thread::JoinHandle::join);
    let failed_threads = joined.filter(Result::is_err).count();
    let unfinished = wait_until_finished(&observations, &addresses);
    let exited = cluster.reap_exited();
    let memory_mb = cluster
        .processes()
        .into_iter()
        .map(|pid| context::memory_mb(pid).1)
        .fold(0.0f64, f64::max);
    drop(cluster);
    let ended = exited.len() + failed_threads;
    report(&observations, &kills, &unfinished, ended, memory_mb)
}

/// Kills and restarts controllers. Returns the time of each kill and whether it killed all.
fn kill_and_restart(
    cluster: &mut Cluster,
    seed: u64,
    kills: usize,
    observations: &Observations,
) -> Result<Vec<(f64, bool)>, TestbedError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let nodes = cluster.plan().nodes;
    let mut client = context::client(cluster, 1.0);
    let mut kill_times = Vec::new();
    thread::sleep(Duration::from_secs(2));
    for k in 0..kills {
        // Every fourth kill takes down all controllers. Of the others, those with an even index
        // take down the leader, if it is known, and the rest a random controller.
        let all = k % 4 == 3;
        let leader = client
            .nodes()
            .ok()
            .and_then(|n| n.into_iter().find(|n| n.leader));
        let leader = leader
            .and_then(|n| n.label.bytes().next())
            .map(|b| usize::from(b - b'a'));
        let single_victim = match leader {
            Some(l) if k % 2 == 0 => l % nodes,
            _ => rng.gen_range(0..nodes),
        };
        let victims: Vec<usize> = if all {
            (0..nodes).collect()
        } else {
            vec![single_victim]
        };
        eprintln!(
            "{:6.1} s  kill {} of {kills}: {victims:?}",
            observations.now(),
            k + 1
        );
        kill_times.push((observations.now(), all));
        victims.iter().for_each(|v| cluster.kill_controller(*v));
        thread::sleep(Duration::from_secs_f64(rng.gen_range(0.1..1.5)));
        for v in victims {
            cluster.start_controller(v)?;
        }
        thread::sleep(Duration::from_secs_f64(rng.gen_range(2.0..4.5)));
    }
    Ok(kill_times)
}

/// Waits until all controllers report every accepted job as finished. Returns the jobs that are
/// still unfinished after the timeout.
fn wait_until_finished(observations: &Arc<Observations>, addresses: &Addresses) -> Vec<String> {
    let jobs: Vec<String> = lock(&observations.jobs)
        .iter()
        .filter(|(_, history)| {
            history
                .replies
                .iter()
                .any(|r| r.content != JobReply::Unknown)
        })
        .map(|(job, _)| job.clone())
        .collect();
    eprintln!(
        "{:6.1} s  {} jobs were accepted; waiting until they finish",
        observations.now(),
        jobs.len()
    );
    let end = Instant::now() + Duration::from_secs(90);
    let mut open = Vec::new();
    for (node, operators) in addresses.operators.iter().enumerate() {
        let mut test_client = TestClient::new(
            200 + node,
            node as u64,
            observations.clone(),
            Addresses {
                operators: vec![*operators],
                users: vec![addresses.users[node]],
            },
        );
        let mut left = jobs.clone();
        while !left.is_empty() && Instant::now() < end {
            left.retain(|job| !test_client.is_finished(job));
            if !left.is_empty() {
                thread::sleep(Duration::from_millis(300));
            }
        }
        open.extend(left);
    }
    open.sort();
    open.dedup();
    open
}

/// A client that submits, queries and cancels jobs and records the replies.
struct TestClient {
    observations: Arc<Observations>,
    rng: StdRng,
    addresses: Addresses,
    connection: Option<Connection>,
    client: Client,
    number: usize,
}

impl TestClient {
    fn new(
        number: usize,
        seed: u64,
        observations: Arc<Observations>,
        addresses: Addresses,
    ) -> TestClient {
        let client = context::new_client(&addresses.operators, 60.0);
        let rng = StdRng::seed_from_u64(seed);
        TestClient {
            observations,
            rng,
            addresses,
            connection: None,
            client,
            number,
        }
    }

    fn job_id(&mut self, n: usize) -> String {
        format!("job-{:03}{:06}", self.number, n)
    }

    fn run_load(&mut self, jobs: usize, pause_s: f64) {
        let mut open: Vec<String> = Vec::new();
        for n in 0..jobs {
            let job = self.job_id(n);
            self.submit(&job);
            open.push(job);
            if open.len() > 3 && self.rng.gen_bool(0.25) {
                let at = self.rng.gen_range(0..open.len());
                let job = open.swap_remove(at);
                self.cancel_through_two_controllers(&job);
            }
            if let Some(job) = open.get(self.rng.gen_range(0..open.len().max(1))).cloned() {
                self.query(&job);
            }
            if open.len() > 20 {
                open.remove(0);
            }
            thread::sleep(Duration::from_secs_f64(
                pause_s * self.rng.gen_range(0.5..1.0),
            ));
        }
    }

    fn submit(&mut self, job: &str) {
        let mut request = JobRequest::new(job, "home");
        request.tasks = self.rng.gen_range(1..4);
        request.cpus = 0.5;
        request.expect_s = self.rng.gen_range(0.2..1.5);
        {
            let mut jobs = lock(&self.observations.jobs);
            let history = jobs.entry(job.to_string()).or_default();
            (history.tasks, history.submitted) = (request.tasks, true);
        }
        let start_s = self.observations.now();
        if let Ok(response) = self.client.submit(&request) {
            let reply = match response.state {
                s if s.is_final() => JobReply::State(s),
                _ => JobReply::Accepted,
            };
            let source = self.source();
            self.observations.record_reply(job, start_s, reply, &source);
            lock(&self.observations.accepted).push((start_s, self.observations.now()));
        }
    }

    fn source(&self) -> String {
        self.client.last_controller().map_or(String::new(), |a| {
            format!("the operators' interface of {a}")
        })
    }

    /// Sends two cancel requests at once, through different controllers if two are up.
    fn cancel_through_two_controllers(&mut self, job: &str) {
        if let Some(history) = lock(&self.observations.jobs).get_mut(job) {
            history.cancel_sent = true;
        }
        let mut admin_listeners = self.addresses.operators.clone();
        admin_listeners.rotate_left(1);
        let (observations, same_job) = (self.observations.clone(), job.to_string());
        let second_request = thread::spawn(move || {
            let mut client = context::new_client(&admin_listeners, 60.0);
            cancel(&mut client, &observations, &same_job);
        });
        cancel(&mut self.client, &self.observations, job);
        let _ = second_request.join();
    }

    fn query(&mut self, job: &str) -> Option<State> {
        if self.rng.gen_bool(0.5) {
            return self.query_as_user(job);
        }
        let start_s = self.observations.now();
        let result = self.client.job(job);
        let source = self.source();
        match result {
            Ok(d) => {
                self.observations
                    .record_reply(job, start_s, JobReply::State(d.row.state), &source);
                Some(d.row.state)
            }
            Err(ClientError::NotFound(_)) => {
                self.observations
                    .record_reply(job, start_s, JobReply::Unknown, &source);
                None
            }
            Err(_) => None,
        }
    }

    /// Queries the users' interface, which uses CBOR on another port and must agree.
    fn query_as_user(&mut self, job: &str) -> Option<State> {
        let node = self.rng.gen_range(0..self.addresses.users.len());
        let deadline = Instant::now() + Duration::from_secs(3);
        let start_s = self.observations.now();
        let mut connection = match self.connection.take() {
            Some(c) => c,
            None => Connection::open(self.addresses.users[node], deadline)
                .ok()?
                .with_content(Content::Cbor),
        };
        let path = format!("/api/jobs/{job}");
        let response = connection
            .exchange(Method::Get, &path, &[], None, deadline)
            .ok()?;
        if !response.close {
            self.connection = Some(connection);
        }
        let reply = match response.status {
            404 => JobReply::Unknown,
            200 => {
                let v: Value = wire::decode(&response.body).ok()?;
                JobReply::State(State::parse(v["status"].as_str()?)?)
            }
            _ => return None,
        };
        self.observations
            .record_reply(job, start_s, reply, "the users' interface");
        match reply {
            JobReply::State(s) => Some(s),
            _ => None,
        }
    }

    fn query_unknown_job(&mut self) {
        let n = self.rng.gen_range(0..1_000_000);
        let job = self.job_id(n);
        self.query(&job);
    }

    fn is_finished(&mut self, job: &str) -> bool {
        self.query(job).is_some_and(State::is_final)
    }
}

fn cancel(client: &mut Client, observations: &Observations, job: &str) {
    let start_s = observations.now();
    let result = client.cancel(job);
    let source = client
        .last_controller()
        .map_or(String::new(), |a| format!("cancel request to {a}"));
    match result {
        Ok(response) => {
            observations.record_reply(job, start_s, JobReply::State(response.state), &source)
        }
        Err(ClientError::NotFound(_)) => {
            observations.record_reply(job, start_s, JobReply::Unknown, &source)
        }
        Err(_) => {}
    }
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let at = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len());
    sorted[at - 1]
}

/// Returns the sorted times from each kill to the earliest end among the `times` (start, end)
/// that start after it.
fn gaps(kills: &[(f64, bool)], times: &[(f64, f64)]) -> Vec<f64> {
    let mut gaps: Vec<f64> = kills
        .iter()
        .filter_map(|(at, _)| {
            let after = times
                .iter()
                .filter(|(started_at, _)| started_at >= at)
                .map(|(_, end)| end - at);
            Some(after.fold(f64::INFINITY, f64::min)).filter(|g| g.is_finite())
        })
        .collect();
    gaps.sort_by(f64::total_cmp);
    gaps
}

fn report(
    observations: &Observations,
    kills: &[(f64, bool)],
    unfinished: &[String],
    exited: usize,
    memory_mb: f64,
) -> Result<Value, TestbedError> {
    let jobs = lock(&observations.jobs);
    let transitions = lock(&observations.transitions);
    let inconsistencies = inconsistencies(&jobs, &transitions);
    for line in inconsistencies.iter().take(20) {
        eprintln!("inconsistent: {line}");
    }
    for job in unfinished.iter().take(10) {
        eprintln!("not finished: {job}");
    }
    let known_to_a_controller = |history: &&JobHistory| {
        history
            .replies
            .iter()
            .any(|r| r.content != JobReply::Unknown)
    };
    let accepted = jobs.values().filter(known_to_a_controller).count();
    let jobs_in_state = |state| {
        let reported = |history: &&JobHistory| {
            history
                .replies
                .iter()
                .any(|r| r.content == JobReply::State(state))
        };
        jobs.values().filter(reported).count()
    };
    let accepting_gaps_s = gaps(kills, &lock(&observations.accepted));
    let task_starts: Vec<(f64, f64)> = transitions.start_times_s.iter().map(|b| (*b, *b)).collect();
    let starting_gaps_s = gaps(kills, &task_starts);
    let times = lock(&observations.times);
    let response_ms = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
    // A run without load, cancellations or kills would have tested nothing.
    let load_sufficient =
        accepted >= 100 && !kills.is_empty() && jobs_in_state(State::Cancelled) > 0;
    let ok = inconsistencies.is_empty() && unfinished.is_empty() && exited == 0 && load_sufficient;
    let round = |x: f64| (x * 1e3).round() / 1e3;
    Ok(json!({
        "ok": ok, "experiment": "restart", "jobs": accepted, "done": jobs_in_state(State::Done),
        "cancelled": jobs_in_state(State::Cancelled), "kills": kills.len(),
        "kills_of_all": kills.iter().filter(|k| k.1).count(),
        "tasks_begun": transitions.start_times_s.len(), "answers": times.len(),
        "wrong_answers": inconsistencies.len(), "not_over": unfinished.len(), "ended_by_themselves": exited,
        "gap_accepting_s": {
            "median": round(quantile(&accepting_gaps_s, 0.5)),
            "p99": round(quantile(&accepting_gaps_s, 0.99)),
        },
        "gap_starting_s": {
            "median": round(quantile(&starting_gaps_s, 0.5)),
            "p99": round(quantile(&starting_gaps_s, 0.99)),
        },
        "answer_ms": {"median": response_ms(0.5), "p99": response_ms(0.99), "most": times.max() as f64 / 1e3},
        "controller_memory_mb": round(memory_mb),
    }))
}
