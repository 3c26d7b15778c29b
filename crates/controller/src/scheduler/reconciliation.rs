//! Reconciliation of workers' reports with the allocations.
//!
//! This module decides whether a report counts (guard 3 of `docs/safety.md`), keeps what it says
//! of its machine, and hands its tasks on. The parts: [`observed`] compares the listed tasks
//! with the allocations, [`exits`] handles tasks that ended, [`commands`] writes the answer,
//! [`direct_calls`] the calls beside the answers, and [`silence`] proves by time that the
//! tasks of a silent machine are gone.

use super::machine::Machine;
use super::Scheduler;
use crate::faults::fault_injected;
use crate::job_store::JobStore;
use crate::split::MachineType;
use crate::worker_protocol::{ReportVersion, WorkerCommand, WorkerReport};
use beamhinge_core::types::{MachineId, Time};

mod commands;
mod direct_calls;
mod exits;
mod observed;
mod silence;

pub use direct_calls::DirectCall;
pub(super) use observed::OrphanSummary;

/// Commands of one answer: it may hold 64 KiB. What is left out is still wanted, and
/// goes with the next.
const MAX_COMMANDS: usize = 400;

/// A worker's reports are no closer together, seconds; a little less, for the way.
const MIN_REPORT_GAP_S: f64 = 0.4;

/// A worker that waits longer for an answer goes to the next controller, seconds.
const WORKER_TIMEOUT_S: f64 = 4.0;

/// A report to be reconciled, and when it came.
#[derive(Clone, Copy)]
struct ReportContext<'a> {
    now: Time,
    /// The machine that it is of.
    id: MachineId,
    report: &'a WorkerReport,
    job_store: &'a JobStore,
}

/// A report that is newer than the last, and what it is worth.
#[derive(Clone, Copy)]
struct AcceptedReport {
    version: ReportVersion,
    /// It begins a newer incarnation.
    new_incarnation: bool,
    /// It carries the fencing token of this term.
    current_token: bool,
    /// Its worker was without an answer for so long that it tried another controller.
    timed_out: bool,
    /// It is the body of a response to a direct command.
    direct: bool,
}

impl Scheduler {
    /// Takes a report in, and returns the commands of its answer.
    pub fn on_report(
        &mut self,
        now: Time,
        report: &WorkerReport,
        machine_types: &[MachineType],
        job_store: &JobStore,
    ) -> Vec<WorkerCommand> {
        let Some(id) = MachineId::parse(&report.host) else {
            return Vec::new();
        };
        // Guard 3: what the cloud confirmed to be gone is gone, and no name is given
        // twice: this is a copy that comes late. Taken for a report it would show tasks
        // that are on no machine, keep them from their next place, and ask for more.
        if self.removed_machines.contains(&id) {
            return Vec::new();
        }
        let context = ReportContext {
            now,
            id,
            report,
            job_store,
        };
        let Some(accepted) = self.accept_report(&context) else {
            return self.kills_of_ended_jobs(&context);
        };
        self.update_machine(&context, &accepted, machine_types);
        if !self.loaded || self.is_overtaken(id, accepted.version) {
            return self.kills_of_ended_jobs(&context);
        }
        self.reconcile(&context, &accepted);
        if !accepted.current_token {
            // The answer raises the worker's token; other commands wait until a
            // report shows that it has seen it.
            return self.kills_of_ended_jobs(&context);
        }
        self.commands(&context, machine_types)
    }

    /// Whether the report is newer than the last; if so, it is noted as the last, and as a
    /// sign of life if it is one.
    fn accept_report(&mut self, context: &ReportContext) -> Option<AcceptedReport> {
        let ReportContext {
            now, id, report, ..
        } = *context;
        let version = report.version();
        let current_token = report.fencing_token == self.fencing_token.0;
        let silence_timeout_s = self.silence_timeout_s();
        // Reports that waited while this controller was suspended say nothing of the worker's
        // connection.
        let resumed_lately = self
            .resumed_at
            .is_some_and(|at| now.since(at) < WORKER_TIMEOUT_S * 2.5);
        let machine = self.machines.entry(id).or_insert_with(|| {
            self.replan = true;
            Machine::new(now)
        });
        let (liveness, acknowledgement) = (&mut machine.liveness, &mut machine.acknowledgement);
        // Guard 3: a report that is not newer than the last proves nothing. It may be
        // a copy that comes late: no worker waits for its answer, so it is none, and
        // a dead machine's copies do not put off the proof by silence. (The answer to
        // the report itself, if the copy overtook it, renews the lease from when that
        // was sent, which was before the copy came.)
        let last_report = acknowledgement.last_report;
        if last_report.is_some_and(|last| last >= version)
            && !fault_injected!(self.faults, stale_reports_accepted)
        {
            return None;
        }
        acknowledgement.stale_token = !current_token
            && liveness
                .last_answered
                .is_some_and(|at| now.since(at) > WORKER_TIMEOUT_S);
        acknowledgement.last_report = Some(version);
        liveness.last_answered = Some(now);
        let new_incarnation =
            last_report.is_some_and(|last| last.incarnation < version.incarnation);
        let gap_s = liveness.last_heartbeat.map_or(0.0, |last| now.since(last));
        if liveness.last_heartbeat.is_some() && !new_incarnation {
            self.report_interval.record_gap(gap_s);
        }
        // Guard 3: the first report of a machine in this term may be of any age as long as
        // it does not carry this term's token. It is answered, and is no sign of life: reports
        // that were held up made dead machines of an earlier term live ones. A worker's
        // own next report, half a second later at the earliest, is one.
        let first_report = *liveness.first_report.get_or_insert(now);
        let is_alive = current_token
            || liveness.last_heartbeat.is_some()
            || now.since(first_report) >= MIN_REPORT_GAP_S;
        if is_alive || fault_injected!(self.faults, first_report_proves_life) {
            liveness.last_heartbeat = Some(now);
        }
        liveness.regular = resumed_lately || gap_s <= silence_timeout_s;
        Some(AcceptedReport {
            version,
            new_incarnation,
            current_token,
            timed_out: !resumed_lately && gap_s > WORKER_TIMEOUT_S.max(self.report_s * 1.4),
            direct: false,
        })
    }

    /// Keeps what the report says of the machine itself.
    fn update_machine(
        &mut self,
        context: &ReportContext,
        accepted: &AcceptedReport,
        machine_types: &[MachineType],
    ) {
        let report = context.report;
        let Some(machine) = self.machines.get_mut(&context.id) else {
            return;
        };
        let identity = &mut machine.identity;
        identity.machine_type = machine_types
            .iter()
            .position(|machine_type| machine_type.label == report.machine_type);
        identity.zone.clone_from(&report.zone);
        identity.spot = report.spot;
        identity.endpoint = report.endpoint.parse().ok();
        machine.lifecycle.drain = self
            .active_directives
            .drain_of(context.id, &report.machine_type, &report.zone)
            .cloned();
        let reclaim_announced = report.reclaim_in_s.is_some();
        if reclaim_announced != machine.lifecycle.reclaim_announced {
            machine.lifecycle.reclaim_announced = reclaim_announced;
            self.replan = true;
        }
        let acknowledgement = &mut machine.acknowledgement;
        if accepted.current_token != acknowledgement.has_current_token {
            acknowledgement.has_current_token = accepted.current_token;
            self.replan = true;
        }
        acknowledgement.ever_had_current_token |= accepted.current_token;
    }

    /// Whether the response to a direct command overtook the report: its list is the older one
    /// then, though it is answered, and a sign of life.
    fn is_overtaken(&self, id: MachineId, version: ReportVersion) -> bool {
        let last_direct = self
            .machines
            .get(&id)
            .and_then(|machine| machine.acknowledgement.last_direct_response);
        last_direct.is_some_and(|last| last >= version)
    }

    /// Takes in the body of a response to a direct command, of a machine that is silent: a newer
    /// report, if it carries this term's token, by (incarnation, sequence). It renews no lease and
    /// shows no way from the worker to this controller, so that silence goes on; but a machine
    /// that reaches nobody says so what has ended. (Of one that reports, the next report says the
    /// same in half a second, and is answered.)
    pub fn on_direct_response(&mut self, now: Time, report: &WorkerReport, job_store: &JobStore) {
        let Some(id) = MachineId::parse(&report.host) else {
            return;
        };
        let Some(accepted) = self.accept_direct_response(now, id, report) else {
            return;
        };
        let context = ReportContext {
            now,
            id,
            report,
            job_store,
        };
        self.reconcile(&context, &accepted);
    }

    /// Whether the response is of a silent machine, of this term and newer than all before; if
    /// so, it is noted as the last one.
    fn accept_direct_response(
        &mut self,
        now: Time,
        id: MachineId,
        report: &WorkerReport,
    ) -> Option<AcceptedReport> {
        let version = report.version();
        let current_token = report.fencing_token == self.fencing_token.0;
        let silence_timeout_s = self.silence_timeout_s();
        let machine = self.machines.get_mut(&id)?;
        let last_heartbeat = machine.liveness.last_heartbeat;
        let is_silent = last_heartbeat.is_none_or(|last| now.since(last) > silence_timeout_s);
        if !is_silent || !current_token || !self.loaded {
            return None;
        }
        let acknowledgement = &mut machine.acknowledgement;
        let newest = acknowledgement
            .last_report
            .max(acknowledgement.last_direct_response);
        if newest.is_some_and(|newest| newest >= version) {
            return None;
        }
        // Not heard since the takeover: that this term's token is in it shows that it was written
        // in this term, and that its worker accepts no earlier leader any more.
        let identity = &mut machine.identity;
        identity.endpoint = identity.endpoint.or(report.endpoint.parse().ok());
        if identity.zone.is_empty() {
            identity.zone.clone_from(&report.zone);
        }
        // Apart from `last_report`: a report that was sent before is still one to be answered,
        // from which its worker's lease, and so its silence, counts.
        acknowledgement.last_direct_response = Some(version);
        Some(AcceptedReport {
            version,
            new_incarnation: newest.is_some_and(|newest| newest.incarnation < version.incarnation),
            current_token,
            timed_out: false,
            direct: true,
        })
    }

    /// A machine is silent when nothing was heard for longer than two reports take, seconds.
    pub(super) fn silence_timeout_s(&self) -> f64 {
        self.report_s * 2.0 + 1.0
    }
}

#[cfg(test)]
mod tests;
