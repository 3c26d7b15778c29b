//! Reports of workers, and whether this controller may answer them.

use super::user_requests::refuse;
use super::worker_messages::{LeaderRedirect, ReportResponse};
use super::Node;
use crate::faults::fault_injected;
use crate::worker_protocol::WorkerReport;
use beamhinge_core::messages::Effect;
use beamhinge_core::types::{FencingToken, MachineId, RequestId, Time};
use beamhinge_core::wire;

/// A machine that was redirected to the leader and is back within this time was not answered
/// there, seconds.
const MIN_REDIRECT_RETURN_S: f64 = 12.0;

impl Node {
    /// A worker reports: answered as the leader, or redirected to it.
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
        // Guard 1: a worker that has seen a higher token answers to another leader; this
        // controller is no longer entitled.
        let change = self.election.on_token_claim(now, report.fencing_token);
        self.on_leadership_change(now, change);
        let own_token = self.election.token();
        if own_token.is_some_and(|own| report.fencing_token > own.0) {
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
            // A leader out of touch redirects to nobody: it may still be the leader.
            (Some(_), false) => refuse(out, id, 503, "out of touch with the state service"),
            (None, _) => self.redirect_worker(now, id, &report, out),
        }
    }

    /// Redirects a worker to the leader, if one is known and heard.
    fn redirect_worker(
        &mut self,
        now: Time,
        id: RequestId,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        let mut came_back = false;
        let machine = MachineId::parse(&report.host);
        if let Some(machine) = machine {
            came_back = self
                .misrouted_workers
                .record_report(now, machine, MIN_REDIRECT_RETURN_S);
            let seen = FencingToken(report.fencing_token);
            self.leader_detector.on_misrouted_report(now, machine, seen);
        }
        let leader = self.peers.leader(now).or(self.election.other_leader());
        // A machine that was redirected a moment ago and is back is not answered by the leader,
        // and would wait for its time-out once more. Nor is a leader named that is silent.
        let leader = leader.filter(|_| !came_back && !self.leader_detector.is_silent(now));
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

    /// Guard 4: whether this controller may answer workers as the leader: its serving deadline
    /// after the last exchange that showed both the jobs and its hold on the block has not
    /// passed.
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

    /// Whether the leadership was confirmed recently enough to scale the fleet: within the time
    /// in which nobody else can have held the block unnoticed for long.
    pub(super) fn leadership_confirmed(&self, now: Time) -> bool {
        self.scheduler.is_some()
            && now.since(self.election.block_confirmed_at()) < self.settings.leader_lease_s() + 2.0
    }
}

#[cfg(test)]
mod tests;
