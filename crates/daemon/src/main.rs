//! The daemon: one controller of a beamhinge cluster.

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
