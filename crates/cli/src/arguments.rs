//! Command-line arguments: subcommands (verbs) and flags.
//!
//! Doc comments of fields and variants are the help texts. Their names are the flags and verbs that
//! scripts use.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "beamhinge",
    version,
    about = "Queries and operates a beamhinge cluster, or starts one on this machine",
    after_help = "Exit codes: 0 success, 1 other error, 2 usage error, 3 refused, 4 not found, \
5 no controller reached, 6 timed out, 7 key or clock not accepted, 8 the awaited job was cancelled.

Examples:
  beamhinge up                                    start a cluster on this machine
  beamhinge submit --team home --wait -- echo hi  run a first job
  beamhinge explain job-000412                    show why a job waits
  beamhinge drain machine n-000007 --within-s 300"
)]
pub(crate) struct Arguments {
    /// File with contexts (INI) [default: $XDG_CONFIG_HOME/beamhinge/config.ini]
    #[arg(long, global = true, env = "BEAMHINGE_CONFIG", value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// Name of the context to use
    #[arg(long, global = true, env = "BEAMHINGE_CONTEXT", value_name = "NAME")]
    pub(crate) context: Option<String>,
    /// Admin API addresses of the controllers, separated by commas; override those of the context
    #[arg(
        long,
        global = true,
        env = "BEAMHINGE_CONTROLLERS",
        value_name = "IP:PORT,..."
    )]
    pub(crate) controllers: Option<String>,
    /// File with the key that signs requests
    #[arg(long, global = true, env = "BEAMHINGE_KEY", value_name = "FILE")]
    pub(crate) key: Option<PathBuf>,
    /// Name of the key in the key file
    #[arg(long, global = true, env = "BEAMHINGE_KEY_NAME", value_name = "NAME")]
    pub(crate) key_name: Option<String>,
    /// Output format
    #[arg(long, short, global = true, value_enum, default_value = "table")]
    pub(crate) output: Output,
    /// Time limit of a call with all its retries, seconds
    #[arg(long, global = true, default_value_t = 30.0, value_name = "S")]
    pub(crate) timeout_s: f64,
    /// Do not report failed attempts and retries
    #[arg(long, short, global = true)]
    pub(crate) quiet: bool,
    #[command(subcommand)]
    pub(crate) verb: Verb,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    Table,
    Json,
}

#[derive(Subcommand)]
pub(crate) enum Verb {
    /// Start a cluster on this machine: controllers, key-value store, emulated cloud and workers
    #[command(after_help = "Examples:
  beamhinge up
  beamhinge up --nodes 1 --machines 8 --dir ./my-cluster")]
    Up(UpOptions),
    /// Submit a job
    #[command(after_help = "Examples:
  beamhinge submit --team home --tasks 20 --expect-s 5
  beamhinge submit --team home --wait -- sh -c 'date; hostname'
  beamhinge submit --file job.toml --wait

A file uses the names of the flags, with underscores, except job (--id), kind = \"standing\"
(--standing), shapes (a list), spot = false (--no-spot) and command (a shell command line):
  team = \"home\"
  tasks = 20
  cpus = 0.5
  command = \"make report\"")]
    Submit(Box<SubmitOptions>),
    /// List jobs
    #[command(after_help = "Examples:
  beamhinge jobs --state open --team records
  beamhinge jobs --urgency high --older-s 600 --output json")]
    Jobs(JobsOptions),
    /// Show a job, its tasks and the machines they run on
    #[command(after_help = "Example:\n  beamhinge job job-000412")]
    Job { job: String },
    /// Cancel jobs
    #[command(after_help = "Example:\n  beamhinge cancel job-000412 job-000413")]
    Cancel {
        #[arg(required = true)]
        jobs: Vec<String>,
    },
    /// Explain why a job does not run
    #[command(after_help = "Example:\n  beamhinge explain job-000412")]
    Explain { job: String },
    /// List machines with their tasks and free capacity
    #[command(after_help = "Example:\n  beamhinge machines --zone north")]
    Machines {
        #[arg(long)]
        shape: Option<String>,
        #[arg(long)]
        zone: Option<String>,
    },
    /// List teams with usage, guarantees and limits
    #[command(after_help = "Example:\n  beamhinge teams --output json")]
    Teams,
    /// List controllers, the leader, and when each was last heard from
    #[command(after_help = "Example:\n  beamhinge nodes")]
    Nodes,
    /// Show the learner's parameter pairs of the capacity split and their weights
    #[command(after_help = "Example:\n  beamhinge splits")]
    Splits,
    /// Take a machine, a machine type, a zone or a controller out of service
    #[command(
        after_help = "Running tasks may finish; with --within-s, tasks that still run are stopped \
early enough to save a checkpoint before that time has passed. An empty machine is returned to \
the cloud, or kept with --keep. A drained controller hands leadership over to another.

Examples:
  beamhinge drain machine n-000007 --within-s 300 --note 'disk errors'
  beamhinge drain zone north --keep
  beamhinge drain node a"
    )]
    Drain(DrainOptions),
    /// Put a drained target back into service
    #[command(after_help = "Example:\n  beamhinge undrain machine n-000007")]
    Undrain {
        #[arg(value_enum)]
        kind: DrainKind,
        name: String,
    },
    /// Stop starting new tasks of a team or class
    #[command(after_help = "Example:\n  beamhinge freeze team records --note 'audit until noon'")]
    Freeze {
        #[arg(value_enum)]
        kind: FreezeKind,
        name: String,
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Lift the freeze of a team or class
    #[command(after_help = "Example:\n  beamhinge thaw team records")]
    Thaw {
        #[arg(value_enum)]
        kind: FreezeKind,
        name: String,
    },
    /// Show teams and quotas in force, their version, and the controllers that do not use it yet
    #[command(after_help = "Example:\n  beamhinge quotas --output json")]
    Quotas,
    /// Change teams and quotas atomically
    #[command(
        after_help = "A file (TOML) names the version it is based on and the change of each team:
  seen = 7
  why = \"third quarter\"
  [teams.records.set]
  cpus = 100.0
  cpus_max = 400.0
  [teams.audit.add]
  cpus_max = 50.0
  [teams]
  old = \"remove\"      # or \"restore\": back to the settings

Examples:
  beamhinge set-quotas quarter.toml
  beamhinge set-quotas --restore-version 6 --seen 7 --why 'wrong file'"
    )]
    SetQuotas(SetQuotasOptions),
    /// List drains and freezes in force
    #[command(after_help = "Example:\n  beamhinge directives")]
    Directives,
    /// Print recent decisions of the leader
    #[command(after_help = "Example:\n  beamhinge events --follow")]
    Events {
        /// Keep printing new decisions until interrupted
        #[arg(long, short)]
        follow: bool,
    },
    /// Show a live overview of the cluster
    #[command(after_help = "Example:\n  beamhinge top --every-s 5")]
    Top {
        /// Refresh interval, seconds; limited to between 0.2 and 60
        #[arg(long, default_value_t = 1.0)]
        every_s: f64,
    },
    /// Print the metrics of one controller in the Prometheus text format
    #[command(after_help = "Example:\n  beamhinge metrics --controllers 127.0.0.1:7910")]
    Metrics,
    /// Generate a completion script for a shell
    #[command(
        after_help = "Example:\n  beamhinge completions bash > /etc/bash_completion.d/beamhinge"
    )]
    Completions {
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
    /// Show which controllers, key and configuration file are used
    #[command(after_help = "Example:\n  beamhinge config --context plant")]
    Config,
    #[command(hide = true)]
    Controller(beamhinge_daemon::Options),
    #[command(hide = true)]
    Task { line: String },
}

#[derive(Args)]
pub(crate) struct UpOptions {
    /// Number of controllers, from 1 to 3
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=3))]
    pub(crate) nodes: u8,
    /// Number of machines present from the start
    #[arg(long, default_value_t = 2)]
    pub(crate) machines: u16,
    /// Number of spot machines that can be rented in addition, rounded up to an even number; up
    /// to half as many on-demand machines can be rented too
    #[arg(long, default_value_t = 6)]
    pub(crate) rentable: u16,
    /// Directory for state, logs and task output; kept across restarts of the cluster
    #[arg(long, value_name = "DIR")]
    pub(crate) dir: Option<PathBuf>,
    /// First of the 100 loopback ports that the cluster uses
    #[arg(long, default_value_t = 7_900)]
    pub(crate) port: u16,
    /// Do not print decisions
    #[arg(long)]
    pub(crate) no_events: bool,
}

#[derive(Args)]
pub(crate) struct SubmitOptions {
    /// File that describes the job (TOML); flags override it
    #[arg(long, short, value_name = "FILE")]
    pub(crate) file: Option<PathBuf>,
    /// Job id, for example job-000412 [default: random]
    #[arg(long)]
    pub(crate) id: Option<String>,
    #[arg(long)]
    pub(crate) team: Option<String>,
    #[arg(long)]
    pub(crate) class: Option<String>,
    /// critical, high, standard or best_effort
    #[arg(long)]
    pub(crate) urgency: Option<String>,
    /// Submit a service: its tasks run until it is cancelled
    #[arg(long)]
    pub(crate) standing: bool,
    #[arg(long)]
    pub(crate) tasks: Option<u32>,
    /// CPUs per task
    #[arg(long)]
    pub(crate) cpus: Option<f64>,
    #[arg(long)]
    pub(crate) gpus: Option<f64>,
    #[arg(long)]
    pub(crate) memory_gb: Option<f64>,
    #[arg(long)]
    pub(crate) image: Option<String>,
    #[arg(long)]
    pub(crate) image_gb: Option<f64>,
    /// Allowed machine type; may be repeated
    #[arg(long = "shape")]
    pub(crate) shapes: Vec<String>,
    #[arg(long)]
    pub(crate) zone: Option<String>,
    /// Place all tasks in one zone
    #[arg(long)]
    pub(crate) one_zone: bool,
    /// Place at most half of the tasks, rounded up, in one zone
    #[arg(long)]
    pub(crate) spread: bool,
    /// Do not use spot machines
    #[arg(long)]
    pub(crate) no_spot: bool,
    /// Expected run time of a task, seconds; a task without a command sleeps this long
    #[arg(long)]
    pub(crate) expect_s: Option<f64>,
    /// Run time between checkpoints, seconds; 0 for no checkpoints
    #[arg(long)]
    pub(crate) checkpoint_s: Option<f64>,
    /// Time that a stopped task needs to save a checkpoint, seconds
    #[arg(long)]
    pub(crate) save_s: Option<f64>,
    /// Deadline of the job, seconds from now
    #[arg(long)]
    pub(crate) due_s: Option<f64>,
    /// Wait until the job ends, with progress on standard error
    #[arg(long, short)]
    pub(crate) wait: bool,
    /// Command that each task runs
    #[arg(last = true, value_name = "COMMAND")]
    pub(crate) command: Vec<String>,
}

#[derive(Args)]
pub(crate) struct JobsOptions {
    /// open, pending, running, done or cancelled; several are separated by commas
    #[arg(long, default_value = "")]
    pub(crate) state: String,
    #[arg(long, default_value = "")]
    pub(crate) team: String,
    #[arg(long, default_value = "")]
    pub(crate) class: String,
    #[arg(long, default_value = "")]
    pub(crate) urgency: String,
    /// Only jobs submitted at least this long ago, seconds
    #[arg(long)]
    pub(crate) older_s: Option<f64>,
    /// Only jobs submitted at most this long ago, seconds
    #[arg(long)]
    pub(crate) younger_s: Option<f64>,
    /// Continue the listing after this job
    #[arg(long, default_value = "")]
    pub(crate) after: String,
    /// Maximum number of rows
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: usize,
}

#[derive(Args)]
pub(crate) struct SetQuotasOptions {
    /// File with the change of each team (TOML)
    #[arg(value_name = "FILE", required_unless_present = "restore_version")]
    pub(crate) file: Option<PathBuf>,
    /// Restore the teams and quotas of this version
    #[arg(long, conflicts_with = "file", requires = "seen")]
    pub(crate) restore_version: Option<u64>,
    /// Version that the change is based on
    #[arg(long)]
    pub(crate) seen: Option<u64>,
    #[arg(long, default_value = "")]
    pub(crate) why: String,
}

#[derive(Args)]
pub(crate) struct DrainOptions {
    #[arg(value_enum)]
    pub(crate) kind: DrainKind,
    pub(crate) name: String,
    /// Seconds from now by which tasks that still run are stopped
    #[arg(long)]
    pub(crate) within_s: Option<f64>,
    /// Keep the machine when it is empty instead of returning it to the cloud
    #[arg(long)]
    pub(crate) keep: bool,
    /// Note shown in the list of directives
    #[arg(long, default_value = "")]
    pub(crate) note: String,
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum DrainKind {
    Machine,
    Shape,
    Zone,
    Node,
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum FreezeKind {
    Team,
    Class,
}
