//! Sockets, timers and the one loop, on `polling` and a single thread.
//!
//! Everything is bounded: connections by the platform's limit, buffers by the
//! size of a message, calls by their timeouts. Users are turned away before
//! workers, peers, the state service or the cloud run out of sockets.

// TODO(readability): lifted once this crate is finished.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::wildcard_imports,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls
)]

mod connections;
mod input;
mod output;
mod wiring;

pub use wiring::{Listener, ListenerKind, NetworkConfig};

use beamhinge_core::messages::{Destination, Service};
use beamhinge_core::types::{CallId, Time, WallMs};
use polling::{Event, PollMode, Poller};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wiring::{listen, open_door};

const START_US: u64 = 3_600_000_000;
const TICK_S: f64 = 0.025;
/// How often connections are looked over for timeouts.
const TIDY_S: f64 = 0.1;
const PEERS: usize = usize::MAX - 3;
/// Keys of the doors' listeners, downwards from here.
const DOORS: usize = usize::MAX - 4;

#[derive(Debug, thiserror::Error)]
pub enum EventLoopError {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddrV4, io::Error),
    #[error("cannot wait for events: {0}")]
    Poll(#[from] io::Error),
}

enum Kind {
    Public {
        door: usize,
        waiting: bool,
        close: bool,
        partial: Option<Time>,
        worker: bool,
    },
    Call {
        destination: Destination,
        current: Option<(CallId, Time)>,
    },
    PeerIn,
    PeerOut {
        member: usize,
    },
}

struct Conn {
    stream: TcpStream,
    kind: Kind,
    generation: u64,
    inbuf: Vec<u8>,
    outbuf: Vec<u8>,
    writing: bool,
    /// To a peer: it does not read, and the last frame for it was dropped.
    overfull: bool,
    active: Time,
}

pub struct EventLoop<S> {
    poller: Poller,
    start: Instant,
    /// None: a door that could not be opened yet.
    listeners: Vec<Option<TcpListener>>,
    /// When doors that could not be opened were tried last.
    doors_tried: Time,
    peer_listener: Option<TcpListener>,
    wiring: NetworkConfig,
    conns: Vec<Option<Conn>>,
    free: Vec<usize>,
    open: usize,
    door_open: Vec<usize>,
    generation: u64,
    service: S,
    /// Calls whose connection failed: their fate is unknown.
    failed: VecDeque<CallId>,
    peer_retry: Vec<Time>,
    ticked: Time,
    tidied: Time,
}

pub fn wall() -> WallMs {
    WallMs(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64),
    )
}

impl<S: Service> EventLoop<S> {
    pub fn new(
        wiring: NetworkConfig,
        make: impl FnOnce(Time) -> S,
    ) -> Result<EventLoop<S>, EventLoopError> {
        match EventLoop::try_new(wiring, |now| Ok::<S, Infallible>(make(now)))? {
            Ok(net) => Ok(net),
            Err(never) => match never {},
        }
    }

    /// The same for a service that may fail to be made.
    pub fn try_new<E>(
        wiring: NetworkConfig,
        make: impl FnOnce(Time) -> Result<S, E>,
    ) -> Result<Result<EventLoop<S>, E>, EventLoopError> {
        let poller = Poller::new()?;
        let mut listeners = Vec::new();
        for (i, door) in wiring.listeners.iter().enumerate() {
            listeners.push(match open_door(&poller, i, door) {
                Ok(listener) => Some(listener),
                // Whoever asks from outside must not keep the service from
                // running: it goes on without this door and tries again.
                Err(e) if matches!(door.kind, ListenerKind::Operators { .. }) => {
                    tracing::error!("no operators are served yet: {e}");
                    None
                }
                Err(e) => return Err(e),
            });
        }
        let peer_listener = wiring.peers.map(listen).transpose()?;
        if let Some(listener) = &peer_listener {
            poller.add_with_mode(listener, Event::readable(PEERS), PollMode::Level)?;
        }
        // Time starts well above zero, so that "long ago" can be expressed.
        let service = match make(Time::from_micros(START_US)) {
            Ok(service) => service,
            Err(e) => return Ok(Err(e)),
        };
        let mut net = EventLoop {
            poller,
            start: Instant::now(),
            door_open: vec![0; listeners.len()],
            listeners,
            doors_tried: Time::default(),
            peer_listener,
            conns: Vec::new(),
            free: Vec::new(),
            open: 0,
            generation: 0,
            service,
            failed: VecDeque::new(),
            peer_retry: vec![Time::default(); wiring.members.len()],
            wiring,
            ticked: Time::default(),
            tidied: Time::default(),
        };
        net.conns.reserve(64);
        Ok(Ok(net))
    }

    fn now(&self) -> Time {
        Time::from_micros(START_US) + self.start.elapsed()
    }

    pub fn run(self) -> Result<(), EventLoopError> {
        self.run_while(|| true)
    }

    /// Runs as long as `go` says so; it is asked about each 25 ms.
    pub fn run_while(mut self, go: impl Fn() -> bool) -> Result<(), EventLoopError> {
        let mut events = Vec::new();
        while go() {
            events.clear();
            self.poller
                .wait(&mut events, Some(Duration::from_secs_f64(TICK_S)))?;
            for event in &events {
                match event.key {
                    PEERS => self.accept(None),
                    key if key <= DOORS && key > DOORS - self.listeners.len() => {
                        self.accept(Some(DOORS - key))
                    }
                    slot => self.ready(slot, event.readable, event.writable),
                }
            }
            let now = self.now();
            if now.since(self.ticked) >= TICK_S {
                self.ticked = now;
                if now.since(self.tidied) >= TIDY_S {
                    self.tidied = now;
                    self.expire(now);
                    self.open_doors(now);
                    self.link_peers(now);
                }
                let mut out = Vec::new();
                self.service.on_tick(now, wall(), &mut out);
                self.act(out);
            }
            self.settle();
        }
        Ok(())
    }

    /// Hands over calls that failed at once, until none is left.
    fn settle(&mut self) {
        while let Some(id) = self.failed.pop_front() {
            let mut out = Vec::new();
            self.service
                .on_reply(self.now(), wall(), id, None, &mut out);
            self.act(out);
        }
    }
}

#[cfg(test)]
mod tests;
