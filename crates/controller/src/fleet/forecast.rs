//! What operators are told of the fleet: the machines there are, those on their
//! way, and what the cloud refused.

use super::*;
use crate::split::{self, Demand};
use beamhinge_admin_api::messages::{MachinePage, MachineRow, PairRow, Splits as SplitsTold};
use beamhinge_admin_api::reasons::Reason;
use beamhinge_core::job::JobSpec;

/// Whether a machine of this market could ever serve the job.
fn serves(
    spec: &JobSpec,
    resources: &split::Resources,
    machine_type: &MachineType,
    zone: &str,
    spot: bool,
) -> bool {
    let here = spec.zone.as_ref().is_none_or(|z| z == zone);
    here && (spec.spot || !spot)
        && split::allowed_fit(machine_type, resources, &spec.machine_types, &spec.zone) > 0
}

impl Fleet {
    /// What is under way for a waiting job, and what its split says.
    pub fn explain_pending_job(
        &self,
        now: Time,
        wall: WallMs,
        (demand, spec): (&Demand, &JobSpec),
        settings: &Settings,
        scheduler: &Scheduler,
        reasons: &mut Vec<Reason>,
    ) {
        let Some(term) = &self.term else { return };
        let machine_types = &self.machine_types;
        let shape_of = |i: usize| machine_types.get(i).filter(|s| !s.label.is_empty());
        let mut boots: BTreeMap<(usize, &str, bool), (u32, f64)> = BTreeMap::new();
        for (id, i) in &term.instances {
            let up = scheduler
                .machine(*id)
                .is_some_and(|m| m.last_heartbeat.is_some());
            let Some(s) = shape_of(i.machine_type).filter(|_| !up && i.release == Release::No)
            else {
                continue;
            };
            if i.status != Status::Failed && serves(spec, &demand.resources, s, &i.zone, i.spot) {
                // Boots vary: by this factor half as long again is expected.
                let left = (s.boot_s * 1.2 - now.since(i.rented)).max(1.0);
                let b = boots
                    .entry((i.machine_type, &i.zone, i.spot))
                    .or_insert((0, left));
                *b = (b.0 + 1, b.1.min(left));
            }
        }
        for ((machine_type, zone, spot), (machines, expected_s)) in boots {
            let machine_type = shape_of(machine_type).map_or(String::new(), |s| s.label.clone());
            let zone = zone.to_string();
            reasons.push(Reason::Booting {
                machine_type,
                zone,
                spot,
                machines,
                expected_s,
            });
        }
        for r in &term.rentals {
            let fits = shape_of(r.machine_type)
                .is_some_and(|s| serves(spec, &demand.resources, s, &r.row.zone, r.row.spot));
            if fits {
                reasons.push(Reason::Renting {
                    machine_type: r.row.machine_type.clone(),
                    zone: r.row.zone.clone(),
                    spot: r.row.spot,
                    machines: r.row.count,
                });
            }
        }
        for ((machine_type, zone, spot), until) in &term.refused {
            let Some(s) = shape_of(*machine_type) else {
                continue;
            };
            if *until > now && serves(spec, &demand.resources, s, zone, *spot) {
                reasons.push(Reason::MarketRefused {
                    machine_type: s.label.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                    again_s: until.until(now),
                });
            }
        }
        // Drains that stand between the job and machines it could use.
        for d in scheduler.active_directives().iter() {
            let hit = machine_types.iter().any(|s| {
                s.zones.iter().any(|z| {
                    serves(spec, &demand.resources, s, z, false)
                        && scheduler
                            .active_directives()
                            .market(&s.label, z)
                            .is_some_and(|m| m.target == d.target)
                })
            }) || MachineId::parse(d.target.name()).is_some_and(|id| {
                term.instances.get(&id).is_some_and(|i| {
                    shape_of(i.machine_type)
                        .is_some_and(|s| serves(spec, &demand.resources, s, &i.zone, i.spot))
                })
            });
            if hit && d.target.is_drain() {
                let since_s = (wall.0 as f64 - d.since_ms as f64) / 1e3;
                let (target, by) = (d.target.to_string(), d.by.clone());
                reasons.push(Reason::Drained {
                    target,
                    since_s,
                    by,
                });
            }
        }
        reasons.extend(term.splits.tell(demand, machine_types, settings));
    }

    /// Machines in the order of their names, from behind `after`.
    pub fn render_machines(
        &self,
        now: Time,
        machine_type: Option<&str>,
        zone: Option<&str>,
        after: Option<MachineId>,
        limit: usize,
        scheduler: &Scheduler,
    ) -> MachinePage {
        let mut page = MachinePage {
            machines: Vec::new(),
            next: None,
        };
        let Some(term) = &self.term else { return page };
        // Those that report count as well, listed or not.
        let reporting = scheduler
            .machines()
            .filter(|(_, m)| m.machine_type().is_some())
            .map(|(id, _)| *id);
        let mut ids: Vec<MachineId> = term.instances.keys().copied().chain(reporting).collect();
        ids.sort();
        ids.dedup();
        for id in ids.into_iter().filter(|id| after.is_none_or(|a| *id > a)) {
            let i = term.instances.get(&id);
            let m = scheduler.machine(id);
            let index = i
                .map(|i| i.machine_type)
                .or(m.and_then(|m| m.machine_type()));
            let Some(s) = index.and_then(|s| self.machine_types.get(s)) else {
                continue;
            };
            let mut row = MachineRow {
                machine: id.to_string(),
                machine_type: s.label.clone(),
                zone: i.map(|i| i.zone.clone()).unwrap_or_default(),
                spot: i.map(|i| i.spot).or(m.map(|m| m.spot)).unwrap_or(false),
                owned: i.is_some_and(|i| i.owned),
                state: "starting".into(),
                tasks: 0,
                cpus: s.cpus,
                free_cpus: 0.0,
                free_memory_gb: 0.0,
                heard_s: None,
                age_s: i.map(|i| now.since(i.rented)),
            };
            scheduler.describe_machine(now, id, &self.machine_types, &mut row);
            if i.is_some_and(|i| i.release != Release::No) {
                row.state = "leaving".into();
            }
            let wanted = machine_type.is_none_or(|s| s == row.machine_type)
                && zone.is_none_or(|z| z == row.zone);
            if !wanted {
                continue;
            }
            if page.machines.len() >= limit {
                page.next = page.machines.last().map(|r| r.machine.clone());
                break;
            }
            page.machines.push(row);
        }
        page
    }

    /// Machines rented that have not reported yet.
    pub fn starting_machines(&self, scheduler: &Scheduler) -> u32 {
        let Some(term) = &self.term else { return 0 };
        let waits = |id: &MachineId| {
            scheduler
                .machine(*id)
                .and_then(|m| m.last_heartbeat)
                .is_none()
        };
        let open = term
            .instances
            .iter()
            .filter(|(_, i)| i.release == Release::No);
        open.filter(|(id, i)| i.status != Status::Failed && waits(id))
            .count() as u32
    }

    pub fn render_splits(&self) -> SplitsTold {
        match &self.term {
            Some(term) => SplitsTold {
                update_s: term.splits.update_s(),
                pairs: term
                    .splits
                    .pairs()
                    .map(|(beta0, beta, weight, jobs)| PairRow {
                        beta0,
                        beta,
                        weight,
                        jobs,
                    })
                    .collect(),
            },
            None => SplitsTold {
                update_s: 0.0,
                pairs: Vec::new(),
            },
        }
    }
}
