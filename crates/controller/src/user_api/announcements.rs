//! Announces ended jobs to the peers.
//!
//! After one controller has told a user that a job ended, no other controller may answer that
//! the job still runs. Each controller therefore announces a job's end to its peers, once per
//! job.

use beamhinge_core::types::JobId;
use std::collections::VecDeque;

/// Number of announced jobs that are remembered, to announce each only once: no more jobs end
/// within the seconds for which a request may wait.
pub(super) const MAX_RECENT: usize = 512;

/// Ended jobs whose end was reported to a user.
#[derive(Default)]
pub(super) struct EndAnnouncements {
    /// Jobs not yet announced to the peers.
    unsent: Vec<JobId>,
    /// Jobs announced or about to be announced, the latest last; at most [`MAX_RECENT`].
    pub(super) recent: VecDeque<JobId>,
}

impl EndAnnouncements {
    /// Records that the end of this job is reported to a user.
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

    /// Takes the jobs to announce to the peers now.
    pub(super) fn take_unsent(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.unsent)
    }
}
