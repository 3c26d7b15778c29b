//! HTTP/1.1 messages: an incremental parser and writers for both sides.
//!
//! The project parses its own HTTP (house style). Only what the protocols use
//! is accepted: bodies by `Content-Length`, or chunked answers from a server.

/// Longest head of a message. Guards memory against a head that never ends.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    #[error("malformed message")]
    Malformed,
    #[error("body over the limit")]
    TooLarge,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Get,
    Post,
    Delete,
    Other,
}

impl Method {
    pub fn name(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Delete => "DELETE",
            Method::Other => "OTHER",
        }
    }
}

/// The form of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    Cbor,
    Json,
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

#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    pub method: Method,
    /// With its query.
    pub path: String,
    pub body: Vec<u8>,
    pub close: bool,
    /// The `Authorization` header, as it came.
    pub authorization: Option<String>,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub close: bool,
    /// Seconds after which the server wants to be asked again.
    pub retry_after: Option<u32>,
}

struct Head {
    first: String,
    length: Option<usize>,
    chunked: bool,
    close: bool,
    size: usize,
    authorization: Option<String>,
    retry_after: Option<u32>,
}

fn head(buf: &[u8]) -> Result<Option<Head>, HttpError> {
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
    let first = lines.next().ok_or(HttpError::Malformed)?.to_string();
    let mut h = Head {
        first,
        length: None,
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
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::Malformed);
            }
            let n: usize = value.parse().map_err(|_| HttpError::TooLarge)?;
            // Two lengths that differ would let two readers disagree on where
            // the next message begins.
            if h.length.is_some_and(|old| old != n) {
                return Err(HttpError::Malformed);
            }
            h.length = Some(n);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            h.chunked = value.eq_ignore_ascii_case("chunked");
            if !h.chunked {
                return Err(HttpError::Malformed);
            }
        } else if name.eq_ignore_ascii_case("authorization") {
            h.authorization = Some(value.to_string());
        } else if name.eq_ignore_ascii_case("retry-after") {
            h.retry_after = value.parse().ok();
        } else if name.eq_ignore_ascii_case("connection") {
            h.close |= value
                .split(',')
                .any(|v| v.trim().eq_ignore_ascii_case("close"));
        }
    }
    if h.chunked && h.length.is_some() {
        return Err(HttpError::Malformed);
    }
    Ok(Some(h))
}

/// The body from `start`, and where the message ends.
fn body(buf: &[u8], h: &Head, limit: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    if !h.chunked {
        let n = h.length.unwrap_or(0);
        if n > limit {
            return Err(HttpError::TooLarge);
        }
        let end = h.size + n;
        return Ok(buf.get(h.size..end).map(|b| (b.to_vec(), end)));
    }
    let mut out = Vec::new();
    let mut at = h.size;
    loop {
        let rest = buf.get(at..).unwrap_or(&[]);
        let Some(line) = rest.windows(2).take(64).position(|w| w == b"\r\n") else {
            return if rest.len() > 64 {
                Err(HttpError::Malformed)
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&rest[..line]).map_err(|_| HttpError::Malformed)?;
        let text = text.split(';').next().unwrap_or("").trim();
        let n = usize::from_str_radix(text, 16).map_err(|_| HttpError::Malformed)?;
        if n > limit || out.len() + n > limit {
            return Err(HttpError::TooLarge);
        }
        let start = line + 2;
        let Some(chunk) = rest.get(start..start + n + 2) else {
            return Ok(None);
        };
        if &chunk[n..] != b"\r\n" {
            return Err(HttpError::Malformed);
        }
        out.extend_from_slice(&chunk[..n]);
        at += start + n + 2;
        if n == 0 {
            return Ok(Some((out, at)));
        }
    }
}

/// Takes one whole request off the front of `buf`.
pub fn take_request(buf: &mut Vec<u8>, limit: usize) -> Result<Option<Request>, HttpError> {
    let Some(mut h) = head(buf)? else {
        return Ok(None);
    };
    let authorization = h.authorization.take();
    let mut words = h.first.split(' ');
    let (Some(method), Some(path), Some(version), None) =
        (words.next(), words.next(), words.next(), words.next())
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
    let close = h.close || version == "HTTP/1.0";
    let Some((body, end)) = body(buf, &h, limit)? else {
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

/// Takes one whole response off the front of `buf`.
pub fn take_response(buf: &mut Vec<u8>, limit: usize) -> Result<Option<Response>, HttpError> {
    let Some(h) = head(buf)? else { return Ok(None) };
    let mut words = h.first.splitn(3, ' ');
    let version = words.next().unwrap_or("");
    let status: u16 = words
        .next()
        .filter(|s| s.len() == 3)
        .and_then(|s| s.parse().ok())
        .ok_or(HttpError::Malformed)?;
    if !version.starts_with("HTTP/1.") || status < 200 {
        return Err(HttpError::Malformed);
    }
    let Some((body, end)) = body(buf, &h, limit)? else {
        return Ok(None);
    };
    buf.drain(..end);
    let close = h.close || version == "HTTP/1.0";
    Ok(Some(Response {
        status,
        body,
        close,
        retry_after: h.retry_after,
    }))
}

/// What stands above a request's body.
pub struct RequestHead<'a> {
    pub method: Method,
    pub path: &'a str,
    pub host: &'a str,
    pub content: Content,
    pub authorization: Option<&'a str>,
}

pub fn write_request(out: &mut Vec<u8>, head: &RequestHead, body: &[u8]) {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        head.method.name(),
        head.path,
        head.host,
        head.content.name(),
        body.len()
    );
    if let Some(a) = head.authorization {
        text.push_str("Authorization: ");
        text.push_str(a);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    out.extend_from_slice(text.as_bytes());
    out.extend_from_slice(body);
}

fn reason(status: u16) -> &'static str {
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
    /// Value of the `Retry-After` header, seconds.
    pub retry_after: Option<u32>,
    /// Whether the server closes the connection after this response.
    pub close: bool,
    /// Media type of the body.
    pub content: Content,
}

/// Appends a whole response to `out`.
pub fn write_response(out: &mut Vec<u8>, response: &ResponseHead, body: &[u8]) {
    let mut head = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        response.status,
        reason(response.status),
        response.content.name(),
        body.len()
    );
    if let Some(s) = response.retry_after {
        head.push_str(&format!("Retry-After: {s}\r\n"));
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
