//! The platform's settings file (TOML): this controller, its peers, the services it calls and
//! the limits that the platform sets.

use super::error::{read_file, SettingsError};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the cluster.
    pub label: String,
    /// Area that this controller stands in.
    pub area: String,
    /// Address for users and workers.
    pub public_addr: SocketAddrV4,
    /// Address for the frames of other controllers.
    pub peer_bind: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub members: Vec<Member>,
    /// The services that the controller calls.
    pub external: ExternalServices,
    /// Parameters that are the same for all controllers.
    pub params: PlatformParameters,
}

/// Another controller of the cluster.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    /// Its name.
    pub label: String,
    /// Area that it stands in.
    #[serde(default)]
    pub area: String,
    /// Address for frames.
    pub addr: SocketAddrV4,
}

/// The services that a controller calls.
#[derive(Clone, Debug, Deserialize)]
pub struct ExternalServices {
    /// The cloud's interface.
    pub cloud: SocketAddrV4,
    /// The key-value store.
    pub state: SocketAddrV4,
}

/// Parameters that are the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformParameters {
    /// Zones that machines stand in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the difference between two clocks, milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timings of the worker protocol.
    pub workers: WorkerTimings,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of the machine that the controller runs on.
    pub machine_limits: MachineLimits,
}

/// A team with its quota.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What is measured: `wait`, `finished` or `guarantee`.
    #[serde(default)]
    pub kind: String,
    /// Class of jobs that the objective is for.
    #[serde(default)]
    pub class: String,
    /// The bound, seconds.
    #[serde(default)]
    pub within_s: f64,
    /// Share of jobs that must keep the bound.
    #[serde(default)]
    pub share: f64,
}

/// Timings of the worker protocol, seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// How often a worker reports.
    pub report_s: f64,
    /// How long a worker keeps its tasks without an answer.
    pub lease_s: f64,
    /// Time within which a cancelled task must have ended.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Transactions that write, per second.
    pub write_rps: f64,
    /// Largest value, KB.
    pub value_kb: f64,
    /// Most operations of a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How old the cloud's list of machines may be, seconds.
    pub list_lag_s: f64,
}

/// Limits of the machine that the controller runs on.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineLimits {
    /// Share of one CPU.
    pub cpu_share: f64,
    /// Memory, MB.
    pub ram_mb: f64,
    /// Most open connections.
    pub max_connections: usize,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read or parsed, or if a value cannot work.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = read_file(path, &name)?;
        Settings::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the text cannot be parsed, or if a value cannot work.
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|source| SettingsError::Toml {
            file: name.into(),
            source: Box::new(source),
        })?;
        settings.validate()?;
        Ok(settings)
    }

    /// How long a leader goes on answering workers without a successful exchange with the store,
    /// seconds.
    ///
    /// This time plus `lease_s` plus the margin stays below `cancel_s`: a cancellation that the leader
    /// could not see is carried out in time all the same.
    pub fn serving_deadline_s(&self) -> f64 {
        let w = &self.params.workers;
        (w.cancel_s - w.lease_s) * 0.999 - self.margin_s()
    }

    /// Allowance for clock drift, late timers and answers in flight, seconds.
    pub fn margin_s(&self) -> f64 {
        4.0_f64.min((self.params.workers.cancel_s - self.params.workers.lease_s) * 0.2)
    }

    /// The tightest bound that an objective of this kind sets for a class, seconds.
    pub fn tightest_objective_s(&self, kind: &str, class: &str) -> Option<f64> {
        let aims = self.params.objectives.iter();
        aims.filter(|o| o.kind == kind && o.class == class && o.within_s > 0.0)
            .map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }

    /// Largest value that a controller stores, bytes.
    pub fn value_limit(&self) -> usize {
        // A tenth is kept free for the envelope around a value.
        (self.params.state.value_kb * 1024.0 * 0.9) as usize
    }

    /// Place of a team in the list of teams.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.params.teams.iter().position(|t| t.name == name)
    }

    /// Time for which the store keeps a leader's key without a renewal, seconds.
    pub fn leader_lease_s(&self) -> f64 {
        (self.params.workers.lease_s * 0.25).clamp(1.5, 6.0)
    }
}
