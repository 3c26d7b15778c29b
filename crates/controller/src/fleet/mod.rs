//! Fleet controller: the leader tracks the machines that exist, computes the target capacity, and
//! calls the cloud to scale the fleet out or in.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `cloud_protocol` | the cloud's wire format |
//! | `cloud_calls` | call queue, rate limit and reply dispatch for the cloud API |
//! | `inventory` | machine inventory, read from the cloud's list |
//! | `machine_health` | detects failed, unbooted, unlisted and unreachable machines |
//! | `rentals`, `rental_record` | open and recent rentals, and their stored record |
//! | `capacity` | counts the machines that exist, boot or are requested |
//! | `scale_plan` | compares existing capacity with target capacity |
//! | `plan_report` | why no machine is rented for a pending job |
//! | `scale_out`, `scale_in` | request and release machines |
//! | `admin_views` | machine, pending-job and capacity-planning views of the admin API |
//!
//! The cloud's machine list is eventually consistent: it lags, and a later read may return an older
//! state. A machine that the cloud named in a reply to a rental therefore counts from that reply
//! on, and a machine that the list omits counts as removed only after the list has had time to
//! show it. A release that the cloud answered with status 200 is the only fast proof that
//! everything on the machine has ended.

use crate::calls::{FleetCall, Tag};
use crate::scheduler::Scheduler;
use crate::split::MachineType;
use crate::store::{Reply, StoreClient};
use beamhinge_core::settings::{OperatorSettings, Settings};
use beamhinge_core::types::{CallId, FencingToken, MachineId, Time, WallMs};
use beamhinge_failure_detection::{
    Connectivity, PauseDetector, PeerObservations, SilenceThresholds,
};
use cloud_calls::{CallRate, CatalogRefresh, CloudCall};
use instance::InstanceStatus;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use term::LeaderTerm;

mod admin_views;
mod capacity;
mod cloud_calls;
mod cloud_protocol;
mod instance;
mod inventory;
mod machine_health;
mod plan_report;
mod rental_record;
mod rentals;
mod scale_in;
mod scale_out;
mod scale_plan;
mod term;

pub use admin_views::MachineQuery;

/// Interval between two comparisons of the fleet with the target capacity, seconds.
const PLAN_INTERVAL_S: f64 = 0.5;

/// How long a peer's observation of a machine is valid, seconds. A worker that gets no reply
/// tries each controller in turn, so a peer may receive its report only once per round.
pub const MAX_PEER_OBSERVATION_AGE_S: f64 = 8.0;

/// Thresholds for machines that stop reporting, derived from the settings.
fn silence_thresholds(settings: &Settings) -> SilenceThresholds {
    let workers = &settings.params.workers;
    SilenceThresholds {
        dead_after_s: (workers.lease_s * 0.55).max(workers.report_s * 3.0),
        max_shield_s: workers.lease_s * 4.0,
        max_peer_age_s: MAX_PEER_OBSERVATION_AGE_S,
    }
}

/// State of this controller that the assessment of machine liveness depends on.
pub struct LivenessInputs<'a> {
    /// Detects pauses of this process.
    pub pause_detector: &'a PauseDetector,
    /// Machines that report to peers.
    pub peer_observations: &'a PeerObservations,
    /// Whether the key-value store recently confirmed that this controller is the leader.
    pub leadership_confirmed: bool,
}

/// Inputs of one tick of the fleet controller.
pub struct TickContext<'a> {
    /// Monotonic time.
    pub now: Time,
    /// Wall-clock time.
    pub wall: WallMs,
    /// The operators' parameters.
    pub operator: &'a OperatorSettings,
    /// The platform's settings.
    pub settings: &'a Settings,
    /// State of this controller that the liveness assessment depends on.
    pub liveness: &'a LivenessInputs<'a>,
}

/// The fleet controller. Every controller keeps the machine types; only the leader keeps the rest.
pub struct Fleet {
    call_rate: CallRate,
    /// Longest lag of the cloud's machine list, seconds.
    list_lag_s: f64,
    machine_types: Vec<MachineType>,
    catalog_refresh: CatalogRefresh,
    /// Calls in flight.
    calls: BTreeMap<CallId, CloudCall>,
    /// Calls that wait to be sent, in order.
    queue: VecDeque<CloudCall>,
    /// `None` while this controller is not the leader.
    term: Option<LeaderTerm>,
    #[cfg(feature = "faults")]
    faults: crate::faults::Faults,
}

impl Fleet {
    /// Creates the fleet controller of a controller that is not the leader.
    pub fn new(settings: &Settings) -> Fleet {
        Fleet {
            call_rate: CallRate::new(settings.params.cloud.rps),
            list_lag_s: settings.params.cloud.list_lag_s,
            machine_types: Vec::new(),
            catalog_refresh: CatalogRefresh::default(),
            calls: BTreeMap::new(),
            queue: VecDeque::new(),
            term: None,
            #[cfg(feature = "faults")]
            faults: crate::faults::Faults::default(),
        }
    }

    /// Sets the faults to inject into terms that begin from now on.
    #[cfg(feature = "faults")]
    pub fn set_faults(&mut self, faults: crate::faults::Faults) {
        self.faults = faults;
    }

    /// The machine types that the cloud offers; empty until the catalog has been read.
    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// Number of machines that are unreachable or acknowledge nothing but are not treated as lost,
    /// for example because a broken link is suspected.
    pub fn shielded_machines(&self) -> usize {
        self.term.as_ref().map_or(0, |t| t.health.shielded.len())
    }

    /// Which machines report to this controller and to its peers, as of the last assessment.
    pub fn connectivity(&self) -> Connectivity {
        self.term
            .as_ref()
            .map(|t| t.health.connectivity)
            .unwrap_or_default()
    }

    /// Begins a term: this controller is the leader from now on.
    pub fn begin_term(
        &mut self,
        now: Time,
        token: FencingToken,
        operator: &OperatorSettings,
        settings: &Settings,
    ) {
        self.queue.clear();
        let term = LeaderTerm::new(now, token, operator, settings);
        #[cfg(feature = "faults")]
        let term = LeaderTerm {
            faults: self.faults,
            ..term
        };
        self.term = Some(term);
    }

    /// Ends the term: another controller is the leader, or may be.
    pub fn end_term(&mut self) {
        self.term = None;
        self.queue.clear();
    }

    /// Addresses of the running machines for which no return is pending or in flight.
    pub fn endpoints(&self) -> impl Iterator<Item = (MachineId, SocketAddrV4)> + '_ {
        self.term
            .iter()
            .flat_map(|t| t.instances.iter())
            .filter(|(_, i)| i.is_retained() && i.status == InstanceStatus::Running)
            .filter_map(|(id, i)| Some((*id, i.endpoint?)))
    }

    /// Runs the work that is due: reads the catalog and the machine list, plans, and queues
    /// calls. `scheduler` is `None` unless this controller is the leader.
    pub fn tick(
        &mut self,
        context: &TickContext,
        scheduler: Option<&mut Scheduler>,
        store: &mut StoreClient<Tag>,
    ) {
        let now = context.now;
        if self.catalog_refresh.begin(now, scheduler.is_some()) {
            self.queue.push_front(CloudCall::Catalog);
        }
        let (Some(scheduler), Some(term)) = (scheduler, self.term.as_mut()) else {
            return;
        };
        if !self.machine_types.is_empty() && term.listing.begin_page(now) {
            self.queue.push_back(CloudCall::ListMachines);
        }
        term.rentals.persist(now, term.token, store);
        // A controller whose leadership is unconfirmed neither rents nor returns machines: after a
        // process pause or during a network partition, another leader may already have made new
        // decisions about the same machines.
        let may_scale = term.rentals.is_record_known()
            && scheduler.loaded()
            && context.liveness.leadership_confirmed;
        if !may_scale {
            return;
        }
        if now.since(term.planned_at) > PLAN_INTERVAL_S {
            term.planned_at = now;
            term.reconcile_fleet(context, self.list_lag_s, &self.machine_types, scheduler);
        }
        term.planner.persist(
            now,
            term.token,
            scheduler.run_time_ratios(),
            context.settings.value_limit(),
            store,
        );
        self.queue.extend(term.rentals.begin_ready_calls(now));
        let batch = term.begin_scale_in_batch(now);
        if !batch.is_empty() {
            self.queue.push_front(CloudCall::ScaleIn(batch));
        }
    }

    /// Handles a reply of the key-value store.
    pub fn on_store_reply(&mut self, now: Time, call: FleetCall, reply: Reply<Tag>) {
        let Some(term) = &mut self.term else { return };
        match call {
            FleetCall::ReadSplit => term.planner.on_read(now, reply),
            FleetCall::WriteSplit => term.planner.on_written(now, reply),
            FleetCall::ReadRentals => term.rentals.on_read_reply(now, term.token, reply.outcome),
            FleetCall::WriteRentals => term.rentals.on_write_reply(now, reply.outcome),
        }
    }
}

impl LeaderTerm {
    /// Updates the state of the machines, then requests or releases machines according to the plan.
    fn reconcile_fleet(
        &mut self,
        context: &TickContext,
        list_lag_s: f64,
        machine_types: &[MachineType],
        scheduler: &mut Scheduler,
    ) {
        if let Some(run_ratios) = self.planner.restored_run_ratios.take() {
            scheduler.restore_run_time_ratios(run_ratios);
        }
        self.check_machines(context, machine_types, scheduler);
        self.plan_and_scale(context, list_lag_s, machine_types, scheduler);
    }
}
