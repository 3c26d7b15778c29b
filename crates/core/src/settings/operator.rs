//! The operators' own settings file (INI): what they may set beyond the platform's file.

use super::error::{read_file, InvalidValue, SettingsError};
use crate::job::Urgency;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// What the operators may set beyond the platform's file.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// `[fleet] idle_s`: how long a machine may be idle before it is given back, seconds.
    pub idle_s: f64,
    /// `[split] update_s`: length of one update of the split, seconds.
    pub update_s: f64,
    /// `[split] seed`: seed of the learner's draws; 0 takes one from the system.
    pub seed: u64,
    /// `[blocks] lease_s`: how long a block of machines is leased, seconds.
    pub block_lease_s: f64,
    /// `[operators]`: the listener of the admin API; none without `listen`.
    pub listener: Option<AdminListener>,
    /// `[ageing]`: how the priority of waiting jobs rises.
    pub aging: PriorityAging,
    /// `[configuration] on`: whether operators may change teams and quotas while the service runs.
    /// The same for all controllers.
    pub configuration: bool,
}

/// How the priority of waiting jobs rises; see `docs/priority-aging.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorityAging {
    /// `on`: whether it rises at all.
    pub on: bool,
    /// `best_effort_s`: how long best-effort jobs wait before they are boosted, seconds; 0 means never.
    pub best_effort_s: f64,
    /// `standard_s`: the same for standard jobs.
    pub standard_s: f64,
    /// `ceiling`: the urgency that boosted jobs go ahead of, and no higher one.
    pub ceiling: Urgency,
    /// `share`: share of the capacity that boosted jobs hold at most while others wait.
    pub share: f64,
    /// `stops`: how often a task may be preempted before it is protected.
    pub stops: u32,
    /// `spared_s`: how long a protected task runs undisturbed, seconds.
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
    /// File with the keys; without it only loopback may be listened on.
    pub keys: Option<PathBuf>,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most queries that may wait at once.
    pub max_pending: usize,
    /// Requests per second.
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

/// One entry of the file, as it is parsed.
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

    /// A number between `low` and `high`, both included.
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

    /// The urgency that boosted jobs may reach; best effort is none.
    fn ceiling(&self) -> Result<Urgency, SettingsError> {
        match self.value.trim() {
            "standard" => Ok(Urgency::Standard),
            "high" => Ok(Urgency::High),
            "critical" => Ok(Urgency::Critical),
            other => Err(self.invalid(InvalidValue::NotACeiling(other.into()))),
        }
    }
}

impl OperatorSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the file cannot be read or parsed, or if a value cannot work.
    pub fn load(path: &Path) -> Result<OperatorSettings, SettingsError> {
        let name = path.display().to_string();
        let text = read_file(path, &name)?;
        OperatorSettings::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file; `name` appears in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the text cannot be parsed, names an unknown setting, or if a value
    /// cannot work.
    pub fn parse(name: &str, text: &str) -> Result<OperatorSettings, SettingsError> {
        let ini = ini::Ini::load_from_str(text).map_err(|source| SettingsError::Ini {
            file: name.into(),
            source,
        })?;
        let mut settings = OperatorSettings::default();
        let mut listener = AdminListener::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0));
        let mut listens = false;
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
                        listens |= key == "listen";
                        listener.apply(&entry)?;
                    }
                    "ageing" => settings.aging.apply(&entry)?,
                    _ => settings.apply(&entry)?,
                }
            }
        }
        if listens {
            listener.validate()?;
        }
        settings.listener = listens.then_some(listener);
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

    /// Anybody who reaches an address that asks for no key may cancel any job: without keys only
    /// loopback is accepted.
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
