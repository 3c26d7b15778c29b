//! What each party is sure to keep.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A class of jobs of one team; none: an unknown team.
pub type Party = (Option<usize>, Rc<str>);

/// CPUs that each party holds, and how many it keeps against others' claims.
///
/// The part is of the room that the party's tasks fit into at all: idle-time work
/// that needs large machines keeps a part of those, and not of small ones on which
/// it could not run.
#[derive(Debug, Default)]
pub struct Keep {
    held: BTreeMap<Party, f64>,
    sure: BTreeMap<Party, f64>,
    part: f64,
}

impl Keep {
    /// Each keeps this part of its room, divided among those that fit the same.
    pub fn new(part: f64) -> Keep {
        Keep {
            part: part.clamp(0.0, 1.0),
            ..Keep::default()
        }
    }

    /// A party holds so much more.
    pub fn holds(&mut self, party: &Party, cpus: f64) {
        match self.held.get_mut(party) {
            Some(held) => *held += cpus,
            None => {
                self.held.insert(party.clone(), cpus);
            }
        }
    }

    /// The room that a party's tasks fit into; the least of what its jobs say.
    pub fn fits_into(&mut self, party: &Party, cpus: f64) {
        let sure = cpus * self.part;
        let known = self.sure.get(party).copied().unwrap_or(f64::INFINITY);
        if sure < known {
            self.sure.insert(party.clone(), sure);
        }
    }

    /// Divides the parts, so that all together keep no more than one part.
    pub fn divide(&mut self) {
        let parties = self.sure.len().max(1) as f64;
        self.sure.values_mut().for_each(|s| *s /= parties);
    }

    /// Whether so much may be taken from a party.
    pub fn may_take(&self, party: &Party, cpus: f64) -> bool {
        let held = self.held.get(party).copied().unwrap_or(0.0);
        let sure = self.sure.get(party).copied().unwrap_or(0.0);
        held - cpus >= sure
    }

    /// So much was taken.
    pub fn took(&mut self, party: &Party, cpus: f64) {
        if let Some(held) = self.held.get_mut(party) {
            *held -= cpus;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_party_is_not_stopped_below_its_part() {
        let party = |name: &str| -> Party { (Some(1), name.into()) };
        let (guests, probes) = (party("guests"), party("probes"));
        let mut keep = Keep::new(0.5);
        keep.fits_into(&guests, 100.0);
        keep.fits_into(&guests, 80.0);
        keep.fits_into(&probes, 400.0);
        keep.divide();
        keep.holds(&guests, 60.0);
        let mut taken = 0;
        while keep.may_take(&guests, 8.0) {
            keep.took(&guests, 8.0);
            taken += 1;
        }
        assert_eq!(taken, 5, "20 of 60 stay: half of 80, divided by two");
        assert!(
            !keep.may_take(&probes, 1.0),
            "what holds nothing loses nothing"
        );
        assert!(Keep::new(0.0).may_take(&guests, 0.0));
    }
}
