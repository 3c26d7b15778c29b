//! Allocations: one attempt of a task on one machine, from planning until its end is proven.

use crate::placement_pages::PageId;
use crate::split::Resources;
use crate::worker_protocol::{ReportVersion, WorkerCommand};
use beamhinge_core::types::{Attempt, TaskId, Time};

/// Phase of an attempt on its machine, as reported by the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskPhase {
    FetchingImage,
    Running,
    Checkpointing,
}

/// State of an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Planned but not committed: `run` must not be sent.
    Planned,
    /// Committed. `run` was never sent, or provably did not arrive.
    Committed,
    /// `run` was sent in the answer to this report.
    RunSent(ReportVersion),
    /// The worker has listed the task in a report.
    Observed(TaskPhase),
    /// Loaded from a placement page of an earlier leader: it may or may not be on the machine.
    Inherited,
}

/// One attempt of a task on one machine.
#[derive(Clone, Debug)]
pub(super) struct Allocation {
    /// Number of the attempt.
    pub(super) attempt: Attempt,
    /// Resources that it uses on the machine.
    pub(super) resources: Resources,
    /// Index of the team whose quota it counts against; `None` if the team is unknown.
    pub(super) team: Option<usize>,
    /// Its state.
    pub(super) state: TaskState,
    /// Grace period to save a checkpoint, seconds, if it is to be stopped; `None` otherwise.
    pub(super) kill_grace_s: Option<f64>,
    /// Its page is in a transaction that awaits its reply.
    pub(super) in_flight: bool,
    /// When a report first listed it as running; `None` until then.
    pub(super) started_at: Option<Time>,
    /// It started under an earlier leader, so its elapsed run time is unknown.
    pub(super) inherited: bool,
    /// The placement page that contains it; `None` until it is committed.
    pub(super) page: Option<PageId>,
    /// When it was planned or inherited.
    pub(super) placed_at: Time,
    /// When it was nominated, which is a placement before the machine has enough free capacity: the
    /// task starts as soon as another task there ends. `None` if it is not nominated.
    pub(super) nominated_at: Option<Time>,
    /// Other tasks were preempted for this nomination, so the freed capacity is reserved for it.
    pub(super) reserved: bool,
    /// It was placed with a priority boost and counts against the priority lane.
    pub(super) boosted: bool,
}

impl Allocation {
    /// Creates a planned allocation that is in no transaction yet.
    pub(super) fn planned(
        attempt: Attempt,
        resources: Resources,
        team: Option<usize>,
        now: Time,
        nominated_at: Option<Time>,
    ) -> Allocation {
        Allocation {
            attempt,
            resources,
            team,
            state: TaskState::Planned,
            kill_grace_s: None,
            in_flight: false,
            started_at: None,
            inherited: false,
            page: None,
            placed_at: now,
            nominated_at,
            reserved: false,
            boosted: false,
        }
    }

    /// Creates an allocation that was read from a placement page of an earlier leader.
    pub(super) fn inherited(
        attempt: Attempt,
        resources: Resources,
        team: Option<usize>,
        now: Time,
        page: PageId,
    ) -> Allocation {
        Allocation {
            state: TaskState::Inherited,
            inherited: true,
            page: Some(page),
            ..Allocation::planned(attempt, resources, team, now, None)
        }
    }

    /// Whether it may be on the machine, according to the commands sent.
    pub(super) fn may_be_on_machine(&self) -> bool {
        !matches!(self.state, TaskState::Planned | TaskState::Committed)
    }

    /// Whether its worker has listed it in a report.
    pub(super) fn is_observed(&self) -> bool {
        matches!(self.state, TaskState::Observed(_))
    }

    /// The command that stops it; `None` if it is not to be stopped.
    pub(super) fn kill_command(&self, task: TaskId) -> Option<WorkerCommand> {
        self.kill_grace_s
            .map(|grace_s| WorkerCommand::kill(task, self.attempt, grace_s))
    }

    /// Time since it was first reported as running, seconds; 0 if it never was.
    pub(super) fn ran_s(&self, now: Time) -> f64 {
        self.started_at
            .map_or(0.0, |started_at| now.since(started_at))
    }
}

/// A task that a worker lists without an allocation. It uses resources and counts against its
/// team's quota until it ends, even if its job has ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct OrphanTask {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) resources: Resources,
    pub(super) team: Option<usize>,
}
