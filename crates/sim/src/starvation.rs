//! Jobs that wait although a machine that fits has room and their team is under its limit,
//! after the last fault. Judged by what really is on the machines, never by what the
//! controllers believe.

use beamhinge_emulator::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// So long a job may wait beside room that fits, seconds.
pub const MAX_WAIT_S: u64 = 90;

struct Wait {
    since: Micros,
    /// Tasks that had started by then.
    started: u64,
}

/// How long jobs wait beside room that fits.
#[derive(Default)]
pub struct StarvationTracker {
    waits: BTreeMap<String, Wait>,
    /// Jobs that waited for longer than [`MAX_WAIT_S`].
    pub starved: BTreeSet<String>,
    /// The longest that any has waited.
    pub longest: Micros,
}

impl StarvationTracker {
    /// Takes the jobs that wait beside room now, with the number of their tasks that have
    /// started. Waits count from `healed`, the end of the last fault.
    pub fn update(&mut self, now: Micros, healed: Micros, waiting: BTreeMap<String, u64>) {
        let before = std::mem::take(&mut self.waits);
        for (job, started) in waiting {
            // A task more that started or ended: the job is served.
            let same = before.get(&job).filter(|wait| wait.started >= started);
            let since = same.map_or(now, |wait| wait.since).max(healed);
            self.longest = self.longest.max(now - since);
            if now - since > MAX_WAIT_S * SECOND {
                self.starved.insert(job.clone());
            }
            self.waits.insert(job, Wait { since, started });
        }
    }
}
