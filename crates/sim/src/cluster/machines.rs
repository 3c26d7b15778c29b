//! Machines and their workers: reports, and machines that go.

use super::links::LinkEnd;
use super::Sim;
use crate::event::{Event, Report};
use beamhinge_admin_api::messages::DecisionKind as Decision;
use beamhinge_core::wire;
use beamhinge_emulator::worker::Worker;
use beamhinge_emulator::{Micros, SECOND};

/// A report takes so long one way.
const REPORT_TIME: Micros = 2_000;
/// How long a worker waits for an answer.
const ANSWER_TIMEOUT: Micros = 4 * SECOND;
/// The cloud lists a machine that stopped by itself as failed after this long.
const FAILURE_LISTED_AFTER: Micros = 30 * SECOND;

impl Sim {
    /// A worker sends its report, if one may go out now. The first one brings the worker of
    /// a machine that is up into being.
    pub(super) fn report(&mut self, machine: u64) {
        if !self.workers.contains_key(&machine) {
            let Some(booted) = self.cloud.booted(self.now, machine) else {
                return;
            };
            let settings = &self.settings[0].params.workers;
            let worker = Worker::new(machine, booted, settings, self.now);
            self.workers.insert(machine, worker);
        }
        let Some(worker) = self.workers.get_mut(&machine) else {
            return;
        };
        let Some(report) = worker.next_report(self.now, self.protocol_faults) else {
            return;
        };
        let (serial, interval) = (report.serial, (worker.report_s * 1e6) as Micros);
        let lost = self.now < worker.faults.silent_until();
        let controller = report.controller % self.controllers.len();
        self.push(self.now + interval, Event::ReportDue { machine });
        self.push(
            self.now + ANSWER_TIMEOUT,
            Event::ReportTimedOut { machine, serial },
        );
        self.push(self.now, Event::WorkerStep { machine });
        if !lost {
            self.send_report(Report {
                machine,
                controller,
                serial,
                body: wire::encode(&report.body),
            });
        }
    }

    fn send_report(&mut self, report: Report) {
        let (machine, controller) = (report.machine, report.controller);
        let zone = self.worker_zone(machine);
        let arrival = self.now + REPORT_TIME;
        let Some(at) = self.passes(controller, LinkEnd::Worker(&zone), arrival) else {
            return;
        };
        let kept = &mut self.faults.kept_reports;
        kept.offer(self.now, machine, &report.body, &mut self.rng);
        if let Some(copy_at) = self.draw_copy() {
            let copy = Report::copy(machine, controller, report.body.clone());
            self.push(copy_at, Event::ReportArrives(copy));
        }
        self.push(at, Event::ReportArrives(report));
    }

    /// The cloud takes a machine back since a controller asked for it; `late`: the request
    /// had been held back.
    pub(super) fn on_machine_returned(&mut self, controller: usize, machine: u64, late: bool) {
        let Some(worker) = self.lose_machine(machine) else {
            return;
        };
        let faulty = self.was_faulty(&worker);
        let awake = self.now >= worker.faults.hang_until;
        self.checks.losses.faulty_returned += u64::from(faulty && awake);
        let tasks = worker.running().count() as u64;
        let link = self.passes(controller, LinkEnd::Worker(&worker.zone), self.now);
        let cut_off = link.is_none_or(|at| at > self.now);
        // Nothing ran on it and nobody needed it: that costs nothing.
        let idle = tasks == 0 && self.return_reason(controller, machine).as_deref() == Some("idle");
        if !faulty && !late && !idle && (tasks > 0 || cut_off) {
            self.checks.losses.healthy_returned += 1;
            self.checks.losses.unexplained += tasks;
        }
    }

    /// Whether a controller had cause to return a machine.
    ///
    /// One that hung beyond the limit of silence is returned with cause, also when it wakes
    /// while the call is on its way: until a controller has answered it again, nobody can
    /// know. Whoever does not within a lease has given a healthy machine away.
    fn was_faulty(&self, worker: &Worker) -> bool {
        let lease = (self.lease_s() * 1e6) as Micros;
        let faults = &worker.faults;
        let woken =
            self.now >= faults.hang_until + lease || worker.answered_since(faults.hang_until);
        (faults.hang_until > 0 && !woken)
            || self.now < faults.cut_until
            || self.now < faults.inbound_cut_until.max(faults.outbound_cut_until) + lease
            || faults.tasks_fail
            || faults.slowdown > 1.0
            || faults.reclaim_at.is_some()
    }

    /// Why a controller says that it returned a machine.
    fn return_reason(&self, controller: usize, machine: u64) -> Option<String> {
        let scheduler = self.controllers[controller].as_ref()?.scheduler()?;
        let name = format!("n-{machine:06}");
        let decisions = scheduler.event_log.decisions_after(0, usize::MAX).decisions;
        decisions.into_iter().rev().find_map(|d| match d.what {
            Decision::Returned { machine, why } if machine == name => Some(why),
            _ => None,
        })
    }

    /// The machine is gone, whoever took it.
    pub fn lose_machine(&mut self, machine: u64) -> Option<Worker> {
        self.check_machine(machine);
        self.checks.contents.remove(machine, &self.jobs);
        self.checks.preemptions.remove_machine(machine);
        self.workers.remove(&machine)
    }

    /// The machine stops with all that is on it; the cloud notices later.
    pub fn fail_machine(&mut self, machine: u64) {
        self.lose_machine(machine);
        if let Some(instance) = self.cloud.instances.get_mut(&machine) {
            instance.failed_at = Some(self.now + FAILURE_LISTED_AFTER);
        }
    }

    /// How many machines with their worker up are in a zone, or anywhere.
    #[must_use]
    pub fn machines_up(&self, zone: Option<&str>) -> u64 {
        let there = |w: &&Worker| zone.is_none_or(|zone| zone == w.zone);
        self.workers.values().filter(there).count() as u64
    }

    /// Until then a machine has a fault: its tasks and its reports go on afterwards.
    pub fn resume_machine_at(&mut self, machine: u64, until: Micros) {
        self.push(until, Event::WorkerStep { machine });
        self.push(until, Event::ReportDue { machine });
    }
}
