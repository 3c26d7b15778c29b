//! `beamhinge`: asks a running cluster anything from a terminal, and starts one
//! for a newcomer.

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

mod arguments;
mod show;
mod up;
mod verbs;

use arguments::{Arguments, Verb};
use beamhinge_client::config::{self, ConfigError, Overrides};
use beamhinge_client::{Client, ClientError, Timeouts};
use clap::{CommandFactory, Parser};
use std::process::ExitCode;
use std::time::Duration;

/// Everything that ends a verb before its time, with its exit code.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{0}")]
    Usage(String),
    #[error("{0} was cancelled")]
    Cancelled(String),
    #[error(transparent)]
    Up(#[from] up::UpError),
    #[error("cannot write: {0}")]
    Output(#[from] std::io::Error),
}

impl Failure {
    /// Stable: scripts rest on them. `beamhinge --help` lists them.
    fn code(&self) -> u8 {
        match self {
            Failure::Usage(_) | Failure::Config(_) => 2,
            Failure::Client(e) => match e {
                ClientError::Refused { .. } => 3,
                ClientError::NotFound(_) => 4,
                ClientError::Unreachable { .. } => 5,
                ClientError::TimedOut { .. } => 6,
                ClientError::Denied(_) => 7,
                ClientError::InvalidResponse(_) => 1,
            },
            Failure::Cancelled(_) => 8,
            Failure::Up(_) | Failure::Output(_) => 1,
        }
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments) {
        Ok(code) => code,
        // Whoever reads us has had enough: nothing is wrong.
        Err(Failure::Output(e)) if e.kind() == std::io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("beamhinge: {e}");
            ExitCode::from(e.code())
        }
    }
}

fn run(arguments: Arguments) -> Result<ExitCode, Failure> {
    match arguments.verb {
        Verb::Up(options) => {
            up::run(&options)?;
            return Ok(ExitCode::SUCCESS);
        }
        // Both end with the process that started them.
        Verb::Controller(options) => {
            up::end_with_parent();
            return Ok(beamhinge_daemon::run(&options));
        }
        Verb::Task { line } => return Ok(up::keep_task(&line)),
        Verb::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "beamhinge", &mut std::io::stdout());
            return Ok(ExitCode::SUCCESS);
        }
        _ => {}
    }
    let overrides = Overrides {
        file: arguments.config.clone(),
        context: arguments.context.clone(),
        controllers: arguments.controllers.clone(),
        key: arguments.key.clone(),
        key_name: arguments.key_name.clone(),
    };
    let context = config::choose(&overrides)?;
    if let Verb::Config = arguments.verb {
        show::config(&overrides, &context, arguments.output)?;
        return Ok(ExitCode::SUCCESS);
    }
    let seconds = arguments.timeout_s;
    if !seconds.is_finite() || seconds <= 0.0 {
        return Err(Failure::Usage(format!(
            "--timeout-s {seconds} is not above 0"
        )));
    }
    let timeouts = Timeouts {
        total: Duration::from_secs_f64(seconds),
        per_attempt: Duration::from_secs_f64(seconds.min(5.0)),
    };
    let quiet = arguments.quiet;
    let mut client = Client::new(
        &context.controllers,
        context.load_key()?,
        timeouts,
        move |what| {
            if !quiet {
                eprintln!("beamhinge: {what}");
            }
        },
    );
    verbs::run(&mut client, arguments.verb, arguments.output)?;
    Ok(ExitCode::SUCCESS)
}
