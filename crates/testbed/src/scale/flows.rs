//! Counts the messages that a child sends and receives.

use super::messages::{Flow, Flows};
use beamhinge_core::http::{self, Content, Method};
use beamhinge_core::types::RequestId;
use std::collections::BTreeMap;

/// Most unanswered requests whose kind is stored; bounds memory.
const MAX_UNANSWERED: usize = 50_000;

/// Message counters of one child, and the kinds of the requests that it has not yet answered.
#[derive(Default)]
pub(super) struct FlowCounter {
    flows: Flows,
    unanswered: BTreeMap<(usize, u64), &'static str>,
}

impl FlowCounter {
    fn add(&mut self, kind: &str, direction: &str, bytes: usize) {
        let flow = self.flows.entry(format!("{kind} {direction}")).or_default();
        *flow = Flow {
            messages: flow.messages + 1,
            bytes: flow.bytes + bytes as u64,
        };
    }

    /// Counts a request that was received.
    pub(super) fn request_received(
        &mut self,
        id: RequestId,
        kind: &'static str,
        (method, path): (Method, &str),
        body_bytes: usize,
    ) {
        if self.unanswered.len() >= MAX_UNANSWERED {
            self.unanswered.pop_first();
        }
        self.unanswered.insert((id.slot, id.generation), kind);
        self.add(kind, "in", request_bytes(method, path, body_bytes));
    }

    /// Counts the response that was sent to it.
    pub(super) fn response_sent(&mut self, id: RequestId, status: u16, body_bytes: usize) {
        if let Some(kind) = self.unanswered.remove(&(id.slot, id.generation)) {
            self.add(kind, "out", response_bytes(status, body_bytes));
        }
    }

    /// Counts a request that was sent.
    pub(super) fn request_sent(
        &mut self,
        kind: &str,
        (method, path): (Method, &str),
        body_bytes: usize,
    ) {
        self.add(kind, "out", request_bytes(method, path, body_bytes));
    }

    /// Counts the response that was received to it.
    pub(super) fn response_received(&mut self, kind: &str, status: u16, body_bytes: usize) {
        self.add(kind, "in", response_bytes(status, body_bytes));
    }

    pub(super) fn flows(&self) -> &Flows {
        &self.flows
    }
}

/// Size of a request with its header, as the HTTP writer of `beamhinge-core` encodes it, bytes.
fn request_bytes(method: Method, path: &str, body_bytes: usize) -> usize {
    let host = "127.0.0.1:12000";
    let head = http::RequestHead {
        method,
        path,
        host,
        content: Content::Cbor,
        authorization: None,
    };
    let mut bytes = Vec::new();
    http::write_request(&mut bytes, &head, &[]);
    bytes.len() + body_bytes
}

/// Size of a response with its header, bytes.
fn response_bytes(status: u16, body_bytes: usize) -> usize {
    let mut bytes = Vec::new();
    let head = http::ResponseHead {
        status,
        retry_after: None,
        close: false,
        content: Content::Cbor,
    };
    http::write_response(&mut bytes, &head, &[]);
    bytes.len() + body_bytes
}
