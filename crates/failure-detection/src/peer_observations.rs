//! What controllers tell each other of the machines that try them.

use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// Machines that are remembered at once. Twice the 8,192 machines that a controller is
/// built for, since those of a fleet that is being replaced are remembered for some seconds
/// beside the new ones.
const MAX_MACHINES: usize = 16_384;

/// Machines that tried a controller which does not hold them.
#[derive(Debug, Default)]
pub struct MisroutedWorkers {
    /// When it came, and whether it was sent to the holder.
    record_report: BTreeMap<MachineId, (Time, bool)>,
}

impl MisroutedWorkers {
    /// A machine reported here. Returns whether it was sent to the holder within
    /// the last `within_s` seconds, and came back: the holder does not answer it.
    pub fn record_report(&mut self, now: Time, id: MachineId, within_s: f64) -> bool {
        let known = self.record_report.get(&id).copied();
        let again = known.is_some_and(|(at, sent)| sent && now.since(at) <= within_s);
        if self.record_report.len() < MAX_MACHINES || known.is_some() {
            self.record_report.insert(id, (now, false));
        }
        again
    }

    /// It is sent to the holder.
    pub fn record_redirect(&mut self, id: MachineId) {
        if let Some((_, sent)) = self.record_report.get_mut(&id) {
            *sent = true;
        }
    }

    /// There is another holder: nobody was sent to it yet.
    pub fn on_leader_changed(&mut self) {
        self.record_report
            .values_mut()
            .for_each(|(_, sent)| *sent = false);
    }

    /// Who came within the last `within_s` seconds; the others are forgotten.
    pub fn recent(&mut self, now: Time, within_s: f64) -> Vec<MachineId> {
        self.record_report
            .retain(|_, (at, _)| now.since(*at) <= within_s);
        self.record_report.keys().copied().collect()
    }
}

/// At the holder: who was heard by a peer, and when.
#[derive(Debug, Default)]
pub struct PeerObservations {
    heard: BTreeMap<MachineId, Time>,
}

impl PeerObservations {
    /// A peer says that it hears these.
    pub fn record(&mut self, now: Time, machines: impl Iterator<Item = MachineId>) {
        for id in machines.take(MAX_MACHINES) {
            if self.heard.len() < MAX_MACHINES || self.heard.contains_key(&id) {
                self.heard.insert(id, now);
            }
        }
    }

    /// Forgets what is older than `within_s` seconds.
    pub fn expire(&mut self, now: Time, within_s: f64) {
        self.heard.retain(|_, at| now.since(*at) <= within_s);
    }

    /// Seconds since a peer last said that it hears this machine.
    pub fn age_s(&self, now: Time, id: MachineId) -> Option<f64> {
        self.heard.get(&id).map(|at| now.since(*at))
    }

    pub fn len(&self) -> usize {
        self.heard.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn memory_is_bounded_and_old_words_lapse() {
        let id = |n: u32| MachineId::parse(&format!("n-{n:06}")).expect("a name");
        let at = |s: f64| Time::default().plus(10.0 + s);
        let mut v = MisroutedWorkers::default();
        assert!(!v.record_report(at(0.0), id(1), 12.0));
        v.record_redirect(id(1));
        assert!(
            v.record_report(at(5.0), id(1), 12.0),
            "it came back: where it was sent, nobody answers"
        );
        v.record_redirect(id(1));
        assert!(!v.record_report(at(30.0), id(1), 12.0));
        v.record_redirect(id(1));
        v.on_leader_changed();
        assert!(
            !v.record_report(at(30.5), id(1), 12.0),
            "the new holder may answer it"
        );
        for n in 0..MAX_MACHINES as u32 + 5_000 {
            v.record_report(at(31.0), id(n), 12.0);
        }
        let all = v.recent(at(31.0), 6.0);
        assert_eq!(all.len(), MAX_MACHINES);
        let mut e = PeerObservations::default();
        e.record(at(31.0), all.iter().copied());
        e.record(at(31.0), (0..40_000).map(id));
        assert_eq!(e.len(), MAX_MACHINES);
        assert!(e
            .age_s(at(33.0), id(3))
            .is_some_and(|s| (s - 2.0).abs() < 1e-6));
        e.expire(at(40.0), 6.0);
        assert!(e.is_empty());
    }

    /// With more machines than 4,096, those of the highest numbers were never named to the
    /// holder, which took them for dead.
    #[test]
    fn all_machines_of_a_large_fleet_are_known() {
        let id = |n: u32| MachineId::parse(&format!("n-{n:06}")).expect("a name");
        let at = |s: f64| Time::default().plus(10.0 + s);
        let (mut misrouted_workers, mut heard) =
            (MisroutedWorkers::default(), PeerObservations::default());
        for n in 0..8_192 {
            misrouted_workers.record_report(at(0.0), id(n), 12.0);
            misrouted_workers.record_redirect(id(n));
        }
        assert!((0..8_192).all(|n| misrouted_workers.record_report(at(1.0), id(n), 12.0)));
        let all = misrouted_workers.recent(at(1.0), 6.0);
        assert_eq!(all.len(), 8_192);
        heard.record(at(1.0), all.into_iter());
        assert!((0..8_192).all(|n| heard.age_s(at(2.0), id(n)).is_some()));
    }
}
