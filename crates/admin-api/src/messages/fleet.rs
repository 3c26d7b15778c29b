//! Machines, teams, controllers and the whole service in figures.

use serde::{Deserialize, Serialize};

/// One machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRow {
    /// Name of the machine.
    pub machine: String,
    /// Label of its type.
    #[serde(rename = "shape")]
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// It is not rented by the service.
    pub owned: bool,
    /// `starting`, `up`, `silent`, `draining`, `drained`, `leaving`, `taken`, `sick`, `slow`.
    pub state: String,
    /// Tasks on it.
    pub tasks: u32,
    /// CPUs it has.
    pub cpus: f64,
    /// CPUs that no task uses.
    pub free_cpus: f64,
    /// Memory that no task uses, GB.
    pub free_memory_gb: f64,
    /// Seconds since its last report; absent before the first.
    pub heard_s: Option<f64>,
    /// Seconds since it was rented, as far as known.
    pub age_s: Option<f64>,
}

/// A page of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines of the page.
    pub machines: Vec<MachineRow>,
    /// Given as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// What a team uses and may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Name of the team.
    pub team: String,
    /// CPUs that its tasks use.
    pub cpus_used: f64,
    /// CPUs that it is guaranteed; 0: none.
    pub cpus_guaranteed: f64,
    /// CPUs that it may use at most; 0: no limit.
    pub cpus_limit: f64,
    /// GPUs that its tasks use.
    pub gpus_used: f64,
    /// GPUs that it is guaranteed; 0: none.
    pub gpus_guaranteed: f64,
    /// GPUs that it may use at most; 0: no limit.
    pub gpus_limit: f64,
    /// Its open jobs.
    pub jobs_open: u32,
    /// Its tasks that wait.
    pub tasks_waiting: u32,
    /// Whether a freeze of the team is in force.
    pub frozen: bool,
}

/// One controller, as the one that answers knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Label of the controller.
    pub label: String,
    /// It is the controller that gave this answer.
    pub answering: bool,
    /// Whether it is the leader.
    #[serde(rename = "holder")]
    pub leader: bool,
    /// The leader's fencing token.
    pub token: Option<u64>,
    /// Seconds since its last exchange with the key-value store; absent when it was never
    /// heard.
    #[serde(rename = "ledger_age_s")]
    pub store_age_s: Option<f64>,
    /// Seconds since it was last heard by the controller that answers.
    pub heard_s: Option<f64>,
    /// Its replica of the jobs is complete: it could take over.
    pub ready: bool,
    /// Operators have drained it.
    pub drained: bool,
    /// Seconds since it last stalled as the leader: there was work, the key-value store
    /// answered, and nothing was committed.
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
    /// Weight with which it is drawn.
    pub weight: f64,
    /// Open jobs that drew it.
    pub jobs: u32,
}

/// The state of the capacity split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Splits {
    /// Time between two updates of the weights, seconds.
    pub update_s: f64,
    /// All pairs.
    pub pairs: Vec<PairRow>,
}

/// The whole service in figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Label of the leader.
    #[serde(rename = "holder")]
    pub leader: String,
    /// Its fencing token.
    pub token: u64,
    /// Open jobs.
    pub jobs_open: u32,
    /// Open jobs with a running task.
    pub jobs_running: u32,
    /// Running tasks.
    pub tasks_running: u32,
    /// Tasks that wait.
    pub tasks_waiting: u32,
    /// Age of the oldest open job with a task that waits, seconds.
    pub oldest_wait_s: f64,
    /// Machines that report.
    pub machines_up: u32,
    /// Machines that were rented and have not reported yet.
    pub machines_starting: u32,
    /// Machines whose report is overdue.
    pub machines_silent: u32,
    /// CPUs of the machines that report.
    pub cpus: f64,
    /// CPUs that tasks use.
    pub cpus_used: f64,
    /// All teams.
    pub teams: Vec<TeamRow>,
    /// Directives in force.
    pub directives: u32,
}
