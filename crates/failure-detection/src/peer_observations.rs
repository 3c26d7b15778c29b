//! Workers that report to a controller which does not lead: at that controller
//! ([`MisroutedWorkers`]), and at the leader, which its peers tell of them ([`PeerObservations`]).

use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// Machines that are remembered at once. Twice the 8,192 machines that a controller is
/// built for, since those of a fleet that is being replaced are remembered for some seconds
/// beside the new ones.
const MAX_MACHINES: usize = 16_384;

/// The last report of a worker to a controller that does not lead.
#[derive(Clone, Copy, Debug)]
struct MisroutedReport {
    at: Time,
    /// Whether the worker was redirected to the leader.
    redirected: bool,
}

/// Workers that reported to this controller though it does not lead.
#[derive(Debug, Default)]
pub struct MisroutedWorkers {
    reports: BTreeMap<MachineId, MisroutedReport>,
}

impl MisroutedWorkers {
    /// A worker reported here. Returns whether it was redirected to the leader within the last
    /// `within_s` seconds and came back: the leader does not answer it.
    pub fn record_report(&mut self, now: Time, id: MachineId, within_s: f64) -> bool {
        let known = self.reports.get(&id).copied();
        let returned = known.is_some_and(|r| r.redirected && now.since(r.at) <= within_s);
        if self.reports.len() < MAX_MACHINES || known.is_some() {
            let report = MisroutedReport {
                at: now,
                redirected: false,
            };
            self.reports.insert(id, report);
        }
        returned
    }

    /// The worker is redirected to the leader.
    pub fn record_redirect(&mut self, id: MachineId) {
        if let Some(report) = self.reports.get_mut(&id) {
            report.redirected = true;
        }
    }

    /// Another controller leads: no worker was redirected to it yet.
    pub fn on_leader_changed(&mut self) {
        for report in self.reports.values_mut() {
            report.redirected = false;
        }
    }

    /// Workers that reported within the last `within_s` seconds; the others are forgotten.
    pub fn recent(&mut self, now: Time, within_s: f64) -> Vec<MachineId> {
        self.reports
            .retain(|_, report| now.since(report.at) <= within_s);
        self.reports.keys().copied().collect()
    }
}

/// At the leader: machines that peers hear, and when they last said so.
#[derive(Debug, Default)]
pub struct PeerObservations {
    heard_at: BTreeMap<MachineId, Time>,
}

impl PeerObservations {
    /// A peer announces that it hears these machines. Beyond [`MAX_MACHINES`] further ones are
    /// left out.
    pub fn record(&mut self, now: Time, machines: impl Iterator<Item = MachineId>) {
        for id in machines.take(MAX_MACHINES) {
            if self.heard_at.len() < MAX_MACHINES || self.heard_at.contains_key(&id) {
                self.heard_at.insert(id, now);
            }
        }
    }

    /// Forgets what is older than `within_s` seconds.
    pub fn expire(&mut self, now: Time, within_s: f64) {
        self.heard_at.retain(|_, at| now.since(*at) <= within_s);
    }

    /// Seconds since a peer last announced that it hears this machine.
    pub fn age_s(&self, now: Time, id: MachineId) -> Option<f64> {
        self.heard_at.get(&id).map(|at| now.since(*at))
    }

    /// Number of machines that are remembered.
    pub fn len(&self) -> usize {
        self.heard_at.len()
    }

    /// Whether no machine is remembered.
    pub fn is_empty(&self) -> bool {
        self.heard_at.is_empty()
    }
}

#[cfg(test)]
mod tests;
