//! Scale out: requests machines and handles the cloud's replies.

use super::cloud_protocol::ScaleOutReply;
use super::instance::Instance;
use super::rental_record::RentalEntry;
use super::rentals::{MachineRequest, Rental};
use super::term::LeaderTerm;
use crate::eligibility::ZoneScope;
use crate::scheduler::Scheduler;
use crate::split::{MachineClass, MachineType, Market};
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{MachineId, Time};

/// Maximum number of machines requested at once for one class, over all zones.
const MAX_MACHINES_PER_SCALE_OUT: u32 = 50;
/// Time without requests to a market after it granted fewer machines than requested, seconds.
const REFUSED_MARKET_PAUSE_S: f64 = 10.0;
/// Time without requests to a market after the cloud rejected one as malformed, seconds.
const MALFORMED_MARKET_PAUSE_S: f64 = 60.0;
/// Delay before a rental is retried after the cloud had no capacity or was unavailable, seconds.
const UNAVAILABLE_RETRY_S: f64 = 2.0;
/// Delay before a rental is retried after the cloud rejected a call by its rate limit, seconds.
const RATE_LIMITED_RETRY_S: f64 = 0.5;
/// Delay before a rental is retried after a call that had no usable reply, seconds.
const UNKNOWN_OUTCOME_RETRY_S: f64 = 1.0;

/// One zone's share of a request.
struct ZoneShare<'a> {
    zone: &'a String,
    /// Existing machines of the type in the zone, and those requested by this share.
    machines: u32,
    requested: u32,
}

impl LeaderTerm {
    /// Requests `count` machines of a class, at most [`MAX_MACHINES_PER_SCALE_OUT`] in
    /// total, spread over the zones. Does nothing while an earlier rental of the class may still
    /// bring machines.
    pub(super) fn scale_out(
        &mut self,
        now: Time,
        class: MachineClass,
        count: u32,
        machine_types: &[MachineType],
        settings: &Settings,
    ) {
        if self.rentals.promising().all(|r| r.class() != class) {
            self.scale_out_in_zones(now, class, &ZoneScope::Any, count, machine_types, settings);
        }
    }

    /// Requests `count` machines of a class in these zones, at most [`MAX_MACHINES_PER_SCALE_OUT`]
    /// in total. Zones in which an earlier rental of the class is open are left out.
    pub(super) fn scale_out_in_zones(
        &mut self,
        now: Time,
        class: MachineClass,
        zones: &ZoneScope,
        count: u32,
        machine_types: &[MachineType],
        settings: &Settings,
    ) {
        let Some(machine_type) = machine_types.get(class.machine_type) else {
            return;
        };
        let mut shares = self.open_zones(class, zones, machine_type, settings);
        spread(&mut shares, count.min(MAX_MACHINES_PER_SCALE_OUT));
        for share in shares.iter().filter(|s| s.requested > 0) {
            let request = MachineRequest {
                label: machine_type.label.clone(),
                count: share.requested,
            };
            let market = Market::new(class, share.zone);
            self.rentals.request(now, self.token, &market, request);
        }
    }

    /// The zones that do not refuse the class and have no open rental of it.
    fn open_zones<'a>(
        &self,
        class: MachineClass,
        zones: &ZoneScope,
        machine_type: &'a MachineType,
        settings: &Settings,
    ) -> Vec<ZoneShare<'a>> {
        let configured = &settings.params.zones;
        machine_type
            .zones
            .iter()
            .filter(|zone| configured.is_empty() || configured.contains(zone))
            .filter(|zone| zones.contains(zone))
            .filter(|zone| {
                let market = Market::new(class, zone);
                !self.rentals.refused_markets.contains_key(&market)
                    && self.rentals.open.iter().all(|r| r.market() != market)
            })
            .map(|zone| ZoneShare {
                zone,
                machines: self.machines_in_zone(class.machine_type, zone),
                requested: 0,
            })
            .collect()
    }

    fn machines_in_zone(&self, machine_type: usize, zone: &str) -> u32 {
        self.instances
            .values()
            .filter(|i| i.machine_type == machine_type && i.zone == zone)
            .count() as u32
    }

    /// Handles the cloud's reply to a rental.
    pub(super) fn on_scale_out_reply(
        &mut self,
        now: Time,
        name: &str,
        reply: ScaleOutReply,
        scheduler: Option<&mut Scheduler>,
    ) {
        let open = &mut self.rentals.open;
        let Some(index) = open.iter().position(|r| r.entry.name == name) else {
            return;
        };
        match reply {
            ScaleOutReply::Granted(machines) => {
                let rental = open.remove(index);
                self.on_granted(now, rental, &machines, scheduler);
            }
            ScaleOutReply::NoCapacity => self.on_no_capacity(now, index, scheduler),
            ScaleOutReply::Unavailable => open[index].retry(now.plus(UNAVAILABLE_RETRY_S)),
            ScaleOutReply::RateLimited => open[index].retry(now.plus(RATE_LIMITED_RETRY_S)),
            ScaleOutReply::Malformed => {
                // Without the pause, the plan would repeat the request under another name and have
                // it refused again, twice a second and with a write of the record each time.
                tracing::error!(
                    rental = name,
                    "dropped rental: rejected by the cloud as malformed"
                );
                let market = open.remove(index).market();
                self.pause_market(market, now.plus(MALFORMED_MARKET_PAUSE_S));
            }
            // The retry uses the same name and is idempotent: nothing is rented twice.
            ScaleOutReply::Unknown => {
                let rental = &mut open[index];
                rental.outcome_unknown = true;
                rental.retry(now.plus(UNKNOWN_OUTCOME_RETRY_S));
                #[cfg(feature = "faults")]
                if self.faults.rental_retried_under_new_name {
                    rental.entry.name.push('x');
                }
            }
        }
    }

    fn pause_market(&mut self, market: Market, until: Time) {
        self.rentals.refused_markets.insert(market, until);
    }

    fn on_granted(
        &mut self,
        now: Time,
        rental: Rental,
        machines: &[String],
        scheduler: Option<&mut Scheduler>,
    ) {
        let granted = machines.len() as u32;
        let entry = &rental.entry;
        tracing::info!(
            rental = %entry.name,
            machine_type = %entry.machine_type,
            zone = %entry.zone,
            spot = entry.spot,
            requested = entry.count,
            count = granted,
            "scaled out"
        );
        if let Some(scheduler) = scheduler {
            scheduler.event_log.record(|| DecisionKind::Rented {
                machine_type: entry.machine_type.clone(),
                zone: entry.zone.clone(),
                spot: entry.spot,
                asked: entry.count,
                got: granted,
            });
        }
        if granted < entry.count {
            self.pause_market(rental.market(), now.plus(REFUSED_MARKET_PAUSE_S));
        }
        for id in machines.iter().filter_map(|name| MachineId::parse(name)) {
            self.instances
                .entry(id)
                .or_insert_with(|| Instance::unlisted(rental.class(), entry.zone.clone(), now));
        }
        if granted > 0 {
            let entry = RentalEntry {
                count: granted,
                ..rental.entry
            };
            self.rentals.recent.push((now, entry));
        }
    }

    /// Handles a call that rented nothing: the rental is dropped and its market is paused. If an
    /// earlier call under the same name had no reply, that call may still take effect, so the name
    /// stays in use and the rental is retried instead.
    fn on_no_capacity(&mut self, now: Time, index: usize, scheduler: Option<&mut Scheduler>) {
        let rental = &mut self.rentals.open[index];
        let entry = &rental.entry;
        tracing::debug!(
            machine_type = %entry.machine_type,
            zone = %entry.zone,
            spot = entry.spot,
            "scale-out refused: no capacity"
        );
        if let Some(scheduler) = scheduler {
            scheduler.event_log.record(|| DecisionKind::Refused {
                machine_type: entry.machine_type.clone(),
                zone: entry.zone.clone(),
                spot: entry.spot,
            });
        }
        let market = rental.market();
        if rental.outcome_unknown {
            rental.retry(now.plus(UNAVAILABLE_RETRY_S));
        } else {
            self.rentals.open.remove(index);
        }
        self.pause_market(market, now.plus(REFUSED_MARKET_PAUSE_S));
    }
}

/// Spreads a request over zones: each machine goes to the zone with the fewest machines.
fn spread(shares: &mut [ZoneShare], count: u32) {
    for _ in 0..count {
        shares.sort_by_key(|s| (s.machines, s.zone));
        if let Some(smallest) = shares.first_mut() {
            smallest.machines += 1;
            smallest.requested += 1;
        }
    }
}
