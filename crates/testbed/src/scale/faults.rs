//! Faults of a scale run: given by name and time, or drawn at random at the operators' rates times
//! a factor.

use super::size::{Rates, Size};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::str::FromStr;

/// Number of machines of a rack; they fail together.
pub(super) const RACK: usize = 40;
/// Duration of a network partition, seconds.
pub(super) const CUT_S: f64 = 60.0;
/// Duration of a pause of the leader, seconds.
pub(super) const STOPPED_S: f64 = 5.0;
/// Duration of a fault of the key-value store, slow or refusing, seconds.
pub(super) const STATE_S: f64 = 5.0;
/// Extra delay of each response while the key-value store is slow, seconds.
pub(super) const STATE_DELAY_S: f64 = 0.3;
/// Time after which a killed controller is restarted, seconds.
pub(super) const RESTART_S: f64 = 3.0;

const DAY_S: f64 = 86_400.0;
const YEAR_S: f64 = 365.0 * DAY_S;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FaultKind {
    MachineFails,
    MachineRestarts,
    RackFails,
    /// A zone, with its workers and controllers, is partitioned from all others for a while.
    ZoneCut,
    /// Two regions are partitioned from each other.
    RegionsApart,
    /// The leader is killed.
    LeaderKilled,
    /// The leader is paused and resumed.
    LeaderStopped,
    StateSlow,
    StateRefuses,
}

const NAMES: [(&str, FaultKind); 9] = [
    ("machine-fails", FaultKind::MachineFails),
    ("machine-restarts", FaultKind::MachineRestarts),
    ("rack-fails", FaultKind::RackFails),
    ("zone-cut", FaultKind::ZoneCut),
    ("regions-apart", FaultKind::RegionsApart),
    ("leader-killed", FaultKind::LeaderKilled),
    ("leader-stopped", FaultKind::LeaderStopped),
    ("state-slow", FaultKind::StateSlow),
    ("state-refuses", FaultKind::StateRefuses),
];

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = NAMES
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
    Form(String),
    #[error(
        "unknown fault '{0}'; the faults are {names}",
        names = NAMES.map(|(n, _)| n).join(", ")
    )]
    Kind(String),
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Fault, FaultError> {
        let form = || FaultError::Form(text.to_string());
        let (name, at) = text.split_once('@').ok_or_else(form)?;
        let at_s: f64 = at.parse().map_err(|_| form())?;
        if !(at_s.is_finite() && at_s >= 0.0) {
            return Err(form());
        }
        let kind = NAMES
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, kind)| *kind);
        Ok(Fault {
            kind: kind.ok_or_else(|| FaultError::Kind(name.to_string()))?,
            at_s,
        })
    }
}

/// The operators' rate of each kind of fault, per second.
fn per_second(rates: &Rates, regions: usize) -> Vec<(FaultKind, f64)> {
    let apart = if regions > 1 {
        rates.region_splits_per_year / YEAR_S
    } else {
        0.0
    };
    vec![
        (FaultKind::MachineFails, rates.failures_per_day / DAY_S),
        (FaultKind::MachineRestarts, rates.replaced_per_day / DAY_S),
        (FaultKind::RackFails, rates.racks_per_year / YEAR_S),
        (FaultKind::ZoneCut, rates.zones_per_year / YEAR_S),
        (FaultKind::RegionsApart, apart),
    ]
}

/// Draws the faults of `seconds` at the operators' rates times `speed_up`, sorted by time.
pub(super) fn drawn(size: &Size, seconds: f64, speed_up: f64, seed: u64) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    for (kind, rate) in per_second(&size.rates, size.regions) {
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
