//! The daemon as a library: what `beamhinged` runs, and what the client starts
//! for a newcomer's own cluster.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

use beamhinge_admin_api::auth::{Key, KeyError};
use beamhinge_controller::node::Node;
use beamhinge_core::settings::{OperatorSettings, Settings, SettingsError};
use beamhinge_transport::{EventLoop, EventLoopError, NetworkConfig};
use clap::{Args, ValueEnum};
use rand::Rng;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

#[derive(Args)]
pub struct Options {
    /// The platform's settings (TOML)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operator's own settings (INI)
    #[arg(long, value_name = "FILE.ini")]
    pub operator: Option<PathBuf>,
    /// Check the settings and end
    #[arg(long)]
    pub check: bool,
    /// How lines on standard error look
    #[arg(
        long,
        value_name = "FORM",
        value_enum,
        default_value = "text",
        env = "LOG_FORMAT"
    )]
    pub log_format: LogFormat,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// One line per event
    Text,
    /// One JSON object per event
    Json,
}

#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Keys(#[from] KeyError),
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Sends events to standard error; `LOG_LEVEL` is error, info or debug.
pub fn start_log(format: LogFormat) {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    // A second start in one process keeps the first.
    let _ = match format {
        LogFormat::Text => log.without_time().try_init(),
        LogFormat::Json => log.json().try_init(),
    };
}

/// Runs one controller until it is killed.
pub fn run(options: &Options) -> ExitCode {
    start_log(options.log_format);
    match serve(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn serve(options: &Options) -> Result<(), DaemonError> {
    let settings = Settings::load(&options.config)?;
    let operator = match options.operator.as_deref() {
        Some(path) => OperatorSettings::load(path)?,
        None => OperatorSettings::default(),
    };
    let listener = operator.listener.clone();
    let keys = match listener.as_ref().and_then(|d| d.keys.as_deref()) {
        Some(path) => Key::load_all(path)?,
        None => Vec::new(),
    };
    if options.check {
        println!("settings are sound");
        return Ok(());
    }
    tracing::info!("{} starts on {}", settings.label, settings.public_addr);
    if let Some(d) = &listener {
        tracing::info!("operators' address: {}", d.listen);
    }
    // Tells this process from an earlier one with the same label.
    let nonce = rand::thread_rng().gen_range(1..1u64 << 52);
    let wiring =
        NetworkConfig::controller(&settings, listener.map(|d| (d.listen, d.max_connections)));
    EventLoop::new(wiring, move |now| {
        Node::new(settings, operator, keys, nonce, now)
    })?
    .run()?;
    Ok(())
}
