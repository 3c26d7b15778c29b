//! Sends one HTTP request at a time over one connection; a deadline covers the whole exchange.

use beamhinge_core::http::{self, Content, Method, Response};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Largest accepted response, bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Reason why an exchange of request and response failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// Opening, writing to or reading from the connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The deadline passed.
    #[error("no response before the deadline")]
    TimedOut,
    /// The controller closed the connection before it sent a complete response.
    #[error("the controller closed the connection without a response")]
    Closed,
    /// The response cannot be parsed.
    #[error("the response cannot be parsed")]
    MalformedResponse,
}

/// A connection that sends JSON, or CBOR as the platform's users do.
pub struct Connection {
    stream: TcpStream,
    host: String,
    content: Content,
}

/// Time until the deadline, or [`ConnectionError::TimedOut`] if it has passed.
fn remaining_time(deadline: Instant) -> Result<Duration, ConnectionError> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        Err(ConnectionError::TimedOut)
    } else {
        Ok(remaining)
    }
}

impl Connection {
    /// Opens a connection that sends JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if the connection cannot be opened before the deadline.
    pub fn open(addr: SocketAddrV4, deadline: Instant) -> Result<Connection, ConnectionError> {
        let stream = TcpStream::connect_timeout(&SocketAddr::V4(addr), remaining_time(deadline)?)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            host: addr.to_string(),
            content: Content::Json,
        })
    }

    /// Sets the media type of requests.
    #[must_use]
    pub fn with_content(mut self, content: Content) -> Connection {
        self.content = content;
        self
    }

    /// Sends a request and reads its response.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError`] if no complete response arrives before the deadline; it is then
    /// unknown whether the request was carried out.
    pub fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: &[u8],
        authorization: Option<&str>,
        deadline: Instant,
    ) -> Result<Response, ConnectionError> {
        let mut encoded = Vec::with_capacity(512 + body.len());
        let head = http::RequestHead {
            method,
            path,
            host: &self.host,
            content: self.content,
            authorization,
        };
        http::write_request(&mut encoded, &head, body);
        self.stream
            .set_write_timeout(Some(remaining_time(deadline)?))?;
        self.stream.write_all(&encoded)?;
        let (mut received, mut chunk) = (Vec::new(), [0u8; 16 * 1024]);
        loop {
            if let Some(r) = http::take_response(&mut received, MAX_RESPONSE_BYTES)
                .map_err(|_| ConnectionError::MalformedResponse)?
            {
                return Ok(r);
            }
            self.stream
                .set_read_timeout(Some(remaining_time(deadline)?))?;
            match self.stream.read(&mut chunk) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(n) => received.extend_from_slice(&chunk[..n]),
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
