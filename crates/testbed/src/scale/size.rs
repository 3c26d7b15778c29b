//! What a scale run has to carry: the operators' table, and what the command line changes
//! of it. Checked before anything starts.

use beamhinge_dev_cluster::deployment::PlatformLimits;
use serde::{Deserialize, Serialize};
use std::fmt::Display;
use std::path::{Path, PathBuf};

/// The operators' table as it was given.
pub(super) const OPERATORS_TABLE: &str = include_str!("operators_table.toml");

/// Controllers are named by single letters.
const MAX_CONTROLLERS: usize = 26;
/// Workers of one run. A controller has a socket for each and half as many again; 12,000 need
/// 19,200 open files in a process, and more are beyond what a usual machine allows. The run
/// itself checks what this machine allows, before it starts.
const MAX_WORKERS: usize = 12_000;
const MAX_TEAMS: usize = 2_000;
const MAX_STARTS_PER_S: f64 = 2_000.0;

#[derive(Debug, thiserror::Error)]
pub(super) enum SizeError {
    #[error("{0}: {1}")]
    Read(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Form(String, toml::de::Error),
    #[error("{field} is {value}: {problem}")]
    Value {
        field: &'static str,
        value: String,
        problem: &'static str,
    },
}

/// What is spent on control at most.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Budget {
    /// Part of a core, for each worker.
    pub worker_core: f64,
    /// Resident memory of a worker, MB.
    pub worker_mb: f64,
    /// Bytes a second of a worker, both ways, KB.
    pub worker_kb_per_s: f64,
    /// Machines set aside for control.
    pub machines: usize,
}

/// How often faults occur.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Rates {
    pub failures_per_day: f64,
    pub replaced_per_day: f64,
    pub racks_per_year: f64,
    pub zones_per_year: f64,
    pub region_splits_per_year: f64,
}

/// One machine of the fleet: CPUs, GB, seconds until it is up.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MachineTable {
    pub cpus: f64,
    pub memory_gb: f64,
    pub boot_s: f64,
}

/// The whole table.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Size {
    pub workers: usize,
    pub controllers: usize,
    pub teams: usize,
    pub regions: usize,
    pub zones: usize,
    /// Task starts a second.
    pub starts_per_s: f64,
    /// Tasks running at the same time.
    pub running: usize,
    /// Changes of configuration a day.
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

fn refuse(field: &'static str, value: impl Display, problem: &'static str) -> SizeError {
    SizeError::Value {
        field,
        value: value.to_string(),
        problem,
    }
}

impl Size {
    /// Reads a table; unknown keys are refused with their line.
    pub(super) fn parse(name: &str, text: &str) -> Result<Size, SizeError> {
        toml::from_str(text).map_err(|e| SizeError::Form(name.to_string(), e))
    }

    pub(super) fn load(path: &Path) -> Result<Size, SizeError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SizeError::Read(path.to_path_buf(), e))?;
        Size::parse(&path.display().to_string(), &text)
    }

    /// Whether it can be played at all.
    pub(super) fn check(&self) -> Result<(), SizeError> {
        let counts = [
            ("workers", self.workers, MAX_WORKERS),
            ("controllers", self.controllers, MAX_CONTROLLERS),
            ("teams", self.teams, MAX_TEAMS),
            ("regions", self.regions, MAX_CONTROLLERS),
            ("zones", self.zones, self.workers),
        ];
        for (field, value, most) in counts {
            if value == 0 {
                return Err(refuse(field, value, "there must be at least one"));
            }
            if value > most {
                return Err(refuse(field, value, "more than this machine can play"));
            }
        }
        if self.zones < self.regions {
            return Err(refuse("zones", self.zones, "fewer than regions"));
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
                return Err(refuse(field, value, "it must be above zero"));
            }
        }
        if self.starts_per_s > MAX_STARTS_PER_S {
            return Err(refuse(
                "starts_per_s",
                self.starts_per_s,
                "more than can be played",
            ));
        }
        if self.running < self.starts_per_s.ceil() as usize {
            return Err(refuse(
                "running",
                self.running,
                "tasks would run for less than a second",
            ));
        }
        if self.task_cpus() < 0.05 {
            return Err(refuse(
                "running",
                self.running,
                "tasks would be smaller than 0.05 CPUs",
            ));
        }
        Ok(())
    }

    /// What a task takes of its machine so that all that run fill seven tenths of the
    /// fleet, CPUs.
    pub(super) fn task_cpus(&self) -> f64 {
        let fleet = self.workers as f64 * self.machine.cpus;
        (fleet * FILLED / self.running as f64 * 100.0).floor() / 100.0
    }

    /// How long a task runs in the mean, seconds.
    pub(super) fn run_s(&self) -> f64 {
        self.running as f64 / self.starts_per_s
    }

    /// The region of a zone, both by their places: neighbouring zones share one.
    pub(super) fn region_of(&self, zone: usize) -> usize {
        zone * self.regions / self.zones
    }

    pub(super) fn zone_name(&self, zone: usize) -> String {
        format!("r{}-z{}", self.region_of(zone) + 1, zone + 1)
    }
}

/// Part of the fleet that the tasks fill.
const FILLED: f64 = 0.7;

#[cfg(test)]
mod tests;
