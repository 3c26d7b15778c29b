//! The interface between a service and the event loop that owns its sockets.
//!
//! A [`Service`] performs no I/O itself: the event loop calls it with events and the current time,
//! and the service returns [`Effect`]s. This lets a controller run unchanged in the simulator.

use crate::http::{Content, Method, Request};
use crate::peers::Frame;
use crate::types::{CallId, RequestId, Time, WallMs};
use std::net::SocketAddrV4;

/// The receiver of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Destination {
    /// The key-value store.
    KeyValueStore,
    /// The cloud API.
    Cloud,
    /// The worker on a machine.
    Worker(SocketAddrV4),
    /// A controller that a worker or a user calls.
    Controller {
        /// The controller's public address.
        address: SocketAddrV4,
        /// Identifies the caller; each caller uses a separate connection.
        caller: u64,
    },
}

/// An action that a service asks the event loop to perform.
#[derive(Debug)]
pub enum Effect {
    /// Calls an external service; the event loop passes the result to [`Service::on_reply`].
    Call {
        /// Identifies the call in its reply.
        id: CallId,
        /// The receiver of the call.
        destination: Destination,
        /// Method of the request.
        method: Method,
        /// Path of the request, including the query string.
        path: String,
        /// Body of the request, CBOR.
        body: Vec<u8>,
        /// Time without a reply after which the call counts as failed, seconds.
        timeout_s: f64,
    },
    /// Answers a user or a worker.
    Answer {
        /// The request to answer.
        to: RequestId,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header, seconds.
        retry_after: Option<u32>,
        /// Body of the answer, CBOR.
        body: Vec<u8>,
    },
    /// Answers a client of the admin API.
    AdminAnswer {
        /// The request to answer.
        to: RequestId,
        /// HTTP status.
        status: u16,
        /// Value of the `Retry-After` header, seconds.
        retry_after: Option<u32>,
        /// Media type of the body.
        content: Content,
        /// Body of the answer.
        body: Vec<u8>,
    },
    /// Sends an encoded frame to all peers, or only to the peer labelled `to`.
    SendFrame {
        /// Label of the receiving peer; `None` sends to all peers.
        to: Option<String>,
        /// The frame as encoded by [`crate::peers::encode`].
        frame: Vec<u8>,
    },
}

/// Progress of a job, for display only.
#[derive(Default, Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Number of tasks that have ended.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// An event handler driven by the event loop: it receives events and the current time, and appends
/// its effects to `out`.
pub trait Service {
    /// Handles a request. `listener` is the index of the listener in the event loop's list.
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
    /// `None` means that the connection failed or the call timed out: whether the call took effect
    /// is unknown. The default does nothing, for services that make no calls.
    fn on_reply(
        &mut self,
        _now: Time,
        _wall: WallMs,
        _id: CallId,
        _result: Option<(u16, Vec<u8>)>,
        _out: &mut Vec<Effect>,
    ) {
    }
    /// Handles a frame from a peer. The default does nothing, for services without peers.
    fn on_frame(&mut self, _now: Time, _wall: WallMs, _frame: Frame, _out: &mut Vec<Effect>) {}
    /// Runs timers and other periodic work that is due; called several times a second.
    fn on_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>);
}
