//! Faults of a scale run: given by name and time, or drawn at random at the operators' rates times
//! a factor.

use super::size::{Rates, Size};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::str::FromStr;

/// Number of machines of a rack; they fail together.
pub(super) const MACHINES_PER_RACK: usize = 40;
/// Duration of a network partition, seconds.
pub(super) const PARTITION_S: f64 = 60.0;
/// Duration of a pause of the leader, seconds.
pub(super) const LEADER_PAUSE_S: f64 = 5.0;
/// Duration of a fault of the key-value store, slow or refusing, seconds.
pub(super) const STORE_FAULT_S: f64 = 5.0;
/// Extra delay of each response while the key-value store is slow, seconds.
pub(super) const STORE_DELAY_S: f64 = 0.3;
/// Time after which a killed controller is restarted, seconds.
pub(super) const RESTART_DELAY_S: f64 = 3.0;

const DAY_S: f64 = 86_400.0;
const YEAR_S: f64 = 365.0 * DAY_S;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FaultKind {
    MachineFailure,
    MachineRestart,
    RackFailure,
    /// A zone, with its workers and controllers, is partitioned from all others for a while.
    ZonePartition,
    /// Two regions are partitioned from each other.
    RegionPartition,
    /// The leader is killed.
    LeaderKilled,
    /// The leader is paused and resumed.
    LeaderPaused,
    StoreSlow,
    StoreRefusing,
}

const FAULT_NAMES: [(&str, FaultKind); 9] = [
    ("machine-fails", FaultKind::MachineFailure),
    ("machine-restarts", FaultKind::MachineRestart),
    ("rack-fails", FaultKind::RackFailure),
    ("zone-cut", FaultKind::ZonePartition),
    ("regions-apart", FaultKind::RegionPartition),
    ("leader-killed", FaultKind::LeaderKilled),
    ("leader-stopped", FaultKind::LeaderPaused),
    ("state-slow", FaultKind::StoreSlow),
    ("state-refuses", FaultKind::StoreRefusing),
];

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = FAULT_NAMES
            .iter()
            .find(|(_, kind)| kind == self)
            .map_or("", |(name, _)| name);
        f.write_str(name)
    }
}

/// A fault and when it is injected, seconds after the start of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Fault {
    pub kind: FaultKind,
    pub at_s: f64,
}

#[derive(Debug, thiserror::Error, PartialEq)]
pub(super) enum FaultError {
    #[error("fault '{0}' is not of the form KIND@SECONDS")]
    Format(String),
    #[error(
        "unknown fault '{0}'; the faults are {names}",
        names = FAULT_NAMES.map(|(n, _)| n).join(", ")
    )]
    UnknownKind(String),
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Fault, FaultError> {
        let format_error = || FaultError::Format(text.to_string());
        let (name, at) = text.split_once('@').ok_or_else(format_error)?;
        let at_s: f64 = at.parse().map_err(|_| format_error())?;
        if !(at_s.is_finite() && at_s >= 0.0) {
            return Err(format_error());
        }
        let kind = FAULT_NAMES
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, kind)| *kind);
        Ok(Fault {
            kind: kind.ok_or_else(|| FaultError::UnknownKind(name.to_string()))?,
            at_s,
        })
    }
}

/// The operators' rate of each kind of fault, per second.
fn rates_per_second(rates: &Rates, regions: usize) -> Vec<(FaultKind, f64)> {
    let region_partitions_per_s = if regions > 1 {
        rates.region_splits_per_year / YEAR_S
    } else {
        0.0
    };
    vec![
        (FaultKind::MachineFailure, rates.failures_per_day / DAY_S),
        (FaultKind::MachineRestart, rates.replaced_per_day / DAY_S),
        (FaultKind::RackFailure, rates.racks_per_year / YEAR_S),
        (FaultKind::ZonePartition, rates.zones_per_year / YEAR_S),
        (FaultKind::RegionPartition, region_partitions_per_s),
    ]
}

/// Draws the faults of `seconds` at the operators' rates times `speed_up`, sorted by time.
pub(super) fn draw(size: &Size, seconds: f64, speed_up: f64, seed: u64) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for (kind, rate) in rates_per_second(&size.rates, size.regions) {
        let rate = rate * speed_up;
        if rate <= 0.0 {
            continue;
        }
        let mut at_s = 0.0;
        loop {
            // Exponential interval between events of a Poisson process.
            at_s += -rng.gen_range(f64::MIN_POSITIVE..1.0f64).ln() / rate;
            if at_s >= seconds {
                break;
            }
            faults.push(Fault { kind, at_s });
        }
    }
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    faults
}

#[cfg(test)]
mod tests;
