//! Client configuration: the controllers' addresses and the key that signs requests.
//!
//! An INI file defines named contexts. Environment variables override the file, and flags override
//! both. If none of them is set, the client uses the addresses of `beamhinge up`.

use beamhinge_admin_api::auth::{Key, KeyError};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Default ports of the admin API listeners that `beamhinge up` opens.
pub const UP_PORTS: [u16; 3] = [7_910, 7_920, 7_930];

/// Reason why the client configuration cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid INI.
    #[error("{file}: {source}")]
    Ini {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: ini::ParseError,
    },
    /// The file has an unknown entry, or a required entry is missing.
    #[error("{file}: {source}")]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The invalid entry.
        source: InvalidEntry,
    },
    /// The file has no context of this name.
    #[error("{file} has no context '{name}'; it has: {known}")]
    UnknownContext {
        /// The requested name.
        name: String,
        /// The file.
        file: PathBuf,
        /// Names of the contexts in the file, separated by commas.
        known: String,
    },
    /// The text is not an IPv4 address with a port.
    #[error("'{0}' is not the IP:PORT address of a controller's admin API")]
    InvalidAddress(String),
    /// The key file cannot be used.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The key file contains several keys and the context names none of them.
    #[error("{0} contains several keys ({1}); choose one with key_name or --key-name")]
    AmbiguousKey(PathBuf, String),
    /// The key file contains no key of this name.
    #[error("{0} contains no key named '{1}'")]
    KeyNotFound(PathBuf, String),
}

/// An invalid entry of the configuration file.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum InvalidEntry {
    /// An unknown key.
    #[error("[{section}] has the unknown key '{key}'")]
    UnknownKey {
        /// Section that contains the entry.
        section: String,
        /// Key of the entry.
        key: String,
    },
    /// An unknown section.
    #[error("[{0}] is neither [client] nor [context NAME]")]
    UnknownSection(String),
    /// A context that lists no controllers.
    #[error("[context {0}] names no controllers")]
    NoControllers(String),
}

/// A cluster, and the key for requests to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Context {
    /// Name of the context.
    pub name: String,
    /// Admin API addresses of the controllers.
    pub controllers: Vec<SocketAddrV4>,
    /// Key file; `None` if requests are not signed.
    pub key: Option<PathBuf>,
    /// Name of the key in the file; `None` if the file's only key is used.
    pub key_name: Option<String>,
}

/// Values from flags or the environment, which take precedence over the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Configuration file to read instead of [`default_file`].
    pub file: Option<PathBuf>,
    /// Name of the context to use.
    pub context: Option<String>,
    /// Addresses, separated by commas or spaces.
    pub controllers: Option<String>,
    /// Key file.
    pub key: Option<PathBuf>,
    /// Name of the key in the file.
    pub key_name: Option<String>,
}

/// Path of the default configuration file: `$XDG_CONFIG_HOME/beamhinge/config.ini`, or
/// `~/.config/beamhinge/config.ini` if that variable is unset or empty.
///
/// Returns `None` if `HOME` is not set either.
pub fn default_file() -> Option<PathBuf> {
    let base = std::env::var_os("XDG_CONFIG_HOME")
        .filter(|v| !v.is_empty())
        .map(PathBuf::from)
        .or_else(|| Some(PathBuf::from(std::env::var_os("HOME")?).join(".config")))?;
    Some(base.join("beamhinge").join("config.ini"))
}

/// Parses addresses separated by commas or spaces.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddrV4>, ConfigError> {
    let words = text
        .split([',', ' '])
        .map(str::trim)
        .filter(|w| !w.is_empty());
    words
        .map(|w| w.parse().map_err(|_| ConfigError::InvalidAddress(w.into())))
        .collect()
}

/// Parses all contexts of a file and the name of the current context, if the file sets one.
///
/// # Errors
///
/// Returns [`ConfigError`] if the text is not valid INI, or an entry is unknown or invalid.
pub fn parse(file: &Path, text: &str) -> Result<(Vec<Context>, Option<String>), ConfigError> {
    let invalid = |source: InvalidEntry| ConfigError::Invalid {
        file: file.to_path_buf(),
        source,
    };
    let ini = ini::Ini::load_from_str(text).map_err(|source| ConfigError::Ini {
        file: file.to_path_buf(),
        source,
    })?;
    let (mut contexts, mut current) = (Vec::new(), None);
    for (section, entries) in ini.iter() {
        let section = match section {
            None if entries.is_empty() => continue,
            None => return Err(invalid(InvalidEntry::UnknownSection(String::new()))),
            Some(section) => section,
        };
        if section == "client" {
            for (key, value) in entries.iter() {
                if key != "current" {
                    return Err(invalid(InvalidEntry::UnknownKey {
                        section: section.into(),
                        key: key.into(),
                    }));
                }
                current = Some(value.trim().to_string());
            }
        } else if let Some(name) = section.strip_prefix("context ") {
            contexts.push(parse_context(name, entries, invalid)?);
        } else {
            return Err(invalid(InvalidEntry::UnknownSection(section.into())));
        }
    }
    Ok((contexts, current))
}

fn parse_context(
    name: &str,
    entries: &ini::Properties,
    invalid: impl Fn(InvalidEntry) -> ConfigError,
) -> Result<Context, ConfigError> {
    let mut context = Context {
        name: name.trim().into(),
        ..Context::default()
    };
    for (key, value) in entries.iter() {
        match key {
            "controllers" => context.controllers = parse_addresses(value)?,
            "key" => context.key = Some(PathBuf::from(value.trim())),
            "key_name" => context.key_name = Some(value.trim().into()),
            other => {
                return Err(invalid(InvalidEntry::UnknownKey {
                    section: format!("context {name}"),
                    key: other.into(),
                }))
            }
        }
    }
    if context.controllers.is_empty() {
        return Err(invalid(InvalidEntry::NoControllers(name.into())));
    }
    Ok(context)
}

/// Selects the context to use. Flags and environment variables take precedence over the file, and
/// the file takes precedence over the defaults.
///
/// # Errors
///
/// Returns [`ConfigError`] if the file cannot be used or the context does not exist.
pub fn choose_context(overrides: &Overrides) -> Result<Context, ConfigError> {
    let file = overrides.file.clone().or_else(default_file);
    let is_explicit = overrides.file.is_some();
    let (contexts, current) = match &file {
        Some(path) if is_explicit || path.exists() => {
            let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
                file: path.clone(),
                source,
            })?;
            parse(path, &text)?
        }
        _ => (Vec::new(), None),
    };
    let requested = overrides.context.clone().or(current);
    let mut context = match requested {
        Some(name) => {
            let known: Vec<&str> = contexts.iter().map(|c| c.name.as_str()).collect();
            let known = known.join(", ");
            let found = contexts.iter().find(|c| c.name == name).cloned();
            found.ok_or_else(|| ConfigError::UnknownContext {
                name,
                file: file.unwrap_or_default(),
                known,
            })?
        }
        None => contexts.into_iter().next().unwrap_or_else(|| Context {
            name: "up".into(),
            controllers: UP_PORTS
                .iter()
                .map(|p| SocketAddrV4::new([127, 0, 0, 1].into(), *p))
                .collect(),
            ..Context::default()
        }),
    };
    if let Some(text) = &overrides.controllers {
        context.controllers = parse_addresses(text)?;
        if context.controllers.is_empty() {
            return Err(ConfigError::InvalidAddress(text.clone()));
        }
    }
    if overrides.key.is_some() {
        context.key.clone_from(&overrides.key);
    }
    if overrides.key_name.is_some() {
        context.key_name.clone_from(&overrides.key_name);
    }
    Ok(context)
}

impl Context {
    /// Loads the key that signs requests; `None` if the context names no key file.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] if the file cannot be read, or does not contain exactly one matching
    /// key.
    pub fn load_key(&self) -> Result<Option<Key>, ConfigError> {
        let Some(path) = &self.key else {
            return Ok(None);
        };
        let mut keys = Key::load_all(path)?;
        let names = keys
            .iter()
            .map(|k| k.name.clone())
            .collect::<Vec<_>>()
            .join(", ");
        match &self.key_name {
            Some(name) => match keys.into_iter().find(|k| k.name == *name) {
                Some(key) => Ok(Some(key)),
                None => Err(ConfigError::KeyNotFound(path.clone(), name.clone())),
            },
            None if keys.len() > 1 => Err(ConfigError::AmbiguousKey(path.clone(), names)),
            None => Ok(keys.pop()),
        }
    }
}

#[cfg(test)]
mod tests;
