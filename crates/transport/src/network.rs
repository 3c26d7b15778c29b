//! The addresses that a process listens on and calls, and how they are opened.

use crate::{EventLoopError, LISTENER_KEYS};
use beamhinge_core::settings::{ExternalServices, Member, Settings};
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};

/// An address that the event loop listens on.
///
/// A listener is identified by its place in the list, which comes with each request.
pub struct Listener {
    /// The address.
    pub addr: SocketAddrV4,
    /// The interface that it serves.
    pub kind: ListenerKind,
}

/// `errno` of a connection that is being established.
const EINPROGRESS: i32 = 115;

/// The interface that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// CBOR for users and workers; shares the limit of all connections.
    Platform,
    /// JSON for the admin API. It has a limit of its own, so that many clients here take no
    /// connection from users or workers.
    Admin {
        /// Most connections at once.
        max_connections: usize,
    },
}

/// The addresses that a process listens on and calls.
pub struct NetworkConfig {
    /// Addresses for requests.
    pub listeners: Vec<Listener>,
    /// Address for the frames of peers.
    pub peers: Option<SocketAddrV4>,
    /// Peers to connect to.
    pub members: Vec<Member>,
    /// Services that are called.
    pub external: ExternalServices,
    /// Most open connections.
    pub max_connections: usize,
}

impl NetworkConfig {
    /// The configuration of a controller: the platform's listener first, then that of the admin
    /// API with its limit of connections, if there is one.
    pub fn controller(settings: &Settings, admin: Option<(SocketAddrV4, usize)>) -> NetworkConfig {
        let mut listeners = vec![Listener {
            addr: settings.public_addr,
            kind: ListenerKind::Platform,
        }];
        if let Some((addr, max_connections)) = admin {
            listeners.push(Listener {
                addr,
                kind: ListenerKind::Admin { max_connections },
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

/// Opens a listening socket.
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
    open().map_err(|source| EventLoopError::Listen {
        address: addr,
        source,
    })
}

/// Opens a listener and registers it under the key of its place.
pub(crate) fn open_listener(
    poller: &Poller,
    place: usize,
    listener: &Listener,
) -> Result<TcpListener, EventLoopError> {
    let listener = listen(listener.addr)?;
    poller.add_with_mode(
        &listener,
        Event::readable(LISTENER_KEYS - place),
        PollMode::Level,
    )?;
    Ok(listener)
}

/// Begins to connect; the socket becomes writable once the connection is established.
pub(crate) fn connect(addr: SocketAddrV4) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_nodelay(true);
    match socket.connect(&addr.into()) {
        Ok(()) => {}
        Err(e)
            if e.raw_os_error() == Some(EINPROGRESS) || e.kind() == io::ErrorKind::WouldBlock => {}
        Err(e) => return Err(e),
    }
    Ok(socket.into())
}
