//! Marks machines that are not needed for return, and releases marked machines in batches.

use super::instance::{Instance, ScaleInReason, ScaleInState};
use super::term::LeaderTerm;
use super::TickContext;
use crate::scheduler::{Machine, Scheduler};
use crate::split::{MachineClass, MachineType};
use beamhinge_admin_api::directives::Afterwards;
use beamhinge_core::types::{MachineId, Time};
use beamhinge_rate_limit::{AdaptiveBackoff, RetryAction};
use std::collections::BTreeMap;

/// Most machines of one release.
const MAX_PER_RELEASE: usize = 100;
/// Seconds between two searches for machines to release: one after every report would walk the
/// whole fleet each time.
const SCALE_IN_INTERVAL_S: f64 = 0.1;
/// The cloud charges a machine for at least this long, seconds.
const MIN_CHARGE_S: f64 = 60.0;
/// How much before the end of that time a machine may be returned, seconds.
const MIN_CHARGE_MARGIN_S: f64 = 3.0;
/// How long an on-demand machine that is not needed may stand idle, seconds.
const ON_DEMAND_IDLE_S: f64 = 8.0;

/// When machines are released, and how that is tried again.
pub(super) struct ScaleInCalls {
    backoff: AdaptiveBackoff,
    /// When marked machines were last looked for.
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
    /// The next marked machines to release, which count as in flight; empty if no release is due.
    pub(super) fn take_scale_in_batch(&mut self, now: Time) -> Vec<MachineId> {
        let calls = &mut self.scale_in;
        if now.since(calls.searched_at) < SCALE_IN_INTERVAL_S || !calls.backoff.is_due(now) {
            return Vec::new();
        }
        calls.searched_at = now;
        let batch_size = (MAX_PER_RELEASE / calls.backoff.divisor()).max(1);
        self.instances
            .iter_mut()
            .filter(|(_, i)| {
                matches!(
                    i.scale_in,
                    ScaleInState::Pending | ScaleInState::PendingSilent
                )
            })
            .take(batch_size)
            .map(|(id, instance)| {
                instance.scale_in = ScaleInState::InFlight;
                *id
            })
            .collect()
    }

    /// Takes in the status of the cloud's reply to a release; none if the reply was lost.
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
                    // They stay in flight, so that they block no other release.
                    tracing::error!(
                        ?machines,
                        "gave up on releasing machines: the cloud refuses it"
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

    /// Marks for return the machines that are drained, slow, or idle and over what is wanted.
    pub(super) fn scale_in_surplus(
        &mut self,
        context: &TickContext,
        mut surplus: BTreeMap<MachineClass, u32>,
        machine_types: &[MachineType],
        scheduler: &mut Scheduler,
    ) {
        let active_directives = scheduler.active_directives().clone();
        // Guard: while it is this controller's own link that is silent, nothing is known of what
        // is behind it. A leader that was refused for a minute found all its machines idle as it
        // came back, and returned the fleet while its jobs waited.
        let own_link_suspected = self.health.is_own_link_suspected();
        #[cfg(feature = "faults")]
        let own_link_suspected =
            own_link_suspected && !self.faults.machines_returned_while_link_down;
        let leading_s = context.now.since(self.began);
        let mut marked = Vec::new();
        for (id, instance) in &mut self.instances {
            let unknown = own_link_suspected && self.health.shielded.contains_key(id);
            if !instance.is_retained() || unknown {
                continue;
            }
            let machine = scheduler.machine(*id);
            let drain = instance.active_drain(*id, machine_types, &active_directives);
            let reason = if let Some(drain) = drain {
                // As asked for: returned once it is empty, or kept until it is undrained.
                let empty = machine.is_none_or(Machine::is_empty);
                (empty && drain.afterwards == Afterwards::Return).then_some(ScaleInReason::Drained)
            } else {
                let surplus = surplus.get_mut(&instance.class());
                unneeded(context, leading_s, instance, machine, surplus)
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

/// Why an empty machine is not needed, if so. An idle one is taken off `surplus`, the number of
/// machines of its class over what is wanted.
fn unneeded(
    context: &TickContext,
    leading_s: f64,
    instance: &Instance,
    machine: Option<&Machine>,
    surplus: Option<&mut u32>,
) -> Option<ScaleInReason> {
    let machine = machine.filter(|m| m.is_empty())?;
    if machine.is_slow() {
        return Some(ScaleInReason::Slow);
    }
    let surplus = surplus.filter(|n| **n > 0)?;
    // A rented machine stays at least as long as it is charged for anyway. Spot and owned machines
    // may stand idle longer than on-demand ones, which cost more.
    let max_idle_s = match (instance.owned, instance.spot) {
        (true, _) => context.operator.idle_s,
        (false, true) => context.operator.idle_s.max(ON_DEMAND_IDLE_S),
        (false, false) => ON_DEMAND_IDLE_S,
    };
    let charged = !instance.owned
        && context.now.since(instance.rented_at) < MIN_CHARGE_S - MIN_CHARGE_MARGIN_S;
    if charged || context.now.since(machine.idle_since()) < max_idle_s || leading_s < max_idle_s {
        return None;
    }
    *surplus -= 1;
    Some(ScaleInReason::Idle)
}
