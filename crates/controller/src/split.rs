//! How many machines of each type and kind are wanted.
//!
//! Pure functions: demand, types and prices in, wanted counts out.

pub use beamhinge_core::resources::{Resources, EPSILON};
use beamhinge_core::types::JobId;
use std::rc::Rc;

/// A machine type as the cloud publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub label: String,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub rate: f64,
    pub low_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

impl MachineType {
    pub fn room(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// How many tasks of this size one machine takes at once.
    pub fn fit(&self, resources: &Resources) -> u32 {
        let part = |have: f64, want: f64| {
            if want > 0.0 {
                ((have + EPSILON) / want).floor()
            } else {
                f64::MAX
            }
        };
        let n = part(self.cpus, resources.cpus)
            .min(part(self.gpus, resources.gpus))
            .min(part(self.memory_gb, resources.memory_gb));
        n.clamp(0.0, 4_096.0) as u32
    }
}

/// Whether a job may use the type, and how many of its tasks fit.
pub fn allowed_fit(
    machine_type: &MachineType,
    resources: &Resources,
    machine_types: &Option<Vec<String>>,
    zone: &Option<String>,
) -> u32 {
    if machine_types
        .as_ref()
        .is_some_and(|s| !s.contains(&machine_type.label))
    {
        return 0;
    }
    if zone
        .as_ref()
        .is_some_and(|z| !machine_type.zones.contains(z))
    {
        return 0;
    }
    machine_type.fit(resources)
}

/// Machines of one type and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    pub machine_type: usize,
    pub spot: bool,
}

// ---- the paper's formulas; times in slots, widths in tasks ----

/// Fewest self-owned machines with which spot machines alone are expected to
/// finish the rest in time: r̄ of equations (3) and (4), with κ0 = ⌈d/Len⌉ − 1.
///
/// Degenerate cases: no time left or no width gives 0; work that fills the
/// whole width (dδ ≤ z) gives δ; a denominator of zero means that the branch
/// expects spot machines to run all the time (β0 at its end, or κ0 = 0 in the
/// second branch), so whatever fits the width needs no owned machine.
pub fn owned_bar(delta: f64, z: f64, d: f64, len: f64, beta0: f64) -> f64 {
    if delta <= 0.0 || d <= 0.0 || z <= 0.0 {
        return 0.0;
    }
    let slack = d * delta - z;
    if slack <= 0.0 {
        return delta;
    }
    let kappa0 = (d / len).ceil() - 1.0;
    let below = if d - kappa0 * len >= beta0 * len {
        d - (kappa0 + 1.0) * len * beta0
    } else {
        (1.0 - beta0) * kappa0 * len
    };
    if below <= EPSILON {
        return 0.0;
    }
    delta - slack / below
}

/// Equation (5): whole owned machines for a job, at most those idle over its
/// window.
pub fn owned_share(delta: f64, z: f64, d: f64, len: f64, beta0: f64, idle: f64) -> f64 {
    owned_bar(delta, z, d, len, beta0)
        .max(0.0)
        .ceil()
        .min(idle.floor())
        .clamp(0.0, delta.max(0.0))
}

/// Equation (9): how many bids of one update each the slack still allows.
pub fn nu(w: f64, y: f64, d: f64, len: f64, beta: f64) -> f64 {
    let below = len * (1.0 - beta);
    let slack = d * w - y;
    if slack <= 0.0 {
        0.0
    } else if below <= EPSILON {
        f64::INFINITY
    } else {
        (slack / below + EPSILON).floor()
    }
}

/// Slackness w·d/y; without work left it is unbounded.
pub fn slackness(w: f64, y: f64, d: f64) -> f64 {
    if y <= 0.0 {
        f64::INFINITY
    } else {
        w * d.max(0.0) / y
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parts {
    pub owned: f64,
    pub spot: f64,
    pub ordinary: f64,
}

/// Algorithm 1 for the width that owned machines leave over.
pub fn proportion(w: f64, y: f64, d: f64, len: f64, beta: f64) -> (f64, f64) {
    let n = nu(w, y, d, len, beta);
    if n <= 0.0 || n >= w {
        (w, 0.0)
    } else {
        (n, w - n)
    }
}

/// Proposition 4: on-demand width now, once spot has no slack left. Full width
/// for the last whole updates, before them just what else is needed.
pub fn tail(w: f64, y: f64, d: f64, len: f64) -> f64 {
    if y <= 0.0 || w <= 0.0 {
        return 0.0;
    }
    let kappa = (d.max(0.0) / len).floor();
    let front = d - kappa * len;
    if front <= EPSILON || d <= 0.0 {
        return w;
    }
    ((y - kappa * w * len) / front).ceil().clamp(0.0, w)
}

/// One update of one job: owned, spot and on-demand width.
pub fn split(delta: f64, y: f64, d: f64, len: f64, beta: f64, owned: f64) -> Parts {
    let owned = owned.clamp(0.0, delta);
    let w = delta - owned;
    let rest = (y - owned * d.max(0.0)).max(0.0);
    if rest > 0.0 && slackness(w, rest, d) < 1.0 {
        let ordinary = tail(w, rest, d, len);
        return Parts {
            owned,
            spot: w - ordinary,
            ordinary,
        };
    }
    let (spot, ordinary) = proportion(w, rest, d, len, beta);
    Parts {
        owned,
        spot,
        ordinary,
    }
}

// ---- the learner ----

/// The grid of (β0, β). Pairs carry no bid: this cloud takes none.
pub fn grid() -> Vec<(f64, f64)> {
    const BETA0: [f64; 3] = [0.25, 0.5, 0.8];
    const BETA: [f64; 4] = [0.3, 0.6, 0.85, 0.95];
    BETA0
        .iter()
        .flat_map(|b0| BETA.iter().map(move |b| (*b0, *b)))
        .collect()
}

/// What one update showed of the market.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarketSlot {
    /// Spot price over on-demand price.
    pub price: f64,
    /// Part of the wanted spot width that was really up.
    pub up: f64,
    /// Owned width that stood idle.
    pub idle_owned: f64,
}

/// A job as the learner replays it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Past {
    pub delta: f64,
    pub z: f64,
    pub d: f64,
}

/// What a pair would have cost on a past job, as a part of the price of
/// running it on on-demand machines alone. What it leaves undone at the
/// deadline is bought at twice its cost, as overdue work is.
pub fn replay(job: &Past, len: f64, pair: (f64, f64), market: &[MarketSlot]) -> f64 {
    if job.z <= 0.0 {
        return 0.0;
    }
    let idle = market
        .iter()
        .map(|m| m.idle_owned)
        .fold(f64::INFINITY, f64::min);
    let idle = if idle.is_finite() { idle } else { 0.0 };
    let owned = owned_share(job.delta, job.z, job.d, len, pair.0, idle);
    let (mut y, mut d, mut cost) = (job.z, job.d, 0.0);
    for m in market {
        if y <= 0.0 || d <= 0.0 {
            break;
        }
        let step = len.min(d);
        let p = split(job.delta, y, d, len, pair.1, owned);
        let ran = (p.owned + p.spot * m.up.clamp(0.0, 1.0) + p.ordinary) * step;
        let part = if ran > y { y / ran } else { 1.0 };
        cost += (p.spot * m.up.clamp(0.0, 1.0) * m.price + p.ordinary) * step * part;
        y -= ran * part;
        d -= step;
    }
    ((cost + 2.0 * y.max(0.0)) / job.z).clamp(0.0, 2.0) / 2.0
}

/// Weighted majority over the grid (Algorithm 3).
#[derive(Clone, Debug)]
pub struct Learner {
    pairs: Vec<(f64, f64)>,
    /// Logarithms, so that no weight is ever lost to underflow.
    log_weights: Vec<f64>,
}

impl Default for Learner {
    fn default() -> Self {
        let pairs = grid();
        let log_weights = vec![0.0; pairs.len()];
        Learner { pairs, log_weights }
    }
}

impl Learner {
    pub fn pair(&self, index: usize) -> (f64, f64) {
        self.pairs.get(index).copied().unwrap_or((0.5, 0.6))
    }

    pub fn weights(&self) -> Vec<f64> {
        let top = self
            .log_weights
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, f64::max);
        let raw: Vec<f64> = self.log_weights.iter().map(|l| (l - top).exp()).collect();
        let sum: f64 = raw.iter().sum();
        raw.into_iter().map(|w| w / sum).collect()
    }

    /// Takes weights that an earlier leader stored; others are refused.
    pub fn restore(&mut self, weights: &[f64]) -> bool {
        if weights.len() != self.pairs.len() || weights.iter().any(|w| !w.is_finite() || *w < 0.0) {
            return false;
        }
        self.log_weights = weights.iter().map(|w| w.max(1e-30).ln()).collect();
        true
    }

    /// Draws a pair by weight; `u` is uniform in [0, 1).
    pub fn draw(&self, u: f64) -> usize {
        let mut left = u;
        for (i, w) in self.weights().iter().enumerate() {
            left -= w;
            if left < 0.0 {
                return i;
            }
        }
        self.pairs.len() - 1
    }

    /// Scales every pair by exp(−η·cost) of its replay, with
    /// η = sqrt(2·ln n / (D·(t−D))); `t` and `longest` in slots.
    pub fn learn(&mut self, job: &Past, len: f64, market: &[MarketSlot], t: f64, longest: f64) {
        if t <= longest || longest <= 0.0 {
            return;
        }
        let eta = (2.0 * (self.pairs.len() as f64).ln() / (longest * (t - longest))).sqrt();
        for (pair, w) in self.pairs.iter().zip(&mut self.log_weights) {
            *w -= eta * replay(job, len, *pair, market);
        }
        let top = self
            .log_weights
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, f64::max);
        self.log_weights
            .iter_mut()
            .for_each(|w| *w = (*w - top).max(-60.0));
    }
}

// ---- from widths to machines ----

/// Open work of one job, as the fleet has to provide for it.
#[derive(Clone, Debug)]
pub struct Demand {
    pub job: JobId,
    pub class: Rc<str>,
    pub resources: Resources,
    /// Tasks not yet done, and those of them that have a machine.
    pub left: u32,
    pub placed: u32,
    /// Run time of a task, corrected by what runs of its class showed.
    pub run_s: f64,
    /// Time since its submission.
    pub age_s: f64,
    /// From its submission; none for jobs without deadline.
    pub due_s: Option<f64>,
    pub image_gb: f64,
    pub urgency: u8,
    pub deadline_array: bool,
    pub spot: bool,
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
}

/// The type on which the job's tasks cost least, and how many fit there.
///
/// Types that some work has to itself, because its tasks fit nowhere else, are
/// left to it as long as another type costs less than twice as much.
pub fn cheapest(
    machine_types: &[MachineType],
    d: &Demand,
    exclusive: &[bool],
) -> Option<(usize, u32)> {
    let cost = |i: usize, s: &MachineType, fit: u32| {
        let price = if d.spot { s.low_price } else { s.rate };
        let factor = if exclusive.get(i).copied().unwrap_or(false) {
            2.0
        } else {
            1.0
        };
        price * factor / f64::from(fit)
    };
    machine_types
        .iter()
        .enumerate()
        .map(|(i, s)| {
            (
                i,
                s,
                allowed_fit(s, &d.resources, &d.machine_types, &d.zone),
            )
        })
        .filter(|(_, _, fit)| *fit > 0)
        .min_by(|(i, a, fa), (j, b, fb)| {
            let (ca, cb) = (cost(*i, a, *fa), cost(*j, b, *fb));
            if (ca - cb).abs() <= 0.1 * ca.max(cb) {
                a.cpus.total_cmp(&b.cpus)
            } else {
                ca.total_cmp(&cb)
            }
        })
        .map(|(i, _, fit)| (i, fit))
}

/// Types on which some job depends because its tasks fit on no other.
pub fn exclusive_types(machine_types: &[MachineType], demands: &[Demand]) -> Vec<bool> {
    let mut out = vec![false; machine_types.len()];
    for d in demands {
        let mut fits = (0..machine_types.len()).filter(|i| {
            machine_types
                .get(*i)
                .is_some_and(|s| allowed_fit(s, &d.resources, &d.machine_types, &d.zone) > 0)
        });
        if let (Some(only), None) = (fits.next(), fits.next()) {
            out[only] = true;
        }
    }
    out
}

/// How many tasks one place on a machine can run one after the other before
/// the job is due. Not a whole number: the places are shared by all jobs, and
/// what one leaves over another takes up.
pub fn rounds(window_s: f64, run_s: f64) -> f64 {
    if run_s <= 0.0 {
        return 1.0;
    }
    (window_s / run_s).clamp(1.0, 16.0)
}

#[cfg(test)]
pub(crate) mod tests;
