//! Messages about jobs: submissions, lists, details and explanations.

use crate::reasons::Reason;
use beamhinge_core::job::{JobKind, JobSpec, Urgency};
use serde::{Deserialize, Serialize};
use std::fmt;

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Open, with no running task.
    Pending,
    /// Open, with at least one running task.
    Running,
    /// All tasks completed successfully.
    Done,
    /// The job was cancelled.
    Cancelled,
}

impl State {
    /// Returns the state of this name, or `None` if there is none.
    pub fn parse(text: &str) -> Option<State> {
        Some(match text {
            "pending" => State::Pending,
            "running" => State::Running,
            "done" => State::Done,
            "cancelled" => State::Cancelled,
            _ => return None,
        })
    }

    /// Whether the state is terminal.
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

/// A job to submit. Omitted fields have their default values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// ID of the job, chosen by the client so that a retry refers to the same job.
    pub job: String,
    /// Team to whose quota the job is charged.
    pub team: String,
    /// Class of the job, used for freezes and statistics.
    #[serde(default = "default_class")]
    pub class: String,
    /// Whether the job is a batch job or a service.
    #[serde(default = "default_kind")]
    pub kind: JobKind,
    /// Priority class.
    #[serde(default = "default_urgency")]
    pub urgency: Urgency,
    /// Number of tasks.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// CPUs of each task.
    #[serde(default = "default_cpus")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, GB.
    #[serde(default = "default_memory_gb")]
    pub memory_gb: f64,
    /// Name of the image that the tasks require.
    #[serde(default = "default_image")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(default)]
    pub image_gb: f64,
    /// Labels of the allowed machine types; `None` allows all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "shapes")]
    pub machine_types: Option<Vec<String>>,
    /// Zone to run in; `None` allows any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(default)]
    pub spread: bool,
    /// Whether spot machines are allowed.
    #[serde(default = "default_spot")]
    pub spot: bool,
    /// Expected run time of a task, seconds.
    #[serde(default = "default_expected_run_s")]
    pub expect_s: f64,
    /// Checkpoint interval, seconds; 0 means no checkpoints.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Duration of a checkpoint, seconds.
    #[serde(default)]
    pub save_s: f64,
    /// Deadline, seconds after the submission; `None` means no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// Command line of each task; used only by workers that run command lines.
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

fn default_tasks() -> u32 {
    1
}

fn default_cpus() -> f64 {
    1.0
}

fn default_memory_gb() -> f64 {
    0.25
}

fn default_expected_run_s() -> f64 {
    1.0
}

fn default_spot() -> bool {
    true
}

impl JobRequest {
    /// Creates a request for a job with the default values.
    pub fn new(job: impl Into<String>, team: impl Into<String>) -> JobRequest {
        JobRequest {
            job: job.into(),
            team: team.into(),
            class: default_class(),
            kind: default_kind(),
            urgency: default_urgency(),
            tasks: default_tasks(),
            cpus: default_cpus(),
            gpus: 0.0,
            memory_gb: default_memory_gb(),
            image: default_image(),
            image_gb: 0.0,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: default_spot(),
            expect_s: default_expected_run_s(),
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            command: None,
        }
    }

    /// Converts the request to the job specification. `submitted` is the wall-clock time of the
    /// submission, milliseconds since the Unix epoch.
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

/// Response to a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResponse {
    /// ID of the job.
    pub job: String,
    /// Current state of the job.
    pub state: State,
}

/// Filter of a list of jobs: a job is listed if it meets all conditions that are set. The records
/// of jobs that ended under an earlier program version have no team, class, urgency or age: such
/// jobs are not listed if the filter has a condition on any of these.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobFilter {
    /// States; empty allows any.
    pub states: Vec<State>,
    /// Name of the team.
    pub team: Option<String>,
    /// Name of the class.
    pub class: Option<String>,
    /// Priority class.
    pub urgency: Option<Urgency>,
    /// Minimum age, seconds.
    pub older_s: Option<f64>,
    /// Maximum age, seconds.
    pub younger_s: Option<f64>,
    /// ID of the last job on the previous page.
    pub after: Option<String>,
    /// Maximum number of rows on the page.
    pub limit: usize,
}

/// One job of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// ID of the job.
    pub job: String,
    /// State of the job.
    pub state: State,
    /// Total number of tasks.
    pub tasks: u32,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Name of its team; `None` if the record does not have it.
    pub team: Option<String>,
    /// Name of its class; `None` if the record does not have it.
    pub class: Option<String>,
    /// Its priority class; `None` if the record does not have it.
    pub urgency: Option<Urgency>,
    /// Time since a controller first received the submission, seconds, by the wall clock of the
    /// responding controller; `None` if the record does not have it.
    pub age_s: Option<f64>,
}

/// A page of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobPage {
    /// Jobs on this page.
    pub jobs: Vec<JobRow>,
    /// Value of the `after` parameter for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Machine and state of one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRow {
    /// Name of the task.
    pub task: String,
    /// Name of its machine.
    pub machine: String,
    /// State: `planned`, `committed`, `sent`, `fetching`, `running`, `saving` or `inherited`.
    pub state: String,
    /// Time since it was first reported as running, seconds; `None` before that, or if it started
    /// under an earlier leader.
    pub running_s: Option<f64>,
    /// Whether it has been told to stop.
    pub stopping: bool,
}

/// Placement of an open job, which only the leader knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobPlacement {
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Tasks that are allocated to machines, at most [`MAX_ROWS`](super::MAX_ROWS).
    pub tasks: Vec<TaskRow>,
    /// Reasons why tasks are waiting.
    pub reasons: Vec<Reason>,
}

/// Details of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    /// The job's row in a list.
    #[serde(flatten)]
    pub row: JobRow,
    /// Specification of the job; `None` if it is no longer stored.
    pub spec: Option<SpecView>,
    /// Placement of the tasks; `None` once the job has ended.
    pub placed: Option<JobPlacement>,
}

/// Specification of a job, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpecView {
    /// Whether the job is a batch job or a service.
    pub kind: JobKind,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    pub gpus: f64,
    /// Memory of each task, GB.
    pub memory_gb: f64,
    /// Name of the image that the tasks require.
    pub image: String,
    /// Size of the image, GB.
    pub image_gb: f64,
    /// Labels of the allowed machine types; `None` allows all.
    #[serde(rename = "shapes")]
    pub machine_types: Option<Vec<String>>,
    /// Zone to run in; `None` allows any.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    pub spread: bool,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Expected run time of a task, seconds.
    pub expect_s: f64,
    /// Checkpoint interval, seconds; 0 means no checkpoints.
    pub checkpoint_s: f64,
    /// Duration of a checkpoint, seconds.
    pub save_s: f64,
    /// Deadline, seconds after the submission; `None` means no deadline.
    pub due_s: Option<f64>,
    /// Command line of each task; used only by workers that run command lines.
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

/// Explanation of why tasks of a job are waiting.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// ID of the job.
    pub job: String,
    /// State of the job.
    pub state: State,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Reasons, the one that affects most tasks first.
    pub reasons: Vec<Reason>,
    /// The reasons as text, one line each.
    pub text: Vec<String>,
}
