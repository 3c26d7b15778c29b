//! Diagnosis of the latest plan: why no machine is rented for a pending job, by machine type, zone
//! and market.

use super::admin_views::Requirements;
use super::term::LeaderTerm;
use super::TickContext;
use crate::eligibility::ZoneScope;
use crate::scheduler::Scheduler;
use crate::split::{self, Demand, MachineClass, MachineType, Market};
use crate::supply::{RoomQuery, Supply};
use beamhinge_admin_api::reasons::{Reason, RentalObstacle};
use beamhinge_core::types::Time;
use std::collections::BTreeMap;

/// Age from which a job without a usable machine is logged, seconds.
const MIN_REPORTED_AGE_S: f64 = 30.0;
/// Interval between two log entries about the same situation, seconds.
const REPORT_INTERVAL_S: f64 = 30.0;
/// Maximum number of jobs that are logged at once.
const MAX_REPORTED_JOBS: usize = 20;

/// The numbers of machines that the latest plan wanted and counted.
#[derive(Default)]
pub(super) struct PlanReport {
    /// Number of machines wanted, by class.
    pub(super) wanted: BTreeMap<MachineClass, u32>,
    /// Number of machines counted as capacity, by market: present, booting or requested.
    pub(super) counted: BTreeMap<Market, u32>,
    /// Number of pending jobs without a counted machine that they may use.
    pub(super) jobs_without_machine: usize,
    logged_at: Time,
}

impl PlanReport {
    fn wanted(&self, class: MachineClass) -> u32 {
        self.wanted.get(&class).copied().unwrap_or(0)
    }

    /// Number of counted machines of the class in all zones.
    fn counted(&self, class: MachineClass) -> u32 {
        let of_class = self.counted.iter().filter(|(m, _)| m.class() == class);
        of_class.map(|(_, count)| count).sum()
    }

    /// Number of counted machines of one market.
    fn counted_in_market(&self, market: &Market) -> u32 {
        self.counted.get(market).copied().unwrap_or(0)
    }
}

impl LeaderTerm {
    /// Adds, for each market whose machines the job may use, why none is rented for it. Markets
    /// with an open or recently refused request are left out: they have reasons of their own.
    pub(super) fn explain_not_rented(
        &self,
        now: Time,
        machine_types: &[MachineType],
        demand: &Demand,
        requirements: &Requirements,
        reasons: &mut Vec<Reason>,
    ) {
        let exclusive = split::exclusive_types(machine_types, std::slice::from_ref(demand));
        let chosen = split::cheapest_type(machine_types, demand, &exclusive);
        for (index, machine_type) in machine_types.iter().enumerate() {
            let is_chosen = chosen.is_some_and(|choice| choice.machine_type == index);
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let market = Market {
                        machine_type: index,
                        zone: zone.clone(),
                        spot,
                    };
                    let usable =
                        demand.may_use(zone) && requirements.are_met_by(machine_type, zone, spot);
                    if usable && !self.is_requested_or_refused(now, &market) {
                        let label = &machine_type.label;
                        reasons.push(self.not_rented(&market, label, is_chosen));
                    }
                }
            }
        }
    }

    fn is_requested_or_refused(&self, now: Time, market: &Market) -> bool {
        let rentals = &self.rentals;
        rentals.open.iter().any(|rental| rental.market() == *market)
            || rentals
                .refused_markets
                .get(market)
                .is_some_and(|until| *until > now)
    }

    fn not_rented(&self, market: &Market, label: &str, is_chosen_type: bool) -> Reason {
        let class = MachineClass {
            machine_type: market.machine_type,
            spot: market.spot,
        };
        let (wanted, counted) = (self.report.wanted(class), self.report.counted(class));
        let because = if !self.listing.is_complete() {
            RentalObstacle::InventoryUnknown
        } else if !is_chosen_type {
            RentalObstacle::OtherMachineType
        } else if wanted <= counted {
            RentalObstacle::Covered
        } else {
            RentalObstacle::OtherMarket
        };
        Reason::NotRented {
            machine_type: label.to_string(),
            zone: market.zone.clone(),
            spot: market.spot,
            because,
            wanted,
            counted,
            in_zone: self.report.counted_in_market(market),
        }
    }

    /// Counts the pending jobs that no counted machine can serve, and logs the oldest of them with
    /// the reasons why no machine is rented for them.
    pub(super) fn report_jobs_without_machine(
        &mut self,
        context: &TickContext,
        demands: &[Demand],
        supply: &Supply,
        machine_types: &[MachineType],
        scheduler: &Scheduler,
    ) {
        let now = context.now;
        let mut searches = RoomSearches::default();
        let mut unserved: Vec<&Demand> = demands
            .iter()
            .filter(|demand| demand.waiting() > 0)
            .filter(|demand| !searches.has_room(demand, supply, machine_types))
            .collect();
        self.report.jobs_without_machine = unserved.len();
        if now.since(self.report.logged_at) < REPORT_INTERVAL_S {
            return;
        }
        unserved.retain(|demand| demand.age_s >= MIN_REPORTED_AGE_S);
        if unserved.is_empty() {
            return;
        }
        self.report.logged_at = now;
        unserved.sort_by(|a, b| b.age_s.total_cmp(&a.age_s));
        for demand in unserved.into_iter().take(MAX_REPORTED_JOBS) {
            let Some((_, spec)) = scheduler.demand_of(context.wall, demand.job, machine_types)
            else {
                continue;
            };
            let requirements = Requirements::new(&spec, &demand.resources);
            let mut reasons = Vec::new();
            self.explain_rentals(now, machine_types, &requirements, &mut reasons);
            self.explain_not_rented(now, machine_types, demand, &requirements, &mut reasons);
            for reason in reasons {
                tracing::info!(
                    job = %demand.job,
                    waiting_tasks = demand.waiting(),
                    %reason,
                    "pending job has no machine"
                );
            }
        }
    }
}

/// What a search for room depends on: zones, whether spot machines are tolerated, resources of one
/// task in thousandths, and labels of the machine types.
type RoomSearchKey = (ZoneScope, bool, [u64; 3], Option<Vec<String>>);

/// Results of searches for room, so that the rooms are searched once for jobs that are alike.
#[derive(Default)]
struct RoomSearches(BTreeMap<RoomSearchKey, bool>);

impl RoomSearches {
    /// Whether the scheduler may place a waiting task of the job on a machine that exists, boots
    /// or is requested, now or after tasks have ended that do not last.
    fn has_room(
        &mut self,
        demand: &Demand,
        supply: &Supply,
        machine_types: &[MachineType],
    ) -> bool {
        let resources = &demand.resources;
        let key = (
            demand.zones.clone(),
            demand.spot,
            [resources.cpus, resources.gpus, resources.memory_gb].map(|x| (x * 1e3) as u64),
            demand.machine_types.clone(),
        );
        *self
            .0
            .entry(key)
            .or_insert_with(|| search_room(demand, supply, machine_types))
    }
}

fn search_room(demand: &Demand, supply: &Supply, machine_types: &[MachineType]) -> bool {
    machine_types
        .iter()
        .enumerate()
        .filter(|(_, machine_type)| demand.fit(machine_type) > 0)
        .any(|(machine_type, _)| {
            supply.has_room(&RoomQuery {
                machine_type,
                zones: &demand.zones,
                spot: demand.spot,
                resources: &demand.resources,
            })
        })
}
