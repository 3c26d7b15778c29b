//! HTTP/1.1 messages: an incremental parser and writers for requests and responses.
//!
//! The parser accepts only the features that the protocols use: bodies with `Content-Length` or
//! chunked transfer encoding. It removes complete messages from the front of a buffer that the
//! caller fills, and keeps no state between calls.

/// Maximum size of a message head, bytes; bounds memory use if the head never ends.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Errors after which no further message can be read from a connection.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The bytes are not an HTTP/1.x message that the parser accepts.
    #[error("malformed message")]
    Malformed,
    /// The body is larger than the caller's limit.
    #[error("body over the limit")]
    TooLarge,
}

/// The method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// `GET`
    Get,
    /// `POST`
    Post,
    /// `DELETE`
    Delete,
    /// Any other method; no API accepts it.
    Other,
}

impl Method {
    /// The method as written in the request line.
    pub fn name(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
            Method::Other => "OTHER",
        }
    }
}

/// The media type of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// CBOR, for users, workers, the key-value store and the cloud.
    Cbor,
    /// JSON, for the admin API.
    Json,
    /// Text in the Prometheus exposition format, for metrics.
    Text,
}

impl Content {
    fn name(self) -> &'static str {
        match self {
            Content::Cbor => "application/cbor",
            Content::Json => "application/json",
            Content::Text => "text/plain; version=0.0.4",
        }
    }
}

/// A complete request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// Method of the request.
    pub method: Method,
    /// Path, including the query string.
    pub path: String,
    /// The body; empty if the request has none.
    pub body: Vec<u8>,
    /// Whether the client closes the connection after the response.
    pub close: bool,
    /// Value of the `Authorization` header; `None` if absent.
    pub authorization: Option<String>,
}

/// A complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// The body; empty if the response has none.
    pub body: Vec<u8>,
    /// Whether the server closes the connection after the response.
    pub close: bool,
    /// Value of the `Retry-After` header, seconds; `None` if absent or not a number.
    pub retry_after: Option<u32>,
}

/// Maximum length of a chunk-size line, bytes.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// The parsed head of a message.
struct Head {
    /// Request line or status line.
    first_line: String,
    content_length: Option<usize>,
    chunked: bool,
    close: bool,
    /// Size of the head, including the empty line that ends it, bytes.
    size: usize,
    authorization: Option<String>,
    retry_after: Option<u32>,
}

impl Head {
    /// Parses the head at the front of `buf`; `None` until the head is complete.
    fn parse(buf: &[u8]) -> Result<Option<Head>, HttpError> {
        let Some(end) = buf
            .windows(4)
            .take(MAX_HEAD_BYTES)
            .position(|w| w == b"\r\n\r\n")
        else {
            return if buf.len() > MAX_HEAD_BYTES {
                Err(HttpError::Malformed)
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&buf[..end]).map_err(|_| HttpError::Malformed)?;
        let mut lines = text.split("\r\n");
        let first_line = lines.next().ok_or(HttpError::Malformed)?.to_string();
        let mut head = Head {
            first_line,
            content_length: None,
            chunked: false,
            close: false,
            size: end + 4,
            authorization: None,
            retry_after: None,
        };
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(HttpError::Malformed)?;
            if name.is_empty() || name.bytes().any(|b| b.is_ascii_whitespace()) {
                return Err(HttpError::Malformed);
            }
            head.apply_header(name, value.trim())?;
        }
        if head.chunked && head.content_length.is_some() {
            return Err(HttpError::Malformed);
        }
        Ok(Some(head))
    }

    /// Applies one header; headers that the protocols do not use are ignored.
    fn apply_header(&mut self, name: &str, value: &str) -> Result<(), HttpError> {
        if name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let length: usize = value.parse().map_err(|_| HttpError::TooLarge)?;
            // With two different lengths, two parsers could disagree on where the next message
            // begins (request smuggling).
            if self.content_length.is_some_and(|earlier| earlier != length) {
                return Err(HttpError::Malformed);
            }
            self.content_length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.chunked = value.eq_ignore_ascii_case("chunked");
            if !self.chunked {
                return Err(HttpError::Malformed);
            }
        } else if name.eq_ignore_ascii_case("authorization") {
            self.authorization = Some(value.to_string());
        } else if name.eq_ignore_ascii_case("retry-after") {
            self.retry_after = value.parse().ok();
        } else if name.eq_ignore_ascii_case("connection") {
            self.close |= value
                .split(',')
                .any(|v| v.trim().eq_ignore_ascii_case("close"));
        }
        Ok(())
    }
}

/// Returns the body of a message and the offset in `buf` at which the message ends; `None` until
/// the message is complete.
fn parse_body(
    buf: &[u8],
    head: &Head,
    limit: usize,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    if head.chunked {
        return parse_chunks(buf, head.size, limit);
    }
    let length = head.content_length.unwrap_or(0);
    if length > limit {
        return Err(HttpError::TooLarge);
    }
    let end = head.size + length;
    Ok(buf.get(head.size..end).map(|body| (body.to_vec(), end)))
}

/// Returns the chunked body that begins at offset `start`, and the offset at which it ends; `None`
/// until the body is complete.
fn parse_chunks(
    buf: &[u8],
    start: usize,
    limit: usize,
) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let mut body = Vec::new();
    let mut offset = start;
    loop {
        let rest = buf.get(offset..).unwrap_or(&[]);
        let Some(line_end) = rest
            .windows(2)
            .take(MAX_CHUNK_LINE_BYTES)
            .position(|w| w == b"\r\n")
        else {
            return if rest.len() > MAX_CHUNK_LINE_BYTES {
                Err(HttpError::Malformed)
            } else {
                Ok(None)
            };
        };
        let line = std::str::from_utf8(&rest[..line_end]).map_err(|_| HttpError::Malformed)?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| HttpError::Malformed)?;
        if size > limit || body.len() + size > limit {
            return Err(HttpError::TooLarge);
        }
        let chunk_start = line_end + 2;
        let Some(chunk) = rest.get(chunk_start..chunk_start + size + 2) else {
            return Ok(None);
        };
        if &chunk[size..] != b"\r\n" {
            return Err(HttpError::Malformed);
        }
        body.extend_from_slice(&chunk[..size]);
        offset += chunk_start + size + 2;
        if size == 0 {
            return Ok(Some((body, offset)));
        }
    }
}

/// Removes one complete request from the front of `buf`; `None` until the request is complete.
/// `limit` is the maximum size of the body, bytes.
///
/// # Errors
///
/// [`HttpError`] if no further request can be read from this connection.
pub fn take_request(buf: &mut Vec<u8>, limit: usize) -> Result<Option<Request>, HttpError> {
    let Some(mut head) = Head::parse(buf)? else {
        return Ok(None);
    };
    let authorization = head.authorization.take();
    let mut parts = head.first_line.split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(HttpError::Malformed);
    };
    if !(version == "HTTP/1.1" || version == "HTTP/1.0")
        || !path.starts_with('/')
        || method.is_empty()
    {
        return Err(HttpError::Malformed);
    }
    let method = match method {
        "GET" => Method::Get,
        "POST" => Method::Post,
        "DELETE" => Method::Delete,
        _ => Method::Other,
    };
    let path = path.to_string();
    let close = head.close || version == "HTTP/1.0";
    let Some((body, end)) = parse_body(buf, &head, limit)? else {
        return Ok(None);
    };
    buf.drain(..end);
    Ok(Some(Request {
        method,
        path,
        body,
        close,
        authorization,
    }))
}

/// Removes one complete response from the front of `buf`; `None` until the response is complete.
/// `limit` is the maximum size of the body, bytes.
///
/// # Errors
///
/// [`HttpError`] if no further response can be read from this connection.
pub fn take_response(buf: &mut Vec<u8>, limit: usize) -> Result<Option<Response>, HttpError> {
    let Some(head) = Head::parse(buf)? else {
        return Ok(None);
    };
    let mut parts = head.first_line.splitn(3, ' ');
    let version = parts.next().unwrap_or("");
    let status: u16 = parts
        .next()
        .filter(|s| s.len() == 3)
        .and_then(|s| s.parse().ok())
        .ok_or(HttpError::Malformed)?;
    if !version.starts_with("HTTP/1.") || status < 200 {
        return Err(HttpError::Malformed);
    }
    let Some((body, end)) = parse_body(buf, &head, limit)? else {
        return Ok(None);
    };
    buf.drain(..end);
    let close = head.close || version == "HTTP/1.0";
    Ok(Some(Response {
        status,
        body,
        close,
        retry_after: head.retry_after,
    }))
}

/// Request line and headers of a request.
pub struct RequestHead<'a> {
    /// Method of the request.
    pub method: Method,
    /// Path, including the query string.
    pub path: &'a str,
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Media type of the body.
    pub content: Content,
    /// Value of the `Authorization` header; `None` omits it.
    pub authorization: Option<&'a str>,
}

/// Appends a complete request to `out`.
pub fn write_request(out: &mut Vec<u8>, head: &RequestHead, body: &[u8]) {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        head.method.name(),
        head.path,
        head.host,
        head.content.name(),
        body.len()
    );
    if let Some(authorization) = head.authorization {
        text.push_str("Authorization: ");
        text.push_str(authorization);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    out.extend_from_slice(text.as_bytes());
    out.extend_from_slice(body);
}

/// The reason phrase of a status line.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        409 => "Conflict",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Status line and headers of a response.
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Value of the `Retry-After` header, seconds; `None` omits it.
    pub retry_after: Option<u32>,
    /// Whether the server closes the connection after this response.
    pub close: bool,
    /// Media type of the body.
    pub content: Content,
}

/// Appends a complete response to `out`.
pub fn write_response(out: &mut Vec<u8>, response: &ResponseHead, body: &[u8]) {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        response.status,
        reason_phrase(response.status),
        response.content.name(),
        body.len()
    );
    if let Some(seconds) = response.retry_after {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if response.close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

#[cfg(test)]
mod tests;
