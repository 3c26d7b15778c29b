//! Being stuck: work is there, the state service answers, and nothing moves.

use beamhinge_core::types::Time;

/// Longest patience, seconds.
const MAX_TIMEOUT_S: f64 = 300.0;

/// What a holder finds at some moment.
#[derive(Clone, Copy, Debug)]
pub struct ProgressSnapshot {
    /// There is something to write.
    pub work_pending: bool,
    /// When the books last moved: a commit, or a reply to a load.
    pub last_progress: Time,
    /// The state service answered lately.
    pub store_reachable: bool,
}

/// Tells a holder that is stuck from one that is idle, cut off or merely slow.
///
/// A holder that answers its workers and renews its lease looks healthy to all;
/// if it commits nothing, nothing starts and nothing ends, until somebody looks.
#[derive(Debug)]
pub struct StallDetector {
    timeout_s: f64,
    since: Option<Time>,
    reported: bool,
}

impl StallDetector {
    /// Stuck after `patience_s` seconds.
    pub fn new(timeout_s: f64) -> StallDetector {
        StallDetector {
            timeout_s,
            since: None,
            reported: false,
        }
    }

    /// Takes in how things stand. True once for each stall: now it is one.
    pub fn observe(&mut self, now: Time, work: ProgressSnapshot) -> bool {
        if !work.work_pending || !work.store_reachable {
            (self.since, self.reported) = (None, false);
            return false;
        }
        let since = match self.since {
            Some(s) => s.max(work.last_progress),
            None => now,
        };
        if self.since.is_some_and(|s| s < work.last_progress) {
            self.reported = false;
        }
        self.since = Some(since);
        let stuck = now.since(since) > self.timeout_s;
        let news = stuck && !self.reported;
        self.reported = stuck;
        news
    }

    /// Handed over: the next time more patience is due, or a fault that all
    /// share would send the lead round for ever.
    pub fn on_handover(&mut self) {
        self.timeout_s = (self.timeout_s * 2.0).min(MAX_TIMEOUT_S);
        (self.since, self.reported) = (None, false);
    }

    /// Seconds for which it has been stuck.
    pub fn stalled_for_s(&self, now: Time) -> Option<f64> {
        let s = now.since(self.since?);
        (s > self.timeout_s).then_some(s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stuck_is_neither_idle_nor_cut_off_nor_slow() {
        let at = |s: f64| Time::default().plus(10.0 + s);
        let work = |last_progress: f64| ProgressSnapshot {
            work_pending: true,
            last_progress: at(last_progress),
            store_reachable: true,
        };
        let mut s = StallDetector::new(8.0);
        let run = |s: &mut StallDetector, w: ProgressSnapshot, from: u32, to: u32| -> u32 {
            (from..to)
                .map(|t| u32::from(s.observe(at(f64::from(t)), w)))
                .sum()
        };
        let idle = ProgressSnapshot {
            work_pending: false,
            ..work(0.0)
        };
        assert_eq!(run(&mut s, idle, 0, 60), 0);
        // Work that came after a long idle time has just begun to wait.
        assert_eq!(run(&mut s, work(0.0), 60, 68), 0);
        assert_eq!(run(&mut s, work(66.0), 68, 74), 0, "it moved meanwhile");
        let away = ProgressSnapshot {
            store_reachable: false,
            ..work(66.0)
        };
        assert_eq!(run(&mut s, away, 74, 100), 0);
        assert_eq!(
            run(&mut s, work(66.0), 100, 108),
            0,
            "the outage does not count"
        );
        assert_eq!(run(&mut s, work(66.0), 108, 140), 1, "told once");
        assert!(s.stalled_for_s(at(140.0)).is_some_and(|t| t > 30.0));
        assert_eq!(run(&mut s, work(140.0), 140, 142), 0);
        assert!(s.stalled_for_s(at(142.0)).is_none());
        s.on_handover();
        assert_eq!(run(&mut s, work(140.0), 142, 158), 0, "twice the patience");
        assert_eq!(run(&mut s, work(140.0), 158, 170), 1);
    }
}
