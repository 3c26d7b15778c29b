//! The cancellation gap: the key-value store first refuses requests of the leader alone while
//! another controller confirms cancellations, and is then down for all controllers for a long
//! time.

use super::generator::DayGenerator;
use rand::Rng;

impl DayGenerator {
    /// Adds one gap; returns when it is over.
    pub(super) fn gap(&mut self, at: f64) -> f64 {
        let refused = self.between(1.0, 60.0);
        let between = self.between(0.0, 10.0);
        let down = self.cancel_s * self.between(0.5, 3.0);
        self.count("gap");
        self.line(at, &format!("cut leader refused {refused:.1}"));
        let confirmed = at + self.between(0.0, between + 0.5);
        self.cancellations(confirmed, 6);
        if self.rng.gen_bool(0.3) {
            return self.leader_ends_in_gap(at, down);
        }
        match self.rng.gen_range(0..3) {
            0 => self.line(
                at,
                &format!("when take {} state-down {down:.1}", between * 0.1),
            ),
            1 => self.line(at, &format!("when cancelled 0.01 state-down {down:.1}")),
            _ => {}
        }
        self.line(at + between, &format!("state-down {down:.1}"));
        self.faults_in_gap(at, between);
        let mut end = at + between + down;
        if self.rng.gen_bool(0.5) {
            let again = self.between(1.0, 30.0);
            self.line(end - 0.5, &format!("cut leader refused {again:.1}"));
            self.cancellations(end, 3);
            end += again;
        }
        end
    }

    /// Adds a leader that crashes after its leadership acquisition, before it has read the stored
    /// pages, and an outage of the key-value store just as the next leader acquires leadership.
    fn leader_ends_in_gap(&mut self, at: f64, down: f64) -> f64 {
        let back = self.between(2.0, 9.0);
        let end_delay = self.one_of(&[0.002, 0.004, 0.3]);
        let down_delay = self.one_of(&[0.002, 0.004, 0.008]);
        self.line(at + 0.3, &format!("when take {end_delay} crash-all"));
        self.line(at + back + 3.0, "start-all");
        self.line(
            at + back,
            &format!("when take {down_delay} state-down {down:.1}"),
        );
        at + back + 8.0 + down
    }

    /// Adds faults of controllers and machines during the gap.
    fn faults_in_gap(&mut self, at: f64, between: f64) {
        if self.rng.gen_bool(0.4) {
            let back = self.one_of(&[0.1, 0.3, 2.0]);
            let target = self.one_of(&["follower", "leader", "all", "c"]);
            let line = format!("when cancelled 0.003 fast-restart {target} {back}");
            self.line(at, &line);
        }
        if self.rng.gen_bool(0.5) {
            self.machine_faults(at + between * 0.5);
        }
        if self.rng.gen_bool(0.3) {
            let for_s = self.between(5.0, 40.0);
            self.line(at + between, &format!("cut leader workers {for_s:.1}"));
        }
    }
}
