//! Frames that controllers send each other: `postcard` behind a length of four bytes.
//!
//! Nothing in a frame is proof of anything: safety rests on leases and fencing tokens alone. A
//! leader that hears of a higher token steps down a little sooner than its workers would make it;
//! progress is for display; the age of the last exchange with the store lets a controller that
//! alone is cut off from it send users elsewhere.
//!
//! `postcard` writes neither names nor numbers of fields: the order of variants and fields is the
//! format, and new variants go to the end.

use crate::types::{JobId, MachineId};
use serde::{Deserialize, Serialize};

/// Longest body of a frame, bytes; a longer one is refused to bound memory.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Bytes of the length in front of a frame, big-endian.
const LENGTH_BYTES: usize = 4;

/// A message between controllers.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sent by every controller about once a second.
    Heartbeat {
        /// Label of the sender.
        label: String,
        /// Time since the sender's last successful exchange with the key-value store,
        /// milliseconds.
        #[serde(rename = "ledger_age_ms")]
        store_age_ms: u64,
        /// Whether the sender is the leader.
        #[serde(rename = "holder")]
        leader: bool,
    },
    /// From the leader: jobs with their numbers of tasks done and running.
    Progress(Vec<(String, u32, u32)>),
    /// From the leader: no controller with a lower fencing token may act.
    LeaderHeartbeat {
        /// Label of the leader.
        label: String,
        /// Fencing token of the leader.
        fencing_token: u64,
    },
    /// Sent with each heartbeat.
    Readiness {
        /// Label of the sender.
        label: String,
        /// Whether the sender could take over at once.
        ready: bool,
        /// Whether operators have drained the sender.
        drained: bool,
    },
    /// A query of the admin API that only the leader can answer, in a form that this module does
    /// not read.
    Query {
        /// Label of the controller that was asked.
        from: String,
        /// Identifies the query in its response.
        serial: u64,
        /// The encoded query.
        query: Vec<u8>,
    },
    /// The leader's response to a [`Frame::Query`].
    QueryResponse {
        /// Number of the query.
        serial: u64,
        /// HTTP status.
        status: u16,
        /// The response's body, JSON.
        body: Vec<u8>,
    },
    /// To the leader: machines that reported to another controller lately, because the leader
    /// does not answer them or they do not know it. Sent only while there are such machines.
    MisroutedWorkers {
        /// Label of the controller that the machines report to.
        label: String,
        /// Names of the machines.
        machines: Vec<String>,
    },
    /// From a leader that commits nothing although there is work: its successor begins with
    /// small transactions.
    LeaderStalled {
        /// Label of the leader.
        label: String,
    },
    /// Jobs whose end a user was told by the sender: older answers to queries that wait elsewhere
    /// must not be given any more. No controller records a job's end from this frame.
    JobsEnded {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
}

impl Frame {
    /// Names of machines or jobs in one [`Frame::MisroutedWorkers`] or [`Frame::JobsEnded`]. A longer list
    /// goes out as several frames. 8,192 of the longest names are 184 KB, which leaves a
    /// quarter of [`MAX_FRAME_BYTES`] for the label.
    pub const MAX_NAMES: usize = 8_192;

    /// Rows in one [`Frame::Progress`]; a longer list goes out as several frames, see
    /// [`Frame::progress`]. The longest row takes 33 bytes, so 4,000 rows are 129 KB.
    pub const MAX_ROWS: usize = 4_000;

    /// The machines that report to `label` in place of the leader: as many frames as their
    /// names need. The receiver adds them up.
    pub fn misrouted_workers(label: &str, machines: &[MachineId]) -> Vec<Frame> {
        let frame = |part: &[MachineId]| Frame::MisroutedWorkers {
            label: label.to_string(),
            machines: part.iter().map(MachineId::to_string).collect(),
        };
        machines.chunks(Frame::MAX_NAMES).map(frame).collect()
    }

    /// Jobs whose end a user was told: as many frames as their names need.
    pub fn jobs_ended(jobs: &[JobId]) -> Vec<Frame> {
        let frame = |part: &[JobId]| Frame::JobsEnded {
            jobs: part.iter().map(JobId::to_string).collect(),
        };
        jobs.chunks(Frame::MAX_NAMES).map(frame).collect()
    }

    /// The progress of jobs, in rising order of their ids: as many frames as the rows need.
    ///
    /// The list replaces the one before it, so its end must be known: a frame of
    /// [`Frame::MAX_ROWS`] rows is continued by the next, and the last one has fewer rows
    /// (none, if the others took all).
    pub fn progress(rows: Vec<(String, u32, u32)>) -> Vec<Frame> {
        let mut frames = Vec::new();
        let mut rows = rows.into_iter();
        loop {
            let part: Vec<_> = rows.by_ref().take(Frame::MAX_ROWS).collect();
            let last = part.len() < Frame::MAX_ROWS;
            frames.push(Frame::Progress(part));
            if last {
                return frames;
            }
        }
    }
}

/// Encodes a frame with its length in front.
///
/// Every frame can be encoded: its types are plain data, and writing to memory does not fail.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

/// A frame over [`MAX_FRAME_BYTES`] or of unknown form.
#[derive(Debug, thiserror::Error)]
#[error("a frame over the limit or of unknown form")]
pub struct InvalidFrame;

/// Removes one whole frame from the front of `buf`; `None` until all of it has arrived.
///
/// # Errors
///
/// [`InvalidFrame`] if the link cannot be used any further.
pub fn take_frame(buf: &mut Vec<u8>) -> Result<Option<Frame>, InvalidFrame> {
    let Some(head) = buf
        .get(..LENGTH_BYTES)
        .and_then(|head| <[u8; LENGTH_BYTES]>::try_from(head).ok())
    else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(InvalidFrame);
    }
    let Some(body) = buf.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
        return Ok(None);
    };
    let frame = postcard::from_bytes(body).map_err(|_| InvalidFrame)?;
    buf.drain(..LENGTH_BYTES + length);
    Ok(Some(frame))
}

#[cfg(test)]
mod tests;
