//! One controller: the slices put together.
//!
//! Events and the time go in, [`Out`] messages come out. Nothing here touches
//! a socket or a clock, so tests run whole clusters in simulated time.

use crate::calls::Tag;
use crate::chronicle::Chronicle;
use crate::configuration::Configuration;
use crate::desk::{Desk, Limits};
use crate::directives::Directives;
use crate::faults::{broken, Faults};
use crate::fleet::{Fleet, Senses, WORD_S};
use crate::intake::{self, Context, Intake};
use crate::jobs::{JobBook, JobSpec};
use crate::leader::{Leader, Standing};
use crate::ledger::{Ledger, Reply};
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::placement::{Order, Placement, Report, Verdict};
use beamhinge_ageing::Policy;
use beamhinge_operators::auth::{Guard, Key};
use beamhinge_operators::messages::What;
use beamhinge_standby::{turn_after, FailureDetector, Observer, HEARTBEAT_S};
use beamhinge_suspicion::{Hearsay, Presence, Stall, Visitors, Work};
use beamhinge_vocab::http::{Method, Request};
use beamhinge_vocab::messages::{Counts, Dest, Out, Service};
use beamhinge_vocab::peers::{encode, Frame};
use beamhinge_vocab::settings::{Operator, Settings};
use beamhinge_vocab::types::{CallId, JobId, MachineId, RequestId, Time, Token, WallMs};
use beamhinge_vocab::wire;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

#[derive(Serialize)]
struct WorkerAnswer {
    baton: u64,
    orders: Vec<Order>,
}

#[derive(Serialize)]
struct Elsewhere<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    foreman: Option<&'a str>,
}

#[derive(Serialize)]
struct Direct {
    baton: u64,
    tenure: u64,
    orders: Vec<Order>,
}

struct Own<'a>(Option<&'a Placement>);

impl Context for Own<'_> {
    fn counts(&self, id: JobId) -> Option<Counts> {
        self.0.and_then(|p| p.counts(id))
    }
}

/// Nonces that are remembered: each is kept for twice the allowed difference
/// of clocks, so this bounds the rate of signed requests.
const MOST_NONCES: usize = 8_192;

pub struct Node {
    settings: Settings,
    operator: Operator,
    ledger: Ledger<Tag>,
    book: JobBook,
    intake: Intake,
    leader: Leader,
    place: Option<Placement>,
    fleet: Fleet,
    peers: Peers,
    next_call: u64,
    /// Silent machines that were asked directly, and when.
    asked: BTreeMap<MachineId, Time>,
    /// Workers we told of our token directly, and when.
    nudged: BTreeMap<MachineId, Time>,
    nudges: BTreeMap<CallId, MachineId>,
    started: Time,
    stepped_back: Option<Time>,
    looked: Time,
    presence: Presence,
    /// Machines that tried us though we do not hold them.
    visitors: Visitors,
    told_visitors: Time,
    /// What peers say they hear, for when we hold the block.
    elsewhere: Hearsay,
    /// Watching over the holder, while we are none.
    holder_detector: FailureDetector,
    /// When we, as the holder, last told our token to our peers.
    heartbeat_sent: Time,
    stall: Stall,
    /// Who was found stuck as a holder, and when.
    stuck: BTreeMap<String, Time>,
    directives: Directives,
    configuration: Configuration,
    /// None where no operators' address is set.
    desk: Option<Desk>,
    metrics: Metrics,
    measured: Time,
    /// Time of day at the last event.
    wall: WallMs,
    faults: Faults,
}

mod operators;

impl Node {
    /// `keys`: who may use the operators' door; none on loopback.
    pub fn new(
        settings: Settings,
        operator: Operator,
        keys: Vec<Key>,
        nonce: u64,
        now: Time,
    ) -> Node {
        let door = operator.door.as_ref();
        let desk = door.map(|d| {
            let guard = Guard::new(keys, format!("{nonce:x}"), d.clock_s, MOST_NONCES);
            Desk::new(guard, Limits { waiting: d.waiting, rps: d.rps })
        });
        let mut ledger = Ledger::new(&settings);
        ledger.set_share(follower_share(&settings), 1.0);
        Node {
            ledger,
            book: JobBook::default(),
            intake: Intake::default(),
            leader: Leader::new(&settings, nonce),
            place: None,
            fleet: Fleet::new(&settings),
            peers: Peers::default(),
            next_call: 0,
            nudged: BTreeMap::new(),
            asked: BTreeMap::new(),
            nudges: BTreeMap::new(),
            started: now,
            stepped_back: None,
            looked: Time::default(),
            presence: Presence::new(1.0_f64.max(settings.params.workers.report_s * 0.4)),
            visitors: Visitors::default(),
            told_visitors: Time::default(),
            elsewhere: Hearsay::default(),
            holder_detector: FailureDetector::default(),
            heartbeat_sent: Time::default(),
            stall: Stall::new(stuck_after_s(&settings)),
            stuck: BTreeMap::new(),
            directives: Directives::default(),
            configuration: Configuration::new(&settings, operator.configuration, nonce),
            metrics: Metrics::new(desk.is_some()),
            desk,
            measured: Time::default(),
            wall: WallMs::default(),
            faults: Faults::default(),
            settings,
            operator,
        }
    }

    /// Puts faults of old back; for tests that must find them.
    #[cfg(feature = "faults")]
    pub fn put_back(&mut self, faults: Faults) {
        self.faults = faults;
        self.fleet.put_back(faults);
        self.leader.faults = faults;
        self.intake.faults = faults;
        self.configuration.half_applied = faults.half_applied;
    }

    pub fn is_holder(&self) -> bool {
        self.place.is_some()
    }

    pub fn placement(&self) -> Option<&Placement> {
        self.place.as_ref()
    }

    // ---- requests of users and workers ----

    fn take_request(
        &mut self,
        now: Time,
        wall: WallMs,
        id: RequestId,
        req: Request,
        out: &mut Vec<Out>,
    ) {
        let path = req.path.split('?').next().unwrap_or("");
        let method = req.method;
        let _span = tracing::debug_span!("request", route = users_route(method, path)).entered();
        let wrong = |out: &mut Vec<Out>| refuse(out, id, 405, "method not allowed");
        self.metrics.asked(now, id, users_route(method, path));
        match path {
            "/up" if method == Method::Get => self.up(now, id, out),
            "/hello" if method == Method::Post => self.hello(now, id, &req.body, out),
            "/api/jobs" if method == Method::Post => self.submit(now, wall, id, &req.body, out),
            "/up" | "/hello" | "/api/jobs" => wrong(out),
            _ => match path.strip_prefix("/api/jobs/") {
                None => refuse(out, id, 404, "no such path"),
                Some(rest) => match (rest.strip_suffix("/cancel"), method) {
                    (Some(job), Method::Post) => match JobId::parse(job) {
                        Some(job) => self.intake.cancel(now, id, job, &self.book, out),
                        None => refuse(out, id, 404, "no such job"),
                    },
                    (None, Method::Get) => match JobId::parse(rest) {
                        Some(job) => self.intake.poll(now, id, job, &self.book, out),
                        None => refuse(out, id, 404, "no such job"),
                    },
                    _ if rest.contains('/') && !rest.ends_with("/cancel") => {
                        refuse(out, id, 404, "no such path")
                    }
                    _ => wrong(out),
                },
            },
        }
        self.run(now, wall, out);
    }

    fn up(&mut self, now: Time, id: RequestId, out: &mut Vec<Out>) {
        // In an outage of the state service all nodes are equally poor, and
        // stepping aside would only prolong it for the users afterwards. But
        // where others still reach it, they serve better than we can.
        let age = self.ledger_age(now);
        if self.drained() && self.peers.successor(now) {
            refuse(out, id, 503, "operators have drained this controller");
        } else if self.stall.stuck_s(now).is_some() && self.peers.others_reach_ledger(now) {
            refuse(out, id, 503, "this controller is stuck");
        } else if age > 2.5 && (self.peers.others_reach_ledger(now) || self.cut_off(now))
            || !self.book.loaded() && now.since(self.started) < 5.0
        {
            refuse(out, id, 503, "the state service cannot be reached from here");
        } else {
            out.push(Out::Answer {
                to: id,
                status: 200,
                retry_after: None,
                body: wire::encode(&Elsewhere { foreman: None }),
            });
        }
    }

    /// Neither the state service nor any peer is heard from here: it is more likely
    /// that we are cut off than that all of them are gone. Users who stay at such a
    /// controller are told nothing for as long as that lasts. A service that refuses is
    /// heard: in an outage in which connections between controllers were refused as
    /// well, all said so of themselves, and the load balancer was left with none, for
    /// longer than either lasted.
    fn cut_off(&self, now: Time) -> bool {
        let refused = self.ledger.last_answer().is_some_and(|t| now.since(t) < 2.5);
        let refused = refused && !broken!(self.faults, refused_is_cut);
        !refused
            && !self.settings.members.is_empty()
            && now.since(self.started) > 5.0
            && self.peers.silent_s(now).is_none_or(|s| s > 2.5)
    }

    /// Operators want this controller out of the way.
    fn drained(&self) -> bool {
        self.directives.standing().node_drained(&self.settings.label)
    }

    fn ledger_age(&self, now: Time) -> f64 {
        self.ledger.last_ok().map_or(1e6, |t| now.since(t))
    }

    fn submit(&mut self, now: Time, wall: WallMs, id: RequestId, body: &[u8], out: &mut Vec<Out>) {
        if body.len() > wire::BODY_LIMIT
            || wire::decode::<ciborium::Value>(body)
                .is_ok_and(|v| wire::json_len(&v) > wire::BODY_LIMIT)
        {
            return refuse(out, id, 413, "the body is too large");
        }
        match intake::read_submission(body, wall) {
            Err(why) => refuse(out, id, 400, why),
            Ok((job, spec)) => {
                let verdict = self.judge(&spec);
                self.intake.submit(now, id, (job, spec), verdict, &self.book, out);
            }
        }
    }

    /// Whether a job can ever run here, by the teams that count now. One who does not
    /// know them yet does not decide: a team may have been added.
    fn judge(&self, spec: &JobSpec) -> intake::Verdict {
        if !self.configuration.ready() {
            return intake::Verdict::Undecided;
        }
        let team = self.configuration.effective().team(&spec.team);
        intake::judge(spec, team, &self.settings, self.fleet.shapes())
    }

    fn hello(&mut self, now: Time, id: RequestId, body: &[u8], out: &mut Vec<Out>) {
        let Ok(report) = wire::decode::<Report>(body) else {
            return refuse(out, id, 400, "the report has an unknown form");
        };
        // Guard 1: a worker that has seen a higher token answers to somebody
        // else; we are no longer entitled.
        let standing = self.leader.claims(now, report.baton);
        self.on_standing(now, standing);
        if self.leader.token().is_some_and(|t| report.baton > t.0) {
            return refuse(out, id, 503, "a token that was never given");
        }
        let entitled = self.entitled(now);
        match (&mut self.place, entitled) {
            (Some(place), true) => {
                let token = place.token();
                let orders = place.report(now, &report, self.fleet.shapes(), &self.book);
                if !orders.is_empty() {
                    tracing::debug!("orders to {}: {orders:?}", report.host);
                }
                let body = wire::encode(&WorkerAnswer { baton: token.0, orders });
                out.push(Out::Answer { to: id, status: 200, retry_after: None, body });
            }
            // A holder out of touch names nobody: it may still be the holder.
            (Some(_), false) => refuse(out, id, 503, "out of touch with the state service"),
            (None, _) => {
                let machine = MachineId::parse(&report.host);
                let deaf = machine.is_some_and(|m| self.visitors.came(now, m, DEAF_S));
                let seen = Token(report.baton);
                machine.into_iter().for_each(|m| self.holder_detector.reported_here(now, m, seen));
                let holder = self.peers.holder(now).or(self.leader.other_leader());
                // Sent to the holder a moment ago and back again: it is not
                // answered there, and would wait for its time-out once more. Nor is
                // it named where nothing is heard of it any more.
                let foreman = holder.filter(|_| !deaf && !self.holder_detector.is_silent(now));
                if let (Some(m), Some(_)) = (machine, foreman) {
                    self.visitors.sent_on(m);
                }
                out.push(Out::Answer {
                    to: id,
                    status: 421,
                    retry_after: None,
                    body: wire::encode(&Elsewhere { foreman }),
                });
            }
        }
    }

    /// Guard 4: H after the last exchange that showed us both the jobs and our
    /// hold on the block, we stop answering workers.
    fn entitled(&self, now: Time) -> bool {
        let limit = self.settings.serving_deadline_s();
        if broken!(self.faults, no_h) {
            return self.place.is_some();
        }
        if broken!(self.faults, h_by_hold) {
            return self.place.is_some() && now.since(self.leader.checked()) < limit;
        }
        let seen = self.book.fresh().is_some_and(|jobs| now.since(jobs) < limit);
        self.place.is_some() && seen && now.since(self.leader.checked()) < limit
    }

    /// Sure enough to hold the block to rent and give back: confirmed within the
    /// time in which nobody else can have taken it unnoticed for long.
    fn acting(&self, now: Time) -> bool {
        self.place.is_some()
            && now.since(self.leader.checked()) < self.settings.leader_lease_s() + 2.0
    }

    // ---- replies and frames ----

    fn take_reply(
        &mut self,
        now: Time,
        wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        out: &mut Vec<Out>,
    ) {
        self.metrics.replied(now, id, result.is_some());
        let _span = tracing::debug_span!("reply", call = id.0).entered();
        if self.ledger.is_ours(id) {
            if let Some(reply) = self.ledger.on_reply(id, result) {
                self.route(now, reply, out);
            }
        } else if self.fleet.is_ours(id) {
            self.fleet.on_cloud(now, id, result, self.place.as_mut());
        } else if self.nudges.remove(&id).is_some() {
            // Executed, or refused for its session: either way the body is a report.
            let body = result.filter(|(status, _)| matches!(status, 200 | 409)).map(|(_, b)| b);
            if let Some(report) = body.and_then(|b| wire::decode::<Report>(&b).ok()) {
                self.direct_answer(now, &report);
            }
        }
        self.run(now, wall, out);
    }

    /// What a worker says in the answer to a direct command.
    fn direct_answer(&mut self, now: Time, report: &Report) {
        // Guard 1: as with its reports.
        let standing = self.leader.claims(now, report.baton);
        self.on_standing(now, standing);
        if let Some(place) = &mut self.place {
            place.direct_answer(now, report, &self.book);
        }
    }

    fn route(&mut self, now: Time, reply: Reply<Tag>, out: &mut Vec<Out>) {
        match reply.tag.clone() {
            Tag::Directives(call) => {
                self.directives.on_reply(now, call, reply);
                self.spread_directives(now);
            }
            Tag::Direct(serial) => {
                let mut told = Vec::new();
                self.directives.on_written(now, serial, reply, &mut told);
                self.answer_changes(told, out);
            }
            Tag::Configuration(call) => {
                self.configuration.on_reply(now, call, reply);
                self.spread_teams(now);
            }
            Tag::ConfigurationMember => self.configuration.on_registered(),
            Tag::ConfigurationChange(serial) => {
                let mut told = Vec::new();
                self.configuration.on_changed(now, serial, reply, &mut told);
                self.answer_configured(told, out);
            }
            Tag::Job(call) => {
                let freshness = self.book.on_reply(now, call, reply);
                self.spread_changes(now);
                self.intake.on_fresh(now, freshness, &self.book, &Own(self.place.as_ref()), out);
            }
            Tag::Lead(call) => {
                let standing = self.leader.on_reply(now, call, reply, &mut self.ledger);
                self.on_standing(now, standing);
            }
            Tag::Place(call) => {
                let Some(place) = &mut self.place else { return };
                match place.on_reply(now, call, reply, &mut self.book) {
                    Verdict::Fine => {}
                    Verdict::Confirmed(sent) => self.leader.confirmed(sent),
                    Verdict::RefreshJobs => self.book.want_refresh(),
                    Verdict::RefreshConfiguration => {
                        self.configuration.want_refresh();
                        self.book.want_refresh();
                    }
                    Verdict::Deposed => {
                        let standing = self.leader.deposed(now);
                        self.on_standing(now, standing);
                    }
                }
                self.spread_changes(now);
            }
            Tag::Intake(call) => {
                self.intake.on_reply(now, call, reply, &mut self.book, out);
                self.spread_changes(now);
            }
            Tag::Fleet(call) => self.fleet.on_ledger(now, call, reply),
        }
    }

    fn spread_changes(&mut self, now: Time) {
        let changed = self.book.take_changed();
        if let Some(place) = self.place.as_mut().filter(|p| p.loaded()) {
            for id in changed {
                place.sync_job(now, id, &self.book);
            }
        }
    }

    fn spread_directives(&mut self, now: Time) {
        if !self.directives.take_changed() {
            return;
        }
        let standing = self.directives.standing().clone();
        tracing::info!("{} drains and freezes stand", standing.len());
        if let Some(place) = &mut self.place {
            place.set_standing(now, standing, self.fleet.shapes());
        }
    }

    /// Teams that changed count for placements from here on.
    fn spread_teams(&mut self, now: Time) {
        if !self.configuration.take_changed() {
            return;
        }
        let effective = self.configuration.effective().clone();
        if let Some(place) = &mut self.place {
            place.set_teams(now, &effective);
        }
    }

    fn on_standing(&mut self, now: Time, standing: Standing) {
        match standing {
            Standing::Same => {}
            Standing::Lost => {
                self.place = None;
                self.fleet.end_term();
                self.ledger.set_share(follower_share(&self.settings), 1.0);
            }
            Standing::Took { token } => {
                let mut chronicle = Chronicle::new(self.desk.is_some());
                chronicle.at(self.wall);
                chronicle.note(|| What::Took { token: token.0 });
                // What stood when the lead was taken must be known before
                // anything is placed: a drained machine gets nothing new.
                self.directives.want_refresh();
                let standing = self.directives.standing().clone();
                self.metrics.took(now);
                let ageing = Policy::new(self.operator.ageing);
                let place = Placement::new(&self.settings, token, standing, chronicle, ageing, now);
                self.place = Some(place);
                if let Some(place) = &mut self.place {
                    place.faults = self.faults;
                }
                if self.configuration.is_on() {
                    self.configuration.want_refresh();
                    let effective = self.configuration.effective().clone();
                    if let Some(place) = &mut self.place {
                        place.set_teams(now, &effective);
                    }
                }
                self.fleet.begin_term(now, token, &self.operator, &self.settings);
                self.elsewhere = Hearsay::default();
                let long = stuck_after_s(&self.settings) * 6.0;
                let stuck = self.stuck.values().any(|at| now.since(*at) < long);
                if let (Some(place), true) = (&mut self.place, stuck) {
                    place.begin_small();
                }
                self.ledger.set_share(holder_share(&self.settings), HOLDER_ACCEPTS);
                self.nudged.clear();
                self.peers.sent = Time::default();
                self.heartbeat_sent = Time::default();
                self.book.want_refresh();
            }
        }
    }

    fn take_frame(&mut self, now: Time, frame: Frame, out: &mut Vec<Out>) {
        match frame {
            Frame::Pulse { label, ledger_age_ms, .. } => {
                self.peers.pulse(now, &label, ledger_age_ms as f64 / 1e3);
            }
            Frame::Ready { label, ready, drained } => {
                self.peers.ready(now, &label, ready, drained);
            }
            Frame::Ask { from, serial, query } => {
                self.asked_by_peer(now, from, serial, &query, out);
            }
            Frame::Told { serial, status, body } => {
                self.told_by_holder(serial, status, body, out);
            }
            Frame::Progress(rows) => {
                self.intake.shown = rows
                    .into_iter()
                    .filter_map(|(id, done, running)| {
                        Some((JobId::parse(&id)?, Counts { done, running }))
                    })
                    .collect();
            }
            Frame::Hears { machines, .. } => {
                let machines = machines.iter().filter_map(|m| MachineId::parse(m));
                self.elsewhere.told(now, machines);
            }
            Frame::Stuck { label } => {
                tracing::warn!("{label} was stuck as the holder");
                if self.settings.members.iter().any(|m| m.label == label) {
                    self.stuck.insert(label, now);
                }
            }
            Frame::Ended { jobs } => {
                let jobs = jobs.iter().take(Frame::MOST_NAMES).filter_map(|j| JobId::parse(j));
                self.intake.heard_ended(now, jobs);
            }
            Frame::Holds { label, token } => {
                if self.peers.token_of(&label) != Some(token) {
                    self.visitors.holder_changed();
                }
                self.holder_detector.heartbeat(now, &label, Token(token));
                self.peers.holds(now, &label, Token(token));
                // Guard 1: a higher token was taken, so ours is over.
                let standing = self.leader.claims(now, token);
                self.on_standing(now, standing);
            }
        }
    }

    // ---- time ----

    fn take_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Out>) {
        if now.since(self.heartbeat_sent) >= HEARTBEAT_S {
            self.heartbeat_sent = now;
            self.send_heartbeat(out);
        }
        // Every tick: half a second more would be a part of the time of an urgent start.
        self.consider_taking_early(now);
        if now.since(self.peers.sent) >= 1.0 {
            self.peers.sent = now;
            let age = self.ledger_age(now);
            let pulse = Frame::Pulse {
                label: self.settings.label.clone(),
                ledger_age_ms: (age * 1e3) as u64,
                holder: self.place.is_some(),
            };
            out.push(Out::Tell { to: None, frame: encode(&pulse) });
            // Only where it matters: the version before this one does not know
            // the frame, and breaks the link at it.
            if self.directives.standing().any_node() {
                let ready = Frame::Ready {
                    label: self.settings.label.clone(),
                    ready: self.book.loaded() && age < 3.0,
                    drained: self.drained(),
                };
                out.push(Out::Tell { to: None, frame: encode(&ready) });
            }
            if let Some(place) = self.place.as_ref().filter(|p| p.loaded()) {
                out.push(Out::Tell {
                    to: None,
                    frame: encode(&peers::progress(place.all_counts())),
                });
            }
        }
        if now.since(self.told_visitors) >= 0.5 {
            self.told_visitors = now;
            self.tell_visitors(now, out);
        }
        if now.since(self.looked) >= 0.5 {
            self.looked = now;
            self.elsewhere.forget(now, WORD_S);
            self.consider_stall(now, out);
            self.consider_stepping_back(now);
            self.ask_silent(now, out);
            self.obey_drain(now);
            if now.since(self.measured) >= 1.0 {
                self.measured = now;
                self.measure(now, wall);
            }
        }
        self.nudge(now, out);
        self.run(now, wall, out);
    }

    /// Tells our token to our peers: they watch over us by it. And a former holder that
    /// is cut off from the state service alone would answer its workers for seconds
    /// more; this ends its term.
    fn send_heartbeat(&self, out: &mut Vec<Out>) {
        let Some(place) = &self.place else { return };
        let label = self.settings.label.clone();
        let holds = Frame::Holds { label, token: place.token().0 };
        out.push(Out::Tell { to: None, frame: encode(&holds) });
    }

    /// Figures that are of a moment, taken each second.
    fn measure(&mut self, now: Time, wall: WallMs) {
        if self.desk.is_none() {
            return;
        }
        if let Some(place) = self.place.as_mut().filter(|p| p.loaded()) {
            self.metrics.placed(&place.chronicle.take_waits());
            let totals = place.totals(now, wall, self.fleet.shapes());
            self.metrics.waiting(totals.oldest_wait_s);
        }
    }

    /// A drained controller hands its lead to one that is ready, and takes none
    /// while there is such a one. Without one it goes on: that somebody leads
    /// matters more.
    fn obey_drain(&mut self, now: Time) {
        if !self.drained() || !self.peers.successor(now) {
            return;
        }
        if self.place.is_some() {
            self.leader.hand_over(now, &mut self.ledger);
        } else {
            self.leader.hold_back(now);
        }
    }

    /// Tells the holder who comes here instead: they live, whatever it thinks.
    fn tell_visitors(&mut self, now: Time, out: &mut Vec<Out>) {
        let machines = self.visitors.lately(now, WORD_S);
        if machines.is_empty() || self.place.is_some() {
            return;
        }
        let Some(holder) = self.peers.holder(now).or(self.leader.other_leader()) else { return };
        let machines = machines.iter().take(Frame::MOST_NAMES).map(|m| m.to_string()).collect();
        let hears = Frame::Hears { label: self.settings.label.clone(), machines };
        out.push(Out::Tell { to: Some(holder.to_string()), frame: encode(&hears) });
    }

    /// A holder that reaches the state service and yet commits nothing while
    /// there is work is stuck, however healthy it looks: another takes over, and
    /// begins with small steps.
    fn consider_stall(&mut self, now: Time, out: &mut Vec<Out>) {
        let Some(place) = &self.place else { return };
        let reached = self.ledger_age(now) < 2.5;
        let work = Work { waiting: place.has_work(), moved: place.moved(), reached };
        if !self.stall.look(now, work) {
            return;
        }
        tracing::error!(
            "stuck: the state service answers, there is work, and nothing was committed for {:.0} s",
            self.stall.stuck_s(now).unwrap_or_default()
        );
        self.stuck.insert(self.settings.label.clone(), now);
        if self.settings.members.is_empty() || !self.peers.others_reach_ledger(now) {
            if let Some(place) = &mut self.place {
                place.begin_small();
            }
            return;
        }
        self.stall.handed_over();
        let stuck = Frame::Stuck { label: self.settings.label.clone() };
        out.push(Out::Tell { to: None, frame: encode(&stuck) });
        let standing = self.leader.step_back(now, &mut self.ledger);
        self.on_standing(now, standing);
    }

    /// A leader that cannot hear most of its workers would watch their leases
    /// run out. If it is the one cut off, another controller hears them.
    fn consider_stepping_back(&mut self, now: Time) {
        let Some(place) = self.place.as_ref().filter(|p| p.loaded()) else { return };
        let w = &self.settings.params.workers;
        if self.settings.members.is_empty() || now.since(place.took()) < w.report_s * 3.0 + 3.0 {
            return;
        }
        // Nothing is concluded from our own absence.
        if self.presence.back_for(now).is_some_and(|s| s < w.report_s * 2.5 + 2.0) {
            return;
        }
        // A peer hears more than we do: the lead is of more use there, at once.
        let link = self.fleet.link();
        let lately = self.stepped_back.is_some_and(|at| now.since(at) < w.lease_s);
        if link.better_elsewhere() && !lately && self.peers.others_reach_ledger(now) {
            self.stepped_back = Some(now);
            tracing::warn!(
                "{} machines are heard here and {} only by peers; stepping back",
                link.heard,
                link.elsewhere
            );
            let standing = self.leader.step_back(now, &mut self.ledger);
            return self.on_standing(now, standing);
        }
        // Machines that are gone are silent to every controller. Who has stepped
        // back already, and leads again, stays until silence is proof; else the
        // lead goes round for ever and nothing is ever proven.
        let proof_s = self.settings.serving_deadline_s() + w.lease_s;
        if self.stepped_back.is_some_and(|at| now.since(at) < proof_s * 3.0 + 30.0) {
            return;
        }
        let (heard, silent) = place.hearing(now);
        if silent >= 2 && silent > heard * 2 {
            self.stepped_back = Some(now);
            // Nobody is known to hear more. Whoever does takes the lead at once;
            // until somebody has, we go on: a holder that stood back for nobody
            // left a whole fleet to its leases.
            tracing::info!("most workers are silent here; the lead is free for others");
            self.leader.hand_over(now, &mut self.ledger);
        }
    }

    /// The holder's heartbeats stay away and its workers come here: it is gone, and
    /// whose turn it is takes the lead before the lease has run out.
    fn consider_taking_early(&mut self, now: Time) {
        if self.place.is_some() || !self.holder_detector.is_silent(now) || self.drained() {
            return;
        }
        let members = self.settings.members.iter().map(|m| m.label.as_str());
        let holder = self.leader.other_leader().unwrap_or("").to_string();
        let own = Observer {
            ledger_age_s: self.ledger_age(now),
            // What changed since is read after the take, before anything is placed.
            warm: self.book.loaded(),
            back_for_s: self.presence.back_for(now),
            turn: turn_after(&holder, &self.settings.label, members),
        };
        if let Some(gone) = self.holder_detector.suspected(now, own).filter(|gone| *gone == holder)
        {
            tracing::info!("{gone} is not heard and its workers come here: taking the lead");
            self.leader.presume_gone(gone);
            self.leader.tick(now, &mut self.ledger);
        }
    }

    /// After a takeover, workers that still report elsewhere learn the new
    /// token directly: a report to us follows at once.
    fn nudge(&mut self, now: Time, out: &mut Vec<Out>) {
        let Some(place) = &self.place else { return };
        if now.since(place.took()) > 60.0
            || now.since(place.took()) < self.settings.params.workers.report_s * 1.5
        {
            return;
        }
        let token = place.token();
        let targets: Vec<(MachineId, SocketAddrV4)> = self
            .fleet
            .endpoints()
            .filter(|(id, _)| place.machine(*id).and_then(|m| m.heard).is_none())
            .filter(|(id, _)| self.nudged.get(id).is_none_or(|t| now.since(*t) > 3.0))
            .take(8)
            .collect();
        for (machine, endpoint) in targets {
            self.nudged.insert(machine, now);
            // The tenure is unknown: any number will do, since even a refusal
            // for the tenure is answered after the token was compared, and
            // there is nothing to execute.
            self.call_worker(machine, endpoint, token, 1, Vec::new(), out);
        }
    }

    fn call_worker(
        &mut self,
        machine: MachineId,
        endpoint: SocketAddrV4,
        token: Token,
        tenure: u64,
        orders: Vec<Order>,
        out: &mut Vec<Out>,
    ) {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.nudges.insert(id, machine);
        out.push(Out::Call {
            id,
            dest: Dest::Worker(endpoint),
            method: Method::Post,
            path: "/do".into(),
            body: wire::encode(&Direct { baton: token.0, tenure, orders }),
            timeout_s: 2.0,
        });
    }

    /// Calls workers that have something to stop.
    fn stop_tasks(&mut self, now: Time, out: &mut Vec<Out>) {
        // Guard 4: only while we are entitled to command.
        if !self.entitled(now) {
            return;
        }
        let Some(place) = &mut self.place else { return };
        let token = place.token();
        for (machine, endpoint, tenure, orders) in place.take_stops() {
            self.call_worker(machine, endpoint, token, tenure, orders, out);
        }
    }

    /// Asks machines that fell silent, a few at a time: those that reach no controller
    /// may still be reached, and say what has ended there.
    fn ask_silent(&mut self, now: Time, out: &mut Vec<Out>) {
        // Guard 4: only while we are entitled to command.
        if !self.entitled(now) || self.nudges.len() >= MOST_ASKED {
            return;
        }
        let Some(place) = &self.place else { return };
        let (token, room) = (place.token(), MOST_ASKED - self.nudges.len());
        let asked =
            |id: &MachineId| self.asked.get(id).is_some_and(|t| now.since(*t) < ASK_AGAIN_S);
        let silent = place.silent_with_tasks(now).filter(|(id, ..)| !asked(id));
        let silent: Vec<_> = silent.take(room).collect();
        self.asked.retain(|_, t| now.since(*t) < ASK_AGAIN_S);
        for (machine, endpoint, tenure, orders) in silent {
            self.asked.insert(machine, now);
            self.call_worker(machine, endpoint, token, tenure, orders, out);
        }
    }

    /// Something happens here: we are there, and may not have been.
    fn awake(&mut self, now: Time, wall: WallMs) {
        self.wall = wall;
        if let Some(away_s) = self.presence.at(now) {
            tracing::warn!("this controller stood still for {away_s:.1} s");
            if let Some(place) = &mut self.place {
                place.back_at = Some(now);
            }
        }
    }

    /// What a step sent out, as operators see it.
    fn finish(&mut self, now: Time, before: usize, out: &mut Vec<Out>) {
        let words = self.intake.take_words();
        if !words.is_empty() && !broken!(self.faults, no_word) {
            // Before the answers themselves.
            let jobs = words.iter().take(Frame::MOST_NAMES).map(|j| j.to_string()).collect();
            out.insert(before, Out::Tell { to: None, frame: encode(&Frame::Ended { jobs }) });
        }
        let new = &mut out[before..];
        self.translate(new);
        self.metrics.sent(now, new);
    }

    fn tick_configuration(&mut self, now: Time, wall: WallMs, out: &mut Vec<Out>) {
        let asked = self.desk.as_ref().is_some_and(Desk::asks_configuration);
        let permit = self.leader.permit();
        let mut told = Vec::new();
        self.configuration.tick(now, wall, (asked, permit), &mut self.ledger, &mut told);
        self.answer_configured(told, out);
    }

    /// All loops, until nothing more follows from what is known.
    fn run(&mut self, now: Time, wall: WallMs, out: &mut Vec<Out>) {
        for _ in 0..4 {
            self.leader.set_warm(self.book.loaded());
            self.leader.tick(now, &mut self.ledger);
            let follow = self.place.is_some();
            let asks = self.desk.as_ref().is_some_and(Desk::asks_book);
            self.book.tick(now, self.intake.asks() || asks, follow, &mut self.ledger);
            let mut told = Vec::new();
            let asks = self.desk.as_ref().is_some_and(Desk::asks_directives);
            self.directives.tick(now, wall, asks, &mut self.ledger, &mut told);
            self.answer_changes(told, out);
            self.tick_configuration(now, wall, out);
            self.intake.tick(now, &self.book, &mut self.ledger, out);
            let may_place = self.entitled(now);
            let directed = self.directives.fresh();
            if let Some(place) = &mut self.place {
                // Drains as of before the takeover would be forgotten else.
                let known = !self.configuration.is_on()
                    || self.configuration.fresh().is_some_and(|f| f >= place.took());
                let may_place = may_place && known && directed.is_some_and(|f| f >= place.took());
                let runs_until = self.configuration.runs_until();
                place.rest_on(self.configuration.condition(), runs_until);
                place.tick(
                    now,
                    wall,
                    may_place,
                    &self.settings,
                    self.fleet.shapes(),
                    &self.book,
                    &mut self.ledger,
                );
                if place.loaded() {
                    self.metrics.loaded(now);
                }
            }
            let senses = Senses {
                presence: &self.presence,
                elsewhere: &self.elsewhere,
                acting: self.acting(now),
            };
            self.fleet.tick(
                now,
                wall,
                &self.operator,
                &self.settings,
                &senses,
                self.place.as_mut(),
                &mut self.ledger,
            );
            self.stop_tasks(now, out);
            self.ledger.pump(now, &mut self.next_call, out);
            self.fleet.pump(now, &mut self.next_call, out);
            self.run_desk(now, wall, out);
            let refused = self.ledger.take_refused();
            if refused.is_empty() {
                break;
            }
            for reply in refused {
                self.route(now, reply, out);
            }
        }
    }
}

impl Service for Node {
    fn on_request(
        &mut self,
        now: Time,
        wall: WallMs,
        door: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Out>,
    ) {
        self.awake(now, wall);
        let before = out.len();
        if door == OPERATORS_DOOR {
            self.operators_request(now, wall, id, &request, out);
            self.run(now, wall, out);
        } else {
            self.take_request(now, wall, id, request, out);
        }
        self.finish(now, before, out);
    }

    fn on_reply(
        &mut self,
        now: Time,
        wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        out: &mut Vec<Out>,
    ) {
        self.awake(now, wall);
        let before = out.len();
        self.take_reply(now, wall, id, result, out);
        self.finish(now, before, out);
    }

    fn on_frame(&mut self, now: Time, wall: WallMs, frame: Frame, out: &mut Vec<Out>) {
        self.awake(now, wall);
        let before = out.len();
        self.take_frame(now, frame, out);
        self.finish(now, before, out);
    }

    fn on_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Out>) {
        self.awake(now, wall);
        let before = out.len();
        self.take_tick(now, wall, out);
        self.finish(now, before, out);
    }
}

/// Silent machines that are asked at the same time: each that is cut off holds a socket
/// until its time is up.
const MOST_ASKED: usize = 16;
/// How long until the same one is asked again, seconds.
const ASK_AGAIN_S: f64 = 3.0;

/// How long a machine that was sent to the holder must not come back.
const DEAF_S: f64 = 12.0;

/// How long a holder may commit nothing while there is work.
fn stuck_after_s(settings: &Settings) -> f64 {
    (settings.params.workers.lease_s * 0.5).clamp(5.0, 15.0)
}

/// The doors of a controller, by their place in the loop's list.
pub const OPERATORS_DOOR: usize = 1;

/// A route's name on the metrics page.
fn users_route(method: Method, path: &str) -> &'static str {
    match (method, path) {
        (_, "/up") => "up",
        (_, "/hello") => "report",
        (Method::Post, "/api/jobs") => "submit",
        (Method::Get, _) => "poll",
        (Method::Post, p) if p.ends_with("/cancel") => "cancel",
        _ => "other",
    }
}

fn refuse(out: &mut Vec<Out>, to: RequestId, status: u16, why: &str) {
    let retry_after = (status == 503).then_some(1);
    out.push(Out::Answer { to, status, retry_after, body: wire::problem(why) });
}

/// The state service's limits hold for all controllers together. The holder
/// does most of the work; a tenth is left for clocks and late arrivals.
fn holder_share(settings: &Settings) -> f64 {
    if settings.members.is_empty() {
        0.9
    } else {
        0.55
    }
}

/// Part of a holder's writes for taking jobs in, while placing and ends wait: each job
/// taken in costs it one more write when it ends, and its tasks a row.
const HOLDER_ACCEPTS: f64 = 0.3;

fn follower_share(settings: &Settings) -> f64 {
    0.35 / settings.members.len().max(1) as f64
}
