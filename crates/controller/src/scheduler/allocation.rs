//! An allocation: one attempt at a task on one machine, from the plan to the proof of its end.

use crate::placement_pages::PageId;
use crate::split::Resources;
use crate::worker_protocol::{ReportVersion, WorkerCommand};
use beamhinge_core::types::{Attempt, TaskId, Time};

/// What a running attempt does, as far as its worker says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskPhase {
    FetchingImage,
    Running,
    Checkpointing,
}

/// How far an allocation has come.
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
    /// Found in a page of an earlier leader: it may or may not be on the machine.
    Inherited,
}

/// One attempt at a task on one machine.
#[derive(Clone, Debug)]
pub(super) struct Allocation {
    /// Which attempt at the task it is.
    pub(super) attempt: Attempt,
    /// What it takes of the machine.
    pub(super) resources: Resources,
    /// Index of its team, against whose quota it counts.
    pub(super) team: Option<usize>,
    /// How far it has come.
    pub(super) state: TaskState,
    /// It is to be stopped, with so many seconds to save its progress.
    pub(super) kill_grace_s: Option<f64>,
    /// The page that names it is in a transaction without a reply.
    pub(super) in_flight: bool,
    /// When it was first seen running.
    pub(super) started_at: Option<Time>,
    /// Started under an earlier leader: how long it has run is unknown.
    pub(super) inherited: bool,
    /// The page that names it, once committed.
    pub(super) page: Option<PageId>,
    /// When it was planned, or inherited.
    pub(super) placed_at: Time,
    /// Nominated: placed, at this time, before the machine had room. It runs as soon as
    /// something else there ends.
    pub(super) nominated_at: Option<Time>,
    /// Nominated where others were preempted for it: nobody else gets that room.
    pub(super) reserved: bool,
    /// It got its room as one with a priority boost, and counts against the boosted lane.
    pub(super) boosted: bool,
}

impl Allocation {
    /// Chosen for a machine, and not yet in any transaction.
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

    /// Read from a page of an earlier leader.
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

    /// Whether it may be on the machine, by all that was sent.
    pub(super) fn may_be_on_machine(&self) -> bool {
        !matches!(self.state, TaskState::Planned | TaskState::Committed)
    }

    /// Whether its worker has listed it.
    pub(super) fn is_observed(&self) -> bool {
        matches!(self.state, TaskState::Observed(_))
    }

    /// The command that stops it, if it is to be stopped.
    pub(super) fn kill_command(&self, task: TaskId) -> Option<WorkerCommand> {
        self.kill_grace_s
            .map(|grace_s| WorkerCommand::kill(task, self.attempt, grace_s))
    }

    /// Seconds for which it was seen running.
    pub(super) fn ran_s(&self, now: Time) -> f64 {
        self.started_at
            .map_or(0.0, |started_at| now.since(started_at))
    }
}

/// A task that a worker lists and no allocation names: it takes room, and its team's
/// quota, until it is gone, also when its job is over.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct OrphanTask {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) resources: Resources,
    pub(super) team: Option<usize>,
}
