//! Days on which troubles meet: drawn like other days, but timed against what
//! happens (a take, a cancellation's answer, a first answer with a new token) as
//! well as by the clock, with jobs of few tasks whose ends lie far apart and users
//! who cancel much.
//!
//! The first family is the gap: the state service refuses the leader alone, another
//! controller confirms cancellations, and then it is down for all for long.

use crate::days::Day;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::fmt::Write;

struct DayGenerator {
    rng: StdRng,
    machines: f64,
    lease: f64,
    cancel: f64,
    /// The ids of long jobs, which users cancel.
    long: u64,
    lines: String,
    fault_counts: BTreeMap<&'static str, u32>,
}

/// Ids of long jobs begin here.
const LONG: u64 = 900_000;
const EVENTS: [&str; 3] = ["take", "cancelled", "heard"];

impl DayGenerator {
    fn between(&mut self, a: f64, b: f64) -> f64 {
        self.rng.gen_range(a..b.max(a + 1e-6))
    }

    fn of<T: Copy>(&mut self, many: &[T]) -> T {
        many[self.rng.gen_range(0..many.len())]
    }

    fn line(&mut self, at: f64, line: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.lines, "at {at:.2} {line}");
    }

    /// At this time, or so long after what happens next from then on.
    fn at(&mut self, at: f64, kind: &'static str, line: &str) {
        *self.fault_counts.entry(kind).or_default() += 1;
        if self.rng.gen_bool(0.35) {
            let (event, after) = (self.of(&EVENTS), self.of(&[0.0, 0.002, 0.005, 0.05, 0.6]));
            return self.line(at, &format!("when {event} {after} {line}"));
        }
        self.line(at, line);
    }

    fn who(&mut self) -> &'static str {
        self.of(&["leader", "leader", "leader", "follower", "a", "b"])
    }

    /// Users cancel and ask, at any controller, around this time.
    fn cancels(&mut self, at: f64, count: u32) {
        for _ in 0..count {
            let job = LONG + self.rng.gen_range(0..self.long);
            let on = self.of(&["", " on=follower", " on=leader", " on=a", " on=b"]);
            let at = at + self.between(0.0, 3.0);
            let what = self.of(&["cancel", "cancel", "cancel", "poll", "again"]);
            self.line(at, &format!("{what} job-{job}{on}"));
        }
    }

    /// Machines that hear nothing, hang or lose the network.
    fn machines(&mut self, at: f64) {
        let count = (self.machines * self.between(0.1, 0.5)).ceil();
        let long = self.lease * self.between(0.2, 1.6);
        let kind = self.of(&["cut-inbound", "hang", "cut-machines", "cut-outbound"]);
        self.at(at, kind, &format!("{kind} count={count:.0} for={long:.1}"));
    }

    /// The gap, and when it is over.
    fn gap(&mut self, at: f64) -> f64 {
        let refused = self.between(1.0, 60.0);
        let between = self.between(0.0, 10.0);
        let down = self.cancel * self.between(0.5, 3.0);
        *self.fault_counts.entry("gap").or_default() += 1;
        self.line(at, &format!("cut leader refused {refused:.1}"));
        let confirmed = at + self.between(0.0, between + 0.5);
        self.cancels(confirmed, 6);
        let mut ends = at + between + down;
        if self.rng.gen_bool(0.3) {
            // Whoever takes the lead ends before it has read the pages, and the next
            // one's state service goes as it takes.
            let back = self.between(2.0, 9.0);
            let (ends_at, goes) = (
                self.of(&[0.002, 0.004, 0.3]),
                self.of(&[0.002, 0.004, 0.008]),
            );
            self.line(at + 0.3, &format!("when take {ends_at} crash-all"));
            self.line(at + back + 3.0, "start-all");
            self.line(at + back, &format!("when take {goes} state-down {down:.1}"));
            return at + back + 8.0 + down;
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
        if self.rng.gen_bool(0.4) {
            let back = self.of(&[0.1, 0.3, 2.0]);
            let who = self.of(&["follower", "leader", "all", "c"]);
            self.line(
                at,
                &format!("when cancelled 0.003 fast-restart {who} {back}"),
            );
        }
        if self.rng.gen_bool(0.5) {
            self.machines(at + between * 0.5);
        }
        if self.rng.gen_bool(0.3) {
            let long = self.between(5.0, 40.0);
            self.line(at + between, &format!("cut leader workers {long:.1}"));
        }
        if self.rng.gen_bool(0.5) {
            let again = self.between(1.0, 30.0);
            self.line(ends - 0.5, &format!("cut leader refused {again:.1}"));
            self.cancels(ends, 3);
            ends += again;
        }
        ends
    }

    /// One trouble of any kind.
    fn trouble(&mut self, at: f64) {
        let (lease, long) = (self.lease, self.lease * self.between(0.3, 2.5));
        let hold = self.of(&["", " hold"]);
        let who = self.who();
        match self.rng.gen_range(0..23) {
            15 => self.at(at, "jobs", &format!("cut leader jobs {long:.1}")),
            16 => {
                let (part, long) = (self.between(0.2, 0.9), self.between(10.0, 60.0));
                let line = format!("keep-reports {part:.2} for={long:.0}");
                self.at(at, "keep_reports", &line);
                if self.rng.gen_bool(0.7) {
                    let (ends, back) = (at + self.between(2.0, 20.0), self.between(0.3, 5.0));
                    self.line(ends, "crash leader");
                    self.line(ends + back, "start-all");
                }
            }
            17 => {
                let line = format!("close-looks {:.0}", self.between(10.0, 60.0));
                self.at(at, "close_looks", &line);
            }
            18 => {
                let (count, hang) = (self.rng.gen_range(1..8), self.between(0.0, lease * 1.5));
                let hang = self.of(&[0.0, hang]);
                let line = format!("cancel-now count={count} hang={hang:.1}");
                self.at(at, "cancel_now", &line);
            }
            19 => {
                let (part, long) = (self.between(0.1, 0.7), self.between(10.0, 60.0));
                let line = format!("cancel-at-end {part:.2} for={long:.0}");
                self.at(at, "cancel_at_end", &line);
            }
            20 => {
                let line = format!("lose-replies part={:.2}", self.between(0.1, 0.7));
                self.at(at, "lost_answers", &line);
                let end = at + self.between(8.0, 40.0);
                self.line(end, "calm");
            }
            21 => {
                let line = format!("lose-cloud-replies part={:.2}", self.between(0.2, 0.9));
                self.at(at, "lost_cloud", &line);
                let end = at + self.between(8.0, 40.0);
                self.line(end, "calm");
            }
            22 => {
                let count = (self.machines * self.between(0.1, 0.5)).ceil();
                self.at(
                    at,
                    "cut-outbound",
                    &format!("cut-outbound count={count:.0} for={long:.1}"),
                );
            }
            0 => self.at(at, "refused", &format!("cut {who} refused {long:.1}")),
            1 => self.at(at, "cut_state", &format!("cut {who} state {long:.1}{hold}")),
            2 => self.at(
                at,
                "but_workers",
                &format!("cut {who} but-workers {long:.1}{hold}"),
            ),
            3 => self.at(
                at,
                "cut_workers",
                &format!("cut {who} workers {long:.1}{hold}"),
            ),
            4 => {
                let line = format!("state-down {:.1}", self.between(1.0, self.cancel * 1.5));
                self.at(at, "state_down", &line);
            }
            5 => {
                let (factor, long) = (self.between(20.0, 400.0), self.between(8.0, 40.0));
                let line = format!("state-slow factor={factor:.0} for={long:.0}");
                self.at(at, "state_slow", &line);
            }
            6 => {
                let after = self.of(&[0.05, 0.2, 0.5, 0.9]);
                let who = self.of(&["leader", "leader", "all", "a"]);
                self.at(at, "fast-restart", &format!("fast-restart {who} {after}"));
                if self.rng.gen_bool(0.5) {
                    let again = at + self.between(0.0, 2.0);
                    self.at(again, "fast-restart", &format!("fast-restart all {after}"));
                }
            }
            7 => {
                self.at(at, "crash", "crash leader");
                let back = at + self.between(0.3, 6.0);
                self.line(back, "start-all");
            }
            8 => {
                let line = format!("freeze {who} {:.1}", self.between(1.0, lease * 2.0));
                self.at(at, "freeze", &line);
            }
            9 => {
                let (part, most) = (self.between(0.1, 0.6), self.between(2.0, lease * 2.5));
                let line = format!("copies {part:.2} most={most:.1} for=40");
                self.at(at, "copies", &line);
            }
            10 => {
                let line = format!("late-commits part={:.2}", self.between(0.1, 0.5));
                self.at(at, "late_commits", &line);
                let end = at + self.between(8.0, 40.0);
                self.line(end, "calm");
            }
            11 => {
                let zone = self.of(&["north", "south"]);
                self.at(at, "zone_cut", &format!("zone-cut {zone} {long:.1}{hold}"));
            }
            12 => {
                let line = format!("peers-refuse {:.1}", self.between(5.0, 40.0));
                self.at(at, "peers_refuse", &line);
            }
            13 => {
                let count = (self.machines * self.between(0.05, 0.3)).ceil();
                self.at(at, "reboot", &format!("reboot count={count:.0}"));
            }
            _ => self.machines(at),
        }
    }
}

/// The day that belongs to this seed and number: always the same.
pub fn generate(seed: u64, number: u64, machines: (f64, f64)) -> Day {
    let mix = seed
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .wrapping_add(number)
        ^ 0x6d65_6574;
    let mut rng = StdRng::seed_from_u64(mix);
    let machines = rng
        .gen_range(machines.0.ln()..=machines.1.ln())
        .exp()
        .round();
    let report = [1.0, 2.5, 4.0, 5.0]
        .choose(&mut rng)
        .copied()
        .unwrap_or(1.0);
    let lease: f64 = (report * 5.5_f64).max(10.0);
    let cancel = lease + rng.gen_range(18.0..31.0);
    let room = machines * 0.7 * 8.0;
    let many = [1.0, 2.0, 3.0, 6.0]
        .choose(&mut rng)
        .copied()
        .unwrap_or(2.0);
    // Long tasks take half of the room at most, short ones a third.
    let long = (room * 0.5 / (2.0 * many)).clamp(2.0, 400.0) as u64;
    let (lines, fault_counts) = (String::new(), BTreeMap::new());
    let mut d = DayGenerator {
        rng,
        machines,
        lease,
        cancel,
        long,
        lines,
        fault_counts,
    };
    let owned = (machines * 0.4).ceil();
    let nodes = d.of(&[3, 3, 3, 2]);
    // Work of which half is long, in jobs of one to three tasks and in some of many.
    let run = d.between(0.8, 1.7) * cancel;
    d.line(
        1.0,
        &format!(
            "stream {LONG} count={long} every={:.2} tasks={many} cpus=2 run={run:.0} class=long",
            12.0 / long as f64
        ),
    );
    let (tasks, short) = (d.of(&[1.0, 2.0, 3.0]), d.between(4.0, lease * 1.5));
    let every = d.between(0.3, 1.5).max(tasks * short / (room * 0.33));
    let bound = d.of(&[
        "",
        "",
        "",
        " oneZone",
        " zone=north",
        " apart",
        " shapes=c8",
    ]);
    d.line(
        1.5,
        &format!("stream 1 count={:.0} every={every:.2} tasks={tasks} cpus=1 run={short:.0} class=short urgency=high{bound}", 90.0 / every),
    );
    let mut at = d.between(18.0, 30.0);
    if d.rng.gen_bool(0.5) {
        at = d.gap(at);
        if d.rng.gen_bool(0.4) {
            let again = at + d.between(1.0, 20.0);
            at = d.gap(again);
        }
    }
    // Then pairs and triples, close together.
    for _ in 0..d.rng.gen_range(1..4) {
        for _ in 0..d.rng.gen_range(2..4) {
            let then = at + d.between(0.0, 5.0);
            d.trouble(then);
        }
        d.cancels(at, 4);
        at += d.between(15.0, 40.0);
    }
    let (team, boot) = (
        d.of(&[0.0, 0.0, 0.0, room * 0.45]),
        d.of(&[0.3, 1.5, 5.0, 5.0]),
    );
    let text = format!(
        "seed {}\nnodes {nodes}\nteam-max {team:.0}\nboot {boot}\nowned {owned:.0}\nspot {:.0}\nordinary {:.0}\nlarge 0\n\
         workers report={report} lease={lease} cancel={cancel:.1}\nstate rps=200 writes=60\n{}end {:.0}\n",
        mix % 1_000_000,
        (machines * 0.2).ceil(),
        (machines * 0.1).ceil(),
        d.lines,
        at.max(100.0),
    );
    let name = format!("meet-{seed}-{number}");
    Day {
        name,
        text,
        machines: machines as u64,
        fault_counts: d.fault_counts,
    }
}

#[cfg(test)]
mod tests;
