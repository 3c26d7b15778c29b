//! Blocks of machines and their pages.
//!
//! A holder keeps its placements in pages under `p/`, each a single value that
//! names every task on the machines it covers. A page changes only together
//! with a condition on the block's key, so whoever lost the block can no longer
//! place anything, however late a transaction is applied.

use crate::types::{Attempt, JobId, MachineId, Stamp, TaskId};
use crate::wire::{self, BadBody};
use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const PAGE_PREFIX: &str = "p/";
pub const PROGRESS_PREFIX: &str = "d/";
const PAGE_VERSION: u32 = 1;
/// Generous JSON length of one row, so that a page never exceeds its limit.
const ROW_BYTES: usize = 44;
/// Tasks per progress chunk: 8,192 bits are 2,048 hexadecimal digits.
pub const CHUNK: u32 = 8_192;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Row {
    pub machine: MachineId,
    pub task: TaskId,
    pub attempt: Attempt,
}

pub fn page_key(page: usize) -> String {
    format!("{PAGE_PREFIX}{page:04}")
}

pub fn page_of_key(key: &str) -> Option<usize> {
    key.strip_prefix(PAGE_PREFIX)?.parse().ok()
}

pub fn rows_per_page(value_limit: usize) -> usize {
    (value_limit / ROW_BYTES).max(1)
}

#[derive(Serialize, Deserialize)]
struct PageRecord {
    v: u32,
    /// machine -> job -> (task number, attempt)
    m: BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>>,
}

pub fn encode_page(rows: impl Iterator<Item = Row>) -> Value {
    let mut m: BTreeMap<String, BTreeMap<String, Vec<(u32, u64)>>> = BTreeMap::new();
    for row in rows {
        m.entry(row.machine.to_string())
            .or_default()
            .entry(row.task.job.to_string())
            .or_default()
            .push((row.task.index, row.attempt.0));
    }
    wire::to_value(&PageRecord { v: PAGE_VERSION, m })
}

/// A page of another version is refused whole: a guess at what runs where
/// could start a task twice.
pub fn decode_page(value: &Value) -> Result<Vec<Row>, BadBody> {
    let record: PageRecord = wire::from_value(value)?;
    if record.v != PAGE_VERSION {
        return Err(BadBody);
    }
    let mut rows = Vec::new();
    for (machine, jobs) in record.m {
        let machine = MachineId::parse(&machine).ok_or(BadBody)?;
        for (job, tasks) in jobs {
            let job = JobId::parse(&job).ok_or(BadBody)?;
            rows.extend(tasks.into_iter().map(|(index, attempt)| Row {
                machine,
                task: TaskId { job, index },
                attempt: Attempt(attempt),
            }));
        }
    }
    Ok(rows)
}

/// Which tasks of a job are done, in chunks that are stored one by one.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    chunks: BTreeMap<u32, Chunk>,
    count: u32,
}

#[derive(Clone, Debug, Default)]
struct Chunk {
    bits: Vec<u8>,
    stamp: Stamp,
    dirty: bool,
    flying: bool,
}

#[derive(Serialize, Deserialize)]
struct ChunkRecord {
    v: u32,
    b: String,
}

impl Progress {
    pub fn count(&self) -> u32 {
        self.count
    }

    pub fn has(&self, index: u32) -> bool {
        let (chunk, at) = (index / CHUNK, index % CHUNK);
        let byte = self.chunks.get(&chunk).and_then(|c| c.bits.get((at / 8) as usize));
        byte.is_some_and(|b| b & (1 << (at % 8)) != 0)
    }

    pub fn set(&mut self, index: u32) {
        if self.has(index) {
            return;
        }
        let (chunk, at) = (index / CHUNK, (index % CHUNK) as usize);
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
    pub fn durable(&self, index: u32) -> bool {
        self.has(index) && self.chunks.get(&(index / CHUNK)).is_some_and(|c| !c.dirty && !c.flying)
    }

    pub fn dirty(&self) -> impl Iterator<Item = u32> + '_ {
        self.chunks.iter().filter(|(_, c)| c.dirty).map(|(n, _)| *n)
    }

    pub fn stored(&self) -> impl Iterator<Item = (u32, Stamp)> + '_ {
        self.chunks.iter().filter(|(_, c)| c.stamp != Stamp(0)).map(|(n, c)| (*n, c.stamp))
    }

    pub fn value(&self, chunk: u32) -> Option<(Stamp, Value)> {
        let c = self.chunks.get(&chunk)?;
        let hex: String = c.bits.iter().map(|b| format!("{b:02x}")).collect();
        Some((c.stamp, wire::to_value(&ChunkRecord { v: 1, b: hex })))
    }

    /// The chunk is on its way as it is now; what is set later is dirty again.
    pub fn sent(&mut self, chunk: u32) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.dirty = false;
            c.flying = true;
        }
    }

    pub fn unsent(&mut self, chunk: u32) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.dirty = true;
            c.flying = false;
        }
    }

    pub fn written(&mut self, chunk: u32, stamp: Stamp) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.stamp = stamp;
            c.flying = false;
        }
    }

    /// Takes in what the state service holds; what only we know stays dirty.
    pub fn merge(&mut self, chunk: u32, stamp: Stamp, value: &Value) -> Result<(), BadBody> {
        let record: ChunkRecord = wire::from_value(value)?;
        if record.v != 1 || !record.b.len().is_multiple_of(2) || !record.b.is_ascii() {
            return Err(BadBody);
        }
        let mut stored = Vec::with_capacity(record.b.len() / 2);
        for at in (0..record.b.len()).step_by(2) {
            stored.push(u8::from_str_radix(&record.b[at..at + 2], 16).map_err(|_| BadBody)?);
        }
        let c = self.chunks.entry(chunk).or_default();
        let before: u32 = c.bits.iter().map(|b| b.count_ones()).sum();
        let len = stored.len().max(c.bits.len());
        c.bits.resize(len, 0);
        stored.resize(len, 0);
        for (b, s) in c.bits.iter_mut().zip(&stored) {
            *b |= s;
        }
        c.stamp = stamp;
        c.dirty = c.bits != stored;
        c.flying = false;
        let after: u32 = c.bits.iter().map(|b| b.count_ones()).sum();
        self.count += after - before;
        Ok(())
    }
}

pub fn progress_key(job: JobId, chunk: u32) -> String {
    format!("{PROGRESS_PREFIX}{job}/{chunk}")
}

pub fn progress_of_key(key: &str) -> Option<(JobId, u32)> {
    let (job, chunk) = key.strip_prefix(PROGRESS_PREFIX)?.split_once('/')?;
    Some((JobId::parse(job)?, chunk.parse().ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(machine: &str, task: &str, attempt: u64) -> Row {
        Row {
            machine: MachineId::parse(machine).expect("machine"),
            task: TaskId::parse(task).expect("task"),
            attempt: Attempt(attempt),
        }
    }

    #[test]
    fn a_page_comes_back_as_written_and_fits_its_bound() {
        let rows: Vec<Row> = (0..160)
            .map(|i| {
                row(&format!("n-{:06}", i / 8), &format!("job-{:06}/{i}", i % 7), (9_000 << 20) + i)
            })
            .collect();
        let value = encode_page(rows.iter().copied());
        assert!(wire::json_len(&value) <= rows.len() * ROW_BYTES);
        let mut back = decode_page(&value).expect("sound");
        back.sort();
        let mut rows = rows;
        rows.sort();
        assert_eq!(back, rows);
    }

    #[test]
    fn a_page_of_another_version_is_refused() {
        let value = wire::to_value(&PageRecord { v: 2, m: BTreeMap::new() });
        assert!(decode_page(&value).is_err());
    }

    #[test]
    fn progress_of_a_huge_job_stays_within_small_values() {
        let mut p = Progress::default();
        for i in (0..100_000).step_by(2) {
            p.set(i);
        }
        assert_eq!(p.count(), 50_000);
        let chunks: Vec<u32> = p.dirty().collect();
        assert_eq!(chunks.len(), 13);
        let mut q = Progress::default();
        q.set(1);
        for c in chunks {
            let (_, value) = p.value(c).expect("chunk");
            assert!(wire::json_len(&value) < 3_000);
            q.merge(c, Stamp(5), &value).expect("sound");
        }
        assert_eq!(q.count(), 50_001);
        assert!(q.durable(8_192 * 2) && !q.durable(1), "what only we know is not durable");
    }
}
