//! Kills and restarts controllers under load, one at a time and all together.
//!
//! Meanwhile clients submit jobs, query them, and cancel jobs through two controllers at once.
//! Histories that the clients and the emulated platform record show whether every job keeps one
//! final state.

use crate::context::{self, Folder, TestContext};
use crate::history::{wrong, Answer, JobHistory, JobReply, Machines};
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
struct Record {
    began: Instant,
    jobs: Mutex<BTreeMap<String, JobHistory>>,
    machines: Mutex<Machines>,
    /// Response times of all answered requests, in microseconds.
    times: Mutex<Histogram<u64>>,
    /// Send and response times of all accepted submissions, in seconds of the experiment.
    accepted: Mutex<Vec<(f64, f64)>>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Record {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn heard(&self, job: &str, asked: f64, what: JobReply, by: &str) {
        let got = self.now();
        let answer = Answer {
            asked,
            got,
            what,
            by: by.to_string(),
        };
        lock(&self.jobs)
            .entry(job.to_string())
            .or_default()
            .answers
            .push(answer);
        lock(&self.times).saturating_record((((got - asked) * 1e6) as u64).max(1));
    }
}

/// Sizes of the experiment.
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
const STRANGER: usize = 99;
const STRANGER_PAUSE: Duration = Duration::from_millis(200);

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
    record: &Arc<Record>,
    addresses: &Addresses,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    let (jobs, pause_s) = (size.jobs_each, size.pause_s());
    for number in 0..size.clients {
        let (record, addresses) = (record.clone(), addresses.clone());
        let seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        threads.push(thread::spawn(move || {
            Asker::new(number, seed, record, addresses).work(jobs, pause_s);
        }));
    }
    let (record, addresses, stop) = (record.clone(), addresses.clone(), stop.clone());
    let seed = seed ^ 0x5a5a;
    threads.push(thread::spawn(move || {
        let mut asker = Asker::new(STRANGER, seed, record, addresses);
        while !stop.load(Ordering::Relaxed) {
            asker.ask_unknown();
            thread::sleep(STRANGER_PAUSE);
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
    let record = Arc::new(Record {
        began: Instant::now(),
        jobs: Mutex::default(),
        machines: Mutex::default(),
        times: Mutex::new(times.map_err(|e| TestbedError::Other(e.to_string()))?),
        accepted: Mutex::default(),
    });
    let observed = record.clone();
    let mut plan = context::plan(context, &folder.0);
    plan.protocol_faults = protocol_faults;
    let observer = Box::new(move |event| {
        let at = observed.now();
        lock(&observed.machines).on_event(at, &event);
    });
    let mut cluster = context::start(plan, observer)?;
    let plan = cluster.plan();
    let addresses = Addresses {
        operators: context::admin_listeners(&cluster),
        users: (0..plan.nodes).map(|n| plan.users_of(n)).collect(),
    };
    let stop = Arc::new(AtomicBool::new(false));
    let threads = start_clients(&size, context.seed, &record, &addresses, &stop);
    let kills = kill_and_start(&mut cluster, context.seed, size.kills, &record)?;
    stop.store(true, Ordering::Relaxed);
    let joined = threads.into_iter().map(thread::JoinHandle::join);
    let failed_threads = joined.filter(Result::is_err).count();
    let unfinished = settle(&record, &addresses);
    let exited = cluster.reap_exited();
    let memory_mb = cluster
        .processes()
        .into_iter()
        .map(|pid| context::memory_mb(pid).1)
        .fold(0.0f64, f64::max);
    drop(cluster);
    let ended = exited.len() + failed_threads;
    report(&record, &kills, &unfinished, ended, memory_mb)
}

/// Kills and restarts controllers. Returns the time of each kill and whether it killed all.
fn kill_and_start(
    cluster: &mut Cluster,
    seed: u64,
    kills: usize,
    record: &Record,
) -> Result<Vec<(f64, bool)>, TestbedError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let nodes = cluster.plan().nodes;
    let mut client = context::client(cluster, 1.0);
    let mut made = Vec::new();
    thread::sleep(Duration::from_secs(2));
    for k in 0..kills {
        // Every fourth kill takes down all controllers; every second of the others the leader.
        let all = k % 4 == 3;
        let leader = client
            .nodes()
            .ok()
            .and_then(|n| n.into_iter().find(|n| n.leader));
        let leader = leader
            .and_then(|n| n.label.bytes().next())
            .map(|b| usize::from(b - b'a'));
        let one = match leader {
            Some(l) if k % 2 == 0 => l % nodes,
            _ => rng.gen_range(0..nodes),
        };
        let victims: Vec<usize> = if all { (0..nodes).collect() } else { vec![one] };
        eprintln!(
            "{:6.1} s  kill {} of {kills}: {victims:?}",
            record.now(),
            k + 1
        );
        made.push((record.now(), all));
        victims.iter().for_each(|v| cluster.kill_node(*v));
        thread::sleep(Duration::from_secs_f64(rng.gen_range(0.1..1.5)));
        for v in victims {
            cluster.start_node(v)?;
        }
        thread::sleep(Duration::from_secs_f64(rng.gen_range(2.0..4.5)));
    }
    Ok(made)
}

/// Waits until all controllers report every accepted job as finished. Returns the jobs that are
/// still unfinished after the timeout.
fn settle(record: &Arc<Record>, addresses: &Addresses) -> Vec<String> {
    let jobs: Vec<String> = lock(&record.jobs)
        .iter()
        .filter(|(_, h)| h.answers.iter().any(|a| a.what != JobReply::Unknown))
        .map(|(job, _)| job.clone())
        .collect();
    eprintln!(
        "{:6.1} s  {} jobs were accepted; waiting until they finish",
        record.now(),
        jobs.len()
    );
    let end = Instant::now() + Duration::from_secs(90);
    let mut open = Vec::new();
    for (node, operators) in addresses.operators.iter().enumerate() {
        let mut asker = Asker::new(
            200 + node,
            node as u64,
            record.clone(),
            Addresses {
                operators: vec![*operators],
                users: vec![addresses.users[node]],
            },
        );
        let mut left = jobs.clone();
        while !left.is_empty() && Instant::now() < end {
            left.retain(|job| !asker.is_over(job));
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

struct Asker {
    record: Arc<Record>,
    rng: StdRng,
    addresses: Addresses,
    connection: Option<Connection>,
    client: Client,
    number: usize,
}

impl Asker {
    fn new(number: usize, seed: u64, record: Arc<Record>, addresses: Addresses) -> Asker {
        let client = context::client_of(&addresses.operators, 60.0);
        let rng = StdRng::seed_from_u64(seed);
        Asker {
            record,
            rng,
            addresses,
            connection: None,
            client,
            number,
        }
    }

    fn id(&mut self, n: usize) -> String {
        format!("job-{:03}{:06}", self.number, n)
    }

    fn work(&mut self, jobs: usize, pause_s: f64) {
        let mut open: Vec<String> = Vec::new();
        for n in 0..jobs {
            let job = self.id(n);
            self.submit(&job);
            open.push(job);
            if open.len() > 3 && self.rng.gen_bool(0.25) {
                let at = self.rng.gen_range(0..open.len());
                let job = open.swap_remove(at);
                self.cancel_in_pairs(&job);
            }
            if let Some(job) = open.get(self.rng.gen_range(0..open.len().max(1))).cloned() {
                self.ask(&job);
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
            let mut jobs = lock(&self.record.jobs);
            let h = jobs.entry(job.to_string()).or_default();
            (h.tasks, h.submitted) = (request.tasks, true);
        }
        let asked = self.record.now();
        if let Ok(told) = self.client.submit(&request) {
            let what = match told.state {
                s if s.is_final() => JobReply::State(s),
                _ => JobReply::Accepted,
            };
            let by = self.by();
            self.record.heard(job, asked, what, &by);
            lock(&self.record.accepted).push((asked, self.record.now()));
        }
    }

    fn by(&self) -> String {
        self.client.last_controller().map_or(String::new(), |a| {
            format!("the operators' interface of {a}")
        })
    }

    /// Sends two cancel requests at once, through different controllers if two are up.
    fn cancel_in_pairs(&mut self, job: &str) {
        if let Some(h) = lock(&self.record.jobs).get_mut(job) {
            h.cancel_sent = true;
        }
        let mut admin_listeners = self.addresses.operators.clone();
        admin_listeners.rotate_left(1);
        let (record, other) = (self.record.clone(), job.to_string());
        let pair = thread::spawn(move || {
            let mut client = context::client_of(&admin_listeners, 60.0);
            cancel(&mut client, &record, &other);
        });
        cancel(&mut self.client, &self.record, job);
        let _ = pair.join();
    }

    fn ask(&mut self, job: &str) -> Option<State> {
        if self.rng.gen_bool(0.5) {
            return self.ask_as_user(job);
        }
        let asked = self.record.now();
        let answer = self.client.job(job);
        let by = self.by();
        match answer {
            Ok(d) => {
                self.record
                    .heard(job, asked, JobReply::State(d.row.state), &by);
                Some(d.row.state)
            }
            Err(ClientError::NotFound(_)) => {
                self.record.heard(job, asked, JobReply::Unknown, &by);
                None
            }
            Err(_) => None,
        }
    }

    /// Queries the users' interface, which uses CBOR on another port and must agree.
    fn ask_as_user(&mut self, job: &str) -> Option<State> {
        let node = self.rng.gen_range(0..self.addresses.users.len());
        let until = Instant::now() + Duration::from_secs(3);
        let asked = self.record.now();
        let mut connection = match self.connection.take() {
            Some(c) => c,
            None => Connection::open(self.addresses.users[node], until)
                .ok()?
                .speaking(Content::Cbor),
        };
        let path = format!("/api/jobs/{job}");
        let r = connection
            .exchange(Method::Get, &path, &[], None, until)
            .ok()?;
        if !r.close {
            self.connection = Some(connection);
        }
        let what = match r.status {
            404 => JobReply::Unknown,
            200 => {
                let v: Value = wire::decode(&r.body).ok()?;
                JobReply::State(State::parse(v["status"].as_str()?)?)
            }
            _ => return None,
        };
        self.record.heard(job, asked, what, "the users' interface");
        match what {
            JobReply::State(s) => Some(s),
            _ => None,
        }
    }

    fn ask_unknown(&mut self) {
        let n = self.rng.gen_range(0..1_000_000);
        let job = self.id(n);
        self.ask(&job);
    }

    fn is_over(&mut self, job: &str) -> bool {
        self.ask(job).is_some_and(State::is_final)
    }
}

fn cancel(client: &mut Client, record: &Record, job: &str) {
    let asked = record.now();
    let answer = client.cancel(job);
    let by = client
        .last_controller()
        .map_or(String::new(), |a| format!("cancel request to {a}"));
    match answer {
        Ok(told) => record.heard(job, asked, JobReply::State(told.state), &by),
        Err(ClientError::NotFound(_)) => record.heard(job, asked, JobReply::Unknown, &by),
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
                .filter(|(began, _)| began >= at)
                .map(|(_, end)| end - at);
            Some(after.fold(f64::INFINITY, f64::min)).filter(|g| g.is_finite())
        })
        .collect();
    gaps.sort_by(f64::total_cmp);
    gaps
}

fn report(
    record: &Record,
    kills: &[(f64, bool)],
    unfinished: &[String],
    exited: usize,
    memory_mb: f64,
) -> Result<Value, TestbedError> {
    let jobs = lock(&record.jobs);
    let machines = lock(&record.machines);
    let wrong = wrong(&jobs, &machines);
    for line in wrong.iter().take(20) {
        eprintln!("inconsistent: {line}");
    }
    for job in unfinished.iter().take(10) {
        eprintln!("not finished: {job}");
    }
    let known = |h: &&JobHistory| h.answers.iter().any(|a| a.what != JobReply::Unknown);
    let accepted = jobs.values().filter(known).count();
    let of = |state| {
        let told = |h: &&JobHistory| h.answers.iter().any(|a| a.what == JobReply::State(state));
        jobs.values().filter(told).count()
    };
    let answered = gaps(kills, &lock(&record.accepted));
    let begins: Vec<(f64, f64)> = machines.begins.iter().map(|b| (*b, *b)).collect();
    let starts = gaps(kills, &begins);
    let times = lock(&record.times);
    let ms = |q: f64| times.value_at_quantile(q) as f64 / 1e3;
    // A run without load, cancellations or kills would have tested nothing.
    let tested = accepted >= 100 && !kills.is_empty() && of(State::Cancelled) > 0;
    let ok = wrong.is_empty() && unfinished.is_empty() && exited == 0 && tested;
    let round = |x: f64| (x * 1e3).round() / 1e3;
    Ok(json!({
        "ok": ok, "experiment": "restart", "jobs": accepted, "done": of(State::Done),
        "cancelled": of(State::Cancelled), "kills": kills.len(),
        "kills_of_all": kills.iter().filter(|k| k.1).count(),
        "tasks_begun": machines.begins.len(), "answers": times.len(),
        "wrong_answers": wrong.len(), "not_over": unfinished.len(), "ended_by_themselves": exited,
        "gap_accepting_s": {"median": round(quantile(&answered, 0.5)), "p99": round(quantile(&answered, 0.99))},
        "gap_starting_s": {"median": round(quantile(&starts, 0.5)), "p99": round(quantile(&starts, 0.99))},
        "answer_ms": {"median": ms(0.5), "p99": ms(0.99), "most": times.max() as f64 / 1e3},
        "controller_memory_mb": round(memory_mb),
    }))
}
