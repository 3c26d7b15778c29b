//! A whole cluster in simulated time: the controllers as they are, on the emulators of the
//! state service, the cloud, the workers and the users. After every step the protocol's
//! rules are checked against what really is on the machines, not against what the
//! controllers believe.
//!
//! [`Sim`] owns all state; its methods are split by concern:
//!
//! - `controllers`: their processes, and what they send;
//! - `delivery`: what happens at the far end of each message;
//! - `links`: which messages pass;
//! - `machines`, `users`, `operators`, `adverse_users`: those around the cluster;
//! - `checks`, `starvation`, `figures`: the rules, and what a scenario came to.
//!
//! Invariants: an event happens at a time not before the one that caused it; every random
//! draw comes from the scenario's seed, those for frames from a stream of their own.

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

/// When simulated time begins: late enough that times before it exist.
pub const START: Micros = 3_600 * SECOND;
/// Within so many seconds after the last fault every user asks once more.
const LAST_POLL_S: u64 = 20;
/// Tells the seed of the frames' draws from that of all others.
const FRAME_SEED: u64 = 0x6672_616d_6573;
/// The wall clock at simulated time zero, milliseconds.
const WALL_START_MS: u64 = 1_700_000_000_000;

/// Who waits for an answer of a controller.
enum Requester {
    User(UserCall),
    Worker { machine: u64, serial: u64 },
    Operator(OperatorRequest),
}

/// A request of a user under way.
#[derive(Clone, Debug)]
struct UserCall {
    job: String,
    request: UserRequest,
    /// When it was sent first.
    since: Micros,
    /// When it was sent this time.
    sent: Micros,
    /// An additional request that is sent only once.
    probe: bool,
}

/// A cluster in simulated time.
pub struct Sim {
    /// The present.
    pub now: Micros,
    queue: EventQueue,
    /// All draws but those for frames.
    pub rng: StdRng,
    /// Draws for frames between controllers, apart from all others: how often they speak to
    /// each other must not change what else is drawn.
    frame_rng: StdRng,
    /// Each controller's settings.
    pub settings: Vec<Settings>,
    controllers: Vec<Option<Node>>,
    /// How often each controller has started and ended.
    generations: Vec<u64>,
    /// Lines of the operators' file beside its listener.
    pub operator_config: String,
    /// Faults of old and guards left out of the controllers.
    regressions: Faults,
    /// The state service.
    pub state: StateService,
    /// The cloud.
    pub cloud: Cloud,
    /// The workers by the number of their machine.
    pub workers: BTreeMap<u64, Worker>,
    /// The jobs by id.
    pub jobs: BTreeMap<String, JobPlan>,
    /// The users.
    pub users: Users,
    /// Requests under way, by controller and number.
    requesters: BTreeMap<(usize, u64), Requester>,
    last_request: u64,
    /// What operators were answered, by the name of their request.
    pub operator_answers: BTreeMap<String, (u16, serde_json::Value)>,
    /// Faults in force.
    pub faults: FaultInjection,
    /// Violations of the protocol by the emulators.
    pub protocol_faults: ProtocolFaults,
    /// Actions that wait for something to happen.
    pub armed: Vec<ArmedAction>,
    /// When the last fault ended: from then on every question has an answer.
    pub healed: Option<Micros>,
    /// The rules, and what is counted.
    pub checks: Checks,
    /// The leadership block as it was last seen.
    leadership_block: Option<serde_json::Value>,
    /// When the state service's watches are looked at next.
    next_watch: Micros,
    /// Machines with a lower number were there from the start.
    pub first_rented: u64,
    /// Of all that controllers sent.
    pub fingerprinter: Fingerprinter,
}

impl Sim {
    /// A cluster whose controllers have these regressions put back; none of them runs yet.
    ///
    /// # Panics
    /// Without any settings.
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

    /// The lease of the workers, seconds.
    fn lease_s(&self) -> f64 {
        self.settings[0].params.workers.lease_s
    }

    /// Plays until `end`, or until a step of the script is due: see [`Sim::due_script`].
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
                // In the order in which they came.
                self.push(until, event);
                continue;
            }
            let machine = event.machine();
            self.handle(event);
            self.check(machine);
        }
        self.now = self.now.max(end);
    }

    /// The end of the standstill of the controller that an event is for.
    fn frozen_until(&self, event: &Event) -> Option<Micros> {
        let until = self.faults.frozen_until.get(event.controller()?).copied();
        until.filter(|until| self.now < *until)
    }

    /// Where [`Sim::run_until`] stopped for the script, the step that is due.
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

    /// Actions that waited for this are due.
    fn trigger(&mut self, trigger: Trigger) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            self.armed.drain(..).partition(|a| a.trigger == trigger);
        self.armed = waiting;
        for ArmedAction { delay, words, .. } in due {
            self.push(self.now + delay, Event::Script(ScriptStep::Armed(words)));
        }
    }

    /// All faults end: links and services are there, all controllers run.
    pub fn heal(&mut self) {
        let now = self.now;
        self.faults.heal(now);
        for worker in self.workers.values_mut() {
            let faults = &mut worker.faults;
            faults.inbound_cut_until = faults.inbound_cut_until.min(now);
            faults.outbound_cut_until = faults.outbound_cut_until.min(now);
        }
        // An outage that is cut short gives the leases their full time from now on, not
        // from when it was to end: nobody could acquire a lease that was left for a minute.
        if self.state.down_until > now {
            self.state.outage(now);
        }
        self.cloud.down_until = self.cloud.down_until.min(now);
        self.cloud.capacity_fraction = 1.0;
        (0..self.settings.len()).for_each(|controller| self.start(controller));
        self.healed = Some(now);
        // Users may ask at any later time, also about what is over.
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
