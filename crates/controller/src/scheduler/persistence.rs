//! The scheduler's records in the state service: reading them after a takeover, and the
//! transactions that change them.
//!
//! The parts: [`recovery`] reads pages and progress, [`transaction`] writes what has changed,
//! and [`outcome`] handles the reply. At most one transaction is in flight.

use crate::placement_pages::{PageId, PlacementRow};
use crate::progress::ProgressWrite;
use beamhinge_core::types::{JobId, Time};

mod outcome;
mod recovery;
mod transaction;

pub(super) use recovery::RecoveryLoad;

/// How long what the state service does not take is left alone, seconds.
const DEFERRAL_S: f64 = 30.0;

/// What a transaction without a reply contains.
#[derive(Default)]
pub(super) struct InFlightCommit {
    /// The new pages with what they place.
    pages: Vec<NewPage>,
    /// The progress pages that are written or removed.
    progress_write: ProgressWrite,
    /// Jobs whose record becomes `done`.
    finished_jobs: Vec<JobId>,
    /// Pages without use that are removed.
    removed_pages: Vec<PageId>,
}

/// A page that is to be created.
struct NewPage {
    key: String,
    rows: Vec<PlacementRow>,
}

/// A part of the work that can be deferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WorkUnit {
    /// The end of a job.
    Job(JobId),
    /// The write of a progress page.
    ProgressPage(usize),
    /// The removal of a placement page.
    Page(PageId),
}

/// What the node has to do after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Nothing.
    Unchanged,
    /// Step down: another controller holds the leadership.
    Deposed,
    /// Count the leadership as confirmed at this time.
    Confirmed(Time),
    /// Read the jobs again.
    RefreshJobs,
    /// Read the teams' quotas again: the placement was made by older ones.
    RefreshConfiguration,
}

#[cfg(test)]
mod tests;
