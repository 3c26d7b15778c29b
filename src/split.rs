//! How many machines of each type and kind are wanted.
//!
//! Pure functions: demand, types and prices in, wanted counts out.

use crate::types::JobId;
use std::collections::BTreeMap;

/// A machine type as the cloud publishes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
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

/// What a task takes of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Need {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimal amounts may miss a bound by a rounding error.
pub const EPSILON: f64 = 1e-6;

impl Need {
    pub fn fits(&self, room: &Need) -> bool {
        self.cpus <= room.cpus + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.memory_gb <= room.memory_gb + EPSILON
    }
    pub fn add(&mut self, other: &Need) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
    pub fn sub(&mut self, other: &Need) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}

impl Shape {
    pub fn room(&self) -> Need {
        Need { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// How many tasks of this size one machine takes at once.
    pub fn fit(&self, need: &Need) -> u32 {
        let part = |have: f64, want: f64| {
            if want > 0.0 {
                ((have + EPSILON) / want).floor()
            } else {
                f64::MAX
            }
        };
        let n = part(self.cpus, need.cpus)
            .min(part(self.gpus, need.gpus))
            .min(part(self.memory_gb, need.memory_gb));
        n.clamp(0.0, 4_096.0) as u32
    }
}

/// Whether a job may use the type, and how many of its tasks fit.
pub fn allowed_fit(
    shape: &Shape,
    need: &Need,
    shapes: &Option<Vec<String>>,
    zone: &Option<String>,
) -> u32 {
    if shapes.as_ref().is_some_and(|s| !s.contains(&shape.label)) {
        return 0;
    }
    if zone.as_ref().is_some_and(|z| !shape.zones.contains(z)) {
        return 0;
    }
    shape.fit(need)
}

/// Open work of one job, as the fleet has to provide for it.
#[derive(Clone, Debug)]
pub struct Demand {
    pub job: JobId,
    pub need: Need,
    /// Tasks that could run at once.
    pub width: u32,
    pub spot: bool,
    pub shapes: Option<Vec<String>>,
    pub zone: Option<String>,
}

/// Machines of one type and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    pub shape: usize,
    pub spot: bool,
}

/// The type on which the job's tasks cost least, and how many fit there.
pub fn cheapest(shapes: &[Shape], d: &Demand) -> Option<(usize, u32)> {
    let cost = |s: &Shape, fit: u32| (if d.spot { s.low_price } else { s.rate }) / f64::from(fit);
    shapes
        .iter()
        .enumerate()
        .map(|(i, s)| (i, s, allowed_fit(s, &d.need, &d.shapes, &d.zone)))
        .filter(|(_, _, fit)| *fit > 0)
        // A tenth of the price is not worth filling machines that only large
        // tasks fit: among near equals the smaller type wins.
        .min_by(|(_, a, fa), (_, b, fb)| {
            let (ca, cb) = (cost(a, *fa), cost(b, *fb));
            if (ca - cb).abs() <= 0.1 * ca.max(cb) {
                a.cpus.total_cmp(&b.cpus)
            } else {
                ca.total_cmp(&cb)
            }
        })
        .map(|(i, _, fit)| (i, fit))
}

/// The plain rule: room for all open work at once, on each job's cheapest type.
pub fn plain(shapes: &[Shape], demands: &[Demand]) -> BTreeMap<Class, u32> {
    let mut parts: BTreeMap<Class, f64> = BTreeMap::new();
    for d in demands {
        if let Some((shape, fit)) = cheapest(shapes, d) {
            *parts.entry(Class { shape, spot: d.spot }).or_default() +=
                f64::from(d.width) / f64::from(fit);
        }
    }
    parts.into_iter().map(|(class, n)| (class, (n - 1e-9).ceil() as u32)).collect()
}
