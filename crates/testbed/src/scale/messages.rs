//! What the processes of a scale run tell each other, a JSON line each: the one that
//! runs it sends a plan and then commands to a child's standard input, and a child sends
//! records on its standard output.

use super::workload::Workload;
pub(super) use beamhinge_emulator::worker::TaskTransition;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds of the time of day: all processes are on one machine.
pub(super) type WallUs = u64;

pub(super) fn wall_us() -> WallUs {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// The published limits of the state service (PROTOCOL, "Limits and errors").
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// A kind of machine and where it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct MachinePlan {
    pub cpus: f64,
    pub memory_gb: f64,
    pub boot_s: f64,
    /// Machines that are there from the start, by their zone.
    pub owned: Vec<String>,
    /// Machines more that can be rented in each zone.
    pub spare: u32,
}

/// What a child is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RolePlan {
    State {
        /// An address for each controller, so that each can be cut off alone.
        addresses: Vec<SocketAddrV4>,
        limits: StateLimits,
    },
    Cloud {
        addresses: Vec<SocketAddrV4>,
        rps: f64,
        list_lag_s: f64,
        machines: MachinePlan,
        zones: Vec<String>,
        seed: u64,
    },
    Workers {
        controllers: Vec<SocketAddrV4>,
        /// One for each worker that may be there at once.
        addresses: Vec<SocketAddrV4>,
        report_s: f64,
        lease_s: f64,
        cancel_s: f64,
        workload: Workload,
        /// Tasks are processes; else they are timers.
        real: bool,
    },
    Users {
        controllers: Vec<SocketAddrV4>,
        workload: Workload,
        /// For how long jobs are submitted, seconds.
        seconds: f64,
        seed: u64,
    },
}

/// Sent to a child while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// To workers: a machine is up, and listens on the address at that place.
    Boot {
        machine: u64,
        zone: String,
        spot: bool,
        cpus: f64,
        memory_gb: f64,
        place: usize,
    },
    /// To workers: it is gone with all that is on it.
    Remove { machine: u64 },
    /// To workers: it is off and on again.
    Reboot { machine: u64 },
    /// To workers: machines of these zones neither reach these controllers nor hear them.
    CutZones {
        zones: Vec<String>,
        controllers: Vec<usize>,
        seconds: f64,
    },
    /// To the cloud: where a machine's worker listens.
    Endpoint { machine: u64, address: SocketAddrV4 },
    /// To the cloud: a machine stopped by itself.
    Failed { machine: u64 },
    /// To the state service and the cloud: requests of these controllers are held up.
    HoldControllers {
        controllers: Vec<usize>,
        seconds: f64,
    },
    /// To the state service: every answer takes so much longer.
    Slow { delay_s: f64, seconds: f64 },
    /// To the state service: it answers 503.
    Refuse { seconds: f64 },
    /// To users: no further job is submitted.
    StopSubmitting,
}

/// Messages of one kind and direction, and their bytes with heads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Flow {
    pub messages: u64,
    pub bytes: u64,
}

/// Counts since a child began, by kind: `report in`, `report out` and so on, seen from
/// the child.
pub(super) type Flows = BTreeMap<String, Flow>;

/// What a user was told or did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum UserEvent {
    Accepted,
    /// The user asks to cancel it.
    CancelSent,
    /// The user was told that it is cancelled.
    Cancelled,
    Done,
    /// The answer breaks a rule of the protocol.
    #[serde(rename = "Broken")]
    RuleViolation(String),
}

/// Sent by a child.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    /// It listens.
    Ready,
    Task {
        at: WallUs,
        machine: u64,
        #[serde(rename = "piece")]
        task_id: String,
        attempt: u64,
        event: TaskTransition,
    },
    User {
        at: WallUs,
        job: u64,
        event: UserEvent,
    },
    /// How long a request took from when it was due, milliseconds, and how it ended.
    Answered {
        kind: String,
        ms: f64,
        status: u16,
    },
    /// From the state service: who leads now.
    #[serde(rename = "Lead")]
    LeaderChanged {
        at: WallUs,
        label: Option<String>,
    },
    /// From the cloud: a machine is up, or gone.
    Booted {
        machine: u64,
        zone: String,
        spot: bool,
    },
    Gone {
        machine: u64,
    },
    /// Each second.
    Counts {
        flows: Flows,
        gauges: BTreeMap<String, f64>,
    },
    /// What a controller did that the protocol does not allow.
    #[serde(rename = "Abused")]
    ProtocolViolation {
        what: String,
    },
}
