//! Requests and answers of the operators' interface.

use crate::directives::Directive;
use crate::reasons::Reason;
use beamhinge_configuration::stored::Author;
use beamhinge_configuration::{Quota, Version};
use beamhinge_core::job::{JobKind, JobSpec, Urgency};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Rows of one page unless the request asks for fewer.
pub const DEFAULT_PAGE_ROWS: usize = 100;
/// Most rows that one page may hold, so that no answer outgrows a frame
/// between controllers.
pub const MAX_ROWS: usize = 200;
/// The largest body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// What kind of refusal it is; stable, for programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// No `Authorization`, an unknown key, or a MAC that does not match.
    Unauthenticated,
    /// The request's time is too far from the controller's.
    Clock,
    /// This very request came before.
    Replayed,
    /// Signed for another process than the one that answers.
    OtherInstance,
    /// The key's role does not allow it.
    Forbidden,
    NotFound,
    Malformed,
    TooLarge,
    /// It can never be done, or contradicts what is.
    Refused,
    /// Come back: an election, a restart, or too much at once.
    Busy,
}

/// The body of every answer that is not a 2xx.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    pub code: Code,
    pub error: String,
    /// With code `clock`: how far the client is ahead, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ahead_ms: Option<i64>,
}

/// `GET /v1/hello`: the one answer that needs no key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerInfo {
    pub label: String,
    /// Tells this process from every other; requests are signed for it.
    pub instance: String,
    pub version: String,
    pub time_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Pending,
    Running,
    Done,
    Cancelled,
}

impl State {
    pub fn parse(text: &str) -> Option<State> {
        Some(match text {
            "pending" => State::Pending,
            "running" => State::Running,
            "done" => State::Done,
            "cancelled" => State::Cancelled,
            _ => return None,
        })
    }
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

/// A job to be accepted. Left out: what the defaults say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobRequest {
    /// Drawn by the client, so that a retry names the same job.
    pub job: String,
    pub team: String,
    #[serde(default = "default_class")]
    pub class: String,
    #[serde(default = "default_kind")]
    pub kind: JobKind,
    #[serde(default = "default_urgency")]
    pub urgency: Urgency,
    #[serde(default = "one_task")]
    pub tasks: u32,
    #[serde(default = "one")]
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default = "quarter")]
    pub memory_gb: f64,
    #[serde(default = "default_image")]
    pub image: String,
    #[serde(default)]
    pub image_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "shapes")]
    pub machine_types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default)]
    pub one_zone: bool,
    #[serde(default)]
    pub spread: bool,
    #[serde(default = "yes")]
    pub spot: bool,
    #[serde(default = "default_run")]
    pub expect_s: f64,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
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
    /// A job of one small task, to be changed from there.
    pub fn new(job: impl Into<String>, team: impl Into<String>) -> JobRequest {
        JobRequest {
            job: job.into(),
            team: team.into(),
            class: default_class(),
            kind: JobKind::Batch,
            urgency: Urgency::Standard,
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 0.25,
            image: default_image(),
            image_gb: 0.0,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            expect_s: 1.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            due_s: None,
            command: None,
        }
    }

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
    pub job: String,
    pub state: State,
}

/// Which jobs a list holds. All given conditions must hold. Jobs that ended
/// under an earlier version kept neither team, class, urgency nor age: a list
/// that asks for one of these leaves them out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobFilter {
    /// Empty: any.
    pub states: Vec<State>,
    pub team: Option<String>,
    pub class: Option<String>,
    pub urgency: Option<Urgency>,
    pub older_s: Option<f64>,
    pub younger_s: Option<f64>,
    /// The last job of the page before.
    pub after: Option<String>,
    pub limit: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    pub job: String,
    pub state: State,
    pub tasks: u32,
    pub done: u32,
    pub running: u32,
    pub team: Option<String>,
    pub class: Option<String>,
    pub urgency: Option<Urgency>,
    /// Seconds since its submission was first read, by this controller's time
    /// of day.
    pub age_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobPage {
    pub jobs: Vec<JobRow>,
    /// Give this as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Where one task is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRow {
    pub task: String,
    pub machine: String,
    /// `planned`, `committed`, `sent`, `fetching`, `running`, `saving`, `inherited`.
    pub state: String,
    /// Seconds since it was seen running; absent before, or when it started
    /// under an earlier holder.
    pub running_s: Option<f64>,
    /// It has been told to stop.
    pub stopping: bool,
}

/// What the holder alone knows of an open job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobPlacement {
    pub done: u32,
    pub running: u32,
    pub waiting: u32,
    /// At most [`MOST_ROWS`].
    pub tasks: Vec<TaskRow>,
    pub reasons: Vec<Reason>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    #[serde(flatten)]
    pub row: JobRow,
    pub spec: Option<SpecView>,
    /// Absent once the job is over.
    pub placed: Option<JobPlacement>,
}

/// A job's description under its long names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpecView {
    pub kind: JobKind,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    #[serde(rename = "shapes")]
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub expect_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub due_s: Option<f64>,
    pub command: Option<String>,
}

impl From<&JobSpec> for SpecView {
    fn from(s: &JobSpec) -> SpecView {
        SpecView {
            kind: s.kind,
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
            image: s.image.to_string(),
            image_gb: s.image_gb,
            machine_types: s.machine_types.clone(),
            zone: s.zone.clone(),
            one_zone: s.single_zone,
            spread: s.spread,
            spot: s.spot,
            expect_s: s.expected_run_s,
            checkpoint_s: s.checkpoint_interval_s,
            save_s: s.checkpoint_duration_s,
            due_s: s.due_s,
            command: s.command.as_deref().map(str::to_string),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    pub job: String,
    pub state: State,
    pub waiting: u32,
    /// The one that holds most of its tasks back first.
    pub reasons: Vec<Reason>,
    /// The same in words, one line each.
    pub text: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRow {
    pub machine: String,
    #[serde(rename = "shape")]
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Not rented by the service.
    pub owned: bool,
    /// `starting`, `up`, `silent`, `draining`, `drained`, `leaving`, `taken`,
    /// `sick`, `slow`.
    pub state: String,
    pub tasks: u32,
    pub cpus: f64,
    pub free_cpus: f64,
    pub free_memory_gb: f64,
    /// Seconds since its last report; absent before the first.
    pub heard_s: Option<f64>,
    /// Seconds since it was rented, as far as known.
    pub age_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachinePage {
    pub machines: Vec<MachineRow>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    pub team: String,
    pub cpus_used: f64,
    /// 0: none.
    pub cpus_guaranteed: f64,
    /// 0: no limit.
    pub cpus_limit: f64,
    pub gpus_used: f64,
    pub gpus_guaranteed: f64,
    pub gpus_limit: f64,
    pub jobs_open: u32,
    pub tasks_waiting: u32,
    pub frozen: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRow {
    pub label: String,
    /// The controller that gave this answer.
    pub answering: bool,
    #[serde(rename = "holder")]
    pub leader: bool,
    /// A holder's token.
    pub token: Option<u64>,
    /// Seconds since its last exchange with the state service; absent when it
    /// was never heard.
    #[serde(rename = "ledger_age_s")]
    pub store_age_s: Option<f64>,
    /// Seconds since it was last heard by the controller that answers.
    pub heard_s: Option<f64>,
    /// Its copy of the jobs is whole: it could take over.
    pub ready: bool,
    pub drained: bool,
    /// Seconds since it was last found stuck as the holder: work was there, the
    /// state service answered, and nothing was committed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stuck_ago_s: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairRow {
    pub beta0: f64,
    pub beta: f64,
    pub weight: f64,
    /// Open jobs that drew it.
    pub jobs: u32,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Splits {
    pub update_s: f64,
    pub pairs: Vec<PairRow>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    #[serde(rename = "holder")]
    pub leader: String,
    pub token: u64,
    pub jobs_open: u32,
    pub jobs_running: u32,
    pub tasks_running: u32,
    pub tasks_waiting: u32,
    /// Age of the oldest open job with a task that waits, seconds.
    pub oldest_wait_s: f64,
    pub machines_up: u32,
    pub machines_starting: u32,
    pub machines_silent: u32,
    pub cpus: f64,
    pub cpus_used: f64,
    pub teams: Vec<TeamRow>,
    pub directives: u32,
}

/// One decision of the holder, newest last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Rises by one per decision of one holder.
    pub serial: u64,
    /// Time of day of the holder, milliseconds.
    pub at_ms: u64,
    pub what: DecisionKind,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum DecisionKind {
    Placed {
        task: String,
        machine: String,
        ahead: bool,
    },
    Stopped {
        task: String,
        machine: String,
        why: String,
    },
    Ended {
        task: String,
        machine: String,
        why: String,
    },
    Rented {
        #[serde(rename = "shape")]
        machine_type: String,
        zone: String,
        spot: bool,
        asked: u32,
        got: u32,
    },
    Refused {
        #[serde(rename = "shape")]
        machine_type: String,
        zone: String,
        spot: bool,
    },
    Returned {
        machine: String,
        why: String,
    },
    SetAside {
        machine: String,
        why: String,
    },
    Done {
        job: String,
    },
    Took {
        token: u64,
    },
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = |spot: &bool| if *spot { "spot" } else { "ordinary" };
        match self {
            DecisionKind::Placed {
                task,
                machine,
                ahead: false,
            } => write!(f, "{task} placed on {machine}"),
            DecisionKind::Placed {
                task,
                machine,
                ahead: true,
            } => {
                write!(f, "{task} placed on {machine} ahead of an end")
            }
            DecisionKind::Stopped { task, machine, why } => {
                write!(f, "{task} stopped on {machine}: {why}")
            }
            DecisionKind::Ended { task, machine, why } => {
                write!(f, "{task} ended on {machine}: {why}")
            }
            DecisionKind::Rented {
                machine_type,
                zone,
                spot,
                asked,
                got,
            } => {
                write!(
                    f,
                    "rented {got} of {asked} {} {machine_type} in {zone}",
                    kind(spot)
                )
            }
            DecisionKind::Refused {
                machine_type,
                zone,
                spot,
            } => {
                write!(f, "no {} {machine_type} to be had in {zone}", kind(spot))
            }
            DecisionKind::Returned { machine, why } => write!(f, "{machine} returned: {why}"),
            DecisionKind::SetAside { machine, why } => write!(f, "{machine} set aside: {why}"),
            DecisionKind::Done { job } => write!(f, "{job} is done"),
            DecisionKind::Took { token } => write!(f, "took the lead with token {token}"),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decisions {
    /// Serials begin anew with a holder: this names it.
    pub token: u64,
    pub decisions: Vec<Decision>,
    /// Decisions between the asked serial and the first told were forgotten.
    pub missed: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directives {
    pub directives: Vec<Directive>,
}

/// A team and its quota as they count at the controller that answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRow {
    pub team: String,
    #[serde(flatten)]
    pub quota: Quota,
    /// Its accepted jobs run on; new ones are refused.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

/// A controller that does not serve by the newest version, or did not say so yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BehindRow {
    pub label: String,
    /// None: it is away, cut off, or does not know of configuration. It may go on serving
    /// its workers by what it has until its serving deadline.
    pub version: Option<Version>,
}

/// `GET /v1/configuration`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationView {
    /// false: changes are not turned on here (`[configuration] on`).
    pub on: bool,
    pub version: Version,
    /// Who made it, when and why; absent where nothing was ever changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub author: Option<Author>,
    /// Since when every controller serves by it, milliseconds of the time of day; absent:
    /// not yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force_everywhere_since_ms: Option<u64>,
    pub behind: Vec<BehindRow>,
    /// Fields of a newer program: kept, and not understood here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unknown_fields: Vec<String>,
    pub teams: Vec<QuotaRow>,
}

/// The answer to `POST /v1/configuration`: made, and the version that it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationResponse {
    pub version: Version,
    /// What its author should know, though it was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warning: Option<String>,
}

/// What only the holder can answer, as it travels between controllers.
///
/// New kinds are added at the end: a controller that does not know one closes
/// the link, and the asking one answers 503.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    Job {
        job: String,
    },
    Machines {
        #[serde(rename = "shape")]
        machine_type: Option<String>,
        zone: Option<String>,
        after: Option<String>,
        limit: usize,
    },
    Teams,
    Splits,
    Summary,
    Decisions {
        token: u64,
        after: u64,
        limit: usize,
    },
}
