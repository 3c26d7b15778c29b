//! The paper's formulas: how the work of one job is split at one update.
//!
//! Times are in slots, widths in tasks (one machine runs one task), work in task-slots. The paper's
//! symbols and the names here:
//!
//! | paper | name | meaning |
//! | --- | --- | --- |
//! | δ | `width` | tasks that the job can run at once |
//! | z, and z̃ while it runs | `work` | work that is left |
//! | d, and d̃ while it runs | `window` | slots until the deadline |
//! | Len | `update_len` | slots of one update |
//! | β0 | `owned_availability` | availability of spot machines assumed when owned machines are given out |
//! | β | `spot_availability` | availability of spot machines assumed when they are bid for |
//! | r, r̄ | `owned` | owned machines of the job, and the fewest that suffice |
//! | ν | `spot_bids` | spot machines that the slack still allows |
//! | κ0, κ | `whole_updates` | whole updates within the window |

use beamhinge_core::resources::EPSILON;

/// Parameters of the policy. They carry no bid, since this cloud takes none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyParameters {
    /// β0.
    pub owned_availability: f64,
    /// β.
    pub spot_availability: f64,
}

/// The grid of parameters that the learner chooses from.
pub fn parameter_grid() -> Vec<PolicyParameters> {
    const OWNED_AVAILABILITIES: [f64; 3] = [0.25, 0.5, 0.8];
    const SPOT_AVAILABILITIES: [f64; 4] = [0.3, 0.6, 0.85, 0.95];
    OWNED_AVAILABILITIES
        .iter()
        .flat_map(|owned| {
            SPOT_AVAILABILITIES.iter().map(|spot| PolicyParameters {
                owned_availability: *owned,
                spot_availability: *spot,
            })
        })
        .collect()
}

/// Fewest owned machines with which spot machines alone are expected to finish the rest in time:
/// r̄ of equations (3) and (4), with κ0 = ⌈d/Len⌉ − 1.
///
/// Degenerate cases: no time left or no width gives 0; work that fills the whole width (d·δ ≤ z)
/// gives δ; a denominator of zero means that the branch expects spot machines to run all the time
/// (β0 at its end, or κ0 = 0 in the second branch), so whatever fits the width needs no owned
/// machine.
fn min_owned_machines(
    width: f64,
    work: f64,
    window: f64,
    update_len: f64,
    owned_availability: f64,
) -> f64 {
    if width <= 0.0 || window <= 0.0 || work <= 0.0 {
        return 0.0;
    }
    let slack = window * width - work;
    if slack <= 0.0 {
        return width;
    }
    let whole_updates = (window / update_len).ceil() - 1.0;
    let denominator = if window - whole_updates * update_len >= owned_availability * update_len {
        window - (whole_updates + 1.0) * update_len * owned_availability
    } else {
        (1.0 - owned_availability) * whole_updates * update_len
    };
    if denominator <= EPSILON {
        return 0.0;
    }
    width - slack / denominator
}

/// Equation (5): whole owned machines for a job, at most the `idle` ones over its window.
pub fn owned_machines(
    width: f64,
    work: f64,
    window: f64,
    update_len: f64,
    owned_availability: f64,
    idle: f64,
) -> f64 {
    min_owned_machines(width, work, window, update_len, owned_availability)
        .max(0.0)
        .ceil()
        .min(idle.floor())
        .clamp(0.0, width.max(0.0))
}

/// Equation (9), ν: how many spot machines the slack still allows for one update. Unbounded where
/// spot machines are assumed to run all the time.
pub fn spot_bids(
    width: f64,
    work: f64,
    window: f64,
    update_len: f64,
    spot_availability: f64,
) -> f64 {
    let denominator = update_len * (1.0 - spot_availability);
    let slack = window * width - work;
    if slack <= 0.0 {
        0.0
    } else if denominator <= EPSILON {
        f64::INFINITY
    } else {
        (slack / denominator + EPSILON).floor()
    }
}

/// Slackness δ·d/z; without work left it is unbounded.
pub fn slackness(width: f64, work: f64, window: f64) -> f64 {
    if work <= 0.0 {
        f64::INFINITY
    } else {
        width * window.max(0.0) / work
    }
}

/// A job's width by the kind of its machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// On owned machines.
    pub owned: f64,
    /// On spot machines.
    pub spot: f64,
    /// On on-demand machines.
    pub on_demand: f64,
}

/// Algorithm 1 for the width that owned machines leave over: spot and on-demand width.
pub fn split_remainder(
    width: f64,
    work: f64,
    window: f64,
    update_len: f64,
    spot_availability: f64,
) -> (f64, f64) {
    let bids = spot_bids(width, work, window, update_len, spot_availability);
    if bids <= 0.0 || bids >= width {
        (width, 0.0)
    } else {
        (bids, width - bids)
    }
}

/// Proposition 4: on-demand width now, once spot machines have no slack left. Full width for the
/// last whole updates, before them just what else is needed.
pub fn final_on_demand(width: f64, work: f64, window: f64, update_len: f64) -> f64 {
    if work <= 0.0 || width <= 0.0 {
        return 0.0;
    }
    let whole_updates = (window.max(0.0) / update_len).floor();
    let before_them = window - whole_updates * update_len;
    if before_them <= EPSILON || window <= 0.0 {
        return width;
    }
    ((work - whole_updates * width * update_len) / before_them)
        .ceil()
        .clamp(0.0, width)
}

/// The split of one job at one update, given its owned machines.
pub fn split(
    width: f64,
    work: f64,
    window: f64,
    update_len: f64,
    spot_availability: f64,
    owned: f64,
) -> Split {
    let owned = owned.clamp(0.0, width);
    let remaining_width = width - owned;
    let remaining_work = (work - owned * window.max(0.0)).max(0.0);
    if remaining_work > 0.0 && slackness(remaining_width, remaining_work, window) < 1.0 {
        let ordinary = final_on_demand(remaining_width, remaining_work, window, update_len);
        return Split {
            owned,
            spot: remaining_width - ordinary,
            on_demand: ordinary,
        };
    }
    let (spot, ordinary) = split_remainder(
        remaining_width,
        remaining_work,
        window,
        update_len,
        spot_availability,
    );
    Split {
        owned,
        spot,
        on_demand: ordinary,
    }
}
