//! Event loop with sockets and timers; a single thread waits for events with `polling`.
//!
//! All resources are bounded: connections by the configured limit, buffers by the maximum message
//! size, calls by their timeouts. Connections of users are refused before workers, peers, the
//! key-value store or the cloud run out of connections.

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

/// Time at the start of the event loop in microseconds. It is well above zero so that earlier
/// times can be represented.
const START_MICROS: u64 = 3_600_000_000;
/// Interval between two calls of [`Service::on_tick`], in seconds; also the longest wait for
/// socket events.
const TICK_INTERVAL_S: f64 = 0.025;
/// Interval at which expired connections are closed, unopened listeners are retried and missing
/// peer connections are opened, in seconds.
const MAINTENANCE_INTERVAL_S: f64 = 0.1;
/// Poller key of the peer listener. The keys of other listeners and of connections are lower.
const PEER_LISTENER_KEY: usize = usize::MAX - 3;
/// Poller key of the first listener; each further listener has the next lower key.
const FIRST_LISTENER_KEY: usize = usize::MAX - 4;

/// Error that prevents the event loop from starting or continuing.
#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddrV4,
        /// Error of the socket call.
        source: io::Error,
    },
    /// A socket could not be registered with the poller, or waiting for events failed.
    #[error("cannot wait for events: {0}")]
    Poll(#[from] io::Error),
}

/// Purpose of a connection, with the state that depends on it.
enum ConnectionKind {
    /// Accepted from a user, a worker or a client of the admin API.
    Public {
        /// Index of the listener that accepted the connection.
        listener: usize,
        /// A request was passed to the service and has not been answered yet.
        awaiting_answer: bool,
        /// The connection is closed after the current answer.
        close: bool,
        /// Time at which the first bytes of an incomplete request arrived; `None` if there is none.
        partial_since: Option<Time>,
        /// A worker has sent a report over this connection.
        is_worker: bool,
    },
    /// Opened to an external service, a worker or a controller's public address. `current_call` is
    /// the call in progress and its deadline; `None` while the connection is idle.
    Call {
        destination: Destination,
        current_call: Option<(CallId, Time)>,
    },
    /// Accepted from a peer; receives its frames.
    PeerIn,
    /// Opened to a peer; sends frames to it.
    PeerOut { member: usize },
}

/// One connection with its buffers.
struct Connection {
    stream: TcpStream,
    kind: ConnectionKind,
    /// Distinguishes this connection from earlier ones in the same slot.
    generation: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The connection is registered for write events.
    writing: bool,
    /// The last frame for this peer was dropped because the peer does not read.
    dropping_frames: bool,
    last_active: Time,
}

/// Runs one [`Service`]: owns its sockets and passes events to it.
pub struct EventLoop<S> {
    poller: Poller,
    start: Instant,
    /// Listeners by index; `None` for a listener that could not be opened yet.
    listeners: Vec<Option<TcpListener>>,
    /// Time of the last attempt to open listeners that are not open.
    last_listener_retry: Time,
    peer_listener: Option<TcpListener>,
    network: NetworkConfig,
    connections: Vec<Option<Connection>>,
    free_slots: Vec<usize>,
    open_connections: usize,
    open_by_listener: Vec<usize>,
    generation: u64,
    service: S,
    /// Calls whose connection failed or could not be opened. It is unknown whether they were
    /// executed.
    failed_calls: VecDeque<CallId>,
    peer_retry_at: Vec<Time>,
    last_tick: Time,
    last_maintenance: Time,
}

/// Returns the current wall-clock time.
pub fn wall() -> WallMs {
    WallMs(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
    )
}

impl<S: Service> EventLoop<S> {
    /// Opens the listeners and creates the service.
    ///
    /// # Errors
    ///
    /// [`EventLoopError`] if the platform listener or the peer listener cannot be opened.
    pub fn new(
        network: NetworkConfig,
        create_service: impl FnOnce(Time) -> S,
    ) -> Result<EventLoop<S>, EventLoopError> {
        match EventLoop::try_new(network, |now| Ok::<S, Infallible>(create_service(now)))? {
            Ok(event_loop) => Ok(event_loop),
            Err(impossible) => match impossible {},
        }
    }

    /// Like [`EventLoop::new`], for a service whose creation may fail; the inner result has the
    /// service's error.
    pub fn try_new<E>(
        network: NetworkConfig,
        create_service: impl FnOnce(Time) -> Result<S, E>,
    ) -> Result<Result<EventLoop<S>, E>, EventLoopError> {
        let poller = Poller::new()?;
        let mut listeners = Vec::new();
        for (i, listener) in network.listeners.iter().enumerate() {
            listeners.push(match open_listener(&poller, i, listener) {
                Ok(listener) => Some(listener),
                // A failure of the admin API must not prevent the service from running: the event
                // loop starts without this listener and retries it later.
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
        let service = match create_service(Time::from_micros(START_MICROS)) {
            Ok(service) => service,
            Err(e) => return Ok(Err(e)),
        };
        let mut event_loop = EventLoop {
            poller,
            start: Instant::now(),
            open_by_listener: vec![0; listeners.len()],
            listeners,
            last_listener_retry: Time::default(),
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

    /// Runs until the process exits.
    ///
    /// # Errors
    ///
    /// [`EventLoopError::Poll`] if events cannot be waited for.
    pub fn run(self) -> Result<(), EventLoopError> {
        self.run_while(|| true)
    }

    /// Runs as long as `keep_running` returns true, which is checked at least about every 25 ms.
    ///
    /// # Errors
    ///
    /// [`EventLoopError::Poll`] if events cannot be waited for.
    pub fn run_while(mut self, keep_running: impl Fn() -> bool) -> Result<(), EventLoopError> {
        let mut events = Vec::new();
        while keep_running() {
            events.clear();
            self.poller
                .wait(&mut events, Some(Duration::from_secs_f64(TICK_INTERVAL_S)))?;
            for event in &events {
                match event.key {
                    PEER_LISTENER_KEY => self.accept(None),
                    key if key <= FIRST_LISTENER_KEY
                        && key > FIRST_LISTENER_KEY - self.listeners.len() =>
                    {
                        self.accept(Some(FIRST_LISTENER_KEY - key))
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

    /// Reports failed calls to the service, including calls that fail while it handles these
    /// reports.
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
