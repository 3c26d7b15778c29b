//! Experiments on real processes, and days in simulated time. The last line is one JSON object with `"ok"`
//! and the figures; the exit code is 1 when a check fails.

mod ageing;
mod configuration;
mod context;
mod days;
mod doors;
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
    /// Of all draws; the same seed makes the same plan
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// A smaller one, for a first look
    #[arg(long, global = true)]
    quick: bool,
    /// The controller's program, or `self`; else beamhinged beside this one
    #[arg(long, global = true, value_name = "FILE")]
    controller: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Experiment {
    /// Controllers are killed and restarted under load; every job keeps one final answer
    Restart {
        /// Break a guard of a stand-in: the checks must find it
        #[arg(long = "break", value_enum)]
        broken: Option<ProtocolFault>,
    },
    /// Each reason why a job does not run is caused, told, and taken away
    Explain,
    /// Drawn days in simulated time, 100 to 3,000 machines: rules, liveness, what is given away
    Days(days::Options),
    /// A night in simulated time: a flood of urgent work, and what waits behind it
    Ageing(ageing::Options),
    /// How soon changes of quotas are in force everywhere, in simulated time
    Configuration(configuration::Options),
    /// Hostile, mistaken and slow clients at the operators' door
    Doors,
    /// A long list of jobs in a small controller
    List {
        /// None of them finished: each waits, frozen
        #[arg(long)]
        open: bool,
    },
    /// The operators' size on this machine: real controllers, hollow workers by the thousand
    Scale(scale::Options),
    /// One of the processes of a scale run
    #[command(hide = true)]
    Role,
    #[command(hide = true)]
    Controller(beamhinge_daemon::Options),
}

#[derive(Clone, Copy, ValueEnum)]
enum ProtocolFault {
    /// Workers leave running tasks out of their reports
    HideTasks,
    /// The state service forgets jobs after a while
    ForgetJobs,
    /// Workers report tasks done that still run
    EarlyDone,
}

/// What ends an experiment before its checks.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The cluster could not be started.
    #[error(transparent)]
    Cluster(#[from] beamhinge_dev_cluster::ClusterError),
    /// A controller did not answer as it should.
    #[error(transparent)]
    Client(#[from] beamhinge_client::ClientError),
    /// A file or a socket.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A scenario could not be played.
    #[error(transparent)]
    Scenario(#[from] beamhinge_sim::scenario::ScenarioError),
    /// Anything else, in words.
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
        controller: context::controller(&arguments.controller),
    };
    let quick = arguments.quick;
    let result = match arguments.experiment {
        Experiment::Restart { broken } => {
            let mut protocol_faults = ProtocolFaults::default();
            match broken {
                Some(ProtocolFault::HideTasks) => protocol_faults.hide_tasks = true,
                Some(ProtocolFault::ForgetJobs) => protocol_faults.forgets_jobs = true,
                Some(ProtocolFault::EarlyDone) => protocol_faults.early_done = true,
                None => {}
            }
            restart::run(&context, quick, protocol_faults)
        }
        Experiment::Explain => explain::run(&context),
        Experiment::Days(options) => days::run(arguments.seed, quick, &options),
        Experiment::Ageing(options) => ageing::run(arguments.seed, quick, &options),
        Experiment::Configuration(options) => configuration::run(arguments.seed, &options),
        Experiment::Doors => doors::run(&context),
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
