//! What a holder's books are made of: reports, entries, machines and jobs.

use super::*;

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    pub host: String,
    pub endpoint: String,
    pub shape: String,
    pub yard: String,
    pub loaners: bool,
    pub tenure: u64,
    pub tick: u64,
    pub baton: u64,
    #[serde(default, deserialize_with = "wire::amount_or_null")]
    pub reclaim_in_s: Option<f64>,
    pub pieces: Vec<Piece>,
}

#[derive(Debug, Deserialize)]
pub struct Piece {
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: String,
    #[serde(default)]
    pub cause: Option<String>,
}

#[derive(Debug, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    pub verb: &'static str,
    pub piece: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wind_down_s: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment {
    pub(super) tenure: u64,
    pub(super) tick: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Pulling,
    Running,
    Saving,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Chosen, not yet committed: `run` must not be sent.
    Planned,
    /// Committed; `run` was never sent, or was proven not to have arrived.
    Committed,
    /// `run` went out with the answer to this report.
    Sent(Moment),
    /// The worker has listed it.
    Seen(Phase),
    /// Found in a page of an earlier holder: it may or may not be there.
    Inherited,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) attempt: Attempt,
    pub(super) need: Need,
    pub(super) team: Option<usize>,
    pub(super) state: State,
    pub(super) kill: Option<f64>,
    pub(super) in_flight: bool,
    pub(super) started: Option<Time>,
    /// Started under an earlier holder: how long it has run is unknown.
    pub(super) inherited: bool,
    /// The page that names it, once committed.
    pub(super) page: Option<PageNo>,
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
    pub(super) need: Need,
    pub(super) team: Option<usize>,
}

#[derive(Debug)]
pub struct Machine {
    pub(super) shape: Option<usize>,
    pub(super) zone: String,
    pub spot: bool,
    pub endpoint: Option<SocketAddrV4>,
    pub(super) last: Option<Moment>,
    /// The newest that it said in answer to a direct command.
    pub(super) told: Option<Moment>,
    /// When its first word in our term came, while that is all there is.
    pub(super) first_word: Option<Time>,
    pub heard: Option<Time>,
    pub(super) answered: Option<Time>,
    /// The worker's newest report carried our token.
    pub(super) synced: bool,
    /// One of its reports did, so it heeds no earlier holder any more.
    pub(super) ever_synced: bool,
    pub reclaim: bool,
    pub draining: bool,
    /// The operators' drain that it is under.
    pub drain: Option<Rc<Directive>>,
    pub(super) entries: BTreeMap<TaskId, Entry>,
    /// Listed by the worker, though not in our books.
    pub(super) orphans: Vec<Orphan>,
    pub(super) images: Vec<Rc<str>>,
    pub idle_since: Time,
    /// It refused a task for which our books saw room: until then, no more.
    pub(super) refuses_until: Time,
    /// Whether it takes what it is told.
    pub heed: Heed,
    /// Its last report came in time after the one before. Where answers do not
    /// arrive, a worker goes round all controllers and comes here ever so seldom: it is
    /// heard just now, and gone again before the next.
    pub(super) steady: bool,
    /// It reported again without our token, though an answer with it had gone out.
    pub(super) astray: bool,
    pub sick: bool,
    /// Run times here over those expected, and how many tell so.
    pub(super) pace: (f64, u32),
    pub slow: bool,
}

impl Entry {
    /// Chosen for a machine, and not yet in any transaction.
    pub(super) fn planned(
        attempt: Attempt,
        need: Need,
        team: Option<usize>,
        now: Time,
        ahead: Option<Time>,
    ) -> Entry {
        Entry {
            attempt,
            need,
            team,
            state: State::Planned,
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
        !matches!(self.state, State::Planned | State::Committed)
    }
    /// How long it has run, as far as we saw.
    pub(super) fn ran_s(&self, now: Time) -> f64 {
        self.started.map_or(0.0, |s| now.since(s))
    }
}

impl Machine {
    pub(super) fn new(now: Time) -> Machine {
        Machine {
            shape: None,
            zone: String::new(),
            spot: false,
            endpoint: None,
            last: None,
            told: None,
            first_word: None,
            heard: None,
            answered: None,
            synced: false,
            ever_synced: false,
            reclaim: false,
            draining: false,
            drain: None,
            entries: BTreeMap::new(),
            orphans: Vec::new(),
            images: Vec::new(),
            idle_since: now,
            refuses_until: Time::default(),
            heed: Heed::default(),
            steady: true,
            astray: false,
            sick: false,
            pace: (1.0, 0),
            slow: false,
        }
    }
    pub fn is_empty(&self) -> bool {
        self.orphans.is_empty() && self.entries.is_empty()
    }
    /// Its reports come and our answers do not arrive: it goes from controller to
    /// controller.
    pub fn roams(&self, now: Time) -> bool {
        self.astray || self.heed.deaf_s(now).is_some()
    }
    pub fn shape(&self) -> Option<usize> {
        self.shape
    }
    /// Room beside what may be on it.
    pub(super) fn free(&self, shapes: &[Shape]) -> Need {
        let mut free = self.shape.and_then(|s| shapes.get(s)).map(Shape::room).unwrap_or_default();
        for e in self.entries.values().filter(|e| e.may_be_there()) {
            free.sub(&e.need);
        }
        for orphan in &self.orphans {
            free.sub(&orphan.need);
        }
        free
    }
    /// Room that is not promised either: without what was planned into it.
    pub(super) fn unpromised(&self, shapes: &[Shape]) -> Need {
        let mut free = self.free(shapes);
        let promised = |e: &&Entry| (e.ahead.is_none() || e.kept) && !e.may_be_there();
        for e in self.entries.values().filter(promised) {
            free.sub(&e.need);
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
    pub(super) progress: Progress,
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
        self.spec.kind == JobKind::Batch && self.progress.count() >= self.spec.tasks
    }
    pub(super) fn need(&self) -> Need {
        need_of(&self.spec)
    }
    /// Tasks with a place that are not done yet.
    pub(super) fn busy(&self) -> u32 {
        self.live.keys().filter(|i| !self.progress.has(**i)).count() as u32
    }
    pub(super) fn waiting(&self) -> u32 {
        self.spec.tasks.saturating_sub(self.progress.count() + self.busy())
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
            .find(|(i, at)| **at <= now && !self.live.contains_key(i) && !self.progress.has(**i))
            .map(|(i, _)| *i);
        if ready.is_some() {
            return ready;
        }
        while self.next_fresh < self.spec.tasks {
            let i = self.next_fresh;
            if self.progress.has(i) || self.live.contains_key(&i) || self.retry.contains_key(&i) {
                self.next_fresh += 1;
            } else {
                return Some(i);
            }
        }
        None
    }
}

impl Open for BTreeMap<JobId, Job> {
    fn progress(&mut self, job: JobId) -> Option<(u32, &mut Progress)> {
        self.get_mut(&job).map(|j| (j.spec.tasks, &mut j.progress))
    }
}

/// What a task takes whose job has no description: a whole machine.
pub(super) const UNKNOWN_NEED: Need = Need { cpus: 1e9, gpus: 0.0, memory_gb: 0.0 };

/// What all tasks of a job take together.
pub(super) fn size_of(spec: &JobSpec) -> f64 {
    f64::from(spec.tasks) * spec.cpus
}

pub fn need_of(spec: &JobSpec) -> Need {
    Need { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
}

#[derive(Default)]
pub(super) struct InFlight {
    /// The new pages with what they place.
    pub(super) pages: Vec<(String, Vec<Row>)>,
    pub(super) shelved: Shelved,
    pub(super) finals: Vec<JobId>,
    pub(super) dead: Vec<PageNo>,
}

/// A part of the work that can be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Part {
    Job(JobId),
    Shelf(usize),
    Page(PageNo),
}

pub(super) struct Load {
    pub(super) pages: Vec<Item>,
    pub(super) progress: Vec<Item>,
    pub(super) stage: PlacementCall,
    pub(super) in_flight: bool,
    pub(super) after: Option<String>,
}

/// What the node has to do after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Fine,
    Deposed,
    Confirmed(Time),
    RefreshJobs,
    /// The teams' limits were changed: the placement was made by older ones.
    RefreshConfiguration,
}
