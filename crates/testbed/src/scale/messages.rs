//! Messages between the processes of a scale run, one JSON document per line: the parent sends a
//! plan and then commands to a child's standard input, and the child sends records on its
//! standard output.

use super::workload::Workload;
pub(super) use beamhinge_emulator::worker::TaskTransition;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::{SystemTime, UNIX_EPOCH};

/// Wall-clock time, microseconds since the Unix epoch. All processes run on one computer and
/// share its clock.
pub(super) type WallUs = u64;

pub(super) fn wall_us() -> WallUs {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// The published limits of the key-value store (PROTOCOL, "Limits and errors").
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// The machine type and the machines available in each zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct MachinePlan {
    pub cpus: f64,
    pub memory_gb: f64,
    pub boot_s: f64,
    /// Zones of the machines that exist from the start, one entry per machine.
    pub owned: Vec<String>,
    /// Additional machines that can be rented in each zone.
    pub spare: u32,
}

/// Role of a child and its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RolePlan {
    State {
        /// One address for each controller, so that each can be partitioned separately.
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
        /// One address for each worker that may exist at the same time.
        addresses: Vec<SocketAddrV4>,
        report_s: f64,
        lease_s: f64,
        cancel_s: f64,
        workload: Workload,
        /// Whether tasks run as processes; otherwise they are simulated with timers.
        real: bool,
    },
    Users {
        controllers: Vec<SocketAddrV4>,
        workload: Workload,
        /// How long jobs are submitted, seconds.
        seconds: f64,
        seed: u64,
    },
}

/// Command to a running child.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// To workers: a machine is up, and its worker listens on the address at `address_index`.
    Boot {
        machine: u64,
        zone: String,
        spot: bool,
        cpus: f64,
        memory_gb: f64,
        #[serde(rename = "place")]
        address_index: usize,
    },
    /// To workers: a machine is removed with all its tasks.
    Remove { machine: u64 },
    /// To workers: a machine restarts.
    Reboot { machine: u64 },
    /// To workers: the machines of these zones and these controllers can't reach each other.
    CutZones {
        zones: Vec<String>,
        controllers: Vec<usize>,
        seconds: f64,
    },
    /// To the cloud: where a machine's worker listens.
    Endpoint { machine: u64, address: SocketAddrV4 },
    /// To the cloud: a machine has failed.
    Failed { machine: u64 },
    /// To the key-value store and the cloud: these controllers are partitioned from them.
    #[serde(rename = "HoldControllers")]
    PartitionControllers {
        controllers: Vec<usize>,
        seconds: f64,
    },
    /// To the key-value store: every response is delayed by `delay_s`.
    Slow { delay_s: f64, seconds: f64 },
    /// To the key-value store: it answers with status 503.
    Refuse { seconds: f64 },
    /// To users: submit no more jobs.
    StopSubmitting,
}

/// Number of messages of one kind and direction, and their bytes including headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Flow {
    pub messages: u64,
    pub bytes: u64,
}

/// Counts since the child started, by kind and direction as seen from the child: `report in`,
/// `report out` and so on.
pub(super) type Flows = BTreeMap<String, Flow>;

/// Event of a job as its user sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum UserEvent {
    Accepted,
    /// The user sent the cancellation.
    CancelSent,
    /// The user was told that the job is cancelled.
    Cancelled,
    Done,
    /// The response violates a rule of the protocol.
    #[serde(rename = "Broken")]
    RuleViolation(String),
}

/// Record sent by a child.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The child listens.
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
    /// A user's request has ended: its latency since it was due, milliseconds, and the HTTP status,
    /// or 0 if the user gave up.
    Answered { kind: String, ms: f64, status: u16 },
    /// From the key-value store: the leader changed.
    #[serde(rename = "Lead")]
    LeaderChanged { at: WallUs, label: Option<String> },
    /// From the cloud: a machine is up.
    Booted {
        machine: u64,
        zone: String,
        spot: bool,
    },
    /// From the cloud: a machine was released.
    #[serde(rename = "Gone")]
    Released { machine: u64 },
    /// Counts of a child, sent each second.
    Counts {
        flows: Flows,
        gauges: BTreeMap<String, f64>,
    },
    /// A controller violated the protocol of the key-value store or of the cloud.
    #[serde(rename = "Abused")]
    ProtocolViolation { what: String },
}
