//! Relays between controllers: the traffic from one to another passes through a relay, so that a
//! link can be cut without privileges. Data sent while the link is cut is delivered late, as with
//! TCP.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval at which listeners and links are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READ_TIMEOUT: Duration = Duration::from_millis(200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most connections of all relays together.
const MAX_CONNECTIONS: usize = 1_000;

/// One direction between two controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Direction {
    pub from: usize,
    pub to: usize,
}

pub(super) struct Relays {
    cut: BTreeMap<Direction, Arc<AtomicBool>>,
    running: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

struct RelayListener {
    listener: TcpListener,
    target: SocketAddrV4,
    cut: Arc<AtomicBool>,
}

impl Relays {
    /// Starts a relay for each direction that listens on the first address and forwards to the
    /// second.
    pub(super) fn start(
        directions: Vec<(Direction, SocketAddrV4, SocketAddrV4)>,
    ) -> io::Result<Relays> {
        let mut cut = BTreeMap::new();
        let mut listeners = Vec::new();
        for (direction, address, target) in directions {
            let listener = TcpListener::bind(address)?;
            listener.set_nonblocking(true)?;
            let is_cut = Arc::new(AtomicBool::new(false));
            cut.insert(direction, is_cut.clone());
            listeners.push(RelayListener {
                listener,
                target,
                cut: is_cut,
            });
        }
        let running = Arc::new(AtomicBool::new(true));
        let acceptor_running = running.clone();
        let acceptor = thread::spawn(move || accept_all(&listeners, &acceptor_running));
        Ok(Relays {
            cut,
            running,
            acceptor: Some(acceptor),
        })
    }

    /// Cuts or restores a link in both directions.
    pub(super) fn set_cut(&self, a: usize, b: usize, cut: bool) {
        for direction in [Direction { from: a, to: b }, Direction { from: b, to: a }] {
            if let Some(is_cut) = self.cut.get(&direction) {
                is_cut.store(cut, Ordering::Relaxed);
            }
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.running.store(false, Ordering::Relaxed);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

fn accept_all(listeners: &[RelayListener], running: &Arc<AtomicBool>) {
    let mut connections: Vec<JoinHandle<()>> = Vec::new();
    while running.load(Ordering::Relaxed) {
        for relay in listeners {
            while let Ok((stream, _)) = relay.listener.accept() {
                connections.retain(|c| !c.is_finished());
                if connections.len() >= MAX_CONNECTIONS {
                    continue;
                }
                let (target, cut, running) = (relay.target, relay.cut.clone(), running.clone());
                connections.push(thread::spawn(move || {
                    // An error ends the connection: the controller opens another.
                    let _ = forward(stream, target, &cut, &running);
                }));
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    for connection in connections {
        let _ = connection.join();
    }
}

fn forward(
    mut from: TcpStream,
    target: SocketAddrV4,
    cut: &AtomicBool,
    running: &AtomicBool,
) -> io::Result<()> {
    from.set_nonblocking(false)?;
    from.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut to = TcpStream::connect_timeout(&target.into(), CONNECT_TIMEOUT)?;
    to.set_nodelay(true)?;
    let mut chunk = [0u8; 16 * 1024];
    while running.load(Ordering::Relaxed) {
        if cut.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                // Data that was read when the link was cut waits like the rest.
                while cut.load(Ordering::Relaxed) && running.load(Ordering::Relaxed) {
                    thread::sleep(POLL_INTERVAL);
                }
                to.write_all(&chunk[..n])?;
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
