//! Messages about machines, teams, controllers, the capacity split and the cluster as a whole.

use serde::{Deserialize, Serialize};

/// One machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRow {
    /// Name of the machine.
    pub machine: String,
    /// Label of the machine type.
    #[serde(rename = "shape")]
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Whether it is an owned machine, which the scheduler does not rent.
    pub owned: bool,
    /// State: `starting`, `up`, `silent`, `deaf`, `draining`, `drained`, `leaving`, `taken`, `sick`
    /// or `slow`.
    pub state: String,
    /// Number of tasks on the machine.
    pub tasks: u32,
    /// CPUs of the machine.
    pub cpus: f64,
    /// Free CPUs.
    pub free_cpus: f64,
    /// Free memory, GB.
    pub free_memory_gb: f64,
    /// Time since its last report, seconds; `None` before the first report.
    pub heard_s: Option<f64>,
    /// Time since it was rented, seconds; `None` if unknown.
    pub age_s: Option<f64>,
}

/// A page of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// Machines on this page.
    pub machines: Vec<MachineRow>,
    /// Value of the `after` parameter for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Usage and quota of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Name of the team.
    pub team: String,
    /// CPUs used by its tasks.
    pub cpus_used: f64,
    /// Guaranteed CPUs; 0 means no guarantee.
    pub cpus_guaranteed: f64,
    /// Limit on used CPUs; 0 means no limit.
    pub cpus_limit: f64,
    /// GPUs used by its tasks.
    pub gpus_used: f64,
    /// Guaranteed GPUs; 0 means no guarantee.
    pub gpus_guaranteed: f64,
    /// Limit on used GPUs; 0 means no limit.
    pub gpus_limit: f64,
    /// Number of its open jobs.
    pub jobs_open: u32,
    /// Number of its waiting tasks.
    pub tasks_waiting: u32,
    /// Whether the team is frozen.
    pub frozen: bool,
}

/// One controller, as seen by the responding controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Label of the controller.
    pub label: String,
    /// Whether it is the responding controller.
    pub answering: bool,
    /// Whether it is the leader.
    #[serde(rename = "holder")]
    pub leader: bool,
    /// The leader's fencing token; `None` for other controllers or if unknown.
    pub token: Option<u64>,
    /// Time since its last successful request to the key-value store, seconds; `None` if unknown.
    #[serde(rename = "ledger_age_s")]
    pub store_age_s: Option<f64>,
    /// Time since the responding controller last received a heartbeat from it, seconds; `None` if
    /// it never did.
    pub heard_s: Option<f64>,
    /// Whether its replica of the jobs is complete, so that it can become the leader.
    pub ready: bool,
    /// Whether operators have drained it.
    pub drained: bool,
    /// Time since it last stalled as the leader, seconds: there was work and the key-value store
    /// responded, but nothing was committed. `None` if no stall is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stuck_ago_s: Option<f64>,
}

/// One pair of parameters of the capacity split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairRow {
    /// Assumed availability of owned machines.
    pub beta0: f64,
    /// Assumed availability of spot machines.
    pub beta: f64,
    /// Weight of the pair when one is drawn for a job.
    pub weight: f64,
    /// Number of open jobs that use the pair.
    pub jobs: u32,
}

/// The state of the capacity split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Splits {
    /// Time between two updates of the weights, seconds.
    pub update_s: f64,
    /// All parameter pairs.
    pub pairs: Vec<PairRow>,
}

/// Totals of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Label of the leader.
    #[serde(rename = "holder")]
    pub leader: String,
    /// Fencing token of the leader.
    pub token: u64,
    /// Number of open jobs.
    pub jobs_open: u32,
    /// Number of open jobs with a running task.
    pub jobs_running: u32,
    /// Number of running tasks.
    pub tasks_running: u32,
    /// Number of waiting tasks.
    pub tasks_waiting: u32,
    /// Age of the oldest open job with a waiting task, seconds.
    pub oldest_wait_s: f64,
    /// Number of reachable machines.
    pub machines_up: u32,
    /// Number of machines that were rented and have not reported yet.
    pub machines_starting: u32,
    /// Number of unreachable machines, whose next report is overdue.
    pub machines_silent: u32,
    /// Total CPUs of the reachable machines.
    pub cpus: f64,
    /// CPUs used by tasks.
    pub cpus_used: f64,
    /// Usage and quota of all teams.
    pub teams: Vec<TeamRow>,
    /// Number of directives in force.
    pub directives: u32,
}
