//! The faults of a generated day.

use super::generator::{choose, DayGenerator};
use rand::seq::SliceRandom;
use rand::Rng;

const KINDS: [&str; 23] = [
    "burst",
    "die",
    "hang",
    "sick",
    "slow",
    "crash",
    "crash_all",
    "cut_all",
    "cut_state",
    "cut_workers",
    "refused",
    "freeze",
    "roll",
    "peers_refuse",
    "spot_taken",
    "capacity",
    "state",
    "zone_cut",
    "cut-inbound",
    "copies",
    "but_workers",
    "fast-restart",
    "reboot",
];
const CONTROLLERS: [&str; 5] = ["leader", "leader", "a", "b", "c"];
/// Crashed controllers are started after this long, seconds.
const RESTART_S: f64 = 4.0;

/// The values drawn for every fault, whether its kind uses them or not, so that the kind of a
/// fault does not change the draws of the faults after it.
struct Draws {
    /// Number of machines.
    count: f64,
    /// How long a link is cut, seconds.
    cut_s: f64,
    /// How long machines hang or controllers are frozen, seconds.
    hang_s: f64,
    /// ` hold` if messages sent over a cut link are delivered after the cut, else empty.
    hold: &'static str,
    /// The affected controller.
    target: &'static str,
}

impl DayGenerator {
    /// Adds a fault of a random kind at about this time.
    pub(super) fn fault(&mut self, at: f64) {
        let kind = KINDS.choose(&mut self.rng).copied().unwrap_or("crash");
        let draws = Draws {
            count: self.between(0.02, 0.12) * self.machines,
            cut_s: self.between(0.8, 2.2) * self.lease_s,
            hang_s: self.between(0.5, 1.6) * self.lease_s,
            hold: choose(&mut self.rng, &["", " hold"], ""),
            target: choose(&mut self.rng, &CONTROLLERS, "leader"),
        };
        let line = self
            .machine_fault(kind, &draws)
            .or_else(|| self.controller_fault(at, kind, &draws))
            .or_else(|| self.service_fault(kind))
            .unwrap_or_else(|| self.zone_cut(&draws));
        self.counted_line(at, kind, &line);
    }

    fn machine_fault(&mut self, kind: &str, draws: &Draws) -> Option<String> {
        let Draws {
            count,
            hang_s,
            cut_s,
            ..
        } = *draws;
        Some(match kind {
            "burst" => {
                let first = self.reserve_jobs(1_000);
                let jobs = (self.machines / 40.0).clamp(2.0, 40.0);
                format!(
                    "stream {first} count={jobs:.0} every=0.5 tasks=20 cpus=2 run=15 urgency=high"
                )
            }
            "die" => format!("die count={count:.0}"),
            "hang" => format!("hang count={count:.0} for={hang_s:.1}"),
            "sick" => format!("sick count={:.0}", count * 0.4),
            "slow" => format!("slow count={:.0}", count * 0.5),
            "spot_taken" => format!("take count={:.0}", count * 2.0),
            "reboot" => format!("reboot count={count:.0}"),
            "cut-inbound" => {
                let cut_s = cut_s.max(self.lease_s * 1.2);
                format!("cut-inbound count={count:.0} for={cut_s:.1}")
            }
            _ => return None,
        })
    }

    fn controller_fault(&mut self, at: f64, kind: &str, draws: &Draws) -> Option<String> {
        let Draws {
            cut_s,
            hang_s,
            hold,
            target,
            ..
        } = *draws;
        Some(match kind {
            "crash" => {
                self.line(at + RESTART_S, "start-all");
                format!("crash {target}")
            }
            "crash_all" => {
                self.line(at + RESTART_S, "start-all");
                "crash-all".to_string()
            }
            "cut_all" => format!("cut {target} all {cut_s:.1}{hold}"),
            "cut_state" => format!("cut {target} state {cut_s:.1}{hold}"),
            "cut_workers" => format!("cut {target} workers {cut_s:.1}{hold}"),
            "but_workers" => format!("cut {target} but-workers {cut_s:.1}{hold}"),
            "refused" => format!("cut {target} refused {cut_s:.1}"),
            "freeze" => format!("freeze {target} {hang_s:.1}"),
            "roll" => format!("roll every={:.1}", self.between(8.0, 25.0)),
            "peers_refuse" => format!("peers-refuse {:.1}", self.between(20.0, 40.0)),
            "fast-restart" => self.fast_restart(at, target),
            _ => return None,
        })
    }

    /// Two restarts, the second during the election that the first caused. Copies of old
    /// messages and repeated requests arrive after it.
    fn fast_restart(&mut self, at: f64, target: &str) -> String {
        let again = at + self.between(0.2, 3.0);
        let target = if self.rng.gen_bool(0.4) {
            "all"
        } else {
            target
        };
        let max_delay = self.between(1.0, 2.0 * self.lease_s);
        self.line(at - 5.0, &format!("copies 0.30 most={max_delay:.1} for=15"));
        let after = self.between(0.1, 0.9);
        self.line(again, &format!("fast-restart {target} {after:.2}"));
        format!("fast-restart {target} {:.2}", self.between(0.1, 0.9))
    }

    /// Faults of services and messages.
    fn service_fault(&mut self, kind: &str) -> Option<String> {
        Some(match kind {
            "copies" => {
                let (part, for_s) = (self.between(0.05, 0.4), self.between(20.0, 60.0));
                let max_delay = self.between(2.0, 2.5 * self.lease_s);
                format!("copies {part:.2} most={max_delay:.1} for={for_s:.0}")
            }
            "capacity" => format!("capacity {:.2}", self.between(0.5, 0.8)),
            "state" if self.rng.gen_bool(0.5) => {
                format!("state-down {:.1}", self.between(6.0, 16.0))
            }
            "state" => {
                let (factor, for_s) = (self.between(5.0, 40.0), self.between(20.0, 60.0));
                format!("state-slow factor={factor:.0} for={for_s:.0}")
            }
            _ => return None,
        })
    }

    fn zone_cut(&mut self, draws: &Draws) -> String {
        let zone = choose(&mut self.rng, &["north", "south"], "north");
        format!("zone-cut {zone} {:.1}{}", draws.cut_s, draws.hold)
    }
}
