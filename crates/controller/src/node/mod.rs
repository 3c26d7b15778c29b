//! The controller: wires its components together.
//!
//! [`Node`] receives events with the current time and returns [`Effect`]s. It never accesses a
//! socket or a clock, so tests run whole clusters in simulated time. Each component owns its
//! state and reads the state of others through references that [`Node`] passes to it:
//!
//! - [`user_requests`], [`worker_reports`]: requests on the listener for users and workers;
//! - [`admin`]: requests on the operators' listener;
//! - [`replies`]: replies to calls; [`worker_calls`]: calls to workers;
//! - [`frames`]: frames from peers;
//! - [`timers`]: periodic work; [`supervision`]: when to step down from the leadership and when
//!   to acquire it early; [`leadership`]: the start and end of a term.

mod admin;
mod frames;
mod leadership;
mod replies;
mod supervision;
mod timers;
mod user_requests;
mod worker_calls;
mod worker_messages;
mod worker_reports;

use crate::admin_api::{AdminApi, AdminLimits, PendingQueries};
use crate::calls::Tag;
use crate::configuration::Configuration;
use crate::directives::Directives;
use crate::faults::{fault_injected, Faults};
use crate::fleet::{Fleet, LivenessInputs, TickContext};
use crate::job_store::JobStore;
use crate::leader_election::LeaderElection;
use crate::metrics::Metrics;
use crate::peers::PeerTable;
use crate::scheduler::{Scheduler, SchedulerTick};
use crate::store::StoreClient;
use crate::user_api::UserApi;
use beamhinge_admin_api::auth::{Authenticator, Key};
use beamhinge_core::http::Request;
use beamhinge_core::messages::{Effect, Service};
use beamhinge_core::peers::{encode, Frame};
use beamhinge_core::settings::{OperatorSettings, Settings};
use beamhinge_core::types::{CallId, MachineId, RequestId, Time, WallMs};
use beamhinge_failure_detection::{
    MisroutedWorkers, PauseDetector, PeerObservations, StallDetector,
};
use beamhinge_standby::FailureDetector;
use std::collections::BTreeMap;

/// Index of the operators' listener in the list of a controller's listeners. Index 0 is the
/// listener for users and workers.
pub const ADMIN_LISTENER: usize = 1;
/// Maximum number of remembered nonces. Each is kept for twice the allowed clock skew, so this
/// bounds the rate of signed requests.
const MAX_NONCES: usize = 8_192;
/// Maximum number of rounds of [`Node::run`] per event. Remaining work is done at the next event.
const MAX_ROUNDS: usize = 4;
/// Fraction of the leader's write rate that job admissions may use while writes of the scheduler,
/// such as placements and ends of jobs, are queued. Each admitted job costs the leader another
/// write when it ends, and a row for its tasks.
const LEADER_ADMISSION_SHARE: f64 = 0.3;

/// A controller process.
pub struct Node {
    settings: Settings,
    operator: OperatorSettings,
    store: StoreClient<Tag>,
    job_store: JobStore,
    user_api: UserApi,
    election: LeaderElection,
    /// `Some` while this controller is the leader.
    scheduler: Option<Scheduler>,
    fleet: Fleet,
    peers: PeerTable,
    /// Id of the last call that was issued.
    next_call: u64,
    /// Unreachable machines that were probed, and when each was last probed.
    probed_at: BTreeMap<MachineId, Time>,
    /// Machines to whose workers this term's fencing token was announced, and when.
    token_announced_at: BTreeMap<MachineId, Time>,
    /// Calls to workers that are in flight.
    worker_calls: BTreeMap<CallId, MachineId>,
    started: Time,
    /// When this controller last stepped down because too few workers reported to it.
    stepped_down_at: Option<Time>,
    supervised_at: Time,
    pause_detector: PauseDetector,
    /// Machines that report to this controller although it is not the leader.
    misrouted_workers: MisroutedWorkers,
    misrouted_announced_at: Time,
    /// Machines that report to peers instead; used by the leader.
    peer_observations: PeerObservations,
    /// Monitors the leader while this controller is a follower.
    leader_detector: FailureDetector,
    leader_heartbeat_sent_at: Time,
    stall_detector: StallDetector,
    /// Controllers that stalled as the leader, and when each last stalled.
    stalled_leaders: BTreeMap<String, Time>,
    directives: Directives,
    configuration: Configuration,
    /// `None` if no address for the operators' listener is configured.
    admin_api: Option<AdminApi>,
    metrics: Metrics,
    metrics_sampled_at: Time,
    /// Wall-clock time of the last event.
    wall: WallMs,
    faults: Faults,
}

impl Node {
    /// Creates a controller that starts at `now`. `keys` authenticate the callers of the
    /// operators' listener; without keys, every caller on loopback is accepted. `nonce`
    /// identifies the process.
    pub fn new(
        settings: Settings,
        operator: OperatorSettings,
        keys: Vec<Key>,
        nonce: u64,
        now: Time,
    ) -> Node {
        let admin_api = operator.listener.as_ref().map(|listener| {
            let skew_s = listener.max_clock_skew_s;
            let limits = AdminLimits {
                max_waiting: listener.max_pending,
                max_rps: listener.rps,
            };
            AdminApi::new(
                Authenticator::new(keys, format!("{nonce:x}"), skew_s, MAX_NONCES),
                limits,
            )
        });
        let mut store = StoreClient::new(&settings);
        store.set_rate_share(follower_share(&settings), 1.0);
        Node {
            store,
            job_store: JobStore::default(),
            user_api: UserApi::default(),
            election: LeaderElection::new(&settings, nonce),
            scheduler: None,
            fleet: Fleet::new(&settings),
            peers: PeerTable::default(),
            next_call: 0,
            probed_at: BTreeMap::new(),
            token_announced_at: BTreeMap::new(),
            worker_calls: BTreeMap::new(),
            started: now,
            stepped_down_at: None,
            supervised_at: Time::default(),
            pause_detector: PauseDetector::new(1.0_f64.max(settings.params.workers.report_s * 0.4)),
            misrouted_workers: MisroutedWorkers::default(),
            misrouted_announced_at: Time::default(),
            peer_observations: PeerObservations::default(),
            leader_detector: FailureDetector::default(),
            leader_heartbeat_sent_at: Time::default(),
            stall_detector: StallDetector::new(stalled_after_s(&settings)),
            stalled_leaders: BTreeMap::new(),
            directives: Directives::default(),
            configuration: Configuration::new(&settings, operator.configuration, nonce),
            metrics: Metrics::new(admin_api.is_some()),
            admin_api,
            metrics_sampled_at: Time::default(),
            wall: WallMs::default(),
            faults: Faults::default(),
            settings,
            operator,
        }
    }

    /// Injects faults, for tests that must detect them.
    #[cfg(feature = "faults")]
    pub fn inject_faults(&mut self, faults: Faults) {
        self.faults = faults;
        self.fleet.set_faults(faults);
        self.election.faults = faults;
        self.user_api.faults = faults;
        self.configuration.configuration_partly_applied = faults.configuration_partly_applied;
    }

    /// Returns whether this controller is the leader.
    pub fn is_leader(&self) -> bool {
        self.scheduler.is_some()
    }

    /// Returns the scheduler, or `None` if this controller is not the leader.
    pub fn scheduler(&self) -> Option<&Scheduler> {
        self.scheduler.as_ref()
    }

    /// Records the wall-clock time of an event, and detects whether the process was paused before
    /// it. Called at the start of each event.
    fn begin_event(&mut self, now: Time, wall: WallMs) {
        self.wall = wall;
        if let Some(paused_s) = self.pause_detector.observe(now) {
            tracing::warn!(paused_s, "process was paused");
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.resumed_at = Some(now);
            }
        }
    }

    /// Announces ended jobs and post-processes the effects of an event. Called at the end of each
    /// event; `before` is the index in `out` of the event's first effect.
    fn end_event(&mut self, now: Time, before: usize, out: &mut Vec<Effect>) {
        let ended_jobs = self.user_api.take_ended_jobs();
        if !ended_jobs.is_empty() && !fault_injected!(self.faults, job_ends_not_announced) {
            // Announce to peers before sending the answers that report these ends to users.
            let frames = Frame::jobs_ended(&ended_jobs).into_iter();
            let effects = frames.map(|frame| Effect::SendFrame {
                to: None,
                frame: encode(&frame),
            });
            out.splice(before..before, effects);
        }
        let effects = &mut out[before..];
        self.convert_delegated_answers(effects);
        self.metrics.on_effects(now, effects);
    }

    /// Runs all components. Repeats, for at most [`MAX_ROUNDS`] rounds, while the store client
    /// refuses queued requests, whose callers must handle the refusals.
    fn run(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        for _ in 0..MAX_ROUNDS {
            self.election.tick(now, &mut self.store);
            self.tick_replicas(now, wall, out);
            self.user_api
                .tick(now, &self.job_store, &mut self.store, out);
            self.tick_scheduler(now, wall);
            self.tick_fleet(now, wall);
            self.send_pending_kills(now, out);
            self.store.flush(now, &mut self.next_call, out);
            self.fleet.flush(now, &mut self.next_call, out);
            self.run_admin_api(now, wall, out);
            let refused = self.store.take_refused();
            if refused.is_empty() {
                break;
            }
            for reply in refused {
                self.route_store_reply(now, reply, out);
            }
        }
    }

    /// Refreshes the replicas as far as pending requests require it, and decides pending changes.
    fn tick_replicas(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        let needs_fresh_jobs =
            self.user_api.needs_fresh_jobs() || self.admin_needs(PendingQueries::needs_fresh_jobs);
        let follow = self.scheduler.is_some();
        self.job_store
            .tick(now, needs_fresh_jobs, follow, &mut self.store);

        let query_pending = self.admin_needs(PendingQueries::needs_fresh_directives);
        let mut responses = Vec::new();
        self.directives
            .tick(now, wall, query_pending, &mut self.store, &mut responses);
        self.answer_directive_changes(responses, out);

        let query_pending = self.admin_needs(PendingQueries::needs_fresh_configuration);
        let lease_id = self.election.lease_id();
        let mut responses = Vec::new();
        self.configuration.tick(
            now,
            wall,
            (query_pending, lease_id),
            &mut self.store,
            &mut responses,
        );
        self.answer_configuration_changes(responses, out);
    }

    fn tick_scheduler(&mut self, now: Time, wall: WallMs) {
        let entitled = self.entitled(now);
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        // Directives and teams that were read before the leadership acquisition may have changed.
        let acquired_at = scheduler.acquired_at();
        let is_current = |fresh: Option<Time>| fresh.is_some_and(|at| at >= acquired_at);
        let teams_known =
            !self.configuration.is_enabled() || is_current(self.configuration.fresh_as_of());
        let may_place = entitled && teams_known && is_current(self.directives.fresh_as_of());
        let starts_allowed_until = self.configuration.starts_allowed_until();
        scheduler.set_configuration_condition(self.configuration.condition(), starts_allowed_until);
        let context = SchedulerTick {
            now,
            wall,
            may_place,
            settings: &self.settings,
            machine_types: self.fleet.machine_types(),
        };
        scheduler.tick(&context, &self.job_store, &mut self.store);
        if scheduler.loaded() {
            self.metrics.on_state_loaded(now);
        }
    }

    fn tick_fleet(&mut self, now: Time, wall: WallMs) {
        let liveness = LivenessInputs {
            pause_detector: &self.pause_detector,
            peer_observations: &self.peer_observations,
            leadership_confirmed: self.leadership_confirmed(now),
        };
        let context = TickContext {
            now,
            wall,
            operator: &self.operator,
            settings: &self.settings,
            liveness: &liveness,
        };
        self.fleet
            .tick(&context, self.scheduler.as_mut(), &mut self.store);
    }
}

impl Service for Node {
    fn on_request(
        &mut self,
        now: Time,
        wall: WallMs,
        listener: usize,
        id: RequestId,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        self.begin_event(now, wall);
        let before = out.len();
        if listener == ADMIN_LISTENER {
            self.on_admin_request(now, wall, id, &request, out);
            self.run(now, wall, out);
        } else {
            self.on_user_request(now, wall, id, &request, out);
        }
        self.end_event(now, before, out);
    }

    fn on_reply(
        &mut self,
        now: Time,
        wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        out: &mut Vec<Effect>,
    ) {
        self.begin_event(now, wall);
        let before = out.len();
        self.on_call_reply(now, wall, id, result, out);
        self.end_event(now, before, out);
    }

    fn on_frame(&mut self, now: Time, wall: WallMs, frame: Frame, out: &mut Vec<Effect>) {
        self.begin_event(now, wall);
        let before = out.len();
        self.on_peer_frame(now, frame, out);
        self.end_event(now, before, out);
    }

    fn on_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        self.begin_event(now, wall);
        let before = out.len();
        self.advance_timers(now, wall, out);
        self.end_event(now, before, out);
    }
}

/// How long a leader with pending work may commit nothing before it counts as stalled, seconds.
fn stalled_after_s(settings: &Settings) -> f64 {
    (settings.params.workers.lease_s * 0.5).clamp(5.0, 15.0)
}

/// The leader's share of the key-value store's rate limit, which all controllers share. The
/// leader does most of the work; a tenth of the limit stays unused to absorb clock differences
/// and late arrivals.
fn leader_share(settings: &Settings) -> f64 {
    if settings.members.is_empty() {
        0.9
    } else {
        0.55
    }
}

/// Each follower's share of the key-value store's rate limit.
fn follower_share(settings: &Settings) -> f64 {
    0.35 / settings.members.len().max(1) as f64
}
