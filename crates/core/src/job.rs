//! The job specification that a user submitted, and the job's record in the key-value store.
//!
//! Serde attributes fix the short field names of stored records: records written by any earlier
//! version must stay readable.

use crate::types::{JobId, WallMs};
use crate::wire;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Key prefix of job records in the key-value store.
pub const PREFIX: &str = "j/";
/// Version of the record format; records of other versions are ignored.
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

/// Priority class of a job, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// Uses only capacity that no other class needs.
    #[serde(rename = "best_effort")]
    BestEffort,
    /// The default class.
    #[serde(rename = "standard")]
    Standard,
    /// Takes precedence over the lower classes.
    #[serde(rename = "high")]
    High,
    /// Takes precedence over all other classes.
    #[serde(rename = "critical")]
    Critical,
}

/// Specification of a job as submitted by the user, stored with short field names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job class; run times are tracked and objectives are set per class.
    #[serde(rename = "c")]
    pub class: Rc<str>,
    /// Team whose quota the job is charged to.
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
    /// CPUs per task.
    #[serde(rename = "cpu")]
    pub cpus: f64,
    /// GPUs per task.
    #[serde(rename = "gpu")]
    pub gpus: f64,
    /// Memory per task, GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    /// Container image of the tasks.
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
    /// Whether all tasks must run in the same zone, whichever it is.
    #[serde(rename = "oz")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "ap")]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "sp")]
    pub spot: bool,
    /// Run time of a task as estimated by the user, seconds.
    #[serde(rename = "ex")]
    pub expected_run_s: f64,
    /// Interval between checkpoints of a task, seconds; 0 means that it saves none.
    #[serde(rename = "ce")]
    pub checkpoint_interval_s: f64,
    /// Time that a task needs to save a checkpoint, seconds.
    #[serde(rename = "cs")]
    pub checkpoint_duration_s: f64,
    /// Deadline of the job, seconds after the submission; `None` if it has none.
    #[serde(rename = "due", default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// Wall-clock time at which a controller first read the submission, milliseconds.
    #[serde(rename = "at")]
    pub submitted: u64,
    /// Command line of each task, for workers that run command lines; `None` otherwise.
    #[serde(rename = "cmd", default, skip_serializing_if = "Option::is_none")]
    pub command: Option<Box<str>>,
}

impl JobSpec {
    /// Wall-clock time at which a controller first read the submission.
    pub fn submitted(&self) -> WallMs {
        WallMs(self.submitted)
    }
}

/// Stored state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Tasks are pending or running.
    #[serde(rename = "open")]
    Open,
    /// All tasks have ended.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by a user; some tasks may not have ended yet.
    #[serde(rename = "cancelled")]
    Cancelled,
}

/// The stored record of a job.
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// Version of the record format, see [`RECORD_VERSION`].
    #[serde(rename = "v")]
    pub version: u32,
    /// State of the job.
    #[serde(rename = "st")]
    pub state: JobState,
    /// The job specification; `None` once no task of the job can exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Number of tasks; set only if the job is done.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub task_count: Option<u32>,
    /// Summary for listings; set only if the job is done.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<JobSummary>,
}

/// The fields of a finished job that job listings show.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Team whose quota the job was charged to.
    #[serde(rename = "o")]
    pub team: String,
    /// Job class.
    #[serde(rename = "c")]
    pub class: String,
    /// Priority class.
    #[serde(rename = "u")]
    pub urgency: Urgency,
    /// Wall-clock time of the submission, milliseconds.
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

/// The record of a job whose tasks are pending or running.
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
/// The key is kept permanently, so that a repeated submission finds it. The specification is
/// dropped, since it is no longer needed.
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
/// It keeps the specification: tasks may still have to be stopped, and a new leader needs to know
/// their resources.
pub fn cancelled_record(spec: &JobSpec) -> Value {
    wire::to_value(&JobRecord {
        version: RECORD_VERSION,
        state: JobState::Cancelled,
        spec: Some(spec.clone()),
        task_count: None,
        summary: None,
    })
}

/// The key of a job's record in the key-value store.
pub fn key(id: JobId) -> String {
    format!("{PREFIX}{id}")
}
