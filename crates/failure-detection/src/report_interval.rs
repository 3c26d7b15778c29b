//! The usual spacing of reports.

use hdrhistogram::Histogram;

/// Gaps are kept in milliseconds, up to ten minutes.
const MAX_GAP_MS: u64 = 600_000;
/// Number of gaps at which all counts are halved, so that older gaps weigh less.
const HALVE_COUNTS_AT: u64 = 20_000;
/// A gap longer than this part of all gaps is overdue (phi of 3: one in a thousand).
const USUAL_QUANTILE: f64 = 0.999;
/// Number of gaps below which nothing is concluded from them.
const MIN_SAMPLES: u64 = 100;

/// Learns the gaps between reports, over all machines together.
///
/// Machines share one period, so the gaps of all tell more, and sooner, than those of each; and a
/// machine that is new is judged by what others showed.
pub struct ReportInterval {
    /// None only if the bounds were refused: then the stated period serves.
    gaps: Option<Histogram<u32>>,
    report_s: f64,
}

impl ReportInterval {
    /// `report_s`: the period that the platform states, seconds.
    pub fn new(report_s: f64) -> ReportInterval {
        ReportInterval {
            gaps: Histogram::new_with_bounds(1, MAX_GAP_MS, 2).ok(),
            report_s,
        }
    }

    /// A machine reported `gap_s` seconds after its report before.
    ///
    /// What is longer than any usual gap is an interruption and is left out: else a long broken
    /// link would hide the next one.
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

    /// Silence from which a machine is overdue, seconds.
    ///
    /// Never below what the stated period and its spread of a quarter allow.
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
        // The value was recorded before, so it is within the bounds.
        let _ = halved.record_n(value.value_iterated_to(), value.count_at_value() / 2);
    }
    halved
}

#[cfg(test)]
mod tests;
