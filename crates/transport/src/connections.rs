//! Connections: accepts, opens and closes them, and enforces their limits and timeouts.

use crate::network::{connect, open_listener, ListenerKind};
use crate::output::{MAX_CLOUD_CONNECTIONS, MAX_STATE_CONNECTIONS};
use crate::{Connection, ConnectionKind, EventLoop};
use beamhinge_core::messages::Service;
use beamhinge_core::types::Time;
use polling::{Event, PollMode};
use std::io;
use std::net::{TcpListener, TcpStream};

/// Maximum time in which a request must arrive completely, in seconds.
const REQUEST_TIMEOUT_S: f64 = 10.0;
/// Maximum idle time of a connection from a client, in seconds.
const IDLE_TIMEOUT_S: f64 = 75.0;
/// Idle time after which a connection may be closed in favor of a new one, in seconds.
const MIN_IDLE_BEFORE_EVICTION_S: f64 = 2.0;
/// Time after which an admin API client that reads nothing of its answer is disconnected, in
/// seconds.
const SLOW_READER_TIMEOUT_S: f64 = 10.0;
/// Idle time after which a connection to an external service is closed, in seconds.
const CALL_IDLE_TIMEOUT_S: f64 = 30.0;
/// Time without received data after which a connection from a peer is closed, in seconds. Peers
/// send a heartbeat every second.
const PEER_RECEIVE_TIMEOUT_S: f64 = 10.0;
/// Time after which a peer that does not read pending data is disconnected, in seconds.
const PEER_WRITE_TIMEOUT_S: f64 = 5.0;
/// Interval between attempts to connect to a peer, in seconds.
const PEER_RETRY_S: f64 = 1.0;
/// Maximum number of connections accepted from one listener before other events are handled.
const MAX_ACCEPTS_PER_EVENT: usize = 64;
/// Connections reserved for peers and for calls to workers, in addition to those reserved for the
/// key-value store and the cloud.
const RESERVED_FOR_PEERS: usize = 16;
/// Interval between attempts to open a listener that could not be opened, in seconds.
pub(crate) const LISTENER_RETRY_INTERVAL_S: f64 = 5.0;

impl<S: Service> EventLoop<S> {
    /// Registers a connection and returns its slot. `connecting` is true if the connection is not
    /// established yet.
    pub(crate) fn insert(
        &mut self,
        stream: TcpStream,
        kind: ConnectionKind,
        connecting: bool,
    ) -> io::Result<usize> {
        let slot = self.free_slots.pop().unwrap_or(self.connections.len());
        let interest = if connecting {
            Event::all(slot)
        } else {
            Event::readable(slot)
        };
        if let Err(e) = self
            .poller
            .add_with_mode(&stream, interest, PollMode::Level)
        {
            if slot < self.connections.len() {
                self.free_slots.push(slot);
            }
            return Err(e);
        }
        self.generation += 1;
        if let ConnectionKind::Public { listener, .. } = kind {
            self.open_by_listener[listener] += 1;
        }
        let connection = Connection {
            stream,
            kind,
            generation: self.generation,
            input: Vec::new(),
            output: Vec::new(),
            writing: connecting,
            dropping_frames: false,
            last_active: self.now(),
        };
        if slot == self.connections.len() {
            self.connections.push(Some(connection));
        } else {
            self.connections[slot] = Some(connection);
        }
        self.open_connections += 1;
        Ok(slot)
    }

    /// Closes a connection. A call in progress on it is reported as failed.
    pub(crate) fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot).and_then(Option::take) else {
            return;
        };
        let _ = self.poller.delete(&connection.stream);
        self.open_connections -= 1;
        self.free_slots.push(slot);
        match connection.kind {
            ConnectionKind::Call {
                current_call: Some((id, _)),
                ..
            } => self.failed_calls.push_back(id),
            ConnectionKind::Public { listener, .. } => self.open_by_listener[listener] -= 1,
            ConnectionKind::PeerOut { member } => {
                let next_attempt = self.now().plus(PEER_RETRY_S);
                if let Some(retry_at) = self.peer_retry_at.get_mut(member) {
                    *retry_at = next_attempt;
                }
            }
            _ => {}
        }
    }

    /// Accepts pending connections of a listener; `None` stands for the peer listener.
    pub(crate) fn accept(&mut self, index: Option<usize>) {
        let limit = self.network.max_connections;
        let reserve = self.reserved_connections();
        for _ in 0..MAX_ACCEPTS_PER_EVENT {
            let listener = match index {
                Some(index) => self.listeners.get(index).and_then(Option::as_ref),
                None => self.peer_listener.as_ref(),
            };
            let Some(Ok((stream, _))) = listener.map(TcpListener::accept) else {
                return;
            };
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            // At the limit, an idle connection of the same listener is closed in favor of the new
            // one.
            let at_limit = match index.map(|index| (index, self.network.listeners[index].kind)) {
                Some((index, ListenerKind::Admin { max_connections })) => {
                    self.open_by_listener[index] >= max_connections && !self.evict_idle(index)
                        || self.open_connections + reserve >= limit
                }
                Some((index, ListenerKind::Platform)) => {
                    self.open_connections + reserve >= limit && !self.evict_idle(index)
                }
                None => false,
            };
            if at_limit {
                // The connection is closed immediately, so that the load balancer, the worker or
                // the client tries another controller instead of waiting for this one.
                continue;
            }
            let kind = match index {
                Some(listener) => ConnectionKind::Public {
                    listener,
                    awaiting_answer: false,
                    close: false,
                    partial_since: None,
                    is_worker: false,
                },
                None => ConnectionKind::PeerIn,
            };
            let _ = self.insert(stream, kind, false);
        }
    }

    /// Number of connections reserved for peers, the key-value store, the cloud and workers.
    pub(crate) fn reserved_connections(&self) -> usize {
        (MAX_STATE_CONNECTIONS + MAX_CLOUD_CONNECTIONS + RESERVED_FOR_PEERS)
            .min(self.network.max_connections / 3)
    }

    /// Returns whether the number of open connections is so close to the limit that the event loop
    /// closes the connection of a worker after each answer.
    ///
    /// Guards against having more machines than connections: the connected machines would occupy
    /// all connections, the other machines could not report, and users would reach no controller.
    pub(crate) fn near_limit(&self) -> bool {
        (self.open_connections + self.reserved_connections()) * 5 > self.network.max_connections * 4
    }

    /// Retries listeners that could not be opened.
    pub(crate) fn retry_listeners(&mut self, now: Time) {
        if now.since(self.last_listener_retry) < LISTENER_RETRY_INTERVAL_S
            || self.listeners.iter().all(Option::is_some)
        {
            return;
        }
        self.last_listener_retry = now;
        for (index, config) in self.network.listeners.iter().enumerate() {
            if self.listeners[index].is_none() {
                if let Ok(listener) = open_listener(&self.poller, index, config) {
                    tracing::info!(address = %config.addr, "opened admin API listener");
                    self.listeners[index] = Some(listener);
                }
            }
        }
    }

    /// Returns whether a listener serves the admin API.
    pub(crate) fn is_admin(&self, listener: usize) -> bool {
        matches!(
            self.network.listeners.get(listener).map(|l| l.kind),
            Some(ListenerKind::Admin { .. })
        )
    }

    /// Closes the connection of a listener that has been idle the longest, unless it belongs to a
    /// worker.
    ///
    /// Returns whether a connection was idle long enough to be closed.
    pub(crate) fn evict_idle(&mut self, index: usize) -> bool {
        let now = self.now();
        let longest_idle = self
            .connections
            .iter()
            .enumerate()
            .filter_map(|(i, c)| c.as_ref().map(|c| (i, c)))
            .filter(|(_, c)| {
                matches!(
                    c.kind,
                    ConnectionKind::Public {
                        listener,
                        awaiting_answer: false,
                        is_worker: false,
                        ..
                    } if listener == index
                )
            })
            .min_by_key(|(_, c)| c.last_active)
            .map(|(i, c)| (i, c.last_active));
        match longest_idle {
            Some((slot, last_active)) if now.since(last_active) > MIN_IDLE_BEFORE_EVICTION_S => {
                self.close(slot);
                true
            }
            _ => false,
        }
    }

    /// Closes connections that have timed out.
    pub(crate) fn close_expired(&mut self, now: Time) {
        let mut expired = Vec::new();
        for (slot, entry) in self.connections.iter().enumerate() {
            let Some(connection) = entry else { continue };
            let timed_out = match &connection.kind {
                ConnectionKind::Public { listener, .. }
                    if self.is_admin(*listener) && !connection.output.is_empty() =>
                {
                    now.since(connection.last_active) > SLOW_READER_TIMEOUT_S
                }
                ConnectionKind::Call {
                    current_call: Some((_, deadline)),
                    ..
                } => now > *deadline,
                ConnectionKind::Call {
                    current_call: None, ..
                } => now.since(connection.last_active) > CALL_IDLE_TIMEOUT_S,
                ConnectionKind::Public {
                    awaiting_answer: false,
                    partial_since: Some(arrived_at),
                    ..
                } => now.since(*arrived_at) > REQUEST_TIMEOUT_S,
                ConnectionKind::Public { .. } => now.since(connection.last_active) > IDLE_TIMEOUT_S,
                ConnectionKind::PeerIn => {
                    now.since(connection.last_active) > PEER_RECEIVE_TIMEOUT_S
                }
                ConnectionKind::PeerOut { .. } => {
                    !connection.output.is_empty()
                        && now.since(connection.last_active) > PEER_WRITE_TIMEOUT_S
                }
            };
            if timed_out {
                expired.push(slot);
            }
        }
        for slot in expired {
            self.close(slot);
        }
    }

    /// Opens connections to peers that are not connected.
    pub(crate) fn connect_peers(&mut self, now: Time) {
        for member in 0..self.network.members.len() {
            let connected =
                self.connections.iter().flatten().any(
                    |c| matches!(c.kind, ConnectionKind::PeerOut { member: m } if m == member),
                );
            if connected || now < self.peer_retry_at[member] {
                continue;
            }
            self.peer_retry_at[member] = now.plus(PEER_RETRY_S);
            if let Ok(stream) = connect(self.network.members[member].addr) {
                let _ = self.insert(stream, ConnectionKind::PeerOut { member }, true);
            }
        }
    }
}
