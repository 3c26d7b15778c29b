//! The users' interface: submit, query and cancel, on any node.
//!
//! A job is accepted by the committed creation of its key, nothing else. Final
//! states never change, so they are answered from our copy; everything else
//! waits for a copy newer than the question, or is answered 503 at once.

use crate::calls::{Tag, UserApiCall};
use crate::faults::{broken, Faults};
use crate::job_store::{self, JobKind, JobSpec, JobState, JobStore, Urgency};
use crate::replica::Freshness;
use crate::split::{self, MachineType, Resources};
use crate::store::{CommitResponse, Outcome, Priority, Reply, StoreClient, TransactionError};
use beamhinge_configuration::EffectiveTeam;
use beamhinge_core::messages::{Effect, TaskCounts};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{JobId, RequestId, Revision, Time, WallMs};
use beamhinge_core::wire::{self, error_body};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

const MAX_TASKS: u32 = 100_000;
/// Longest command line; it is kept in the job's record.
const MAX_COMMAND: usize = 2_048;
/// Requests that may wait here; beyond it users are told to come back.
const WAITING_LIMIT: usize = 400;
/// Submissions of best-effort work that may wait: more would not be written in the
/// time that their users wait, and are told at once to come back.
const MAX_PATIENT: usize = 48;
/// When their users come back, seconds: at once again they would only ask more.
const PATIENT_AFTER_S: u32 = 4;
/// Transactions that take jobs in, at the same time.
const MAX_IN_FLIGHT: usize = 3;
/// Jobs that one transaction accepts.
const MAX_ACCEPTS: usize = 8;
/// Jobs of which it is remembered that peers know their end: more do not end within
/// the seconds in which a question waits.
const WORDS_KNOWN: usize = 512;
/// Jobs whose progress is kept before those that are over are dropped, which looks at all of
/// them. The holder's own list replaces it each second; two jobs for each of 8,192 machines.
const MAX_SHOWN: usize = 16_384;
/// A poll's client waits two seconds: no answer of ours takes longer.
const POLL_PATIENCE_S: f64 = 1.4;
const SUBMIT_PATIENCE_S: f64 = 3.0;
const RETRY_AFTER_S: u32 = 1;
/// A job's ends, as users are told them.
const DONE: &str = "done";
const CANCELLED: &str = "cancelled";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Submission {
    name_id: String,
    job_class: String,
    owner: String,
    job_kind: JobKind,
    urgency: Urgency,
    #[serde(deserialize_with = "wire::amount")]
    pieces: f64,
    #[serde(deserialize_with = "wire::amount")]
    vcpus: f64,
    #[serde(deserialize_with = "wire::amount")]
    cards: f64,
    #[serde(deserialize_with = "wire::amount")]
    memory_gb: f64,
    bundle: String,
    #[serde(deserialize_with = "wire::amount")]
    image_gb: f64,
    #[serde(default)]
    #[serde(rename = "shapes")]
    machine_types: Option<Vec<String>>,
    #[serde(default)]
    yard: Option<String>,
    one_zone: bool,
    apart: bool,
    loaners: bool,
    #[serde(deserialize_with = "wire::amount")]
    expect_s: f64,
    #[serde(deserialize_with = "wire::amount")]
    snapshot_every_s: f64,
    #[serde(deserialize_with = "wire::amount")]
    snapshot_s: f64,
    #[serde(default, deserialize_with = "wire::amount_or_null")]
    due_s: Option<f64>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct StatusBody {
    name_id: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

/// Reads a submission; the error is what its user is told.
pub fn read_submission(body: &[u8], wall: WallMs) -> Result<(JobId, JobSpec), &'static str> {
    let value: Value = wire::decode(body).map_err(|_| "the body is not CBOR")?;
    if !matches!(value, Value::Map(_)) {
        return Err("the body is not a map");
    }
    let s: Submission = wire::from_value(&value).map_err(|_| "a field is missing or invalid")?;
    let id = JobId::parse(&s.name_id).ok_or("nameId is not of the form job-000412")?;
    if s.pieces.fract() != 0.0 || s.pieces < 1.0 || s.pieces > f64::from(MAX_TASKS) {
        return Err("pieces is not between 1 and 100000");
    }
    let spec = JobSpec {
        class: s.job_class.into(),
        team: s.owner.into(),
        kind: s.job_kind,
        urgency: s.urgency,
        tasks: s.pieces as u32,
        cpus: s.vcpus,
        gpus: s.cards,
        memory_gb: s.memory_gb,
        image: s.bundle.into(),
        image_gb: s.image_gb,
        machine_types: s.machine_types,
        zone: s.yard,
        single_zone: s.one_zone,
        spread: s.apart,
        spot: s.loaners,
        expected_run_s: s.expect_s,
        checkpoint_interval_s: s.snapshot_every_s,
        checkpoint_duration_s: s.snapshot_s,
        due_s: s.due_s,
        submitted: wall.0,
        command: None,
    };
    sound(&spec)?;
    Ok((id, spec))
}

/// Whether a description makes sense at all, through whichever door it came.
pub fn sound(s: &JobSpec) -> Result<(), &'static str> {
    let amounts = [
        s.cpus,
        s.gpus,
        s.memory_gb,
        s.image_gb,
        s.expected_run_s,
        s.checkpoint_interval_s,
        s.checkpoint_duration_s,
    ];
    if amounts
        .iter()
        .chain(s.due_s.iter())
        .any(|a| !a.is_finite() || *a < 0.0)
    {
        return Err("an amount is negative or not finite");
    }
    if s.tasks < 1 || s.tasks > MAX_TASKS {
        return Err("the number of tasks is not between 1 and 100000");
    }
    if s.team.is_empty() || s.class.is_empty() {
        return Err("owner or jobClass is empty");
    }
    if s.command.as_ref().is_some_and(|c| c.len() > MAX_COMMAND) {
        return Err("the command is longer than 2048 bytes");
    }
    Ok(())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Possible,
    Never(&'static str),
    Undecided,
}

/// Whether a job can ever run here; `team` is its team as it counts now.
pub fn judge(
    spec: &JobSpec,
    team: Option<&EffectiveTeam>,
    settings: &Settings,
    machine_types: &[MachineType],
) -> Verdict {
    let Some(team) = team else {
        return Verdict::Never("unknown team");
    };
    if team.removed {
        return Verdict::Never("the team was removed");
    }
    let team = &team.quota;
    let count = if spec.kind == JobKind::Service {
        f64::from(spec.tasks)
    } else {
        1.0
    };
    if (team.cpus_max > 0.0 && spec.cpus * count > team.cpus_max + split::EPSILON)
        || (team.gpus_max > 0.0 && spec.gpus * count > team.gpus_max + split::EPSILON)
    {
        return Verdict::Never("above the team's limit");
    }
    // What no value can hold can never be accepted. A tenth stays free for the
    // records that follow: a job must always be able to end.
    if wire::json_len(&job_store::open_record(spec)) > settings.value_limit() {
        return Verdict::Never("the description is longer than the state service takes");
    }
    if machine_types.is_empty() {
        return Verdict::Undecided;
    }
    let resources = Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    };
    if machine_types
        .iter()
        .all(|s| split::allowed_fit(s, &resources, &spec.machine_types, &spec.zone) == 0)
    {
        return Verdict::Never("a task fits no allowed machine type");
    }
    Verdict::Possible
}

#[derive(Debug)]
enum Ask {
    Poll,
    /// A submission whose id is known, or that may be refused for good.
    Known {
        refuse: Option<&'static str>,
    },
    Cancel,
}

#[derive(Debug)]
struct Waiter {
    request: RequestId,
    job: JobId,
    since: Time,
    /// No copy from before this answers it: when it came, or when word came since that
    /// its job has ended.
    newer_than: Time,
    ask: Ask,
}

struct Accept {
    spec: Rc<JobSpec>,
    requests: Vec<RequestId>,
    since: Time,
    in_flight: bool,
}

struct Cancel {
    requests: Vec<RequestId>,
    since: Time,
    in_flight: bool,
    retry_at: Time,
}

#[derive(Default)]
pub struct UserApi {
    waiters: VecDeque<Waiter>,
    accepts: BTreeMap<JobId, Accept>,
    order: VecDeque<JobId>,
    cancels: BTreeMap<JobId, Cancel>,
    accepts_in_flight: usize,
    /// Jobs whose end a user of ours was told, and no peer yet.
    words: Vec<JobId>,
    /// Those of which peers were told, the latest last.
    spread: VecDeque<JobId>,
    /// What the holder last told us of jobs' progress; for display only.
    pub shown: BTreeMap<JobId, TaskCounts>,
    /// What tests put in.
    pub faults: Faults,
}

pub trait Context {
    fn counts(&self, id: JobId) -> Option<TaskCounts>;
}

impl UserApi {
    /// Somebody waits for a fresh copy of the jobs.
    pub fn asks(&self) -> bool {
        !self.waiters.is_empty() || self.cancels.values().any(|c| !c.in_flight)
    }

    fn waiting(&self) -> usize {
        self.waiters.len() + self.accepts.len() + self.cancels.len()
    }

    pub fn busy(out: &mut Vec<Effect>, to: RequestId, why: &str) {
        out.push(Effect::Answer {
            to,
            status: 503,
            retry_after: Some(RETRY_AFTER_S),
            body: error_body(why),
        });
    }

    fn answer(
        &mut self,
        out: &mut Vec<Effect>,
        to: RequestId,
        status: u16,
        id: JobId,
        state: &'static str,
        counts: Option<TaskCounts>,
    ) {
        if matches!(state, DONE | CANCELLED) {
            self.ended(id);
        }
        let body = wire::encode(&StatusBody {
            name_id: id.to_string(),
            status: state,
            done: counts.map(|c| c.done),
            running: counts.map(|c| c.running),
        });
        out.push(Effect::Answer {
            to,
            status,
            retry_after: None,
            body,
        });
    }

    fn tell(
        &mut self,
        out: &mut Vec<Effect>,
        to: RequestId,
        id: JobId,
        entry: &job_store::JobEntry,
        own: Option<TaskCounts>,
    ) {
        let counts = match entry.state {
            JobState::Done => TaskCounts {
                done: entry.tasks,
                running: 0,
            },
            _ => own
                .or_else(|| self.shown.get(&id).copied())
                .unwrap_or_default(),
        };
        let state = match entry.state {
            JobState::Done => DONE,
            JobState::Cancelled => CANCELLED,
            JobState::Open if counts.running > 0 => "running",
            JobState::Open => "pending",
        };
        self.answer(out, to, 200, id, state, Some(counts));
    }

    /// Final states never change and need no fresh copy; and beyond the limit
    /// of what may wait, users are told to come back.
    fn answered_at_once(
        &mut self,
        to: RequestId,
        id: JobId,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) -> bool {
        if let Some(entry) = job_store.get(id).filter(|e| e.state != JobState::Open) {
            self.tell(out, to, id, entry, None);
        } else if self.waiting() >= WAITING_LIMIT {
            Self::busy(out, to, "too many requests wait");
        } else {
            return false;
        }
        true
    }

    pub fn submit(
        &mut self,
        now: Time,
        to: RequestId,
        (id, spec): (JobId, JobSpec),
        verdict: Verdict,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) {
        if self.answered_at_once(to, id, job_store, out) {
            return;
        }
        let ask = match verdict {
            Verdict::Undecided => return Self::busy(out, to, "machine types are not yet known"),
            // A job that was accepted once is not refused when types or limits
            // have changed since: look first.
            Verdict::Never(why) => Ask::Known { refuse: Some(why) },
            Verdict::Possible if job_store.get(id).is_some() => Ask::Known { refuse: None },
            Verdict::Possible => {
                match self.accepts.get_mut(&id) {
                    Some(a) => a.requests.push(to),
                    None if spec.urgency == Urgency::BestEffort
                        && self.order.len() >= MAX_PATIENT =>
                    {
                        let body = error_body("too many best-effort submissions wait");
                        let retry_after = Some(PATIENT_AFTER_S);
                        return out.push(Effect::Answer {
                            to,
                            status: 503,
                            retry_after,
                            body,
                        });
                    }
                    None => {
                        // The more urgent first: thousands of guests' jobs must not keep
                        // out the others.
                        let before = |o: &JobId| {
                            self.accepts
                                .get(o)
                                .is_some_and(|a| a.spec.urgency < spec.urgency)
                        };
                        let at = self
                            .order
                            .iter()
                            .position(before)
                            .unwrap_or(self.order.len());
                        self.order.insert(at, id);
                        self.accepts.insert(
                            id,
                            Accept {
                                spec: Rc::new(spec),
                                requests: vec![to],
                                since: now,
                                in_flight: false,
                            },
                        );
                    }
                }
                return;
            }
        };
        self.wait(now, to, id, ask);
    }

    fn wait(&mut self, now: Time, request: RequestId, job: JobId, ask: Ask) {
        self.waiters.push_back(Waiter {
            request,
            job,
            since: now,
            newer_than: now,
            ask,
        });
    }

    /// Word of a peer that these jobs have ended, and that a user was told so. It changes
    /// nothing of what we know: questions that wait are answered from a copy that is newer
    /// than the word, so that no older answer follows what the user has heard elsewhere.
    pub fn heard_ended(&mut self, now: Time, jobs: impl Iterator<Item = JobId>) {
        let jobs: BTreeSet<JobId> = jobs.collect();
        for w in self.waiters.iter_mut().filter(|w| jobs.contains(&w.job)) {
            w.newer_than = now;
        }
    }

    /// Ends that users were told in this step, for the peers.
    pub fn take_words(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.words)
    }

    /// A user is told that this job has ended: so are the peers, once.
    fn ended(&mut self, id: JobId) {
        if self.spread.contains(&id) {
            return;
        }
        if self.spread.len() >= WORDS_KNOWN {
            self.spread.pop_front();
        }
        self.spread.push_back(id);
        self.words.push(id);
    }

    pub fn poll(
        &mut self,
        now: Time,
        to: RequestId,
        id: JobId,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) {
        self.ask(now, to, id, Ask::Poll, job_store, out);
    }

    pub fn cancel(
        &mut self,
        now: Time,
        to: RequestId,
        id: JobId,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) {
        self.ask(now, to, id, Ask::Cancel, job_store, out);
    }

    /// Waits for a copy of the jobs that is newer than the question.
    fn ask(
        &mut self,
        now: Time,
        to: RequestId,
        id: JobId,
        ask: Ask,
        job_store: &JobStore,
        out: &mut Vec<Effect>,
    ) {
        if !self.answered_at_once(to, id, job_store, out) {
            self.wait(now, to, id, ask);
        }
    }

    /// The copy of the jobs was refreshed, or could not be.
    pub fn on_fresh(
        &mut self,
        now: Time,
        freshness: Freshness,
        job_store: &JobStore,
        own: &dyn Context,
        out: &mut Vec<Effect>,
    ) {
        if freshness == Freshness::Unchanged {
            return;
        }
        let fresh = job_store.fresh_as_of();
        let mut left = VecDeque::new();
        while let Some(w) = self.waiters.pop_front() {
            // Only a copy read after the question came can answer it.
            let stale = fresh.is_none_or(|f| f < w.newer_than);
            if stale && !broken!(self.faults, stale_answers) {
                if freshness == Freshness::Failed {
                    Self::busy(out, w.request, "the state service cannot be reached");
                } else {
                    left.push_back(w);
                }
                continue;
            }
            match (w.ask, job_store.get(w.job)) {
                (Ask::Poll | Ask::Known { .. }, Some(entry)) => {
                    let counts = own.counts(w.job);
                    self.tell(out, w.request, w.job, entry, counts);
                }
                (Ask::Poll, None) | (Ask::Cancel, None) => out.push(Effect::Answer {
                    to: w.request,
                    status: 404,
                    retry_after: None,
                    body: error_body("no such job"),
                }),
                (Ask::Known { refuse: Some(why) }, None) => out.push(Effect::Answer {
                    to: w.request,
                    status: 422,
                    retry_after: None,
                    body: error_body(why),
                }),
                (Ask::Known { refuse: None }, None) => Self::busy(out, w.request, "try again"),
                (Ask::Cancel, Some(entry)) => match entry.state {
                    JobState::Done => self.answer(out, w.request, 200, w.job, DONE, None),
                    JobState::Cancelled => self.answer(out, w.request, 200, w.job, CANCELLED, None),
                    JobState::Open => {
                        let c = self.cancels.entry(w.job).or_insert(Cancel {
                            requests: Vec::new(),
                            since: now,
                            in_flight: false,
                            retry_at: now,
                        });
                        c.requests.push(w.request);
                    }
                },
            }
        }
        self.waiters = left;
    }

    pub fn tick(
        &mut self,
        now: Time,
        job_store: &JobStore,
        store: &mut StoreClient<Tag>,
        out: &mut Vec<Effect>,
    ) {
        while let Some(w) = self.waiters.front() {
            if now.since(w.since) <= POLL_PATIENCE_S {
                break;
            }
            if let Some(w) = self.waiters.pop_front() {
                Self::busy(out, w.request, "the state service does not answer");
            }
        }
        self.tell_the_late(now, out);
        self.send_accepts(now, store, out);
        let mut over = Vec::new();
        for (id, c) in &mut self.cancels {
            if c.in_flight || now < c.retry_at {
                continue;
            }
            let entry = job_store.get(*id);
            match entry.map(|e| (e.state, e.spec.as_ref())) {
                Some((JobState::Open, Some(spec))) if now.since(c.since) < SUBMIT_PATIENCE_S => {
                    let mut transaction = store.transaction();
                    let revision = entry.map_or(Revision(0), |e| e.revision);
                    let value = job_store::cancelled_record(spec);
                    if let Err(full) = transaction.put(job_store::key(*id), revision, value, None) {
                        tracing::error!("the cancellation of {id} cannot be written: {full}");
                        over.push((*id, None));
                        continue;
                    }
                    c.in_flight = true;
                    store.commit(
                        now,
                        Priority::Admission,
                        Tag::UserApi(UserApiCall::Cancel(*id)),
                        transaction,
                    );
                }
                Some((JobState::Done, _)) => over.push((*id, Some(DONE))),
                Some((JobState::Cancelled, _)) => over.push((*id, Some(CANCELLED))),
                _ => over.push((*id, None)),
            }
        }
        for (id, state) in over {
            let Some(c) = self.cancels.remove(&id) else {
                continue;
            };
            for to in c.requests {
                match state {
                    Some(s) => self.answer(out, to, 200, id, s, None),
                    None => Self::busy(out, to, "the state service does not answer"),
                }
            }
        }
        if self.shown.len() > MAX_SHOWN {
            self.shown.retain(|id, _| {
                job_store
                    .get(*id)
                    .is_some_and(|e| e.state == JobState::Open)
            });
        }
    }

    /// Guard: nobody is kept waiting behind others' transactions. When the state
    /// service comes back, each of those may take its full patience, and a job
    /// behind them waited for longer than its user did. Whoever has waited for
    /// so long is told to come again; what flies is followed to its end, and the
    /// user's next try finds it.
    fn tell_the_late(&mut self, now: Time, out: &mut Vec<Effect>) {
        let why = "the state service does not answer";
        let late = |since: Time| now.since(since) > SUBMIT_PATIENCE_S;
        self.accepts.retain(|_, a| {
            if late(a.since) {
                a.requests.drain(..).for_each(|to| Self::busy(out, to, why));
            }
            a.in_flight || !a.requests.is_empty()
        });
        // An id whose job went, and came again, is in the order twice.
        if self.order.len() > self.accepts.len() {
            self.order.retain(|id| self.accepts.contains_key(id));
        }
        for c in self
            .cancels
            .values_mut()
            .filter(|c| c.in_flight && late(c.since))
        {
            c.requests.drain(..).for_each(|to| Self::busy(out, to, why));
        }
    }

    fn send_accepts(&mut self, now: Time, store: &mut StoreClient<Tag>, out: &mut Vec<Effect>) {
        while self.accepts_in_flight < MAX_IN_FLIGHT {
            let mut transaction = store.transaction();
            let mut ids = Vec::new();
            // Best effort goes alone and in small steps, so that what is more urgent
            // never waits behind more than one of them.
            let front = self
                .order
                .iter()
                .find_map(|id| self.accepts.get(id).filter(|a| !a.in_flight));
            let patient = front.is_some_and(|a| a.spec.urgency == Urgency::BestEffort);
            if patient && self.accepts_in_flight > 0 {
                return;
            }
            let most = if patient {
                MAX_ACCEPTS / 2
            } else {
                MAX_ACCEPTS
            };
            while let Some(id) = self.order.front().copied() {
                let Some(a) = self.accepts.get_mut(&id).filter(|a| !a.in_flight) else {
                    self.order.pop_front();
                    continue;
                };
                // One that is refused takes the others with it: few at a time.
                let other = patient != (a.spec.urgency == Urgency::BestEffort);
                if transaction.write_count() >= most || other {
                    break;
                }
                let value = job_store::open_record(&a.spec);
                match transaction.put(job_store::key(id), Revision(0), value, None) {
                    Ok(()) => {
                        a.in_flight = true;
                        ids.push(id);
                    }
                    Err(TransactionError::Full) => break,
                    // `judge` lets none of these through; its user is told at
                    // once, and the others go on.
                    Err(full) => {
                        let Some(a) = self.accepts.remove(&id) else {
                            continue;
                        };
                        for to in a.requests {
                            Self::busy(out, to, &format!("cannot be kept: {full}"));
                        }
                    }
                }
                self.order.pop_front();
            }
            if ids.is_empty() {
                return;
            }
            self.accepts_in_flight += 1;
            store.commit(
                now,
                Priority::Admission,
                Tag::UserApi(UserApiCall::Accept(ids)),
                transaction,
            );
        }
    }

    pub fn on_reply(
        &mut self,
        now: Time,
        call: UserApiCall,
        reply: Reply<Tag>,
        job_store: &mut JobStore,
        out: &mut Vec<Effect>,
    ) {
        match call {
            UserApiCall::Accept(ids) => {
                self.accepts_in_flight = self.accepts_in_flight.saturating_sub(1);
                match reply.outcome {
                    Outcome::Ok(body) => {
                        let rev = wire::decode::<CommitResponse>(&body)
                            .map(|c| c.revision)
                            .unwrap_or(0);
                        for id in ids {
                            let Some(a) = self.accepts.remove(&id) else {
                                continue;
                            };
                            if rev > 0 {
                                job_store.on_committed(
                                    id,
                                    Revision(rev),
                                    JobState::Open,
                                    Some(a.spec),
                                );
                            }
                            let mut status = 201;
                            for to in a.requests {
                                self.answer(out, to, status, id, "pending", None);
                                status = 200;
                            }
                        }
                    }
                    Outcome::Conflict(failed) => {
                        for id in ids {
                            let exists = failed.contains(&job_store::key(id));
                            if !exists && !failed.is_empty() {
                                if let Some(a) = self.accepts.get_mut(&id) {
                                    if now.since(a.since) < SUBMIT_PATIENCE_S {
                                        a.in_flight = false;
                                        self.order.push_front(id);
                                        continue;
                                    }
                                }
                            }
                            // Somebody accepted it before: say what it is now.
                            let Some(a) = self.accepts.remove(&id) else {
                                continue;
                            };
                            for to in a.requests {
                                self.wait(now, to, id, Ask::Known { refuse: None });
                            }
                        }
                    }
                    // Refused, or its fate unknown: the user's own retry finds
                    // out, since creating the key is conditional.
                    _ => {
                        for id in ids {
                            let Some(a) = self.accepts.remove(&id) else {
                                continue;
                            };
                            for to in a.requests {
                                Self::busy(out, to, "the state service cannot be reached");
                            }
                        }
                    }
                }
            }
            UserApiCall::Cancel(id) => match reply.outcome {
                Outcome::Ok(body) => {
                    let spec = job_store.get(id).and_then(|e| e.spec.clone());
                    if let Ok(c) = wire::decode::<CommitResponse>(&body) {
                        job_store.on_committed(id, Revision(c.revision), JobState::Cancelled, spec);
                    }
                    if let Some(c) = self.cancels.remove(&id) {
                        for to in c.requests {
                            self.answer(out, to, 200, id, CANCELLED, None);
                        }
                    }
                }
                Outcome::Conflict(_) => {
                    // It changed: the next refresh tells how.
                    if let Some(c) = self.cancels.get_mut(&id) {
                        c.in_flight = false;
                        c.retry_at = now.plus(0.05);
                    }
                }
                _ => {
                    if let Some(c) = self.cancels.remove(&id) {
                        for to in c.requests {
                            Self::busy(out, to, "the state service cannot be reached");
                        }
                    }
                }
            },
        }
    }
}

#[cfg(test)]
mod tests;
