//! Requests machines, and takes in what the cloud granted.

use super::cloud_protocol::ScaleOutReply;
use super::instance::Instance;
use super::rental_record::RentalEntry;
use super::rentals::{Ask, Market, Rental};
use super::term::LeaderTerm;
use crate::scheduler::Scheduler;
use crate::split::{MachineClass, MachineType};
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{MachineId, Time};

/// Most machines of one request.
const MAX_PER_RENTAL: u32 = 50;
/// How long a market is not asked again that granted less than was asked for, seconds.
const REFUSED_MARKET_PAUSE_S: f64 = 10.0;
/// How long a market is not asked again that calls a request malformed, seconds.
const MALFORMED_MARKET_PAUSE_S: f64 = 60.0;
/// Pause after the cloud had no capacity or did not serve, seconds.
const UNAVAILABLE_RETRY_S: f64 = 2.0;
/// Pause after the cloud refused a call for its rate, seconds.
const RATE_LIMITED_RETRY_S: f64 = 0.5;
/// Pause after a call that had no reply, seconds.
const UNKNOWN_OUTCOME_RETRY_S: f64 = 1.0;

/// How a request is spread over the zones.
struct ZoneShare<'a> {
    zone: &'a String,
    /// Machines that there are, and that are requested here.
    machines: u32,
    requested: u32,
}

impl LeaderTerm {
    /// Requests `count` machines of a class, at most [`MAX_PER_RENTAL`] at once, spread over the
    /// zones. Does nothing while an earlier request for the class is open.
    pub(super) fn scale_out(
        &mut self,
        now: Time,
        class: MachineClass,
        count: u32,
        machine_types: &[MachineType],
        settings: &Settings,
    ) {
        let Some(machine_type) = machine_types.get(class.machine_type) else {
            return;
        };
        if self.rentals.open.iter().any(|r| r.class() == class) {
            return;
        }
        let shares = self.spread_over_zones(class, count, machine_type, settings);
        for share in shares.iter().filter(|s| s.requested > 0) {
            let ask = Ask {
                label: machine_type.label.clone(),
                count: share.requested,
            };
            let market = market(class, share.zone);
            self.rentals.request(now, self.token, &market, ask);
        }
    }

    /// Spreads a request over the zones that do not refuse the class, the emptier first.
    fn spread_over_zones<'a>(
        &self,
        class: MachineClass,
        count: u32,
        machine_type: &'a MachineType,
        settings: &Settings,
    ) -> Vec<ZoneShare<'a>> {
        let zones = &settings.params.zones;
        let mut shares: Vec<ZoneShare> = machine_type
            .zones
            .iter()
            .filter(|zone| zones.is_empty() || zones.contains(zone))
            .filter(|zone| !self.rentals.refused.contains_key(&market(class, zone)))
            .map(|zone| ZoneShare {
                zone,
                machines: self.machines_in_zone(class.machine_type, zone),
                requested: 0,
            })
            .collect();
        if shares.is_empty() {
            return shares;
        }
        for _ in 0..count.min(MAX_PER_RENTAL) {
            shares.sort_by_key(|s| (s.machines, s.zone));
            if let Some(emptiest) = shares.first_mut() {
                emptiest.machines += 1;
                emptiest.requested += 1;
            }
        }
        shares
    }

    fn machines_in_zone(&self, machine_type: usize, zone: &str) -> u32 {
        self.instances
            .values()
            .filter(|i| i.machine_type == machine_type && i.zone == zone)
            .count() as u32
    }

    /// Takes in the cloud's reply to a request.
    pub(super) fn on_scale_out_reply(
        &mut self,
        now: Time,
        name: &str,
        reply: ScaleOutReply,
        scheduler: Option<&mut Scheduler>,
    ) {
        let open = &mut self.rentals.open;
        let Some(at) = open.iter().position(|r| r.entry.name == name) else {
            return;
        };
        match reply {
            ScaleOutReply::Granted(machines) => {
                let rental = open.remove(at);
                self.on_granted(now, rental, &machines, scheduler);
            }
            ScaleOutReply::NoCapacity => self.on_no_capacity(now, at, scheduler),
            ScaleOutReply::Unavailable => open[at].retry(now.plus(UNAVAILABLE_RETRY_S)),
            ScaleOutReply::RateLimited => open[at].retry(now.plus(RATE_LIMITED_RETRY_S)),
            ScaleOutReply::Malformed => {
                // The same request under another name would be refused again, twice a second and
                // with a write of the record each time.
                tracing::error!(
                    rental = name,
                    "dropped rental: the cloud calls it malformed"
                );
                let market = open.remove(at).market();
                self.pause_market(market, now.plus(MALFORMED_MARKET_PAUSE_S));
            }
            // The same name is asked again, which rents nothing twice.
            ScaleOutReply::Unknown => {
                let rental = &mut open[at];
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
        self.rentals.refused.insert(market, until);
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

    /// Nothing was rented by this call: the rental is dropped and its market asked again later.
    /// If an earlier call under the name had no reply it may yet take effect, so that the name
    /// stays in use.
    fn on_no_capacity(&mut self, now: Time, at: usize, scheduler: Option<&mut Scheduler>) {
        let rental = &mut self.rentals.open[at];
        let entry = &rental.entry;
        tracing::debug!(
            machine_type = %entry.machine_type,
            zone = %entry.zone,
            spot = entry.spot,
            "refused scale-out: no capacity"
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
            self.rentals.open.remove(at);
        }
        self.pause_market(market, now.plus(REFUSED_MARKET_PAUSE_S));
    }
}

fn market(class: MachineClass, zone: &str) -> Market {
    Market {
        machine_type: class.machine_type,
        zone: zone.to_string(),
        spot: class.spot,
    }
}
