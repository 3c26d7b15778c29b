//! The interface between a service and the event loop that owns its sockets.
//!
//! A [`Service`] does no input or output of its own: it is called with events and the time, and
//! answers with [`Effect`]s. That is why a controller runs unchanged in the simulator.

use crate::http::{Content, Method, Request};
use crate::peers::Frame;
use crate::types::{CallId, RequestId, Time, WallMs};
use std::net::SocketAddrV4;

/// Where a call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    /// The key-value store.
    State,
    /// The cloud's interface.
    Cloud,
    /// The agent on a machine.
    Worker(SocketAddrV4),
    /// A controller, as called by a worker or a user.
    Node {
        /// The controller's public address.
        address: SocketAddrV4,
        /// Identifies the caller; each has a connection of its own.
        caller: u64,
    },
}

/// An action that a service asks the event loop to perform.
#[derive(Debug)]
pub enum Effect {
    /// Calls an outside service; the result comes to [`Service::on_reply`].
    Call {
        /// Identifies the call in its reply.
        id: CallId,
        /// Where the call goes.
        destination: Destination,
        /// The request's method.
        method: Method,
        /// The request's path with its query.
        path: String,
        /// The request's body, CBOR.
        body: Vec<u8>,
        /// Time after which the call counts as failed, seconds.
        timeout_s: f64,
    },
    /// Answers a user or a worker.
    Answer {
        /// The request that is answered.
        to: RequestId,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header, seconds.
        retry_after: Option<u32>,
        /// The answer's body, CBOR.
        body: Vec<u8>,
    },
    /// Answers a client of the admin API.
    OperatorAnswer {
        /// The request that is answered.
        to: RequestId,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header, seconds.
        retry_after: Option<u32>,
        /// The form that the body is written in.
        content: Content,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// Sends an encoded frame to every peer, or to the one labelled `to`.
    SendFrame {
        /// Label of the receiver; `None` sends to every peer.
        to: Option<String>,
        /// The frame as [`crate::peers::encode`] writes it.
        frame: Vec<u8>,
    },
}

/// Progress of a job, for display only.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that have ended.
    pub done: u32,
    /// Tasks that run now.
    pub running: u32,
}

/// A program that the event loop serves: events and the time go in, effects come out.
pub trait Service {
    /// Handles a request. `listener` is the place of the listener in the event loop's list.
    fn on_request(
        &mut self,
        now: Time,
        wall: WallMs,
        listener: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    );
    /// Handles the status and body of a call's reply.
    ///
    /// `None` means that the connection failed or the time ran out: whether the call had an effect is
    /// unknown. A service that makes no calls keeps the empty default.
    fn on_reply(
        &mut self,
        _now: Time,
        _wall: WallMs,
        _id: CallId,
        _result: Option<(u16, Vec<u8>)>,
        _out: &mut Vec<Effect>,
    ) {
    }
    /// Handles a frame from a peer. A service without peers keeps the empty default.
    fn on_frame(&mut self, _now: Time, _wall: WallMs, _frame: Frame, _out: &mut Vec<Effect>) {}
    /// Runs what is due; called several times a second.
    fn on_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>);
}
