//! What controllers tell each other: `postcard` frames behind a length.
//!
//! Nothing here is proof: a holder that hears of a higher token stops a
//! little sooner than its workers would have made it. Progress is for display, and the age of the
//! last exchange with the state service lets a node that alone is cut off from
//! it step out of the users' way.

use serde::{Deserialize, Serialize};

/// Longest frame taken from a peer; guards memory.
pub const FRAME_LIMIT: usize = 256 * 1024;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sent about once a second.
    Pulse { label: String, ledger_age_ms: u64, holder: bool },
    /// From the holder: jobs with tasks done or running.
    Progress(Vec<(String, u32, u32)>),
    /// From the holder: its token. Nobody with a lower one is entitled.
    Holds { label: String, token: u64 },
    /// With each pulse: whether it could take over at once, and whether
    /// operators have drained it.
    Ready { label: String, ready: bool, drained: bool },
    /// A question to the holder, in a form that this layer does not read.
    Ask { from: String, serial: u64, query: Vec<u8> },
    /// The holder's answer: a status as of HTTP, and JSON.
    Told { serial: u64, status: u16, body: Vec<u8> },
    /// To the holder: machines that reported here lately, since it does not
    /// answer them or they do not know it. Sent only while there are such.
    Hears { label: String, machines: Vec<String> },
    /// From a holder that commits nothing though there is work: whoever takes
    /// over is to begin with small steps.
    Stuck { label: String },
    /// Jobs whose end a user was told here: older answers to questions that wait
    /// elsewhere are not given any more. Word, not proof: nobody takes the end from it.
    Ended { jobs: Vec<String> },
}

impl Frame {
    /// Names that a frame holds: bounded, so that no frame exceeds its limit.
    pub const MOST_NAMES: usize = 4_000;
}

pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

#[derive(Debug, thiserror::Error)]
#[error("a frame over the limit or of unknown form")]
pub struct BadFrame;

/// Takes one whole frame off the front of `buf`.
pub fn take(buf: &mut Vec<u8>) -> Result<Option<Frame>, BadFrame> {
    let Some(head) = buf.get(..4).and_then(|h| <[u8; 4]>::try_from(h).ok()) else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(head) as usize;
    if len > FRAME_LIMIT {
        return Err(BadFrame);
    }
    let Some(body) = buf.get(4..4 + len) else { return Ok(None) };
    let frame = postcard::from_bytes(body).map_err(|_| BadFrame)?;
    buf.drain(..4 + len);
    Ok(Some(frame))
}

#[cfg(test)]
mod tests;
