//! Workers that report to a controller other than the leader. That controller records them in
//! [`MisroutedWorkers`] and announces them to the leader, which records the announcements in
//! [`PeerObservations`].

use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// Maximum number of machines recorded. Twice the 8,192 machines that a controller is designed
/// for, because the machines of a fleet that is being replaced stay recorded for some seconds
/// alongside the new ones.
const MAX_MACHINES: usize = 16_384;

/// The last report of a worker to a controller that is not the leader.
#[derive(Clone, Copy, Debug)]
struct MisroutedReport {
    at: Time,
    /// Whether the worker was redirected to the leader.
    redirected: bool,
}

/// Workers that reported to this controller although it is not the leader.
#[derive(Debug, Default)]
pub struct MisroutedWorkers {
    reports: BTreeMap<MachineId, MisroutedReport>,
}

impl MisroutedWorkers {
    /// Records a worker's report to this controller. Returns whether the worker was redirected to
    /// the leader within the last `within_s` seconds and came back, because the leader does not
    /// answer it.
    pub fn record_report(&mut self, now: Time, id: MachineId, within_s: f64) -> bool {
        let previous = self.reports.get(&id).copied();
        let returned = previous.is_some_and(|r| r.redirected && now.since(r.at) <= within_s);
        if self.reports.len() < MAX_MACHINES || previous.is_some() {
            let report = MisroutedReport {
                at: now,
                redirected: false,
            };
            self.reports.insert(id, report);
        }
        returned
    }

    /// Records that the worker is redirected to the leader.
    pub fn record_redirect(&mut self, id: MachineId) {
        if let Some(report) = self.reports.get_mut(&id) {
            report.redirected = true;
        }
    }

    /// Handles a change of the leader: no worker has been redirected to the new leader yet.
    pub fn on_leader_changed(&mut self) {
        for report in self.reports.values_mut() {
            report.redirected = false;
        }
    }

    /// Returns the workers that reported within the last `within_s` seconds and deletes the others.
    pub fn recent(&mut self, now: Time, within_s: f64) -> Vec<MachineId> {
        self.reports
            .retain(|_, report| now.since(report.at) <= within_s);
        self.reports.keys().copied().collect()
    }
}

/// Machines that report to the leader's peers, and the time of the peers' last announcement.
#[derive(Debug, Default)]
pub struct PeerObservations {
    announced_at: BTreeMap<MachineId, Time>,
}

impl PeerObservations {
    /// Records a peer's announcement that these machines report to it. Machines beyond
    /// [`MAX_MACHINES`] are ignored.
    pub fn record(&mut self, now: Time, machines: impl Iterator<Item = MachineId>) {
        for id in machines.take(MAX_MACHINES) {
            if self.announced_at.len() < MAX_MACHINES || self.announced_at.contains_key(&id) {
                self.announced_at.insert(id, now);
            }
        }
    }

    /// Deletes observations older than `within_s` seconds.
    pub fn expire(&mut self, now: Time, within_s: f64) {
        self.announced_at.retain(|_, at| now.since(*at) <= within_s);
    }

    /// Seconds since a peer last announced that this machine reports to it; `None` if no such
    /// announcement is recorded.
    pub fn age_s(&self, now: Time, id: MachineId) -> Option<f64> {
        self.announced_at.get(&id).map(|at| now.since(*at))
    }

    /// Number of machines recorded.
    pub fn len(&self) -> usize {
        self.announced_at.len()
    }

    /// Whether no machine is recorded.
    pub fn is_empty(&self) -> bool {
        self.announced_at.is_empty()
    }
}

#[cfg(test)]
mod tests;
