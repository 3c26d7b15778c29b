//! Feasibility: which machines accept tasks at all, and which a job may use.
//!
//! Nothing here compares free resources; that is the business of `bin_packing`.

use super::machine::Machine;
use super::Scheduler;
use crate::job_store::JobSpec;
use crate::split::MachineType;
use beamhinge_core::types::Time;
use std::collections::BTreeMap;

/// Tasks of one job by the zone of their machine; the empty name stands for machines whose zone
/// is not known yet.
pub(super) type ZoneCounts = BTreeMap<String, u32>;

/// Constraint of a job that a machine does not meet, however much is free on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnschedulableReason {
    /// The job names machine types, and not this one.
    MachineType,
    /// The job names another zone.
    Zone,
    /// The job does not tolerate spot machines.
    Spot,
}

/// The first constraint of the job that the machine does not meet.
pub(super) fn unschedulable_reason(
    spec: &JobSpec,
    machine_type: &MachineType,
    machine: &Machine,
) -> Option<UnschedulableReason> {
    if spec
        .machine_types
        .as_ref()
        .is_some_and(|labels| !labels.contains(&machine_type.label))
    {
        Some(UnschedulableReason::MachineType)
    } else if spec
        .zone
        .as_ref()
        .is_some_and(|zone| *zone != machine.identity.zone)
    {
        Some(UnschedulableReason::Zone)
    } else if machine.identity.spot && !spec.spot {
        Some(UnschedulableReason::Spot)
    } else {
        None
    }
}

/// Whether the machine meets all constraints of the job.
pub(super) fn is_feasible(spec: &JobSpec, machine_type: &MachineType, machine: &Machine) -> bool {
    unschedulable_reason(spec, machine_type, machine).is_none()
}

/// Guards against `wrong_place`: whether another task in `zone` would break the job's rule about
/// zones, given where its other tasks are.
pub(super) fn violates_zone_rule(spec: &JobSpec, tasks_by_zone: &ZoneCounts, zone: &str) -> bool {
    if spec.single_zone && tasks_by_zone.keys().any(|other| other != zone) {
        return true;
    }
    // A task on a machine whose zone is not yet known may be in this one.
    let in_zone = tasks_by_zone.get(zone).unwrap_or(&0) + tasks_by_zone.get("").unwrap_or(&0);
    spec.spread && in_zone >= spec.tasks.div_ceil(2)
}

/// Why a machine gets no tasks of any job for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BlockingReason {
    /// Its reports stay away, or come too irregularly.
    Silent,
    /// Its newest report did not carry the fencing token of this leader.
    Unsynced,
    /// It refused a task a moment ago.
    Refusing,
    /// It does not do what it is told.
    Unresponsive,
    /// The cloud reclaims it.
    Reclaimed,
    /// It is being returned to the cloud.
    Returning,
    /// Operators drain it.
    Drained,
    /// Tasks fail on it.
    Quarantined,
    /// Tasks run too slowly on it.
    Slow,
}

impl Scheduler {
    /// Whether a machine may get tasks.
    pub(super) fn accepts_tasks(&self, now: Time, machine: &Machine) -> bool {
        self.blocking_reason(now, machine).is_none()
    }

    /// The first reason that keeps all tasks from a machine.
    pub(super) fn blocking_reason(&self, now: Time, machine: &Machine) -> Option<BlockingReason> {
        let alive = machine
            .liveness
            .last_heartbeat
            .is_some_and(|at| now.since(at) < self.silence_timeout_s());
        let conditions = [
            (machine.lifecycle.drain.is_some(), BlockingReason::Drained),
            (machine.lifecycle.returning, BlockingReason::Returning),
            (!alive || !machine.liveness.regular, BlockingReason::Silent),
            (
                !machine.acknowledgement.has_current_token,
                BlockingReason::Unsynced,
            ),
            (
                machine.lifecycle.reclaim_announced,
                BlockingReason::Reclaimed,
            ),
            (machine.health.quarantined, BlockingReason::Quarantined),
            (machine.health.slow, BlockingReason::Slow),
            (now < machine.health.refuses_until, BlockingReason::Refusing),
            (
                machine.acknowledgement.tracker.in_backoff(now),
                BlockingReason::Unresponsive,
            ),
        ];
        conditions
            .into_iter()
            .find(|(holds, _)| *holds)
            .map(|(_, reason)| reason)
    }
}
