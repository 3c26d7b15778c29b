//! Sockets, timers and the event loop: `polling` on a single thread.
//!
//! Everything is bounded: connections by the platform's limit, buffers by the size of a message,
//! calls by their timeouts. Users are turned away before workers, peers, the key-value store or
//! the cloud run out of connections.

mod connections;
mod input;
mod network;
mod output;

pub use network::{Listener, ListenerKind, NetworkConfig};

use beamhinge_core::messages::{Destination, Service};
use beamhinge_core::types::{CallId, Time, WallMs};
use network::{listen, open_listener};
use polling::{Event, PollMode, Poller};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time at the start of the process, well above zero so that times before it can be expressed.
const START_MICROS: u64 = 3_600_000_000;
/// How often the service is called without an event, seconds.
const TICK_INTERVAL_S: f64 = 0.025;
/// How often connections are checked for timeouts and peers are connected, seconds.
const MAINTENANCE_INTERVAL_S: f64 = 0.1;
/// Key of the peer listener's events; below it are those of other listeners and connections.
const PEER_LISTENER_KEY: usize = usize::MAX - 3;
/// Key of the first listener's events; further listeners follow downwards.
const LISTENER_KEYS: usize = usize::MAX - 4;

/// Why the event loop cannot start or go on.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: io::Error,
    },
    /// The operating system refuses to report events.
    #[error("cannot wait for events: {0}")]
    Poll(#[from] io::Error),
}

/// What a connection is used for.
enum ConnectionKind {
    /// From a user, a worker or a client of the admin API.
    Public {
        /// Place of the listener that accepted it.
        listener: usize,
        /// A request is being served.
        waiting: bool,
        /// It is closed after the answer.
        close: bool,
        /// When the first part of an incomplete request arrived.
        partial: Option<Time>,
        /// A worker has reported over it.
        worker: bool,
    },
    /// To an outside service, with the current call and its deadline.
    Call {
        destination: Destination,
        current: Option<(CallId, Time)>,
    },
    /// From a peer, for its frames.
    PeerIn,
    /// To a peer, for frames to it.
    PeerOut { member: usize },
}

/// One connection with its buffers.
struct Connection {
    stream: TcpStream,
    kind: ConnectionKind,
    /// Tells it from earlier ones in the same slot.
    generation: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Registered for write events.
    writing: bool,
    /// To a peer that does not read: the last frame for it was dropped.
    dropping_frames: bool,
    last_active: Time,
}

/// Serves one [`Service`]: owns its sockets and calls it with events.
pub struct EventLoop<S> {
    poller: Poller,
    start: Instant,
    /// `None`: a listener that could not be opened yet.
    listeners: Vec<Option<TcpListener>>,
    /// When listeners that could not be opened were tried last.
    listeners_tried: Time,
    peer_listener: Option<TcpListener>,
    network: NetworkConfig,
    connections: Vec<Option<Connection>>,
    free_slots: Vec<usize>,
    open_connections: usize,
    open_by_listener: Vec<usize>,
    generation: u64,
    service: S,
    /// Calls whose connection failed: whether they had an effect is unknown.
    failed_calls: VecDeque<CallId>,
    peer_retry_at: Vec<Time>,
    last_tick: Time,
    last_maintenance: Time,
}

/// The time of day.
pub fn wall() -> WallMs {
    WallMs(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
    )
}

impl<S: Service> EventLoop<S> {
    /// Opens the listeners and makes the service.
    ///
    /// # Errors
    ///
    /// [`EventLoopError`] if the platform's or the peers' address cannot be listened on.
    pub fn new(
        network: NetworkConfig,
        make: impl FnOnce(Time) -> S,
    ) -> Result<EventLoop<S>, EventLoopError> {
        match EventLoop::try_new(network, |now| Ok::<S, Infallible>(make(now)))? {
            Ok(event_loop) => Ok(event_loop),
            Err(never) => match never {},
        }
    }

    /// The same for a service that may fail to be made; its error is the inner one.
    pub fn try_new<E>(
        network: NetworkConfig,
        make: impl FnOnce(Time) -> Result<S, E>,
    ) -> Result<Result<EventLoop<S>, E>, EventLoopError> {
        let poller = Poller::new()?;
        let mut listeners = Vec::new();
        for (i, listener) in network.listeners.iter().enumerate() {
            listeners.push(match open_listener(&poller, i, listener) {
                Ok(listener) => Some(listener),
                // The admin API must not keep the service from running: it goes on without this
                // listener and tries again.
                Err(e) if matches!(listener.kind, ListenerKind::Admin { .. }) => {
                    tracing::error!(error = %e, "cannot open admin API listener, trying again");
                    None
                }
                Err(e) => return Err(e),
            });
        }
        let peer_listener = network.peers.map(listen).transpose()?;
        if let Some(listener) = &peer_listener {
            poller.add_with_mode(
                listener,
                Event::readable(PEER_LISTENER_KEY),
                PollMode::Level,
            )?;
        }
        let service = match make(Time::from_micros(START_MICROS)) {
            Ok(service) => service,
            Err(e) => return Ok(Err(e)),
        };
        let mut event_loop = EventLoop {
            poller,
            start: Instant::now(),
            open_by_listener: vec![0; listeners.len()],
            listeners,
            listeners_tried: Time::default(),
            peer_listener,
            connections: Vec::new(),
            free_slots: Vec::new(),
            open_connections: 0,
            generation: 0,
            service,
            failed_calls: VecDeque::new(),
            peer_retry_at: vec![Time::default(); network.members.len()],
            network,
            last_tick: Time::default(),
            last_maintenance: Time::default(),
        };
        event_loop.connections.reserve(64);
        Ok(Ok(event_loop))
    }

    fn now(&self) -> Time {
        Time::from_micros(START_MICROS) + self.start.elapsed()
    }

    /// Serves until the process ends.
    ///
    /// # Errors
    ///
    /// [`EventLoopError::Poll`] if events cannot be waited for.
    pub fn run(self) -> Result<(), EventLoopError> {
        self.run_while(|| true)
    }

    /// Serves as long as `go` returns true; it is called about every 25 ms.
    ///
    /// # Errors
    ///
    /// [`EventLoopError::Poll`] if events cannot be waited for.
    pub fn run_while(mut self, go: impl Fn() -> bool) -> Result<(), EventLoopError> {
        let mut events = Vec::new();
        while go() {
            events.clear();
            self.poller
                .wait(&mut events, Some(Duration::from_secs_f64(TICK_INTERVAL_S)))?;
            for event in &events {
                match event.key {
                    PEER_LISTENER_KEY => self.accept(None),
                    key if key <= LISTENER_KEYS && key > LISTENER_KEYS - self.listeners.len() => {
                        self.accept(Some(LISTENER_KEYS - key))
                    }
                    slot => self.on_ready(slot, event.readable, event.writable),
                }
            }
            let now = self.now();
            if now.since(self.last_tick) >= TICK_INTERVAL_S {
                self.last_tick = now;
                if now.since(self.last_maintenance) >= MAINTENANCE_INTERVAL_S {
                    self.last_maintenance = now;
                    self.close_expired(now);
                    self.retry_listeners(now);
                    self.connect_peers(now);
                }
                let mut out = Vec::new();
                self.service.on_tick(now, wall(), &mut out);
                self.apply_effects(out);
            }
            self.report_failed_calls();
        }
        Ok(())
    }

    /// Reports failed calls to the service, including those that it makes in turn.
    fn report_failed_calls(&mut self) {
        while let Some(id) = self.failed_calls.pop_front() {
            let mut out = Vec::new();
            self.service
                .on_reply(self.now(), wall(), id, None, &mut out);
            self.apply_effects(out);
        }
    }
}

#[cfg(test)]
mod tests;
