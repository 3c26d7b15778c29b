//! Decisions of the leader.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A page of decisions, the newest last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decisions {
    /// Fencing token of the leader: serials begin anew with each.
    pub token: u64,
    /// The decisions of the page.
    pub decisions: Vec<Decision>,
    /// Decisions between the serial that was asked for and the first of the page that are no
    /// longer remembered.
    pub missed: u64,
}

/// One decision of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Grows by one with each decision of one leader.
    pub serial: u64,
    /// Time of day of the leader, milliseconds.
    pub at_ms: u64,
    /// What was decided.
    pub what: DecisionKind,
}

/// What was decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum DecisionKind {
    /// A task was placed on a machine.
    Placed {
        /// The task.
        task: String,
        /// The machine.
        machine: String,
        /// It starts once another task has ended there.
        ahead: bool,
    },
    /// A task was told to stop.
    Stopped {
        /// The task.
        task: String,
        /// The machine.
        machine: String,
        /// The reason.
        why: String,
    },
    /// A task ended.
    Ended {
        /// The task.
        task: String,
        /// The machine.
        machine: String,
        /// How it ended.
        why: String,
    },
    /// The cloud granted machines.
    Rented {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether they are spot machines.
        spot: bool,
        /// Machines that were asked for.
        asked: u32,
        /// Machines that were granted.
        got: u32,
    },
    /// The cloud had no machine.
    Refused {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether spot machines were asked for.
        spot: bool,
    },
    /// A machine was returned to the cloud.
    Returned {
        /// The machine.
        machine: String,
        /// The reason.
        why: String,
    },
    /// A machine was quarantined.
    #[serde(rename = "set_aside")]
    Quarantined {
        /// The machine.
        machine: String,
        /// The reason.
        why: String,
    },
    /// A job is done.
    Done {
        /// The job.
        job: String,
    },
    /// The leadership was acquired.
    #[serde(rename = "took")]
    LeadershipAcquired {
        /// The fencing token of the term.
        token: u64,
    },
}

/// The market of a machine, as operators are told it.
fn market_name(spot: bool) -> &'static str {
    if spot {
        "spot"
    } else {
        "ordinary"
    }
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecisionKind::Placed {
                task,
                machine,
                ahead,
            } => {
                write!(f, "{task} placed on {machine}")?;
                f.write_str(if *ahead { " ahead of an end" } else { "" })
            }
            DecisionKind::Stopped { task, machine, why } => {
                write!(f, "{task} stopped on {machine}: {why}")
            }
            DecisionKind::Ended { task, machine, why } => {
                write!(f, "{task} ended on {machine}: {why}")
            }
            DecisionKind::Rented {
                machine_type,
                zone,
                spot,
                asked,
                got,
            } => {
                let market = market_name(*spot);
                write!(
                    f,
                    "rented {got} of {asked} {market} {machine_type} in {zone}"
                )
            }
            DecisionKind::Refused {
                machine_type,
                zone,
                spot,
            } => {
                let market = market_name(*spot);
                write!(f, "no {market} {machine_type} to be had in {zone}")
            }
            DecisionKind::Returned { machine, why } => write!(f, "{machine} returned: {why}"),
            DecisionKind::Quarantined { machine, why } => {
                write!(f, "{machine} set aside: {why}")
            }
            DecisionKind::Done { job } => write!(f, "{job} is done"),
            DecisionKind::LeadershipAcquired { token } => {
                write!(f, "took the lead with token {token}")
            }
        }
    }
}
