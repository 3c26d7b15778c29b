//! `beamhinge`: the command-line client of a cluster. It can also start a cluster on the local
//! machine.
//!
//! Scripts rely on the flags, the output and the exit codes; golden files in `tests` record them.

mod arguments;
mod show;
mod up;
mod verbs;

use arguments::{Arguments, Verb};
use beamhinge_client::config::{self, ConfigError, Context, Overrides};
use beamhinge_client::{Client, ClientError, Timeouts};
use clap::{CommandFactory, Parser};
use std::process::ExitCode;
use std::time::Duration;

/// Longest timeout of one attempt, seconds.
const MAX_ATTEMPT_S: f64 = 5.0;

/// Reason why a subcommand failed.
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
    #[error("cannot write output: {0}")]
    Output(#[from] std::io::Error),
}

impl Failure {
    /// The exit code. Scripts rely on the codes, which `beamhinge --help` lists.
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
        // The reader of the pipe has closed it, which is not an error.
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
        // Controllers and tasks of `up` terminate with the process that started them.
        Verb::Controller(options) => {
            up::end_with_parent();
            return Ok(beamhinge_daemon::run(&options));
        }
        Verb::Task { line } => return Ok(up::supervise_task(&line)),
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
    let context = config::choose_context(&overrides)?;
    if let Verb::Config = arguments.verb {
        show::config(&overrides, &context, arguments.output)?;
        return Ok(ExitCode::SUCCESS);
    }
    let mut client = make_client(&context, arguments.timeout_s, arguments.quiet)?;
    verbs::run(&mut client, arguments.verb, arguments.output)?;
    Ok(ExitCode::SUCCESS)
}

/// Creates a client of the context's controllers; it reports failed attempts unless `quiet`.
fn make_client(context: &Context, timeout_s: f64, quiet: bool) -> Result<Client, Failure> {
    if !timeout_s.is_finite() || timeout_s <= 0.0 {
        return Err(Failure::Usage(format!(
            "--timeout-s {timeout_s} is not a positive number"
        )));
    }
    let timeouts = Timeouts {
        total: Duration::from_secs_f64(timeout_s),
        per_attempt: Duration::from_secs_f64(timeout_s.min(MAX_ATTEMPT_S)),
    };
    let on_progress = move |line: &str| {
        if !quiet {
            eprintln!("beamhinge: {line}");
        }
    };
    let key = context.load_key()?;
    Ok(Client::new(
        &context.controllers,
        key,
        timeouts,
        on_progress,
    ))
}
