//! The operators' settings file (INI), which supplements the platform's file.

use super::error::{read_file, InvalidValue, SettingsError};
use crate::job::Urgency;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// Settings that operators control, in addition to the platform's file.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// `[fleet] idle_s`: idle time after which a machine is released, seconds.
    pub idle_s: f64,
    /// `[split] update_s`: interval between updates of the split between owned, spot and on-demand
    /// machines, seconds.
    pub update_s: f64,
    /// `[split] seed`: random seed of the learner that chooses the split; 0 means a seed from the
    /// operating system.
    pub seed: u64,
    /// `[blocks] lease_s`: duration of the lease on a block of machines, seconds.
    pub block_lease_s: f64,
    /// `[operators]`: the listener of the admin API; `None` if `listen` is not set.
    pub listener: Option<AdminListener>,
    /// `[ageing]`: priority aging of waiting jobs.
    pub aging: PriorityAging,
    /// `[configuration] on`: whether operators may change teams and quotas while the service runs.
    /// Must be the same for all controllers.
    pub configuration: bool,
}

/// Settings of priority aging for waiting jobs; see `docs/priority-aging.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityAging {
    /// `on`: whether priority aging is enabled.
    pub on: bool,
    /// `best_effort_s`: waiting time after which best-effort jobs are boosted, seconds; 0 means
    /// never.
    pub best_effort_s: f64,
    /// `standard_s`: waiting time after which standard jobs are boosted, seconds; 0 means never.
    pub standard_s: f64,
    /// `ceiling`: the highest urgency that boosted jobs take precedence over.
    pub ceiling: Urgency,
    /// `share`: maximum share of the capacity that boosted jobs may use while other jobs wait.
    pub share: f64,
    /// `stops`: number of preemptions after which a task is protected.
    pub stops: u32,
    /// `spared_s`: time for which a protected task runs without being preempted, seconds.
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

/// The listener of the admin API and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminListener {
    /// Address to listen on.
    pub listen: SocketAddrV4,
    /// Key file; `None` restricts the listener to loopback addresses.
    pub keys: Option<PathBuf>,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum number of pending queries.
    pub max_pending: usize,
    /// Maximum request rate, requests per second.
    pub rps: f64,
    /// Maximum clock skew of a client, seconds.
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

/// One `key = value` entry of the file with its section.
struct Entry<'a> {
    section: &'a str,
    key: &'a str,
    value: &'a str,
}

impl Entry<'_> {
    fn invalid(&self, problem: InvalidValue) -> SettingsError {
        SettingsError::invalid(&format!("[{}] {}", self.section, self.key), problem)
    }

    fn unknown(&self) -> SettingsError {
        self.invalid(InvalidValue::UnknownSetting)
    }

    /// Parses a number between `low` and `high`, both included.
    fn number(&self, low: f64, high: f64) -> Result<f64, SettingsError> {
        let value: f64 = self
            .value
            .trim()
            .parse()
            .map_err(|_| self.invalid(InvalidValue::NotANumber(self.value.into())))?;
        if !(low..=high).contains(&value) {
            return Err(self.invalid(InvalidValue::OutOfRange { value, low, high }));
        }
        Ok(value)
    }

    fn whole_number(&self) -> Result<u64, SettingsError> {
        let value = self.value.trim().parse();
        value.map_err(|_| self.invalid(InvalidValue::NotAWholeNumber(self.value.into())))
    }

    fn address(&self) -> Result<SocketAddrV4, SettingsError> {
        let value = self.value.trim().parse();
        value.map_err(|_| self.invalid(InvalidValue::NotAnAddress(self.value.into())))
    }

    fn yes_or_no(&self) -> Result<bool, SettingsError> {
        match self.value.trim() {
            "yes" => Ok(true),
            "no" => Ok(false),
            other => Err(self.invalid(InvalidValue::NotYesOrNo(other.into()))),
        }
    }

    /// Parses the urgency that limits boosted jobs. Best effort is rejected, since no lower class
    /// could be boosted.
    fn ceiling(&self) -> Result<Urgency, SettingsError> {
        match self.value.trim() {
            "standard" => Ok(Urgency::Standard),
            "high" => Ok(Urgency::High),
            "critical" => Ok(Urgency::Critical),
            other => Err(self.invalid(InvalidValue::NotAPriorityCeiling(other.into()))),
        }
    }
}

impl OperatorSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read or parsed, names an unknown setting, or
    /// contains an unusable value.
    pub fn load(path: &Path) -> Result<OperatorSettings, SettingsError> {
        let name = path.display().to_string();
        let text = read_file(path, &name)?;
        OperatorSettings::parse(&name, &text)
    }

    /// Parses and validates the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the text cannot be parsed, names an unknown setting, or contains an
    /// unusable value.
    pub fn parse(name: &str, text: &str) -> Result<OperatorSettings, SettingsError> {
        let ini = ini::Ini::load_from_str(text).map_err(|source| SettingsError::Ini {
            file: name.into(),
            source,
        })?;
        let mut settings = OperatorSettings::default();
        let mut listener = AdminListener::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
        let mut has_listener = false;
        for (section, entries) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in entries.iter() {
                let entry = Entry {
                    section,
                    key,
                    value,
                };
                match section {
                    "operators" => {
                        has_listener |= key == "listen";
                        listener.apply(&entry)?;
                    }
                    "ageing" => settings.aging.apply(&entry)?,
                    _ => settings.apply(&entry)?,
                }
            }
        }
        if has_listener {
            listener.validate()?;
        }
        settings.listener = has_listener.then_some(listener);
        Ok(settings)
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), SettingsError> {
        match (entry.section, entry.key) {
            ("fleet", "idle_s") => self.idle_s = entry.number(1.0, 86_400.0)?,
            ("split", "update_s") => self.update_s = entry.number(1.0, 3_600.0)?,
            ("split", "seed") => self.seed = entry.whole_number()?,
            ("blocks", "lease_s") => self.block_lease_s = entry.number(5.0, 3_600.0)?,
            ("configuration", "on") => self.configuration = entry.yes_or_no()?,
            _ => return Err(entry.unknown()),
        }
        Ok(())
    }
}

impl AdminListener {
    fn apply(&mut self, entry: &Entry) -> Result<(), SettingsError> {
        match entry.key {
            "listen" => self.listen = entry.address()?,
            "keys" => self.keys = Some(PathBuf::from(entry.value.trim())),
            "connections" => self.max_connections = entry.number(1.0, 1_024.0)? as usize,
            "waiting" => self.max_pending = entry.number(1.0, 4_096.0)? as usize,
            "rps" => self.rps = entry.number(1.0, 10_000.0)?,
            "clock_s" => self.max_clock_skew_s = entry.number(1.0, 600.0)?,
            _ => return Err(entry.unknown()),
        }
        Ok(())
    }

    /// Rejects an address other than loopback if no key file is set: without keys, anyone who can
    /// reach the address could cancel any job.
    fn validate(&self) -> Result<(), SettingsError> {
        if self.keys.is_none() && !self.listen.ip().is_loopback() {
            return Err(SettingsError::invalid(
                "[operators] listen",
                InvalidValue::PublicWithoutKeys(self.listen),
            ));
        }
        Ok(())
    }
}

impl PriorityAging {
    fn apply(&mut self, entry: &Entry) -> Result<(), SettingsError> {
        match entry.key {
            "on" => self.on = entry.yes_or_no()?,
            "best_effort_s" => self.best_effort_s = entry.number(0.0, 1e6)?,
            "standard_s" => self.standard_s = entry.number(0.0, 1e6)?,
            "ceiling" => self.ceiling = entry.ceiling()?,
            "share" => self.share = entry.number(0.001, 0.5)?,
            "stops" => self.stops = entry.number(0.0, 1_000.0)? as u32,
            "spared_s" => self.spared_s = entry.number(0.0, 1e6)?,
            _ => return Err(entry.unknown()),
        }
        Ok(())
    }
}
