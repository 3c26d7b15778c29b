//! The daemon as a library: what `beamhinged` runs, and what `beamhinge up` starts for a cluster on
//! one machine.
//!
//! It reads the settings and keys, opens the listeners and runs one controller. Nothing is decided
//! here.

use beamhinge_admin_api::auth::{Key, KeyError};
use beamhinge_controller::node::Node;
use beamhinge_core::settings::{OperatorSettings, Settings, SettingsError};
use beamhinge_transport::{EventLoop, EventLoopError, NetworkConfig};
use clap::{Args, ValueEnum};
use rand::Rng;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

// clap would print a doc comment of this struct in the help text of `beamhinge controller`.
#[allow(missing_docs)]
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

/// Form of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// One line per event
    Text,
    /// One JSON object per event
    Json,
}

/// Why a controller cannot start or go on.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The key file cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// A listener cannot be opened, or events cannot be waited for.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Sends log lines to standard error; the variable `LOG_LEVEL` is `error`, `info` or `debug`.
pub fn start_log(format: LogFormat) {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    // A second call in one process keeps the first configuration, which is no error.
    let _ = match format {
        LogFormat::Text => log.without_time().try_init(),
        LogFormat::Json => log.json().try_init(),
    };
}

/// Runs one controller until the process is killed; a failure to start is logged.
pub fn run(options: &Options) -> ExitCode {
    start_log(options.log_format);
    match serve(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!(error = %e, "cannot run controller");
            ExitCode::FAILURE
        }
    }
}

/// Loads settings and keys, then serves.
fn serve(options: &Options) -> Result<(), DaemonError> {
    let settings = Settings::load(&options.config)?;
    let operator = match options.operator.as_deref() {
        Some(path) => OperatorSettings::load(path)?,
        None => OperatorSettings::default(),
    };
    let listener = operator.listener.clone();
    let keys = match listener.as_ref().and_then(|admin| admin.keys.as_deref()) {
        Some(path) => Key::load_all(path)?,
        None => Vec::new(),
    };
    if options.check {
        println!("settings are sound");
        return Ok(());
    }
    tracing::info!(controller = %settings.label, address = %settings.public_addr, "starting controller");
    if let Some(admin) = &listener {
        tracing::info!(address = %admin.listen, "serving admin API");
    }
    // Distinguishes this process from earlier ones with the same label.
    let nonce = rand::thread_rng().gen_range(1..1u64 << 52);
    let wiring = NetworkConfig::controller(
        &settings,
        listener.map(|admin| (admin.listen, admin.max_connections)),
    );
    EventLoop::new(wiring, move |now| {
        Node::new(settings, operator, keys, nonce, now)
    })?
    .run()?;
    Ok(())
}
