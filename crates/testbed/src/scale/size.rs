//! Size of a scale run: the operators' table, with changes from the command line. It is validated
//! before anything starts.

use beamhinge_dev_cluster::deployment::PlatformLimits;
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::path::{Path, PathBuf};

/// The operators' table, unchanged.
pub(super) const OPERATORS_TABLE: &str = include_str!("operators_table.toml");

/// Controllers are named with single letters.
const MAX_CONTROLLERS: usize = 26;
/// Most workers of one run. A controller has a socket for each worker and half as many again.
/// 12,000 workers need 19,200 open files in a process; more exceed the limit of a usual computer.
/// The run itself checks the limit of this computer before it starts.
const MAX_WORKERS: usize = 12_000;
const MAX_TEAMS: usize = 2_000;
const MAX_STARTS_PER_S: f64 = 2_000.0;

#[derive(Debug, thiserror::Error)]
pub(super) enum SizeError {
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Parse(String, toml::de::Error),
    #[error("{field} is {value}: {problem}")]
    Value {
        field: &'static str,
        value: String,
        problem: &'static str,
    },
}

/// Upper limits of the cost of scheduling.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Budget {
    /// Processor time of a worker, as a fraction of a core.
    pub worker_core: f64,
    /// Resident memory of a worker, MB.
    pub worker_mb: f64,
    /// Traffic of a worker in both directions together, KB per second.
    pub worker_kb_per_s: f64,
    /// Machines reserved for controllers.
    pub machines: usize,
}

/// Rates of faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Rates {
    pub failures_per_day: f64,
    pub replaced_per_day: f64,
    pub racks_per_year: f64,
    pub zones_per_year: f64,
    pub region_splits_per_year: f64,
}

/// Machine type of the fleet: CPUs, memory in GB, and boot time in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MachineTable {
    pub cpus: f64,
    pub memory_gb: f64,
    pub boot_s: f64,
}

/// The whole table of the operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Size {
    pub workers: usize,
    pub controllers: usize,
    pub teams: usize,
    pub regions: usize,
    pub zones: usize,
    /// Task starts per second.
    pub starts_per_s: f64,
    /// Tasks running at the same time.
    pub running: usize,
    /// Configuration changes per day.
    pub config_changes: u32,
    pub config_in_force_s: f64,
    pub urgent_start_s: f64,
    /// Time between a worker's reports, seconds.
    pub report_s: f64,
    pub budget: Budget,
    pub rates: Rates,
    pub platform: PlatformLimits,
    pub machine: MachineTable,
}

fn invalid(field: &'static str, value: impl Display, problem: &'static str) -> SizeError {
    SizeError::Value {
        field,
        value: value.to_string(),
        problem,
    }
}

impl Size {
    /// Parses a table. An unknown key is an error that names its line.
    pub(super) fn parse(name: &str, text: &str) -> Result<Size, SizeError> {
        toml::from_str(text).map_err(|e| SizeError::Parse(name.to_string(), e))
    }

    pub(super) fn load(path: &Path) -> Result<Size, SizeError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SizeError::Read(path.to_path_buf(), e))?;
        Size::parse(&path.display().to_string(), &text)
    }

    /// Checks that a run of this size is possible.
    pub(super) fn validate(&self) -> Result<(), SizeError> {
        let counts = [
            ("workers", self.workers, MAX_WORKERS),
            ("controllers", self.controllers, MAX_CONTROLLERS),
            ("teams", self.teams, MAX_TEAMS),
            ("regions", self.regions, MAX_CONTROLLERS),
            ("zones", self.zones, self.workers),
        ];
        for (field, value, max) in counts {
            if value == 0 {
                return Err(invalid(field, value, "must be at least 1"));
            }
            if value > max {
                return Err(invalid(field, value, "above the supported maximum"));
            }
        }
        if self.zones < self.regions {
            return Err(invalid(
                "zones",
                self.zones,
                "must be at least the number of regions",
            ));
        }
        let positive = [
            ("starts_per_s", self.starts_per_s),
            ("report_s", self.report_s),
            ("urgent_start_s", self.urgent_start_s),
            ("platform.lease_s", self.platform.lease_s),
            ("platform.state_rps", self.platform.state_rps),
            ("platform.state_write_rps", self.platform.state_write_rps),
            ("platform.cloud_rps", self.platform.cloud_rps),
            ("machine.cpus", self.machine.cpus),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(invalid(field, value, "must be above zero"));
            }
        }
        if self.starts_per_s > MAX_STARTS_PER_S {
            return Err(invalid(
                "starts_per_s",
                self.starts_per_s,
                "above the supported maximum",
            ));
        }
        if self.running < self.starts_per_s.ceil() as usize {
            return Err(invalid(
                "running",
                self.running,
                "tasks would run for less than a second",
            ));
        }
        if self.task_cpus() < 0.05 {
            return Err(invalid(
                "running",
                self.running,
                "tasks would need less than 0.05 CPUs",
            ));
        }
        Ok(())
    }

    /// CPUs of a task such that the running tasks fill seven tenths of the fleet.
    pub(super) fn task_cpus(&self) -> f64 {
        let fleet = self.workers as f64 * self.machine.cpus;
        (fleet * FLEET_UTILIZATION / self.running as f64 * 100.0).floor() / 100.0
    }

    /// Mean run time of a task, seconds.
    pub(super) fn run_s(&self) -> f64 {
        self.running as f64 / self.starts_per_s
    }

    /// Index of the region of a zone; neighbouring zones share a region.
    pub(super) fn region_of(&self, zone: usize) -> usize {
        zone * self.regions / self.zones
    }

    pub(super) fn zone_name(&self, zone: usize) -> String {
        format!("r{}-z{}", self.region_of(zone) + 1, zone + 1)
    }
}

/// Fraction of the fleet's CPUs that the running tasks fill.
const FLEET_UTILIZATION: f64 = 0.7;

#[cfg(test)]
mod tests;
