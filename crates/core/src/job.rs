//! A job as its user asked for it, and its record in the state service.

use crate::types::{JobId, WallMs};
use crate::wire;
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

pub const PREFIX: &str = "j/";
pub const RECORD_VERSION: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "batch")]
    Batch,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    #[serde(rename = "best_effort")]
    BestEffort,
    #[serde(rename = "standard")]
    Standard,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "critical")]
    Critical,
}

/// What a user asked for, as stored with short names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "c")]
    pub class: Rc<str>,
    #[serde(rename = "o")]
    pub team: Rc<str>,
    #[serde(rename = "k")]
    pub kind: JobKind,
    #[serde(rename = "u")]
    pub urgency: Urgency,
    #[serde(rename = "n")]
    pub tasks: u32,
    #[serde(rename = "cpu")]
    pub cpus: f64,
    #[serde(rename = "gpu")]
    pub gpus: f64,
    #[serde(rename = "mem")]
    pub memory_gb: f64,
    #[serde(rename = "img")]
    pub image: Rc<str>,
    #[serde(rename = "igb")]
    pub image_gb: f64,
    #[serde(rename = "sh", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "oz")]
    pub single_zone: bool,
    #[serde(rename = "ap")]
    pub spread: bool,
    #[serde(rename = "sp")]
    pub spot: bool,
    #[serde(rename = "ex")]
    pub expected_run_s: f64,
    #[serde(rename = "ce")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "cs")]
    pub checkpoint_duration_s: f64,
    #[serde(rename = "due", default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// When a node of ours first read the submission.
    #[serde(rename = "at")]
    pub submitted: u64,
    /// What each task runs, where workers run command lines.
    #[serde(rename = "cmd", default, skip_serializing_if = "Option::is_none")]
    pub command: Option<Box<str>>,
}

impl JobSpec {
    pub fn submitted(&self) -> WallMs {
        WallMs(self.submitted)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "open")]
    Open,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "cancelled")]
    Cancelled,
}

#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    #[serde(rename = "v")]
    pub version: u32,
    #[serde(rename = "st")]
    pub state: JobState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
    /// Of a job that is done: how many tasks it had.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub task_count: Option<u32>,
    /// Of a job that is done: whose it was, for lists.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<JobSummary>,
}

/// Whose a job is: all that a list of finished jobs shows of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    #[serde(rename = "o")]
    pub team: String,
    #[serde(rename = "c")]
    pub class: String,
    #[serde(rename = "u")]
    pub urgency: Urgency,
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

pub fn open_record(spec: &JobSpec) -> Value {
    wire::to_value(&JobRecord {
        version: RECORD_VERSION,
        state: JobState::Open,
        spec: Some(spec.clone()),
        task_count: None,
        summary: None,
    })
}

/// A job that is done keeps its key for ever, but needs only its last state.
pub fn done_record(spec: &JobSpec) -> Value {
    wire::to_value(&JobRecord {
        version: RECORD_VERSION,
        state: JobState::Done,
        spec: None,
        task_count: Some(spec.tasks),
        summary: Some(JobSummary::from(spec)),
    })
}

/// A cancelled job may still have tasks to end, whose size a new holder needs.
pub fn cancelled_record(spec: &JobSpec) -> Value {
    wire::to_value(&JobRecord {
        version: RECORD_VERSION,
        state: JobState::Cancelled,
        spec: Some(spec.clone()),
        task_count: None,
        summary: None,
    })
}

pub fn key(id: JobId) -> String {
    format!("{PREFIX}{id}")
}
