//! The generator of a day: its script, and how often each kind of fault occurs in it.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::Rng;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The random draws of a day, and the values that scale its faults.
pub(super) struct DayGenerator {
    pub(super) rng: StdRng,
    pub(super) machines: f64,
    /// The workers' lease, seconds.
    pub(super) lease_s: f64,
    /// When the day ends, seconds.
    pub(super) end_s: f64,
    pub(super) next_job: u64,
    pub(super) lines: String,
    pub(super) fault_counts: BTreeMap<&'static str, u32>,
}

/// Chooses one of these words; `default` if there are none.
pub(super) fn choose<'a>(rng: &mut StdRng, words: &[&'a str], default: &'a str) -> &'a str {
    words.choose(rng).copied().unwrap_or(default)
}

impl DayGenerator {
    pub(super) fn new(rng: StdRng, machines: f64) -> DayGenerator {
        DayGenerator {
            rng,
            machines,
            lease_s: 0.0,
            end_s: 0.0,
            next_job: 1,
            lines: String::new(),
            fault_counts: BTreeMap::new(),
        }
    }

    pub(super) fn between(&mut self, low: f64, high: f64) -> f64 {
        if high <= low {
            return low;
        }
        self.rng.gen_range(low..high)
    }

    pub(super) fn one_of(&mut self, values: &[f64]) -> f64 {
        values.choose(&mut self.rng).copied().unwrap_or(1.0)
    }

    /// Adds a line to the script without counting a kind of fault.
    pub(super) fn line(&mut self, at: f64, line: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.lines, "at {at:.1} {line}");
    }

    /// Adds a line to the script and counts its kind of fault.
    pub(super) fn counted_line(&mut self, at: f64, kind: &'static str, line: &str) {
        self.line(at, line);
        *self.fault_counts.entry(kind).or_default() += 1;
    }

    /// Reserves this many job numbers; returns the first.
    pub(super) fn reserve_jobs(&mut self, count: u64) -> u64 {
        let first = self.next_job;
        self.next_job += count;
        first
    }

    /// Adds work of a team without a guarantee, of some of these kinds: one huge job array, very
    /// many single tasks, and best-effort jobs on the large machines. Also adds urgent jobs, of
    /// which a part fails on every machine, and users who poll often. `cpus` is the total of all
    /// machines, `large` the number of large machines.
    pub(super) fn unguaranteed_work(&mut self, cpus: f64, large: f64) {
        let at = self.between(10.0, self.end_s * 0.5);
        let first = self.reserve_jobs(10_000);
        let rest = "urgency=best_effort team=two";
        if self.rng.gen_bool(0.6) {
            let tasks = (cpus * self.between(0.2, 0.6) / 2.0).clamp(50.0, 6_000.0);
            let line = format!(
                "submit job-{first} class=sweep tasks={tasks:.0} cpus=2 run=40 image=sweep {rest}"
            );
            self.counted_line(at, "huge_array", &line);
        }
        if self.rng.gen_bool(0.6) {
            let every = self.one_of(&[0.1, 0.2, 0.5]);
            let count = ((self.end_s - 20.0 - at) / every).clamp(10.0, 1_500.0);
            let line = format!(
                "stream {} count={count:.0} every={every} tasks=1 cpus=0.25 run=30 class=pings \
                 image=pings {rest}",
                first + 1_000
            );
            self.counted_line(at, "single_tasks", &line);
        }
        if large >= 4.0 && self.rng.gen_bool(0.6) {
            let tasks = (large * self.between(0.5, 1.5)).ceil();
            let line = format!(
                "stream {} count=2 every=5 tasks={tasks:.0} cpus=16 run=40 class=idle image=idle \
                 saves {rest}",
                first + 5_000
            );
            self.counted_line(at, "idle_time", &line);
        }
        if self.rng.gen_bool(0.5) {
            let line = format!(
                "stream {} count=12 every=8 tasks=8 cpus=2 run=12 class=prompt urgency=high \
                 due=40 broken=0.4",
                first + 6_000
            );
            self.counted_line(at, "mistakes", &line);
        }
        if self.rng.gen_bool(0.4) {
            let line = format!("poll-storm factor=8 for={:.0}", self.between(20.0, 60.0));
            self.counted_line(at + 20.0, "poll_storm", &line);
        }
    }

    /// Crashes one controller and freezes the leader, so that one controller is left.
    pub(super) fn one_controller_left(&mut self, at: f64) {
        self.counted_line(at, "alone", "crash follower");
        let (delay, freeze_s) = (self.between(2.0, 20.0), self.between(5.0, 40.0));
        self.line(at + delay, &format!("freeze leader {freeze_s:.1}"));
        // Before the end of the day: a later line would never be played.
        let restart_at = (at + self.between(40.0, 90.0)).min(self.end_s - 1.0);
        self.line(restart_at, "start-all");
    }
}
