//! Progress: which tasks of each job are done, and the progress pages that store it.
//!
//! A progress page is one value of the key-value store with the progress of many jobs, so fifty
//! tasks that end within a second cost one or two writes instead of one write per job. Each chunk
//! of a job's tasks stays on the page that it was first assigned to.

mod completion;

use crate::placement_pages::PROGRESS_PREFIX;
use beamhinge_core::types::{JobId, Revision};
use beamhinge_core::wire::{self, DecodeError};
use ciborium::Value;
pub use completion::JobProgress;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of tasks per chunk: 8,192 bits are 2,048 hexadecimal digits.
const MAX_CHUNK_SIZE: u32 = 8_192;
/// Minimum number of tasks per chunk, for stores with a very small value limit.
const MIN_CHUNK_SIZE: u32 = 64;
/// Version of the stored format.
const PAGE_VERSION: u32 = 2;
/// Version of the legacy format, with one key per chunk.
const LEGACY_VERSION: u32 = 1;
/// Highest page number that is accepted when pages are loaded; bounds memory use.
const MAX_PAGE_NUMBER: usize = 100_000;
/// JSON length of a page without its entries, bytes.
const PAGE_OVERHEAD_BYTES: usize = 64;
/// JSON length of an entry without its digits, bytes.
const CHUNK_ENTRY_OVERHEAD_BYTES: usize = 34;

/// Returns the number of tasks per chunk for which one chunk always fits a value of `value_limit`
/// bytes. The stored data depends on it, so it must be the same for all controllers of a
/// deployment.
pub fn chunk_size(value_limit: usize) -> u32 {
    let digits = value_limit.saturating_sub(PAGE_OVERHEAD_BYTES + CHUNK_ENTRY_OVERHEAD_BYTES);
    (digits as u32 * 4 / 8 * 8).clamp(MIN_CHUNK_SIZE, MAX_CHUNK_SIZE)
}

/// The stored format of a page.
#[derive(Serialize, Deserialize)]
struct ProgressPageRecord {
    #[serde(rename = "v")]
    version: u32,
    /// `job/chunk` -> hexadecimal bits of the tasks that are done.
    #[serde(rename = "s")]
    chunks: BTreeMap<String, String>,
}

/// The legacy format: one key per job and chunk.
#[derive(Deserialize)]
struct ChunkRecord {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "b")]
    bits: String,
}

/// One chunk of a job's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ChunkId {
    job: JobId,
    chunk: u32,
}

impl ChunkId {
    /// Parses the stored format `job/chunk`.
    fn parse(text: &str) -> Option<ChunkId> {
        let (job, chunk) = text.split_once('/')?;
        Some(ChunkId {
            job: JobId::parse(job)?,
            chunk: chunk.parse().ok()?,
        })
    }
}

/// Writes the stored format `job/chunk`.
impl std::fmt::Display for ChunkId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.chunk)
    }
}

#[derive(Default)]
struct ProgressPage {
    /// The revision of the stored page; 0 if the page is not stored.
    revision: Revision,
    /// The chunks on the page, with the maximum number of bytes of each.
    chunks: BTreeMap<ChunkId, usize>,
    /// The sum of the maximum sizes of all chunks on the page.
    bytes: usize,
    /// Whether the page has progress that must be written.
    dirty: bool,
}

/// Access to the open jobs, whose progress is written to pages and read from them.
pub trait OpenJobs {
    /// Returns the number of tasks and the progress of a job, or `None` if the job is not open.
    fn progress(&mut self, job: JobId) -> Option<(u32, &mut JobProgress)>;
}

/// The pages and keys that one transaction writes or deletes. It is passed to
/// [`ProgressPages::on_written`] or [`ProgressPages::on_write_failed`] once the outcome is known.
#[derive(Default)]
pub struct ProgressWrite {
    written: Vec<(usize, Vec<ChunkId>)>,
    removed: Vec<usize>,
    removed_legacy_keys: Vec<String>,
}

impl ProgressWrite {
    /// Records that the transaction deletes an empty page.
    pub fn remove_page(&mut self, page: usize) {
        self.removed.push(page);
    }

    /// Records that the transaction deletes a key of the legacy format.
    pub fn remove_legacy_key(&mut self, key: String) {
        self.removed_legacy_keys.push(key);
    }

    /// Adds the written pages of `other`, which belong to the same transaction.
    pub fn append(&mut self, mut other: ProgressWrite) {
        self.written.append(&mut other.written);
    }

    /// The pages that the transaction writes.
    pub fn written_pages(&self) -> impl Iterator<Item = usize> + '_ {
        self.written.iter().map(|(page, _)| *page)
    }
}

/// The maximum number of bytes that one chunk of a job takes on a page.
fn max_chunk_entry_bytes(chunk_size: u32, chunk: u32, tasks: u32) -> usize {
    let bits = tasks.saturating_sub(chunk * chunk_size).min(chunk_size) as usize;
    CHUNK_ENTRY_OVERHEAD_BYTES + bits.div_ceil(8) * 2
}

/// The key of a page.
pub fn progress_page_key(page: usize) -> String {
    format!("{PROGRESS_PREFIX}s{page:04}")
}

/// Assigns the chunks of all jobs to progress pages and tracks which pages must be written.
pub struct ProgressPages {
    /// Maximum total size of the entries of a page, bytes.
    max_entry_bytes: usize,
    /// Tasks per chunk.
    chunk_size: u32,
    pages: Vec<ProgressPage>,
    page_of_chunk: BTreeMap<ChunkId, usize>,
    /// Keys of the legacy format, to be deleted once their job is done or cancelled.
    legacy_keys: BTreeMap<String, (JobId, Revision)>,
}

impl ProgressPages {
    /// Creates an empty set of pages. `value_limit` is the maximum size of a value of the key-value
    /// store, in bytes.
    pub fn new(value_limit: usize) -> ProgressPages {
        ProgressPages {
            max_entry_bytes: value_limit.saturating_sub(PAGE_OVERHEAD_BYTES),
            chunk_size: chunk_size(value_limit),
            pages: Vec::new(),
            page_of_chunk: BTreeMap::new(),
            legacy_keys: BTreeMap::new(),
        }
    }

    /// Marks the page of a task's chunk for writing, after the task is done. `tasks` is the number
    /// of tasks of the job.
    pub fn mark_dirty(&mut self, job: JobId, index: u32, tasks: u32) {
        let id = ChunkId {
            job,
            chunk: index / self.chunk_size,
        };
        let page = match self.page_of_chunk.get(&id) {
            Some(page) => *page,
            None => self.assign_to_free_page(id, tasks),
        };
        if let Some(page) = self.pages.get_mut(page) {
            page.dirty = true;
        }
    }

    /// Assigns a chunk to the first page with enough free space, or to a new page.
    fn assign_to_free_page(&mut self, id: ChunkId, tasks: u32) -> usize {
        let bytes = max_chunk_entry_bytes(self.chunk_size, id.chunk, tasks);
        let fits = |page: &ProgressPage| page.bytes + bytes <= self.max_entry_bytes;
        let page = self.pages.iter().position(fits).unwrap_or_else(|| {
            self.pages.push(ProgressPage::default());
            self.pages.len() - 1
        });
        self.assign(id, page, bytes);
        page
    }

    fn assign(&mut self, id: ChunkId, page: usize, bytes: usize) {
        self.page_of_chunk.insert(id, page);
        if let Some(page) = self.pages.get_mut(page) {
            page.chunks.insert(id, bytes);
            page.bytes += bytes;
        }
    }

    /// Discards the progress of a job that is done or cancelled.
    pub fn forget(&mut self, job: JobId) {
        let first = ChunkId { job, chunk: 0 };
        let last = ChunkId {
            job,
            chunk: u32::MAX,
        };
        let ids: Vec<ChunkId> = self
            .page_of_chunk
            .range(first..=last)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let page = self.page_of_chunk.remove(&id);
            let Some(page) = page.and_then(|page| self.pages.get_mut(page)) else {
                continue;
            };
            if let Some(bytes) = page.chunks.remove(&id) {
                page.bytes -= bytes;
            }
        }
    }

    /// The pages that must be written.
    pub fn dirty_pages(&self) -> impl Iterator<Item = usize> + '_ {
        self.page_numbers_where(|page| page.dirty && !page.chunks.is_empty())
    }

    /// The stored pages without chunks, which may be deleted.
    pub fn empty_pages(&self) -> impl Iterator<Item = usize> + '_ {
        self.page_numbers_where(|page| page.chunks.is_empty() && page.revision != Revision(0))
    }

    fn page_numbers_where(
        &self,
        predicate: fn(&ProgressPage) -> bool,
    ) -> impl Iterator<Item = usize> + '_ {
        self.pages
            .iter()
            .enumerate()
            .filter(move |(_, page)| predicate(page))
            .map(|(number, _)| number)
    }

    /// Keys of the legacy format whose job is no longer open.
    pub fn obsolete_keys<'a>(
        &'a self,
        is_open: &'a dyn Fn(JobId) -> bool,
    ) -> impl Iterator<Item = (&'a String, Revision)> + 'a {
        self.legacy_keys
            .iter()
            .filter(move |(_, (job, _))| !is_open(*job))
            .map(|(key, (_, revision))| (key, *revision))
    }

    /// The revision of a stored page; 0 if the page is not stored.
    pub fn revision(&self, page: usize) -> Revision {
        self.pages
            .get(page)
            .map_or(Revision(0), |page| page.revision)
    }

    /// Returns the present value of a page for a transaction, marks its chunks as in flight, and
    /// adds the page to `write`. Returns `None` if there is no such page.
    pub fn begin_write(
        &mut self,
        page: usize,
        write: &mut ProgressWrite,
        jobs: &mut impl OpenJobs,
    ) -> Option<Value> {
        let state = self.pages.get_mut(page)?;
        state.dirty = false;
        let mut record = ProgressPageRecord {
            version: PAGE_VERSION,
            chunks: BTreeMap::new(),
        };
        let mut ids = Vec::new();
        for id in state.chunks.keys() {
            let Some((_, progress)) = jobs.progress(id.job) else {
                continue;
            };
            if let Some(digits) = progress.encode_chunk(id.chunk) {
                record.chunks.insert(id.to_string(), digits);
                progress.on_sent(id.chunk);
                ids.push(*id);
            }
        }
        write.written.push((page, ids));
        Some(wire::to_value(&record))
    }

    /// Handles a transaction that was committed with this revision.
    pub fn on_written(
        &mut self,
        write: ProgressWrite,
        revision: Revision,
        jobs: &mut impl OpenJobs,
    ) {
        for (page, ids) in write.written {
            if let Some(page) = self.pages.get_mut(page) {
                page.revision = revision;
            }
            for id in ids {
                if let Some((_, progress)) = jobs.progress(id.job) {
                    progress.on_written(id.chunk);
                }
            }
        }
        for page in write.removed {
            if let Some(page) = self.pages.get_mut(page) {
                page.revision = Revision(0);
            }
        }
        for key in write.removed_legacy_keys {
            self.legacy_keys.remove(&key);
        }
    }

    /// Handles a transaction that was not committed or whose outcome is unknown: its pages must be
    /// written again.
    pub fn on_write_failed(&mut self, write: &ProgressWrite, jobs: &mut impl OpenJobs) {
        for (page, ids) in &write.written {
            if let Some(page) = self.pages.get_mut(*page) {
                page.dirty = true;
            }
            for id in ids {
                if let Some((_, progress)) = jobs.progress(id.job) {
                    progress.on_write_failed(id.chunk);
                }
            }
        }
    }

    /// Prepares for a load of all stored pages: discards the known revisions.
    pub fn begin_load(&mut self) {
        self.legacy_keys.clear();
        for page in &mut self.pages {
            page.revision = Revision(0);
            page.dirty |= !page.chunks.is_empty();
        }
    }

    /// Loads one stored value, in the present or the legacy format.
    ///
    /// # Errors
    /// If the key or the value has an unknown format or version.
    pub fn load(
        &mut self,
        key: &str,
        revision: Revision,
        value: &Value,
        jobs: &mut impl OpenJobs,
    ) -> Result<(), DecodeError> {
        let name = key.strip_prefix(PROGRESS_PREFIX).ok_or(DecodeError)?;
        if let Some(number) = name.strip_prefix('s') {
            let page = number.parse().map_err(|_| DecodeError)?;
            return self.load_page(page, revision, value, jobs);
        }
        let id = ChunkId::parse(name).ok_or(DecodeError)?;
        let record: ChunkRecord = wire::from_value(value)?;
        if record.version != LEGACY_VERSION {
            return Err(DecodeError);
        }
        self.legacy_keys.insert(key.to_string(), (id.job, revision));
        if let Some((_, progress)) = jobs.progress(id.job) {
            progress.merge_chunk(id.chunk, &record.bits)?;
        }
        Ok(())
    }

    fn load_page(
        &mut self,
        page: usize,
        revision: Revision,
        value: &Value,
        jobs: &mut impl OpenJobs,
    ) -> Result<(), DecodeError> {
        let record: ProgressPageRecord = wire::from_value(value)?;
        if record.version != PAGE_VERSION || page > MAX_PAGE_NUMBER {
            return Err(DecodeError);
        }
        if page >= self.pages.len() {
            self.pages.resize_with(page + 1, ProgressPage::default);
        }
        self.pages[page].revision = revision;
        for (name, digits) in &record.chunks {
            let id = ChunkId::parse(name).ok_or(DecodeError)?;
            let Some((tasks, progress)) = jobs.progress(id.job) else {
                continue;
            };
            progress.merge_chunk(id.chunk, digits)?;
            if !self.page_of_chunk.contains_key(&id) {
                let bytes = max_chunk_entry_bytes(self.chunk_size, id.chunk, tasks);
                self.assign(id, page, bytes);
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
