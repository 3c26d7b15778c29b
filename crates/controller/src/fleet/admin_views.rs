//! Views of the fleet in the admin API: existing and booting machines, the capacity planner's
//! parameters, and the reasons why a pending job has no machines that it could use.

use super::capacity::BOOT_TIME_FACTOR;
use super::instance::{Instance, InstanceStatus};
use super::term::LeaderTerm;
use super::Fleet;
use crate::eligibility::{Constraints, Site};
use crate::scheduler::{Machine, Scheduler};
use crate::split::{self, Demand, MachineType};
use beamhinge_admin_api::directives::{Directive, Target};
use beamhinge_admin_api::messages::{MachinePage, MachineRow, PairRow, Splits as SplitPage};
use beamhinge_admin_api::reasons::Reason;
use beamhinge_core::job::JobSpec;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{MachineId, Time, WallMs};
use std::collections::BTreeMap;

/// A job's requirements on machines.
pub(super) struct Requirements<'a> {
    spec: &'a JobSpec,
    resources: &'a split::Resources,
}

impl<'a> Requirements<'a> {
    pub(super) fn new(spec: &'a JobSpec, resources: &'a split::Resources) -> Requirements<'a> {
        Requirements { spec, resources }
    }

    /// Whether machines of this type, zone and class could ever run tasks of the job.
    pub(super) fn are_met_by(&self, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
        let constraints = Constraints::from(self.spec);
        let site = Site {
            machine_type,
            zone,
            spot,
        };
        constraints.ineligible_reason(site).is_none() && machine_type.max_tasks(self.resources) > 0
    }
}

/// Selects machines of the inventory.
#[derive(Clone, Copy)]
pub struct MachineQuery<'a> {
    /// Only machines of the type with this label.
    pub machine_type: Option<&'a str>,
    /// Only machines of this zone.
    pub zone: Option<&'a str>,
    /// Only machines whose names sort after this one.
    pub after: Option<MachineId>,
    /// Maximum number of rows on the page.
    pub limit: usize,
}

/// The machine type at an index; `None` if it is unknown or has no label.
fn labelled_type(machine_types: &[MachineType], index: usize) -> Option<&MachineType> {
    machine_types.get(index).filter(|t| !t.label.is_empty())
}

impl Fleet {
    /// Explains a pending job: booting and requested machines that could run its tasks, refused
    /// rentals and drains that keep such machines from it, and its split between machine classes.
    pub fn explain_pending_job(
        &self,
        now: Time,
        wall: WallMs,
        (demand, spec): (&Demand, &JobSpec),
        settings: &Settings,
        scheduler: &Scheduler,
    ) -> Vec<Reason> {
        let mut reasons = Vec::new();
        let Some(term) = &self.term else {
            return reasons;
        };
        let machine_types = self.machine_types.as_slice();
        let requirements = Requirements::new(spec, &demand.resources);
        term.explain_booting(now, machine_types, &requirements, scheduler, &mut reasons);
        term.explain_rentals(now, machine_types, &requirements, &mut reasons);
        term.explain_not_rented(now, machine_types, demand, &requirements, &mut reasons);
        for directive in scheduler.active_directives().iter() {
            let blocks = directive.target.is_drain()
                && term.drain_blocks(directive, machine_types, &requirements, scheduler);
            if blocks {
                reasons.push(Reason::Drained {
                    target: directive.target.to_string(),
                    since_s: (wall.0 as f64 - directive.since_ms as f64) / 1e3,
                    by: directive.by.clone(),
                });
            }
        }
        reasons.extend(term.planner.explain_split(demand, machine_types, settings));
        reasons
    }

    /// One page of the machines, ordered by name.
    pub fn render_machines(
        &self,
        now: Time,
        query: &MachineQuery,
        scheduler: &Scheduler,
    ) -> MachinePage {
        let mut page = MachinePage {
            machines: Vec::new(),
            next: None,
        };
        let Some(term) = &self.term else { return page };
        // Includes machines that report, whether or not a list names them.
        let reporting = scheduler
            .machines()
            .filter(|(_, m)| m.machine_type().is_some())
            .map(|(id, _)| *id);
        let mut ids: Vec<MachineId> = term.instances.keys().copied().chain(reporting).collect();
        ids.sort();
        ids.dedup();
        let after = query.after;
        for id in ids.into_iter().filter(|id| after.is_none_or(|a| *id > a)) {
            let Some(row) = self.render_machine(now, id, term, scheduler) else {
                continue;
            };
            let selected = query.machine_type.is_none_or(|t| t == row.machine_type)
                && query.zone.is_none_or(|z| z == row.zone);
            if !selected {
                continue;
            }
            if page.machines.len() >= query.limit {
                page.next = page.machines.last().map(|r| r.machine.clone());
                break;
            }
            page.machines.push(row);
        }
        page
    }

    /// The row of a machine; `None` if its machine type is unknown.
    fn render_machine(
        &self,
        now: Time,
        id: MachineId,
        term: &LeaderTerm,
        scheduler: &Scheduler,
    ) -> Option<MachineRow> {
        let instance = term.instances.get(&id);
        let machine = scheduler.machine(id);
        let index = instance
            .map(|i| i.machine_type)
            .or(machine.and_then(Machine::machine_type))?;
        let machine_type = self.machine_types.get(index)?;
        let mut row = MachineRow {
            machine: id.to_string(),
            machine_type: machine_type.label.clone(),
            zone: instance.map(|i| i.zone.clone()).unwrap_or_default(),
            spot: instance
                .map(|i| i.spot)
                .or(machine.map(Machine::is_spot))
                .unwrap_or(false),
            owned: instance.is_some_and(|i| i.owned),
            state: "starting".into(),
            tasks: 0,
            cpus: machine_type.cpus,
            free_cpus: 0.0,
            free_memory_gb: 0.0,
            heard_s: None,
            age_s: instance.map(|i| now.since(i.rented_at)),
        };
        scheduler.describe_machine(now, id, &self.machine_types, &mut row);
        if instance.is_some_and(|i| !i.is_retained()) {
            row.state = "leaving".into();
        }
        Some(row)
    }

    /// Number of machines that were rented and have not reported yet.
    pub fn starting_machines(&self, scheduler: &Scheduler) -> u32 {
        let Some(term) = &self.term else { return 0 };
        term.instances
            .iter()
            .filter(|(id, i)| is_starting(**id, i, scheduler))
            .count() as u32
    }

    /// Number of pending jobs that no machine can serve that is present, booting or requested.
    pub fn jobs_without_machine(&self) -> usize {
        let term = self.term.as_ref();
        term.map_or(0, |t| t.report.jobs_without_machine)
    }

    /// The learner's parameter pairs, for the admin API.
    pub fn render_parameter_pairs(&self) -> SplitPage {
        let Some(term) = &self.term else {
            return SplitPage {
                update_s: 0.0,
                pairs: Vec::new(),
            };
        };
        SplitPage {
            update_s: term.planner.update_s(),
            pairs: term
                .planner
                .parameter_uses()
                .map(|used| PairRow {
                    beta0: used.parameters.owned_availability,
                    beta: used.parameters.spot_availability,
                    weight: used.weight,
                    jobs: used.jobs,
                })
                .collect(),
        }
    }
}

/// Whether the machine is expected to come up and has not reported yet.
fn is_starting(id: MachineId, instance: &Instance, scheduler: &Scheduler) -> bool {
    let reported = scheduler
        .machine(id)
        .is_some_and(|m| m.last_heartbeat().is_some());
    instance.is_retained() && instance.status != InstanceStatus::Failed && !reported
}

/// Booting machines of one market.
struct Booting {
    count: u32,
    /// Time until the first of them is expected to be up, seconds.
    first_ready_in_s: f64,
}

impl LeaderTerm {
    /// Adds the booting machines that could run tasks of the job.
    fn explain_booting(
        &self,
        now: Time,
        machine_types: &[MachineType],
        requirements: &Requirements,
        scheduler: &Scheduler,
        reasons: &mut Vec<Reason>,
    ) {
        let mut booting: BTreeMap<(usize, &str, bool), Booting> = BTreeMap::new();
        for (id, instance) in &self.instances {
            let Some(machine_type) = labelled_type(machine_types, instance.machine_type) else {
                continue;
            };
            let (zone, spot) = (instance.zone.as_str(), instance.spot);
            if is_starting(*id, instance, scheduler)
                && requirements.are_met_by(machine_type, zone, spot)
            {
                let remaining_s =
                    machine_type.boot_s * BOOT_TIME_FACTOR - now.since(instance.rented_at);
                let remaining_s = remaining_s.max(1.0);
                let market = booting
                    .entry((instance.machine_type, zone, spot))
                    .or_insert(Booting {
                        count: 0,
                        first_ready_in_s: remaining_s,
                    });
                market.count += 1;
                market.first_ready_in_s = market.first_ready_in_s.min(remaining_s);
            }
        }
        for ((machine_type, zone, spot), market) in booting {
            reasons.push(Reason::Booting {
                machine_type: labelled_type(machine_types, machine_type)
                    .map_or(String::new(), |t| t.label.clone()),
                zone: zone.to_string(),
                spot,
                machines: market.count,
                expected_s: market.first_ready_in_s,
            });
        }
    }

    /// Adds the open rentals that could serve the job, and the markets for it that recently refused
    /// a request.
    pub(super) fn explain_rentals(
        &self,
        now: Time,
        machine_types: &[MachineType],
        requirements: &Requirements,
        reasons: &mut Vec<Reason>,
    ) {
        for rental in &self.rentals.open {
            let entry = &rental.entry;
            let serves = labelled_type(machine_types, rental.machine_type)
                .is_some_and(|t| requirements.are_met_by(t, &entry.zone, entry.spot));
            if serves {
                reasons.push(Reason::Renting {
                    machine_type: entry.machine_type.clone(),
                    zone: entry.zone.clone(),
                    spot: entry.spot,
                    machines: entry.count,
                });
            }
        }
        for (market, until) in &self.rentals.refused_markets {
            let Some(machine_type) = labelled_type(machine_types, market.machine_type) else {
                continue;
            };
            if *until > now && requirements.are_met_by(machine_type, &market.zone, market.spot) {
                reasons.push(Reason::MarketRefused {
                    machine_type: machine_type.label.clone(),
                    zone: market.zone.clone(),
                    spot: market.spot,
                    again_s: until.until(now),
                });
            }
        }
    }

    /// Whether a drain keeps the job from machines that it could use: it stops rentals of a
    /// suitable machine type in a zone, or it drains a suitable existing machine.
    fn drain_blocks(
        &self,
        drain: &Directive,
        machine_types: &[MachineType],
        requirements: &Requirements,
        scheduler: &Scheduler,
    ) -> bool {
        let directives = scheduler.active_directives();
        let is_target = |target: &Target| *target == drain.target;
        let market_blocked = machine_types.iter().any(|t| {
            t.zones.iter().any(|zone| {
                requirements.are_met_by(t, zone, false)
                    && directives
                        .market_drain(&t.label, zone)
                        .is_some_and(|d| is_target(&d.target))
            })
        });
        let machine = MachineId::parse(drain.target.name());
        market_blocked
            || machine
                .and_then(|id| self.instances.get(&id))
                .is_some_and(|i| {
                    labelled_type(machine_types, i.machine_type)
                        .is_some_and(|t| requirements.are_met_by(t, &i.zone, i.spot))
                })
    }
}
