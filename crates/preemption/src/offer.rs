//! What one machine can offer to a waiting task, and which machine offers best.

use beamhinge_core::types::{MachineId, TaskId};

/// CPUs, GPUs and gigabytes of memory.
pub type Size = [f64; 3];

/// Sums of decimal amounts may miss a bound by a rounding error.
pub const EPSILON: f64 = 1e-6;

/// Machines that one search looks at beyond the first that can offer anything.
const LOOKS: usize = 48;

fn fits(want: &Size, free: &Size) -> bool {
    want.iter().zip(free).all(|(w, f)| *w <= *f + EPSILON)
}

fn add(to: &mut Size, other: &Size) {
    to.iter_mut().zip(other).for_each(|(t, o)| *t += o);
}

fn sub(from: &mut Size, other: &Size) {
    from.iter_mut().zip(other).for_each(|(f, o)| *f -= o);
}

/// A task on a machine that may be stopped for the one in question.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resident {
    pub task: TaskId,
    pub size: Size,
    /// What its stop loses, CPU seconds.
    pub loss: f64,
    /// The caller's number for what else there is to know of it.
    pub who: u32,
}

/// A task that is about to end by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    pub task: TaskId,
    pub left_s: f64,
    pub size: Size,
}

/// Who would have to end so that a task fits, and what is lost with them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Offer {
    pub loss: f64,
    pub victims: Vec<Resident>,
}

/// The cheapest set found whose end leaves room for the task; none when not even
/// all of them make room.
///
/// One victim that suffices alone is weighed against the small ones in the order
/// of what a CPU of theirs costs, without those that prove not to be needed. That
/// is not always the very cheapest set, which is a knapsack; it never stops one
/// more than needed, since without any of the victims the task does not fit.
pub fn offer(free: Size, yields: &[Resident], want: Size) -> Option<Offer> {
    if fits(&want, &free) {
        return Some(Offer::default());
    }
    let with = |r: &Resident| {
        let mut room = free;
        add(&mut room, &r.size);
        fits(&want, &room)
    };
    let alone = yields
        .iter()
        .filter(|r| with(r))
        .min_by(|a, b| a.loss.total_cmp(&b.loss));
    let mut by_price: Vec<&Resident> = yields.iter().collect();
    let price = |r: &Resident| r.loss / r.size[0].max(EPSILON);
    by_price.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let (mut room, mut taken) = (free, Vec::new());
    for r in by_price {
        if fits(&want, &room) {
            break;
        }
        add(&mut room, &r.size);
        taken.push(*r);
    }
    if !fits(&want, &room) {
        return None;
    }
    // The dearest first: what the later ones made superfluous stays.
    taken.sort_by(|a, b| b.loss.total_cmp(&a.loss));
    let mut i = 0;
    while i < taken.len() {
        let mut without = room;
        sub(&mut without, &taken[i].size);
        if fits(&want, &without) {
            room = without;
            taken.remove(i);
        } else {
            i += 1;
        }
    }
    let loss = taken.iter().map(|r| r.loss).sum();
    match alone {
        Some(r) if r.loss <= loss => Some(Offer {
            loss: r.loss,
            victims: vec![*r],
        }),
        _ => Some(Offer {
            loss,
            victims: taken,
        }),
    }
}

/// A machine as one round of making room sees it.
#[derive(Clone, Debug)]
pub struct Site {
    pub machine: MachineId,
    /// Room that nobody is promised, now or once what was stopped has ended; less
    /// than nothing where places are kept beyond it.
    pub free: Size,
    /// Who may be stopped at all, by the rules that hold for all claims.
    pub yields: Vec<Resident>,
    /// Tasks about to end by themselves, the first in front.
    pub ends: Vec<End>,
}

/// All machines, the one whose tasks lose least in front.
#[derive(Debug, Default)]
pub struct Sites {
    sites: Vec<Site>,
}

impl Sites {
    pub fn new(sites: Vec<Site>) -> Sites {
        let least = |s: &Site| -> f64 {
            let prices = s.yields.iter().map(|r| r.loss / r.size[0].max(EPSILON));
            prices.fold(f64::INFINITY, f64::min)
        };
        let mut keyed: Vec<(f64, Site)> = sites.into_iter().map(|s| (least(&s), s)).collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.machine.cmp(&b.1.machine)));
        Sites {
            sites: keyed.into_iter().map(|(_, s)| s).collect(),
        }
    }

    /// Somebody else got room there.
    pub fn used(&mut self, machine: MachineId, size: &Size) {
        if let Some(site) = self.sites.iter_mut().find(|s| s.machine == machine) {
            sub(&mut site.free, size);
        }
    }

    /// How many of `wanted` tasks get room within `within_s` seconds without
    /// anybody being stopped. That room is theirs: later claims do not count on it.
    pub fn coming(
        &mut self,
        want: Size,
        wanted: u32,
        within_s: f64,
        allowed: impl Fn(MachineId) -> bool,
    ) -> u32 {
        let mut found = 0;
        for site in &mut self.sites {
            if found >= wanted {
                break;
            }
            if site.ends.is_empty() || !allowed(site.machine) {
                continue;
            }
            while found < wanted {
                let mut room = site.free;
                let mut needed = 0;
                while !fits(&want, &room) {
                    match site.ends.get(needed).filter(|e| e.left_s <= within_s) {
                        Some(e) => add(&mut room, &e.size),
                        None => break,
                    }
                    needed += 1;
                }
                if needed == 0 || !fits(&want, &room) {
                    break;
                }
                sub(&mut room, &want);
                site.free = room;
                // Who ends by itself is not stopped as well.
                for gone in site.ends.drain(..needed) {
                    site.yields.retain(|r| r.task != gone.task);
                }
                found += 1;
            }
        }
        found
    }

    /// The best place for one task among the first machines that can offer one,
    /// and the machine as it is once the place is taken.
    pub fn take(
        &mut self,
        want: Size,
        yields: impl Fn(&Resident) -> bool,
        allowed: impl Fn(MachineId) -> bool,
        dear: impl Fn(MachineId) -> f64,
    ) -> Option<(MachineId, Offer)> {
        let mut best: Option<(f64, usize, Offer)> = None;
        let mut looks = 0;
        for (i, site) in self.sites.iter().enumerate() {
            if looks >= LOOKS {
                break;
            }
            let now = fits(&want, &site.free);
            if !now && site.yields.is_empty() || !allowed(site.machine) {
                continue;
            }
            // Where it fits already nobody needs to be asked.
            let who = site.yields.iter().filter(|r| !now && yields(r));
            let may: Vec<Resident> = who.copied().collect();
            if may.is_empty() && !now {
                continue;
            }
            let Some(offer) = offer(site.free, &may, want) else {
                continue;
            };
            looks += 1;
            let cost = offer.loss + dear(site.machine);
            if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                best = Some((cost, i, offer));
            }
        }
        let (_, i, offer) = best?;
        let site = &mut self.sites[i];
        for v in &offer.victims {
            add(&mut site.free, &v.size);
        }
        sub(&mut site.free, &want);
        site.yields
            .retain(|r| !offer.victims.iter().any(|v| v.task == r.task));
        Some((site.machine, offer))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beamhinge_core::types::JobId;
    use proptest::prelude::*;

    fn task(index: u32) -> TaskId {
        TaskId {
            job: JobId::parse("job-1").expect("an id"),
            index,
        }
    }

    fn resident(index: u32, cpus: f64, loss: f64) -> Resident {
        Resident {
            task: task(index),
            size: [cpus, 0.0, cpus],
            loss,
            who: 0,
        }
    }

    fn machine(n: u32) -> MachineId {
        MachineId::parse(&format!("n-{n:06}")).expect("a name")
    }

    fn site(n: u32, free: f64, yields: Vec<Resident>) -> Site {
        Site {
            machine: machine(n),
            free: [free, 0.0, free],
            yields,
            ends: Vec::new(),
        }
    }

    /// Guards against the fault of old: CPUs were added up over the whole fleet,
    /// and of a dozen stops spread over as many machines nobody got room.
    #[test]
    fn twelve_cpus_are_made_on_one_machine() {
        let six = |from: u32, loss: f64| -> Vec<Resident> {
            (from..from + 6).map(|i| resident(i, 2.0, loss)).collect()
        };
        let mut sites = Sites::new(vec![
            site(1, 0.0, six(0, 9.0)),
            site(2, 0.0, six(10, 8.0)),
            site(3, 4.0, six(20, 8.5)),
        ]);
        let (at, offer) = sites
            .take([12.0, 0.0, 12.0], |_| true, |_| true, |_| 0.0)
            .expect("a place");
        assert_eq!(
            (at, offer.victims.len()),
            (machine(3), 4),
            "four CPUs were free there"
        );
        let (at, offer) = sites
            .take([12.0, 0.0, 12.0], |_| true, |_| true, |_| 0.0)
            .expect("a place");
        assert_eq!((at, offer.victims.len()), (machine(2), 6));
        assert!(sites
            .take([13.0, 0.0, 13.0], |_| true, |_| true, |_| 0.0)
            .is_none());
    }

    #[test]
    fn what_one_large_victim_frees_serves_several() {
        let mut sites = Sites::new(vec![site(1, 0.0, vec![resident(0, 16.0, 50.0)])]);
        let mut take = || sites.take([4.0, 0.0, 4.0], |_| true, |_| true, |_| 0.0);
        assert_eq!(take().expect("a place").1.victims.len(), 1);
        for _ in 0..3 {
            assert!(take().expect("a place").1.victims.is_empty());
        }
        assert!(take().is_none());
    }

    #[test]
    fn room_that_comes_by_itself_is_counted_once() {
        let mut s = site(1, 0.0, vec![resident(0, 4.0, 1.0)]);
        let end = |i, left_s| End {
            task: task(i),
            left_s,
            size: [2.0, 0.0, 2.0],
        };
        s.ends = vec![end(1, 1.0), end(2, 4.0)];
        let mut sites = Sites::new(vec![s]);
        assert_eq!(sites.coming([4.0, 0.0, 4.0], 5, 3.0, |_| true), 0);
        assert_eq!(sites.coming([4.0, 0.0, 4.0], 5, 5.0, |_| true), 1);
        assert_eq!(sites.coming([2.0, 0.0, 2.0], 5, 5.0, |_| true), 0);
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 4_000,
            rng_seed: proptest::test_runner::RngSeed::Fixed(23),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]
        /// Whatever is offered fits, none of the victims is superfluous, and where
        /// nothing is offered nothing could be.
        #[test]
        fn an_offer_fits_and_stops_nobody_in_vain(
            free in -8.0..8.0f64,
            sizes in prop::collection::vec((0.25..16.0f64, 0.0..100.0f64), 0..9),
            want in 0.25..24.0f64,
        ) {
            let yields: Vec<Resident> = sizes
                .iter()
                .enumerate()
                .map(|(i, (cpus, loss))| resident(i as u32, *cpus, *loss))
                .collect();
            let (free, want) = ([free, 0.0, free], [want, 0.0, want]);
            let sum = |of: &[Resident]| {
                of.iter().fold(free, |mut room, r| { add(&mut room, &r.size); room })
            };
            match offer(free, &yields, want) {
                None => prop_assert!(!fits(&want, &sum(&yields))),
                Some(o) => {
                    prop_assert!(fits(&want, &sum(&o.victims)));
                    for i in 0..o.victims.len() {
                        let mut less = o.victims.clone();
                        less.remove(i);
                        prop_assert!(!fits(&want, &sum(&less)), "{} is superfluous", i);
                    }
                }
            }
        }
    }
}
