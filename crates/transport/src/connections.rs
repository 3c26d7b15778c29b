//! Connections: accepted, made, bounded, and closed when their time is up.

use crate::output::{CLOUD_CONNS, STATE_CONNS};
use crate::wiring::{connect, open_door, ListenerKind};
use crate::{Conn, EventLoop, Kind};
use beamhinge_core::messages::Service;
use beamhinge_core::types::Time;
use polling::{Event, PollMode};
use std::io;
use std::net::{TcpListener, TcpStream};

/// How long a request may take to come in, seconds.
const PARTIAL_S: f64 = 10.0;
/// How long a connection may be idle, seconds.
const IDLE_S: f64 = 75.0;
/// Idle time after which a user's connection may be closed for another's.
const EVICT_S: f64 = 2.0;
/// An operator's client that takes nothing of its answer for so long is let go.
const SLOW_READER_S: f64 = 10.0;
/// How often a door that could not be opened is tried again.
pub(crate) const REOPEN_S: f64 = 5.0;

impl<S: Service> EventLoop<S> {
    pub(crate) fn insert(
        &mut self,
        stream: TcpStream,
        kind: Kind,
        connecting: bool,
    ) -> io::Result<usize> {
        let slot = self.free.pop().unwrap_or(self.conns.len());
        let interest = if connecting {
            Event::all(slot)
        } else {
            Event::readable(slot)
        };
        if let Err(e) = self
            .poller
            .add_with_mode(&stream, interest, PollMode::Level)
        {
            if slot < self.conns.len() {
                self.free.push(slot);
            }
            return Err(e);
        }
        self.generation += 1;
        if let Kind::Public { door, .. } = kind {
            self.door_open[door] += 1;
        }
        let conn = Conn {
            stream,
            kind,
            generation: self.generation,
            inbuf: Vec::new(),
            outbuf: Vec::new(),
            writing: connecting,
            overfull: false,
            active: self.now(),
        };
        if slot == self.conns.len() {
            self.conns.push(Some(conn));
        } else {
            self.conns[slot] = Some(conn);
        }
        self.open += 1;
        Ok(slot)
    }

    pub(crate) fn close(&mut self, slot: usize) {
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::take) else {
            return;
        };
        let _ = self.poller.delete(&conn.stream);
        self.open -= 1;
        self.free.push(slot);
        match conn.kind {
            Kind::Call {
                current: Some((id, _)),
                ..
            } => self.failed.push_back(id),
            Kind::Public { door, .. } => self.door_open[door] -= 1,
            Kind::PeerOut { member } => {
                let at = self.now().plus(1.0);
                if let Some(r) = self.peer_retry.get_mut(member) {
                    *r = at;
                }
            }
            _ => {}
        }
    }

    pub(crate) fn accept(&mut self, door: Option<usize>) {
        let limit = self.wiring.max_connections;
        let reserve = self.reserve();
        for _ in 0..64 {
            let listener = match door {
                Some(d) => self.listeners.get(d).and_then(Option::as_ref),
                None => self.peer_listener.as_ref(),
            };
            let Some(Ok((stream, _))) = listener.map(TcpListener::accept) else {
                return;
            };
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            // Who has been idle at the same door makes room for who comes.
            let crowded = match door.map(|d| (d, self.wiring.listeners[d].kind)) {
                Some((d, ListenerKind::Operators { most })) => {
                    self.door_open[d] >= most && !self.evict(d) || self.open + reserve >= limit
                }
                Some((d, ListenerKind::Platform)) => self.open + reserve >= limit && !self.evict(d),
                None => false,
            };
            if crowded {
                // Closed at once: the load balancer, the worker or the client
                // tries another node instead of waiting for us.
                continue;
            }
            let kind = match door {
                Some(door) => Kind::Public {
                    door,
                    waiting: false,
                    close: false,
                    partial: None,
                    worker: false,
                },
                None => Kind::PeerIn,
            };
            let _ = self.insert(stream, kind, false);
        }
    }

    /// Sockets kept for peers, the state service, the cloud and workers.
    pub(crate) fn reserve(&self) -> usize {
        (STATE_CONNS + CLOUD_CONNS + 16).min(self.wiring.max_connections / 3)
    }

    /// So many sockets are taken that workers give theirs up between reports.
    ///
    /// More machines than sockets kept all of them open once: the rest could not
    /// report, and users found no node.
    pub(crate) fn crowded(&self) -> bool {
        (self.open + self.reserve()) * 5 > self.wiring.max_connections * 4
    }

    /// Tries those doors again that could not be opened.
    pub(crate) fn open_doors(&mut self, now: Time) {
        if now.since(self.doors_tried) < REOPEN_S || self.listeners.iter().all(Option::is_some) {
            return;
        }
        self.doors_tried = now;
        for (i, door) in self.wiring.listeners.iter().enumerate() {
            if self.listeners[i].is_none() {
                if let Ok(listener) = open_door(&self.poller, i, door) {
                    tracing::info!("operators are served on {}", door.addr);
                    self.listeners[i] = Some(listener);
                }
            }
        }
    }

    pub(crate) fn operators(&self, door: usize) -> bool {
        matches!(
            self.wiring.listeners.get(door).map(|d| d.kind),
            Some(ListenerKind::Operators { .. })
        )
    }

    /// Closes the connection of a user or operator that has been idle longest.
    pub(crate) fn evict(&mut self, at: usize) -> bool {
        let now = self.now();
        let oldest = self
            .conns
            .iter()
            .enumerate()
            .filter_map(|(i, c)| c.as_ref().map(|c| (i, c)))
            .filter(|(_, c)| {
                matches!(c.kind, Kind::Public { door, waiting: false, worker: false, .. }
                    if door == at)
            })
            .min_by_key(|(_, c)| c.active)
            .map(|(i, c)| (i, c.active));
        match oldest {
            Some((slot, active)) if now.since(active) > EVICT_S => {
                self.close(slot);
                true
            }
            _ => false,
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        let mut over = Vec::new();
        for (slot, conn) in self.conns.iter().enumerate() {
            let Some(c) = conn else { continue };
            let late = match &c.kind {
                Kind::Public { door, .. } if self.operators(*door) && !c.outbuf.is_empty() => {
                    now.since(c.active) > SLOW_READER_S
                }
                Kind::Call {
                    current: Some((_, deadline)),
                    ..
                } => now > *deadline,
                Kind::Call { current: None, .. } => now.since(c.active) > 30.0,
                Kind::Public {
                    waiting: false,
                    partial: Some(t),
                    ..
                } => now.since(*t) > PARTIAL_S,
                Kind::Public { waiting: false, .. } => now.since(c.active) > IDLE_S,
                Kind::Public { waiting: true, .. } => now.since(c.active) > IDLE_S,
                // A link over which nothing goes is not known to be alive.
                Kind::PeerIn => now.since(c.active) > 10.0,
                Kind::PeerOut { .. } => !c.outbuf.is_empty() && now.since(c.active) > 5.0,
            };
            if late {
                over.push(slot);
            }
        }
        for slot in over {
            self.close(slot);
        }
    }

    pub(crate) fn link_peers(&mut self, now: Time) {
        for member in 0..self.wiring.members.len() {
            let linked = self
                .conns
                .iter()
                .flatten()
                .any(|c| matches!(c.kind, Kind::PeerOut { member: m } if m == member));
            if linked || now < self.peer_retry[member] {
                continue;
            }
            self.peer_retry[member] = now.plus(1.0);
            if let Ok(stream) = connect(self.wiring.members[member].addr) {
                let _ = self.insert(stream, Kind::PeerOut { member }, true);
            }
        }
    }
}
