//! Which machines may run the tasks of a job. The scheduler places tasks by these rules, and the
//! capacity planner, rentals and explanations count machines by them: a machine is room for a job
//! only if the scheduler may place the job on it.
//!
//! This module does not compare free resources; see [`crate::supply`].

use crate::job_store::JobSpec;
use crate::split::{MachineType, Resources};
use std::collections::{BTreeMap, BTreeSet};

/// Number of tasks of one job by the zone of their machine. The empty name stands for machines
/// whose zone is not known yet.
pub type ZoneCounts = BTreeMap<String, u32>;

/// The properties of a machine that a job can constrain. The machine may exist, boot, be requested
/// or be rentable.
#[derive(Clone, Copy, Debug)]
pub struct Site<'a> {
    /// Its machine type.
    pub machine_type: &'a MachineType,
    /// Its zone; empty if it is not known yet.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Constraint of a job that a machine does not meet, regardless of its free resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IneligibleReason {
    /// The job requires other machine types.
    MachineType,
    /// The job requires another zone.
    Zone,
    /// The job does not tolerate spot machines.
    Spot,
}

/// The constraints of a job that do not depend on its other tasks.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// Labels of the machine types that the job may use; `None` for all.
    pub machine_types: Option<&'a [String]>,
    /// The zone that the job requires; `None` for any.
    pub zone: Option<&'a str>,
    /// Whether the job may run on spot machines.
    pub spot: bool,
}

impl<'a> From<&'a JobSpec> for Constraints<'a> {
    fn from(spec: &'a JobSpec) -> Constraints<'a> {
        Constraints {
            machine_types: spec.machine_types.as_deref(),
            zone: spec.zone.as_deref(),
            spot: spec.spot,
        }
    }
}

impl Constraints<'_> {
    /// The first constraint that the machine does not meet; `None` if it meets all.
    pub fn ineligible_reason(&self, site: Site) -> Option<IneligibleReason> {
        if !self.allows_type(site.machine_type) {
            Some(IneligibleReason::MachineType)
        } else if self.zone.is_some_and(|zone| zone != site.zone) {
            Some(IneligibleReason::Zone)
        } else if site.spot && !self.spot {
            Some(IneligibleReason::Spot)
        } else {
            None
        }
    }

    /// Whether the job may use machines of the type, in any zone and market.
    pub fn allows_type(&self, machine_type: &MachineType) -> bool {
        self.machine_types
            .is_none_or(|labels| labels.contains(&machine_type.label))
    }

    /// Number of tasks with these resources that fit an empty machine of the type; 0 if the job may
    /// not use the type, or requires a zone in which it is not offered.
    pub fn fit(&self, machine_type: &MachineType, resources: &Resources) -> u32 {
        let offered = |zone: &str| machine_type.zones.iter().any(|offered| offered == zone);
        if self.allows_type(machine_type) && self.zone.is_none_or(offered) {
            machine_type.max_tasks(resources)
        } else {
            0
        }
    }
}

/// Guards against `wrong_place`: whether another task in `zone` would violate the job's zone rule,
/// given the zones of its other tasks.
pub fn violates_zone_rule(spec: &JobSpec, tasks_by_zone: &ZoneCounts, zone: &str) -> bool {
    if spec.single_zone && tasks_by_zone.keys().any(|other| other != zone) {
        return true;
    }
    // A task on a machine whose zone is not yet known may be in this one.
    let in_zone = tasks_by_zone.get(zone).unwrap_or(&0) + tasks_by_zone.get("").unwrap_or(&0);
    spec.spread && in_zone >= spec.tasks.div_ceil(2)
}

/// The zones in which tasks of a job may be placed.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneScope {
    /// Every zone.
    #[default]
    Any,
    /// Only these zones.
    Only(BTreeSet<String>),
}

impl ZoneScope {
    /// The zone that the job requires, or every zone.
    pub fn of_job(spec: &JobSpec) -> ZoneScope {
        match &spec.zone {
            Some(zone) => ZoneScope::Only(BTreeSet::from([zone.clone()])),
            None => ZoneScope::Any,
        }
    }

    /// The zones in which one more task of the job may be placed now, given the zones of its other
    /// tasks. `zones` are all zones in which machines are offered.
    pub fn of_next_task(
        spec: &JobSpec,
        tasks_by_zone: &ZoneCounts,
        zones: &BTreeSet<String>,
    ) -> ZoneScope {
        let scope = ZoneScope::of_job(spec);
        if !spec.single_zone && !spec.spread {
            return scope;
        }
        let allowed: BTreeSet<String> = zones
            .iter()
            .filter(|zone| scope.contains(zone) && !violates_zone_rule(spec, tasks_by_zone, zone))
            .cloned()
            .collect();
        if allowed == *zones {
            ZoneScope::Any
        } else {
            ZoneScope::Only(allowed)
        }
    }

    /// Whether tasks may be placed in the zone.
    pub fn contains(&self, zone: &str) -> bool {
        match self {
            ZoneScope::Any => true,
            ZoneScope::Only(zones) => zones.contains(zone),
        }
    }

    /// Whether no zone is allowed.
    pub fn is_empty(&self) -> bool {
        *self == ZoneScope::Only(BTreeSet::new())
    }
}

#[cfg(test)]
mod tests;
