//! Being stuck: work is there, the state service answers, and nothing moves.

use beamhinge_core::types::Time;

/// Longest patience, seconds.
const LONGEST_S: f64 = 300.0;

/// What a holder finds at some moment.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// There is something to write.
    pub waiting: bool,
    /// When the books last moved: a commit, or a reply to a load.
    pub moved: Time,
    /// The state service answered lately.
    pub reached: bool,
}

/// Tells a holder that is stuck from one that is idle, cut off or merely slow.
///
/// A holder that answers its workers and renews its lease looks healthy to all;
/// if it commits nothing, nothing starts and nothing ends, until somebody looks.
#[derive(Debug)]
pub struct StallDetector {
    patience_s: f64,
    since: Option<Time>,
    told: bool,
}

impl StallDetector {
    /// Stuck after `patience_s` seconds.
    pub fn new(patience_s: f64) -> StallDetector {
        StallDetector {
            patience_s,
            since: None,
            told: false,
        }
    }

    /// Takes in how things stand. True once for each stall: now it is one.
    pub fn look(&mut self, now: Time, work: Work) -> bool {
        if !work.waiting || !work.reached {
            (self.since, self.told) = (None, false);
            return false;
        }
        let since = match self.since {
            Some(s) => s.max(work.moved),
            None => now,
        };
        if self.since.is_some_and(|s| s < work.moved) {
            self.told = false;
        }
        self.since = Some(since);
        let stuck = now.since(since) > self.patience_s;
        let news = stuck && !self.told;
        self.told = stuck;
        news
    }

    /// Handed over: the next time more patience is due, or a fault that all
    /// share would send the lead round for ever.
    pub fn handed_over(&mut self) {
        self.patience_s = (self.patience_s * 2.0).min(LONGEST_S);
        (self.since, self.told) = (None, false);
    }

    /// Seconds for which it has been stuck.
    pub fn stuck_s(&self, now: Time) -> Option<f64> {
        let s = now.since(self.since?);
        (s > self.patience_s).then_some(s)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stuck_is_neither_idle_nor_cut_off_nor_slow() {
        let at = |s: f64| Time::default().plus(10.0 + s);
        let work = |moved: f64| Work {
            waiting: true,
            moved: at(moved),
            reached: true,
        };
        let mut s = StallDetector::new(8.0);
        let run = |s: &mut StallDetector, w: Work, from: u32, to: u32| -> u32 {
            (from..to)
                .map(|t| u32::from(s.look(at(f64::from(t)), w)))
                .sum()
        };
        let idle = Work {
            waiting: false,
            ..work(0.0)
        };
        assert_eq!(run(&mut s, idle, 0, 60), 0);
        // Work that came after a long idle time has just begun to wait.
        assert_eq!(run(&mut s, work(0.0), 60, 68), 0);
        assert_eq!(run(&mut s, work(66.0), 68, 74), 0, "it moved meanwhile");
        let away = Work {
            reached: false,
            ..work(66.0)
        };
        assert_eq!(run(&mut s, away, 74, 100), 0);
        assert_eq!(
            run(&mut s, work(66.0), 100, 108),
            0,
            "the outage does not count"
        );
        assert_eq!(run(&mut s, work(66.0), 108, 140), 1, "told once");
        assert!(s.stuck_s(at(140.0)).is_some_and(|t| t > 30.0));
        assert_eq!(run(&mut s, work(140.0), 140, 142), 0);
        assert!(s.stuck_s(at(142.0)).is_none());
        s.handed_over();
        assert_eq!(run(&mut s, work(140.0), 142, 158), 0, "twice the patience");
        assert_eq!(run(&mut s, work(140.0), 158, 170), 1);
    }
}
