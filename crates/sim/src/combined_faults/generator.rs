//! The generator of a day of combined faults: its script, and how often each kind of fault
//! occurs in it.

use rand::rngs::StdRng;
use rand::Rng;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of the first long job.
pub(super) const FIRST_LONG_JOB: u64 = 900_000;
/// Events of the scenario format that faults are timed by.
const TRIGGERS: [&str; 3] = ["take", "cancelled", "heard"];

/// The random draws of a day, and the values that scale its faults.
pub(super) struct DayGenerator {
    pub(super) rng: StdRng,
    pub(super) machines: f64,
    /// The workers' lease, seconds.
    pub(super) lease_s: f64,
    /// Time within which a cancelled task must have ended, seconds.
    pub(super) cancel_s: f64,
    /// Number of long jobs, which users cancel.
    pub(super) long_jobs: u64,
    pub(super) lines: String,
    pub(super) fault_counts: BTreeMap<&'static str, u32>,
}

impl DayGenerator {
    pub(super) fn between(&mut self, low: f64, high: f64) -> f64 {
        self.rng.gen_range(low..high.max(low + 1e-6))
    }

    pub(super) fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.rng.gen_range(0..values.len())]
    }

    pub(super) fn line(&mut self, at: f64, line: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.lines, "at {at:.2} {line}");
    }

    pub(super) fn count(&mut self, kind: &'static str) {
        *self.fault_counts.entry(kind).or_default() += 1;
    }

    /// Adds a fault at this time, or at a random delay after the next occurrence of a random
    /// trigger from this time on.
    pub(super) fn fault_line(&mut self, at: f64, kind: &'static str, line: &str) {
        self.count(kind);
        if self.rng.gen_bool(0.35) {
            let trigger = self.one_of(&TRIGGERS);
            let delay = self.one_of(&[0.0, 0.002, 0.005, 0.05, 0.6]);
            return self.line(at, &format!("when {trigger} {delay} {line}"));
        }
        self.line(at, line);
    }

    pub(super) fn target(&mut self) -> &'static str {
        self.one_of(&["leader", "leader", "leader", "follower", "a", "b"])
    }

    /// Adds cancellations, polls and repeated submissions of users, at any controller, around
    /// this time.
    pub(super) fn cancellations(&mut self, at: f64, count: u32) {
        for _ in 0..count {
            let job = FIRST_LONG_JOB + self.rng.gen_range(0..self.long_jobs);
            let on = self.one_of(&["", " on=follower", " on=leader", " on=a", " on=b"]);
            let at = at + self.between(0.0, 3.0);
            let request = self.one_of(&["cancel", "cancel", "cancel", "poll", "again"]);
            self.line(at, &format!("{request} job-{job}{on}"));
        }
    }

    /// Adds machines that receive no messages, send none, hang or lose the network.
    pub(super) fn machine_faults(&mut self, at: f64) {
        let count = (self.machines * self.between(0.1, 0.5)).ceil();
        let for_s = self.lease_s * self.between(0.2, 1.6);
        let kind = self.one_of(&["cut-inbound", "hang", "cut-machines", "cut-outbound"]);
        let line = format!("{kind} count={count:.0} for={for_s:.1}");
        self.fault_line(at, kind, &line);
    }
}
