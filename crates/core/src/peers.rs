//! What controllers tell each other: `postcard` frames behind a length.
//!
//! Nothing here is proof: a holder that hears of a higher token stops a
//! little sooner than its workers would have made it. Progress is for display, and the age of the
//! last exchange with the state service lets a node that alone is cut off from
//! it step out of the users' way.

use crate::types::{JobId, MachineId};
use serde::{Deserialize, Serialize};

/// Longest frame taken from a peer; guards memory.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sent about once a second.
    Heartbeat {
        label: String,
        #[serde(rename = "ledger_age_ms")]
        store_age_ms: u64,
        #[serde(rename = "holder")]
        leader: bool,
    },
    /// From the holder: jobs with tasks done or running.
    Progress(Vec<(String, u32, u32)>),
    /// From the holder: its token. Nobody with a lower one is entitled.
    LeaderHeartbeat { label: String, fencing_token: u64 },
    /// With each pulse: whether it could take over at once, and whether
    /// operators have drained it.
    Readiness {
        label: String,
        ready: bool,
        drained: bool,
    },
    /// A question to the holder, in a form that this layer does not read.
    Query {
        from: String,
        serial: u64,
        query: Vec<u8>,
    },
    /// The holder's answer: a status as of HTTP, and JSON.
    QueryResponse {
        serial: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// To the holder: machines that reported here lately, since it does not
    /// answer them or they do not know it. Sent only while there are such.
    MisroutedWorkers {
        label: String,
        machines: Vec<String>,
    },
    /// From a holder that commits nothing though there is work: whoever takes
    /// over is to begin with small steps.
    LeaderStalled { label: String },
    /// Jobs whose end a user was told here: older answers to questions that wait
    /// elsewhere are not given any more. Word, not proof: nobody takes the end from it.
    JobsEnded { jobs: Vec<String> },
}

impl Frame {
    /// Names of machines or jobs in one [`Frame::MisroutedWorkers`] or [`Frame::JobsEnded`]. A longer list
    /// goes out as several frames. 8,192 of the longest names are 184 KB, which leaves a
    /// quarter of [`MAX_FRAME_BYTES`] for the label.
    pub const MAX_NAMES: usize = 8_192;

    /// Rows in one [`Frame::Progress`]; a longer list goes out as several frames, see
    /// [`Frame::progress`]. The longest row takes 33 bytes, so 4,000 rows are 129 KB.
    pub const MAX_ROWS: usize = 4_000;

    /// The machines that report to `label` in place of the holder: as many frames as their
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

pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

#[derive(Debug, thiserror::Error)]
#[error("a frame over the limit or of unknown form")]
pub struct InvalidFrame;

/// Takes one whole frame off the front of `buf`.
pub fn take_frame(buf: &mut Vec<u8>) -> Result<Option<Frame>, InvalidFrame> {
    let Some(head) = buf.get(..4).and_then(|h| <[u8; 4]>::try_from(h).ok()) else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(head) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(InvalidFrame);
    }
    let Some(body) = buf.get(4..4 + len) else {
        return Ok(None);
    };
    let frame = postcard::from_bytes(body).map_err(|_| InvalidFrame)?;
    buf.drain(..4 + len);
    Ok(Some(frame))
}

#[cfg(test)]
mod tests;
