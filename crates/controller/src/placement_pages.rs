//! Placement pages: the stored records of which task is placed on which machine.
//!
//! A page lists the tasks that were placed together. It is written once, by the transaction that
//! places them, and deleted when all of them have ended; in between it may list tasks that ended
//! long ago. A placement thus costs one write, regardless of the number of machines.
//!
//! Invariant: a page is written only together with a condition on the block key. Once another
//! controller has changed the block key, a former leader can no longer place tasks, however late
//! its transaction is executed.

use beamhinge_core::types::{Attempt, FencingToken, JobId, MachineId, Revision, TaskId};
use beamhinge_core::wire::{self, DecodeError};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of the keys of placement pages.
pub const PAGE_PREFIX: &str = "p/";
/// Prefix of the keys of progress pages.
pub const PROGRESS_PREFIX: &str = "d/";
/// Version of the stored format; version 1 is read as well.
const PAGE_VERSION: u32 = 2;
/// Upper bound of the JSON length of one row, bytes; it keeps pages within the value limit.
const MAX_ROW_BYTES: usize = 44;

/// One attempt of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacementRow {
    /// The machine on which the task was placed.
    pub machine: MachineId,
    /// The task that was placed.
    pub task: TaskId,
    /// The attempt of the task.
    pub attempt: Attempt,
}

/// Identifies a page within this process; it is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PageId(u64);

#[derive(Debug)]
struct Page {
    key: String,
    revision: Revision,
    /// Number of the scheduler's allocations that this page records.
    references: u32,
}

/// A page in the key-value store.
#[derive(Clone, Copy, Debug)]
pub struct StoredPage<'a> {
    /// Identifies the page within this process.
    pub id: PageId,
    /// The key of the page.
    pub key: &'a str,
    /// The revision of the key.
    pub revision: Revision,
}

/// The pages in the key-value store, with their reference counts.
pub struct PlacementPages {
    token: FencingToken,
    /// The last number assigned; page ids and keys share one sequence of numbers.
    last_number: u64,
    pages: BTreeMap<PageId, Page>,
    unreferenced: BTreeSet<PageId>,
}

impl PlacementPages {
    /// Creates an empty set of pages; `token` is the fencing token of the term, which is part of
    /// new keys.
    pub fn new(token: FencingToken) -> PlacementPages {
        PlacementPages {
            token,
            last_number: 0,
            pages: BTreeMap::new(),
            unreferenced: BTreeSet::new(),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns a key that no page has ever had: it consists of the fencing token and a sequence
    /// number.
    pub fn new_key(&mut self) -> String {
        let number = self.next_number();
        format!("{PAGE_PREFIX}{}-{number}", self.token.0)
    }

    /// Adds a stored page, without references.
    pub fn insert(&mut self, key: String, revision: Revision) -> PageId {
        let id = PageId(self.next_number());
        let page = Page {
            key,
            revision,
            references: 0,
        };
        self.pages.insert(id, page);
        self.unreferenced.insert(id);
        id
    }

    /// Adds a reference to a page.
    pub fn retain(&mut self, id: PageId) {
        if let Some(page) = self.pages.get_mut(&id) {
            page.references += 1;
            self.unreferenced.remove(&id);
        }
    }

    /// Removes a reference to a page.
    pub fn release(&mut self, id: PageId) {
        if let Some(page) = self.pages.get_mut(&id) {
            page.references = page.references.saturating_sub(1);
            if page.references == 0 {
                self.unreferenced.insert(id);
            }
        }
    }

    /// The pages without references; all their tasks have ended, so they may be deleted.
    pub fn unreferenced(&self) -> impl Iterator<Item = StoredPage<'_>> {
        self.unreferenced.iter().filter_map(|id| {
            let page = self.pages.get(id)?;
            Some(StoredPage {
                id: *id,
                key: &page.key,
                revision: page.revision,
            })
        })
    }

    /// The number of pages without references.
    pub fn unreferenced_count(&self) -> usize {
        self.unreferenced.len()
    }

    /// Handles the committed deletion of a page.
    pub fn on_removed(&mut self, id: PageId) {
        self.pages.remove(&id);
        self.unreferenced.remove(&id);
    }

    /// Discards all pages before a new load. Numbers are not reused.
    pub fn clear(&mut self) {
        self.pages.clear();
        self.unreferenced.clear();
    }
}

/// The number of rows that always fit a value of `value_limit` bytes; at least one.
pub fn rows_per_page(value_limit: usize) -> usize {
    (value_limit / MAX_ROW_BYTES).max(1)
}

/// Machine -> job -> (task index, attempt).
type StoredRows = BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>>;

/// The stored format of a page.
#[derive(Serialize, Deserialize)]
struct PageRecord {
    #[serde(rename = "v")]
    version: u32,
    /// Attempt numbers are stored relative to this one; version 1 stored absolute numbers.
    #[serde(rename = "a", default)]
    base_attempt: u64,
    #[serde(rename = "m")]
    rows: StoredRows,
}

/// Encodes a page with these rows in the stored format.
pub fn encode_page(rows: &[PlacementRow]) -> Value {
    let base_attempt = rows.iter().map(|row| row.attempt.0).min().unwrap_or(0);
    let mut stored = StoredRows::new();
    for row in rows {
        stored
            .entry(row.machine.to_string())
            .or_default()
            .entry(row.task.job.to_string())
            .or_default()
            .push((row.task.index, row.attempt.0 - base_attempt));
    }
    wire::to_value(&PageRecord {
        version: PAGE_VERSION,
        base_attempt,
        rows: stored,
    })
}

/// Decodes the rows of a stored page, of the present version or the previous one.
///
/// # Errors
/// If the page has an unknown version or an invalid id. The page is then rejected as a whole,
/// because a wrong guess at where a task runs could start it twice.
pub fn decode_page(value: &Value) -> Result<Vec<PlacementRow>, DecodeError> {
    let record: PageRecord = wire::from_value(value)?;
    let base_attempt = match record.version {
        1 => 0,
        PAGE_VERSION => record.base_attempt,
        _ => return Err(DecodeError),
    };
    let mut rows = Vec::new();
    for (machine, jobs) in record.rows {
        let machine = MachineId::parse(&machine).ok_or(DecodeError)?;
        for (job, tasks) in jobs {
            let job = JobId::parse(&job).ok_or(DecodeError)?;
            for (index, attempt) in tasks {
                let attempt = base_attempt.checked_add(attempt).ok_or(DecodeError)?;
                rows.push(PlacementRow {
                    machine,
                    task: TaskId { job, index },
                    attempt: Attempt(attempt),
                });
            }
        }
    }
    Ok(rows)
}

/// Returns the row of the highest attempt of each task, with its page.
///
/// Only that attempt can still be on a machine: a new attempt is committed only after proof that
/// the previous one has ended.
pub fn newest_rows(
    rows: impl Iterator<Item = (PlacementRow, PageId)>,
) -> Vec<(PlacementRow, PageId)> {
    let mut newest: BTreeMap<TaskId, (PlacementRow, PageId)> = BTreeMap::new();
    for (row, page) in rows {
        match newest.get(&row.task) {
            Some((known, _)) if known.attempt >= row.attempt => {}
            _ => {
                newest.insert(row.task, (row, page));
            }
        }
    }
    newest.into_values().collect()
}

#[cfg(test)]
mod tests;
