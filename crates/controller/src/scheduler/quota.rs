//! Team quotas: the usage of a team, and which of its limits another task would exceed.

use super::Scheduler;
use crate::split::{Resources, EPSILON};
use beamhinge_configuration::Quota;

/// Resources that the tasks of one team use, from planning until their end is proven.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TeamUsage {
    pub(super) cpus: f64,
    pub(super) gpus: f64,
}

impl TeamUsage {
    /// Adds the resources of one task.
    pub(super) fn add(&mut self, resources: &Resources) {
        self.cpus += resources.cpus;
        self.gpus += resources.gpus;
    }

    /// Subtracts the resources of one task.
    pub(super) fn sub(&mut self, resources: &Resources) {
        self.cpus -= resources.cpus;
        self.gpus -= resources.gpus;
    }

    /// Whether it exceeds a limit of the quota.
    pub(super) fn exceeds(&self, quota: &Quota) -> bool {
        quota.cpus_max > 0.0 && self.cpus > quota.cpus_max + EPSILON
            || quota.gpus_max > 0.0 && self.gpus > quota.gpus_max + EPSILON
    }
}

/// A limit of a team that another task would exceed.
pub(super) struct QuotaExceeded {
    /// Name of the resource as shown to operators.
    pub(super) resource: &'static str,
    /// Amount that the team uses now.
    pub(super) used: f64,
    /// Amount that the task would add.
    pub(super) wanted: f64,
    /// Amount that the team may use.
    pub(super) limit: f64,
}

impl Scheduler {
    /// Guard: a team's tasks never use more than its limit, counted from planning until their end
    /// is proven. Returns the first limit that a task of this size would exceed; `None` if there
    /// is none.
    pub(super) fn quota_exceeded(
        &self,
        usage: TeamUsage,
        team: usize,
        resources: &Resources,
    ) -> Option<QuotaExceeded> {
        let quota = &self.teams[team];
        let checks = [
            QuotaExceeded {
                resource: "CPUs",
                used: usage.cpus,
                wanted: resources.cpus,
                limit: quota.cpus_max,
            },
            QuotaExceeded {
                resource: "GPUs",
                used: usage.gpus,
                wanted: resources.gpus,
                limit: quota.gpus_max,
            },
        ];
        checks
            .into_iter()
            .find(|check| check.limit > 0.0 && check.used + check.wanted > check.limit + EPSILON)
    }
}
