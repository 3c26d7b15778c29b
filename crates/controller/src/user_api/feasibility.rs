//! Whether a job can ever run here.

use crate::job_store::{self, JobKind, JobSpec};
use crate::split::{self, MachineType, Resources};
use beamhinge_configuration::{EffectiveTeam, Quota};
use beamhinge_core::settings::Settings;
use beamhinge_core::wire;

/// Whether a job can ever run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feasibility {
    /// It can run, though perhaps not now.
    Feasible,
    /// It can never run; the reason, as its user is told.
    Infeasible(&'static str),
    /// Not yet known: machine types or teams have not been read.
    Unknown,
}

/// Decides by the quota of the job's team (`None`: there is no such team) and by the machine
/// types (empty: not yet known).
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
    // What no value of the key-value store can hold can never be accepted. A tenth of the
    // largest value stays free for the records that follow: a job must always be able to end.
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
    let fits = |machine_type: &MachineType| {
        split::allowed_fit(machine_type, &resources, &spec.machine_types, &spec.zone) > 0
    };
    if machine_types.iter().any(fits) {
        Feasibility::Feasible
    } else {
        Feasibility::Infeasible("a task fits no allowed machine type")
    }
}

/// Whether what must run at the same time is more than the team may use at most.
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
