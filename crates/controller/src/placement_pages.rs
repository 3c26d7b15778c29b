//! Pages: what the books say is on which machine.
//!
//! A page names the tasks that were placed together. It is written once, by the
//! transaction that places them, and removed when all of them have ended; in
//! between it may name tasks that are long gone. So a placement costs one write,
//! however many machines it touches. A page is written only together with a
//! condition on the block's key: whoever lost the block can no longer place
//! anything, however late a transaction is applied.

use beamhinge_core::types::{Attempt, FencingToken, JobId, MachineId, Revision, TaskId};
use beamhinge_core::wire::{self, DecodeError};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

pub const PAGE_PREFIX: &str = "p/";
pub const PROGRESS_PREFIX: &str = "d/";
const PAGE_VERSION: u32 = 2;
/// Generous JSON length of one row, so that a page never exceeds its limit.
const ROW_BYTES: usize = 44;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacementRow {
    pub machine: MachineId,
    pub task: TaskId,
    pub attempt: Attempt,
}

/// Our own number of a page; its key never serves for another page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PageId(u64);

#[derive(Debug)]
struct Page {
    key: String,
    revision: Revision,
    /// Entries in our books that rest on this page.
    live: u32,
}

/// The pages that the state service holds.
pub struct PlacementPages {
    token: FencingToken,
    next: u64,
    pages: BTreeMap<PageId, Page>,
    dead: BTreeSet<PageId>,
}

impl PlacementPages {
    pub fn new(token: FencingToken) -> PlacementPages {
        PlacementPages {
            token,
            next: 0,
            pages: BTreeMap::new(),
            dead: BTreeSet::new(),
        }
    }

    fn number(&mut self) -> PageId {
        self.next += 1;
        PageId(self.next)
    }

    /// A key that no page ever had: it holds our token and a running number.
    pub fn new_key(&mut self) -> String {
        let PageId(n) = self.number();
        format!("{PAGE_PREFIX}{}-{n}", self.token.0)
    }

    pub fn insert(&mut self, key: String, revision: Revision) -> PageId {
        let no = self.number();
        self.pages.insert(
            no,
            Page {
                key,
                revision,
                live: 0,
            },
        );
        self.dead.insert(no);
        no
    }

    pub fn retain(&mut self, no: PageId) {
        if let Some(p) = self.pages.get_mut(&no) {
            p.live += 1;
            self.dead.remove(&no);
        }
    }

    pub fn release(&mut self, no: PageId) {
        if let Some(p) = self.pages.get_mut(&no) {
            p.live = p.live.saturating_sub(1);
            if p.live == 0 {
                self.dead.insert(no);
            }
        }
    }

    /// Pages all of whose tasks have ended.
    pub fn unreferenced(&self) -> impl Iterator<Item = (PageId, &str, Revision)> {
        let page = |no: &PageId| {
            self.pages
                .get(no)
                .map(|p| (*no, p.key.as_str(), p.revision))
        };
        self.dead.iter().filter_map(page)
    }

    pub fn unreferenced_count(&self) -> usize {
        self.dead.len()
    }

    pub fn on_removed(&mut self, no: PageId) {
        self.pages.remove(&no);
        self.dead.remove(&no);
    }

    pub fn clear(&mut self) {
        self.pages.clear();
        self.dead.clear();
    }
}

pub fn rows_per_page(value_limit: usize) -> usize {
    (value_limit / ROW_BYTES).max(1)
}

/// machine -> job -> (task number, attempt)
type Rows = BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>>;

#[derive(Serialize, Deserialize)]
struct PageRecord {
    v: u32,
    /// Attempts count from here; the version before had them whole.
    #[serde(default)]
    a: u64,
    m: Rows,
}

pub fn encode_page(rows: &[PlacementRow]) -> Value {
    let base = rows.iter().map(|r| r.attempt.0).min().unwrap_or(0);
    let mut m = Rows::new();
    for row in rows {
        m.entry(row.machine.to_string())
            .or_default()
            .entry(row.task.job.to_string())
            .or_default()
            .push((row.task.index, row.attempt.0 - base));
    }
    wire::to_value(&PageRecord {
        v: PAGE_VERSION,
        a: base,
        m,
    })
}

/// A page of an unknown version is refused whole: a guess at what runs where
/// could start a task twice. The version before differs only in its attempts.
pub fn decode_page(value: &Value) -> Result<Vec<PlacementRow>, DecodeError> {
    let record: PageRecord = wire::from_value(value)?;
    let base = match record.v {
        1 => 0,
        PAGE_VERSION => record.a,
        _ => return Err(DecodeError),
    };
    let mut rows = Vec::new();
    for (machine, jobs) in record.m {
        let machine = MachineId::parse(&machine).ok_or(DecodeError)?;
        for (job, tasks) in jobs {
            let job = JobId::parse(&job).ok_or(DecodeError)?;
            for (index, attempt) in tasks {
                rows.push(PlacementRow {
                    machine,
                    task: TaskId { job, index },
                    attempt: Attempt(base.checked_add(attempt).ok_or(DecodeError)?),
                });
            }
        }
    }
    Ok(rows)
}

/// Of several rows for one task only that of its highest attempt can still be
/// on a machine: a second placement is committed only after proof that the
/// first has ended.
pub fn newest_rows(
    rows: impl Iterator<Item = (PlacementRow, PageId)>,
) -> Vec<(PlacementRow, PageId)> {
    let mut best: BTreeMap<TaskId, (PlacementRow, PageId)> = BTreeMap::new();
    for (row, page) in rows {
        match best.get(&row.task) {
            Some((known, _)) if known.attempt >= row.attempt => {}
            _ => {
                best.insert(row.task, (row, page));
            }
        }
    }
    best.into_values().collect()
}

#[cfg(test)]
mod tests;
