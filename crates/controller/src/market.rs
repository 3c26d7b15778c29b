//! The split at work: a pair for every deadline array, the market as it was
//! seen, the learner's weights, and from all that the machines wanted.
//!
//! Extended in the design's spirit, see `docs/design.md`: a class whose aim
//! bounds its finish has that bound as its deadline; the on-demand share is
//! room that must be had, bought dear only where the spot market refuses; and
//! tasks follow each other on one place as far as their deadline allows, since
//! a boot costs as much as a task.

use crate::calls::{FleetCall, Tag};
use crate::split::{self, Demand, Learner, MachineType, MarketSlot, Past, Resources};
use crate::store::{CommitResponse, Outcome, Priority, Reply, ScanResponse, StoreClient};
use beamhinge_admin_api::reasons::Reason;
use beamhinge_core::settings::{OperatorSettings, Settings};
use beamhinge_core::types::{FencingToken, JobId, Revision, Time};
use beamhinge_core::wire;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::rc::Rc;

const KEY: &str = "split/now";
pub const PREFIX: &str = "split/";
/// Slots of one update.
const LEN: f64 = 3.0;
/// Updates of the market that are remembered for replays.
const HISTORY: usize = 240;
/// Seconds over which the width of a waiting class is watched.
const WATCH_S: f64 = 150.0;
/// Room held ready, over the widest that was seen.
const READY: f64 = 1.4;
/// Mean gaps between jobs after which a class has dried up.
const DRY_GAPS: f64 = 6.0;

#[derive(Serialize, Deserialize)]
struct Record {
    v: u32,
    weights: Vec<f64>,
    /// job -> (pair, owned width)
    splits: BTreeMap<String, (usize, f64)>,
    /// class -> run time over estimate
    runs: BTreeMap<String, f64>,
    /// class -> the load for which room is held ready
    #[serde(default)]
    loads: BTreeMap<String, Load>,
}

/// What a new leader needs to go on holding room ready: without it the room was
/// given back after each takeover, and rented again with the next jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Load {
    /// The widest of late, tasks; seconds between jobs.
    widest: f64,
    gap_s: f64,
    /// Of one task of the latest job: CPUs, GPUs, gigabytes.
    size: (f64, f64, f64),
    spot: bool,
}

impl Load {
    fn of(arrivals: &mut Arrivals, typical: &Demand, now: Time) -> Option<Load> {
        let resources = &typical.resources;
        // What is bound to types or a zone comes with its next job.
        let bound = typical.machine_types.is_some() || typical.zone.is_some();
        (!bound && !arrivals.dry(now)).then(|| Load {
            widest: arrivals.widest(now).ceil(),
            gap_s: (arrivals.gap_s * 100.0).round() / 100.0,
            size: (resources.cpus, resources.gpus, resources.memory_gb),
            spot: typical.spot,
        })
    }

    /// Whether a stored value can be meant; what cannot is left out.
    fn sound(&self) -> bool {
        let (cpus, gpus, gb) = self.size;
        let all = [self.widest, self.gap_s, cpus, gpus, gb];
        all.iter().all(|x| x.is_finite() && *x >= 0.0 && *x < 1e7) && cpus > 0.0
    }
}

#[derive(Clone, Debug)]
struct Held {
    pair: usize,
    owned: f64,
    past: Past,
    began: Time,
    alive: bool,
}

/// Machines wanted of one type.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Want {
    /// Room worth having at the spot price.
    pub pool: f64,
    /// The part of it for jobs that can still make their deadline.
    pub timely: f64,
    /// Room held ready for a class that may not wait.
    pub ready: f64,
    /// Room that must be had beyond what is there or on its way.
    pub short: f64,
    /// Room that spot machines cannot give.
    pub ordinary: f64,
}

/// Room of one type, by when it is or becomes free: seconds from now, CPUs.
pub type Pool = Vec<(f64, f64)>;

/// Tasks that wait for room of one type, in the order they will get it.
#[derive(Clone, Debug)]
struct Queued {
    rank: (u8, bool),
    left_s: f64,
    cpus: f64,
    count: u32,
    run_s: f64,
    /// Latest useful start, from now; none when nothing depends on it.
    latest: Option<f64>,
    setup_s: f64,
}

/// Arrivals of one class that are remembered at once; guards memory.
const MAX_ARRIVALS: usize = 8_192;

/// Arrivals of a class that may not wait, and the load they make.
#[derive(Debug, Default)]
struct Arrivals {
    /// Widths of jobs, and until when their tasks would run had they all started
    /// at once.
    jobs: VecDeque<(f64, Time)>,
    /// Load over time: the width of all that would run.
    loads: VecDeque<(Time, f64)>,
    last: Option<Time>,
    gap_s: f64,
}

impl Arrivals {
    fn came(&mut self, now: Time, width: f64, run_s: f64) {
        if let Some(last) = self.last {
            let gap = now.since(last);
            self.gap_s = if self.gap_s > 0.0 {
                self.gap_s * 0.9 + gap * 0.1
            } else {
                gap
            };
        }
        self.last = Some(now);
        self.jobs.push_back((width, now.plus(run_s)));
        if self.jobs.len() > MAX_ARRIVALS {
            self.jobs.pop_front();
        }
    }

    /// As an earlier leader saw it; its last arrival counts as one just now.
    fn resume(&mut self, now: Time, load: &Load) {
        self.gap_s = load.gap_s;
        self.last = self.last.max(Some(now));
        self.loads.push_back((now, load.widest));
    }

    /// The widest load of late. Counted by what arrived, not by what is open:
    /// a queue that has built up says nothing of what comes next.
    fn widest(&mut self, now: Time) -> f64 {
        self.jobs.retain(|(_, until)| *until > now);
        if self
            .loads
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= 1.0)
        {
            self.loads
                .push_back((now, self.jobs.iter().map(|(width, _)| width).sum()));
        }
        while self
            .loads
            .front()
            .is_some_and(|(at, _)| now.since(*at) > WATCH_S)
        {
            self.loads.pop_front();
        }
        self.loads.iter().map(|(_, w)| *w).fold(0.0, f64::max)
    }

    /// Nothing has come for several times the usual gap.
    fn dry(&self, now: Time) -> bool {
        self.last
            .is_none_or(|at| now.since(at) > (self.gap_s * DRY_GAPS).max(15.0))
    }
}

/// Most tasks that one look ahead follows; guards processor time.
const LOOK_AHEAD: u32 = 1_500;

/// CPUs that tasks lack which must start by a certain time: those that would
/// start too late on the room that is there or becomes free, though a machine
/// rented now would be up in time.
fn shortfall(pool: &Pool, queue: &mut [Queued]) -> f64 {
    let ms = |s: f64| (s.max(0.0) * 1e3) as u64;
    let mut room: BinaryHeap<Reverse<(u64, u64)>> = pool
        .iter()
        .map(|(at, cpus)| Reverse((ms(*at), ms(*cpus))))
        .collect();
    queue.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.left_s.total_cmp(&b.left_s)));
    let (mut short, mut looked) = (0.0, 0);
    for q in queue.iter() {
        let resources = ms(q.cpus).max(1);
        for _ in 0..q.count {
            looked += 1;
            if looked > LOOK_AHEAD {
                return short;
            }
            let (mut got, mut start) = (0, 0);
            while got < resources {
                let Some(Reverse((at, cpus))) = room.pop() else {
                    start = u64::MAX;
                    break;
                };
                start = at;
                got += cpus;
            }
            if got > resources && start != u64::MAX {
                room.push(Reverse((start, got - resources)));
            }
            let late = q.latest.is_some_and(|l| start == u64::MAX || start > ms(l));
            let helps = start == u64::MAX || start > ms(q.setup_s);
            if late && helps && q.latest.is_some_and(|l| l > q.setup_s * 0.7) {
                // It will run on what is rented for it.
                short += q.cpus;
                if got > 0 && start != u64::MAX {
                    room.push(Reverse((start, resources)));
                }
            } else if start != u64::MAX {
                room.push(Reverse((start.saturating_add(ms(q.run_s)), resources)));
            }
        }
    }
    short
}

/// A deadline array's bound, by its user or by its class's aim, seconds from
/// its submission.
fn due_s(d: &Demand, settings: &Settings) -> Option<f64> {
    let aim = settings.tightest_objective_s("finished", &d.class);
    let due = d.due_s.into_iter().chain(aim).min_by(f64::total_cmp);
    due.filter(|_| d.deadline_array)
}

/// The times that a split rests on; seconds, `y` and `reach` in slots.
struct Timing {
    window: f64,
    fetch: f64,
    setup: f64,
    y: f64,
    reach: f64,
}

fn timing(d: &Demand, s: &MachineType, due: f64, slot_s: f64) -> Timing {
    let window = due - d.age_s;
    let fetch = if s.fetch_gb_per_s > 0.0 {
        d.image_gb / s.fetch_gb_per_s
    } else {
        0.0
    };
    let setup = s.boot_s * 1.2 + fetch;
    let y = f64::from(d.left) * d.run_s / slot_s;
    // Boots eat the tail: what is not yet on a machine has less time.
    let waiting = d.left.saturating_sub(d.placed) > 0;
    let reach = if waiting { window - setup } else { window };
    Timing {
        window,
        fetch,
        setup,
        y,
        reach: reach / slot_s,
    }
}

pub struct Splits {
    learner: Learner,
    rng: SmallRng,
    slot_s: f64,
    update_s: f64,
    jobs: BTreeMap<JobId, Held>,
    market: VecDeque<(Time, MarketSlot)>,
    updated: Time,
    began: Time,
    longest: f64,
    record: Option<Revision>,
    in_flight: bool,
    dirty: bool,
    retry_at: Time,
    waiting: BTreeMap<Rc<str>, Arrivals>,
    restored: BTreeMap<JobId, (usize, f64)>,
    /// The latest job of each class that may not wait.
    typical: BTreeMap<Rc<str>, Demand>,
    /// Run times that an earlier leader had learned, until taken.
    pub runs: Option<BTreeMap<String, f64>>,
}

impl Splits {
    pub fn new(operator: &OperatorSettings, token: FencingToken, now: Time) -> Splits {
        let seed = if operator.seed == 0 {
            rand::random()
        } else {
            operator.seed ^ token.0
        };
        Splits {
            learner: Learner::default(),
            rng: SmallRng::seed_from_u64(seed),
            slot_s: operator.update_s / LEN,
            update_s: operator.update_s,
            jobs: BTreeMap::new(),
            market: VecDeque::new(),
            updated: Time::default(),
            began: now,
            longest: 0.0,
            record: None,
            in_flight: false,
            dirty: false,
            retry_at: Time::default(),
            waiting: BTreeMap::new(),
            restored: BTreeMap::new(),
            typical: BTreeMap::new(),
            runs: None,
        }
    }

    /// What the market showed since the last update.
    pub fn observe(&mut self, now: Time, market: MarketSlot) {
        if now.since(self.updated) < self.update_s {
            return;
        }
        self.updated = now;
        self.market.push_back((now, market));
        if self.market.len() > HISTORY {
            self.market.pop_front();
        }
        // A job is replayed once the longest deadline has passed since it came.
        let t = now.since(self.began) / self.slot_s;
        let (longest, slot_s) = (self.longest, self.slot_s);
        let due: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, h)| now.since(h.began) / slot_s > longest)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(held) = self.jobs.get(&id) else {
                continue;
            };
            let end = held.began.plus(held.past.d * slot_s);
            let seen: Vec<MarketSlot> = self
                .market
                .iter()
                .filter(|(at, _)| *at >= held.began && *at <= end.plus(self.update_s))
                .map(|(_, m)| *m)
                .collect();
            if held.past.d > 0.0 && !seen.is_empty() {
                self.learner.learn(&held.past, LEN, &seen, t, longest);
            }
            if let Some(h) = self.jobs.get_mut(&id) {
                if h.alive {
                    // Learned from, but still to be split: never again replayed.
                    h.past.d = 0.0;
                }
            }
        }
        self.jobs
            .retain(|_, h| h.alive || now.since(h.began) / slot_s <= longest);
        self.dirty = true;
    }

    /// The wanted room per type, in machines.
    pub fn wants(
        &mut self,
        now: Time,
        demands: &[Demand],
        machine_types: &[MachineType],
        settings: &Settings,
        owned_cpus: f64,
        pools: &BTreeMap<usize, Pool>,
    ) -> BTreeMap<usize, Want> {
        let mut wants: BTreeMap<usize, Want> = BTreeMap::new();
        let exclusive = split::exclusive_types(machine_types, demands);
        // Owned room that no open job holds over its window.
        let mut owned_left = owned_cpus;
        for d in demands {
            if let Some(h) = self.jobs.get(&d.job) {
                owned_left -= h.owned * d.resources.cpus;
            }
        }
        let mut queues: BTreeMap<usize, Vec<Queued>> = BTreeMap::new();
        let mut open: BTreeMap<Rc<str>, f64> = BTreeMap::new();
        self.jobs.values_mut().for_each(|h| h.alive = false);
        for d in demands {
            let Some((machine_type, fit)) = split::cheapest(machine_types, d, &exclusive) else {
                continue;
            };
            let Some(s) = machine_types.get(machine_type) else {
                continue;
            };
            let want = wants.entry(machine_type).or_default();
            let fit_f = f64::from(fit.max(1));
            let left = f64::from(d.left);
            let wait = settings.tightest_objective_s("wait", &d.class);
            if wait.is_some() {
                *open.entry(d.class.clone()).or_default() += left;
                self.typical.insert(d.class.clone(), d.clone());
            }
            if !d.spot {
                want.ordinary += left / fit_f;
                continue;
            }
            let Some(due) = due_s(d, settings) else {
                // Without deadline: room whole, in arrival order.
                want.pool += left / fit_f;
                queues.entry(machine_type).or_default().push(Queued {
                    rank: (u8::MAX - d.urgency, false),
                    left_s: -d.age_s,
                    cpus: d.resources.cpus,
                    count: d.left.saturating_sub(d.placed),
                    run_s: d.run_s.max(1.0),
                    latest: Some(s.boot_s),
                    setup_s: s.boot_s,
                });
                continue;
            };
            let Timing {
                window,
                fetch,
                setup,
                y,
                reach,
            } = timing(d, s, due, self.slot_s);
            let late = window < d.run_s * 0.5;
            if wait.is_some() && !self.jobs.contains_key(&d.job) {
                let load = self.waiting.entry(d.class.clone()).or_default();
                load.came(now, left, d.run_s + fetch);
            }
            let held = self.held(now, d, window, &mut owned_left);
            let beta = self.learner.pair(held.0).1;
            let parts = split::split(left, y, reach, LEN, beta, held.1);
            // One place serves several tasks in turn as far as time allows; a
            // class that may not wait has all its places at once.
            let turns = match wait {
                Some(_) => 1.0,
                None => split::rounds(window - fetch - s.boot_s * 0.5, d.run_s),
            };
            let places = (left / turns).ceil().max(f64::from(d.placed).min(left));
            want.pool += places / fit_f;
            // What the split gives to on-demand machines must start in time;
            // the rest of the width follows on spot machines.
            if !late {
                want.timely += places / fit_f;
            }
            let waiting = d.left.saturating_sub(d.placed);
            let must = if late {
                0
            } else {
                (parts.ordinary.ceil() as u32).min(waiting)
            };
            for (count, latest) in [
                (must, Some(window - d.run_s - fetch)),
                (waiting - must, None),
            ] {
                queues.entry(machine_type).or_default().push(Queued {
                    rank: (u8::MAX - d.urgency, late),
                    left_s: window,
                    cpus: d.resources.cpus,
                    count,
                    run_s: d.run_s.max(1.0),
                    latest,
                    setup_s: setup - fetch,
                });
            }
        }
        let nothing = Pool::new();
        for (machine_type, mut queue) in queues {
            let cpus = machine_types.get(machine_type).map_or(0.0, |s| s.cpus);
            if cpus > 0.0 {
                let short = shortfall(pools.get(&machine_type).unwrap_or(&nothing), &mut queue);
                wants.entry(machine_type).or_default().short = short / cpus;
            }
        }
        for (class, arrivals) in &mut self.waiting {
            let Some(d) = self.typical.get(class) else {
                continue;
            };
            let Some((machine_type, fit)) = split::cheapest(machine_types, d, &exclusive) else {
                continue;
            };
            // The next burst comes before a boot is over, so the widest load
            // that was seen stays ready, and more.
            let high = arrivals.widest(now) * READY;
            let current = open.get(class).copied().unwrap_or(0.0);
            if high > current && !arrivals.dry(now) {
                wants.entry(machine_type).or_default().ready +=
                    (high - current) / f64::from(fit.max(1));
            }
        }
        wants
    }

    /// How a job is split now; none for jobs that are not split.
    pub fn tell(
        &self,
        d: &Demand,
        machine_types: &[MachineType],
        settings: &Settings,
    ) -> Option<Reason> {
        let held = self.jobs.get(&d.job)?;
        let due = due_s(d, settings)?;
        let exclusive = split::exclusive_types(machine_types, std::slice::from_ref(d));
        let (machine_type, _) = split::cheapest(machine_types, d, &exclusive)?;
        let t = timing(d, machine_types.get(machine_type)?, due, self.slot_s);
        let (beta0, beta) = self.learner.pair(held.pair);
        let left = f64::from(d.left);
        let parts = split::split(left, t.y, t.reach, LEN, beta, held.owned);
        let w = left - parts.owned;
        let rest = (t.y - parts.owned * t.reach.max(0.0)).max(0.0);
        let finite = |x: f64| x.is_finite().then_some(x);
        Some(Reason::Split {
            beta0,
            beta,
            owned: parts.owned,
            spot: parts.spot,
            ordinary: parts.ordinary,
            slack: finite(split::slackness(w, rest, t.reach)),
            nu: finite(split::nu(w, rest, t.reach, LEN, beta)),
            tail: split::tail(w, rest, t.reach, LEN),
        })
    }

    pub fn update_s(&self) -> f64 {
        self.update_s
    }

    /// Every pair with its weight and the open jobs that drew it.
    pub fn pairs(&self) -> impl Iterator<Item = (f64, f64, f64, u32)> + '_ {
        self.learner
            .weights()
            .into_iter()
            .enumerate()
            .map(|(i, weight)| {
                let (beta0, beta) = self.learner.pair(i);
                let jobs = self
                    .jobs
                    .values()
                    .filter(|h| h.alive && h.pair == i)
                    .count();
                (beta0, beta, weight, jobs as u32)
            })
    }

    /// The job's pair and owned share, drawn on arrival.
    fn held(&mut self, now: Time, d: &Demand, window: f64, owned_left: &mut f64) -> (usize, f64) {
        if let Some(h) = self.jobs.get_mut(&d.job) {
            h.alive = true;
            return (h.pair, h.owned);
        }
        let z = f64::from(d.left) * d.run_s / self.slot_s;
        let slots = (window / self.slot_s).max(0.0);
        let (pair, owned) = match self.restored.remove(&d.job) {
            Some(r) => r,
            None => {
                let pair = self.learner.draw(self.rng.gen());
                let beta0 = self.learner.pair(pair).0;
                let idle = if d.resources.cpus > 0.0 {
                    owned_left.max(0.0) / d.resources.cpus
                } else {
                    0.0
                };
                (
                    pair,
                    split::owned_share(f64::from(d.left), z, slots, LEN, beta0, idle),
                )
            }
        };
        *owned_left -= owned * d.resources.cpus;
        self.longest = self.longest.max(slots.min(720.0));
        let past = Past {
            delta: f64::from(d.left),
            z,
            d: slots,
        };
        self.jobs.insert(
            d.job,
            Held {
                pair,
                owned,
                past,
                began: now,
                alive: true,
            },
        );
        self.dirty = true;
        (pair, owned)
    }

    /// One batched value per update holds weights and splits.
    pub fn keep(
        &mut self,
        now: Time,
        token: FencingToken,
        runs: &BTreeMap<String, f64>,
        limit: usize,
        store: &mut StoreClient<Tag>,
    ) {
        if self.in_flight || now < self.retry_at {
            return;
        }
        let Some(revision) = self.record else {
            self.in_flight = true;
            store.scan(
                now,
                Priority::Background,
                Tag::Fleet(FleetCall::ReadSplit),
                PREFIX,
                None,
            );
            return;
        };
        if !self.dirty {
            return;
        }
        self.dirty = false;
        self.in_flight = true;
        self.retry_at = now.plus(self.update_s);
        // Thirty bytes a job: beyond the limit the rest draw anew after a
        // change of leader.
        let mut most = limit.saturating_sub(1_024) / 40;
        let mut classes = 16;
        let round = |w: f64| (w * 1e6).round() / 1e6;
        let typical = &self.typical;
        let loads: Vec<(String, Load)> = self
            .waiting
            .iter_mut()
            .filter_map(|(class, a)| {
                Some((class.to_string(), Load::of(a, typical.get(class)?, now)?))
            })
            .collect();
        // Tiny values and long names of classes: less is kept, never nothing.
        loop {
            let alive = self.jobs.iter().filter(|(_, h)| h.alive).take(most);
            let record = Record {
                v: 1,
                weights: self.learner.weights().into_iter().map(round).collect(),
                splits: alive
                    .map(|(id, h)| (id.to_string(), (h.pair, h.owned)))
                    .collect(),
                runs: runs
                    .iter()
                    .take(classes)
                    .map(|(c, f)| (c.clone(), round(*f)))
                    .collect(),
                loads: loads.iter().take(classes).cloned().collect(),
            };
            let mut transaction = store.transaction();
            let built = transaction
                .when(crate::leader_election::BLOCK_KEY, Revision(token.0))
                .and_then(|()| transaction.put(KEY, revision, wire::to_value(&record), None));
            if built.is_ok() {
                store.commit(
                    now,
                    Priority::Background,
                    Tag::Fleet(FleetCall::WriteSplit),
                    transaction,
                );
                return;
            }
            if most == 0 && classes == 0 {
                tracing::error!("{KEY} cannot be kept: {built:?}");
                self.in_flight = false;
                return;
            }
            (most, classes) = (most / 2, classes / 2);
        }
    }

    pub fn on_read(&mut self, now: Time, reply: Reply<Tag>) {
        self.in_flight = false;
        let Outcome::Ok(body) = reply.outcome else {
            self.retry_at = now.plus(0.5);
            return;
        };
        let Ok(scan) = wire::decode::<ScanResponse>(&body) else {
            return;
        };
        let found = scan.entries.iter().find(|p| p.key == KEY);
        self.record = Some(Revision(found.map_or(0, |p| p.revision)));
        let Some(found) = found else { return };
        match wire::from_value::<Record>(&found.value) {
            Ok(r) if r.v == 1 => {
                if !self.learner.restore(&r.weights) {
                    tracing::info!("stored weights are for another grid; learning begins anew");
                }
                for (id, split) in r.splits {
                    if let Some(id) = JobId::parse(&id) {
                        self.restored.insert(id, split);
                    }
                }
                self.runs.get_or_insert(r.runs);
                for (class, load) in r.loads.iter().filter(|(_, l)| l.sound()) {
                    self.resume(now, class.as_str().into(), load);
                }
            }
            _ => {
                tracing::error!("{KEY} has an unknown form or version; splits are not stored");
                self.retry_at = now.plus(1e6);
                self.record = None;
            }
        }
    }

    /// Takes up what an earlier leader knew of a class that may not wait.
    fn resume(&mut self, now: Time, class: Rc<str>, load: &Load) {
        self.waiting
            .entry(class.clone())
            .or_default()
            .resume(now, load);
        let (cpus, gpus, memory_gb) = load.size;
        let Some(job) = JobId::parse("job-0") else {
            return;
        };
        self.typical.entry(class.clone()).or_insert(Demand {
            job,
            class,
            resources: Resources {
                cpus,
                gpus,
                memory_gb,
            },
            left: 0,
            placed: 0,
            run_s: 0.0,
            age_s: 0.0,
            due_s: None,
            image_gb: 0.0,
            urgency: 0,
            deadline_array: true,
            spot: load.spot,
            machine_types: None,
            zone: None,
        });
    }

    pub fn on_written(&mut self, now: Time, reply: Reply<Tag>) {
        self.in_flight = false;
        match reply.outcome {
            Outcome::Ok(body) => {
                self.record = wire::decode::<CommitResponse>(&body)
                    .ok()
                    .map(|c| Revision(c.revision))
            }
            Outcome::Refused => {
                self.dirty = true;
                self.retry_at = now.plus(1.0);
            }
            // The same again would be refused again: with the next update the
            // value is another.
            Outcome::Malformed => {
                self.dirty = true;
                self.retry_at = now.plus(self.update_s);
            }
            // Lost or changed: read its stamp again.
            _ => {
                self.dirty = true;
                self.record = None;
            }
        }
    }
}

#[cfg(test)]
mod tests;
