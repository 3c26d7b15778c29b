//! The leader's cloud loop: what machines there are, which are wanted, and the
//! calls that close the gap.
//!
//! The machine list lags and may step back, so a machine that the cloud named
//! in an answer counts from then on, and one that is missing counts as gone
//! only once the list has had time to know. A release answered with 200 is the
//! one quick proof that everything on a machine has ended.

use crate::calls::{FleetCall, Tag};
use crate::directives::ActiveDirectives;
use crate::market::Splits;
use crate::scheduler::{Machine, Scheduler};
use crate::split::MachineType;
use crate::store::{Committed, Outcome, Priority, Reply, Scan, StoreClient};
use beamhinge_admin_api::directives::Directive;
use beamhinge_admin_api::messages::What;
use beamhinge_core::http::Method;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::settings::{Operator, Settings};
use beamhinge_core::types::{CallId, FencingToken, MachineId, Revision, Time, WallMs};
use beamhinge_core::wire;
use beamhinge_failure_detection::{
    Connectivity, FailureDomain, Liveness, MachineObservation, PauseDetector, PeerObservations,
    SilenceDetector, SilenceThresholds,
};
use beamhinge_rate_limit::{AdaptiveBackoff, RetryAction};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

mod forecast;
mod inventory;
mod scale_plan;

const RENTALS_KEY: &str = "fleet/rentals";
const RENTALS_PREFIX: &str = "fleet/";
const MAX_PER_RENTAL: u32 = 50;
/// The cloud charges a machine for at least this long.
const MIN_CHARGE_S: f64 = 60.0;
/// How long an on-demand machine that no split needs may stand idle.
const ORDINARY_IDLE_S: f64 = 8.0;
const MAX_PER_RELEASE: usize = 100;
/// How long a market is left alone that calls a rental malformed.
const MALFORMED_S: f64 = 60.0;

/// How long silence is borne, by the settings.
fn silence_thresholds(settings: &Settings) -> SilenceThresholds {
    let w = &settings.params.workers;
    SilenceThresholds {
        dead_after_s: (w.lease_s * 0.55).max(w.report_s * 3.0),
        max_shield_s: w.lease_s * 4.0,
        max_peer_age_s: MAX_PEER_OBSERVATION_AGE_S,
    }
}

/// How long a peer's word on whom it hears counts, seconds: a worker that nobody
/// answers tries each controller in turn.
pub const MAX_PEER_OBSERVATION_AGE_S: f64 = 8.0;

#[derive(Deserialize)]
struct Flavors {
    #[serde(rename = "shapes")]
    machine_types: Vec<Flavor>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Flavor {
    label: String,
    #[serde(deserialize_with = "wire::amount")]
    vcpus: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    cards: f64,
    #[serde(deserialize_with = "wire::amount")]
    memory_gb: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    cache_gb: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    fetch_gb_per_s: f64,
    #[serde(deserialize_with = "wire::amount")]
    rate: f64,
    #[serde(deserialize_with = "wire::amount")]
    low_price: f64,
    #[serde(deserialize_with = "wire::amount")]
    boot_s: f64,
    yards: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HostRow {
    name_id: String,
    #[serde(default)]
    endpoint: Option<String>,
    #[serde(rename = "shape")]
    machine_type: String,
    yard: String,
    loaners: bool,
    status: String,
    #[serde(deserialize_with = "wire::amount")]
    held_s: f64,
}

#[derive(Deserialize)]
struct HostList {
    hosts: Vec<HostRow>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct Rented {
    hosts: Vec<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RentBody<'a> {
    rental: &'a str,
    #[serde(rename = "shape")]
    machine_type: &'a str,
    yard: &'a str,
    loaners: bool,
    how_many: u32,
}

#[derive(Serialize)]
struct ReleaseBody {
    hosts: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Starting,
    Running,
    Failed,
}

#[derive(Debug)]
struct Instance {
    machine_type: usize,
    zone: String,
    spot: bool,
    status: Status,
    rented: Time,
    listed: Option<Time>,
    endpoint: Option<SocketAddrV4>,
    /// Not rented by the service: it was there before us and stays.
    owned: bool,
    /// Complete lists in a row that do not name it, though they must.
    missing: u32,
    release: Release,
}

impl Instance {
    /// What our books have tasks on, or the list calls running, was up under an
    /// earlier holder: if it does not report it is silent, and may yet wake.
    fn was_up(&self, m: Option<&Machine>) -> bool {
        self.status == Status::Running || m.is_some_and(|m| !m.is_empty())
    }
}

/// What the controller knows of itself when it judges others.
pub struct LivenessView<'a> {
    pub pause_detector: &'a PauseDetector,
    /// What peers hear.
    pub peer_observations: &'a PeerObservations,
    /// The state service confirmed lately that we hold the block.
    pub leadership_confirmed: bool,
}

/// The drain that a machine of the cloud's is under.
fn drain_of<'a>(
    id: MachineId,
    i: &Instance,
    machine_types: &[MachineType],
    active_directives: &'a ActiveDirectives,
) -> Option<&'a Rc<Directive>> {
    if active_directives.is_empty() {
        return None;
    }
    active_directives.drain_of(
        id,
        machine_types
            .get(i.machine_type)
            .map_or("", |s| s.label.as_str()),
        &i.zone,
    )
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    No,
    /// Not yet asked for; `Silent` is taken back if the machine reports again.
    Wanted,
    Dead,
    InFlight,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RentalRow {
    name: String,
    #[serde(rename = "shape")]
    machine_type: String,
    zone: String,
    spot: bool,
    count: u32,
}

#[derive(Serialize, Deserialize)]
struct RentalRecord {
    v: u32,
    rentals: Vec<RentalRow>,
    /// Machines that were there before the service rented any.
    #[serde(default)]
    owned: Vec<String>,
    /// First and last of their names in a row, where all names would be too
    /// long for one value.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    spans: Vec<(String, String)>,
}

impl RentalRecord {
    fn owned(&self) -> Vec<MachineId> {
        let spans = self.spans.iter().filter_map(|(first, last)| {
            Some(MachineId::parse(first)?.row_to(MachineId::parse(last)?))
        });
        self.owned
            .iter()
            .filter_map(|m| MachineId::parse(m))
            .chain(spans.flatten())
            .collect()
    }
}

#[derive(Debug)]
struct Rental {
    row: RentalRow,
    machine_type: usize,
    recorded: bool,
    in_flight: bool,
    tried: bool,
    retry_at: Time,
}

#[derive(Debug)]
enum CloudCall {
    Flavors,
    List,
    Rent(String),
    Release(Vec<MachineId>),
}

/// What the leader keeps for one term.
struct Term {
    token: FencingToken,
    began: Time,
    instances: BTreeMap<MachineId, Instance>,
    rentals: Vec<Rental>,
    next_rental: u64,
    refused: BTreeMap<(usize, String, bool), Time>,
    record: Option<Revision>,
    record_in_flight: bool,
    written: Vec<String>,
    list_in_flight: bool,
    list_at: Time,
    list_after: Option<String>,
    /// When the pass over the list began that is under way.
    pass_began: Time,
    lists: u32,
    released: BTreeMap<MachineId, Time>,
    retry_at: Time,
    /// How the record of rentals is tried again.
    backoff: AdaptiveBackoff,
    /// How releases are.
    releases: AdaptiveBackoff,
    decided: Time,
    /// When machines to return were last looked for.
    returned: Time,
    owned: Option<Vec<MachineId>>,
    /// Rented lately by us: kept in the record until every list shows them.
    lately: Vec<(Time, RentalRow)>,
    /// Rentals that an earlier leader recorded: the list may not show them yet.
    inherited: Vec<RentalRow>,
    splits: Splits,
    silence_detector: SilenceDetector,
    /// Our link to the machines, at the last look.
    link: Connectivity,
    /// Silent together, and for how long their group is suspected, seconds.
    shielded: BTreeMap<MachineId, f64>,
    groups: Vec<(FailureDomain, f64)>,
    #[cfg(feature = "faults")]
    faults: crate::faults::Faults,
}

pub struct Fleet {
    rate: f64,
    level: f64,
    filled: Time,
    lag_s: f64,
    machine_types: Vec<MachineType>,
    flavors_in_flight: bool,
    flavors_at: Option<Time>,
    flavors_retry: Time,
    calls: BTreeMap<CallId, CloudCall>,
    queue: VecDeque<CloudCall>,
    term: Option<Term>,
    #[cfg(feature = "faults")]
    faults: crate::faults::Faults,
}

impl Fleet {
    pub fn new(settings: &Settings) -> Fleet {
        Fleet {
            rate: settings.params.cloud.rps * 0.9,
            level: 1.0,
            filled: Time::default(),
            lag_s: settings.params.cloud.list_lag_s,
            machine_types: Vec::new(),
            flavors_in_flight: false,
            flavors_at: None,
            flavors_retry: Time::default(),
            calls: BTreeMap::new(),
            queue: VecDeque::new(),
            term: None,
            #[cfg(feature = "faults")]
            faults: Default::default(),
        }
    }

    #[cfg(feature = "faults")]
    pub fn set_faults(&mut self, faults: crate::faults::Faults) {
        self.faults = faults;
    }

    pub fn machine_types(&self) -> &[MachineType] {
        &self.machine_types
    }

    /// Machines behind a link that is taken for broken.
    pub fn shielded_machines(&self) -> usize {
        self.term.as_ref().map_or(0, |t| t.shielded.len())
    }

    /// How our link to the machines looked last: what is heard here and elsewhere.
    pub fn connectivity(&self) -> Connectivity {
        self.term.as_ref().map(|t| t.link).unwrap_or_default()
    }

    pub fn begin_term(
        &mut self,
        now: Time,
        token: FencingToken,
        operator: &Operator,
        settings: &Settings,
    ) {
        self.queue.clear();
        self.term = Some(Term {
            token,
            began: now,
            instances: BTreeMap::new(),
            rentals: Vec::new(),
            next_rental: 0,
            refused: BTreeMap::new(),
            record: None,
            record_in_flight: false,
            written: Vec::new(),
            list_in_flight: false,
            list_at: Time::default(),
            list_after: None,
            pass_began: Time::default(),
            lists: 0,
            released: BTreeMap::new(),
            retry_at: Time::default(),
            backoff: AdaptiveBackoff::new(0.2, 5.0),
            releases: AdaptiveBackoff::new(1.0, 8.0),
            decided: Time::default(),
            returned: Time::default(),
            owned: None,
            lately: Vec::new(),
            inherited: Vec::new(),
            splits: Splits::new(operator, token, now),
            silence_detector: SilenceDetector::new(silence_thresholds(settings)),
            #[cfg(feature = "faults")]
            faults: self.faults,
            link: Connectivity::default(),
            shielded: BTreeMap::new(),
            groups: Vec::new(),
        });
    }

    pub fn end_term(&mut self) {
        self.term = None;
        self.queue.clear();
    }

    pub fn owns_call(&self, id: CallId) -> bool {
        self.calls.contains_key(&id)
    }

    pub fn endpoints(&self) -> impl Iterator<Item = (MachineId, SocketAddrV4)> + '_ {
        self.term
            .iter()
            .flat_map(|t| t.instances.iter())
            .filter(|(_, i)| i.release == Release::No && i.status == Status::Running)
            .filter_map(|(id, i)| Some((*id, i.endpoint?)))
    }

    // ---- loops ----

    #[allow(clippy::too_many_arguments)]
    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        operator: &Operator,
        settings: &Settings,
        liveness: &LivenessView,
        scheduler: Option<&mut Scheduler>,
        store: &mut StoreClient<Tag>,
    ) {
        let stale = self
            .flavors_at
            .is_none_or(|t| now.since(t) > if scheduler.is_some() { 30.0 } else { 120.0 });
        if stale && !self.flavors_in_flight && now >= self.flavors_retry {
            self.flavors_in_flight = true;
            self.queue.push_front(CloudCall::Flavors);
        }
        let (Some(scheduler), Some(term)) = (scheduler, self.term.as_mut()) else {
            return;
        };
        if !term.list_in_flight && now.since(term.list_at) > 1.5 && !self.machine_types.is_empty() {
            term.list_in_flight = true;
            if term.list_after.is_none() {
                term.pass_began = now;
            }
            self.queue.push_back(CloudCall::List);
        }
        term.keep_record(now, store);
        // Who is not sure to hold the block rents and returns nothing: a holder
        // that stood still, or is cut off, would act on what others decided anew.
        if term.record.is_none() || !scheduler.loaded() || !liveness.leadership_confirmed {
            return;
        }
        if now.since(term.decided) > 0.5 {
            term.decided = now;
            if let Some(runs) = term.splits.runs.take() {
                scheduler.restore_runs(runs);
            }
            term.watch_machines(now, &self.machine_types, settings, liveness, scheduler);
            term.decide(
                now,
                wall,
                self.lag_s,
                &self.machine_types,
                operator,
                settings,
                scheduler,
            );
        }
        term.splits.keep(
            now,
            term.token,
            scheduler.runs(),
            settings.value_limit(),
            store,
        );
        let ready = term
            .rentals
            .iter_mut()
            .filter(|r| r.recorded && !r.in_flight && now >= r.retry_at);
        for r in ready {
            r.in_flight = true;
            self.queue.push_back(CloudCall::Rent(r.row.name.clone()));
        }
        let mut batch = Vec::new();
        // Not after every report: that would cost the whole fleet each time.
        if now.since(term.returned) >= 0.1 && term.releases.is_due(now) {
            term.returned = now;
            let wanted = term
                .instances
                .iter_mut()
                .filter(|(_, i)| matches!(i.release, Release::Wanted | Release::Dead));
            let most = (MAX_PER_RELEASE / term.releases.divisor()).max(1);
            for (id, i) in wanted.take(most) {
                i.release = Release::InFlight;
                batch.push(*id);
            }
        }
        if !batch.is_empty() {
            self.queue.push_front(CloudCall::Release(batch));
        }
    }

    pub fn flush(&mut self, now: Time, next_call: &mut u64, out: &mut Vec<Effect>) {
        self.level = (self.level + now.since(self.filled) * self.rate).min(self.rate);
        self.filled = now;
        while self.level >= 1.0 {
            let Some(call) = self.queue.pop_front() else {
                break;
            };
            let (method, path, body) = match &call {
                CloudCall::Flavors => (Method::Get, "/flavors".to_string(), Vec::new()),
                CloudCall::List => {
                    let after = self.term.as_ref().and_then(|t| t.list_after.clone());
                    let path = match after {
                        Some(a) => format!("/hosts?since={a}&most=500"),
                        None => "/hosts?most=500".to_string(),
                    };
                    (Method::Get, path, Vec::new())
                }
                CloudCall::Rent(name) => {
                    let Some(r) = self
                        .term
                        .as_ref()
                        .and_then(|t| t.rentals.iter().find(|r| r.row.name == *name))
                    else {
                        continue;
                    };
                    let body = wire::encode(&RentBody {
                        rental: &r.row.name,
                        machine_type: &r.row.machine_type,
                        yard: &r.row.zone,
                        loaners: r.row.spot,
                        how_many: r.row.count,
                    });
                    (Method::Post, "/hosts".to_string(), body)
                }
                CloudCall::Release(ids) => {
                    let hosts = ids.iter().map(|i| i.to_string()).collect();
                    (
                        Method::Post,
                        "/hosts/release".to_string(),
                        wire::encode(&ReleaseBody { hosts }),
                    )
                }
            };
            self.level -= 1.0;
            *next_call += 1;
            let id = CallId(*next_call);
            self.calls.insert(id, call);
            out.push(Effect::Call {
                id,
                destination: Destination::Cloud,
                method,
                path,
                body,
                timeout_s: 4.0,
            });
        }
    }

    // ---- replies ----

    pub fn on_cloud_reply(
        &mut self,
        now: Time,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        scheduler: Option<&mut Scheduler>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let ok = match &result {
            Some((200, body)) => Some(body.as_slice()),
            _ => None,
        };
        match call {
            CloudCall::Flavors => {
                self.flavors_in_flight = false;
                match ok.and_then(|b| wire::decode::<Flavors>(b).ok()) {
                    Some(f) => self.take_flavors(now, f),
                    None => self.flavors_retry = now.plus(1.0),
                }
            }
            CloudCall::List => {
                let Some(term) = &mut self.term else { return };
                term.list_in_flight = false;
                match ok.and_then(|b| wire::decode::<HostList>(b).ok()) {
                    Some(list) => term.take_list(now, self.lag_s, list, &self.machine_types),
                    None => {
                        term.list_after = None;
                        term.list_at = now;
                    }
                }
            }
            CloudCall::Rent(name) => {
                let Some(term) = &mut self.term else { return };
                let Some(at) = term.rentals.iter().position(|r| r.row.name == name) else {
                    return;
                };
                match result {
                    Some((200, body)) => {
                        let hosts = wire::decode::<Rented>(&body)
                            .map(|r| r.hosts)
                            .unwrap_or_default();
                        let r = term.rentals.remove(at);
                        tracing::info!(
                            "rented {} of {} {} in {} spot={}",
                            hosts.len(),
                            r.row.count,
                            r.row.machine_type,
                            r.row.zone,
                            r.row.spot
                        );
                        if let Some(scheduler) = scheduler {
                            scheduler.event_log.note(|| What::Rented {
                                machine_type: r.row.machine_type.clone(),
                                zone: r.row.zone.clone(),
                                spot: r.row.spot,
                                asked: r.row.count,
                                got: hosts.len() as u32,
                            });
                        }
                        if hosts.len() < r.row.count as usize {
                            term.refused.insert(
                                (r.machine_type, r.row.zone.clone(), r.row.spot),
                                now.plus(10.0),
                            );
                        }
                        for id in hosts.iter().filter_map(|h| MachineId::parse(h)) {
                            term.instances.entry(id).or_insert(Instance {
                                machine_type: r.machine_type,
                                zone: r.row.zone.clone(),
                                spot: r.row.spot,
                                status: Status::Starting,
                                rented: now,
                                listed: None,
                                endpoint: None,
                                owned: false,
                                missing: 0,
                                release: Release::No,
                            });
                        }
                        if !hosts.is_empty() {
                            let row = RentalRow {
                                count: hosts.len() as u32,
                                ..r.row
                            };
                            term.lately.push((now, row));
                        }
                    }
                    Some((503, body)) => {
                        let r = &mut term.rentals[at];
                        r.in_flight = false;
                        #[derive(Deserialize)]
                        struct Error {
                            #[serde(default)]
                            error: String,
                        }
                        let error = wire::decode::<Error>(&body)
                            .map(|e| e.error)
                            .unwrap_or_default();
                        if error == "no capacity" {
                            // Certainly nothing rented under this name: drop
                            // it, and ask this market again a little later.
                            tracing::debug!(
                                "no capacity: {} {} spot={}",
                                r.row.machine_type,
                                r.row.zone,
                                r.row.spot
                            );
                            if let Some(scheduler) = scheduler {
                                scheduler.event_log.note(|| What::Refused {
                                    machine_type: r.row.machine_type.clone(),
                                    zone: r.row.zone.clone(),
                                    spot: r.row.spot,
                                });
                            }
                            let key = (r.machine_type, r.row.zone.clone(), r.row.spot);
                            let tried = r.tried;
                            if tried {
                                // An earlier send of this name may yet act.
                                r.retry_at = now.plus(2.0);
                            } else {
                                term.rentals.remove(at);
                            }
                            term.refused.insert(key, now.plus(10.0));
                        } else {
                            r.retry_at = now.plus(2.0);
                        }
                    }
                    Some((429, _)) => {
                        let r = &mut term.rentals[at];
                        r.in_flight = false;
                        r.retry_at = now.plus(0.5);
                        self.level = self.level.min(0.0);
                    }
                    Some((400, _)) => {
                        // The same under another name would be refused again,
                        // twice a second and with a write each time.
                        tracing::error!("the cloud calls rental {name} malformed");
                        let r = term.rentals.remove(at);
                        let key = (r.machine_type, r.row.zone, r.row.spot);
                        term.refused.insert(key, now.plus(MALFORMED_S));
                    }
                    // A lost reply: the same name again rents nothing twice.
                    _ => {
                        let r = &mut term.rentals[at];
                        r.in_flight = false;
                        r.tried = true;
                        r.retry_at = now.plus(1.0);
                        #[cfg(feature = "faults")]
                        if term.faults.new_rental {
                            r.row.name.push('x');
                        }
                    }
                }
            }
            CloudCall::Release(ids) => {
                let Some(term) = &mut self.term else { return };
                if ok.is_some() {
                    if let Some(scheduler) = scheduler {
                        for id in &ids {
                            scheduler.machine_gone(now, *id);
                        }
                    }
                    for id in ids {
                        term.instances.remove(&id);
                        term.released.insert(id, now);
                    }
                    term.releases.on_success();
                    return;
                }
                let malformed = matches!(&result, Some((400, _)));
                let aside = if malformed {
                    term.releases.malformed(now) == RetryAction::SetAside
                } else {
                    term.releases.on_refused(now);
                    false
                };
                if aside {
                    // What the cloud will not take back keeps no other machine.
                    tracing::error!("the cloud refuses the release of {ids:?}; they are left");
                    term.releases.on_success();
                    return;
                }
                for id in ids {
                    if let Some(i) = term.instances.get_mut(&id) {
                        i.release = Release::Wanted;
                    }
                }
            }
        }
    }

    fn take_flavors(&mut self, now: Time, f: Flavors) {
        let machine_types: Vec<MachineType> = f
            .machine_types
            .into_iter()
            .map(|s| MachineType {
                label: s.label,
                cpus: s.vcpus,
                gpus: s.cards,
                memory_gb: s.memory_gb,
                cache_gb: s.cache_gb,
                fetch_gb_per_s: s.fetch_gb_per_s,
                rate: s.rate,
                low_price: s.low_price,
                boot_s: s.boot_s,
                zones: s.yards,
            })
            .collect();
        self.flavors_at = Some(now);
        if self.machine_types.is_empty() {
            self.machine_types = machine_types;
            return;
        }
        // Machines refer to types by place: keep the order, take new prices.
        for s in machine_types {
            match self.machine_types.iter_mut().find(|o| o.label == s.label) {
                Some(old) => *old = s,
                None => self.machine_types.push(s),
            }
        }
    }

    pub fn on_store_reply(&mut self, now: Time, call: FleetCall, reply: Reply<Tag>) {
        let Some(term) = &mut self.term else { return };
        match call {
            FleetCall::ReadSplit => return term.splits.on_read(now, reply),
            FleetCall::WriteSplit => return term.splits.on_written(now, reply),
            FleetCall::ReadRentals | FleetCall::WriteRentals => {}
        }
        term.record_in_flight = false;
        match (call, reply.outcome) {
            (FleetCall::ReadRentals, Outcome::Ok(body)) => {
                let Ok(scan) = wire::decode::<Scan>(&body) else {
                    return;
                };
                let found = scan.pairs.iter().find(|p| p.path == RENTALS_KEY);
                term.record = Some(Revision(found.map_or(0, |p| p.revision)));
                term.written.clear();
                if let Some(p) = found {
                    match wire::from_value::<RentalRecord>(&p.value) {
                        Ok(r) if r.v == 1 => {
                            term.written = r.rentals.iter().map(|x| x.name.clone()).collect();
                            let ours = format!("r-{}-", term.token.0);
                            let owned = r.owned();
                            term.inherited = r.rentals;
                            term.inherited.retain(|x| !x.name.starts_with(&ours));
                            term.owned.get_or_insert(owned);
                        }
                        _ => {
                            tracing::error!(
                                "{RENTALS_KEY} has an unknown form or version; renting stops"
                            );
                            term.record = None;
                            term.retry_at = now.plus(3_600.0);
                        }
                    }
                }
                // A lost write may have landed: what it named is recorded.
                for r in &mut term.rentals {
                    if term.written.contains(&r.row.name) {
                        r.recorded = true;
                    }
                }
            }
            (FleetCall::WriteRentals, Outcome::Ok(body)) => {
                match wire::decode::<Committed>(&body) {
                    Ok(c) => {
                        term.backoff.on_success();
                        term.record = Some(Revision(c.rev));
                        for r in &mut term.rentals {
                            if term.written.contains(&r.row.name) {
                                r.recorded = true;
                            }
                        }
                    }
                    Err(_) => term.record = None,
                }
            }
            (FleetCall::WriteRentals, Outcome::Refused) => {
                term.backoff.on_refused(now);
                term.retry_at = now.plus(0.2);
            }
            // Half of what is new goes into the next; in the end none of it.
            (FleetCall::WriteRentals, Outcome::Malformed) => {
                if term.backoff.malformed(now) == RetryAction::SetAside {
                    term.give_up_rentals(now);
                }
            }
            (FleetCall::WriteRentals, _) => {
                term.record = None;
                term.retry_at = now.plus(0.2);
            }
            _ => term.retry_at = now.plus(0.3),
        }
    }
}
