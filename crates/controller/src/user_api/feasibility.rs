//! Feasibility of jobs: decides whether a job can ever run in this cluster.

use crate::eligibility::Constraints;
use crate::job_store::{self, JobKind, JobSpec};
use crate::split::{self, MachineType, Resources};
use beamhinge_configuration::{EffectiveTeam, Quota};
use beamhinge_core::settings::Settings;
use beamhinge_core::wire;

/// Whether a job can ever run in this cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feasibility {
    /// The job can run, though perhaps not now.
    Feasible,
    /// The job can never run; the text is the reason that is sent to the user.
    Infeasible(&'static str),
    /// Not yet known, since the machine types or the teams have not been read.
    Unknown,
}

/// Assesses a job by the quota of its team and by the machine types. `team` is `None` if the
/// team does not exist; `machine_types` is empty if they are not known yet.
#[must_use]
pub fn assess(
    spec: &JobSpec,
    team: Option<&EffectiveTeam>,
    settings: &Settings,
    machine_types: &[MachineType],
) -> Feasibility {
    let Some(team) = team else {
        return Feasibility::Infeasible("unknown team");
    };
    if team.removed {
        return Feasibility::Infeasible("the team was removed");
    }
    if exceeds_limit(spec, &team.quota) {
        return Feasibility::Infeasible("above the team's limit");
    }
    // A job whose record exceeds the largest value of the key-value store can never be accepted.
    // A tenth of the largest value is reserved for the job's later records, so that the job can
    // always end.
    if wire::json_len(&job_store::open_record(spec)) > settings.value_limit() {
        return Feasibility::Infeasible("the description is longer than the state service takes");
    }
    if machine_types.is_empty() {
        return Feasibility::Unknown;
    }
    let resources = Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    };
    let fits =
        |machine_type: &MachineType| Constraints::from(spec).fit(machine_type, &resources) > 0;
    if machine_types.iter().any(fits) {
        Feasibility::Feasible
    } else {
        Feasibility::Infeasible("a task fits no allowed machine type")
    }
}

/// Whether the tasks that must run at the same time exceed the team's limit. All tasks of a
/// service run at the same time; of other jobs, only a single task must fit.
fn exceeds_limit(spec: &JobSpec, quota: &Quota) -> bool {
    let simultaneous = if spec.kind == JobKind::Service {
        f64::from(spec.tasks)
    } else {
        1.0
    };
    let above =
        |amount: f64, limit: f64| limit > 0.0 && amount * simultaneous > limit + split::EPSILON;
    above(spec.cpus, quota.cpus_max) || above(spec.gpus, quota.gpus_max)
}
