//! The job store: a copy of all jobs that the key-value store holds under `j/`.
//!
//! A job's key is created when the job is accepted and changes only when the job is cancelled
//! or done, so its revision is a condition that a placement can rest on. Keys are never deleted.

use crate::calls::{ReplicaCall, Tag};
use crate::replica::{Freshness, ReplicaCache, ReplicaConfig};
use crate::store::{Priority, Reply, StoreClient};
use beamhinge_core::job::JobSummary;
pub use beamhinge_core::job::{
    cancelled_record, done_record, key, open_record, JobKind, JobRecord, JobSpec, JobState,
    Urgency, PREFIX, RECORD_VERSION,
};
use beamhinge_core::types::{JobId, Revision, Time};
use beamhinge_core::wire;
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

/// Names of teams, classes and images that are kept once however many jobs have them; further
/// ones are kept by each of their jobs. 16,384 allow each of 8,192 machines to run an image of
/// its own, beside as many names of teams and classes.
const MAX_SHARED_NAMES: usize = 16_384;

/// Names of teams and classes of jobs that are over; the jobs of further ones have no summary.
const MAX_SUMMARY_NAMES: usize = 1_024;

/// A job as the key-value store holds it.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The revision of the job's key.
    pub revision: Revision,
    /// Whether the job is open, cancelled or done.
    pub state: JobState,
    /// The description; none once the job is over.
    pub spec: Option<Rc<JobSpec>>,
    /// The number of tasks, also once the job is over.
    pub tasks: u32,
    /// Team, class and urgency, once the job is over.
    summary: Option<CompactSummary>,
}

/// A [`JobSummary`] in sixteen bytes: the job store holds every job there ever was. Team and
/// class are indexes into [`JobStore::summary_names`].
#[derive(Clone, Copy, Debug)]
struct CompactSummary {
    team: u16,
    class: u16,
    urgency: Urgency,
    submitted: u64,
}

/// All jobs that were ever accepted, kept up to date by watches.
pub struct JobStore {
    entries: BTreeMap<JobId, JobEntry>,
    replica: ReplicaCache,
    /// A record has an unknown form or version: answers about jobs would be guesses.
    unreadable: bool,
    /// Jobs that changed since [`JobStore::take_changed`].
    changed: Vec<JobId>,
    /// The names that compact summaries refer to, by index.
    summary_names: Vec<Rc<str>>,
    /// The names and images of descriptions, each kept once however many jobs have it.
    shared_names: BTreeSet<Rc<str>>,
}

impl Default for JobStore {
    fn default() -> JobStore {
        JobStore {
            entries: BTreeMap::new(),
            replica: ReplicaCache::new(ReplicaConfig {
                prefix: PREFIX,
                tag: Tag::Job,
                watch_wait_s: 2.0,
                watch_priority: Priority::Admission,
                max_age_s: 15.0,
            }),
            unreadable: false,
            changed: Vec::new(),
            summary_names: Vec::new(),
            shared_names: BTreeSet::new(),
        }
    }
}

impl JobStore {
    /// The job with this id.
    pub fn get(&self, id: JobId) -> Option<&JobEntry> {
        self.entries.get(&id)
    }

    /// All jobs in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        self.entries.iter()
    }

    /// The jobs behind `after` in the order of their ids. The order never changes, so a cursor
    /// stays valid whatever jobs are added or end meanwhile.
    pub fn after(&self, after: Option<JobId>) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range((start, Bound::Unbounded))
    }

    /// Team, class and urgency of a job, as far as its record holds them.
    pub fn summary(&self, entry: &JobEntry) -> Option<JobSummary> {
        if let Some(spec) = &entry.spec {
            return Some(JobSummary::from(&**spec));
        }
        let summary = entry.summary?;
        let name = |index: u16| {
            self.summary_names
                .get(usize::from(index))
                .map(ToString::to_string)
        };
        Some(JobSummary {
            team: name(summary.team)?,
            class: name(summary.class)?,
            urgency: summary.urgency,
            submitted: summary.submitted,
        })
    }

    /// Whether the copy is complete and could be read.
    pub fn loaded(&self) -> bool {
        self.replica.loaded() && !self.unreadable
    }

    /// The copy holds everything that was committed before this time.
    pub fn fresh_as_of(&self) -> Option<Time> {
        if self.unreadable {
            return None;
        }
        self.replica.fresh_as_of()
    }

    /// Takes the jobs that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Refreshes the copy at the next [`tick`](Self::tick), because something else showed that
    /// it is out of date.
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// Keeps the copy up to date: `refresh` if a request waits for a fresh copy, `follow` on the
    /// leader.
    pub fn tick(&mut self, now: Time, refresh: bool, follow: bool, store: &mut StoreClient<Tag>) {
        self.replica.tick(now, refresh, follow, store);
    }

    /// The index of a name in the list of summary names, to which it is added.
    fn summary_name(&mut self, name: &str) -> Option<u16> {
        if let Some(index) = self.summary_names.iter().position(|known| **known == *name) {
            return u16::try_from(index).ok();
        }
        // Teams and classes are few; an excess of names is not remembered.
        if self.summary_names.len() >= MAX_SUMMARY_NAMES {
            return None;
        }
        self.summary_names.push(name.into());
        u16::try_from(self.summary_names.len() - 1).ok()
    }

    /// Replaces a description's names by the copies that other jobs share.
    fn share_names(&mut self, mut spec: JobSpec) -> JobSpec {
        for name in [&mut spec.team, &mut spec.class, &mut spec.image] {
            match self.shared_names.get(name) {
                Some(known) => *name = known.clone(),
                // An excess of names is kept by each job alone.
                None if self.shared_names.len() < MAX_SHARED_NAMES => {
                    self.shared_names.insert(name.clone());
                }
                None => {}
            }
        }
        spec
    }

    fn compact(&mut self, summary: &JobSummary) -> Option<CompactSummary> {
        let (team, class) = (
            self.summary_name(&summary.team)?,
            self.summary_name(&summary.class)?,
        );
        Some(CompactSummary {
            team,
            class,
            urgency: summary.urgency,
            submitted: summary.submitted,
        })
    }

    /// Applies the stored value of a key.
    fn apply(&mut self, key: &str, revision: u64, value: &Value) {
        let Some(id) = key.strip_prefix(PREFIX).and_then(JobId::parse) else {
            tracing::error!(key, "ignored key that is not a job");
            return;
        };
        // A reply that overtook another must not restore an older state.
        if self
            .entries
            .get(&id)
            .is_some_and(|known| known.revision.0 >= revision)
        {
            return;
        }
        match wire::from_value::<JobRecord>(value) {
            Ok(record) if record.version == RECORD_VERSION => {
                let summary = record
                    .summary
                    .as_ref()
                    .and_then(|summary| self.compact(summary));
                let spec = record.spec.map(|spec| Rc::new(self.share_names(spec)));
                self.entries.insert(
                    id,
                    JobEntry {
                        revision: Revision(revision),
                        state: record.state,
                        tasks: record
                            .task_count
                            .or(spec.as_ref().map(|spec| spec.tasks))
                            .unwrap_or(0),
                        spec,
                        summary,
                    },
                );
                self.changed.push(id);
            }
            _ => {
                tracing::error!(
                    key,
                    "stopped serving jobs: record of unknown form or version"
                );
                self.unreadable = true;
            }
        }
    }

    /// Handles the reply to one of the copy's calls; returns what it means for requests that wait
    /// for a fresh copy.
    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> Freshness {
        let update = self.replica.on_reply(now, call, reply);
        for change in &update.changes {
            // A job's key is never deleted, so a missing value proves nothing.
            if let Some(value) = &change.value {
                self.apply(&change.key, change.revision, value);
            }
        }
        update.freshness
    }

    /// Applies what this controller's own committed transaction wrote, ahead of any watch.
    pub fn on_committed(
        &mut self,
        id: JobId,
        revision: Revision,
        state: JobState,
        spec: Option<Rc<JobSpec>>,
    ) {
        if self
            .entries
            .get(&id)
            .is_some_and(|known| known.revision >= revision)
        {
            return;
        }
        let spec = spec.map(|spec| match Rc::try_unwrap(spec) {
            Ok(unshared) => Rc::new(self.share_names(unshared)),
            Err(shared) => shared,
        });
        let known = self.entries.get(&id);
        let tasks = spec
            .as_ref()
            .map(|spec| spec.tasks)
            .or(known.map(|entry| entry.tasks))
            .unwrap_or(0);
        let summary = known
            .and_then(|entry| entry.spec.as_deref())
            .map(JobSummary::from);
        let summary = if spec.is_some() {
            None
        } else {
            summary.and_then(|summary| self.compact(&summary))
        };
        self.entries.insert(
            id,
            JobEntry {
                revision,
                state,
                spec,
                tasks,
                summary,
            },
        );
        self.changed.push(id);
    }
}

#[cfg(test)]
mod tests;
