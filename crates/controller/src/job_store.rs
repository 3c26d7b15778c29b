//! The job store: a replica of all job records in the key-value store, under the prefix `j/`.
//!
//! A job's key is created when the job is accepted and changes only when the job is cancelled or
//! done, so a placement can be committed on the condition that its revision is unchanged. Keys are
//! never deleted.

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

/// Maximum number of distinct names of teams, classes and images that jobs share in memory; each
/// job keeps its own copies of further names. 16,384 are enough for 8,192 machines that each run a
/// different image, and for as many names of teams and classes.
const MAX_INTERNED_NAMES: usize = 16_384;

/// Maximum number of team and class names in summaries of done and cancelled jobs; jobs with
/// further names have no summary.
const MAX_SUMMARY_NAMES: usize = 1_024;

/// A job's record in the key-value store.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The revision of the job's key.
    pub revision: Revision,
    /// Whether the job is open, cancelled or done.
    pub state: JobState,
    /// The job description; `None` once the job is done or cancelled.
    pub spec: Option<Rc<JobSpec>>,
    /// The number of tasks; stays known once the job is done or cancelled.
    pub tasks: u32,
    /// Team, class and urgency once the job is done or cancelled; `None` while it is open or if
    /// they are unknown.
    summary: Option<CompactSummary>,
}

/// A [`JobSummary`] in sixteen bytes, because the job store holds every job that was ever
/// accepted. Team and class are indexes into [`JobStore::summary_names`].
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
    /// Whether a record has an unknown format or version, so that the state of jobs is uncertain.
    unreadable: bool,
    /// Jobs that changed since [`JobStore::take_changed`].
    changed: Vec<JobId>,
    /// The names to which compact summaries refer by index.
    summary_names: Vec<Rc<str>>,
    /// The team, class and image names of job descriptions, each stored once for all jobs.
    interned_names: BTreeSet<Rc<str>>,
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
            interned_names: BTreeSet::new(),
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

    /// The jobs with ids above `after`, in the order of their ids; all jobs if `after` is `None`.
    /// The order never changes, so a cursor stays valid when jobs are added or end.
    pub fn after(&self, after: Option<JobId>) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range((start, Bound::Unbounded))
    }

    /// Team, class and urgency of a job; `None` if they are unknown.
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

    /// Whether the replica is complete and all its records are readable.
    pub fn loaded(&self) -> bool {
        self.replica.loaded() && !self.unreadable
    }

    /// The time up to which the replica contains every committed change; `None` if unknown.
    pub fn fresh_as_of(&self) -> Option<Time> {
        if self.unreadable {
            return None;
        }
        self.replica.fresh_as_of()
    }

    /// Returns the jobs that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Requests a refresh of the replica at the next [`tick`](Self::tick), because other evidence
    /// shows that it is out of date.
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// Keeps the replica up to date. `refresh` is set if a request waits for a fresh replica, and
    /// `watch_changes` on the leader.
    pub fn tick(
        &mut self,
        now: Time,
        refresh: bool,
        watch_changes: bool,
        store: &mut StoreClient<Tag>,
    ) {
        self.replica.tick(now, refresh, watch_changes, store);
    }

    /// Returns the index of a name in the list of summary names, and adds the name if necessary;
    /// `None` if the list is full.
    fn summary_name_index(&mut self, name: &str) -> Option<u16> {
        if let Some(index) = self.summary_names.iter().position(|known| **known == *name) {
            return u16::try_from(index).ok();
        }
        // There are few teams and classes; names beyond the limit are not stored.
        if self.summary_names.len() >= MAX_SUMMARY_NAMES {
            return None;
        }
        self.summary_names.push(name.into());
        u16::try_from(self.summary_names.len() - 1).ok()
    }

    /// Replaces the names in a job description with the copies that are shared by all jobs.
    fn intern_names(&mut self, mut spec: JobSpec) -> JobSpec {
        for name in [&mut spec.team, &mut spec.class, &mut spec.image] {
            match self.interned_names.get(name) {
                Some(known) => *name = known.clone(),
                // Beyond the limit, each job keeps its own copy of a name.
                None if self.interned_names.len() < MAX_INTERNED_NAMES => {
                    self.interned_names.insert(name.clone());
                }
                None => {}
            }
        }
        spec
    }

    fn compact_summary(&mut self, summary: &JobSummary) -> Option<CompactSummary> {
        let (team, class) = (
            self.summary_name_index(&summary.team)?,
            self.summary_name_index(&summary.class)?,
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
            tracing::error!(key, "ignored key that is not a valid job key");
            return;
        };
        // Replies may arrive out of order; an older revision must not replace a newer one.
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
                    .and_then(|summary| self.compact_summary(summary));
                let spec = record.spec.map(|spec| Rc::new(self.intern_names(spec)));
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
                    "stopped serving jobs: record has an unknown format or version"
                );
                self.unreadable = true;
            }
        }
    }

    /// Handles the reply to one of the replica's calls; returns what it means for requests that
    /// wait for a fresh replica.
    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> Freshness {
        let update = self.replica.on_reply(now, call, reply);
        for change in &update.changes {
            // A job's key is never deleted, so a missing value is not evidence of a change.
            if let Some(value) = &change.value {
                self.apply(&change.key, change.revision, value);
            }
        }
        update.freshness
    }

    /// Applies a committed write of this controller before any watch reports it.
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
            Ok(unshared) => Rc::new(self.intern_names(unshared)),
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
            summary.and_then(|summary| self.compact_summary(&summary))
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
