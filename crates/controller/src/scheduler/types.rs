//! What a holder's books are made of: reports, entries, machines and jobs.

use super::*;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WorkerReport {
    pub host: String,
    pub endpoint: String,
    #[serde(rename = "shape")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "tick")]
    pub sequence: u64,
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(default, deserialize_with = "wire::amount_or_null")]
    pub reclaim_in_s: Option<f64>,
    #[serde(rename = "pieces")]
    pub reported_tasks: Vec<ReportedTask>,
}

#[derive(Debug, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: String,
    #[serde(default)]
    pub cause: Option<String>,
}

#[derive(Debug, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct WorkerCommand {
    pub verb: &'static str,
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "windDownS")]
    pub grace_period_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReportVersion {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskPhase {
    FetchingImage,
    Running,
    Checkpointing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Chosen, not yet committed: `run` must not be sent.
    Planned,
    /// Committed; `run` was never sent, or was proven not to have arrived.
    Committed,
    /// `run` went out with the answer to this report.
    RunSent(ReportVersion),
    /// The worker has listed it.
    Observed(TaskPhase),
    /// Found in a page of an earlier holder: it may or may not be there.
    Inherited,
}

#[derive(Clone, Debug)]
pub(super) struct Allocation {
    pub(super) attempt: Attempt,
    pub(super) resources: Resources,
    pub(super) team: Option<usize>,
    pub(super) state: TaskState,
    pub(super) kill: Option<f64>,
    pub(super) in_flight: bool,
    pub(super) started: Option<Time>,
    /// Started under an earlier holder: how long it has run is unknown.
    pub(super) inherited: bool,
    /// The page that names it, once committed.
    pub(super) page: Option<PageId>,
    pub(super) placed: Time,
    /// Placed before there was room, and when: it runs as soon as something
    /// else ends there.
    pub(super) ahead: Option<Time>,
    /// Placed ahead where others were stopped for it: nobody else gets that room.
    pub(super) kept: bool,
    /// It got its room as one that has risen, and counts against their lane.
    pub(super) lane: bool,
}

/// A task that a worker lists and our books do not know: it takes room, and its team's
/// use, until it is gone, also when its job is over.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Orphan {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) resources: Resources,
    pub(super) team: Option<usize>,
}

#[derive(Debug)]
pub struct Machine {
    pub(super) machine_type: Option<usize>,
    pub(super) zone: String,
    pub spot: bool,
    pub endpoint: Option<SocketAddrV4>,
    pub(super) last_report: Option<ReportVersion>,
    /// The newest that it said in answer to a direct command.
    pub(super) last_direct_response: Option<ReportVersion>,
    /// When its first word in our term came, while that is all there is.
    pub(super) first_word: Option<Time>,
    pub last_heartbeat: Option<Time>,
    pub(super) last_answered: Option<Time>,
    /// The worker's newest report carried our token.
    pub(super) has_our_token: bool,
    /// One of its reports did, so it heeds no earlier holder any more.
    pub(super) ever_had_our_token: bool,
    pub reclaim: bool,
    pub draining: bool,
    /// The operators' drain that it is under.
    pub drain: Option<Rc<Directive>>,
    pub(super) allocations: BTreeMap<TaskId, Allocation>,
    /// Listed by the worker, though not in our books.
    pub(super) orphans: Vec<Orphan>,
    pub(super) images: Vec<Rc<str>>,
    pub idle_since: Time,
    /// It refused a task for which our books saw room: until then, no more.
    pub(super) refuses_until: Time,
    /// Whether it takes what it is told.
    pub ack_tracker: AckTracker,
    /// Its last report came in time after the one before. Where answers do not
    /// arrive, a worker goes round all controllers and comes here ever so seldom: it is
    /// heard just now, and gone again before the next.
    pub(super) steady: bool,
    /// It reported again without our token, though an answer with it had gone out.
    pub(super) stale_token: bool,
    pub quarantined: bool,
    /// Run times here over those expected, and how many tell so.
    pub(super) speed_ratio: (f64, u32),
    pub slow: bool,
}

impl Allocation {
    /// Chosen for a machine, and not yet in any transaction.
    pub(super) fn planned(
        attempt: Attempt,
        resources: Resources,
        team: Option<usize>,
        now: Time,
        ahead: Option<Time>,
    ) -> Allocation {
        Allocation {
            attempt,
            resources,
            team,
            state: TaskState::Planned,
            kill: None,
            in_flight: false,
            started: None,
            inherited: false,
            page: None,
            placed: now,
            ahead,
            kept: false,
            lane: false,
        }
    }
    /// Whether it may be on the machine, by all that was sent.
    pub(super) fn may_be_there(&self) -> bool {
        !matches!(self.state, TaskState::Planned | TaskState::Committed)
    }
    /// How long it has run, as far as we saw.
    pub(super) fn ran_s(&self, now: Time) -> f64 {
        self.started.map_or(0.0, |s| now.since(s))
    }
}

impl Machine {
    pub(super) fn new(now: Time) -> Machine {
        Machine {
            machine_type: None,
            zone: String::new(),
            spot: false,
            endpoint: None,
            last_report: None,
            last_direct_response: None,
            first_word: None,
            last_heartbeat: None,
            last_answered: None,
            has_our_token: false,
            ever_had_our_token: false,
            reclaim: false,
            draining: false,
            drain: None,
            allocations: BTreeMap::new(),
            orphans: Vec::new(),
            images: Vec::new(),
            idle_since: now,
            refuses_until: Time::default(),
            ack_tracker: AckTracker::default(),
            steady: true,
            stale_token: false,
            quarantined: false,
            speed_ratio: (1.0, 0),
            slow: false,
        }
    }
    pub fn is_empty(&self) -> bool {
        self.orphans.is_empty() && self.allocations.is_empty()
    }
    /// Its reports come and our answers do not arrive: it goes from controller to
    /// controller.
    pub fn rotates_controllers(&self, now: Time) -> bool {
        self.stale_token || self.ack_tracker.unacknowledged_for_s(now).is_some()
    }
    pub fn machine_type(&self) -> Option<usize> {
        self.machine_type
    }
    /// Room beside what may be on it.
    pub(super) fn free(&self, machine_types: &[MachineType]) -> Resources {
        let mut free = self
            .machine_type
            .and_then(|s| machine_types.get(s))
            .map(MachineType::room)
            .unwrap_or_default();
        for e in self.allocations.values().filter(|e| e.may_be_there()) {
            free.sub(&e.resources);
        }
        for orphan in &self.orphans {
            free.sub(&orphan.resources);
        }
        free
    }
    /// Room that is not promised either: without what was planned into it.
    pub(super) fn unpromised(&self, machine_types: &[MachineType]) -> Resources {
        let mut free = self.free(machine_types);
        let promised = |e: &&Allocation| (e.ahead.is_none() || e.kept) && !e.may_be_there();
        for e in self.allocations.values().filter(promised) {
            free.sub(&e.resources);
        }
        free
    }
    pub fn zone(&self) -> &str {
        &self.zone
    }
    pub(super) fn remember_image(&mut self, image: &Rc<str>) {
        self.images.retain(|i| i != image);
        self.images.push(image.clone());
        if self.images.len() > 24 {
            self.images.remove(0);
        }
    }
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Rc<JobSpec>,
    pub(super) revision: Revision,
    pub(super) state: JobState,
    pub(super) progress: JobProgress,
    pub(super) next_fresh: u32,
    pub(super) retry: BTreeMap<u32, Time>,
    /// Tasks with an entry or an orphan somewhere, and how many.
    pub(super) live: BTreeMap<u32, u32>,
    /// Run times over the estimate: the sum of logarithms, and how many.
    pub(super) ratios: (f64, u32),
    pub(super) hold_until: Time,
}

impl Job {
    pub(super) fn complete(&self) -> bool {
        self.spec.kind == JobKind::Batch && self.progress.done_count() >= self.spec.tasks
    }
    pub(super) fn resources(&self) -> Resources {
        resources_of(&self.spec)
    }
    /// Tasks with a place that are not done yet.
    pub(super) fn busy(&self) -> u32 {
        self.live
            .keys()
            .filter(|i| !self.progress.is_done(**i))
            .count() as u32
    }
    pub(super) fn waiting(&self) -> u32 {
        self.spec
            .tasks
            .saturating_sub(self.progress.done_count() + self.busy())
    }
    /// One entry or orphan of the task less; true when none is left.
    pub(super) fn release(&mut self, index: u32) -> bool {
        match self.live.get_mut(&index) {
            Some(n) if *n > 1 => {
                *n -= 1;
                false
            }
            _ => {
                self.live.remove(&index);
                true
            }
        }
    }
    pub(super) fn next_task(&mut self, now: Time) -> Option<u32> {
        let ready = self
            .retry
            .iter()
            .find(|(i, at)| {
                **at <= now && !self.live.contains_key(i) && !self.progress.is_done(**i)
            })
            .map(|(i, _)| *i);
        if ready.is_some() {
            return ready;
        }
        while self.next_fresh < self.spec.tasks {
            let i = self.next_fresh;
            if self.progress.is_done(i) || self.live.contains_key(&i) || self.retry.contains_key(&i)
            {
                self.next_fresh += 1;
            } else {
                return Some(i);
            }
        }
        None
    }
}

impl OpenJobs for BTreeMap<JobId, Job> {
    fn progress(&mut self, job: JobId) -> Option<(u32, &mut JobProgress)> {
        self.get_mut(&job).map(|j| (j.spec.tasks, &mut j.progress))
    }
}

/// What a task takes whose job has no description: a whole machine.
pub(super) const UNKNOWN_NEED: Resources = Resources {
    cpus: 1e9,
    gpus: 0.0,
    memory_gb: 0.0,
};

/// What all tasks of a job take together.
pub(super) fn size_of(spec: &JobSpec) -> f64 {
    f64::from(spec.tasks) * spec.cpus
}

pub fn resources_of(spec: &JobSpec) -> Resources {
    Resources {
        cpus: spec.cpus,
        gpus: spec.gpus,
        memory_gb: spec.memory_gb,
    }
}

#[derive(Default)]
pub(super) struct InFlightCommit {
    /// The new pages with what they place.
    pub(super) pages: Vec<(String, Vec<PlacementRow>)>,
    pub(super) progress_write: ProgressWrite,
    pub(super) finals: Vec<JobId>,
    pub(super) dead: Vec<PageId>,
}

/// A part of the work that can be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WorkUnit {
    Job(JobId),
    ProgressPage(usize),
    Page(PageId),
}

pub(super) struct RecoveryLoad {
    pub(super) pages: Vec<KeyValue>,
    pub(super) progress: Vec<KeyValue>,
    pub(super) stage: SchedulerCall,
    pub(super) in_flight: bool,
    pub(super) after: Option<String>,
}

/// What the node has to do after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    Unchanged,
    Deposed,
    Confirmed(Time),
    RefreshJobs,
    /// The teams' limits were changed: the placement was made by older ones.
    RefreshConfiguration,
}
