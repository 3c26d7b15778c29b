//! The addresses that a process listens on and calls, and how they are opened.

use crate::{EventLoopError, DOORS};
use beamhinge_core::settings::{ExternalServices, Member, Settings};
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};

/// An address that the loop listens on. Doors are known by their place in the
/// list, and requests come with it.
pub struct Listener {
    pub addr: SocketAddrV4,
    pub kind: ListenerKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// CBOR for users, workers and controllers; shares the limit of sockets.
    Platform,
    /// JSON for operators, so many connections at once: a crowd here takes no
    /// socket from users or workers.
    Operators { most: usize },
}

/// The addresses that a process listens on and calls.
pub struct NetworkConfig {
    pub listeners: Vec<Listener>,
    /// Where the peers' frames come in.
    pub peers: Option<SocketAddrV4>,
    pub members: Vec<Member>,
    pub external: ExternalServices,
    pub max_connections: usize,
}

impl NetworkConfig {
    /// A controller's: the platform's door first, then the operators'.
    pub fn controller(
        settings: &Settings,
        operators: Option<(SocketAddrV4, usize)>,
    ) -> NetworkConfig {
        let mut listeners = vec![Listener {
            addr: settings.public_addr,
            kind: ListenerKind::Platform,
        }];
        if let Some((addr, most)) = operators {
            listeners.push(Listener {
                addr,
                kind: ListenerKind::Operators { most },
            });
        }
        NetworkConfig {
            listeners,
            peers: Some(settings.peer_bind),
            members: settings.members.clone(),
            external: settings.external.clone(),
            max_connections: settings.params.machine_limits.max_connections,
        }
    }
}

pub(crate) fn listen(addr: SocketAddrV4) -> Result<TcpListener, EventLoopError> {
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        // A restarted controller takes its address back at once.
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(512)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    };
    open().map_err(|e| EventLoopError::Listen(addr, e))
}

pub(crate) fn open_door(
    poller: &Poller,
    place: usize,
    door: &Listener,
) -> Result<TcpListener, EventLoopError> {
    let listener = listen(door.addr)?;
    poller.add_with_mode(&listener, Event::readable(DOORS - place), PollMode::Level)?;
    Ok(listener)
}

pub(crate) fn connect(addr: SocketAddrV4) -> io::Result<TcpStream> {
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
