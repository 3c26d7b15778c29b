//! Experiments that run real processes or simulate days of cluster operation.
//!
//! The last line of standard output is one JSON object with `"ok"` and the results. The exit code
//! is 1 if a check fails.

mod admin_listener;
mod ageing;
mod configuration;
mod context;
mod days;
mod explain;
mod history;
mod list;
mod restart;
mod scale;

use beamhinge_emulator::ProtocolFaults;
use clap::{Parser, Subcommand, ValueEnum};
use serde_json::Value;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "beamhinge-testbed",
    version,
    about = "Experiments on real beamhinge processes on loopback",
    after_help = "Example:\n  beamhinge-testbed restart --seed 7 --quick"
)]
struct Arguments {
    #[command(subcommand)]
    experiment: Experiment,
    /// Seed of all random choices; the same seed gives the same plan
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Run a smaller version of the experiment
    #[arg(long, global = true)]
    quick: bool,
    /// Controller program, or `self` for this one; by default beamhinged in the same directory
    #[arg(long, global = true, value_name = "FILE")]
    controller: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Experiment {
    /// Kill and restart controllers under load; every job must keep one final state
    Restart {
        /// Inject a fault into an emulated component; the checks must detect it
        #[arg(long = "break", value_enum)]
        broken: Option<InjectedFault>,
    },
    /// Cause each reason why a job does not run, check that it is reported, then remove it
    Explain,
    /// Random days in simulated time, 100 to 3,000 machines: invariants, liveness, lost machines
    Days(days::Options),
    /// A night in simulated time: a flood of urgent jobs, and the jobs that wait behind them
    Ageing(ageing::Options),
    /// Time until quota changes are in force on all controllers, in simulated time
    Configuration(configuration::Options),
    /// Hostile, faulty and slow clients at the operators' listener
    #[command(name = "doors")]
    AdminListener,
    /// Paging through a long list of jobs on a small controller
    List {
        /// Use unfinished jobs, which wait because their teams are frozen
        #[arg(long)]
        open: bool,
    },
    /// The operators' cluster size on this computer: real controllers, thousands of workers with
    /// simulated tasks
    Scale(scale::Options),
    /// One process of a scale run
    #[command(hide = true)]
    Role,
    #[command(hide = true)]
    Controller(beamhinge_daemon::Options),
}

#[derive(Clone, Copy, ValueEnum)]
enum InjectedFault {
    /// Workers omit running tasks from their reports
    HideTasks,
    /// The key-value store loses jobs after a while
    ForgetJobs,
    /// Workers report tasks as done while they are still running
    EarlyDone,
}

/// Error that ends an experiment before its checks.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The cluster could not be started.
    #[error(transparent)]
    Cluster(#[from] beamhinge_dev_cluster::ClusterError),
    /// A request to a controller failed.
    #[error(transparent)]
    Client(#[from] beamhinge_client::ClientError),
    /// A file or socket operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A scenario could not be simulated.
    #[error(transparent)]
    Scenario(#[from] beamhinge_sim::scenario::ScenarioError),
    /// Any other error, as text.
    #[error("{0}")]
    Other(String),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Experiment::Controller(options) = &arguments.experiment {
        return beamhinge_daemon::run(options);
    }
    if let Experiment::Role = &arguments.experiment {
        return scale::role::run();
    }
    let context = context::TestContext {
        seed: arguments.seed,
        controller: context::controller_command(&arguments.controller),
    };
    let quick = arguments.quick;
    let result = match arguments.experiment {
        Experiment::Restart { broken } => {
            let mut protocol_faults = ProtocolFaults::default();
            match broken {
                Some(InjectedFault::HideTasks) => protocol_faults.hide_tasks = true,
                Some(InjectedFault::ForgetJobs) => protocol_faults.forgets_jobs = true,
                Some(InjectedFault::EarlyDone) => protocol_faults.early_done = true,
                None => {}
            }
            restart::run(&context, quick, protocol_faults)
        }
        Experiment::Explain => explain::run(&context),
        Experiment::Days(options) => days::run(arguments.seed, quick, &options),
        Experiment::Ageing(options) => ageing::run(arguments.seed, quick, &options),
        Experiment::Configuration(options) => configuration::run(arguments.seed, &options),
        Experiment::AdminListener => admin_listener::run(&context),
        Experiment::List { open } => list::run(&context, quick, open),
        Experiment::Scale(options) => scale::run(&context, quick, &options),
        Experiment::Role | Experiment::Controller(_) => return ExitCode::FAILURE,
    };
    let figures = result.unwrap_or_else(|e| {
        eprintln!("beamhinge-testbed: {e}");
        serde_json::json!({"ok": false, "error": e.to_string()})
    });
    println!("{figures}");
    match figures.get("ok") {
        Some(Value::Bool(true)) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
