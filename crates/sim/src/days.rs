//! Days that are drawn: deployments of any size with troubles of all kinds,
//! alone and together, written as scenarios, so that a day which fails can be
//! made smaller and kept.

use crate::scenario::{self, Outcome, ScenarioError};
use beamhinge_controller::faults::Faults;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// How large days may be.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Fewest and most machines.
    pub machines: (f64, f64),
    /// Seconds in which jobs arrive.
    pub seconds: (f64, f64),
}

/// For a first look, and for CI.
pub const SMALL: Size = Size {
    machines: (40.0, 160.0),
    seconds: (90.0, 140.0),
};
pub const FULL: Size = Size {
    machines: (100.0, 3_000.0),
    seconds: (200.0, 360.0),
};

/// A drawn day.
#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub text: String,
    pub machines: u64,
    /// How often each kind of trouble occurs.
    pub fault_counts: BTreeMap<&'static str, u32>,
}

/// What a day is drawn from, and what troubles are scaled by.
struct DayGenerator {
    rng: StdRng,
    machines: f64,
    lease: f64,
    end: f64,
    next_job: u64,
    lines: String,
    fault_counts: BTreeMap<&'static str, u32>,
}

impl DayGenerator {
    fn between(&mut self, a: f64, b: f64) -> f64 {
        if b <= a {
            return a;
        }
        self.rng.gen_range(a..b)
    }

    fn of(&mut self, many: &[f64]) -> f64 {
        many.choose(&mut self.rng).copied().unwrap_or(1.0)
    }

    fn at(&mut self, at: f64, kind: &'static str, line: &str) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.lines, "at {at:.1} {line}");
        if !kind.is_empty() {
            *self.fault_counts.entry(kind).or_default() += 1;
        }
    }

    fn who(&mut self) -> &'static str {
        ["leader", "leader", "a", "b", "c"]
            .choose(&mut self.rng)
            .copied()
            .unwrap_or("leader")
    }

    /// One trouble of a drawn kind at about this time.
    fn trouble(&mut self, at: f64) {
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
        let kind = KINDS.choose(&mut self.rng).copied().unwrap_or("crash");
        let (lease, machines) = (self.lease, self.machines);
        let count = self.between(0.02, 0.12) * machines;
        let cut = self.between(0.8, 2.2) * lease;
        let hang = self.between(0.5, 1.6) * lease;
        let hold = ["", " hold"].choose(&mut self.rng).copied().unwrap_or("");
        let who = self.who();
        let line = match kind {
            "burst" => {
                let first = self.next_job;
                self.next_job += 1_000;
                let n = (machines / 40.0).clamp(2.0, 40.0);
                format!("stream {first} count={n:.0} every=0.5 tasks=20 cpus=2 run=15 urgency=high")
            }
            "die" => format!("die count={count:.0}"),
            "hang" => format!("hang count={count:.0} for={hang:.1}"),
            "sick" => format!("sick count={:.0}", count * 0.4),
            "slow" => format!("slow count={:.0}", count * 0.5),
            "crash" => {
                self.at(at + 4.0, "", "start-all");
                format!("crash {who}")
            }
            "crash_all" => {
                self.at(at + 4.0, "", "start-all");
                "crash-all".to_string()
            }
            "cut_all" => format!("cut {who} all {cut:.1}{hold}"),
            "cut_state" => format!("cut {who} state {cut:.1}{hold}"),
            "cut_workers" => format!("cut {who} workers {cut:.1}{hold}"),
            "refused" => format!("cut {who} refused {cut:.1}"),
            "freeze" => {
                format!("freeze {who} {:.1}", hang)
            }
            "roll" => format!("roll every={:.1}", self.between(8.0, 25.0)),
            "cut-inbound" => {
                format!(
                    "cut-inbound count={count:.0} for={:.1}",
                    cut.max(lease * 1.2)
                )
            }
            "reboot" => format!("reboot count={count:.0}"),
            "copies" => {
                let (part, long) = (self.between(0.05, 0.4), self.between(20.0, 60.0));
                format!(
                    "copies {part:.2} most={:.1} for={long:.0}",
                    self.between(2.0, 2.5 * lease)
                )
            }
            "but_workers" => format!("cut {who} but-workers {cut:.1}{hold}"),
            "fast-restart" => {
                // Twice, the second amid the election that the first began; copies of
                // old messages, and repeats of requests, come after it.
                let again = at + self.between(0.2, 3.0);
                let who = if self.rng.gen_bool(0.4) { "all" } else { who };
                let most = self.between(1.0, 2.0 * lease);
                self.at(at - 5.0, "", &format!("copies 0.30 most={most:.1} for=15"));
                let after = self.between(0.1, 0.9);
                self.at(again, "", &format!("fast-restart {who} {after:.2}"));
                format!("fast-restart {who} {:.2}", self.between(0.1, 0.9))
            }
            "peers_refuse" => format!("peers-refuse {:.1}", self.between(20.0, 40.0)),
            "spot_taken" => format!("take count={:.0}", count * 2.0),
            "capacity" => {
                let part = self.between(0.5, 0.8);
                format!("capacity {part:.2}")
            }
            "state" if self.rng.gen_bool(0.5) => {
                format!("state-down {:.1}", self.between(6.0, 16.0))
            }
            "state" => {
                let (factor, long) = (self.between(5.0, 40.0), self.between(20.0, 60.0));
                format!("state-slow factor={factor:.0} for={long:.0}")
            }
            _ => {
                let zone = ["north", "south"]
                    .choose(&mut self.rng)
                    .copied()
                    .unwrap_or("north");
                format!("zone-cut {zone} {cut:.1}{hold}")
            }
        };
        self.at(at, kind, &line);
    }
}

impl DayGenerator {
    /// A team without a guarantee, with work of some of these kinds: one huge
    /// array, very many single tasks, idle-time work on large machines; and jobs
    /// with a mistake, users who ask often.
    fn guests(&mut self, room: f64, large: f64) {
        let at = self.between(10.0, self.end * 0.5);
        let first = self.next_job;
        self.next_job += 10_000;
        let rest = "urgency=best_effort team=two";
        if self.rng.gen_bool(0.6) {
            let tasks = (room * self.between(0.2, 0.6) / 2.0).clamp(50.0, 6_000.0);
            let line = format!(
                "submit job-{first} class=sweep tasks={tasks:.0} cpus=2 run=40 image=sweep {rest}"
            );
            self.at(at, "huge_array", &line);
        }
        if self.rng.gen_bool(0.6) {
            let every = self.of(&[0.1, 0.2, 0.5]);
            let count = ((self.end - 20.0 - at) / every).clamp(10.0, 1_500.0);
            let line = format!(
                "stream {} count={count:.0} every={every} tasks=1 cpus=0.25 run=30 class=pings image=pings {rest}",
                first + 1_000
            );
            self.at(at, "single_tasks", &line);
        }
        if large >= 4.0 && self.rng.gen_bool(0.6) {
            let tasks = (large * self.between(0.5, 1.5)).ceil();
            let line = format!(
                "stream {} count=2 every=5 tasks={tasks:.0} cpus=16 run=40 class=idle image=idle saves {rest}",
                first + 5_000
            );
            self.at(at, "idle_time", &line);
        }
        if self.rng.gen_bool(0.5) {
            let line = format!(
                "stream {} count=12 every=8 tasks=8 cpus=2 run=12 class=prompt urgency=high due=40 broken=0.4",
                first + 6_000
            );
            self.at(at, "mistakes", &line);
        }
        if self.rng.gen_bool(0.4) {
            let line = format!("poll-storm factor=8 for={:.0}", self.between(20.0, 60.0));
            self.at(at + 20.0, "poll_storm", &line);
        }
    }

    /// One controller is down, and the holder stands still: one is left.
    fn alone(&mut self, at: f64) {
        self.at(at, "alone", "crash follower");
        let (then, stands) = (self.between(2.0, 20.0), self.between(5.0, 40.0));
        self.at(at + then, "", &format!("freeze leader {stands:.1}"));
        // Before the day's end: a line that is due later would never be played.
        let back = (at + self.between(40.0, 90.0)).min(self.end - 1.0);
        self.at(back, "", "start-all");
    }
}

/// The day that belongs to this seed and number: always the same.
pub fn generate(seed: u64, number: u64, size: Size) -> Day {
    let mix = seed
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .wrapping_add(number);
    let mut rng = StdRng::seed_from_u64(mix);
    let span = (size.machines.0.ln(), size.machines.1.ln());
    let machines = rng.gen_range(span.0..=span.1).exp().round();
    let mut d = DayGenerator {
        rng,
        machines,
        lease: 0.0,
        end: 0.0,
        next_job: 1,
        lines: String::new(),
        fault_counts: BTreeMap::new(),
    };
    d.end = d.between(size.seconds.0, size.seconds.1).round();
    let report = d.of(&[1.0, 2.0, 2.5, 4.0, 5.0]);
    d.lease = (report * 5.5).max(10.0);
    let (rps, writes) = (d.of(&[100.0, 200.0, 400.0]), d.of(&[30.0, 40.0, 100.0]));
    let (value, transaction) = (d.of(&[1.0, 8.0, 32.0]), d.of(&[2.0, 4.0, 8.0, 20.0, 24.0]));
    let (boot, lag) = (d.between(6.0, 30.0), d.between(1.0, 4.0));
    let lease = d.lease;
    let owned = (machines * d.between(0.02, 0.1)).ceil().max(2.0);
    let large = (machines * d.between(0.0, 0.08)).round();
    let ordinary = (machines * d.between(0.05, 0.25)).round();
    let spot = (machines - owned - large - ordinary).max(4.0);
    // Capacities are of each of two zones.
    let text = format!(
        "seed {}\nteam-max 0\nowned {owned:.0}\nspot {:.0}\nordinary {:.0}\nlarge {:.0}\nboot {boot:.0}\n\
         workers report={report} lease={lease} cancel={}\n\
         state rps={rps} writes={writes} value={value} txn={transaction}\n\
         cloud rps={:.0} lag={lag:.1}\n",
        mix % 1_000_000,
        (spot / 2.0).ceil(),
        (ordinary / 2.0).ceil(),
        (large / 2.0).ceil(),
        lease + 30.0,
        d.between(5.0, 11.0),
    );
    // Two classes, together a drawn part of all room; and one in a hurry.
    let room = (spot + ordinary + owned) * 8.0 + large * 32.0;
    let load = d.between(0.3, 0.6);
    let arrive = d.end - 30.0;
    for (cpus, run, tasks, part, words) in [
        (4.0, 20.0, 30.0, 0.6, "class=a due=150"),
        (2.0, 12.0, 12.0, 0.3, "class=prompt urgency=high due=40"),
        (8.0, 30.0, 4.0, 0.1, "class=b"),
    ] {
        let width: f64 = (tasks * d.between(0.5, 1.5_f64)).round();
        let jobs = (room * load * part * arrive / (cpus * run * width))
            .ceil()
            .clamp(2.0, 900.0);
        let (every, first) = (arrive / jobs, d.next_job);
        d.next_job += 1_000;
        d.at(
            2.0,
            "",
            &format!("stream {first} count={jobs:.0} every={every:.2} tasks={width:.0} cpus={cpus} run={run} {words}"),
        );
    }
    let storm = d.rng.gen_bool(0.3);
    let troubles = d.rng.gen_range(1..=6);
    let (from, to) = (d.end * 0.25, d.end * 0.85);
    let center = d.between(from, to);
    for _ in 0..troubles {
        let at = if storm {
            center + d.between(0.0, 8.0)
        } else {
            d.between(from, to)
        };
        d.trouble(at);
    }
    if d.rng.gen_bool(0.6) {
        d.guests(room, large);
    }
    if d.rng.gen_bool(0.3) {
        let at = d.between(from, to);
        d.alone(at);
    }
    let text = format!("{text}{}end {:.0}\n", d.lines, d.end);
    let name = format!("day-{seed}-{number}");
    Day {
        name,
        text,
        machines: machines as u64,
        fault_counts: d.fault_counts,
    }
}

/// What is wrong with a day, beyond expectations of its own.
pub fn faulty(o: &Outcome) -> bool {
    unsound(o) || stopped_for_nobody(o) || begins_late(o)
}

/// What is wrong with a day of meetings: its troubles may last longer than a largest
/// job has time to begin.
pub fn unsound(o: &Outcome) -> bool {
    !o.violations.is_empty()
        || !o.stuck.is_empty()
        || o.idle_machines > 0
        || !o.wrong.is_empty()
        || given_away(o)
        || starved(o)
}

/// One of its class's largest jobs did not begin within four minutes.
pub fn begins_late(o: &Outcome) -> bool {
    o.largest
        .as_ref()
        .is_some_and(|(_, waited_s)| *waited_s > 240.0)
}

/// More than a fiftieth of what was stopped for others was stopped for nobody,
/// beyond a few: a place whose task or machine meets a trouble brings no start.
pub fn stopped_for_nobody(o: &Outcome) -> bool {
    o.in_vain > (o.stopped / 50).max(8)
}

/// A class, its largest jobs or a team got less than half of the work done in the time in which all
/// that fits should be.
pub fn starved(o: &Outcome) -> bool {
    o.least.as_ref().is_some_and(|(_, part)| *part < 0.5)
}

/// More healthy machines were given back than a fiftieth of those cut off.
pub fn given_away(o: &Outcome) -> bool {
    o.losses.healthy_returned > (o.losses.cut_off / 50).max(2)
}

/// Makes a failing day smaller: leaves out what it fails without, line by line,
/// and ends it sooner, within so many tries.
///
/// # Errors
/// When a line cannot be understood.
pub fn reduce(text: &str, faults: Faults, mut tries: u32) -> Result<String, ScenarioError> {
    let mut lines: Vec<String> = text.lines().map(String::from).collect();
    let fails = |lines: &[String]| -> Result<bool, ScenarioError> {
        Ok(faulty(&scenario::play(&(lines.join("\n") + "\n"), faults)?))
    };
    let mut at = 0;
    while at < lines.len() && tries > 0 {
        if !lines[at].starts_with("at ") {
            at += 1;
            continue;
        }
        tries -= 1;
        let mut less = lines.clone();
        less.remove(at);
        if fails(&less)? {
            lines = less;
        } else {
            at += 1;
        }
    }
    Ok(lines.join("\n") + "\n")
}

/// A fault of a day's file, in the form of the bench's days.
#[derive(Deserialize)]
struct Fault {
    at_s: f64,
    kind: String,
    #[serde(default)]
    for_s: f64,
    #[serde(default = "one")]
    count: f64,
    #[serde(default)]
    busiest: bool,
    #[serde(default)]
    from_state: bool,
    #[serde(default)]
    from_workers: bool,
    #[serde(default)]
    from_peers: bool,
    #[serde(default)]
    refused: bool,
    #[serde(default)]
    mode: String,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default = "one")]
    factor: f64,
    #[serde(default)]
    share: f64,
    #[serde(default = "one")]
    every_s: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct DayFile {
    #[serde(default)]
    faults: Vec<Fault>,
    #[serde(default)]
    day: Vec<DayFile>,
}

/// A day's file in the bench's form (`faults = [...]`, or a `[[day]]`), played on
/// the deployment that belongs to the seed and number.
///
/// # Errors
/// When the file cannot be read, or names a kind that is not known.
pub fn from_toml(text: &str, seed: u64, number: u64, size: Size) -> Result<Day, ScenarioError> {
    let file: DayFile = toml::from_str(text).map_err(|e| e.to_string())?;
    let base = generate(seed, number, size);
    let quiet = |l: &&str| !l.starts_with("at ") || l.contains(" stream ") && l.contains("class=");
    let mut lines: Vec<String> = base
        .text
        .lines()
        .filter(quiet)
        .filter(|l| !l.starts_with("end "))
        .map(String::from)
        .collect();
    let mut end: f64 = 60.0;
    let all = file
        .faults
        .into_iter()
        .chain(file.day.into_iter().flat_map(|d| d.faults));
    for (n, f) in all.enumerate() {
        end = end.max(f.at_s + f.for_s + 30.0);
        let zone = match f.zone.as_deref() {
            Some("south") => "south",
            _ => "north",
        };
        let who = if f.busiest { "leader" } else { "follower" };
        let hold = if f.mode == "hold" { " hold" } else { "" };
        let machines = base.machines as f64;
        let line = match f.kind.as_str() {
            "job_burst" => format!(
                "stream {} count={:.0} every=0.5 tasks=20 cpus=2 run=15",
                50_000 + n * 1_000,
                f.for_s * f.factor / 10.0
            ),
            "state_outage" => format!("state-down {}", f.for_s),
            "state_slow" => format!("state-slow factor={} for={}", f.factor, f.for_s),
            "node_crash" => {
                lines.push(format!("at {} start-all", f.at_s + 4.0));
                if f.count >= 3.0 {
                    "crash-all".into()
                } else {
                    format!("crash {who}")
                }
            }
            "node_roll" => format!("roll every={}", f.every_s),
            "node_freeze" => format!("freeze {who} {}", f.for_s),
            "node_cut" => {
                let what = match (f.from_state, f.from_workers, f.refused) {
                    (_, _, true) => "refused",
                    (true, false, _) if f.from_peers => "but-workers",
                    (true, false, _) => "state",
                    (false, true, _) => "workers",
                    _ => "all",
                };
                format!("cut {who} {what} {}{hold}", f.for_s)
            }
            "peers_refuse" => format!("peers-refuse {}", f.for_s),
            "zone_cut" => format!("zone-cut {zone} {}{hold}", f.for_s),
            "machine_hang" => format!("hang count={} for={}", f.count, f.for_s),
            "machine_die" => format!("die count={}", f.count),
            "machine_sick" => format!("sick count={}", f.count),
            "machine_slow" => format!("slow count={}", f.count),
            "spot_taken" => format!("take count={:.0}", f.share * machines),
            "capacity" => format!("capacity {}", f.count.clamp(0.0, 1.0)),
            "cloud_outage" => format!("cloud-down {}", f.for_s),
            other => return Err(format!("a fault of unknown kind '{other}'").into()),
        };
        lines.push(format!("at {} {line}", f.at_s));
    }
    lines.push(format!("end {end:.0}"));
    Ok(Day {
        text: lines.join("\n") + "\n",
        ..base
    })
}

#[cfg(test)]
mod tests;
