//! Why tasks of a job do not run. Each reason is a type with numbers; words and
//! JSON are two renderings of it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How many machines stand in the way in one manner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineTally {
    /// Of a fitting type and place, but with too little room.
    pub full: u32,
    /// Their next report has not come in time.
    pub silent: u32,
    /// They have not yet shown this holder's token.
    pub unsynced: u32,
    /// They refused a task lately.
    pub refusing: u32,
    /// About to be taken by the cloud.
    pub taken: u32,
    /// On their way back to the cloud.
    pub leaving: u32,
    pub drained: u32,
    pub sick: u32,
    pub slow: u32,
    /// Spot machines, which the job does not allow.
    pub spot: u32,
    /// Of another type than the job allows.
    pub other_shape: u32,
    /// In another zone than the job allows, or than its other tasks leave it.
    pub other_zone: u32,
}

/// A machine that is nearly enough.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateMachine {
    pub machine: String,
    pub lacks_cpus: f64,
    pub lacks_gpus: f64,
    pub lacks_memory_gb: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A freeze of its team or class.
    Frozen {
        target: String,
        since_s: f64,
        by: String,
    },
    /// Its own tasks failed on several machines: the next try waits.
    Failures {
        failures: u32,
        machines: u32,
        retry_s: f64,
    },
    /// The team's tasks use all it may.
    TeamLimit {
        team: String,
        resource: String,
        used: f64,
        wanted: f64,
        limit: f64,
    },
    /// No machine has room now.
    NoRoom {
        tally: MachineTally,
        near: Vec<CandidateMachine>,
    },
    /// Machines that would fit are on their way.
    Booting {
        #[serde(rename = "shape")]
        machine_type: String,
        zone: String,
        spot: bool,
        machines: u32,
        expected_s: f64,
    },
    /// A rental is being asked for.
    Renting {
        #[serde(rename = "shape")]
        machine_type: String,
        zone: String,
        spot: bool,
        machines: u32,
    },
    /// The cloud had none; it is asked again.
    MarketRefused {
        #[serde(rename = "shape")]
        machine_type: String,
        zone: String,
        spot: bool,
        again_s: f64,
    },
    /// Drained machines, types or zones that it could use otherwise.
    Drained {
        target: String,
        since_s: f64,
        by: String,
    },
    /// Other jobs get the next room.
    Behind {
        jobs: u32,
        tasks: u32,
        first: Vec<String>,
    },
    /// How far its wait has raised it, where waiting jobs rise. `rises_in_s` is
    /// not positive for one that has risen, and absent for one that never does;
    /// `kept` is the machine that is kept for its next task.
    #[serde(rename = "ageing")]
    PriorityAging {
        priority: f64,
        age_s: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rises_in_s: Option<f64>,
        /// Risen jobs that go before it.
        ahead: u32,
        lane_cpus: f64,
        held_cpus: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        kept: Option<String>,
    },
    /// Placed, but the machine still fetches the image.
    Fetching {
        tasks: u32,
        image: String,
        image_gb: f64,
        longest_s: f64,
    },
    /// Placed; the start goes out with the machine's next report.
    Starting { tasks: u32 },
    /// Placed where another task is about to end.
    Ahead { tasks: u32 },
    /// Placed by an earlier holder on machines that have not reported since.
    Inherited { tasks: u32, until_s: f64 },
    /// How the split shares it out; explains what is rented for it.
    Split {
        beta0: f64,
        beta: f64,
        owned: f64,
        spot: f64,
        ordinary: f64,
        /// Slack of the spot width; below 1 on-demand machines finish. Absent
        /// when no work is left.
        slack: Option<f64>,
        nu: Option<f64>,
        tail: f64,
    },
    /// The holder has not looked since the job came.
    Undecided,
}

impl Reason {
    /// Stable name, as in JSON.
    pub fn name(&self) -> &'static str {
        match self {
            Reason::Frozen { .. } => "frozen",
            Reason::Failures { .. } => "failures",
            Reason::TeamLimit { .. } => "team_limit",
            Reason::NoRoom { .. } => "no_room",
            Reason::Booting { .. } => "booting",
            Reason::Renting { .. } => "renting",
            Reason::MarketRefused { .. } => "market_refused",
            Reason::Drained { .. } => "drained",
            Reason::Behind { .. } => "behind",
            Reason::PriorityAging { .. } => "ageing",
            Reason::Fetching { .. } => "fetching",
            Reason::Starting { .. } => "starting",
            Reason::Ahead { .. } => "ahead",
            Reason::Inherited { .. } => "inherited",
            Reason::Split { .. } => "split",
            Reason::Undecided => "undecided",
        }
    }
}

fn kind(spot: bool) -> &'static str {
    if spot {
        "spot"
    } else {
        "ordinary"
    }
}

impl fmt::Display for MachineTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = [
            (self.full, "too full"),
            (self.silent, "silent"),
            (self.unsynced, "not yet ours"),
            (self.refusing, "refused a task just now"),
            (self.taken, "about to be taken"),
            (self.leaving, "on their way back"),
            (self.drained, "drained"),
            (self.sick, "failing"),
            (self.slow, "slow"),
            (self.spot, "spot, which the job does not allow"),
            (self.other_shape, "of a type the job does not allow"),
            (self.other_zone, "in a zone the job cannot use"),
        ];
        let said: Vec<String> = parts
            .iter()
            .filter(|(n, _)| *n > 0)
            .map(|(n, what)| format!("{n} {what}"))
            .collect();
        if said.is_empty() {
            f.write_str("there is no machine at all")
        } else {
            f.write_str(&said.join(", "))
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Frozen { target, since_s, by } => {
                write!(f, "{target} is frozen, for {since_s:.0} s")?;
                if !by.is_empty() {
                    write!(f, ", by {by}")?;
                }
                write!(f, ": `beamhinge thaw {target}` lifts it")
            }
            Reason::Failures { failures, machines, retry_s } => write!(
                f,
                "its tasks failed {failures} times in a row on {machines} machines; next try in {retry_s:.0} s"
            ),
            Reason::TeamLimit { team, resource, used, wanted, limit } => write!(
                f,
                "team {team} uses {used} of {limit} {resource}; one task more wants {wanted}"
            ),
            Reason::NoRoom { tally, near } => {
                write!(f, "no machine has room: {tally}")?;
                if let Some(n) = near.first() {
                    write!(f, "; nearest {}, which lacks", n.machine)?;
                    let lacks = [
                        (n.lacks_cpus, "CPUs"),
                        (n.lacks_gpus, "GPUs"),
                        (n.lacks_memory_gb, "GB"),
                    ];
                    let said: Vec<String> = lacks
                        .iter()
                        .filter(|(much, _)| *much > 0.0)
                        .map(|(much, what)| format!(" {much:.2} {what}"))
                        .collect();
                    f.write_str(&said.join(","))?;
                }
                Ok(())
            }
            Reason::Booting { machine_type, zone, spot, machines, expected_s } => write!(
                f,
                "{machines} {} {machine_type} boot in {zone}; the first is expected in {expected_s:.0} s",
                kind(*spot)
            ),
            Reason::Renting { machine_type, zone, spot, machines } => {
                write!(f, "{machines} {} {machine_type} are being rented in {zone}", kind(*spot))
            }
            Reason::MarketRefused { machine_type, zone, spot, again_s } => write!(
                f,
                "the cloud has no {} {machine_type} in {zone}; asked again in {again_s:.0} s",
                kind(*spot)
            ),
            Reason::Drained { target, since_s, by } => {
                write!(f, "{target} is drained, for {since_s:.0} s")?;
                if !by.is_empty() {
                    write!(f, ", by {by}")?;
                }
                write!(f, ": `beamhinge undrain {target}` lifts it")
            }
            Reason::Behind { jobs, tasks, first } => {
                write!(f, "behind {jobs} jobs with {tasks} waiting tasks: {}", first.join(", "))
            }
            Reason::PriorityAging { priority, age_s, rises_in_s, ahead, lane_cpus, held_cpus, kept } => {
                write!(f, "priority {priority:.1} after {age_s:.0} s")?;
                match rises_in_s {
                    Some(s) if *s > 0.0 => write!(f, "; it rises in {s:.0} s"),
                    Some(_) => write!(
                        f,
                        "; risen, behind {ahead} others, {held_cpus:.0} of {lane_cpus:.0} CPUs of the lane are held"
                    ),
                    None => write!(f, "; it does not rise"),
                }?;
                match kept {
                    Some(machine) => write!(f, "; {machine} is kept for it"),
                    None => Ok(()),
                }
            }
            Reason::Fetching { tasks, image, image_gb, longest_s } => write!(
                f,
                "{tasks} tasks wait for image {image} ({image_gb} GB), the longest for {longest_s:.0} s"
            ),
            Reason::Starting { tasks } => {
                write!(f, "{tasks} tasks are placed and start with their machine's next report")
            }
            Reason::Ahead { tasks } => {
                write!(f, "{tasks} tasks are placed where another is about to end")
            }
            Reason::Inherited { tasks, until_s } => write!(
                f,
                "{tasks} tasks may still be on machines that have not reported since the last takeover; given up in {until_s:.0} s"
            ),
            Reason::Split { beta0, beta, owned, spot, ordinary, slack, nu, tail } => {
                write!(
                    f,
                    "split: pair ({beta0}, {beta}), {owned:.0} owned, {spot:.0} spot, {ordinary:.0} on-demand"
                )?;
                if let Some(s) = slack {
                    write!(f, "; slack {s:.2}")?;
                }
                if let Some(n) = nu {
                    write!(f, ", ν {n:.0}")?;
                }
                write!(f, ", tail {tail:.0}")
            }
            Reason::Undecided => f.write_str("the holder has not looked at it yet"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reason_says_the_same_in_json_and_in_words() {
        let reason = Reason::TeamLimit {
            team: "one".into(),
            resource: "CPUs".into(),
            used: 30.0,
            wanted: 4.0,
            limit: 32.0,
        };
        let json = serde_json::to_value(&reason).expect("plain data");
        assert_eq!(json["reason"], reason.name());
        assert_eq!(json["limit"], 32.0);
        assert!(reason.to_string().contains("30 of 32 CPUs"));
        let back: Reason = serde_json::from_value(json).expect("its own form");
        assert_eq!(back, reason);
    }
}
