//! Links of controllers and zones: which messages are delivered, delayed or lost.

use super::Sim;
use crate::fault_injection::{Cut, LinkKind};
use beamhinge_emulator::Micros;

/// Processing time of the key-value store for a request, microseconds; multiplied while it is
/// slow.
const STATE_TIME: f64 = 3_000.0;
/// Messages that a cut delayed are delivered this long after its end.
const AFTER_CUT: Micros = 1_000;

/// The far end of a controller's link.
#[derive(Clone, Copy)]
pub(super) enum LinkEnd<'a> {
    State,
    Cloud,
    /// Another controller.
    Peer(usize),
    /// A worker in this zone.
    Worker(&'a str),
}

impl Sim {
    /// The zone that a controller is in.
    #[must_use]
    pub fn zone(&self, controller: usize) -> &str {
        &self.settings[controller].area
    }

    /// When a message over a controller's link arrives that would arrive at `at` without a
    /// fault; `None` if it is lost.
    pub(super) fn arrival_time(
        &self,
        controller: usize,
        end: LinkEnd,
        at: Micros,
    ) -> Option<Micros> {
        let (kind, far_zone) = match end {
            LinkEnd::State => (LinkKind::State, None),
            LinkEnd::Cloud => (LinkKind::Cloud, None),
            LinkEnd::Peer(peer) => (LinkKind::Peers, Some(self.zone(peer))),
            LinkEnd::Worker(zone) => (LinkKind::Workers, Some(zone)),
        };
        let faults = &self.faults;
        let mut cuts: Vec<Cut> = Vec::new();
        cuts.extend(faults.link_cuts.get(&(controller, kind)));
        if let LinkEnd::Peer(peer) = end {
            cuts.extend(faults.link_cuts.get(&(peer, kind)));
        }
        let zone = self.zone(controller);
        if far_zone != Some(zone) {
            cuts.extend(faults.zone_cuts.get(zone));
            cuts.extend(far_zone.and_then(|far| faults.zone_cuts.get(far)));
        }
        cuts.retain(|cut| self.now < cut.until);
        let at = at + faults.link_delay.get(self.now).unwrap_or(0);
        match cuts.iter().map(|cut| cut.until).max() {
            None => Some(at),
            Some(until) if cuts.iter().all(|cut| cut.holds) => Some(until.max(at) + AFTER_CUT),
            Some(_) => None,
        }
    }

    /// The zone of a machine; empty if the machine no longer exists.
    pub(super) fn worker_zone(&self, machine: u64) -> String {
        let worker = self.workers.get(&machine);
        worker.map(|w| w.zone.clone()).unwrap_or_default()
    }

    /// Additional processing time of the key-value store now.
    pub(super) fn state_delay(&self) -> Micros {
        let slowdown = self.faults.state_slowdown.get(self.now);
        slowdown.map_or(0, |factor| (factor * STATE_TIME) as Micros)
    }

    /// When a duplicate of a message that is sent now arrives; `None` if none is made.
    pub(super) fn draw_copy(&mut self) -> Option<Micros> {
        self.faults.duplication.draw(self.now, &mut self.rng)
    }
}
