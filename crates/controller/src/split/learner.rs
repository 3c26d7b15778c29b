//! Learns the policy's parameters (Algorithm 3): past jobs are replayed on the observed market, and
//! each pair of parameters is weighted by the cost that it would have had.

use super::policy::{owned_machines, parameter_grid, split, PolicyParameters};

/// Cost of work that is unfinished at the deadline, as a multiple of its on-demand price.
const OVERDUE_COST: f64 = 2.0;
/// Parameters used for an index outside the grid.
const DEFAULT_PARAMETERS: PolicyParameters = PolicyParameters {
    owned_availability: 0.5,
    spot_availability: 0.6,
};
/// Lower bound on restored weights, so that their logarithms are finite.
const MIN_WEIGHT: f64 = 1e-30;
/// Lower bound on the logarithm of a weight, relative to the largest.
const MIN_LOG_WEIGHT: f64 = -60.0;

/// Observation of the spot market and the owned machines at one update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MarketObservation {
    /// Ratio of spot price to on-demand price.
    pub price: f64,
    /// Fraction of the requested spot width that was up.
    pub up: f64,
    /// Idle width on owned machines.
    pub idle_owned: f64,
}

/// A past job for replay by the learner, in the units of the policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplayedJob {
    /// δ: number of tasks that the job could run at once.
    pub width: f64,
    /// z: total work, task-slots.
    pub work: f64,
    /// d: time from arrival to deadline, slots.
    pub window: f64,
}

/// The cost that the parameters would have had on a past job, as a fraction of twice the price of
/// running the job on on-demand machines alone. Work that is unfinished at the deadline is charged
/// at twice its on-demand price ([`OVERDUE_COST`]).
pub fn replay_cost(
    job: &ReplayedJob,
    update_len: f64,
    parameters: PolicyParameters,
    market: &[MarketObservation],
) -> f64 {
    if job.work <= 0.0 {
        return 0.0;
    }
    let idle = market
        .iter()
        .map(|m| m.idle_owned)
        .fold(f64::INFINITY, f64::min);
    let idle = if idle.is_finite() { idle } else { 0.0 };
    let owned = owned_machines(
        job.width,
        job.work,
        job.window,
        update_len,
        parameters.owned_availability,
        idle,
    );
    let (mut work, mut window, mut cost) = (job.work, job.window, 0.0);
    for observed in market {
        if work <= 0.0 || window <= 0.0 {
            break;
        }
        let step = update_len.min(window);
        let parts = split(
            job.width,
            work,
            window,
            update_len,
            parameters.spot_availability,
            owned,
        );
        let up = observed.up.clamp(0.0, 1.0);
        let done = (parts.owned + parts.spot * up + parts.on_demand) * step;
        let needed = if done > work { work / done } else { 1.0 };
        cost += (parts.spot * up * observed.price + parts.on_demand) * step * needed;
        work -= done * needed;
        window -= step;
    }
    ((cost + OVERDUE_COST * work.max(0.0)) / job.work).clamp(0.0, 2.0) / 2.0
}

/// Weighted majority algorithm over the parameter grid (Algorithm 3).
#[derive(Clone, Debug)]
pub struct Learner {
    grid: Vec<PolicyParameters>,
    /// Weights are kept as logarithms so that they do not underflow.
    log_weights: Vec<f64>,
}

impl Default for Learner {
    fn default() -> Self {
        let grid = parameter_grid();
        let log_weights = vec![0.0; grid.len()];
        Learner { grid, log_weights }
    }
}

impl Learner {
    /// The parameters at an index of the grid, or default parameters outside it.
    pub fn parameters(&self, index: usize) -> PolicyParameters {
        self.grid.get(index).copied().unwrap_or(DEFAULT_PARAMETERS)
    }

    /// Weights of the parameter pairs in grid order; they sum to 1.
    pub fn weights(&self) -> Vec<f64> {
        let max_log_weight = self.max_log_weight();
        let raw: Vec<f64> = self
            .log_weights
            .iter()
            .map(|l| (l - max_log_weight).exp())
            .collect();
        let sum: f64 = raw.iter().sum();
        raw.into_iter().map(|w| w / sum).collect()
    }

    fn max_log_weight(&self) -> f64 {
        self.log_weights
            .iter()
            .copied()
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// Restores the weights that an earlier leader stored. Returns `false` and changes nothing if
    /// they belong to another grid, or if one is negative or not finite.
    #[must_use]
    pub fn restore(&mut self, weights: &[f64]) -> bool {
        if weights.len() != self.grid.len() || weights.iter().any(|w| !w.is_finite() || *w < 0.0) {
            return false;
        }
        self.log_weights = weights.iter().map(|w| w.max(MIN_WEIGHT).ln()).collect();
        true
    }

    /// Draws an index of the grid with probability equal to its weight. `uniform` is a uniform
    /// random number in [0, 1).
    pub fn draw(&self, uniform: f64) -> usize {
        let mut remaining = uniform;
        for (index, weight) in self.weights().iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return index;
            }
        }
        self.grid.len() - 1
    }

    /// Replays a job with every pair of parameters, and multiplies the weight of each pair by
    /// exp(−η·cost), where η = sqrt(2·ln n / (D·(t−D))), n is the size of the grid, t is `elapsed`
    /// and D is `max_window`, both in slots. Does nothing until t exceeds D.
    pub fn learn(
        &mut self,
        job: &ReplayedJob,
        update_len: f64,
        market: &[MarketObservation],
        elapsed: f64,
        max_window: f64,
    ) {
        if elapsed <= max_window || max_window <= 0.0 {
            return;
        }
        let eta =
            (2.0 * (self.grid.len() as f64).ln() / (max_window * (elapsed - max_window))).sqrt();
        for (parameters, log_weight) in self.grid.iter().zip(&mut self.log_weights) {
            *log_weight -= eta * replay_cost(job, update_len, *parameters, market);
        }
        let max_log_weight = self.max_log_weight();
        for log_weight in &mut self.log_weights {
            *log_weight = (*log_weight - max_log_weight).max(MIN_LOG_WEIGHT);
        }
    }
}
