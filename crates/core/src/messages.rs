//! What passes between a service and the loop that holds its sockets.

use crate::http::{Content, Method, Request};
use crate::peers::Frame;
use crate::types::{CallId, RequestId, Time, WallMs};
use std::net::SocketAddrV4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    State,
    Cloud,
    Worker(SocketAddrV4),
    /// A controller, as a worker or a user calls it: each caller has a connection of
    /// its own.
    Node {
        address: SocketAddrV4,
        caller: u64,
    },
}

/// What a service wants done.
#[derive(Debug)]
pub enum Effect {
    Call {
        id: CallId,
        destination: Destination,
        method: Method,
        path: String,
        body: Vec<u8>,
        timeout_s: f64,
    },
    Answer {
        to: RequestId,
        status: u16,
        retry_after: Option<u32>,
        body: Vec<u8>,
    },
    /// To an operator's client, in the form it is written in.
    OperatorAnswer {
        to: RequestId,
        status: u16,
        retry_after: Option<u32>,
        content: Content,
        body: Vec<u8>,
    },
    /// To every peer, or to the one of this label.
    SendFrame { to: Option<String>, frame: Vec<u8> },
}

/// How far a job is, for display.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    pub done: u32,
    pub running: u32,
}

/// What the loop serves: events and the time go in, messages come out.
pub trait Service {
    /// A request came in at a door, known by its place in the loop's list.
    fn on_request(
        &mut self,
        now: Time,
        wall: WallMs,
        listener: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    );
    /// `None`: the connection failed or the time ran out; its fate is unknown. One that
    /// calls nobody is told nothing.
    fn on_reply(
        &mut self,
        _now: Time,
        _wall: WallMs,
        _id: CallId,
        _result: Option<(u16, Vec<u8>)>,
        _out: &mut Vec<Effect>,
    ) {
    }
    fn on_frame(&mut self, _now: Time, _wall: WallMs, _frame: Frame, _out: &mut Vec<Effect>) {}
    fn on_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>);
}
