//! Links of controllers and zones: what passes, what is held, what is lost.

use super::*;

/// The far end of a controller's link.
#[derive(Clone, Copy)]
pub(super) enum LinkEnd<'a> {
    State,
    Cloud,
    Peer(usize),
    Worker(&'a str),
}

impl Sim {
    pub(super) fn cut(&self, node: usize, what: &str) -> bool {
        self.cuts
            .get(&(node, what.to_string()))
            .is_some_and(|(until, _)| self.now < *until)
    }

    /// The zone that a controller is in.
    pub fn area(&self, node: usize) -> &str {
        &self.settings[node].area
    }

    pub(super) fn zone_is_cut(&self, zone: &str) -> bool {
        self.zone_cuts
            .get(zone)
            .is_some_and(|(until, _)| self.now < *until)
    }

    /// When a message over a controller's link arrives that would do so at `at`;
    /// none: it is lost.
    pub(super) fn passes(&self, node: usize, far: LinkEnd, at: Micros) -> Option<Micros> {
        let (what, elsewhere) = match far {
            LinkEnd::State => ("state", None),
            LinkEnd::Cloud => ("cloud", None),
            LinkEnd::Peer(p) => ("peers", Some(self.area(p))),
            LinkEnd::Worker(zone) => ("workers", Some(zone)),
        };
        let mut broken: Vec<(Micros, bool)> = Vec::new();
        broken.extend(self.cuts.get(&(node, what.to_string())));
        if let LinkEnd::Peer(p) = far {
            broken.extend(self.cuts.get(&(p, what.to_string())));
        }
        let at = at + self.link_delay();
        let area = self.area(node);
        if elsewhere != Some(area) {
            broken.extend(self.zone_cuts.get(area));
            broken.extend(elsewhere.and_then(|z| self.zone_cuts.get(z)));
        }
        broken.retain(|(until, _)| self.now < *until);
        match broken.iter().map(|(until, _)| *until).max() {
            None => Some(at),
            Some(until) if broken.iter().all(|(_, held)| *held) => Some(until.max(at) + 1_000),
            Some(_) => None,
        }
    }

    pub(super) fn worker_zone(&self, machine: u64) -> String {
        self.workers
            .get(&machine)
            .map(|w| w.zone.clone())
            .unwrap_or_default()
    }
}
