//! Days from files in the format of the bench.

use super::{generate, Day, Size};
use crate::scenario::ScenarioError;
use serde::Deserialize;

/// Shortest duration of a day, seconds.
const MIN_END_S: f64 = 60.0;
/// Time between the end of the last fault and the end of the day, seconds.
const AFTER_FAULT_S: f64 = 30.0;
/// Crashed controllers are started after this long, seconds.
const RESTART_S: f64 = 4.0;
/// A crash of at least this many controllers is a crash of all controllers.
const ALL_CONTROLLERS: f64 = 3.0;
/// Number of the first job of the first burst.
const FIRST_BURST_JOB: usize = 50_000;
/// Job numbers reserved for each burst.
const JOBS_OF_BURST: usize = 1_000;

/// A fault in a day's file, with the field names of the bench.
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

impl Fault {
    /// The controller that the fault affects.
    fn target(&self) -> &'static str {
        if self.busiest {
            "leader"
        } else {
            "follower"
        }
    }

    fn hold(&self) -> &'static str {
        if self.mode == "hold" {
            " hold"
        } else {
            ""
        }
    }

    /// The link of a `node_cut`.
    fn link(&self) -> &'static str {
        match (self.from_state, self.from_workers, self.refused) {
            (_, _, true) => "refused",
            (true, false, _) if self.from_peers => "but-workers",
            (true, false, _) => "state",
            (false, true, _) => "workers",
            _ => "all",
        }
    }

    /// The action of a scenario that injects this fault. `index` is the fault's index in the
    /// file, `machines` the size of the fleet.
    fn action(&self, index: usize, machines: f64) -> Result<String, ScenarioError> {
        let (for_s, count, target) = (self.for_s, self.count, self.target());
        Ok(match self.kind.as_str() {
            "job_burst" => format!(
                "stream {} count={:.0} every=0.5 tasks=20 cpus=2 run=15",
                FIRST_BURST_JOB + index * JOBS_OF_BURST,
                for_s * self.factor / 10.0
            ),
            "state_outage" => format!("state-down {for_s}"),
            "state_slow" => format!("state-slow factor={} for={for_s}", self.factor),
            "node_crash" if count >= ALL_CONTROLLERS => "crash-all".into(),
            "node_crash" => format!("crash {target}"),
            "node_roll" => format!("roll every={}", self.every_s),
            "node_freeze" => format!("freeze {target} {for_s}"),
            "node_cut" => format!("cut {target} {} {for_s}{}", self.link(), self.hold()),
            "peers_refuse" => format!("peers-refuse {for_s}"),
            "zone_cut" => {
                let zone = match self.zone.as_deref() {
                    Some("south") => "south",
                    _ => "north",
                };
                format!("zone-cut {zone} {for_s}{}", self.hold())
            }
            "machine_hang" => format!("hang count={count} for={for_s}"),
            "machine_die" => format!("die count={count}"),
            "machine_sick" => format!("sick count={count}"),
            "machine_slow" => format!("slow count={count}"),
            "spot_taken" => format!("take count={:.0}", self.share * machines),
            "capacity" => format!("capacity {}", count.clamp(0.0, 1.0)),
            "cloud_outage" => format!("cloud-down {for_s}"),
            other => return Err(ScenarioError::UnknownFault(other.to_string())),
        })
    }
}

/// Whether a line of a generated day belongs to its deployment or its work.
fn is_deployment_or_work(line: &str) -> bool {
    let is_work = line.contains(" stream ") && line.contains("class=");
    (!line.starts_with("at ") || is_work) && !line.starts_with("end ")
}

/// The day of a file in the format of the bench (`faults = [...]`, or a `[[day]]`), with the
/// deployment of the day that is generated from the seed and number.
///
/// # Errors
/// If the file cannot be parsed or names an unknown kind of fault.
pub fn from_toml(text: &str, seed: u64, number: u64, size: Size) -> Result<Day, ScenarioError> {
    let file: DayFile = toml::from_str(text)?;
    let base = generate(seed, number, size);
    let lines = base.text.lines().filter(|line| is_deployment_or_work(line));
    let mut lines: Vec<String> = lines.map(String::from).collect();
    let mut end_s = MIN_END_S;
    let days = file.day.into_iter().flat_map(|day| day.faults);
    for (index, fault) in file.faults.into_iter().chain(days).enumerate() {
        end_s = end_s.max(fault.at_s + fault.for_s + AFTER_FAULT_S);
        if fault.kind == "node_crash" {
            lines.push(format!("at {} start-all", fault.at_s + RESTART_S));
        }
        let action = fault.action(index, base.machines as f64)?;
        lines.push(format!("at {} {action}", fault.at_s));
    }
    lines.push(format!("end {end_s:.0}"));
    Ok(Day {
        text: lines.join("\n") + "\n",
        ..base
    })
}
