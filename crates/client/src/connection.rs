//! One request and its answer over one connection, with a deadline on all of it.

use beamhinge_core::http::{self, Content, Method, Response};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Largest response that is accepted, bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The deadline passed.
    #[error("no answer in time")]
    TimedOut,
    /// The controller closed the connection.
    #[error("it closed the connection without an answer")]
    Closed,
    /// The response cannot be parsed.
    #[error("its answer is not HTTP as expected")]
    Form,
}

/// A connection for JSON, or for CBOR as the platform's users send it.
pub struct Connection {
    stream: TcpStream,
    host: String,
    content: Content,
}

/// Time until the deadline.
fn left(deadline: Instant) -> Result<Duration, ConnectionError> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        Err(ConnectionError::TimedOut)
    } else {
        Ok(left)
    }
}

impl Connection {
    /// Opens a connection for JSON.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if it cannot be opened before the deadline.
    pub fn open(addr: SocketAddrV4, deadline: Instant) -> Result<Connection, ConnectionError> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), left(deadline)?)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            host: addr.to_string(),
            content: Content::Json,
        })
    }

    /// Sets the media type of requests.
    #[must_use]
    pub fn speaking(mut self, content: Content) -> Connection {
        self.content = content;
        self
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if no whole response arrives before the deadline; whether the request
    /// was carried out is unknown then.
    pub fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
        authorization: Option<&str>,
        deadline: Instant,
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
        self.stream.set_write_timeout(Some(left(deadline)?))?;
        self.stream.write_all(&out)?;
        let (mut buf, mut chunk) = (Vec::new(), [0u8; 16 * 1024]);
        loop {
            if let Some(r) = http::take_response(&mut buf, MAX_RESPONSE_BYTES)
                .map_err(|_| ConnectionError::Form)?
            {
                return Ok(r);
            }
            self.stream.set_read_timeout(Some(left(deadline)?))?;
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
