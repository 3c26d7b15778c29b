//! Which controllers a client talks to, and as whom.
//!
//! An INI file holds named contexts; environment variables override it, flags
//! override both. Without any, the addresses are those of `beamhinge up`.

use beamhinge_admin_api::auth::{Key, KeyError};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Where the operators' doors of `beamhinge up` are.
pub const UP_PORTS: [u16; 3] = [7_910, 7_920, 7_930];

#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("cannot read {0}: {1}")]
    Read(PathBuf, std::io::Error),
    #[error("{0}: {1}")]
    Form(PathBuf, String),
    #[error("there is no context '{0}' in {1}; it has: {2}")]
    NoContext(String, PathBuf, String),
    #[error("'{0}' is not IP:PORT, the address of a controller's operators' interface")]
    Address(String),
    #[error(transparent)]
    Key(#[from] KeyError),
    #[error("{0} holds several keys: name one with key_name or --key-name ({1})")]
    WhichKey(PathBuf, String),
    #[error("{0} holds no key named '{1}'")]
    NoKey(PathBuf, String),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Context {
    pub name: String,
    pub controllers: Vec<SocketAddrV4>,
    pub key: Option<PathBuf>,
    pub key_name: Option<String>,
}

/// What flags or the environment say beside the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    pub file: Option<PathBuf>,
    pub context: Option<String>,
    pub controllers: Option<String>,
    pub key: Option<PathBuf>,
    pub key_name: Option<String>,
}

/// `$XDG_CONFIG_HOME/beamhinge/config.ini`, or under `~/.config`.
pub fn default_file() -> Option<PathBuf> {
    let base = std::env::var_os("XDG_CONFIG_HOME")
        .filter(|v| !v.is_empty())
        .map(PathBuf::from)
        .or_else(|| Some(PathBuf::from(std::env::var_os("HOME")?).join(".config")))?;
    Some(base.join("beamhinge").join("config.ini"))
}

fn addresses(text: &str) -> Result<Vec<SocketAddrV4>, ConfigError> {
    let words = text
        .split([',', ' '])
        .map(str::trim)
        .filter(|w| !w.is_empty());
    words
        .map(|w| w.parse().map_err(|_| ConfigError::Address(w.into())))
        .collect()
}

/// All contexts of a file, and the one it calls current.
pub fn parse(file: &Path, text: &str) -> Result<(Vec<Context>, Option<String>), ConfigError> {
    let form = |why: String| ConfigError::Form(file.to_path_buf(), why);
    let ini = ini::Ini::load_from_str(text).map_err(|e| form(e.to_string()))?;
    let (mut contexts, mut current) = (Vec::new(), None);
    for (section, entries) in ini.iter() {
        match section.map(|s| (s, s.strip_prefix("context "))) {
            None if entries.is_empty() => {}
            Some(("client", _)) => {
                for (key, value) in entries.iter() {
                    match key {
                        "current" => current = Some(value.trim().to_string()),
                        other => return Err(form(format!("[client] {other} is not known"))),
                    }
                }
            }
            Some((_, Some(name))) => {
                let mut context = Context {
                    name: name.trim().into(),
                    ..Context::default()
                };
                for (key, value) in entries.iter() {
                    match key {
                        "controllers" => context.controllers = addresses(value)?,
                        "key" => context.key = Some(PathBuf::from(value.trim())),
                        "key_name" => context.key_name = Some(value.trim().into()),
                        other => {
                            return Err(form(format!("[context {name}] {other} is not known")))
                        }
                    }
                }
                if context.controllers.is_empty() {
                    return Err(form(format!("[context {name}] names no controllers")));
                }
                contexts.push(context);
            }
            other => {
                let name = other.map_or("", |(s, _)| s);
                return Err(form(format!(
                    "[{name}] is neither [client] nor [context NAME]"
                )));
            }
        }
    }
    Ok((contexts, current))
}

/// The context to use: flags and environment over the file over the defaults.
pub fn choose(overrides: &Overrides) -> Result<Context, ConfigError> {
    let file = overrides.file.clone().or_else(default_file);
    let named = overrides.file.is_some();
    let (contexts, current) = match &file {
        Some(path) if named || path.exists() => {
            let text =
                std::fs::read_to_string(path).map_err(|e| ConfigError::Read(path.clone(), e))?;
            parse(path, &text)?
        }
        _ => (Vec::new(), None),
    };
    let wanted = overrides.context.clone().or(current);
    let mut context = match wanted {
        Some(name) => {
            let all: Vec<&str> = contexts.iter().map(|c| c.name.as_str()).collect();
            let all = all.join(", ");
            let found = contexts.iter().find(|c| c.name == name).cloned();
            found.ok_or_else(|| ConfigError::NoContext(name, file.unwrap_or_default(), all))?
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
        context.controllers = addresses(text)?;
        if context.controllers.is_empty() {
            return Err(ConfigError::Address(text.clone()));
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
    /// The key that signs, if the context names a key file.
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
                None => Err(ConfigError::NoKey(path.clone(), name.clone())),
            },
            None if keys.len() > 1 => Err(ConfigError::WhichKey(path.clone(), names)),
            None => Ok(keys.pop()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "[client]\ncurrent = plant\n\n[context plant]\ncontrollers = 127.0.0.1:1, 127.0.0.1:2\nkey = /k\n\n[context lab]\ncontrollers = 127.0.0.1:3\n";

    #[test]
    fn contexts_are_named_and_mistakes_are_too() {
        let (contexts, current) = parse(Path::new("f"), FILE).expect("sound");
        assert_eq!((contexts.len(), current.as_deref()), (2, Some("plant")));
        assert_eq!(contexts[0].controllers.len(), 2);
        for (bad, names) in [
            ("[context a]\ncontrollers = here\n", "here"),
            ("[context a]\n", "names no controllers"),
            ("[context a]\ncontrolers = 127.0.0.1:1\n", "controlers"),
            ("[contexts]\nx = 1\n", "contexts"),
        ] {
            let error = parse(Path::new("f"), bad).expect_err(bad).to_string();
            assert!(error.contains(names), "{error}");
        }
    }

    #[test]
    fn flags_go_before_the_file_and_the_file_before_the_defaults() {
        let dir = std::env::temp_dir().join(format!("beamhinge-config-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let file = dir.join("config.ini");
        std::fs::write(&file, FILE).expect("written");
        let with = |context: Option<&str>, controllers: Option<&str>| {
            choose(&Overrides {
                file: Some(file.clone()),
                context: context.map(str::to_string),
                controllers: controllers.map(str::to_string),
                ..Overrides::default()
            })
        };
        assert_eq!(with(None, None).expect("current").name, "plant");
        assert_eq!(
            with(Some("lab"), None).expect("named").controllers[0].port(),
            3
        );
        assert_eq!(
            with(None, Some("127.0.0.1:9")).expect("given").controllers[0].port(),
            9
        );
        let error = with(Some("mars"), None).expect_err("no such").to_string();
        assert!(error.contains("plant, lab"), "{error}");
        std::fs::remove_dir_all(&dir).expect("removed");
    }
}
