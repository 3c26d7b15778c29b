//! Feasibility: which machines accept tasks, and which of them a job may use by
//! [`crate::eligibility`].
//!
//! This module does not compare free resources; `bin_packing` does.

use super::machine::Machine;
use super::Scheduler;
use crate::eligibility::{Constraints, IneligibleReason, Site};
use crate::job_store::JobSpec;
use crate::split::MachineType;
use beamhinge_core::types::Time;

/// The first constraint of the job that the machine does not meet; `None` if it meets all.
pub(super) fn unschedulable_reason(
    spec: &JobSpec,
    machine_type: &MachineType,
    machine: &Machine,
) -> Option<IneligibleReason> {
    Constraints::from(spec).ineligible_reason(Site {
        machine_type,
        zone: &machine.identity.zone,
        spot: machine.identity.spot,
    })
}

/// Whether the machine meets all constraints of the job.
pub(super) fn is_feasible(spec: &JobSpec, machine_type: &MachineType, machine: &Machine) -> bool {
    unschedulable_reason(spec, machine_type, machine).is_none()
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
