//! Jobs that wait, after the last fault, although a suitable machine has enough free capacity
//! and their team is under its limit. Judged by the actual tasks on the machines, never by
//! what the controllers believe.

use beamhinge_emulator::{Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time that a job may wait while enough free capacity fits it, seconds.
pub const MAX_WAIT_S: u64 = 90;

struct Wait {
    since: Micros,
    /// Number of tasks that had started when the job was last checked.
    started: u64,
}

/// Tracks how long jobs wait while enough free capacity fits them.
#[derive(Default)]
pub struct StarvationTracker {
    waits: BTreeMap<String, Wait>,
    /// Jobs that waited for longer than [`MAX_WAIT_S`].
    pub starved: BTreeSet<String>,
    /// The longest wait of any job.
    pub longest: Micros,
}

impl StarvationTracker {
    /// Records the jobs that wait now although free capacity fits them, with the number of
    /// their tasks that have started. Waits count from `healed`, the end of the last fault, at
    /// the earliest.
    pub fn update(&mut self, now: Micros, healed: Micros, waiting: BTreeMap<String, u64>) {
        let before = std::mem::take(&mut self.waits);
        for (job, started) in waiting {
            // If another task has started or ended, the job is being served and its wait
            // begins again.
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
