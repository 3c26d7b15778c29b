//! What comes in: requests, responses and frames, as far as they are whole.

use crate::{wall, EventLoop, Kind};
use beamhinge_core::http::{self, Content, HttpError};
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::peers;
use beamhinge_core::types::RequestId;
use beamhinge_core::wire::{self, MAX_BODY_BYTES};
use std::io::{self, Read};

/// Answers of the state service may be large; beyond this we give up on one.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;
/// The status of a controller that sends its caller elsewhere.
const MISDIRECTED: u16 = 421;

impl<S: Service> EventLoop<S> {
    pub(crate) fn ready(&mut self, slot: usize, readable: bool, writable: bool) {
        if writable {
            if !self.flush(slot) {
                return;
            }
            // What waited for its answer's reader goes on.
            let waits = self
                .conns
                .get(slot)
                .and_then(Option::as_ref)
                .is_some_and(|c| {
                    matches!(c.kind, Kind::Public { .. })
                        && c.outbuf.is_empty()
                        && !c.inbuf.is_empty()
                });
            if waits {
                self.requests(slot);
            }
        }
        if readable {
            self.read(slot);
        }
    }

    pub(crate) fn read(&mut self, slot: usize) {
        let now = self.now();
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        let limit = match conn.kind {
            Kind::Public { .. } => MAX_BODY_BYTES + 2 * http::MAX_HEAD_BYTES,
            Kind::Call { .. } => ANSWER_LIMIT + http::MAX_HEAD_BYTES,
            _ => peers::MAX_FRAME_BYTES + 4,
        };
        let mut chunk = [0u8; 16 * 1024];
        let mut ended = false;
        for _ in 0..16 {
            if conn.inbuf.len() > limit {
                break;
            }
            match conn.stream.read(&mut chunk) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => {
                    conn.inbuf.extend_from_slice(&chunk[..n]);
                    conn.active = now;
                    if n < chunk.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    ended = true;
                    break;
                }
            }
        }
        match conn.kind {
            Kind::Public { .. } => self.requests(slot),
            Kind::Call { .. } => self.response(slot),
            Kind::PeerIn => self.frames(slot),
            Kind::PeerOut { .. } => conn.inbuf.clear(),
        }
        let over = self
            .conns
            .get(slot)
            .and_then(Option::as_ref)
            .is_some_and(|c| c.inbuf.len() > limit);
        if ended || over {
            self.close(slot);
        }
    }

    pub(crate) fn requests(&mut self, slot: usize) {
        loop {
            let now = self.now();
            let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else {
                return;
            };
            let generation = conn.generation;
            let Kind::Public {
                door,
                waiting,
                close,
                partial,
                worker,
            } = &mut conn.kind
            else {
                return;
            };
            let door = *door;
            // A client that sends and never reads would else fill our memory with
            // its answers: one is taken before the next request is.
            if *waiting || *close || !conn.outbuf.is_empty() {
                return;
            }
            match http::take_request(&mut conn.inbuf, MAX_BODY_BYTES) {
                Ok(None) => {
                    *partial = if conn.inbuf.is_empty() {
                        None
                    } else {
                        partial.or(Some(now))
                    };
                    return;
                }
                Ok(Some(request)) => {
                    *waiting = true;
                    *close = request.close;
                    *partial = None;
                    *worker |= request.path.starts_with("/hello");
                    let id = RequestId { slot, generation };
                    let mut out = Vec::new();
                    self.service
                        .on_request(now, wall(), door, id, request, &mut out);
                    self.act(out);
                }
                Err(error) => {
                    *waiting = true;
                    *close = true;
                    conn.inbuf.clear();
                    let status = if error == HttpError::TooLarge {
                        413
                    } else {
                        400
                    };
                    let to = RequestId { slot, generation };
                    let answer = if self.operators(door) {
                        let large = error == HttpError::TooLarge;
                        let code = if large { "too_large" } else { "malformed" };
                        let body = format!("{{\"error\":\"{error}\",\"code\":\"{code}\"}}");
                        Effect::OperatorAnswer {
                            to,
                            status,
                            retry_after: None,
                            content: Content::Json,
                            body: body.into_bytes(),
                        }
                    } else {
                        let body = wire::error_body(&error.to_string());
                        Effect::Answer {
                            to,
                            status,
                            retry_after: None,
                            body,
                        }
                    };
                    self.act(vec![answer]);
                    return;
                }
            }
        }
    }

    pub(crate) fn response(&mut self, slot: usize) {
        let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        let Kind::Call {
            destination,
            current,
        } = &mut conn.kind
        else {
            return;
        };
        // Thousands of workers are called now and then: none keeps a socket.
        let once = matches!(destination, Destination::Worker(_));
        if current.is_none() {
            // Nothing was asked: whatever this is, the connection is no good.
            if !conn.inbuf.is_empty() {
                self.close(slot);
            }
            return;
        }
        match http::take_response(&mut conn.inbuf, ANSWER_LIMIT) {
            Ok(None) => {}
            Ok(Some(response)) => {
                let id = current.take().map(|(id, _)| id);
                // A caller that is sent elsewhere closes the connection (PROTOCOL).
                if response.close || once || response.status == MISDIRECTED {
                    self.close(slot);
                } else {
                    conn.inbuf.shrink_to(16 * 1024);
                }
                if let Some(id) = id {
                    let mut out = Vec::new();
                    self.service.on_reply(
                        self.now(),
                        wall(),
                        id,
                        Some((response.status, response.body)),
                        &mut out,
                    );
                    self.act(out);
                }
            }
            Err(_) => self.close(slot),
        }
    }

    pub(crate) fn frames(&mut self, slot: usize) {
        loop {
            let now = self.now();
            let Some(conn) = self.conns.get_mut(slot).and_then(Option::as_mut) else {
                return;
            };
            match peers::take_frame(&mut conn.inbuf) {
                Ok(Some(frame)) => {
                    let mut out = Vec::new();
                    self.service.on_frame(now, wall(), frame, &mut out);
                    self.act(out);
                }
                Ok(None) => return,
                Err(_) => return self.close(slot),
            }
        }
    }
}
