//! The paper's formulas for splitting the work of one job at one update.
//!
//! Times are in slots, widths in tasks (one machine runs one task), work in task-slots. The paper's
//! symbols and the names here:
//!
//! | paper | name | meaning |
//! | --- | --- | --- |
//! | δ | `width` | number of tasks that the job can run at once |
//! | z, and z̃ while the job runs | `work` | remaining work |
//! | d, and d̃ while the job runs | `window` | slots until the deadline |
//! | Len | `update_len` | length of one update |
//! | β0 | `owned_availability` | spot availability assumed when owned machines are assigned |
//! | β | `spot_availability` | spot availability assumed when spot machines are bid for |
//! | r, r̄ | `owned` | owned machines of the job, and the minimum that suffices |
//! | ν | `spot_bids` | number of spot machines that the slack allows |
//! | κ0, κ | `whole_updates` | number of whole updates within the window |

use beamhinge_core::resources::EPSILON;

/// Parameters of the policy. Unlike in the paper there is no bid price, since the cloud accepts no
/// bids.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyParameters {
    /// β0: spot availability assumed when owned machines are assigned.
    pub owned_availability: f64,
    /// β: spot availability assumed when spot machines are bid for.
    pub spot_availability: f64,
}

/// The grid of parameter pairs from which the learner chooses.
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

/// The minimum number of owned machines with which spot machines alone are expected to finish the
/// remaining work in time: r̄ of equations (3) and (4), with κ0 = ⌈d/Len⌉ − 1.
///
/// Degenerate cases:
/// - If the window, the width or the work is not positive, the result is 0.
/// - If the work fills the whole width (d·δ ≤ z), the result is δ.
/// - If the denominator is zero, the branch assumes that spot machines are always up (β0 at the end
///   of its range, or κ0 = 0 in the second branch). Work that fits the width then needs no owned
///   machine, and the result is 0.
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

/// Equation (5): the whole number of owned machines assigned to a job, at most the number that is
/// idle (`idle`) throughout its window.
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

/// Equation (9): ν, the number of spot machines that the slack allows for one update. It is 0
/// without slack, otherwise infinite if spot machines are assumed to be always up.
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

/// Slackness δ·d/z; infinite if no work remains.
pub fn slackness(width: f64, work: f64, window: f64) -> f64 {
    if work <= 0.0 {
        f64::INFINITY
    } else {
        width * window.max(0.0) / work
    }
}

/// The width of a job, split by kind of machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Width on owned machines.
    pub owned: f64,
    /// Width on spot machines.
    pub spot: f64,
    /// Width on on-demand machines.
    pub on_demand: f64,
}

/// Algorithm 1, applied to the width that is not on owned machines: returns the spot width and the
/// on-demand width.
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

/// Proposition 4: the current on-demand width once there is no slack for spot machines. The last
/// whole updates run at full width; the partial update before them runs only the work that does
/// not fit into them. Without a partial update, the result is the full width.
pub fn final_on_demand(width: f64, work: f64, window: f64, update_len: f64) -> f64 {
    if work <= 0.0 || width <= 0.0 {
        return 0.0;
    }
    let whole_updates = (window.max(0.0) / update_len).floor();
    let partial_update_len = window - whole_updates * update_len;
    if partial_update_len <= EPSILON || window <= 0.0 {
        return width;
    }
    ((work - whole_updates * width * update_len) / partial_update_len)
        .ceil()
        .clamp(0.0, width)
}

/// Splits one job at one update, given the number of its owned machines.
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
        let on_demand_width = final_on_demand(remaining_width, remaining_work, window, update_len);
        return Split {
            owned,
            spot: remaining_width - on_demand_width,
            on_demand: on_demand_width,
        };
    }
    let (spot, on_demand_width) = split_remainder(
        remaining_width,
        remaining_work,
        window,
        update_len,
        spot_availability,
    );
    Split {
        owned,
        spot,
        on_demand: on_demand_width,
    }
}
