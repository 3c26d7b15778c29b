//! Handles worker reports and decides whether this controller may answer them.

use super::user_requests::refuse;
use super::worker_messages::{LeaderRedirect, ReportResponse};
use super::Node;
use crate::faults::fault_injected;
use crate::worker_protocol::WorkerReport;
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{FencingToken, MachineId, RequestId, Time};
use beamhinge_core::wire;

/// A machine that was redirected to the leader and reports here again within this time got no
/// answer from the leader, seconds.
const REDIRECT_FAILURE_WINDOW_S: f64 = 12.0;

impl Node {
    /// Handles a worker's report: answers it as the leader, or redirects the worker to the leader.
    pub(super) fn on_worker_report(
        &mut self,
        now: Time,
        id: RequestId,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let Ok(report) = wire::decode::<WorkerReport>(body) else {
            return refuse(out, id, 400, "the report has an unknown form");
        };
        // Guard 1: a worker that has seen a higher fencing token has another leader, so this
        // controller is no longer entitled to command it.
        let change = self.election.on_token_claim(now, report.fencing_token);
        self.on_leadership_change(now, change);
        let term_token = self.election.token();
        if term_token.is_some_and(|token| report.fencing_token > token.0) {
            return refuse(out, id, 503, "a token that was never given");
        }
        let entitled = self.entitled(now);
        match (&mut self.scheduler, entitled) {
            (Some(scheduler), true) => {
                let token = scheduler.fencing_token();
                let machine_types = self.fleet.machine_types();
                let commands = scheduler.on_report(now, &report, machine_types, &self.job_store);
                if !commands.is_empty() {
                    tracing::debug!(machine = %report.host, ?commands, "sent commands");
                }
                let response = ReportResponse {
                    fencing_token: token.0,
                    commands,
                };
                out.push(Effect::Answer {
                    to: id,
                    status: 200,
                    retry_after: None,
                    body: wire::encode(&response),
                });
            }
            // A leader without contact to the store names no other leader: it may still lead.
            (Some(_), false) => refuse(out, id, 503, "out of touch with the state service"),
            (None, _) => self.redirect_worker(now, id, &report, out),
        }
    }

    /// Redirects a worker to the leader, if one is known and sends heartbeats.
    fn redirect_worker(
        &mut self,
        now: Time,
        id: RequestId,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        let mut returned_after_redirect = false;
        let machine = MachineId::parse(&report.host);
        if let Some(machine) = machine {
            returned_after_redirect =
                self.misrouted_workers
                    .record_report(now, machine, REDIRECT_FAILURE_WINDOW_S);
            let token = FencingToken(report.fencing_token);
            self.leader_detector
                .on_misrouted_report(now, machine, token);
        }
        let leader = self.peers.leader(now).or(self.election.other_leader());
        // A machine that was redirected a moment ago and reports here again got no answer from
        // the leader; another redirect would cost it another time-out. A leader whose heartbeats
        // have stopped is not named either.
        let leader =
            leader.filter(|_| !returned_after_redirect && !self.leader_detector.is_silent(now));
        if let (Some(machine), Some(_)) = (machine, leader) {
            self.misrouted_workers.record_redirect(machine);
        }
        out.push(Effect::Answer {
            to: id,
            status: 421,
            retry_after: None,
            body: wire::encode(&LeaderRedirect { leader }),
        });
    }

    /// Guard 4: returns whether this controller may answer workers as the leader: its serving
    /// deadline has not passed since the last exchanges with the store that refreshed the jobs and
    /// that confirmed its ownership of the block key.
    pub(super) fn entitled(&self, now: Time) -> bool {
        let limit = self.settings.serving_deadline_s();
        if fault_injected!(self.faults, no_serving_deadline) {
            return self.scheduler.is_some();
        }
        let confirmed = now.since(self.election.block_confirmed_at()) < limit;
        if fault_injected!(self.faults, serving_deadline_from_lease) {
            return self.scheduler.is_some() && confirmed;
        }
        let jobs_fresh_as_of = self.job_store.fresh_as_of();
        let jobs_fresh = jobs_fresh_as_of.is_some_and(|jobs| now.since(jobs) < limit);
        self.scheduler.is_some() && jobs_fresh && confirmed
    }

    /// Returns whether the leadership was confirmed recently enough to scale the fleet: within a
    /// time in which no other controller can have owned the block key unnoticed for long.
    pub(super) fn leadership_confirmed(&self, now: Time) -> bool {
        self.scheduler.is_some()
            && now.since(self.election.block_confirmed_at()) < self.settings.leader_lease_s() + 2.0
    }
}

#[cfg(test)]
mod tests;
