//! Histograms of times, and the quantiles that are printed.

use super::figures::Times;
use hdrhistogram::Histogram;

/// Longest time that a histogram can represent; bounds memory.
const MAX_ANSWER_US: u64 = 120_000_000;
/// Significant decimal digits.
const PRECISION: u8 = 3;

/// Quantiles of a histogram; `unit` is the factor that converts its values to milliseconds.
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
/// Returns an error only if the constants are out of the range that the histogram accepts.
pub(super) fn answer_histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_max(MAX_ANSWER_US, PRECISION)
}
