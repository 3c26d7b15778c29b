//! Scale in: marks machines for return that are not needed, and releases marked machines in
//! batches.

use super::instance::{Instance, ScaleInReason, ScaleInState};
use super::scale_plan::Surplus;
use super::term::LeaderTerm;
use super::TickContext;
use crate::scheduler::{Machine, Scheduler};
use crate::split::{MachineType, Market};
use beamhinge_admin_api::directives::Afterwards;
use beamhinge_core::types::{MachineId, Time};
use beamhinge_rate_limit::{AdaptiveBackoff, RetryAction};

/// Maximum number of machines in one release call.
const MAX_MACHINES_PER_RELEASE: usize = 100;
/// Interval between two searches for machines to release, seconds. A search after every report
/// would iterate over the whole fleet each time.
const SCALE_IN_INTERVAL_S: f64 = 0.1;
/// Minimum time for which the cloud charges a machine, seconds.
const MIN_CHARGE_S: f64 = 60.0;
/// Time before the end of the minimum charge from which a machine may be returned, seconds.
const MIN_CHARGE_MARGIN_S: f64 = 3.0;
/// How long an on-demand machine in surplus may be idle before it is returned, seconds.
const ON_DEMAND_IDLE_S: f64 = 8.0;

/// Timing and retries of release calls.
pub(super) struct ScaleInCalls {
    backoff: AdaptiveBackoff,
    /// Time of the last search for marked machines.
    searched_at: Time,
}

impl ScaleInCalls {
    pub(super) fn new() -> ScaleInCalls {
        ScaleInCalls {
            backoff: AdaptiveBackoff::new(1.0, 8.0),
            searched_at: Time::default(),
        }
    }
}

impl LeaderTerm {
    /// Returns the next marked machines to release and marks them as in flight; empty if no release
    /// is due.
    pub(super) fn begin_scale_in_batch(&mut self, now: Time) -> Vec<MachineId> {
        let calls = &mut self.scale_in;
        if now.since(calls.searched_at) < SCALE_IN_INTERVAL_S || !calls.backoff.is_due(now) {
            return Vec::new();
        }
        calls.searched_at = now;
        let batch_size = (MAX_MACHINES_PER_RELEASE / calls.backoff.divisor()).max(1);
        self.instances
            .iter_mut()
            .filter(|(_, i)| {
                matches!(
                    i.scale_in,
                    ScaleInState::Pending | ScaleInState::PendingUnreachable
                )
            })
            .take(batch_size)
            .map(|(id, instance)| {
                instance.scale_in = ScaleInState::InFlight;
                *id
            })
            .collect()
    }

    /// Handles the status of the cloud's reply to a release; `None` if there was no reply.
    pub(super) fn on_scale_in_reply(
        &mut self,
        now: Time,
        machines: Vec<MachineId>,
        status: Option<u16>,
        scheduler: Option<&mut Scheduler>,
    ) {
        match status {
            Some(200) => return self.on_released(now, machines, scheduler),
            Some(400) => {
                if self.scale_in.backoff.on_malformed(now) == RetryAction::SetAside {
                    // The machines stay in flight, so that they do not block other releases.
                    tracing::error!(
                        ?machines,
                        "machine release abandoned: rejected by the cloud as malformed"
                    );
                    self.scale_in.backoff.on_success();
                    return;
                }
            }
            _ => self.scale_in.backoff.on_refused(now),
        }
        for id in machines {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.scale_in = ScaleInState::Pending;
            }
        }
    }

    fn on_released(
        &mut self,
        now: Time,
        machines: Vec<MachineId>,
        scheduler: Option<&mut Scheduler>,
    ) {
        if let Some(scheduler) = scheduler {
            for id in &machines {
                scheduler.on_machine_removed(now, *id);
            }
        }
        for id in machines {
            self.instances.remove(&id);
            self.released.insert(id, now);
        }
        self.scale_in.backoff.on_success();
    }

    /// Marks machines for return that are drained, slow, or both idle and in surplus.
    pub(super) fn scale_in_surplus(
        &mut self,
        context: &TickContext,
        mut surplus: Surplus,
        machine_types: &[MachineType],
        scheduler: &mut Scheduler,
    ) {
        let active_directives = scheduler.active_directives().clone();
        // Guard: while this controller's local link is suspected to be broken, the state of the
        // machines behind it is unknown. A leader whose requests were refused for a minute saw all
        // its machines as idle afterwards, and returned the fleet while its jobs waited.
        let local_link_suspected = self.health.is_local_link_suspected();
        #[cfg(feature = "faults")]
        let local_link_suspected =
            local_link_suspected && !self.faults.machines_returned_while_link_down;
        let leader_for_s = context.now.since(self.began_at);
        let mut marked = Vec::new();
        for (id, instance) in &mut self.instances {
            let state_unknown = local_link_suspected && self.health.shielded.contains_key(id);
            if !instance.is_retained() || state_unknown {
                continue;
            }
            let machine = scheduler.machine(*id);
            let drain = instance.active_drain(*id, machine_types, &active_directives);
            let reason = if let Some(drain) = drain {
                // As the drain directive requests, the machine is returned once it is empty or
                // kept until the drain ends.
                let empty = machine.is_none_or(Machine::is_empty);
                (empty && drain.afterwards == Afterwards::Return).then_some(ScaleInReason::Drained)
            } else {
                reason_not_needed(context, leader_for_s, instance, machine, &mut surplus)
            };
            let Some(reason) = reason else { continue };
            tracing::info!(machine = %id, %reason, "scaling in machine");
            instance.scale_in = ScaleInState::Pending;
            marked.push((*id, reason));
        }
        for (id, reason) in marked {
            scheduler.begin_return(id, reason.as_str());
        }
    }
}

/// The reason why an empty machine is not needed; `None` if it is needed. An idle machine is
/// deducted from `surplus`.
fn reason_not_needed(
    context: &TickContext,
    leader_for_s: f64,
    instance: &Instance,
    machine: Option<&Machine>,
    surplus: &mut Surplus,
) -> Option<ScaleInReason> {
    let machine = machine.filter(|m| m.is_empty())?;
    if machine.is_slow() {
        return Some(ScaleInReason::Slow);
    }
    // A rented machine is kept at least until the minimum charge is used up. Spot and owned
    // machines may be idle longer than on-demand machines, which cost more.
    let max_idle_s = match (instance.owned, instance.spot) {
        (true, _) => context.operator.idle_s,
        (false, true) => context.operator.idle_s.max(ON_DEMAND_IDLE_S),
        (false, false) => ON_DEMAND_IDLE_S,
    };
    let within_min_charge = !instance.owned
        && context.now.since(instance.rented_at) < MIN_CHARGE_S - MIN_CHARGE_MARGIN_S;
    if within_min_charge
        || context.now.since(machine.idle_since()) < max_idle_s
        || leader_for_s < max_idle_s
    {
        return None;
    }
    let market = Market::new(instance.class(), &instance.zone);
    surplus.take(&market).then_some(ScaleInReason::Idle)
}
