//! The record of rentals, stored under [`RENTALS_KEY`] in the key-value store.
//!
//! A rental's name is recorded before it is used, so that a new leader knows of machines that may
//! appear although the cloud's list does not show them yet.

use beamhinge_core::types::MachineId;
use serde::{Deserialize, Serialize};

/// Key of the record.
pub(super) const RENTALS_KEY: &str = "fleet/rentals";
/// Key prefix of the scan that reads the record.
pub(super) const RENTALS_PREFIX: &str = "fleet/";
/// Format version of the record that this program reads and writes.
pub(super) const RECORD_VERSION: u32 = 1;

/// One recorded request for machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RentalEntry {
    /// Idempotency key of the request; it contains the fencing token of the leader that made it.
    pub(super) name: String,
    #[serde(rename = "shape")]
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) count: u32,
}

/// The record of all rentals in use.
#[derive(Serialize, Deserialize)]
pub(super) struct RentalRecord {
    #[serde(rename = "v")]
    pub(super) version: u32,
    pub(super) rentals: Vec<RentalEntry>,
    /// Machines that existed before the service rented any.
    #[serde(default)]
    pub(super) owned: Vec<String>,
    /// Owned machines as ranges of consecutive names (first, last), used when the list of all
    /// names would exceed the size limit of a value.
    #[serde(rename = "spans", default, skip_serializing_if = "Vec::is_empty")]
    pub(super) owned_ranges: Vec<(String, String)>,
}

impl RentalRecord {
    /// All owned machines, from the list and the ranges. Names that cannot be parsed are omitted.
    pub(super) fn owned_machines(&self) -> Vec<MachineId> {
        let ranges = self.owned_ranges.iter().filter_map(|(first, last)| {
            Some(MachineId::parse(first)?.range_to(MachineId::parse(last)?))
        });
        self.owned
            .iter()
            .filter_map(|m| MachineId::parse(m))
            .chain(ranges.flatten())
            .collect()
    }
}

/// Groups machines into ranges of consecutive names, and returns the first and last of each.
pub(super) fn consecutive_ranges(
    machines: impl Iterator<Item = MachineId>,
) -> Vec<(String, String)> {
    let mut ranges: Vec<(MachineId, MachineId)> = Vec::new();
    let mut sorted: Vec<MachineId> = machines.collect();
    sorted.sort_unstable();
    for machine in sorted {
        match ranges.last_mut() {
            Some((_, last)) if last.next() == machine => *last = machine,
            _ => ranges.push((machine, machine)),
        }
    }
    ranges
        .into_iter()
        .map(|(first, last)| (first.to_string(), last.to_string()))
        .collect()
}

#[cfg(test)]
mod tests;
