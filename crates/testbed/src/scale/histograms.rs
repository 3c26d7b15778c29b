//! Histograms of times, and their quantiles as they are printed.

use super::figures::Times;
use hdrhistogram::Histogram;

/// Longest time that a histogram tells apart; guards memory.
const MAX_ANSWER_US: u64 = 120_000_000;
/// Significant decimal digits.
const PRECISION: u8 = 3;

/// The quantiles of a histogram; `unit` turns its values into milliseconds.
pub(super) fn times(histogram: &Histogram<u64>, unit: f64) -> Times {
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 * unit;
    Times {
        count: histogram.len(),
        p50: ms(0.5),
        p90: ms(0.9),
        p99: ms(0.99),
        most: histogram.max() as f64 * unit,
    }
}

/// An empty histogram of microseconds.
///
/// # Errors
/// Never with the constants as they are.
pub(super) fn answer_histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_max(MAX_ANSWER_US, PRECISION)
}
