//! Jobs: submissions, lists, details and explanations.

use crate::reasons::Reason;
use beamhinge_core::job::{JobKind, JobSpec, Urgency};
use serde::{Deserialize, Serialize};
use std::fmt;

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Open, and none of its tasks runs.
    Pending,
    /// Open, and a task runs.
    Running,
    /// All of its tasks have ended well.
    Done,
    /// It was cancelled.
    Cancelled,
}

impl State {
    /// The state of this name.
    pub fn parse(text: &str) -> Option<State> {
        Some(match text {
            "pending" => State::Pending,
            "running" => State::Running,
            "done" => State::Done,
            "cancelled" => State::Cancelled,
            _ => return None,
        })
    }

    /// Whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, State::Done | State::Cancelled)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            State::Pending => "pending",
            State::Running => "running",
            State::Done => "done",
            State::Cancelled => "cancelled",
        })
    }
}

/// A job that is to be accepted. What is left out has its default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Id of the job, drawn by the client so that a retry names the same job.
    pub job: String,
    /// Team whose quota it counts against.
    pub team: String,
    /// Class, for freezes and statistics.
    #[serde(default = "default_class")]
    pub class: String,
    /// Whether its tasks end.
    #[serde(default = "default_kind")]
    pub kind: JobKind,
    /// Priority class.
    #[serde(default = "default_urgency")]
    pub urgency: Urgency,
    /// Number of tasks.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(default = "one")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, GB.
    #[serde(default = "quarter")]
    pub memory_gb: f64,
    /// Image that the tasks need.
    #[serde(default = "default_image")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(default)]
    pub image_gb: f64,
    /// Machine types that are allowed; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "shapes")]
    pub machine_types: Option<Vec<String>>,
    /// The zone to run in; absent: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks run in one zone.
    #[serde(default)]
    pub one_zone: bool,
    /// No two tasks run on one machine.
    #[serde(default)]
    pub spread: bool,
    /// Spot machines are allowed.
    #[serde(default = "yes")]
    pub spot: bool,
    /// Expected run time of a task, seconds.
    #[serde(default = "default_run")]
    pub expect_s: f64,
    /// Time between two checkpoints, seconds; 0: none.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Time that a checkpoint takes, seconds.
    #[serde(default)]
    pub save_s: f64,
    /// Deadline, seconds after the submission; absent: none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// What each task runs, where workers run command lines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub command: Option<String>,
}

fn default_class() -> String {
    "default".into()
}

fn default_kind() -> JobKind {
    JobKind::Batch
}

fn default_urgency() -> Urgency {
    Urgency::Standard
}

fn default_image() -> String {
    "none".into()
}

fn one_task() -> u32 {
    1
}

fn one() -> f64 {
    1.0
}

fn quarter() -> f64 {
    0.25
}

fn default_run() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

impl JobRequest {
    /// A job of one small task, with the defaults for all else.
    pub fn new(job: impl Into<String>, team: impl Into<String>) -> JobRequest {
        JobRequest {
            job: job.into(),
            team: team.into(),
            class: default_class(),
            kind: default_kind(),
            urgency: default_urgency(),
            tasks: one_task(),
            cpus: one(),
            gpus: 0.0,
            memory_gb: quarter(),
            image: default_image(),
            image_gb: 0.0,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: yes(),
            expect_s: default_run(),
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            command: None,
        }
    }

    /// The specification of the job, submitted at this time of day (milliseconds).
    pub fn spec(self, submitted: u64) -> JobSpec {
        JobSpec {
            class: self.class.into(),
            team: self.team.into(),
            kind: self.kind,
            urgency: self.urgency,
            tasks: self.tasks,
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
            image: self.image.into(),
            image_gb: self.image_gb,
            machine_types: self.machine_types,
            zone: self.zone,
            single_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            expected_run_s: self.expect_s,
            checkpoint_interval_s: self.checkpoint_s,
            checkpoint_duration_s: self.save_s,
            due_s: self.due_s,
            submitted,
            command: self.command.map(String::into_boxed_str),
        }
    }
}

/// The answer to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResponse {
    /// The job.
    pub job: String,
    /// Its state now.
    pub state: State,
}

/// Which jobs a list holds: all given conditions must hold. Jobs that ended under an earlier
/// version kept neither team, class, urgency nor age: a list that asks for one of these leaves
/// them out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobFilter {
    /// States; empty: any.
    pub states: Vec<State>,
    /// Name of the team.
    pub team: Option<String>,
    /// Name of the class.
    pub class: Option<String>,
    /// Priority class.
    pub urgency: Option<Urgency>,
    /// Least age, seconds.
    pub older_s: Option<f64>,
    /// Greatest age, seconds.
    pub younger_s: Option<f64>,
    /// The last job of the page before.
    pub after: Option<String>,
    /// Rows of the page.
    pub limit: usize,
}

/// One job of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job.
    pub job: String,
    /// Its state.
    pub state: State,
    /// Number of its tasks.
    pub tasks: u32,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
    /// Its team.
    pub team: Option<String>,
    /// Its class.
    pub class: Option<String>,
    /// Its priority class.
    pub urgency: Option<Urgency>,
    /// Seconds since its submission was first read, by this controller's time of day.
    pub age_s: Option<f64>,
}

/// A page of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobPage {
    /// The jobs of the page.
    pub jobs: Vec<JobRow>,
    /// Given as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Where one task is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRow {
    /// The task.
    pub task: String,
    /// Its machine.
    pub machine: String,
    /// `planned`, `committed`, `sent`, `fetching`, `running`, `saving`, `inherited`.
    pub state: String,
    /// Seconds since it was seen running; absent before, or when it started under an earlier
    /// leader.
    pub running_s: Option<f64>,
    /// It has been told to stop.
    pub stopping: bool,
}

/// What only the leader knows of an open job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobPlacement {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Its tasks on machines, at most [`MAX_ROWS`](super::MAX_ROWS).
    pub tasks: Vec<TaskRow>,
    /// Why tasks wait.
    pub reasons: Vec<Reason>,
}

/// One job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    /// What a list shows of it.
    #[serde(flatten)]
    pub row: JobRow,
    /// Its specification, as far as it is kept.
    pub spec: Option<SpecView>,
    /// Where its tasks are; absent once the job is over.
    pub placed: Option<JobPlacement>,
}

/// The specification of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpecView {
    /// Whether its tasks end.
    pub kind: JobKind,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task, GB.
    pub memory_gb: f64,
    /// Image that the tasks need.
    pub image: String,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Machine types that are allowed; `None`: all.
    #[serde(rename = "shapes")]
    pub machine_types: Option<Vec<String>>,
    /// The zone to run in; `None`: any.
    pub zone: Option<String>,
    /// All tasks run in one zone.
    pub one_zone: bool,
    /// No two tasks run on one machine.
    pub spread: bool,
    /// Spot machines are allowed.
    pub spot: bool,
    /// Expected run time of a task, seconds.
    pub expect_s: f64,
    /// Time between two checkpoints, seconds; 0: none.
    pub checkpoint_s: f64,
    /// Time that a checkpoint takes, seconds.
    pub save_s: f64,
    /// Deadline, seconds after the submission; `None`: none.
    pub due_s: Option<f64>,
    /// What each task runs, where workers run command lines.
    pub command: Option<String>,
}

impl From<&JobSpec> for SpecView {
    fn from(spec: &JobSpec) -> SpecView {
        SpecView {
            kind: spec.kind,
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            image: spec.image.to_string(),
            image_gb: spec.image_gb,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.single_zone,
            spread: spec.spread,
            spot: spec.spot,
            expect_s: spec.expected_run_s,
            checkpoint_s: spec.checkpoint_interval_s,
            save_s: spec.checkpoint_duration_s,
            due_s: spec.due_s,
            command: spec.command.as_deref().map(str::to_string),
        }
    }
}

/// Why the tasks of a job wait.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: String,
    /// Its state.
    pub state: State,
    /// Tasks that wait.
    pub waiting: u32,
    /// The reasons, the one that holds back most tasks first.
    pub reasons: Vec<Reason>,
    /// The same in words, one line each.
    pub text: Vec<String>,
}
