//! The scheduler's records in the key-value store: loads them after a leadership acquisition and
//! commits the transactions that change them.
//!
//! [`recovery`] loads placement pages and progress pages, [`transaction`] builds and sends a
//! transaction with all pending changes, and [`outcome`] handles the reply. At most one
//! transaction is in flight.

use crate::placement_pages::{PageId, PlacementRow};
use crate::progress::ProgressWrite;
use beamhinge_core::types::{JobId, Time};

mod outcome;
mod recovery;
mod transaction;

pub(super) use recovery::RecoveryLoad;

/// How long a unit of work that the key-value store rejects is deferred, seconds.
const DEFERRAL_S: f64 = 30.0;

/// The content of the transaction whose reply is outstanding.
#[derive(Default)]
pub(super) struct InFlightCommit {
    /// The new placement pages with their rows.
    pages: Vec<NewPage>,
    /// The progress pages that the transaction writes or removes.
    progress_write: ProgressWrite,
    /// Jobs whose records become `done`.
    finished_jobs: Vec<JobId>,
    /// Unreferenced placement pages that the transaction removes.
    removed_pages: Vec<PageId>,
}

/// A placement page that a transaction creates.
struct NewPage {
    key: String,
    rows: Vec<PlacementRow>,
}

/// A unit of work that can be deferred on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WorkUnit {
    /// Marks a job's record as `done`.
    Job(JobId),
    /// Writes a progress page.
    ProgressPage(usize),
    /// Removes a placement page.
    Page(PageId),
}

/// What the controller has to do after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Nothing has to be done.
    Unchanged,
    /// Step down: another controller is the leader.
    LeadershipLost,
    /// The leadership was confirmed as of this time.
    Confirmed(Time),
    /// Refresh the replica of the jobs.
    RefreshJobs,
    /// Refresh the configuration: the placements are based on outdated team quotas.
    RefreshConfiguration,
}

#[cfg(test)]
mod tests;
