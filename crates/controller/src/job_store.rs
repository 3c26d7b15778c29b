//! The book of jobs: what the state service holds under `j/`.
//!
//! A job's key is created when the job is accepted and changes only when it is
//! cancelled or done, so its stamp is a condition that a placement can rest on.

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

/// Different names of teams, classes and images that are kept once however many jobs have
/// them; further ones are kept by each of their jobs. 16,384 allow each of 8,192 machines to
/// run an image of its own, beside as many names of teams and classes.
const MAX_SHARED_NAMES: usize = 16_384;

#[derive(Clone, Debug)]
pub struct JobEntry {
    pub revision: Revision,
    pub state: JobState,
    pub spec: Option<Rc<JobSpec>>,
    /// How many tasks it has, also when it is over.
    pub tasks: u32,
    /// Whose it was, once it is over: names by their place in the book's list.
    summary: Option<CompactSummary>,
}

/// Sixteen bytes instead of two names: the book holds every job there ever was.
#[derive(Clone, Copy, Debug)]
struct CompactSummary {
    team: u16,
    class: u16,
    urgency: Urgency,
    submitted: u64,
}

pub struct JobStore {
    entries: BTreeMap<JobId, JobEntry>,
    replica: ReplicaCache,
    /// A record of a version we don't know: answers about jobs would be guesses.
    unreadable: bool,
    changed: Vec<JobId>,
    names: Vec<Rc<str>>,
    /// The same names and images, each kept once however many jobs hold it.
    shared: BTreeSet<Rc<str>>,
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
            names: Vec::new(),
            shared: BTreeSet::new(),
        }
    }
}

impl JobStore {
    pub fn get(&self, id: JobId) -> Option<&JobEntry> {
        self.entries.get(&id)
    }
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        self.entries.iter()
    }
    /// The jobs behind `after` in the order of their ids, which never changes:
    /// a cursor stays good whatever comes or ends meanwhile.
    pub fn after(&self, after: Option<JobId>) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range((start, Bound::Unbounded))
    }
    /// Whose a job is or was, as far as its record tells.
    pub fn summary(&self, entry: &JobEntry) -> Option<JobSummary> {
        if let Some(spec) = &entry.spec {
            return Some(JobSummary::from(&**spec));
        }
        let b = entry.summary?;
        let name = |i: u16| self.names.get(usize::from(i)).map(|n| n.to_string());
        Some(JobSummary {
            team: name(b.team)?,
            class: name(b.class)?,
            urgency: b.urgency,
            submitted: b.submitted,
        })
    }
    pub fn loaded(&self) -> bool {
        self.replica.loaded() && !self.unreadable
    }
    /// The copy holds all that was committed before this moment.
    pub fn fresh_as_of(&self) -> Option<Time> {
        if self.unreadable {
            return None;
        }
        self.replica.fresh_as_of()
    }
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Something else showed that our copy is old.
    pub fn request_refresh(&mut self) {
        self.replica.request_refresh();
    }

    /// Keeps the copy as fresh as wanted: `ask` when somebody waits for an
    /// answer, `follow` on the holder.
    pub fn tick(&mut self, now: Time, ask: bool, follow: bool, store: &mut StoreClient<Tag>) {
        self.replica.tick(now, ask, follow, store);
    }

    fn name(&mut self, name: &str) -> Option<u16> {
        if let Some(at) = self.names.iter().position(|n| **n == *name) {
            return u16::try_from(at).ok();
        }
        // Teams and classes are few; a flood of names is not remembered.
        if self.names.len() >= 1_024 {
            return None;
        }
        self.names.push(name.into());
        u16::try_from(self.names.len() - 1).ok()
    }

    /// Puts names that other jobs have in the place of a job's own copies.
    fn share(&mut self, mut spec: JobSpec) -> JobSpec {
        for name in [&mut spec.team, &mut spec.class, &mut spec.image] {
            match self.shared.get(name) {
                Some(known) => *name = known.clone(),
                // A flood of names is kept by its jobs alone.
                None if self.shared.len() < MAX_SHARED_NAMES => {
                    self.shared.insert(name.clone());
                }
                None => {}
            }
        }
        spec
    }

    fn shorten(&mut self, summary: &JobSummary) -> Option<CompactSummary> {
        let (team, class) = (self.name(&summary.team)?, self.name(&summary.class)?);
        Some(CompactSummary {
            team,
            class,
            urgency: summary.urgency,
            submitted: summary.submitted,
        })
    }

    fn put(&mut self, path: &str, revision: u64, value: &Value) {
        let Some(id) = path.strip_prefix(PREFIX).and_then(JobId::parse) else {
            tracing::error!("a key under {PREFIX} is no job: {path}");
            return;
        };
        // A reply that overtook another must not take us back.
        if self
            .entries
            .get(&id)
            .is_some_and(|e| e.revision.0 >= revision)
        {
            return;
        }
        match wire::from_value::<JobRecord>(value) {
            Ok(r) if r.version == RECORD_VERSION => {
                let summary = r.summary.as_ref().and_then(|b| self.shorten(b));
                let spec = r.spec.map(|s| Rc::new(self.share(s)));
                self.entries.insert(
                    id,
                    JobEntry {
                        revision: Revision(revision),
                        state: r.state,
                        tasks: r.task_count.or(spec.as_ref().map(|s| s.tasks)).unwrap_or(0),
                        spec,
                        summary,
                    },
                );
                self.changed.push(id);
            }
            _ => {
                tracing::error!("job record {path} has a form or version this program does not know; jobs stop here");
                self.unreadable = true;
            }
        }
    }

    pub fn on_reply(&mut self, now: Time, call: ReplicaCall, reply: Reply<Tag>) -> Freshness {
        let update = self.replica.on_reply(now, call, reply);
        for change in &update.changes {
            // A job's key is never deleted: that one is missing proves nothing.
            if let Some(value) = &change.value {
                self.put(&change.key, change.revision, value);
            }
        }
        update.freshness
    }

    /// What our own committed transaction wrote, known before any watch.
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
            .is_some_and(|e| e.revision >= revision)
        {
            return;
        }
        let spec = spec.map(|s| match Rc::try_unwrap(s) {
            Ok(alone) => Rc::new(self.share(alone)),
            Err(held) => held,
        });
        let known = self.entries.get(&id);
        let tasks = spec
            .as_ref()
            .map(|s| s.tasks)
            .or(known.map(|e| e.tasks))
            .unwrap_or(0);
        let summary = known.and_then(|e| e.spec.as_deref()).map(JobSummary::from);
        let summary = if spec.is_some() {
            None
        } else {
            summary.and_then(|b| self.shorten(&b))
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
