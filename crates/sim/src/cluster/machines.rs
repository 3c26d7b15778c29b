//! Machines and their workers: reports, and the loss or return of machines.

use super::links::LinkEnd;
use super::Sim;
use crate::event::{Event, Report};
use beamhinge_admin_api::messages::DecisionKind as Decision;
use beamhinge_core::wire;
use beamhinge_emulator::worker::Worker;
use beamhinge_emulator::{Micros, SECOND};

/// One-way latency of a report.
const REPORT_TIME: Micros = 2_000;
/// How long a worker waits for the answer to its report.
const ANSWER_TIMEOUT: Micros = 4 * SECOND;
/// The cloud lists a failed machine as such after this long.
const FAILURE_LISTED_AFTER: Micros = 30 * SECOND;

impl Sim {
    /// Sends a worker's report if one may be sent now. The first call after a machine has
    /// booted creates its worker.
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
        let lost = self.now < worker.faults.reports_lost_until();
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
        let Some(at) = self.arrival_time(controller, LinkEnd::Worker(&zone), arrival) else {
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

    /// Removes a machine that a controller returned to the cloud. `late` says that the request
    /// was delayed by a cut link.
    pub(super) fn on_machine_returned(&mut self, controller: usize, machine: u64, late: bool) {
        let Some(worker) = self.lose_machine(machine) else {
            return;
        };
        let faulty = self.was_faulty(&worker);
        let awake = self.now >= worker.faults.hang_until;
        self.checks.losses.faulty_returned += u64::from(faulty && awake);
        let tasks = worker.running().count() as u64;
        let link = self.arrival_time(controller, LinkEnd::Worker(&worker.zone), self.now);
        let cut_off = link.is_none_or(|at| at > self.now);
        // Returning an idle machine without tasks does no harm.
        let idle = tasks == 0 && self.return_reason(controller, machine).as_deref() == Some("idle");
        if !faulty && !late && !idle && (tasks > 0 || cut_off) {
            self.checks.losses.healthy_returned += 1;
            self.checks.losses.unexplained += tasks;
        }
    }

    /// Whether a controller had cause to return a machine.
    ///
    /// A machine that hung beyond the time after which it is presumed dead is returned with
    /// cause, even if it resumes while the call is in flight: no controller can know this
    /// until it has answered the machine's report again. If the machine has been awake for a
    /// lease or longer without an answer, it counts as healthy.
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

    /// The reason that a controller logged for the return of a machine.
    fn return_reason(&self, controller: usize, machine: u64) -> Option<String> {
        let scheduler = self.controllers[controller].as_ref()?.scheduler()?;
        let name = format!("n-{machine:06}");
        let decisions = scheduler.event_log.decisions_after(0, usize::MAX).decisions;
        decisions.into_iter().rev().find_map(|d| match d.what {
            Decision::Returned { machine, why } if machine == name => Some(why),
            _ => None,
        })
    }

    /// Removes a machine and its worker, for whatever reason the machine is lost.
    pub fn lose_machine(&mut self, machine: u64) -> Option<Worker> {
        self.check_machine(machine);
        self.checks.contents.remove(machine, &self.jobs);
        self.checks.preemptions.remove_machine(machine);
        self.workers.remove(&machine)
    }

    /// Fails a machine with all tasks on it; the cloud lists the failure later.
    pub fn fail_machine(&mut self, machine: u64) {
        self.lose_machine(machine);
        if let Some(instance) = self.cloud.instances.get_mut(&machine) {
            instance.failed_at = Some(self.now + FAILURE_LISTED_AFTER);
        }
    }

    /// How many machines with a running worker are in a zone, or in all zones if `zone` is
    /// `None`.
    #[must_use]
    pub fn machines_up(&self, zone: Option<&str>) -> u64 {
        let in_zone = |w: &&Worker| zone.is_none_or(|zone| zone == w.zone);
        self.workers.values().filter(in_zone).count() as u64
    }

    /// Schedules the next step and report of a machine for the time when its fault ends.
    pub fn resume_machine_at(&mut self, machine: u64, until: Micros) {
        self.push(until, Event::WorkerStep { machine });
        self.push(until, Event::ReportDue { machine });
    }
}
