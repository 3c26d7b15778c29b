//! The platform's settings file (TOML): this controller, its peers, the services that it calls, and
//! the limits set by the platform.

use super::error::{read_file, SettingsError};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;

/// The platform's settings for one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the cluster.
    pub label: String,
    /// Area in which this controller is located.
    pub area: String,
    /// Address for users and workers.
    pub public_addr: SocketAddrV4,
    /// Address on which this controller accepts connections from its peers.
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
    /// Name of the peer.
    pub label: String,
    /// Area in which the peer is located.
    #[serde(default)]
    pub area: String,
    /// Address for frames to the peer.
    pub addr: SocketAddrV4,
}

/// The services that a controller calls.
#[derive(Clone, Debug, Deserialize)]
pub struct ExternalServices {
    /// Address of the cloud API.
    pub cloud: SocketAddrV4,
    /// Address of the key-value store.
    pub state: SocketAddrV4,
}

/// Parameters that are the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformParameters {
    /// Zones in which machines are located.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum skew between the clocks of two processes, milliseconds.
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
    /// Maximum CPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// The measured quantity: `wait`, `finished` or `guarantee`.
    #[serde(default)]
    pub kind: String,
    /// Job class to which the objective applies.
    #[serde(default)]
    pub class: String,
    /// The bound, seconds.
    #[serde(default)]
    pub within_s: f64,
    /// Share of jobs that must stay within the bound.
    #[serde(default)]
    pub share: f64,
}

/// Timings of the worker protocol, seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    /// Interval between reports of a worker.
    pub report_s: f64,
    /// Time for which a worker keeps its tasks running without an answer to its reports.
    pub lease_s: f64,
    /// Time within which a cancelled task must end.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Maximum request rate, requests per second.
    pub rps: f64,
    /// Maximum rate of writing transactions, per second.
    pub write_rps: f64,
    /// Maximum size of a value, KB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Maximum request rate, requests per second.
    pub rps: f64,
    /// Maximum staleness of the machine list that the cloud returns, seconds.
    pub list_lag_s: f64,
}

/// Limits of the machine that the controller runs on.
#[derive(Clone, Debug, Deserialize)]
pub struct MachineLimits {
    /// Maximum CPU use, as a share of one CPU.
    pub cpu_share: f64,
    /// Maximum memory use, MB.
    pub ram_mb: f64,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read or parsed, or contains an unusable value.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = read_file(path, &name)?;
        Settings::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the text cannot be parsed or contains an unusable value.
    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|source| SettingsError::Toml {
            file: name.into(),
            source: Box::new(source),
        })?;
        settings.validate()?;
        Ok(settings)
    }

    /// The serving deadline: time for which a leader continues to answer workers without a
    /// successful exchange with the key-value store, seconds.
    ///
    /// The serving deadline plus `lease_s` plus the margin is below `cancel_s`, so that a cancelled
    /// task ends in time even if the leader could not read the cancellation.
    pub fn serving_deadline_s(&self) -> f64 {
        let workers = &self.params.workers;
        (workers.cancel_s - workers.lease_s) * 0.999 - self.margin_s()
    }

    /// Safety margin for clock drift, late timers and answers in flight, seconds.
    pub fn margin_s(&self) -> f64 {
        4.0_f64.min((self.params.workers.cancel_s - self.params.workers.lease_s) * 0.2)
    }

    /// The tightest bound among the objectives of a kind for a job class, seconds; `None` if there
    /// is no such objective.
    pub fn tightest_objective_s(&self, kind: &str, class: &str) -> Option<f64> {
        let objectives = self.params.objectives.iter();
        objectives
            .filter(|o| o.kind == kind && o.class == class && o.within_s > 0.0)
            .map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }

    /// Maximum size of a value that a controller stores, bytes.
    pub fn value_limit(&self) -> usize {
        // A tenth of the limit is reserved for the envelope around the value.
        (self.params.state.value_kb * 1024.0 * 0.9) as usize
    }

    /// Index of a team in the list of teams; `None` if there is no team of this name.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.params.teams.iter().position(|t| t.name == name)
    }

    /// Duration of the leader's session lease: the key-value store removes the leader's key if the
    /// lease is not renewed for this time, seconds.
    pub fn leader_lease_s(&self) -> f64 {
        (self.params.workers.lease_s * 0.25).clamp(1.5, 6.0)
    }
}
