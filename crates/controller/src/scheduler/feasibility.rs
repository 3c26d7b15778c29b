//! Feasibility: which machines accept tasks, and which of them a job may use.
//!
//! This module does not compare free resources; `bin_packing` does.

use super::machine::Machine;
use super::Scheduler;
use crate::job_store::JobSpec;
use crate::split::MachineType;
use beamhinge_core::types::Time;
use std::collections::BTreeMap;

/// Number of tasks of one job by the zone of their machine. The empty name stands for machines
/// whose zone is not known yet.
pub(super) type ZoneCounts = BTreeMap<String, u32>;

/// Constraint of a job that a machine does not meet, regardless of its free resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnschedulableReason {
    /// The job requires other machine types.
    MachineType,
    /// The job requires another zone.
    Zone,
    /// The job does not tolerate spot machines.
    Spot,
}

/// The first constraint of the job that the machine does not meet; `None` if it meets all.
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

/// Guards against `wrong_place`: whether another task in `zone` would violate the job's zone rule,
/// given the zones of its other tasks.
pub(super) fn violates_zone_rule(spec: &JobSpec, tasks_by_zone: &ZoneCounts, zone: &str) -> bool {
    if spec.single_zone && tasks_by_zone.keys().any(|other| other != zone) {
        return true;
    }
    // A task on a machine whose zone is not yet known may be in this one.
    let in_zone = tasks_by_zone.get(zone).unwrap_or(&0) + tasks_by_zone.get("").unwrap_or(&0);
    spec.spread && in_zone >= spec.tasks.div_ceil(2)
}

/// Why a machine currently gets no tasks of any job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BlockingReason {
    /// It has not reported recently, or reports too irregularly.
    Unreachable,
    /// Its newest report did not carry the fencing token of this leader.
    StaleToken,
    /// It refused a task recently.
    Refusing,
    /// It does not acknowledge commands and is in backoff.
    Unresponsive,
    /// The cloud has announced that it will reclaim it.
    Reclaimed,
    /// It is being returned to the cloud.
    Returning,
    /// It is drained by operators.
    Drained,
    /// Tasks fail on it that succeed on other machines.
    Quarantined,
    /// Tasks run much slower on it than on other machines.
    Slow,
}

impl Scheduler {
    /// Whether a machine may get tasks.
    pub(super) fn accepts_tasks(&self, now: Time, machine: &Machine) -> bool {
        self.blocking_reason(now, machine).is_none()
    }

    /// The first reason why a machine gets no tasks; `None` if it may get tasks.
    pub(super) fn blocking_reason(&self, now: Time, machine: &Machine) -> Option<BlockingReason> {
        let alive = machine
            .liveness
            .last_heartbeat
            .is_some_and(|at| now.since(at) < self.report_timeout_s());
        let conditions = [
            (machine.lifecycle.drain.is_some(), BlockingReason::Drained),
            (machine.lifecycle.returning, BlockingReason::Returning),
            (
                !alive || !machine.liveness.reports_regularly,
                BlockingReason::Unreachable,
            ),
            (
                !machine.acknowledgement.has_current_token,
                BlockingReason::StaleToken,
            ),
            (
                machine.lifecycle.reclaim_announced,
                BlockingReason::Reclaimed,
            ),
            (machine.health.quarantined, BlockingReason::Quarantined),
            (machine.health.slow, BlockingReason::Slow),
            (
                now < machine.health.refuses_tasks_until,
                BlockingReason::Refusing,
            ),
            (
                machine.acknowledgement.tracker.in_backoff(now),
                BlockingReason::Unresponsive,
            ),
        ];
        conditions
            .into_iter()
            .find(|(applies, _)| *applies)
            .map(|(_, reason)| reason)
    }
}
