//! State of the leader's reads and transactions in the state service.

use crate::calls::SchedulerCall;
use crate::placement_pages::{PageId, PlacementRow};
use crate::progress::ProgressWrite;
use crate::store::KeyValue;
use beamhinge_core::types::{JobId, Time};

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
