//! The inventory: what the cloud's list says of the machines.

use super::cloud_protocol::{HostList, HostRow};
use super::instance::{Instance, InstanceStatus};
use super::term::{listing_delay_s, LeaderTerm};
use crate::split::MachineType;
use beamhinge_core::types::{MachineId, Time};

/// Seconds between two passes over the list.
const LIST_INTERVAL_S: f64 = 1.5;
/// How long a released machine is remembered, which a lagging list may still name, seconds.
const RELEASED_MEMORY_S: f64 = 120.0;

/// Where the reading of the list stands. A pass is one reading of all its pages.
#[derive(Default)]
pub(super) struct Listing {
    in_flight: bool,
    /// When the last pass was completed, or given up.
    ended_at: Time,
    /// Last machine of the page before; none at the beginning of a pass.
    after: Option<String>,
    /// When the pass that is under way began.
    pass_began: Time,
    completed_passes: u32,
}

impl Listing {
    /// Whether a page is to be read now; if so, the call counts as in flight.
    pub(super) fn begin_page(&mut self, now: Time) -> bool {
        if self.in_flight || now.since(self.ended_at) <= LIST_INTERVAL_S {
            return false;
        }
        self.in_flight = true;
        if self.after.is_none() {
            self.pass_began = now;
        }
        true
    }

    /// The machine behind which the next page begins.
    pub(super) fn next_page_after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// A page could not be read: the next pass begins anew.
    pub(super) fn restart(&mut self, now: Time) {
        self.in_flight = false;
        self.after = None;
        self.ended_at = now;
    }

    /// Whether the whole list was read at least once.
    pub(super) fn is_complete(&self) -> bool {
        self.completed_passes > 0
    }
}

impl LeaderTerm {
    /// Takes in one page of the list.
    pub(super) fn apply_host_list(
        &mut self,
        now: Time,
        list_lag_s: f64,
        list: &HostList,
        machine_types: &[MachineType],
    ) {
        self.listing.in_flight = false;
        for row in &list.hosts {
            self.apply_host_row(now, row, machine_types);
        }
        self.listing.after = if list.more {
            list.hosts.last().map(|h| h.name_id.clone())
        } else {
            None
        };
        if self.listing.after.is_none() {
            self.complete_listing_pass(now, list_lag_s);
        }
    }

    /// Rows with an unknown name or type, and machines that were released, are skipped.
    fn apply_host_row(&mut self, now: Time, row: &HostRow, machine_types: &[MachineType]) {
        let Some(id) = MachineId::parse(&row.name_id) else {
            return;
        };
        if self.released.contains_key(&id) {
            return;
        }
        let Some(machine_type) = machine_types
            .iter()
            .position(|t| t.label == row.machine_type)
        else {
            return;
        };
        let status = row.instance_status();
        let instance = self
            .instances
            .entry(id)
            .or_insert_with(|| Instance::from_listing(row, machine_type, now));
        // The list may step back: a machine that ran does not boot again.
        if !(instance.status == InstanceStatus::Running && status == InstanceStatus::Booting) {
            instance.status = status;
        }
        instance.endpoint = row.socket_address().or(instance.endpoint);
        instance.listed_at = Some(now);
    }

    fn complete_listing_pass(&mut self, now: Time, list_lag_s: f64) {
        self.listing.completed_passes += 1;
        self.listing.ended_at = now;
        // Before the first rental ever, all that is listed is the operators' own.
        if self.rentals.owned.is_none() && self.rentals.is_record_absent() {
            self.rentals.owned = Some(self.instances.keys().copied().collect());
        }
        for id in self.rentals.owned.iter().flatten() {
            if let Some(instance) = self.instances.get_mut(id) {
                instance.owned = true;
            }
        }
        self.released
            .retain(|_, at| now.since(*at) < RELEASED_MEMORY_S);
        let pass_began = self.listing.pass_began;
        for instance in self.instances.values_mut() {
            let listed = instance.listed_at.is_some_and(|at| at >= pass_began);
            let must_be_listed = pass_began.since(instance.rented_at) > listing_delay_s(list_lag_s);
            instance.missed_listings = if listed || !must_be_listed {
                0
            } else {
                instance.missed_listings + 1
            };
        }
    }
}
