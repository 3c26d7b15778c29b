//! Format of the planner's record, stored under [`KEY`] in the key-value store.

use crate::eligibility::ZoneScope;
use crate::split::{Demand, Resources};
use beamhinge_core::types::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Key of the record.
pub(super) const KEY: &str = "split/now";
/// Key prefix of the scan that reads the record.
pub(super) const PREFIX: &str = "split/";
/// Format version that this program reads and writes.
pub(super) const RECORD_VERSION: u32 = 1;
/// Stored numbers must be below this bound to be plausible.
const MAX_STORED_VALUE: f64 = 1e7;

/// State of the planner that the next leader resumes from.
#[derive(Serialize, Deserialize)]
pub(super) struct PlannerRecord {
    #[serde(rename = "v")]
    pub(super) version: u32,
    /// The learner's weights.
    pub(super) weights: Vec<f64>,
    /// Open jobs: index of the parameters, and owned machines, by job id.
    pub(super) splits: BTreeMap<String, (usize, f64)>,
    /// Ratio of run time to estimate, by class.
    #[serde(rename = "runs")]
    pub(super) run_ratios: BTreeMap<String, f64>,
    /// The load from which standby capacity is computed, by class.
    #[serde(default)]
    pub(super) loads: BTreeMap<String, StoredLoad>,
}

/// The load of a class, which a new leader needs to maintain the standby capacity. Without it,
/// standby machines were returned after each failover and rented again when the next jobs arrived.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredLoad {
    /// Highest recent load, tasks running at once.
    #[serde(rename = "widest")]
    pub(super) max_load: f64,
    /// Mean time between arrivals, seconds.
    pub(super) gap_s: f64,
    /// Resources of one task of the latest job: CPUs, GPUs, gigabytes of memory.
    #[serde(rename = "size")]
    pub(super) task_size: (f64, f64, f64),
    /// Whether the latest job may run on spot machines.
    pub(super) spot: bool,
}

impl StoredLoad {
    /// Whether the values are plausible; an implausible load is ignored.
    pub(super) fn is_plausible(&self) -> bool {
        let (cpus, gpus, memory_gb) = self.task_size;
        let all = [self.max_load, self.gap_s, cpus, gpus, memory_gb];
        all.iter()
            .all(|x| x.is_finite() && *x >= 0.0 && *x < MAX_STORED_VALUE)
            && cpus > 0.0
    }

    /// A job of the class without remaining tasks, which serves as its latest job until the next
    /// one arrives.
    pub(super) fn typical_demand(&self, class: Rc<str>) -> Option<Demand> {
        let (cpus, gpus, memory_gb) = self.task_size;
        Some(Demand {
            job: JobId::parse("job-0")?,
            class,
            resources: Resources {
                cpus,
                gpus,
                memory_gb,
            },
            remaining_tasks: 0,
            placed_tasks: 0,
            run_s: 0.0,
            age_s: 0.0,
            deadline_s: None,
            image_gb: 0.0,
            priority: 0,
            deadline_array: true,
            spot: self.spot,
            machine_types: None,
            zones: ZoneScope::Any,
            placed_zones: ZoneScope::Any,
        })
    }
}
