//! The events of a simulated cluster and their queue, ordered by simulated time.

use beamhinge_core::http::Method;
use beamhinge_core::types::CallId;
use beamhinge_emulator::user::UserRequest;
use beamhinge_emulator::{Micros, Response};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The process of a controller. A restarted controller is a different process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// Index of the controller.
    pub controller: usize,
    /// How often the controller has started and ended before.
    pub generation: u64,
}

/// A call of a controller to one of the services that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallOrigin {
    /// The calling process.
    pub process: Process,
    /// The id that the process gave to the call.
    pub call: CallId,
}

/// A request to the key-value store.
#[derive(Clone, Debug)]
pub struct StateRequest {
    /// Who sent it.
    pub origin: CallOrigin,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Encoded body.
    pub body: Vec<u8>,
    /// Whether the answer is lost although the request is executed.
    pub answer_lost: bool,
    /// Additional delay of the answer.
    pub answer_delay: Micros,
}

/// A request to the cloud.
#[derive(Clone, Debug)]
pub struct CloudRequest {
    /// Who sent it.
    pub origin: CallOrigin,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Encoded body.
    pub body: Vec<u8>,
    /// Whether a cut link delayed the request, so that it may take effect after the caller has
    /// abandoned it.
    pub late: bool,
}

/// A report of a worker on its way to a controller.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of the worker's machine.
    pub machine: u64,
    /// Index of the controller.
    pub controller: usize,
    /// The worker's serial number of the report.
    pub serial: u64,
    /// Encoded report.
    pub body: Vec<u8>,
}

impl Report {
    /// Serial number of a copy, for whose answer no worker waits.
    const COPY: u64 = 0;

    /// A copy of a report, for whose answer no worker waits.
    #[must_use]
    pub fn copy(machine: u64, controller: usize, body: Vec<u8>) -> Report {
        Report {
            machine,
            controller,
            serial: Report::COPY,
            body,
        }
    }
}

/// A request of an operator. It is retried after the answer 503, and while no controller can
/// receive it or its connection is reset.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// The name under which its answer is stored.
    pub name: String,
    /// Index of the receiving controller; `None` for any that is running.
    pub controller: Option<usize>,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Body as text.
    pub body: String,
    /// Number of attempts left.
    pub tries: u32,
}

/// An event that an action of a scenario can wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trigger {
    /// A new leader wrote the leadership block.
    LeadershipAcquired,
    /// A user is told that a job is cancelled.
    Cancelled,
    /// A worker receives its first answer with a new fencing token.
    NewToken,
}

/// An action of the scenario that waits for a trigger.
#[derive(Clone, Debug)]
pub struct ArmedAction {
    /// The event that the action waits for.
    pub trigger: Trigger,
    /// Delay between the trigger and the action.
    pub delay: Micros,
    /// The words of the action.
    pub words: Vec<String>,
}

/// A line of the scenario that is due.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// The action with this index.
    Line(usize),
    /// An action whose trigger has fired.
    Armed(Vec<String>),
}

/// An event at a point in simulated time.
#[derive(Debug)]
pub enum Event {
    /// A controller's timers run.
    Tick(Process),
    /// A request reaches the key-value store.
    StateRequest(StateRequest),
    /// A request reaches the cloud.
    CloudRequest(CloudRequest),
    /// A direct command reaches a worker.
    WorkerCommand {
        /// Who sent it.
        origin: CallOrigin,
        /// Number of the worker's machine.
        machine: u64,
        /// Encoded command.
        body: Vec<u8>,
    },
    /// A call of a controller is answered, or times out.
    Reply {
        /// The caller.
        origin: CallOrigin,
        /// The answer; `None` if the call timed out.
        reply: Option<Response>,
    },
    /// The key-value store's open watches are checked.
    Watches,
    /// A worker may send a report.
    ReportDue {
        /// Number of its machine.
        machine: u64,
    },
    /// A report reaches a controller.
    ReportArrives(Report),
    /// The answer to a report reaches the worker.
    ReportAnswered {
        /// Number of its machine.
        machine: u64,
        /// The worker's serial number of the report.
        serial: u64,
        /// HTTP status.
        status: u16,
        /// Encoded answer.
        body: Vec<u8>,
    },
    /// A report was not answered in time.
    ReportTimedOut {
        /// Number of its machine.
        machine: u64,
        /// The worker's serial number of the report.
        serial: u64,
    },
    /// The tasks of a machine advance.
    WorkerStep {
        /// Number of the machine.
        machine: u64,
    },
    /// A user's additional request, sent once to this controller.
    UserProbe {
        /// The job.
        job: String,
        /// The kind of request.
        request: UserRequest,
        /// Index of the controller.
        controller: usize,
    },
    /// A user's request, repeated until it is answered.
    UserSends {
        /// The job.
        job: String,
        /// The kind of request.
        request: UserRequest,
        /// When its first attempt was sent.
        since: Micros,
    },
    /// A user's request times out.
    UserGivesUp {
        /// Number of the request.
        request: u64,
    },
    /// A frame reaches a controller.
    Frame {
        /// Index of the controller.
        to: usize,
        /// Generation of the process it was sent to; `None` if any process receives it.
        generation: Option<u64>,
        /// The encoded frame.
        body: Vec<u8>,
    },
    /// An operator sends a request.
    OperatorSends(OperatorRequest),
    /// A controller's process ends.
    Crash(usize),
    /// A controller's process starts.
    Start(usize),
    /// A step of the scenario is due.
    Script(ScriptStep),
}

impl Event {
    /// The machine whose tasks the event may change.
    #[must_use]
    pub fn machine(&self) -> Option<u64> {
        match self {
            Event::WorkerCommand { machine, .. }
            | Event::ReportDue { machine }
            | Event::ReportAnswered { machine, .. }
            | Event::ReportTimedOut { machine, .. }
            | Event::WorkerStep { machine } => Some(*machine),
            _ => None,
        }
    }

    /// The controller that handles the event; the event waits while that controller is frozen.
    #[must_use]
    pub fn controller(&self) -> Option<usize> {
        match self {
            Event::Tick(process) => Some(process.controller),
            Event::Reply { origin, .. } => Some(origin.process.controller),
            Event::ReportArrives(report) => Some(report.controller),
            Event::Frame { to, .. } => Some(*to),
            _ => None,
        }
    }
}

/// Events ordered by their time; events at the same time keep the order in which they were
/// added.
#[derive(Default)]
pub(crate) struct EventQueue {
    last: u64,
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: Micros, event: Event) {
        self.last += 1;
        self.order.push(Reverse((at, self.last)));
        self.events.insert(self.last, event);
    }

    /// The next event and its time.
    pub(crate) fn peek(&self) -> Option<(Micros, &Event)> {
        let Reverse((at, number)) = self.order.peek()?;
        Some((*at, self.events.get(number)?))
    }

    /// Removes the next event.
    pub(crate) fn pop(&mut self) -> Option<Event> {
        let Reverse((_, number)) = self.order.pop()?;
        self.events.remove(&number)
    }
}
