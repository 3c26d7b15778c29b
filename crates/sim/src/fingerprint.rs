//! A fingerprint of all messages that the controllers of a simulated cluster sent: one running
//! hash over the messages in the order in which they were sent. Two builds that make the same
//! decisions have the same fingerprint for the same day, however their code differs.
//!
//! Only simulated time, numbers and encoded bytes are hashed, never the names of Rust
//! types or variants, so renaming and splitting code does not change a fingerprint.

pub mod days;

use beamhinge_core::http::Content;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::types::RequestId;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// The 128-bit hash of a day's messages; written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fingerprint(u128);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseIntError> {
        u128::from_str_radix(text, 16).map(Fingerprint)
    }
}

/// The running hash. Every field has a fixed length or is preceded by its length, so that
/// different messages never produce the same hash input.
#[derive(Clone, Default)]
pub struct Fingerprinter {
    hash: Xxh3,
}

impl Fingerprinter {
    /// Adds a message that controller number `sender` sent at `now`, in microseconds of
    /// simulated time.
    pub fn sent(&mut self, now: u64, sender: usize, message: &Effect) {
        self.number(now);
        self.number(sender as u64);
        match message {
            Effect::Call {
                id,
                destination,
                method,
                path,
                body,
                timeout_s,
            } => {
                self.tag(0);
                self.number(id.0);
                self.destination(destination);
                self.bytes(method.name().as_bytes());
                self.bytes(path.as_bytes());
                self.bytes(body);
                self.number(timeout_s.to_bits());
            }
            Effect::Answer {
                to,
                status,
                retry_after,
                body,
            } => {
                self.tag(1);
                self.answer(*to, *status, *retry_after);
                self.bytes(body);
            }
            Effect::AdminAnswer {
                to,
                status,
                retry_after,
                content,
                body,
            } => {
                self.tag(2);
                self.answer(*to, *status, *retry_after);
                self.tag(match content {
                    Content::Cbor => 0,
                    Content::Json => 1,
                    Content::Text => 2,
                });
                self.bytes(body);
            }
            Effect::SendFrame { to, frame } => {
                self.tag(3);
                self.tag(u8::from(to.is_some()));
                self.bytes(to.as_deref().unwrap_or_default().as_bytes());
                self.bytes(frame);
            }
        }
    }

    /// The fingerprint of all messages added so far.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.hash.digest128())
    }

    fn destination(&mut self, destination: &Destination) {
        match destination {
            Destination::KeyValueStore => self.tag(0),
            Destination::Cloud => self.tag(1),
            Destination::Worker(address) => {
                self.tag(2);
                self.bytes(address.to_string().as_bytes());
            }
            Destination::Controller { address, caller } => {
                self.tag(3);
                self.bytes(address.to_string().as_bytes());
                self.number(*caller);
            }
        }
    }

    fn answer(&mut self, to: RequestId, status: u16, retry_after: Option<u32>) {
        self.number(to.slot as u64);
        self.number(to.generation);
        self.number(u64::from(status));
        self.tag(u8::from(retry_after.is_some()));
        self.number(u64::from(retry_after.unwrap_or_default()));
    }

    fn tag(&mut self, tag: u8) {
        self.hash.update(&[tag]);
    }

    fn number(&mut self, number: u64) {
        self.hash.update(&number.to_le_bytes());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hash.update(bytes);
    }
}

#[cfg(test)]
mod tests;
