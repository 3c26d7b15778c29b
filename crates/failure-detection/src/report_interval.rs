//! How long reports stay away while all is well.

use hdrhistogram::Histogram;

/// Gaps are kept in milliseconds, up to ten minutes.
const MAX_GAP_MS: u64 = 600_000;
/// From here on older gaps weigh less: all counts are halved.
const HALVE_COUNTS_AT: u64 = 20_000;
/// What is not in this part of the gaps is overdue (phi of 3: one in a thousand).
const USUAL_QUANTILE: f64 = 0.999;
/// Below so many gaps nothing is learned yet.
const MIN_SAMPLES: u64 = 100;

/// Learns the gaps between reports, over all machines together.
///
/// They share one period, so the gaps of all tell more, and sooner, than those
/// of each; and a machine that is new is judged by what others taught.
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
    /// What is longer than any report_interval is an interruption and teaches nothing:
    /// else a long cut would make the next one invisible.
    pub fn record_gap(&mut self, gap_s: f64) {
        if gap_s > self.ceiling_s() {
            return;
        }
        let Some(gaps) = &mut self.gaps else { return };
        gaps.saturating_record((gap_s * 1e3) as u64);
        if gaps.len() >= HALVE_COUNTS_AT {
            let mut halved = Histogram::new_from(gaps);
            for v in gaps.iter_recorded() {
                // Recorded before, so within the bounds.
                let _ = halved.record_n(v.value_iterated_to(), v.count_at_value() / 2);
            }
            *gaps = halved;
        }
    }

    /// The longest gap that can count as usual, seconds.
    fn ceiling_s(&self) -> f64 {
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
                (usual * 1.1 + 0.25).clamp(floor, self.ceiling_s())
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_spread_of_reports_is_learned_and_a_cut_teaches_nothing() {
        let mut r = ReportInterval::new(5.0);
        let before = r.overdue_s();
        for i in 0..50_000u32 {
            r.record_gap(3.75 + f64::from(i % 250) / 100.0);
        }
        let learned = r.overdue_s();
        assert!(
            learned > 6.2 && learned < 7.5 && learned <= before,
            "{learned}"
        );
        for _ in 0..5_000 {
            r.record_gap(46.0);
        }
        assert!((r.overdue_s() - learned).abs() < 1e-9);
        // Slow links are a report_interval too, up to a bound.
        for _ in 0..40_000 {
            r.record_gap(12.0);
        }
        assert!(r.overdue_s() > 12.0 && r.overdue_s() <= 14.5);
    }
}
