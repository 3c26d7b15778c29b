//! One request and its answer over one connection, with a deadline on all of it.

use beamhinge_core::http::{self, Content, Method, Response};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Largest answer that is taken.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("no answer in time")]
    TimedOut,
    #[error("it closed the connection without an answer")]
    Closed,
    #[error("its answer is not HTTP as expected")]
    Form,
}

/// A connection that speaks JSON, or CBOR as the platform's users do.
pub struct Connection {
    stream: TcpStream,
    host: String,
    content: Content,
}

fn left(until: Instant) -> Result<Duration, ConnectionError> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        Err(ConnectionError::TimedOut)
    } else {
        Ok(left)
    }
}

impl Connection {
    pub fn open(addr: SocketAddrV4, until: Instant) -> Result<Connection, ConnectionError> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), left(until)?)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            host: addr.to_string(),
            content: Content::Json,
        })
    }

    pub fn speaking(mut self, content: Content) -> Connection {
        self.content = content;
        self
    }

    pub fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
        authorization: Option<&str>,
        until: Instant,
    ) -> Result<Response, ConnectionError> {
        let mut out = Vec::with_capacity(512 + body.len());
        let head = http::RequestHead {
            method,
            path,
            host: &self.host,
            content: self.content,
            authorization,
        };
        http::write_request(&mut out, &head, body);
        self.stream.set_write_timeout(Some(left(until)?))?;
        self.stream.write_all(&out)?;
        let (mut buf, mut chunk) = (Vec::new(), [0u8; 16 * 1024]);
        loop {
            if let Some(r) =
                http::take_response(&mut buf, ANSWER_LIMIT).map_err(|_| ConnectionError::Form)?
            {
                return Ok(r);
            }
            self.stream.set_read_timeout(Some(left(until)?))?;
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(n) => buf.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return Err(ConnectionError::TimedOut)
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e.into()),
            }
        }
    }
}
