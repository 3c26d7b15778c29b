//! Direct calls from the leader to workers, independent of their reports.

use super::worker_messages::DirectCommands;
use super::Node;
use crate::scheduler::DirectCall;
use crate::worker_protocol::WorkerReport;
use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::types::{CallId, FencingToken, MachineId, Time};
use beamhinge_core::wire;
use std::net::SocketAddrV4;

/// Probes of unreachable machines are sent only up to this number of worker calls in flight. A
/// call to a machine behind a network partition occupies a socket until it times out.
const MAX_PROBES_IN_FLIGHT: usize = 16;
/// Minimum time between two probes of the same machine, seconds.
const PROBE_INTERVAL_S: f64 = 3.0;
/// Time-out of a call, seconds.
const CALL_TIMEOUT_S: f64 = 2.0;
/// How long after a leadership acquisition the token is announced to workers directly, seconds.
const MAX_ANNOUNCEMENT_S: f64 = 60.0;
/// Minimum time between two announcements of the token to the same worker, seconds.
const ANNOUNCEMENT_INTERVAL_S: f64 = 3.0;
/// Maximum number of workers to which the token is announced per tick.
const MAX_ANNOUNCEMENTS_PER_TICK: usize = 8;

impl Node {
    /// After a leadership acquisition, announces the new fencing token to workers that have not
    /// reported to this controller in this term. Such a worker then reports here at once.
    pub(super) fn announce_token_to_workers(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let since_acquired_s = now.since(scheduler.acquired_at());
        let first_report_due_s = self.settings.params.workers.report_s * 1.5;
        if since_acquired_s > MAX_ANNOUNCEMENT_S || since_acquired_s < first_report_due_s {
            return;
        }
        let token = scheduler.fencing_token();
        let reported = |id: MachineId| {
            let machine = scheduler.machine(id);
            machine.is_some_and(|machine| machine.last_heartbeat().is_some())
        };
        let announced = |id: &MachineId| {
            let at = self.token_announced_at.get(id);
            at.is_some_and(|at| now.since(*at) <= ANNOUNCEMENT_INTERVAL_S)
        };
        let targets: Vec<(MachineId, SocketAddrV4)> = self
            .fleet
            .endpoints()
            .filter(|(id, _)| !reported(*id) && !announced(id))
            .take(MAX_ANNOUNCEMENTS_PER_TICK)
            .collect();
        for (machine, endpoint) in targets {
            self.token_announced_at.insert(machine, now);
            // The incarnation is unknown. Any number works: the worker compares the token before
            // it refuses a wrong incarnation, and there are no commands to execute.
            let call = DirectCall {
                machine,
                endpoint,
                incarnation: 1,
                commands: Vec::new(),
            };
            self.call_worker(call, token, out);
        }
    }

    /// Calls the workers on whose machines tasks must be killed.
    pub(super) fn send_pending_kills(&mut self, now: Time, out: &mut Vec<Effect>) {
        // Guard 4: only while this controller is entitled to command.
        if !self.entitled(now) {
            return;
        }
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let token = scheduler.fencing_token();
        for call in scheduler.take_pending_kills() {
            self.call_worker(call, token, out);
        }
    }

    /// Probes unreachable machines, a few at a time. A worker that reaches no controller may still
    /// be reachable from here, and its reply reports the tasks that have ended on it.
    pub(super) fn probe_unreachable_machines(&mut self, now: Time, out: &mut Vec<Effect>) {
        // Guard 4: only while this controller is entitled to command.
        if !self.entitled(now) || self.worker_calls.len() >= MAX_PROBES_IN_FLIGHT {
            return;
        }
        let Some(scheduler) = &self.scheduler else {
            return;
        };
        let token = scheduler.fencing_token();
        let max_probes = MAX_PROBES_IN_FLIGHT - self.worker_calls.len();
        let is_recent = |at: &Time| now.since(*at) < PROBE_INTERVAL_S;
        let calls: Vec<_> = scheduler
            .probe_calls(now)
            .filter(|call| !self.probed_at.get(&call.machine).is_some_and(is_recent))
            .take(max_probes)
            .collect();
        self.probed_at.retain(|_, at| is_recent(at));
        for call in calls {
            self.probed_at.insert(call.machine, now);
            self.call_worker(call, token, out);
        }
    }

    fn call_worker(&mut self, call: DirectCall, token: FencingToken, out: &mut Vec<Effect>) {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.worker_calls.insert(id, call.machine);
        out.push(Effect::Call {
            id,
            destination: Destination::Worker(call.endpoint),
            method: Method::Post,
            path: "/do".into(),
            body: wire::encode(&DirectCommands {
                fencing_token: token.0,
                incarnation: call.incarnation,
                commands: call.commands,
            }),
            timeout_s: CALL_TIMEOUT_S,
        });
    }

    /// Handles a worker's reply to a call, or the failure of the call (`None`).
    pub(super) fn on_worker_reply(&mut self, now: Time, result: Option<(u16, Vec<u8>)>) {
        // 200: commands executed; 409: wrong incarnation. The body is a report in both cases.
        let body = result
            .filter(|(status, _)| matches!(status, 200 | 409))
            .map(|(_, body)| body);
        let Some(report) = body.and_then(|body| wire::decode::<WorkerReport>(&body).ok()) else {
            return;
        };
        // Guard 1, as for worker reports.
        let change = self.election.on_token_claim(now, report.fencing_token);
        self.on_leadership_change(now, change);
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.on_direct_response(now, &report, &self.job_store);
        }
    }
}
