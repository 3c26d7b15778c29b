//! Sweeps: the same run at several sizes that differ in one dimension, and a line fitted to each
//! figure.

use super::figures::{self, Figures};
use super::fit::{least_squares, Fit};
use super::size::Size;
use clap::ValueEnum;
use serde::Serialize;

/// The dimension that is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(super) enum Axis {
    Workers,
    Starts,
    Running,
    Teams,
}

/// Sizes of a sweep as fractions of the full size.
const FRACTIONS: [f64; 4] = [0.25, 0.5, 0.75, 1.0];

impl Axis {
    pub(super) fn name(self) -> &'static str {
        match self {
            Axis::Workers => "workers",
            Axis::Starts => "starts a second",
            Axis::Running => "running tasks",
            Axis::Teams => "teams",
        }
    }

    /// The sizes of the sweep. Only this dimension varies, except that the mean run time follows
    /// from the number of running tasks and the rate of task starts. For workers, the number of
    /// running tasks varies too.
    pub(super) fn sizes(self, full: &Size) -> Vec<(f64, Size)> {
        FRACTIONS
            .iter()
            .map(|fraction| self.scaled_size(full, *fraction))
            .collect()
    }

    fn scaled_size(self, full: &Size, fraction: f64) -> (f64, Size) {
        let mut size = full.clone();
        let scale = |n: usize| ((n as f64 * fraction).round() as usize).max(1);
        let x = match self {
            Axis::Workers => {
                size.workers = scale(full.workers);
                // Fewer machines have capacity for fewer tasks of the same size.
                size.running = scale(full.running).max(full.starts_per_s.ceil() as usize);
                size.workers as f64
            }
            Axis::Starts => {
                size.starts_per_s = full.starts_per_s * fraction;
                size.starts_per_s
            }
            Axis::Running => {
                size.running = scale(full.running).max(full.starts_per_s.ceil() as usize);
                size.running as f64
            }
            Axis::Teams => {
                size.teams = scale(full.teams);
                size.teams as f64
            }
        };
        (x, size)
    }
}

/// Values of one figure at all sizes.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Series {
    pub name: String,
    pub unit: &'static str,
    pub points: Vec<(f64, f64)>,
    pub fit: Option<Fit>,
}

type ReadFigure = fn(&Figures) -> f64;

fn core_use(f: &Figures, role: &str) -> f64 {
    f.roles.get(role).map_or(0.0, |r| r.core)
}

fn memory_mb(f: &Figures, role: &str) -> f64 {
    f.roles.get(role).map_or(0.0, |r| r.resident_mb)
}

fn bytes_per_s(f: &Figures, role: &str) -> f64 {
    f.flows
        .iter()
        .filter(|(k, _)| k.starts_with(role))
        .map(|(_, r)| r.bytes_per_s)
        .sum()
}

const SERIES: [(&str, &str, ReadFigure); 13] = [
    ("leader processor", "core", |f| core_use(f, figures::LEADER)),
    ("leader memory", "MB", |f| memory_mb(f, figures::LEADER)),
    ("other controller processor", "core", |f| {
        core_use(f, figures::FOLLOWER)
    }),
    ("other controller memory", "MB", |f| {
        memory_mb(f, figures::FOLLOWER)
    }),
    ("state service processor", "core", |f| {
        core_use(f, figures::STATE)
    }),
    ("state service memory", "MB", |f| {
        memory_mb(f, figures::STATE)
    }),
    ("state service requests", "a second", |f| {
        f.state_requests_per_s
    }),
    ("state service changes", "a second", |f| {
        f.state_changes_per_s
    }),
    ("state service bytes", "B a second", |f| {
        bytes_per_s(f, "state ")
    }),
    ("cloud bytes", "B a second", |f| bytes_per_s(f, "cloud ")),
    ("workers bytes", "B a second", |f| {
        bytes_per_s(f, "workers ")
    }),
    ("users bytes", "B a second", |f| bytes_per_s(f, "users ")),
    ("worker processor", "core", |f| core_use(f, figures::WORKER)),
];

/// Fits a line to each figure.
pub(super) fn fit_series(points: &[(f64, Figures)]) -> Vec<Series> {
    SERIES
        .iter()
        .map(|(name, unit, read)| {
            let points: Vec<(f64, f64)> = points.iter().map(|(x, f)| (*x, read(f))).collect();
            let fit = least_squares(&points);
            Series {
                name: name.to_string(),
                unit,
                points,
                fit,
            }
        })
        .collect()
}
