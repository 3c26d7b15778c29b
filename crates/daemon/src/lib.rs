//! The controller daemon as a library. `beamhinged` runs it, and so does `beamhinge up` for a
//! cluster on one machine.
//!
//! It reads the settings and keys, opens the listeners and runs one controller. It makes no
//! scheduling decisions.

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
    /// File with the platform's settings (TOML)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// File with the operators' settings (INI)
    #[arg(long, value_name = "FILE.ini")]
    pub operator: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    pub check: bool,
    /// Format of log lines on standard error
    #[arg(
        long,
        value_name = "FORM",
        value_enum,
        default_value = "text",
        env = "LOG_FORMAT"
    )]
    pub log_format: LogFormat,
}

/// Format of log lines.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    /// One line per event
    Text,
    /// One JSON object per event
    Json,
}

/// Reason why a controller cannot start or continue to run.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The key file cannot be used.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// A listener cannot be opened, or waiting for events failed.
    #[error(transparent)]
    EventLoop(#[from] EventLoopError),
}

/// Initializes logging to standard error. The environment variable `LOG_LEVEL` is `error`, `info`
/// or `debug`; `info` is the default.
pub fn start_log(format: LogFormat) {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    // A second call in one process keeps the first configuration, which is not an error.
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
            tracing::error!(error = %e, "controller failed");
            ExitCode::FAILURE
        }
    }
}

/// Loads the settings and keys, then runs the controller.
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
    // Distinguishes this process from earlier processes with the same label.
    let nonce = rand::thread_rng().gen_range(1..1u64 << 52);
    let network = NetworkConfig::controller(
        &settings,
        listener.map(|admin| (admin.listen, admin.max_connections)),
    );
    EventLoop::new(network, move |now| {
        Node::new(settings, operator, keys, nonce, now)
    })?
    .run()?;
    Ok(())
}
