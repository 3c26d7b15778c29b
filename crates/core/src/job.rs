//! A job as its user described it, and its record in the key-value store.
//!
//! Records are stored with short field names, which the serde attributes fix: records written by
//! any earlier version must stay readable.

use crate::types::{JobId, WallMs};
use crate::wire;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Prefix of the keys that job records are stored under.
pub const PREFIX: &str = "j/";
/// Version of the record's form; a record of another version is not read.
pub const RECORD_VERSION: u32 = 1;

/// How long the tasks of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Each task runs to completion.
    #[serde(rename = "batch")]
    Batch,
    /// Each task runs until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority class of a job, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// Runs on what no other class needs.
    #[serde(rename = "best_effort")]
    BestEffort,
    /// The usual class.
    #[serde(rename = "standard")]
    Standard,
    /// Goes ahead of the classes below.
    #[serde(rename = "high")]
    High,
    /// Goes ahead of everything else.
    #[serde(rename = "critical")]
    Critical,
}

/// What a user asked for, stored with short field names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of the job, by which run times and objectives are kept.
    #[serde(rename = "c")]
    pub class: Rc<str>,
    /// Team whose quota the job counts against.
    #[serde(rename = "o")]
    pub team: Rc<str>,
    /// Whether tasks run to completion or until cancelled.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Priority class.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// CPUs of one task.
    #[serde(rename = "cpu")]
    pub cpus: f64,
    /// GPUs of one task.
    #[serde(rename = "gpu")]
    pub gpus: f64,
    /// Memory of one task, GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    /// Image that the tasks run.
    #[serde(rename = "img")]
    pub image: Rc<str>,
    /// Size of the image, GB.
    #[serde(rename = "igb")]
    pub image_gb: f64,
    /// Machine types that tasks may run on; `None` allows all.
    #[serde(rename = "sh", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that tasks must run in; `None` allows all.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All tasks run in one zone, whichever it is.
    #[serde(rename = "oz")]
    pub single_zone: bool,
    /// At most half of the tasks run in one zone.
    #[serde(rename = "ap")]
    pub spread: bool,
    /// Tasks may run on spot machines.
    #[serde(rename = "sp")]
    pub spot: bool,
    /// How long the user expects a task to run, seconds.
    #[serde(rename = "ex")]
    pub expected_run_s: f64,
    /// How often a task saves a checkpoint, seconds; 0 means never.
    #[serde(rename = "ce")]
    pub checkpoint_interval_s: f64,
    /// How long a task takes to save a checkpoint, seconds.
    #[serde(rename = "cs")]
    pub checkpoint_duration_s: f64,
    /// Time after the submission by which the job should be done, seconds.
    #[serde(rename = "due", default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// When a controller first read the submission, milliseconds of the time of day.
    #[serde(rename = "at")]
    pub submitted: u64,
    /// Command line of each task, where workers run command lines.
    #[serde(rename = "cmd", default, skip_serializing_if = "Option::is_none")]
    pub command: Option<Box<str>>,
}

impl JobSpec {
    /// When a controller first read the submission.
    pub fn submitted(&self) -> WallMs {
        WallMs(self.submitted)
    }
}

/// Stored state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Tasks wait or run.
    #[serde(rename = "open")]
    Open,
    /// All tasks have ended.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by a user; tasks may still be ending.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// The stored record of a job.
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// Form of the record, see [`RECORD_VERSION`].
    #[serde(rename = "v")]
    pub version: u32,
    /// State of the job.
    #[serde(rename = "st")]
    pub state: JobState,
    /// Description, as long as tasks of the job may exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Number of tasks of a job that is done.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub task_count: Option<u32>,
    /// What lists show of a job that is done.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<JobSummary>,
}

/// All that a list of finished jobs shows of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Team whose quota the job counted against.
    #[serde(rename = "o")]
    pub team: String,
    /// Class of the job.
    #[serde(rename = "c")]
    pub class: String,
    /// Priority class.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// When the job was submitted, milliseconds of the time of day.
    #[serde(rename = "at")]
    pub submitted: u64,
}

impl From<&JobSpec> for JobSummary {
    fn from(spec: &JobSpec) -> JobSummary {
        JobSummary {
            team: spec.team.to_string(),
            class: spec.class.to_string(),
            urgency: spec.urgency,
            submitted: spec.submitted,
        }
    }
}

/// The record of a job whose tasks wait or run.
pub fn open_record(spec: &JobSpec) -> Value {
    wire::to_value(&JobRecord {
        version: RECORD_VERSION,
        state: JobState::Open,
        spec: Some(spec.clone()),
        task_count: None,
        summary: None,
    })
}

/// The record of a job that is done.
///
/// The key is kept for good, so that a repeated submission finds it; the description is not needed
/// any more.
pub fn done_record(spec: &JobSpec) -> Value {
    wire::to_value(&JobRecord {
        version: RECORD_VERSION,
        state: JobState::Done,
        spec: None,
        task_count: Some(spec.tasks),
        summary: Some(JobSummary::from(spec)),
    })
}

/// The record of a job that was cancelled.
///
/// It keeps the description: tasks may still have to be ended, and a new leader needs to know their
/// resources.
pub fn cancelled_record(spec: &JobSpec) -> Value {
    wire::to_value(&JobRecord {
        version: RECORD_VERSION,
        state: JobState::Cancelled,
        spec: Some(spec.clone()),
        task_count: None,
        summary: None,
    })
}

/// The key that a job's record is stored under.
pub fn key(id: JobId) -> String {
    format!("{PREFIX}{id}")
}
