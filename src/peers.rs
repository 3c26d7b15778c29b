//! What controllers tell each other: `postcard` frames behind a length.
//!
//! Nothing here carries a rule: a holder that hears of a higher token stops a
//! little sooner than its workers would have made it. Progress is for display, and the age of the
//! last exchange with the state service lets a node that alone is cut off from
//! it step out of the users' way.

use crate::placement::Counts;
use crate::types::{JobId, Time, Token};
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

/// What we last heard from each peer.
#[derive(Default)]
pub struct Peers {
    heard: Vec<(String, Time, f64)>,
    pub sent: Time,
    /// Who last said that it holds the block, with which token, and when.
    holder: Option<(String, Token, Time)>,
}

impl Peers {
    pub fn pulse(&mut self, now: Time, label: &str, ledger_age_s: f64) {
        self.heard.retain(|(l, _, _)| l != label);
        self.heard.push((label.to_string(), now, ledger_age_s));
    }

    pub fn holds(&mut self, now: Time, label: &str, token: Token) {
        if self.holder.as_ref().is_none_or(|(_, t, _)| *t <= token) {
            self.holder = Some((label.to_string(), token, now));
        }
    }

    /// The holder by its own word, for a node that cannot read it in the state
    /// service; a word that was not repeated has lapsed.
    pub fn holder(&self, now: Time) -> Option<&str> {
        let lately = self.holder.as_ref().filter(|(_, _, at)| now.since(*at) < 3.0);
        lately.map(|(label, _, _)| label.as_str())
    }

    /// Some peer reaches the state service though we may not.
    pub fn others_reach_ledger(&self, now: Time) -> bool {
        self.heard.iter().any(|(_, at, age)| now.since(*at) < 4.0 && *age < 3.0)
    }
}

pub fn progress(counts: impl Iterator<Item = (JobId, Counts)>) -> Frame {
    Frame::Progress(
        counts
            .filter(|(_, c)| c.done > 0 || c.running > 0)
            .take(4_000)
            .map(|(id, c)| (id.to_string(), c.done, c.running))
            .collect(),
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_come_whole_or_not_at_all() {
        let frame = Frame::Progress(vec![("job-1".into(), 2, 3)]);
        let bytes = encode(&frame);
        let mut buf = Vec::new();
        for (i, b) in bytes.iter().enumerate() {
            assert!(matches!(take(&mut buf), Ok(None)), "at {i}");
            buf.push(*b);
        }
        assert_eq!(take(&mut buf).ok().flatten(), Some(frame));
        assert!(take(&mut vec![0xff; 8]).is_err());
    }
}
