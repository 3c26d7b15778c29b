//! The holder's work: which task is on which machine, what workers report and
//! what they are told.
//!
//! The wanted state is the set of entries; commits and commands are the loops
//! that bring the state service and the workers towards it. The numbered
//! guards are those of `docs/safety.md`.

use crate::blocks::{self, Progress, Row};
use crate::jobs::{self, JobBook, JobKind, JobSpec, JobState, Urgency};
use crate::leader::BLOCK;
use crate::ledger::{Committed, Item, Ledger, Outcome, Priority, Reply, Scan, Txn};
use crate::node::Tag;
use crate::settings::Settings;
use crate::split::{Demand, Need, Shape, EPSILON};
use crate::types::{Attempt, JobId, MachineId, Stamp, TaskId, Time, Token, WallMs};
use crate::wire;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    pub host: String,
    pub endpoint: String,
    pub shape: String,
    pub yard: String,
    pub loaners: bool,
    pub tenure: u64,
    pub tick: u64,
    pub baton: u64,
    #[serde(default, deserialize_with = "wire::amount_or_null")]
    pub reclaim_in_s: Option<f64>,
    pub pieces: Vec<Piece>,
}

#[derive(Debug, Deserialize)]
pub struct Piece {
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: String,
    #[serde(default)]
    pub cause: Option<String>,
}

#[derive(Debug, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    pub verb: &'static str,
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wind_down_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Moment {
    tenure: u64,
    tick: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Pulling,
    Running,
    Saving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Chosen, not yet committed: `run` must not be sent.
    Planned,
    /// Committed; `run` was never sent, or was proven not to have arrived.
    Committed,
    /// `run` went out with the answer to this report.
    Sent(Moment),
    /// The worker has listed it.
    Seen(Phase),
    /// Found in a page of an earlier holder: it may or may not be there.
    Inherited,
    /// Proven to be off the machine; the page does not say so yet.
    Ended,
}

#[derive(Clone, Debug)]
struct Entry {
    attempt: Attempt,
    need: Need,
    team: Option<usize>,
    state: State,
    kill: Option<f64>,
    flying: bool,
    started: Option<Time>,
}

#[derive(Debug)]
pub struct Machine {
    shape: Option<usize>,
    zone: String,
    pub spot: bool,
    pub endpoint: Option<SocketAddrV4>,
    last: Option<Moment>,
    pub heard: Option<Time>,
    answered: Option<Time>,
    /// The worker's newest report carried our token.
    synced: bool,
    /// One of its reports did, so it heeds no earlier holder any more.
    ever_synced: bool,
    pub reclaim: bool,
    pub draining: bool,
    entries: BTreeMap<TaskId, Entry>,
    /// Listed by the worker, though not in our books.
    ghosts: Vec<(TaskId, Attempt)>,
    images: Vec<String>,
    pub idle_since: Time,
    page: usize,
    errors: u32,
    pub sick: bool,
    /// Run times here over those expected, and how many tell so.
    pace: (f64, u32),
    pub slow: bool,
}

impl Machine {
    fn new(now: Time) -> Machine {
        Machine {
            shape: None,
            zone: String::new(),
            spot: false,
            endpoint: None,
            last: None,
            heard: None,
            answered: None,
            synced: false,
            ever_synced: false,
            reclaim: false,
            draining: false,
            entries: BTreeMap::new(),
            ghosts: Vec::new(),
            images: Vec::new(),
            idle_since: now,
            page: 0,
            errors: 0,
            sick: false,
            pace: (1.0, 0),
            slow: false,
        }
    }
    pub fn is_empty(&self) -> bool {
        self.ghosts.is_empty() && self.entries.values().all(|e| e.state == State::Ended)
    }
    pub fn shape(&self) -> Option<usize> {
        self.shape
    }
    pub fn zone(&self) -> &str {
        &self.zone
    }
    fn remember_image(&mut self, image: &str) {
        self.images.retain(|i| i != image);
        self.images.push(image.to_string());
        if self.images.len() > 24 {
            self.images.remove(0);
        }
    }
}

#[derive(Debug)]
struct Job {
    spec: Rc<JobSpec>,
    stamp: Stamp,
    state: JobState,
    progress: Progress,
    next_fresh: u32,
    retry: BTreeMap<u32, Time>,
    /// Tasks with an entry or a ghost somewhere, and how many.
    live: BTreeMap<u32, u32>,
    errors: u32,
    error_machines: BTreeSet<MachineId>,
    hold_until: Time,
}

impl Job {
    fn complete(&self) -> bool {
        self.spec.kind == JobKind::Batch && self.progress.count() >= self.spec.tasks
    }
    fn need(&self) -> Need {
        need_of(&self.spec)
    }
    fn waiting(&self) -> u32 {
        let busy = self.live.keys().filter(|i| !self.progress.has(**i)).count() as u32;
        self.spec.tasks.saturating_sub(self.progress.count() + busy)
    }
    /// One entry or ghost of the task less; true when none is left.
    fn release(&mut self, index: u32) -> bool {
        match self.live.get_mut(&index) {
            Some(n) if *n > 1 => {
                *n -= 1;
                false
            }
            _ => {
                self.live.remove(&index);
                true
            }
        }
    }
    fn next_task(&mut self, now: Time) -> Option<u32> {
        let ready = self
            .retry
            .iter()
            .find(|(i, at)| **at <= now && !self.live.contains_key(i) && !self.progress.has(**i))
            .map(|(i, _)| *i);
        if ready.is_some() {
            return ready;
        }
        while self.next_fresh < self.spec.tasks {
            let i = self.next_fresh;
            if self.progress.has(i) || self.live.contains_key(&i) || self.retry.contains_key(&i) {
                self.next_fresh += 1;
            } else {
                return Some(i);
            }
        }
        None
    }
}

pub fn need_of(spec: &JobSpec) -> Need {
    Need { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceCall {
    Pages,
    Progress,
    Commit,
}

struct Flying {
    pages: Vec<usize>,
    chunks: Vec<(JobId, u32)>,
    finals: Vec<JobId>,
    cleaned: Vec<(JobId, u32)>,
}

struct Load {
    pages: Vec<Item>,
    progress: Vec<Item>,
    stage: PlaceCall,
    flying: bool,
    after: Option<String>,
}

/// What the node has to do after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Fine,
    Deposed,
    Confirmed(Time),
    RefreshJobs,
}

#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    pub done: u32,
    pub running: u32,
}

/// A job that found no room though its class may not wait.
struct Pressed {
    urgency: Urgency,
    cpus: f64,
    within_s: f64,
    spec: Rc<JobSpec>,
}

/// How much of its run time a task's order is brought forward by.
const LONG_FIRST: f64 = 1.5;

pub struct Placement {
    token: Token,
    took: Time,
    /// Until when an earlier holder's answers may still keep tasks alive.
    inherited_until: Time,
    lease_s: f64,
    report_s: f64,
    margin_s: f64,
    rows_per_page: usize,
    machines: BTreeMap<MachineId, Machine>,
    jobs: BTreeMap<JobId, Job>,
    stamps: Vec<Stamp>,
    dirty: BTreeSet<usize>,
    leftovers: BTreeMap<(JobId, u32), Stamp>,
    load: Option<Load>,
    loaded: bool,
    stopped: bool,
    flying: Option<Flying>,
    retry_at: Time,
    planned_at: Time,
    replan: bool,
    next_attempt: u64,
    teams: Vec<(f64, f64, f64, f64)>,
    team_names: Vec<String>,
    /// class -> run time over estimate
    runs: BTreeMap<String, f64>,
}

impl Placement {
    pub fn new(settings: &Settings, token: Token, now: Time) -> Placement {
        let w = &settings.params.workers;
        // Guard 4: an earlier holder may have answered until H after its last
        // exchange, and its workers live lease_s longer. That the last holder
        // was a process of ours that ended does not help: the one before it
        // may be cut off and still be answering.
        let old_answers = settings.answer_limit_s();
        Placement {
            token,
            took: now,
            inherited_until: now.plus((old_answers + w.lease_s) * 1.002 + settings.margin_s()),
            lease_s: w.lease_s,
            report_s: w.report_s,
            margin_s: settings.margin_s(),
            rows_per_page: blocks::rows_per_page(settings.value_limit()),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            stamps: Vec::new(),
            dirty: BTreeSet::new(),
            leftovers: BTreeMap::new(),
            load: None,
            loaded: false,
            stopped: false,
            flying: None,
            retry_at: Time::default(),
            planned_at: Time::default(),
            replan: true,
            next_attempt: token.0 << 20,
            runs: BTreeMap::new(),
            team_names: settings.params.teams.iter().map(|t| t.name.clone()).collect(),
            teams: settings
                .params
                .teams
                .iter()
                .map(|t| (t.cpus, t.cpus_max, t.gpus, t.gpus_max))
                .collect(),
        }
    }

    pub fn token(&self) -> Token {
        self.token
    }
    pub fn took(&self) -> Time {
        self.took
    }
    pub fn loaded(&self) -> bool {
        self.loaded
    }
    pub fn machines(&self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        self.machines.iter()
    }
    pub fn machine(&self, id: MachineId) -> Option<&Machine> {
        self.machines.get(&id)
    }
    /// How many machines with tasks we hear, and how many we do not.
    pub fn hearing(&self, now: Time) -> (u32, u32) {
        let patience = self.report_s * 2.5 + 2.0;
        let (mut heard, mut silent) = (0, 0);
        for m in self.machines.values().filter(|m| !m.is_empty()) {
            match m.heard.unwrap_or(self.took) {
                at if now.since(at) <= patience => heard += 1,
                _ => silent += 1,
            }
        }
        (heard, silent)
    }

    pub fn drain(&mut self, id: MachineId) {
        if let Some(m) = self.machines.get_mut(&id) {
            m.draining = true;
        }
    }

    pub fn counts(&self, id: JobId) -> Option<Counts> {
        let job = self.jobs.get(&id)?;
        let running = job.live.keys().filter(|i| !job.progress.has(**i)).count() as u32;
        Some(Counts { done: job.progress.count(), running })
    }

    pub fn all_counts(&self) -> impl Iterator<Item = (JobId, Counts)> + '_ {
        self.jobs.keys().filter_map(|id| Some((*id, self.counts(*id)?)))
    }

    /// Open work for the fleet.
    pub fn demands(&self, wall: WallMs) -> Vec<Demand> {
        let mut out = Vec::new();
        for (id, job) in &self.jobs {
            if job.state != JobState::Open || job.complete() {
                continue;
            }
            let left = job.spec.tasks - job.progress.count().min(job.spec.tasks);
            // A job that fails everywhere earns no machines while it waits.
            let left = if job.errors > 3 && job.progress.count() == 0 { left.min(1) } else { left };
            // Above its team's limit nothing of it can run.
            let limit =
                self.team_names.iter().position(|n| *n == job.spec.team).map(|t| self.teams[t].1);
            let most = match limit {
                Some(cpus) if cpus > 0.0 && job.spec.cpus > 0.0 => {
                    (cpus / job.spec.cpus + EPSILON) as u32
                }
                _ => u32::MAX,
            };
            let busy = job.live.keys().filter(|i| !job.progress.has(**i)).count() as u32;
            out.push(Demand {
                job: *id,
                class: job.spec.class.clone(),
                need: job.need(),
                left: left.min(most),
                placed: busy.min(most),
                run_s: job.spec.expect_s * self.run_factor(&job.spec.class),
                age_s: age_s(wall, &job.spec),
                due_s: job.spec.due_s,
                image_gb: job.spec.image_gb,
                urgency: job.spec.urgency as u8,
                deadline_array: job.spec.kind == JobKind::Batch,
                spot: job.spec.spot,
                shapes: job.spec.shapes.clone(),
                zone: job.spec.zone.clone(),
            });
        }
        out
    }

    /// Room on a machine by when it is or becomes free, for the fleet's look
    /// ahead.
    pub fn room_over_time(
        &self,
        now: Time,
        id: MachineId,
        shapes: &[Shape],
        pool: &mut Vec<(f64, f64)>,
    ) {
        let Some(m) = self.machines.get(&id) else { return };
        let Some(shape) = m.shape.and_then(|s| shapes.get(s)) else { return };
        let mut free = shape.cpus;
        for (task, e) in m.entries.iter().filter(|(_, e)| e.state != State::Ended) {
            free -= e.need.cpus;
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let run_s = job.spec.expect_s * self.run_factor(&job.spec.class);
            let ran = e.started.map_or(0.0, |s| now.since(s));
            // What runs longer than expected may go on as long again.
            let left = if ran < run_s { run_s - ran } else { run_s * 0.25 };
            if job.spec.kind == JobKind::Batch {
                pool.push((left, e.need.cpus));
            }
        }
        if free > EPSILON {
            pool.push((0.0, free));
        }
    }

    /// How far runs of a class were from their estimates.
    fn run_factor(&self, class: &str) -> f64 {
        self.runs.get(class).copied().unwrap_or(1.0)
    }

    pub fn runs(&self) -> &BTreeMap<String, f64> {
        &self.runs
    }

    pub fn restore_runs(&mut self, runs: BTreeMap<String, f64>) {
        for (class, factor) in runs {
            if factor.is_finite() && factor > 0.0 {
                self.runs.entry(class).or_insert(factor.clamp(0.2, 5.0));
            }
        }
    }

    // ---- jobs ----

    pub fn sync_job(&mut self, now: Time, id: JobId, book: &JobBook) {
        let Some(entry) = book.get(id) else { return };
        self.replan = true;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stamp = entry.stamp;
            if job.state == JobState::Open && entry.state != JobState::Open {
                job.state = entry.state;
                self.wind_up(now, id);
            }
            return;
        }
        if entry.state != JobState::Open {
            return;
        }
        if let Some(spec) = &entry.spec {
            self.jobs.insert(id, new_job(spec.clone(), entry.stamp, now));
        }
    }

    /// The job is over: nothing of it may start, everything must go.
    fn wind_up(&mut self, now: Time, id: JobId) {
        let ids: Vec<MachineId> = self.machines.keys().copied().collect();
        for machine in ids {
            let tasks: Vec<TaskId> = match self.machines.get_mut(&machine) {
                Some(m) => m.entries.keys().filter(|t| t.job == id).copied().collect(),
                None => continue,
            };
            for task in tasks {
                let state = match self.entry(machine, task) {
                    Some(e) if !e.flying => {
                        e.kill = Some(0.0);
                        e.state
                    }
                    Some(e) => {
                        e.kill = Some(0.0);
                        continue;
                    }
                    None => continue,
                };
                // `run` was never sent, or proven lost: it cannot be there.
                if matches!(state, State::Planned | State::Committed) {
                    self.end(now, machine, task, false, 0.0);
                }
            }
        }
    }

    fn entry(&mut self, machine: MachineId, task: TaskId) -> Option<&mut Entry> {
        self.machines.get_mut(&machine)?.entries.get_mut(&task)
    }

    /// Guard 3: called only with proof that the task is off the machine.
    fn end(&mut self, now: Time, machine: MachineId, task: TaskId, done: bool, delay: f64) {
        let Some(m) = self.machines.get_mut(&machine) else { return };
        let Some(e) = m.entries.get_mut(&task) else { return };
        if e.state == State::Ended {
            return;
        }
        // A plan that no transaction carries was never in a page.
        let gone = e.state == State::Planned && !e.flying;
        e.state = State::Ended;
        if gone {
            m.entries.remove(&task);
        } else {
            self.dirty.insert(m.page);
        }
        if m.entries.values().all(|e| e.state == State::Ended) {
            m.idle_since = now;
        }
        self.replan = true;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.release(task.index);
            if done {
                job.progress.set(task.index);
                job.retry.remove(&task.index);
            } else if !job.progress.has(task.index) {
                job.retry.insert(task.index, now.plus(delay));
            }
        }
    }

    // ---- workers ----

    /// Takes a report in; the answer's commands come out.
    pub fn report(
        &mut self,
        now: Time,
        report: &Report,
        shapes: &[Shape],
        book: &JobBook,
    ) -> Vec<Order> {
        let Some(id) = MachineId::parse(&report.host) else { return Vec::new() };
        let moment = Moment { tenure: report.tenure, tick: report.tick };
        let ours = report.baton == self.token.0;
        if !self.machines.contains_key(&id) {
            let page = self.home_page();
            let mut m = Machine::new(now);
            m.page = page;
            self.machines.insert(id, m);
            self.replan = true;
        }
        let Some(m) = self.machines.get_mut(&id) else { return Vec::new() };
        m.answered = Some(now);
        // Guard 3: a report that is not newer than the last proves nothing.
        if m.last.is_some_and(|l| l >= moment) {
            return Vec::new();
        }
        let newer_tenure = m.last.is_some_and(|l| l.tenure < moment.tenure);
        m.last = Some(moment);
        m.heard = Some(now);
        m.shape = shapes.iter().position(|s| s.label == report.shape);
        m.zone.clone_from(&report.yard);
        m.spot = report.loaners;
        m.endpoint = report.endpoint.parse().ok();
        if report.reclaim_in_s.is_some() != m.reclaim {
            m.reclaim = report.reclaim_in_s.is_some();
            self.replan = true;
        }
        if ours != m.synced {
            m.synced = ours;
            self.replan = true;
        }
        m.ever_synced |= ours;
        if !self.loaded {
            return Vec::new();
        }
        self.take_in(now, id, moment, newer_tenure, ours, report);
        if !ours {
            // The answer raises the worker's token; commands wait until a
            // report shows that it has seen it.
            return Vec::new();
        }
        self.orders(now, id, moment, report, book)
    }

    #[allow(clippy::too_many_arguments)]
    fn take_in(
        &mut self,
        now: Time,
        id: MachineId,
        moment: Moment,
        newer_tenure: bool,
        ours: bool,
        report: &Report,
    ) {
        let pieces: Vec<(TaskId, &Piece)> =
            report.pieces.iter().filter_map(|p| Some((TaskId::parse(&p.piece)?, p))).collect();
        let tasks: Vec<(TaskId, Attempt, State)> = match self.machines.get(&id) {
            Some(m) => m.entries.iter().map(|(t, e)| (*t, e.attempt, e.state)).collect(),
            None => return,
        };
        for (task, attempt, state) in tasks {
            let here =
                pieces.iter().find(|(t, p)| *t == task && p.attempt == attempt.0).map(|(_, p)| *p);
            match here {
                Some(p) if state != State::Ended => match p.status.as_str() {
                    "exited" => self.exited(now, id, task, p.cause.as_deref()),
                    status => {
                        let phase = match status {
                            "running" => Phase::Running,
                            "saving" => Phase::Saving,
                            // Guard 5: a state we don't know is still there.
                            _ => Phase::Pulling,
                        };
                        if let Some(e) = self.entry(id, task) {
                            if phase == Phase::Running && e.started.is_none() {
                                e.started = Some(now);
                            }
                            e.state = State::Seen(phase);
                        }
                        if phase == Phase::Running {
                            let image = self.jobs.get(&task.job).map(|j| j.spec.image.clone());
                            if let (Some(image), Some(m)) = (image, self.machines.get_mut(&id)) {
                                if m.images.last() != Some(&image) {
                                    m.remember_image(&image);
                                }
                            }
                        }
                    }
                },
                Some(_) => {}
                None => match state {
                    State::Planned | State::Committed | State::Ended => {}
                    // A newer tenure forgot all that came before it, and what
                    // an answer to the earlier one said is dropped.
                    State::Sent(_) | State::Seen(_) if newer_tenure && ours => {
                        self.end(now, id, task, false, 0.0)
                    }
                    // The report carries our token and is newer than the one
                    // answered with `run`: the answer was dropped.
                    State::Sent(at) if ours && moment > at => {
                        if let Some(e) = self.entry(id, task) {
                            e.state = State::Committed;
                        }
                    }
                    State::Seen(_) | State::Inherited if ours => {
                        self.end(now, id, task, false, 0.0)
                    }
                    _ => {}
                },
            }
        }
        // Ghosts: on the machine, not in our books.
        let live: BTreeMap<TaskId, Attempt> = pieces
            .iter()
            .filter(|(_, p)| p.status != "exited")
            .map(|(task, p)| (*task, Attempt(p.attempt)))
            .collect();
        let known = |task: &TaskId, attempt: &Attempt| {
            let entry = self.machines.get(&id).and_then(|m| m.entries.get(task));
            entry.is_some_and(|e| e.attempt == *attempt && e.state != State::Ended)
        };
        let ghosts: Vec<(TaskId, Attempt)> =
            live.into_iter().filter(|(task, attempt)| !known(task, attempt)).collect();
        let old = match self.machines.get_mut(&id) {
            Some(m) => std::mem::replace(&mut m.ghosts, ghosts.clone()),
            None => return,
        };
        for (task, _) in &ghosts {
            log::error!("{id} runs {task}, which is not in our books");
            if let Some(job) = self.jobs.get_mut(&task.job) {
                *job.live.entry(task.index).or_insert(0) += 1;
            }
        }
        self.release_ghosts(now, old);
    }

    fn release_ghosts(&mut self, now: Time, ghosts: Vec<(TaskId, Attempt)>) {
        for (task, _) in ghosts {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if job.release(task.index) && !job.progress.has(task.index) {
                    job.retry.insert(task.index, now);
                    self.replan = true;
                }
            }
        }
    }

    fn exited(&mut self, now: Time, id: MachineId, task: TaskId, cause: Option<&str>) {
        let service = self.jobs.get(&task.job).is_some_and(|j| j.spec.kind == JobKind::Standing);
        match cause {
            Some("done") => {
                self.learn_run(now, id, task);
                self.succeeded(id, task.job);
                self.end(now, id, task, !service, 1.0);
            }
            Some("error") => {
                let delay = self.failed(now, id, task.job);
                self.end(now, id, task, false, delay);
            }
            Some("full") => self.end(now, id, task, false, 0.5),
            Some("unknown") => {
                log::info!("{id} does not know {task}");
                self.end(now, id, task, false, 2.0);
            }
            // Another attempt stands there: the next report shows it as a ghost.
            Some("in_use") => self.end(now, id, task, false, 1.0),
            Some("stopped") => self.end(now, id, task, false, 0.0),
            other => {
                // Guard 5: exited is exited, but only `done` counts as done.
                log::info!("{task} exited on {id} for an unknown cause {other:?}");
                self.end(now, id, task, false, 1.0);
            }
        }
    }

    /// Run times correct the estimates of a class, and tell slow machines.
    fn learn_run(&mut self, now: Time, id: MachineId, task: TaskId) {
        let Some(spec) = self.jobs.get(&task.job).map(|j| j.spec.clone()) else { return };
        let started = self.entry(id, task).and_then(|e| e.started);
        let Some(ran) = started.map(|s| now.since(s) + self.report_s * 0.25) else { return };
        if spec.expect_s < 1.0 || ran < self.report_s {
            return;
        }
        let ratio = (ran / spec.expect_s).clamp(0.1, 10.0);
        let factor = self.runs.entry(spec.class.clone()).or_insert(1.0);
        let relative = ratio / *factor;
        // Geometric, since estimates are off by factors; slowly, since one job
        // brings many tasks that share its error.
        *factor = (*factor * relative.powf(0.03)).clamp(0.2, 5.0);
        if let Some(m) = self.machines.get_mut(&id) {
            m.pace.0 *= (relative / m.pace.0).powf(0.4);
            m.pace.1 += 1;
            if m.pace.1 >= 3 && m.pace.0 > 2.0 && !m.slow {
                log::info!("{id} takes {:.1} times as long as others and is set aside", m.pace.0);
                m.slow = true;
            }
        }
    }

    fn succeeded(&mut self, id: MachineId, job: JobId) {
        if let Some(m) = self.machines.get_mut(&id) {
            m.errors = 0;
        }
        if let Some(j) = self.jobs.get_mut(&job) {
            j.errors = 0;
            j.error_machines.clear();
        }
    }

    /// Weighs a failure: is it the machine's fault or the job's? Returns how
    /// long the task waits before its next try.
    fn failed(&mut self, now: Time, id: MachineId, job: JobId) -> f64 {
        let mut job_suspect = false;
        let mut delay = 0.0;
        if let Some(j) = self.jobs.get_mut(&job) {
            j.errors += 1;
            j.error_machines.insert(id);
            // A job none of whose tasks ever ended well and that failed on
            // several machines was submitted with a mistake.
            job_suspect = j.progress.count() == 0 && j.error_machines.len() >= 3;
            if job_suspect {
                delay = 2f64.powi(j.errors.min(7) as i32).min(60.0);
                j.hold_until = now.plus(delay.min(30.0));
            }
        }
        if let Some(m) = self.machines.get_mut(&id) {
            if !job_suspect {
                m.errors += 1;
                if m.errors >= 2 && !m.sick {
                    log::info!("{id} failed {} tasks in a row and is set aside", m.errors);
                    m.sick = true;
                }
            }
        }
        delay
    }

    fn orders(
        &mut self,
        now: Time,
        id: MachineId,
        moment: Moment,
        report: &Report,
        book: &JobBook,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let order = |verb, task: TaskId, attempt: Attempt, wind| Order {
            verb,
            piece: task.to_string(),
            attempt: attempt.0,
            wind_down_s: wind,
        };
        let Some(m) = self.machines.get_mut(&id) else { return orders };
        if let Some(notice) = report.reclaim_in_s {
            // A task that can save does so before the machine is taken, unless
            // it will be done by then; one that cannot runs on, for luck.
            for (task, e) in m.entries.iter_mut().filter(|(_, e)| e.kill.is_none()) {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let ran = e.started.map_or(0.0, |s| now.since(s));
                if job.spec.checkpoint_s > 0.0
                    && matches!(e.state, State::Seen(Phase::Running))
                    && job.spec.save_s < notice
                    && job.spec.expect_s - ran > notice * 0.5
                {
                    e.kill = Some(job.spec.save_s);
                }
            }
        }
        for (task, attempt) in &m.ghosts {
            orders.push(order("kill", *task, *attempt, Some(0.0)));
        }
        for p in &report.pieces {
            let Some(task) = TaskId::parse(&p.piece) else { continue };
            if p.status != "exited"
                || m.entries.get(&task).is_some_and(|e| e.attempt.0 == p.attempt)
            {
                continue;
            }
            // A result that we lost track of still counts, and is cleared only
            // once the state service knows it.
            let mut clear = true;
            if p.cause.as_deref() == Some("done") {
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    if job.spec.kind == JobKind::Batch && task.index < job.spec.tasks {
                        if !job.progress.has(task.index) && !job.live.contains_key(&task.index) {
                            job.progress.set(task.index);
                        }
                        clear =
                            job.progress.durable(task.index) || job.live.contains_key(&task.index);
                    }
                }
            }
            if clear {
                orders.push(order("clear", task, Attempt(p.attempt), None));
            }
        }
        for (task, e) in &mut m.entries {
            match e.state {
                // Guard 2: `run` only after the commit, only while the job is
                // open, and only in this answer, which cannot act late.
                State::Committed
                    if e.kill.is_none()
                        && book.get(task.job).is_some_and(|b| b.state == JobState::Open) =>
                {
                    e.state = State::Sent(moment);
                    orders.push(order("run", *task, e.attempt, None));
                }
                State::Seen(_) if e.kill.is_some() => {
                    orders.push(order("kill", *task, e.attempt, e.kill));
                }
                _ => {}
            }
        }
        orders
    }

    /// The cloud has confirmed that the machine and all on it are gone.
    pub fn machine_gone(&mut self, now: Time, id: MachineId) {
        let tasks: Vec<TaskId> = match self.machines.get(&id) {
            Some(m) => m.entries.keys().copied().collect(),
            None => return,
        };
        for task in tasks {
            self.end(now, id, task, false, 0.0);
        }
        self.drop_ghosts(now, id);
        if let Some(m) = self.machines.get_mut(&id) {
            m.draining = true;
            m.synced = false;
            m.heard = None;
            if m.entries.is_empty() {
                self.machines.remove(&id);
            }
        }
    }

    fn drop_ghosts(&mut self, now: Time, id: MachineId) {
        let ghosts = match self.machines.get_mut(&id) {
            Some(m) => std::mem::take(&mut m.ghosts),
            None => return,
        };
        self.release_ghosts(now, ghosts);
    }

    /// Guard 3, silence: a worker whose last answered report is more than
    /// lease_s old has killed all its tasks. Our last answer bounds that; after
    /// a takeover the earlier holder's answers do.
    fn check_silence(&mut self, now: Time) {
        let mut over = Vec::new();
        let mut unsent = Vec::new();
        for (id, m) in &self.machines {
            if m.entries.is_empty() && m.ghosts.is_empty() {
                if m.heard.is_none_or(|h| now.since(h) > self.lease_s * 6.0)
                    && now.since(self.took) > self.lease_s * 6.0
                {
                    over.push((*id, true));
                }
                continue;
            }
            // `run` never went out for these: they can go elsewhere at once.
            if m.heard.is_none_or(|h| now.since(h) > self.report_s * 3.0 + 2.0) {
                let waiting = m.entries.iter().filter(|(_, e)| {
                    !e.flying && matches!(e.state, State::Planned | State::Committed)
                });
                unsent.extend(waiting.map(|(t, _)| (*id, *t)));
            }
            let ours = m.answered.map(|a| a.plus(self.lease_s * 1.002 + self.margin_s * 0.25));
            // Until it has shown our token, our answers may have been lost and
            // an earlier holder's may still keep its tasks alive.
            let inherited = !m.ever_synced;
            let until = match ours {
                Some(t) if inherited => t.max(self.inherited_until),
                Some(t) => t,
                None => self.inherited_until,
            };
            if now > until {
                over.push((*id, false));
            }
        }
        for (machine, task) in unsent {
            self.end(now, machine, task, false, 0.0);
        }
        for (id, forget) in over {
            if forget {
                self.machines.remove(&id);
                continue;
            }
            let tasks: Vec<TaskId> = match self.machines.get(&id) {
                Some(m) => m
                    .entries
                    .iter()
                    .filter(|(_, e)| {
                        matches!(e.state, State::Sent(_) | State::Seen(_) | State::Inherited)
                    })
                    .map(|(t, _)| *t)
                    .collect(),
                None => continue,
            };
            if !tasks.is_empty() {
                log::info!("{id} has been silent beyond its lease: {} tasks return", tasks.len());
            }
            for task in tasks {
                self.end(now, id, task, false, 0.0);
            }
            self.drop_ghosts(now, id);
        }
    }

    // ---- loading ----

    /// Reads pages and progress again: after a takeover, and whenever a
    /// transaction's fate is unknown.
    fn reload(&mut self) {
        if self.load.is_none() {
            self.load = Some(Load {
                pages: Vec::new(),
                progress: Vec::new(),
                stage: PlaceCall::Pages,
                flying: false,
                after: None,
            });
        }
    }

    fn drive_load(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        let Some(load) = &mut self.load else { return };
        if load.flying || now < self.retry_at {
            return;
        }
        load.flying = true;
        let prefix = match load.stage {
            PlaceCall::Pages => blocks::PAGE_PREFIX,
            _ => blocks::PROGRESS_PREFIX,
        };
        ledger.scan(now, Priority::Accept, Tag::Place(load.stage), prefix, load.after.as_deref());
    }

    fn on_load(&mut self, now: Time, call: PlaceCall, reply: Reply<Tag>, book: &JobBook) {
        let Some(load) = &mut self.load else { return };
        load.flying = false;
        let Outcome::Ok(body) = reply.outcome else {
            self.retry_at = now.plus(0.2);
            return;
        };
        let Ok(scan) = wire::decode::<Scan>(&body) else {
            self.retry_at = now.plus(1.0);
            return;
        };
        load.after = if scan.more { scan.pairs.last().map(|p| p.path.clone()) } else { None };
        match call {
            PlaceCall::Pages => load.pages.extend(scan.pairs),
            _ => load.progress.extend(scan.pairs),
        }
        if load.after.is_some() {
            return;
        }
        if call == PlaceCall::Pages {
            load.stage = PlaceCall::Progress;
            return;
        }
        let Some(load) = self.load.take() else { return };
        self.merge(now, load, book);
    }

    fn merge(&mut self, now: Time, load: Load, book: &JobBook) {
        let mut durable: BTreeMap<(MachineId, TaskId), (Attempt, usize)> = BTreeMap::new();
        self.stamps.clear();
        for item in &load.pages {
            let page = blocks::page_of_key(&item.path);
            let rows = blocks::decode_page(&item.value);
            let (Some(page), Ok(rows)) = (page, rows) else {
                log::error!(
                    "page {} has a form or version this program does not know; placement stops",
                    item.path
                );
                self.stopped = true;
                return;
            };
            if page >= self.stamps.len() {
                self.stamps.resize(page + 1, Stamp(0));
            }
            self.stamps[page] = Stamp(item.stamp);
            for r in rows {
                durable.insert((r.machine, r.task), (r.attempt, page));
            }
        }
        let ids: Vec<JobId> =
            book.iter().filter(|(_, e)| e.state == JobState::Open).map(|(id, _)| *id).collect();
        for id in ids {
            self.sync_job(now, id, book);
        }
        for item in &load.progress {
            let Some((id, chunk)) = blocks::progress_of_key(&item.path) else { continue };
            match self.jobs.get_mut(&id) {
                Some(job) => {
                    if job.progress.merge(chunk, Stamp(item.stamp), &item.value).is_err() {
                        log::error!(
                            "progress {} has an unknown form or version; placement stops",
                            item.path
                        );
                        self.stopped = true;
                        return;
                    }
                }
                None => {
                    self.leftovers.insert((id, chunk), Stamp(item.stamp));
                }
            }
        }
        for (id, m) in &mut self.machines {
            let mut gone = Vec::new();
            for (task, e) in &mut m.entries {
                let stored =
                    durable.remove(&(*id, *task)).filter(|(a, _)| *a == e.attempt).is_some();
                e.flying = false;
                match (e.state, stored) {
                    (State::Planned, true) => e.state = State::Committed,
                    (State::Planned, false) => {}
                    (State::Ended, false) => gone.push(*task),
                    _ => {
                        self.dirty.insert(m.page);
                    }
                }
            }
            for task in gone {
                m.entries.remove(&task);
            }
        }
        for ((machine, task), (attempt, page)) in durable {
            let m = self.machines.entry(machine).or_insert_with(|| Machine::new(now));
            if m.entries.is_empty() {
                m.page = page;
            }
            let spec = book.get(task.job).and_then(|e| e.spec.clone());
            let over = book.get(task.job).is_none_or(|e| e.state != JobState::Open);
            // Without a description its size is unknown: the machine is full.
            let need =
                spec.as_ref().map_or(Need { cpus: 1e9, gpus: 0.0, memory_gb: 0.0 }, |s| need_of(s));
            m.entries.insert(
                task,
                Entry {
                    attempt,
                    need,
                    team: spec
                        .as_ref()
                        .and_then(|s| self.team_names.iter().position(|n| *n == s.team)),
                    state: State::Inherited,
                    kill: over.then_some(0.0),
                    flying: false,
                    started: None,
                },
            );
            if let Some(job) = self.jobs.get_mut(&task.job) {
                *job.live.entry(task.index).or_insert(0) += 1;
            }
        }
        if !self.loaded {
            log::info!(
                "loaded {} jobs and {} machines from the pages",
                self.jobs.len(),
                self.machines.len()
            );
            // What was reported meanwhile was not taken in: ask again.
            for m in self.machines.values_mut() {
                m.last = None;
            }
        }
        self.loaded = true;
        self.replan = true;
    }

    /// The page for a new machine: the first that is less than half full.
    fn home_page(&self) -> usize {
        let mut load: BTreeMap<usize, usize> = BTreeMap::new();
        for m in self.machines.values() {
            // A machine that stands empty will be filled.
            *load.entry(m.page).or_default() += m.entries.len().max(8);
        }
        let mut page = 0;
        while load.get(&page).copied().unwrap_or(0) > self.rows_per_page / 2 {
            page += 1;
        }
        page
    }

    // ---- the loops ----

    #[allow(clippy::too_many_arguments)]
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        may_place: bool,
        settings: &Settings,
        shapes: &[Shape],
        book: &JobBook,
        ledger: &mut Ledger<Tag>,
    ) {
        if self.stopped {
            return;
        }
        if !self.loaded {
            // Jobs first: pages mean nothing without them.
            if book.loaded() && book.fresh().is_some_and(|f| f >= self.took) {
                self.reload();
            }
            self.drive_load(now, ledger);
            return;
        }
        self.drive_load(now, ledger);
        self.check_silence(now);
        if now.since(self.planned_at) >= 0.05
            && (self.replan || now.since(self.planned_at) > 1.0)
            && may_place
        {
            self.planned_at = now;
            self.replan = false;
            self.plan(now, wall, settings, shapes);
        }
        self.sweep(now);
        self.commit(now, ledger);
    }

    /// Entries whose job is over and whose `run` never went out; jobs that
    /// have left nothing behind.
    fn sweep(&mut self, now: Time) {
        let mut ended = Vec::new();
        for (id, m) in &self.machines {
            for (task, e) in &m.entries {
                if e.kill.is_some()
                    && !e.flying
                    && matches!(e.state, State::Planned | State::Committed)
                {
                    ended.push((*id, *task));
                }
            }
        }
        for (machine, task) in ended {
            self.end(now, machine, task, false, 0.0);
        }
        let over: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.state != JobState::Open && j.live.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            if let Some(job) = self.jobs.remove(&id) {
                for (chunk, stamp) in job.progress.stored() {
                    self.leftovers.insert((id, chunk), stamp);
                }
            }
        }
    }

    fn plan(&mut self, now: Time, wall: WallMs, settings: &Settings, shapes: &[Shape]) {
        let mut team_used = vec![(0.0, 0.0); self.teams.len()];
        let mut zones: BTreeMap<JobId, BTreeMap<String, u32>> = BTreeMap::new();
        struct Room {
            id: MachineId,
            shape: usize,
            free: Need,
            rows: usize,
            used: bool,
        }
        let mut rooms: Vec<Room> = Vec::new();
        let mut rows: BTreeMap<usize, usize> = BTreeMap::new();
        for (id, m) in &self.machines {
            *rows.entry(m.page).or_default() += m.entries.len();
            let mut free = m.shape.and_then(|s| shapes.get(s)).map(Shape::room).unwrap_or_default();
            for (task, e) in &m.entries {
                if e.state == State::Ended {
                    continue;
                }
                free.sub(&e.need);
                if let Some(t) = e.team {
                    team_used[t].0 += e.need.cpus;
                    team_used[t].1 += e.need.gpus;
                }
                if self.jobs.get(&task.job).is_some_and(|j| j.spec.one_zone || j.spec.spread) {
                    *zones.entry(task.job).or_default().entry(m.zone.clone()).or_default() += 1;
                }
            }
            for (task, _) in &m.ghosts {
                if let Some(j) = self.jobs.get(&task.job) {
                    free.sub(&j.need());
                    if let Some(t) = settings.team(&j.spec.team) {
                        team_used[t].0 += j.spec.cpus;
                        team_used[t].1 += j.spec.gpus;
                    }
                }
            }
            let alive = m.heard.is_some_and(|h| now.since(h) < self.report_s * 2.0 + 1.0);
            if let Some(shape) = m.shape {
                if alive && m.synced && !m.reclaim && !m.draining && !m.sick && !m.slow {
                    rooms.push(Room {
                        id: *id,
                        shape,
                        free,
                        rows: m.entries.len(),
                        used: !m.is_empty(),
                    });
                }
            }
        }
        let mut order: Vec<(u8, u8, bool, f64, JobId)> = Vec::new();
        let runs = &self.runs;
        for (id, j) in &self.jobs {
            if j.state != JobState::Open || j.hold_until > now || j.waiting() == 0 {
                continue;
            }
            let run_s = j.spec.expect_s * runs.get(&j.spec.class).copied().unwrap_or(1.0);
            let age = age_s(wall, &j.spec);
            let left = j.spec.due_s.map_or(-age, |d| d - age);
            // A job that can no longer make its deadline lets those pass that
            // can; among the late the longest goes first, so that none drags
            // on alone at the end.
            let late = j.spec.due_s.is_some() && left < run_s * 0.7;
            let wait = settings.aim("wait", &j.spec.class);
            // Others go by latest start, not by deadline: a long task that waits
            // too long runs alone at the end, on a machine of its own. Arrays
            // without a deadline keep their order of arrival.
            let left = match (late, wait.is_some() || j.spec.due_s.is_none()) {
                (true, _) => -run_s,
                (false, true) => left,
                (false, false) => left - run_s * LONG_FIRST,
            };
            // Likewise what can still start within its class's aim goes before
            // what has already waited longer.
            let late = if late { 2 } else { u8::from(wait.is_some_and(|w| age > w)) };
            let over = settings.team(&j.spec.team).is_some_and(|t| {
                self.teams[t].0 > 0.0 && team_used[t].0 + j.spec.cpus > self.teams[t].0
            });
            order.push((u8::MAX - j.spec.urgency as u8, late, over, left, *id));
        }
        order.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)).then(a.3.total_cmp(&b.3)));
        let mut budget = 200usize;
        let mut pressed: Vec<Pressed> = Vec::new();
        for (_, late, _, _, id) in order {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let spec = job.spec.clone();
            let need = need_of(&spec);
            let team = settings.team(&spec.team);
            let half = spec.tasks.div_ceil(2);
            // First fit: the smaller type first, so that large machines stay
            // free for tasks that fit nowhere else; then where the image is;
            // then the fuller machine, so that others can empty.
            let mut fits: Vec<(usize, (bool, bool, bool, i64))> = rooms
                .iter()
                .enumerate()
                .filter(|(_, r)| need.fits(&r.free))
                .filter_map(|(i, r)| {
                    let m = self.machines.get(&r.id)?;
                    let shape = shapes.get(r.shape)?;
                    let allowed = spec.shapes.as_ref().is_none_or(|s| s.contains(&shape.label))
                        && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                        && (spec.spot || !m.spot);
                    let image = m.images.contains(&spec.image);
                    // Spot machines first among equals, so that dear ones empty.
                    let key = (!m.spot, !image, !r.used, (r.free.cpus * 1000.0) as i64);
                    allowed.then_some((i, key))
                })
                .collect();
            fits.sort_by(|(a, ka), (b, kb)| {
                let size = |i: &usize| shapes.get(rooms[*i].shape).map_or(0.0, |s| s.cpus);
                size(a).total_cmp(&size(b)).then(ka.cmp(kb))
            });
            let waiting_for = settings.aim("wait", &spec.class);
            'machines: for (i, _) in fits {
                loop {
                    if budget == 0 {
                        return;
                    }
                    let r = &mut rooms[i];
                    if !need.fits(&r.free) {
                        break;
                    }
                    // Guard: a team's tasks never use more than its limit,
                    // counted from the plan until proof of the end.
                    if let Some(t) = team {
                        let (_, cpus_max, _, gpus_max) = self.teams[t];
                        if (cpus_max > 0.0 && team_used[t].0 + need.cpus > cpus_max + EPSILON)
                            || (gpus_max > 0.0 && team_used[t].1 + need.gpus > gpus_max + EPSILON)
                        {
                            break 'machines;
                        }
                    }
                    let Some(m) = self.machines.get_mut(&r.id) else { break };
                    if *rows.get(&m.page).unwrap_or(&0) >= self.rows_per_page
                        || r.rows >= self.rows_per_page
                    {
                        break;
                    }
                    let in_zones = zones.entry(id).or_default();
                    // Guards against `wrong_place`, given the job's other tasks.
                    if spec.one_zone && in_zones.keys().any(|z| *z != m.zone) {
                        break;
                    }
                    // A task on a machine whose zone is not yet known may be in this one.
                    let there =
                        in_zones.get(&m.zone).unwrap_or(&0) + in_zones.get("").unwrap_or(&0);
                    if spec.spread && there >= half {
                        break;
                    }
                    let Some(index) = job.next_task(now) else { break 'machines };
                    let task = TaskId { job: id, index };
                    if m.entries.contains_key(&task) {
                        break;
                    }
                    self.next_attempt += 1;
                    m.entries.insert(
                        task,
                        Entry {
                            attempt: Attempt(self.next_attempt),
                            need,
                            team,
                            state: State::Planned,
                            kill: None,
                            flying: false,
                            started: None,
                        },
                    );
                    self.dirty.insert(m.page);
                    *in_zones.entry(m.zone.clone()).or_default() += 1;
                    *rows.entry(m.page).or_default() += 1;
                    r.rows += 1;
                    r.used = true;
                    r.free.sub(&need);
                    job.retry.remove(&index);
                    *job.live.entry(index).or_insert(0) += 1;
                    if let Some(t) = team {
                        team_used[t].0 += need.cpus;
                        team_used[t].1 += need.gpus;
                    }
                    budget -= 1;
                }
            }
            let waiting = job.waiting();
            if let (Some(within), true) = (waiting_for, waiting > 0 && late < 2) {
                let age = age_s(wall, &spec);
                pressed.push(Pressed {
                    urgency: spec.urgency,
                    cpus: f64::from(waiting) * need.cpus,
                    within_s: (within - age).max(1.0),
                    spec,
                });
            }
        }
        self.preempt(now, &pressed, shapes);
    }

    /// Stops tasks of lower urgency for those that would miss their aim.
    ///
    /// Those that have run least lose least; tasks that a stop already frees
    /// room for are not paid for twice.
    fn preempt(&mut self, now: Time, pressed: &[Pressed], shapes: &[Shape]) {
        let Some(top) = pressed.iter().map(|p| p.urgency).max() else { return };
        let mut lacking: f64 = pressed.iter().filter(|p| p.urgency == top).map(|p| p.cpus).sum();
        let soonest = pressed.iter().map(|p| p.within_s).fold(f64::INFINITY, f64::min);
        let mut victims: Vec<(f64, MachineId, TaskId, f64, f64)> = Vec::new();
        for (id, m) in &self.machines {
            let usable = m.synced && !m.reclaim && !m.draining && !m.sick && !m.slow;
            if !usable || m.heard.is_none_or(|h| now.since(h) > self.report_s * 2.0 + 1.0) {
                continue;
            }
            let label = m.shape.and_then(|s| shapes.get(s)).map(|s| s.label.as_str());
            let fits = pressed.iter().any(|p| {
                (p.spec.spot || !m.spot)
                    && p.spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                    && p.spec
                        .shapes
                        .as_ref()
                        .is_none_or(|s| s.iter().any(|l| Some(l.as_str()) == label))
            });
            for (task, e) in &m.entries {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let ran = e.started.map_or(0.0, |s| now.since(s));
                let run_s = job.spec.expect_s * self.run_factor(&job.spec.class);
                if e.kill.is_some() && e.state != State::Ended {
                    lacking -= e.need.cpus;
                } else if matches!(e.state, State::Seen(_)) && job.spec.urgency >= top {
                    // Its room comes free by itself in time.
                    if run_s - ran < soonest {
                        lacking -= e.need.cpus;
                    }
                } else if matches!(e.state, State::Seen(_)) && fits && ran < run_s * 0.15 {
                    let kept = if job.spec.checkpoint_s > 0.0 { 0.1 } else { 1.0 };
                    victims.push((ran * kept, *id, *task, e.need.cpus, job.spec.save_s));
                }
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine, task, cpus, save_s) in victims {
            if lacking <= 0.0 {
                break;
            }
            lacking -= cpus;
            log::info!("{task} on {machine} makes room for more urgent work");
            if let Some(e) = self.entry(machine, task) {
                e.kill = Some(save_s);
            }
        }
    }

    /// One transaction carries all that changed: pages, progress, finished jobs.
    fn commit(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        if self.flying.is_some() || self.load.is_some() || now < self.retry_at {
            return;
        }
        let max_puts = ledger.max_puts();
        let max_when = ledger.max_conditions();
        let mut txn = Txn::default();
        // Guard 1: whoever lost the block can commit nothing.
        txn.when(BLOCK, Stamp(self.token.0));
        let mut flying = Flying { pages: vec![], chunks: vec![], finals: vec![], cleaned: vec![] };
        let dirty: Vec<usize> = self.dirty.iter().copied().collect();
        for page in dirty {
            if txn.puts() + 1 > max_puts.div_ceil(2).max(1) {
                break;
            }
            let jobs: BTreeSet<JobId> = self
                .machines
                .values()
                .filter(|m| m.page == page)
                .flat_map(|m| m.entries.iter())
                .filter(|(_, e)| e.state == State::Planned)
                .map(|(t, _)| t.job)
                .collect();
            if txn.conditions() + jobs.len() + 8 > max_when {
                if !flying.pages.is_empty() {
                    break;
                }
                // Too many jobs for one transaction: some wait for the next.
                self.unplan_beyond(now, page, max_when.saturating_sub(txn.conditions() + 8));
                self.replan = true;
            }
            let rows = self.machines.iter().filter(|(_, m)| m.page == page).flat_map(|(id, m)| {
                m.entries.iter().filter(|(_, e)| e.state != State::Ended).map(|(t, e)| Row {
                    machine: *id,
                    task: *t,
                    attempt: e.attempt,
                })
            });
            let value = blocks::encode_page(rows);
            if !txn.has_room(wire::json_len(&value) + 2_048) {
                break;
            }
            let stamp = self.stamps.get(page).copied().unwrap_or(Stamp(0));
            txn.write(blocks::page_key(page), stamp, value, None);
            // Guard 2: a placement rests on its job being neither cancelled
            // nor done.
            let planned = self
                .machines
                .values()
                .filter(|m| m.page == page)
                .flat_map(|m| m.entries.iter())
                .filter(|(_, e)| e.state == State::Planned)
                .map(|(t, _)| t.job);
            for job in planned {
                if let Some(j) = self.jobs.get(&job) {
                    txn.when(jobs::key(job), j.stamp);
                }
            }
            flying.pages.push(page);
        }
        for (id, job) in &mut self.jobs {
            if txn.puts() >= max_puts || txn.conditions() + 2 > max_when || !txn.has_room(4_096) {
                break;
            }
            if job.state != JobState::Open {
                continue;
            }
            // `done` is written only when every task is, and on condition that
            // nobody cancelled the job meanwhile.
            if job.complete() {
                txn.write(jobs::key(*id), job.stamp, jobs::done_record(job.spec.tasks), None);
                flying.finals.push(*id);
                continue;
            }
            for chunk in job.progress.dirty().collect::<Vec<_>>() {
                if txn.puts() >= max_puts {
                    break;
                }
                if let Some((stamp, value)) = job.progress.value(chunk) {
                    txn.write(blocks::progress_key(*id, chunk), stamp, value, None);
                    job.progress.sent(chunk);
                    flying.chunks.push((*id, chunk));
                }
            }
        }
        for ((id, chunk), stamp) in &self.leftovers {
            if txn.puts() + 2 >= max_puts || flying.cleaned.len() >= 3 {
                break;
            }
            txn.delete(blocks::progress_key(*id, *chunk), *stamp);
            flying.cleaned.push((*id, *chunk));
        }
        if txn.puts() == 0 {
            return;
        }
        for m in self.machines.values_mut() {
            if flying.pages.contains(&m.page) {
                for e in m.entries.values_mut() {
                    if matches!(e.state, State::Planned | State::Ended) {
                        e.flying = true;
                    }
                }
            }
        }
        for page in &flying.pages {
            self.dirty.remove(page);
        }
        self.flying = Some(flying);
        self.retry_at = now.plus(0.02);
        ledger.commit(now, Priority::Place, Tag::Place(PlaceCall::Commit), txn);
    }

    fn unplan_beyond(&mut self, now: Time, page: usize, keep: usize) {
        let mut seen: BTreeSet<JobId> = BTreeSet::new();
        let mut drop = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| m.page == page) {
            for (task, e) in &m.entries {
                if e.state == State::Planned && !e.flying && !seen.contains(&task.job) {
                    if seen.len() < keep {
                        seen.insert(task.job);
                    } else {
                        drop.push((*id, *task));
                    }
                }
            }
        }
        for (machine, task) in drop {
            self.end(now, machine, task, false, 0.0);
        }
    }

    pub fn on_reply(
        &mut self,
        now: Time,
        call: PlaceCall,
        reply: Reply<Tag>,
        book: &mut JobBook,
    ) -> Verdict {
        if call != PlaceCall::Commit {
            self.on_load(now, call, reply, book);
            return Verdict::Fine;
        }
        let Some(flying) = self.flying.take() else { return Verdict::Fine };
        let sent = reply.sent;
        match reply.outcome {
            Outcome::Ok(body) => {
                let Ok(done) = wire::decode::<Committed>(&body) else {
                    self.reload();
                    return Verdict::Fine;
                };
                self.committed(flying, Stamp(done.rev), book);
                Verdict::Confirmed(sent)
            }
            Outcome::Conflict(failed) => {
                self.not_committed(now, &flying);
                if failed.iter().any(|k| k == BLOCK) {
                    return Verdict::Deposed;
                }
                if failed.iter().any(|k| !k.starts_with(jobs::PREFIX)) {
                    self.reload();
                }
                // Plans for a job that changed are dropped; what it is now,
                // the book will tell.
                for id in failed.iter().filter_map(|k| JobId::parse(k.strip_prefix(jobs::PREFIX)?))
                {
                    self.unplan_job(now, id);
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.hold_until = now.plus(0.3);
                    }
                }
                Verdict::RefreshJobs
            }
            Outcome::Refused => {
                self.not_committed(now, &flying);
                self.retry_at = now.plus(0.15);
                Verdict::Fine
            }
            // Whether it was or will be applied is unknown: read again.
            _ => {
                self.dirty.extend(&flying.pages);
                self.reload();
                Verdict::RefreshJobs
            }
        }
    }

    fn unplan_job(&mut self, now: Time, id: JobId) {
        let mut drop = Vec::new();
        for (machine, m) in &self.machines {
            for (task, e) in &m.entries {
                if task.job == id && e.state == State::Planned && !e.flying {
                    drop.push((*machine, *task));
                }
            }
        }
        for (machine, task) in drop {
            self.end(now, machine, task, false, 0.3);
        }
    }

    fn committed(&mut self, flying: Flying, stamp: Stamp, book: &mut JobBook) {
        for page in &flying.pages {
            if *page >= self.stamps.len() {
                self.stamps.resize(page + 1, Stamp(0));
            }
            self.stamps[*page] = stamp;
        }
        let mut emptied = Vec::new();
        for (id, m) in &mut self.machines {
            if !flying.pages.contains(&m.page) {
                continue;
            }
            m.entries.retain(|_, e| !(e.flying && e.state == State::Ended));
            for e in m.entries.values_mut().filter(|e| e.flying) {
                e.flying = false;
                if e.state == State::Planned {
                    e.state = State::Committed;
                }
            }
            if m.entries.is_empty() && m.draining && m.heard.is_none() {
                emptied.push(*id);
            }
        }
        for id in emptied {
            self.machines.remove(&id);
        }
        for (id, chunk) in &flying.chunks {
            if let Some(job) = self.jobs.get_mut(id) {
                job.progress.written(*chunk, stamp);
            }
        }
        for id in &flying.finals {
            book.wrote(*id, stamp, JobState::Done, None);
            if let Some(job) = self.jobs.get_mut(id) {
                job.state = JobState::Done;
                job.stamp = stamp;
            }
            log::debug!("{id} is done");
        }
        for key in &flying.cleaned {
            self.leftovers.remove(key);
        }
    }

    fn not_committed(&mut self, now: Time, flying: &Flying) {
        self.dirty.extend(&flying.pages);
        for m in self.machines.values_mut() {
            for e in m.entries.values_mut() {
                e.flying = false;
            }
        }
        for (id, chunk) in &flying.chunks {
            if let Some(j) = self.jobs.get_mut(id) {
                j.progress.unsent(*chunk);
            }
        }
        self.retry_at = now.plus(0.05);
    }
}

fn new_job(spec: Rc<JobSpec>, stamp: Stamp, now: Time) -> Job {
    Job {
        spec,
        stamp,
        state: JobState::Open,
        progress: Progress::default(),
        next_fresh: 0,
        retry: BTreeMap::new(),
        live: BTreeMap::new(),
        errors: 0,
        error_machines: BTreeSet::new(),
        hold_until: now,
    }
}

/// Seconds since the submission, by the time of day.
fn age_s(wall: WallMs, spec: &JobSpec) -> f64 {
    (wall.0 as f64 - spec.submitted as f64) / 1e3
}
