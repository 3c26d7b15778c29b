//! Single faults of all kinds, several of which are combined.

use super::generator::DayGenerator;
use rand::Rng;

/// Number of cases that [`DayGenerator::fault`] draws from; several of them are machine faults.
const KINDS: u32 = 23;

/// The values drawn for every fault, whether its kind uses them or not, so that the kind of a
/// fault does not change the draws of the faults after it.
struct Draws {
    /// Duration, scaled by the workers' lease, seconds.
    for_s: f64,
    /// ` hold` if messages sent over a cut link are delivered after the cut, else empty.
    hold: &'static str,
    /// The affected controller.
    target: &'static str,
}

impl DayGenerator {
    /// Adds a fault of a random kind.
    pub(super) fn fault(&mut self, at: f64) {
        let draws = Draws {
            for_s: self.lease_s * self.between(0.3, 2.5),
            hold: self.one_of(&["", " hold"]),
            target: self.target(),
        };
        match self.rng.gen_range(0..KINDS) {
            kind @ (0..=3 | 11 | 12 | 15) => self.link_fault(at, kind, &draws),
            kind @ (4 | 5 | 9 | 10 | 20 | 21) => self.message_fault(at, kind),
            kind @ (6..=8) => self.process_fault(at, kind, &draws),
            16 => self.keep_reports(at),
            kind @ (17..=19) => self.user_fault(at, kind),
            13 => {
                let count = (self.machines * self.between(0.05, 0.3)).ceil();
                self.fault_line(at, "reboot", &format!("reboot count={count:.0}"));
            }
            22 => {
                let count = (self.machines * self.between(0.1, 0.5)).ceil();
                let line = format!("cut-outbound count={count:.0} for={:.1}", draws.for_s);
                self.fault_line(at, "cut-outbound", &line);
            }
            _ => self.machine_faults(at),
        }
    }

    fn link_fault(&mut self, at: f64, kind: u32, draws: &Draws) {
        let Draws {
            for_s,
            hold,
            target,
        } = *draws;
        let (name, line) = match kind {
            0 => ("refused", format!("cut {target} refused {for_s:.1}")),
            1 => ("cut_state", format!("cut {target} state {for_s:.1}{hold}")),
            2 => (
                "but_workers",
                format!("cut {target} but-workers {for_s:.1}{hold}"),
            ),
            3 => (
                "cut_workers",
                format!("cut {target} workers {for_s:.1}{hold}"),
            ),
            11 => {
                let zone = self.one_of(&["north", "south"]);
                ("zone_cut", format!("zone-cut {zone} {for_s:.1}{hold}"))
            }
            12 => (
                "peers_refuse",
                format!("peers-refuse {:.1}", self.between(5.0, 40.0)),
            ),
            _ => ("jobs", format!("cut leader jobs {for_s:.1}")),
        };
        self.fault_line(at, name, &line);
    }

    /// Faults of the services' answers, and of messages.
    fn message_fault(&mut self, at: f64, kind: u32) {
        let (name, line) = match kind {
            4 => {
                let for_s = self.between(1.0, self.cancel_s * 1.5);
                ("state_down", format!("state-down {for_s:.1}"))
            }
            5 => {
                let (factor, for_s) = (self.between(20.0, 400.0), self.between(8.0, 40.0));
                let line = format!("state-slow factor={factor:.0} for={for_s:.0}");
                ("state_slow", line)
            }
            9 => {
                let part = self.between(0.1, 0.6);
                let max_delay = self.between(2.0, self.lease_s * 2.5);
                let line = format!("copies {part:.2} most={max_delay:.1} for=40");
                ("copies", line)
            }
            10 => {
                let part = self.between(0.1, 0.5);
                ("late_commits", format!("late-commits part={part:.2}"))
            }
            20 => {
                let part = self.between(0.1, 0.7);
                ("lost_answers", format!("lose-replies part={part:.2}"))
            }
            _ => {
                let part = self.between(0.2, 0.9);
                ("lost_cloud", format!("lose-cloud-replies part={part:.2}"))
            }
        };
        self.fault_line(at, name, &line);
        if matches!(name, "late_commits" | "lost_answers" | "lost_cloud") {
            let end = at + self.between(8.0, 40.0);
            self.line(end, "calm");
        }
    }

    fn process_fault(&mut self, at: f64, kind: u32, draws: &Draws) {
        match kind {
            6 => {
                let after = self.one_of(&[0.05, 0.2, 0.5, 0.9]);
                let target = self.one_of(&["leader", "leader", "all", "a"]);
                let line = format!("fast-restart {target} {after}");
                self.fault_line(at, "fast-restart", &line);
                if self.rng.gen_bool(0.5) {
                    let again = at + self.between(0.0, 2.0);
                    let line = format!("fast-restart all {after}");
                    self.fault_line(again, "fast-restart", &line);
                }
            }
            7 => {
                self.fault_line(at, "crash", "crash leader");
                let back = at + self.between(0.3, 6.0);
                self.line(back, "start-all");
            }
            _ => {
                let for_s = self.between(1.0, self.lease_s * 2.0);
                let line = format!("freeze {} {for_s:.1}", draws.target);
                self.fault_line(at, "freeze", &line);
            }
        }
    }

    fn keep_reports(&mut self, at: f64) {
        let (part, for_s) = (self.between(0.2, 0.9), self.between(10.0, 60.0));
        let line = format!("keep-reports {part:.2} for={for_s:.0}");
        self.fault_line(at, "keep_reports", &line);
        if self.rng.gen_bool(0.7) {
            let end = at + self.between(2.0, 20.0);
            let back = self.between(0.3, 5.0);
            self.line(end, "crash leader");
            self.line(end + back, "start-all");
        }
    }

    fn user_fault(&mut self, at: f64, kind: u32) {
        let (name, line) = match kind {
            17 => {
                let for_s = self.between(10.0, 60.0);
                ("close_looks", format!("close-looks {for_s:.0}"))
            }
            18 => {
                let count = self.rng.gen_range(1..8);
                let hang_s = self.between(0.0, self.lease_s * 1.5);
                let hang_s = self.one_of(&[0.0, hang_s]);
                let line = format!("cancel-now count={count} hang={hang_s:.1}");
                ("cancel_now", line)
            }
            _ => {
                let (part, for_s) = (self.between(0.1, 0.7), self.between(10.0, 60.0));
                let line = format!("cancel-at-end {part:.2} for={for_s:.0}");
                ("cancel_at_end", line)
            }
        };
        self.fault_line(at, name, &line);
    }
}
