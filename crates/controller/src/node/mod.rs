//! One controller: the slices put together.
//!
//! Events and the time go in, [`Out`] messages come out. Nothing here touches
//! a socket or a clock, so tests run whole clusters in simulated time.

use crate::admin_api::{AdminApi, AdminLimits, PendingQueries};
use crate::calls::Tag;
use crate::configuration::Configuration;
use crate::directives::Directives;
use crate::faults::{broken, Faults};
use crate::fleet::{Fleet, LivenessView, TickContext};
use crate::job_store::JobStore;
use crate::leader_election::LeaderElection;
use crate::metrics::Metrics;
use crate::peers::PeerTable;
use crate::scheduler::Scheduler;
use crate::store::StoreClient;
use crate::user_api::UserApi;
use beamhinge_admin_api::auth::{Guard, Key};
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

/// Nonces that are remembered: each is kept for twice the allowed difference
/// of clocks, so this bounds the rate of signed requests.
const MAX_NONCES: usize = 8_192;

pub struct Node {
    settings: Settings,
    operator: OperatorSettings,
    store: StoreClient<Tag>,
    job_store: JobStore,
    user_api: UserApi,
    election: LeaderElection,
    scheduler: Option<Scheduler>,
    fleet: Fleet,
    peers: PeerTable,
    next_call: u64,
    /// Silent machines that were asked directly, and when.
    asked: BTreeMap<MachineId, Time>,
    /// Workers we told of our token directly, and when.
    nudged: BTreeMap<MachineId, Time>,
    nudges: BTreeMap<CallId, MachineId>,
    started: Time,
    stepped_back: Option<Time>,
    looked: Time,
    pause_detector: PauseDetector,
    /// Machines that tried us though we do not hold them.
    misrouted_workers: MisroutedWorkers,
    misrouted_announced_at: Time,
    /// What peers say they hear, for when we hold the block.
    peer_observations: PeerObservations,
    /// Watching over the holder, while we are none.
    leader_detector: FailureDetector,
    /// When we, as the holder, last told our token to our peers.
    heartbeat_sent: Time,
    stall_detector: StallDetector,
    /// Who was found stuck as a holder, and when.
    stuck: BTreeMap<String, Time>,
    directives: Directives,
    configuration: Configuration,
    /// None where no operators' address is set.
    admin_api: Option<AdminApi>,
    metrics: Metrics,
    measured: Time,
    /// Time of day at the last event.
    wall: WallMs,
    faults: Faults,
}

mod admin;
mod replies;
mod requests;
mod timers;

impl Node {
    /// `keys`: who may use the operators' door; none on loopback.
    pub fn new(
        settings: Settings,
        operator: OperatorSettings,
        keys: Vec<Key>,
        nonce: u64,
        now: Time,
    ) -> Node {
        let listener = operator.listener.as_ref();
        let admin_api = listener.map(|d| {
            let guard = Guard::new(keys, format!("{nonce:x}"), d.max_clock_skew_s, MAX_NONCES);
            AdminApi::new(
                guard,
                AdminLimits {
                    max_waiting: d.max_pending,
                    max_rps: d.rps,
                },
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
            nudged: BTreeMap::new(),
            asked: BTreeMap::new(),
            nudges: BTreeMap::new(),
            started: now,
            stepped_back: None,
            looked: Time::default(),
            pause_detector: PauseDetector::new(1.0_f64.max(settings.params.workers.report_s * 0.4)),
            misrouted_workers: MisroutedWorkers::default(),
            misrouted_announced_at: Time::default(),
            peer_observations: PeerObservations::default(),
            leader_detector: FailureDetector::default(),
            heartbeat_sent: Time::default(),
            stall_detector: StallDetector::new(stuck_after_s(&settings)),
            stuck: BTreeMap::new(),
            directives: Directives::default(),
            configuration: Configuration::new(&settings, operator.configuration, nonce),
            metrics: Metrics::new(admin_api.is_some()),
            admin_api,
            measured: Time::default(),
            wall: WallMs::default(),
            faults: Faults::default(),
            settings,
            operator,
        }
    }

    /// Puts faults of old back; for tests that must find them.
    #[cfg(feature = "faults")]
    pub fn put_back(&mut self, faults: Faults) {
        self.faults = faults;
        self.fleet.set_faults(faults);
        self.election.faults = faults;
        self.user_api.faults = faults;
        self.configuration.half_applied = faults.half_applied;
    }

    pub fn is_leader(&self) -> bool {
        self.scheduler.is_some()
    }

    pub fn scheduler(&self) -> Option<&Scheduler> {
        self.scheduler.as_ref()
    }

    /// Something happens here: we are there, and may not have been.
    fn awake(&mut self, now: Time, wall: WallMs) {
        self.wall = wall;
        if let Some(away_s) = self.pause_detector.observe(now) {
            tracing::warn!("this controller stood still for {away_s:.1} s");
            if let Some(scheduler) = &mut self.scheduler {
                scheduler.resumed_at = Some(now);
            }
        }
    }

    /// What a step sent out, as operators see it.
    fn finish(&mut self, now: Time, before: usize, out: &mut Vec<Effect>) {
        let ended = self.user_api.take_announcements();
        if !ended.is_empty() && !broken!(self.faults, no_word) {
            // Before the answers themselves.
            let tell = |frame| Effect::SendFrame {
                to: None,
                frame: encode(&frame),
            };
            out.splice(
                before..before,
                Frame::jobs_ended(&ended).into_iter().map(tell),
            );
        }
        let new = &mut out[before..];
        self.rewrite_delegated(new);
        self.metrics.on_effects(now, new);
    }

    fn tick_configuration(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        let asked = self.admin_needs(PendingQueries::needs_fresh_configuration);
        let lease_id = self.election.lease_id();
        let mut told = Vec::new();
        self.configuration
            .tick(now, wall, (asked, lease_id), &mut self.store, &mut told);
        self.answer_configuration_changes(told, out);
    }

    /// All loops, until nothing more follows from what is known.
    fn run(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        for _ in 0..4 {
            self.election.tick(now, &mut self.store);
            let follow = self.scheduler.is_some();
            let asks = self.admin_needs(PendingQueries::needs_fresh_jobs);
            self.job_store.tick(
                now,
                self.user_api.needs_fresh_jobs() || asks,
                follow,
                &mut self.store,
            );
            let mut told = Vec::new();
            let asks = self.admin_needs(PendingQueries::needs_fresh_directives);
            self.directives
                .tick(now, wall, asks, &mut self.store, &mut told);
            self.answer_directive_changes(told, out);
            self.tick_configuration(now, wall, out);
            self.user_api
                .tick(now, &self.job_store, &mut self.store, out);
            let may_place = self.entitled(now);
            let directed = self.directives.fresh_as_of();
            if let Some(scheduler) = &mut self.scheduler {
                // Drains as of before the takeover would be forgotten else.
                let known = !self.configuration.is_enabled()
                    || self
                        .configuration
                        .fresh_as_of()
                        .is_some_and(|f| f >= scheduler.acquired_at());
                let may_place =
                    may_place && known && directed.is_some_and(|f| f >= scheduler.acquired_at());
                let runs_until = self.configuration.starts_allowed_until();
                scheduler.set_configuration_condition(self.configuration.condition(), runs_until);
                scheduler.tick(
                    now,
                    wall,
                    may_place,
                    &self.settings,
                    self.fleet.machine_types(),
                    &self.job_store,
                    &mut self.store,
                );
                if scheduler.loaded() {
                    self.metrics.on_state_loaded(now);
                }
            }
            let liveness = LivenessView {
                pause_detector: &self.pause_detector,
                peer_observations: &self.peer_observations,
                leadership_confirmed: self.acting(now),
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
            self.stop_tasks(now, out);
            self.store.flush(now, &mut self.next_call, out);
            self.fleet.flush(now, &mut self.next_call, out);
            self.run_admin_api(now, wall, out);
            let refused = self.store.take_refused();
            if refused.is_empty() {
                break;
            }
            for reply in refused {
                self.route(now, reply, out);
            }
        }
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
        self.awake(now, wall);
        let before = out.len();
        if listener == ADMIN_LISTENER {
            self.on_admin_request(now, wall, id, &request, out);
            self.run(now, wall, out);
        } else {
            self.take_request(now, wall, id, request, out);
        }
        self.finish(now, before, out);
    }

    fn on_reply(
        &mut self,
        now: Time,
        wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        out: &mut Vec<Effect>,
    ) {
        self.awake(now, wall);
        let before = out.len();
        self.take_reply(now, wall, id, result, out);
        self.finish(now, before, out);
    }

    fn on_frame(&mut self, now: Time, wall: WallMs, frame: Frame, out: &mut Vec<Effect>) {
        self.awake(now, wall);
        let before = out.len();
        self.take_frame(now, frame, out);
        self.finish(now, before, out);
    }

    fn on_tick(&mut self, now: Time, wall: WallMs, out: &mut Vec<Effect>) {
        self.awake(now, wall);
        let before = out.len();
        self.take_tick(now, wall, out);
        self.finish(now, before, out);
    }
}

/// How long a holder may commit nothing while there is work.
fn stuck_after_s(settings: &Settings) -> f64 {
    (settings.params.workers.lease_s * 0.5).clamp(5.0, 15.0)
}

/// The doors of a controller, by their place in the loop's list.
pub const ADMIN_LISTENER: usize = 1;

/// The state service's limits hold for all controllers together. The holder
/// does most of the work; a tenth is left for clocks and late arrivals.
fn leader_share(settings: &Settings) -> f64 {
    if settings.members.is_empty() {
        0.9
    } else {
        0.55
    }
}

/// Part of a holder's writes for taking jobs in, while placing and ends wait: each job
/// taken in costs it one more write when it ends, and its tasks a row.
const LEADER_ADMISSION_SHARE: f64 = 0.3;

fn follower_share(settings: &Settings) -> f64 {
    0.35 / settings.members.len().max(1) as f64
}
