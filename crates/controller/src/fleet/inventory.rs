//! The machine inventory, read from the cloud's list.

use super::cloud_protocol::{HostList, HostRow};
use super::instance::{Instance, InstanceStatus};
use super::term::{listing_delay_s, LeaderTerm};
use crate::split::MachineType;
use beamhinge_core::types::{MachineId, Time};

/// Interval between two passes over the list, seconds.
const LIST_INTERVAL_S: f64 = 1.5;
/// How long a released machine is remembered, because a lagging list may still name it, seconds.
const RELEASED_RETENTION_S: f64 = 120.0;

/// Progress of reading the list. A pass reads all pages of the list once.
#[derive(Default)]
pub(super) struct Listing {
    in_flight: bool,
    /// When the last pass was completed or aborted.
    ended_at: Time,
    /// Last machine of the previous page; `None` at the beginning of a pass.
    after: Option<String>,
    /// When the current pass began.
    pass_began_at: Time,
    completed_passes: u32,
}

impl Listing {
    /// Returns whether a page is due to be read, and if so marks the call as in flight.
    pub(super) fn begin_page(&mut self, now: Time) -> bool {
        if self.in_flight || now.since(self.ended_at) <= LIST_INTERVAL_S {
            return false;
        }
        self.in_flight = true;
        if self.after.is_none() {
            self.pass_began_at = now;
        }
        true
    }

    /// The machine after which the next page begins; `None` for the first page.
    pub(super) fn next_page_after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Aborts the pass because a page could not be read; the next pass starts from the first page.
    pub(super) fn restart(&mut self, now: Time) {
        self.in_flight = false;
        self.after = None;
        self.ended_at = now;
    }

    /// Whether the whole list has been read at least once.
    pub(super) fn is_complete(&self) -> bool {
        self.completed_passes > 0
    }
}

impl LeaderTerm {
    /// Applies one page of the list.
    pub(super) fn apply_machine_list(
        &mut self,
        now: Time,
        list_lag_s: f64,
        list: &HostList,
        machine_types: &[MachineType],
    ) {
        self.listing.in_flight = false;
        for row in &list.hosts {
            self.apply_machine_row(now, row, machine_types);
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

    /// Applies one row. Rows with an unparsable name or an unknown type, and rows of released
    /// machines, are skipped.
    fn apply_machine_row(&mut self, now: Time, row: &HostRow, machine_types: &[MachineType]) {
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
        // A list may be older than one read before: a running machine does not return to booting.
        if !(instance.status == InstanceStatus::Running && status == InstanceStatus::Booting) {
            instance.status = status;
        }
        instance.endpoint = row.socket_address().or(instance.endpoint);
        instance.listed_at = Some(now);
    }

    fn complete_listing_pass(&mut self, now: Time, list_lag_s: f64) {
        self.listing.completed_passes += 1;
        self.listing.ended_at = now;
        // Before the first rental ever, all listed machines were provided by the operators.
        if self.rentals.owned.is_none() && self.rentals.is_record_absent() {
            self.rentals.owned = Some(self.instances.keys().copied().collect());
        }
        for id in self.rentals.owned.iter().flatten() {
            if let Some(instance) = self.instances.get_mut(id) {
                instance.owned = true;
            }
        }
        self.released
            .retain(|_, at| now.since(*at) < RELEASED_RETENTION_S);
        let pass_began_at = self.listing.pass_began_at;
        for instance in self.instances.values_mut() {
            let listed = instance.listed_at.is_some_and(|at| at >= pass_began_at);
            let must_be_listed =
                pass_began_at.since(instance.rented_at) > listing_delay_s(list_lag_s);
            instance.missed_listings = if listed || !must_be_listed {
                0
            } else {
                instance.missed_listings + 1
            };
        }
    }
}
