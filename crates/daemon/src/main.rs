//! The daemon: one controller of a beamhinge cluster.

use beamhinge_daemon::Options;
use clap::Parser;
use std::process::ExitCode;

/// One controller of a beamhinge cluster.
///
/// Logs go to standard error; LOG_LEVEL is error, info or debug.
#[derive(Parser)]
#[command(name = "beamhinged", version)]
struct Arguments {
    #[command(flatten)]
    options: Options,
}

fn main() -> ExitCode {
    beamhinge_daemon::run(&Arguments::parse().options)
}
