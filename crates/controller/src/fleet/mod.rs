//! The fleet controller of the leader: what machines there are, which are wanted, and the calls
//! to the cloud that close the gap.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `cloud_protocol` | the cloud's wire format |
//! | `cloud_calls` | queue, rate and replies of calls to the cloud |
//! | `inventory` | the list of machines |
//! | `machine_health` | machines that failed, never booted, vanished or fell silent |
//! | `rentals`, `rental_record` | open requests for machines, and their stored record |
//! | `scale_plan` | compares what there is with what is wanted |
//! | `scale_out`, `scale_in` | requests and releases machines |
//! | `forecast` | what the admin API shows of the fleet |
//!
//! The cloud's machine list lags and may step back. A machine that the cloud named in a reply
//! therefore counts from then on, and one that the list omits counts as gone only once the list
//! has had time to show it. A release that was answered with 200 is the one quick proof that
//! everything on a machine has ended.

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

mod cloud_calls;
mod cloud_protocol;
mod forecast;
mod instance;
mod inventory;
mod machine_health;
mod rental_record;
mod rentals;
mod scale_in;
mod scale_out;
mod scale_plan;
mod term;

pub use forecast::MachineQuery;

/// Seconds between two comparisons of the fleet with what is wanted.
const PLAN_INTERVAL_S: f64 = 0.5;

/// How long a peer's observation of a machine counts, seconds: a worker that nobody answers
/// tries each controller in turn.
pub const MAX_PEER_OBSERVATION_AGE_S: f64 = 8.0;

/// How long silence is tolerated, by the settings.
fn silence_thresholds(settings: &Settings) -> SilenceThresholds {
    let workers = &settings.params.workers;
    SilenceThresholds {
        dead_after_s: (workers.lease_s * 0.55).max(workers.report_s * 3.0),
        max_shield_s: workers.lease_s * 4.0,
        max_peer_age_s: MAX_PEER_OBSERVATION_AGE_S,
    }
}

/// What the controller knows of itself when it judges whether machines are alive.
pub struct LivenessView<'a> {
    /// Pauses of this process.
    pub pause_detector: &'a PauseDetector,
    /// Machines that peers hear.
    pub peer_observations: &'a PeerObservations,
    /// Whether the key-value store confirmed recently that this controller leads.
    pub leadership_confirmed: bool,
}

/// What a tick of the fleet rests on.
pub struct TickContext<'a> {
    /// Monotonic time.
    pub now: Time,
    /// Time of day.
    pub wall: WallMs,
    /// The operators' parameters.
    pub operator: &'a OperatorSettings,
    /// The platform's settings.
    pub settings: &'a Settings,
    /// What is known of this controller itself.
    pub liveness: &'a LivenessView<'a>,
}

/// The fleet controller. Machine types are kept by every controller, all else by the leader.
pub struct Fleet {
    call_rate: CallRate,
    /// How far the cloud's list may lag, seconds.
    list_lag_s: f64,
    machine_types: Vec<MachineType>,
    catalog_refresh: CatalogRefresh,
    /// Calls in flight.
    calls: BTreeMap<CallId, CloudCall>,
    /// Calls that wait to be sent.
    queue: VecDeque<CloudCall>,
    /// None while another controller leads.
    term: Option<LeaderTerm>,
    #[cfg(feature = "faults")]
    faults: crate::faults::Faults,
}

impl Fleet {
    /// A fleet controller that does not lead.
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

    /// Sets the faults that terms which begin from now on are tested with.
    #[cfg(feature = "faults")]
    pub fn set_faults(&mut self, faults: crate::faults::Faults) {
        self.faults = faults;
    }

    /// The machine types on offer; empty until the catalog was read.
    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// Number of silent machines that are not given up, since a link is taken for broken.
    pub fn shielded_machines(&self) -> usize {
        self.term.as_ref().map_or(0, |t| t.health.shielded.len())
    }

    /// Machines that this controller and its peers hear, as of the last assessment.
    pub fn connectivity(&self) -> Connectivity {
        self.term
            .as_ref()
            .map(|t| t.health.connectivity)
            .unwrap_or_default()
    }

    /// This controller leads from now on.
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

    /// Another controller leads, or may lead.
    pub fn end_term(&mut self) {
        self.term = None;
        self.queue.clear();
    }

    /// Addresses of the running machines that are not being returned.
    pub fn endpoints(&self) -> impl Iterator<Item = (MachineId, SocketAddrV4)> + '_ {
        self.term
            .iter()
            .flat_map(|t| t.instances.iter())
            .filter(|(_, i)| i.is_retained() && i.status == InstanceStatus::Running)
            .filter_map(|(id, i)| Some((*id, i.endpoint?)))
    }

    /// Runs what is due: reads lists, plans, and queues calls. `scheduler` is none unless this
    /// controller leads.
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
            self.queue.push_back(CloudCall::ListHosts);
        }
        term.rentals.persist(now, term.token, store);
        // A controller that is not sure to lead neither rents nor returns: after a pause of its
        // process, or while it is cut off, it would act on what another leader decided anew.
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
        self.queue.extend(term.rentals.take_ready(now));
        let batch = term.take_scale_in_batch(now);
        if !batch.is_empty() {
            self.queue.push_front(CloudCall::ScaleIn(batch));
        }
    }

    /// Takes in a reply of the key-value store.
    pub fn on_store_reply(&mut self, now: Time, call: FleetCall, reply: Reply<Tag>) {
        let Some(term) = &mut self.term else { return };
        match call {
            FleetCall::ReadSplit => term.planner.on_read(now, reply),
            FleetCall::WriteSplit => term.planner.on_written(now, reply),
            FleetCall::ReadRentals => term.rentals.on_read(now, term.token, reply.outcome),
            FleetCall::WriteRentals => term.rentals.on_written(now, reply.outcome),
        }
    }
}

impl LeaderTerm {
    /// Updates what is known of the machines, and requests or releases what the plan asks for.
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
