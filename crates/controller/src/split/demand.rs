//! The remaining demand of a job, and the machine type on which it is cheapest.

use super::machine_type::{MachineClass, MachineType, Market};
use crate::eligibility::{Constraints, ZoneScope};
use beamhinge_core::resources::Resources;
use beamhinge_core::types::JobId;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Machine types whose costs differ by at most this fraction count as equally cheap.
const EQUAL_COST_FRACTION: f64 = 0.1;
/// Factor on the cost of a type that some job depends on because its tasks fit no other type.
const EXCLUSIVE_COST_FACTOR: f64 = 2.0;
/// Maximum number of tasks planned to run in sequence on one slot.
const MAX_SEQUENTIAL_TASKS: f64 = 16.0;

/// Markets that recently refused a request.
pub type RefusedMarkets = BTreeSet<Market>;

/// The remaining demand of one job.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Id of the job.
    pub job: JobId,
    /// Class of the job.
    pub class: Rc<str>,
    /// Resources of one task.
    pub resources: Resources,
    /// Number of tasks that have not ended.
    pub remaining_tasks: u32,
    /// Number of the remaining tasks that are placed on a machine.
    pub placed_tasks: u32,
    /// Expected run time of a task, corrected by the observed run times of the class, seconds.
    pub run_s: f64,
    /// Time since submission, seconds.
    pub age_s: f64,
    /// Deadline, seconds from submission; `None` for jobs without a deadline.
    pub deadline_s: Option<f64>,
    /// Size of the image, gigabytes.
    pub image_gb: f64,
    /// Priority of the job; a higher number comes first.
    pub priority: u8,
    /// Whether the job's tasks are independent, so that it can be split.
    pub deadline_array: bool,
    /// Whether the job may run on spot machines.
    pub spot: bool,
    /// Labels of the machine types that the job may use; `None` for all.
    pub machine_types: Option<Vec<String>>,
    /// Zones in which its waiting tasks may be placed now.
    pub zones: ZoneScope,
    /// Zones that its placed tasks may use.
    pub placed_zones: ZoneScope,
}

impl Demand {
    /// Number of the job's tasks that fit an empty machine of the type.
    pub fn fit(&self, machine_type: &MachineType) -> u32 {
        let constraints = Constraints {
            machine_types: self.machine_types.as_deref(),
            zone: None,
            spot: self.spot,
        };
        if machine_type.zones.iter().any(|zone| self.may_use(zone)) {
            constraints.fit(machine_type, &self.resources)
        } else {
            0
        }
    }

    /// Whether its tasks may be placed in the zone: its waiting tasks, if there are any.
    pub fn may_use(&self, zone: &str) -> bool {
        if self.waiting() > 0 {
            self.zones.contains(zone)
        } else {
            self.placed_zones.contains(zone)
        }
    }

    /// Whether every market of the type that its tasks may use recently refused a request.
    pub fn is_refused(
        &self,
        machine_type: usize,
        zones: &[String],
        refused: &RefusedMarkets,
    ) -> bool {
        let is_refused = |zone: &str, spot| {
            let class = MachineClass { machine_type, spot };
            refused.contains(&Market::new(class, zone))
        };
        zones
            .iter()
            .filter(|zone| self.may_use(zone))
            .all(|zone| is_refused(zone, false) && (!self.spot || is_refused(zone, true)))
    }

    /// Number of tasks that are not placed.
    pub fn waiting(&self) -> u32 {
        self.remaining_tasks.saturating_sub(self.placed_tasks)
    }
}

/// The machine type chosen for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TypeChoice {
    /// Index into the machine types.
    pub machine_type: usize,
    /// Number of the job's tasks that fit one machine.
    pub fit: u32,
}

/// The machine type on which the job's tasks cost least; `None` if they fit no type.
///
/// A type that some job depends on, because its tasks fit no other type, is counted at twice its
/// cost, so other jobs use it only if every alternative costs at least twice as much. Of equally
/// cheap types the one with the fewest CPUs is chosen.
pub fn cheapest_type(
    machine_types: &[MachineType],
    demand: &Demand,
    exclusive: &[bool],
) -> Option<TypeChoice> {
    let cost = |index: usize, machine_type: &MachineType, fit: u32| {
        let price = if demand.spot {
            machine_type.low_price
        } else {
            machine_type.rate
        };
        let factor = if exclusive.get(index).copied().unwrap_or(false) {
            EXCLUSIVE_COST_FACTOR
        } else {
            1.0
        };
        price * factor / f64::from(fit)
    };
    machine_types
        .iter()
        .enumerate()
        .map(|(index, t)| (index, t, demand.fit(t)))
        .filter(|(_, _, fit)| *fit > 0)
        .min_by(|(i, a, fit_a), (j, b, fit_b)| {
            let (cost_a, cost_b) = (cost(*i, a, *fit_a), cost(*j, b, *fit_b));
            if (cost_a - cost_b).abs() <= EQUAL_COST_FRACTION * cost_a.max(cost_b) {
                a.cpus.total_cmp(&b.cpus)
            } else {
                cost_a.total_cmp(&cost_b)
            }
        })
        .map(|(machine_type, _, fit)| TypeChoice { machine_type, fit })
}

/// For each machine type, whether some job depends on it because its tasks fit no other type.
pub fn exclusive_types(machine_types: &[MachineType], demands: &[Demand]) -> Vec<bool> {
    let mut exclusive = vec![false; machine_types.len()];
    for demand in demands {
        let mut fitting = (0..machine_types.len())
            .filter(|index| machine_types.get(*index).is_some_and(|t| demand.fit(t) > 0));
        if let (Some(only), None) = (fitting.next(), fitting.next()) {
            exclusive[only] = true;
        }
    }
    exclusive
}

/// How many tasks of `run_s` seconds can run in sequence within `window_s` seconds. The result is
/// not rounded, because other jobs can use the remaining time.
pub fn sequential_tasks(window_s: f64, run_s: f64) -> f64 {
    if run_s <= 0.0 {
        return 1.0;
    }
    (window_s / run_s).clamp(1.0, MAX_SEQUENTIAL_TASKS)
}
