//! Counts the messages that a child sends and receives.

use super::messages::{Flow, Flows};
use beamhinge_core::http::{self, Content, Method};
use beamhinge_core::types::RequestId;
use std::collections::BTreeMap;

/// Most unanswered requests whose kind is stored; bounds memory.
const MAX_OPEN: usize = 50_000;

/// Message counters of one child, and the kinds of the requests that it has not yet answered.
#[derive(Default)]
pub(super) struct FlowCounter {
    flows: Flows,
    open: BTreeMap<(usize, u64), &'static str>,
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
    pub(super) fn request(
        &mut self,
        id: RequestId,
        kind: &'static str,
        (method, path): (Method, &str),
        body: usize,
    ) {
        if self.open.len() >= MAX_OPEN {
            self.open.pop_first();
        }
        self.open.insert((id.slot, id.generation), kind);
        self.add(kind, "in", request_bytes(method, path, body));
    }

    /// Counts the response that was sent to it.
    pub(super) fn answer(&mut self, id: RequestId, status: u16, body: usize) {
        if let Some(kind) = self.open.remove(&(id.slot, id.generation)) {
            self.add(kind, "out", answer_bytes(status, body));
        }
    }

    /// Counts a request that was sent.
    pub(super) fn call(&mut self, kind: &str, (method, path): (Method, &str), body: usize) {
        self.add(kind, "out", request_bytes(method, path, body));
    }

    /// Counts the response that was received to it.
    pub(super) fn reply(&mut self, kind: &str, status: u16, body: usize) {
        self.add(kind, "in", answer_bytes(status, body));
    }

    pub(super) fn flows(&self) -> &Flows {
        &self.flows
    }
}

/// Size of a request with its header, as the HTTP writer of `beamhinge-core` encodes it, bytes.
fn request_bytes(method: Method, path: &str, body: usize) -> usize {
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
    bytes.len() + body
}

/// Size of a response with its header, bytes.
fn answer_bytes(status: u16, body: usize) -> usize {
    let mut bytes = Vec::new();
    let head = http::ResponseHead {
        status,
        retry_after: None,
        close: false,
        content: Content::Cbor,
    };
    http::write_response(&mut bytes, &head, &[]);
    bytes.len() + body
}
