//! Announcements of ended jobs to the peers.
//!
//! A user who was told by one controller that a job has ended must not be told by another one
//! afterwards that it runs. So the end is announced to the peers, once for each job.

use beamhinge_core::types::JobId;
use std::collections::VecDeque;

/// Announced jobs that are remembered: no more end within the seconds in which a request
/// waits.
pub(super) const MAX_RECENT: usize = 512;

/// Ends that users were told.
#[derive(Default)]
pub(super) struct EndAnnouncements {
    /// Not yet sent to the peers.
    unsent: Vec<JobId>,
    /// Sent or about to be, the latest last; at most [`MAX_RECENT`].
    pub(super) recent: VecDeque<JobId>,
}

impl EndAnnouncements {
    /// A user is told that this job has ended.
    pub(super) fn announce(&mut self, id: JobId) {
        if self.recent.contains(&id) {
            return;
        }
        if self.recent.len() >= MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(id);
        self.unsent.push(id);
    }

    /// What is to be sent to the peers now.
    pub(super) fn take_unsent(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.unsent)
    }
}
