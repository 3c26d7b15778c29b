//! A whole cluster in simulated time: the unmodified controllers run on the emulators of the
//! key-value store, the cloud, the workers and the users. After every step the protocol's
//! rules are checked against the actual tasks on the machines, not against what the
//! controllers believe.
//!
//! [`Sim`] owns all state; its methods are split by concern:
//!
//! - `controllers`: the controller processes and the messages that they send;
//! - `delivery`: the handling of each message at its receiver;
//! - `links`: which messages are delivered, delayed or lost;
//! - `machines`, `users`, `operators`, `adverse_users`: everything that uses the controllers;
//! - `checks`, `starvation`, `figures`: the rules, and the results of a scenario.
//!
//! Invariants: an event never happens before the event that caused it. Every random draw
//! comes from the scenario's seed; draws for frames use a separate stream.

mod adverse_users;
mod checks;
mod controllers;
mod delivery;
mod figures;
mod links;
mod machines;
mod operators;
mod starvation;
mod users;

pub use checks::{Checks, LossCounts};
pub use users::Users;

use crate::event::{ArmedAction, Event, EventQueue, OperatorRequest, ScriptStep, Trigger};
use crate::fault_injection::FaultInjection;
use crate::fingerprint::Fingerprinter;
use beamhinge_controller::faults::Faults;
use beamhinge_controller::node::Node;
use beamhinge_core::settings::Settings;
use beamhinge_core::types::WallMs;
use beamhinge_emulator::cloud::Cloud;
use beamhinge_emulator::state::StateService;
use beamhinge_emulator::user::UserRequest;
use beamhinge_emulator::worker::Worker;
use beamhinge_emulator::{JobPlan, Micros, ProtocolFaults, SECOND};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// When simulated time begins. It is greater than zero so that earlier times can be expressed.
pub const START: Micros = 3_600 * SECOND;
/// Every user polls once more within this many seconds after the last fault.
const LAST_POLL_S: u64 = 20;
/// Combined with the scenario's seed to get a separate seed for the draws of frames.
const FRAME_SEED: u64 = 0x6672_616d_6573;
/// The wall clock at simulated time zero, milliseconds.
const WALL_START_MS: u64 = 1_700_000_000_000;

/// The sender that waits for a controller's answer.
enum Requester {
    User(UserCall),
    Worker { machine: u64, serial: u64 },
    Operator(OperatorRequest),
}

/// A user's request that is in progress.
#[derive(Clone, Debug)]
struct UserCall {
    job: String,
    request: UserRequest,
    /// When its first attempt was sent.
    since: Micros,
    /// When this attempt was sent.
    sent: Micros,
    /// An additional request that is sent only once.
    probe: bool,
}

/// A cluster in simulated time.
pub struct Sim {
    /// The current simulated time.
    pub now: Micros,
    queue: EventQueue,
    /// Random draws, except those for frames.
    pub rng: StdRng,
    /// Draws for frames between controllers. They are separate so that the number of frames
    /// does not change any other draw.
    frame_rng: StdRng,
    /// Each controller's settings.
    pub settings: Vec<Settings>,
    controllers: Vec<Option<Node>>,
    /// How often each controller has started and ended.
    generations: Vec<u64>,
    /// Lines of the operators' file, in addition to its listener.
    pub operator_config: String,
    /// Past faults put back into the controllers, and guards left out of them.
    regressions: Faults,
    /// The key-value store.
    pub state: StateService,
    /// The cloud.
    pub cloud: Cloud,
    /// The workers, by machine number.
    pub workers: BTreeMap<u64, Worker>,
    /// The jobs by id.
    pub jobs: BTreeMap<String, JobPlan>,
    /// The users.
    pub users: Users,
    /// Requests in progress, by controller and request number.
    requesters: BTreeMap<(usize, u64), Requester>,
    last_request: u64,
    /// Answers to operators, by the name of the request.
    pub operator_answers: BTreeMap<String, (u16, serde_json::Value)>,
    /// Faults in force.
    pub faults: FaultInjection,
    /// Violations of the protocol by the emulators.
    pub protocol_faults: ProtocolFaults,
    /// Actions that wait for a trigger.
    pub armed: Vec<ArmedAction>,
    /// When the last fault ended. Every request must be answered from then on.
    pub healed: Option<Micros>,
    /// The protocol's rules and the collected counters.
    pub checks: Checks,
    /// The last known value of the leadership block.
    leadership_block: Option<serde_json::Value>,
    /// When the key-value store's watches are checked next.
    next_watch: Micros,
    /// Machines with a lower number existed from the start.
    pub first_rented: u64,
    /// Running hash of all messages that the controllers sent.
    pub fingerprinter: Fingerprinter,
}

impl Sim {
    /// A cluster whose controllers contain these regressions. No controller runs yet.
    ///
    /// # Panics
    /// If `settings` is empty.
    #[must_use]
    pub fn new(settings: Vec<Settings>, seed: u64, regressions: Faults) -> Sim {
        let params = &settings[0].params;
        let count = settings.len();
        Sim {
            now: START,
            queue: EventQueue::default(),
            rng: StdRng::seed_from_u64(seed),
            frame_rng: StdRng::seed_from_u64(seed ^ FRAME_SEED),
            controllers: (0..count).map(|_| None).collect(),
            generations: vec![0; count],
            operator_config: String::new(),
            regressions,
            state: StateService::new((&params.state).into()),
            cloud: Cloud::new(params.cloud.rps, params.cloud.list_lag_s),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            users: Users::default(),
            requesters: BTreeMap::new(),
            last_request: 0,
            operator_answers: BTreeMap::new(),
            faults: FaultInjection::new(count),
            protocol_faults: ProtocolFaults::default(),
            armed: Vec::new(),
            healed: None,
            checks: Checks::default(),
            leadership_block: None,
            next_watch: Micros::MAX,
            first_rented: 0,
            fingerprinter: Fingerprinter::default(),
            settings,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Micros, event: Event) {
        self.queue.push(at, event);
    }

    fn wall(&self) -> WallMs {
        WallMs(WALL_START_MS + self.now / 1_000)
    }

    /// Duration of a worker's lease, seconds.
    fn lease_s(&self) -> f64 {
        self.settings[0].params.workers.lease_s
    }

    /// Runs until `end`, or until a step of the script is due: see [`Sim::due_script`].
    pub fn run_until(&mut self, end: Micros) {
        while let Some((at, event)) = self.queue.peek().filter(|(at, _)| *at <= end) {
            let is_script = matches!(event, Event::Script(_));
            let Some(event) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            if is_script {
                self.push(self.now, event);
                return;
            }
            if let Some(until) = self.frozen_until(&event) {
                // Deferred events keep their order.
                self.push(until, event);
                continue;
            }
            let machine = event.machine();
            self.handle(event);
            self.check(machine);
        }
        self.now = self.now.max(end);
    }

    /// Until when the controller that the event is for is frozen; `None` if it is not.
    fn frozen_until(&self, event: &Event) -> Option<Micros> {
        let until = self.faults.frozen_until.get(event.controller()?).copied();
        until.filter(|until| self.now < *until)
    }

    /// The step of the script that is due, if [`Sim::run_until`] stopped for one.
    pub fn due_script(&mut self) -> Option<ScriptStep> {
        let (at, event) = self.queue.peek()?;
        if at > self.now || !matches!(event, Event::Script(_)) {
            return None;
        }
        match self.queue.pop()? {
            Event::Script(step) => Some(step),
            _ => None,
        }
    }

    /// Schedules the actions that waited for this trigger.
    fn trigger(&mut self, trigger: Trigger) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            self.armed.drain(..).partition(|a| a.trigger == trigger);
        self.armed = waiting;
        for ArmedAction { delay, words, .. } in due {
            self.push(self.now + delay, Event::Script(ScriptStep::Armed(words)));
        }
    }

    /// Ends all faults: all links and services are available, and all controllers run.
    pub fn heal(&mut self) {
        let now = self.now;
        self.faults.heal(now);
        for worker in self.workers.values_mut() {
            let faults = &mut worker.faults;
            faults.inbound_cut_until = faults.inbound_cut_until.min(now);
            faults.outbound_cut_until = faults.outbound_cut_until.min(now);
        }
        // When an outage is ended early, leases get their full duration from now on, not from
        // the planned end of the outage: otherwise an abandoned lease could not be acquired
        // for up to a minute.
        if self.state.down_until > now {
            self.state.outage(now);
        }
        self.cloud.down_until = self.cloud.down_until.min(now);
        self.cloud.capacity_fraction = 1.0;
        (0..self.settings.len()).for_each(|controller| self.start(controller));
        self.healed = Some(now);
        // Users may poll at any later time, also about jobs that have ended.
        for job in self.users.accepted_jobs() {
            let since = now + self.rng.gen_range(0..LAST_POLL_S * SECOND);
            let request = UserRequest::Poll;
            self.push(
                since,
                Event::UserSends {
                    job,
                    request,
                    since,
                },
            );
        }
    }
}
