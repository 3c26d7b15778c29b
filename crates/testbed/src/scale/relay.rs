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
const LOOK: Duration = Duration::from_millis(20);
const READ_WAIT: Duration = Duration::from_millis(200);
const CONNECT_WAIT: Duration = Duration::from_millis(500);
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
    go: Arc<AtomicBool>,
    acceptor: Option<JoinHandle<()>>,
}

struct Listening {
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
        let mut listening = Vec::new();
        for (direction, at, target) in directions {
            let listener = TcpListener::bind(at)?;
            listener.set_nonblocking(true)?;
            let switch = Arc::new(AtomicBool::new(false));
            cut.insert(direction, switch.clone());
            listening.push(Listening {
                listener,
                target,
                cut: switch,
            });
        }
        let go = Arc::new(AtomicBool::new(true));
        let running = go.clone();
        let acceptor = thread::spawn(move || accept_all(&listening, &running));
        Ok(Relays {
            cut,
            go,
            acceptor: Some(acceptor),
        })
    }

    /// Cuts or restores a link in both directions.
    pub(super) fn set_cut(&self, a: usize, b: usize, cut: bool) {
        for direction in [Direction { from: a, to: b }, Direction { from: b, to: a }] {
            if let Some(switch) = self.cut.get(&direction) {
                switch.store(cut, Ordering::Relaxed);
            }
        }
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.go.store(false, Ordering::Relaxed);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

fn accept_all(listening: &[Listening], go: &Arc<AtomicBool>) {
    let mut connections: Vec<JoinHandle<()>> = Vec::new();
    while go.load(Ordering::Relaxed) {
        for l in listening {
            while let Ok((stream, _)) = l.listener.accept() {
                connections.retain(|c| !c.is_finished());
                if connections.len() >= MAX_CONNECTIONS {
                    continue;
                }
                let (target, cut, go) = (l.target, l.cut.clone(), go.clone());
                connections.push(thread::spawn(move || {
                    // An error ends the connection: the controller opens another.
                    let _ = pass_on(stream, target, &cut, &go);
                }));
            }
        }
        thread::sleep(LOOK);
    }
    for connection in connections {
        let _ = connection.join();
    }
}

fn pass_on(
    mut from: TcpStream,
    target: SocketAddrV4,
    cut: &AtomicBool,
    go: &AtomicBool,
) -> io::Result<()> {
    from.set_nonblocking(false)?;
    from.set_read_timeout(Some(READ_WAIT))?;
    let mut to = TcpStream::connect_timeout(&target.into(), CONNECT_WAIT)?;
    to.set_nodelay(true)?;
    let mut chunk = [0u8; 16 * 1024];
    while go.load(Ordering::Relaxed) {
        if cut.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
            continue;
        }
        match from.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                // Data that was read when the link was cut waits like the rest.
                while cut.load(Ordering::Relaxed) && go.load(Ordering::Relaxed) {
                    thread::sleep(LOOK);
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
