//! Network configuration of a process, and functions that open its sockets.

use crate::{EventLoopError, FIRST_LISTENER_KEY};
use beamhinge_core::settings::{ExternalServices, Member, Settings};
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};

/// An address that the event loop listens on.
///
/// A listener is identified by its index in [`NetworkConfig::listeners`], which is passed to the
/// service with each request.
pub struct Listener {
    /// Address to bind.
    pub addr: SocketAddrV4,
    /// Interface that the listener serves.
    pub kind: ListenerKind,
}

/// `errno` of a non-blocking `connect` whose connection is still being established.
const EINPROGRESS: i32 = 115;

/// Interface that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// CBOR API for users and workers; limited only by the total number of connections.
    Platform,
    /// JSON admin API. It has a separate connection limit, so that many admin clients cannot use
    /// up the connections of users and workers.
    Admin {
        /// Maximum number of open connections of this listener.
        max_connections: usize,
    },
}

/// Addresses that a process listens on and connects to, and its connection limit.
pub struct NetworkConfig {
    /// Listeners for requests.
    pub listeners: Vec<Listener>,
    /// Address of the listener for frames of peers; `None` if there is no such listener.
    pub peers: Option<SocketAddrV4>,
    /// Peers to connect to.
    pub members: Vec<Member>,
    /// Addresses of the external services: the cloud and the key-value store.
    pub external: ExternalServices,
    /// Maximum number of open connections of the process.
    pub max_connections: usize,
}

impl NetworkConfig {
    /// Creates the configuration of a controller: the platform listener first, then the admin API
    /// listener if `admin` has its address and connection limit.
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
        // Lets a restarted controller bind its address again immediately.
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

/// Opens a listener and registers it with the poller under the key of its index.
pub(crate) fn open_listener(
    poller: &Poller,
    index: usize,
    listener: &Listener,
) -> Result<TcpListener, EventLoopError> {
    let listener = listen(listener.addr)?;
    poller.add_with_mode(
        &listener,
        Event::readable(FIRST_LISTENER_KEY - index),
        PollMode::Level,
    )?;
    Ok(listener)
}

/// Starts a non-blocking connect. The socket becomes writable once the connection is established.
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
