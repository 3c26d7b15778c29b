//! Histograms of times, and the quantiles that are printed.

use super::figures::TimeSummary;
use hdrhistogram::Histogram;

/// Longest time that a histogram can represent; bounds memory.
const MAX_TIME_US: u64 = 120_000_000;
/// Significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of a histogram; `ms_per_unit` is the factor that converts its values to milliseconds.
pub(super) fn summarize(histogram: &Histogram<u64>, ms_per_unit: f64) -> TimeSummary {
    let ms = |q: f64| histogram.value_at_quantile(q) as f64 * ms_per_unit;
    TimeSummary {
        count: histogram.len(),
        p50: ms(0.5),
        p90: ms(0.9),
        p99: ms(0.99),
        most: histogram.max() as f64 * ms_per_unit,
    }
}

/// An empty histogram of microseconds.
///
/// # Errors
/// Returns an error only if the constants are out of the range that the histogram accepts.
pub(super) fn latency_histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS)
}
