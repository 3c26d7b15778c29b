//! One controller: the composition root of its parts.
//!
//! Events and the time go in, [`Effect`]s come out. Nothing here touches a socket or a clock, so
//! tests run whole clusters in simulated time. Each part owns its state and sees that of others
//! by references that are passed to it here:
//!
//! - [`user_requests`], [`worker_reports`]: the listener of users and workers;
//! - [`admin`]: the operators' listener;
//! - [`replies`]: replies to calls; [`worker_calls`]: calls to workers;
//! - [`frames`]: frames of peers;
//! - [`timers`]: what is done as time passes; [`supervision`]: when the leadership is given up
//!   or taken early; [`leadership`]: what a term begins and ends with.

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
use crate::fleet::{Fleet, LivenessView, TickContext};
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

/// Index of the operators' listener in the list of a controller's listeners; the first is that
/// of users and workers.
pub const ADMIN_LISTENER: usize = 1;
/// Nonces that are remembered: each is kept for twice the allowed difference of clocks, so this
/// bounds the rate of signed requests.
const MAX_NONCES: usize = 8_192;
/// Rounds of [`Node::run`] after one event: what remains is done with the next event.
const MAX_ROUNDS: usize = 4;
/// Share of a leader's writes for accepting jobs, while placements and ends wait: each accepted
/// job costs it one more write when it ends, and a row for its tasks.
const LEADER_ADMISSION_SHARE: f64 = 0.3;

/// One controller.
pub struct Node {
    settings: Settings,
    operator: OperatorSettings,
    store: StoreClient<Tag>,
    job_store: JobStore,
    user_api: UserApi,
    election: LeaderElection,
    /// Exists while this controller is the leader.
    scheduler: Option<Scheduler>,
    fleet: Fleet,
    peers: PeerTable,
    /// Number of the last call.
    next_call: u64,
    /// Silent machines that were probed, and when.
    probed_at: BTreeMap<MachineId, Time>,
    /// Machines to whose workers the fencing token of this term was announced, and when.
    token_announced_at: BTreeMap<MachineId, Time>,
    /// Calls to workers in flight.
    worker_calls: BTreeMap<CallId, MachineId>,
    started: Time,
    /// When this controller last gave the leadership up because it heard too few workers.
    stepped_down_at: Option<Time>,
    supervised_at: Time,
    pause_detector: PauseDetector,
    /// Machines that report here though this controller does not lead.
    misrouted_workers: MisroutedWorkers,
    misrouted_announced_at: Time,
    /// Machines that peers hear of, for the leader.
    peer_observations: PeerObservations,
    /// Watches the leader while this controller does not lead.
    leader_detector: FailureDetector,
    leader_heartbeat_sent_at: Time,
    stall_detector: StallDetector,
    /// Controllers that stalled as the leader, and when they last did.
    stalled_leaders: BTreeMap<String, Time>,
    directives: Directives,
    configuration: Configuration,
    /// `None` where no address of an operators' listener is set.
    admin_api: Option<AdminApi>,
    metrics: Metrics,
    metrics_sampled_at: Time,
    /// Time of day at the last event.
    wall: WallMs,
    faults: Faults,
}

impl Node {
    /// A controller that starts at `now`. `keys`: who may use the operators' listener; without
    /// any, everybody on loopback. `nonce` identifies the process.
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

    /// Injects faults; for tests that must find them.
    #[cfg(feature = "faults")]
    pub fn inject_faults(&mut self, faults: Faults) {
        self.faults = faults;
        self.fleet.set_faults(faults);
        self.election.faults = faults;
        self.user_api.faults = faults;
        self.configuration.configuration_partly_applied = faults.configuration_partly_applied;
    }

    /// Whether this controller is the leader.
    pub fn is_leader(&self) -> bool {
        self.scheduler.is_some()
    }

    /// The scheduler, where this controller is the leader.
    pub fn scheduler(&self) -> Option<&Scheduler> {
        self.scheduler.as_ref()
    }

    /// Called at the start of each event: notes the time, and a pause of the process before it.
    fn begin_event(&mut self, now: Time, wall: WallMs) {
        self.wall = wall;
        if let Some(paused_s) = self.pause_detector.observe(now) {
            tracing::warn!(paused_s, "process was paused");
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.resumed_at = Some(now);
            }
        }
    }

    /// Called at the end of each event; `before`: where its effects begin in `out`.
    fn end_event(&mut self, now: Time, before: usize, out: &mut Vec<Effect>) {
        let ended = self.user_api.take_announcements();
        if !ended.is_empty() && !fault_injected!(self.faults, job_ends_not_announced) {
            // Ahead of the answers that tell the ends.
            let frames = Frame::jobs_ended(&ended).into_iter();
            let effects = frames.map(|frame| Effect::SendFrame {
                to: None,
                frame: encode(&frame),
            });
            out.splice(before..before, effects);
        }
        let effects = &mut out[before..];
        self.rewrite_delegated(effects);
        self.metrics.on_effects(now, effects);
    }

    /// Runs all parts until nothing more follows from what is known.
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

    /// Keeps the replicas as fresh as somebody needs them, and decides on pending changes.
    fn tick_replicas(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        let needs_fresh_jobs =
            self.user_api.needs_fresh_jobs() || self.admin_needs(PendingQueries::needs_fresh_jobs);
        let follow = self.scheduler.is_some();
        self.job_store
            .tick(now, needs_fresh_jobs, follow, &mut self.store);

        let query_waits = self.admin_needs(PendingQueries::needs_fresh_directives);
        let mut responses = Vec::new();
        self.directives
            .tick(now, wall, query_waits, &mut self.store, &mut responses);
        self.answer_directive_changes(responses, out);

        let query_waits = self.admin_needs(PendingQueries::needs_fresh_configuration);
        let lease_id = self.election.lease_id();
        let mut responses = Vec::new();
        self.configuration.tick(
            now,
            wall,
            (query_waits, lease_id),
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
        // Directives and teams as of before the takeover may have changed since.
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
        let liveness = LivenessView {
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

/// How long a leader may commit nothing while there is work, before it counts as stalled.
fn stalled_after_s(settings: &Settings) -> f64 {
    (settings.params.workers.lease_s * 0.5).clamp(5.0, 15.0)
}

/// The leader's share of the rate limit of the key-value store, which holds for all controllers
/// together. The leader does most of the work; a tenth is left for the differences of clocks
/// and late arrivals.
fn leader_share(settings: &Settings) -> f64 {
    if settings.members.is_empty() {
        0.9
    } else {
        0.55
    }
}

/// The share of each other controller.
fn follower_share(settings: &Settings) -> f64 {
    0.35 / settings.members.len().max(1) as f64
}
