//! Decodes submissions of users and converts them to job specifications.
//!
//! Only this module knows the field names of the user protocol; all other code works on
//! [`JobSpec`].

use crate::job_store::{JobKind, JobSpec, Urgency};
use beamhinge_core::types::{JobId, WallMs};
use beamhinge_core::wire;
use ciborium::Value;
use serde::Deserialize;

/// Maximum number of tasks of one job.
const MAX_TASKS: u32 = 100_000;
/// Maximum length of a command line, bytes; the command is stored in the job's record.
const MAX_COMMAND_BYTES: usize = 2_048;

/// Why a submission is refused before any lookup. The texts are sent to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmissionError {
    /// The body cannot be decoded as CBOR.
    #[error("the body is not CBOR")]
    NotCbor,
    /// The body is not a map.
    #[error("the body is not a map")]
    NotMap,
    /// A field is missing or has the wrong type.
    #[error("a field is missing or invalid")]
    InvalidField,
    /// The job id cannot be parsed.
    #[error("nameId is not of the form job-000412")]
    InvalidJobId,
    /// The number of tasks in the request is not a whole number within the limits.
    #[error("pieces is not between 1 and 100000")]
    InvalidPieces,
    /// An amount is negative, infinite or not a number.
    #[error("an amount is negative or not finite")]
    InvalidAmount,
    /// The number of tasks in the specification is outside the limits.
    #[error("the number of tasks is not between 1 and 100000")]
    InvalidTaskCount,
    /// The name of the team or of the job class is empty.
    #[error("owner or jobClass is empty")]
    EmptyName,
    /// The command line is longer than [`MAX_COMMAND_BYTES`].
    #[error("the command is longer than 2048 bytes")]
    CommandTooLong,
}

/// The body of `POST /api/jobs`.
#[derive(Deserialize)]
struct Submission {
    #[serde(rename = "nameId")]
    job: String,
    #[serde(rename = "jobClass")]
    class: String,
    #[serde(rename = "owner")]
    team: String,
    #[serde(rename = "jobKind")]
    kind: JobKind,
    urgency: Urgency,
    #[serde(rename = "pieces", deserialize_with = "wire::amount")]
    tasks: f64,
    #[serde(rename = "vcpus", deserialize_with = "wire::amount")]
    cpus: f64,
    #[serde(rename = "cards", deserialize_with = "wire::amount")]
    gpus: f64,
    #[serde(rename = "memoryGb", deserialize_with = "wire::amount")]
    memory_gb: f64,
    #[serde(rename = "bundle")]
    image: String,
    #[serde(rename = "imageGb", deserialize_with = "wire::amount")]
    image_gb: f64,
    #[serde(rename = "shapes", default)]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    zone: Option<String>,
    #[serde(rename = "oneZone")]
    single_zone: bool,
    #[serde(rename = "apart")]
    spread: bool,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "expectS", deserialize_with = "wire::amount")]
    expected_run_s: f64,
    #[serde(rename = "snapshotEveryS", deserialize_with = "wire::amount")]
    checkpoint_interval_s: f64,
    #[serde(rename = "snapshotS", deserialize_with = "wire::amount")]
    checkpoint_duration_s: f64,
    #[serde(rename = "dueS", default, deserialize_with = "wire::amount_or_null")]
    due_s: Option<f64>,
}

impl Submission {
    /// Converts the submission to a job specification; `wall`: when the submission was received.
    fn into_spec(self, wall: WallMs) -> JobSpec {
        JobSpec {
            class: self.class.into(),
            team: self.team.into(),
            kind: self.kind,
            urgency: self.urgency,
            tasks: self.tasks as u32,
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
            image: self.image.into(),
            image_gb: self.image_gb,
            machine_types: self.machine_types,
            zone: self.zone,
            single_zone: self.single_zone,
            spread: self.spread,
            spot: self.spot,
            expected_run_s: self.expected_run_s,
            checkpoint_interval_s: self.checkpoint_interval_s,
            checkpoint_duration_s: self.checkpoint_duration_s,
            due_s: self.due_s,
            submitted: wall.0,
            command: None,
        }
    }
}

/// Decodes and checks the body of a submission that was received at `wall`.
///
/// # Errors
/// The reason for which the submission is refused; its text is sent to the user.
pub fn read_submission(body: &[u8], wall: WallMs) -> Result<(JobId, JobSpec), SubmissionError> {
    let value: Value = wire::decode(body).map_err(|_| SubmissionError::NotCbor)?;
    if !matches!(value, Value::Map(_)) {
        return Err(SubmissionError::NotMap);
    }
    let submission: Submission =
        wire::from_value(&value).map_err(|_| SubmissionError::InvalidField)?;
    let job = JobId::parse(&submission.job).ok_or(SubmissionError::InvalidJobId)?;
    let tasks = submission.tasks;
    if tasks.fract() != 0.0 || tasks < 1.0 || tasks > f64::from(MAX_TASKS) {
        return Err(SubmissionError::InvalidPieces);
    }
    let spec = submission.into_spec(wall);
    validate(&spec)?;
    Ok((job, spec))
}

/// Checks a job specification from the user API or the admin API, independently of the fleet.
///
/// # Errors
/// The first invalid property found.
pub fn validate(spec: &JobSpec) -> Result<(), SubmissionError> {
    let amounts = [
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image_gb,
        spec.expected_run_s,
        spec.checkpoint_interval_s,
        spec.checkpoint_duration_s,
    ];
    let unusable = |amount: &f64| !amount.is_finite() || *amount < 0.0;
    if amounts.iter().chain(spec.due_s.iter()).any(unusable) {
        return Err(SubmissionError::InvalidAmount);
    }
    if spec.tasks < 1 || spec.tasks > MAX_TASKS {
        return Err(SubmissionError::InvalidTaskCount);
    }
    if spec.team.is_empty() || spec.class.is_empty() {
        return Err(SubmissionError::EmptyName);
    }
    let command = spec.command.as_ref();
    if command.is_some_and(|command| command.len() > MAX_COMMAND_BYTES) {
        return Err(SubmissionError::CommandTooLong);
    }
    Ok(())
}
