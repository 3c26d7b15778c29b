//! Which tasks of a job are done, and the shelves that keep this in the state
//! service.
//!
//! A shelf is one value that holds the progress of many jobs, so that a second
//! in which fifty tasks end costs one or two writes rather than one per job.

use crate::placement_pages::PROGRESS_PREFIX;
use beamhinge_core::types::{JobId, Revision};
use beamhinge_core::wire::{self, DecodeError};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most tasks of a chunk: 8,192 bits are 2,048 hexadecimal digits.
const CHUNK: u32 = 8_192;
/// Tasks of a chunk where values are tiny.
const LEAST_CHUNK: u32 = 64;
const SHELF_VERSION: u32 = 2;
/// JSON length of a shelf's frame and of an item without its digits.
const FRAME_BYTES: usize = 64;
const CHUNK_ENTRY_BYTES: usize = 34;

/// Which tasks of a job are done, in chunks that are stored one by one.
#[derive(Clone, Debug)]
pub struct JobProgress {
    /// Tasks per chunk.
    size: u32,
    chunks: BTreeMap<u32, Chunk>,
    count: u32,
}

/// Tasks per chunk, so that one always fits a value of this length. It is part
/// of what is stored: the same for all controllers of a deployment.
pub fn chunk_size(value_limit: usize) -> u32 {
    let digits = value_limit.saturating_sub(FRAME_BYTES + CHUNK_ENTRY_BYTES);
    (digits as u32 * 4 / 8 * 8).clamp(LEAST_CHUNK, CHUNK)
}

#[derive(Clone, Debug, Default)]
struct Chunk {
    bits: Vec<u8>,
    dirty: bool,
    in_flight: bool,
}

impl JobProgress {
    pub fn new(size: u32) -> JobProgress {
        JobProgress {
            size,
            chunks: BTreeMap::new(),
            count: 0,
        }
    }

    /// The first task of a chunk.
    pub fn first_task_of(&self, chunk: u32) -> u32 {
        chunk * self.size
    }

    pub fn done_count(&self) -> u32 {
        self.count
    }

    pub fn is_done(&self, index: u32) -> bool {
        let (chunk, at) = (index / self.size, index % self.size);
        let byte = self
            .chunks
            .get(&chunk)
            .and_then(|c| c.bits.get((at / 8) as usize));
        byte.is_some_and(|b| b & (1 << (at % 8)) != 0)
    }

    pub fn mark_done(&mut self, index: u32) {
        if self.is_done(index) {
            return;
        }
        let (chunk, at) = (index / self.size, (index % self.size) as usize);
        let c = self.chunks.entry(chunk).or_default();
        if c.bits.len() <= at / 8 {
            c.bits.resize(at / 8 + 1, 0);
        }
        if let Some(b) = c.bits.get_mut(at / 8) {
            *b |= 1 << (at % 8);
        }
        c.dirty = true;
        self.count += 1;
    }

    /// Whether the state service knows that this task is done.
    pub fn is_durable(&self, index: u32) -> bool {
        self.is_done(index)
            && self
                .chunks
                .get(&(index / self.size))
                .is_some_and(|c| !c.dirty && !c.in_flight)
    }

    pub fn dirty_chunks(&self) -> impl Iterator<Item = u32> + '_ {
        self.chunks.iter().filter(|(_, c)| c.dirty).map(|(n, _)| *n)
    }

    fn digits(&self, chunk: u32) -> Option<String> {
        let c = self.chunks.get(&chunk)?;
        let digit = |n: u8| char::from_digit(u32::from(n), 16).unwrap_or('0');
        Some(
            c.bits
                .iter()
                .flat_map(|b| [digit(b >> 4), digit(b & 15)])
                .collect(),
        )
    }

    /// The chunk is on its way as it is now; what is set later is dirty again.
    fn sent(&mut self, chunk: u32) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.in_flight = c.dirty;
            c.dirty = false;
        }
    }

    fn unsent(&mut self, chunk: u32) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.dirty |= c.in_flight;
            c.in_flight = false;
        }
    }

    fn written(&mut self, chunk: u32) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.in_flight = false;
        }
    }

    /// Takes in what the state service holds; what only we know stays dirty.
    fn merge(&mut self, chunk: u32, digits: &str) -> Result<(), DecodeError> {
        if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
            return Err(DecodeError);
        }
        let mut stored = Vec::with_capacity(digits.len() / 2);
        for at in (0..digits.len()).step_by(2) {
            stored.push(u8::from_str_radix(&digits[at..at + 2], 16).map_err(|_| DecodeError)?);
        }
        // Chunks of another size, from a version before: what lies beyond ours
        // would be counted twice once its own chunk says it, and a job be called
        // done before it is. Its tasks are asked for again, which finds them done.
        stored.truncate((self.size / 8) as usize);
        let c = self.chunks.entry(chunk).or_default();
        let before: u32 = c.bits.iter().map(|b| b.count_ones()).sum();
        let len = stored.len().max(c.bits.len());
        c.bits.resize(len, 0);
        stored.resize(len, 0);
        for (b, s) in c.bits.iter_mut().zip(&stored) {
            *b |= s;
        }
        c.dirty = c.bits != stored;
        c.in_flight = false;
        let after: u32 = c.bits.iter().map(|b| b.count_ones()).sum();
        self.count += after - before;
        Ok(())
    }
}

#[derive(Serialize, Deserialize)]
struct ProgressPageRecord {
    v: u32,
    /// job/chunk -> bits of the tasks that are done
    s: BTreeMap<String, String>,
}

/// The form of the version before: one key per job and chunk.
#[derive(Deserialize)]
struct ChunkRecord {
    v: u32,
    b: String,
}

type Item = (JobId, u32);

#[derive(Default)]
struct ProgressPage {
    revision: Revision,
    items: BTreeMap<Item, usize>,
    bytes: usize,
    dirty: bool,
}

/// Open jobs, by whose progress shelves are filled and read.
pub trait OpenJobs {
    /// The number of tasks and the progress of a job that is open.
    fn progress(&mut self, job: JobId) -> Option<(u32, &mut JobProgress)>;
}

/// Where each job's progress is kept, and what has to be written.
pub struct ProgressPages {
    limit: usize,
    /// Tasks per chunk.
    chunk: u32,
    progress_pages: Vec<ProgressPage>,
    home: BTreeMap<Item, usize>,
    /// Keys of the form before, to be removed when their job is over.
    old: BTreeMap<String, (JobId, Revision)>,
}

/// Shelves of one transaction, for its outcome.
#[derive(Default)]
pub struct ProgressWrite {
    written: Vec<(usize, Vec<Item>)>,
    removed: Vec<usize>,
    cleaned: Vec<String>,
}

impl ProgressWrite {
    /// An empty shelf goes with this transaction.
    pub fn remove_page(&mut self, progress_page: usize) {
        self.removed.push(progress_page);
    }

    /// Another shelf of the same transaction.
    pub fn append(&mut self, mut other: ProgressWrite) {
        self.written.append(&mut other.written);
    }

    pub fn written_pages(&self) -> impl Iterator<Item = usize> + '_ {
        self.written.iter().map(|(progress_page, _)| *progress_page)
    }

    /// So does a key of the form before.
    pub fn remove_legacy_key(&mut self, key: String) {
        self.cleaned.push(key);
    }
}

/// Most that one chunk of a job takes on a shelf.
fn item_bytes(size: u32, chunk: u32, tasks: u32) -> usize {
    let bits = tasks.saturating_sub(chunk * size).min(size) as usize;
    CHUNK_ENTRY_BYTES + bits.div_ceil(8) * 2
}

pub fn progress_page_key(progress_page: usize) -> String {
    format!("{PROGRESS_PREFIX}s{progress_page:04}")
}

impl ProgressPages {
    pub fn new(value_limit: usize) -> ProgressPages {
        ProgressPages {
            limit: value_limit.saturating_sub(FRAME_BYTES),
            chunk: chunk_size(value_limit),
            progress_pages: Vec::new(),
            home: BTreeMap::new(),
            old: BTreeMap::new(),
        }
    }

    /// A task of this chunk is newly done: its shelf has to be written.
    pub fn mark_dirty(&mut self, job: JobId, index: u32, tasks: u32) {
        let item = (job, index / self.chunk);
        let progress_page = match self.home.get(&item) {
            Some(progress_page) => *progress_page,
            None => {
                let bytes = item_bytes(self.chunk, item.1, tasks);
                let free = |s: &ProgressPage| s.bytes + bytes <= self.limit;
                let progress_page = match self.progress_pages.iter().position(free) {
                    Some(progress_page) => progress_page,
                    None => {
                        self.progress_pages.push(ProgressPage::default());
                        self.progress_pages.len() - 1
                    }
                };
                self.settle(item, progress_page, bytes);
                progress_page
            }
        };
        if let Some(s) = self.progress_pages.get_mut(progress_page) {
            s.dirty = true;
        }
    }

    fn settle(&mut self, item: Item, progress_page: usize, bytes: usize) {
        self.home.insert(item, progress_page);
        if let Some(s) = self.progress_pages.get_mut(progress_page) {
            s.items.insert(item, bytes);
            s.bytes += bytes;
        }
    }

    /// The job is over: what is known of its tasks is needed no more.
    pub fn forget(&mut self, job: JobId) {
        let items: Vec<Item> = self
            .home
            .range((job, 0)..=(job, u32::MAX))
            .map(|(i, _)| *i)
            .collect();
        for item in items {
            let Some(s) = self
                .home
                .remove(&item)
                .and_then(|s| self.progress_pages.get_mut(s))
            else {
                continue;
            };
            if let Some(bytes) = s.items.remove(&item) {
                s.bytes -= bytes;
            }
        }
    }

    /// Shelves to write, and empty ones to remove.
    pub fn dirty_pages(&self) -> impl Iterator<Item = usize> + '_ {
        let due = |s: &ProgressPage| s.dirty && !s.items.is_empty();
        self.progress_pages
            .iter()
            .enumerate()
            .filter(move |(_, s)| due(s))
            .map(|(n, _)| n)
    }

    pub fn empty_pages(&self) -> impl Iterator<Item = usize> + '_ {
        let empty = |s: &ProgressPage| s.items.is_empty() && s.revision != Revision(0);
        self.progress_pages
            .iter()
            .enumerate()
            .filter(move |(_, s)| empty(s))
            .map(|(n, _)| n)
    }

    /// Old keys whose job is over.
    pub fn obsolete_keys<'a>(
        &'a self,
        open: &'a dyn Fn(JobId) -> bool,
    ) -> impl Iterator<Item = (&'a String, Revision)> + 'a {
        self.old
            .iter()
            .filter(move |(_, (job, _))| !open(*job))
            .map(|(k, (_, s))| (k, *s))
    }

    pub fn revision(&self, progress_page: usize) -> Revision {
        self.progress_pages
            .get(progress_page)
            .map_or(Revision(0), |s| s.revision)
    }

    /// The shelf as it is now goes out with a transaction.
    pub fn begin_write(
        &mut self,
        progress_page: usize,
        sent: &mut ProgressWrite,
        open: &mut impl OpenJobs,
    ) -> Option<Value> {
        let s = self.progress_pages.get_mut(progress_page)?;
        s.dirty = false;
        let mut record = ProgressPageRecord {
            v: SHELF_VERSION,
            s: BTreeMap::new(),
        };
        let mut items = Vec::new();
        for (job, chunk) in s.items.keys() {
            let Some((_, p)) = open.progress(*job) else {
                continue;
            };
            if let Some(digits) = p.digits(*chunk) {
                record.s.insert(format!("{job}/{chunk}"), digits);
                p.sent(*chunk);
                items.push((*job, *chunk));
            }
        }
        sent.written.push((progress_page, items));
        Some(wire::to_value(&record))
    }

    pub fn on_written(
        &mut self,
        sent: ProgressWrite,
        revision: Revision,
        open: &mut impl OpenJobs,
    ) {
        for (progress_page, items) in sent.written {
            if let Some(s) = self.progress_pages.get_mut(progress_page) {
                s.revision = revision;
            }
            for (job, chunk) in items {
                if let Some((_, p)) = open.progress(job) {
                    p.written(chunk);
                }
            }
        }
        for progress_page in sent.removed {
            if let Some(s) = self.progress_pages.get_mut(progress_page) {
                s.revision = Revision(0);
            }
        }
        for key in sent.cleaned {
            self.old.remove(&key);
        }
    }

    pub fn on_write_failed(&mut self, sent: &ProgressWrite, open: &mut impl OpenJobs) {
        for (progress_page, items) in &sent.written {
            if let Some(s) = self.progress_pages.get_mut(*progress_page) {
                s.dirty = true;
            }
            for (job, chunk) in items {
                if let Some((_, p)) = open.progress(*job) {
                    p.unsent(*chunk);
                }
            }
        }
    }

    /// What the state service holds replaces what we thought of the stamps.
    pub fn begin_load(&mut self) {
        self.old.clear();
        for s in &mut self.progress_pages {
            s.revision = Revision(0);
            s.dirty |= !s.items.is_empty();
        }
    }

    /// Takes in one stored value, of this form or the one before.
    pub fn load(
        &mut self,
        key: &str,
        revision: Revision,
        value: &Value,
        open: &mut impl OpenJobs,
    ) -> Result<(), DecodeError> {
        let rest = key.strip_prefix(PROGRESS_PREFIX).ok_or(DecodeError)?;
        if let Some(number) = rest.strip_prefix('s') {
            let progress_page: usize = number.parse().map_err(|_| DecodeError)?;
            let record: ProgressPageRecord = wire::from_value(value)?;
            if record.v != SHELF_VERSION || progress_page > 100_000 {
                return Err(DecodeError);
            }
            if progress_page >= self.progress_pages.len() {
                self.progress_pages
                    .resize_with(progress_page + 1, ProgressPage::default);
            }
            self.progress_pages[progress_page].revision = revision;
            for (name, digits) in &record.s {
                let item = item_of(name).ok_or(DecodeError)?;
                let Some((tasks, progress)) = open.progress(item.0) else {
                    continue;
                };
                progress.merge(item.1, digits)?;
                if self.home.contains_key(&item) {
                    continue;
                }
                let bytes = item_bytes(self.chunk, item.1, tasks);
                self.settle(item, progress_page, bytes);
            }
            return Ok(());
        }
        let item = item_of(rest).ok_or(DecodeError)?;
        let record: ChunkRecord = wire::from_value(value)?;
        if record.v != 1 {
            return Err(DecodeError);
        }
        self.old.insert(key.to_string(), (item.0, revision));
        if let Some((_, progress)) = open.progress(item.0) {
            progress.merge(item.1, &record.b)?;
        }
        Ok(())
    }
}

fn item_of(name: &str) -> Option<Item> {
    let (job, chunk) = name.split_once('/')?;
    Some((JobId::parse(job)?, chunk.parse().ok()?))
}

#[cfg(test)]
mod tests;
