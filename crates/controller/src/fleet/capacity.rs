//! Counts the machines that exist, boot or are requested: their numbers, and the room on them.

use super::instance::Instance;
use super::rental_record::RentalEntry;
use super::rentals::Rental;
use crate::scheduler::{Machine, Scheduler};
use crate::split::{MachineClass, MachineType, Market};
use crate::supply::{Supply, Vacancy};
use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// A machine is expected to be up after this multiple of its stated boot time, because boot times
/// vary.
pub(super) const BOOT_TIME_FACTOR: f64 = 1.2;
/// Minimum remaining boot time assumed for a booting machine, as a fraction of its boot time.
const MIN_REMAINING_BOOT_FRACTION: f64 = 0.2;

/// Machines that exist, boot or are requested.
#[derive(Default)]
pub(super) struct Capacity {
    /// Number of machines that count as capacity, by class.
    pub(super) machines: BTreeMap<MachineClass, u32>,
    /// The same by market.
    pub(super) machines_by_market: BTreeMap<Market, u32>,
    /// Number of those that have reported, by class.
    pub(super) reporting: BTreeMap<MachineClass, u32>,
    /// The same machines as room for tasks.
    pub(super) supply: Supply,
    pub(super) owned_cpus: f64,
    pub(super) idle_owned_cpus: f64,
    /// Expected number of shielded machines that is not yet included in `machines`, by class;
    /// less than 1.
    pub(super) shielded_credit: BTreeMap<MachineClass, f64>,
}

impl Capacity {
    pub(super) fn count(&self, class: MachineClass) -> u32 {
        self.machines.get(&class).copied().unwrap_or(0)
    }

    pub(super) fn count_reporting(&self, class: MachineClass) -> u32 {
        self.reporting.get(&class).copied().unwrap_or(0)
    }

    pub(super) fn add_machines(&mut self, class: MachineClass, zone: &str, count: u32) {
        *self.machines.entry(class).or_default() += count;
        let market = Market::new(class, zone);
        *self.machines_by_market.entry(market).or_default() += count;
    }

    /// Counts a machine behind a link suspected to be broken as a fraction, which decreases as it
    /// stays unreachable, so that such machines are replaced gradually.
    pub(super) fn add_shielded(
        &mut self,
        instance: &Instance,
        outage_s: f64,
        machine_type: &MachineType,
    ) {
        let class = instance.class();
        let credit = self.shielded_credit.entry(class).or_default();
        *credit += recovery_credit(outage_s, machine_type.boot_s);
        if *credit >= 1.0 {
            *credit -= 1.0;
            self.add_machines(class, &instance.zone, 1);
            self.add_empty_machine(class, &instance.zone, machine_type, machine_type.boot_s);
        }
    }

    /// Adds a machine without tasks as room that is free after some time.
    fn add_empty_machine(
        &mut self,
        class: MachineClass,
        zone: &str,
        machine_type: &MachineType,
        ready_s: f64,
    ) {
        let vacancy = Vacancy::whole(machine_type);
        let free = [(ready_s, machine_type.cpus)];
        self.supply.add_machine(class, zone, vacancy, free);
    }

    /// Adds a machine that is up or booting.
    pub(super) fn add_instance(
        &mut self,
        now: Time,
        id: MachineId,
        instance: &Instance,
        machine_types: &[MachineType],
        scheduler: &Scheduler,
    ) {
        let class = instance.class();
        let machine = scheduler.machine(id);
        let machine_type = machine_types.get(class.machine_type);
        self.add_machines(class, &instance.zone, 1);
        if machine.is_some_and(|m| m.last_heartbeat().is_some()) {
            *self.reporting.entry(class).or_default() += 1;
            let zone = &instance.zone;
            scheduler.add_supply(now, id, class, zone, machine_types, &mut self.supply);
        } else if let Some(machine_type) = machine_type {
            let boot_s = machine_type.boot_s;
            let remaining_s = boot_s * BOOT_TIME_FACTOR - now.since(instance.rented_at);
            let ready_s = remaining_s.max(boot_s * MIN_REMAINING_BOOT_FRACTION);
            self.add_empty_machine(class, &instance.zone, machine_type, ready_s);
        }
        if instance.owned {
            let cpus = machine_type.map_or(0.0, |t| t.cpus);
            self.owned_cpus += cpus;
            if machine.is_some_and(Machine::is_empty) {
                self.idle_owned_cpus += cpus;
            }
        }
    }

    /// Adds machines that an earlier leader requested. They may be in the inventory as well, so
    /// their CPUs are not counted again.
    pub(super) fn add_inherited(&mut self, entry: &RentalEntry, machine_types: &[MachineType]) {
        let index = machine_types
            .iter()
            .position(|t| t.label == entry.machine_type);
        let Some((index, machine_type)) = index.and_then(|i| Some((i, machine_types.get(i)?)))
        else {
            return;
        };
        let class = MachineClass {
            machine_type: index,
            spot: entry.spot,
        };
        self.add_machines(class, &entry.zone, entry.count);
        for _ in 0..entry.count {
            let vacancy = Vacancy::whole(machine_type);
            self.supply.add_machine(class, &entry.zone, vacancy, []);
        }
    }

    /// Adds machines that are requested and not yet granted.
    pub(super) fn add_requested(&mut self, rental: &Rental, machine_types: &[MachineType]) {
        let (class, count) = (rental.class(), rental.entry.count);
        self.add_machines(class, &rental.entry.zone, count);
        if let Some(machine_type) = machine_types.get(class.machine_type) {
            let ready_s = machine_type.boot_s * BOOT_TIME_FACTOR;
            for _ in 0..count {
                self.add_empty_machine(class, &rental.entry.zone, machine_type, ready_s);
            }
        }
    }
}

/// The fraction of a machine behind a broken link that counts as capacity, from 1 (it is expected
/// back before a replacement is up) to 0 (it needs a replacement).
///
/// An outage that has lasted `outage_s` seconds is expected to last as long again. A replacement
/// takes one boot time, so it is not worth its cost before the outage has lasted one boot time;
/// after three boot times every such machine is replaced.
fn recovery_credit(outage_s: f64, boot_s: f64) -> f64 {
    1.0 - ((outage_s - boot_s) / (boot_s * 2.0).max(1.0)).clamp(0.0, 1.0)
}
