//! Whether a machine takes what it is told.
//!
//! A link may be broken one way: reports arrive, answers and commands do not. Such
//! a machine looks empty and sound, and would be given one task after the other,
//! each of which nobody ever starts.

use beamhinge_core::types::Time;

/// The first pause, seconds; each further one is twice as long.
const MIN_PAUSE_S: f64 = 8.0;
/// The longest.
const MAX_PAUSE_S: f64 = 64.0;
/// So many in a row without a trace, and the next try is made elsewhere. One alone
/// may be an answer that came too late.
const UNACKNOWLEDGED_THRESHOLD: u32 = 2;

/// What became of the commands that went to one machine.
#[derive(Clone, Debug, Default)]
pub struct AckTracker {
    /// Answers in a row whose commands left no trace in the next report.
    missed: u32,
    since: Time,
    until: Time,
}

impl AckTracker {
    /// A command's trace was seen: answers arrive.
    pub fn record_acknowledged(&mut self) {
        self.missed = 0;
    }

    /// A newer report shows no trace of what the last answer commanded. `timed_out`:
    /// the worker was without that answer for so long that it went to the next
    /// controller meanwhile. Returns whether its tasks should be tried elsewhere.
    pub fn record_unacknowledged(&mut self, now: Time, timed_out: bool) -> bool {
        if self.missed == 0 {
            self.since = now;
        }
        self.missed = (self.missed + 1).max(if timed_out {
            UNACKNOWLEDGED_THRESHOLD
        } else {
            1
        });
        let sure = self.missed >= UNACKNOWLEDGED_THRESHOLD;
        if sure {
            let times = 2f64.powi((self.missed - UNACKNOWLEDGED_THRESHOLD).min(10) as i32);
            self.until = now.plus((MIN_PAUSE_S * times).min(MAX_PAUSE_S));
        }
        sure
    }

    /// It is left alone for now.
    pub fn in_backoff(&self, now: Time) -> bool {
        self.missed >= UNACKNOWLEDGED_THRESHOLD && now < self.until
    }

    /// For how long nothing has arrived there, seconds; none when all did.
    pub fn unacknowledged_for_s(&self, now: Time) -> Option<f64> {
        (self.missed >= UNACKNOWLEDGED_THRESHOLD).then(|| now.since(self.since))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_deaf_machine_is_tried_ever_more_seldom_and_one_late_answer_costs_nothing() {
        let at = |s: f64| Time::default().plus(50.0 + s);
        let mut h = AckTracker::default();
        assert!(
            !h.record_unacknowledged(at(0.0), false) && !h.in_backoff(at(0.1)),
            "one answer was late"
        );
        h.record_acknowledged();
        assert!(
            !h.record_unacknowledged(at(5.0), false) && h.record_unacknowledged(at(6.0), false)
        );
        assert!(h.in_backoff(at(13.9)) && !h.in_backoff(at(14.1)));
        assert_eq!(h.unacknowledged_for_s(at(15.0)), Some(10.0));
        let mut now = 20.0;
        for pause in [16.0, 32.0, 64.0, 64.0] {
            assert!(h.record_unacknowledged(at(now), false));
            assert!(h.in_backoff(at(now + pause - 0.1)) && !h.in_backoff(at(now + pause + 0.1)));
            now += pause + 5.0;
        }
        h.record_acknowledged();
        assert!(!h.in_backoff(at(now)) && h.unacknowledged_for_s(at(now)).is_none());
        assert!(
            h.record_unacknowledged(at(now), true),
            "it went to another controller meanwhile"
        );
    }
}
