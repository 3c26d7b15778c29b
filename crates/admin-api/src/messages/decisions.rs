//! The log of the leader's decisions.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A page of decisions, oldest first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decisions {
    /// Fencing token of the leader. Serial numbers restart in each term.
    pub token: u64,
    /// Decisions on this page.
    pub decisions: Vec<Decision>,
    /// Number of decisions after the requested serial number that are no longer retained.
    pub missed: u64,
}

/// One decision of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Serial number, which increases by one with each decision within a term.
    pub serial: u64,
    /// Wall-clock time of the leader, milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The decision itself.
    pub what: DecisionKind,
}

/// Kind of decision, with its details.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum DecisionKind {
    /// A task was placed on a machine.
    Placed {
        /// Name of the task.
        task: String,
        /// Name of the machine.
        machine: String,
        /// Whether the task starts only once another task on the machine has ended.
        ahead: bool,
    },
    /// A task was told to stop.
    Stopped {
        /// Name of the task.
        task: String,
        /// Name of the machine.
        machine: String,
        /// The reason.
        why: String,
    },
    /// A task ended.
    Ended {
        /// Name of the task.
        task: String,
        /// Name of the machine.
        machine: String,
        /// Outcome of the task.
        why: String,
    },
    /// The cloud granted machines.
    Rented {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// Zone of the machines.
        zone: String,
        /// Whether these are spot machines.
        spot: bool,
        /// Number of machines requested.
        asked: u32,
        /// Number of machines granted.
        got: u32,
    },
    /// The cloud had no machine available.
    Refused {
        /// Label of the machine type.
        #[serde(rename = "shape")]
        machine_type: String,
        /// Zone of the machines.
        zone: String,
        /// Whether spot machines were requested.
        spot: bool,
    },
    /// A machine was returned to the cloud.
    Returned {
        /// Name of the machine.
        machine: String,
        /// The reason.
        why: String,
    },
    /// A machine was quarantined.
    #[serde(rename = "set_aside")]
    Quarantined {
        /// Name of the machine.
        machine: String,
        /// The reason.
        why: String,
    },
    /// All tasks of a job completed.
    Done {
        /// ID of the job.
        job: String,
    },
    /// The controller acquired leadership.
    #[serde(rename = "took")]
    LeadershipAcquired {
        /// The fencing token of the term.
        token: u64,
    },
}

/// Returns the name of the market as shown to operators.
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
