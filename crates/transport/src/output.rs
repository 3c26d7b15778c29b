//! What goes out: answers, calls and frames.

use crate::wiring::connect;
use crate::{Conn, EventLoop, Kind};
use beamhinge_core::http::{self, Content};
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::peers;
use beamhinge_core::types::RequestId;
use polling::{Event, PollMode};
use std::io::{self, Write};
use std::net::SocketAddrV4;

/// Connections at once to the state service, to the cloud, and to workers.
pub(crate) const STATE_CONNS: usize = 24;
pub(crate) const CLOUD_CONNS: usize = 8;
pub(crate) const WORKER_CONNS: usize = 64;

/// Bytes that wait for one peer to read them before further frames to it are dropped: two of
/// the longest, since a list of more than 8,192 machines is sent as two.
const MAX_UNREAD_BYTES: usize = 2 * peers::MAX_FRAME_BYTES;

impl<S: Service> EventLoop<S> {
    pub(crate) fn act(&mut self, out: Vec<Effect>) {
        for o in out {
            match o {
                Effect::Answer {
                    to,
                    status,
                    retry_after,
                    body,
                } => self.answer(to, status, retry_after, Content::Cbor, &body),
                Effect::OperatorAnswer {
                    to,
                    status,
                    retry_after,
                    content,
                    body,
                } => self.answer(to, status, retry_after, content, &body),
                Effect::Call {
                    id,
                    destination,
                    method,
                    path,
                    body,
                    timeout_s,
                } => {
                    let deadline = self.now().plus(timeout_s);
                    match self.client(destination) {
                        Some(slot) => {
                            let host = self.address(destination).to_string();
                            if let Some(c) = self.conns.get_mut(slot).and_then(Option::as_mut) {
                                c.kind = Kind::Call {
                                    destination,
                                    current: Some((id, deadline)),
                                };
                                let head = http::RequestHead {
                                    method,
                                    path: &path,
                                    host: &host,
                                    content: Content::Cbor,
                                    authorization: None,
                                };
                                http::write_request(&mut c.outbuf, &head, &body);
                            }
                            self.flush(slot);
                        }
                        None => self.failed.push_back(id),
                    }
                }
                Effect::SendFrame { to, frame } => self.tell(to.as_deref(), &frame),
            }
        }
    }

    /// Puts a frame on the links to all peers, or to the one of that label.
    pub(crate) fn tell(&mut self, to: Option<&str>, frame: &[u8]) {
        for slot in 0..self.conns.len() {
            let Some(c) = self.conns.get_mut(slot).and_then(Option::as_mut) else {
                continue;
            };
            let Kind::PeerOut { member } = c.kind else {
                continue;
            };
            if to.is_some_and(|label| self.wiring.members[member].label != label) {
                continue;
            }
            // A peer that does not read gets no more to store.
            if c.outbuf.len() < MAX_UNREAD_BYTES {
                c.outbuf.extend_from_slice(frame);
                c.overfull = false;
            } else if !c.overfull {
                c.overfull = true;
                let label = &self.wiring.members[member].label;
                let waits = c.outbuf.len();
                tracing::warn!("{label} does not read: {waits} bytes wait, frames are dropped");
            }
            self.flush(slot);
        }
    }

    pub(crate) fn address(&self, destination: Destination) -> SocketAddrV4 {
        match destination {
            Destination::State => self.wiring.external.state,
            Destination::Cloud => self.wiring.external.cloud,
            Destination::Worker(address) | Destination::Node { address, .. } => address,
        }
    }

    /// An idle connection to `dest`, or a new one.
    pub(crate) fn client(&mut self, destination: Destination) -> Option<usize> {
        let mut count = 0;
        let mut idle = None;
        for (slot, c) in self.conns.iter().enumerate() {
            if let Some(Conn {
                kind:
                    Kind::Call {
                        destination: d,
                        current,
                    },
                ..
            }) = c
            {
                // Workers share one limit, whatever their addresses.
                let both_workers = matches!(
                    (d, destination),
                    (Destination::Worker(_), Destination::Worker(_))
                );
                count += usize::from(*d == destination || both_workers);
                if *d == destination && current.is_none() {
                    idle = Some(slot);
                }
            }
        }
        if idle.is_some() {
            return idle;
        }
        let limit = match destination {
            Destination::State => STATE_CONNS,
            Destination::Cloud => CLOUD_CONNS,
            Destination::Worker(_) => WORKER_CONNS,
            Destination::Node { .. } => 1,
        };
        if count >= limit {
            return None;
        }
        let stream = connect(self.address(destination)).ok()?;
        self.insert(
            stream,
            Kind::Call {
                destination,
                current: None,
            },
            true,
        )
        .ok()
    }

    pub(crate) fn answer(
        &mut self,
        to: RequestId,
        status: u16,
        retry_after: Option<u32>,
        content: Content,
        body: &[u8],
    ) {
        let now = self.now();
        let crowded = self.crowded();
        let Some(conn) = self.conns.get_mut(to.slot).and_then(Option::as_mut) else {
            return;
        };
        // The slot may serve another connection by now.
        if conn.generation != to.generation {
            return;
        }
        let Kind::Public {
            waiting,
            close,
            worker,
            ..
        } = &mut conn.kind
        else {
            return;
        };
        if !*waiting {
            return;
        }
        *waiting = false;
        conn.active = now;
        // The load balancer never moves an open connection: a user told to come
        // back does better with a new one, perhaps to a node that can answer.
        *close |= status == 503 && !*worker || crowded && *worker;
        let closing = *close;
        let head = http::ResponseHead {
            status,
            retry_after,
            close: closing,
            content,
        };
        http::write_response(&mut conn.outbuf, &head, body);
        let more = !conn.inbuf.is_empty();
        if self.flush(to.slot) && more && !closing {
            self.requests(to.slot);
        }
    }

    /// Writes what the socket takes; false when the connection is gone.
    pub(crate) fn flush(&mut self, slot: usize) -> bool {
        let now = self.now();
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else {
            return false;
        };
        let mut sent = 0;
        let mut broken = false;
        while sent < conn.outbuf.len() {
            match conn.stream.write(&conn.outbuf[sent..]) {
                Ok(0) => {
                    broken = true;
                    break;
                }
                Ok(n) => {
                    sent += n;
                    conn.active = now;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if e.kind() == io::ErrorKind::WouldBlock
                        || e.kind() == io::ErrorKind::NotConnected =>
                {
                    break
                }
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        conn.outbuf.drain(..sent);
        let done = conn.outbuf.is_empty();
        let finished = done
            && matches!(
                conn.kind,
                Kind::Public {
                    waiting: false,
                    close: true,
                    ..
                }
            );
        if broken || finished {
            self.close(slot);
            return false;
        }
        if done == conn.writing {
            conn.writing = !done;
            let interest = if done {
                Event::readable(slot)
            } else {
                Event::all(slot)
            };
            let _ = self
                .poller
                .modify_with_mode(&conn.stream, interest, PollMode::Level);
        }
        true
    }
}
