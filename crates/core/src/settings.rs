//! The platform's settings file (TOML) and the operator's own (INI), checked
//! before anything starts: a value that cannot work is refused by name.

use crate::job::Urgency;
use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// A complete platform file to start from.
pub const SAMPLE: &str = include_str!("../sample.toml");

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Form(String, String),
    #[error("{field}: {problem}")]
    Value { field: String, problem: String },
}

fn bad(field: &str, problem: impl Into<String>) -> SettingsError {
    SettingsError::Value {
        field: field.into(),
        problem: problem.into(),
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub label: String,
    pub area: String,
    pub public_addr: SocketAddrV4,
    pub peer_bind: SocketAddrV4,
    #[serde(default)]
    pub members: Vec<Member>,
    pub external: ExternalServices,
    pub params: PlatformParameters,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub label: String,
    #[serde(default)]
    pub area: String,
    pub addr: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ExternalServices {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct PlatformParameters {
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub skew_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerTimings,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub machine_limits: MachineLimits,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: f64,
    #[serde(default)]
    pub share: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTimings {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MachineLimits {
    pub cpu_share: f64,
    pub ram_mb: f64,
    pub max_connections: usize,
}

/// What the operators may set beyond the platform's file.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// `[fleet] idle_s`: how long a rented machine may stand idle.
    pub idle_s: f64,
    /// `[split] update_s`: length of one update of the split.
    pub update_s: f64,
    /// `[split] seed`: seed of the learner's draws; 0 takes one from the system.
    pub seed: u64,
    /// `[blocks] lease_s`: how long a block of machines is leased for.
    pub block_lease_s: f64,
    /// `[operators]`: the address for operators; none without `listen`.
    pub listener: Option<AdminListener>,
    /// `[ageing]`: how waiting jobs rise.
    pub aging: PriorityAging,
    /// `[configuration] on`: whether operators change teams and quotas while the
    /// service runs. The same for all controllers.
    pub configuration: bool,
}

/// How waiting jobs rise; see `docs/ageing.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityAging {
    /// `on`: whether they rise at all.
    pub on: bool,
    /// `best_effort_s`, `standard_s`: how long jobs of these urgencies wait before
    /// they rise, seconds; 0: never.
    pub best_effort_s: f64,
    pub standard_s: f64,
    /// `ceiling`: the urgency that risen jobs go ahead of, and no higher one.
    pub ceiling: Urgency,
    /// `share`: part of the room that risen jobs hold at most while others wait.
    pub share: f64,
    /// `stops`: how often a task may be stopped for others ...
    pub stops: u32,
    /// `spared_s`: ... before it runs undisturbed for so long, seconds.
    pub spared_s: f64,
}

impl Default for PriorityAging {
    fn default() -> Self {
        PriorityAging {
            on: false,
            best_effort_s: 2_700.0,
            standard_s: 900.0,
            ceiling: Urgency::High,
            share: 0.05,
            stops: 3,
            spared_s: 600.0,
        }
    }
}

/// The operators' own address and what it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminListener {
    pub listen: SocketAddrV4,
    /// File with the keys; without it only loopback may be listened on.
    pub keys: Option<PathBuf>,
    /// Connections at once.
    pub max_connections: usize,
    /// Questions that may wait at once.
    pub max_pending: usize,
    /// Requests a second.
    pub rps: f64,
    /// How far a client's clock may be off, seconds.
    pub max_clock_skew_s: f64,
}

impl AdminListener {
    fn new(listen: SocketAddrV4) -> AdminListener {
        AdminListener {
            listen,
            keys: None,
            max_connections: 16,
            max_pending: 64,
            rps: 50.0,
            max_clock_skew_s: 30.0,
        }
    }
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            idle_s: 20.0,
            update_s: 15.0,
            seed: 0,
            block_lease_s: 60.0,
            listener: None,
            aging: PriorityAging::default(),
            configuration: false,
        }
    }
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
        Settings::parse(&name, &text)
    }

    pub fn parse(name: &str, text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|e| SettingsError::Form(name.into(), e.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let p = &self.params;
        let positive = [
            ("params.workers.report_s", p.workers.report_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.cloud.rps", p.cloud.rps),
            (
                "params.machine_limits.cpu_share",
                p.machine_limits.cpu_share,
            ),
            ("params.machine_limits.ram_mb", p.machine_limits.ram_mb),
        ];
        for (field, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err(bad(field, format!("{value} is not a positive number")));
            }
        }
        if self.label.is_empty() {
            return Err(bad("label", "is empty"));
        }
        if !p.cloud.list_lag_s.is_finite() || p.cloud.list_lag_s < 0.0 {
            return Err(bad("params.cloud.list_lag_s", "is negative or not finite"));
        }
        if !p.skew_ms.is_finite() || p.skew_ms < 0.0 {
            return Err(bad("params.skew_ms", "is negative or not finite"));
        }
        if p.state.txn_ops < 4 {
            return Err(bad(
                "params.state.txn_ops",
                "is below 4, the smallest that holds a placement",
            ));
        }
        if p.machine_limits.max_connections < 32 {
            return Err(bad("params.machine_limits.max_connections", "is below 32"));
        }
        if self.serving_deadline_s() < p.workers.report_s {
            return Err(bad(
                "params.workers.cancel_s",
                format!(
                    "{} leaves no room above lease_s {}: a holder out of touch could not keep a cancellation",
                    p.workers.cancel_s, p.workers.lease_s
                ),
            ));
        }
        for (i, team) in p.teams.iter().enumerate() {
            for (what, v) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !v.is_finite() || v < 0.0 {
                    return Err(bad(
                        &format!("params.teams[{i}].{what}"),
                        "is negative or not finite",
                    ));
                }
            }
        }
        if self.members.iter().any(|m| m.label == self.label) {
            return Err(bad(
                "members",
                format!("names this controller itself, {}", self.label),
            ));
        }
        Ok(())
    }

    /// H: how long a holder goes on answering workers without a successful
    /// exchange with the state service. H + lease_s + margin < cancel_s keeps
    /// a cancellation that the holder could not see within its time.
    pub fn serving_deadline_s(&self) -> f64 {
        let w = &self.params.workers;
        (w.cancel_s - w.lease_s) * 0.999 - self.margin_s()
    }

    /// Room for clock drift, late timers and answers on their way.
    pub fn margin_s(&self) -> f64 {
        4.0_f64.min((self.params.workers.cancel_s - self.params.workers.lease_s) * 0.2)
    }

    /// The tightest bound that an aim of this kind sets for a class.
    pub fn tightest_objective_s(&self, kind: &str, class: &str) -> Option<f64> {
        let aims = self.params.objectives.iter();
        aims.filter(|o| o.kind == kind && o.class == class && o.within_s > 0.0)
            .map(|o| o.within_s)
            .min_by(f64::total_cmp)
    }

    pub fn value_limit(&self) -> usize {
        // A tenth is kept free for the envelope around a value.
        (self.params.state.value_kb * 1024.0 * 0.9) as usize
    }

    pub fn team(&self, name: &str) -> Option<usize> {
        self.params.teams.iter().position(|t| t.name == name)
    }

    /// Time the state service may keep a leader's key without a renewal.
    pub fn leader_lease_s(&self) -> f64 {
        (self.params.workers.lease_s * 0.25).clamp(1.5, 6.0)
    }
}

fn yes_or_no(field: &str, value: &str) -> Result<bool, SettingsError> {
    match value.trim() {
        "yes" => Ok(true),
        "no" => Ok(false),
        other => Err(bad(field, format!("'{other}' is not yes or no"))),
    }
}

impl OperatorSettings {
    pub fn load(path: &Path) -> Result<OperatorSettings, SettingsError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
        OperatorSettings::parse(&name, &text)
    }

    pub fn parse(name: &str, text: &str) -> Result<OperatorSettings, SettingsError> {
        let ini = ini::Ini::load_from_str(text)
            .map_err(|e| SettingsError::Form(name.into(), e.to_string()))?;
        let mut op = OperatorSettings::default();
        let mut listener = AdminListener::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
        let mut listens = false;
        for (section, entries) in ini.iter() {
            for (key, value) in entries.iter() {
                let field = format!("[{}] {key}", section.unwrap_or(""));
                let range = |low: f64, high: f64| -> Result<f64, SettingsError> {
                    let v: f64 = value
                        .trim()
                        .parse()
                        .map_err(|_| bad(&field, format!("'{value}' is not a number")))?;
                    if !(low..=high).contains(&v) {
                        return Err(bad(&field, format!("{v} is not between {low} and {high}")));
                    }
                    Ok(v)
                };
                match (section.unwrap_or(""), key) {
                    ("fleet", "idle_s") => op.idle_s = range(1.0, 86_400.0)?,
                    ("split", "update_s") => op.update_s = range(1.0, 3_600.0)?,
                    ("blocks", "lease_s") => op.block_lease_s = range(5.0, 3_600.0)?,
                    ("split", "seed") => {
                        op.seed = value
                            .trim()
                            .parse()
                            .map_err(|_| bad(&field, format!("'{value}' is not a whole number")))?
                    }
                    ("operators", "listen") => {
                        listens = true;
                        listener.listen = value
                            .trim()
                            .parse()
                            .map_err(|_| bad(&field, format!("'{value}' is not IP:PORT")))?
                    }
                    ("operators", "keys") => listener.keys = Some(PathBuf::from(value.trim())),
                    ("operators", "connections") => {
                        listener.max_connections = range(1.0, 1_024.0)? as usize
                    }
                    ("operators", "waiting") => {
                        listener.max_pending = range(1.0, 4_096.0)? as usize
                    }
                    ("operators", "rps") => listener.rps = range(1.0, 10_000.0)?,
                    ("operators", "clock_s") => listener.max_clock_skew_s = range(1.0, 600.0)?,
                    ("ageing", "on") => op.aging.on = yes_or_no(&field, value)?,
                    ("configuration", "on") => op.configuration = yes_or_no(&field, value)?,
                    ("ageing", "best_effort_s") => op.aging.best_effort_s = range(0.0, 1e6)?,
                    ("ageing", "standard_s") => op.aging.standard_s = range(0.0, 1e6)?,
                    ("ageing", "ceiling") => {
                        op.aging.ceiling = match value.trim() {
                            "standard" => Urgency::Standard,
                            "high" => Urgency::High,
                            "critical" => Urgency::Critical,
                            other => {
                                let why = format!("'{other}' is not standard, high or critical");
                                return Err(bad(&field, why));
                            }
                        }
                    }
                    ("ageing", "share") => op.aging.share = range(0.001, 0.5)?,
                    ("ageing", "stops") => op.aging.stops = range(0.0, 1_000.0)? as u32,
                    ("ageing", "spared_s") => op.aging.spared_s = range(0.0, 1e6)?,
                    _ => return Err(bad(&field, "is not a known setting")),
                }
            }
        }
        // Whoever reaches an address that asks for no key may cancel any job.
        if listens && listener.keys.is_none() && !listener.listen.ip().is_loopback() {
            return Err(bad(
                "[operators] listen",
                format!(
                    "{} is not on loopback: set `keys` to a key file first",
                    listener.listen
                ),
            ));
        }
        op.listener = listens.then_some(listener);
        Ok(op)
    }
}

#[cfg(test)]
mod tests;
