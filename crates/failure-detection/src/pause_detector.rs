//! One's own absence.

use beamhinge_core::types::Time;

/// Knows when this process itself stood still, by the gaps between its events.
///
/// A process that was frozen wakes with every machine long silent, by its
/// clock, though none was: it was not there to hear them.
#[derive(Debug)]
pub struct PauseDetector {
    last: Option<Time>,
    back: Option<Time>,
    max_gap_s: f64,
}

impl PauseDetector {
    /// A gap between events of more than `longest_s` seconds is an absence.
    pub fn new(max_gap_s: f64) -> PauseDetector {
        PauseDetector {
            last: None,
            back: None,
            max_gap_s,
        }
    }

    /// Something happened here. Returns how long we were away before, seconds,
    /// if we were.
    pub fn observe(&mut self, now: Time) -> Option<f64> {
        let away = self.last.map_or(0.0, |l| now.since(l));
        self.last = Some(now);
        if away <= self.max_gap_s {
            return None;
        }
        self.back = Some(now);
        Some(away)
    }

    /// From when on silence that began at `heard` counts: not before our return.
    pub fn silence_counts_from(&self, heard: Time) -> Time {
        self.back.map_or(heard, |b| heard.max(b))
    }

    /// Seconds since we came back from the last absence; none if there was none.
    pub fn resumed_for_s(&self, now: Time) -> Option<f64> {
        self.back.map(|b| now.since(b))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_is_concluded_from_ones_own_absence() {
        let mut p = PauseDetector::new(1.0);
        let observe = |s: f64| Time::default().plus(100.0 + s);
        let heard = observe(0.0);
        for i in 0..20 {
            assert_eq!(p.observe(observe(f64::from(i) * 0.1)), None);
        }
        assert_eq!(p.silence_counts_from(heard), heard);
        let away = p.observe(observe(34.0)).expect("an absence");
        assert!((away - 32.1).abs() < 0.01);
        assert_eq!(p.silence_counts_from(heard), observe(34.0));
        assert_eq!(p.observe(observe(34.1)), None);
        assert_eq!(p.silence_counts_from(observe(34.05)), observe(34.05));
        assert!(p
            .resumed_for_s(observe(35.0))
            .is_some_and(|s| (s - 1.0).abs() < 1e-6));
    }
}
