//! The planner's stored record, under [`KEY`] in the key-value store.

use crate::split::{Demand, Resources};
use beamhinge_core::types::JobId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Key of the record.
pub(super) const KEY: &str = "split/now";
/// Prefix under which it is read.
pub(super) const PREFIX: &str = "split/";
/// The form that this version reads and writes.
pub(super) const RECORD_VERSION: u32 = 1;
/// Largest stored value that can be meant.
const MAX_STORED_VALUE: f64 = 1e7;

/// The record.
#[derive(Serialize, Deserialize)]
pub(super) struct PlannerRecord {
    #[serde(rename = "v")]
    pub(super) version: u32,
    /// The learner's weights.
    pub(super) weights: Vec<f64>,
    /// By job: index of its parameters, and its owned machines.
    pub(super) splits: BTreeMap<String, (usize, f64)>,
    /// By class: run time over estimate.
    #[serde(rename = "runs")]
    pub(super) run_ratios: BTreeMap<String, f64>,
    /// By class: the load for which capacity is kept ready.
    #[serde(default)]
    pub(super) loads: BTreeMap<String, StoredLoad>,
}

/// What a new leader needs to go on keeping capacity ready: without it the machines were returned
/// after each failover, and rented again with the next jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredLoad {
    /// The highest recent load, tasks.
    #[serde(rename = "widest")]
    pub(super) max_load: f64,
    /// Time between jobs, seconds.
    pub(super) gap_s: f64,
    /// Size of one task of the latest job: CPUs, GPUs, gigabytes of memory.
    #[serde(rename = "size")]
    pub(super) task_size: (f64, f64, f64),
    pub(super) spot: bool,
}

impl StoredLoad {
    /// Whether the values can be meant; a load that cannot is left out.
    pub(super) fn is_plausible(&self) -> bool {
        let (cpus, gpus, memory_gb) = self.task_size;
        let all = [self.max_load, self.gap_s, cpus, gpus, memory_gb];
        all.iter()
            .all(|x| x.is_finite() && *x >= 0.0 && *x < MAX_STORED_VALUE)
            && cpus > 0.0
    }

    /// A job of the class without work, which stands for the latest one until the next arrives.
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
            zone: None,
        })
    }
}
