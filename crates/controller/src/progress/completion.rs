//! Which tasks of one job are done.

use beamhinge_core::wire::DecodeError;
use std::collections::BTreeMap;

/// Which tasks of a job are done, in chunks that are stored separately.
#[derive(Clone, Debug)]
pub struct JobProgress {
    /// Tasks per chunk.
    chunk_size: u32,
    chunks: BTreeMap<u32, Chunk>,
    done_count: u32,
}

#[derive(Clone, Debug, Default)]
struct Chunk {
    /// One bit per task, beginning with the lowest bit of the first byte.
    bits: Vec<u8>,
    /// Whether the chunk has done tasks that were not sent to the key-value store yet.
    dirty: bool,
    /// Whether the chunk has done tasks in a transaction whose outcome is not known yet.
    in_flight: bool,
}

impl Chunk {
    fn done_count(&self) -> u32 {
        self.bits.iter().map(|byte| byte.count_ones()).sum()
    }
}

impl JobProgress {
    /// Creates progress without done tasks; `chunk_size` is the number of tasks per chunk
    /// ([`chunk_size`](super::chunk_size)).
    pub fn new(chunk_size: u32) -> JobProgress {
        JobProgress {
            chunk_size,
            chunks: BTreeMap::new(),
            done_count: 0,
        }
    }

    /// The index of the first task of a chunk.
    pub fn first_task_of(&self, chunk: u32) -> u32 {
        chunk * self.chunk_size
    }

    /// The number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// Whether this task is done.
    pub fn is_done(&self, index: u32) -> bool {
        let (chunk, bit) = (index / self.chunk_size, index % self.chunk_size);
        self.chunks
            .get(&chunk)
            .and_then(|chunk| chunk.bits.get((bit / 8) as usize))
            .is_some_and(|byte| byte & (1 << (bit % 8)) != 0)
    }

    /// Marks a task as done and its chunk as dirty.
    pub fn mark_done(&mut self, index: u32) {
        if self.is_done(index) {
            return;
        }
        let (chunk, bit) = (index / self.chunk_size, (index % self.chunk_size) as usize);
        let chunk = self.chunks.entry(chunk).or_default();
        if chunk.bits.len() <= bit / 8 {
            chunk.bits.resize(bit / 8 + 1, 0);
        }
        if let Some(byte) = chunk.bits.get_mut(bit / 8) {
            *byte |= 1 << (bit % 8);
        }
        chunk.dirty = true;
        self.done_count += 1;
    }

    /// Whether the key-value store has recorded that this task is done.
    pub fn is_durable(&self, index: u32) -> bool {
        self.is_done(index)
            && self
                .chunks
                .get(&(index / self.chunk_size))
                .is_some_and(|chunk| !chunk.dirty && !chunk.in_flight)
    }

    /// The chunks that must be written.
    pub fn dirty_chunks(&self) -> impl Iterator<Item = u32> + '_ {
        self.chunks
            .iter()
            .filter(|(_, chunk)| chunk.dirty)
            .map(|(number, _)| *number)
    }

    /// Encodes a chunk for storage, its bits as hexadecimal digits; `None` if no task of it was
    /// marked as done or loaded.
    pub(super) fn encode_chunk(&self, chunk: u32) -> Option<String> {
        let chunk = self.chunks.get(&chunk)?;
        let digit = |nibble: u8| char::from_digit(u32::from(nibble), 16).unwrap_or('0');
        Some(
            chunk
                .bits
                .iter()
                .flat_map(|byte| [digit(byte >> 4), digit(byte & 15)])
                .collect(),
        )
    }

    /// Records that a transaction with the present state of the chunk was sent. Tasks that end
    /// later make the chunk dirty again.
    pub(super) fn on_sent(&mut self, chunk: u32) {
        if let Some(chunk) = self.chunks.get_mut(&chunk) {
            chunk.in_flight = chunk.dirty;
            chunk.dirty = false;
        }
    }

    /// Handles a transaction with the chunk that was not committed.
    pub(super) fn on_write_failed(&mut self, chunk: u32) {
        if let Some(chunk) = self.chunks.get_mut(&chunk) {
            chunk.dirty |= chunk.in_flight;
            chunk.in_flight = false;
        }
    }

    /// Handles a committed transaction with the chunk.
    pub(super) fn on_written(&mut self, chunk: u32) {
        if let Some(chunk) = self.chunks.get_mut(&chunk) {
            chunk.in_flight = false;
        }
    }

    /// Merges the stored digits of a chunk into it. The chunk is dirty afterwards if it has done
    /// tasks that the key-value store has not recorded.
    ///
    /// # Errors
    /// If `digits` are not pairs of hexadecimal digits.
    pub(super) fn merge_chunk(&mut self, number: u32, digits: &str) -> Result<(), DecodeError> {
        let mut stored = decode_digits(digits)?;
        // An earlier version may have stored a chunk of a larger size. Bits beyond the present
        // size would be counted twice once the next chunk is loaded, and the job would count as
        // done too early. The tasks of the dropped bits are started again, which finds them done.
        stored.truncate((self.chunk_size / 8) as usize);
        let chunk = self.chunks.entry(number).or_default();
        let before = chunk.done_count();
        let len = stored.len().max(chunk.bits.len());
        chunk.bits.resize(len, 0);
        stored.resize(len, 0);
        for (byte, stored) in chunk.bits.iter_mut().zip(&stored) {
            *byte |= stored;
        }
        chunk.dirty = chunk.bits != stored;
        chunk.in_flight = false;
        self.done_count += chunk.done_count() - before;
        Ok(())
    }
}

fn decode_digits(digits: &str) -> Result<Vec<u8>, DecodeError> {
    if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
        return Err(DecodeError);
    }
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).map_err(|_| DecodeError))
        .collect()
}
