//! Learns the usual interval between reports.

use hdrhistogram::Histogram;

/// Longest gap that the histogram can record, milliseconds: ten minutes.
const MAX_GAP_MS: u64 = 600_000;
/// Number of gaps at which all counts are halved, so that older gaps have less weight.
const HALVE_COUNTS_AT: u64 = 20_000;
/// Quantile of the gaps above which a report is overdue (phi of 3: one in a thousand).
const USUAL_QUANTILE: f64 = 0.999;
/// Minimum number of gaps for an estimate.
const MIN_SAMPLES: u64 = 100;

/// Learns the gaps between reports of all machines together.
///
/// All machines report with the same period, so one distribution for the fleet is more accurate,
/// and available sooner, than one for each machine. It also applies to new machines.
pub struct ReportInterval {
    /// `None` only if the histogram rejected its bounds; the configured period is used then.
    gaps: Option<Histogram<u32>>,
    report_s: f64,
}

impl ReportInterval {
    /// `report_s`: the report period stated by the platform, seconds.
    pub fn new(report_s: f64) -> ReportInterval {
        ReportInterval {
            gaps: Histogram::new_with_bounds(1, MAX_GAP_MS, 2).ok(),
            report_s,
        }
    }

    /// Records that a machine reported `gap_s` seconds after its previous report.
    ///
    /// A gap longer than any usual gap is an interruption and is not recorded: otherwise one long
    /// link failure would delay the detection of the next one.
    pub fn record_gap(&mut self, gap_s: f64) {
        if gap_s > self.max_usual_s() {
            return;
        }
        let Some(gaps) = &mut self.gaps else { return };
        gaps.saturating_record((gap_s * 1e3) as u64);
        if gaps.len() >= HALVE_COUNTS_AT {
            *gaps = halved(gaps);
        }
    }

    /// The longest gap that can count as usual, seconds.
    fn max_usual_s(&self) -> f64 {
        self.report_s * 2.5 + 2.0
    }

    /// Time without a report after which a machine is overdue, seconds.
    ///
    /// Never below the stated period plus its jitter of a quarter and a margin of half a second.
    pub fn overdue_s(&self) -> f64 {
        let floor = self.report_s * 1.25 + 0.5;
        match self.gaps.as_ref().filter(|g| g.len() >= MIN_SAMPLES) {
            None => (self.report_s * 1.5 + 0.5).max(floor),
            Some(gaps) => {
                let usual = gaps.value_at_quantile(USUAL_QUANTILE) as f64 / 1e3;
                (usual * 1.1 + 0.25).clamp(floor, self.max_usual_s())
            }
        }
    }
}

/// The same distribution with half the counts.
fn halved(gaps: &Histogram<u32>) -> Histogram<u32> {
    let mut halved = Histogram::new_from(gaps);
    for value in gaps.iter_recorded() {
        // The value comes from a histogram with the same bounds, so recording it cannot fail.
        let _ = halved.record_n(value.value_iterated_to(), value.count_at_value() / 2);
    }
    halved
}

#[cfg(test)]
mod tests;
