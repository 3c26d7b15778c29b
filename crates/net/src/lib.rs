//! Sockets, timers and the one loop, on `polling` and a single thread.
//!
//! Everything is bounded: connections by the platform's limit, buffers by the
//! size of a message, calls by their timeouts. Users are turned away before
//! workers, peers, the state service or the cloud run out of sockets.

use beamhinge_vocab::http::{self, Content, HttpError};
use beamhinge_vocab::messages::{Dest, Out, Service};
use beamhinge_vocab::peers;
use beamhinge_vocab::settings::{External, Member, Settings};
use beamhinge_vocab::types::{CallId, RequestId, Time, WallMs};
use beamhinge_vocab::wire::{self, BODY_LIMIT};
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Answers of the state service may be large; beyond this we give up on one.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
const START_US: u64 = 3_600_000_000;
const TICK_S: f64 = 0.025;
/// How often connections are looked over for timeouts.
const TIDY_S: f64 = 0.1;
const PARTIAL_S: f64 = 10.0;
const IDLE_S: f64 = 75.0;
/// Idle time after which a user's connection may be closed for another's.
const EVICT_S: f64 = 2.0;
const STATE_CONNS: usize = 24;
const CLOUD_CONNS: usize = 8;
const WORKER_CONNS: usize = 64;
/// The status of a controller that sends its caller elsewhere.
const MISDIRECTED: u16 = 421;
/// An operator's client that takes nothing of its answer for so long is let go.
const SLOW_READER_S: f64 = 10.0;
/// How often a door that could not be opened is tried again.
const REOPEN_S: f64 = 5.0;
const PEERS: usize = usize::MAX - 3;
/// Keys of the doors' listeners, downwards from here.
const DOORS: usize = usize::MAX - 4;

#[derive(Debug, thiserror::Error)]
pub enum NetError {
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddrV4, io::Error),
    #[error("cannot wait for events: {0}")]
    Poll(#[from] io::Error),
}

enum Kind {
    Public { door: usize, waiting: bool, close: bool, partial: Option<Time>, worker: bool },
    Call { dest: Dest, current: Option<(CallId, Time)> },
    PeerIn,
    PeerOut { member: usize },
}

struct Conn {
    stream: TcpStream,
    kind: Kind,
    generation: u64,
    inbuf: Vec<u8>,
    outbuf: Vec<u8>,
    writing: bool,
    active: Time,
}

/// An address that the loop listens on. Doors are known by their place in the
/// list, and requests come with it.
pub struct Door {
    pub addr: SocketAddrV4,
    pub kind: DoorKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoorKind {
    /// CBOR for users, workers and controllers; shares the limit of sockets.
    Platform,
    /// JSON for operators, so many connections at once: a crowd here takes no
    /// socket from users or workers.
    Operators { most: usize },
}

/// The addresses that a process listens on and calls.
pub struct Wiring {
    pub doors: Vec<Door>,
    /// Where the peers' frames come in.
    pub peers: Option<SocketAddrV4>,
    pub members: Vec<Member>,
    pub external: External,
    pub max_connections: usize,
}

impl Wiring {
    /// A controller's: the platform's door first, then the operators'.
    pub fn controller(settings: &Settings, operators: Option<(SocketAddrV4, usize)>) -> Wiring {
        let mut doors = vec![Door { addr: settings.public_addr, kind: DoorKind::Platform }];
        if let Some((addr, most)) = operators {
            doors.push(Door { addr, kind: DoorKind::Operators { most } });
        }
        Wiring {
            doors,
            peers: Some(settings.peer_bind),
            members: settings.members.clone(),
            external: settings.external.clone(),
            max_connections: settings.params.machine_limits.max_connections,
        }
    }
}

pub struct Net<S> {
    poller: Poller,
    start: Instant,
    /// None: a door that could not be opened yet.
    doors: Vec<Option<TcpListener>>,
    knocked: Time,
    peer_listener: Option<TcpListener>,
    wiring: Wiring,
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

fn listen(addr: SocketAddrV4) -> Result<TcpListener, NetError> {
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        // A restarted controller takes its address back at once.
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(512)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    open().map_err(|e| NetError::Listen(addr, e))
}

fn open_door(poller: &Poller, place: usize, door: &Door) -> Result<TcpListener, NetError> {
    let listener = listen(door.addr)?;
    poller.add_with_mode(&listener, Event::readable(DOORS - place), PollMode::Level)?;
    Ok(listener)
}

fn connect(addr: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_nodelay(true);
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        // EINPROGRESS: the connection is being made.
        Err(e) if e.raw_os_error() == Some(115) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}

pub fn wall() -> WallMs {
    WallMs(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64))
}

impl<S: Service> Net<S> {
    pub fn new(wiring: Wiring, make: impl FnOnce(Time) -> S) -> Result<Net<S>, NetError> {
        match Net::try_new(wiring, |now| Ok::<S, Infallible>(make(now)))? {
            Ok(net) => Ok(net),
            Err(never) => match never {},
        }
    }

    /// The same for a service that may fail to be made.
    pub fn try_new<E>(
        wiring: Wiring,
        make: impl FnOnce(Time) -> Result<S, E>,
    ) -> Result<Result<Net<S>, E>, NetError> {
        let poller = Poller::new()?;
        let mut doors = Vec::new();
        for (i, door) in wiring.doors.iter().enumerate() {
            doors.push(match open_door(&poller, i, door) {
                Ok(listener) => Some(listener),
                // Whoever asks from outside must not keep the service from
                // running: it goes on without this door and tries again.
                Err(e) if matches!(door.kind, DoorKind::Operators { .. }) => {
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
        let mut net = Net {
            poller,
            start: Instant::now(),
            door_open: vec![0; doors.len()],
            doors,
            knocked: Time::default(),
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

    pub fn run(self) -> Result<(), NetError> {
        self.run_while(|| true)
    }

    /// Runs as long as `go` says so; it is asked about each 25 ms.
    pub fn run_while(mut self, go: impl Fn() -> bool) -> Result<(), NetError> {
        let mut events = Vec::new();
        while go() {
            events.clear();
            self.poller.wait(&mut events, Some(Duration::from_secs_f64(TICK_S)))?;
            for event in &events {
                match event.key {
                    PEERS => self.accept(None),
                    key if key <= DOORS && key > DOORS - self.doors.len() => {
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
            self.service.on_reply(self.now(), wall(), id, None, &mut out);
            self.act(out);
        }
    }

    // ---- connections ----

    fn insert(&mut self, stream: TcpStream, kind: Kind, connecting: bool) -> io::Result<usize> {
        let slot = self.free.pop().unwrap_or(self.conns.len());
        let interest = if connecting { Event::all(slot) } else { Event::readable(slot) };
        if let Err(e) = self.poller.add_with_mode(&stream, interest, PollMode::Level) {
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

    fn close(&mut self, slot: usize) {
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::take) else { return };
        let _ = self.poller.delete(&conn.stream);
        self.open -= 1;
        self.free.push(slot);
        match conn.kind {
            Kind::Call { current: Some((id, _)), .. } => self.failed.push_back(id),
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

    fn accept(&mut self, door: Option<usize>) {
        let limit = self.wiring.max_connections;
        let reserve = self.reserve();
        for _ in 0..64 {
            let listener = match door {
                Some(d) => self.doors.get(d).and_then(Option::as_ref),
                None => self.peer_listener.as_ref(),
            };
            let Some(Ok((stream, _))) = listener.map(TcpListener::accept) else { return };
            if stream.set_nonblocking(true).is_err() {
                continue;
            }
            let _ = stream.set_nodelay(true);
            // Who has been idle at the same door makes room for who comes.
            let crowded = match door.map(|d| (d, self.wiring.doors[d].kind)) {
                Some((d, DoorKind::Operators { most })) => {
                    self.door_open[d] >= most && !self.evict(d) || self.open + reserve >= limit
                }
                Some((d, DoorKind::Platform)) => self.open + reserve >= limit && !self.evict(d),
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
    fn reserve(&self) -> usize {
        (STATE_CONNS + CLOUD_CONNS + 16).min(self.wiring.max_connections / 3)
    }

    /// So many sockets are taken that workers give theirs up between reports.
    ///
    /// More machines than sockets kept all of them open once: the rest could not
    /// report, and users found no node.
    fn crowded(&self) -> bool {
        (self.open + self.reserve()) * 5 > self.wiring.max_connections * 4
    }

    /// Tries those doors again that could not be opened.
    fn open_doors(&mut self, now: Time) {
        if now.since(self.knocked) < REOPEN_S || self.doors.iter().all(Option::is_some) {
            return;
        }
        self.knocked = now;
        for (i, door) in self.wiring.doors.iter().enumerate() {
            if self.doors[i].is_none() {
                if let Ok(listener) = open_door(&self.poller, i, door) {
                    tracing::info!("operators are served on {}", door.addr);
                    self.doors[i] = Some(listener);
                }
            }
        }
    }

    fn operators(&self, door: usize) -> bool {
        matches!(self.wiring.doors.get(door).map(|d| d.kind), Some(DoorKind::Operators { .. }))
    }

    /// Closes the connection of a user or operator that has been idle longest.
    fn evict(&mut self, at: usize) -> bool {
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

    fn expire(&mut self, now: Time) {
        let mut over = Vec::new();
        for (slot, conn) in self.conns.iter().enumerate() {
            let Some(c) = conn else { continue };
            let late = match &c.kind {
                Kind::Public { door, .. } if self.operators(*door) && !c.outbuf.is_empty() => {
                    now.since(c.active) > SLOW_READER_S
                }
                Kind::Call { current: Some((_, deadline)), .. } => now > *deadline,
                Kind::Call { current: None, .. } => now.since(c.active) > 30.0,
                Kind::Public { waiting: false, partial: Some(t), .. } => now.since(*t) > PARTIAL_S,
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

    fn link_peers(&mut self, now: Time) {
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

    // ---- input ----

    fn ready(&mut self, slot: usize, readable: bool, writable: bool) {
        if writable {
            if !self.flush(slot) {
                return;
            }
            // What waited for its answer's reader goes on.
            let waits = self.conns.get(slot).and_then(Option::as_ref).is_some_and(|c| {
                matches!(c.kind, Kind::Public { .. }) && c.outbuf.is_empty() && !c.inbuf.is_empty()
            });
            if waits {
                self.requests(slot);
            }
        }
        if readable {
            self.read(slot);
        }
    }

    fn read(&mut self, slot: usize) {
        let now = self.now();
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else { return };
        let limit = match conn.kind {
            Kind::Public { .. } => BODY_LIMIT + 2 * http::HEAD_LIMIT,
            Kind::Call { .. } => ANSWER_LIMIT + http::HEAD_LIMIT,
            _ => peers::FRAME_LIMIT + 4,
        };
        let mut chunk = [0u8; 16 * 1024];
        let mut ended = false;
        for _ in 0..16 {
            if conn.inbuf.len() > limit {
                break;
            }
            match conn.stream.read(&mut chunk) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => {
                    conn.inbuf.extend_from_slice(&chunk[..n]);
                    conn.active = now;
                    if n < chunk.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    ended = true;
                    break;
                }
            }
        }
        match conn.kind {
            Kind::Public { .. } => self.requests(slot),
            Kind::Call { .. } => self.response(slot),
            Kind::PeerIn => self.frames(slot),
            Kind::PeerOut { .. } => conn.inbuf.clear(),
        }
        let over =
            self.conns.get(slot).and_then(Option::as_ref).is_some_and(|c| c.inbuf.len() > limit);
        if ended || over {
            self.close(slot);
        }
    }

    fn requests(&mut self, slot: usize) {
        loop {
            let now = self.now();
            let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else { return };
            let generation = conn.generation;
            let Kind::Public { door, waiting, close, partial, worker } = &mut conn.kind else {
                return;
            };
            let door = *door;
            // A client that sends and never reads would else fill our memory with
            // its answers: one is taken before the next request is.
            if *waiting || *close || !conn.outbuf.is_empty() {
                return;
            }
            match http::take_request(&mut conn.inbuf, BODY_LIMIT) {
                Ok(None) => {
                    *partial = if conn.inbuf.is_empty() { None } else { partial.or(Some(now)) };
                    return;
                }
                Ok(Some(request)) => {
                    *waiting = true;
                    *close = request.close;
                    *partial = None;
                    *worker |= request.path.starts_with("/hello");
                    let id = RequestId { slot, generation };
                    let mut out = Vec::new();
                    self.service.on_request(now, wall(), door, id, request, &mut out);
                    self.act(out);
                }
                Err(error) => {
                    *waiting = true;
                    *close = true;
                    conn.inbuf.clear();
                    let status = if error == HttpError::TooLarge { 413 } else { 400 };
                    let to = RequestId { slot, generation };
                    let answer = if self.operators(door) {
                        let large = error == HttpError::TooLarge;
                        let code = if large { "too_large" } else { "malformed" };
                        let body = format!("{{\"error\":\"{error}\",\"code\":\"{code}\"}}");
                        Out::OperatorAnswer {
                            to,
                            status,
                            retry_after: None,
                            content: Content::Json,
                            body: body.into_bytes(),
                        }
                    } else {
                        let body = wire::problem(&error.to_string());
                        Out::Answer { to, status, retry_after: None, body }
                    };
                    self.act(vec![answer]);
                    return;
                }
            }
        }
    }

    fn response(&mut self, slot: usize) {
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else { return };
        let Kind::Call { dest, current } = &mut conn.kind else { return };
        // Thousands of workers are called now and then: none keeps a socket.
        let once = matches!(dest, Dest::Worker(_));
        if current.is_none() {
            // Nothing was asked: whatever this is, the connection is no good.
            if !conn.inbuf.is_empty() {
                self.close(slot);
            }
            return;
        }
        match http::take_response(&mut conn.inbuf, ANSWER_LIMIT) {
            Ok(None) => {}
            Ok(Some(response)) => {
                let id = current.take().map(|(id, _)| id);
                // A caller that is sent elsewhere closes the connection (PROTOCOL).
                if response.close || once || response.status == MISDIRECTED {
                    self.close(slot);
                } else {
                    conn.inbuf.shrink_to(16 * 1024);
                }
                if let Some(id) = id {
                    let mut out = Vec::new();
                    self.service.on_reply(
                        self.now(),
                        wall(),
                        id,
                        Some((response.status, response.body)),
                        &mut out,
                    );
                    self.act(out);
                }
            }
            Err(_) => self.close(slot),
        }
    }

    fn frames(&mut self, slot: usize) {
        loop {
            let now = self.now();
            let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else { return };
            match peers::take(&mut conn.inbuf) {
                Ok(Some(frame)) => {
                    let mut out = Vec::new();
                    self.service.on_frame(now, wall(), frame, &mut out);
                    self.act(out);
                }
                Ok(None) => return,
                Err(_) => return self.close(slot),
            }
        }
    }

    // ---- output ----

    fn act(&mut self, out: Vec<Out>) {
        for o in out {
            match o {
                Out::Answer { to, status, retry_after, body } => {
                    self.answer(to, status, retry_after, Content::Cbor, &body)
                }
                Out::OperatorAnswer { to, status, retry_after, content, body } => {
                    self.answer(to, status, retry_after, content, &body)
                }
                Out::Call { id, dest, method, path, body, timeout_s } => {
                    let deadline = self.now().plus(timeout_s);
                    match self.client(dest) {
                        Some(slot) => {
                            let host = self.address(dest).to_string();
                            if let Some(c) = self.conns.get_mut(slot).and_then(Option::as_mut) {
                                c.kind = Kind::Call { dest, current: Some((id, deadline)) };
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
                Out::Tell { to, frame } => self.tell(to.as_deref(), &frame),
            }
        }
    }

    /// Puts a frame on the links to all peers, or to the one of that label.
    fn tell(&mut self, to: Option<&str>, frame: &[u8]) {
        for slot in 0..self.conns.len() {
            let Some(c) = self.conns.get_mut(slot).and_then(Option::as_mut) else { continue };
            let Kind::PeerOut { member } = c.kind else { continue };
            if to.is_some_and(|label| self.wiring.members[member].label != label) {
                continue;
            }
            // A peer that does not read gets no more to store.
            if c.outbuf.len() < 2 * peers::FRAME_LIMIT {
                c.outbuf.extend_from_slice(frame);
            }
            self.flush(slot);
        }
    }

    fn address(&self, dest: Dest) -> SocketAddrV4 {
        match dest {
            Dest::State => self.wiring.external.state,
            Dest::Cloud => self.wiring.external.cloud,
            Dest::Worker(address) | Dest::Node { address, .. } => address,
        }
    }

    /// An idle connection to `dest`, or a new one.
    fn client(&mut self, dest: Dest) -> Option<usize> {
        let mut count = 0;
        let mut idle = None;
        for (slot, c) in self.conns.iter().enumerate() {
            if let Some(Conn { kind: Kind::Call { dest: d, current }, .. }) = c {
                // Workers share one limit, whatever their addresses.
                let both_workers = matches!((d, dest), (Dest::Worker(_), Dest::Worker(_)));
                count += usize::from(*d == dest || both_workers);
                if *d == dest && current.is_none() {
                    idle = Some(slot);
                }
            }
        }
        if idle.is_some() {
            return idle;
        }
        let limit = match dest {
            Dest::State => STATE_CONNS,
            Dest::Cloud => CLOUD_CONNS,
            Dest::Worker(_) => WORKER_CONNS,
            Dest::Node { .. } => 1,
        };
        if count >= limit {
            return None;
        }
        let stream = connect(self.address(dest)).ok()?;
        self.insert(stream, Kind::Call { dest, current: None }, true).ok()
    }

    fn answer(
        &mut self,
        to: RequestId,
        status: u16,
        retry_after: Option<u32>,
        content: Content,
        body: &[u8],
    ) {
        let now = self.now();
        let crowded = self.crowded();
        let Some(conn) = self.conns.get_mut(to.slot).and_then(Option::as_mut) else { return };
        // The slot may serve another connection by now.
        if conn.generation != to.generation {
            return;
        }
        let Kind::Public { waiting, close, worker, .. } = &mut conn.kind else { return };
        if !*waiting {
            return;
        }
        *waiting = false;
        conn.active = now;
        // The load balancer never moves an open connection: a user told to come
        // back does better with a new one, perhaps to a node that can answer.
        *close |= status == 503 && !*worker || crowded && *worker;
        let closing = *close;
        http::write_response(&mut conn.outbuf, status, retry_after, closing, content, body);
        let more = !conn.inbuf.is_empty();
        if self.flush(to.slot) && more && !closing {
            self.requests(to.slot);
        }
    }

    /// Writes what the socket takes; false when the connection is gone.
    fn flush(&mut self, slot: usize) -> bool {
        let now = self.now();
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else { return false };
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
        let finished =
            done && matches!(conn.kind, Kind::Public { waiting: false, close: true, .. });
        if broken || finished {
            self.close(slot);
            return false;
        }
        if done == conn.writing {
            conn.writing = !done;
            let interest = if done { Event::readable(slot) } else { Event::all(slot) };
            let _ = self.poller.modify_with_mode(&conn.stream, interest, PollMode::Level);
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beamhinge_vocab::http::Request;
    use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
    use std::sync::Arc;

    /// Answers every request with half a megabyte.
    struct Talker(Arc<AtomicUsize>);

    impl Service for Talker {
        fn on_request(
            &mut self,
            _: Time,
            _: WallMs,
            _: usize,
            to: RequestId,
            _: Request,
            out: &mut Vec<Out>,
        ) {
            self.0.fetch_add(1, Ordering::Relaxed);
            let (content, body) = (Content::Text, vec![b'x'; 512 * 1024]);
            out.push(Out::OperatorAnswer { to, status: 200, retry_after: None, content, body });
        }
        fn on_reply(
            &mut self,
            _: Time,
            _: WallMs,
            _: CallId,
            _: Option<(u16, Vec<u8>)>,
            _: &mut Vec<Out>,
        ) {
        }
        fn on_tick(&mut self, _: Time, _: WallMs, _: &mut Vec<Out>) {}
    }

    fn free_address() -> SocketAddrV4 {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        match socket.local_addr().expect("bound") {
            std::net::SocketAddr::V4(a) => a,
            other => panic!("{other}"),
        }
    }

    /// A controller whose operators' address could not be had once did not
    /// start, and was started again a thousand times.
    #[test]
    fn an_operators_door_that_cannot_be_opened_keeps_nobody_waiting() {
        let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let std::net::SocketAddr::V4(addr) = taken.local_addr().expect("bound") else {
            panic!("it is IPv4")
        };
        let door = |kind| Wiring {
            doors: vec![Door { addr, kind }],
            peers: None,
            members: Vec::new(),
            external: External { cloud: addr, state: addr },
            max_connections: 100,
        };
        let talker = |_| Talker(Arc::default());
        let mut net =
            Net::new(door(DoorKind::Operators { most: 1 }), talker).expect("it serves without");
        assert!(net.doors[0].is_none());
        drop(taken);
        net.open_doors(net.now().plus(REOPEN_S));
        assert!(net.doors[0].is_some(), "taken as soon as it is free");
        drop(net);
        let taken = TcpListener::bind(addr).expect("free again");
        assert!(Net::new(door(DoorKind::Platform), talker).is_err(), "users need theirs");
        drop(taken);
    }

    /// A loop on a thread of its own: its address, what it served, and the word
    /// that ends it.
    fn talking(
        kind: DoorKind,
        max_connections: usize,
    ) -> (SocketAddrV4, Arc<AtomicUsize>, Arc<AtomicBool>, std::thread::JoinHandle<()>) {
        let addr = free_address();
        let nowhere = SocketAddrV4::new([127, 0, 0, 1].into(), 1);
        let wiring = Wiring {
            doors: vec![Door { addr, kind }],
            peers: None,
            members: Vec::new(),
            external: External { cloud: nowhere, state: nowhere },
            max_connections,
        };
        let (served, go) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(true)));
        let (count, running) = (served.clone(), go.clone());
        let thread = std::thread::spawn(move || {
            let net = Net::new(wiring, |_| Talker(count)).expect("listens");
            net.run_while(|| running.load(Ordering::Relaxed)).expect("runs");
        });
        (addr, served, go, thread)
    }

    /// More machines than sockets: each is served, since they take turns.
    #[test]
    fn workers_take_turns_when_sockets_run_short() {
        let (addr, _served, go, thread) = talking(DoorKind::Platform, 60);
        let until = Instant::now() + Duration::from_secs(20);
        let (mut kept, mut closed) = (Vec::new(), 0);
        while kept.len() + closed < 150 && Instant::now() < until {
            let Ok(mut stream) = TcpStream::connect(addr) else { continue };
            let sent = stream.write_all(b"POST /hello HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
            let mut answer = [0u8; 512];
            let n = match sent.and_then(|()| stream.read(&mut answer)) {
                Ok(n) if n > 0 => n,
                _ => continue,
            };
            let text = String::from_utf8_lossy(&answer[..n]).to_lowercase();
            match text.contains("connection: close") {
                true => closed += 1,
                false => kept.push(stream),
            }
        }
        go.store(false, Ordering::Relaxed);
        thread.join().expect("ended");
        assert_eq!(kept.len() + closed, 150, "all were served");
        assert!(closed > 100 && kept.len() < 60, "{closed} closed, {} kept", kept.len());
    }

    /// A client that pipelines and never reads once had all its answers kept.
    #[test]
    fn answers_wait_for_their_reader() {
        let (addr, served, go, thread) = talking(DoorKind::Operators { most: 4 }, 200);
        let until = Instant::now() + Duration::from_secs(20);
        let mut stream = loop {
            match TcpStream::connect(addr) {
                Ok(s) => break s,
                Err(_) if Instant::now() < until => std::thread::sleep(Duration::from_millis(5)),
                Err(e) => panic!("{e}"),
            }
        };
        let asked = 200usize;
        for _ in 0..asked {
            stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("small");
        }
        std::thread::sleep(Duration::from_millis(500));
        let before = served.load(Ordering::Relaxed);
        // Socket buffers of both ends hold some megabytes, not a hundred.
        assert!((1..60).contains(&before), "{before} answers were made for nobody");
        // Whoever reads is served to the end.
        let mut left = asked * (512 * 1024);
        let mut chunk = vec![0u8; 256 * 1024];
        while left > 0 && Instant::now() < until {
            let n = stream.read(&mut chunk).expect("it goes on");
            left = left.saturating_sub(n);
        }
        assert_eq!(served.load(Ordering::Relaxed), asked);
        go.store(false, Ordering::Relaxed);
        thread.join().expect("ends");
    }
}
