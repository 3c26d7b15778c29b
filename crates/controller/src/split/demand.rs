//! What a job still needs, and the machine type on which it is cheapest.

use super::machine_type::{allowed_fit, MachineType};
use beamhinge_core::resources::Resources;
use beamhinge_core::types::JobId;
use std::rc::Rc;

/// Types whose costs differ by less than this part count as equally cheap.
const EQUAL_COST_FRACTION: f64 = 0.1;
/// Factor on the cost of a type that other work depends on.
const EXCLUSIVE_COST_FACTOR: f64 = 2.0;
/// Most tasks that are planned to follow each other on one slot.
const MAX_SEQUENTIAL_TASKS: f64 = 16.0;

/// Work of one job that is not done.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The job.
    pub job: JobId,
    /// Its class.
    pub class: Rc<str>,
    /// What one task takes of its machine.
    pub resources: Resources,
    /// Tasks that have not ended.
    pub remaining_tasks: u32,
    /// Those of them that are on a machine.
    pub placed_tasks: u32,
    /// Run time of a task, corrected by what runs of its class showed, seconds.
    pub run_s: f64,
    /// Time since its submission, seconds.
    pub age_s: f64,
    /// Deadline, seconds from its submission; none for jobs without deadline.
    pub deadline_s: Option<f64>,
    /// Size of its image, gigabytes.
    pub image_gb: f64,
    /// Priority.
    pub priority: u8,
    /// Whether its tasks are independent, so that it can be split.
    pub deadline_array: bool,
    /// Whether it may run on spot machines.
    pub spot: bool,
    /// Labels of the types that it may use; none for all.
    pub machine_types: Option<Vec<String>>,
    /// The zone that it asks for.
    pub zone: Option<String>,
}

impl Demand {
    /// Number of its tasks that fit a machine of the type.
    fn fit(&self, machine_type: &MachineType) -> u32 {
        allowed_fit(
            machine_type,
            &self.resources,
            &self.machine_types,
            &self.zone,
        )
    }

    /// Tasks that are on no machine.
    pub fn waiting(&self) -> u32 {
        self.remaining_tasks.saturating_sub(self.placed_tasks)
    }
}

/// The type chosen for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TypeChoice {
    /// Index into the machine types.
    pub machine_type: usize,
    /// Tasks of the job that fit one machine.
    pub fit: u32,
}

/// The type on which the job's tasks cost least; none if they fit no type.
///
/// Types that some work depends on, because its tasks fit nowhere else, are left to it as long as
/// another type costs less than twice as much. Of equally cheap types the smallest is chosen.
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

/// For each type, whether some job depends on it because its tasks fit no other.
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

/// How many tasks of `run_s` seconds can follow each other in `window_s` seconds. Not a whole
/// number: what one job leaves over another takes up.
pub fn sequential_tasks(window_s: f64, run_s: f64) -> f64 {
    if run_s <= 0.0 {
        return 1.0;
    }
    (window_s / run_s).clamp(1.0, MAX_SEQUENTIAL_TASKS)
}
