//! The handling of each message when it reaches its receiver.

use super::controllers::{RESET_DELAY, TICK};
use super::links::LinkEnd;
use super::{Requester, Sim};
use crate::event::{CallOrigin, CloudRequest, Event, Process, Report, StateRequest, Trigger};
use crate::fault_injection::LinkKind;
use beamhinge_core::http::Method;
use beamhinge_core::messages::Service;
use beamhinge_core::peers;
use beamhinge_core::wire;
use beamhinge_emulator::state::Caller;
use beamhinge_emulator::worker::{Environment, ReportAnswer};
use beamhinge_emulator::{Micros, Response};
use rand::Rng;
use serde_json::json;

/// Latency of the key-value store's answer to a watch.
const WATCH_ANSWER_TIME: Micros = 2_000;
/// Latency of a worker's answer.
const WORKER_ANSWER_TIME: Micros = 3_000;
/// Latency of the cloud's answer.
const CLOUD_ANSWER_TIME: Micros = 50_000;
/// A worker reports this long after a direct command.
const REPORT_AFTER_COMMAND: Micros = 500_000;
/// A worker reports this long after a change of its tasks.
const REPORT_AFTER_CHANGE: Micros = 250_000;
/// Shortest time between two checks of the key-value store's watches.
const MIN_WATCH_GAP: Micros = 1_000;
/// Prefix of the keys of jobs.
const JOBS: &str = "j/";
/// Prefix of the keys of the configuration.
const CONFIGURATION: &str = "c/";
/// The key that a new leader writes first.
const LEADERSHIP_BLOCK: &str = "block/0";

/// The caller in the form that the key-value store returns with an answer.
fn caller(origin: CallOrigin) -> Caller {
    Caller {
        connection: origin.process.controller,
        generation: origin.process.generation,
        call: origin.call,
    }
}

fn origin(caller: Caller) -> CallOrigin {
    CallOrigin {
        process: Process {
            controller: caller.connection,
            generation: caller.generation,
        },
        call: caller.call,
    }
}

impl Sim {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(process) => self.tick(process),
            Event::StateRequest(request) => self.on_state_request(&request),
            Event::CloudRequest(request) => self.on_cloud_request(&request),
            Event::WorkerCommand {
                origin,
                machine,
                body,
            } => self.on_worker_command(origin, machine, &body),
            Event::Reply { origin, reply } => self.on_reply(origin, reply),
            Event::Watches => self.on_watches(),
            Event::ReportDue { machine } => self.report(machine),
            Event::ReportArrives(report) => self.on_report(report),
            Event::ReportAnswered {
                machine,
                serial,
                status,
                body,
            } => self.on_report_answer(
                machine,
                ReportAnswer {
                    serial,
                    status,
                    body: &body,
                },
            ),
            Event::ReportTimedOut { machine, serial } => self.on_report_timeout(machine, serial),
            Event::WorkerStep { machine } => self.step_worker(machine),
            Event::UserSends {
                job,
                request,
                since,
            } => self.user_sends(job, request, since),
            Event::UserProbe {
                job,
                request,
                controller,
            } => self.user_probes(job, request, controller),
            Event::UserGivesUp { request } => self.user_gives_up(request),
            Event::Frame {
                to,
                generation,
                body,
            } => self.on_frame(to, generation, body),
            Event::OperatorSends(request) => self.operator_sends(request),
            Event::Crash(controller) => self.crash(controller),
            Event::Start(controller) => self.start(controller),
            Event::Script(_) => {}
        }
    }

    fn tick(&mut self, process: Process) {
        let controller = process.controller;
        if self.is_current(process) && self.controllers[controller].is_some() {
            self.with_node(controller, |node, now, wall, out| {
                node.on_tick(now, wall, out);
            });
            self.push(self.now + TICK, Event::Tick(process));
        }
    }

    fn on_state_request(&mut self, request: &StateRequest) {
        let controller = request.origin.process.controller;
        let refused_read = |link, prefix: &str| {
            self.is_cut(controller, link) && request.path.contains(&format!("under={prefix}"))
        };
        let refused = refused_read(LinkKind::Jobs, JOBS)
            || refused_read(LinkKind::Configuration, CONFIGURATION)
            || self.is_cut(controller, LinkKind::Refused);
        let reply = if refused {
            if request.path.starts_with("/watch") {
                return;
            }
            Some((503, wire::encode(&json!({}))))
        } else {
            self.state.handle(
                self.now,
                caller(request.origin),
                request.method,
                &request.path,
                &request.body,
            )
        };
        if let Some(reply) = reply.filter(|_| !request.answer_lost) {
            let hop = self.draw_hop() + request.answer_delay;
            self.reply(request.origin, LinkEnd::State, self.now + hop, reply);
        }
        self.after_state_change();
    }

    /// Handles changes that a request to the key-value store may have made.
    fn after_state_change(&mut self) {
        if self.protocol_faults.forgets_jobs {
            self.state.forget_jobs(self.now);
        }
        let (teams, count) = (&self.settings[0].params.teams, self.settings.len());
        let quotas = &mut self.checks.quotas;
        quotas.update(self.now, &self.state, teams, count);
        let block = self.state.get(LEADERSHIP_BLOCK);
        if block != self.leadership_block.as_ref() {
            self.leadership_block = block.cloned();
            self.trigger(Trigger::LeadershipAcquired);
            self.deliver_kept_reports();
        }
        self.watch_at(self.now);
    }

    /// Sends the answer to a call back over the controller's link.
    fn reply(&mut self, origin: CallOrigin, end: LinkEnd, at: Micros, reply: Response) {
        if let Some(at) = self.arrival_time(origin.process.controller, end, at) {
            let reply = Some(reply);
            self.push(at, Event::Reply { origin, reply });
        }
    }

    /// Answers the open watches of the key-value store that are due.
    fn on_watches(&mut self) {
        if self.next_watch > self.now {
            return;
        }
        self.next_watch = Micros::MAX;
        let cut = |link| -> Vec<bool> {
            let controllers = 0..self.controllers.len();
            controllers.map(|i| self.is_cut(i, link)).collect()
        };
        let (all, jobs) = (cut(LinkKind::Refused), cut(LinkKind::Jobs));
        let configuration = cut(LinkKind::Configuration);
        let withheld = |i: usize, prefix: &str| {
            all[i] || jobs[i] && prefix == JOBS || configuration[i] && prefix == CONFIGURATION
        };
        let ready = self.state.ready_watches(self.now, withheld);
        for (caller, body) in ready.answers {
            let at = self.now + WATCH_ANSWER_TIME;
            self.reply(origin(caller), LinkEnd::State, at, (200, body));
        }
        if let Some(next) = ready.next_due {
            self.watch_at(next.max(self.now + MIN_WATCH_GAP));
        }
    }

    /// Schedules a check of the watches at this time, unless one is due earlier. Only one such
    /// event is pending at a time: otherwise each request would add another that repeats
    /// without end.
    pub fn watch_at(&mut self, at: Micros) {
        if at < self.next_watch {
            self.next_watch = at;
            self.push(at, Event::Watches);
        }
    }

    fn on_cloud_request(&mut self, request: &CloudRequest) {
        let reply = self.cloud.handle(
            self.now,
            request.method,
            &request.path,
            &request.body,
            &mut self.rng,
        );
        for (machine, up) in self.cloud.take_created() {
            self.push(up, Event::ReportDue { machine });
        }
        for machine in self.cloud.take_released() {
            self.on_machine_returned(request.origin.process.controller, machine, request.late);
        }
        let probability = self.faults.lost_cloud_answers;
        let lost =
            probability > 0.0 && request.method != Method::Get && self.rng.gen_bool(probability);
        if !lost {
            let at = self.now + CLOUD_ANSWER_TIME;
            self.reply(request.origin, LinkEnd::Cloud, at, reply);
        }
    }

    fn on_worker_command(&mut self, origin: CallOrigin, machine: u64, body: &[u8]) {
        let environment = Environment {
            now: self.now,
            jobs: &self.jobs,
            controllers: self.controllers.len(),
            protocol_faults: self.protocol_faults,
        };
        let worker = self.workers.get_mut(&machine);
        let Some(worker) = worker.filter(|w| self.now >= w.faults.unreachable_until()) else {
            return;
        };
        let reply = Some(worker.on_direct_command(body, &environment));
        self.push(
            self.now + WORKER_ANSWER_TIME,
            Event::Reply { origin, reply },
        );
        self.push(
            self.now + REPORT_AFTER_COMMAND,
            Event::ReportDue { machine },
        );
    }

    fn on_reply(&mut self, origin: CallOrigin, reply: Option<Response>) {
        if self.is_current(origin.process) {
            self.with_node(origin.process.controller, |node, now, wall, out| {
                node.on_reply(now, wall, origin.call, reply, out);
            });
        }
    }

    fn on_report(&mut self, report: Report) {
        let Report {
            machine,
            controller,
            serial,
            body,
        } = report;
        if self.controllers[controller].is_none() {
            let event = Event::ReportTimedOut { machine, serial };
            self.push(self.now + RESET_DELAY, event);
            return;
        }
        self.requesters.insert(
            (controller, self.last_request + 1),
            Requester::Worker { machine, serial },
        );
        self.request(controller, Method::Post, "/hello", body);
    }

    fn on_report_answer(&mut self, machine: u64, answer: ReportAnswer) {
        let environment = Environment {
            now: self.now,
            jobs: &self.jobs,
            controllers: self.controllers.len(),
            protocol_faults: self.protocol_faults,
        };
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        if self.now < worker.faults.unreachable_until() {
            return;
        }
        let before = worker.fencing_token();
        let next_report = worker.on_answer(answer, &environment);
        let new_token = worker.fencing_token() > before;
        if let Some(at) = next_report {
            self.push(at, Event::ReportDue { machine });
        }
        self.push(self.now, Event::WorkerStep { machine });
        if new_token {
            self.trigger(Trigger::NewToken);
        }
    }

    fn on_report_timeout(&mut self, machine: u64, serial: u64) {
        let count = self.controllers.len();
        let worker = self.workers.get_mut(&machine);
        if let Some(at) = worker.and_then(|w| w.on_timeout(self.now, serial, count)) {
            self.push(at, Event::ReportDue { machine });
        }
    }

    fn step_worker(&mut self, machine: u64) {
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let changed = worker.step(self.now, &self.jobs);
        if let Some(next) = worker.next_step(self.now) {
            self.push(next, Event::WorkerStep { machine });
        }
        if changed {
            self.push(self.now + REPORT_AFTER_CHANGE, Event::ReportDue { machine });
        }
    }

    fn on_frame(&mut self, to: usize, generation: Option<u64>, mut body: Vec<u8>) {
        let frame = peers::take_frame(&mut body);
        if generation.is_some_and(|generation| self.generations[to] != generation) {
            return;
        }
        if let Ok(Some(frame)) = frame {
            self.with_node(to, |node, now, wall, out| {
                node.on_frame(now, wall, frame, out);
            });
        }
    }

    /// Sends the kept reports to every controller, when a new leader begins.
    fn deliver_kept_reports(&mut self) {
        /// The copies arrive while the new leader reads its state, and just after.
        const SPREAD: Micros = 600_000;
        for (machine, bodies) in self.faults.kept_reports.take() {
            for body in bodies {
                for controller in 0..self.settings.len() {
                    let at = self.now + self.rng.gen_range(0..SPREAD);
                    let copy = Report::copy(machine, controller, body.clone());
                    self.push(at, Event::ReportArrives(copy));
                }
            }
        }
    }
}
