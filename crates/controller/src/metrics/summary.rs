//! Quantiles of durations.

use hdrhistogram::Histogram;
use std::fmt::Write;

/// Upper bound of the histogram, microseconds; longer durations are recorded as this value.
const MAX_US: u64 = 120_000_000;
/// Significant decimal digits of the histogram. A summary takes about ten kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Exported quantiles.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// A summary of durations of one kind.
pub(super) struct DurationSummary {
    /// `None` only if the histogram rejects its bounds; all quantiles are then 0.
    histogram: Option<Histogram<u32>>,
    sum_s: f64,
    count: u64,
}

impl Default for DurationSummary {
    fn default() -> DurationSummary {
        DurationSummary {
            histogram: Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS).ok(),
            sum_s: 0.0,
            count: 0,
        }
    }
}

impl DurationSummary {
    pub(super) fn record(&mut self, seconds: f64) {
        self.sum_s += seconds;
        self.count += 1;
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(((seconds * 1e6) as u64).max(1));
        }
    }

    /// Appends the summary's lines. `labels` are the summary's own labels; may be empty.
    pub(super) fn render(&self, out: &mut String, name: &str, labels: &str) {
        let separator = if labels.is_empty() { "" } else { "," };
        for quantile in QUANTILES {
            let us = self
                .histogram
                .as_ref()
                .map_or(0, |h| h.value_at_quantile(quantile));
            let seconds = us as f64 / 1e6;
            let _ = writeln!(
                out,
                "{name}{{{labels}{separator}quantile=\"{quantile}\"}} {seconds}"
            );
        }
        let braces = if labels.is_empty() {
            String::new()
        } else {
            format!("{{{labels}}}")
        };
        let _ = writeln!(out, "{name}_sum{braces} {:.6}", self.sum_s);
        let _ = writeln!(out, "{name}_count{braces} {}", self.count);
    }
}
