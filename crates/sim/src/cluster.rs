//! A whole cluster in simulated time: controllers as they are, and stand-ins
//! for the state service, the cloud, the workers and the users, written from
//! the protocol. After every step the protocol's rules are checked against
//! what really is on the machines, not against what the controllers believe.

mod judging;
mod links;
mod users;

use crate::effective_quotas::EffectiveQuotas;
use crate::fault_injection::FaultInjection;
use crate::fingerprint::Fingerprinter;
use crate::machine_contents::MachineContents;
use crate::preemptions::{self, PreemptionTracker};
use crate::starvation::StarvationTracker;
use beamhinge_admin_api::messages::What as Decided;
use beamhinge_controller::faults::Faults;
use beamhinge_controller::node::Node;
use beamhinge_core::http::{Method, Request};
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::peers;
use beamhinge_core::settings::{OperatorSettings, Settings};
use beamhinge_core::types::{CallId, RequestId, Time, WallMs};
use beamhinge_core::wire;
use beamhinge_emulator::cloud::Cloud;
use beamhinge_emulator::state::{Caller, StateService};
use beamhinge_emulator::user::{Assessment, FollowUp, UserAnswer, UserJobView, UserRequest};
use beamhinge_emulator::worker::{Environment, ReportAnswer, TaskTransition, Worker};
use beamhinge_emulator::{decode, JobPlan, Micros, ProtocolFaults, SECOND};
use links::LinkEnd;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A frame's copy: for whatever process is there when it comes.
const ANY_LIFE: u64 = u64::MAX;
/// A report's copy: no worker waits for its answer.
const COPY: u64 = 0;
/// A question that is open for longer, without any trouble, is about a job that was
/// forgotten; seconds.
const FORGOTTEN_S: u64 = 75;

/// Within so many seconds after the last trouble every user asks once more.
const LATER_S: u64 = 20;

/// Tells the seed of the frames' draws from that of all others.
const FRAME_DRAWS: u64 = 0x6672_616d_6573;

pub type Reply = Option<(u16, Vec<u8>)>;

#[derive(Debug)]
pub enum Event {
    Tick(usize, u64),
    ToState {
        node: usize,
        life: u64,
        call: CallId,
        method: Method,
        path: String,
        body: Vec<u8>,
        quiet: bool,
        /// How much longer its answer takes.
        slow: Micros,
    },
    ToCloud {
        node: usize,
        life: u64,
        call: CallId,
        method: Method,
        path: String,
        body: Vec<u8>,
        /// Held back by a broken link: it acts when nobody means it any more.
        late: bool,
    },
    ToWorker {
        node: usize,
        life: u64,
        call: CallId,
        machine: u64,
        body: Vec<u8>,
    },
    ToNode {
        node: usize,
        life: u64,
        call: CallId,
        reply: Reply,
    },
    Watch,
    Report {
        machine: u64,
    },
    ReportArrives {
        machine: u64,
        node: usize,
        serial: u64,
        body: Vec<u8>,
    },
    ReportAnswered {
        machine: u64,
        serial: u64,
        status: u16,
        body: Vec<u8>,
    },
    ReportTimedOut {
        machine: u64,
        serial: u64,
    },
    WorkerStep {
        machine: u64,
    },
    /// A question of a user who looks closely: asked once, at this node.
    UserLooks {
        job: String,
        what: UserRequest,
        node: usize,
    },
    UserSends {
        job: String,
        what: UserRequest,
        since: Micros,
    },
    UserGivesUp {
        request: u64,
    },
    Frame {
        to: usize,
        life: u64,
        body: Vec<u8>,
    },
    OperatorAsks(OperatorRequest),
    Crash(usize),
    Start(usize),
    Script(usize),
    Armed(Vec<String>),
}

impl Event {
    /// A copy of a report arrives at a controller: nobody waits for its answer.
    pub fn copy(machine: u64, node: usize, body: Vec<u8>) -> Event {
        Event::ReportArrives {
            machine,
            node,
            serial: COPY,
            body,
        }
    }
}

/// A request at an operators' door, asked again while it is told to come back.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    pub name: String,
    /// A certain controller, or any that is up.
    pub node: Option<usize>,
    pub method: Method,
    pub path: String,
    pub body: String,
    pub tries: u32,
}

/// A line of the script that is due.
pub enum ScriptStep {
    Line(usize),
    /// One that waited for something to happen.
    Armed(Vec<String>),
}

enum Requester {
    User {
        job: String,
        what: UserRequest,
        since: Micros,
        asked: Micros,
        look: bool,
    },
    Worker {
        machine: u64,
        serial: u64,
    },
    Operator(OperatorRequest),
}

/// What happened to machines and tasks, by what really was the case.
#[derive(Clone, Debug, Default)]
pub struct LossCounts {
    /// Machines that were up when their link was cut.
    pub cut_off: u64,
    /// Healthy machines that were given back busy, or while they were cut off.
    pub healthy_returned: u64,
    /// Machines given back that had not been answered since they hung, and woke.
    pub given_back_ill: u64,
    /// Tasks on them, and tasks that a lease ended on a machine and in a time
    /// without trouble.
    pub unexplained: u64,
    /// Tasks that a lease ended.
    pub expired: u64,
}

pub struct Sim {
    pub now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    pub rng: StdRng,
    /// Draws for frames between controllers, apart from all others: how often they
    /// speak to each other must not change what else is drawn.
    pub frame_rng: StdRng,
    pub settings: Vec<Settings>,
    nodes: Vec<Option<Node>>,
    lives: Vec<u64>,
    pub state: StateService,
    pub cloud: Cloud,
    pub workers: BTreeMap<u64, Worker>,
    pub jobs: BTreeMap<String, JobPlan>,
    pub told: BTreeMap<String, UserJobView>,
    callers: BTreeMap<(usize, u64), Requester>,
    next_request: u64,
    pub broken: BTreeSet<String>,
    pub started: u64,
    /// Broken links of controllers: until when, and whether what is sent
    /// meanwhile is held and delivered late.
    pub cuts: BTreeMap<(usize, String), (Micros, bool)>,
    /// Zones without any link to the outside.
    pub zone_cuts: BTreeMap<String, (Micros, bool)>,
    /// Controllers that stand still while their clocks run on.
    pub frozen: Vec<Micros>,
    /// What is done when something happens next: what that is, how long after it, and
    /// the action.
    pub armed: Vec<(String, Micros, Vec<String>)>,
    /// The block's key as it was last seen.
    block: Option<serde_json::Value>,
    /// Who is asked by the next user that sends something.
    pub asks_at: Option<usize>,
    /// Part of the messages of which a copy comes late, by how much at most, and
    /// until when. Requests that were carried out are repeated likewise.
    pub copies: (f64, Micros, Micros),
    /// Troubles with state of their own.
    pub fault_injection: FaultInjection,
    /// Jobs that wait beside room that fits, once all troubles are over.
    pub starvation: StarvationTracker,
    /// Tasks that began after a user was told that their job is cancelled.
    pub late_starts: u64,
    /// Jobs that cannot run or lack a field, and those of them that were accepted.
    pub odd: BTreeSet<String>,
    pub invalid: BTreeSet<String>,
    /// When the last trouble ended: from then on every question has an answer.
    pub healed: Option<Micros>,
    /// Users who ask about this job are told nothing: for the check of that rule.
    pub untold: Option<String>,
    /// The longest that a cancelled job's task was on a machine, as a part of its time.
    pub cancelled_left: f64,
    /// The longest that a question was open after the last trouble.
    pub longest_open: Micros,
    /// Jobs about which a question is open since then.
    asked: BTreeMap<String, Micros>,
    /// How much longer the state service takes, and until when.
    pub state_slow: (f64, Micros),
    /// Troubles of controllers and links explain what is lost until then.
    pub explained_until: Micros,
    pub losses: LossCounts,
    /// What was stopped for others.
    pub stops: PreemptionTracker,
    /// Users ask so many times as often, and until when.
    pub storm: (f64, Micros),
    /// What the operators' file holds beside the door.
    pub operator: String,
    /// Users ask for a job no more often than this, seconds.
    pub polls_s: f64,
    /// Jobs that have not started.
    pub unstarted: BTreeSet<String>,
    /// When each job started first.
    pub first_starts: Vec<(String, Micros)>,
    checked: Micros,
    /// When the watches are looked at next.
    next_watch: Micros,
    on_machines: MachineContents,
    /// Limits of teams, where operators change them.
    pub limits: EffectiveQuotas,
    faults: Faults,
    /// Machines with a lower number were there from the start.
    pub owned: u64,
    pub lose_replies: f64,
    pub late: f64,
    pub protocol_faults: ProtocolFaults,
    pub log: Vec<String>,
    pub unanswered: u64,
    results: BTreeMap<String, BTreeSet<String>>,
    /// What operators were told, by the name of their question.
    pub answers: BTreeMap<String, (u16, serde_json::Value)>,
    /// When the lead was last seen, and the longest time nobody had it.
    led: Micros,
    pub leaderless: Micros,
    /// Who had it last, and how often another came to have it.
    led_by: Option<usize>,
    pub moves: u64,
    /// Of all that controllers sent.
    pub fingerprinter: Fingerprinter,
}

/// When a copy of what is sent now arrives, if one is made: its part, the latest, and
/// until when copies are made.
fn copied(
    rng: &mut StdRng,
    now: Micros,
    (part, most, until): (f64, Micros, Micros),
) -> Option<Micros> {
    let made = now < until && rng.gen_bool(part);
    made.then(|| now + rng.gen_range(SECOND / 2..most.max(SECOND)))
}

impl Sim {
    /// A cluster whose controllers have faults of old put back.
    pub fn broken(settings: Vec<Settings>, seed: u64, faults: Faults) -> Sim {
        let s = &settings[0].params;
        let n = settings.len();
        Sim {
            now: 3_600 * SECOND,
            seq: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            frame_rng: StdRng::seed_from_u64(seed ^ FRAME_DRAWS),
            nodes: (0..n).map(|_| None).collect(),
            lives: vec![0; n],
            state: StateService::new((&s.state).into()),
            cloud: Cloud::new(s.cloud.rps, s.cloud.list_lag_s),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            told: BTreeMap::new(),
            callers: BTreeMap::new(),
            next_request: 0,
            broken: BTreeSet::new(),
            started: 0,
            cuts: BTreeMap::new(),
            zone_cuts: BTreeMap::new(),
            frozen: vec![0; n],
            armed: Vec::new(),
            block: None,
            asks_at: None,
            copies: (0.0, 0, 0),
            fault_injection: FaultInjection::default(),
            starvation: StarvationTracker::default(),
            late_starts: 0,
            odd: BTreeSet::new(),
            invalid: BTreeSet::new(),
            healed: None,
            untold: None,
            cancelled_left: 0.0,
            longest_open: 0,
            asked: BTreeMap::new(),
            state_slow: (1.0, 0),
            explained_until: 0,
            losses: LossCounts::default(),
            stops: PreemptionTracker::default(),
            storm: (1.0, 0),
            operator: String::new(),
            polls_s: 0.0,
            unstarted: BTreeSet::new(),
            first_starts: Vec::new(),
            checked: 0,
            next_watch: Micros::MAX,
            on_machines: MachineContents::default(),
            limits: EffectiveQuotas::default(),
            lose_replies: 0.0,
            late: 0.0,
            protocol_faults: ProtocolFaults::default(),
            log: Vec::new(),
            unanswered: 0,
            results: BTreeMap::new(),
            answers: BTreeMap::new(),
            led: 0,
            leaderless: 0,
            led_by: None,
            moves: 0,
            fingerprinter: Fingerprinter::default(),
            settings,
            faults,
            owned: 0,
        }
    }

    pub fn push(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    pub fn start(&mut self, i: usize) {
        if self.nodes[i].is_some() {
            return;
        }
        self.lives[i] += 1;
        let listener = "[operators]\nlisten = 127.0.0.1:7900\n[split]\nseed = 7\n";
        let text = format!("{listener}{}", self.operator);
        let operator = OperatorSettings::parse("the operators' file", &text).expect("sound");
        let nonce = self.rng.gen_range(1..1u64 << 50);
        let now = Time::from_micros(self.now);
        let mut node = Node::new(self.settings[i].clone(), operator, Vec::new(), nonce, now);
        node.put_back(self.faults);
        self.nodes[i] = Some(node);
        let life = self.lives[i];
        self.push(self.now + 1_000, Event::Tick(i, life));
    }

    pub fn crash(&mut self, i: usize) {
        self.nodes[i] = None;
        self.lives[i] += 1;
        // Whoever waits on a connection to it sees it reset.
        let gone: Vec<(usize, u64)> = self
            .callers
            .keys()
            .filter(|(n, _)| *n == i)
            .copied()
            .collect();
        for key in gone {
            match self.callers.remove(&key) {
                Some(Requester::User { look: true, .. }) => {}
                Some(Requester::User {
                    job, what, since, ..
                }) => self.retry(job, what, since, 1.0),
                Some(Requester::Operator(q)) => self.ask_again(q),
                Some(Requester::Worker { machine, serial }) => {
                    self.push(self.now + 2_000, Event::ReportTimedOut { machine, serial })
                }
                None => {}
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.as_ref().is_some_and(Node::is_leader))
    }

    fn wall(&self) -> WallMs {
        WallMs(1_700_000_000_000 + self.now / 1_000)
    }

    /// A trouble of controllers or links, or of what they need: losses until a
    /// while after its end have a cause.
    pub fn explain_until(&mut self, until: Micros) {
        let lease = (self.settings[0].params.workers.lease_s * 2e6) as Micros;
        self.explained_until = self.explained_until.max(until + lease);
    }

    pub fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&seq) {
                if let Event::Script(_) | Event::Armed(_) = event {
                    self.push(self.now, event);
                    return;
                }
                let event = match self.frozen_until(&event) {
                    // In the order in which they came.
                    Some(until) => {
                        self.push(until, event);
                        continue;
                    }
                    None => event,
                };
                let machine = match &event {
                    Event::ToWorker { machine, .. }
                    | Event::Report { machine }
                    | Event::ReportAnswered { machine, .. }
                    | Event::ReportTimedOut { machine, .. }
                    | Event::WorkerStep { machine } => Some(*machine),
                    _ => None,
                };
                self.handle(event);
                self.look_around(machine);
            }
        }
        self.now = self.now.max(end);
    }

    /// The end of the standstill of the controller that an event is for.
    fn frozen_until(&self, event: &Event) -> Option<Micros> {
        let node = match event {
            Event::Tick(node, _)
            | Event::ToNode { node, .. }
            | Event::ReportArrives { node, .. }
            | Event::Frame { to: node, .. } => *node,
            _ => return None,
        };
        self.frozen
            .get(node)
            .copied()
            .filter(|until| self.now < *until)
    }

    /// The rules are about what is on machines: they are looked at whenever that
    /// changed, and each second for what only time breaks.
    fn look_around(&mut self, machine: Option<u64>) {
        let leader = self.leader();
        if leader.is_some() || self.led == 0 {
            self.led = self.now;
        }
        if leader.is_some() && leader != self.led_by {
            self.moves += u64::from(self.led_by.is_some());
            self.led_by = leader;
        }
        self.leaderless = self.leaderless.max(self.now - self.led);
        machine.into_iter().for_each(|m| self.refresh(m));
        if self.now >= self.checked + SECOND {
            self.checked = self.now;
            self.look_at_the_clock();
        }
    }

    /// Where `run_until` stopped for the script, the line that is due.
    pub fn due_script(&mut self) -> Option<ScriptStep> {
        let Reverse((at, seq)) = self.queue.peek().copied()?;
        let script = matches!(
            self.events.get(&seq),
            Some(Event::Script(_) | Event::Armed(_))
        );
        if at > self.now || !script {
            return None;
        }
        self.queue.pop();
        match self.events.remove(&seq)? {
            Event::Script(line) => Some(ScriptStep::Line(line)),
            Event::Armed(words) => Some(ScriptStep::Armed(words)),
            _ => None,
        }
    }

    /// What waited for this happens.
    fn happened(&mut self, what: &str) {
        let (due, left): (Vec<_>, Vec<_>) = self.armed.drain(..).partition(|(w, ..)| w == what);
        self.armed = left;
        for (_, after, words) in due {
            self.push(self.now + after, Event::Armed(words));
        }
    }

    /// When a copy of what is sent now arrives, if one is made.
    fn copied(&mut self) -> Option<Micros> {
        copied(&mut self.rng, self.now, self.copies)
    }

    fn with_node(&mut self, i: usize, f: impl FnOnce(&mut Node, Time, WallMs, &mut Vec<Effect>)) {
        let (now, wall) = (Time::from_micros(self.now), self.wall());
        let mut out = Vec::new();
        if let Some(node) = self.nodes[i].as_mut() {
            f(node, now, wall, &mut out);
        }
        for o in out {
            self.fingerprinter.sent(self.now, i, &o);
            self.act(i, o);
        }
    }

    fn act(&mut self, i: usize, out: Effect) {
        let life = self.lives[i];
        let drawn_by = match &out {
            Effect::SendFrame { .. } => &mut self.frame_rng,
            _ => &mut self.rng,
        };
        let hop = drawn_by.gen_range(1_000..4_000);
        match out {
            Effect::Call {
                id,
                destination,
                method,
                path,
                body,
                timeout_s,
            } => {
                let deadline = self.now + (timeout_s * 1e6) as u64;
                self.push(
                    deadline,
                    Event::ToNode {
                        node: i,
                        life,
                        call: id,
                        reply: None,
                    },
                );
                let at = self.now + hop;
                match destination {
                    Destination::State => {
                        // What is slow is the way there or the way back.
                        let delay = self.state_delay();
                        let back = delay > 0 && self.rng.gen_bool(0.5);
                        let (there, slow) = if back { (0, delay) } else { (delay, 0) };
                        let Some(at) = self.passes(i, LinkEnd::State, at + there) else {
                            return;
                        };
                        let lost = path == "/commit" && self.rng.gen_bool(self.lose_replies);
                        let late = path == "/commit" && self.rng.gen_bool(self.late);
                        let at = if late {
                            at + self.rng.gen_range(1..20) * SECOND
                        } else {
                            at
                        };
                        let quiet = lost || late;
                        let to_state = |path, body, quiet, slow| Event::ToState {
                            node: i,
                            life,
                            call: id,
                            method,
                            path,
                            body,
                            quiet,
                            slow,
                        };
                        // Watches and reads change nothing, however often they come.
                        let changes = path == "/commit" || path.starts_with("/holds");
                        if let Some(again) = self.copied().filter(|_| changes) {
                            let (path, body) = (path.clone(), body.clone());
                            self.push(again, to_state(path, body, true, 0));
                        }
                        self.push(at, to_state(path, body, quiet, slow));
                    }
                    Destination::Cloud => {
                        if let Some(then) = self.passes(i, LinkEnd::Cloud, at) {
                            let late = then > at;
                            let call = id;
                            let again = self.copied();
                            if let Some(again) = again.filter(|_| method != Method::Get) {
                                let (path, body, late) = (path.clone(), body.clone(), true);
                                self.push(
                                    again,
                                    Event::ToCloud {
                                        node: i,
                                        life,
                                        call,
                                        method,
                                        path,
                                        body,
                                        late,
                                    },
                                );
                            }
                            self.push(
                                then + 50_000,
                                Event::ToCloud {
                                    node: i,
                                    life,
                                    call,
                                    method,
                                    path,
                                    body,
                                    late,
                                },
                            );
                        }
                    }
                    Destination::Node { .. } => {}
                    Destination::Worker(addr) => {
                        let machine = u64::from(addr.port()) - 10_000;
                        let zone = self.worker_zone(machine);
                        if let Some(at) = self.passes(i, LinkEnd::Worker(&zone), at) {
                            let call = id;
                            if let Some(again) = self.copied() {
                                let body = body.clone();
                                let e = Event::ToWorker {
                                    node: i,
                                    life,
                                    call,
                                    machine,
                                    body,
                                };
                                self.push(again, e);
                            }
                            self.push(
                                at,
                                Event::ToWorker {
                                    node: i,
                                    life,
                                    call,
                                    machine,
                                    body,
                                },
                            );
                        }
                    }
                }
            }
            Effect::Answer {
                to, status, body, ..
            } => match self.callers.remove(&(i, to.generation)) {
                Some(Requester::User {
                    job,
                    what,
                    since,
                    asked,
                    look,
                }) => self.user_answered(job, what, (since, asked), look, status, &body),
                Some(Requester::Operator(q)) => {
                    self.answers.insert(q.name, (status, decode(&body)));
                }
                Some(Requester::Worker { machine, serial }) => {
                    let zone = self.worker_zone(machine);
                    if let Some(at) = self.passes(i, LinkEnd::Worker(&zone), self.now + hop) {
                        let e = Event::ReportAnswered {
                            machine,
                            serial,
                            status,
                            body,
                        };
                        self.push(at, e);
                    }
                }
                None => {}
            },
            Effect::OperatorAnswer {
                to, status, body, ..
            } => {
                if let Some(Requester::Operator(q)) = self.callers.remove(&(i, to.generation)) {
                    if status == 503 && q.tries > 0 {
                        return self.ask_again(q);
                    }
                    let body = serde_json::from_slice(&body).unwrap_or_default();
                    self.answers.insert(q.name, (status, body));
                }
            }
            Effect::SendFrame { to: label, frame } => {
                for to in 0..self.nodes.len() {
                    let meant = label.as_ref().is_none_or(|l| self.settings[to].label == *l);
                    if to == i || !meant {
                        continue;
                    }
                    if let Some(at) = self.passes(i, LinkEnd::Peer(to), self.now + hop) {
                        let at = self.frame_arrives(i, to, at);
                        let life = self.lives[to];
                        self.push(
                            at,
                            Event::Frame {
                                to,
                                life,
                                body: frame.clone(),
                            },
                        );
                        // A copy comes even to a process that has begun since.
                        if let Some(again) = copied(&mut self.frame_rng, self.now, self.copies) {
                            let body = frame.clone();
                            self.push(
                                again,
                                Event::Frame {
                                    to,
                                    life: ANY_LIFE,
                                    body,
                                },
                            );
                        }
                    }
                }
            }
        }
    }

    pub fn request(&mut self, node: usize, method: Method, path: &str, body: Vec<u8>) -> u64 {
        self.next_request += 1;
        let id = RequestId {
            slot: 0,
            generation: self.next_request,
        };
        let req = Request {
            method,
            path: path.to_string(),
            body,
            close: false,
            authorization: None,
        };
        self.with_node(node, |n, now, wall, out| {
            n.on_request(now, wall, 0, id, req, out)
        });
        self.next_request
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(i, life) => {
                if self.lives[i] == life && self.nodes[i].is_some() {
                    self.with_node(i, |n, now, wall, out| n.on_tick(now, wall, out));
                    self.push(self.now + 25_000, Event::Tick(i, life));
                }
            }
            Event::ToState {
                node,
                life,
                call,
                method,
                path,
                body,
                quiet,
                slow,
            } => {
                let jobs = self.cut(node, "jobs") && path.contains("under=j/");
                let teams = self.cut(node, "configuration") && path.contains("under=c/");
                let refused = jobs || teams || self.cut(node, "refused");
                let reply = if refused {
                    if path.starts_with("/watch") {
                        return;
                    }
                    Some((503, wire::encode(&json!({}))))
                } else {
                    self.state.handle(
                        self.now,
                        Caller {
                            connection: node,
                            generation: life,
                            call,
                        },
                        method,
                        &path,
                        &body,
                    )
                };
                if let Some((status, body)) = reply {
                    if !quiet {
                        let hop = self.rng.gen_range(1_000..4_000) + slow;
                        if let Some(at) = self.passes(node, LinkEnd::State, self.now + hop) {
                            let reply = Some((status, body));
                            self.push(
                                at,
                                Event::ToNode {
                                    node,
                                    life,
                                    call,
                                    reply,
                                },
                            );
                        }
                    }
                }
                if self.protocol_faults.forgets_jobs {
                    self.state.forget_jobs(self.now);
                }
                let base = (
                    self.settings[0].params.teams.as_slice(),
                    self.settings.len(),
                );
                self.limits.look(self.now, &self.state, base);
                let block = self.state.get("block/0");
                if block != self.block.as_ref() {
                    self.block = block.cloned();
                    self.happened("take");
                    self.deliver_kept();
                }
                self.watch_at(self.now);
            }
            Event::Watch => {
                if self.next_watch > self.now {
                    return;
                }
                self.next_watch = Micros::MAX;
                let cut = |what| (0..self.nodes.len()).map(|i| self.cut(i, what)).collect();
                let (all, jobs): (Vec<bool>, Vec<bool>) = (cut("refused"), cut("jobs"));
                let teams: Vec<bool> = cut("configuration");
                let held = |i: usize, under: &str| {
                    all[i] || jobs[i] && under == "j/" || teams[i] && under == "c/"
                };
                let ready = self.state.ready_watches(self.now, held);
                for (caller, body) in ready.answers {
                    let Caller {
                        connection: node,
                        generation: life,
                        call,
                    } = caller;
                    if let Some(at) = self.passes(node, LinkEnd::State, self.now + 2_000) {
                        let reply = Some((200, body));
                        self.push(
                            at,
                            Event::ToNode {
                                node,
                                life,
                                call,
                                reply,
                            },
                        );
                    }
                }
                if let Some(next) = ready.next_due {
                    self.watch_at(next.max(self.now + 1_000));
                }
            }
            Event::ToCloud {
                node,
                life,
                call,
                method,
                path,
                body,
                late,
            } => {
                let reply = self
                    .cloud
                    .handle(self.now, method, &path, &body, &mut self.rng);
                for m in self.cloud.take_created() {
                    self.push(m.1, Event::Report { machine: m.0 });
                }
                for gone in self.cloud.take_gone() {
                    self.given_back(node, gone, late);
                }
                let part = self.fault_injection.lose_cloud;
                let lost = part > 0.0 && method != Method::Get && self.rng.gen_bool(part);
                if let Some(at) = self
                    .passes(node, LinkEnd::Cloud, self.now + 50_000)
                    .filter(|_| !lost)
                {
                    self.push(
                        at,
                        Event::ToNode {
                            node,
                            life,
                            call,
                            reply: Some(reply),
                        },
                    );
                }
            }
            Event::ToWorker {
                node,
                life,
                call,
                machine,
                body,
            } => {
                let reached = |w: &&mut Worker| {
                    self.now >= w.faults.cut_until.max(w.faults.inbound_cut_until)
                };
                let Some(w) = self.workers.get_mut(&machine).filter(reached) else {
                    return;
                };
                let environment = Environment {
                    now: self.now,
                    jobs: &self.jobs,
                    controllers: self.nodes.len(),
                    protocol_faults: self.protocol_faults,
                };
                let reply = w.on_direct_command(&body, &environment);
                let at = self.now + 3_000;
                self.push(
                    at,
                    Event::ToNode {
                        node,
                        life,
                        call,
                        reply: Some(reply),
                    },
                );
                self.push(self.now + 500_000, Event::Report { machine });
            }
            Event::ToNode {
                node,
                life,
                call,
                reply,
            } => {
                if self.lives[node] == life {
                    self.with_node(node, |n, now, wall, out| {
                        n.on_reply(now, wall, call, reply, out)
                    });
                }
            }
            Event::Report { machine } => self.report(machine),
            Event::ReportArrives {
                machine,
                node,
                serial,
                body,
            } => {
                if self.nodes[node].is_none() {
                    self.push(self.now + 2_000, Event::ReportTimedOut { machine, serial });
                    return;
                }
                let id = self.next_request + 1;
                self.callers
                    .insert((node, id), Requester::Worker { machine, serial });
                self.request(node, Method::Post, "/hello", body);
            }
            Event::ReportAnswered {
                machine,
                serial,
                status,
                body,
            } => {
                let protocol_faults = self.protocol_faults;
                let n = self.nodes.len();
                let Some(w) = self.workers.get_mut(&machine) else {
                    return;
                };
                if self.now < w.faults.cut_until.max(w.faults.inbound_cut_until) {
                    return;
                }
                let before = w.fencing_token();
                let answer = ReportAnswer {
                    serial,
                    status,
                    body: &body,
                };
                let environment = Environment {
                    now: self.now,
                    jobs: &self.jobs,
                    controllers: n,
                    protocol_faults,
                };
                let again = w.on_answer(answer, &environment);
                let heard = w.fencing_token() > before;
                if let Some(at) = again {
                    self.push(at, Event::Report { machine });
                }
                self.push(self.now, Event::WorkerStep { machine });
                if heard {
                    self.happened("heard");
                }
            }
            Event::ReportTimedOut { machine, serial } => {
                let n = self.nodes.len();
                if let Some(w) = self.workers.get_mut(&machine) {
                    if let Some(at) = w.on_timeout(self.now, serial, n) {
                        self.push(at, Event::Report { machine });
                    }
                }
            }
            Event::WorkerStep { machine } => {
                if let Some(w) = self.workers.get_mut(&machine) {
                    let changed = w.step(self.now, &self.jobs);
                    if let Some(next) = w.next_step(self.now) {
                        self.push(next, Event::WorkerStep { machine });
                    }
                    if changed {
                        self.push(self.now + 250_000, Event::Report { machine });
                    }
                }
            }
            Event::UserSends { job, what, since } => self.user_sends(job, what, since),
            Event::UserLooks { job, what, node } => {
                if self.nodes[node].is_some() && self.told.get(&job).is_some_and(|t| t.accepted) {
                    self.ask(node, job, what, self.now, true);
                }
            }
            Event::UserGivesUp { request } => {
                let key = self.callers.keys().find(|(_, r)| *r == request).copied();
                if let Some(Requester::User {
                    job,
                    what,
                    since,
                    look,
                    ..
                }) = key.and_then(|k| self.callers.remove(&k))
                {
                    if look {
                        return;
                    }
                    self.unanswered += 1;
                    self.retry(job, what, since, 1.0);
                }
            }
            Event::Frame { to, life, body } => {
                let mut buf = body;
                let there = life == ANY_LIFE || self.lives[to] == life;
                if let (Ok(Some(frame)), true) = (peers::take_frame(&mut buf), there) {
                    self.with_node(to, |n, now, wall, out| n.on_frame(now, wall, frame, out));
                }
            }
            Event::OperatorAsks(q) => self.operator_asks(q),
            Event::Crash(i) => self.crash(i),
            Event::Start(i) => self.start(i),
            Event::Script(_) | Event::Armed(_) => {}
        }
    }

    fn report(&mut self, machine: u64) {
        if !self.workers.contains_key(&machine) {
            let Some(m) = self.cloud.booted(self.now, machine) else {
                return;
            };
            let worker = Worker::new(machine, m, &self.settings[0].params.workers, self.now);
            self.workers.insert(machine, worker);
        }
        let protocol_faults = self.protocol_faults;
        let count = self.nodes.len();
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        let Some(report) = w.next_report(self.now, protocol_faults) else {
            return;
        };
        let (node, serial, body) = (report.controller % count, report.serial, report.body);
        let cut = self.now < w.faults.cut_until.max(w.faults.outbound_cut_until);
        let every = (w.report_s * 1e6) as u64;
        self.push(self.now + every, Event::Report { machine });
        self.push(
            self.now + 4 * SECOND,
            Event::ReportTimedOut { machine, serial },
        );
        self.push(self.now, Event::WorkerStep { machine });
        if !cut {
            let zone = self.worker_zone(machine);
            if let Some(at) = self.passes(node, LinkEnd::Worker(&zone), self.now + 2_000) {
                let body = wire::encode(&body);
                self.keep_report(machine, &body);
                if let Some(again) = self.copied() {
                    self.push(again, Event::copy(machine, node, body.clone()));
                }
                self.push(
                    at,
                    Event::ReportArrives {
                        machine,
                        node,
                        serial,
                        body,
                    },
                );
            }
        }
    }

    /// Looks at the watches then, or before: one event at a time, or each request
    /// would add another that comes again for ever.
    pub fn watch_at(&mut self, at: Micros) {
        if at < self.next_watch {
            self.next_watch = at;
            self.push(at, Event::Watch);
        }
    }

    /// How much longer the state service takes now, in microseconds.
    fn state_delay(&self) -> Micros {
        match self.state_slow {
            (factor, until) if self.now < until => (factor * 3_000.0) as Micros,
            _ => 0,
        }
    }

    /// The cloud takes a machine back since a controller asked for it.
    fn given_back(&mut self, node: usize, machine: u64, late: bool) {
        let Some(w) = self.lose(machine) else { return };
        // One that hung beyond the limit of silence is given back with cause, also
        // when it wakes while the call is on its way: until a controller has
        // answered it again, nobody can know. Whoever does not within a lease has
        // given a healthy machine away.
        let lease = (self.settings[0].params.workers.lease_s * 1e6) as Micros;
        let woken =
            self.now >= w.faults.hang_until + lease || w.answered_since(w.faults.hang_until);
        let ill = (w.faults.hang_until > 0 && !woken)
            || self.now < w.faults.cut_until
            || self.now < w.faults.inbound_cut_until.max(w.faults.outbound_cut_until) + lease
            || w.faults.tasks_fail
            || w.faults.slowdown > 1.0
            || w.faults.reclaim_at.is_some();
        self.losses.given_back_ill += u64::from(ill && self.now >= w.faults.hang_until);
        let busy = w.running().count() as u64;
        let heard = self.passes(node, LinkEnd::Worker(&w.zone), self.now);
        let cut = heard.is_none_or(|at| at > self.now);
        // Nothing ran on it and nobody needed it: that costs nothing.
        let idle = busy == 0 && self.why_returned(node, machine).as_deref() == Some("idle");
        if !ill && !late && !idle && (busy > 0 || cut) {
            self.losses.healthy_returned += 1;
            self.losses.unexplained += busy;
        }
    }

    /// Why a controller says that it gave a machine back.
    fn why_returned(&self, node: usize, machine: u64) -> Option<String> {
        let scheduler = self.nodes[node].as_ref()?.scheduler()?;
        let name = format!("n-{machine:06}");
        let (decisions, _) = scheduler.event_log.after(0, usize::MAX);
        decisions.into_iter().rev().find_map(|d| match d.what {
            Decided::Returned { machine, why } if machine == name => Some(why),
            _ => None,
        })
    }

    /// The machine stops with all that is on it; the cloud notices later.
    pub fn die(&mut self, machine: u64) {
        self.lose(machine);
        if let Some(h) = self.cloud.instances.get_mut(&machine) {
            h.failed_at = Some(self.now + 30 * SECOND);
        }
    }

    /// How many machines with their worker up are in a zone, or anywhere.
    pub fn up(&self, zone: Option<&str>) -> u64 {
        self.workers
            .values()
            .filter(|w| zone.is_none_or(|z| z == w.zone))
            .count() as u64
    }

    /// All troubles end: links and services are there, all controllers run.
    pub fn heal(&mut self) {
        let now = self.now;
        self.cuts.values_mut().for_each(|c| c.0 = c.0.min(now));
        self.zone_cuts.values_mut().for_each(|c| c.0 = c.0.min(now));
        self.frozen.iter_mut().for_each(|f| *f = (*f).min(now));
        (self.lose_replies, self.late) = (0.0, 0.0);
        self.fault_injection = FaultInjection::default();
        self.state_slow = (1.0, 0);
        self.copies.2 = self.copies.2.min(now);
        for w in self.workers.values_mut() {
            w.faults.inbound_cut_until = w.faults.inbound_cut_until.min(now);
            w.faults.outbound_cut_until = w.faults.outbound_cut_until.min(now);
        }
        // An outage that is cut short gives the leases their full time from now on, not
        // from when it was to end: nobody could take a lead that was left for a minute.
        if self.state.down_until > now {
            self.state.outage(now);
        }
        self.cloud.down_until = self.cloud.down_until.min(now);
        self.cloud.capacity_fraction = 1.0;
        (0..self.settings.len()).for_each(|i| self.start(i));
        self.healed = Some(now);
        // Users may ask at any later time, also about what is over.
        let accepted: Vec<String> = self
            .told
            .iter()
            .filter(|(_, t)| t.accepted)
            .map(|(id, _)| id.clone())
            .collect();
        for job in accepted {
            let at = now + self.rng.gen_range(0..LATER_S * SECOND);
            self.push(
                at,
                Event::UserSends {
                    job,
                    what: UserRequest::Poll,
                    since: at,
                },
            );
        }
    }
}
