//! Input: extracts complete requests, responses and frames from connection buffers and passes
//! them to the service.

use crate::{wall, ConnectionKind, EventLoop};
use beamhinge_core::http::{self, Content, HttpError};
use beamhinge_core::messages::{Destination, Effect, Service};
use beamhinge_core::peers;
use beamhinge_core::types::RequestId;
use beamhinge_core::wire::{self, MAX_BODY_BYTES};
use std::io::{self, Read};

/// Maximum size of a response body in bytes. Responses of the key-value store may be large.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// HTTP status with which a controller redirects its caller to another controller.
const MISDIRECTED: u16 = 421;

impl<S: Service> EventLoop<S> {
    /// Handles a connection that is readable or writable.
    pub(crate) fn on_ready(&mut self, slot: usize, readable: bool, writable: bool) {
        if writable {
            if !self.flush(slot) {
                return;
            }
            // Requests that were deferred until the client read the last answer are handled now.
            let has_deferred_requests = self
                .connections
                .get(slot)
                .and_then(Option::as_ref)
                .is_some_and(|c| {
                    matches!(c.kind, ConnectionKind::Public { .. })
                        && c.output.is_empty()
                        && !c.input.is_empty()
                });
            if has_deferred_requests {
                self.handle_requests(slot);
            }
        }
        if readable {
            self.read_from(slot);
        }
    }

    /// Reads the available bytes of a connection and handles the complete messages in them.
    pub(crate) fn read_from(&mut self, slot: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        let limit = match connection.kind {
            ConnectionKind::Public { .. } => MAX_BODY_BYTES + 2 * http::MAX_HEAD_BYTES,
            ConnectionKind::Call { .. } => MAX_RESPONSE_BYTES + http::MAX_HEAD_BYTES,
            _ => peers::MAX_FRAME_BYTES + 4,
        };
        let mut chunk = [0u8; 16 * 1024];
        let mut closed = false;
        for _ in 0..16 {
            if connection.input.len() > limit {
                break;
            }
            match connection.stream.read(&mut chunk) {
                Ok(0) => {
                    closed = true;
                    break;
                }
                Ok(n) => {
                    connection.input.extend_from_slice(&chunk[..n]);
                    connection.last_active = now;
                    if n < chunk.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    closed = true;
                    break;
                }
            }
        }
        match connection.kind {
            ConnectionKind::Public { .. } => self.handle_requests(slot),
            ConnectionKind::Call { .. } => self.handle_response(slot),
            ConnectionKind::PeerIn => self.handle_frames(slot),
            ConnectionKind::PeerOut { .. } => connection.input.clear(),
        }
        let over_limit = self
            .connections
            .get(slot)
            .and_then(Option::as_ref)
            .is_some_and(|c| c.input.len() > limit);
        if closed || over_limit {
            self.close(slot);
        }
    }

    /// Passes complete requests to the service, one at a time.
    pub(crate) fn handle_requests(&mut self, slot: usize) {
        loop {
            let now = self.now();
            let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else {
                return;
            };
            let generation = connection.generation;
            let ConnectionKind::Public {
                listener,
                awaiting_answer,
                close,
                partial_since,
                is_worker,
            } = &mut connection.kind
            else {
                return;
            };
            let listener = *listener;
            // The next request is parsed only after the last answer was written completely.
            // Otherwise the answers to a client that sends but never reads would fill the memory.
            if *awaiting_answer || *close || !connection.output.is_empty() {
                return;
            }
            match http::take_request(&mut connection.input, MAX_BODY_BYTES) {
                Ok(None) => {
                    *partial_since = if connection.input.is_empty() {
                        None
                    } else {
                        partial_since.or(Some(now))
                    };
                    return;
                }
                Ok(Some(request)) => {
                    *awaiting_answer = true;
                    *close = request.close;
                    *partial_since = None;
                    *is_worker |= request.path.starts_with("/hello");
                    let id = RequestId { slot, generation };
                    let mut out = Vec::new();
                    self.service
                        .on_request(now, wall(), listener, id, request, &mut out);
                    self.apply_effects(out);
                }
                Err(error) => {
                    *awaiting_answer = true;
                    *close = true;
                    connection.input.clear();
                    let answer = self.malformed_request_answer(
                        RequestId { slot, generation },
                        listener,
                        &error,
                    );
                    self.apply_effects(vec![answer]);
                    return;
                }
            }
        }
    }

    /// Builds the answer to a request that cannot be parsed, in the listener's format (JSON for
    /// the admin API, CBOR for the platform).
    fn malformed_request_answer(
        &self,
        to: RequestId,
        listener: usize,
        error: &HttpError,
    ) -> Effect {
        let (status, code) = match error {
            HttpError::TooLarge => (413, "too_large"),
            HttpError::Malformed => (400, "malformed"),
        };
        if self.is_admin(listener) {
            let body = format!("{{\"error\":\"{error}\",\"code\":\"{code}\"}}");
            return Effect::AdminAnswer {
                to,
                status,
                retry_after: None,
                content: Content::Json,
                body: body.into_bytes(),
            };
        }
        Effect::Answer {
            to,
            status,
            retry_after: None,
            body: wire::error_body(&error.to_string()),
        }
    }

    /// Handles the response to the current call of a connection.
    pub(crate) fn handle_response(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        let ConnectionKind::Call {
            destination,
            current_call,
        } = &mut connection.kind
        else {
            return;
        };
        // There are thousands of workers and each is called rarely, so connections to workers are
        // closed after one call.
        let close_after_reply = matches!(destination, Destination::Worker(_));
        if current_call.is_none() {
            // Bytes that belong to no call make the connection unusable.
            if !connection.input.is_empty() {
                self.close(slot);
            }
            return;
        }
        match http::take_response(&mut connection.input, MAX_RESPONSE_BYTES) {
            Ok(None) => {}
            Ok(Some(response)) => {
                let id = current_call.take().map(|(id, _)| id);
                // A caller that is redirected closes the connection (PROTOCOL).
                if response.close || close_after_reply || response.status == MISDIRECTED {
                    self.close(slot);
                } else {
                    connection.input.shrink_to(16 * 1024);
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
                    self.apply_effects(out);
                }
            }
            Err(_) => self.close(slot),
        }
    }

    /// Passes complete frames of a peer to the service.
    pub(crate) fn handle_frames(&mut self, slot: usize) {
        loop {
            let now = self.now();
            let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else {
                return;
            };
            match peers::take_frame(&mut connection.input) {
                Ok(Some(frame)) => {
                    let mut out = Vec::new();
                    self.service.on_frame(now, wall(), frame, &mut out);
                    self.apply_effects(out);
                }
                Ok(None) => return,
                Err(_) => return self.close(slot),
            }
        }
    }
}
