//! Frames exchanged between controllers: a `postcard` body preceded by its length in four bytes.
//!
//! Frames are advisory: safety depends on leases and fencing tokens alone. A leader that learns of
//! a higher fencing token steps down slightly earlier than its workers would force it to.
//! Progress is for display only. The age of the last exchange with the key-value store tells a
//! controller without access to the store whether its peers still reach it: if they do, the
//! controller reports itself unhealthy, so that the load balancer sends users to the peers.
//!
//! `postcard` encodes neither field names nor field numbers: the order of variants and fields
//! defines the format, and new variants must be appended at the end.

use crate::types::{JobId, MachineId};
use serde::{Deserialize, Serialize};

/// Maximum size of a frame body, bytes; longer frames are rejected to bound memory use.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Size of the big-endian length prefix of a frame, bytes.
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
    /// Sent by the leader: job ids with their numbers of done and running tasks.
    Progress(Vec<(String, u32, u32)>),
    /// Sent by the leader: a controller with a lower fencing token must step down.
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
        /// Whether the sender could take over leadership immediately.
        ready: bool,
        /// Whether operators have drained the sender.
        drained: bool,
    },
    /// An admin API query that only the leader can answer. This module treats its encoding as
    /// opaque.
    Query {
        /// Label of the controller that received the query from the client.
        from: String,
        /// Identifies the query in the response.
        serial: u64,
        /// The encoded query.
        query: Vec<u8>,
    },
    /// The leader's response to a [`Frame::Query`].
    QueryResponse {
        /// Serial number of the query.
        serial: u64,
        /// HTTP status.
        status: u16,
        /// Body of the response, JSON.
        body: Vec<u8>,
    },
    /// Sent to the leader: machines that recently reported to another controller, because the
    /// leader does not answer them or they do not know the leader. Sent only while there are such
    /// machines.
    MisroutedWorkers {
        /// Label of the controller that receives the reports.
        label: String,
        /// Names of the machines.
        machines: Vec<String>,
    },
    /// Sent by a leader that commits nothing although work is pending, before it steps down: the
    /// next leader starts with small transactions.
    LeaderStalled {
        /// Label of the leader.
        label: String,
    },
    /// Jobs whose end the sender has reported to a user: other controllers must no longer answer
    /// waiting queries from an older state of these jobs. No controller records a job's end from
    /// this frame.
    JobsEnded {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
}

impl Frame {
    /// Maximum number of names in one [`Frame::MisroutedWorkers`] or [`Frame::JobsEnded`]; a longer
    /// list is split into several frames. 8,192 names of maximum length take 184 KB, which leaves a
    /// quarter of [`MAX_FRAME_BYTES`] for the label.
    pub const MAX_NAMES: usize = 8_192;

    /// Maximum number of rows in one [`Frame::Progress`]; a longer list is split into several
    /// frames, see [`Frame::progress`]. A row takes at most 33 bytes, so 4,000 rows take 129 KB.
    pub const MAX_ROWS: usize = 4_000;

    /// Builds the frames that list the machines which report to `label` instead of the leader. The
    /// receiver merges the lists.
    pub fn misrouted_workers(label: &str, machines: &[MachineId]) -> Vec<Frame> {
        let frame = |chunk: &[MachineId]| Frame::MisroutedWorkers {
            label: label.to_string(),
            machines: chunk.iter().map(MachineId::to_string).collect(),
        };
        machines.chunks(Frame::MAX_NAMES).map(frame).collect()
    }

    /// Builds the frames that list the jobs whose end was reported to a user.
    pub fn jobs_ended(jobs: &[JobId]) -> Vec<Frame> {
        let frame = |chunk: &[JobId]| Frame::JobsEnded {
            jobs: chunk.iter().map(JobId::to_string).collect(),
        };
        jobs.chunks(Frame::MAX_NAMES).map(frame).collect()
    }

    /// Builds the frames that carry the progress of jobs; `rows` are in ascending order of job ids.
    ///
    /// The list replaces the previous one, so the receiver must recognise its end: a frame with
    /// [`Frame::MAX_ROWS`] rows is continued by the next frame, and the last frame has fewer rows
    /// (none if the preceding frames contain all of them).
    pub fn progress(rows: Vec<(String, u32, u32)>) -> Vec<Frame> {
        let mut frames = Vec::new();
        let mut rows = rows.into_iter();
        loop {
            let chunk: Vec<_> = rows.by_ref().take(Frame::MAX_ROWS).collect();
            let last = chunk.len() < Frame::MAX_ROWS;
            frames.push(Frame::Progress(chunk));
            if last {
                return frames;
            }
        }
    }
}

/// Encodes a frame, preceded by its length.
///
/// Encoding cannot fail: all fields are plain data, and the frame is written to memory.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

/// A frame that is longer than [`MAX_FRAME_BYTES`] or cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("frame is too long or cannot be decoded")]
pub struct InvalidFrame;

/// Removes one complete frame from the front of `buf`; `None` until the frame is complete.
///
/// # Errors
///
/// [`InvalidFrame`] if the frame is invalid; the connection must then be closed.
pub fn take_frame(buf: &mut Vec<u8>) -> Result<Option<Frame>, InvalidFrame> {
    let Some(length_prefix) = buf
        .get(..LENGTH_BYTES)
        .and_then(|length_prefix| <[u8; LENGTH_BYTES]>::try_from(length_prefix).ok())
    else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(length_prefix) as usize;
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
