//! Why tasks of a job do not run. Each reason is a type with numbers; text and JSON are two
//! renderings of it. The texts are shown to operators and are part of the interface.

use serde::{Deserialize, Serialize};
use std::fmt;

/// How many machines cannot take a task, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineTally {
    /// Of a fitting type and place, but with too little free capacity.
    pub full: u32,
    /// Their next report has not come in time.
    pub silent: u32,
    /// They have not yet reported this leader's fencing token.
    pub unsynced: u32,
    /// They refused a task lately.
    pub refusing: u32,
    /// About to be reclaimed by the cloud.
    pub taken: u32,
    /// Being returned to the cloud.
    pub leaving: u32,
    /// Drained by operators.
    pub drained: u32,
    /// Quarantined, since tasks failed there.
    #[serde(rename = "sick")]
    pub quarantined: u32,
    /// Slower than others of their type.
    pub slow: u32,
    /// Spot machines, which the job does not allow.
    pub spot: u32,
    /// Of another type than the job allows.
    #[serde(rename = "other_shape")]
    pub other_machine_type: u32,
    /// In another zone than the job allows, or than its other tasks leave it.
    pub other_zone: u32,
}

/// A machine with almost enough free capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateMachine {
    /// Name of the machine.
    pub machine: String,
    /// CPUs that it lacks.
    pub lacks_cpus: f64,
    /// GPUs that it lacks.
    pub lacks_gpus: f64,
    /// Memory that it lacks, GB.
    pub lacks_memory_gb: f64,
}

/// One reason why tasks of a job do not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// A freeze of its team or class.
    Frozen {
        /// What the directive is about.
        target: String,
        /// For how long it has been in force, seconds.
        since_s: f64,
        /// Name of the key that set it.
        by: String,
    },
    /// Its own tasks failed on several machines: the next try waits.
    Failures {
        /// Failures in a row.
        failures: u32,
        /// Machines on which they failed.
        machines: u32,
        /// Time until the next try, seconds.
        retry_s: f64,
    },
    /// The team's tasks use all that its quota allows.
    TeamLimit {
        /// The team.
        team: String,
        /// The resource whose limit is reached.
        resource: String,
        /// What its tasks use.
        used: f64,
        /// What one more task needs.
        wanted: f64,
        /// What the team may use at most.
        limit: f64,
    },
    /// No machine has enough free capacity now.
    NoRoom {
        /// Machines, by reason.
        tally: MachineTally,
        /// Machines with almost enough, the nearest first.
        near: Vec<CandidateMachine>,
    },
    /// Machines that would fit are starting.
    Booting {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether they are spot machines.
        spot: bool,
        /// Machines that are starting.
        machines: u32,
        /// Time until the first is expected, seconds.
        expected_s: f64,
    },
    /// Machines are being requested from the cloud.
    Renting {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether they are spot machines.
        spot: bool,
        /// Machines that are requested.
        machines: u32,
    },
    /// The cloud had none; it is asked again later.
    MarketRefused {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether they are spot machines.
        spot: bool,
        /// Time until the cloud is asked again, seconds.
        again_s: f64,
    },
    /// Machines, types or zones that it could use, if they were not drained.
    Drained {
        /// What the directive is about.
        target: String,
        /// For how long it has been in force, seconds.
        since_s: f64,
        /// Name of the key that set it.
        by: String,
    },
    /// Other jobs get the next free capacity.
    Behind {
        /// Jobs that go first.
        jobs: u32,
        /// Their waiting tasks.
        tasks: u32,
        /// The first of these jobs.
        first: Vec<String>,
    },
    /// How far its wait has raised its priority, where priority aging is enabled.
    #[serde(rename = "ageing")]
    PriorityAging {
        /// Its priority now.
        priority: f64,
        /// For how long it has waited, seconds.
        age_s: f64,
        /// Time until it is boosted, seconds: not positive for one that is, absent for one that never
        /// will be.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rises_in_s: Option<f64>,
        /// Risen jobs that go before it.
        /// Boosted jobs that go before it.
        ahead: u32,
        /// CPUs of the lane for boosted jobs.
        lane_cpus: f64,
        /// CPUs of the lane that are in use.
        held_cpus: f64,
        /// The machine that is reserved for its next task.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        kept: Option<String>,
    },
    /// Placed, and the machine still fetches the image.
    Fetching {
        /// Tasks.
        tasks: u32,
        /// The image.
        image: String,
        /// Size of the image, GB.
        image_gb: f64,
        /// For how long the first of them has waited, seconds.
        longest_s: f64,
    },
    /// Placed; the start goes out with the machine's next report.
    Starting {
        /// Tasks.
        tasks: u32,
    },
    /// Placed where another task is about to end.
    Ahead {
        /// Tasks.
        tasks: u32,
    },
    /// Placed by an earlier leader on machines that have not reported since.
    Inherited {
        /// Tasks.
        tasks: u32,
        /// Time until they are given up, seconds.
        until_s: f64,
    },
    /// How the capacity split divides it; explains which machines are rented for it.
    Split {
        /// Assumed availability of owned machines, of the pair that the job drew.
        beta0: f64,
        /// Assumed availability of spot machines, of the pair that the job drew.
        beta: f64,
        /// Tasks on owned machines.
        owned: f64,
        /// Tasks on spot machines.
        spot: f64,
        /// Tasks on on-demand machines.
        ordinary: f64,
        /// Slack of the spot width; below 1 on-demand machines finish. Absent
        /// when no work is left.
        slack: Option<f64>,
        /// Spot machines that are bid for; absent where the number is not finite.
        nu: Option<f64>,
        /// On-demand machines with which the last tasks finish.
        tail: f64,
    },
    /// The leader has not examined the job since it came.
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

/// The market of a machine, as operators are told it.
fn market_name(spot: bool) -> &'static str {
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
            (self.quarantined, "failing"),
            (self.slow, "slow"),
            (self.spot, "spot, which the job does not allow"),
            (self.other_machine_type, "of a type the job does not allow"),
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

impl fmt::Display for CandidateMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lacks = [
            (self.lacks_cpus, "CPUs"),
            (self.lacks_gpus, "GPUs"),
            (self.lacks_memory_gb, "GB"),
        ];
        let lacks: Vec<String> = lacks
            .iter()
            .filter(|(amount, _)| *amount > 0.0)
            .map(|(amount, unit)| format!(" {amount:.2} {unit}"))
            .collect();
        write!(f, "{}, which lacks{}", self.machine, lacks.join(","))
    }
}

/// A directive that is in force, and the command that lifts it.
fn write_directive(
    f: &mut fmt::Formatter<'_>,
    state: &str,
    target: &str,
    since_s: f64,
    by: &str,
    lift_command: &str,
) -> fmt::Result {
    write!(f, "{target} is {state}, for {since_s:.0} s")?;
    if !by.is_empty() {
        write!(f, ", by {by}")?;
    }
    write!(f, ": `beamhinge {lift_command} {target}` lifts it")
}

/// How far a job is from its priority boost, or that it has it.
fn write_boost(
    f: &mut fmt::Formatter<'_>,
    rises_in_s: Option<f64>,
    ahead: u32,
    lane_cpus: f64,
    held_cpus: f64,
) -> fmt::Result {
    match rises_in_s {
        Some(s) if s > 0.0 => write!(f, "; it rises in {s:.0} s"),
        Some(_) => write!(
            f,
            "; risen, behind {ahead} others, {held_cpus:.0} of {lane_cpus:.0} CPUs of the lane \
             are held"
        ),
        None => write!(f, "; it does not rise"),
    }
}

impl fmt::Display for Reason {
    #[expect(clippy::too_many_lines, reason = "one small arm for each reason")]
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Frozen {
                target,
                since_s,
                by,
            } => write_directive(f, "frozen", target, *since_s, by, "thaw"),
            Reason::Failures {
                failures,
                machines,
                retry_s,
            } => write!(
                f,
                "its tasks failed {failures} times in a row on {machines} machines; next try in \
                 {retry_s:.0} s"
            ),
            Reason::TeamLimit {
                team,
                resource,
                used,
                wanted,
                limit,
            } => write!(
                f,
                "team {team} uses {used} of {limit} {resource}; one task more wants {wanted}"
            ),
            Reason::NoRoom { tally, near } => {
                write!(f, "no machine has room: {tally}")?;
                match near.first() {
                    Some(nearest) => write!(f, "; nearest {nearest}"),
                    None => Ok(()),
                }
            }
            Reason::Booting {
                machine_type,
                zone,
                spot,
                machines,
                expected_s,
            } => write!(
                f,
                "{machines} {} {machine_type} boot in {zone}; the first is expected in \
                 {expected_s:.0} s",
                market_name(*spot)
            ),
            Reason::Renting {
                machine_type,
                zone,
                spot,
                machines,
            } => {
                let market = market_name(*spot);
                write!(
                    f,
                    "{machines} {market} {machine_type} are being rented in {zone}"
                )
            }
            Reason::MarketRefused {
                machine_type,
                zone,
                spot,
                again_s,
            } => write!(
                f,
                "the cloud has no {} {machine_type} in {zone}; asked again in {again_s:.0} s",
                market_name(*spot)
            ),
            Reason::Drained {
                target,
                since_s,
                by,
            } => write_directive(f, "drained", target, *since_s, by, "undrain"),
            Reason::Behind { jobs, tasks, first } => {
                let first = first.join(", ");
                write!(f, "behind {jobs} jobs with {tasks} waiting tasks: {first}")
            }
            Reason::PriorityAging {
                priority,
                age_s,
                rises_in_s,
                ahead,
                lane_cpus,
                held_cpus,
                kept,
            } => {
                write!(f, "priority {priority:.1} after {age_s:.0} s")?;
                write_boost(f, *rises_in_s, *ahead, *lane_cpus, *held_cpus)?;
                match kept {
                    Some(machine) => write!(f, "; {machine} is kept for it"),
                    None => Ok(()),
                }
            }
            Reason::Fetching {
                tasks,
                image,
                image_gb,
                longest_s,
            } => write!(
                f,
                "{tasks} tasks wait for image {image} ({image_gb} GB), the longest for \
                 {longest_s:.0} s"
            ),
            Reason::Starting { tasks } => write!(
                f,
                "{tasks} tasks are placed and start with their machine's next report"
            ),
            Reason::Ahead { tasks } => {
                write!(f, "{tasks} tasks are placed where another is about to end")
            }
            Reason::Inherited { tasks, until_s } => write!(
                f,
                "{tasks} tasks may still be on machines that have not reported since the last \
                 takeover; given up in {until_s:.0} s"
            ),
            Reason::Split {
                beta0,
                beta,
                owned,
                spot,
                ordinary,
                slack,
                nu,
                tail,
            } => {
                write!(
                    f,
                    "split: pair ({beta0}, {beta}), {owned:.0} owned, {spot:.0} spot, \
                     {ordinary:.0} on-demand"
                )?;
                if let Some(slack) = slack {
                    write!(f, "; slack {slack:.2}")?;
                }
                if let Some(nu) = nu {
                    write!(f, ", ν {nu:.0}")?;
                }
                write!(f, ", tail {tail:.0}")
            }
            Reason::Undecided => f.write_str("the holder has not looked at it yet"),
        }
    }
}

#[cfg(test)]
mod tests;
