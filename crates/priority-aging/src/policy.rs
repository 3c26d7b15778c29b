//! When a waiting job rises.

use beamhinge_core::job::Urgency;
use beamhinge_core::settings::PriorityAging;
use beamhinge_core::types::WallMs;

/// How waiting jobs rise, from the operators' settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    settings: PriorityAging,
}

/// Where a waiting job stands on its way up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rise {
    /// Its urgency as a number, best effort being 0, plus what its wait has added.
    pub priority: f64,
    /// Seconds until it rises; not positive: it has. None: it never does.
    pub rises_in_s: Option<f64>,
}

impl Policy {
    pub fn new(settings: PriorityAging) -> Policy {
        Policy { settings }
    }

    /// Whether anything rises at all.
    pub fn on(&self) -> bool {
        self.settings.on
    }

    /// The urgency that risen jobs go ahead of, and no higher one.
    pub fn ceiling(&self) -> Urgency {
        self.settings.ceiling
    }

    /// How long a job of this urgency waits before it rises, seconds; none for
    /// those exempt and those that are at the ceiling anyway.
    pub fn patience_s(&self, urgency: Urgency) -> Option<f64> {
        let s = match urgency {
            Urgency::BestEffort => self.settings.best_effort_s,
            Urgency::Standard => self.settings.standard_s,
            Urgency::High | Urgency::Critical => 0.0,
        };
        (self.settings.on && s > 0.0 && urgency < self.settings.ceiling).then_some(s)
    }

    /// The moment at which a job rises, milliseconds of the time of day.
    ///
    /// It is made of what is stored with the job alone. So the order among risen
    /// jobs is the same at each controller, after restarts and takeovers, and
    /// whatever the reader's clock says; and a submission that was stamped by a
    /// clock which is off by the whole allowed skew moves by that and no more.
    pub fn rises_at_ms(&self, urgency: Urgency, submitted: WallMs) -> Option<u64> {
        let patience_ms = (self.patience_s(urgency)? * 1e3) as u64;
        Some(submitted.0.saturating_add(patience_ms))
    }

    /// Where a job stands, for people: its priority grows evenly from its urgency
    /// to the ceiling, and stays there.
    pub fn rise(&self, urgency: Urgency, submitted: WallMs, wall: WallMs) -> Rise {
        let own = f64::from(urgency as u8);
        let Some(patience_s) = self.patience_s(urgency) else {
            return Rise {
                priority: own,
                rises_in_s: None,
            };
        };
        // A submission of the future is one whose stamp's clock was ahead.
        let age_s = wall.0.saturating_sub(submitted.0) as f64 / 1e3;
        let way = f64::from(self.settings.ceiling as u8) - own;
        Rise {
            priority: own + way * (age_s / patience_s).min(1.0),
            rises_in_s: Some(patience_s - age_s),
        }
    }

    /// Width of the lane, CPUs, in a fleet with so many.
    pub fn width(&self, room_cpus: f64) -> f64 {
        room_cpus.max(0.0) * self.settings.share
    }

    /// Stops after which a task is spared.
    pub fn stops(&self) -> u32 {
        self.settings.stops
    }

    /// How long a task that was stopped so often runs undisturbed, seconds.
    pub fn spared_s(&self) -> f64 {
        self.settings.spared_s
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn policy() -> Policy {
        Policy::new(PriorityAging {
            on: true,
            ..PriorityAging::default()
        })
    }

    #[test]
    fn priority_grows_to_the_ceiling_and_the_urgent_are_exempt() {
        let p = policy();
        let s = PriorityAging::default();
        let at = |u, age_s: f64| p.rise(u, WallMs(10_000), WallMs(10_000 + (age_s * 1e3) as u64));
        assert_eq!(at(Urgency::BestEffort, 0.0).priority, 0.0);
        assert!((at(Urgency::BestEffort, s.best_effort_s / 2.0).priority - 1.0).abs() < 1e-9);
        assert_eq!(at(Urgency::BestEffort, s.best_effort_s * 9.0).priority, 2.0);
        assert_eq!(at(Urgency::Standard, s.standard_s).rises_in_s, Some(0.0));
        assert_eq!(
            at(Urgency::High, 1e6),
            Rise {
                priority: 2.0,
                rises_in_s: None
            }
        );
        assert_eq!(p.rises_at_ms(Urgency::Critical, WallMs(0)), None);
    }

    #[test]
    fn off_nothing_rises() {
        let p = Policy::new(PriorityAging::default());
        assert!(!p.on() && p.rises_at_ms(Urgency::BestEffort, WallMs(0)).is_none());
    }

    /// Two controllers whose clocks are apart by the whole skew see one order.
    #[test]
    fn a_readers_clock_changes_no_order() {
        let p = policy();
        let (a, b) = (WallMs(1_000_000), WallMs(1_000_400));
        let key = |s| p.rises_at_ms(Urgency::Standard, s);
        assert!(key(a) < key(b), "stored stamps alone");
        assert_eq!(
            key(WallMs(u64::MAX)),
            Some(u64::MAX),
            "a stamp out of all reason never rises"
        );
        // A stamp of the future gives no negative age.
        assert_eq!(p.rise(Urgency::Standard, b, a).priority, 1.0);
    }
}
