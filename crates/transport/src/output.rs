//! Output: writes answers, calls and frames to connection buffers and flushes them.

use crate::network::connect;
use crate::{Connection, ConnectionKind, EventLoop};
use beamhinge_core::http::{self, Content};
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::peers;
use beamhinge_core::types::RequestId;
use polling::{Event, PollMode};
use std::io::{self, Write};
use std::net::SocketAddrV4;

/// Maximum number of connections to the key-value store.
pub(crate) const MAX_STATE_CONNECTIONS: usize = 24;
/// Maximum number of connections to the cloud.
pub(crate) const MAX_CLOUD_CONNECTIONS: usize = 8;
/// Maximum number of connections to all workers together.
pub(crate) const MAX_WORKER_CONNECTIONS: usize = 64;

/// Unsent bytes for one peer, above which further frames to it are dropped. This is the size of
/// two frames of maximum length, since a list of more than 8,192 machines is sent as two frames.
const MAX_UNREAD_BYTES: usize = 2 * peers::MAX_FRAME_BYTES;

impl<S: Service> EventLoop<S> {
    /// Performs the effects that the service requested.
    pub(crate) fn apply_effects(&mut self, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Answer {
                    to,
                    status,
                    retry_after,
                    body,
                } => self.answer(to, status, retry_after, Content::Cbor, &body),
                Effect::AdminAnswer {
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
                    let Some(slot) = self.connection_to(destination) else {
                        self.failed_calls.push_back(id);
                        continue;
                    };
                    let host = self.address(destination).to_string();
                    if let Some(connection) =
                        self.connections.get_mut(slot).and_then(Option::as_mut)
                    {
                        connection.kind = ConnectionKind::Call {
                            destination,
                            current_call: Some((id, deadline)),
                        };
                        let head = http::RequestHead {
                            method,
                            path: &path,
                            host: &host,
                            content: Content::Cbor,
                            authorization: None,
                        };
                        http::write_request(&mut connection.output, &head, &body);
                    }
                    self.flush(slot);
                }
                Effect::SendFrame { to, frame } => self.send_frame(to.as_deref(), &frame),
            }
        }
    }

    /// Queues a frame for the peer with the label `to`, or for all peers if it is `None`.
    pub(crate) fn send_frame(&mut self, to: Option<&str>, frame: &[u8]) {
        for slot in 0..self.connections.len() {
            let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else {
                continue;
            };
            let ConnectionKind::PeerOut { member } = connection.kind else {
                continue;
            };
            if to.is_some_and(|label| self.network.members[member].label != label) {
                continue;
            }
            // Frames for a peer that does not read are dropped to keep the buffer bounded.
            if connection.output.len() < MAX_UNREAD_BYTES {
                connection.output.extend_from_slice(frame);
                connection.dropping_frames = false;
            } else if !connection.dropping_frames {
                connection.dropping_frames = true;
                let label = &self.network.members[member].label;
                let pending_bytes = connection.output.len();
                tracing::warn!(controller = %label, pending_bytes, "dropping frames for peer that does not read");
            }
            self.flush(slot);
        }
    }

    /// Returns the address of a destination.
    pub(crate) fn address(&self, destination: Destination) -> SocketAddrV4 {
        match destination {
            Destination::KeyValueStore => self.network.external.state,
            Destination::Cloud => self.network.external.cloud,
            Destination::Worker(address) | Destination::Controller { address, .. } => address,
        }
    }

    /// Returns the slot of an idle connection to `destination`, or of a new one; `None` if the
    /// connection limit is reached or no connection can be opened.
    pub(crate) fn connection_to(&mut self, destination: Destination) -> Option<usize> {
        let mut open_count = 0;
        let mut idle_slot = None;
        for (slot, connection) in self.connections.iter().enumerate() {
            if let Some(Connection {
                kind:
                    ConnectionKind::Call {
                        destination: open_destination,
                        current_call,
                    },
                ..
            }) = connection
            {
                // All workers share one limit.
                let both_are_workers = matches!(
                    (open_destination, destination),
                    (Destination::Worker(_), Destination::Worker(_))
                );
                open_count += usize::from(*open_destination == destination || both_are_workers);
                if *open_destination == destination && current_call.is_none() {
                    idle_slot = Some(slot);
                }
            }
        }
        if idle_slot.is_some() {
            return idle_slot;
        }
        let limit = match destination {
            Destination::KeyValueStore => MAX_STATE_CONNECTIONS,
            Destination::Cloud => MAX_CLOUD_CONNECTIONS,
            Destination::Worker(_) => MAX_WORKER_CONNECTIONS,
            Destination::Controller { .. } => 1,
        };
        if open_count >= limit {
            return None;
        }
        let stream = connect(self.address(destination)).ok()?;
        self.insert(
            stream,
            ConnectionKind::Call {
                destination,
                current_call: None,
            },
            true,
        )
        .ok()
    }

    /// Answers a request, unless its connection was closed.
    pub(crate) fn answer(
        &mut self,
        to: RequestId,
        status: u16,
        retry_after: Option<u32>,
        content: Content,
        body: &[u8],
    ) {
        let now = self.now();
        let near_limit = self.near_limit();
        let Some(connection) = self.connections.get_mut(to.slot).and_then(Option::as_mut) else {
            return;
        };
        // The slot may have been reused by another connection.
        if connection.generation != to.generation {
            return;
        }
        let ConnectionKind::Public {
            awaiting_answer,
            close,
            is_worker,
            ..
        } = &mut connection.kind
        else {
            return;
        };
        if !*awaiting_answer {
            return;
        }
        *awaiting_answer = false;
        connection.last_active = now;
        // The load balancer never moves an open connection to another controller. A user that is
        // told to retry gets a better chance with a new connection, which may reach a controller
        // that can answer. Near the connection limit, workers' connections are closed too.
        *close |= status == 503 && !*is_worker || near_limit && *is_worker;
        let closing = *close;
        let head = http::ResponseHead {
            status,
            retry_after,
            close: closing,
            content,
        };
        http::write_response(&mut connection.output, &head, body);
        let has_next_request = !connection.input.is_empty();
        if self.flush(to.slot) && has_next_request && !closing {
            self.handle_requests(to.slot);
        }
    }

    /// Writes as many buffered bytes as the socket accepts. Returns `false` if the connection does
    /// not exist or was closed.
    pub(crate) fn flush(&mut self, slot: usize) -> bool {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else {
            return false;
        };
        let mut sent = 0;
        let mut broken = false;
        while sent < connection.output.len() {
            match connection.stream.write(&connection.output[sent..]) {
                Ok(0) => {
                    broken = true;
                    break;
                }
                Ok(n) => {
                    sent += n;
                    connection.last_active = now;
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
        connection.output.drain(..sent);
        let output_empty = connection.output.is_empty();
        let finished = output_empty
            && matches!(
                connection.kind,
                ConnectionKind::Public {
                    awaiting_answer: false,
                    close: true,
                    ..
                }
            );
        if broken || finished {
            self.close(slot);
            return false;
        }
        if output_empty == connection.writing {
            connection.writing = !output_empty;
            let interest = if output_empty {
                Event::readable(slot)
            } else {
                Event::all(slot)
            };
            let _ = self
                .poller
                .modify_with_mode(&connection.stream, interest, PollMode::Level);
        }
        true
    }
}
