//! Reasons why tasks of a job are waiting. Each reason is a typed value with figures, and is
//! rendered as text and as JSON. The texts are shown to operators and are part of the interface.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of machines that cannot run a task of the job, by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineTally {
    /// The machine type and zone are eligible, but the free capacity is too small.
    pub full: u32,
    /// Unreachable: the next report is overdue.
    pub silent: u32,
    /// They have not yet reported the current leader's fencing token, or do not respond.
    pub unsynced: u32,
    /// They refused a task recently.
    pub refusing: u32,
    /// The cloud is about to reclaim them.
    pub taken: u32,
    /// Being returned to the cloud.
    pub leaving: u32,
    /// Drained by operators.
    pub drained: u32,
    /// Quarantined because tasks failed on them.
    #[serde(rename = "sick")]
    pub quarantined: u32,
    /// Slower than other machines of the same type.
    pub slow: u32,
    /// Spot machines, which the job does not allow.
    pub spot: u32,
    /// Of a machine type that the job does not allow.
    #[serde(rename = "other_shape")]
    pub other_machine_type: u32,
    /// In a zone that the job does not allow, or that its zone rule excludes because of the tasks
    /// already placed.
    pub other_zone: u32,
}

/// A machine that lacks only some free capacity for a task of the job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateMachine {
    /// Name of the machine.
    pub machine: String,
    /// CPUs missing for one task.
    pub lacks_cpus: f64,
    /// GPUs missing for one task.
    pub lacks_gpus: f64,
    /// Memory missing for one task, GB.
    pub lacks_memory_gb: f64,
}

/// Why no machine of a market is rented for a pending job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RentalObstacle {
    /// As many machines as planned exist, boot or are requested.
    Covered,
    /// The job is planned for another machine type.
    #[serde(rename = "other_shape")]
    OtherMachineType,
    /// The missing machines are rented in another market.
    OtherMarket,
    /// The cloud's list of machines has not been read yet.
    InventoryUnknown,
}

impl fmt::Display for RentalObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RentalObstacle::Covered => "the planned number is there or on its way",
            RentalObstacle::OtherMachineType => "the job is planned for another type",
            RentalObstacle::OtherMarket => "the missing ones are rented elsewhere",
            RentalObstacle::InventoryUnknown => "the list of machines is not read yet",
        })
    }
}

/// One reason why tasks of a job are waiting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Reason {
    /// The job's team or class is frozen.
    Frozen {
        /// Target of the directive.
        target: String,
        /// Time since the directive was set, seconds.
        since_s: f64,
        /// Name of the key that set the directive.
        by: String,
    },
    /// Tasks of the job failed on several machines; the next attempt is delayed.
    Failures {
        /// Consecutive failures.
        failures: u32,
        /// Number of machines on which tasks of the job failed.
        machines: u32,
        /// Time until the next attempt, seconds.
        retry_s: f64,
    },
    /// One more task would exceed the team's quota.
    TeamLimit {
        /// Name of the team.
        team: String,
        /// Resource whose limit is reached.
        resource: String,
        /// Amount that the team's tasks use.
        used: f64,
        /// Amount that one more task needs.
        wanted: f64,
        /// The team's limit.
        limit: f64,
    },
    /// No eligible machine currently has enough free capacity.
    NoRoom {
        /// Number of machines by reason.
        tally: MachineTally,
        /// Machines that lack only free capacity, the one that lacks least first.
        near: Vec<CandidateMachine>,
    },
    /// Suitable machines are starting.
    Booting {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// Zone of the machines.
        zone: String,
        /// Whether these are spot machines.
        spot: bool,
        /// Number of machines that are starting.
        machines: u32,
        /// Expected time until the first machine is ready, seconds.
        expected_s: f64,
    },
    /// Machines are being requested from the cloud.
    Renting {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// Zone of the machines.
        zone: String,
        /// Whether these are spot machines.
        spot: bool,
        /// Number of machines requested.
        machines: u32,
    },
    /// The cloud has no machines of this type; the request is retried later.
    MarketRefused {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// Zone of the machines.
        zone: String,
        /// Whether these are spot machines.
        spot: bool,
        /// Time until the request is retried, seconds.
        again_s: f64,
    },
    /// No machine of this type is being requested in this zone, though the job could use it.
    NotRented {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// Zone of the machines.
        zone: String,
        /// Whether these are spot machines.
        spot: bool,
        /// Why none is requested.
        because: RentalObstacle,
        /// Number of such machines that the latest plan wants, in all zones.
        wanted: u32,
        /// Number of such machines that are present, booting or requested, in all zones.
        counted: u32,
        /// The part of `counted` in this zone.
        in_zone: u32,
    },
    /// Machines, machine types or zones that the job could use are drained.
    Drained {
        /// Target of the directive.
        target: String,
        /// Time since the directive was set, seconds.
        since_s: f64,
        /// Name of the key that set the directive.
        by: String,
    },
    /// Other jobs precede this one in the queue and get the next free capacity.
    Behind {
        /// Number of jobs ahead in the queue.
        jobs: u32,
        /// Number of waiting tasks of those jobs.
        tasks: u32,
        /// IDs of the first of those jobs.
        first: Vec<String>,
    },
    /// How far priority aging has raised the job's priority; reported only if aging is enabled.
    #[serde(rename = "ageing")]
    PriorityAging {
        /// Current priority of the job.
        priority: f64,
        /// Age of the job, seconds.
        age_s: f64,
        /// Time until the job is boosted, seconds; zero or negative if it is boosted already.
        /// `None`: the job is never boosted.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rises_in_s: Option<f64>,
        /// Number of boosted jobs ahead of it.
        ahead: u32,
        /// Width of the priority lane for boosted jobs, CPUs.
        lane_cpus: f64,
        /// CPUs of the priority lane that are in use.
        held_cpus: f64,
        /// Machine that is reserved for the job's next task; `None` without a reservation.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        kept: Option<String>,
    },
    /// The tasks are placed, and their machines are still fetching the image.
    Fetching {
        /// Number of tasks.
        tasks: u32,
        /// Name of the image.
        image: String,
        /// Size of the image, GB.
        image_gb: f64,
        /// Longest time that any of these tasks has been waiting for the image, seconds.
        longest_s: f64,
    },
    /// The tasks are placed and start with the next report of their machine.
    Starting {
        /// Number of tasks.
        tasks: u32,
    },
    /// The tasks are nominated for machines where other tasks are about to end.
    Ahead {
        /// Number of tasks.
        tasks: u32,
    },
    /// The tasks were placed by an earlier leader on machines that have not reported since.
    Inherited {
        /// Number of tasks.
        tasks: u32,
        /// Time until the tasks are presumed lost, seconds.
        until_s: f64,
    },
    /// Capacity split of the job, which determines the machines that are rented for it.
    Split {
        /// Assumed availability of owned machines, from the parameter pair drawn for the job.
        beta0: f64,
        /// Assumed availability of spot machines, from the parameter pair drawn for the job.
        beta: f64,
        /// Number of tasks on owned machines.
        owned: f64,
        /// Number of tasks on spot machines.
        spot: f64,
        /// Number of tasks on on-demand machines.
        ordinary: f64,
        /// Slackness of the work that is not on owned machines; below 1, on-demand machines
        /// complete the job. `None`: no work is left.
        slack: Option<f64>,
        /// Number of spot machines to bid for; `None` if the number is not finite.
        nu: Option<f64>,
        /// Number of on-demand machines on which the last tasks finish.
        tail: f64,
    },
    /// The leader has not examined the job yet.
    Undecided,
}

impl Reason {
    /// Returns the stable name of the reason, as in JSON.
    pub fn name(&self) -> &'static str {
        match self {
            Reason::Frozen { .. } => "frozen",
            Reason::Failures { .. } => "failures",
            Reason::TeamLimit { .. } => "team_limit",
            Reason::NoRoom { .. } => "no_room",
            Reason::Booting { .. } => "booting",
            Reason::Renting { .. } => "renting",
            Reason::MarketRefused { .. } => "market_refused",
            Reason::NotRented { .. } => "not_rented",
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

/// Returns the name of the market as shown to operators.
fn market_name(spot: bool) -> &'static str {
    if spot {
        "spot"
    } else {
        "ordinary"
    }
}

impl fmt::Display for MachineTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = [
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
        let descriptions: Vec<String> = counts
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, description)| format!("{count} {description}"))
            .collect();
        if descriptions.is_empty() {
            f.write_str("there is no machine at all")
        } else {
            f.write_str(&descriptions.join(", "))
        }
    }
}

impl fmt::Display for CandidateMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let amounts = [
            (self.lacks_cpus, "CPUs"),
            (self.lacks_gpus, "GPUs"),
            (self.lacks_memory_gb, "GB"),
        ];
        let missing: Vec<String> = amounts
            .iter()
            .filter(|(amount, _)| *amount > 0.0)
            .map(|(amount, unit)| format!(" {amount:.2} {unit}"))
            .collect();
        write!(f, "{}, which lacks{}", self.machine, missing.join(","))
    }
}

/// Writes a directive that is in force, and the command that lifts it.
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

/// Writes the time until the job's priority boost, or its position among the boosted jobs.
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
    #[expect(clippy::too_many_lines, reason = "one short arm for each reason")]
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
            Reason::NotRented {
                machine_type,
                zone,
                spot,
                because,
                wanted,
                counted,
                in_zone,
            } => write!(
                f,
                "no {} {machine_type} is rented in {zone}: {because} ({wanted} wanted, {counted} \
                 counted, {in_zone} of them in {zone})",
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
