//! Which machines are wanted, and the difference to those there are.

use super::*;
use crate::market::{Pool, Want};
use crate::split::{Class, MarketSlot};
use beamhinge_admin_api::directives::Afterwards;

impl Term {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn decide(
        &mut self,
        now: Time,
        wall: WallMs,
        lag_s: f64,
        machine_types: &[MachineType],
        operator: &Operator,
        settings: &Settings,
        scheduler: &mut Scheduler,
    ) {
        let demands = scheduler.demands(wall);
        // Nothing is wanted of what operators have drained; without drains the
        // types are taken as they are.
        let active_directives = scheduler.active_directives().clone();
        let open =
            (!active_directives.is_empty()).then(|| undrained(machine_types, &active_directives));
        let market = open.as_deref().unwrap_or(machine_types);
        // Count what there is and what is on its way.
        let mut have: BTreeMap<Class, u32> = BTreeMap::new();
        let mut up: BTreeMap<Class, u32> = BTreeMap::new();
        let mut pools: BTreeMap<usize, Pool> = BTreeMap::new();
        let (mut owned_cpus, mut idle_owned) = (0.0, 0.0);
        let mut credit: BTreeMap<Class, f64> = BTreeMap::new();
        for (id, i) in &self.instances {
            let m = scheduler.machine(*id);
            let leaving = i.release != Release::No
                || i.status == Status::Failed
                || m.is_some_and(|m| m.reclaim || m.quarantined || m.slow)
                || drain_of(*id, i, machine_types, &active_directives).is_some();
            if leaving {
                continue;
            }
            let class = Class {
                machine_type: i.machine_type,
                spot: i.spot,
            };
            if let (Some(silent_s), Some(s)) =
                (self.shielded.get(id), machine_types.get(i.machine_type))
            {
                // Behind a broken link: replaced by and by, as the wait grows.
                let credit = credit.entry(class).or_default();
                *credit += expected_back(*silent_s, s.boot_s);
                if *credit >= 1.0 {
                    *credit -= 1.0;
                    *have.entry(class).or_default() += 1;
                    pools
                        .entry(i.machine_type)
                        .or_default()
                        .push((s.boot_s, s.cpus));
                }
                continue;
            }
            *have.entry(class).or_default() += 1;
            let pool = pools.entry(i.machine_type).or_default();
            if m.is_some_and(|m| m.last_heartbeat.is_some()) {
                *up.entry(class).or_default() += 1;
                scheduler.room_over_time(now, *id, machine_types, pool);
            } else if let Some(s) = machine_types.get(i.machine_type) {
                pool.push((
                    (s.boot_s * 1.2 - now.since(i.rented)).max(s.boot_s * 0.2),
                    s.cpus,
                ));
            }
            if i.owned {
                let cpus = machine_types.get(i.machine_type).map_or(0.0, |s| s.cpus);
                owned_cpus += cpus;
                if m.is_some_and(|m| m.is_empty()) {
                    idle_owned += cpus;
                }
            }
        }
        for r in &self.rentals {
            *have
                .entry(Class {
                    machine_type: r.machine_type,
                    spot: r.row.spot,
                })
                .or_default() += r.row.count;
            if let Some(s) = machine_types.get(r.machine_type) {
                let pool = pools.entry(r.machine_type).or_default();
                pool.extend((0..r.row.count).map(|_| (s.boot_s * 1.2, s.cpus)));
            }
        }
        // After a takeover the list may not yet show what was rented before
        // us: what was recorded counts as there until it must show.
        let lag = lag_s * 2.0 + 2.0;
        if now.since(self.began) > lag {
            self.inherited.clear();
        }
        for row in &self.inherited {
            if let Some(machine_type) = machine_types
                .iter()
                .position(|s| s.label == row.machine_type)
            {
                *have
                    .entry(Class {
                        machine_type,
                        spot: row.spot,
                    })
                    .or_default() += row.count;
            }
        }
        self.lately.retain(|(at, _)| now.since(*at) < lag);
        self.refused.retain(|_, until| *until > now);
        let wants = self
            .splits
            .wants(now, &demands, market, settings, owned_cpus, &pools);
        let mut wanted: BTreeMap<Class, u32> = BTreeMap::new();
        let (mut spot_wanted, mut spot_up) = (0.0, 0.0);
        let (mut price, mut heaviest) = (1.0, 0.0);
        for (machine_type, s) in market.iter().enumerate() {
            let want = wants.get(&machine_type).copied().unwrap_or_default();
            let count = |c: &BTreeMap<Class, u32>, spot| {
                f64::from(c.get(&Class { machine_type, spot }).copied().unwrap_or(0))
            };
            let (spot, ordinary) = machines_wanted(
                &want,
                count(&have, true),
                count(&have, false),
                s.zones
                    .iter()
                    .all(|z| self.refused.contains_key(&(machine_type, z.clone(), true))),
            );
            wanted.insert(
                Class {
                    machine_type,
                    spot: true,
                },
                spot,
            );
            wanted.insert(
                Class {
                    machine_type,
                    spot: false,
                },
                ordinary,
            );
            let weight = want.pool * s.low_price;
            spot_wanted += want.pool;
            spot_up += count(&up, true).min(want.pool);
            if weight > heaviest && s.rate > 0.0 {
                heaviest = weight;
                price = s.low_price / s.rate;
            }
        }
        if spot_wanted > 0.0 {
            self.splits.observe(
                now,
                MarketSlot {
                    price,
                    up: spot_up / spot_wanted,
                    idle_owned,
                },
            );
        }
        if self.lists > 0 {
            for (class, want) in &wanted {
                let have = have.get(class).copied().unwrap_or(0);
                if *want > have {
                    self.rent(now, *class, want - have, market, settings);
                }
            }
        }
        self.give_back(now, &wanted, &have, machine_types, operator, scheduler);
    }

    fn rent(
        &mut self,
        now: Time,
        class: Class,
        count: u32,
        machine_types: &[MachineType],
        settings: &Settings,
    ) {
        let Some(machine_type) = machine_types.get(class.machine_type) else {
            return;
        };
        if self
            .rentals
            .iter()
            .any(|r| r.machine_type == class.machine_type && r.row.spot == class.spot)
        {
            return;
        }
        let open: Vec<&String> = machine_type
            .zones
            .iter()
            .filter(|z| settings.params.zones.is_empty() || settings.params.zones.contains(z))
            .filter(|z| {
                !self
                    .refused
                    .contains_key(&(class.machine_type, (*z).clone(), class.spot))
            })
            .collect();
        if open.is_empty() {
            return;
        }
        // Spread over the zones, the emptier first.
        let mut counts: Vec<(u32, &String, u32)> = open
            .iter()
            .map(|z| {
                let n = self
                    .instances
                    .values()
                    .filter(|i| i.machine_type == class.machine_type && i.zone == **z)
                    .count();
                (n as u32, *z, 0)
            })
            .collect();
        for _ in 0..count.min(MAX_PER_RENTAL) {
            counts.sort_by_key(|(n, z, _)| (*n, (*z).clone()));
            if let Some(c) = counts.first_mut() {
                c.0 += 1;
                c.2 += 1;
            }
        }
        for (_, zone, n) in counts {
            if n == 0 {
                continue;
            }
            self.next_rental += 1;
            self.rentals.push(Rental {
                row: RentalRow {
                    name: format!("r-{}-{}", self.token.0, self.next_rental),
                    machine_type: machine_type.label.clone(),
                    zone: zone.clone(),
                    spot: class.spot,
                    count: n,
                },
                machine_type: class.machine_type,
                recorded: false,
                in_flight: false,
                tried: false,
                retry_at: now,
            });
        }
    }

    fn give_back(
        &mut self,
        now: Time,
        wanted: &BTreeMap<Class, u32>,
        have: &BTreeMap<Class, u32>,
        machine_types: &[MachineType],
        operator: &Operator,
        scheduler: &mut Scheduler,
    ) {
        let active_directives = scheduler.active_directives().clone();
        let mut over: BTreeMap<Class, u32> = BTreeMap::new();
        for (class, n) in have {
            let want = wanted.get(class).copied().unwrap_or(0);
            if *n > want {
                over.insert(*class, n - want);
            }
        }
        // Guard: while it is our own link that is silent, nothing is known of what is
        // behind it. A holder that was refused for a minute found all its machines idle
        // as it came back, and gave the fleet away while its jobs waited.
        let blind = self
            .groups
            .iter()
            .any(|(g, _)| *g == FailureDomain::OwnLink);
        #[cfg(feature = "faults")]
        let blind = blind && !self.faults.blind_return;
        let mut out = Vec::new();
        for (id, i) in &mut self.instances {
            if i.release != Release::No || blind && self.shielded.contains_key(id) {
                continue;
            }
            let m = scheduler.machine(*id);
            if let Some(drain) = drain_of(*id, i, machine_types, &active_directives) {
                // As asked: given back once empty, or kept until undrained.
                let empty = m.is_none_or(Machine::is_empty);
                if empty && drain.afterwards == Afterwards::Return {
                    tracing::info!("returning {id}: drained");
                    i.release = Release::Wanted;
                    out.push((*id, "drained"));
                }
                continue;
            }
            let Some(m) = m.filter(|m| m.is_empty()) else {
                continue;
            };
            let class = Class {
                machine_type: i.machine_type,
                spot: i.spot,
            };
            let why = if m.slow {
                "slow"
            } else {
                let Some(n) = over.get_mut(&class).filter(|n| **n > 0) else {
                    continue;
                };
                // A rented machine stays at least as long as it is charged for
                // anyway, and spot machines a while longer; dear ones do not.
                let stay = if i.owned {
                    operator.idle_s
                } else {
                    ORDINARY_IDLE_S
                };
                let fresh = !i.owned && now.since(i.rented) < MIN_CHARGE_S - 3.0;
                let idle = if i.spot {
                    operator.idle_s.max(stay)
                } else {
                    stay
                };
                if fresh || now.since(m.idle_since) < idle || now.since(self.began) < idle {
                    continue;
                }
                *n -= 1;
                "idle"
            };
            tracing::info!("returning {id}: {why}");
            i.release = Release::Wanted;
            out.push((*id, why));
        }
        for (id, why) in out {
            scheduler.drain(id, why);
        }
    }
}

/// The part of the machines behind a broken link that are counted on, though
/// they cannot be reached.
///
/// What has lasted `silent_s` seconds may be expected to last as long again;
/// a replacement is up after a boot, so before that none is worth its money,
/// and after three boots' time all are.
fn expected_back(silent_s: f64, boot_s: f64) -> f64 {
    1.0 - ((silent_s - boot_s) / (boot_s * 2.0).max(1.0)).clamp(0.0, 1.0)
}

/// The types without what is drained: a drained type takes no task, a drained
/// zone is not there.
fn undrained(
    machine_types: &[MachineType],
    active_directives: &ActiveDirectives,
) -> Vec<MachineType> {
    let mut open = machine_types.to_vec();
    for s in &mut open {
        let label = s.label.clone();
        s.zones
            .retain(|z| active_directives.market(&label, z).is_none());
        if s.zones.is_empty() {
            (s.cpus, s.gpus, s.memory_gb) = (0.0, 0.0, 0.0);
        }
    }
    open
}

/// Spot and ordinary machines to have of one type.
///
/// What must be had, and is not on its way, is bought ordinary only where spot
/// is refused. Ordinary machines that are there take part of the work.
fn machines_wanted(want: &Want, have_spot: f64, have_ordinary: f64, refused: bool) -> (u32, u32) {
    let up = |x: f64| (x - 1e-6).ceil().max(0.0);
    let bound = up(want.ordinary);
    let spare = (have_ordinary - bound).max(0.0);
    if refused && want.short > 0.0 {
        return (
            up(want.pool + want.ready) as u32,
            (bound + spare + up(want.short)) as u32,
        );
    }
    if refused && up(want.timely) > have_spot + spare {
        return (
            up(want.pool + want.ready) as u32,
            (bound + up(want.timely) - have_spot) as u32,
        );
    }
    // Ordinary machines stay as long as spot ones do not reach.
    let pool = up(want.pool + want.ready);
    let update_domain = (up(want.pool) - have_spot).clamp(0.0, spare);
    (
        (pool - update_domain) as u32,
        (bound + update_domain) as u32,
    )
}

#[cfg(test)]
mod tests;
