//! Reconciliation of workers' reports with the allocations.
//!
//! This module decides whether a report is accepted (guard 3 of `docs/safety.md`), records what it
//! says about its machine, and passes its tasks on. The submodules: [`observed`] compares the
//! listed tasks with the allocations, [`exits`] handles tasks that ended, [`commands`] builds the
//! answer, [`direct_calls`] builds calls to workers outside the answers, and [`lease_expiry`]
//! proves by the expiry of worker leases that the tasks of an unreachable machine have ended.

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
mod lease_expiry;
mod observed;

pub use direct_calls::DirectCall;
pub(super) use observed::OrphanSummary;

/// Maximum number of commands in one answer, which is limited to 64 KiB. Commands that are left
/// out are sent with the next answer.
const MAX_COMMANDS: usize = 400;

/// Minimum interval between the arrivals of two reports of a worker, in seconds. Workers leave at
/// least half a second between reports; the difference allows for varying network latency.
const MIN_REPORT_INTERVAL_S: f64 = 0.4;

/// Time after which a worker without an answer switches to the next controller, in seconds.
const WORKER_ANSWER_TIMEOUT_S: f64 = 4.0;

/// A report to be reconciled, with its time of arrival.
#[derive(Clone, Copy)]
struct ReportContext<'a> {
    now: Time,
    /// The machine that sent the report.
    id: MachineId,
    report: &'a WorkerReport,
    job_store: &'a JobStore,
}

/// The properties of a report that is newer than the last one.
#[derive(Clone, Copy)]
struct AcceptedReport {
    version: ReportVersion,
    /// It is the first report of a newer incarnation.
    new_incarnation: bool,
    /// It carries the fencing token of this term.
    current_token: bool,
    /// Its worker had no answer for so long that it tried another controller.
    timed_out: bool,
    /// It is the body of a response to a direct command.
    direct: bool,
}

impl Scheduler {
    /// Processes a report and returns the commands of its answer.
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
        // Guard 3: the cloud confirmed that this machine was removed, and machine names are never
        // reused, so this is a delayed copy of a report. If it were accepted, it would list tasks
        // that are on no machine, keep them from being placed again, and request more work.
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
            return self.kills_for_ended_jobs(&context);
        };
        self.update_machine(&context, &accepted, machine_types);
        if !self.loaded || self.is_overtaken_by_direct_response(id, accepted.version) {
            return self.kills_for_ended_jobs(&context);
        }
        self.reconcile(&context, &accepted);
        if !accepted.current_token {
            // The answer updates the worker's fencing token. Other commands wait until a report
            // shows that the worker has received it.
            return self.kills_for_ended_jobs(&context);
        }
        self.commands(&context, machine_types)
    }

    /// Records the report as the machine's last one, and as a heartbeat if it counts as one.
    /// `None` if it is not newer than the last report.
    fn accept_report(&mut self, context: &ReportContext) -> Option<AcceptedReport> {
        let ReportContext {
            now, id, report, ..
        } = *context;
        let version = report.version();
        let current_token = report.fencing_token == self.fencing_token.0;
        let report_timeout_s = self.report_timeout_s();
        // Reports that were queued while this controller was suspended say nothing about the
        // worker's connection.
        let resumed_recently = self
            .resumed_at
            .is_some_and(|at| now.since(at) < WORKER_ANSWER_TIMEOUT_S * 2.5);
        let machine = self.machines.entry(id).or_insert_with(|| {
            self.replan = true;
            Machine::new(now)
        });
        let (liveness, acknowledgement) = (&mut machine.liveness, &mut machine.acknowledgement);
        // Guard 3: a report that is not newer than the last proves nothing. It may be a delayed
        // copy. No worker waits for the answer to a copy, so it does not count as answered, and
        // copies from a dead machine do not delay the expiry of its lease. (If the copy overtook
        // the report itself, the answer to the report renews the lease from the time when the
        // report was sent, which was before the copy arrived.)
        let last_report = acknowledgement.last_report;
        if last_report.is_some_and(|last| last >= version)
            && !fault_injected!(self.faults, stale_reports_accepted)
        {
            return None;
        }
        acknowledgement.stale_token = !current_token
            && liveness
                .last_answered
                .is_some_and(|at| now.since(at) > WORKER_ANSWER_TIMEOUT_S);
        acknowledgement.last_report = Some(version);
        liveness.last_answered = Some(now);
        let new_incarnation =
            last_report.is_some_and(|last| last.incarnation < version.incarnation);
        let gap_s = liveness.last_heartbeat.map_or(0.0, |last| now.since(last));
        if liveness.last_heartbeat.is_some() && !new_incarnation {
            self.report_interval.record_gap(gap_s);
        }
        // Guard 3: the first report of a machine in this term may be of any age if it does not
        // carry this term's fencing token. It is answered but does not count as a heartbeat:
        // delayed reports made dead machines of an earlier term appear alive. The worker's next
        // report, half a second later at the earliest, does count.
        let first_report = *liveness.first_report.get_or_insert(now);
        let is_heartbeat = current_token
            || liveness.last_heartbeat.is_some()
            || now.since(first_report) >= MIN_REPORT_INTERVAL_S;
        if is_heartbeat || fault_injected!(self.faults, first_report_proves_life) {
            liveness.last_heartbeat = Some(now);
        }
        liveness.reports_regularly = resumed_recently || gap_s <= report_timeout_s;
        Some(AcceptedReport {
            version,
            new_incarnation,
            current_token,
            timed_out: !resumed_recently
                && gap_s > WORKER_ANSWER_TIMEOUT_S.max(self.report_s * 1.4),
            direct: false,
        })
    }

    /// Records what the report says about the machine itself.
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
        acknowledgement.has_reported_current_token |= accepted.current_token;
    }

    /// Whether the response to a direct command overtook the report. The task list of the report
    /// is then outdated, but the report is still answered and counts as a heartbeat.
    fn is_overtaken_by_direct_response(&self, id: MachineId, version: ReportVersion) -> bool {
        let last_direct = self
            .machines
            .get(&id)
            .and_then(|machine| machine.acknowledgement.last_direct_response);
        last_direct.is_some_and(|last| last >= version)
    }

    /// Processes the body of a response to a direct command from an unreachable machine. It counts
    /// as a newer report if it carries this term's fencing token and its (incarnation, sequence)
    /// is higher. It renews no lease and does not show that the worker can reach this controller,
    /// so the machine stays unreachable; but this is how a machine that reaches no controller
    /// reports which tasks have ended. (A reachable machine sends the same half a second later in
    /// its next report, which is answered.)
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

    /// Records the response as the machine's last one. `None` if the machine is not unreachable,
    /// or the response is not of this term or not newer than all before.
    fn accept_direct_response(
        &mut self,
        now: Time,
        id: MachineId,
        report: &WorkerReport,
    ) -> Option<AcceptedReport> {
        let version = report.version();
        let current_token = report.fencing_token == self.fencing_token.0;
        let report_timeout_s = self.report_timeout_s();
        let machine = self.machines.get_mut(&id)?;
        let last_heartbeat = machine.liveness.last_heartbeat;
        let is_unreachable = last_heartbeat.is_none_or(|last| now.since(last) > report_timeout_s);
        if !is_unreachable || !current_token || !self.loaded {
            return None;
        }
        let acknowledgement = &mut machine.acknowledgement;
        let newest = acknowledgement
            .last_report
            .max(acknowledgement.last_direct_response);
        if newest.is_some_and(|newest| newest >= version) {
            return None;
        }
        // The machine may not have reported since the failover. This term's fencing token shows
        // that the response was written in this term, and that its worker no longer accepts an
        // earlier leader.
        let identity = &mut machine.identity;
        identity.endpoint = identity.endpoint.or(report.endpoint.parse().ok());
        if identity.zone.is_empty() {
            identity.zone.clone_from(&report.zone);
        }
        // Kept apart from `last_report`: a report that was sent earlier must still be answered,
        // and its worker's lease, and with it the time until expiry, counts from that report.
        acknowledgement.last_direct_response = Some(version);
        Some(AcceptedReport {
            version,
            new_incarnation: newest.is_some_and(|newest| newest.incarnation < version.incarnation),
            current_token,
            timed_out: false,
            direct: true,
        })
    }

    /// Time without a report after which a machine counts as unreachable, in seconds: a little
    /// more than two report intervals.
    pub(super) fn report_timeout_s(&self) -> f64 {
        self.report_s * 2.0 + 1.0
    }
}

#[cfg(test)]
mod tests;
