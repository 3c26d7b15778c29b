//! The leader's state of the fleet during one term.

use super::instance::Instance;
use super::inventory::Listing;
use super::machine_health::MachineHealth;
use super::plan_report::PlanReport;
use super::rentals::Rentals;
use super::scale_in::ScaleInCalls;
use super::silence_thresholds;
use crate::capacity_planner::CapacityPlanner;
use beamhinge_core::settings::{OperatorSettings, Settings};
use beamhinge_core::types::{FencingToken, MachineId, Time};
use std::collections::BTreeMap;

/// State of one term; dropped when the term ends.
pub(super) struct LeaderTerm {
    pub(super) token: FencingToken,
    pub(super) began_at: Time,
    /// The machine inventory.
    pub(super) instances: BTreeMap<MachineId, Instance>,
    /// Machines whose release the cloud confirmed, and when. They are remembered because a lagging
    /// list may still name them.
    pub(super) released: BTreeMap<MachineId, Time>,
    pub(super) listing: Listing,
    pub(super) rentals: Rentals,
    pub(super) scale_in: ScaleInCalls,
    pub(super) health: MachineHealth,
    /// When the fleet was last compared with the target capacity.
    pub(super) planned_at: Time,
    pub(super) planner: CapacityPlanner,
    /// What the latest plan wanted and counted.
    pub(super) report: PlanReport,
    #[cfg(feature = "faults")]
    pub(super) faults: crate::faults::Faults,
}

impl LeaderTerm {
    pub(super) fn new(
        now: Time,
        token: FencingToken,
        operator: &OperatorSettings,
        settings: &Settings,
    ) -> LeaderTerm {
        LeaderTerm {
            token,
            began_at: now,
            instances: BTreeMap::new(),
            released: BTreeMap::new(),
            listing: Listing::default(),
            rentals: Rentals::new(),
            scale_in: ScaleInCalls::new(),
            health: MachineHealth::new(silence_thresholds(settings)),
            planned_at: Time::default(),
            planner: CapacityPlanner::new(operator, token, now),
            report: PlanReport::default(),
            #[cfg(feature = "faults")]
            faults: crate::faults::Faults::default(),
        }
    }
}

/// Time after which every list shows a rented machine, seconds: no list is older than twice the
/// lag that the cloud states.
pub(super) fn listing_delay_s(list_lag_s: f64) -> f64 {
    list_lag_s * 2.0 + 2.0
}
