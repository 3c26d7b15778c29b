//! The command line: verbs and flags.
//!
//! Doc comments of fields and variants are the help texts; names are the flags and verbs that
//! scripts use.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "beamhinge",
    version,
    about = "Asks a beamhinge cluster anything, and starts one on this machine",
    after_help = "Exit codes: 0 done, 1 other, 2 usage, 3 refused, 4 not found, 5 no controller \
reached, 6 timed out, 7 key or clock not accepted, 8 the awaited job was cancelled.

Examples:
  beamhinge up                                    a cluster on this machine
  beamhinge submit --team home --wait -- echo hi  a first job
  beamhinge explain job-000412                    why does it not run?
  beamhinge drain machine n-000007 --within-s 300"
)]
pub(crate) struct Arguments {
    /// Contexts (INI); else $XDG_CONFIG_HOME/beamhinge/config.ini
    #[arg(long, global = true, env = "BEAMHINGE_CONFIG", value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// Which context of the file
    #[arg(long, global = true, env = "BEAMHINGE_CONTEXT", value_name = "NAME")]
    pub(crate) context: Option<String>,
    /// Operators' addresses, separated by commas, instead of the context's
    #[arg(
        long,
        global = true,
        env = "BEAMHINGE_CONTROLLERS",
        value_name = "IP:PORT,..."
    )]
    pub(crate) controllers: Option<String>,
    /// Key file
    #[arg(long, global = true, env = "BEAMHINGE_KEY", value_name = "FILE")]
    pub(crate) key: Option<PathBuf>,
    /// Which key of the file
    #[arg(long, global = true, env = "BEAMHINGE_KEY_NAME", value_name = "NAME")]
    pub(crate) key_name: Option<String>,
    /// How answers look
    #[arg(long, short, global = true, value_enum, default_value = "table")]
    pub(crate) output: Output,
    /// How long to go on trying, seconds
    #[arg(long, global = true, default_value_t = 30.0, value_name = "S")]
    pub(crate) timeout_s: f64,
    /// Say nothing of what is tried again
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
    /// Start a cluster on this machine: controllers, state service, cloud, workers
    #[command(after_help = "Examples:
  beamhinge up
  beamhinge up --nodes 1 --machines 8 --dir ./my-cluster")]
    Up(UpOptions),
    /// Submit a job
    #[command(after_help = "Examples:
  beamhinge submit --team home --tasks 20 --expect-s 5
  beamhinge submit --team home --wait -- sh -c 'date; hostname'
  beamhinge submit --file job.toml --wait

A file holds the same names with underscores:
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
    /// One job, with its tasks and where they run
    #[command(after_help = "Example:\n  beamhinge job job-000412")]
    Job { job: String },
    /// Cancel jobs
    #[command(after_help = "Example:\n  beamhinge cancel job-000412 job-000413")]
    Cancel {
        #[arg(required = true)]
        jobs: Vec<String>,
    },
    /// Why a job does not run
    #[command(after_help = "Example:\n  beamhinge explain job-000412")]
    Explain { job: String },
    /// Machines, what is on them and what they have left
    #[command(after_help = "Example:\n  beamhinge machines --zone north")]
    Machines {
        #[arg(long)]
        shape: Option<String>,
        #[arg(long)]
        zone: Option<String>,
    },
    /// Teams with what they use, are guaranteed and may use at most
    #[command(after_help = "Example:\n  beamhinge teams --output json")]
    Teams,
    /// Controllers, who leads, and what they hear of each other
    #[command(after_help = "Example:\n  beamhinge nodes")]
    Nodes,
    /// The learner's pairs of the split and their weights
    #[command(after_help = "Example:\n  beamhinge splits")]
    Splits,
    /// Take a machine, a type, a zone or a controller out of service
    #[command(
        after_help = "Tasks that are there end; with --within-s they are told to save and stop \
before so many seconds are over. An empty machine is returned to the cloud, or kept with --keep. \
A drained controller hands its lead to another.

Examples:
  beamhinge drain machine n-000007 --within-s 300 --note 'disk errors'
  beamhinge drain zone north --keep
  beamhinge drain node a"
    )]
    Drain(DrainOptions),
    /// Put it back into service
    #[command(after_help = "Example:\n  beamhinge undrain machine n-000007")]
    Undrain {
        #[arg(value_enum)]
        kind: DrainKind,
        name: String,
    },
    /// Start nothing new of a team or class
    #[command(after_help = "Example:\n  beamhinge freeze team records --note 'audit until noon'")]
    Freeze {
        #[arg(value_enum)]
        kind: FreezeKind,
        name: String,
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Let it start again
    #[command(after_help = "Example:\n  beamhinge thaw team records")]
    Thaw {
        #[arg(value_enum)]
        kind: FreezeKind,
        name: String,
    },
    /// Teams and quotas as they count now, their version, and which controllers serve by it
    #[command(after_help = "Example:\n  beamhinge quotas --output json")]
    Quotas,
    /// Change teams and quotas, as one or not at all
    #[command(
        after_help = "A file (TOML) names the version that you saw and what becomes of each team:
  seen = 7
  why = \"third quarter\"
  [teams.records.set]
  cpus = 100.0
  cpus_max = 400.0
  [teams.audit.add]
  cpus_max = 50.0
  [teams]
  old = \"remove\"      # or \"restore\": as the settings say

Examples:
  beamhinge set-quotas quarter.toml
  beamhinge set-quotas --restore-version 6 --seen 7 --why 'wrong file'"
    )]
    SetQuotas(SetQuotasOptions),
    /// Drains and freezes that stand
    #[command(after_help = "Example:\n  beamhinge directives")]
    Directives,
    /// The holder's recent decisions
    #[command(after_help = "Example:\n  beamhinge events --follow")]
    Events {
        /// Go on until interrupted
        #[arg(long, short)]
        follow: bool,
    },
    /// A live screen of the whole
    #[command(after_help = "Example:\n  beamhinge top --every-s 5")]
    Top {
        /// Seconds between looks
        #[arg(long, default_value_t = 1.0)]
        every_s: f64,
    },
    /// The figures of one controller, in the Prometheus text format
    #[command(after_help = "Example:\n  beamhinge metrics --controllers 127.0.0.1:7910")]
    Metrics,
    /// A completion script for a shell
    #[command(
        after_help = "Example:\n  beamhinge completions bash > /etc/bash_completion.d/beamhinge"
    )]
    Completions {
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
    /// Which controllers and key are used, and where that is set
    #[command(after_help = "Example:\n  beamhinge config --context plant")]
    Config,
    #[command(hide = true)]
    Controller(beamhinge_daemon::Options),
    #[command(hide = true)]
    Task { line: String },
}

#[derive(Args)]
pub(crate) struct UpOptions {
    /// Controllers: 1 or 3
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=3))]
    pub(crate) nodes: u8,
    /// Machines that are there from the start
    #[arg(long, default_value_t = 2)]
    pub(crate) machines: u16,
    /// Machines that can be rented beside them
    #[arg(long, default_value_t = 6)]
    pub(crate) rentable: u16,
    /// Where state, logs and output are kept; survives an end and a new start
    #[arg(long, value_name = "DIR")]
    pub(crate) dir: Option<PathBuf>,
    /// First of a hundred ports on loopback
    #[arg(long, default_value_t = 7_900)]
    pub(crate) port: u16,
    /// Print no decisions
    #[arg(long)]
    pub(crate) no_events: bool,
}

#[derive(Args)]
pub(crate) struct SubmitOptions {
    /// A job as TOML; flags override it
    #[arg(long, short, value_name = "FILE")]
    pub(crate) file: Option<PathBuf>,
    /// Its id, of the form job-000412; drawn if absent
    #[arg(long)]
    pub(crate) id: Option<String>,
    #[arg(long)]
    pub(crate) team: Option<String>,
    #[arg(long)]
    pub(crate) class: Option<String>,
    /// critical, high, standard or best_effort
    #[arg(long)]
    pub(crate) urgency: Option<String>,
    /// A service: its tasks run until it is cancelled
    #[arg(long)]
    pub(crate) standing: bool,
    #[arg(long)]
    pub(crate) tasks: Option<u32>,
    /// Per task
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
    /// Allowed machine types; may be given several times
    #[arg(long = "shape")]
    pub(crate) shapes: Vec<String>,
    #[arg(long)]
    pub(crate) zone: Option<String>,
    /// All tasks in one zone
    #[arg(long)]
    pub(crate) one_zone: bool,
    /// At most half of the tasks in one zone
    #[arg(long)]
    pub(crate) spread: bool,
    /// No spot machines
    #[arg(long)]
    pub(crate) no_spot: bool,
    /// Expected run time of a task, seconds; also how long it sleeps without a command
    #[arg(long)]
    pub(crate) expect_s: Option<f64>,
    /// Seconds of progress between checkpoints; 0: it never saves
    #[arg(long)]
    pub(crate) checkpoint_s: Option<f64>,
    /// Seconds a task needs to save when it is stopped
    #[arg(long)]
    pub(crate) save_s: Option<f64>,
    /// When it should be done, seconds from now
    #[arg(long)]
    pub(crate) due_s: Option<f64>,
    /// Wait until it is over, with progress on standard error
    #[arg(long, short)]
    pub(crate) wait: bool,
    /// What each task runs
    #[arg(last = true, value_name = "COMMAND")]
    pub(crate) command: Vec<String>,
}

#[derive(Args)]
pub(crate) struct JobsOptions {
    /// open, pending, running, done, cancelled; several with commas
    #[arg(long, default_value = "")]
    pub(crate) state: String,
    #[arg(long, default_value = "")]
    pub(crate) team: String,
    #[arg(long, default_value = "")]
    pub(crate) class: String,
    #[arg(long, default_value = "")]
    pub(crate) urgency: String,
    /// Submitted at least so many seconds ago
    #[arg(long)]
    pub(crate) older_s: Option<f64>,
    /// Submitted at most so many seconds ago
    #[arg(long)]
    pub(crate) younger_s: Option<f64>,
    /// Go on behind this job
    #[arg(long, default_value = "")]
    pub(crate) after: String,
    /// Rows at most
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: usize,
}

#[derive(Args)]
pub(crate) struct SetQuotasOptions {
    /// What becomes of which teams
    #[arg(value_name = "FILE", required_unless_present = "restore_version")]
    pub(crate) file: Option<PathBuf>,
    /// Go back to what was in force at this version
    #[arg(long, conflicts_with = "file", requires = "seen")]
    pub(crate) restore_version: Option<u64>,
    /// The version that you saw
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
    /// Stop what has not ended by then
    #[arg(long)]
    pub(crate) within_s: Option<f64>,
    /// Keep the machine when it is empty
    #[arg(long)]
    pub(crate) keep: bool,
    /// For whoever reads the list
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
